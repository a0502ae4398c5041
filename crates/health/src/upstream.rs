//! State of one upstream on a collector: evidence by observer, test statistics and status.

use cactustrack_types::{Counts, Incarnation, Verdict};

use crate::alarm::Alarm;
use crate::baseline::{Rates, ResponseCounts};
use crate::cusum::{
    Cusum, FAULTY_STATISTIC_CAP, Group, KINDS, MAX_DOMAINS, Ratio, STATISTIC_CAP, Slot,
};
use crate::window::{MAX_REPORT_SLOTS, SpreadCounts, WINDOW_SLOTS, Window};

/// Number of reports of one observer that are kept: two per slot, twice as many as it sends.
const MAX_RECENT_REPORTS: usize = 2 * WINDOW_SLOTS;
/// Slots (60 s) without a report after which an observer or a failure domain no longer counts as
/// reporting.
pub(crate) const REPORTING_SLOTS: u64 = 120;
/// Slots (3 s) without evidence after which a fault is over. It is shorter than the shortest
/// ejection, so that the upstream has a healthy verdict when its trial starts.
const FAULT_EXPIRY_SLOTS: u64 = 6;
/// Slots over which the request rate of an observer is averaged.
const RATE_SLOTS: f64 = 20.0;
/// Share of the threshold from which an upstream appears faulty, for the detection of shared causes
/// and faulty observers. It is below 1 so that a fault of the whole service is recognized before
/// the first statistic reaches its threshold.
pub(crate) const APPEARS_FAULTY_SHARE: f64 = 0.5;
/// Share of the threshold that a statistic starts with after a fault, because a relapse is likely.
const HEAD_START_SHARE: f64 = 0.5;
/// Number of observers of an upstream from which a single one can no longer cause an ejection.
const MIN_OBSERVERS: u32 = 3;
/// Evidence that must come from other observers, as a share of the strongest observer's evidence.
/// It covers the difference between baselines: the strongest observer's evidence is weighted when
/// its reports arrive and that of all observers later, with slightly different baselines.
const OTHERS_SHARE_OF_STRONGEST: f64 = 0.1;
/// Evidence that must come from other observers than the strongest one, as a share of the evidence
/// needed for an alarm.
const OTHERS_SHARE_OF_NEEDED: f64 = 0.25;

/// Share of the strongest failure domain's evidence from which another domain counts as affected by
/// the fault. A single random failure there stays below it.
const AFFECTED_DOMAIN_SHARE: f64 = 0.25;

/// Threshold and current log-likelihood ratios of the sequential tests.
#[derive(Debug)]
pub(crate) struct SequentialTests {
    /// Score in nats at which an upstream counts as faulty.
    pub(crate) threshold: f64,
    /// Ratios by kind of evidence, one for each fault rate.
    pub(crate) ratios: [Vec<Ratio>; KINDS],
}

impl SequentialTests {
    /// Returns the number of fault rates under test for each kind of evidence.
    fn per_kind(&self) -> usize {
        self.ratios[0].len()
    }

    /// Returns the kind of evidence, the index of the fault rate and the ratio of each test.
    fn iter(&self) -> impl Iterator<Item = (usize, usize, Ratio)> + '_ {
        self.ratios.iter().enumerate().flat_map(|(kind, ratios)| {
            ratios.iter().enumerate().map(move |(rate, ratio)| (kind, rate, *ratio))
        })
    }
}

/// Evidence of one observer about the upstream.
#[derive(Debug)]
pub(crate) struct ObserverEvidence {
    /// Index of the failure domain of the observer.
    pub(crate) domain: usize,
    /// Last slot that the reports of the observer cover.
    pub(crate) covered: u64,
    /// Requests per slot.
    request_rate: f64,
    /// Statistics of the evidence of this observer alone, by kind and fault rate.
    statistics: Vec<f64>,
    /// Largest of these.
    pub(crate) max_statistic: f64,
    /// Reports that are still in the window.
    recent_reports: Vec<SpreadCounts>,
}

/// Status of an upstream on the collector.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Status {
    /// No fault.
    Healthy,
    /// Faulty according to the evidence of the group.
    Faulty(Group),
    /// A fault that the group saw has ended. The counts are the evidence of the group since then.
    Recovering(Group, Counts),
}

