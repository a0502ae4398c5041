//! Upstreams that send bytes without end which are no response.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use cactustrack_test_support::caller::Call;

use super::harness::{RawUpstream, Setup, read_head, wait_until};

/// Most bytes that the proxy may take from an upstream before it rejects a head, trailers or the
/// framing of a chunk: its own buffer of 64 KiB and the buffers of the sockets.
const MAX_BYTES_TAKEN: u64 = 16 * 1024 * 1024;

/// Time within which the proxy must have closed the connection. It is far below the deadline of the
/// request, so that not the deadline ends the exchange.
const CLOSED_WITHIN: Duration = Duration::from_secs(20);

/// Sends `start` once and then `repeated` until the connection is closed. Returns the bytes sent.
fn send_endlessly(stream: &mut TcpStream, start: &[u8], repeated: &[u8]) -> u64 {
    let block: Vec<u8> = repeated.iter().copied().cycle().take(repeated.len() * 1_000).collect();
    let mut sent = 0;
    if stream.write_all(start).is_err() {
        return sent;
    }
    while stream.write_all(&block).is_ok() {
        sent += block.len() as u64;
    }
    sent
}

/// Guards against an instance that reads on, or collects in memory, bytes that never become a
/// response. Informational responses and the digits of a chunk size without end once kept the event
/// loop busy with a single connection.
#[test]
fn endless_bytes_that_are_no_response_are_rejected() {
    struct Case {
        name: &'static str,
        start: &'static str,
        repeated: &'static str,
        /// Status for the caller, and whether the body must look truncated.
        status: u16,
    }
    const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n";
    let cases = [
        Case { name: "no HTTP", start: "", repeated: "x", status: 502 },
        Case { name: "empty lines", start: "", repeated: "\r\n", status: 502 },
        Case { name: "status line", start: "HTTP/1.1 200 ", repeated: "O", status: 502 },
        Case { name: "header line", start: "HTTP/1.1 200 OK\r\nA: ", repeated: "b", status: 502 },
        Case { name: "headers", start: "HTTP/1.1 200 OK\r\n", repeated: "A: b\r\n", status: 502 },
        Case {
            name: "informational responses",
            start: "",
            repeated: "HTTP/1.1 103 Early Hints\r\n\r\n",
            status: 502,
        },
        Case { name: "chunk size", start: CHUNKED, repeated: "0", status: 200 },
        Case { name: "chunk extension", start: CHUNKED, repeated: "3;a=b", status: 200 },
        Case {
            name: "trailers",
            start: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n",
            repeated: "A: b\r\n",
            status: 200,
        },
    ];
    for class in ["/", "/n"] {
        for Case { name, start, repeated, status } in &cases {
            let (taken, closed) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
            let (counter, ended) = (Arc::clone(&taken), Arc::clone(&closed));
            let (start, repeated) = (start.as_bytes(), repeated.as_bytes());
            let upstream = RawUpstream::spawn(move |_, stream| {
                if read_head(stream).is_some() {
                    counter.fetch_add(send_endlessly(stream, start, repeated), Ordering::SeqCst);
                    ended.fetch_add(1, Ordering::SeqCst);
                }
            });
            let setup = Setup { extra_attempts: 0, ..Setup::with(&[("up-0", upstream.address)]) };
            let harness = setup.start();
            let started = Instant::now();
            let response = harness.call(&Call::get("a", class));
            assert_eq!(response.status, *status, "{class} {name}: {}", response.text());
            if *status == 200 {
                assert!(!response.is_complete, "{class} {name}");
            }
            wait_until(&format!("{class} {name}: the upstream's connection is closed"), || {
                closed.load(Ordering::SeqCst) > 0
            });
            let elapsed = started.elapsed();
            assert!(elapsed <= CLOSED_WITHIN, "{class} {name}: {elapsed:?}");
            let taken = taken.load(Ordering::SeqCst);
            assert!(taken <= MAX_BYTES_TAKEN, "{class} {name}: {taken} bytes");
        }
    }
}

/// Guards against a body without end that an upstream sends on after its caller has left.
#[test]
fn an_endless_body_ends_when_the_caller_closes() {
    struct Case {
        head: &'static str,
        repeated: &'static [u8],
    }
    let cases = [
        Case {
            head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            repeated: b"3\r\nabc\r\n",
        },
        Case { head: "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", repeated: b"x" },
    ];
    for Case { head, repeated } in cases {
        let closed = Arc::new(AtomicU64::new(0));
        let ended = Arc::clone(&closed);
        let upstream = RawUpstream::spawn(move |_, stream| {
            if read_head(stream).is_some() {
                send_endlessly(stream, head.as_bytes(), repeated);
                ended.fetch_add(1, Ordering::SeqCst);
            }
        });
        let harness = Setup::with(&[("up-0", upstream.address)]).start();
        let mut caller = harness.connect();
        caller.write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n").expect("a request");
        let mut buf = [0; 4_096];
        std::io::Read::read_exact(&mut caller, &mut buf).expect("a part of the body");
        drop(caller);
        wait_until("the upstream's connection is closed", || closed.load(Ordering::SeqCst) > 0);
        harness.wait_for_open_connections(0);
    }
}

/// Guards against a caller whose bytes never become a request, and who keeps the event loop from
/// serving others.
#[test]
fn endless_bytes_of_a_caller_do_not_hold_up_others() {
    struct Case {
        name: &'static str,
        start: &'static str,
        repeated: &'static [u8],
    }
    const CHUNKED: &str = "POST /n HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    const TRAILERS: &str = "POST /n HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
    let cases = [
        Case { name: "no HTTP", start: "", repeated: b"x" },
        Case { name: "empty lines", start: "", repeated: b"\r\n" },
        Case { name: "headers", start: "GET / HTTP/1.1\r\n", repeated: b"A: b\r\n" },
        Case { name: "chunk size", start: CHUNKED, repeated: b"0" },
        Case { name: "chunk extension", start: CHUNKED, repeated: b"3;a=b" },
        Case { name: "chunks", start: CHUNKED, repeated: b"3\r\nabc\r\n" },
        Case { name: "trailers", start: TRAILERS, repeated: b"A: b\r\n" },
    ];
    let upstream = RawUpstream::responding("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    let blocked = RawUpstream::spawn(|_, stream| {
        read_head(stream);
        std::thread::sleep(Duration::from_secs(30));
    });
    for Case { name, start, repeated } in cases {
        let harness = Setup::with(&[("up-0", upstream.address), ("up-1", blocked.address)]).start();
        let mut caller = harness.connect();
        let sending = std::thread::spawn(move || {
            send_endlessly(&mut caller, start.as_bytes(), repeated);
        });
        std::thread::sleep(Duration::from_millis(200));
        for number in 0..5 {
            let started = Instant::now();
            let response = harness.call(&Call::get("a", "/"));
            assert_eq!(response.status, 200, "{name}");
            let elapsed = started.elapsed();
            assert!(elapsed < Duration::from_secs(5), "{name}, call {number}: {elapsed:?}");
        }
        drop(harness);
        let _ = sending.join();
    }
}

/// Guards against a response that is rejected since a few informational ones come before it.
#[test]
fn a_few_informational_responses_are_skipped() {
    let early = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n".repeat(5);
    let upstream =
        RawUpstream::responding(format!("{early}HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
    let harness = Setup::with(&[("up-0", upstream.address)]).start();
    for class in ["/", "/n", "/bytes/x"] {
        let response = harness.call(&Call::get("a", class));
        assert_eq!((response.status.as_u16(), response.text()), (200, "ok".to_owned()), "{class}");
    }
}
