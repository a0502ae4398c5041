//! Requests on the users' platform.

use std::time::{Duration, Instant};

use cactustrack_test_support::caller::Call;
use http::StatusCode;

use super::rig::{HOST, ORDERS, Rig, SEARCH, request, wait_for};

const DEADLINE: Duration = Duration::from_secs(3);

/// Guards against a path that does not serve, or that hides the signature of the upstream.
#[test]
fn requests_are_served_with_the_signature_of_the_upstream() {
    let rig = Rig::start(2, 1, &[SEARCH, ORDERS]);
    let calls = [Call::get(HOST, "/search/x"), Call::post(HOST, "/orders/x").with_body("order")];
    for (number, call) in calls.into_iter().enumerate() {
        let reply = rig.call(0, &request(call, &format!("id-{number}"), DEADLINE));
        assert_eq!(reply.status, StatusCode::OK);
        assert!(reply.is_complete);
        assert_eq!(reply.headers["cactustrack-backend-signature"], "stand-in");
        assert_eq!(reply.headers["cactustrack-request-id"], *format!("id-{number}"));
    }
}

/// Guards against a prefix that covers more or less than the paths below it.
#[test]
fn routes_cover_the_paths_below_their_prefix_only() {
    let rig = Rig::start(1, 1, &[SEARCH]);
    struct Case {
        path: &'static str,
        status: StatusCode,
    }
    let cases = [
        Case { path: "/search/", status: StatusCode::OK },
        Case { path: "/search/a/b", status: StatusCode::OK },
        Case { path: "/search", status: StatusCode::NOT_FOUND },
        Case { path: "/searching/", status: StatusCode::NOT_FOUND },
    ];
    for case in cases {
        let reply = rig.call(0, &request(Call::get(HOST, case.path), "id", DEADLINE));
        assert_eq!(reply.status, case.status, "{}", case.path);
    }
}

/// Guards against an answer to another request that reaches a caller, and against a claim that a
/// non-idempotent request was not run when that is not known.
#[test]
fn answers_to_other_requests_are_not_passed_on() {
    let rig = Rig::start(1, 1, &[SEARCH, ORDERS]);
    rig.upstreams.all[0].control.set(|behaviour| behaviour.crossed = true);
    for call in [Call::get(HOST, "/search/x"), Call::post(HOST, "/orders/x")] {
        let reply = rig.call(0, &request(call, "mine", DEADLINE));
        assert_eq!(reply.status, StatusCode::BAD_GATEWAY);
        assert!(!reply.headers.contains_key("cactustrack-backend-signature"));
    }
    assert_eq!(rig.upstreams.all[0].control.executed().len(), 2, "each request ran once");
}

/// Guards against a request that is sent to a process that took over the address of an upstream
/// again and again, or that fails although another upstream could take it.
#[test]
fn a_reused_address_is_left_alone_after_one_refusal() {
    let rig = Rig::start(2, 1, &[ORDERS]);
    let stale = rig.upstreams.all[0].address.to_string();
    let entry = format!(
        r#"{{"service":"svc-a","address":"{stale}","zone":"domain-a","capacity":4,
            "state":"ready","born":1}}"#
    );
    rig.store.remove("servers/up-0");
    rig.store.put("servers/gone", entry.as_bytes());
    let is_known = || !rig.instances[0].lines_with("\"upstream\":\"gone\"").is_empty();
    wait_for("the entry to be read", is_known);
    for number in 0..12 {
        let call = Call::post(HOST, "/orders/x");
        let reply = rig.call(0, &request(call, &format!("id-{number}"), DEADLINE));
        assert_eq!(reply.status, StatusCode::OK);
    }
    assert!(rig.upstreams.all[0].control.requests() <= 1, "asked once at most");
    assert!(rig.upstreams.all[0].control.executed().is_empty());
}

/// Guards against an attempt on a used connection that is given up while its upstream works. It
/// failed as LOST in the users' bench: the attempt ended at half of its deadline.
#[test]
fn work_is_not_broken_off_before_the_deadline() {
    let rig = Rig::start(1, 1, &[SEARCH]);
    let first = rig.call(0, &request(Call::get(HOST, "/search/x"), "first", DEADLINE));
    assert_eq!(first.status, StatusCode::OK);
    let late = Duration::from_millis(2_200);
    rig.upstreams.all[0].control.set(|behaviour| behaviour.latency = late);
    let reply = rig.call(0, &request(Call::get(HOST, "/search/x"), "second", DEADLINE));
    assert_eq!(reply.status, StatusCode::OK);
}

/// Guards against a request that is held past the time-out of its route.
#[test]
fn the_time_out_of_the_route_ends_a_request() {
    let short = super::rig::RouteCase { timeout_s: 0.4, ..SEARCH };
    let rig = Rig::start(1, 1, &[short]);
    rig.upstreams.all[0].control.set(|behaviour| behaviour.hang = true);
    let started = Instant::now();
    let reply = rig.call(0, &request(Call::get(HOST, "/search/x"), "id", DEADLINE));
    assert_eq!(reply.status, StatusCode::GATEWAY_TIMEOUT);
    assert!(started.elapsed() < Duration::from_millis(900), "answered at the time-out");
}

/// Guards against upstreams that get new work after they have said that they leave.
#[test]
fn a_leaving_upstream_gets_no_new_work() {
    let rig = Rig::start(2, 1, &[SEARCH]);
    rig.list(0, "draining");
    let is_known = || !rig.instances[0].lines_with("\"leaving\":true").is_empty();
    wait_for("the entry to be read", is_known);
    let before = rig.upstreams.all[0].control.requests();
    for number in 0..20 {
        let id = format!("id-{number}");
        let reply = rig.call(0, &request(Call::get(HOST, "/search/x"), &id, DEADLINE));
        assert_eq!(reply.status, StatusCode::OK);
    }
    assert_eq!(rig.upstreams.all[0].control.requests(), before);
}

/// Guards against faults that only the instance that met them knows of.
#[test]
fn a_failure_seen_by_one_instance_keeps_the_others_away() {
    let rig = Rig::start(4, 2, &[ORDERS]);
    let has_heard = || {
        let status = Call::get("admin", "/status").send(rig.instances[1].admin);
        status.is_ok_and(|status| status.text().contains("\"instances_heard\":2"))
    };
    wait_for("the instances to hear each other", has_heard);
    rig.upstreams.all[0].control.set(|behaviour| behaviour.break_after_run = true);
    let mut failures = 0;
    for number in 0..40 {
        let call = Call::post(HOST, "/orders/x");
        let reply = rig.call(number % 2, &request(call, &format!("id-{number}"), DEADLINE));
        failures += usize::from(reply.status != StatusCode::OK);
    }
    assert!((1..=3).contains(&failures), "{failures} of 40 requests failed");
}
