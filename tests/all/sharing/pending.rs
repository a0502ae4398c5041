//! Detection of attempts that are overdue.

use std::time::{Duration, Instant};

use cactustrack_fleet::attempt_totals::Sender;
use cactustrack_fleet::message::{Event, Notice, Observation, short_upstream_id};
use cactustrack_fleet::peers::AcceptedReport;
use cactustrack_fleet::pending::{OverdueAttempt, PendingAttempts};
use cactustrack_fleet::view::{AttemptEnd, FleetView};
use cactustrack_types::{Incarnation, ServiceId, UpstreamId};

const LIMIT: Duration = Duration::from_secs(1);

enum Step {
    Start,
    Head,
    End { has_head: bool },
}

/// Guards against an upstream that hangs undetected, and against reports of attempts whose response
/// has a long body or that have ended.
#[test]
fn attempts_without_a_response_head_become_overdue() {
    use Step::{End, Head, Start};
    struct Case {
        name: &'static str,
        /// Steps with their times in milliseconds.
        steps: Vec<(u64, Step)>,
        overdue: usize,
    }
    let cases = [
        Case { name: "an old attempt", steps: vec![(0, Start)], overdue: 1 },
        Case { name: "a recent attempt", steps: vec![(700, Start)], overdue: 0 },
        Case { name: "a long body", steps: vec![(0, Start), (100, Head)], overdue: 0 },
        Case {
            name: "a canceled attempt",
            steps: vec![(0, Start), (400, End { has_head: false })],
            overdue: 0,
        },
        Case {
            name: "a response to one of two",
            steps: vec![(0, Start), (50, Start), (100, Head), (120, End { has_head: true })],
            overdue: 1,
        },
        Case {
            name: "a streamed response beside a canceled attempt",
            steps: vec![(0, Start), (10, Head), (20, Start), (30, End { has_head: false })],
            overdue: 0,
        },
    ];
    for Case { name, steps, overdue } in cases {
        let now = Instant::now();
        let (service, upstream): (ServiceId, UpstreamId) = ("svc".into(), "up".into());
        let mut pending = PendingAttempts::default();
        for (at, step) in steps {
            match step {
                Start => pending.on_start(now + Duration::from_millis(at), &service, &upstream),
                Head => pending.on_head(&upstream),
                End { has_head } => {
                    pending.on_end(&upstream, has_head);
                }
            }
        }
        let at = now + Duration::from_millis(1_100);
        assert_eq!(pending.take_overdue(at, |_| LIMIT).len(), overdue, "{name}");
        assert_eq!(pending.take_overdue(at, |_| LIMIT).len(), 0, "{name}: reported once");
    }
}

/// Guards against a fleet that sends further requests to a hanging upstream until the first one is
/// canceled. On the enlarged sinar-backup deployment that took 2.5 s.
#[test]
fn a_hanging_upstream_is_suspected_before_its_requests_are_canceled() {
    let now = Instant::now();
    let (service, upstream): (ServiceId, UpstreamId) = ("svc".into(), "up".into());
    let mut view = FleetView::new("edge-0".into());
    view.start(now, &service, &upstream, false);
    // The mean service time is 300 ms before the first response.
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
    let from = Sender { instance: "edge-1".into(), incarnation: Incarnation(1) };
    let report = AcceptedReport { sender: from, is_latest: true };
    view.on_notice(at, &report, &expected, &service, &upstream);
    let (after_two, _) = view.fault_probability(at, "up");
    assert!(after_two > 0.9, "{after_two}");
    // The end of the attempt is no further evidence.
    let end = AttemptEnd {
        observed: Some(Observation::NoResponse),
        latency: Duration::ZERO,
        had_free_slot: true,
        has_head: false,
    };
    let notice = view.finish(at, &service, &upstream, end);
    let has_no_observation = matches!(notice.event, Event::Ended { observed: None, .. });
    assert!(has_no_observation, "{notice:?}");
}
