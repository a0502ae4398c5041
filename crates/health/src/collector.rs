//! Collector of a service, which turns the evidence of all observers into verdicts.

use std::collections::BTreeMap;
use std::time::Instant;

use cactustrack_types::{
    Counts, DetectionPolicy, FailureDomain, Incarnation, Scope, ServiceId, UpstreamId, Verdict,
    VerdictHealth,
};

use crate::alarm::Alarm;
use crate::baseline::{ResponseCounts, baseline_rate, concurrent_rate, trimmed_rate};
use crate::cusum::{FAULT_RATES, Group, KINDS, log_likelihood_ratio};
use crate::evidence::EXCHANGE_INTERVAL;
use crate::explain::{Decision, DecisionHistory};
use crate::observers::{Observers, Registration};
use crate::readmission::TRIAL_OK_RESPONSES;
use crate::report::{Report, ReportEntry};
use crate::upstream::{APPEARS_FAULTY_SHARE, SequentialTests, Status, Upstream};
use crate::window::MAX_REPORT_SLOTS;

/// Number of upstreams kept for a service. Evidence about further ones is discarded.
const MAX_UPSTREAMS: usize = 512;

/// Slots (3 s, and the whole window) over which an alarm is compared with the other upstreams, in
/// addition to those since its statistic was zero. A few bad responses that arrive in one slot can
/// raise an alarm before the other upstreams have responses in that slot.
const LOOKBACK_SLOTS: [u64; 2] = [6, 14];

/// Share of the bad responses of an alarm that its latest burst must contain.
const BURST_SHARE: f64 = 0.6;
/// Responses of other upstreams that an alarm requires. If the cause is shared and most responses
/// are bad, the probability that none of this many is bad is below 1%.
const MIN_OTHER_RESPONSES: f64 = 5.0;

/// Determines the health of the upstreams of one service from the reports of all observers.
///
/// Evidence is kept in slots of [`EXCHANGE_INTERVAL`] in the order in which it arose, because bad
/// evidence is reported at once and ok evidence up to five seconds later. For slots that an
/// observer's reports do not cover yet, the lack of a report is taken as the absence of bad
/// responses at the observer's average request rate. Without this, bad responses would enter the
/// statistics earlier than the good ones between them, which would raise false alarms.
#[derive(Debug)]
pub struct Collector {
    service: ServiceId,
    policy: DetectionPolicy,
    origin: Instant,
    observers: Observers,
    upstreams: BTreeMap<UpstreamId, Upstream>,
    tests: SequentialTests,
    baselines: [f64; KINDS],
    seq: u64,
    decisions: DecisionHistory,
}

impl Collector {
    /// Creates a collector of a service without evidence.
    pub fn new(now: Instant, service: ServiceId, policy: DetectionPolicy) -> Self {
        let mut collector = Self {
            service,
            policy,
            origin: now,
            observers: Observers::default(),
            upstreams: BTreeMap::new(),
            tests: SequentialTests { threshold: 0.0, ratios: [Vec::new(), Vec::new()] },
            baselines: [0.0; KINDS],
            seq: 0,
            decisions: DecisionHistory::new(now),
        };
        collector.update_tests();
        collector
    }

    /// Adds a report. Reports for another service or of an earlier incarnation of the observer
    /// are discarded, and so are entries of an earlier incarnation of an upstream.
    pub fn add_report(&mut self, now: Instant, report: &Report) {
        if report.service != self.service {
            return;
        }
        let slot = self.slot(now);
        let (observer, domain) = match self.observers.register(slot, &report.observer) {
            Registration::Known(observer, domain) => (observer, domain),
            Registration::New(observer, domain) => {
                self.remove_observer(observer);
                (observer, domain)
            }
            Registration::Rejected => return,
        };
        for entry in &report.entries {
            self.add_entry(slot, observer, domain, entry);
        }
    }

