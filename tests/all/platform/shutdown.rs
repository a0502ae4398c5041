//! Graceful shutdown and signals on the users' platform.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use cactustrack_test_support::caller::Call;
use http::StatusCode;

use super::harness::{HOST, Harness, ORDERS, RouteCase, request, wait_for};
use crate::proxy::harness::{connect, read_all, read_head};

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

/// Grace period of the instances.
const GRACE: Duration = Duration::from_secs(6);

/// Time after the stop signal at which an instance has closed its listener.
const LATE: Duration = Duration::from_millis(3_400);

/// A route with a timeout that exceeds the grace period.
const LONG_ORDERS: RouteCase = RouteCase { timeout_s: 20.0, ..ORDERS };

/// Returns the head of an order whose body of two bytes follows.
fn order_head(id: &str) -> String {
    format!(
        "POST /orders/x HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 2\r\n\
         Cactustrack-Request-Id: {id}\r\nCactustrack-Deadline-Ms: 20000\r\n\r\n"
    )
}

/// Reads a response with a length.
fn read_response(stream: &mut TcpStream) {
    let head = read_head(stream).expect("a response").to_ascii_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let length = length.expect("a length").parse().expect("a number");
    stream.read_exact(&mut vec![0; length]).expect("a body");
}

/// Guards against a request that is taken late in a graceful shutdown and cut at its end without a
/// response, after it was sent to an upstream.
#[test]
fn a_request_that_comes_late_in_a_shutdown_is_not_sent_to_an_upstream() {
    struct Case {
        name: &'static str,
        /// What is sent before the stop signal. The rest follows late in the grace period.
        early: String,
        /// True if a request was served on the connection before.
        is_kept: bool,
        /// True if the instance may close the connection, on which it has read no complete head.
        may_close: bool,
    }
    let head = order_head("late");
    let cases = [
        Case { name: "unused", early: String::new(), is_kept: false, may_close: true },
        Case { name: "kept, idle", early: String::new(), is_kept: true, may_close: true },
        Case {
            name: "within the head",
            early: head[..30].to_owned(),
            is_kept: false,
            may_close: false,
        },
        Case {
            name: "kept, within the head",
            early: head[..30].to_owned(),
            is_kept: true,
            may_close: true,
        },
        Case {
            name: "within the body",
            early: format!("{head}o"),
            is_kept: false,
            may_close: false,
        },
        Case {
            name: "kept, within the body",
            early: format!("{head}o"),
            is_kept: true,
            may_close: false,
        },
    ];
    let complete = head + "ok";
    let started = |case: Case| {
        let harness = Harness::start(1, 1, &[LONG_ORDERS]);
        let mut caller = connect(harness.instances[0].callers);
        if case.is_kept {
            let first = order_head("first") + "ok";
            caller.write_all(first.as_bytes()).expect("a request");
            read_response(&mut caller);
        }
        let control = &harness.upstreams.all[0].control;
        control.set(|behaviour| behaviour.latency = Duration::from_secs(4));
        (case, control.requests(), caller, harness)
    };
    // All cases run at the same time, since each takes most of a grace period.
    let mut running: Vec<_> = cases.into_iter().map(started).collect();
    for (case, _, caller, _) in &mut running {
        caller.write_all(case.early.as_bytes()).expect("a part of a request");
    }
    thread::sleep(Duration::from_millis(200));
    for (.., harness) in &running {
        harness.instances[0].signal("-TERM");
    }
    thread::sleep(LATE);
    for (case, _, caller, _) in &mut running {
        // The instance may have closed the connection.
        let _ = caller.write_all(&complete.as_bytes()[case.early.len()..]);
    }
    let mut wrong = Vec::new();
    for (case, before, caller, harness) in &mut running {
        let response = read_all(caller);
        let sent = harness.upstreams.all[0].control.requests() - *before;
        let is_answered = response.starts_with("HTTP/1.1 503");
        let is_closed = case.may_close && response.is_empty();
        if sent > 0 || !(is_answered || is_closed) {
            wrong.push(format!("{}: sent to {sent} upstreams, response {response:?}", case.name));
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// Guards against a request in flight that is cut without a response at the end of the grace period.
#[test]
fn a_request_that_outlasts_a_shutdown_gets_a_response() {
    struct Case {
        name: &'static str,
        /// True if the request is sent after the stop signal.
        is_late: bool,
        status: &'static str,
    }
    let cases = [
        Case { name: "before the signal", is_late: false, status: "HTTP/1.1 502" },
        Case { name: "after the signal", is_late: true, status: "HTTP/1.1 504" },
    ];
    for Case { name, is_late, status } in cases {
        let harness = Harness::start(1, 1, &[LONG_ORDERS]);
        harness.upstreams.all[0].control.set(|behaviour| behaviour.hang = true);
        let mut caller = connect(harness.instances[0].callers);
        if is_late {
            harness.instances[0].signal("-TERM");
            wait_for("the instance to be not ready", || !harness.instances[0].is_ready());
        }
        let order = order_head("long") + "ok";
        caller.write_all(order.as_bytes()).expect("a request");
        wait_for("the request to arrive", || harness.upstreams.all[0].control.requests() == 1);
        if !is_late {
            harness.instances[0].signal("-TERM");
        }
        let started = Instant::now();
        let response = read_all(&mut caller);
        assert!(response.starts_with(status), "{name}: {response:?}");
        assert!(started.elapsed() < GRACE, "{name}: {:?}", started.elapsed());
    }
}

/// Guards against a signal that ends the process at once, because it comes while an earlier one is
/// handled or during a graceful shutdown. The requests in flight were cut.
#[test]
fn signals_in_series_cut_no_request() {
    let mut harness = Harness::start(1, 1, &[ORDERS]);
    for _ in 0..30 {
        harness.instances[0].signal("-HUP");
    }
    harness.upstreams.all[0].control.set(|behaviour| behaviour.latency = Duration::from_secs(1));
    let call = request(Call::post(HOST, "/orders/x"), "id", Duration::from_secs(4));
    let callers = harness.instances[0].callers;
    let order = thread::spawn(move || call.send(callers).expect("a response"));
    wait_for("the order to arrive", || harness.upstreams.all[0].control.requests() > 0);
    for signal in ["-TERM", "-HUP", "-HUP", "-TERM", "-HUP"] {
        harness.instances[0].signal(signal);
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(order.join().expect("the caller").status, StatusCode::OK);
    let status = harness.instances[0].child.wait().expect("the end of the process");
    assert!(status.success(), "{status}");
}
