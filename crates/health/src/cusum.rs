//! Log-likelihood ratios and the CUSUM statistics built from them.

/// Fault rates that the collectors test for, as shares of requests.
pub const FAULT_RATES: [f64; 4] = [0.03, 0.10, 0.50, 1.0];
/// Kinds of bad evidence that are tested separately: failures and slow answers.
pub(crate) const KINDS: usize = 2;
/// Failure domains that evidence is kept apart for. Further ones share the last slot.
pub(crate) const MAX_DOMAINS: usize = 8;
/// Largest rate of bad answers that a hypothesis assumes. A rate of 1 would make one good answer
/// outweigh any number of bad ones.
const MAX_RATE: f64 = 0.98;
/// A statistic of a faulty upstream stops growing at this multiple of its threshold, so that an
/// upstream that recovers while it is kept in service is not held back by the length of its fault.
pub(crate) const FAULTY_CAP: f64 = 2.0;
/// Bound of all other statistics as a multiple of the threshold. It is far above it, because the
/// part of a single observer is subtracted from a statistic, and both must not be cut off before.
pub(crate) const CAP: f64 = 50.0;

/// Log-likelihood ratios of one hypothesis, in nats.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Ratio {
    /// For one bad answer.
    pub bad: f64,
    /// For one good answer.
    pub good: f64,
    /// For one expected answer of an observer that sent no report. Because bad evidence is sent at
    /// once, silence means that a Poisson number of requests had no bad answer.
    pub silent: f64,
}

/// Ratios for an upstream whose requests fail at `fault_rate` on top of the service's `baseline`
/// rate, against one that fails at `baseline` only. Both are shares of requests.
pub fn log_likelihood_ratio(baseline: f64, fault_rate: f64) -> Ratio {
    let faulty = (baseline + fault_rate * (1.0 - baseline)).min(MAX_RATE).max(baseline);
    Ratio {
        bad: (faulty / baseline).ln(),
        good: ((1.0 - faulty) / (1.0 - baseline)).ln(),
        silent: baseline - faulty,
    }
}

/// Evidence of one time slot and one failure domain. Counts are fractions where a report covers
/// several slots.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Cell {
    /// Answers by kind: ok, refused, failed, cut short, slow.
    pub(crate) counts: [f64; 5],
    /// Expected answers of observers that sent no report for the slot.
    pub(crate) silent: f64,
    /// Answers that were taken out of the statistics because their cause is known. They still tell
    /// how the upstream does at present.
    pub(crate) dropped: [f64; 5],
}

impl Cell {
    /// Bad and good answers for the test of failures (0) or of slow answers (1).
    pub(crate) fn bad_and_good(&self, kind: usize) -> (f64, f64) {
        bad_and_good(self.counts, kind)
    }

    /// The same with dropped answers.
    pub(crate) fn all_bad_and_good(&self, kind: usize) -> (f64, f64) {
        let (bad, good) = bad_and_good(self.dropped, kind);
        let (counted_bad, counted_good) = self.bad_and_good(kind);
        (bad + counted_bad, good + counted_good)
    }

    /// Takes the answers out of the statistics.
    pub(crate) fn drop_counts(&mut self) {
        for (dropped, count) in self.dropped.iter_mut().zip(std::mem::take(&mut self.counts)) {
            *dropped += count;
        }
    }
}

/// Bad and good answers for the test of failures (0) or of slow answers (1).
pub(crate) fn bad_and_good(counts: [f64; 5], kind: usize) -> (f64, f64) {
    let [ok, refused, failed, cut_short, slow] = counts;
    if kind == 0 { (refused + failed + cut_short, ok + slow) } else { (slow, ok) }
}

/// One time slot with its answers by kind and domain.
pub(crate) struct Slot<'a> {
    index: u64,
    cells: &'a [Cell],
    /// Bad and good answers.
    answers: [[(f64, f64); MAX_DOMAINS]; KINDS],
}

