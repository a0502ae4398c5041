//! Requests that are rejected before any byte of them reaches an upstream.

use std::io::{Read, Write};
use std::time::Duration;

use cactustrack_proxy::ServerLimits;
use cactustrack_test_support::caller::Call;

use super::harness::{Harness, LONG_TIMEOUT, RawUpstream, Setup, read_all, read_head};

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

struct Case {
    name: &'static str,
    request: String,
    /// Expected start of the response.
    expected: &'static str,
}

fn case(name: &'static str, request: impl Into<String>, expected: &'static str) -> Case {
    Case { name, request: request.into(), expected }
}

fn cases() -> Vec<Case> {
    const BAD: &str = "HTTP/1.1 400 ";
    let get = |path: &str| format!("GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    let post = |framing: &str| format!("POST / HTTP/1.1\r\nHost: a\r\n{framing}\r\n\r\n0\r\n\r\n");
    let many: String = (0..150).map(|n| format!("x-{n}: 1\r\n")).collect();
    let long = "v".repeat(40_000);
    vec![
        case(
            "oversized head",
            format!("GET / HTTP/1.1\r\nHost: a\r\nx: {long}\r\n\r\n"),
            "HTTP/1.1 431 ",
        ),
        case(
            "too many headers",
            format!("GET / HTTP/1.1\r\nHost: a\r\n{many}\r\n"),
            "HTTP/1.1 431 ",
        ),
        case("no version", "GET /\r\nHost: a\r\n\r\n", BAD),
        case("version 1.0", "GET / HTTP/1.0\r\nHost: a\r\n\r\n", "HTTP/1.0 400 "),
        case("invalid method", "G@T / HTTP/1.1\r\nHost: a\r\n\r\n", BAD),
        case("space before colon", "GET / HTTP/1.1\r\nHost : a\r\n\r\n", BAD),
        case("conflicting lengths", post("Content-Length: 5\r\nContent-Length: 6"), BAD),
        case("list of lengths", post("Content-Length: 5, 5"), BAD),
        case("signed length", post("Content-Length: +5"), BAD),
        case("length, then encoding", post("Content-Length: 5\r\nTransfer-Encoding: chunked"), BAD),
        case("encoding, then length", post("Transfer-Encoding: chunked\r\nContent-Length: 5"), BAD),
        case("unknown encoding", post("Transfer-Encoding: xchunked"), BAD),
        case("two encodings", post("Transfer-Encoding: gzip, chunked"), BAD),
        case("obs-fold", "GET / HTTP/1.1\r\nHost: a\r\nx: 1\r\n 2\r\n\r\n", BAD),
        case("bare CR", "GET / HTTP/1.1\r\nHost: a\r\nx: 1\r2\r\n\r\n", BAD),
        case("bare CR as line end", "GET / HTTP/1.1\rHost: a\r\n\r\n", BAD),
        case(
            "duplicate Host",
            "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\nConnection: close\r\n\r\n",
            BAD,
        ),
        case("missing Host", "GET / HTTP/1.1\r\nConnection: close\r\n\r\n", BAD),
        case("dot segment", get("/n/../i"), BAD),
        case("encoded dot", get("/n/%2e%2e/i"), BAD),
        case("encoded slash", get("/n%2fi"), BAD),
        case("backslash", get("/n%5ci"), BAD),
        case(
            "protected header in Connection",
            "GET / HTTP/1.1\r\nHost: a\r\nConnection: close, idempotency-key\r\n\r\n",
            BAD,
        ),
    ]
}

fn start(limits: ServerLimits) -> (RawUpstream, Harness) {
    let upstream = RawUpstream::responding(OK);
    let harness = Setup { limits, ..Setup::with(&[("up-0", upstream.address)]) }.start();
    (upstream, harness)
}

/// Guards against request smuggling and against malicious heads that reach an upstream.
#[test]
fn malformed_requests_are_rejected_and_nothing_is_sent() {
    let limits = ServerLimits { head_timeout: LONG_TIMEOUT, ..ServerLimits::default() };
    let (upstream, harness) = start(limits);
    for Case { name, request, expected } in cases() {
        let response = harness.raw(request.as_bytes());
        assert!(response.starts_with(expected), "{name}: {response}");
        assert_eq!(response.matches(expected).count(), 1, "{name}: one response: {response}");
    }
    assert_eq!(upstream.connections(), 0, "{:?}", upstream.heads());
    // A valid request succeeds, so the proxy does not simply reject everything.
    assert_eq!(harness.call(&Call::get("a", "/")).text(), "ok");
}

/// Guards against losing a rejection because unread bytes reset the connection. Not every operating
/// system lets the caller read what arrived before a reset, so no reset must occur.
#[test]
fn rejections_arrive_while_the_caller_is_still_sending() {
    let limits = ServerLimits { head_timeout: LONG_TIMEOUT, ..ServerLimits::default() };
    let (_upstream, harness) = start(limits);
    let long = "v".repeat(150_000);
    for _ in 0..20 {
        let (mut stream, mut response) = (harness.connect(), String::new());
        let request = format!("GET / HTTP/1.1\r\nHost: a\r\nx: {long}\r\n\r\n");
        stream.write_all(request.as_bytes()).expect("no reset while sending");
        stream.read_to_string(&mut response).expect("no reset before the end of the response");
        assert!(response.starts_with("HTTP/1.1 431 "), "{response}");
    }
}

/// Guards against callers that occupy connections with request heads that never end.
#[test]
fn a_slow_head_is_rejected_as_not_run() {
    let limits = ServerLimits { head_timeout: Duration::from_secs(1), ..ServerLimits::default() };
    let (upstream, harness) = start(limits);
    let mut stream = harness.connect();
    stream.write_all(b"GET / HTTP/1.1\r\nHos").expect("a part of a head");
    let response = read_all(&mut stream);
    assert!(response.starts_with("HTTP/1.1 408 "), "{response}");
    assert!(response.contains("Cactustrack-Execution: not_run"), "{response}");
    // An idle connection has no request to reject, so it is closed without a response.
    assert_eq!(read_all(&mut harness.connect()), "");
    assert_eq!(upstream.connections(), 0);
}

/// Guards against a slow upload that occupies a slot of an upstream, and against a rejection that
/// does not state that the request was not executed.
#[test]
fn a_slow_body_is_rejected_as_not_run() {
    let (upstream, harness) =
        start(ServerLimits { head_timeout: LONG_TIMEOUT, ..ServerLimits::default() });
    let mut stream = harness.connect();
    let head = "POST /n HTTP/1.1\r\nHost: a\r\nCactustrack-Timeout-Ms: 50\r\nConnection: close\r\n\
                Content-Length: 10\r\n\r\nabc";
    stream.write_all(head.as_bytes()).expect("a part of a body");
    let response = read_all(&mut stream);
    assert!(response.starts_with("HTTP/1.1 408 "), "{response}");
    assert!(response.contains("cactustrack-execution: not_run"), "{response}");
    assert_eq!(upstream.connections(), 0);
}

/// Guards against exhausting memory or file descriptors with connections, and against a rejection
/// that does not state whether the request was executed.
#[test]
fn connections_beyond_the_limit_are_rejected_as_not_run() {
    let limits =
        ServerLimits { max_connections: 2, head_timeout: LONG_TIMEOUT, ..ServerLimits::default() };
    let (upstream, harness) = start(limits);
    let get = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    let held: Vec<_> = (0..2)
        .map(|_| {
            let mut stream = harness.connect();
            stream.write_all(get).expect("a request");
            read_head(&mut stream).expect("a response");
            stream
        })
        .collect();
    let (mut stream, mut response) = (harness.connect(), String::new());
    stream.write_all(get).expect("a request");
    stream.read_to_string(&mut response).expect("no reset before the end of the response");
    assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
    assert!(response.contains("Cactustrack-Execution: not_run"), "{response}");
    assert_eq!(upstream.heads().len(), 2);
    drop(held);
}
