//! Evidence from the age of attempts in progress.

use std::time::{Duration, Instant};

use cactustrack_fleet::progress::{AttemptsInProgress, ResponseTimes};
use cactustrack_types::{InstanceId, UpstreamId};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const SLOTS: u32 = 3;

/// Probability from observations alone.
const PRIOR: f64 = 0.04;

/// Response time of the service.
const USUAL: Duration = Duration::from_millis(240);

fn ids() -> (InstanceId, InstanceId, UpstreamId) {
    ("edge-1".into(), "edge-2".into(), "up-0".into())
}

fn weigh(attempts: &AttemptsInProgress, now: Instant) -> f64 {
    attempts.weigh_age(now, "up-0", SLOTS, ResponseTimes::new(USUAL), PRIOR)
}

/// Guards against an upstream that hangs and gets further requests until the first one is overdue,
/// and against one that is avoided because it has work.
#[test]
fn old_attempts_raise_the_fault_probability() {
    struct Case {
        name: &'static str,
        /// Ages of the attempts in mean response times.
        ages: &'static [f64],
        expected: std::ops::Range<f64>,
    }
    let cases = [
        Case { name: "nothing in progress", ages: &[], expected: 0.04..0.041 },
        Case { name: "an attempt that has just started", ages: &[0.02], expected: 0.04..0.05 },
        Case { name: "a usual age", ages: &[0.8], expected: 0.04..0.12 },
        Case { name: "twice the usual time", ages: &[2.0], expected: 0.12..0.4 },
        Case { name: "two old attempts", ages: &[2.0, 1.8], expected: 0.4..0.9 },
        Case { name: "three of them", ages: &[3.0, 3.0, 3.0], expected: 0.7..0.9 },
        Case {
            name: "a queue that takes three times as long",
            ages: &[2.4, 2.2, 2.0, 1.0, 1.0, 0.5, 0.5, 0.1, 0.1],
            expected: 0.04..0.35,
        },
    ];
    let start = Instant::now();
    let now = start + Duration::from_secs(10);
    let (one, _, upstream) = ids();
    for case in cases {
        let mut attempts = AttemptsInProgress::default();
        for age in case.ages {
            attempts.on_start(now - USUAL.mul_f64(*age), &one, &upstream);
        }
        let probability = weigh(&attempts, now);
        assert!(case.expected.contains(&probability), "{}: {probability}", case.name);
    }
}

/// Guards against evidence that outlasts its attempt: after its end, after its report as overdue,
/// and after the end was not heard.
#[test]
fn ended_and_reported_attempts_say_nothing() {
    type Step = fn(&mut AttemptsInProgress, Instant);
    struct Case {
        name: &'static str,
        step: Step,
    }
    let cases = [
        Case { name: "end", step: |attempts, _| attempts.on_end("edge-1", "up-0") },
        Case { name: "overdue", step: |attempts, _| attempts.on_overdue("edge-1", "up-0") },
        Case {
            name: "count of a heartbeat",
            step: |attempts, _| attempts.limit("edge-1", "up-0", 0),
        },
        Case { name: "instance gone", step: |attempts, _| attempts.remove_instance("edge-1") },
        Case { name: "upstream gone", step: |attempts, _| attempts.remove_upstream("up-0") },
        Case { name: "time", step: |attempts, now| attempts.expire(now + Duration::from_secs(60)) },
    ];
    let now = Instant::now() + Duration::from_secs(10);
    let (one, two, upstream) = ids();
    for case in cases {
        let mut attempts = AttemptsInProgress::default();
        attempts.on_start(now - USUAL * 3, &one, &upstream);
        assert!(weigh(&attempts, now) > PRIOR * 2.0, "{}", case.name);
        attempts.on_end(&two, &upstream);
        assert!(weigh(&attempts, now) > PRIOR * 2.0, "{}: another instance", case.name);
        (case.step)(&mut attempts, now);
        assert_eq!(weigh(&attempts, now), PRIOR, "{}", case.name);
    }
}

/// Replays the load in which a third of the upstreams hang by turns. Guards against orders that go
/// to an upstream that has stopped answering although its attempts in progress show it.
#[test]
fn fewer_orders_go_to_upstreams_that_hang() {
    const UPSTREAMS: usize = 20;
    const ORDERS: usize = 4_000;
    let lost = |weighs_age: bool| {
        let mut rng = SmallRng::seed_from_u64(5);
        let start = Instant::now();
        let times = ResponseTimes::new(USUAL);
        let ids: Vec<UpstreamId> = (0..UPSTREAMS).map(|n| format!("up-{n}").into()).collect();
        let one: InstanceId = "edge-1".into();
        let mut attempts = AttemptsInProgress::default();
        let mut ends: Vec<(Instant, usize)> = Vec::new();
        let mut lost = 0;
        for order in 0..ORDERS {
            let now = start + Duration::from_millis(12 * order as u64);
            ends.retain(|(at, upstream)| {
                if *at <= now {
                    attempts.on_end(&one, &ids[*upstream]);
                }
                *at > now
            });
            // Each upstream hangs for three of nine seconds.
            let phase = |n: usize| (order as u64 * 12 + n as u64 * 450) % 9_000;
            let loss = |n: usize, draw: f64| {
                let prior = PRIOR + 0.01 * draw;
                if weighs_age {
                    attempts.weigh_age(now, &ids[n], SLOTS, times, prior)
                } else {
                    prior
                }
            };
            let losses: Vec<f64> = (0..UPSTREAMS).map(|n| loss(n, rng.random())).collect();
            let order_by = |a: &usize, b: &usize| losses[*a].total_cmp(&losses[*b]);
            let chosen = (0..UPSTREAMS).min_by(order_by).unwrap_or_default();
            let hangs = phase(chosen) < 3_000 && rng.random::<f64>() < 0.75;
            attempts.on_start(now, &one, &ids[chosen]);
            let taken = if hangs { Duration::from_secs(3) } else { USUAL };
            ends.push((now + taken, chosen));
            lost += usize::from(hangs);
        }
        lost
    };
    let (without, with) = (lost(false), lost(true));
    assert!(without > ORDERS / 5, "{without} orders hang without the evidence");
    assert!(with * 3 < without * 2, "{with} of {without} orders still hang");
}
