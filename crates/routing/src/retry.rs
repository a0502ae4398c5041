//! Retry budget, rules for extra attempts (retries, hedges and range resumes), and hedge delay.

use std::time::{Duration, Instant};

use cactustrack_types::RequestClass;
use derive_more::{Display, Error};
use hdrhistogram::Histogram;

use crate::deadline::Deadline;

/// Largest retry budget, as a ratio to the number of requests. It bounds the amplification of load
/// at 1.1.
pub const MAX_BUDGET_RATIO: f64 = 0.1;
/// Cost of an extra attempt in units of the balance.
const ATTEMPT_COST: u64 = 1_000_000;
/// Largest balance, in attempts. It bounds the burst of attempts after a long time without
/// failures.
const MAX_BALANCE_ATTEMPTS: u64 = 100;

/// Token bucket of a service for attempts beyond the first one.
///
/// The bucket starts empty and is filled by requests, not by time, so the number of extra attempts
/// never exceeds the budgeted share of the requests seen so far.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    deposit: u64,
    balance: u64,
}

impl RetryBudget {
    /// Creates an empty budget of `share` of the requests, clamped to the range from 0 to
    /// [`MAX_BUDGET_RATIO`].
    pub fn new(share: f64) -> Self {
        // The conversion turns NaN into 0.
        let deposit = (share.clamp(0.0, MAX_BUDGET_RATIO) * ATTEMPT_COST as f64) as u64;
        Self { deposit, balance: 0 }
    }

    /// Records a request of a caller. Must not be called for extra attempts.
    pub fn on_request(&mut self) {
        self.balance = (self.balance + self.deposit).min(MAX_BALANCE_ATTEMPTS * ATTEMPT_COST);
    }

    /// Returns the number of extra attempts that the budget allows at present.
    pub fn available(&self) -> u64 {
        self.balance / ATTEMPT_COST
    }

    /// Charges one extra attempt to the budget. Returns false if the budget is exhausted.
    pub fn try_take(&mut self) -> bool {
        let Some(balance) = self.balance.checked_sub(ATTEMPT_COST) else {
            return false;
        };
        self.balance = balance;
        true
    }
}

/// Kind of an attempt beyond the first one.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum ExtraAttempt {
    /// The earlier attempt failed.
    #[display("retry")]
    Retry,
    /// The earlier attempt is unusually slow and still in progress.
    #[display("hedge")]
    Hedge,
    /// The response was truncated, and its remainder is requested.
    #[display("resume")]
    Resume,
}

/// State of a request that an extra attempt depends on.
#[derive(Clone, Copy, Debug)]
pub struct AttemptState {
    /// Class of the request.
    pub class: RequestClass,
    /// True if a byte of the response, including its head, was sent to the caller.
    pub response_started: bool,
    /// True if the complete request body is still available for another attempt.
    pub body_replayable: bool,
    /// True if there is an upstream that was not tried yet.
    pub another_upstream: bool,
    /// Deadline of the request.
    pub deadline: Deadline,
}

/// Reason why an extra attempt is not allowed.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Hash)]
pub enum AttemptError {
    /// The request is non-idempotent and must be sent only once.
    #[display("the request is not idempotent")]
    NonIdempotent,
    /// A part of the response was sent to the caller.
    #[display("the response has started")]
    AnswerStarted,
    /// The request body was streamed and is no longer available.
    #[display("the request body cannot be sent again")]
    BodyGone,
    /// All upstreams were tried already.
    #[display("no other upstream remains")]
    NoOtherUpstream,
    /// The deadline of the request has passed.
    #[display("the deadline has passed")]
    DeadlinePassed,
    /// The budget of the service is exhausted.
    #[display("the retry budget is exhausted")]
    BudgetExhausted,
}

/// Decides on an extra attempt and charges it to the budget if it is allowed.
///
/// A resume is allowed although the response has started. Whether the response can be resumed is
/// decided by [`crate::range_resume`].
///
/// # Errors
///
/// Returns the first rule that forbids the attempt. Nothing is charged then.
pub fn take_attempt(
    budget: &mut RetryBudget,
    kind: ExtraAttempt,
    state: AttemptState,
    now: Instant,
) -> Result<(), AttemptError> {
    if !state.class.is_idempotent() {
        return Err(AttemptError::NonIdempotent);
    }
    if state.response_started && kind != ExtraAttempt::Resume {
        return Err(AttemptError::AnswerStarted);
    }
    if !state.body_replayable {
        return Err(AttemptError::BodyGone);
    }
    if !state.another_upstream {
        return Err(AttemptError::NoOtherUpstream);
    }
    if state.deadline.is_expired(now) {
        return Err(AttemptError::DeadlinePassed);
    }
    if budget.try_take() { Ok(()) } else { Err(AttemptError::BudgetExhausted) }
}

/// Length of a latency window.
const LATENCY_WINDOW: Duration = Duration::from_secs(10);
/// Minimum number of samples for a percentile.
const MIN_SAMPLES: u64 = 100;
/// Latency percentile after which a request is hedged. The retry budget covers about twice the tail
/// above it.
const HEDGE_PERCENTILE: f64 = 95.0;
/// Minimum hedge delay. A shorter one would react to scheduling jitter on the instance.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(2);
/// Smallest and largest latency that the histogram distinguishes, in microseconds.
const LATENCY_RANGE_US: (u64, u64) = (100, 60_000_000);

/// Estimator of the hedge delay of a service, from the latencies of the last 10 to 20 s.
///
/// Two histograms of fixed size hold the current and the previous window.
#[derive(Clone, Debug)]
pub struct HedgeDelay {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    window_start: Instant,
}

impl HedgeDelay {
    /// Creates an estimator without samples.
    pub fn new(now: Instant) -> Self {
        let (low, high) = LATENCY_RANGE_US;
        let histogram =
            Histogram::new_with_bounds(low, high, 1).expect("constant bounds are valid");
        Self { current: histogram.clone(), previous: histogram, window_start: now }
    }

    /// Records the latency of a successful first attempt.
    pub fn on_latency(&mut self, now: Instant, latency: Duration) {
        self.rotate(now);
        let us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.current.saturating_record(us);
    }

    /// Returns the time after which a hedge is sent, or `None` if there are too few samples.
    pub fn delay(&self) -> Option<Duration> {
        [&self.current, &self.previous]
            .into_iter()
            .find(|window| window.len() >= MIN_SAMPLES)
            .map(|window| Duration::from_micros(window.value_at_percentile(HEDGE_PERCENTILE)))
            .map(|delay| delay.max(MIN_HEDGE_DELAY))
    }

    fn rotate(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.window_start);
        if age < LATENCY_WINDOW {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
        if age >= 2 * LATENCY_WINDOW {
            self.previous.reset();
        }
        self.window_start = now;
    }
}
