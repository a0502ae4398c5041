//! Limits on the upstreams to which one request is sent.

use std::io::Write;
use std::net::Shutdown;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

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
