//! Non-idempotent requests run at most once, and rejections state whether they ran.

use std::io::{Read, Write};
use std::sync::{Mutex, mpsc};

use cactustrack_store::RecordState;
use cactustrack_test_support::caller::{Call, Reply};
use cactustrack_test_support::upstream::{Behaviour, Upstreams};

use super::rig::{RawUpstream, Rig, Setup, read_head, refusing_address, upstreams, wait_until};

fn swap(key: &str) -> Call {
    Call::post("a", "/n/swap").with_header("idempotency-key", key).with_header("x-tag", key)
}

/// Two upstreams behind a proxy that has any number of extra attempts.
fn pair(change: impl FnOnce(&mut Behaviour)) -> (Upstreams, Rig) {
    let up = upstreams(&["up-0", "up-1"], &Behaviour::default());
    up.all[0].control.set(change);
    let targets = [("up-0", up.all[0].address), ("up-1", up.all[1].address)];
    let rig = Setup::with(&targets).start();
    (up, rig)
}

fn executed(up: &Upstreams) -> Vec<String> {
    up.all.iter().flat_map(|upstream| upstream.control.executed()).collect()
}

fn verdict(reply: &Reply) -> (u16, Option<&str>) {
    (reply.status.as_u16(), reply.execution())
}

/// Guards against a request that is lost although another upstream could take it: a refused
/// connection carried nothing.
#[test]
fn a_refused_connection_leads_to_another_upstream() {
    let up = upstreams(&["up-1"], &Behaviour::default());
    let targets = [("up-0", refusing_address()), ("up-1", up.all[0].address)];
    let rig = Setup { extra: 0, ..Setup::with(&targets) }.start();
    let reply = rig.call(&swap("k1"));
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert_eq!(executed(&up), ["POST /n/swap k1"]);
    assert!(rig.journal.has("finish up-0 refused"), "{:?}", rig.journal.all());
    assert_eq!(rig.records.state("k1"), Some(RecordState::Completed { status: 200 }));
}

/// Guards against a large upload that is refused, cut or mixed up because the first connection for
/// it could not be opened.
#[test]
fn a_streamed_upload_survives_a_refused_connection() {
    let upload: Vec<u8> = (0..200_000).map(cactustrack_test_support::upstream::byte_at).collect();
    for path in ["/n/upload", "/upload"] {
        let (tx, rx) = mpsc::channel();
        let tx = Mutex::new(tx);
        let expected = upload.clone();
        let upstream = RawUpstream::spawn(move |_, stream| {
            read_head(stream).expect("a request");
            let mut body = vec![0; expected.len()];
            stream.read_exact(&mut body).expect("the whole body");
            tx.lock().expect("a channel").send(body == expected).expect("a test");
            let _ = stream.write_all(b"HTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n");
        });
        let targets = [("up-0", refusing_address()), ("up-1", upstream.address)];
        let rig = Setup::with(&targets).start();
        let reply = rig.call(&Call::post("a", path).with_body(upload.clone()));
        assert_eq!(reply.status, 201, "{path}: {}", reply.text());
        assert!(rx.recv().expect("a body"), "{path}: the body differs");
        assert_eq!(upstream.connections(), 1, "{path}");
    }
}

/// Guards against `unknown` for a request that no upstream could have seen, and against a claim
/// that then blocks the repeat.
#[test]
fn a_request_that_no_upstream_accepted_was_not_run() {
    let setup = Setup::with(&[("up-0", refusing_address()), ("up-1", refusing_address())]);
    let rig = setup.start();
    let reply = rig.call(&swap("k1"));
    assert_eq!(verdict(&reply), (503, Some("not_run")));
    assert_eq!(rig.records.state("k1"), None);
}

/// Guards against a second execution after a break, at whichever point it happens, and against a
/// repeat of the caller that is let through.
#[test]
fn a_request_that_was_sent_is_never_sent_again() {
    struct Case {
        name: &'static str,
        answer: &'static str,
    }
    let cases = [
        Case { name: "closed without an answer", answer: "" },
        Case { name: "half a head", answer: "HTTP/1.1 200 OK\r\nConte" },
        Case { name: "no HTTP", answer: "garbage\r\n\r\n" },
        Case { name: "end not marked", answer: "HTTP/1.1 200 OK\r\n\r\nx" },
    ];
    for Case { name, answer } in cases {
        let broken = RawUpstream::spawn(move |_, stream| {
            read_head(stream);
            let _ = stream.write_all(answer.as_bytes());
        });
        let healthy = upstreams(&["up-1"], &Behaviour::default());
        let targets = [("up-0", broken.address), ("up-1", healthy.all[0].address)];
        let rig = Setup::with(&targets).start();
        let reply = rig.call(&swap("k1"));
        assert_eq!(verdict(&reply), (502, Some("unknown")), "{name}: {}", reply.text());
        let repeat = rig.call(&swap("k1"));
        assert_eq!(repeat.status, 409, "{name}: {}", repeat.text());
        assert_eq!((broken.connections(), executed(&healthy).len()), (1, 0), "{name}");
    }
    let (up, rig) = pair(|behaviour| behaviour.break_after_run = true);
    assert_eq!(verdict(&rig.call(&swap("k2"))), (502, Some("unknown")));
    assert_eq!(executed(&up), ["POST /n/swap k2"]);
    assert_eq!(rig.records.state("k2"), Some(RecordState::Running));
}

