//! Times of a graceful shutdown.

use std::time::{Duration, Instant};

/// Time between the stop signal and the close of the caller listener. The load balancer needs it
/// to detect that the instance is no longer ready.
const READINESS_DRAIN_TIME: Duration = Duration::from_millis(2_800);

/// Largest share of the grace period that passes before the listener is closed.
const MAX_DRAIN_SHARE: f64 = 0.5;

/// Time before the end of the grace period at which requests in flight are aborted.
const ABORT_MARGIN: Duration = Duration::from_millis(500);

/// Time for the responses to aborted requests, after which the process ends.
const ABORT_RESPONSE_TIME: Duration = Duration::from_millis(200);

/// Time before requests are aborted by which the upstream of a request that came during the
/// shutdown has to respond.
const UPSTREAM_MARGIN: Duration = Duration::from_millis(150);

/// When an instance that is shutting down stops accepting requests, and when it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ShutdownPlan {
    /// From this time on, the listener is closed and new requests on open connections are rejected.
    pub(crate) accepts_until: Instant,
    /// Time at which requests in flight are aborted.
    pub(crate) aborts_at: Instant,
}

impl ShutdownPlan {
    /// Plans a shutdown that starts now and takes no longer than `grace`.
    pub(crate) fn new(now: Instant, grace: Duration) -> Self {
        let drain_time = READINESS_DRAIN_TIME.min(grace.mul_f64(MAX_DRAIN_SHARE));
        let aborts_at = now + grace.saturating_sub(ABORT_MARGIN).max(drain_time);
        Self { accepts_until: now + drain_time, aborts_at }
    }

    /// Returns the deadline of a request that comes during the shutdown. An upstream that works
    /// longer is cancelled, so that the caller gets a response before the process ends.
    pub(crate) fn limit_deadline(&self, deadline: Instant) -> Instant {
        let latest = self.aborts_at.checked_sub(UPSTREAM_MARGIN).unwrap_or(self.aborts_at);
        deadline.min(latest)
    }

    /// Returns true if a request that was not sent to an upstream yet is rejected.
    pub(crate) fn rejects_new(&self, now: Instant) -> bool {
        now >= self.accepts_until
    }

    /// Returns the time at which the process ends even if responses are not written yet.
    pub(crate) fn ends_at(&self) -> Instant {
        self.aborts_at + ABORT_RESPONSE_TIME
    }
}
