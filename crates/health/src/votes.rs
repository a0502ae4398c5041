//! Verdicts of the collectors that an instance hears from.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use cactustrack_types::{
    Counts, FailureDomain, Incarnation, InstanceId, Scope, UpstreamId, Verdict, VerdictHealth,
};

/// Time after the last report exchange with a collector at which its verdicts expire.
pub const VERDICT_LIFETIME: Duration = Duration::from_secs(10);

/// A fault that the majority of the collectors sees.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Fault {
    pub(crate) evidence: Counts,
    pub(crate) observers: u32,
    pub(crate) score: f64,
    pub(crate) threshold: f64,
}

impl Fault {
    /// Share of bad answers in whole per cent, then the score. Orders upstreams from the least to
    /// the most faulty one.
    pub(crate) fn badness(&self) -> (f64, f64) {
        let bad = f64::from(self.evidence.failures()) + f64::from(self.evidence.slow);
        let share = bad / f64::from(self.evidence.judged().max(1));
        ((share * 100.0).round(), self.score)
    }
}

/// What the collectors say about one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Judgement {
    /// The fault, if the majority sees one that applies here.
    pub(crate) fault: Option<Fault>,
    /// Good answers across the fleet since the last fault: the lower median over the collectors.
    pub(crate) good_answers: Option<u32>,
}

#[derive(Debug)]
struct Heard {
    incarnation: Incarnation,
    at: Instant,
    seq: u64,
    verdicts: BTreeMap<UpstreamId, Verdict>,
}

#[derive(Debug, Default)]
pub(crate) struct Votes {
    collectors: BTreeMap<InstanceId, Heard>,
}

impl Votes {
    /// Takes the verdicts that changed since the last exchange. The exchange confirms all earlier
    /// verdicts of the collector. An answer of an earlier incarnation is dropped.
    pub(crate) fn exchange(
        &mut self,
        now: Instant,
        collector: &InstanceId,
        incarnation: Incarnation,
        verdicts: &[Verdict],
    ) {
        let fresh = || Heard { incarnation, at: now, seq: 0, verdicts: BTreeMap::new() };
        let heard = self.collectors.entry(InstanceId::clone(collector)).or_insert_with(fresh);
        if incarnation < heard.incarnation {
            return;
        }
        if incarnation > heard.incarnation {
            *heard = fresh();
        }
        heard.at = heard.at.max(now);
        for verdict in verdicts {
            heard.seq = heard.seq.max(verdict.seq);
            match heard.verdicts.get(&verdict.upstream) {
                Some(known) if known.seq >= verdict.seq => {}
                _ => {
                    heard.verdicts.insert(UpstreamId::clone(&verdict.upstream), verdict.clone());
                }
            }
        }
    }

    /// Sequence number of the latest verdict of a collector.
    pub(crate) fn seq(&self, collector: &str, incarnation: Incarnation) -> u64 {
        let heard = self.collectors.get(collector);
        heard.filter(|heard| heard.incarnation == incarnation).map_or(0, |heard| heard.seq)
    }

    /// Drops collectors whose verdicts expired.
    pub(crate) fn expire(&mut self, now: Instant) {
        let is_current = |heard: &Heard| now.saturating_duration_since(heard.at) < VERDICT_LIFETIME;
        self.collectors.retain(|_, heard| is_current(heard));
    }

    /// Judges an upstream by the majority of the collectors, or by `local` without any.
    pub(crate) fn judge(
        &self,
        upstream: &UpstreamId,
        incarnation: Incarnation,
        own_domain: &FailureDomain,
        local: &[Verdict],
    ) -> Judgement {
        let is_same = |verdict: &&Verdict| verdict.incarnation == incarnation;
        let verdicts: Vec<Option<&Verdict>> = if self.collectors.is_empty() {
            vec![local.iter().find(|verdict| verdict.upstream == *upstream).filter(is_same)]
        } else {
            let heard = self.collectors.values();
            heard.map(|heard| heard.verdicts.get(upstream).filter(is_same)).collect()
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
        let good = known.filter(|verdict| verdict.health == VerdictHealth::Good);
        let mut good: Vec<u32> = good.map(|verdict| verdict.evidence.ok).collect();
        good.sort_unstable();
        let good_answers = good.get(good.len().saturating_sub(1) / 2).copied();
        Judgement { fault, good_answers }
    }
}

fn applies(verdict: &Verdict, own_domain: &FailureDomain) -> bool {
    match &verdict.health {
        VerdictHealth::Good => false,
        VerdictHealth::Faulty { scope: Scope::Everywhere } => true,
        VerdictHealth::Faulty { scope: Scope::Domain(domain) } => domain == own_domain,
    }
}
