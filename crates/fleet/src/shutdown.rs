//! Times of a graceful shutdown.

use std::time::{Duration, Instant};

/// Time between the stop signal and the close of the caller listener. The load balancer needs it
/// to detect that the instance is no longer ready.
const READINESS_DRAIN_TIME: Duration = Duration::from_millis(2_800);

/// Largest share of the grace period that passes before the listener is closed.
const MAX_DRAIN_SHARE: f64 = 0.5;

/// Time before the end of the grace period at which requests in flight are aborted, and its largest
/// share of the grace period.
const ABORT_MARGIN: Duration = Duration::from_millis(500);
const MAX_ABORT_SHARE: f64 = 0.1;

/// Time for the responses to aborted requests, after which the process ends, and its largest share of
/// the grace period.
const ABORT_RESPONSE_TIME: Duration = Duration::from_millis(200);
const MAX_ABORT_RESPONSE_SHARE: f64 = 0.035;

/// Time before requests are aborted by which the upstream of a request that came during the
/// shutdown has to respond, and its largest share of the grace period.
const UPSTREAM_MARGIN: Duration = Duration::from_millis(150);
const MAX_UPSTREAM_SHARE: f64 = 0.025;

/// When an instance that is shutting down stops accepting requests, and when it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownPlan {
    /// From this time on, the listener is closed and new requests on open connections are rejected.
    pub accepts_until: Instant,
    /// Deadline of the requests that come during the shutdown. An upstream that works longer is
    /// cancelled, so that the caller gets a response before the process ends.
    pub latest_deadline: Instant,
    /// Time at which requests in flight are aborted.
    pub aborts_at: Instant,
    /// Time at which the process ends even if responses are not written yet.
    pub ends_at: Instant,
}

impl ShutdownPlan {
    /// Plans a shutdown that starts now and takes less than `grace`.
    pub fn new(now: Instant, grace: Duration) -> Self {
        let at_most = |time: Duration, share: f64| time.min(grace.mul_f64(share));
        let aborts_at = now + grace - at_most(ABORT_MARGIN, MAX_ABORT_SHARE);
        Self {
            accepts_until: now + at_most(READINESS_DRAIN_TIME, MAX_DRAIN_SHARE),
            latest_deadline: aborts_at - at_most(UPSTREAM_MARGIN, MAX_UPSTREAM_SHARE),
            aborts_at,
            ends_at: aborts_at + at_most(ABORT_RESPONSE_TIME, MAX_ABORT_RESPONSE_SHARE),
        }
    }

    /// Returns true if a request that was not sent to an upstream yet is rejected.
    pub fn rejects_new(&self, now: Instant) -> bool {
        now >= self.accepts_until
    }
}
