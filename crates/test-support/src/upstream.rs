//! Fake upstreams: HTTP servers with fault injection.
//!
//! The path `/bytes/N` returns N bytes with a strong validator and supports range requests. Every
//! other path returns a short JSON object with the upstream's id, the path and the value of the
//! request header `x-tag`.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, mpsc};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::net::{TcpListener, TcpStream};
use cyper_core::{CompioTimer, HyperStream};
use futures::stream::{self, LocalBoxStream};
use futures::{FutureExt, StreamExt};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;

/// Size of the chunks of a generated body.
const CHUNK_BYTES: u64 = 64 * 1024;

/// Interval at which the servers check for a stop request.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Headers of the users' platform. Responses carry them if the request has a request id.
const REQUEST_ID: &str = "cactustrack-request-id";
const TARGET_INSTANCE: &str = "cactustrack-target-instance";
const SIGNATURE: &str = "cactustrack-backend-signature";
const NOT_EXECUTED: &str = "cactustrack-not-executed";

/// Behaviour of a fake upstream.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Behaviour {
    /// Time that the upstream takes to execute a request.
    pub latency: Duration,
    /// Share of requests that get status 500, from 0 to 1, spread evenly.
    pub failure_rate: f64,
    /// Accepts requests and never responds.
    pub hang: bool,
    /// Rejects requests as busy, without executing them.
    pub shed: bool,
    /// `Retry-After` of the rejections on the platform, where it is optional.
    pub retry_after: Option<&'static str>,
    /// Closes the connection after this many bytes of a generated body.
    pub truncate_after: Option<u64>,
    /// Executes the request, then closes the connection without a response.
    pub abort_after_execution: bool,
    /// Announces a graceful shutdown in each response.
    pub draining: bool,
    /// Delay before each chunk of a generated body.
    pub chunk_delay: Duration,
    /// Responds with the platform's request id of another request.
    pub mismatched: bool,
    /// Keeps the header fields of the requests, see [`UpstreamControl::received`].
    pub records_headers: bool,
}

/// A request as it arrived at a fake upstream.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Time of arrival, before the request is executed or rejected.
    pub at: Instant,
    /// Path of the request.
    pub path: String,
    /// Header fields of the request.
    pub headers: HeaderMap,
}

/// Behaviour and counters of one fake upstream.
#[derive(Debug, Default)]
pub struct UpstreamControl {
    behaviour: Mutex<Behaviour>,
    requests: AtomicU64,
    failures: AtomicU64,
    connections: AtomicU64,
    silent_before: AtomicU64,
    executed: Mutex<Vec<String>>,
    received: Mutex<Vec<ReceivedRequest>>,
}

