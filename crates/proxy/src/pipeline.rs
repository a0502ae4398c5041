//! Requests that a caller sends before its earlier ones on the same connection were answered.
//!
//! hyper reads the next request after it has written a response. A request behind a slow one would
//! wait for it, so one that may be executed more than once is started here as soon as its head has
//! arrived. hyper still parses all requests itself and writes the responses in order: when it comes
//! to a request that was started, the response in progress is used, provided that both have read the
//! same head. No framing is decided here, and a request that hyper never reads has no effect beyond
//! an idempotent one at an upstream.
//!
//! A request does not start ahead of one that has an unsafe method or must not be executed twice,
//! since its caller may expect it to see the effect.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;

use compio::runtime::JoinHandle;
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, Uri, Version, header};

use crate::framing::SeenHead;
use crate::{Proxy, ResponseBody};

/// Maximum number of requests of one connection that are started and not yet taken by hyper.
const MAX_STARTED_PER_CONNECTION: usize = 8;

/// Maximum number of these requests on all connections of a listener.
const MAX_STARTED: usize = 256;

/// Maximum number of header fields of a request that is started early.
const MAX_HEADERS: usize = 64;

/// Number of requests that are started early on all connections of a listener.
pub(crate) type StartedCount = Rc<Cell<usize>>;

/// A request that was started before hyper has read it. Dropping it cancels the request.
struct StartedRequest {
    head: Box<Parts>,
    response: JoinHandle<Response<ResponseBody>>,
    _slot: Slot,
}

enum Progress {
    /// Not started. `None` if the request has to wait until hyper reads it.
    Waiting(Option<Box<Parts>>),
    Started(StartedRequest),
}

struct QueuedRequest {
    is_ambiguous: bool,
    is_safe: bool,
    progress: Progress,
}

/// A request that hyper has read, as far as it is known here.
#[derive(Default)]
pub(crate) struct TakenRequest {
    /// True if the framing is ambiguous, or if the head was not seen, so that a request on which
    /// hyper's parser and the one here disagree is rejected.
    pub(crate) is_ambiguous: bool,
    /// The response, if the request was started early.
    pub(crate) response: Option<JoinHandle<Response<ResponseBody>>>,
}

/// Requests of one connection that hyper has not read yet.
pub(crate) struct Pipeline {
    proxy: Rc<Proxy>,
    started: StartedCount,
    queue: VecDeque<QueuedRequest>,
    /// True if requests may start ahead of the one that hyper has read last.
    is_current_safe: bool,
    is_stopping: bool,
}

impl Pipeline {
    /// Creates the pipeline of a connection without requests.
    pub(crate) fn new(proxy: Rc<Proxy>, started: StartedCount) -> Self {
        let queue = VecDeque::new();
        Self { proxy, started, queue, is_current_safe: true, is_stopping: false }
    }

    /// Adds a request whose head has arrived.
    pub(crate) fn push(&mut self, seen: SeenHead) {
        let head = seen.recorded.and_then(|bytes| parse_head(&bytes)).map(Box::new);
        self.queue.push_back(QueuedRequest {
            is_ambiguous: seen.is_ambiguous,
            is_safe: seen.is_safe && !seen.is_ambiguous,
            progress: Progress::Waiting(head),
        });
    }

