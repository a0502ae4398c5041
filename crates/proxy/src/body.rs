//! Bodies towards callers and upstreams.

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
use hyper::body::Incoming;

/// The body could not be completed. hyper closes the connection without ending the body, so that
/// the receiver can tell that it is not whole.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the body could not be completed")]
pub struct BodyAborted;

/// Body of an answer to a caller.
pub struct ResponseBody {
    inner: Inner,
    /// What is kept until the body was sent, such as the request's place.
    held: Vec<Box<dyn Any>>,
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
    /// Creates a body that is known in full.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::new(Inner::Full((!bytes.is_empty()).then_some(bytes)))
    }

    /// Creates a body whose frames come from a relay. Dropping the body drops `alive`, which
    /// tells the relay that the caller left.
    pub(crate) fn relayed(
        frames: mpsc::Receiver<Result<Frame<Bytes>, BodyAborted>>,
        size: SizeHint,
        alive: oneshot::Sender<()>,
    ) -> Self {
        Self::new(Inner::Relayed { frames, size, _alive: alive })
    }

    fn new(inner: Inner) -> Self {
        Self { inner, held: Vec::new() }
    }

    /// Keeps a value until the body is dropped.
    pub(crate) fn hold(&mut self, value: Box<dyn Any>) {
        self.held.push(value);
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

/// State of a request body that is passed on from the caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum UploadState {
    /// The upstream decides the pace, or the body is complete.
    #[default]
    Flowing,
    /// The next bytes have to come from the caller.
    WaitingForCaller,
    /// The caller broke the body off.
    Failed,
}

impl UploadState {
    /// Returns true if the caller is the reason that the exchange does not go on.
    pub(crate) fn is_blocked_by_caller(self) -> bool {
        self != Self::Flowing
    }
}

/// A request body of a caller that no upstream has taken a byte of.
pub(crate) type UnreadBody = Rc<RefCell<Option<Incoming>>>;

/// Body of a request to an upstream.
#[derive(Debug)]
pub struct RequestBody(Source);

#[derive(Debug)]
enum Source {
    Full(Option<Bytes>),
    Streamed { body: Option<Incoming>, upload: Rc<Cell<UploadState>>, unread: UnreadBody },
}

impl RequestBody {
    /// Creates a body that is known in full and can be sent again.
    pub fn full(bytes: Bytes) -> Self {
        Self(Source::Full((!bytes.is_empty()).then_some(bytes)))
    }

    /// Creates a body that is passed on from the caller, or returns `None` if it was already taken.
    /// It goes back to `unread` when it is dropped before its first byte was asked for, so that
    /// another upstream can get it. `upload` tells whether the caller holds it up or broke it off,
    /// for which the upstream is not to blame.
    pub(crate) fn streamed(unread: &UnreadBody, upload: Rc<Cell<UploadState>>) -> Option<Self> {
        let body = Some(unread.borrow_mut().take()?);
        Some(Self(Source::Streamed { body, upload, unread: Rc::clone(unread) }))
    }

    /// State of the body, shared with the one that sends it.
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
                // From now on the body cannot go back.
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