impl UpstreamControl {
    /// Changes the behaviour from the next request on.
    pub fn set(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut lock(&self.behaviour));
    }

    /// Returns the number of requests received.
    pub fn requests(&self) -> u64 {
        self.requests.load(Ordering::SeqCst)
    }

    /// Returns the number of connections accepted.
    pub fn connections(&self) -> u64 {
        self.connections.load(Ordering::SeqCst)
    }

    /// Permanently stops responding on all connections that are open now. New connections are
    /// served.
    pub fn silence_open_connections(&self) {
        self.silent_before.store(self.connections(), Ordering::SeqCst);
    }

    /// Returns the methods, paths and `x-tag` values of the executed requests, in order.
    pub fn executed(&self) -> Vec<String> {
        lock(&self.executed).clone()
    }

    /// Returns the requests that arrived while [`Behaviour::records_headers`] was set, in order.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        lock(&self.received).clone()
    }

    /// Returns the paths and header fields of [`UpstreamControl::received`].
    pub fn received_headers(&self) -> Vec<(String, HeaderMap)> {
        self.received().into_iter().map(|request| (request.path, request.headers)).collect()
    }

    /// Returns whether the next request fails, so that failures are spread evenly at the rate.
    fn is_next_failure(&self, rate: f64) -> bool {
        let number = self.failures.fetch_add(1, Ordering::SeqCst) as f64;
        (number + 1.0) * rate >= (number * rate).floor() + 1.0
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// One running fake upstream.
#[derive(Debug)]
pub struct FakeUpstream {
    /// Id of the upstream.
    pub id: String,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Its behaviour and counters.
    pub control: Arc<UpstreamControl>,
}

/// Fake upstreams that share one event loop on a thread of their own. Dropping this stops them.
#[derive(Debug)]
pub struct FakeUpstreams {
    /// The upstreams in the order of the ids passed to [`FakeUpstreams::spawn`].
    pub all: Vec<FakeUpstream>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl FakeUpstreams {
    /// Starts a fake upstream for each id on a free port.
    ///
    /// # Panics
    ///
    /// Panics if no port or thread is available.
    pub fn spawn(ids: &[String], behaviour: &Behaviour) -> Self {
        let (tx, rx) = mpsc::channel();
        let stop = Arc::new(AtomicBool::new(false));
        let controls: Vec<(String, Arc<UpstreamControl>)> = ids
            .iter()
            .map(|id| {
                let control = UpstreamControl::default();
                control.set(|current| *current = behaviour.clone());
                (id.clone(), Arc::new(control))
            })
            .collect();
        let serving = controls.clone();
        let stopping = Arc::clone(&stop);
        let thread = thread::spawn(move || {
            let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
            runtime.block_on(serve_all(serving, &tx, &stopping));
        });
        let all = controls
            .into_iter()
            .map(|(id, control)| {
                let address = rx.recv().expect("the thread sends an address for each upstream");
                FakeUpstream { id, address, control }
            })
            .collect();
        Self { all, stop, thread: Some(thread) }
    }
}

impl Drop for FakeUpstreams {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn serve_all(
    upstreams: Vec<(String, Arc<UpstreamControl>)>,
    addresses: &mpsc::Sender<SocketAddr>,
    stop: &AtomicBool,
) {
    for (id, control) in upstreams {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let _ = addresses.send(listener.local_addr().expect("the listener is bound"));
        compio::runtime::spawn(accept(listener, id.into(), control)).detach();
    }
    while !stop.load(Ordering::SeqCst) {
        compio::time::sleep(STOP_POLL_INTERVAL).await;
    }
}

async fn accept(listener: TcpListener, id: Rc<str>, control: Arc<UpstreamControl>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let number = control.connections.fetch_add(1, Ordering::SeqCst);
        let connection = serve(stream, Rc::clone(&id), Arc::clone(&control), number);
        compio::runtime::spawn(connection).detach();
    }
}

async fn serve(stream: TcpStream, id: Rc<str>, control: Arc<UpstreamControl>, number: u64) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |req| {
        let (id, control) = (Rc::clone(&id), Arc::clone(&control));
        async move { respond(req, &id, &control, number).await }.boxed_local()
    });
    let connection = http1::Builder::new()
        .timer(CompioTimer)
        .serve_connection(HyperStream::new_plain(stream), service);
    let _ = connection.await;
}

type Chunk = Result<Frame<Bytes>, InjectedDisconnect>;
type Chunks = StreamBody<LocalBoxStream<'static, Chunk>>;

/// Error that makes the server close the connection.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error)]
#[display("connection closed by an injected fault")]
pub struct InjectedDisconnect;

