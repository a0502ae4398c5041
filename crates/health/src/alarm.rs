//! A statistic that reached its threshold, and how it stands against the other upstreams.

use crate::cusum::{Group, bad_and_good, log_likelihood_ratio};

/// A statistic that reached its threshold.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Alarm {
    /// Who sees the fault.
    pub(crate) group: Group,
    /// Whose evidence was tested.
    pub(crate) tested: Group,
    /// 0 for failures, 1 for slow answers.
    pub(crate) kind: usize,
    /// Slot in which the statistic last was zero.
    pub(crate) since: u64,
    /// Expected answers of silent observers.
    pub(crate) silent: f64,
    /// Part of the value that is no evidence, in nats.
    pub(crate) head_start: f64,
    pub(crate) value: f64,
    pub(crate) counts: [f64; 5],
    pub(crate) observers: u32,
}

impl Alarm {
    /// Score of the evidence against the rate at which the other upstreams fail now, in nats.
    pub(crate) fn score_against(&self, baseline: f64, fault_rates: &[f64]) -> f64 {
        let (bad, good) = bad_and_good(self.counts, self.kind);
        let scores = fault_rates.iter().map(|rate| {
            let ratio = log_likelihood_ratio(baseline, *rate);
            bad * ratio.bad + good * ratio.good + self.silent * ratio.silent + self.head_start
        });
        scores.fold(0.0, f64::max)
    }
}
