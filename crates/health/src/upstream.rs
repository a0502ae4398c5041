//! What a collector knows about one upstream.

use cactustrack_types::{Counts, Incarnation, Verdict};

use crate::alarm::Alarm;
use crate::baseline::{Answers, Rates};
use crate::cusum::{CAP, Cusum, FAULTY_CAP, Group, KINDS, MAX_DOMAINS, Ratio, Slot};
use crate::window::{MAX_SPAN, SLOTS, Spread, Window};

/// Reports of one observer kept in the window: two per slot, twice as many as it sends.
const MAX_RECENT: usize = 2 * SLOTS;
/// Slots (60 s) after which an observer or a failure domain no longer counts as reporting.
pub(crate) const REPORTING_SLOTS: u64 = 120;
/// Slots (3 s) without evidence after which a fault is no longer taken as current. It is shorter
/// than the shortest ejection, so that a trial starts with a cleared verdict.
const FAULT_WITHOUT_EVIDENCE_SLOTS: u64 = 6;
/// Slots over which the request rate of an observer is averaged.
const RATE_SLOTS: f64 = 20.0;
/// Share of the threshold at which an upstream appears faulty, for shared causes and sick
/// observers. It is below 1 so that a fault of the whole service is recognized before the first
/// statistic reaches its threshold.
pub(crate) const APPEARS_FAULTY: f64 = 0.5;
/// Share of the threshold that a statistic starts with after a fault, because a relapse is likely.
const HEAD_START: f64 = 0.5;
/// Observers of an upstream from which on a single one cannot cause an ejection.
const MIN_OBSERVERS: u32 = 3;
/// Share of the strongest observer's evidence that must come from others. Its evidence is weighed at
/// the time of its reports and that of all later, with baselines that differ a little.
const OTHERS_OF_STRONGEST: f64 = 0.1;
/// Share of the needed evidence that must come from observers other than the strongest one.
const OTHERS_SHARE: f64 = 0.25;

/// Share of the strongest domain's evidence that another domain needs to count as seeing the fault.
/// A single random failure there stays below it.
const SEEING_SHARE: f64 = 0.25;

/// The hypotheses under test with their current likelihood ratios.
#[derive(Debug)]
pub(crate) struct Tests {
    /// Score in nats at which an upstream counts as faulty.
    pub(crate) threshold: f64,
    /// Ratios by kind of evidence, one for each fault rate.
    pub(crate) ratios: [Vec<Ratio>; KINDS],
}

impl Tests {
    fn per_kind(&self) -> usize {
        self.ratios[0].len()
    }

    fn iter(&self) -> impl Iterator<Item = (usize, usize, Ratio)> + '_ {
        self.ratios.iter().enumerate().flat_map(|(kind, ratios)| {
            ratios.iter().enumerate().map(move |(rate, ratio)| (kind, rate, *ratio))
        })
    }
}

/// What one observer reported about the upstream.
#[derive(Debug)]
pub(crate) struct Seen {
    pub(crate) domain: usize,
    /// Last slot that the reports of the observer cover.
    pub(crate) covered: u64,
    /// Requests per slot.
    rate: f64,
    /// Statistics of the evidence of this observer alone, kind by kind.
    own: Vec<f64>,
    /// Largest of these.
    pub(crate) own_max: f64,
    /// Reports that are still in the window.
    recent: Vec<Spread>,
}

/// State of the fault that the collector sees.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Status {
    /// No fault.
    Good,
    /// A fault seen by the group.
    Faulty(Group),
    /// A fault seen by the group ended, the counts are evidence since then.
    Recovering(Group, Counts),
}

#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) incarnation: Incarnation,
    pub(crate) rates: Rates,
    pub(crate) status: Status,
    pub(crate) verdict: Option<Verdict>,
    /// By observer index.
    pub(crate) seen: Vec<Option<Seen>>,
    born: u64,
    /// Statistics of one group.
    per_group: usize,
    window: Window,
    /// Statistics at the start of the window, by group, kind and fault rate.
    base: Vec<Cusum>,
    /// Statistics at the end of the window.
    current: Vec<Cusum>,
    last_evidence: [Option<u64>; MAX_DOMAINS],
}

