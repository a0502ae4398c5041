//! A caller's connection, from which bytes may be read before hyper asks for them.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use compio::net::TcpStream;
use cyper_core::HyperStream;
use derive_more::{Display, Error};
use http::request::Parts;
use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};

use crate::framing::FramingChecker;
use crate::pipeline::{Pipeline, TakenRequest};
use crate::socket_limits::{WriteLimit, first_buffer};

/// Size of a read from a socket in bytes.
const READ_BYTES: usize = 16 * 1024;

/// Maximum number of bytes that are read ahead of hyper on one connection.
const MAX_AHEAD_BYTES: usize = 16 * 1024;

/// Read buffer of a listener. All its connections can share it, since each read is copied out at
/// once.
pub(crate) type Scratch = Rc<RefCell<Vec<u8>>>;

/// Creates the read buffer of a listener.
pub(crate) fn new_scratch() -> Scratch {
    Rc::new(RefCell::new(vec![0; READ_BYTES]))
}

/// The caller sends the size of a chunk that is too long.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the line with the size of a chunk is too long")]
struct ChunkLineTooLong;

/// A caller's connection, shared by hyper and by the task that reads ahead.
pub(crate) type SharedInput = Rc<RefCell<CallerInput>>;

/// A caller's connection and the requests that have arrived on it.
pub(crate) struct CallerInput {
    inner: HyperStream<TcpStream>,
    scratch: Scratch,
    write_limit: WriteLimit,
    checker: FramingChecker,
    pipeline: Pipeline,
    /// Bytes that hyper has not read.
    ahead: VecDeque<u8>,
    /// True while hyper waits for the response to a request or writes it.
    is_serving: bool,
}

impl CallerInput {
    /// Wraps `stream`.
    pub(crate) fn new(
        stream: TcpStream,
        scratch: Scratch,
        pipeline: Pipeline,
        write_limit: WriteLimit,
    ) -> SharedInput {
        Rc::new(RefCell::new(Self {
            inner: HyperStream::new_plain(stream),
            scratch,
            write_limit,
            checker: FramingChecker::default(),
            pipeline,
            ahead: VecDeque::new(),
            is_serving: false,
        }))
    }

    /// Returns the state of the framing.
    pub(crate) fn checker(&self) -> &FramingChecker {
        &self.checker
    }

    /// Takes the next request, which hyper has read with this head.
    pub(crate) fn take_request(&mut self, head: &Parts) -> TakenRequest {
        self.is_serving = true;
        let taken = self.pipeline.take(head);
        self.pipeline.start_ready();
        taken
    }

    /// Starts no further requests before hyper has read them.
    pub(crate) fn stop_starting(&mut self) {
        self.pipeline.stop();
    }

    /// Returns true if hyper has read all bytes that were read from the socket.
    pub(crate) fn is_read(&self) -> bool {
        self.ahead.is_empty()
    }

    /// Returns true if a request was started that hyper has not read.
    pub(crate) fn has_started_requests(&self) -> bool {
        self.pipeline.has_started()
    }

    /// Reads what the caller sends while a request is in progress. Becomes ready once the caller has
    /// closed the connection.
    pub(crate) fn poll_read_ahead(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while self.is_serving && self.ahead.len() < MAX_AHEAD_BYTES && !self.checker.is_mid_body() {
            let before = self.ahead.len();
            let read = ready!(self.poll_fill(cx));
            if read.is_err() || self.ahead.len() == before {
                return Poll::Ready(());
            }
        }
        Poll::Pending
    }

    /// Reads from the socket into `ahead`.
    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let scratch = Rc::clone(&self.scratch);
        let mut scratch = scratch.borrow_mut();
        let limit = scratch.len().min(MAX_AHEAD_BYTES - self.ahead.len());
        let mut read = ReadBuf::new(&mut scratch[..limit]);
        ready!(Pin::new(&mut self.inner).poll_read(cx, read.unfilled()))?;
        self.ahead.extend(read.filled());
        self.on_bytes(read.filled());
        Poll::Ready(Ok(()))
    }

    fn poll_read(
        &mut self,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.ahead.is_empty() {
            let (bytes, _) = self.ahead.as_slices();
            let count = bytes.len().min(buf.remaining());
            buf.put_slice(&bytes[..count]);
            self.ahead.drain(..count);
            return Poll::Ready(Ok(()));
        }
        let scratch = Rc::clone(&self.scratch);
        let mut scratch = scratch.borrow_mut();
        let limit = buf.remaining().min(scratch.len());
        let mut read = ReadBuf::new(&mut scratch[..limit]);
        ready!(Pin::new(&mut self.inner).poll_read(cx, read.unfilled()))?;
        buf.put_slice(read.filled());
        self.on_bytes(read.filled());
        if self.checker.is_chunk_line_too_long() {
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, ChunkLineTooLong)));
        }
        Poll::Ready(Ok(()))
    }

    fn on_bytes(&mut self, bytes: &[u8]) {
        self.checker.set_busy(self.is_serving || self.pipeline.has_requests());
        self.checker.push(bytes);
        let mut has_new = false;
        while let Some(head) = self.checker.take_head() {
            self.pipeline.push(head);
            has_new = true;
        }
        if has_new {
            self.pipeline.start_ready();
        }
    }
}

/// Marks the request that hyper has read last as in progress until it is dropped.
pub(crate) struct ServingGuard(pub(crate) SharedInput);

impl Drop for ServingGuard {
    fn drop(&mut self) {
        self.0.borrow_mut().is_serving = false;
    }
}

/// The side of a caller's connection that hyper uses.
pub(crate) struct CallerStream(pub(crate) SharedInput);

impl Read for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        self.0.borrow_mut().poll_read(cx, buf)
    }
}

impl Write for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut input = self.0.borrow_mut();
        let buf = input.write_limit.part(buf);
        Pin::new(&mut input.inner).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().inner).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().inner).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.borrow().inner.is_write_vectored()
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let mut input = self.0.borrow_mut();
        match input.write_limit.parts(bufs) {
            Some(bufs) => Pin::new(&mut input.inner).poll_write_vectored(cx, bufs),
            None => {
                let buf = input.write_limit.part(first_buffer(bufs));
                Pin::new(&mut input.inner).poll_write(cx, buf)
            }
        }
    }
}
