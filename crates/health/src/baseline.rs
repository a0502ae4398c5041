//! The baseline rate of a service: the rate of bad responses that is usual for it.

use crate::cusum::KINDS;
use crate::latency::median;

/// Smallest baseline rate. Services with few requests have no better estimate for minutes, and an
/// estimate that is too low shortens the time between false alarms by orders of magnitude.
const MIN_BASELINE: f64 = 0.004;
/// Largest baseline rate.
const MAX_BASELINE: f64 = 0.9;
/// Decay factor of the long-term counts per slot of 500 ms: a time constant of 120 s. Shorter ones
/// make the median of a small service so noisy that a fault rate of 3% takes twice the samples to
/// detect. Faster changes that all upstreams share are recognized by [`concurrent_rate`].
const LONG_TERM_DECAY: f64 = 0.995_842;
/// Decay factor of the recent counts per slot: a time constant of 30 s.
const RECENT_DECAY: f64 = 0.983_471;
/// Weight of the prior in the long-term rate of an upstream, in responses.
const PRIOR_RESPONSES: f64 = 50.0;

/// Weight of the baseline rate against concurrent responses, in responses. It is small because a
/// shared change must show in the few responses that the first alarm is based on.
const CONCURRENT_PRIOR_RESPONSES: f64 = 5.0;

/// Exponentially decaying counts of the bad responses and of all responses of one upstream, by
/// kind.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rates {
    long_term: [(f64, f64); KINDS],
    recent: [(f64, f64); KINDS],
}

impl Rates {
    /// Adds responses of one kind: the number of bad ones, and of all.
    pub(crate) fn add(&mut self, kind: usize, bad: f64, total: f64) {
        for window in [&mut self.long_term[kind], &mut self.recent[kind]] {
            window.0 += bad;
            window.1 += total;
        }
    }

    /// Decays the counts by one slot of time.
    pub(crate) fn decay(&mut self) {
        for (windows, decay) in
            [(&mut self.long_term, LONG_TERM_DECAY), (&mut self.recent, RECENT_DECAY)]
        {
            for (bad, total) in windows {
                *bad *= decay;
                *total *= decay;
            }
        }
    }

    /// Returns the responses of about the last 30 s.
    pub(crate) fn recent(&self, kind: usize) -> ResponseCounts {
        let (bad, total) = self.recent[kind];
        ResponseCounts { bad, good: total - bad, unreported: 0.0 }
    }

    fn shrunk_rate(&self, kind: usize) -> f64 {
        let (bad, total) = self.long_term[kind];
        (bad + MIN_BASELINE * PRIOR_RESPONSES) / (total + PRIOR_RESPONSES)
    }
}

/// Returns the median over the upstreams of their rates of bad responses of one kind, as a share of
/// responses. Each rate is shrunk towards the smallest baseline by a fixed number of responses.
pub(crate) fn baseline_rate<'a>(rates: impl Iterator<Item = &'a Rates>, kind: usize) -> f64 {
    let mut rates: Vec<f64> = rates.map(|rates| rates.shrunk_rate(kind)).collect();
    median(&mut rates).unwrap_or(MIN_BASELINE).clamp(MIN_BASELINE, MAX_BASELINE)
}

/// Number of responses of an upstream in a period of time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ResponseCounts {
    pub(crate) bad: f64,
    pub(crate) good: f64,
    /// Expected responses in slots that observers have not reported on yet.
    pub(crate) unreported: f64,
}

impl ResponseCounts {
    /// Returns the maximum-likelihood estimate of the rate of bad responses. A missing report means
    /// that there was no bad response among a Poisson-distributed number of requests, so the
    /// likelihood of a rate p is p^bad × (1 − p)^good × e^(−p × unreported).
    fn rate(&self) -> f64 {
        let Self { bad, good, unreported } = *self;
        let sum = bad + good + unreported;
        if unreported < 1e-6 {
            return if sum > 0.0 { bad / sum } else { 0.0 };
        }
        (sum - (sum * sum - 4.0 * unreported * bad).max(0.0).sqrt()) / (2.0 * unreported)
    }
}

/// Returns the rate of bad responses of the other upstreams in the period of an alarm. `prior` is
/// the baseline rate.
pub(crate) fn concurrent_rate(others: &[ResponseCounts], prior: f64) -> f64 {
    let bad = prior * CONCURRENT_PRIOR_RESPONSES;
    let prior_counts =
        ResponseCounts { bad, good: CONCURRENT_PRIOR_RESPONSES - bad, unreported: 0.0 };
    let sum = others.iter().fold(prior_counts, |sum, other| ResponseCounts {
        bad: sum.bad + other.bad,
        good: sum.good + other.good,
        unreported: sum.unreported + other.unreported,
    });
    sum.rate().min(MAX_BASELINE)
}

/// Returns the [`concurrent_rate`] without the worst upstreams: as many as can be faulty together
/// with the upstream of the alarm without making up more than half of all.
pub(crate) fn trimmed_rate(mut others: Vec<ResponseCounts>, prior: f64) -> f64 {
    others.sort_by(|a, b| a.rate().total_cmp(&b.rate()));
    let faulty = others.len().div_ceil(2).saturating_sub(1);
    concurrent_rate(&others[..others.len() - faulty], prior)
}
