//! Rate of attempts at a service.

use std::time::{Duration, Instant};

/// Time constant of the exponential decay by which older attempts lose weight.
const DECAY_TIME: Duration = Duration::from_secs(2);

/// Exponentially decaying count of the attempts of the whole fleet at one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptRate {
    count: f64,
    updated_at: Option<Instant>,
}

impl AttemptRate {
    /// Records the start of attempts.
    pub fn on_start(&mut self, now: Instant, attempts: u32) {
        self.count = self.count * self.decay(now) + f64::from(attempts);
        self.updated_at = Some(now);
    }

    /// Returns the number of attempts per second.
    pub fn per_second(&self, now: Instant) -> f64 {
        self.count * self.decay(now) / DECAY_TIME.as_secs_f64()
    }

    /// Returns the factor by which the count has decayed since its last update.
    fn decay(&self, now: Instant) -> f64 {
        let elapsed =
            self.updated_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        (-elapsed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
    }
}