/// Guards against a reused connection for a request that must not be sent twice: an idle one can
/// be closed by the upstream at the moment of sending.
#[test]
fn each_request_gets_a_new_connection_and_idle_ones_make_room() {
    let up = upstreams(&["up-0"], &Behaviour::default());
    let setup = Setup { max_connections: 2, ..Setup::with(&[("up-0", up.all[0].address)]) };
    let rig = setup.start();
    for request in 0..6 {
        let reply = rig.call(&swap(&format!("k{request}")));
        assert_eq!(reply.status, 200, "{request}: {}", reply.text());
        wait_until("the exchange is reported", || rig.journal.count("finish") == request + 1);
    }
    assert_eq!(up.all[0].control.connections(), 6);
}

/// Guards against a shed request that the caller must take for run, or cannot repeat.
#[test]
fn a_shed_request_was_not_run_and_can_be_repeated() {
    let (up, rig) = pair(|behaviour| behaviour.shed = true);
    let reply = rig.call(&swap("k1"));
    assert_eq!(verdict(&reply), (503, Some("not_run")), "{}", reply.text());
    assert_eq!(reply.headers.get("retry-after").expect("a wait"), "1");
    assert!(rig.journal.has("finish up-0 shed"), "{:?}", rig.journal.all());
    assert_eq!((rig.records.state("k1"), executed(&up).len()), (None, 0));
    up.all[0].control.set(|behaviour| behaviour.shed = false);
    assert_eq!(rig.call(&swap("k1")).status, 200);
    assert_eq!(executed(&up), ["POST /n/swap k1"]);
}

/// Guards against an outcome that is lost with its caller, and against a repeat that runs while
/// the first request does.
#[test]
fn the_outcome_is_recorded_although_the_caller_left() {
    let (asked_tx, asked_rx) = mpsc::channel();
    let (go_tx, go_rx) = mpsc::channel::<()>();
    let channels = Mutex::new((asked_tx, go_rx));
    let upstream = RawUpstream::spawn(move |_, stream| {
        read_head(stream).expect("a request");
        let channels = channels.lock().expect("channels");
        channels.0.send(()).expect("a test");
        channels.1.recv().expect("the time to answer");
        let _ = stream.write_all(b"HTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n");
    });
    let rig = Setup::with(&[("up-0", upstream.address)]).start();
    let mut stream = rig.connect();
    let head =
        "POST /n/swap HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k1\r\nContent-Length: 0\r\n\r\n";
    stream.write_all(head.as_bytes()).expect("a request");
    asked_rx.recv().expect("a request at the upstream");

    let running = rig.call(&swap("k1"));
    assert_eq!(verdict(&running), (409, Some("unknown")), "{}", running.text());
    drop(stream);
    // An answered request shows that the proxy runs on after the caller left.
    assert_eq!(rig.call(&swap("k1")).status, 409);
    go_tx.send(()).expect("an upstream");
    let completed = Some(RecordState::Completed { status: 201 });
    wait_until("the outcome is recorded", || rig.records.state("k1") == completed);

    let repeat = rig.call(&swap("k1"));
    assert_eq!(verdict(&repeat), (409, Some("completed")));
    assert!(repeat.text().contains(r#""recorded_status":201"#), "{}", repeat.text());
    assert_eq!(upstream.connections(), 1);
}

/// Guards against a key that hides another request, and against methods, paths or queries that are
/// taken for the same.
#[test]
fn a_key_belongs_to_one_request() {
    let (up, rig) = pair(|_| {});
    assert_eq!(rig.call(&swap("k1")).status, 200);
    let others = [
        Call::post("a", "/n/other"),
        Call::post("a", "/n/swap?again=1"),
        Call::get("a", "/n/swap"),
    ];
    for other in others {
        let reply = rig.call(&other.with_header("idempotency-key", "k1"));
        assert_eq!(verdict(&reply), (422, Some("not_run")), "{}", reply.text());
    }
    assert_eq!(executed(&up).len(), 1);
    let account = swap("k1").with_header("cactustrack-account", "agency");
    assert_eq!(rig.call(&account).status, 200, "keys of other accounts are unrelated");
    for key in ["", "\u{e9}", &"k".repeat(256)] {
        let reply = rig.call(&swap(key));
        assert_eq!(verdict(&reply), (400, Some("not_run")), "{key:?}: {}", reply.text());
    }
    assert_eq!(executed(&up).len(), 2);
}

/// Guards against a request with a key that is sent although its repeat could not be recognised.
#[test]
fn without_the_store_a_request_with_a_key_is_not_sent() {
    let (up, rig) = pair(|_| {});
    rig.records.set_fails(true);
    let reply = rig.call(&swap("k1"));
    assert_eq!(verdict(&reply), (503, Some("not_run")), "{}", reply.text());
    assert!(reply.text().contains("record-unavailable"), "{}", reply.text());
    assert_eq!(up.all.iter().map(|up| up.control.requests()).sum::<u64>(), 0);
    assert_eq!(rig.journal.count("start"), 0);
    assert_eq!(rig.call(&Call::post("a", "/n/swap")).status, 200, "no key, no record");
}