impl Upstream {
    pub(crate) fn new(incarnation: Incarnation, born: u64) -> Self {
        Self {
            incarnation,
            rates: Rates::default(),
            status: Status::Good,
            verdict: None,
            seen: Vec::new(),
            born,
            per_group: KINDS,
            window: Window::default(),
            base: Vec::new(),
            current: Vec::new(),
            last_evidence: [None; MAX_DOMAINS],
        }
    }

    /// True if the upstream is judged faulty by some group.
    pub(crate) fn is_faulty(&self) -> bool {
        matches!(self.status, Status::Faulty(_))
    }

    /// Lets time pass until `now`.
    pub(crate) fn advance(&mut self, now: u64, domains: usize, tests: &Tests) {
        self.per_group = KINDS * tests.per_kind();
        self.base.resize((domains + 1) * self.per_group, Cusum::default());
        let cap = self.cap(tests);
        let base = &mut self.base;
        let rates = &mut self.rates;
        self.window.advance(now, domains, |index, slot| {
            rates.decay();
            step(base, &Slot::new(index, slot), tests, cap);
        });
    }

    /// Adds the counts of one observer. Those of an excluded observer only count for its own
    /// statistics.
    pub(crate) fn add(
        &mut self,
        now: u64,
        (observer, domain, excluded): (usize, usize, bool),
        counts: Counts,
        tests: &Tests,
    ) {
        if counts.judged() == 0 {
            return;
        }
        let spread = self.cover(now, observer, domain, counts);
        let Some(seen) = self.seen[observer].as_mut() else { return };
        let cap = if excluded { 1.0 } else { CAP };
        seen.add_own(&spread, tests, cap * tests.threshold);
        if excluded {
            return;
        }
        self.window.add(domain, &spread, 1.0);
        let window_first = self.window.first();
        seen.recent.retain(|recent| recent.last >= window_first);
        if seen.recent.len() >= MAX_RECENT {
            seen.recent.remove(0);
        }
        seen.recent.push(spread);
        self.last_evidence[domain] = Some(now);
        let failures = f64::from(counts.failures());
        let good = f64::from(counts.ok);
        let slow = f64::from(counts.slow);
        self.rates.add(0, failures, failures + good + slow);
        self.rates.add(1, slow, good + slow);
        if let Status::Recovering(group, sum) = &mut self.status
            && group.contains(domain)
        {
            *sum += counts;
        }
    }

    /// Finds the slots that a report covers and updates the request rate of its observer.
    fn cover(&mut self, now: u64, observer: usize, domain: usize, counts: Counts) -> Spread {
        if self.seen.len() <= observer {
            self.seen.resize_with(observer + 1, || None);
        }
        let earliest = now.saturating_sub(MAX_SPAN - 1).max(self.born).min(now);
        let judged = f64::from(counts.judged());
        let seen = self.seen[observer].get_or_insert_with(|| Seen {
            domain,
            covered: earliest.saturating_sub(1),
            rate: judged / (now - earliest + 1) as f64,
            own: Vec::new(),
            own_max: 0.0,
            recent: Vec::new(),
        });
        let gap = now.saturating_sub(seen.covered).max(1) as f64;
        seen.rate += (1.0 - (-gap / RATE_SLOTS).exp()) * (judged / gap - seen.rate);
        let first = (seen.covered + 1).max(earliest).min(now);
        seen.covered = now;
        Spread { first, last: now, counts }
    }

    /// Computes the statistics at the end of the window.
    pub(crate) fn evaluate(&mut self, now: u64, excluded: impl Fn(usize) -> bool, tests: &Tests) {
        self.current.clone_from(&self.base);
        if self.base.iter().all(|cusum| cusum.value <= 0.0) && self.window.is_good() {
            return;
        }
        self.set_silence(now, now.saturating_sub(1), excluded);
        let cap = self.cap(tests);
        let first = self.window.first();
        for (index, slot) in (first..).zip(self.window.slots_mut()) {
            step(&mut self.current, &Slot::new(index, slot), tests, cap);
        }
    }

