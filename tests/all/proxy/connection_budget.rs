//! The limit on the connections of callers and to upstreams together.

use std::io::Write;
use std::thread;
use std::time::Duration;

use cactustrack_test_support::caller::Call;
use cactustrack_test_support::upstream::Behaviour;
use http::StatusCode;

use super::harness::{Setup, connect, read_head, upstreams};

/// Guards against callers that are rejected, and requests that fail, while idle connections to
/// upstreams use the descriptors.
#[test]
fn idle_connections_to_upstreams_give_way() {
    let up = upstreams(&["up-0"], &Behaviour::default());
    let setup = Setup { connection_budget: 3, ..Setup::with(&[("up-0", up.all[0].address)]) };
    let harness = setup.start();
    assert_eq!(harness.call(&Call::get("a.example", "/x")).status, StatusCode::OK);
    harness.wait_for_open_connections(1);
    // A connection is counted from its accept on, which the response shows.
    let mut held: Vec<_> = (0..2).map(|_| connect(harness.address)).collect();
    for stream in &mut held {
        stream.write_all(b"GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n").expect("a request");
        assert!(read_head(stream).is_some_and(|head| head.starts_with("HTTP/1.1 200")));
    }
    let mut third = connect(harness.address);
    third.write_all(b"GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n").expect("a request");
    // The third caller takes the place of the idle connection, so its request cannot be sent.
    let head = read_head(&mut third).expect("a response");
    assert!(head.starts_with("HTTP/1.1 503"), "{head}");
    assert!(head.contains("cactustrack-execution: not_run"), "{head}");
    harness.wait_for_open_connections(0);
    drop(held);
    thread::sleep(Duration::from_millis(100));
    assert_eq!(harness.call(&Call::get("a.example", "/x")).status, StatusCode::OK);
}

/// Guards against a caller that is accepted when no connection is left for it, and against a
/// rejection that does not state that the request has not run.
#[test]
fn callers_beyond_the_budget_are_rejected() {
    let up = upstreams(&["up-0"], &Behaviour::default());
    let setup = Setup { connection_budget: 2, ..Setup::with(&[("up-0", up.all[0].address)]) };
    let harness = setup.start();
    let _held: Vec<_> = (0..2).map(|_| connect(harness.address)).collect();
    thread::sleep(Duration::from_millis(100));
    let head = read_head(&mut connect(harness.address)).expect("a response");
    assert!(head.starts_with("HTTP/1.1 503"), "{head}");
    assert!(head.contains("Cactustrack-Execution: not_run"), "{head}");
    assert!(head.contains("Connection: close"), "{head}");
}
