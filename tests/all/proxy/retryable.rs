//! Retries, hedged attempts and silent connections of retryable requests.

use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

use cactustrack_test_support::caller::Call;
use cactustrack_test_support::upstream::{Behaviour, FakeUpstreams};

use super::harness::{RawUpstream, Setup, read_head, refusing_address, upstreams, wait_until};

const IDS: [&str; 4] = ["up-0", "up-1", "up-2", "up-3"];

fn setup(up: &FakeUpstreams) -> Setup {
    let targets: Vec<_> = IDS.into_iter().zip(up.all.iter().map(|up| up.address)).collect();
    Setup::with(&targets)
}

fn requests(up: &FakeUpstreams) -> Vec<u64> {
    up.all.iter().map(|upstream| upstream.control.requests()).collect()
}

/// Guards against exposing failures of single upstreams to callers, against retries at the same
/// upstream, and against retries beyond the budget.
#[test]
fn a_failed_attempt_is_retried_on_untried_upstreams() {
    struct Case {
        name: &'static str,
        /// Number of faulty upstreams, counted from the first one.
        faulty: usize,
        extra_attempts: u32,
        fault: fn(&mut Behaviour),
        status: u16,
        requests: [u64; 4],
    }
    let fails: fn(&mut Behaviour) = |behaviour| behaviour.failure_rate = 1.0;
    let breaks: fn(&mut Behaviour) = |behaviour| behaviour.abort_after_execution = true;
    let sheds: fn(&mut Behaviour) = |behaviour| behaviour.shed = true;
    let cases = [
        Case {
            name: "one fails",
            faulty: 1,
            extra_attempts: 9,
            fault: fails,
            status: 200,
            requests: [1, 1, 0, 0],
        },
        Case {
            name: "three break",
            faulty: 3,
            extra_attempts: 9,
            fault: breaks,
            status: 200,
            requests: [1, 1, 1, 1],
        },
        Case {
            name: "two shed",
            faulty: 2,
            extra_attempts: 9,
            fault: sheds,
            status: 200,
            requests: [1, 1, 1, 0],
        },
        Case {
            name: "all fail",
            faulty: 4,
            extra_attempts: 9,
            fault: fails,
            status: 500,
            requests: [1; 4],
        },
        Case {
            name: "all break",
            faulty: 4,
            extra_attempts: 9,
            fault: breaks,
            status: 502,
            requests: [1; 4],
        },
        Case {
            name: "all shed",
            faulty: 4,
            extra_attempts: 9,
            fault: sheds,
            status: 503,
            requests: [1; 4],
        },
        Case {
            name: "budget of one",
            faulty: 3,
            extra_attempts: 1,
            fault: fails,
            status: 500,
            requests: [1, 1, 0, 0],
        },
        Case {
            name: "no budget",
            faulty: 1,
            extra_attempts: 0,
            fault: breaks,
            status: 502,
            requests: [1, 0, 0, 0],
        },
    ];
    for path in ["/", "/bytes/100"] {
        for Case { name, faulty, extra_attempts, fault, status, requests: expected } in &cases {
            let up = upstreams(&IDS, &Behaviour::default());
            up.all.iter().take(*faulty).for_each(|up| up.control.set(fault));
            let harness = Setup { extra_attempts: *extra_attempts, ..setup(&up) }.start();
            let response = harness.call(&Call::get("a", path));
            assert_eq!(response.status, *status, "{path} {name}: {}", response.text());
            assert_eq!(requests(&up), expected, "{path} {name}: {:?}", harness.events.all());
            if *status == 503 {
                assert_eq!(response.execution(), Some("not_run"), "{path} {name}");
            }
        }
    }
}

/// Guards against successful requests that exhaust the retry budget, so that none is left for
/// failures.
#[test]
fn a_successful_request_does_not_charge_the_retry_budget() {
    let up = upstreams(&IDS, &Behaviour::default());
    let harness = setup(&up).start();
    for path in ["/", "/bytes/100"] {
        assert_eq!(harness.call(&Call::get("a", path)).status, 200);
    }
    assert_eq!(harness.events.count("extra"), 0, "{:?}", harness.events.all());
    assert_eq!(requests(&up), [2, 0, 0, 0]);
}

/// Guards against retries after the caller has stopped waiting.
#[test]
fn no_attempt_starts_after_the_deadline() {
    let up = upstreams(&IDS, &Behaviour { hang: true, ..Behaviour::default() });
    let harness = setup(&up).start();
    let started = Instant::now();
    let call = Call::get("a", "/").with_header("cactustrack-timeout-ms", "1000");
    let response = harness.call(&call);
    assert_eq!((response.status.as_u16(), response.execution()), (504, Some("unknown")));
    assert!(started.elapsed() >= Duration::from_secs(1));
    assert_eq!(requests(&up).iter().sum::<u64>(), 1, "{:?}", harness.events.all());
    assert_eq!(harness.events.count("start"), 1, "{:?}", harness.events.all());
}

