//! Detects requests with both `Content-Length` and `Transfer-Encoding` in the bytes of a caller's
//! connection.
//!
//! Parsers can disagree about where such a request ends, which enables request smuggling, so it is
//! rejected. hyper removes `Content-Length` from it before the request can be inspected, so the
//! raw head is checked here.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use compio::net::TcpStream;
use cyper_core::HyperStream;
use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};

/// Bytes of a line that are kept. Longer than any valid framing header; the content of other lines
/// is not needed.
const MAX_LINE_BYTES: usize = 128;

/// Size of a read from a socket in bytes.
const READ_BYTES: usize = 16 * 1024;

/// Read buffer of a listener. All its connections can share it, since each read is copied out at
/// once.
pub(crate) type Scratch = Rc<RefCell<Vec<u8>>>;

/// Creates the read buffer of a listener.
pub(crate) fn new_scratch() -> Scratch {
    Rc::new(RefCell::new(vec![0; READ_BYTES]))
}

/// Marks a request whose head has both `Content-Length` and `Transfer-Encoding`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AmbiguousFraming;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    /// Before a request line. Empty lines are skipped.
    #[default]
    Start,
    Head,
    Body(u64),
    ChunkSize,
    ChunkData(u64),
    Trailers,
    /// The bytes are not valid HTTP. hyper rejects them itself.
    Invalid,
}

/// Incremental parser of the framing of the requests on one connection.
#[derive(Debug, Default)]
pub(crate) struct FramingChecker {
    state: State,
    line: Vec<u8>,
    is_line_truncated: bool,
    length: Option<u64>,
    has_encoding: bool,
    /// For each head that was parsed and whose result was not taken yet: true if its framing is
    /// ambiguous.
    heads: VecDeque<bool>,
}

impl FramingChecker {
    /// Takes the result for the next request. Returns true for a request whose head was not seen,
    /// so that a request on which hyper's parser and this one disagree is rejected.
    pub(crate) fn take_is_ambiguous(&mut self) -> bool {
        self.heads.pop_front().unwrap_or(true)
    }

    /// Returns true if the first byte of a request has arrived and its last one has not.
    pub(crate) fn is_mid_message(&self) -> bool {
        self.state != State::Start || !self.line.is_empty()
    }

    /// Returns true if the first byte of a request head has arrived and its last one has not.
    pub(crate) fn is_mid_head(&self) -> bool {
        self.state == State::Head || (self.state == State::Start && !self.line.is_empty())
    }

    /// Parses the next bytes of the connection.
    pub(crate) fn push(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            match &mut self.state {
                State::Invalid => return,
                State::Body(left) | State::ChunkData(left) => {
                    let skipped = usize::try_from(*left).unwrap_or(usize::MAX).min(bytes.len());
                    *left -= skipped as u64;
                    bytes = &bytes[skipped..];
                    if *left == 0 {
                        let was_chunk = matches!(self.state, State::ChunkData(_));
                        self.state = if was_chunk { State::ChunkSize } else { State::Start };
                    }
                }
                _ => bytes = self.push_line(bytes),
            }
        }
    }

    fn push_line<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let end = bytes.iter().position(|&b| b == b'\n');
        let part = &bytes[..end.unwrap_or(bytes.len())];
        let room = MAX_LINE_BYTES.saturating_sub(self.line.len());
        self.is_line_truncated |= part.len() > room;
        self.line.extend_from_slice(&part[..part.len().min(room)]);
        let Some(end) = end else { return &[] };
        let line = std::mem::take(&mut self.line);
        self.on_line(line.strip_suffix(b"\r").unwrap_or(&line));
        self.line = line;
        self.line.clear();
        self.is_line_truncated = false;
        &bytes[end + 1..]
    }

    fn on_line(&mut self, line: &[u8]) {
        match self.state {
            State::Start if !line.is_empty() => self.state = State::Head,
            State::Head if line.is_empty() => self.end_head(),
            State::Head => self.on_header(line),
            State::ChunkSize => self.state = chunk_state(line),
            State::Trailers if line.is_empty() => self.state = State::Start,
            _ => {}
        }
    }

    fn on_header(&mut self, line: &[u8]) {
        let Some(colon) = line.iter().position(|&b| b == b':') else { return };
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
        if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.has_encoding = true;
        } else if name.eq_ignore_ascii_case(b"content-length") {
            let length = std::str::from_utf8(value).ok().and_then(|text| text.parse().ok());
            match length {
                Some(length) if !self.is_line_truncated => self.length = Some(length),
                _ => self.state = State::Invalid,
            }
        }
    }

    fn end_head(&mut self) {
        let (length, has_encoding) = (self.length.take(), std::mem::take(&mut self.has_encoding));
        self.heads.push_back(length.is_some() && has_encoding);
        self.state = match length {
            _ if has_encoding => State::ChunkSize,
            None | Some(0) => State::Start,
            Some(length) => State::Body(length),
        };
    }
}

fn chunk_state(line: &[u8]) -> State {
    /// Length of the line end that follows the data of a chunk.
    const LINE_END_BYTES: u64 = 2;
    let digits = line.iter().take_while(|b| b.is_ascii_hexdigit()).count();
    let size = std::str::from_utf8(&line[..digits]).ok();
    match size.and_then(|size| u64::from_str_radix(size, 16).ok()) {
        Some(0) => State::Trailers,
        Some(size) => State::ChunkData(size.saturating_add(LINE_END_BYTES)),
        None => State::Invalid,
    }
}

/// A caller's connection whose bytes go through a [`FramingChecker`] before hyper reads them.
pub(crate) struct CheckedStream {
    inner: HyperStream<TcpStream>,
    checker: Rc<RefCell<FramingChecker>>,
    scratch: Scratch,
}

impl CheckedStream {
    /// Wraps `stream`.
    pub(crate) fn new(
        stream: TcpStream,
        checker: Rc<RefCell<FramingChecker>>,
        scratch: Scratch,
    ) -> Self {
        Self { inner: HyperStream::new_plain(stream), checker, scratch }
    }
}

impl Read for CheckedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let scratch = Rc::clone(&self.scratch);
        let mut scratch = scratch.borrow_mut();
        let limit = buf.remaining().min(scratch.len());
        let mut read = ReadBuf::new(&mut scratch[..limit]);
        ready!(Pin::new(&mut self.inner).poll_read(cx, read.unfilled()))?;
        self.checker.borrow_mut().push(read.filled());
        buf.put_slice(read.filled());
        Poll::Ready(Ok(()))
    }
}

impl Write for CheckedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
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
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }
}
