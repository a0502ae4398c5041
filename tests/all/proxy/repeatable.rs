//! Retries, hedges and silent connections of requests that may be sent again.

use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

use cactustrack_test_support::caller::Call;
use cactustrack_test_support::upstream::{Behaviour, Upstreams};

use super::rig::{RawUpstream, Setup, read_head, refusing_address, upstreams, wait_until};

const IDS: [&str; 4] = ["up-0", "up-1", "up-2", "up-3"];

fn setup(up: &Upstreams) -> Setup {
    let targets: Vec<_> = IDS.into_iter().zip(up.all.iter().map(|up| up.address)).collect();
    Setup::with(&targets)
}

fn requests(up: &Upstreams) -> Vec<u64> {
    up.all.iter().map(|upstream| upstream.control.requests()).collect()
}

/// Guards against failures of one upstream that reach callers, retries at the same upstream, and
/// retries beyond the budget.
#[test]
fn a_failed_attempt_is_repeated_on_upstreams_that_were_not_tried() {
    struct Case {
        name: &'static str,
        /// Upstreams that fail, from the first one on.
        faulty: usize,
        extra: u32,
        fault: fn(&mut Behaviour),
        status: u16,
        requests: [u64; 4],
    }
    let fails: fn(&mut Behaviour) = |behaviour| behaviour.failure_share = 1.0;
    let breaks: fn(&mut Behaviour) = |behaviour| behaviour.break_after_run = true;
    let sheds: fn(&mut Behaviour) = |behaviour| behaviour.shed = true;
    let cases = [
        Case {
            name: "one fails",
            faulty: 1,
            extra: 9,
            fault: fails,
            status: 200,
            requests: [1, 1, 0, 0],
        },
        Case {
            name: "three break",
            faulty: 3,
            extra: 9,
            fault: breaks,
            status: 200,
            requests: [1, 1, 1, 1],
        },
        Case {
            name: "two shed",
            faulty: 2,
            extra: 9,
            fault: sheds,
            status: 200,
            requests: [1, 1, 1, 0],
        },
        Case { name: "all fail", faulty: 4, extra: 9, fault: fails, status: 500, requests: [1; 4] },
        Case {
            name: "all break",
            faulty: 4,
            extra: 9,
            fault: breaks,
            status: 502,
            requests: [1; 4],
        },
        Case { name: "all shed", faulty: 4, extra: 9, fault: sheds, status: 503, requests: [1; 4] },
        Case {
            name: "budget of one",
            faulty: 3,
            extra: 1,
            fault: fails,
            status: 500,
            requests: [1, 1, 0, 0],
        },
        Case {
            name: "no budget",
            faulty: 1,
            extra: 0,
            fault: breaks,
            status: 502,
            requests: [1, 0, 0, 0],
        },
    ];
    for path in ["/", "/bytes/100"] {
        for Case { name, faulty, extra, fault, status, requests: expected } in &cases {
            let up = upstreams(&IDS, &Behaviour::default());
            up.all.iter().take(*faulty).for_each(|up| up.control.set(fault));
            let rig = Setup { extra: *extra, ..setup(&up) }.start();
            let reply = rig.call(&Call::get("a", path));
            assert_eq!(reply.status, *status, "{path} {name}: {}", reply.text());
            assert_eq!(requests(&up), expected, "{path} {name}: {:?}", rig.journal.all());
            if *status == 503 {
                assert_eq!(reply.execution(), Some("not_run"), "{path} {name}");
            }
        }
    }
}

/// Guards against a budget that successful requests use up, so that none is left for failures.
#[test]
fn a_successful_request_charges_nothing() {
    let up = upstreams(&IDS, &Behaviour::default());
    let rig = setup(&up).start();
    for path in ["/", "/bytes/100"] {
        assert_eq!(rig.call(&Call::get("a", path)).status, 200);
    }
    assert_eq!(rig.journal.count("extra"), 0, "{:?}", rig.journal.all());
    assert_eq!(requests(&up), [2, 0, 0, 0]);
}

/// Guards against retries that go on after the caller has stopped waiting.
#[test]
fn no_attempt_starts_after_the_deadline() {
    let up = upstreams(&IDS, &Behaviour { hang: true, ..Behaviour::default() });
    let rig = setup(&up).start();
    let started = Instant::now();
    let call = Call::get("a", "/").with_header("cactustrack-timeout-ms", "1000");
    let reply = rig.call(&call);
    assert_eq!((reply.status.as_u16(), reply.execution()), (504, Some("unknown")));
    assert!(started.elapsed() >= Duration::from_secs(1));
    assert_eq!(requests(&up).iter().sum::<u64>(), 1, "{:?}", rig.journal.all());
    assert_eq!(rig.journal.count("start"), 1, "{:?}", rig.journal.all());
}

