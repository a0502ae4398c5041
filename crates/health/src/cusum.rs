//! CUSUM statistics, the sequential tests by which faults are detected, and their log-likelihood
//! ratios.

/// Fault rates that the collectors test for, as shares of requests.
pub const FAULT_RATES: [f64; 4] = [0.03, 0.10, 0.50, 1.0];
/// Kinds of bad evidence that are tested separately: failures and slow responses.
pub(crate) const KINDS: usize = 2;
/// Number of failure domains with separate evidence. Further ones share the last index.
pub(crate) const MAX_DOMAINS: usize = 8;
/// Largest rate of bad responses that a hypothesis assumes. With a rate of 1, one good response
/// would outweigh any number of bad ones.
const MAX_RATE: f64 = 0.98;
/// Upper limit of the statistics of a faulty upstream as a multiple of the threshold. It lets an
/// upstream that was kept in service recover quickly, however long its fault lasted.
pub(crate) const FAULTY_STATISTIC_CAP: f64 = 2.0;
/// Upper limit of all other statistics as a multiple of the threshold. It is far above the
/// threshold because the contribution of a single observer is subtracted from a statistic, which is
/// only correct if neither was limited.
pub(crate) const STATISTIC_CAP: f64 = 50.0;

/// Log-likelihood ratios of one hypothesis, in nats.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Ratio {
    /// For one bad response.
    pub bad: f64,
    /// For one good response.
    pub good: f64,
    /// For one expected response of an observer that sent no report. Because bad evidence is
    /// reported at once, a missing report means that a Poisson-distributed number of requests had
    /// no bad response.
    pub unreported: f64,
}

/// Returns the ratios of the hypothesis that requests to an upstream fail at `fault_rate` on top of
/// the service's `baseline` rate against the hypothesis that they fail at `baseline` only. Both
/// rates are shares of requests.
pub fn log_likelihood_ratio(baseline: f64, fault_rate: f64) -> Ratio {
    let faulty = (baseline + fault_rate * (1.0 - baseline)).min(MAX_RATE).max(baseline);
    Ratio {
        bad: (faulty / baseline).ln(),
        good: ((1.0 - faulty) / (1.0 - baseline)).ln(),
        unreported: baseline - faulty,
    }
}

/// Evidence of one time slot from the observers of one failure domain. Counts are fractional where
/// a report covers several slots.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Cell {
    /// Responses by kind: ok, refused, failed, cut short, slow.
    pub(crate) counts: [f64; 5],
    /// Expected responses of observers that have not reported on the slot yet.
    pub(crate) unreported: f64,
    /// Responses that were removed from the statistics because their cause is known. They still
    /// show the current state of the upstream.
    pub(crate) discarded: [f64; 5],
}

impl Cell {
    /// Returns the bad and good responses for the test of failures (0) or of slow responses (1).
    pub(crate) fn bad_and_good(&self, kind: usize) -> (f64, f64) {
        bad_and_good(self.counts, kind)
    }

    /// Returns the same including discarded responses.
    pub(crate) fn bad_and_good_with_discarded(&self, kind: usize) -> (f64, f64) {
        let (bad, good) = bad_and_good(self.discarded, kind);
        let (counted_bad, counted_good) = self.bad_and_good(kind);
        (bad + counted_bad, good + counted_good)
    }

    /// Removes the responses from the statistics.
    pub(crate) fn discard_counts(&mut self) {
        for (discarded, count) in self.discarded.iter_mut().zip(std::mem::take(&mut self.counts)) {
            *discarded += count;
        }
    }
}

/// Returns the bad and good responses for the test of failures (0) or of slow responses (1).
pub(crate) fn bad_and_good(counts: [f64; 5], kind: usize) -> (f64, f64) {
    let [ok, refused, failed, cut_short, slow] = counts;
    if kind == 0 { (refused + failed + cut_short, ok + slow) } else { (slow, ok) }
}

/// One time slot with its responses by kind and failure domain.
pub(crate) struct Slot<'a> {
    /// Number of the slot.
    index: u64,
    /// Evidence by failure domain.
    cells: &'a [Cell],
    /// Bad and good responses by kind and failure domain.
    responses: [[(f64, f64); MAX_DOMAINS]; KINDS],
}

