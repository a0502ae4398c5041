//! Response bodies whose upstream or caller outlasts the deadline of the request.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::rc::Rc;
use std::thread;
use std::time::{Duration, Instant};

use cactustrack_platform::PlatformDialect;
use cactustrack_proxy::{DefaultDialect, Dialect};
use cactustrack_test_support::caller::Call;

use super::harness::{Harness, RawUpstream, Setup, read_head};

const TIMEOUT: Duration = Duration::from_secs(1);

/// Time after the timeout of the route by which a caller has a final answer.
const MARGIN: Duration = Duration::from_millis(500);

/// Pause of an upstream within a body, far beyond the timeout.
const PAUSE: Duration = Duration::from_secs(4);

const SIZED: &str = "HTTP/1.1 200 OK\r\nCactustrack-Request-Id: id-1\r\n\
    Cactustrack-Backend-Signature: s\r\nContent-Length: 20\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nCactustrack-Request-Id: id-1\r\n\
    Cactustrack-Backend-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n";
const CLOSED: &str = "HTTP/1.1 200 OK\r\nCactustrack-Request-Id: id-1\r\n\
    Cactustrack-Backend-Signature: s\r\n\r\n";
const RESUMABLE: &str = "HTTP/1.1 200 OK\r\nCactustrack-Request-Id: id-1\r\n\
    Cactustrack-Backend-Signature: s\r\nETag: \"v1\"\r\nContent-Length: 20\r\n\r\n";

fn platform() -> Rc<dyn Dialect> {
    Rc::new(PlatformDialect)
}

fn start(upstream: &RawUpstream, dialect: fn() -> Rc<dyn Dialect>) -> Harness {
    let targets = [("up-0", upstream.address)];
    Setup { dialect, timeout: TIMEOUT, ..Setup::with(&targets) }.start()
}

/// Sends a head and ten bytes of the body, and then `rest` after pauses until it is used up.
fn half_answer(head: &'static str, rest: &'static [&'static str], pause: Duration) -> RawUpstream {
    RawUpstream::spawn(move |_, stream| {
        if read_head(stream).is_none() {
            return;
        }
        let first = if head == CHUNKED { "a\r\n0123456789\r\n" } else { "0123456789" };
        let _ = stream.write_all(head.as_bytes());
        let _ = stream.write_all(first.as_bytes());
        for part in rest {
            thread::sleep(pause);
            if stream.write_all(part.as_bytes()).is_err() {
                return;
            }
        }
        thread::sleep(PAUSE);
    })
}

/// Guards against a caller that is kept waiting beyond the timeout of its route for the rest of a
/// body, by an upstream that falls silent or sends a byte now and then.
#[test]
fn the_deadline_ends_the_wait_for_a_body() {
    const DRIP: &[&str] = &["x"; 9];
    struct Case {
        name: &'static str,
        head: &'static str,
        rest: &'static [&'static str],
        /// Event that tells the policy what was observed.
        observed: &'static str,
    }
    let cases = [
        Case { name: "by length", head: SIZED, rest: &[], observed: "finish up-0 cut_short" },
        Case { name: "in chunks", head: CHUNKED, rest: &[], observed: "finish up-0 cut_short" },
        Case {
            name: "close-delimited",
            head: CLOSED,
            rest: &[],
            observed: "finish up-0 cut_short",
        },
        Case { name: "resumable", head: RESUMABLE, rest: &[], observed: "finish up-0 cut_short" },
        Case { name: "drip", head: SIZED, rest: DRIP, observed: "cancel up-0 without a wait" },
    ];
    for class in ["/", "/n", "/bytes/x"] {
        for Case { name, head, rest, observed } in &cases {
            let upstream = half_answer(head, rest, Duration::from_millis(300));
            let harness = start(&upstream, platform);
            let started = Instant::now();
            let call = Call::get("a", class).with_header("cactustrack-request-id", "id-1");
            let response = harness.call(&call);
            let elapsed = started.elapsed();
            assert_eq!(response.status, 200, "{class} {name}");
            assert!(!response.is_complete, "{class} {name}: {}", response.text());
            assert!(elapsed >= TIMEOUT, "{class} {name}: {elapsed:?}");
            assert!(elapsed < TIMEOUT + MARGIN, "{class} {name}: {elapsed:?}");
            harness.wait_for_event(observed);
            harness.wait_for_open_connections(0);
        }
    }
}

