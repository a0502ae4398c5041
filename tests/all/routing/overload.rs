//! Concurrency limits and fair shares.

use std::time::{Duration, Instant};

use cactustrack_routing::deadline::Deadline;
use cactustrack_routing::fair_share::FairShares;
use cactustrack_routing::limits::{
    Admission, Completion, ConcurrencyLimit, LimitBounds, RefuseReason,
};
use proptest::prelude::*;

const MS: Duration = Duration::from_millis(1);

fn limit(now: Instant, max: u32, max_waiting: usize) -> ConcurrencyLimit {
    ConcurrencyLimit::new(now, LimitBounds { min: 2, max, max_waiting })
}

proptest! {
    /// Guards against more requests in flight than the limit, a queue beyond its length, and a wait
    /// beyond the deadline.
    #[test]
    fn admission_stays_within_bounds(events in prop::collection::vec((0..5u8, 1..2_000u32), 0..500)) {
        let mut now = Instant::now();
        let mut limit = limit(now, 8, 4);
        for (event, ms) in events {
            now += MS * (ms / 20);
            match event {
                0 | 1 => {
                    let (deadline, room) = (Deadline { at: now + MS * ms }, limit.limit());
                    match limit.admit(now, deadline) {
                        Admission::Admit => prop_assert!(limit.in_flight() <= room),
                        Admission::Wait(until) => prop_assert!(now < until && until <= deadline.at),
                        Admission::Refuse { retry_after, .. } => prop_assert!(!retry_after.is_zero()),
                    }
                }
                2 => limit.on_finish(now, Completion::Answered(MS * ms)),
                3 => limit.on_finish(now, Completion::Shed { retry_after: None }),
                _ => drop(limit.admit_waiting()),
            }
            prop_assert!((2..=8).contains(&limit.limit()) && limit.waiting() <= 4);
        }
    }
}

/// Guards against a limit that ignores sheds and latency, or that does not recover.
#[test]
fn limit_falls_on_sheds_and_latency_and_recovers() {
    let mut now = Instant::now();
    let deadline = Deadline { at: now + 3_600_000 * MS };
    let mut limit = limit(now, 20, 0);
    let answer = |limit: &mut ConcurrencyLimit, now: &mut Instant, latency: Duration| {
        while limit.admit(*now, deadline) == Admission::Admit {}
        *now += latency / 10;
        limit.on_finish(*now, Completion::Answered(latency));
    };
    (0..200).for_each(|_| answer(&mut limit, &mut now, 100 * MS));
    assert_eq!(limit.limit(), 20);
    limit.on_finish(now, Completion::Shed { retry_after: Some(2_000 * MS) });
    limit.on_finish(now, Completion::Shed { retry_after: None });
    assert_eq!(limit.limit(), 14, "sheds at one moment count once");
    (0..190).for_each(|_| answer(&mut limit, &mut now, 100 * MS));
    assert_eq!(limit.limit(), 14, "no growth during the indicated time");
    (0..200).for_each(|_| answer(&mut limit, &mut now, 100 * MS));
    assert_eq!(limit.limit(), 20);
    (0..100).for_each(|_| answer(&mut limit, &mut now, 300 * MS));
    assert!(limit.limit() < 18, "limit is {} after high latency", limit.limit());
}

/// Guards against queueing of requests that cannot be answered in time.
#[test]
fn refuses_what_would_miss_its_deadline() {
    let now = Instant::now();
    let mut limit = limit(now, 2, 2);
    let deadline = |ms| Deadline { at: now + MS * ms };
    assert_eq!(limit.admit(now, deadline(500)), Admission::Admit);
    limit.on_finish(now, Completion::Answered(100 * MS));
    for _ in 0..2 {
        assert_eq!(limit.admit(now, deadline(500)), Admission::Admit);
    }
    let reason = |admission| match admission {
        Admission::Refuse { reason, .. } => Some(reason),
        _ => None,
    };
    assert_eq!(reason(limit.admit(now, deadline(140))), Some(RefuseReason::DeadlineTooClose));
    assert_eq!(limit.admit(now, deadline(500)), Admission::Wait(now + 400 * MS));
    limit.on_finish(now, Completion::Failed);
    assert!(limit.admit_waiting() && !limit.admit_waiting());
    for _ in 0..2 {
        assert_eq!(limit.admit(now, deadline(500)), Admission::Wait(now + 400 * MS));
    }
    assert_eq!(reason(limit.admit(now, deadline(500))), Some(RefuseReason::QueueFull));
    assert_eq!(limit.pressure(), 1.0);
}

/// Guards against refusals of light callers for the load of heavy ones, with 29,000 accounts, and
/// against equal treatment of unequal weights.
#[test]
fn heaviest_callers_are_refused_first() {
    let start = Instant::now();
    let mut shares = FairShares::new(start, 7);
    // A hundred accounts a second are active in turn.
    (0..29_000).for_each(|n| shares.on_admit(start + 10 * MS * n, &format!("account-{n}"), 1));
    let now = start + 290_000 * MS;
    (0..500).for_each(|_| shares.on_admit(now, "script", 1));
    (0..500).for_each(|_| shares.on_admit(now, "partner", 100));
    let light =
        (0..29_000).filter(|n| shares.is_refused(now, &format!("account-{n}"), 0.5)).count();
    assert!(shares.is_refused(now, "script", 0.5));
    assert!(!shares.is_refused(now, "script", 0.0));
    assert!(!shares.is_refused(now, "partner", 0.5));
    assert!(light < 10, "{light} light callers refused");
    let later = now + 60_000 * MS;
    (0..100).for_each(|n| shares.on_admit(later, &format!("account-{n}"), 1));
    assert!(!shares.is_refused(later, "script", 1.0), "usage does not fade");
}
