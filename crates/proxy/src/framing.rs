//! Watches the bytes of a caller's connection for requests that give their body two lengths.
//!
//! hyper removes `Content-Length` from a request that also has `Transfer-Encoding` before the
//! request can be inspected. Two parsers that read such a request differently disagree about where
//! it ends, so the raw head is checked here and the request is refused.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use compio::net::TcpStream;
use cyper_core::HyperStream;
use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};

/// Kept bytes of a line. Longer than any valid framing header; other lines are only skipped.
const MAX_LINE_BYTES: usize = 128;

/// Bytes read from a socket at a time.
const READ_BYTES: usize = 16 * 1024;

/// Buffer that the connections of a listener share, since each read is copied at once.
pub(crate) type Scratch = Rc<RefCell<Vec<u8>>>;

/// Creates the shared buffer of a listener.
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
    /// The bytes are no valid HTTP, which hyper refuses on its own.
    Invalid,
}

/// Follows the requests on one connection.
#[derive(Debug, Default)]
pub(crate) struct FramingWatch {
    state: State,
    line: Vec<u8>,
    is_line_cut: bool,
    length: Option<u64>,
    has_encoding: bool,
    /// For each head that was read and not yet taken: true if its framing is ambiguous.
    heads: VecDeque<bool>,
}

impl FramingWatch {
    /// Takes the finding for the next request. A request whose head was not seen counts as
    /// ambiguous, so that a disagreement with hyper's parser refuses the request.
    pub(crate) fn take_is_ambiguous(&mut self) -> bool {
        self.heads.pop_front().unwrap_or(true)
    }

    /// Returns true if a request was begun and its last byte has not arrived.
    pub(crate) fn is_mid_message(&self) -> bool {
        self.state != State::Start || !self.line.is_empty()
    }

    /// Returns true if the head of a request was begun and its last byte has not arrived.
    pub(crate) fn is_mid_head(&self) -> bool {
        self.state == State::Head || (self.state == State::Start && !self.line.is_empty())
    }

    /// Takes the next bytes of the connection.
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
        self.is_line_cut |= part.len() > room;
        self.line.extend_from_slice(&part[..part.len().min(room)]);
        let Some(end) = end else { return &[] };
        let line = std::mem::take(&mut self.line);
        self.on_line(line.strip_suffix(b"\r").unwrap_or(&line));
        self.line = line;
        self.line.clear();
        self.is_line_cut = false;
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
                Some(length) if !self.is_line_cut => self.length = Some(length),
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
    /// A chunk is followed by a line end.
    const LINE_END_BYTES: u64 = 2;
    let digits = line.iter().take_while(|b| b.is_ascii_hexdigit()).count();
    let size = std::str::from_utf8(&line[..digits]).ok();
    match size.and_then(|size| u64::from_str_radix(size, 16).ok()) {
        Some(0) => State::Trailers,
        Some(size) => State::ChunkData(size.saturating_add(LINE_END_BYTES)),
        None => State::Invalid,
    }
}

/// A caller's connection whose bytes pass a [`FramingWatch`] before hyper gets them.
pub(crate) struct WatchedStream {
    inner: HyperStream<TcpStream>,
    watch: Rc<RefCell<FramingWatch>>,
    scratch: Scratch,
}

impl WatchedStream {
    /// Wraps a connection.
    pub(crate) fn new(
        stream: TcpStream,
        watch: Rc<RefCell<FramingWatch>>,
        scratch: Scratch,
    ) -> Self {
        Self { inner: HyperStream::new_plain(stream), watch, scratch }
    }
}

impl Read for WatchedStream {
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
        self.watch.borrow_mut().push(read.filled());
        buf.put_slice(read.filled());
        Poll::Ready(Ok(()))
    }
}

impl Write for WatchedStream {
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
