//! Limits on the waits while a response body is forwarded.
//!
//! The deadline of a request ends the wait for more data from the upstream. Data that has arrived is
//! forwarded also after it.

use std::time::{Duration, Instant};

use crate::Proxy;
use crate::exchange::time_until;

/// Time without data from the upstream after which a body counts as truncated.
pub(crate) const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest time for which more data is awaited after the deadline, all waits of a body together. Data
/// that has arrived in the socket still needs a pass of the event loop.
const LATE_WAIT: Duration = Duration::from_millis(200);

/// Most bytes that are forwarded after the deadline. An upstream that sends without end always has
/// more data ready.
const LATE_BYTES: u64 = 8 * 1024 * 1024;

/// Fewest bytes that a frame counts for in [`LATE_BYTES`], since tiny frames cost as much time as
/// longer ones.
const MIN_FRAME_BYTES: u64 = 32 * 1024;

/// Shortest time beyond the deadline for which a caller may take no data that waits for it.
const CALLER_GRACE: Duration = Duration::from_secs(1);

/// Waits that the deadline of a request allows for the body of its response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyDeadline {
    /// Time at which the caller stops waiting. `None` if it waits as long as it takes.
    at: Option<Instant>,
    /// What is left of [`LATE_WAIT`].
    late_wait: Duration,
    /// What is left of [`LATE_BYTES`].
    late_bytes: u64,
}

impl BodyDeadline {
    /// Returns the deadline for the body of a response to a request with the deadline `of_request`.
    pub(crate) fn new(proxy: &Proxy, of_request: Instant) -> Self {
        let at = proxy.dialect().deadline_covers_body().then_some(of_request);
        Self { at, late_wait: LATE_WAIT, late_bytes: LATE_BYTES }
    }

    /// Returns the time at which the caller stops waiting, if there is one.
    pub(crate) fn at(&self) -> Option<Instant> {
        self.at
    }

    /// Returns the longest wait for more data from the upstream.
    pub(crate) fn upstream_wait(&self) -> Duration {
        let left = self.at.map_or(STALL_TIMEOUT, |at| time_until(at) + self.late_wait);
        left.min(STALL_TIMEOUT)
    }

    /// Records a wait for data of the upstream, from `started` until now.
    pub(crate) fn on_upstream_wait(&mut self, started: Instant) {
        if let Some(at) = self.at {
            let late = Instant::now().saturating_duration_since(started.max(at));
            self.late_wait = self.late_wait.saturating_sub(late);
        }
    }

    /// Records data that is about to be forwarded. Returns false if it exceeds what is forwarded
    /// after the deadline.
    pub(crate) fn allows(&mut self, bytes: u64) -> bool {
        if !self.has_passed() {
            return true;
        }
        let left = self.late_bytes.checked_sub(bytes.max(MIN_FRAME_BYTES));
        self.late_bytes = left.unwrap_or_default();
        left.is_some()
    }

    /// Returns the longest wait for the caller to take data. `None` if there is no limit.
    pub(crate) fn caller_wait(&self) -> Option<Duration> {
        self.at.map(|at| time_until(at) + CALLER_GRACE)
    }

    /// Returns true if the deadline has passed.
    pub(crate) fn has_passed(&self) -> bool {
        self.at.is_some_and(|at| time_until(at).is_zero())
    }
}