    /// Updates statistics, excluded observers and verdicts. Called at least once per
    /// [`EXCHANGE_INTERVAL`].
    pub fn tick(&mut self, now: Instant) {
        let slot = self.slot(now);
        for observer in self.observers.expire(slot) {
            self.remove_observer(observer);
        }
        self.update_tests();
        self.evaluate(slot);
        let excluded = self.observers.update_excluded(slot, self.upstreams.values(), &self.tests);
        if !excluded.is_empty() {
            for (observer, instance) in excluded {
                self.upstreams.values_mut().for_each(|upstream| upstream.exclude(observer));
                self.decisions.push(now, Decision::observer_excluded(&self.service, instance));
            }
            self.evaluate(slot);
        }
        self.update_verdicts(now, slot);
    }

    /// Returns the verdicts that changed after the given sequence number, ordered by upstream id.
    pub fn verdicts_since(&self, seq: u64) -> Vec<Verdict> {
        let verdicts = self.upstreams.values().filter_map(|upstream| upstream.verdict.as_ref());
        verdicts.filter(|verdict| verdict.seq > seq).cloned().collect()
    }

    /// Returns the sequence number of the latest change of a verdict.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// Returns true if the evidence of an observer is not used, because most upstreams appear
    /// faulty to it and healthy to others.
    pub fn is_excluded(&self, observer: &str) -> bool {
        self.observers.is_instance_excluded(observer)
    }

    /// Returns recent rejections of an ejection because of a shared cause, and exclusions of
    /// observers.
    pub fn decisions(&self) -> &DecisionHistory {
        &self.decisions
    }

    /// Returns the baseline rates of failures and of slow responses, as shares from 0 to 1.
    pub fn baselines(&self) -> (f64, f64) {
        (self.baselines[0], self.baselines[1])
    }

    /// Returns the score of an upstream over all observers at the last [`Collector::tick`], in
    /// nats.
    pub fn score(&self, upstream: &str) -> Option<f64> {
        self.upstreams.get(upstream).map(|upstream| upstream.score(Group::All))
    }

    /// Replaces the policy. Statistics keep their values and are compared with the new threshold.
    pub fn set_policy(&mut self, policy: DetectionPolicy) {
        self.policy = policy;
        self.update_tests();
    }

