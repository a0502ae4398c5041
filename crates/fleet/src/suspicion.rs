//! How likely an upstream is to be faulty.
//!
//! Faults come and go within seconds, and an upstream fails only a part of its requests while it
//! is faulty. The probability follows a hidden Markov model with the states sound and faulty: it
//! drifts towards its long-run mean while nothing is heard, and each outcome moves it by Bayes'
//! rule. A suspect is never cut off for good: its probability falls back by itself, and it gets
//! work again when the others are busy or no better.

use std::time::{Duration, Instant};

use crate::message::Observation;

/// Mean time until a sound upstream turns faulty.
const MEAN_SOUND: Duration = Duration::from_secs(36);

/// Mean length of a fault.
const MEAN_FAULT: Duration = Duration::from_secs(12);

/// Largest probability. It keeps a long series of failures from outlasting the fault by much.
const MAX_PROBABILITY: f64 = 0.995;

/// Smallest probability. One broken connection makes a suspect also of an upstream that has served
/// for long.
const MIN_PROBABILITY: f64 = 0.01;

/// Probabilities of an observation.
struct Likelihood {
    faulty: f64,
    sound: f64,
}

/// Likelihoods of what was observed. A sound upstream answers about one request in a hundred with
/// an error of its own, and some answers are slow by nature; a broken connection is much rarer.
fn likelihood(observed: Observation) -> Likelihood {
    let (faulty, sound) = match observed {
        Observation::Served => (0.3, 0.95),
        Observation::Slow => (0.2, 0.03),
        Observation::Overdue => (0.25, 0.03),
        Observation::ErrorResponse => (0.35, 0.013),
        Observation::Broken => (0.6, 0.005),
        Observation::CutShort => (0.1, 0.004),
        Observation::Unreachable => (0.2, 0.002),
        Observation::NoResponse => (0.2, 0.01),
        // The count of requests in flight misses what the upstream still does for others.
        Observation::RefusedWithFreeSlot => (0.3, 0.06),
    };
    Likelihood { faulty, sound }
}

/// Probability that an upstream is faulty.
#[derive(Clone, Copy, Debug)]
pub struct Suspicion {
    probability: f64,
    at: Instant,
}

impl Suspicion {
    /// Starts with the long-run mean.
    pub fn new(now: Instant) -> Self {
        Self { probability: long_run_mean(), at: now }
    }

    /// Probability at `now`.
    pub fn probability(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        let rate = 1.0 / MEAN_SOUND.as_secs_f64() + 1.0 / MEAN_FAULT.as_secs_f64();
        let mean = long_run_mean();
        mean + (self.probability - mean) * (-rate * elapsed).exp()
    }

    /// Takes an observation into account. `weight` from 0 to 1 lowers the voice of an observer that
    /// is not trusted.
    pub fn observe(&mut self, now: Instant, observed: Observation, weight: f64) {
        let prior = self.probability(now);
        let Likelihood { faulty, sound } = likelihood(observed);
        self.at = now;
        let odds = prior / (1.0 - prior) * (faulty / sound).powf(weight);
        self.probability = (odds / (1.0 + odds)).clamp(MIN_PROBABILITY, MAX_PROBABILITY);
    }
}

/// Share of its time for which an upstream is faulty.
pub fn long_run_mean() -> f64 {
    let (sound, fault_probability) = (MEAN_SOUND.as_secs_f64(), MEAN_FAULT.as_secs_f64());
    fault_probability / (sound + fault_probability)
}
