//! Adaptive concurrency limit with a bounded queue.
//!
//! The limit grows additively while it is in use, and decreases multiplicatively on sheds and on
//! high latency (AIMD).

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use derive_more::Display;

use crate::deadline::Deadline;

/// Factor applied to the limit after a shed.
const SHED_FACTOR: f64 = 0.7;
/// Factor applied to the limit after a window of high latency.
const LATENCY_FACTOR: f64 = 0.9;
/// Ratio to the lowest mean latency of recent windows above which the mean latency of a window is
/// high.
const HIGH_LATENCY_RATIO: f64 = 2.0;
/// Time after a decrease for a shed in which further sheds do not decrease the limit. Sheds of
/// requests that were in flight at the same time are a single signal.
const SHED_COOLDOWN: Duration = Duration::from_millis(100);
/// Duration of the effect of a shed without `Retry-After`.
pub const DEFAULT_SHED_DURATION: Duration = Duration::from_secs(1);
/// Upper bound of the duration of the effect of a shed, whatever its `Retry-After`.
pub const MAX_SHED_DURATION: Duration = Duration::from_secs(60);
/// Minimum length of a latency window.
const MIN_WINDOW: Duration = Duration::from_secs(1);
/// Minimum number of samples in a latency window.
const MIN_WINDOW_SAMPLES: u32 = 20;
/// Number of recent window means, the lowest of which is the baseline latency. A lasting rise
/// becomes the baseline after this many windows, which decrease the limit to no less than 0.35 of
/// its value.
const RECENT_WINDOWS: usize = 10;
/// Smallest and largest `Retry-After` of a rejection.
const RETRY_AFTER_BOUNDS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(10));

/// Bounds of a [`ConcurrencyLimit`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitBounds {
    /// Smallest limit, in requests in flight. Zero is treated as 1.
    pub min: u32,
    /// Largest limit, in requests in flight, which is also the initial limit.
    pub max: u32,
    /// Maximum length of the queue, in requests.
    pub max_waiting: usize,
}

/// Decision on a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Start the request. It is counted as in flight.
    Admit,
    /// Queue the request, at most until this instant. It is counted as waiting.
    Wait(Instant),
    /// Reject the request without executing it.
    Reject {
        /// Reason for the rejection.
        reason: RejectReason,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// Reason for rejecting a request before it is dispatched.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum RejectReason {
    /// The queue is full.
    #[display("the queue is full")]
    QueueFull,
    /// The request would not be completed within its deadline.
    #[display("the deadline is too close")]
    DeadlineTooClose,
    /// The client account uses more than its share of an overloaded service.
    #[display("the caller uses more than its share")]
    OverShare,
}

/// Result of a request in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// A response arrived after this time.
    Responded(Duration),
    /// The upstream shed the request.
    Shed {
        /// Time that the upstream states in `Retry-After`.
        retry_after: Option<Duration>,
    },
    /// The request failed or was abandoned, which is no evidence about load.
    Failed,
}

/// Limit on the requests in flight of one service or to one upstream, with a queue.
///
/// The limit grows by one per round of responses while at least half of it is in use, and decreases
/// by a factor on sheds and on high latency.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    bounds: LimitBounds,
    limit: f64,
    in_flight: u32,
    waiting: usize,
    latency: LatencyWindows,
    last_shed: Option<Instant>,
    growth_paused_until: Option<Instant>,
}

impl ConcurrencyLimit {
    /// Creates a limit at its upper bound, without requests.
    pub fn new(now: Instant, bounds: LimitBounds) -> Self {
        let min = bounds.min.max(1);
        let bounds = LimitBounds { min, max: bounds.max.max(min), ..bounds };
        Self {
            bounds,
            limit: f64::from(bounds.max),
            in_flight: 0,
            waiting: 0,
            latency: LatencyWindows::new(now),
            last_shed: None,
            growth_paused_until: None,
        }
    }

    /// Changes the bounds, for example after a change of configuration or membership.
    pub fn set_bounds(&mut self, bounds: LimitBounds) {
        let min = bounds.min.max(1);
        // A limit at its upper bound follows changes of that bound, so that it starts there even if
        // the number of upstreams becomes known later.
        let limit =
            if self.limit() >= self.bounds.max { f64::from(bounds.max) } else { self.limit };
        self.bounds = LimitBounds { min, max: bounds.max.max(min), ..bounds };
        self.set_limit(limit);
    }

    /// Returns the number of requests that may be in flight.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the number of requests in the queue.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the fill level of the queue, from 0 to 1. It is 0 while a request can start at once.
    pub fn pressure(&self) -> f64 {
        if self.has_capacity() && self.waiting == 0 {
            return 0.0;
        }
        if self.waiting >= self.bounds.max_waiting {
            return 1.0;
        }
        self.waiting as f64 / self.bounds.max_waiting as f64
    }

