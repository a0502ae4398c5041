//! Bodies of responses to callers and of requests to upstreams.

use std::any::Any;
use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use derive_more::{Display, Error};
use futures::Stream;
use futures::channel::{mpsc, oneshot};
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use crate::body_memory::{BodyMemory, NoMemory, UploadGuard};
use crate::memory_budget::MemoryUse;

/// The body could not be completed. hyper closes the connection without ending the body, so that
/// the receiver can tell that it is truncated.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("response body aborted before its end")]
pub struct BodyAborted;

/// Body of a response to a caller.
pub struct ResponseBody {
    inner: Inner,
    /// Guards that are dropped with the body, such as the admission of the request.
    guards: Vec<Box<dyn Any>>,
}

enum Inner {
    Full(Option<Bytes>),
    Relayed {
        frames: mpsc::Receiver<Result<Frame<Bytes>, BodyAborted>>,
        size: SizeHint,
        _alive: oneshot::Sender<()>,
    },
}

impl ResponseBody {
    /// Creates a body from bytes in memory.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::new(Inner::Full((!bytes.is_empty()).then_some(bytes)))
    }

    /// Creates a body whose frames come from a relay task. Dropping the body drops `alive`, which
    /// notifies the task that the caller disconnected.
    pub(crate) fn relayed(
        frames: mpsc::Receiver<Result<Frame<Bytes>, BodyAborted>>,
        size: SizeHint,
        alive: oneshot::Sender<()>,
    ) -> Self {
        Self::new(Inner::Relayed { frames, size, _alive: alive })
    }

    fn new(inner: Inner) -> Self {
        Self { inner, guards: Vec::new() }
    }

    /// Holds `value` until the body is dropped.
    pub(crate) fn hold(&mut self, value: Box<dyn Any>) {
        self.guards.push(value);
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        match &mut self.inner {
            Inner::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Inner::Relayed { frames, .. } => Pin::new(frames).poll_next(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.inner, Inner::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.inner {
            Inner::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Inner::Relayed { size, .. } => *size,
        }
    }
}

/// State of a request body that is streamed from the caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum UploadState {
    /// The upstream limits the rate, or the body is complete.
    #[default]
    Flowing,
    /// The next bytes have not arrived from the caller.
    WaitingForCaller,
    /// The caller aborted the body.
    Failed,
}

impl UploadState {
    /// Returns true if the caller, not the upstream, blocks the exchange.
    pub(crate) fn is_blocked_by_caller(self) -> bool {
        self != Self::Flowing
    }
}

/// Largest request body that is buffered, so that its request can be sent again.
pub(crate) const REPLAY_LIMIT_BYTES: u64 = 64 * 1024;

/// Body of a request that its caller sends.
#[derive(derive_more::Debug)]
#[debug("CallerBody({incoming:?})")]
pub(crate) struct CallerBody {
    incoming: Incoming,
    memory: BodyMemory,
    /// Set if the body is streamed.
    upload: Option<UploadGuard>,
}

impl CallerBody {
    /// Counts the body as an upload if it is too large to be buffered or of unknown length.
    ///
    /// # Errors
    ///
    /// Returns the body if the memory budget has no room for it.
    pub(crate) fn admit(
        body: Option<Incoming>,
        memory: &BodyMemory,
    ) -> Result<Option<Self>, Incoming> {
        let Some(incoming) = body else { return Ok(None) };
        let is_buffered = incoming.size_hint().upper().is_some_and(|it| it <= REPLAY_LIMIT_BYTES);
        let upload = if is_buffered {
            None
        } else {
            match memory.start_upload() {
                Ok(upload) => Some(upload),
                Err(NoMemory) => return Err(incoming),
            }
        };
        Ok(Some(Self { incoming, memory: memory.clone(), upload }))
    }

    /// Returns true if the body is streamed to an upstream.
    pub(crate) fn is_upload(&self) -> bool {
        self.upload.is_some()
    }

    /// Returns the body that has not been read.
    pub(crate) fn into_incoming(self) -> Incoming {
        self.incoming
    }

    /// Reads a body that is buffered. It counts as held until its last clone is dropped.
    pub(crate) async fn collect(self) -> Option<Bytes> {
        let limit = usize::try_from(REPLAY_LIMIT_BYTES).unwrap_or(usize::MAX);
        let collected = Limited::new(self.incoming, limit).collect().await.ok()?;
        Some(self.memory.count(MemoryUse::Requests, collected.to_bytes()))
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(cx);
        let count = |data| self.memory.count(MemoryUse::Requests, data);
        polled.map_ok(|frame| frame.map_data(count))
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

/// A caller's request body of which no byte has been read for an upstream.
pub(crate) type UnreadBody = Rc<RefCell<Option<CallerBody>>>;

/// Body of a request to an upstream.
#[derive(Debug)]
pub struct RequestBody(Source);

#[derive(Debug)]
enum Source {
    Full(Option<Bytes>),
    Streamed { body: Option<CallerBody>, upload: Rc<Cell<UploadState>>, unread: UnreadBody },
}

impl RequestBody {
    /// Creates a body from bytes in memory, with which a request can be retried.
    pub fn full(bytes: Bytes) -> Self {
        Self(Source::Full((!bytes.is_empty()).then_some(bytes)))
    }

    /// Creates a body that is streamed from the caller, or returns `None` if it was already taken.
    /// If it is dropped before it was polled, the caller's body returns to `unread` and can be sent
    /// to another upstream. `upload` indicates whether the caller is delaying or has aborted the
    /// body, which is no evidence against the upstream.
    pub(crate) fn streamed(unread: &UnreadBody, upload: Rc<Cell<UploadState>>) -> Option<Self> {
        let body = Some(unread.borrow_mut().take()?);
        Some(Self(Source::Streamed { body, upload, unread: Rc::clone(unread) }))
    }

    /// Returns true if the body is streamed from the caller.
    pub(crate) fn is_upload(&self) -> bool {
        matches!(self.0, Source::Streamed { .. })
    }

    /// Returns the state of the body, which is updated while it is sent.
    pub(crate) fn upload(&self) -> Rc<Cell<UploadState>> {
        match &self.0 {
            Source::Full(_) => Rc::default(),
            Source::Streamed { upload, .. } => Rc::clone(upload),
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match &mut self.0 {
            Source::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Source::Streamed { body, upload, unread } => {
                // From now on the body cannot be returned.
                *unread = UnreadBody::default();
                let Some(body) = body else { return Poll::Ready(None) };
                let polled = Pin::new(body).poll_frame(cx);
                upload.set(match &polled {
                    Poll::Ready(Some(Err(_))) => UploadState::Failed,
                    Poll::Ready(_) => UploadState::Flowing,
                    Poll::Pending => UploadState::WaitingForCaller,
                });
                polled
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.0 {
            Source::Full(bytes) => bytes.is_none(),
            Source::Streamed { body, .. } => body.as_ref().is_none_or(Body::is_end_stream),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.0 {
            Source::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Source::Streamed { body, .. } => {
                body.as_ref().map_or_else(SizeHint::default, Body::size_hint)
            }
        }
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        if let Source::Streamed { body, unread, .. } = &mut self.0 {
            *unread.borrow_mut() = body.take();
        }
    }
}
