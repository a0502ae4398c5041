//! Delays for which notices are batched before they are sent.
//!
//! Batching saves datagrams. Its delay matters for notices of broken or refused connections, since
//! the other instances keep sending requests to the upstream until they receive them. Such notices
//! are sent at once, together with those that wait. If an upstream or a link breaks many connections,
//! the first notices suffice, so the others are batched as usual.

use std::time::{Duration, Instant};

use crate::message::{Event, Notice, Observation};

/// Batching of the notices that one instance or hub sends.
#[derive(Clone, Copy, Debug)]
pub struct NoticeBatching {
    usual_delay: Duration,
    last_urgent: Option<Instant>,
}

impl NoticeBatching {
    /// Creates the batching with the usual delay of a notice. It is also the shortest time between
    /// two batches that are sent at once, so these at most double the number of datagrams.
    pub fn new(usual_delay: Duration) -> Self {
        Self { usual_delay, last_urgent: None }
    }

    /// Returns the time after which a batch with these notices is sent.
    pub fn delay(&mut self, now: Instant, notices: &[Notice]) -> Duration {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < self.usual_delay;
        if !notices.iter().any(is_urgent) || self.last_urgent.is_some_and(is_recent) {
            return self.usual_delay;
        }
        self.last_urgent = Some(now);
        Duration::ZERO
    }
}

/// Returns true if a notice is evidence of a fault that makes the next requests fail at once.
fn is_urgent(notice: &Notice) -> bool {
    let Event::Ended { observed: Some(observed), .. } = notice.event else { return false };
    matches!(observed, Observation::Broken | Observation::Unreachable)
}