/// Evidence about one incarnation of an upstream.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) incarnation: Incarnation,
    pub(crate) rates: Rates,
    pub(crate) status: Status,
    /// Published verdict, if there ever was a fault.
    pub(crate) verdict: Option<Verdict>,
    /// Evidence by observer index.
    pub(crate) by_observer: Vec<Option<ObserverEvidence>>,
    /// Earliest slot that a report can cover.
    start_slot: u64,
    /// Number of statistics of one group.
    per_group: usize,
    window: Window,
    /// Statistics at the start of the window, by group, kind and fault rate.
    base: Vec<Cusum>,
    /// Statistics at the end of the window.
    current: Vec<Cusum>,
    /// Slot of the latest evidence by failure domain.
    last_evidence: [Option<u64>; MAX_DOMAINS],
}

impl Upstream {
    /// Creates an upstream without evidence, whose reports cover slots from `start_slot` on.
    pub(crate) fn new(incarnation: Incarnation, start_slot: u64) -> Self {
        Self {
            incarnation,
            rates: Rates::default(),
            status: Status::Healthy,
            verdict: None,
            by_observer: Vec::new(),
            start_slot,
            per_group: KINDS,
            window: Window::default(),
            base: Vec::new(),
            current: Vec::new(),
            last_evidence: [None; MAX_DOMAINS],
        }
    }

    /// Returns true if the upstream is faulty according to some group.
    pub(crate) fn is_faulty(&self) -> bool {
        matches!(self.status, Status::Faulty(_))
    }

    /// Makes `now` the current slot. Slots that leave the window are added to the statistics.
    pub(crate) fn advance(&mut self, now: u64, domains: usize, tests: &SequentialTests) {
        self.per_group = KINDS * tests.per_kind();
        self.base.resize((domains + 1) * self.per_group, Cusum::default());
        let cap = self.cap(tests);
        let base = &mut self.base;
        let rates = &mut self.rates;
        self.window.advance(now, domains, |index, slot| {
            rates.decay();
            add_slot(base, &Slot::new(index, slot), tests, cap);
        });
    }

