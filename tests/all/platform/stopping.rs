//! Planned stops on the users' platform.

use std::thread;
use std::time::Duration;

use cactustrack_test_support::caller::Call;
use http::StatusCode;

use super::rig::{HOST, ORDERS, Rig, request, wait_for};

/// Guards against a stop that cuts a request in flight, or that leaves the instance ready.
#[test]
fn a_planned_stop_finishes_what_is_in_flight() {
    let mut rig = Rig::start(1, 1, &[ORDERS]);
    let late = Duration::from_millis(2_500);
    rig.upstreams.all[0].control.set(|behaviour| behaviour.latency = late);
    let address = rig.instances[0].callers;
    let caller = thread::spawn(move || {
        let call = Call::post(HOST, "/orders/x");
        request(call, "in-flight", Duration::from_secs(5)).send(address)
    });
    wait_for("the request to arrive", || rig.upstreams.all[0].control.requests() == 1);
    rig.instances[0].signal("-TERM");
    wait_for("the instance to be not ready", || !rig.instances[0].is_ready());
    let reply = caller.join().expect("a caller").expect("an answer");
    assert_eq!(reply.status, StatusCode::OK);
    let status = rig.instances[0].child.wait().expect("the end of the process");
    assert!(status.success());
    assert!(rig.store.keys("instances/").is_empty(), "the registration has ended");
}

/// Guards against a process that ends when its settings file is read again, or has an error.
#[test]
fn a_hang_up_signal_ends_nothing() {
    let rig = Rig::start(1, 1, &[ORDERS]);
    rig.instances[0].signal("-HUP");
    wait_for("the settings to be read", || {
        !rig.instances[0].lines_with("config: settings checked").is_empty()
    });
    let call = request(Call::post(HOST, "/orders/x"), "id", Duration::from_secs(3));
    assert_eq!(rig.call(0, &call).status, StatusCode::OK);
}
