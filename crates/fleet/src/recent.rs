//! How many attempts a service got lately, and how many of them failed.

use std::time::{Duration, Instant};

/// Time over which attempts are averaged. A floor of healthy upstreams has to hold over about as
/// long.
const MEMORY: Duration = Duration::from_secs(2);

/// Fewest ended attempts, in the memory, from which the share of failures is taken as known.
const MIN_ENDED: f64 = 5.0;

/// Attempts of the whole fleet at one service, older ones weighed less.
#[derive(Clone, Copy, Debug, Default)]
pub struct Recent {
    started: f64,
    ended: f64,
    failed: f64,
    at: Option<Instant>,
}

impl Recent {
    /// Counts an attempt that started.
    pub fn on_start(&mut self, now: Instant) {
        self.decay(now);
        self.started += 1.0;
    }

    /// Counts an attempt that ended.
    pub fn on_end(&mut self, now: Instant, is_failure: bool) {
        self.decay(now);
        self.ended += 1.0;
        self.failed += f64::from(u8::from(is_failure));
    }

    /// Attempts per second.
    pub fn rate(&self, now: Instant) -> f64 {
        self.started * self.left(now) / MEMORY.as_secs_f64()
    }

    /// Share of the attempts that failed, 0 while too few are known.
    pub fn failures(&self, now: Instant) -> f64 {
        if self.ended * self.left(now) < MIN_ENDED { 0.0 } else { self.failed / self.ended }
    }

    fn decay(&mut self, now: Instant) {
        let left = self.left(now);
        self.started *= left;
        self.ended *= left;
        self.failed *= left;
        self.at = Some(now);
    }

    /// What is left of a count at `now`.
    fn left(&self, now: Instant) -> f64 {
        let elapsed = self.at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        (-elapsed.as_secs_f64() / MEMORY.as_secs_f64()).exp()
    }
}