    /// Decides on a new request. New requests do not overtake waiting ones.
    pub fn admit(&mut self, now: Instant, deadline: Deadline) -> Admission {
        // A request that starts later than this is expected to miss its deadline.
        let baseline = self.latency.baseline().unwrap_or_default();
        let latest_start = deadline.at.checked_sub(baseline).unwrap_or(now);
        if deadline.is_expired(now) {
            return self.reject(RejectReason::DeadlineTooClose);
        }
        if self.has_capacity() && self.waiting == 0 {
            self.in_flight += 1;
            return Admission::Admit;
        }
        if self.waiting >= self.bounds.max_waiting {
            return self.reject(RejectReason::QueueFull);
        }
        if now + self.expected_wait() >= latest_start {
            return self.reject(RejectReason::DeadlineTooClose);
        }
        self.waiting += 1;
        Admission::Wait(latest_start)
    }

    /// Starts the request at the head of the queue if the limit permits.
    ///
    /// Returns true if a request starts. It is then counted as in flight and no longer as waiting.
    pub fn admit_waiting(&mut self) -> bool {
        let starts = self.waiting > 0 && self.has_capacity();
        if starts {
            self.waiting -= 1;
            self.in_flight += 1;
        }
        starts
    }

    /// Removes a request from the queue after its wait timed out or its caller disconnected.
    pub fn on_wait_abandoned(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Records the end of a request in flight and adjusts the limit.
    pub fn on_finish(&mut self, now: Instant, completion: Completion) {
        let was_in_use = f64::from(self.in_flight) * 2.0 >= self.limit;
        self.in_flight = self.in_flight.saturating_sub(1);
        match completion {
            Completion::Responded(latency) => self.on_response(now, latency, was_in_use),
            Completion::Shed { retry_after } => self.on_shed(now, retry_after),
            Completion::Failed => {}
        }
    }

    fn on_response(&mut self, now: Instant, latency: Duration, was_in_use: bool) {
        let completes_window = self.latency.record(now, latency);
        let is_growth_paused = self.growth_paused_until.is_some_and(|until| now < until);
        if completes_window && self.latency.is_high {
            self.set_limit(self.limit * LATENCY_FACTOR);
        } else if was_in_use && !is_growth_paused && !self.latency.is_high {
            self.set_limit(self.limit + 1.0 / self.limit);
        }
    }

    fn on_shed(&mut self, now: Instant, retry_after: Option<Duration>) {
        let until = now + retry_after.unwrap_or(DEFAULT_SHED_DURATION).min(MAX_SHED_DURATION);
        self.growth_paused_until = self.growth_paused_until.max(Some(until));
        if self.last_shed.is_some_and(|at| now.saturating_duration_since(at) < SHED_COOLDOWN) {
            return;
        }
        self.last_shed = Some(now);
        self.set_limit(self.limit * SHED_FACTOR);
    }

    fn set_limit(&mut self, limit: f64) {
        self.limit = limit.clamp(f64::from(self.bounds.min), f64::from(self.bounds.max));
    }

    fn has_capacity(&self) -> bool {
        self.in_flight < self.limit()
    }

    /// Returns the estimated wait of a request that joins the queue now.
    fn expected_wait(&self) -> Duration {
        let rounds = (self.waiting + 1) as f64 / self.limit;
        self.latency.baseline().unwrap_or_default().mul_f64(rounds)
    }

    /// Returns a rejection whose `retry_after` is the estimated wait in the queue, within bounds.
    pub(crate) fn reject(&self, reason: RejectReason) -> Admission {
        let (shortest, longest) = RETRY_AFTER_BOUNDS;
        Admission::Reject { reason, retry_after: self.expected_wait().clamp(shortest, longest) }
    }
}

/// Mean latencies of recent time windows.
#[derive(Clone, Debug)]
struct LatencyWindows {
    start: Instant,
    samples: u32,
    sum: Duration,
    means: VecDeque<Duration>,
    /// True if the last completed window had a high mean. The limit does not grow then: with many
    /// responses in a window, growth would outweigh the decrease at its end.
    is_high: bool,
}

impl LatencyWindows {
    fn new(now: Instant) -> Self {
        let (sum, means) = (Duration::ZERO, VecDeque::new());
        Self { start: now, samples: 0, sum, means, is_high: false }
    }

    /// Returns the lowest mean of recent windows, or the mean so far during the first window.
    fn baseline(&self) -> Option<Duration> {
        let current_mean = || (self.samples > 0).then(|| self.sum / self.samples);
        self.means.iter().min().copied().or_else(current_mean)
    }

    /// Adds a sample. Returns true if it completes a window.
    fn record(&mut self, now: Instant, latency: Duration) -> bool {
        self.samples += 1;
        self.sum = self.sum.saturating_add(latency);
        let age = now.saturating_duration_since(self.start);
        if age < MIN_WINDOW || self.samples < MIN_WINDOW_SAMPLES {
            return false;
        }
        let mean = self.sum / self.samples;
        self.is_high =
            self.means.iter().min().is_some_and(|low| mean > low.mul_f64(HIGH_LATENCY_RATIO));
        if self.means.len() == RECENT_WINDOWS {
            self.means.pop_front();
        }
        self.means.push_back(mean);
        (self.start, self.samples, self.sum) = (now, 0, Duration::ZERO);
        true
    }
}
