//! Adaptive limit on requests in flight, and a bounded queue in front of it.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use derive_more::Display;

use crate::deadline::Deadline;

/// Factor of the limit after a shed.
const SHED_FACTOR: f64 = 0.7;
/// Factor of the limit after a window of high latency.
const LATENCY_FACTOR: f64 = 0.9;
/// A window's mean latency is high above this many times the lowest of recent windows.
const HIGH_LATENCY: f64 = 2.0;
/// Time without a further decrease after one for a shed. Sheds of requests that were in flight
/// together say the same thing once.
const SHED_COOLDOWN: Duration = Duration::from_millis(100);
/// Time for which a shed lowers the limit if the upstream names none.
pub const DEFAULT_SHED: Duration = Duration::from_secs(1);
/// Longest time for which one shed lowers the limit, whatever the upstream names.
pub const MAX_SHED: Duration = Duration::from_secs(60);
/// Shortest latency window.
const WINDOW: Duration = Duration::from_secs(1);
/// Fewest samples in a latency window.
const WINDOW_SAMPLES: u32 = 20;
/// Number of window means of which the lowest is the usual latency. A lasting rise becomes usual
/// after as many windows, in which the limit shrinks to 0.35 of its value at most.
const RECENT_WINDOWS: usize = 10;
/// Bounds of the time after which a refused caller is told to come back.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(10));

/// Bounds of a [`ConcurrencyLimit`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitBounds {
    /// Smallest limit, in requests in flight, at least 1.
    pub min: u32,
    /// Largest limit, in requests in flight. The limit starts here.
    pub max: u32,
    /// Longest queue, in requests.
    pub max_waiting: usize,
}

/// What to do with a request that wants to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Start it. It is counted as in flight.
    Admit,
    /// Let it wait, at most until this instant. It is counted as waiting.
    Wait(Instant),
    /// Reject it as not run.
    Reject {
        /// Why it is rejected.
        reason: RejectReason,
        /// When the caller may try again.
        retry_after: Duration,
    },
}

/// Why a request is rejected before it is dispatched.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum RejectReason {
    /// The queue is full.
    #[display("the queue is full")]
    QueueFull,
    /// The request would not be answered within its deadline.
    #[display("the deadline is too close")]
    DeadlineTooClose,
    /// The caller uses more than its share of an overloaded service.
    #[display("the caller uses more than its share")]
    OverShare,
}

/// How a request in flight ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// It was answered after this time.
    Responded(Duration),
    /// The upstream shed it.
    Shed {
        /// Time that the upstream indicates in `Retry-After`.
        retry_after: Option<Duration>,
    },
    /// It failed or was abandoned, which says nothing about load.
    Failed,
}

/// Limit on requests in flight of one service or to one upstream, with the queue in front of it.
///
/// The limit grows by one for each round of answers while it is in use, and shrinks by a factor on
/// sheds and on high latency.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    bounds: LimitBounds,
    limit: f64,
    in_flight: u32,
    waiting: usize,
    latency: LatencyWindows,
    last_shed: Option<Instant>,
    lowered_until: Option<Instant>,
}

