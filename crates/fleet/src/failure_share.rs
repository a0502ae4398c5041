//! Share of the attempts at a service that fail.

use std::time::{Duration, Instant};

/// Time constant of the exponential decay by which older attempts lose weight.
const DECAY_TIME: Duration = Duration::from_secs(1);

/// Number of served attempts that are added to the recent ones. Otherwise a few failures in a service
/// with little traffic would look like a failure of the service.
const PRIOR_ATTEMPTS: f64 = 20.0;

/// Exponentially decaying counts of the ended attempts of the whole fleet at one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureShare {
    ended: f64,
    failed: f64,
    updated_at: Option<Instant>,
}

impl FailureShare {
    /// Records the end of an attempt.
    pub fn on_end(&mut self, now: Instant, is_failure: bool) {
        let decay = self.decay(now);
        self.ended = self.ended * decay + 1.0;
        self.failed = self.failed * decay + f64::from(u8::from(is_failure));
        self.updated_at = Some(now);
    }

    /// Returns the share of the recent attempts that have failed, with `PRIOR_ATTEMPTS` counted as
    /// served in addition.
    pub fn get(&self, now: Instant) -> f64 {
        let decay = self.decay(now);
        self.failed * decay / (self.ended * decay + PRIOR_ATTEMPTS)
    }

    /// Returns the factor by which the counts have decayed since their last update.
    fn decay(&self, now: Instant) -> f64 {
        let elapsed =
            self.updated_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        (-elapsed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
    }
}
