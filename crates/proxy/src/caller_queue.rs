//! Frames of a response on their way to the caller's connection.

use std::collections::VecDeque;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures::channel::mpsc;
use http_body::Frame;

use crate::body::BodyAborted;
use crate::body_deadline::BodyDeadline;
use crate::body_memory::{BodyMemory, HeldBytes};
use crate::memory_budget::MemoryUse;

/// Time within which a caller that keeps up takes a frame: a few passes of the event loop. Until
/// then its response is not read ahead, since held frames are copied.
const KEEPING_UP_TIME: Duration = Duration::from_millis(5);

/// Largest and smallest buffer for held data. The buffer of a frame from hyper may be much larger
/// than the frame, so held data is copied into buffers that are counted in full.
const MAX_CHUNK_BYTES: usize = 16 * 1024;
const MIN_CHUNK_BYTES: usize = 4 * 1024;

/// Sends frames to the body of a response.
pub(crate) type FrameTx = mpsc::Sender<Result<Frame<Bytes>, BodyAborted>>;

/// The body of the response was dropped.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerGone;

enum HeldFrame {
    Data { buf: BytesMut, _held: Option<HeldBytes> },
    Other(Frame<Bytes>),
}

/// A frame that was handed to the caller's connection, which has not taken it.
struct Offered {
    since: Instant,
    /// Time by which it must be taken. `None` if there is no limit.
    until: Option<Instant>,
}

/// The frame that the caller's connection takes next, and those held behind it.
pub(crate) struct CallerQueue {
    tx: FrameTx,
    memory: BodyMemory,
    deadline: BodyDeadline,
    offered: Option<Offered>,
    held: VecDeque<HeldFrame>,
    held_bytes: usize,
}

impl CallerQueue {
    /// Creates an empty queue. The deadline determines how long the caller may take no frame.
    pub(crate) fn new(tx: FrameTx, memory: BodyMemory, deadline: BodyDeadline) -> Self {
        Self { tx, memory, deadline, offered: None, held: VecDeque::new(), held_bytes: 0 }
    }

    /// Returns true if the caller's connection has taken all frames.
    pub(crate) fn is_empty(&self) -> bool {
        self.offered.is_none()
    }

    /// Returns the time by which the caller must take the next frame, if there is one and a limit.
    pub(crate) fn stalls_at(&self) -> Option<Instant> {
        self.offered.as_ref()?.until
    }

    /// Returns true if the next frame was not taken in time.
    pub(crate) fn has_stalled(&self, now: Instant) -> bool {
        self.stalls_at().is_some_and(|until| until <= now)
    }

    /// Returns the time from which on the caller counts as slow, if it has not taken all frames.
    pub(crate) fn slow_from(&self) -> Option<Instant> {
        let offered = self.offered.as_ref()?;
        let is_behind = !self.held.is_empty();
        Some(if is_behind { offered.since } else { offered.since + KEEPING_UP_TIME })
    }

    /// Returns the size of the buffers of held frames.
    pub(crate) fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Adds a frame.
    pub(crate) fn push(&mut self, frame: Frame<Bytes>) -> Result<(), CallerGone> {
        if self.is_empty() {
            let frame = frame.map_data(|data| self.memory.count(MemoryUse::Responses, data));
            return self.offer(frame);
        }
        match frame.into_data() {
            Ok(data) => self.hold(&data),
            Err(other) => self.held.push_back(HeldFrame::Other(other)),
        }
        Ok(())
    }

    /// Becomes ready when the caller's connection has taken a frame, and offers the next one.
    /// Pending if there is none.
    pub(crate) fn poll_taken(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), CallerGone>> {
        if self.is_empty() {
            return Poll::Pending;
        }
        if ready!(self.tx.poll_ready(cx)).is_err() {
            return Poll::Ready(Err(CallerGone));
        }
        self.offered = None;
        let Some(next) = self.held.pop_front() else { return Poll::Ready(Ok(())) };
        let frame = match next {
            HeldFrame::Data { buf, _held: held } => {
                self.held_bytes -= buf.capacity();
                let data = buf.freeze();
                Frame::data(match held {
                    Some(held) => held.attach(data),
                    None => data,
                })
            }
            HeldFrame::Other(frame) => frame,
        };
        Poll::Ready(self.offer(frame))
    }

    /// Drops what is held, and ends the body so that the caller can tell that it is incomplete.
    pub(crate) async fn abort(mut self) {
        self.held.clear();
        // Fails if the caller has disconnected, who then needs no notice.
        let _ = futures::SinkExt::send(&mut self.tx, Err(BodyAborted)).await;
    }

    fn offer(&mut self, frame: Frame<Bytes>) -> Result<(), CallerGone> {
        let since = Instant::now();
        let until = self.deadline.caller_wait().map(|wait| since + wait);
        self.offered = Some(Offered { since, until });
        self.tx.try_send(Ok(frame)).map_err(|_| CallerGone)
    }

    fn hold(&mut self, mut data: &[u8]) {
        while !data.is_empty() {
            if let Some(HeldFrame::Data { buf, .. }) = self.held.back_mut() {
                let room = (buf.capacity() - buf.len()).min(data.len());
                buf.extend_from_slice(&data[..room]);
                data = &data[room..];
            }
            if !data.is_empty() {
                let size = data.len().clamp(MIN_CHUNK_BYTES, MAX_CHUNK_BYTES);
                let buf = BytesMut::with_capacity(size);
                self.held_bytes += buf.capacity();
                let held = self.memory.hold(MemoryUse::Responses, buf.capacity());
                self.held.push_back(HeldFrame::Data { buf, _held: held });
            }
        }
    }
}