impl ConcurrencyLimit {
    /// Creates a limit at its upper bound with nothing in flight.
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
            lowered_until: None,
        }
    }

    /// Changes the bounds, for example after a change of the configuration or the members.
    pub fn set_bounds(&mut self, bounds: LimitBounds) {
        let min = bounds.min.max(1);
        // A limit that was never lowered follows its upper bound, so that it starts there also if
        // the number of upstreams is learnt later.
        let limit =
            if self.limit() >= self.bounds.max { f64::from(bounds.max) } else { self.limit };
        self.bounds = LimitBounds { min, max: bounds.max.max(min), ..bounds };
        self.set_limit(limit);
    }

    /// Requests that may be in flight.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Requests in the queue.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// How full the queue is, from 0 to 1. It is 0 while a request can start at once.
    pub fn pressure(&self) -> f64 {
        if self.has_room() && self.waiting == 0 {
            return 0.0;
        }
        if self.waiting >= self.bounds.max_waiting {
            return 1.0;
        }
        self.waiting as f64 / self.bounds.max_waiting as f64
    }

    /// Decides on a new request. A request never overtakes those that wait.
    pub fn admit(&mut self, now: Instant, deadline: Deadline) -> Admission {
        // A request that starts later than this is usually answered after its deadline.
        let usual = self.latency.usual().unwrap_or_default();
        let latest_start = deadline.at.checked_sub(usual).unwrap_or(now);
        if deadline.is_expired(now) {
            return self.refuse(RejectReason::DeadlineTooClose);
        }
        if self.has_room() && self.waiting == 0 {
            self.in_flight += 1;
            return Admission::Admit;
        }
        if self.waiting >= self.bounds.max_waiting {
            return self.refuse(RejectReason::QueueFull);
        }
        if now + self.expected_wait() >= latest_start {
            return self.refuse(RejectReason::DeadlineTooClose);
        }
        self.waiting += 1;
        Admission::Wait(latest_start)
    }

    /// Starts the request at the head of the queue if there is room for it. Returns true if it
    /// starts; it is then counted as in flight and no longer as waiting.
    pub fn admit_waiting(&mut self) -> bool {
        let starts = self.waiting > 0 && self.has_room();
        if starts {
            self.waiting -= 1;
            self.in_flight += 1;
        }
        starts
    }

    /// Removes a request from the queue whose time passed or whose caller left.
    pub fn on_wait_abandoned(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Counts the end of a request in flight and adjusts the limit.
    pub fn on_finish(&mut self, now: Instant, completion: Completion) {
        let was_in_use = f64::from(self.in_flight) * 2.0 >= self.limit;
        self.in_flight = self.in_flight.saturating_sub(1);
        match completion {
            Completion::Responded(latency) => self.on_answer(now, latency, was_in_use),
            Completion::Shed { retry_after } => self.on_shed(now, retry_after),
            Completion::Failed => {}
        }
    }

    fn on_answer(&mut self, now: Instant, latency: Duration, was_in_use: bool) {
        let closes_window = self.latency.record(now, latency);
        let is_lowered = self.lowered_until.is_some_and(|until| now < until);
        if closes_window && self.latency.is_high {
            self.set_limit(self.limit * LATENCY_FACTOR);
        } else if was_in_use && !is_lowered && !self.latency.is_high {
            self.set_limit(self.limit + 1.0 / self.limit);
        }
    }

    fn on_shed(&mut self, now: Instant, retry_after: Option<Duration>) {
        let until = now + retry_after.unwrap_or(DEFAULT_SHED).min(MAX_SHED);
        self.lowered_until = self.lowered_until.max(Some(until));
        if self.last_shed.is_some_and(|at| now.saturating_duration_since(at) < SHED_COOLDOWN) {
            return;
        }
        self.last_shed = Some(now);
        self.set_limit(self.limit * SHED_FACTOR);
    }

    fn set_limit(&mut self, limit: f64) {
        self.limit = limit.clamp(f64::from(self.bounds.min), f64::from(self.bounds.max));
    }

    fn has_room(&self) -> bool {
        self.in_flight < self.limit()
    }

    /// Time until a request that joins the queue now is expected to start.
    fn expected_wait(&self) -> Duration {
        let rounds = (self.waiting + 1) as f64 / self.limit;
        self.latency.usual().unwrap_or_default().mul_f64(rounds)
    }

    /// Rejection with the time after which the queue is expected to have moved.
    pub(crate) fn refuse(&self, reason: RejectReason) -> Admission {
        let (shortest, longest) = RETRY_AFTER;
        Admission::Reject { reason, retry_after: self.expected_wait().clamp(shortest, longest) }
    }
}

/// Mean latencies of recent windows.
#[derive(Clone, Debug)]
struct LatencyWindows {
    start: Instant,
    samples: u32,
    sum: Duration,
    means: VecDeque<Duration>,
    /// True if the last closed window had a high mean. The limit does not grow then: with many
    /// answers in a window, growth would outweigh the decrease at its end.
    is_high: bool,
}

impl LatencyWindows {
    fn new(now: Instant) -> Self {
        let (sum, means) = (Duration::ZERO, VecDeque::new());
        Self { start: now, samples: 0, sum, means, is_high: false }
    }

    /// Lowest mean of recent windows, or the mean of the first window while it lasts.
    fn usual(&self) -> Option<Duration> {
        let running = || (self.samples > 0).then(|| self.sum / self.samples);
        self.means.iter().min().copied().or_else(running)
    }

    /// Adds a sample. Returns true if it closes a window.
    fn record(&mut self, now: Instant, latency: Duration) -> bool {
        self.samples += 1;
        self.sum = self.sum.saturating_add(latency);
        let age = now.saturating_duration_since(self.start);
        if age < WINDOW || self.samples < WINDOW_SAMPLES {
            return false;
        }
        let mean = self.sum / self.samples;
        self.is_high = self.means.iter().min().is_some_and(|low| mean > low.mul_f64(HIGH_LATENCY));
        if self.means.len() == RECENT_WINDOWS {
            self.means.pop_front();
        }
        self.means.push_back(mean);
        (self.start, self.samples, self.sum) = (now, 0, Duration::ZERO);
        true
    }
}
