//! Majority vote of the collectors whose verdicts an instance knows.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use cactustrack_types::{
    Counts, FailureDomain, Incarnation, InstanceId, Scope, UpstreamId, Verdict, VerdictHealth,
};

/// Time after the last report exchange with a collector at which its verdicts expire.
pub const VERDICT_LIFETIME: Duration = Duration::from_secs(10);

/// A fault that the majority of the collectors reports, with the strongest evidence for it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Fault {
    /// Evidence that the score is computed from.
    pub(crate) evidence: Counts,
    /// Number of observers whose evidence was used.
    pub(crate) observers: u32,
    /// Statistic of the sequential test, in nats.
    pub(crate) score: f64,
    /// Score at which the upstream counts as faulty, in nats.
    pub(crate) threshold: f64,
}

impl Fault {
    /// Returns the share of bad responses in whole per cent, and the score. A larger pair is a more
    /// severe fault.
    pub(crate) fn severity(&self) -> (f64, f64) {
        let bad = f64::from(self.evidence.failures()) + f64::from(self.evidence.slow);
        let share = bad / f64::from(self.evidence.evidence_count().max(1));
        ((share * 100.0).round(), self.score)
    }
}

/// Combined verdict of the collectors on one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MajorityVerdict {
    /// The fault, if the majority reports one that applies to this instance.
    pub(crate) fault: Option<Fault>,
    /// Number of ok responses across the fleet since the last fault: the lower median over the
    /// collectors. `None` if no collector has a verdict that the upstream is healthy.
    pub(crate) ok_responses: Option<u32>,
}

/// Verdicts of one collector.
#[derive(Debug)]
struct CollectorVerdicts {
    incarnation: Incarnation,
    /// Time of the latest exchange.
    at: Instant,
    /// Largest sequence number.
    seq: u64,
    verdicts: BTreeMap<UpstreamId, Verdict>,
}

/// Verdicts of all collectors of a service.
#[derive(Debug, Default)]
pub(crate) struct Votes {
    collectors: BTreeMap<InstanceId, CollectorVerdicts>,
}

impl Votes {
    /// Applies the verdicts that changed since the last exchange, and extends the lifetime of all
    /// earlier verdicts of the collector. A reply of an earlier incarnation is discarded.
    pub(crate) fn apply_verdicts(
        &mut self,
        now: Instant,
        collector: &InstanceId,
        incarnation: Incarnation,
        verdicts: &[Verdict],
    ) {
        let fresh =
            || CollectorVerdicts { incarnation, at: now, seq: 0, verdicts: BTreeMap::new() };
        let state = self.collectors.entry(InstanceId::clone(collector)).or_insert_with(fresh);
        if incarnation < state.incarnation {
            return;
        }
        if incarnation > state.incarnation {
            *state = fresh();
        }
        state.at = state.at.max(now);
        for verdict in verdicts {
            state.seq = state.seq.max(verdict.seq);
            match state.verdicts.get(&verdict.upstream) {
                Some(known) if known.seq >= verdict.seq => {}
                _ => {
                    state.verdicts.insert(UpstreamId::clone(&verdict.upstream), verdict.clone());
                }
            }
        }
    }

    /// Returns the sequence number of the latest verdict of a collector, 0 if there is none.
    pub(crate) fn seq(&self, collector: &str, incarnation: Incarnation) -> u64 {
        let state = self.collectors.get(collector);
        state.filter(|state| state.incarnation == incarnation).map_or(0, |state| state.seq)
    }

    /// Removes collectors whose verdicts expired.
    pub(crate) fn expire(&mut self, now: Instant) {
        let is_current =
            |state: &CollectorVerdicts| now.saturating_duration_since(state.at) < VERDICT_LIFETIME;
        self.collectors.retain(|_, state| is_current(state));
    }

    /// Returns the verdict of the majority of the collectors on an upstream, or that of `local` if
    /// no collector is known.
    pub(crate) fn majority_verdict(
        &self,
        upstream: &UpstreamId,
        incarnation: Incarnation,
        own_domain: &FailureDomain,
        local: &[Verdict],
    ) -> MajorityVerdict {
        let is_same = |verdict: &&Verdict| verdict.incarnation == incarnation;
        let verdicts: Vec<Option<&Verdict>> = if self.collectors.is_empty() {
            vec![local.iter().find(|verdict| verdict.upstream == *upstream).filter(is_same)]
        } else {
            let states = self.collectors.values();
            states.map(|state| state.verdicts.get(upstream).filter(is_same)).collect()
        };
        let known = verdicts.iter().flatten();
        let faulty = known.clone().filter(|verdict| applies(verdict, own_domain));
        let is_majority = faulty.clone().count() * 2 > verdicts.len();
        let strongest = faulty.max_by(|a, b| a.score.total_cmp(&b.score));
        let fault = strongest.filter(|_| is_majority).map(|verdict| Fault {
            evidence: verdict.evidence,
            observers: verdict.observers,
            score: verdict.score,
            threshold: verdict.threshold,
        });
        let healthy = known.filter(|verdict| verdict.health == VerdictHealth::Healthy);
        let mut ok_counts: Vec<u32> = healthy.map(|verdict| verdict.evidence.ok).collect();
        ok_counts.sort_unstable();
        let ok_responses = ok_counts.get(ok_counts.len().saturating_sub(1) / 2).copied();
        MajorityVerdict { fault, ok_responses }
    }
}

/// Returns true if the verdict is a fault that applies to instances of the failure domain.
fn applies(verdict: &Verdict, own_domain: &FailureDomain) -> bool {
    match &verdict.health {
        VerdictHealth::Healthy => false,
        VerdictHealth::Faulty { scope: Scope::Everywhere } => true,
        VerdictHealth::Faulty { scope: Scope::Domain(domain) } => domain == own_domain,
    }
}