    /// Adds the counts of one observer. Those of an excluded observer only change its own
    /// statistics.
    pub(crate) fn add(
        &mut self,
        now: u64,
        (observer, domain, excluded): (usize, usize, bool),
        counts: Counts,
        tests: &SequentialTests,
    ) {
        if counts.evidence_count() == 0 {
            return;
        }
        let spread = self.record_coverage(now, observer, domain, counts);
        let Some(evidence) = self.by_observer[observer].as_mut() else { return };
        let cap = if excluded { 1.0 } else { STATISTIC_CAP };
        evidence.update_statistics(&spread, tests, cap * tests.threshold);
        if excluded {
            return;
        }
        self.window.add(domain, &spread, 1.0);
        let window_first = self.window.first();
        evidence.recent_reports.retain(|report| report.last >= window_first);
        if evidence.recent_reports.len() >= MAX_RECENT_REPORTS {
            evidence.recent_reports.remove(0);
        }
        evidence.recent_reports.push(spread);
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

    /// Determines the slots that a report covers, and updates the request rate of its observer.
    fn record_coverage(
        &mut self,
        now: u64,
        observer: usize,
        domain: usize,
        counts: Counts,
    ) -> SpreadCounts {
        if self.by_observer.len() <= observer {
            self.by_observer.resize_with(observer + 1, || None);
        }
        let earliest = now.saturating_sub(MAX_REPORT_SLOTS - 1).max(self.start_slot).min(now);
        let responses = f64::from(counts.evidence_count());
        let evidence = self.by_observer[observer].get_or_insert_with(|| ObserverEvidence {
            domain,
            covered: earliest.saturating_sub(1),
            request_rate: responses / (now - earliest + 1) as f64,
            statistics: Vec::new(),
            max_statistic: 0.0,
            recent_reports: Vec::new(),
        });
        let gap = now.saturating_sub(evidence.covered).max(1) as f64;
        evidence.request_rate +=
            (1.0 - (-gap / RATE_SLOTS).exp()) * (responses / gap - evidence.request_rate);
        let first = (evidence.covered + 1).max(earliest).min(now);
        evidence.covered = now;
        SpreadCounts { first, last: now, counts }
    }

    /// Computes the statistics at the end of the window.
    pub(crate) fn evaluate(
        &mut self,
        now: u64,
        excluded: impl Fn(usize) -> bool,
        tests: &SequentialTests,
    ) {
        self.current.clone_from(&self.base);
        if self.base.iter().all(|cusum| cusum.value <= 0.0) && self.window.has_no_bad() {
            return;
        }
        self.set_unreported(now, now.saturating_sub(1), excluded);
        let cap = self.cap(tests);
        let first = self.window.first();
        for (index, slot) in (first..).zip(self.window.slots_mut()) {
            add_slot(&mut self.current, &Slot::new(index, slot), tests, cap);
        }
    }

    /// Returns the upper limit of the statistics, in nats.
    fn cap(&self, tests: &SequentialTests) -> f64 {
        tests.threshold * if self.is_faulty() { FAULTY_STATISTIC_CAP } else { STATISTIC_CAP }
    }

    /// Sets the expected responses of observers in slots up to `last` that their reports do not
    /// cover yet.
    pub(crate) fn set_unreported(&mut self, now: u64, last: u64, excluded: impl Fn(usize) -> bool) {
        let first = self.window.first();
        // Requests stop with an ejection, so the lack of reports is no evidence that a faulty
        // upstream is healthy.
        let status = self.status;
        let is_ejected = |domain| matches!(status, Status::Faulty(group) if group.contains(domain));
        // Differences of the expected responses between consecutive slots, by failure domain.
        let mut changes = [[0.0; MAX_DOMAINS]; WINDOW_SLOTS + 1];
        for (observer, evidence) in self.by_observer.iter().enumerate() {
            let Some(evidence) = evidence else { continue };
            // Earlier responses would have been reported by now.
            let from = (evidence.covered + 1).max(first).max(now.saturating_sub(MAX_REPORT_SLOTS));
            let to = (evidence.covered + MAX_REPORT_SLOTS).min(last);
            if from <= to && !excluded(observer) && !is_ejected(evidence.domain) {
                changes[(from - first) as usize][evidence.domain] += evidence.request_rate;
                changes[(to + 1 - first) as usize][evidence.domain] -= evidence.request_rate;
            }
        }
        let mut unreported = [0.0; MAX_DOMAINS];
        for (cells, changes) in self.window.slots_mut().iter_mut().zip(changes) {
            for ((sum, change), cell) in unreported.iter_mut().zip(changes).zip(cells) {
                *sum += change;
                cell.unreported = sum.max(0.0);
            }
        }
    }

    /// Returns the largest statistic of a group, in nats.
    pub(crate) fn score(&self, group: Group) -> f64 {
        self.statistics(group).fold(0.0, |max, (_, cusum)| max.max(cusum.value))
    }

    /// Returns true if the upstream appears faulty according to the evidence of the group, see
    /// [`APPEARS_FAULTY_SHARE`].
    pub(crate) fn appears_faulty(&self, group: Group, tests: &SequentialTests) -> bool {
        let known = match self.status {
            Status::Faulty(Group::All) => true,
            Status::Faulty(observers) => observers == group,
            _ => false,
        };
        known || self.score(group) >= APPEARS_FAULTY_SHARE * tests.threshold
    }

    /// Returns true if observers of the group reported within [`REPORTING_SLOTS`].
    pub(crate) fn is_reported(&self, now: u64, group: Group) -> bool {
        self.evidence_age(now, group).is_some_and(|age| age < REPORTING_SLOTS)
    }

    /// Returns the strongest statistic that reached its threshold with evidence of enough
    /// observers, preferring faults that all observers see.
    pub(crate) fn alarm(
        &self,
        now: u64,
        domains: usize,
        excluded: impl Fn(usize) -> bool + Copy,
        tests: &SequentialTests,
    ) -> Option<Alarm> {
        let groups = (0..=domains).map(Group::from_index);
        let alarms = groups.flat_map(|group| {
            self.statistics(group).filter(|(_, cusum)| cusum.value >= tests.threshold).filter_map(
                move |(test, cusum)| {
                    let observers = self.observers(now, group, excluded);
                    let reporting = self.observers(now, Group::All, excluded);
                    let enough = reporting < MIN_OBSERVERS
                        || self.is_corroborated(group, test, cusum, tests);
                    enough.then_some(Alarm {
                        group: self.affected_group(now, domains, cusum),
                        tested_group: group,
                        kind: test / tests.per_kind(),
                        since: cusum.since,
                        unreported: cusum.unreported(),
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

    /// Returns the number of observers of the group that reported within [`REPORTING_SLOTS`] and
    /// are not excluded.
    pub(crate) fn observers(
        &self,
        now: u64,
        group: Group,
        excluded: impl Fn(usize) -> bool,
    ) -> u32 {
        let reporting = self.reporting(now).filter(|(_, evidence)| group.contains(evidence.domain));
        let count = reporting.filter(|(observer, _)| !excluded(*observer)).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Returns the observers that reported within [`REPORTING_SLOTS`], with their indexes.
    pub(crate) fn reporting(
        &self,
        now: u64,
    ) -> impl Iterator<Item = (usize, &ObserverEvidence)> + '_ {
        let evidence = self.by_observer.iter().enumerate();
        let evidence = evidence.filter_map(|(observer, evidence)| {
            evidence.as_ref().map(|evidence| (observer, evidence))
        });
        evidence.filter(move |(_, evidence)| now.saturating_sub(evidence.covered) < REPORTING_SLOTS)
    }

    /// Returns true if the upstream is healthy according to the evidence without that of one
    /// observer.
    pub(crate) fn is_healthy_without(
        &self,
        evidence: &ObserverEvidence,
        tests: &SequentialTests,
    ) -> bool {
        let limit = APPEARS_FAULTY_SHARE * tests.threshold;
        let groups = [Group::All, Group::Domain(evidence.domain)];
        groups.into_iter().all(|group| {
            self.statistics(group).all(|(test, cusum)| {
                cusum.value - evidence.statistics.get(test).copied().unwrap_or(0.0) < limit
            })
        })
    }

    /// Removes the evidence of an observer from the statistics.
    pub(crate) fn exclude(&mut self, observer: usize) {
        let Some(evidence) = self.by_observer.get_mut(observer).and_then(Option::as_mut) else {
            return;
        };
        for spread in evidence.recent_reports.drain(..) {
            self.window.add(evidence.domain, &spread, -1.0);
        }
        let per_group = evidence.statistics.len();
        for group in [Group::All, Group::Domain(evidence.domain)] {
            let start = group.index() * per_group;
            let cusums = self.base.iter_mut().skip(start).take(per_group);
            for (cusum, own) in cusums.zip(&evidence.statistics) {
                cusum.value -= own;
                cusum.by_domain[evidence.domain] -= own;
                if cusum.value <= 0.0 {
                    *cusum = Cusum::default();
                }
            }
        }
    }

    /// Returns true if recent evidence confirms the fault that the group sees.
    pub(crate) fn is_confirmed(&self, now: u64, group: Group, tests: &SequentialTests) -> bool {
        let recent = self.evidence_age(now, group).is_some_and(|age| age < FAULT_EXPIRY_SLOTS);
        recent && self.score(group) >= APPEARS_FAULTY_SHARE * tests.threshold
    }

    /// Ends the fault that the group saw. Its statistics are reset to a head start.
    pub(crate) fn end_fault(&mut self, fault: Group, tests: &SequentialTests) {
        self.reset(fault, HEAD_START_SHARE * tests.threshold);
        // Requests stopped with the ejection, so the lack of reports is no evidence.
        for evidence in
            self.by_observer.iter_mut().flatten().filter(|evidence| fault.contains(evidence.domain))
        {
            evidence.request_rate = 0.0;
        }
        self.status = Status::Recovering(fault, Counts::default());
    }

    /// Discards the evidence of a group, and resets its statistics to `head_start`, in nats.
    pub(crate) fn reset(&mut self, reset_group: Group, head_start: f64) {
        self.window.discard(|domain| reset_group.contains(domain));
        let since = self.window.first();
        for (index, cusum) in self.base.iter_mut().enumerate() {
            let group = Group::from_index(index / self.per_group);
            if reset_group == Group::All || group == reset_group {
                *cusum = Cusum { value: head_start, head_start, since, ..Cusum::default() };
            } else if let (Group::All, Group::Domain(domain)) = (group, reset_group) {
                cusum.remove_domain(domain);
            }
        }
        for evidence in self
            .by_observer
            .iter_mut()
            .flatten()
            .filter(|evidence| reset_group.contains(evidence.domain))
        {
            evidence.statistics.fill(0.0);
            evidence.max_statistic = 0.0;
            evidence.recent_reports.clear();
        }
    }

    /// Returns the responses of a kind and group in the slots of the window from `since` on.
    pub(crate) fn responses(&self, kind: usize, group: Group, since: u64) -> ResponseCounts {
        self.window.responses(kind, group, since)
    }

    /// Returns the statistics of a group with their indexes.
    fn statistics(&self, group: Group) -> impl Iterator<Item = (usize, &Cusum)> + '_ {
        let start = group.index() * self.per_group;
        self.current.iter().skip(start).take(self.per_group).enumerate()
    }

    /// Returns the number of slots since the latest evidence of a group.
    fn evidence_age(&self, now: u64, group: Group) -> Option<u64> {
        let domains = self.last_evidence.iter().enumerate();
        let last = domains.filter(|(domain, _)| group.contains(*domain)).filter_map(|(_, at)| *at);
        last.max().map(|at| now.saturating_sub(at))
    }

    /// Returns true if other observers than the strongest one contribute enough to the statistic.
    fn is_corroborated(
        &self,
        group: Group,
        test: usize,
        cusum: &Cusum,
        tests: &SequentialTests,
    ) -> bool {
        let in_group =
            self.by_observer.iter().flatten().filter(|evidence| group.contains(evidence.domain));
        let own = in_group.filter_map(|evidence| evidence.statistics.get(test));
        let strongest = own.fold(0.0, |max: f64, own| max.max(*own));
        let needed = tests.threshold - cusum.head_start;
        let others = cusum.value - cusum.head_start - strongest;
        others >= (OTHERS_SHARE_OF_NEEDED * needed).max(OTHERS_SHARE_OF_STRONGEST * strongest)
            || group == Group::All && is_corroborated_by_second_domain(cusum, needed)
    }

    /// Returns the failure domain whose observers alone see the fault, or all observers.
    fn affected_group(&self, now: u64, domains: usize, cusum: &Cusum) -> Group {
        let reporting = (0..domains).filter(|d| self.is_reported(now, Group::Domain(*d)));
        let strongest = cusum.by_domain.iter().copied().fold(0.0, f64::max);
        let is_affected =
            |domain: &usize| cusum.by_domain[*domain] > AFFECTED_DOMAIN_SHARE * strongest;
        let mut affected = (0..domains).filter(is_affected);
        match (affected.next(), affected.next()) {
            (Some(only), None) if reporting.count() > 1 => Group::Domain(only),
            _ => Group::All,
        }
    }
}

/// Returns true if a second failure domain, and so another observer, contributes enough to a
/// statistic of all observers. The value of the statistic does not show this once it is at its
/// upper limit, which the evidence of the strongest observer alone can reach. Without this check, a
/// fault that one domain saw first remained a fault of that domain only.
fn is_corroborated_by_second_domain(cusum: &Cusum, needed: f64) -> bool {
    let mut evidence = cusum.by_domain;
    evidence.sort_unstable_by(|a, b| b.total_cmp(a));
    let [strongest, second, ..] = evidence;
    second >= (OTHERS_SHARE_OF_NEEDED * needed).max(OTHERS_SHARE_OF_STRONGEST * strongest)
}

impl ObserverEvidence {
    /// Updates the statistics of this observer alone. Ok responses are added first because they
    /// were reported with a delay. Values are limited to `cap`, which is low for an excluded
    /// observer so that it can be readmitted.
    fn update_statistics(&mut self, spread: &SpreadCounts, tests: &SequentialTests, cap: f64) {
        self.statistics.resize(KINDS * tests.per_kind(), 0.0);
        let counts = spread.counts;
        let failures = f64::from(counts.failures());
        let (ok, slow) = (f64::from(counts.ok), f64::from(counts.slow));
        for (own, (kind, _, ratio)) in self.statistics.iter_mut().zip(tests.iter()) {
            let (bad, good) = if kind == 0 { (failures, ok + slow) } else { (slow, ok) };
            let value = (*own + good * ratio.good).max(0.0) + bad * ratio.bad;
            *own = value.min(cap);
        }
        self.max_statistic = self.statistics.iter().copied().fold(0.0, f64::max);
    }
}

/// Adds one slot to all statistics.
fn add_slot(cusums: &mut [Cusum], slot: &Slot<'_>, tests: &SequentialTests, cap: f64) {
    let per_group = KINDS * tests.per_kind();
    if slot.has_no_bad() && cusums.iter().all(|cusum| cusum.value <= 0.0) {
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
