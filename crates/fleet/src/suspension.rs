//! Detection of suspensions of the machine.
//!
//! The clock behind [`Instant`] stands still while a machine is suspended, so events from before
//! look recent afterwards. The time since the boot of the machine goes on.

use std::time::{Duration, Instant};

/// Shortest suspension that is reported.
const MIN_SUSPENSION: Duration = Duration::from_millis(100);

/// Compares the two clocks.
#[derive(Clone, Copy, Debug)]
pub struct SuspensionDetector {
    started: Instant,
    /// Largest difference between the time since the boot and the time since `started`.
    offset: Duration,
}

impl SuspensionDetector {
    /// Creates a detector at a time on both clocks.
    pub fn new(now: Instant, since_boot: Duration) -> Self {
        Self { started: now, offset: since_boot }
    }

    /// Returns the time for which the machine was suspended since the last call that returned one,
    /// `None` if it was not. `since_boot` has to be read before `now`: a delay between the two reads
    /// then never looks like a suspension.
    pub fn take_gap(&mut self, now: Instant, since_boot: Duration) -> Option<Duration> {
        let offset = since_boot.saturating_sub(now.saturating_duration_since(self.started));
        let gap = offset.saturating_sub(self.offset);
        if gap < MIN_SUSPENSION {
            return None;
        }
        self.offset = offset;
        Some(gap)
    }
}
