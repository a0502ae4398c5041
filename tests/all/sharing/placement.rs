//! Which upstream gets a request.

use std::time::Duration;

use cactustrack_fleet::placement::{Prospect, Request};
use cactustrack_fleet::trial::{IN_USE, Need, Trial};
use cactustrack_types::RequestClass;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const SERVICE_TIME: Duration = Duration::from_millis(300);
const TARGET: Duration = Duration::from_millis(1_000);

const IDLE: Prospect = Prospect {
    in_flight: 0,
    slots: 4,
    fault: 0.05,
    own_fault: 0.05,
    is_cold: false,
    has_connection: true,
    is_near: true,
    is_full: false,
    unused: Some(Duration::ZERO),
};

/// Trials of services that are short of room, and of services with too few upstreams in use.
const USUAL: Option<Trial> = Some(Trial { rest: Duration::from_secs(3), gain: 0.3 });
const FLOOR: Option<Trial> = Some(Trial { rest: Duration::from_millis(900), gain: 1.2 });

/// Guards against a choice that callers would not make.
#[test]
fn the_better_of_two_upstreams_is_chosen() {
    struct Case {
        better: Prospect,
        worse: Prospect,
        class: RequestClass,
        trial: Option<Trial>,
    }
    use RequestClass::{Idempotent, Large, NonIdempotent};
    let suspect = Prospect { fault: 0.8, ..IDLE };
    // Its fault may have ended, and nobody would find out. Failed as FLOOR in the users' bench: 26
    // of 85 sound upstreams got nothing for two seconds.
    let forgotten = Prospect { fault: 0.35, unused: Some(Duration::from_secs(3)), ..IDLE };
    let certain = Prospect { fault: 0.99, unused: Some(Duration::from_secs(1)), ..IDLE };
    let never_used = Prospect { fault: 0.25, unused: None, ..IDLE };
    let busy = Prospect { in_flight: 3, ..IDLE };
    let queued = Prospect { in_flight: 8, ..IDLE };
    let far = Prospect { is_near: false, ..IDLE };
    let cases = [
        Case { better: IDLE, worse: suspect, class: NonIdempotent, trial: None },
        Case { better: forgotten, worse: IDLE, class: NonIdempotent, trial: USUAL },
        Case { better: IDLE, worse: forgotten, class: NonIdempotent, trial: None },
        // A service with too few upstreams in use tries those that are certainly faulty, too.
        Case { better: certain, worse: IDLE, class: NonIdempotent, trial: FLOOR },
        Case { better: never_used, worse: IDLE, class: NonIdempotent, trial: USUAL },
        Case { better: busy, worse: suspect, class: NonIdempotent, trial: None },
        // Waiting for a slot is better than losing a request that cannot be sent again.
        Case {
            better: queued,
            worse: Prospect { fault: 0.99, ..IDLE },
            class: NonIdempotent,
            trial: None,
        },
        // A suspect still gets work that can be sent again when the others have long queues.
        Case {
            better: suspect,
            worse: Prospect { in_flight: 12, ..IDLE },
            class: Idempotent,
            trial: None,
        },
        Case { better: IDLE, worse: busy, class: Idempotent, trial: None },
        Case { better: far, worse: queued, class: Idempotent, trial: None },
        Case { better: busy, worse: far, class: Large, trial: None },
        Case {
            better: IDLE,
            worse: Prospect { is_cold: true, ..IDLE },
            class: Idempotent,
            trial: None,
        },
        Case {
            better: IDLE,
            worse: Prospect { is_full: true, ..IDLE },
            class: Idempotent,
            trial: None,
        },
        Case {
            better: IDLE,
            worse: Prospect { own_fault: 0.9, ..IDLE },
            class: Idempotent,
            trial: None,
        },
    ];
    for Case { better, worse, class, trial } in cases {
        let request = Request {
            class,
            is_last_attempt: !class.is_idempotent(),
            service_time: SERVICE_TIME,
            target_left: TARGET,
            draw: 0.5,
            trial,
        };
        let (better_loss, worse_loss) = (better.loss(&request), worse.loss(&request));
        assert!(better_loss < worse_loss, "{class}: {better:?} before {worse:?}");
    }
}

/// Replays 4 s of the grown sinar-backup: 500 requests a second from 113 instances that hear of each
/// other's requests after 70 ms, and one suspect whose rest has ended. Guards against instances that
/// all try it at the same moment: 19 requests that could not be sent again met the same fault.
#[test]
fn a_suspect_is_tried_by_few_requests_at_a_time() {
    const NOTICE_DELAY: f64 = 0.07;
    let rate = 500.0;
    let need = Need { upstreams: 100, used: 80, trusted_load: 0.3, request_rate: rate };
    let suspect = Prospect { fault: 0.35, unused: Some(Duration::from_secs(10)), ..IDLE };
    let mut rng = SmallRng::seed_from_u64(7);
    let mut herds = Vec::new();
    for _ in 0..200 {
        let mut first: Option<f64> = None;
        let mut herd = 0;
        for number in 0..2_000 {
            let at = f64::from(number) / rate;
            if first.is_some_and(|first| at > first + NOTICE_DELAY) {
                break;
            }
            let request = Request {
                class: RequestClass::NonIdempotent,
                is_last_attempt: true,
                service_time: SERVICE_TIME,
                target_left: TARGET,
                draw: 0.5,
                trial: need.trial(true, rng.random()),
            };
            if suspect.loss(&request) < IDLE.loss(&request) {
                first = first.or(Some(at));
                herd += 1;
            }
        }
        assert!(first.is_some(), "the suspect is tried within the 4 s of the replay");
        herds.push(herd);
    }
    let mean = f64::from(herds.iter().sum::<i32>()) / herds.len() as f64;
    assert!(mean <= 1.5, "{mean} requests at a time");
    assert!(herds.iter().all(|herd| *herd <= 5), "{herds:?}");
}

