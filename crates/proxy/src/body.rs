//! Bodies towards callers and upstreams.

use std::any::Any;
use std::cell::Cell;
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
pub struct OutBody {
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

impl OutBody {
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

impl Body for OutBody {
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

/// Body of a request to an upstream.
#[derive(Debug)]
pub struct UpstreamBody(Source);

#[derive(Debug)]
enum Source {
    Full(Option<Bytes>),
    Streamed { body: Incoming, caller_failed: Rc<Cell<bool>> },
}

impl UpstreamBody {
    /// Creates a body that is known in full and can be sent again.
    pub fn full(bytes: Bytes) -> Self {
        Self(Source::Full((!bytes.is_empty()).then_some(bytes)))
    }

    /// Creates a body that is passed on from the caller. `caller_failed` is set if the caller
    /// breaks it off, for which the upstream is not to blame.
    pub fn streamed(body: Incoming, caller_failed: Rc<Cell<bool>>) -> Self {
        Self(Source::Streamed { body, caller_failed })
    }
}

impl Body for UpstreamBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match &mut self.0 {
            Source::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Source::Streamed { body, caller_failed } => {
                let polled = Pin::new(body).poll_frame(cx);
                if matches!(polled, Poll::Ready(Some(Err(_)))) {
                    caller_failed.set(true);
                }
                polled
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.0 {
            Source::Full(bytes) => bytes.is_none(),
            Source::Streamed { body, .. } => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.0 {
            Source::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Source::Streamed { body, .. } => body.size_hint(),
        }
    }
}