    /// Returns true if requests are queued.
    pub(crate) fn has_requests(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Returns true if a request is started that hyper has not read yet.
    pub(crate) fn has_started(&self) -> bool {
        self.started_count() > 0
    }

    /// Starts no further requests early.
    pub(crate) fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Takes the next request, which hyper has read with this head.
    pub(crate) fn take(&mut self, head: &Parts) -> TakenRequest {
        let queued = self.queue.pop_front();
        let is_ambiguous = queued.as_ref().is_none_or(|queued| queued.is_ambiguous);
        self.is_current_safe = !is_ambiguous
            && head.version == Version::HTTP_11
            && head.method.is_safe()
            && keeps_connection(&head.headers)
            && self.proxy.is_idempotent(head);
        let Some(queued) = queued else { return TakenRequest { is_ambiguous, response: None } };
        let response = match queued.progress {
            Progress::Started(started) if started.is_same(head) => Some(started.response),
            Progress::Started(_) | Progress::Waiting(_) => None,
        };
        TakenRequest { is_ambiguous, response }
    }

    /// Starts the requests that may run now, in their order and within the limits.
    pub(crate) fn start_ready(&mut self) {
        if self.is_stopping || !self.is_current_safe {
            return;
        }
        let mut free = MAX_STARTED_PER_CONNECTION.saturating_sub(self.started_count());
        for queued in &mut self.queue {
            if free == 0 {
                return;
            }
            if let Progress::Waiting(head) = &mut queued.progress
                && let Some(started) = start(&self.proxy, &self.started, head)
            {
                queued.progress = Progress::Started(started);
                free -= 1;
            }
            if !queued.is_safe || matches!(queued.progress, Progress::Waiting(None)) {
                return;
            }
        }
    }

    fn started_count(&self) -> usize {
        let is_started = |queued: &&QueuedRequest| matches!(queued.progress, Progress::Started(_));
        self.queue.iter().filter(is_started).count()
    }
}

impl StartedRequest {
    fn is_same(&self, head: &Parts) -> bool {
        self.head.method == head.method
            && self.head.uri == head.uri
            && self.head.headers == head.headers
    }
}

/// Starts a request if it may be executed more than once and a slot is free. `head` becomes `None`
/// if the request has to wait for hyper.
fn start(
    proxy: &Rc<Proxy>,
    count: &StartedCount,
    head: &mut Option<Box<Parts>>,
) -> Option<StartedRequest> {
    let parts = head.take_if(|parts| !proxy.is_idempotent(parts));
    if parts.is_some() || head.is_none() {
        return None;
    }
    let slot = Slot::reserve(count)?;
    let head = head.take()?;
    proxy.metrics().pipelined_requests.inc();
    let (proxy, parts) = (Rc::clone(proxy), (*head).clone());
    let response =
        compio::runtime::spawn(async move { proxy.handle(Request::from_parts(parts, None)).await });
    Some(StartedRequest { head, response, _slot: slot })
}

/// Parses a head that announces no body, or returns `None` if its request has to wait for hyper.
fn parse_head(bytes: &[u8]) -> Option<Parts> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut fields);
    let status = parsed.parse(bytes).ok()?;
    if status != httparse::Status::Complete(bytes.len()) || parsed.version != Some(1) {
        return None;
    }
    let (mut head, ()) = Request::new(()).into_parts();
    head.version = Version::HTTP_11;
    head.method = Method::from_bytes(parsed.method?.as_bytes()).ok()?;
    head.uri = Uri::try_from(parsed.path?).ok()?;
    for field in parsed.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        head.headers.append(name, HeaderValue::from_bytes(field.value).ok()?);
    }
    (head.method.is_safe() && keeps_connection(&head.headers)).then_some(head)
}

/// Returns false if headers of a request may change what follows on its connection.
fn keeps_connection(headers: &HeaderMap) -> bool {
    let options = headers.get_all(header::CONNECTION).iter();
    let mut is_kept = options.map(|value| value.as_bytes().eq_ignore_ascii_case(b"keep-alive"));
    is_kept.all(|is_kept| is_kept)
        && !headers.contains_key(header::UPGRADE)
        && !headers.contains_key(header::EXPECT)
}

/// One of the requests that may be started early. Dropping it releases the slot.
struct Slot(StartedCount);

impl Slot {
    fn reserve(count: &StartedCount) -> Option<Self> {
        if count.get() >= MAX_STARTED {
            return None;
        }
        count.set(count.get() + 1);
        Some(Self(Rc::clone(count)))
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
