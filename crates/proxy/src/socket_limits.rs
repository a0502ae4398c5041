//! Limits on what the operating system holds for a connection.

use std::io::IoSlice;

use compio::net::TcpStream;
use socket2::SockRef;

/// Limits on the buffers of a socket. Bytes in them count toward the memory of the process, although
/// it cannot see them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketLimits {
    /// Size of the receive buffer in bytes. Linux reserves as much again for its own data.
    pub receive_bytes: usize,
    /// Bytes that may wait to be sent, and the most that are written at a time. Bytes in flight do
    /// not count, so that a long round trip does not limit the rate.
    pub unsent_bytes: u32,
}

impl SocketLimits {
    /// Applies the limits. They save memory but are not required, so errors are ignored.
    pub(crate) fn apply(self, stream: &TcpStream) {
        let socket = SockRef::from(stream);
        let _ = socket.set_recv_buffer_size(self.receive_bytes);
        let _ = socket.set_tcp_notsent_lowat(self.unsent_bytes);
    }
}

/// Most bytes that are written to a stream at a time. The stream copies them into a buffer of its
/// own, which keeps them until the system has taken them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WriteLimit(usize);

impl WriteLimit {
    /// Creates the limit for connections with these limits.
    pub(crate) fn new(sockets: Option<SocketLimits>) -> Self {
        let bytes = sockets.and_then(|limits| usize::try_from(limits.unsent_bytes).ok());
        Self(bytes.unwrap_or(usize::MAX))
    }

    /// Returns the part of a buffer that may be written.
    pub(crate) fn part(self, buf: &[u8]) -> &[u8] {
        &buf[..buf.len().min(self.0)]
    }

    /// Returns the leading buffers that may be written together, or `None` if the first one that is
    /// not empty is too long.
    pub(crate) fn parts<'a, 'b>(self, bufs: &'a [IoSlice<'b>]) -> Option<&'a [IoSlice<'b>]> {
        let mut left = self.0;
        let fits = |buf: &&IoSlice<'_>| match left.checked_sub(buf.len()) {
            Some(rest) => {
                left = rest;
                true
            }
            None => false,
        };
        let parts = &bufs[..bufs.iter().take_while(fits).count()];
        let is_usable = parts.len() == bufs.len() || parts.iter().any(|buf| !buf.is_empty());
        is_usable.then_some(parts)
    }
}

/// Returns the first buffer that is not empty.
pub(crate) fn first_buffer<'a>(bufs: &'a [IoSlice<'_>]) -> &'a [u8] {
    bufs.iter().find(|buf| !buf.is_empty()).map_or(&[], |buf| &**buf)
}
