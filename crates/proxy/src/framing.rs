//! Finds the request heads in the bytes of a caller's connection.
//!
//! A request with both `Content-Length` and `Transfer-Encoding` is rejected, since parsers can
//! disagree about where it ends, which enables request smuggling. hyper removes `Content-Length`
//! from it before the request can be inspected, so the raw head is checked here.
//!
//! Heads behind a request that is in progress are recorded, so that their requests can start early.

use std::collections::VecDeque;

/// Bytes of a line that are kept. Longer than any valid framing header; the content of other lines
/// is not needed.
const MAX_LINE_BYTES: usize = 128;

/// Longest line with the size of a chunk, in bytes, extensions included. hyper reads any number of
/// leading zeros, so a caller that sends them without end would keep the event loop busy.
const MAX_CHUNK_LINE_BYTES: usize = 16 * 1024;

/// Longest head that is recorded, in bytes.
const MAX_RECORDED_BYTES: usize = 4 * 1024;

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

/// A request head that was parsed.
#[derive(Debug)]
pub(crate) struct SeenHead {
    /// True if the head has both `Content-Length` and `Transfer-Encoding`.
    pub(crate) is_ambiguous: bool,
    /// True if the method is a safe one.
    pub(crate) is_safe: bool,
    /// The bytes of the head, if it was recorded and announces no body.
    pub(crate) recorded: Option<Vec<u8>>,
}

/// Incremental parser of the framing of the requests on one connection.
#[derive(Debug, Default)]
pub(crate) struct FramingChecker {
    state: State,
    /// True while a request of the connection is in progress. Only heads behind others are
    /// recorded.
    is_busy: bool,
    is_recording: bool,
    recorded: Vec<u8>,
    is_safe: bool,
    line: Vec<u8>,
    /// Length of the current line so far, including what is not kept of it.
    line_bytes: usize,
    is_line_truncated: bool,
    length: Option<u64>,
    has_encoding: bool,
    /// Heads that were parsed and not taken yet.
    heads: VecDeque<SeenHead>,
}

impl FramingChecker {
    /// Sets whether a request of the connection is in progress.
    pub(crate) fn set_busy(&mut self, is_busy: bool) {
        self.is_busy = is_busy;
    }

    /// Takes the next parsed head.
    pub(crate) fn take_head(&mut self) -> Option<SeenHead> {
        self.heads.pop_front()
    }

    /// Returns true if the next bytes belong to a body.
    pub(crate) fn is_mid_body(&self) -> bool {
        !matches!(self.state, State::Start | State::Head)
    }

    /// Returns true if the first byte of a request has arrived and its last one has not.
    pub(crate) fn is_mid_message(&self) -> bool {
        self.state != State::Start || !self.line.is_empty()
    }

    /// Returns true if the first byte of a request head has arrived and its last one has not.
    pub(crate) fn is_mid_head(&self) -> bool {
        self.state == State::Head || (self.state == State::Start && !self.line.is_empty())
    }

    /// Returns true if the line with the size of a chunk is too long.
    pub(crate) fn is_chunk_line_too_long(&self) -> bool {
        self.state == State::ChunkSize && self.line_bytes > MAX_CHUNK_LINE_BYTES
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
        if self.state == State::Start && self.line.is_empty() {
            self.is_recording = self.is_busy || !self.heads.is_empty();
            self.recorded.clear();
        }
        let end = bytes.iter().position(|&b| b == b'\n');
        let part = &bytes[..end.unwrap_or(bytes.len())];
        if self.is_recording && matches!(self.state, State::Start | State::Head) {
            self.record(&bytes[..end.map_or(bytes.len(), |end| end + 1)]);
        }
        self.line_bytes = self.line_bytes.saturating_add(part.len());
        let room = MAX_LINE_BYTES.saturating_sub(self.line.len());
        self.is_line_truncated |= part.len() > room;
        self.line.extend_from_slice(&part[..part.len().min(room)]);
        let Some(end) = end else { return &[] };
        let line = std::mem::take(&mut self.line);
        self.on_line(line.strip_suffix(b"\r").unwrap_or(&line));
        self.line = line;
        self.line.clear();
        self.line_bytes = 0;
        self.is_line_truncated = false;
        &bytes[end + 1..]
    }

    fn record(&mut self, bytes: &[u8]) {
        self.is_recording = self.recorded.len() + bytes.len() <= MAX_RECORDED_BYTES;
        self.recorded.extend_from_slice(if self.is_recording { bytes } else { &[] });
    }

    fn on_line(&mut self, line: &[u8]) {
        match self.state {
            State::Start if !line.is_empty() => {
                self.is_safe = line.starts_with(b"GET ") || line.starts_with(b"HEAD ");
                self.state = State::Head;
            }
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
        let has_body = length.is_some() || has_encoding;
        let recorded = std::mem::take(&mut self.recorded);
        self.heads.push_back(SeenHead {
            is_ambiguous: length.is_some() && has_encoding,
            is_safe: self.is_safe,
            recorded: (self.is_recording && !has_body).then_some(recorded),
        });
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
