//! Parts of a request that reach the upstream, and parts of a response that reach the caller.

use std::time::Duration;

use cactustrack_test_support::caller::Call;

use super::harness::{Harness, RawUpstream, Setup};

fn start(response: &str) -> (RawUpstream, Harness) {
    let upstream = RawUpstream::responding(response);
    let harness = Setup::with(&[("up-0", upstream.address)]).start();
    (upstream, harness)
}

/// Returns the names of the header fields of a message in lower case.
fn names(message: &str) -> Vec<String> {
    let head = message.split("\r\n\r\n").next().unwrap_or_default();
    let lines = head.lines().skip(1);
    lines.filter_map(|line| Some(line.split_once(':')?.0.to_ascii_lowercase())).collect()
}

/// Guards against callers and upstreams that forge headers of the fleet, and against hop-by-hop
/// headers that are forwarded from one connection to another.
#[test]
fn fleet_and_hop_by_hop_headers_are_stripped() {
    const REMOVED: [&str; 13] = [
        "cactustrack-execution",
        "cactustrack-draining",
        "cactustrack-boot-id",
        "cactustrack-load",
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "upgrade",
        "x-named",
    ];
    let lines: String = REMOVED
        .iter()
        .filter(|name| **name != "connection")
        .map(|name| format!("{name}: 1\r\n"))
        .collect();
    let response = format!(
        "HTTP/1.1 200 OK\r\n{lines}Connection: x-named\r\nX-Kept: 1\r\nContent-Length: 0\r\n\r\n"
    );
    let (upstream, harness) = start(&response);
    for class in ["/", "/n", "/bytes"] {
        let request = format!(
            "GET {class} HTTP/1.1\r\nHost: a\r\n{lines}Connection: close, x-named\r\nX-Kept: 1\r\n\r\n"
        );
        let got = names(&harness.raw(request.as_bytes()));
        let sent = names(&upstream.heads().pop().expect("a request"));
        for name in REMOVED {
            // The proxy itself sends `Connection: close` to the caller.
            assert!(name == "connection" || !got.contains(&name.to_owned()), "{class}: {got:?}");
            assert!(!sent.contains(&name.to_owned()), "{class}: {sent:?}");
        }
        assert!(got.contains(&"x-kept".to_owned()), "{class}: {got:?}");
        assert!(sent.contains(&"x-kept".to_owned()), "{class}: {sent:?}");
    }
}

/// Guards against upstreams that process requests whose callers have stopped waiting.
#[test]
fn the_remaining_time_is_forwarded() {
    struct Case {
        timeout_ms: Option<&'static str>,
        max_ms: u64,
    }
    let cases = [
        Case { timeout_ms: Some("30000"), max_ms: 30_000 },
        Case { timeout_ms: None, max_ms: 50_000 },
        Case { timeout_ms: Some("999999999"), max_ms: 60_000 },
    ];
    let (upstream, harness) = start("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    for class in ["/", "/n", "/bytes"] {
        for Case { timeout_ms, max_ms } in &cases {
            let call = Call::get("a", class);
            let call = match timeout_ms {
                Some(ms) => call.with_header("cactustrack-timeout-ms", ms),
                None => call,
            };
            assert_eq!(harness.call(&call).status, 200);
            let head = upstream.heads().pop().expect("a request");
            let line = head.lines().find_map(|line| line.strip_prefix("cactustrack-timeout-ms: "));
            let ms: u64 = line.expect("a deadline").parse().expect("a number");
            // The time spent in the proxy is subtracted; how much that is depends on the machine.
            assert!(ms > 0 && ms <= *max_ms, "{class}: {ms} of {max_ms}");
        }
    }
}

