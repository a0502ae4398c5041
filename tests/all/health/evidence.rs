//! Tests of pending evidence and of the latency classifier.

use std::time::{Duration, Instant};

use cactustrack_health::{LatencyClassifier, PendingEvidence};
use cactustrack_types::{Counts, Incarnation, Outcome, UpstreamId};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against bad evidence that is delayed, ok evidence that is reported too often or too late,
/// and pending ok counts that are lost or missing from the report with a bad outcome.
#[test]
fn bad_outcomes_are_reported_at_once_with_pending_counts() {
    type Entry = (&'static str, u32, u32);
    struct Case {
        name: &'static str,
        events: &'static [(u64, &'static str, Outcome)],
        /// Time in milliseconds, and upstreams with ok and bad counts.
        reports: &'static [(u64, &'static [Entry])],
    }
    let cases = [
        Case {
            name: "ok only",
            events: &[(0, "a", Outcome::Ok), (4000, "a", Outcome::Ok)],
            reports: &[(500, &[]), (4500, &[]), (5000, &[("a", 2, 0)]), (9000, &[])],
        },
        Case {
            name: "a bad outcome is reported with the pending counts of its upstream",
            events: &[(0, "a", Outcome::Ok), (0, "b", Outcome::Ok), (600, "a", Outcome::Failed)],
            reports: &[(500, &[]), (1000, &[("a", 1, 1)]), (5000, &[("b", 1, 0)])],
        },
        Case {
            name: "the delay starts again after a report",
            events: &[(0, "a", Outcome::Refused), (600, "a", Outcome::Ok)],
            reports: &[(500, &[("a", 0, 1)]), (5500, &[]), (5600, &[("a", 1, 0)])],
        },
    ];
    for case in &cases {
        let start = Instant::now();
        let mut evidence = PendingEvidence::new();
        let mut events = case.events.iter().peekable();
        for (at, expected) in case.reports {
            while let Some((when, upstream, outcome)) = events.next_if(|event| event.0 <= *at) {
                let upstream = UpstreamId::from(*upstream);
                evidence.record(start + ms(*when), &upstream, Incarnation(1), *outcome);
            }
            let entries = evidence.take_report(start + ms(*at));
            let got: Vec<(&str, u32, u32)> = entries
                .iter()
                .map(|(id, _, counts)| (&**id, counts.ok, counts.failures()))
                .collect();
            assert_eq!(got, *expected, "{} at {at} ms", case.name);
        }
    }
}

/// Guards against evidence of an earlier incarnation of an upstream that counts for the new one.
#[test]
fn counts_of_an_earlier_incarnation_are_dropped() {
    let now = Instant::now();
    let upstream = UpstreamId::from("a");
    let mut evidence = PendingEvidence::new();
    evidence.record(now, &upstream, Incarnation(1), Outcome::Failed);
    evidence.record(now, &upstream, Incarnation(2), Outcome::Slow);
    evidence.record(now, &upstream, Incarnation(1), Outcome::Failed);
    let counts = Counts { slow: 1, ..Counts::default() };
    assert_eq!(evidence.take_report(now), vec![(upstream, Incarnation(2), counts)]);
}

/// Guards against a slow upstream that is not detected, against other upstreams that are classified
/// as slow because of it, and against a slowdown of the whole service that is still classified as
/// slow once the kept samples reflect it.
#[test]
fn slow_is_relative_to_the_other_upstreams() {
    struct Case {
        name: &'static str,
        /// Response time of each upstream in milliseconds after ten rounds with 50 ms.
        after: [u64; 5],
        slow: [bool; 5],
    }
    let cases = [
        Case { name: "usual", after: [50, 60, 100, 30, 50], slow: [false; 5] },
        Case {
            name: "slow upstream",
            after: [50, 50, 500, 50, 50],
            slow: [false, false, true, false, false],
        },
        Case {
            name: "two slow upstreams",
            after: [50, 500, 500, 50, 50],
            slow: [false, true, true, false, false],
        },
        Case { name: "shared slowdown", after: [500; 5], slow: [false; 5] },
        Case { name: "shared speedup", after: [5; 5], slow: [false; 5] },
    ];
    for case in &cases {
        let mut now = Instant::now();
        let mut classifier = LatencyClassifier::new(3.0);
        let ids: Vec<UpstreamId> = (0..5).map(|u| format!("u{u}").into()).collect();
        let mut last = [Outcome::Ok; 5];
        for round in 0..20 {
            for (upstream, id) in ids.iter().enumerate() {
                now += ms(10);
                let latency = if round < 10 { 50 } else { case.after[upstream] };
                last[upstream] = classifier.classify(now, id, ms(latency));
            }
        }
        assert_eq!(last.map(|outcome| outcome == Outcome::Slow), case.slow, "{}", case.name);
    }
}
