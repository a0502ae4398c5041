//! Limit on what an upstream may send without a response head or a part of the body.
//!
//! hyper bounds a single head, but reads any number of informational ones, and a chunk size of any
//! length. An upstream that sends them without end would keep the event loop busy with one
//! connection, since reading from it never has to wait.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use compio::net::TcpStream;
use cyper_core::HyperStream;
use derive_more::{Display, Error};
use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};

use crate::socket_limits::{WriteLimit, first_buffer};

/// Maximum number of bytes up to the end of the response head, including informational responses. A
/// single head is limited by the buffer of the connection, which is smaller.
const MAX_HEAD_BYTES: usize = 256 * 1024;

/// Maximum number of informational responses before the response to a request. Each one is parsed as
/// a head of its own, so that 256 KiB of them would cost much processor time.
const MAX_INFORMATIONAL: usize = 16;

/// Start of an informational response.
const INFORMATIONAL: &[u8] = b"HTTP/1.1 1";

/// Largest read while a head is awaited, or a frame after [`FULL_READS`] reads, in bytes. Most heads are
/// shorter.
const SMALL_READ_BYTES: usize = 4 * 1024;

/// Maximum number of reads without a frame of the body. A read usually completes a frame; the size
/// of a chunk and its extensions may arrive in several small pieces.
const MAX_READS_WITHOUT_FRAME: usize = 32;

/// Number of these reads that may fill the buffer of the connection. hyper can read on before a frame
/// is taken. Later reads are small, since their bytes are most likely no body.
const FULL_READS: usize = 2;

/// The upstream has sent bytes that become neither a response head nor a part of the body.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the upstream sends bytes that are no response")]
struct NoProgress;

/// What an upstream is expected to send next.
#[derive(Clone, Copy, Debug, Default)]
enum Phase {
    /// Nothing: no request is in progress. hyper itself closes the connection if bytes arrive.
    #[default]
    Idle,
    /// The response head, within this number of bytes and of informational responses.
    Head { bytes_left: usize, informational_left: usize },
    /// The next frame of the body, within this number of reads.
    Body { reads_left: usize },
}

/// Limit of one connection. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct ReadLimit(Rc<Cell<Phase>>);

impl ReadLimit {
    /// Creates a limit for a connection on which no request was sent.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a request is sent.
    pub fn on_request(&self) {
        let (bytes_left, informational_left) = (MAX_HEAD_BYTES, MAX_INFORMATIONAL);
        self.0.set(Phase::Head { bytes_left, informational_left });
    }

    /// Records that the response head or a frame of the body has arrived.
    pub fn on_progress(&self) {
        self.0.set(Phase::Body { reads_left: MAX_READS_WITHOUT_FRAME });
    }

    /// Records that the response is complete.
    pub fn on_end(&self) {
        self.0.set(Phase::Idle);
    }
}

/// A connection to an upstream whose reads fail once the limit is exhausted.
pub struct LimitedStream {
    inner: HyperStream<TcpStream>,
    limit: ReadLimit,
    write_limit: WriteLimit,
}

impl LimitedStream {
    /// Wraps `stream`.
    pub fn new(stream: TcpStream, limit: ReadLimit) -> Self {
        let write_limit = WriteLimit::new(None);
        Self { inner: HyperStream::new_plain(stream), limit, write_limit }
    }

    /// Sets the most bytes that are written at a time.
    pub(crate) fn with_write_limit(self, write_limit: WriteLimit) -> Self {
        Self { write_limit, ..self }
    }
}

impl Read for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let phase = self.limit.0.get();
        match phase {
            Phase::Idle => return Pin::new(&mut self.inner).poll_read(cx, buf),
            Phase::Body { reads_left } if reads_left > MAX_READS_WITHOUT_FRAME - FULL_READS => {
                ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
                self.limit.0.set(Phase::Body { reads_left: reads_left - 1 });
                return Poll::Ready(Ok(()));
            }
            Phase::Body { .. } | Phase::Head { .. } => {}
        }
        // Only a buffer of its own shows which bytes the read adds.
        let mut bytes = [0; SMALL_READ_BYTES];
        let size = buf.remaining().min(bytes.len());
        let mut read = ReadBuf::new(&mut bytes[..size]);
        ready!(Pin::new(&mut self.inner).poll_read(cx, read.unfilled()))?;
        let Some(next) = phase.after_read(read.filled()) else {
            let error = io::Error::new(io::ErrorKind::InvalidData, NoProgress);
            return Poll::Ready(Err(error));
        };
        self.limit.0.set(next);
        buf.put_slice(read.filled());
        Poll::Ready(Ok(()))
    }
}

impl Phase {
    /// Returns the phase after a read of `bytes`, or `None` if that exceeds the limit.
    fn after_read(self, bytes: &[u8]) -> Option<Self> {
        Some(match self {
            Self::Idle => Self::Idle,
            Self::Body { reads_left } => Self::Body { reads_left: reads_left.checked_sub(1)? },
            Self::Head { bytes_left, informational_left } => Self::Head {
                bytes_left: bytes_left.checked_sub(bytes.len())?,
                informational_left: informational_left.checked_sub(count_informational(bytes))?,
            },
        })
    }
}

/// Counts the informational responses that start in these bytes. One that is split over two reads is
/// not counted, which [`MAX_HEAD_BYTES`] makes up for.
fn count_informational(bytes: &[u8]) -> usize {
    bytes.windows(INFORMATIONAL.len()).filter(|window| *window == INFORMATIONAL).count()
}

impl Write for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let buf = self.write_limit.part(buf);
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        match self.write_limit.parts(bufs) {
            Some(bufs) => Pin::new(&mut self.inner).poll_write_vectored(cx, bufs),
            None => {
                let buf = self.write_limit.part(first_buffer(bufs));
                Pin::new(&mut self.inner).poll_write(cx, buf)
            }
        }
    }
}