    /// Removes upstreams for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(&UpstreamId) -> bool) {
        self.upstreams.retain(|id, _| keep(id));
    }

    /// Returns the number of the slot at the given time.
    fn slot(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.origin).as_millis();
        // Slot numbers start well above 0 so that a report can cover time before the collector
        // started.
        u64::try_from(elapsed / EXCHANGE_INTERVAL.as_millis()).unwrap_or(u64::MAX / 2) + 1000
    }

    /// Removes the state kept for an observer from all upstreams.
    fn remove_observer(&mut self, observer: usize) {
        for upstream in self.upstreams.values_mut() {
            if let Some(evidence) = upstream.by_observer.get_mut(observer) {
                *evidence = None;
            }
        }
    }

    fn add_entry(&mut self, slot: u64, observer: usize, domain: usize, entry: &ReportEntry) {
        let (id, incarnation, counts) = entry;
        if !self.upstreams.contains_key(id) {
            if self.upstreams.len() >= MAX_UPSTREAMS {
                return;
            }
            self.upstreams.insert(UpstreamId::clone(id), Upstream::new(*incarnation, 0));
        }
        let Some(upstream) = self.upstreams.get_mut(id) else { return };
        if *incarnation < upstream.incarnation {
            return;
        }
        if *incarnation > upstream.incarnation {
            let had_verdict = upstream.verdict.is_some();
            *upstream = Upstream::new(*incarnation, slot.saturating_sub(1));
            if had_verdict {
                self.seq += 1;
                upstream.verdict = Some(healthy_verdict(id, *incarnation, self.seq, &self.tests));
            }
        }
        upstream.advance(slot, self.observers.domains().len(), &self.tests);
        let excluded = self.observers.is_excluded(observer);
        upstream.add(slot, (observer, domain, excluded), *counts, &self.tests);
    }

    /// Updates the baseline rates, the ratios and the threshold of the sequential tests.
    fn update_tests(&mut self) {
        let rates = self.fault_rates();
        for kind in 0..KINDS {
            let upstream_rates = self.upstreams.values().map(|upstream| &upstream.rates);
            self.baselines[kind] = baseline_rate(upstream_rates, kind);
            let ratios = rates.iter().map(|rate| log_likelihood_ratio(self.baselines[kind], *rate));
            self.tests.ratios[kind] = ratios.collect();
        }
        self.tests.threshold = self.policy.mean_samples_between_false_alarms.max(2.0).ln();
    }

    /// Computes the statistics of all upstreams.
    fn evaluate(&mut self, slot: u64) {
        let observers = &self.observers;
        let domains = observers.domains().len();
        for upstream in self.upstreams.values_mut() {
            upstream.advance(slot, domains, &self.tests);
            upstream.evaluate(slot, |observer| observers.is_excluded(observer), &self.tests);
        }
    }

    /// Updates the status of each upstream, and publishes verdicts that changed.
    fn update_verdicts(&mut self, now: Instant, slot: u64) {
        let alarms = self.alarms(slot);
        if !alarms.is_empty() {
            // The comparison with other upstreams includes the expected responses of the current
            // slot. Otherwise that slot would contain only bad responses, because ok ones are not
            // reported yet.
            let observers = &self.observers;
            for upstream in self.upstreams.values_mut() {
                upstream.set_unreported(slot, slot, |observer| observers.is_excluded(observer));
            }
        }
        for (id, alarm) in alarms {
            match self.cause(slot, &id, &alarm) {
                Cause::Isolated => self.declare_faulty(&id, &alarm),
                Cause::Undetermined => {}
                Cause::Shared(suspected, total) => {
                    self.reject_ejection(now, &id, &alarm, (suspected, total));
                    // The remaining alarms are based on the discarded evidence as well.
                    break;
                }
            }
        }
        for (id, upstream) in &mut self.upstreams {
            Self::update_recovery(slot, id, upstream, &mut self.seq, &self.tests);
        }
    }

    /// Returns the alarms that change the status of their upstream, the strongest first.
    fn alarms(&self, slot: u64) -> Vec<(UpstreamId, Alarm)> {
        let observers = &self.observers;
        let domains = observers.domains().len();
        let excluded = |observer| observers.is_excluded(observer);
        let alarms = self.upstreams.iter().filter_map(|(id, upstream)| {
            let alarm = upstream.alarm(slot, domains, excluded, &self.tests)?;
            changes_status(upstream.status, alarm.group).then(|| (UpstreamId::clone(id), alarm))
        });
        let mut alarms: Vec<_> = alarms.collect();
        alarms.sort_by(|(_, a), (_, b)| b.value.total_cmp(&a.value));
        alarms
    }

    /// Publishes the verdict that an upstream is faulty.
    fn declare_faulty(&mut self, id: &UpstreamId, alarm: &Alarm) {
        let Some(upstream) = self.upstreams.get_mut(id) else { return };
        self.seq += 1;
        let scope = match alarm.group {
            Group::All => Scope::Everywhere,
            Group::Domain(domain) => {
                Scope::Domain(FailureDomain::clone(&self.observers.domains()[domain]))
            }
        };
        upstream.status = Status::Faulty(alarm.group);
        upstream.verdict = Some(Verdict {
            upstream: UpstreamId::clone(id),
            incarnation: upstream.incarnation,
            health: VerdictHealth::Faulty { scope },
            score: alarm.value,
            threshold: self.tests.threshold,
            evidence: to_counts(alarm.counts),
            observers: alarm.observers,
            seq: self.seq,
        });
    }

    /// Rejects an ejection because of a shared cause, and discards the evidence about all
    /// upstreams, which that cause explains. If it was kept, an upstream that recovers a little
    /// later than the others would be ejected.
    fn reject_ejection(
        &mut self,
        now: Instant,
        id: &UpstreamId,
        alarm: &Alarm,
        shared: (usize, usize),
    ) {
        let decision = Decision::shared_cause(
            (&self.service, id),
            (alarm.value, self.tests.threshold),
            (to_counts(alarm.counts), alarm.observers),
            shared,
        );
        self.decisions.push_once(now, decision);
        for upstream in self.upstreams.values_mut() {
            if !upstream.is_faulty() {
                upstream.reset(alarm.tested_group, 0.0);
            }
        }
    }

    /// Ends a fault that evidence no longer confirms, and publishes the evidence after a fault.
    fn update_recovery(
        slot: u64,
        id: &UpstreamId,
        upstream: &mut Upstream,
        seq: &mut u64,
        tests: &SequentialTests,
    ) {
        match upstream.status {
            Status::Healthy => {}
            Status::Faulty(group) => {
                if upstream.is_confirmed(slot, group, tests) {
                    return;
                }
                upstream.end_fault(group, tests);
                *seq += 1;
                upstream.verdict = Some(healthy_verdict(id, upstream.incarnation, *seq, tests));
            }
            Status::Recovering(_, counts) => {
                let Some(verdict) = &mut upstream.verdict else { return };
                if verdict.evidence != counts {
                    *seq += 1;
                    verdict.evidence = counts;
                    verdict.seq = *seq;
                }
                if counts.ok >= TRIAL_OK_RESPONSES {
                    upstream.status = Status::Healthy;
                }
            }
        }
    }

    /// Determines whether a fault is limited to one upstream or has a cause shared with others.
    ///
    /// The cause is shared if more than half of the upstreams appear faulty, or if the evidence is
    /// not significant against the concurrent rate of bad responses of the better ones of the
    /// others. It is isolated if the evidence is significant against the rate of all others.
    fn cause(&self, slot: u64, id: &UpstreamId, alarm: &Alarm) -> Cause {
        let group = alarm.tested_group;
        let reported = self.upstreams.values().filter(|upstream| upstream.is_reported(slot, group));
        let total = reported.clone().count();
        let suspected =
            reported.filter(|upstream| upstream.appears_faulty(group, &self.tests)).count();
        if suspected * 2 > total {
            return Cause::Shared(suspected, total);
        }
        let (all, trimmed) = self.concurrent_rates(slot, id, alarm);
        let fault_rates = self.fault_rates();
        let is_significant = alarm.score_against(all, &fault_rates) >= self.tests.threshold;
        if is_significant && self.others_had_responses(slot, id, alarm) {
            Cause::Isolated
        } else if alarm.score_against(trimmed, &fault_rates)
            < APPEARS_FAULTY_SHARE * self.tests.threshold
        {
            Cause::Shared(self.count_affected(id, alarm), total)
        } else {
            Cause::Undetermined
        }
    }

    /// Returns true if the other upstreams had enough responses since most of the bad ones of the
    /// alarm arrived, so that a shared cause would have shown, or if those are older than a report
    /// can cover.
    fn others_had_responses(&self, slot: u64, id: &UpstreamId, alarm: &Alarm) -> bool {
        let Some(upstream) = self.upstreams.get(id) else { return true };
        let bad = |since| upstream.responses(alarm.kind, alarm.tested_group, since).bad;
        let needed = BURST_SHARE * bad(alarm.since);
        let burst = (0..MAX_REPORT_SLOTS).map(|age| slot - age).find(|since| bad(*since) >= needed);
        let Some(burst) = burst else { return true };
        let others = self.upstreams.iter().filter(|(other, _)| *other != id);
        let responses = others.map(|(_, other)| other.responses(alarm.kind, Group::All, burst));
        responses
            .map(|responses| responses.bad + responses.good + responses.unreported)
            .sum::<f64>()
            >= MIN_OTHER_RESPONSES
    }

    /// Returns the largest rates of bad responses of the other upstreams in the period of the
    /// alarm: of all that are not known to be faulty, and of all without the worst ones.
    fn concurrent_rates(&self, slot: u64, id: &UpstreamId, alarm: &Alarm) -> (f64, f64) {
        let baseline = self.baselines[alarm.kind];
        let others = self.upstreams.iter().filter(|(other, _)| *other != id);
        let others: Vec<&Upstream> = others.map(|(_, other)| other).collect();
        let rates = |responses: &dyn Fn(&Upstream) -> ResponseCounts| {
            let not_faulty = others.iter().filter(|other| !other.is_faulty());
            let all: Vec<ResponseCounts> = not_faulty.map(|other| responses(other)).collect();
            let of_all = others.iter().map(|other| responses(other)).collect();
            (concurrent_rate(&all, baseline), trimmed_rate(of_all, baseline))
        };
        if starts_before_window(slot, alarm) {
            return rates(&|other| other.rates.recent(alarm.kind));
        }
        let (mut all, mut trimmed) = (baseline, baseline);
        let lookbacks = LOOKBACK_SLOTS.map(|slots| slot.saturating_sub(slots).min(alarm.since));
        for since in [alarm.since].into_iter().chain(lookbacks) {
            // One failure domain has few responses, so those of all observers are compared as well.
            for group in [alarm.tested_group, Group::All] {
                let current = rates(&|other| other.responses(alarm.kind, group, since));
                (all, trimmed) = (current.0.max(all), current.1.max(trimmed));
            }
        }
        (all, trimmed)
    }

    /// Returns the number of upstreams with bad responses in the window, including the one of the
    /// alarm.
    fn count_affected(&self, id: &UpstreamId, alarm: &Alarm) -> usize {
        let affected = self.upstreams.iter().filter(|(other, upstream)| {
            *other == id || upstream.responses(alarm.kind, alarm.tested_group, 0).bad > 0.0
        });
        affected.count()
    }

    /// Returns the fault rates under test.
    fn fault_rates(&self) -> Vec<f64> {
        let smallest = self.policy.smallest_fault_rate;
        let rates: Vec<f64> = FAULT_RATES.into_iter().filter(|rate| *rate >= smallest).collect();
        if rates.is_empty() { vec![1.0] } else { rates }
    }
}

