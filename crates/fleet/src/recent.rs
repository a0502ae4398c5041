//! How many attempts a service gets.

use std::time::{Duration, Instant};

/// Time over which attempts are averaged.
const MEMORY: Duration = Duration::from_secs(2);

/// Attempts of the whole fleet at one service, older ones weighed less.
#[derive(Clone, Copy, Debug, Default)]
pub struct Recent {
    started: f64,
    at: Option<Instant>,
}

impl Recent {
    /// Counts an attempt that started.
    pub fn on_start(&mut self, now: Instant) {
        self.started = self.started * self.left(now) + 1.0;
        self.at = Some(now);
    }

    /// Attempts per second.
    pub fn rate(&self, now: Instant) -> f64 {
        self.started * self.left(now) / MEMORY.as_secs_f64()
    }

    /// What is left of a count at `now`.
    fn left(&self, now: Instant) -> f64 {
        let elapsed = self.at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        (-elapsed.as_secs_f64() / MEMORY.as_secs_f64()).exp()
    }
}
