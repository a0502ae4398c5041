//! Attempts that wait for an answer for longer than usual.

use std::time::{Duration, Instant};

use cactustrack_fleet::message::{Event, Notice, Observation, short_upstream_id};
use cactustrack_fleet::pending::{OverdueAttempt, PendingAttempts};
use cactustrack_fleet::view::{AttemptEnd, FleetView};
use cactustrack_types::{ServiceId, UpstreamId};

const LIMIT: Duration = Duration::from_secs(1);

enum Act {
    Start,
    Head,
    End { has_head: bool },
}

/// Guards against an upstream that hangs and is not noticed, and against blame for an answer whose
/// body is long, or for an attempt that has ended.
#[test]
fn attempts_without_the_head_of_an_answer_become_overdue() {
    use Act::{End, Head, Start};
    struct Case {
        name: &'static str,
        /// Acts with their times in milliseconds.
        acts: Vec<(u64, Act)>,
        overdue: usize,
    }
    let cases = [
        Case { name: "one that waits", acts: vec![(0, Start)], overdue: 1 },
        Case { name: "a young one", acts: vec![(700, Start)], overdue: 0 },
        Case { name: "a long body", acts: vec![(0, Start), (100, Head)], overdue: 0 },
        Case {
            name: "given up",
            acts: vec![(0, Start), (400, End { has_head: false })],
            overdue: 0,
        },
        Case {
            name: "one of two is answered",
            acts: vec![(0, Start), (50, Start), (100, Head), (120, End { has_head: true })],
            overdue: 1,
        },
        Case {
            name: "a stream beside one that waits",
            acts: vec![(0, Start), (10, Head), (20, Start), (30, End { has_head: false })],
            overdue: 0,
        },
    ];
    for Case { name, acts, overdue } in cases {
        let now = Instant::now();
        let (service, upstream): (ServiceId, UpstreamId) = ("svc".into(), "up".into());
        let mut pending = PendingAttempts::default();
        for (at, act) in acts {
            match act {
                Start => pending.on_start(now + Duration::from_millis(at), &service, &upstream),
                Head => pending.on_head(&upstream),
                End { has_head } => {
                    pending.on_end(&upstream, has_head);
                }
            }
        }
        let at = now + Duration::from_millis(1_100);
        assert_eq!(pending.take_overdue(at, |_| LIMIT).len(), overdue, "{name}");
        assert_eq!(pending.take_overdue(at, |_| LIMIT).len(), 0, "{name}: told once");
    }
}

/// Replays an upstream that hangs: three instances have a request there. Guards against a fleet that
/// sends it more until the first of them is given up, 2.5 s later on the grown sinar-backup.
#[test]
fn a_hanging_upstream_is_suspected_before_its_requests_are_given_up() {
    let now = Instant::now();
    let (service, upstream): (ServiceId, UpstreamId) = ("svc".into(), "up".into());
    let mut view = FleetView::new("edge-0".into());
    view.start(now, &service, &upstream, false);
    // The mean service time is 300 ms before the first answer.
    let early = view.take_overdue(now + Duration::from_millis(900));
    assert_eq!(early, Vec::new());
    let at = now + Duration::from_millis(1_100);
    let own = view.take_overdue(at);
    let expected =
        Notice { upstream: short_upstream_id("up"), in_flight: 1, event: Event::Overdue };
    let overdue = OverdueAttempt { service: service.clone(), upstream: upstream.clone() };
    assert_eq!(own, [(overdue, expected.clone())]);
    let (after_one, _) = view.fault_probability(at, "up");
    assert!(after_one > 0.5, "{after_one}");
    view.on_notice(at, &"edge-1".into(), &expected, &service, &upstream);
    let (after_two, _) = view.fault_probability(at, "up");
    assert!(after_two > 0.9, "{after_two}");
    // Its end says nothing new.
    let end = AttemptEnd {
        observed: Some(Observation::NoResponse),
        latency: Duration::ZERO,
        had_free_slot: true,
        has_head: false,
    };
    let notice = view.finish(at, &service, &upstream, end);
    let is_silent = matches!(notice.event, Event::Ended { observed: None, .. });
    assert!(is_silent, "{notice:?}");
}
