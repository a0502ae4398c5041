//! Admission control: the longest queue that a request may join, and the retry delay of a rejected
//! caller.
//!
//! Requests queue only at upstreams, since an upstream sees its whole queue and an instance does
//! not. A request is rejected at once if its response would come too late to be useful, which keeps
//! the queues short for the requests that follow.

use std::time::Duration;

/// Smallest limit on the wait at an upstream, in mean service times.
const MIN_WAIT_SERVICE_TIMES: f64 = 0.6;

/// Share of the remaining latency target that may be used for the wait and the service time.
const WAIT_SHARE: f64 = 0.9;

/// Factor applied to the allowed wait for each more urgent rank of the service.
const RANK_SHARE: f64 = 0.5;

/// Bounds of the time after which a rejected caller may retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1_500);

/// Properties of a request on which its admission depends.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Time until the deadline of the caller.
    pub remaining: Duration,
    /// Remaining time of the latency target.
    pub target_left: Duration,
    /// Mean service time of the service.
    pub service_time: Duration,
    /// Number of priority ranks among the routes of the service that are more urgent than the
    /// request.
    pub more_urgent_ranks: u32,
}

/// Returns the longest wait in the queue of an upstream for which a request is admitted.
pub fn wait_limit(request: &AdmissionRequest) -> Duration {
    let service = request.service_time.as_secs_f64();
    let usable = request.target_left.as_secs_f64() * WAIT_SHARE - service;
    let limit = usable.max(service * MIN_WAIT_SERVICE_TIMES);
    let limit = limit * RANK_SHARE.powi(request.more_urgent_ranks.min(8) as i32);
    let latest = (request.remaining.as_secs_f64() - 1.5 * service).max(0.0);
    Duration::from_secs_f64(limit.min(latest))
}

/// Returns the delay after which a rejected caller may retry.
///
/// `excess` is the wait beyond the limit. `draw` is a random number, uniform from 0 to 1, that
/// spreads the retries of callers which were rejected together. A retry has to come early enough to
/// be served, so a third of the remaining time bounds the delay.
pub fn retry_after(excess: Duration, remaining: Duration, draw: f64) -> Duration {
    let latest = (remaining / 3).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    let earliest = (MIN_RETRY_AFTER + excess).min(latest);
    earliest + (latest - earliest).mul_f64(draw.clamp(0.0, 1.0))
}
