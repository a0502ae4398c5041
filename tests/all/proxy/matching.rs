//! Each caller receives the response to its own request and no other one.

use std::io::Write;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use cactustrack_platform::PlatformDialect;
use cactustrack_proxy::{DefaultDialect, Dialect};
use cactustrack_test_support::caller::Call;
use cactustrack_test_support::upstream::Behaviour;

use super::harness::{RawUpstream, Setup, read_head, refusing_address, upstreams, wait_until};

/// Guards against responses that are swapped between callers when connections are reused.
#[test]
fn concurrent_requests_get_their_own_responses() {
    let behaviour = Behaviour { latency: Duration::from_millis(2), ..Behaviour::default() };
    let up = upstreams(&["up-0", "up-1"], &behaviour);
    let targets = [("up-0", up.all[0].address), ("up-1", up.all[1].address)];
    let harness = Arc::new(Setup::with(&targets).start());
    let callers: Vec<_> = (0..100)
        .map(|caller| {
            let harness = Arc::clone(&harness);
            thread::spawn(move || {
                for (round, class) in ["/", "/n", "/i", "/n"].iter().enumerate() {
                    let tag = format!("t-{caller}-{round}");
                    let response = harness.call(&Call::get("a", class).with_header("x-tag", &tag));
                    let text = response.text();
                    assert!(text.contains(&format!(r#""tag":"{tag}""#)), "{tag}: {text}");
                }
            })
        })
        .collect();
    for caller in callers {
        caller.join().expect("a caller with its own responses");
    }
}

/// Guards against opening a connection for each request: a completed exchange returns its
/// connection to the pool, even if the caller's side ended first.
#[test]
fn completed_exchanges_share_a_connection() {
    let up = upstreams(&["up-0"], &Behaviour::default());
    let harness = Setup::with(&[("up-0", up.all[0].address)]).start();
    for request in 0..50 {
        let path = if request % 2 == 0 { "/" } else { "/bytes/100000" };
        assert!(harness.call(&Call::get("a", path)).is_complete);
        wait_until("the exchange is reported", || harness.events.count("finish") == request + 1);
    }
    assert_eq!(up.all[0].control.connections(), 1, "{:?}", harness.events.all());
    assert_eq!(harness.events.count("cancel"), 0, "{:?}", harness.events.all());
}

/// Guards against a late response that reaches the next caller on the same connection. The
/// connection of an abandoned exchange is closed, whatever the reason.
#[test]
fn an_abandoned_exchange_closes_its_connection() {
    struct Case {
        name: &'static str,
        path: &'static str,
        /// Timeout that the caller requests, or `None` if the caller disconnects instead.
        timeout_ms: Option<&'static str>,
    }
    let cases = [
        Case { name: "idempotent, deadline", path: "/", timeout_ms: Some("1000") },
        Case { name: "non-idempotent, deadline", path: "/n", timeout_ms: Some("1000") },
        Case { name: "large, deadline", path: "/bytes/x", timeout_ms: Some("1000") },
        Case { name: "idempotent, caller disconnected", path: "/", timeout_ms: None },
        Case { name: "large, caller disconnected", path: "/bytes/x", timeout_ms: None },
    ];
    for Case { name, path, timeout_ms } in cases {
        let (respond_tx, respond_rx) = std::sync::mpsc::channel();
        let (received_tx, received_rx) = std::sync::mpsc::channel();
        let channels = std::sync::Mutex::new((respond_rx, received_tx));
        let upstream = RawUpstream::spawn(move |connection, stream| {
            if connection == 0 {
                read_head(stream).expect("a request");
                let channels = channels.lock().expect("channels");
                channels.1.send(()).expect("a test");
                channels.0.recv().expect("the signal to respond");
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
                return;
            }
            while read_head(stream).is_some() {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfresh");
            }
        });
        let harness =
            Setup { extra_attempts: 0, ..Setup::with(&[("up-0", upstream.address)]) }.start();
        match timeout_ms {
            Some(ms) => {
                let call = Call::get("a", path).with_header("cactustrack-timeout-ms", ms);
                let response = harness.call(&call);
                assert_eq!(
                    (response.status.as_u16(), response.execution()),
                    (504, Some("unknown"))
                );
                received_rx.recv().expect("a request at the upstream");
            }
            None => {
                let mut stream = harness.connect();
                let get = format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n");
                stream.write_all(get.as_bytes()).expect("a request");
                received_rx.recv().expect("a request at the upstream");
            }
        }
        harness.wait_for_open_connections(0);
        respond_tx.send(()).expect("an upstream");
        for _ in 0..3 {
            let response = harness.call(&Call::get("a", path));
            assert_eq!(response.text(), "fresh", "{name}");
        }
    }
}

/// Guards against the remainder of a body reaching another caller after its own caller
/// disconnected.
#[test]
fn an_abandoned_body_reaches_no_other_caller() {
    let (continue_tx, continue_rx) = std::sync::mpsc::channel::<()>();
    let continue_rx = std::sync::Mutex::new(continue_rx);
    let upstream = RawUpstream::spawn(move |connection, stream| {
        while read_head(stream).is_some() {
            if connection > 0 {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfresh");
                continue;
            }
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nsta");
            continue_rx.lock().expect("a channel").recv().expect("the signal to continue");
            let _ = stream.write_all(b"le....HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
        }
    });
    let harness = Setup { extra_attempts: 0, ..Setup::with(&[("up-0", upstream.address)]) }.start();
    let mut stream = harness.connect();
    stream.write_all(b"GET /bytes/x HTTP/1.1\r\nHost: a\r\n\r\n").expect("a request");
    read_head(&mut stream).expect("the response head");
    drop(stream);
    harness.wait_for_event("cancel up-0 without a wait");
    continue_tx.send(()).expect("an upstream");
    for path in ["/", "/n", "/bytes/x"] {
        assert_eq!(harness.call(&Call::get("a", path)).text(), "fresh", "{path}");
    }
    assert_eq!(harness.events.count("cancel"), 1, "{:?}", harness.events.all());
}

/// Guards against extra bytes after a response being treated as the response to the next request.
#[test]
fn surplus_bytes_of_an_upstream_reach_no_caller() {
    let surplus = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok\
                   HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";
    let upstream = RawUpstream::responding(surplus);
    let harness = Setup::with(&[("up-0", upstream.address)]).start();
    for path in ["/", "/n", "/bytes/x", "/"] {
        let response = harness.call(&Call::get("a", path));
        assert_eq!((response.status.as_u16(), response.text().as_str()), (200, "ok"), "{path}");
    }
}

/// Starts an upstream that sends `response` to each request, and counts the requests `id-2`.
fn count_second_requests(response: &'static str) -> (RawUpstream, Arc<AtomicU64>) {
    let count = Arc::new(AtomicU64::new(0));
    let counter = Arc::clone(&count);
    let upstream = RawUpstream::spawn(move |_, stream| {
        while let Some(head) = read_head(stream) {
            counter.fetch_add(u64::from(head.contains("id-2")), Ordering::SeqCst);
            let _ = stream.write_all(response.as_bytes());
        }
    });
    (upstream, count)
}

/// Guards against a repeated refusal of an earlier request that passes for the response to the
/// current one, which the upstream executes. The caller was then told that its request had not run,
/// or a non-idempotent request went to a second upstream.
#[test]
fn a_repeated_refusal_says_nothing_about_the_next_request() {
    struct Case {
        name: &'static str,
        dialect: fn() -> Rc<dyn Dialect>,
        refusal: &'static str,
        path: &'static str,
        extra_attempts: u32,
        status: u16,
    }
    const PLATFORM: fn() -> Rc<dyn Dialect> = || Rc::new(PlatformDialect);
    const OWN: fn() -> Rc<dyn Dialect> = || Rc::new(DefaultDialect);
    const MISDIRECTED: &str = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\
        Cactustrack-Request-Id: id-1\r\n\r\n";
    const MISDIRECTED_WITHOUT_ID: &str =
        "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
    const NOT_EXECUTED: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\
        Cactustrack-Not-Executed: 1\r\nCactustrack-Request-Id: id-1\r\n\r\n";
    const BUSY: &str =
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 1\r\n\r\n";
    const TOO_MANY: &str = "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n";
    let case = |name, dialect, refusal, path, extra_attempts, status| Case {
        name,
        dialect,
        refusal,
        path,
        extra_attempts,
        status,
    };
    let cases = [
        case("421, non-idempotent", PLATFORM, MISDIRECTED, "/n", 9, 502),
        case("421, idempotent", PLATFORM, MISDIRECTED, "/", 0, 502),
        case("421 without id, non-idempotent", PLATFORM, MISDIRECTED_WITHOUT_ID, "/n", 9, 502),
        case("421 without id, idempotent", PLATFORM, MISDIRECTED_WITHOUT_ID, "/", 0, 502),
        case("not executed, non-idempotent", PLATFORM, NOT_EXECUTED, "/n", 9, 502),
        case("not executed, idempotent", PLATFORM, NOT_EXECUTED, "/", 0, 502),
        case("busy, non-idempotent", OWN, BUSY, "/n", 9, 502),
        case("busy, idempotent", OWN, BUSY, "/", 0, 503),
        case("too many, non-idempotent", OWN, TOO_MANY, "/n", 9, 502),
        case("too many, idempotent", OWN, TOO_MANY, "/", 0, 503),
    ];
    let mut wrong = Vec::new();
    for Case { name, dialect, refusal, path, extra_attempts, status } in cases {
        let (repeating, repeating_count) = count_second_requests(refusal);
        let ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        let (other, other_count) = count_second_requests(ok);
        let setup = Setup {
            dialect,
            extra_attempts,
            retries_declined: true,
            recent_age: Duration::from_secs(30),
            ..Setup::with(&[("up-0", repeating.address), ("up-1", other.address)])
        };
        let harness = setup.start();
        let call = |id| Call::get("a", path).with_header("cactustrack-request-id", id);
        harness.call(&call("id-1"));
        harness.wait_for_event("finish up-0 shed");
        // The connection is reused shortly after the end of the response.
        thread::sleep(Duration::from_millis(50));
        let response = harness.call(&call("id-2"));
        assert_eq!(repeating.connections(), 1, "{name}: the connection is kept");
        assert_eq!(repeating_count.load(Ordering::SeqCst), 1, "{name}: it is executed");
        let is_promised = response.execution() == Some("not_run");
        let elsewhere = other_count.load(Ordering::SeqCst);
        if response.status != status || is_promised || elsewhere > 0 {
            let (got, execution) = (response.status, response.execution());
            wrong.push(format!("{name}: {got} {execution:?}, {elsewhere} at the other upstream"));
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// Guards against a status that promises that a request has not run, although an earlier attempt may
/// have run it. On the platform the status is all that tells the caller.
#[test]
fn a_request_that_may_have_run_gets_no_status_that_denies_it() {
    const SHED: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\
        Cactustrack-Not-Executed: 1\r\nCactustrack-Request-Id: id-1\r\n\r\n";
    struct Case {
        name: &'static str,
        /// Upstream that is tried second. It refuses connections if it is `None`.
        second: Option<&'static str>,
    }
    let cases =
        [Case { name: "shed", second: Some(SHED) }, Case { name: "no connection", second: None }];
    for Case { name, second } in cases {
        let executing = RawUpstream::spawn(|_, stream| {
            read_head(stream);
        });
        let second = second.map(RawUpstream::responding);
        let address = second.as_ref().map_or(refusing_address(), |upstream| upstream.address);
        let targets = [("up-0", executing.address), ("up-1", address)];
        let dialect: fn() -> Rc<dyn Dialect> = || Rc::new(PlatformDialect);
        let harness = Setup { dialect, ..Setup::with(&targets) }.start();
        let call = Call::get("a", "/").with_header("cactustrack-request-id", "id-1");
        assert_eq!(harness.call(&call).status, 502, "{name}");
    }
}
