//! Detection of connections that went silent.

use std::io;
use std::time::Duration;

use compio::net::TcpStream;
use socket2::{SockRef, TcpKeepalive};

/// Idle time after which a connection is probed, and time between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Probes without an answer after which the connection is closed.
const PROBES: u32 = 2;

/// Time for which sent bytes may stay unacknowledged.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(3);

/// Makes the operating system close a connection whose other end no longer answers. A connection
/// can go silent without a reset while new ones work.
///
/// # Errors
///
/// Fails if the operating system refuses an option.
pub fn enable_dead_peer_detection(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))
}