impl<'a> Slot<'a> {
    pub(crate) fn new(index: u64, cells: &'a [Cell]) -> Self {
        let mut responses = [[(0.0, 0.0); MAX_DOMAINS]; KINDS];
        for (kind, domains) in responses.iter_mut().enumerate() {
            for (response, cell) in domains.iter_mut().zip(cells) {
                *response = cell.bad_and_good(kind);
            }
        }
        Self { index, cells, responses }
    }

    fn has_bad(&self, kind: usize, group: Group) -> bool {
        let responses = &self.responses[kind];
        match group {
            Group::All => responses.iter().any(|(bad, _)| *bad > 0.0),
            Group::Domain(domain) => responses[domain].0 > 0.0,
        }
    }

    /// Returns true if the slot has no bad response, so that no statistic that is zero can rise.
    pub(crate) fn has_no_bad(&self) -> bool {
        (0..KINDS).all(|kind| !self.has_bad(kind, Group::All))
    }
}

/// A CUSUM statistic and the evidence that contributed to it since it was last zero.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Cusum {
    /// Value in nats.
    pub(crate) value: f64,
    /// Contribution of each failure domain in nats, including domains outside the tested group.
    pub(crate) by_domain: [f64; MAX_DOMAINS],
    /// Responses of each failure domain by kind, see [`Cell`].
    pub(crate) counts: [[f64; 5]; MAX_DOMAINS],
    /// Expected responses that were not reported yet, by failure domain.
    pub(crate) unreported: [f64; MAX_DOMAINS],
    /// Slot in which it was last zero.
    pub(crate) since: u64,
    /// Initial value, which is not evidence, in nats.
    pub(crate) head_start: f64,
}

impl Cusum {
    /// Adds the evidence of one time slot. Only domains of the group change the value.
    pub(crate) fn add(&mut self, slot: &Slot<'_>, kind: usize, ratio: Ratio, group: Group) {
        if self.value <= 0.0 && !slot.has_bad(kind, group) {
            // Without bad responses the statistic stays at zero.
            return;
        }
        if self.value <= 0.0 {
            self.since = slot.index;
        }
        for (domain, cell) in slot.cells.iter().enumerate() {
            let (bad, good) = slot.responses[kind][domain];
            let step = bad * ratio.bad + good * ratio.good + cell.unreported * ratio.unreported;
            self.by_domain[domain] += step;
            if group.contains(domain) {
                self.value += step;
                self.unreported[domain] += cell.unreported;
                for (sum, count) in self.counts[domain].iter_mut().zip(cell.counts) {
                    *sum += count;
                }
            }
        }
        if self.value <= 0.0 {
            *self = Self::default();
        }
    }

    /// Returns the responses of all failure domains by kind.
    pub(crate) fn counts(&self) -> [f64; 5] {
        let mut sums = [0.0; 5];
        for counts in &self.counts {
            sums.iter_mut().zip(counts).for_each(|(sum, count)| *sum += count);
        }
        sums
    }

    /// Returns the expected responses of all failure domains that were not reported yet.
    pub(crate) fn unreported(&self) -> f64 {
        self.unreported.iter().sum()
    }

    /// Removes the evidence of one failure domain.
    pub(crate) fn remove_domain(&mut self, domain: usize) {
        self.value -= std::mem::take(&mut self.by_domain[domain]);
        self.counts[domain] = [0.0; 5];
        self.unreported[domain] = 0.0;
        if self.value <= 0.0 {
            *self = Self::default();
        }
    }

    /// Limits the value to `largest`.
    pub(crate) fn cap(&mut self, largest: f64) {
        self.value = self.value.min(largest);
    }
}

/// Observers whose evidence a statistic uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Group {
    /// All observers.
    All,
    /// Observers of one failure domain.
    Domain(usize),
}

impl Group {
    /// Returns the position in a list of statistics: all observers first, then each domain.
    pub(crate) fn index(self) -> usize {
        match self {
            Self::All => 0,
            Self::Domain(domain) => domain + 1,
        }
    }

    /// Returns the group at a position, see [`Group::index`].
    pub(crate) fn from_index(index: usize) -> Self {
        if index == 0 { Self::All } else { Self::Domain(index - 1) }
    }

    /// Returns true if observers of the failure domain belong to the group.
    pub(crate) fn contains(self, domain: usize) -> bool {
        match self {
            Self::All => true,
            Self::Domain(own) => own == domain,
        }
    }
}
