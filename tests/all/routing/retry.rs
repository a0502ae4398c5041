//! Retry budget, rules of extra attempts, and hedge delay.

use std::time::{Duration, Instant};

use cactustrack_routing::deadline::Deadline;
use cactustrack_routing::retry::ExtraAttempt::{Hedge, Resume, Retry};
use cactustrack_routing::retry::{
    AttemptError as E, AttemptState, ExtraAttempt, HedgeDelay, RetryBudget, take_attempt,
};
use cactustrack_types::RequestClass;
use proptest::prelude::*;

proptest! {
    /// Guards against retry storms: at each point of any sequence, extra attempts are at most a
    /// tenth of the requests seen so far.
    #[test]
    fn amplification_is_at_most_1_1(
        share in prop_oneof![Just(0.1), Just(1.0), Just(f64::NAN), -1.0..1.0f64],
        is_request in prop::collection::vec(prop::bool::weighted(0.7), 0..4_000),
    ) {
        let mut budget = RetryBudget::new(share);
        let (mut requests, mut extra) = (0u32, 0u32);
        for is_request in is_request {
            if is_request {
                budget.on_request();
                requests += 1;
            } else {
                extra += u32::from(budget.try_take());
            }
            prop_assert!(extra * 10 <= requests, "{} extra for {} requests", extra, requests);
        }
    }
}

/// Guards against a budget that cannot be used fully when all requests fail, and against an
/// unbounded balance after a long time without failures.
#[test]
fn budget_is_used_and_bounded() {
    let mut budget = RetryBudget::new(0.1);
    let mut attempt = || {
        budget.on_request();
        budget.try_take()
    };
    assert_eq!((0..10_000).filter(|_| attempt()).count(), 1_000);
    (0..1_000_000).for_each(|_| budget.on_request());
    assert_eq!(budget.available(), 100);
}

/// Guards against extra attempts that are not allowed, and against charging the budget for them.
#[test]
fn rules_of_extra_attempts() {
    struct Case(ExtraAttempt, fn(&mut AttemptState), Option<E>);
    let now = Instant::now();
    let base = AttemptState {
        class: RequestClass::Idempotent,
        response_started: false,
        body_replayable: true,
        another_upstream: true,
        deadline: Deadline { at: now + Duration::from_secs(1) },
    };
    let cases = [
        Case(Retry, |_| {}, None),
        Case(Hedge, |s| s.class = RequestClass::Large, None),
        Case(Resume, |s| s.response_started = true, None),
        Case(Resume, |s| s.class = RequestClass::NonIdempotent, Some(E::NonIdempotent)),
        Case(Retry, |s| s.response_started = true, Some(E::AnswerStarted)),
        Case(Hedge, |s| s.response_started = true, Some(E::AnswerStarted)),
        Case(Retry, |s| s.body_replayable = false, Some(E::BodyGone)),
        Case(Hedge, |s| s.another_upstream = false, Some(E::NoOtherUpstream)),
        Case(Retry, |s| s.deadline.at -= Duration::from_secs(1), Some(E::DeadlinePassed)),
    ];
    for Case(kind, change, expected) in cases {
        let mut budget = RetryBudget::new(0.1);
        (0..10).for_each(|_| budget.on_request());
        let mut state = base;
        change(&mut state);
        assert_eq!(take_attempt(&mut budget, kind, state, now).err(), expected, "{state:?}");
        assert_eq!(budget.available(), u64::from(expected.is_some()));
        let next = take_attempt(&mut budget, kind, state, now).err();
        assert_eq!(next, expected.or(Some(E::BudgetExhausted)));
    }
}

/// Guards against hedges without enough samples, and against a delay that does not follow the
/// latency of the service.
#[test]
fn hedge_delay_follows_the_95th_percentile() {
    let start = Instant::now();
    let mut delay = HedgeDelay::new(start);
    for n in 1..=100 {
        assert_eq!(delay.delay(), None);
        delay.on_latency(start, Duration::from_millis(n));
    }
    let p95 = delay.delay().expect("enough samples").as_secs_f64();
    assert!((0.090..0.110).contains(&p95), "{p95} s");
    let later = start + Duration::from_secs(11);
    (0..100).for_each(|_| delay.on_latency(later, Duration::from_secs(1)));
    assert!(delay.delay() > Some(Duration::from_millis(900)));
}