    /// Largest value of a statistic, in nats.
    fn cap(&self, tests: &Tests) -> f64 {
        tests.threshold * if self.is_faulty() { FAULTY_CAP } else { CAP }
    }

    /// Sets the expected answers of observers in slots up to `last` that no report of theirs covers
    /// yet.
    pub(crate) fn set_silence(&mut self, now: u64, last: u64, excluded: impl Fn(usize) -> bool) {
        let first = self.window.first();
        // Requests stop with an ejection, so silence about a faulty upstream is no good sign.
        let status = self.status;
        let is_ejected = |domain| matches!(status, Status::Faulty(group) if group.contains(domain));
        // Changes of the expected answers from slot to slot, by domain.
        let mut changes = [[0.0; MAX_DOMAINS]; SLOTS + 1];
        for (observer, seen) in self.seen.iter().enumerate() {
            let Some(seen) = seen else { continue };
            // An answer before that would have been reported by now.
            let from = (seen.covered + 1).max(first).max(now.saturating_sub(MAX_SPAN));
            let to = (seen.covered + MAX_SPAN).min(last);
            if from <= to && !excluded(observer) && !is_ejected(seen.domain) {
                changes[(from - first) as usize][seen.domain] += seen.rate;
                changes[(to + 1 - first) as usize][seen.domain] -= seen.rate;
            }
        }
        let mut silent = [0.0; MAX_DOMAINS];
        for (cells, changes) in self.window.slots_mut().iter_mut().zip(changes) {
            for ((sum, change), cell) in silent.iter_mut().zip(changes).zip(cells) {
                *sum += change;
                cell.silent = sum.max(0.0);
            }
        }
    }

    /// Largest statistic of a group, in nats.
    pub(crate) fn score(&self, group: Group) -> f64 {
        self.statistics(group).fold(0.0, |max, (_, cusum)| max.max(cusum.value))
    }

    /// True if evidence of the group makes the upstream appear faulty, see [`APPEARS_FAULTY`].
    pub(crate) fn appears_faulty(&self, group: Group, tests: &Tests) -> bool {
        let known = match self.status {
            Status::Faulty(Group::All) => true,
            Status::Faulty(seen_by) => seen_by == group,
            _ => false,
        };
        known || self.score(group) >= APPEARS_FAULTY * tests.threshold
    }

    /// True if observers of the group reported within [`REPORTING_SLOTS`].
    pub(crate) fn is_reported(&self, now: u64, group: Group) -> bool {
        self.evidence_age(now, group).is_some_and(|age| age < REPORTING_SLOTS)
    }

    /// Returns the strongest statistic that reached its threshold with enough observers, with the
    /// group that sees the fault.
    pub(crate) fn alarm(
        &self,
        now: u64,
        domains: usize,
        excluded: impl Fn(usize) -> bool + Copy,
        tests: &Tests,
    ) -> Option<Alarm> {
        let groups = (0..=domains).map(Group::from_index);
        let alarms = groups.flat_map(|group| {
            self.statistics(group).filter(|(_, cusum)| cusum.value >= tests.threshold).filter_map(
                move |(test, cusum)| {
                    let observers = self.observers(now, group, excluded);
                    let reporting = self.observers(now, Group::All, excluded);
                    let enough = reporting < MIN_OBSERVERS
                        || self.is_seen_by_others(group, test, cusum, tests);
                    enough.then_some(Alarm {
                        group: self.seeing(now, domains, cusum),
                        tested: group,
                        kind: test / tests.per_kind(),
                        since: cusum.since,
                        silent: cusum.silent(),
                        head_start: cusum.head_start,
                        value: cusum.value,
                        counts: cusum.counts(),
                        observers,
                    })
                },
            )
        });
        alarms.max_by(|a, b| {
            let wide = |alarm: &Alarm| alarm.group == Group::All;
            wide(a).cmp(&wide(b)).then(a.value.total_cmp(&b.value))
        })
    }