async fn respond(
    req: Request<Incoming>,
    id: &str,
    control: &Arc<UpstreamControl>,
    connection: u64,
) -> Result<Response<Chunks>, InjectedDisconnect> {
    control.requests.fetch_add(1, Ordering::SeqCst);
    let behaviour = lock(&control.behaviour).clone();
    if behaviour.records_headers {
        let (path, headers) = (req.uri().path().to_owned(), req.headers().clone());
        lock(&control.received).push(ReceivedRequest { at: Instant::now(), path, headers });
    }
    let is_silenced = connection < control.silent_before.load(Ordering::SeqCst);
    if is_silenced || behaviour.hang {
        futures::future::pending::<Infallible>().await;
    }
    if behaviour.shed {
        return Ok(shed_response(&req, &behaviour));
    }
    let (head, body) = req.into_parts();
    let request_id = head.headers.get(REQUEST_ID).cloned();
    let target = head.headers.get(TARGET_INSTANCE);
    if target.is_some_and(|target| target != id) {
        return Ok(short_response(StatusCode::MISDIRECTED_REQUEST, "another instance"));
    }
    body.collect().await.map_err(|_| InjectedDisconnect)?;
    if !behaviour.latency.is_zero() {
        compio::time::sleep(behaviour.latency).await;
    }
    if behaviour.failure_rate > 0.0 && control.is_next_failure(behaviour.failure_rate) {
        return Ok(short_response(StatusCode::INTERNAL_SERVER_ERROR, "failed"));
    }
    let tag = head.headers.get("x-tag").and_then(|value| value.to_str().ok()).unwrap_or_default();
    lock(&control.executed).push(format!("{} {} {tag}", head.method, head.uri.path()));
    if behaviour.abort_after_execution {
        return Err(InjectedDisconnect);
    }
    let mut response = match head.uri.path().strip_prefix("/bytes/").and_then(|n| n.parse().ok()) {
        Some(total) => generated_response(&head, total, &behaviour),
        None => {
            let path = head.uri.path();
            let text = format!(r#"{{"upstream":"{id}","path":"{path}","tag":"{tag}"}}"#);
            short_response(StatusCode::OK, &text)
        }
    };
    if let Some(request_id) = request_id {
        let other_id = HeaderValue::from_static("another-request");
        let headers = response.headers_mut();
        headers.insert(REQUEST_ID, if behaviour.mismatched { other_id } else { request_id });
        headers.insert(SIGNATURE, HeaderValue::from_static("stand-in"));
    }
    if behaviour.draining {
        let headers = response.headers_mut();
        headers.insert("cactustrack-draining", HeaderValue::from_static("1"));
        headers.insert("server-leaving", HeaderValue::from_static("1"));
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

fn shed_response(req: &Request<Incoming>, behaviour: &Behaviour) -> Response<Chunks> {
    let mut response = short_response(StatusCode::SERVICE_UNAVAILABLE, "busy");
    let headers = response.headers_mut();
    let request_id = req.headers().get(REQUEST_ID);
    let retry_after = if request_id.is_some() { behaviour.retry_after } else { Some("1") };
    if let Some(retry_after) = retry_after {
        headers.insert(header::RETRY_AFTER, HeaderValue::from_static(retry_after));
    }
    if let Some(request_id) = request_id {
        headers.insert(REQUEST_ID, request_id.clone());
        headers.insert(NOT_EXECUTED, HeaderValue::from_static("1"));
    }
    response
}

fn short_response(status: StatusCode, text: &str) -> Response<Chunks> {
    let bytes = Bytes::copy_from_slice(text.as_bytes());
    let length = HeaderValue::from(bytes.len());
    let chunks = stream::once(async move { Ok(Frame::data(bytes)) }).boxed_local();
    let mut response = Response::new(StreamBody::new(chunks));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_LENGTH, length);
    response
}

fn generated_response(
    head: &http::request::Parts,
    total: u64,
    behaviour: &Behaviour,
) -> Response<Chunks> {
    let start = range_start(head).filter(|start| *start < total);
    let from = start.unwrap_or(0);
    let truncate_at = behaviour.truncate_after.map_or(u64::MAX, |bytes| from.saturating_add(bytes));
    let chunks = body_chunks(from, total, truncate_at, behaviour.chunk_delay).boxed_local();
    let mut response = Response::new(StreamBody::new(chunks));
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_LENGTH, HeaderValue::from(total - from));
    headers.insert(header::ETAG, HeaderValue::from_static("\"v1\""));
    headers.insert(header::ACCEPT_RANGES, HeaderValue::from_static("bytes"));
    if start.is_some() {
        let range = format!("bytes {from}-{}/{total}", total - 1);
        headers.insert(
            header::CONTENT_RANGE,
            HeaderValue::from_str(&range).expect("the range is ASCII"),
        );
        *response.status_mut() = StatusCode::PARTIAL_CONTENT;
    }
    response
}

fn range_start(head: &http::request::Parts) -> Option<u64> {
    let range = head.headers.get(header::RANGE)?.to_str().ok()?;
    let if_range = head.headers.get(header::IF_RANGE);
    if if_range.is_some_and(|validator| validator != "\"v1\"") {
        return None;
    }
    range.strip_prefix("bytes=")?.split('-').next()?.parse().ok()
}

/// Returns the byte at an offset of a generated body.
pub fn byte_at(offset: u64) -> u8 {
    // A prime period reveals shifted or repeated chunks, which a power of two would hide.
    (offset % 251) as u8
}

fn body_chunks(
    from: u64,
    total: u64,
    truncate_at: u64,
    delay: Duration,
) -> impl futures::Stream<Item = Chunk> {
    stream::unfold(from, move |offset| async move {
        if offset >= truncate_at && offset < total {
            return Some((Err(InjectedDisconnect), total));
        }
        if offset >= total {
            return None;
        }
        if !delay.is_zero() {
            compio::time::sleep(delay).await;
        }
        let end = total.min(offset + CHUNK_BYTES).min(truncate_at.max(offset));
        let bytes: Vec<u8> = (offset..end).map(byte_at).collect();
        Some((Ok(Frame::data(Bytes::from(bytes))), end))
    })
}
