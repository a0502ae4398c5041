//! Estimated probability that an upstream is faulty.

use std::time::{Duration, Instant};

use cactustrack_fleet::attempt_totals::Sender;
use cactustrack_fleet::message::{Event, Notice, Observation, short_upstream_id};
use cactustrack_fleet::peers::AcceptedReport;
use cactustrack_fleet::suspicion::{Suspicion, long_run_mean};
use cactustrack_fleet::view::FleetView;
use cactustrack_types::{Incarnation, UpstreamId};

/// Applies the notice of an attempt that ended.
fn notify(view: &mut FleetView, at: Instant, from: &str, upstream: &str, end: (Observation, u32)) {
    let (observed, latency_ms) = end;
    let event = Event::Ended { observed: Some(observed), latency_ms, had_free_slot: true };
    let notice = Notice { upstream: short_upstream_id(upstream), in_flight: 0, event };
    let from = Sender { instance: from.into(), incarnation: Incarnation(1) };
    let report = AcceptedReport { sender: from, is_latest: true };
    view.on_notice(at, &report, &notice, &"svc".into(), &upstream.into());
}

/// Guards against suspicion that comes too late, that a single error of a healthy upstream causes,
/// or that never ends.
#[test]
fn suspicion_follows_the_observations() {
    struct Case {
        observed: &'static [Observation],
        wait: Duration,
        least: f64,
        most: f64,
    }
    use Observation::{Broken, ErrorResponse, Served};
    let cases = [
        Case { observed: &[], wait: Duration::ZERO, least: 0.1, most: 0.25 },
        Case { observed: &[Served, Served, Served], wait: Duration::ZERO, least: 0.0, most: 0.05 },
        Case { observed: &[Broken], wait: Duration::ZERO, least: 0.5, most: 0.98 },
        Case { observed: &[Broken, Broken], wait: Duration::ZERO, least: 0.95, most: 1.0 },
        Case {
            observed: &[Served, Served, Served, ErrorResponse, Served],
            wait: Duration::ZERO,
            least: 0.0,
            most: 0.5,
        },
        Case { observed: &[Broken, Broken], wait: Duration::from_secs(20), least: 0.0, most: 0.4 },
        // A broken connection makes even an upstream suspected that has served all requests before.
        Case {
            observed: &[Served, Served, Served, Served, Broken],
            wait: Duration::ZERO,
            least: 0.3,
            most: 0.9,
        },
    ];
    for Case { observed, wait, least, most } in cases {
        let now = Instant::now();
        let mut suspicion = Suspicion::new(now);
        for observed in observed {
            suspicion.observe(now, *observed, 1.0);
        }
        let probability = suspicion.probability(now + wait);
        assert!((least..=most).contains(&probability), "{observed:?}: {probability}");
    }
}

/// Guards against a fleet that avoids healthy upstreams because an instance with a faulty link
/// reports failures of all of them, while other instances are served.
#[test]
fn failures_reported_over_a_faulty_link_are_discounted() {
    let mut view = FleetView::new("edge-0".into());
    let now = Instant::now();
    for round in 0..5 {
        for number in 0..8 {
            let at = now + Duration::from_millis(round * 100);
            let upstream = format!("up-{number}");
            notify(&mut view, at, "edge-1", &upstream, (Observation::Broken, 200));
            notify(&mut view, at, "edge-2", &upstream, (Observation::Served, 200));
        }
    }
    let at = now + Duration::from_millis(500);
    let suspects =
        (0..8).filter(|number| view.fault_probability(at, &format!("up-{number}")).0 > 0.5);
    assert!(suspects.count() <= 2, "only the first reports have full weight");
}

/// Guards against suspicion of an upstream because of faults of its earlier incarnation.
#[test]
fn a_new_incarnation_starts_without_suspicion() {
    let mut view = FleetView::new("edge-0".into());
    let (now, up): (Instant, UpstreamId) = (Instant::now(), "up".into());
    view.set_incarnation(&up, Incarnation(1));
    for _ in 0..3 {
        notify(&mut view, now, "edge-1", "up", (Observation::Broken, 200));
    }
    assert!(view.fault_probability(now, "up").0 > 0.9);
    view.set_incarnation(&up, Incarnation(1));
    assert!(view.fault_probability(now, "up").0 > 0.9, "the same incarnation");
    view.set_incarnation(&up, Incarnation(2));
    assert_eq!(view.fault_probability(now, "up").0, long_run_mean());
}

/// Guards against responses that need no work of the upstream and make all others look slow.
/// Requests that only query the configuration in force lowered the mean from 420 ms to 90 ms, and
/// every second request was hedged.
#[test]
fn responses_without_work_do_not_change_the_service_time() {
    let mut view = FleetView::new("edge-0".into());
    let now = Instant::now();
    for number in 0..600 {
        let latency_ms = if number % 3 == 0 { 400 } else { 2 };
        notify(&mut view, now, "edge-1", "up", (Observation::Served, latency_ms));
    }
    let mean = view.service_time("svc");
    assert!((390..=400).contains(&mean.as_millis()), "{mean:?}");
    assert_eq!(view.classify("svc", Duration::from_millis(900)), Observation::Served);
    assert_eq!(view.classify("svc", Duration::from_millis(2_000)), Observation::Slow);
}
