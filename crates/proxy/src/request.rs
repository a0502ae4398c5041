//! The caller's request in a form that can be sent to an upstream, several times if need be.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Uri};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};

use crate::RequestBody;
use crate::body::{Untouched, Upload};

/// Request bodies up to this size are held in memory so that they can be sent again.
const REPLAY_LIMIT_BYTES: u64 = 64 * 1024;

enum Payload {
    Replayable(Bytes),
    Once(Untouched),
}

/// A request to be sent to upstreams.
pub(crate) struct Outgoing {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    payload: Payload,
    upload: Rc<Cell<Upload>>,
}

impl Outgoing {
    /// Takes over a request whose headers were already cleaned. Reads a small body into memory.
    ///
    /// # Errors
    ///
    /// Fails if the caller breaks off the body.
    pub(crate) async fn new(
        method: Method,
        uri: Uri,
        headers: HeaderMap,
        body: Incoming,
    ) -> Result<Self, BodyBroken> {
        let small = body.size_hint().upper().is_some_and(|upper| upper <= REPLAY_LIMIT_BYTES);
        let payload = if small {
            let limit = usize::try_from(REPLAY_LIMIT_BYTES).unwrap_or(usize::MAX);
            let collected = Limited::new(body, limit).collect().await.map_err(|_| BodyBroken)?;
            Payload::Replayable(collected.to_bytes())
        } else {
            Payload::Once(Rc::new(RefCell::new(Some(body))))
        };
        Ok(Self { method, uri, headers, payload, upload: Rc::default() })
    }

    /// Returns true if the request can be sent once more.
    pub(crate) fn can_send(&self) -> bool {
        match &self.payload {
            Payload::Replayable(_) => true,
            Payload::Once(untouched) => untouched.borrow().is_some(),
        }
    }

    /// Returns true if the caller broke off the request body.
    pub(crate) fn caller_failed(&self) -> bool {
        self.upload.get() == Upload::Failed
    }

    /// Method of the request.
    pub(crate) fn method(&self) -> &Method {
        &self.method
    }

    /// Headers of the request.
    pub(crate) fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    /// Builds the request for one attempt, or returns `None` if the body was already passed on.
    pub(crate) fn build(&mut self) -> Option<Request<RequestBody>> {
        let body = match &mut self.payload {
            Payload::Replayable(bytes) => RequestBody::full(bytes.clone()),
            Payload::Once(untouched) => RequestBody::streamed(untouched, Rc::clone(&self.upload))?,
        };
        let mut req = Request::new(body);
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        *req.headers_mut() = self.headers.clone();
        Some(req)
    }

    /// Builds a request for a part of an answer, which the headers in `range` name.
    pub(crate) fn build_range(&self, range: &HeaderMap) -> Request<RequestBody> {
        let mut req = Request::new(RequestBody::full(Bytes::new()));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        *req.headers_mut() = self.headers.clone();
        for (name, value) in range {
            req.headers_mut().insert(name, value.clone());
        }
        req
    }
}

/// The caller broke off the request body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyBroken;
