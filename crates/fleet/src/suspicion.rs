//! Probability that an upstream is faulty.
//!
//! Faults last for seconds, and a faulty upstream fails only a part of its requests. The
//! probability follows a hidden Markov model with the states healthy and faulty. Without
//! observations it decays to its long-run mean, and each observation updates it by Bayes' rule. A
//! suspected upstream is therefore never excluded permanently: its probability declines without
//! observations, and it gets requests again when the other upstreams are busy or as likely to be
//! faulty.

use std::time::{Duration, Instant};

use crate::message::Observation;

/// Mean time until a healthy upstream becomes faulty.
const MEAN_TIME_TO_FAULT: Duration = Duration::from_secs(36);

/// Mean duration of a fault.
const MEAN_FAULT_DURATION: Duration = Duration::from_secs(12);

/// Maximum probability. It limits how long suspicion outlasts a fault after a long series of
/// failures.
const MAX_PROBABILITY: f64 = 0.995;

/// Minimum probability. It is high enough that one broken connection makes an upstream suspected
/// even after a long series of served requests.
const MIN_PROBABILITY: f64 = 0.01;

/// Probability that a faulty upstream rejects a request although it has a free slot.
const FAULTY_REJECTION: f64 = 0.3;

/// Smallest probability that a healthy upstream rejects a request although it seems to have a free
/// slot. The count of requests in flight does not include work that it still does for others.
const MIN_HEALTHY_REJECTION: f64 = 0.06;

/// Probabilities of an observation, given the state of the upstream.
#[derive(Clone, Copy)]
struct Likelihood {
    faulty: f64,
    healthy: f64,
}

/// Returns the likelihoods of an observation. A healthy upstream returns an error of its own for
/// about one request in 100, and some of its responses are slow. Broken connections are much rarer.
fn likelihood(observed: Observation) -> Likelihood {
    let (faulty, healthy) = match observed {
        Observation::Served => (0.3, 0.95),
        Observation::Slow => (0.2, 0.03),
        Observation::Overdue => (0.25, 0.03),
        Observation::ErrorResponse => (0.35, 0.013),
        Observation::Broken => (0.6, 0.005),
        Observation::CutShort => (0.1, 0.004),
        Observation::Unreachable => (0.2, 0.002),
        Observation::NoResponse => (0.2, 0.01),
        Observation::RejectedWithFreeSlot => return rejection_likelihood(0.0),
    };
    Likelihood { faulty, healthy }
}

/// Returns the likelihoods of a rejection with a free slot, if the other upstreams of the service
/// end `share_elsewhere` of their attempts in this way. A healthy upstream is taken to reject as
/// often as they do, and a faulty one for the same reason or because of its fault. A rejection is
/// never evidence of health. If all attempts elsewhere are rejected, it is no evidence of a fault.
fn rejection_likelihood(share_elsewhere: f64) -> Likelihood {
    let healthy = share_elsewhere.clamp(MIN_HEALTHY_REJECTION, 1.0);
    let common = (healthy - MIN_HEALTHY_REJECTION) / (1.0 - MIN_HEALTHY_REJECTION);
    Likelihood { faulty: common + (1.0 - common) * FAULTY_REJECTION, healthy }
}

/// Estimate of the probability that an upstream is faulty.
#[derive(Clone, Copy, Debug)]
pub struct Suspicion {
    probability: f64,
    updated_at: Instant,
}

impl Suspicion {
    /// Creates an estimate at the long-run mean.
    pub fn new(now: Instant) -> Self {
        Self { probability: long_run_mean(), updated_at: now }
    }

    /// Returns the probability at `now`.
    pub fn probability(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let rate = 1.0 / MEAN_TIME_TO_FAULT.as_secs_f64() + 1.0 / MEAN_FAULT_DURATION.as_secs_f64();
        let mean = long_run_mean();
        mean + (self.probability - mean) * (-rate * elapsed).exp()
    }

    /// Returns the time of the last observation.
    pub fn updated_at(&self) -> Instant {
        self.updated_at
    }

    /// Updates the estimate with an observation. A `weight` below 1 reduces the effect of an
    /// observation that is less reliable, and 0 removes it.
    pub fn observe(&mut self, now: Instant, observed: Observation, weight: f64) {
        self.update(now, likelihood(observed), weight);
    }

    /// Updates the estimate with a rejection although the upstream seemed to have a free slot.
    /// `share_elsewhere` is the share of the attempts at the other upstreams of its service that
    /// ended in this way. `weight` is as in [`Suspicion::observe`].
    pub fn observe_rejection(&mut self, now: Instant, share_elsewhere: f64, weight: f64) {
        self.update(now, rejection_likelihood(share_elsewhere), weight);
    }

    fn update(&mut self, now: Instant, likelihood: Likelihood, weight: f64) {
        let prior = self.probability(now);
        let Likelihood { faulty, healthy } = likelihood;
        self.updated_at = now;
        let ratio = faulty / healthy;
        // Nearly all observations have the full weight.
        let factor = if weight == 1.0 { ratio } else { ratio.powf(weight) };
        let odds = prior / (1.0 - prior) * factor;
        self.probability = (odds / (1.0 + odds)).clamp(MIN_PROBABILITY, MAX_PROBABILITY);
    }
}

/// Returns the share of time for which an upstream is faulty in the long run.
pub fn long_run_mean() -> f64 {
    let (healthy, faulty) = (MEAN_TIME_TO_FAULT.as_secs_f64(), MEAN_FAULT_DURATION.as_secs_f64());
    faulty / (healthy + faulty)
}