    /// Observers of the group that reported within [`REPORTING_SLOTS`] and are not excluded.
    pub(crate) fn observers(
        &self,
        now: u64,
        group: Group,
        excluded: impl Fn(usize) -> bool,
    ) -> u32 {
        let reporting = self.reporting(now).filter(|(_, seen)| group.contains(seen.domain));
        let count = reporting.filter(|(observer, _)| !excluded(*observer)).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Observers that reported within [`REPORTING_SLOTS`], by index.
    pub(crate) fn reporting(&self, now: u64) -> impl Iterator<Item = (usize, &Seen)> + '_ {
        let seen = self.seen.iter().enumerate();
        let seen = seen.filter_map(|(observer, seen)| seen.as_ref().map(|seen| (observer, seen)));
        seen.filter(move |(_, seen)| now.saturating_sub(seen.covered) < REPORTING_SLOTS)
    }

    /// True if other observers than this one find the upstream healthy.
    pub(crate) fn is_healthy_without(&self, seen: &Seen, tests: &Tests) -> bool {
        let limit = APPEARS_FAULTY * tests.threshold;
        let groups = [Group::All, Group::Domain(seen.domain)];
        groups.into_iter().all(|group| {
            self.statistics(group).all(|(test, cusum)| {
                cusum.value - seen.own.get(test).copied().unwrap_or(0.0) < limit
            })
        })
    }

    /// Takes the evidence of an observer out of the statistics.
    pub(crate) fn exclude(&mut self, observer: usize) {
        let Some(seen) = self.seen.get_mut(observer).and_then(Option::as_mut) else { return };
        for spread in seen.recent.drain(..) {
            self.window.add(seen.domain, &spread, -1.0);
        }
        let per_group = seen.own.len();
        for group in [Group::All, Group::Domain(seen.domain)] {
            let start = group.index() * per_group;
            let cusums = self.base.iter_mut().skip(start).take(per_group);
            for (cusum, own) in cusums.zip(&seen.own) {
                cusum.value -= own;
                cusum.by_domain[seen.domain] -= own;
                if cusum.value <= 0.0 {
                    *cusum = Cusum::default();
                }
            }
        }
    }

    /// True while the fault that the group sees is confirmed by evidence.
    pub(crate) fn is_confirmed(&self, now: u64, group: Group, tests: &Tests) -> bool {
        let recent =
            self.evidence_age(now, group).is_some_and(|age| age < FAULT_WITHOUT_EVIDENCE_SLOTS);
        recent && self.score(group) >= APPEARS_FAULTY * tests.threshold
    }

    /// Ends the fault that the group saw: its statistics restart with a head start.
    pub(crate) fn recover(&mut self, fault: Group, tests: &Tests) {
        self.restart(fault, HEAD_START * tests.threshold);
        // Requests stopped with the ejection, so silence says nothing about the upstream.
        for seen in self.seen.iter_mut().flatten().filter(|seen| fault.contains(seen.domain)) {
            seen.rate = 0.0;
        }
        self.status = Status::Recovering(fault, Counts::default());
    }

    /// Drops the evidence of a group and restarts its statistics at a value in nats.
    pub(crate) fn restart(&mut self, restarted: Group, head_start: f64) {
        self.window.clear(|domain| restarted.contains(domain));
        let since = self.window.first();
        for (index, cusum) in self.base.iter_mut().enumerate() {
            let group = Group::from_index(index / self.per_group);
            if restarted == Group::All || group == restarted {
                *cusum = Cusum { value: head_start, head_start, since, ..Cusum::default() };
            } else if let (Group::All, Group::Domain(domain)) = (group, restarted) {
                cusum.drop_domain(domain);
            }
        }
        for seen in self.seen.iter_mut().flatten().filter(|seen| restarted.contains(seen.domain)) {
            seen.own.fill(0.0);
            seen.own_max = 0.0;
            seen.recent.clear();
        }
    }

    /// Answers of a kind and group since a slot, as far as the window goes back.
    pub(crate) fn answers(&self, kind: usize, group: Group, since: u64) -> Answers {
        self.window.answers(kind, group, since)
    }