/// Guards against reporting `unknown` for a request that was never sent.
#[test]
fn a_request_with_only_refused_connections_is_reported_as_not_run() {
    let targets = [("up-0", refusing_address()), ("up-1", refusing_address())];
    let harness = Setup::with(&targets).start();
    let response = harness.call(&Call::get("a", "/"));
    assert_eq!((response.status.as_u16(), response.execution()), (503, Some("not_run")));
}

/// Guards against an endless loop of connections to an upstream that closes each new one.
#[test]
fn an_upstream_that_closes_new_connections_is_tried_once() {
    for path in ["/", "/n"] {
        let closing = RawUpstream::spawn(|_, _| {});
        let harness =
            Setup { extra_attempts: 0, ..Setup::with(&[("up-0", closing.address)]) }.start();
        let response = harness.call(&Call::get("a", path));
        assert!([502, 503].contains(&response.status.as_u16()), "{path}: {}", response.text());
        assert_eq!((closing.connections(), harness.events.count("start")), (1, 1), "{path}");
    }
}

/// Guards against a slow upstream that delays a caller, also if the first hedge was denied, against
/// hedging beyond the budget or for a non-idempotent request, and against a slower attempt that is
/// not canceled.
#[test]
fn a_slow_attempt_is_hedged() {
    struct Case {
        path: &'static str,
        extra_attempts: u32,
        denials: u32,
        is_hedged: bool,
    }
    let cases = [
        Case { path: "/", extra_attempts: 1, denials: 0, is_hedged: true },
        Case { path: "/", extra_attempts: 1, denials: 2, is_hedged: true },
        Case { path: "/", extra_attempts: 0, denials: 0, is_hedged: false },
        Case { path: "/n", extra_attempts: 9, denials: 0, is_hedged: false },
    ];
    for Case { path, extra_attempts, denials, is_hedged } in cases {
        let up = upstreams(&IDS, &Behaviour::default());
        up.all[0].control.set(|behaviour| behaviour.hang = true);
        let hedge_delay = Some(Duration::from_millis(20));
        let timeout = if is_hedged { super::harness::LONG_TIMEOUT } else { Duration::from_secs(1) };
        let harness = Setup { hedge_delay, extra_attempts, denials, timeout, ..setup(&up) }.start();
        let response = harness.call(&Call::get("a", path));
        if is_hedged {
            assert!(response.text().contains("up-1"), "{}", response.text());
            harness.wait_for_event("cancel up-0 after a wait");
            harness.wait_for_open_connections(1);
        } else {
            assert_eq!(response.status, 504, "{path}: {}", response.text());
        }
        assert_eq!(requests(&up), [1, u64::from(is_hedged), 0, 0], "{path}");
    }
}

/// Guards against counting idle connections that went silent in the network as evidence against the
/// upstream, and against sending further requests on the other idle connections.
#[test]
fn a_silent_reused_connection_is_no_evidence_against_the_upstream() {
    let up = upstreams(&["up-0"], &Behaviour::default());
    let harness = Setup { extra_attempts: 0, ..setup(&up) }.start();
    let control = &up.all[0].control;
    // Two concurrent requests leave two idle connections, both of which go silent.
    control.set(|behaviour| behaviour.latency = Duration::from_millis(20));
    wait_until("two connections are open", || {
        thread::scope(|scope| {
            for _ in 0..2 {
                scope.spawn(|| assert_eq!(harness.call(&Call::get("a", "/")).status, 200));
            }
        });
        control.connections() == 2
    });
    harness.wait_for_open_connections(2);
    control.silence_open_connections();
    let response = harness.call(&Call::get("a", "/").with_header("cactustrack-timeout-ms", "1000"));
    assert_eq!((response.status.as_u16(), response.execution()), (504, Some("unknown")));
    assert!(harness.events.has("finish up-0 silent"), "{:?}", harness.events.all());
    // Sent at once, since the pool closes idle connections after 15 s in any case.
    assert_eq!(harness.call(&Call::get("a", "/")).status, 200);
    assert_eq!(control.connections(), 3);
}

/// Guards against failing a request because the upstream closed an idle connection.
#[test]
fn a_connection_that_closed_while_idle_is_replaced() {
    let upstream = RawUpstream::spawn(|_, stream| {
        read_head(stream);
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    });
    let harness = Setup { extra_attempts: 0, ..Setup::with(&[("up-0", upstream.address)]) }.start();
    for request in 1..=10 {
        // Waits until the proxy has detected the close, which would otherwise race with the next
        // request.
        assert_eq!(harness.call(&Call::get("a", "/")).text(), "ok");
        wait_until("the exchange is reported", || harness.events.count("finish") == request);
        harness.wait_for_open_connections(0);
    }
    assert_eq!(harness.events.count("finish up-0 ok"), 10, "{:?}", harness.events.all());
}
