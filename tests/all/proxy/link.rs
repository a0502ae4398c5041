//! The simulated network link that fault tests rely on, and the proxy behind such a link.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use cactustrack_test_support::caller::Call;
use cactustrack_test_support::link::{Direction, Link};
use cactustrack_test_support::upstream::Behaviour;

use super::harness::{RawUpstream, Setup, connect, upstreams, wait_until};

/// Creates an upstream that returns the bytes it receives.
fn echo() -> RawUpstream {
    RawUpstream::spawn(|_, stream| {
        let mut buf = [0; 1024];
        while let Ok(bytes @ 1..) = stream.read(&mut buf) {
            let _ = stream.write_all(&buf[..bytes]);
        }
    })
}

fn exchange(stream: &mut TcpStream) -> std::io::Result<[u8; 4]> {
    let mut buf = [0; 4];
    stream.write_all(b"ping")?;
    stream.read_exact(&mut buf)?;
    Ok(buf)
}

/// Guards against tests of delays, partitions and silent connections that pass because the
/// simulated link has no effect.
#[test]
fn a_link_delays_withholds_and_breaks_traffic() {
    let upstream = echo();
    let link = Link::spawn(upstream.address);
    let control = &link.control;
    let mut stream = connect(link.address);
    assert_eq!(&exchange(&mut stream).expect("an echo"), b"ping");
    assert_eq!((control.bytes(Direction::Forward), control.bytes(Direction::Backward)), (4, 4));

    control.set(|state| {
        state.forward_delay = Duration::from_millis(30);
        state.backward_delay = Duration::from_millis(20);
    });
    let started = Instant::now();
    exchange(&mut stream).expect("an echo");
    assert!(started.elapsed() >= Duration::from_millis(50));

    // With one direction blocked, the other one still delivers, and the withheld bytes arrive once
    // it is unblocked.
    control.set(|state| {
        (state.forward_delay, state.backward_delay) = (Duration::ZERO, Duration::ZERO);
        state.backward_blocked = true;
    });
    stream.write_all(b"held").expect("a write");
    wait_until("the forward direction delivers", || control.bytes(Direction::Forward) == 12);
    assert_eq!(control.bytes(Direction::Backward), 8);
    control.set(|state| state.backward_blocked = false);
    let mut held = [0; 4];
    stream.read_exact(&mut held).expect("the held bytes");
    assert_eq!(&held, b"held");

    control.silence_open_connections();
    stream.write_all(b"lost").expect("a write");
    let mut new = connect(link.address);
    assert_eq!(&exchange(&mut new).expect("an echo on a new connection"), b"ping");
    assert_eq!((control.bytes(Direction::Forward), control.open_connections()), (16, 2));

    control.set(|state| state.is_down = true);
    wait_until("all connections are broken", || control.open_connections() == 0);
    assert!(exchange(&mut new).is_err(), "a link that is down breaks open connections");
    assert!(exchange(&mut connect(link.address)).is_err(), "and new ones");
    control.set(|state| state.is_down = false);
    exchange(&mut connect(link.address)).expect("an echo after the link is up again");
    assert_eq!(control.connections(), 4);
}

/// Guards against counting a silent link as evidence against an upstream, and against a late
/// response over that link reaching another caller.
#[test]
fn a_silent_link_to_an_upstream_gives_no_evidence_against_it() {
    let up = upstreams(&["up-0"], &Behaviour::default());
    let link = Link::spawn(up.all[0].address);
    let harness = Setup { extra_attempts: 0, ..Setup::with(&[("up-0", link.address)]) }.start();
    assert_eq!(harness.call(&Call::get("a", "/")).status, 200);
    harness.wait_for_event("finish up-0 ok");
    link.control.silence_open_connections();
    let first = Call::get("a", "/").with_header("x-tag", "first");
    let response = harness.call(&first.with_header("cactustrack-timeout-ms", "1000"));
    assert_eq!(response.status, 504, "{}", response.text());
    assert!(harness.events.has("finish up-0 silent"), "{:?}", harness.events.all());
    let response = harness.call(&Call::get("a", "/").with_header("x-tag", "second"));
    assert!(response.text().contains(r#""tag":"second""#), "{}", response.text());
    assert_eq!(link.control.connections(), 2);
}
