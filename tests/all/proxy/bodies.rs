//! Bodies that break, are completed from another upstream, or meet a slow caller.

use std::io::{Read, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use cactustrack_test_support::caller::Call;
use cactustrack_test_support::upstream::{Behaviour, byte_at};

use super::rig::{RawUpstream, Setup, WAIT_LIMIT, read_head, upstreams};

/// An upstream that answers once on each connection and then closes it.
fn closing(answer: &'static str) -> RawUpstream {
    RawUpstream::spawn(move |_, stream| {
        if read_head(stream).is_some() {
            let _ = stream.write_all(answer.as_bytes());
        }
    })
}

/// Guards against a dump or a bundle that a caller takes for complete although it is not.
#[test]
fn a_body_that_was_cut_is_never_ended_cleanly() {
    struct Case {
        name: &'static str,
        answer: &'static str,
        /// Status of the head, which may be a rejection as long as nothing was passed on.
        status: u16,
    }
    let cases = [
        Case {
            name: "by length",
            answer: "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
            status: 200,
        },
        Case {
            name: "within a chunk",
            answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nA\r\nabc",
            status: 200,
        },
        Case {
            name: "before the last chunk",
            answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
            status: 200,
        },
        Case { name: "end not marked", answer: "HTTP/1.1 200 OK\r\n\r\nabc", status: 502 },
        Case {
            name: "unknown encoding",
            answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nabc",
            status: 502,
        },
        Case {
            name: "switched protocol",
            answer: "HTTP/1.1 101 Switching Protocols\r\n\r\n",
            status: 502,
        },
        Case { name: "no HTTP", answer: "SSH-2.0-server\r\n", status: 502 },
    ];
    for class in ["/", "/n", "/bytes/x"] {
        for Case { name, answer, status } in &cases {
            let upstream = closing(answer);
            let setup = Setup { extra: 0, ..Setup::with(&[("up-0", upstream.address)]) };
            let rig = setup.start();
            let reply = rig.call(&Call::get("a", class));
            assert_eq!(reply.status, *status, "{class} {name}: {}", reply.text());
            if *status == 200 {
                assert!(!reply.is_complete, "{class} {name}: {}", reply.text());
                rig.wait_noted("finish up-0 cut_short");
            } else {
                assert_eq!(reply.execution(), Some("unknown"), "{class} {name}");
                rig.wait_noted("finish up-0 failed");
            }
        }
    }
}

/// Guards against a length that does not fit the body which is passed on: of two lengths hyper
/// reads the chunks and hides `Content-Length`, and the caller must see the same.
#[test]
fn an_answer_with_two_lengths_is_passed_on_by_its_chunks() {
    let upstream = closing(
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n\
         6\r\nabcdef\r\n0\r\n\r\n",
    );
    let rig = Setup::with(&[("up-0", upstream.address)]).start();
    let reply = rig.call(&Call::get("a", "/"));
    assert_eq!((reply.text().as_str(), reply.is_complete), ("abcdef", true));
    assert!(!reply.headers.contains_key("content-length"), "{:?}", reply.headers);
}

/// Guards against large answers that end midway although another upstream has the rest, and
/// against pieces that are lost or repeated at the seam.
#[test]
fn a_large_answer_is_completed_from_another_upstream() {
    const TOTAL: usize = 1_000_000;
    let up = upstreams(&["up-0", "up-1", "up-2", "up-3"], &Behaviour::default());
    // The pauses make the stand-in send what it has before it breaks the connection.
    for (upstream, cut) in [(0, 100_000), (1, 300_001)] {
        up.all[upstream].control.set(|behaviour| {
            behaviour.cut_after = Some(cut);
            behaviour.chunk_delay = Duration::from_millis(1);
        });
    }
    up.all[2].control.set(|behaviour| behaviour.failure_share = 1.0);
    let targets: Vec<_> = ["up-0", "up-1", "up-2", "up-3"]
        .into_iter()
        .zip(up.all.iter().map(|up| up.address))
        .collect();
    let rig = Setup::with(&targets).start();
    let reply = rig.call(&Call::get("a", &format!("/bytes/{TOTAL}")));
    assert_eq!((reply.status.as_u16(), reply.is_complete), (200, true));
    let expected: Vec<u8> = (0..TOTAL as u64).map(byte_at).collect();
    assert!(reply.body == expected, "{} bytes, or others than sent", reply.body.len());
    for line in
        ["finish up-0 cut_short", "finish up-1 cut_short", "finish up-2 failed", "finish up-3 ok"]
    {
        rig.wait_noted(line);
    }
    assert_eq!(rig.journal.count("extra Resume granted=true"), 3, "{:?}", rig.journal.all());
}

/// Guards against an answer that is put together from two versions, and against resumes outside of
/// the budget or of the rules.
#[test]
fn a_large_answer_that_cannot_be_completed_is_aborted() {
    const PARTIAL: &str = "HTTP/1.1 206 Partial Content\r\nETag: \"v1\"\r\n\
        Content-Range: bytes 3-9/10\r\nContent-Length: 7\r\n\r\ndefghij";
    struct Case {
        name: &'static str,
        first: &'static str,
        rest: &'static str,
        extra: u32,
        is_complete: bool,
    }
    const FIRST: &str = "HTTP/1.1 200 OK\r\nETag: \"v1\"\r\nContent-Length: 10\r\n\r\nabc";
    let cases = [
        Case { name: "control", first: FIRST, rest: PARTIAL, extra: 1, is_complete: true },
        Case { name: "no budget", first: FIRST, rest: PARTIAL, extra: 0, is_complete: false },
        Case {
            name: "changed tag",
            first: FIRST,
            rest: "HTTP/1.1 206 Partial Content\r\nETag: \"v2\"\r\n\
                   Content-Range: bytes 3-9/10\r\nContent-Length: 7\r\n\r\ndefghij",
            extra: 1,
            is_complete: false,
        },
        Case {
            name: "whole answer in place of the rest",
            first: FIRST,
            rest: "HTTP/1.1 200 OK\r\nETag: \"v1\"\r\nContent-Length: 10\r\n\r\nabcdefghij",
            extra: 1,
            is_complete: false,
        },
        Case {
            name: "weak tag",
            first: "HTTP/1.1 200 OK\r\nETag: W/\"v1\"\r\nContent-Length: 10\r\n\r\nabc",
            rest: PARTIAL,
            extra: 1,
            is_complete: false,
        },
        Case {
            name: "chunked rest that is too short",
            first: FIRST,
            rest: "HTTP/1.1 206 Partial Content\r\nETag: \"v1\"\r\n\
                   Content-Range: bytes 3-9/10\r\nTransfer-Encoding: chunked\r\n\r\n\
                   3\r\ndef\r\n0\r\n\r\n",
            extra: 1,
            is_complete: false,
        },
        Case {
            name: "rest without an end mark",
            first: FIRST,
            rest: "HTTP/1.1 206 Partial Content\r\nETag: \"v1\"\r\n\
                   Content-Range: bytes 3-9/10\r\n\r\ndef",
            extra: 1,
            is_complete: false,
        },
    ];
    for Case { name, first, rest, extra, is_complete } in cases {
        let (one, two) = (closing(first), closing(rest));
        let targets = [("up-0", one.address), ("up-1", two.address)];
        let rig = Setup { extra, ..Setup::with(&targets) }.start();
        let reply = rig.call(&Call::get("a", "/bytes/x"));
        assert_eq!(
            reply.is_complete,
            is_complete,
            "{name}: {} {:?}",
            reply.text(),
            rig.journal.all()
        );
        if is_complete {
            assert_eq!(reply.text(), "abcdefghij", "{name}");
        } else {
            assert!("abcdefghij".starts_with(&reply.text()), "{name}: {}", reply.text());
        }
    }
}

/// Guards against memory that grows with the answer when its caller reads slowly or not at all.
#[test]
fn a_caller_that_stops_reading_stops_the_upstream() {
    const TOTAL: u64 = 1 << 30;
    /// Kernel buffers of two loopback connections, which can grow to 6 MiB for each end, and the
    /// buffers of the proxy.
    const BOUND: u64 = 64 << 20;
    let written = Arc::new(AtomicU64::new(0));
    let counter = Arc::clone(&written);
    let upstream = RawUpstream::spawn(move |_, stream| {
        read_head(stream).expect("a request");
        stream.set_write_timeout(Some(WAIT_LIMIT)).expect("a timeout");
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {TOTAL}\r\n\r\n");
        stream.write_all(head.as_bytes()).expect("a head");
        let piece = vec![b'x'; 64 * 1024];
        while counter.load(Ordering::SeqCst) < TOTAL {
            let Ok(bytes) = stream.write(&piece) else { return };
            counter.fetch_add(bytes as u64, Ordering::SeqCst);
        }
    });
    let rig = Setup::with(&[("up-0", upstream.address)]).start();
    let mut stream = rig.connect();
    stream.write_all(b"GET /bytes/x HTTP/1.1\r\nHost: a\r\n\r\n").expect("a request");
    read_head(&mut stream).expect("the head of the answer");
    // A slow machine only makes the count smaller, so waiting too short hides no failure of a
    // proxy that would pass on everything: the caller below reads on and must get more.
    let mut last = 0;
    loop {
        thread::sleep(Duration::from_millis(300));
        let now = written.load(Ordering::SeqCst);
        if now == last && now > 0 {
            break;
        }
        last = now;
        assert!(now < BOUND, "{now} bytes were read from the upstream");
    }
    assert!(last < BOUND, "{last} bytes were read from the upstream");
    let mut buf = vec![0; 1 << 20];
    let mut read = 0;
    while read < 2 * last {
        let bytes = stream.read(&mut buf).expect("more of the body");
        assert!(bytes > 0, "the body ended after {read} bytes");
        read += bytes as u64;
    }
    assert!(written.load(Ordering::SeqCst) <= read + BOUND);
    // Time spent on a body is the caller's, also if it leaves early.
    drop(stream);
    rig.wait_noted("cancel up-0 without blame");
    rig.wait_open(0);
}

/// Guards against evidence against an upstream for an upload that its caller broke off or held up.
#[test]
fn an_upload_that_the_caller_fails_is_not_the_fault_of_the_upstream() {
    for (leaves, timeout_ms) in [(true, 30_000), (false, 100)] {
        let upstream = RawUpstream::spawn(|_, stream| {
            super::rig::read_all(stream);
        });
        let rig = Setup::with(&[("up-0", upstream.address)]).start();
        let mut stream = rig.connect();
        let head = format!(
            "POST / HTTP/1.1\r\nHost: a\r\nCactustrack-Timeout-Ms: {timeout_ms}\r\n\
             Content-Length: 1000000\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).expect("a head");
        stream.write_all(&[b'x'; 100_000]).expect("a part of the body");
        rig.wait_noted("start up-0");
        if leaves {
            drop(stream);
        }
        super::rig::wait_until("the attempt ends", || {
            rig.journal.count("cancel") + rig.journal.count("finish") == 1
        });
        assert_eq!(rig.journal.count("finish"), 0, "{:?}", rig.journal.all());
        rig.wait_open(0);
    }
}