impl<'a> Slot<'a> {
    pub(crate) fn new(index: u64, cells: &'a [Cell]) -> Self {
        let mut answers = [[(0.0, 0.0); MAX_DOMAINS]; KINDS];
        for (kind, domains) in answers.iter_mut().enumerate() {
            for (answer, cell) in domains.iter_mut().zip(cells) {
                *answer = cell.bad_and_good(kind);
            }
        }
        Self { index, cells, answers }
    }

    fn has_bad(&self, kind: usize, group: Group) -> bool {
        let answers = &self.answers[kind];
        match group {
            Group::All => answers.iter().any(|(bad, _)| *bad > 0.0),
            Group::Domain(domain) => answers[domain].0 > 0.0,
        }
    }

    /// True if no statistic that is zero can rise.
    pub(crate) fn is_good(&self) -> bool {
        (0..KINDS).all(|kind| !self.has_bad(kind, Group::All))
    }
}

/// A CUSUM statistic and what it rests on since it last was zero.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Cusum {
    /// Value in nats.
    pub(crate) value: f64,
    /// Contribution of each failure domain in nats, also of domains outside the tested group.
    pub(crate) by_domain: [f64; MAX_DOMAINS],
    /// Answers of each failure domain by kind, see [`Cell`].
    pub(crate) counts: [[f64; 5]; MAX_DOMAINS],
    /// Expected answers of silent observers of each failure domain.
    pub(crate) silent: [f64; MAX_DOMAINS],
    /// Slot in which it last was zero.
    pub(crate) since: u64,
    /// Part of the value that is no evidence, in nats.
    pub(crate) head_start: f64,
}

impl Cusum {
    /// Adds one time slot, given as bad, good and silent answers by domain. Domains of the group
    /// move the statistic.
    pub(crate) fn add(&mut self, slot: &Slot<'_>, kind: usize, ratio: Ratio, group: Group) {
        if self.value <= 0.0 && !slot.has_bad(kind, group) {
            // Only good answers, which cannot raise the statistic above zero.
            return;
        }
        if self.value <= 0.0 {
            self.since = slot.index;
        }
        for (domain, cell) in slot.cells.iter().enumerate() {
            let (bad, good) = slot.answers[kind][domain];
            let step = bad * ratio.bad + good * ratio.good + cell.silent * ratio.silent;
            self.by_domain[domain] += step;
            if group.contains(domain) {
                self.value += step;
                self.silent[domain] += cell.silent;
                for (sum, count) in self.counts[domain].iter_mut().zip(cell.counts) {
                    *sum += count;
                }
            }
        }
        if self.value <= 0.0 {
            *self = Self::default();
        }
    }

    /// Answers by kind.
    pub(crate) fn counts(&self) -> [f64; 5] {
        let mut sums = [0.0; 5];
        for counts in &self.counts {
            sums.iter_mut().zip(counts).for_each(|(sum, count)| *sum += count);
        }
        sums
    }

    /// Expected answers of silent observers.
    pub(crate) fn silent(&self) -> f64 {
        self.silent.iter().sum()
    }

    /// Takes out the evidence of one failure domain.
    pub(crate) fn drop_domain(&mut self, domain: usize) {
        self.value -= std::mem::take(&mut self.by_domain[domain]);
        self.counts[domain] = [0.0; 5];
        self.silent[domain] = 0.0;
        if self.value <= 0.0 {
            *self = Self::default();
        }
    }

    pub(crate) fn cap(&mut self, largest: f64) {
        self.value = self.value.min(largest);
    }
}

/// Whose evidence a statistic uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Group {
    /// All observers.
    All,
    /// Observers of one failure domain.
    Domain(usize),
}

impl Group {
    /// Position in a list of statistics: all observers first, then each domain.
    pub(crate) fn index(self) -> usize {
        match self {
            Self::All => 0,
            Self::Domain(domain) => domain + 1,
        }
    }

    pub(crate) fn from_index(index: usize) -> Self {
        if index == 0 { Self::All } else { Self::Domain(index - 1) }
    }

    pub(crate) fn contains(self, domain: usize) -> bool {
        match self {
            Self::All => true,
            Self::Domain(own) => own == domain,
        }
    }
}