    fn statistics(&self, group: Group) -> impl Iterator<Item = (usize, &Cusum)> + '_ {
        let start = group.index() * self.per_group;
        self.current.iter().skip(start).take(self.per_group).enumerate()
    }

    fn evidence_age(&self, now: u64, group: Group) -> Option<u64> {
        let domains = self.last_evidence.iter().enumerate();
        let last = domains.filter(|(domain, _)| group.contains(*domain)).filter_map(|(_, at)| *at);
        last.max().map(|at| now.saturating_sub(at))
    }

    /// True if other observers than the strongest one contribute to the statistic.
    fn is_seen_by_others(&self, group: Group, test: usize, cusum: &Cusum, tests: &Tests) -> bool {
        let in_group = self.seen.iter().flatten().filter(|seen| group.contains(seen.domain));
        let own = in_group.filter_map(|seen| seen.own.get(test));
        let strongest = own.fold(0.0, |max: f64, own| max.max(*own));
        let needed = tests.threshold - cusum.head_start;
        let others = cusum.value - cusum.head_start - strongest;
        others >= (OTHERS_SHARE * needed).max(OTHERS_OF_STRONGEST * strongest)
            || group == Group::All && is_seen_in_two_domains(cusum, needed)
    }

    /// The failure domain that alone sees the fault, or all.
    fn seeing(&self, now: u64, domains: usize, cusum: &Cusum) -> Group {
        let reporting = (0..domains).filter(|d| self.is_reported(now, Group::Domain(*d)));
        let strongest = cusum.by_domain.iter().copied().fold(0.0, f64::max);
        let sees = |domain: &usize| cusum.by_domain[*domain] > SEEING_SHARE * strongest;
        let mut seeing = (0..domains).filter(sees);
        match (seeing.next(), seeing.next()) {
            (Some(only), None) if reporting.count() > 1 => Group::Domain(only),
            _ => Group::All,
        }
    }
}

/// True if a second failure domain, and so another observer, contributes to a statistic of all
/// observers. The value itself cannot tell once it has reached its cap, which the strongest observer
/// alone may do: a fault that one domain saw first then stayed a fault of that domain.
fn is_seen_in_two_domains(cusum: &Cusum, needed: f64) -> bool {
    let mut evidence = cusum.by_domain;
    evidence.sort_unstable_by(|a, b| b.total_cmp(a));
    let [strongest, second, ..] = evidence;
    second >= (OTHERS_SHARE * needed).max(OTHERS_OF_STRONGEST * strongest)
}

impl Seen {
    /// Updates the statistics of this observer alone. Ok answers waited, so they come first. Values
    /// stop at `cap`, which is low for an excluded observer so that it can return.
    fn add_own(&mut self, spread: &Spread, tests: &Tests, cap: f64) {
        self.own.resize(KINDS * tests.per_kind(), 0.0);
        let counts = spread.counts;
        let failures = f64::from(counts.failures());
        let (ok, slow) = (f64::from(counts.ok), f64::from(counts.slow));
        for (own, (kind, _, ratio)) in self.own.iter_mut().zip(tests.iter()) {
            let (bad, good) = if kind == 0 { (failures, ok + slow) } else { (slow, ok) };
            let value = (*own + good * ratio.good).max(0.0) + bad * ratio.bad;
            *own = value.min(cap);
        }
        self.own_max = self.own.iter().copied().fold(0.0, f64::max);
    }
}

/// Adds one slot to all statistics.
fn step(cusums: &mut [Cusum], slot: &Slot<'_>, tests: &Tests, cap: f64) {
    let per_group = KINDS * tests.per_kind();
    if slot.is_good() && cusums.iter().all(|cusum| cusum.value <= 0.0) {
        return;
    }
    for (index, statistics) in cusums.chunks_mut(per_group).enumerate() {
        let group = Group::from_index(index);
        for (cusum, (kind, _, ratio)) in statistics.iter_mut().zip(tests.iter()) {
            cusum.add(slot, kind, ratio, group);
            cusum.cap(cap);
        }
    }
}
