//! Detection of connections whose peer is no longer reachable.

use std::io;
use std::time::Duration;

use compio::net::TcpStream;
use socket2::{SockRef, TcpKeepalive};

/// Idle time after which the first TCP keepalive probe is sent, and interval between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unacknowledged probes after which the connection is closed.
const PROBES: u32 = 2;

/// Time for which sent data may stay unacknowledged before the connection is closed.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(3);

/// Makes the operating system close a connection whose peer no longer acknowledges data. A
/// connection can stop delivering without a reset while new connections to the same peer work.
///
/// # Errors
///
/// Fails if the operating system rejects a socket option.
pub fn enable_dead_peer_detection(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))
}

/// Sets whether a peer may stop reading for longer than [`UNACKNOWLEDGED_LIMIT`]. If it may, the limit
/// is switched off: the system applies it also to a peer that acknowledges data but has no room for
/// more. Keepalive probes stay on.
pub(crate) fn set_slow_reader_allowed(stream: &TcpStream, is_allowed: bool) {
    let limit = if is_allowed { None } else { Some(UNACKNOWLEDGED_LIMIT) };
    // Without the change, the connection closes too early or too late; the request has a deadline.
    let _ = SockRef::from(stream).set_tcp_user_timeout(limit);
}
