//! Whether a request is taken, and when a rejected one may return.
//!
//! Work waits in the queues of upstreams only, since no instance sees the whole queue of a service
//! and an upstream does. A request is rejected at once if its answer would come too late to be of
//! use, so that the queues stay short enough for the requests behind it.

use std::time::Duration;

/// Shortest wait that is allowed at an upstream, in mean service times.
const MIN_WAIT_SERVICE_TIMES: f64 = 0.6;

/// Part of the latency target that may be spent waiting, after the service time.
const WAIT_SHARE: f64 = 0.9;

/// Part of the allowed wait that is left to requests for each rank that they are less urgent.
const RANK_SHARE: f64 = 0.5;

/// Bounds of the time after which a rejected caller may return.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1_500);

/// What is known of a request when it is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Time that the caller still waits.
    pub remaining: Duration,
    /// Time within which the answer is worth most, from now on.
    pub target_left: Duration,
    /// Mean service time of the requests of the service.
    pub service_time: Duration,
    /// Ranks of the service's routes that are more urgent.
    pub more_urgent_ranks: u32,
}

/// Longest wait in the queue of an upstream for which a request is taken.
pub fn wait_limit(candidate: &AdmissionRequest) -> Duration {
    let service = candidate.service_time.as_secs_f64();
    let usable = candidate.target_left.as_secs_f64() * WAIT_SHARE - service;
    let limit = usable.max(service * MIN_WAIT_SERVICE_TIMES);
    let limit = limit * RANK_SHARE.powi(candidate.more_urgent_ranks.min(8) as i32);
    let latest = (candidate.remaining.as_secs_f64() - 1.5 * service).max(0.0);
    Duration::from_secs_f64(limit.min(latest))
}

/// When a rejected caller may return. `excess` is the wait beyond the limit and `draw` is uniform
/// from 0 to 1: it spreads the returns, so that callers who came together do not return together.
/// A caller has to return early enough to be served, so the time left bounds the spread.
pub fn retry_after(excess: Duration, remaining: Duration, draw: f64) -> Duration {
    let latest = (remaining / 3).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    let earliest = (MIN_RETRY_AFTER + excess).min(latest);
    earliest + (latest - earliest).mul_f64(draw.clamp(0.0, 1.0))
}
