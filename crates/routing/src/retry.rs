//! Budget and rules for retries, hedged requests and range resumes.

use std::time::{Duration, Instant};

use cactustrack_types::RequestClass;
use derive_more::{Display, Error};
use hdrhistogram::Histogram;

use crate::deadline::Deadline;

/// Largest budget as a share of requests. It keeps total amplification at or below 1.1.
pub const MAX_BUDGET: f64 = 0.1;
/// One extra attempt in the unit of the balance.
const ATTEMPT: u64 = 1_000_000;
/// Largest balance, in attempts. It bounds a burst after a long time without failures.
const MAX_BALANCE_ATTEMPTS: u64 = 100;

/// Budget of a service for attempts beyond the first one.
///
/// The bucket starts empty and is filled by requests only, not by time, so the number of extra
/// attempts never exceeds the budgeted share of the requests seen so far.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    deposit: u64,
    balance: u64,
}

impl RetryBudget {
    /// Creates an empty budget of `share` of requests, from 0 to [`MAX_BUDGET`].
    pub fn new(share: f64) -> Self {
        // NaN becomes 0 in the conversion.
        let deposit = (share.clamp(0.0, MAX_BUDGET) * ATTEMPT as f64) as u64;
        Self { deposit, balance: 0 }
    }

    /// Counts a request of a caller. Extra attempts are not counted.
    pub fn on_request(&mut self) {
        self.balance = (self.balance + self.deposit).min(MAX_BALANCE_ATTEMPTS * ATTEMPT);
    }

    /// Number of extra attempts that the budget allows now.
    pub fn available(&self) -> u64 {
        self.balance / ATTEMPT
    }

    /// Takes one extra attempt from the budget. Returns false if it is exhausted.
    pub fn try_take(&mut self) -> bool {
        let Some(balance) = self.balance.checked_sub(ATTEMPT) else {
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
    /// The earlier attempt takes unusually long and still runs.
    #[display("hedge")]
    Hedge,
    /// The answer was cut, and its rest is fetched.
    #[display("resume")]
    Resume,
}

/// State of a request for which an extra attempt is considered.
#[derive(Clone, Copy, Debug)]
pub struct AttemptState {
    /// Class of the request.
    pub class: RequestClass,
    /// True once a byte of the answer, including its head, was sent to the caller.
    pub answer_started: bool,
    /// True if the complete request body is still available to be sent again.
    pub body_replayable: bool,
    /// True if an upstream remains that was not tried.
    pub another_upstream: bool,
    /// Deadline of the request.
    pub deadline: Deadline,
}

/// Why an extra attempt is not made.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Hash)]
pub enum NoAttempt {
    /// A non-idempotent request is sent once.
    #[display("the request is not idempotent")]
    NonIdempotent,
    /// The caller already has a part of the answer.
    #[display("the answer has started")]
    AnswerStarted,
    /// The request body was streamed and is gone.
    #[display("the request body cannot be sent again")]
    BodyGone,
    /// All upstreams were tried.
    #[display("no other upstream remains")]
    NoOtherUpstream,
    /// No time is left.
    #[display("the deadline has passed")]
    DeadlinePassed,
    /// The budget of the service is exhausted.
    #[display("the retry budget is exhausted")]
    BudgetExhausted,
}

/// Decides on an extra attempt and charges it to the budget.
///
/// A resume needs an answer that has started; whether it can be resumed is decided by
/// [`crate::range_resume`].
///
/// # Errors
///
/// Fails with the first rule that forbids the attempt. Nothing is charged then.
pub fn take_attempt(
    budget: &mut RetryBudget,
    kind: ExtraAttempt,
    state: AttemptState,
    now: Instant,
) -> Result<(), NoAttempt> {
    if !state.class.is_idempotent() {
        return Err(NoAttempt::NonIdempotent);
    }
    if state.answer_started && kind != ExtraAttempt::Resume {
        return Err(NoAttempt::AnswerStarted);
    }
    if !state.body_replayable {
        return Err(NoAttempt::BodyGone);
    }
    if !state.another_upstream {
        return Err(NoAttempt::NoOtherUpstream);
    }
    if state.deadline.is_expired(now) {
        return Err(NoAttempt::DeadlinePassed);
    }
    if budget.try_take() { Ok(()) } else { Err(NoAttempt::BudgetExhausted) }
}

/// Length of one window of latencies.
const WINDOW: Duration = Duration::from_secs(10);
/// Fewest samples from which a percentile is taken.
const MIN_SAMPLES: u64 = 100;
/// Percentile after which a request is hedged: the budget covers about twice this tail.
const HEDGE_PERCENTILE: f64 = 95.0;
/// Shortest hedge delay. A shorter one reacts to scheduling noise on the instance.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(2);
/// Smallest and largest latency that the histogram tells apart, in microseconds.
const LATENCY_RANGE_US: (u64, u64) = (100, 60_000_000);

/// Hedge delay of a service, taken from latencies of the last 10 to 20 s.
///
/// Two histograms of fixed size hold the current and the previous window.
#[derive(Clone, Debug)]
pub struct HedgeDelay {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    window_start: Instant,
}

impl HedgeDelay {
    /// Creates an estimate without samples.
    pub fn new(now: Instant) -> Self {
        let (low, high) = LATENCY_RANGE_US;
        let histogram =
            Histogram::new_with_bounds(low, high, 1).expect("constant bounds are valid");
        Self { current: histogram.clone(), previous: histogram, window_start: now }
    }

    /// Counts the latency of a first attempt that succeeded.
    pub fn on_latency(&mut self, now: Instant, latency: Duration) {
        self.rotate(now);
        let us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.current.saturating_record(us);
    }

    /// Time after which a hedge is sent, or `None` with too few samples for a percentile.
    pub fn delay(&self) -> Option<Duration> {
        [&self.current, &self.previous]
            .into_iter()
            .find(|window| window.len() >= MIN_SAMPLES)
            .map(|window| Duration::from_micros(window.value_at_percentile(HEDGE_PERCENTILE)))
            .map(|delay| delay.max(MIN_HEDGE_DELAY))
    }

    fn rotate(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.window_start);
        if age < WINDOW {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
        if age >= 2 * WINDOW {
            self.previous.reset();
        }
        self.window_start = now;
    }
}