/// Guards against treating the response to a HEAD request as truncated, since it has a
/// `Content-Length` and no body.
#[test]
fn head_and_empty_responses_are_complete() {
    struct Case {
        request: &'static str,
        response: &'static str,
        status: &'static str,
    }
    let cases = [
        Case {
            request: "HEAD /bytes/7",
            response: "200 OK\r\nContent-Length: 7\r\n\r\n",
            status: "200",
        },
        Case { request: "HEAD /", response: "200 OK\r\n\r\n", status: "200" },
        Case { request: "GET /", response: "204 No Content\r\n\r\n", status: "204" },
        Case {
            request: "GET /n",
            response: "304 Not Modified\r\nContent-Length: 9\r\n\r\n",
            status: "304",
        },
    ];
    for Case { request, response, status } in cases {
        let (upstream, harness) = start(&format!("HTTP/1.1 {response}"));
        let request = format!("{request} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        let got = harness.raw(request.as_bytes());
        assert!(got.starts_with(&format!("HTTP/1.1 {status} ")), "{request}: {got}");
        assert!(got.ends_with("\r\n\r\n"), "{request}: {got}");
        assert_eq!((upstream.connections(), harness.events.count("finish up-0 ok")), (1, 1));
    }
}

/// Replaces values that differ between runs.
fn normalize(message: &str) -> String {
    let lines = message.split("\r\n").map(|line| match line.split_once(": ") {
        Some((name @ ("date" | "traceparent" | "cactustrack-timeout-ms"), _)) => {
            format!("{name}: <varies>")
        }
        _ => line.to_owned(),
    });
    lines.collect::<Vec<_>>().join("\n")
}

/// Guards against unintended changes of the wire format for each class: the request to the
/// upstream, the response to the caller and the events reported to the policy.
#[test]
fn golden_sessions() {
    struct Case {
        name: &'static str,
        request: &'static str,
        response: &'static str,
    }
    let cases = [
        Case {
            name: "idempotent",
            request: "GET /houses?near=sea HTTP/1.1\r\nHost: a.test\r\nAccept: */*\r\n\r\n",
            response: "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nCactustrack-Load: 0.5\r\n\
                     Content-Length: 5\r\n\r\nhouse",
        },
        Case {
            name: "non_idempotent",
            request: "POST /n/swap HTTP/1.1\r\nHost: a.test\r\nIdempotency-Key: k1\r\n\
                      Content-Length: 4\r\n\r\nswap",
            response: "HTTP/1.1 201 Created\r\nContent-Length: 4\r\n\r\ndone",
        },
        Case {
            name: "large",
            request: "GET /bytes/dump HTTP/1.1\r\nHost: a.test\r\n\r\n",
            response: "HTTP/1.1 200 OK\r\nETag: \"v1\"\r\nTransfer-Encoding: chunked\r\n\r\n\
                     3\r\ndum\r\n1\r\np\r\n0\r\n\r\n",
        },
    ];
    for Case { name, request, response } in cases {
        let (upstream, harness) = start(response);
        let request = request.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
        let received = harness.raw(request.as_bytes());
        harness.wait_for_event("finish up-0 ok");
        let session = format!(
            "caller sends:\n{}\n\nupstream receives:\n{}\ncaller receives:\n{}\n\npolicy:\n{}\n",
            normalize(&request),
            normalize(&upstream.heads().join("")),
            normalize(&received),
            harness.events.all().join("\n"),
        );
        insta::assert_snapshot!(name, session);
    }
}

/// Guards against counting the short deadline of a caller as a refused connection of a healthy
/// upstream.
#[test]
fn a_passed_deadline_is_no_evidence_against_an_upstream() {
    let upstream = RawUpstream::spawn(|_, stream| {
        super::harness::read_all(stream);
    });
    let targets = [("up-0", upstream.address), ("up-1", upstream.address)];
    let setup = Setup { timeout: Duration::from_millis(1), ..Setup::with(&targets) };
    let harness = setup.start();
    for class in ["/", "/n"] {
        for _ in 0..20 {
            let response = harness.call(&Call::get("a", class));
            assert_eq!(response.status, 504, "{}", response.text());
        }
    }
    assert_eq!(harness.events.count("finish"), 0, "{:?}", harness.events.all());
}
