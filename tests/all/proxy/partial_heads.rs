//! Upstreams that stop within the head of a response.

use std::io::Write;
use std::net::Shutdown;
use std::rc::Rc;
use std::time::Duration;

use cactustrack_platform::PlatformDialect;
use cactustrack_proxy::{DefaultDialect, Dialect};
use cactustrack_test_support::caller::Call;

use super::harness::{RawUpstream, Setup, read_head};

/// Request header in which a caller asks for the number of bytes after which the upstream stops.
const STOP_AFTER: &str = "x-stop-after";

/// Returns the value of [`STOP_AFTER`] in the head of a request.
fn stop_after(head: &str) -> Option<usize> {
    let value = head.lines().find_map(|line| line.strip_prefix(STOP_AFTER));
    value.map(|value| value.trim_start_matches(": ").parse().expect("a number of bytes"))
}

/// Starts an upstream that sends `complete` to each request, or only as many bytes as the request
/// asks for, after which it closes the connection.
fn stopping(complete: String) -> RawUpstream {
    RawUpstream::spawn(move |_, stream| {
        while let Some(head) = read_head(stream) {
            let bytes = stop_after(&head).map_or(&*complete, |bytes| &complete[..bytes]);
            let _ = stream.write_all(bytes.as_bytes());
            if bytes.len() < complete.len() {
                let _ = stream.shutdown(Shutdown::Write);
                return;
            }
        }
    })
}

/// Guards against a response whose head ends early, with the end of the connection, that reaches the
/// caller as a complete one with an empty or short body.
#[test]
fn a_head_that_ends_early_is_no_response() {
    struct Case {
        name: &'static str,
        head: &'static str,
        body: &'static str,
    }
    let cases = [
        Case {
            name: "length last",
            head: "HTTP/1.1 200 OK\r\nCactustrack-Request-Id: id-1\r\n\
                Cactustrack-Backend-Signature: s\r\nContent-Length: 11\r\n\r\n",
            body: "hello world",
        },
        Case {
            name: "length first",
            head: "HTTP/1.1 200 OK\r\nContent-Length: 11\r\nCactustrack-Request-Id: id-1\r\n\
                Cactustrack-Backend-Signature: s\r\n\r\n",
            body: "hello world",
        },
        Case {
            name: "chunked",
            head: "HTTP/1.1 200 OK\r\nCactustrack-Backend-Signature: s\r\n\
                Cactustrack-Request-Id: id-1\r\nTransfer-Encoding: chunked\r\n\r\n",
            body: "b\r\nhello world\r\n0\r\n\r\n",
        },
        Case {
            name: "informational first",
            head: "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n\
                Cactustrack-Request-Id: id-1\r\nCactustrack-Backend-Signature: s\r\n\
                Content-Length: 11\r\n\r\n",
            body: "hello world",
        },
        Case {
            name: "bare line feeds",
            head: "HTTP/1.1 200 OK\nCactustrack-Request-Id: id-1\n\
                Cactustrack-Backend-Signature: s\nContent-Length: 11\n\n",
            body: "hello world",
        },
    ];
    let dialects: [fn() -> Rc<dyn Dialect>; 2] =
        [|| Rc::new(PlatformDialect), || Rc::new(DefaultDialect)];
    let routes = ["/", "/n", "/bytes/x"];
    let settings = || dialects.into_iter().flat_map(|dialect| routes.map(|path| (dialect, path)));
    for Case { name, head, body } in cases {
        for (dialect, path) in settings() {
            let upstream = stopping(format!("{head}{body}"));
            let recent_age = Duration::from_secs(30);
            let setup = Setup { dialect, recent_age, ..Setup::default() };
            let harness = Setup { targets: vec![("up-0", upstream.address)], ..setup }.start();
            let call = Call::get("a", path).with_header("cactustrack-request-id", "id-1");
            for bytes in 0..head.len() {
                if bytes % 2 == 0 {
                    // The next request is sent on a connection that was used before.
                    assert_eq!(harness.call(&call).text(), "hello world", "{name} {path}");
                }
                let stopped = call.clone().with_header(STOP_AFTER, &bytes.to_string());
                let received = harness.call(&stopped);
                let (status, body) = (received.status, received.text());
                assert_eq!(status, 502, "{name} {path}, {bytes} bytes: {body:?}");
                assert_ne!(received.execution(), Some("not_run"), "{name} {path}, {bytes} bytes");
            }
        }
    }
}