/// Guards against requests that are spent on suspects which nobody needs, and against a service that
/// is short of room beside upstreams whose faults have ended.
#[test]
fn upstreams_are_tried_as_soon_as_the_service_needs_them() {
    struct Case {
        trusted_load: f64,
        is_last_attempt: bool,
        rest: Duration,
    }
    let cases = [
        Case { trusted_load: 0.3, is_last_attempt: true, rest: secs(10) },
        Case { trusted_load: 0.3, is_last_attempt: false, rest: secs(3) },
        Case { trusted_load: 0.7, is_last_attempt: true, rest: secs(3) },
    ];
    for Case { trusted_load, is_last_attempt, rest } in cases {
        let need = Need { upstreams: 10, used: 9, trusted_load, request_rate: 3.0 };
        assert_eq!(need.floor_trial(is_last_attempt, 0.0), None, "the floor holds");
        let trial = need.trial(is_last_attempt, 0.0).expect("a trial");
        assert!(trial.rest <= rest && trial.rest * 2 > rest, "{need:?}: {trial:?}");
        assert!(trial.gain(Some(trial.rest)) > 0.2);
        assert_eq!(trial.gain(Some(trial.rest / 2)), 0.0);
    }
}

/// Replays a service of the grown sinar-backup whose faulty upstreams are three in ten and last: 250
/// upstreams, 800 requests a second, one in thirty of which can be sent again. Failed as FLOOR in the
/// users' bench: 46 of 116 sound upstreams got nothing for two seconds, and 16 of 53 on the grown
/// antallagi-gw. Which upstreams are sound is not known, so the floor has to hold among any 53 of
/// them. Guards against a floor that is not kept, or at the cost of more requests than it takes.
#[test]
fn suspects_are_tried_until_the_floor_holds_and_no_more() {
    const UPSTREAMS: usize = 250;
    const SUSPECTS: usize = 75;
    const SOUND: usize = 53;
    /// Share of the sound upstreams that has to be in use.
    const FLOOR: f64 = 0.7;
    const RATE: f64 = 800.0;
    const NOTICE_DELAY: f64 = 0.07;
    let mut rng = SmallRng::seed_from_u64(3);
    // When each suspect last got a request, and when instances hear of it.
    let mut last = [0.0_f64; SUSPECTS];
    let mut lost = 0_u32;
    let (mut checked, mut below) = (0_u32, 0_u32);
    for number in 0..16_000_u32 {
        let now = f64::from(number) / RATE;
        let is_heard = |at: f64| at + NOTICE_DELAY <= now;
        let is_used = |at: &&f64| is_heard(**at) && now - **at < IN_USE.as_secs_f64();
        let used = UPSTREAMS - SUSPECTS + last.iter().filter(is_used).count();
        if now > 4.0 && number.is_multiple_of(200) {
            let idle = last.iter().filter(|at| now - **at >= 2.0).count();
            for _ in 0..20 {
                checked += 1;
                below += u32::from(used_share_of_sample(&mut rng, SOUND, UPSTREAMS, idle) < FLOOR);
            }
        }
        let is_last_attempt = !number.is_multiple_of(30);
        let need = Need { upstreams: UPSTREAMS, used, trusted_load: 0.4, request_rate: RATE };
        if need.floor_trial(is_last_attempt, rng.random()).is_some() {
            let rested = last.iter().position(|at| is_heard(*at) && now - at > 0.9);
            let Some(chosen) = rested else { continue };
            last[chosen] = now;
            lost += u32::from(is_last_attempt);
        }
    }
    assert!(below * 100 <= checked, "{below} of {checked} samples are below the floor");
    // Keeping 85 in 100 in use takes so many trials, some of them by requests that can be sent again.
    let kept = 0.85 * UPSTREAMS as f64 - (UPSTREAMS - SUSPECTS) as f64;
    let needed = kept / IN_USE.as_secs_f64() * 16_000.0 / RATE;
    assert!(f64::from(lost) < needed, "{lost} requests are spent, {needed} trials are needed");
}

/// Share in use of a random sample of upstreams, `idle` of which are not in use.
fn used_share_of_sample(rng: &mut SmallRng, sample: usize, upstreams: usize, idle: usize) -> f64 {
    let mut chosen: Vec<usize> = (0..upstreams).collect();
    for position in 0..sample {
        let other = rng.random_range(position..upstreams);
        chosen.swap(position, other);
    }
    let used = chosen[..sample].iter().filter(|upstream| **upstream >= idle).count();
    used as f64 / sample as f64
}

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}
