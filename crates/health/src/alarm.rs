//! Alarms of the sequential tests, and their comparison with the other upstreams.

use crate::cusum::{Group, bad_and_good, log_likelihood_ratio};

/// A test statistic that reached its threshold.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Alarm {
    /// Observers that see the fault.
    pub(crate) group: Group,
    /// Observers whose evidence was tested.
    pub(crate) tested_group: Group,
    /// Kind of evidence: 0 for failures, 1 for slow responses.
    pub(crate) kind: usize,
    /// Slot in which the statistic last was zero.
    pub(crate) since: u64,
    /// Expected responses in slots that the observers have not reported on yet.
    pub(crate) unreported: f64,
    /// Initial value of the statistic, which is not evidence, in nats.
    pub(crate) head_start: f64,
    /// Value of the statistic, in nats.
    pub(crate) value: f64,
    /// Responses by kind, see [`crate::cusum::Cell`].
    pub(crate) counts: [f64; 5],
    /// Observers of the tested group that reported recently.
    pub(crate) observers: u32,
}

impl Alarm {
    /// Returns the score of the evidence, in nats, with the current rate of bad responses of the
    /// other upstreams as the baseline.
    pub(crate) fn score_against(&self, baseline: f64, fault_rates: &[f64]) -> f64 {
        let (bad, good) = bad_and_good(self.counts, self.kind);
        let scores = fault_rates.iter().map(|rate| {
            let ratio = log_likelihood_ratio(baseline, *rate);
            bad * ratio.bad
                + good * ratio.good
                + self.unreported * ratio.unreported
                + self.head_start
        });
        scores.fold(0.0, f64::max)
    }
}
