//! Instances whose file descriptors run out.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use super::harness::{HOST, Harness, SEARCH, wait_for};

/// Longest wait for a response, beyond the timeout of the route and any stall of a busy machine.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).expect("a timeout");
    stream
}

/// Sends a request on a kept connection. Fails if the instance has closed it.
fn send(stream: &mut TcpStream, id: &str) {
    let head = format!(
        "GET /search/x HTTP/1.1\r\nHost: {HOST}\r\nCactustrack-Request-Id: {id}\r\n\
         Cactustrack-Deadline-Ms: 4000\r\n\r\n"
    );
    // A rejected connection may already be closed; its response can be read all the same.
    let _ = stream.write_all(head.as_bytes());
}

/// Reads the status of a response, or `None` if the connection ends or nothing arrives.
fn read_status(stream: &mut TcpStream) -> Option<u16> {
    let mut line = [0; "HTTP/1.1 200".len()];
    stream.read_exact(&mut line).ok()?;
    std::str::from_utf8(&line[9..]).ok()?.parse().ok()
}

/// Guards against an accept loop that retries at once: without a free descriptor accepting fails
/// immediately, the event loop never got to close a connection, and the process hung for good.
#[test]
fn an_instance_without_descriptors_serves_open_connections_and_recovers() {
    /// More connections than descriptors are left.
    const CONNECTIONS: usize = 32;
    let harness = Harness::start(1, 1, &[SEARCH]);
    let instance = &harness.instances[0];
    let mut kept = connect(instance.callers);
    send(&mut kept, "before");
    assert_eq!(read_status(&mut kept), Some(200));
    let max = instance.open_descriptors() + 4;
    instance.limit_descriptors(max);
    let addresses = [instance.callers, instance.admin].into_iter().cycle();
    let waiting: Vec<_> = addresses.take(CONNECTIONS).map(connect).collect();
    wait_for("the descriptors to run out", || instance.open_descriptors() >= max);
    // Both listeners have connections to accept, and each attempt fails.
    thread::sleep(Duration::from_millis(300));
    let mut rest = Vec::new();
    kept.set_read_timeout(Some(Duration::from_millis(500))).expect("a timeout");
    let _ = kept.read_to_end(&mut rest);
    kept.set_read_timeout(Some(RESPONSE_TIMEOUT)).expect("a timeout");
    send(&mut kept, "without descriptors");
    assert_eq!(read_status(&mut kept), Some(200));
    drop(waiting);
    wait_for("the instance to be ready", || instance.is_ready());
    let lines = instance.log_lines_with("cannot accept a connection");
    for listener in ["callers", "admin"] {
        let field = format!("\"listener\":\"{listener}\"");
        assert!(lines.iter().any(|line| line.contains(&field)), "{listener}: {lines:?}");
    }
}

/// Guards against callers and upstream connections that use up the descriptors together: the store,
/// the readiness check and requests in progress then had none.
#[test]
fn callers_leave_descriptors_for_upstreams_and_readiness() {
    const MAX_DESCRIPTORS: u64 = 600;
    const CALLERS: usize = 700;
    /// Upstreams with more slots together than descriptors are left beside the callers.
    const UPSTREAMS: usize = 100;
    let harness = Harness::start_with_descriptors(UPSTREAMS, 1, &[SEARCH], MAX_DESCRIPTORS);
    for upstream in &harness.upstreams.all {
        upstream.control.set(|behaviour| behaviour.latency = Duration::from_millis(400));
    }
    let instance = &harness.instances[0];
    for round in 0..3 {
        let mut streams: Vec<_> = (0..CALLERS).map(|_| connect(instance.callers)).collect();
        for (number, stream) in streams.iter_mut().enumerate() {
            send(stream, &format!("{round}-{number}"));
        }
        for _ in 0..10 {
            assert!(instance.is_ready(), "the instance stays ready");
            assert!(instance.open_descriptors() < MAX_DESCRIPTORS - 200, "files keep theirs");
            thread::sleep(Duration::from_millis(20));
        }
        // Each connection gets a response: its own, or that of a rejected connection.
        let statuses: Vec<_> = streams.iter_mut().map(read_status).collect();
        let unanswered = statuses.iter().filter(|status| status.is_none()).count();
        assert_eq!(unanswered, 0, "in round {round}");
        assert!(statuses.contains(&Some(200)), "in round {round}");
        drop(streams);
        wait_for("the connections to end", || instance.open_descriptors() < 200);
    }
    let failures = instance.log_lines_with("cannot accept a connection");
    assert!(failures.is_empty(), "{failures:?}");
}
