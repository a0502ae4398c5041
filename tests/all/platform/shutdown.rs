//! Graceful shutdown and signals on the users' platform.

use std::thread;
use std::time::Duration;

use cactustrack_test_support::caller::Call;
use http::StatusCode;

use super::harness::{HOST, Harness, ORDERS, request, wait_for};

/// Guards against a graceful shutdown that aborts a request in flight, or during which the instance
/// still reports itself as ready.
#[test]
fn graceful_shutdown_completes_requests_in_flight() {
    let mut harness = Harness::start(1, 1, &[ORDERS]);
    let latency = Duration::from_millis(2_500);
    harness.upstreams.all[0].control.set(|behaviour| behaviour.latency = latency);
    let address = harness.instances[0].callers;
    let caller = thread::spawn(move || {
        let call = Call::post(HOST, "/orders/x");
        request(call, "in-flight", Duration::from_secs(5)).send(address)
    });
    wait_for("the request to arrive", || harness.upstreams.all[0].control.requests() == 1);
    harness.instances[0].signal("-TERM");
    wait_for("the instance to be not ready", || !harness.instances[0].is_ready());
    let response = caller.join().expect("a caller").expect("a response");
    assert_eq!(response.status, StatusCode::OK);
    let status = harness.instances[0].child.wait().expect("the end of the process");
    assert!(status.success());
    assert!(harness.store.keys("instances/").is_empty(), "the registration is removed");
}

/// Guards against a process that exits on SIGHUP, or on an error in its settings file, instead of
/// only validating the file.
#[test]
fn sighup_does_not_stop_the_instance() {
    let harness = Harness::start(1, 1, &[ORDERS]);
    harness.instances[0].signal("-HUP");
    wait_for("the settings to be read", || {
        !harness.instances[0].log_lines_with("config: settings checked").is_empty()
    });
    let call = request(Call::post(HOST, "/orders/x"), "id", Duration::from_secs(3));
    assert_eq!(harness.call(0, &call).status, StatusCode::OK);
}
