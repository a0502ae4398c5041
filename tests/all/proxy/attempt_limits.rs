//! Limits on the upstreams to which one request is sent, and on the time that they are given.

use std::io::Write;
use std::net::Shutdown;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use cactustrack_platform::PlatformDialect;
use cactustrack_proxy::{DefaultDialect, Dialect};
use cactustrack_test_support::caller::Call;

use super::harness::{RawUpstream, Setup, read_head};

const SHED: &str =
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 4\r\n\r\nbusy";
const FAILED: &str = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\nfailed";
/// A response that ends before its length, so that the remainder is fetched from another upstream.
const TRUNCATED: &str = "HTTP/1.1 200 OK\r\nETag: \"v1\"\r\nContent-Length: 10\r\n\r\nabc";

/// Ids of the upstreams of a test, more than a route allows for one request.
const IDS: [&str; 5] = ["up-0", "up-1", "up-2", "up-3", "up-4"];

/// Starts upstreams that send `response` to each request and close the connection. Counts the
/// requests.
fn count_requests(response: &'static str) -> (Vec<RawUpstream>, Arc<AtomicU64>) {
    let count = Arc::new(AtomicU64::new(0));
    let upstream = |_| {
        let count = Arc::clone(&count);
        RawUpstream::spawn(move |_, stream| {
            if read_head(stream).is_some() {
                count.fetch_add(1, Ordering::SeqCst);
                let _ = stream.write_all(response.as_bytes());
                let _ = stream.shutdown(Shutdown::Write);
            }
        })
    };
    (IDS.iter().map(upstream).collect(), count)
}

/// Guards against a request that is sent to more upstreams than its route allows. Upstreams that
/// shed were not counted, and the remainder of a truncated response was fetched from any number.
#[test]
fn a_request_is_sent_to_no_more_upstreams_than_its_route_allows() {
    struct Case {
        name: &'static str,
        path: &'static str,
        response: &'static str,
        max_attempts: Option<u32>,
        expected: u64,
    }
    let case = |name, path, response, max_attempts, expected| Case {
        name,
        path,
        response,
        max_attempts,
        expected,
    };
    let cases = [
        case("idempotent, shed", "/", SHED, Some(2), 2),
        case("idempotent, failed", "/", FAILED, Some(2), 2),
        case("non-idempotent, shed", "/n", SHED, Some(2), 2),
        case("non-idempotent, shed, single", "/n", SHED, Some(1), 1),
        case("large, shed", "/bytes/x", SHED, Some(3), 3),
        case("large, truncated", "/bytes/x", TRUNCATED, Some(2), 2),
        case("large, truncated, single", "/bytes/x", TRUNCATED, Some(1), 1),
        case("idempotent, no limit", "/", SHED, None, IDS.len() as u64),
        case("non-idempotent, no limit", "/n", SHED, None, IDS.len() as u64),
    ];
    let mut wrong = Vec::new();
    for Case { name, path, response, max_attempts, expected } in cases {
        let (up, count) = count_requests(response);
        let targets: Vec<_> = IDS.into_iter().zip(up.iter().map(|up| up.address)).collect();
        let setup = Setup { max_attempts, retries_declined: true, ..Setup::with(&targets) };
        let harness = setup.start();
        harness.call(&Call::get("a", path));
        let sent = count.load(Ordering::SeqCst);
        if sent != expected {
            wrong.push(format!("{name}: sent to {sent} upstreams in place of {expected}"));
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// Guards against an upstream that works on the remainder of a response after its caller has stopped
/// waiting. Where the deadline covers the body, a range request once got five seconds of its own.
#[test]
fn a_range_request_gets_the_time_that_its_caller_still_waits() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\nETag: \"v1\"\r\nContent-Length: 10\r\n\
        Cactustrack-Request-Id: id-1\r\nCactustrack-Backend-Signature: s\r\n\r\nabc";
    const REMAINDER: &str = "HTTP/1.1 206 Partial Content\r\nETag: \"v1\"\r\n\
        Content-Range: bytes 3-9/10\r\nContent-Length: 7\r\n\
        Cactustrack-Request-Id: id-1\r\nCactustrack-Backend-Signature: s\r\n\r\ndefghij";
    struct Case {
        name: &'static str,
        dialect: fn() -> Rc<dyn Dialect>,
        /// Header with the time that an upstream is given, in milliseconds.
        header: &'static str,
        /// Time after which the first upstream breaks off.
        broken_after: Duration,
        /// Longest time for the range request in milliseconds, `None` if there must be none.
        longest: Option<u64>,
    }
    let platform: fn() -> Rc<dyn Dialect> = || Rc::new(PlatformDialect);
    let header = "cactustrack-deadline-ms";
    let broken_after = Duration::from_millis(400);
    let cases = [
        Case { name: "in time", dialect: platform, header, broken_after, longest: Some(1_600) },
        Case {
            name: "too late",
            dialect: platform,
            header,
            broken_after: Duration::from_millis(2_100),
            longest: None,
        },
        Case {
            name: "deadline of the head only",
            dialect: || Rc::new(DefaultDialect),
            header: "cactustrack-timeout-ms",
            broken_after,
            longest: Some(5_000),
        },
    ];
    for Case { name, dialect, header, broken_after, longest } in cases {
        let first = RawUpstream::spawn(move |_, stream| {
            read_head(stream).expect("a request");
            stream.write_all(HEAD.as_bytes()).expect("a connection");
            thread::sleep(broken_after);
        });
        let second = RawUpstream::responding(REMAINDER);
        let targets = [("up-0", first.address), ("up-1", second.address)];
        let harness = Setup { dialect, ..Setup::with(&targets) }.start();
        let call = Call::get("a", "/bytes/x").with_header("cactustrack-request-id", "id-1");
        let response = harness.call(&call.with_header("cactustrack-timeout-ms", "2000"));
        let given: Option<u64> = second.heads().first().map(|head| {
            let mut lines = head.lines().map(str::to_ascii_lowercase);
            let value = lines.find_map(|line| Some(line.strip_prefix(header)?.trim().to_owned()));
            let value = value.expect("a time limit");
            value.trim_start_matches(": ").parse().expect("milliseconds")
        });
        assert_eq!(response.is_complete, longest.is_some(), "{name}");
        assert_eq!(given.is_some(), longest.is_some(), "{name}: {given:?}");
        assert!(given <= longest, "{name}: {given:?} ms");
    }
}
