//! Statuses by which callers of the platform are told that a request was not executed.

use std::io::{Read, Write};
use std::rc::Rc;

use cactustrack_platform::PlatformDialect;
use cactustrack_store::RecordState;
use cactustrack_test_support::caller::{Call, CallResponse};

use super::harness::{Harness, RawUpstream, Setup, read_head};

/// Statuses that promise that the request was not executed and never will be.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

const ID: &str = "Cactustrack-Request-Id: id-1\r\n";
const SIGNED: &str = "Cactustrack-Backend-Signature: s\r\n";
const NOT_EXECUTED: &str = "Cactustrack-Not-Executed: 1\r\n";

/// Size of an upload that is streamed.
const LARGE_BODY_BYTES: usize = 200_000;

fn response(status: u16, headers: &str) -> String {
    format!("HTTP/1.1 {status} x\r\n{ID}{headers}Content-Length: 4\r\n\r\ndone")
}

fn start(targets: &[(&'static str, &RawUpstream)], extra_attempts: u32) -> Harness {
    let targets: Vec<_> = targets.iter().map(|(name, up)| (*name, up.address)).collect();
    let dialect = || Rc::new(PlatformDialect) as Rc<_>;
    let setup = Setup { dialect, extra_attempts, retries_declined: true, ..Setup::with(&targets) };
    setup.start()
}

fn with_id(call: Call) -> Call {
    call.with_header("cactustrack-request-id", "id-1")
}

fn assert_outcome_unknown(response: &CallResponse, name: &str) {
    assert_eq!(response.status, 502, "{name}: {}", response.text());
    assert!(!response.headers.contains_key("cactustrack-backend-signature"), "{name}");
    assert!(!response.headers.contains_key("retry-after"), "{name}");
}

/// Guards against a caller that is told that its request was not executed and never will be,
/// although an upstream that fails after the execution has answered with such a status. The caller
/// would order again.
#[test]
fn a_promise_that_the_upstream_did_not_make_is_not_forwarded() {
    struct Case {
        name: &'static str,
        path: &'static str,
        /// True if the upstream responds before it has read the body.
        is_early: bool,
        body_bytes: usize,
    }
    let cases = [
        Case { name: "order", path: "/n/x", is_early: false, body_bytes: 5 },
        Case { name: "upload", path: "/n/x", is_early: false, body_bytes: LARGE_BODY_BYTES },
        Case { name: "upload, early", path: "/n/x", is_early: true, body_bytes: LARGE_BODY_BYTES },
        Case { name: "idempotent", path: "/x", is_early: false, body_bytes: 5 },
        Case { name: "download", path: "/bytes/x", is_early: false, body_bytes: 0 },
    ];
    for Case { name, path, is_early, body_bytes } in cases {
        for status in PROMISES {
            for headers in ["", SIGNED, &format!("{SIGNED}{NOT_EXECUTED}")] {
                // Without a signature, 421 states that another process was reached.
                if status == 421 && headers.is_empty() {
                    continue;
                }
                let answer = response(status, headers);
                let upstream = RawUpstream::spawn(move |_, stream| {
                    while read_head(stream).is_some() {
                        let mut body = vec![0; if is_early { 0 } else { body_bytes }];
                        if stream.read_exact(&mut body).is_err()
                            || stream.write_all(answer.as_bytes()).is_err()
                        {
                            return;
                        }
                    }
                });
                let harness = start(&[("up-0", &upstream)], 0);
                let call = Call::post("a", path).with_body(vec![b'x'; body_bytes]);
                let name = format!("{name}, {status} {headers:?}");
                assert_outcome_unknown(&harness.call(&with_id(call)), &name);
                assert!(harness.events.has("finish up-0 failed"), "{name}");
            }
        }
    }
}

/// Guards against a false promise of the second upstream, after the first one has stated that it
/// did not execute the request.
#[test]
fn a_promise_of_the_second_upstream_is_not_forwarded() {
    for path in ["/n/x", "/x"] {
        let busy = RawUpstream::responding(response(503, NOT_EXECUTED));
        let failing = RawUpstream::responding(response(503, ""));
        let harness = start(&[("up-0", &busy), ("up-1", &failing)], 1);
        assert_outcome_unknown(&harness.call(&with_id(Call::post("a", path))), path);
        assert_eq!((busy.connections(), failing.connections()), (1, 1), "{path}");
    }
}

/// Guards against a promise that is withheld from callers although the upstream has made it.
#[test]
fn a_promise_that_the_upstream_made_reaches_the_caller() {
    for path in ["/n/x", "/x"] {
        for (status, headers) in [(503, NOT_EXECUTED), (429, NOT_EXECUTED), (421, "")] {
            let upstream = RawUpstream::responding(response(status, headers));
            let harness = start(&[("up-0", &upstream)], 0);
            let response = harness.call(&with_id(Call::post("a", path)));
            assert_eq!(response.status, 503, "{path}, {status}: {}", response.text());
        }
    }
}

/// Guards against a record of a completed request whose outcome is unknown: a repeat would be told
/// that the request was executed.
#[test]
fn a_request_with_a_false_promise_is_not_recorded_as_completed() {
    let upstream = RawUpstream::responding(response(503, ""));
    let harness = start(&[("up-0", &upstream)], 0);
    let call = || with_id(Call::post("a", "/n/x").with_header("idempotency-key", "k1"));
    assert_outcome_unknown(&harness.call(&call()), "first");
    assert_eq!(harness.records.state("k1"), Some(RecordState::Running));
    assert_eq!(harness.call(&call()).status, 409, "repeat");
    assert_eq!(upstream.connections(), 1, "the repeat is not sent");
}
