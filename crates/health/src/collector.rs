//! The collector of a service: evidence of all observers in, verdicts out.

use std::collections::BTreeMap;
use std::time::Instant;

use cactustrack_types::{
    Counts, DetectionPolicy, FailureDomain, Incarnation, Scope, ServiceId, UpstreamId, Verdict,
    VerdictHealth,
};

use crate::alarm::Alarm;
use crate::baseline::{Answers, baseline, contemporary_rate, trimmed_rate};
use crate::cusum::{FAULT_RATES, Group, KINDS, log_likelihood_ratio};
use crate::evidence::EXCHANGE_INTERVAL;
use crate::explain::{Decision, DecisionHistory};
use crate::observers::{Admitted, Observers};
use crate::readmission::TRIAL_GOOD_ANSWERS;
use crate::report::{Report, ReportEntry};
use crate::upstream::{APPEARS_FAULTY, Status, Tests, Upstream};
use crate::window::MAX_SPAN;

/// Upstreams kept for a service. Evidence about further ones is dropped.
const MAX_UPSTREAMS: usize = 512;

/// Slots (3 s, and the whole window) over which an alarm is compared with the other upstreams, next
/// to those since its statistic was zero. A few bad answers that arrive in one slot raise an alarm
/// before the others have answers in that slot.
const LOOKBACK_SLOTS: [u64; 2] = [6, 14];

/// Share of the bad answers of an alarm that make up its latest burst.
const BURST_SHARE: f64 = 0.6;
/// Answers of other upstreams that an alarm waits for. If a cause is shared and most answers are bad,
/// the chance that none of so many is bad is below 1%.
const MIN_OTHER_ANSWERS: f64 = 5.0;

/// Judges the upstreams of one service from the reports of all observers.
///
/// Evidence is kept in slots of [`EXCHANGE_INTERVAL`] in the order in which it arose, because bad
/// evidence is reported at once and ok evidence up to five seconds later. For slots that an
/// observer's reports do not cover yet, its silence counts as the absence of bad answers at the
/// observer's usual request rate. Without this, the statistics would see bad answers early and the
/// good ones between them late, and would raise false alarms.
#[derive(Debug)]
pub struct Collector {
    service: ServiceId,
    policy: DetectionPolicy,
    origin: Instant,
    observers: Observers,
    upstreams: BTreeMap<UpstreamId, Upstream>,
    tests: Tests,
    baselines: [f64; KINDS],
    seq: u64,
    decisions: DecisionHistory,
}

impl Collector {
    /// Creates a collector of a service that knows no evidence.
    pub fn new(now: Instant, service: ServiceId, policy: DetectionPolicy) -> Self {
        let mut collector = Self {
            service,
            policy,
            origin: now,
            observers: Observers::default(),
            upstreams: BTreeMap::new(),
            tests: Tests { threshold: 0.0, ratios: [Vec::new(), Vec::new()] },
            baselines: [0.0; KINDS],
            seq: 0,
            decisions: DecisionHistory::new(now),
        };
        collector.update_tests();
        collector
    }

    /// Takes a report. Reports for another service or of an earlier incarnation of the observer
    /// are dropped, and so are entries of an earlier incarnation of an upstream.
    pub fn report(&mut self, now: Instant, report: &Report) {
        if report.service != self.service {
            return;
        }
        let slot = self.slot(now);
        let (observer, domain) = match self.observers.admit(slot, &report.observer) {
            Admitted::Known(observer, domain) => (observer, domain),
            Admitted::Fresh(observer, domain) => {
                self.forget_observer(observer);
                (observer, domain)
            }
            Admitted::Rejected => return,
        };
        for entry in &report.entries {
            self.take_entry(slot, observer, domain, entry);
        }
    }

    /// Judges all upstreams at the given time. Called at least once per [`EXCHANGE_INTERVAL`].
    pub fn tick(&mut self, now: Instant) {
        let slot = self.slot(now);
        for observer in self.observers.expire(slot) {
            self.forget_observer(observer);
        }
        self.update_tests();
        self.evaluate(slot);
        let excluded = self.observers.update_excluded(slot, self.upstreams.values(), &self.tests);
        if !excluded.is_empty() {
            for (observer, instance) in excluded {
                self.upstreams.values_mut().for_each(|upstream| upstream.exclude(observer));
                self.decisions.push(now, Decision::of_observer(&self.service, instance));
            }
            self.evaluate(slot);
        }
        self.judge(now, slot);
    }