/// Guards against `unknown` for a request that was never sent.
#[test]
fn refused_connections_leave_a_request_not_run() {
    let targets = [("up-0", refusing_address()), ("up-1", refusing_address())];
    let rig = Setup::with(&targets).start();
    let reply = rig.call(&Call::get("a", "/"));
    assert_eq!((reply.status.as_u16(), reply.execution()), (503, Some("not_run")));
}

/// Guards against an upstream that closes each new connection and is asked without end.
#[test]
fn an_upstream_that_closes_new_connections_is_asked_once() {
    for path in ["/", "/n"] {
        let closing = RawUpstream::spawn(|_, _| {});
        let rig = Setup { extra: 0, ..Setup::with(&[("up-0", closing.address)]) }.start();
        let reply = rig.call(&Call::get("a", path));
        assert!([502, 503].contains(&reply.status.as_u16()), "{path}: {}", reply.text());
        assert_eq!((closing.connections(), rig.journal.count("start")), (1, 1), "{path}");
    }
}

/// Guards against a straggler that holds up a caller, a hedge outside of the budget or the class,
/// and an overtaken attempt that goes on.
#[test]
fn a_slow_attempt_is_hedged() {
    struct Case {
        path: &'static str,
        extra: u32,
        is_hedged: bool,
    }
    let cases = [
        Case { path: "/", extra: 1, is_hedged: true },
        Case { path: "/", extra: 0, is_hedged: false },
        Case { path: "/n", extra: 9, is_hedged: false },
    ];
    for Case { path, extra, is_hedged } in cases {
        let up = upstreams(&IDS, &Behaviour::default());
        up.all[0].control.set(|behaviour| behaviour.hang = true);
        let hedge_delay = Some(Duration::from_millis(20));
        let timeout = if is_hedged { super::rig::LONG } else { Duration::from_secs(1) };
        let rig = Setup { hedge_delay, extra, timeout, ..setup(&up) }.start();
        let reply = rig.call(&Call::get("a", path));
        if is_hedged {
            assert!(reply.text().contains("up-1"), "{}", reply.text());
            rig.wait_noted("cancel up-0 after a wait");
            rig.wait_open(1);
        } else {
            assert_eq!(reply.status, 504, "{path}: {}", reply.text());
        }
        assert_eq!(requests(&up), [1, u64::from(is_hedged), 0, 0], "{path}");
    }
}

/// Guards against blame for an upstream whose idle connections were silenced on the way, and
/// against further requests on connections that share the fate.
#[test]
fn a_silent_reused_connection_is_not_the_fault_of_the_upstream() {
    let up = upstreams(&["up-0"], &Behaviour::default());
    let rig = Setup { extra: 0, ..setup(&up) }.start();
    let control = &up.all[0].control;
    // Two requests at a time leave two idle connections, which share the fate.
    control.set(|behaviour| behaviour.latency = Duration::from_millis(20));
    wait_until("two connections are open", || {
        thread::scope(|scope| {
            for _ in 0..2 {
                scope.spawn(|| assert_eq!(rig.call(&Call::get("a", "/")).status, 200));
            }
        });
        control.connections() == 2
    });
    rig.wait_open(2);
    control.silence_open_connections();
    let reply = rig.call(&Call::get("a", "/").with_header("cactustrack-timeout-ms", "1000"));
    assert_eq!((reply.status.as_u16(), reply.execution()), (504, Some("unknown")));
    assert!(rig.journal.has("finish up-0 silent"), "{:?}", rig.journal.all());
    // At once, since the pool closes idle connections by itself after 15 s.
    assert_eq!(rig.call(&Call::get("a", "/")).status, 200);
    assert_eq!(control.connections(), 3);
}

/// Guards against a failure for the caller when an upstream closes a connection that was idle.
#[test]
fn a_connection_that_closed_while_idle_is_replaced() {
    let upstream = RawUpstream::spawn(|_, stream| {
        read_head(stream);
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    });
    let rig = Setup { extra: 0, ..Setup::with(&[("up-0", upstream.address)]) }.start();
    for request in 1..=10 {
        // The proxy notices the close before the next request, which would otherwise race with it.
        assert_eq!(rig.call(&Call::get("a", "/")).text(), "ok");
        wait_until("the exchange is reported", || rig.journal.count("finish") == request);
        rig.wait_open(0);
    }
    assert_eq!(rig.journal.count("finish up-0 ok"), 10, "{:?}", rig.journal.all());
}