/// Guards against a patient caller whose download is cut where the deadline covers the head only.
#[test]
fn a_deadline_of_the_head_does_not_end_the_body() {
    let upstream = half_answer(SIZED, &["0123456789"], TIMEOUT * 2);
    let harness = start(&upstream, || Rc::new(DefaultDialect));
    let response = harness.call(&Call::get("a", "/bytes/x"));
    assert!(response.is_complete, "{}", response.text());
}

/// Larger than the buffers of the sockets and of the proxy together.
const LARGE_BYTES: usize = 16 << 20;

/// Body that is ready before the deadline and taken after it.
const LATE_BYTES: usize = 4 << 20;

fn large_answer(bytes: usize) -> RawUpstream {
    RawUpstream::spawn(move |_, stream| {
        if read_head(stream).is_some() {
            let head = SIZED.replace("Content-Length: 20", &format!("Content-Length: {bytes}"));
            let _ = stream.write_all(head.as_bytes());
            let _ = stream.write_all(&vec![b'x'; bytes]);
        }
    })
}

fn request_large(harness: &Harness) -> TcpStream {
    let mut stream = harness.connect();
    let head = b"GET /bytes/x HTTP/1.1\r\nHost: a\r\nCactustrack-Request-Id: id-1\r\n\r\n";
    stream.write_all(head).expect("a request");
    stream
}

/// Guards against an answer that is ready and is cut since its caller takes it late.
#[test]
fn data_that_has_arrived_is_delivered_after_the_deadline() {
    let upstream = large_answer(LATE_BYTES);
    let harness = start(&upstream, platform);
    let mut caller = request_large(&harness);
    thread::sleep(TIMEOUT + MARGIN);
    read_head(&mut caller).expect("a response");
    let mut body = vec![0; LATE_BYTES];
    caller.read_exact(&mut body).expect("the whole body");
}

/// Guards against a connection to an upstream that a caller holds for good by not reading.
#[test]
fn a_caller_that_takes_no_data_frees_the_upstream() {
    let upstream = large_answer(LARGE_BYTES);
    let harness = start(&upstream, platform);
    let started = Instant::now();
    let _caller = request_large(&harness);
    harness.wait_for_open_connections(1);
    harness.wait_for_open_connections(0);
    let elapsed = started.elapsed();
    assert!(elapsed < TIMEOUT * 5, "{elapsed:?}");
    assert!(!harness.events.has("finish up-0 cut_short"), "the upstream is not at fault");
}

/// Guards against a body without end that occupies the instance for as long as its caller reads.
#[test]
fn an_endless_body_ends_at_the_deadline() {
    struct Case {
        name: &'static str,
        head: &'static str,
        repeated: &'static [u8],
    }
    let cases = [
        Case { name: "in chunks", head: CHUNKED, repeated: b"3\r\nabc\r\n" },
        Case { name: "close-delimited", head: CLOSED, repeated: b"abcd" },
    ];
    for Case { name, head, repeated } in cases {
        let upstream = RawUpstream::spawn(move |_, stream| {
            if read_head(stream).is_some() {
                let _ = stream.write_all(head.as_bytes());
                let block = repeated.repeat(1_000);
                while stream.write_all(&block).is_ok() {}
            }
        });
        let harness = start(&upstream, platform);
        let started = Instant::now();
        let mut caller = request_large(&harness);
        let mut buf = vec![0; 1 << 16];
        while caller.read(&mut buf).is_ok_and(|read| read > 0) {}
        let elapsed = started.elapsed();
        assert!(elapsed >= TIMEOUT, "{name}: {elapsed:?}");
        assert!(elapsed < TIMEOUT + MARGIN, "{name}: {elapsed:?}");
        harness.wait_for_open_connections(0);
    }
}
