//! A caller's request in a form that can be sent to upstreams, more than once if its body allows.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, Request, Uri, header};
use hyper::body::Body;

use crate::RequestBody;
use crate::body::{CallerBody, UnreadBody, UploadState};

enum Payload {
    Replayable(Bytes),
    Streamed(UnreadBody),
}

/// A request to upstreams, from which the request of each attempt is built.
pub(crate) struct UpstreamRequest {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    payload: Payload,
    upload: Rc<Cell<UploadState>>,
}

impl UpstreamRequest {
    /// Creates a request whose `headers` contain only what is forwarded. Buffers a body of up to
    /// 64 KiB.
    ///
    /// # Errors
    ///
    /// Fails if the caller does not complete a body that is buffered.
    pub(crate) async fn new(
        method: Method,
        uri: Uri,
        headers: HeaderMap,
        body: Option<CallerBody>,
    ) -> Result<Self, IncompleteBody> {
        let Some(body) = body else {
            let payload = Payload::Replayable(Bytes::new());
            return Ok(Self { method, uri, headers, payload, upload: Rc::default() });
        };
        let payload = if body.is_upload() {
            Payload::Streamed(Rc::new(RefCell::new(Some(body))))
        } else {
            Payload::Replayable(body.collect().await.ok_or(IncompleteBody)?)
        };
        Ok(Self { method, uri, headers, payload, upload: Rc::default() })
    }

    /// Returns true if the body is buffered or no byte of it has been read yet.
    pub(crate) fn can_send(&self) -> bool {
        match &self.payload {
            Payload::Replayable(_) => true,
            Payload::Streamed(unread) => unread.borrow().is_some(),
        }
    }

    /// Returns true if the caller aborted the request body.
    pub(crate) fn has_upload_failed(&self) -> bool {
        self.upload.get() == UploadState::Failed
    }

    /// Returns the method of the request.
    pub(crate) fn method(&self) -> &Method {
        &self.method
    }

    /// Returns the headers of the request.
    pub(crate) fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    /// Builds the request for one attempt, or returns `None` if the body was already forwarded.
    pub(crate) fn build(&mut self) -> Option<Request<RequestBody>> {
        let body = match &mut self.payload {
            Payload::Replayable(bytes) => RequestBody::full(bytes.clone()),
            Payload::Streamed(unread) => RequestBody::streamed(unread, Rc::clone(&self.upload))?,
        };
        let has_length = body.size_hint().exact().is_some();
        let mut req = Request::new(body);
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        *req.headers_mut() = self.headers.clone();
        if !has_length {
            // Without this header hyper sends a GET or HEAD request without its body.
            let chunked = HeaderValue::from_static("chunked");
            req.headers_mut().insert(header::TRANSFER_ENCODING, chunked);
        }
        Some(req)
    }

    /// Builds a request for the part of the response that the headers in `range` select.
    pub(crate) fn build_range_request(&self, range: &HeaderMap) -> Request<RequestBody> {
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

/// The caller did not complete the request body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IncompleteBody;

/// Returns the size of a request head without its separators.
pub(crate) fn head_bytes(head: &Parts) -> usize {
    let path = head.uri.path_and_query().map_or(0, |path| path.as_str().len());
    let fields = head.headers.iter().map(|(name, value)| name.as_str().len() + value.len());
    path + fields.sum::<usize>()
}