    /// Verdicts that changed after the given sequence number, ordered by upstream id.
    pub fn verdicts_since(&self, seq: u64) -> Vec<Verdict> {
        let verdicts = self.upstreams.values().filter_map(|upstream| upstream.verdict.as_ref());
        verdicts.filter(|verdict| verdict.seq > seq).cloned().collect()
    }

    /// Sequence number of the latest change.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// Returns true if the evidence of an observer is not used, because most upstreams appear faulty
    /// to it and healthy to others.
    pub fn is_excluded(&self, observer: &str) -> bool {
        self.observers.is_excluded(observer)
    }

    /// Recent refusals because of a shared cause and exclusions of observers.
    pub fn decisions(&self) -> &DecisionHistory {
        &self.decisions
    }

    /// Rate of failures and of slow answers that is usual for the service, as shares from 0 to 1.
    pub fn baselines(&self) -> (f64, f64) {
        (self.baselines[0], self.baselines[1])
    }

    /// Score of an upstream over all observers at the last [`Collector::tick`], in nats.
    pub fn score(&self, upstream: &str) -> Option<f64> {
        self.upstreams.get(upstream).map(|upstream| upstream.score(Group::All))
    }

    /// Replaces the policy. Statistics go on with the new threshold.
    pub fn set_policy(&mut self, policy: DetectionPolicy) {
        self.policy = policy;
        self.update_tests();
    }