/// Cause of an alarm.
enum Cause {
    /// A fault of the upstream alone.
    Isolated,
    /// More evidence is needed.
    Undetermined,
    /// A cause that upstreams share: the number of affected ones, and of all with evidence.
    Shared(usize, usize),
}

/// Returns true if the evidence of an alarm starts before the window. It is then compared with
/// rates over a longer time, in which single bad responses of the others have less weight.
fn starts_before_window(slot: u64, alarm: &Alarm) -> bool {
    alarm.since + LOOKBACK_SLOTS[1] < slot
}

/// Returns true if an alarm of a group changes the status.
fn changes_status(status: Status, group: Group) -> bool {
    match status {
        Status::Healthy | Status::Recovering(..) => true,
        Status::Faulty(known) => known != Group::All && known != group,
    }
}

fn to_counts([ok, refused, failed, cut_short, slow]: [f64; 5]) -> Counts {
    let whole = |count: f64| count.round().clamp(0.0, f64::from(u32::MAX)) as u32;
    Counts {
        ok: whole(ok),
        refused: whole(refused),
        failed: whole(failed),
        cut_short: whole(cut_short),
        slow: whole(slow),
        ..Counts::default()
    }
}

fn healthy_verdict(
    id: &UpstreamId,
    incarnation: Incarnation,
    seq: u64,
    tests: &SequentialTests,
) -> Verdict {
    Verdict {
        upstream: UpstreamId::clone(id),
        incarnation,
        health: VerdictHealth::Healthy,
        score: 0.0,
        threshold: tests.threshold,
        evidence: Counts::default(),
        observers: 0,
        seq,
    }
}
