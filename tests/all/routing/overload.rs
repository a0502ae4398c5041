//! Concurrency limits, fair shares and overload control.

use std::time::{Duration, Instant};

use cactustrack_routing::deadline::Deadline;
use cactustrack_routing::fair_share::FairShares;
use cactustrack_routing::limits::Completion::{Failed, Responded, Shed};
use cactustrack_routing::limits::{Admission, ConcurrencyLimit, LimitBounds, RejectReason};
use cactustrack_routing::overload::OverloadController;
use proptest::prelude::*;

const MS: Duration = Duration::from_millis(1);

fn bounds(max: u32, max_waiting: usize) -> LimitBounds {
    LimitBounds { min: 2, max, max_waiting }
}

proptest! {
    /// Guards against more requests in flight than the limit, a queue longer than its bound, and a
    /// wait beyond the deadline.
    #[test]
    fn admission_stays_within_bounds(
        events in prop::collection::vec((0..5u8, 1..2_000u32), 0..500),
    ) {
        let mut now = Instant::now();
        let mut limit = ConcurrencyLimit::new(now, bounds(8, 4));
        for (event, ms) in events {
            now += MS * (ms / 20);
            let (deadline, max_in_flight) = (Deadline { at: now + MS * ms }, limit.limit());
            match event {
                0 | 1 => match limit.admit(now, deadline) {
                    Admission::Admit => prop_assert!(limit.in_flight() <= max_in_flight),
                    Admission::Wait(until) => prop_assert!(now < until && until <= deadline.at),
                    Admission::Reject { retry_after, .. } => prop_assert!(!retry_after.is_zero()),
                },
                2 => limit.on_finish(now, Responded(MS * ms)),
                3 => limit.on_finish(now, Shed { retry_after: None }),
                _ => prop_assert!(!limit.admit_waiting() || limit.in_flight() <= max_in_flight),
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
    let mut limit = ConcurrencyLimit::new(now, bounds(20, 0));
    let respond = |limit: &mut ConcurrencyLimit, now: &mut Instant, count, latency| {
        for _ in 0..count {
            while limit.admit(*now, deadline) == Admission::Admit {}
            *now += latency / 10;
            limit.on_finish(*now, Responded(latency));
        }
        limit.limit()
    };
    assert_eq!(respond(&mut limit, &mut now, 200, 100 * MS), 20);
    limit.on_finish(now, Shed { retry_after: Some(2_000 * MS) });
    limit.on_finish(now, Shed { retry_after: None });
    assert_eq!(limit.limit(), 14, "sheds at one moment count once");
    assert_eq!(
        respond(&mut limit, &mut now, 190, 100 * MS),
        14,
        "the limit grew within the retry time"
    );
    assert_eq!(respond(&mut limit, &mut now, 200, 100 * MS), 20);
    assert!(respond(&mut limit, &mut now, 100, 300 * MS) < 18, "latency has no effect");
}

/// Guards against queuing of requests that cannot complete in time or that exceed the queue.
#[test]
fn rejects_requests_that_would_miss_their_deadline() {
    let now = Instant::now();
    let mut limit = ConcurrencyLimit::new(now, bounds(2, 2));
    let admit =
        |limit: &mut ConcurrencyLimit, ms| match limit.admit(now, Deadline { at: now + MS * ms }) {
            Admission::Reject { reason, .. } => Err(reason),
            Admission::Wait(until) => Ok(until - now),
            Admission::Admit => Ok(Duration::ZERO),
        };
    assert_eq!(admit(&mut limit, 500), Ok(Duration::ZERO));
    limit.on_finish(now, Responded(100 * MS));
    assert_eq!([(); 2].map(|()| admit(&mut limit, 500)), [Ok(Duration::ZERO); 2]);
    assert_eq!(admit(&mut limit, 140), Err(RejectReason::DeadlineTooClose));
    assert_eq!(admit(&mut limit, 500), Ok(400 * MS));
    limit.on_finish(now, Failed);
    assert_eq!(admit(&mut limit, 500), Ok(400 * MS), "the request overtook a waiting one");
    assert!(limit.admit_waiting() && !limit.admit_waiting());
    assert_eq!(admit(&mut limit, 500), Ok(400 * MS));
    assert_eq!(admit(&mut limit, 500), Err(RejectReason::QueueFull));
}

/// Guards against rejection of light accounts for the load of heavy ones, with 29,000 accounts of
/// which a hundred per second are active in turn, and against ignoring the weights of accounts.
#[test]
fn heaviest_accounts_are_rejected_first() {
    let start = Instant::now();
    let mut shares = FairShares::new(start, 7);
    (0..29_000).for_each(|n| shares.on_admit(start + 10 * MS * n, &format!("account-{n}"), 1));
    let now = start + 290_000 * MS;
    (0..500).for_each(|_| shares.on_admit(now, "script", 1));
    (0..500).for_each(|_| shares.on_admit(now, "partner", 100));
    let mut should_reject = |name: &str, pressure| shares.should_reject(now, name, pressure);
    assert!(should_reject("script", 0.5) && !should_reject("script", 0.0));
    assert!(!should_reject("partner", 0.5));
    let light = (0..29_000).filter(|n| should_reject(&format!("account-{n}"), 0.5)).count();
    assert!(light < 10, "{light} light accounts rejected");
}

/// Guards against a heavy account that fills the queue of a busy service, and against rejection of
/// the only active account while the queue has capacity.
#[test]
fn queue_capacity_is_left_for_light_accounts() {
    for (other_requests, expected) in [(0, None), (30, Some(RejectReason::OverShare))] {
        let now = Instant::now();
        let deadline = Deadline { at: now + 1_000 * MS };
        let mut service = OverloadController::new(now, bounds(100, 10), 7);
        for n in 0..other_requests {
            service.admit(now, &format!("account-{n}"), 1, deadline);
        }
        let rejections: Vec<_> = (0..109 - other_requests)
            .filter_map(|_| match service.admit(now, "script", 1, deadline) {
                Admission::Reject { reason, .. } => Some(reason),
                _ => None,
            })
            .collect();
        assert_eq!(rejections.first().copied(), expected, "{other_requests} other requests");
        assert!(matches!(service.admit(now, "staff", 1, deadline), Admission::Wait(_)));
    }
}