    /// Forgets upstreams for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(&UpstreamId) -> bool) {
        self.upstreams.retain(|id, _| keep(id));
    }

    fn slot(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.origin).as_millis();
        // Slots start well above 0 so that a report can cover time before the collector started.
        u64::try_from(elapsed / EXCHANGE_INTERVAL.as_millis()).unwrap_or(u64::MAX / 2) + 1000
    }

    fn forget_observer(&mut self, observer: usize) {
        for upstream in self.upstreams.values_mut() {
            if let Some(seen) = upstream.seen.get_mut(observer) {
                *seen = None;
            }
        }
    }

    fn take_entry(&mut self, slot: u64, observer: usize, domain: usize, entry: &ReportEntry) {
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
                upstream.verdict = Some(good_verdict(id, *incarnation, self.seq, &self.tests));
            }
        }
        upstream.advance(slot, self.observers.domains().len(), &self.tests);
        let excluded = self.observers.is_excluded(observer);
        upstream.add(slot, (observer, domain, excluded), *counts, &self.tests);
    }

    fn update_tests(&mut self) {
        let rates = self.fault_rates();
        for kind in 0..KINDS {
            let known = self.upstreams.values().map(|upstream| &upstream.rates);
            self.baselines[kind] = baseline(known, kind);
            let ratios = rates.iter().map(|rate| log_likelihood_ratio(self.baselines[kind], *rate));
            self.tests.ratios[kind] = ratios.collect();
        }
        self.tests.threshold = self.policy.mean_samples_between_false_alarms.max(2.0).ln();
    }

    fn evaluate(&mut self, slot: u64) {
        let observers = &self.observers;
        let domains = observers.domains().len();
        for upstream in self.upstreams.values_mut() {
            upstream.advance(slot, domains, &self.tests);
            upstream.evaluate(slot, |observer| observers.is_excluded(observer), &self.tests);
        }
    }

    /// Moves the status of each upstream on and publishes verdicts that changed.
    fn judge(&mut self, now: Instant, slot: u64) {
        let alarms = self.alarms(slot);
        if !alarms.is_empty() {
            // The comparison with other upstreams takes the present slot as complete. Otherwise it
            // would hold only bad answers, because ok ones are not reported yet.
            let observers = &self.observers;
            for upstream in self.upstreams.values_mut() {
                upstream.set_silence(slot, slot, |observer| observers.is_excluded(observer));
            }
        }
        for (id, alarm) in alarms {
            match self.cause(slot, &id, &alarm) {
                Cause::Own => self.declare_faulty(&id, &alarm),
                Cause::Open => {}
                Cause::Shared(appear, total) => {
                    self.refuse(now, &id, &alarm, (appear, total));
                    // Later alarms rest on the dropped evidence as well.
                    break;
                }
            }
        }
        for (id, upstream) in &mut self.upstreams {
            Self::follow_up(slot, id, upstream, &mut self.seq, &self.tests);
        }
    }

    /// Alarms that change the status of their upstream, the strongest first.
    fn alarms(&self, slot: u64) -> Vec<(UpstreamId, Alarm)> {
        let observers = &self.observers;
        let domains = observers.domains().len();
        let excluded = |observer| observers.is_excluded(observer);
        let alarms = self.upstreams.iter().filter_map(|(id, upstream)| {
            let alarm = upstream.alarm(slot, domains, excluded, &self.tests)?;
            is_news(upstream.status, alarm.group).then(|| (UpstreamId::clone(id), alarm))
        });
        let mut alarms: Vec<_> = alarms.collect();
        alarms.sort_by(|(_, a), (_, b)| b.value.total_cmp(&a.value));
        alarms
    }

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

    /// Refuses an ejection because of a shared cause. The evidence of all upstreams is explained by
    /// that cause and is dropped. If it was kept, an upstream that recovers a little later than
    /// the others would be ejected.
    fn refuse(&mut self, now: Instant, id: &UpstreamId, alarm: &Alarm, shared: (usize, usize)) {
        let decision = Decision::of_shared_cause(
            (&self.service, id),
            (alarm.value, self.tests.threshold),
            (to_counts(alarm.counts), alarm.observers),
            shared,
        );
        self.decisions.push_once(now, decision);
        for upstream in self.upstreams.values_mut() {
            if !upstream.is_faulty() {
                upstream.restart(alarm.tested, 0.0);
            }
        }
    }

    /// Ends a fault without evidence, and publishes how an upstream does after a fault.
    fn follow_up(
        slot: u64,
        id: &UpstreamId,
        upstream: &mut Upstream,
        seq: &mut u64,
        tests: &Tests,
    ) {
        match upstream.status {
            Status::Good => {}
            Status::Faulty(group) => {
                if upstream.is_confirmed(slot, group, tests) {
                    return;
                }
                upstream.recover(group, tests);
                *seq += 1;
                upstream.verdict = Some(good_verdict(id, upstream.incarnation, *seq, tests));
            }
            Status::Recovering(_, counts) => {
                let Some(verdict) = &mut upstream.verdict else { return };
                if verdict.evidence != counts {
                    *seq += 1;
                    verdict.evidence = counts;
                    verdict.seq = *seq;
                }
                if counts.ok >= TRIAL_GOOD_ANSWERS {
                    upstream.status = Status::Good;
                }
            }
        }
    }

    /// Tells a fault of one upstream from one that it shares with others.
    ///
    /// The cause is shared if more than half appear faulty, or if the evidence does not stand
    /// against the rate at which the better ones of the others fail at the same time. It is the
    /// upstream's own if its evidence stands against the rate of all others.
    fn cause(&self, slot: u64, id: &UpstreamId, alarm: &Alarm) -> Cause {
        let group = alarm.tested;
        let reported = self.upstreams.values().filter(|upstream| upstream.is_reported(slot, group));
        let total = reported.clone().count();
        let appear =
            reported.filter(|upstream| upstream.appears_faulty(group, &self.tests)).count();
        if appear * 2 > total {
            return Cause::Shared(appear, total);
        }
        let (all, trimmed) = self.contemporary_rates(slot, id, alarm);
        let fault_rates = self.fault_rates();
        let stands = alarm.score_against(all, &fault_rates) >= self.tests.threshold;
        if stands && self.others_had_answers(slot, id, alarm) {
            Cause::Own
        } else if alarm.score_against(trimmed, &fault_rates) < APPEARS_FAULTY * self.tests.threshold
        {
            Cause::Shared(self.affected(id, alarm), total)
        } else {
            Cause::Open
        }
    }

    /// True if the others had enough answers since most of the bad ones of the alarm arrived, so that
    /// a shared cause would have shown. Not required once these are old.
    fn others_had_answers(&self, slot: u64, id: &UpstreamId, alarm: &Alarm) -> bool {
        let Some(upstream) = self.upstreams.get(id) else { return true };
        let bad = |since| upstream.answers(alarm.kind, alarm.tested, since).bad;
        let needed = BURST_SHARE * bad(alarm.since);
        let burst = (0..MAX_SPAN).map(|age| slot - age).find(|since| bad(*since) >= needed);
        let Some(burst) = burst else { return true };
        let others = self.upstreams.iter().filter(|(other, _)| *other != id);
        let answers = others.map(|(_, other)| other.answers(alarm.kind, Group::All, burst));
        answers.map(|answers| answers.bad + answers.good + answers.silent).sum::<f64>()
            >= MIN_OTHER_ANSWERS
    }

    /// Largest rates of bad answers of the other upstreams in the time of the alarm: of all that
    /// are not known to be faulty, and without the worst ones.
    fn contemporary_rates(&self, slot: u64, id: &UpstreamId, alarm: &Alarm) -> (f64, f64) {
        let usual = self.baselines[alarm.kind];
        let others = self.upstreams.iter().filter(|(other, _)| *other != id);
        let others: Vec<&Upstream> = others.map(|(_, other)| other).collect();
        let rates = |answers: &dyn Fn(&Upstream) -> Answers| {
            let unknown = others.iter().filter(|other| !other.is_faulty());
            let all: Vec<Answers> = unknown.map(|other| answers(other)).collect();
            let every = others.iter().map(|other| answers(other)).collect();
            (contemporary_rate(&all, usual), trimmed_rate(every, usual))
        };
        if is_long(slot, alarm) {
            return rates(&|other| other.rates.recent(alarm.kind));
        }
        let (mut all, mut trimmed) = (usual, usual);
        let lookbacks = LOOKBACK_SLOTS.map(|slots| slot.saturating_sub(slots).min(alarm.since));
        for since in [alarm.since].into_iter().chain(lookbacks) {
            // One failure domain has few answers, so the other upstreams count as a whole as well.
            for group in [alarm.tested, Group::All] {
                let now = rates(&|other| other.answers(alarm.kind, group, since));
                (all, trimmed) = (now.0.max(all), now.1.max(trimmed));
            }
        }
        (all, trimmed)
    }

    /// Upstreams with bad answers in the window, the one of the alarm included.
    fn affected(&self, id: &UpstreamId, alarm: &Alarm) -> usize {
        let affected = self.upstreams.iter().filter(|(other, upstream)| {
            *other == id || upstream.answers(alarm.kind, alarm.tested, 0).bad > 0.0
        });
        affected.count()
    }

    /// Fault rates under test.
    fn fault_rates(&self) -> Vec<f64> {
        let smallest = self.policy.smallest_fault_rate;
        let rates: Vec<f64> = FAULT_RATES.into_iter().filter(|rate| *rate >= smallest).collect();
        if rates.is_empty() { vec![1.0] } else { rates }
    }
}

/// Where the evidence of an alarm comes from.
enum Cause {
    /// The upstream itself.
    Own,
    /// Not clear yet, more evidence will tell.
    Open,
    /// A cause that is shared by so many upstreams out of so many.
    Shared(usize, usize),
}

/// True if the evidence of an alarm is older than the window. It is then compared with rates over a
/// longer time, in which single bad answers of the others weigh less.
fn is_long(slot: u64, alarm: &Alarm) -> bool {
    alarm.since + LOOKBACK_SLOTS[1] < slot
}

/// True if an alarm of a group changes the status.
fn is_news(status: Status, group: Group) -> bool {
    match status {
        Status::Good | Status::Recovering(..) => true,
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

fn good_verdict(id: &UpstreamId, incarnation: Incarnation, seq: u64, tests: &Tests) -> Verdict {
    Verdict {
        upstream: UpstreamId::clone(id),
        incarnation,
        health: VerdictHealth::Good,
        score: 0.0,
        threshold: tests.threshold,
        evidence: Counts::default(),
        observers: 0,
        seq,
    }
}
