//! Stand-in for upstreams: HTTP servers whose faults tests control.
//!
//! The path `/bytes/N` answers N bytes with a strong validator and supports range requests; every
//! other path answers a short JSON object that names the upstream and echoes `x-tag`.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, mpsc};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use bytes::Bytes;
use compio::net::{TcpListener, TcpStream};
use cyper_core::{CompioTimer, HyperStream};
use futures::stream::{self, LocalBoxStream};
use futures::{FutureExt, StreamExt};
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;

/// Size of the chunks of a generated body.
const CHUNK_BYTES: u64 = 64 * 1024;

/// Interval at which a stop request is noticed.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Headers of the users' platform, which answers bear if the request has an id.
const REQUEST_ID: &str = "cactustrack-request-id";
const TARGET_INSTANCE: &str = "cactustrack-target-instance";
const SIGNATURE: &str = "cactustrack-backend-signature";

/// How an upstream treats requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Behaviour {
    /// Time that a request takes.
    pub latency: Duration,
    /// Share of requests answered with 500, from 0 to 1, spread evenly.
    pub failure_rate: f64,
    /// True if requests are accepted and never answered.
    pub hang: bool,
    /// True if requests are refused as busy, without being run.
    pub shed: bool,
    /// Breaks the connection after this many bytes of a generated body.
    pub truncate_after: Option<u64>,
    /// Runs the request, then breaks the connection in place of an answer.
    pub abort_after_execution: bool,
    /// Announces a planned stop with each answer.
    pub draining: bool,
    /// Pause between chunks of a generated body.
    pub chunk_delay: Duration,
    /// Answers as if to another request, on the platform's terms.
    pub mismatched: bool,
}

/// Controls one upstream and shows what it did.
#[derive(Debug, Default)]
pub struct UpstreamControl {
    behaviour: Mutex<Behaviour>,
    requests: AtomicU64,
    failures: AtomicU64,
    connections: AtomicU64,
    silent_before: AtomicU64,
    executed: Mutex<Vec<String>>,
}

impl UpstreamControl {
    /// Changes the behaviour from the next request on.
    pub fn set(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut lock(&self.behaviour));
    }

    /// Number of requests received.
    pub fn requests(&self) -> u64 {
        self.requests.load(Ordering::SeqCst)
    }

    /// Number of connections accepted.
    pub fn connections(&self) -> u64 {
        self.connections.load(Ordering::SeqCst)
    }

    /// Makes all connections that are open now silent for good. New ones work.
    pub fn silence_open_connections(&self) {
        self.silent_before.store(self.connections(), Ordering::SeqCst);
    }

    /// Methods, paths and tags of the requests that were run, in order.
    pub fn executed(&self) -> Vec<String> {
        lock(&self.executed).clone()
    }

    fn fails_now(&self, share: f64) -> bool {
        let number = self.failures.fetch_add(1, Ordering::SeqCst) as f64;
        (number + 1.0) * share >= (number * share).floor() + 1.0
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// One running upstream.
#[derive(Debug)]
pub struct Upstream {
    /// Name of the upstream.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its faults and counters.
    pub control: Arc<UpstreamControl>,
}

/// Upstreams that share one loop on a thread of their own. Dropping it stops them.
#[derive(Debug)]
pub struct FakeUpstreams {
    /// The upstreams in the order of their ids.
    pub all: Vec<Upstream>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl FakeUpstreams {
    /// Starts an upstream for each id on a free port.
    ///
    /// # Panics
    ///
    /// Panics if the machine has no free port or thread.
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
            let runtime = compio::runtime::Runtime::new().expect("a runtime for the upstreams");
            runtime.block_on(serve_all(serving, &tx, &stopping));
        });
        let all = controls
            .into_iter()
            .map(|(id, control)| {
                let address = rx.recv().expect("an address for each upstream");
                Upstream { id, address, control }
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
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let _ = addresses.send(listener.local_addr().expect("a bound address"));
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
        async move { answer(req, &id, &control, number).await }.boxed_local()
    });
    let connection = http1::Builder::new()
        .timer(CompioTimer)
        .serve_connection(HyperStream::new_plain(stream), service);
    let _ = connection.await;
}

type Chunk = Result<Frame<Bytes>, Broken>;
type Chunks = StreamBody<LocalBoxStream<'static, Chunk>>;

/// The stand-in breaks the connection on purpose.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error)]
#[display("the connection is broken on purpose")]
pub struct Broken;

async fn answer(
    req: Request<Incoming>,
    id: &str,
    control: &Arc<UpstreamControl>,
    connection: u64,
) -> Result<Response<Chunks>, Broken> {
    control.requests.fetch_add(1, Ordering::SeqCst);
    let behaviour = lock(&control.behaviour).clone();
    let silent = connection < control.silent_before.load(Ordering::SeqCst);
    if silent || behaviour.hang {
        futures::future::pending::<Infallible>().await;
    }
    if behaviour.shed {
        let mut response = short(StatusCode::SERVICE_UNAVAILABLE, "busy");
        response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from_static("1"));
        return Ok(response);
    }
    let (head, body) = req.into_parts();
    let request_id = head.headers.get(REQUEST_ID).cloned();
    let target = head.headers.get(TARGET_INSTANCE);
    if target.is_some_and(|target| target != id) {
        return Ok(short(StatusCode::MISDIRECTED_REQUEST, "another instance"));
    }
    body.collect().await.map_err(|_| Broken)?;
    if !behaviour.latency.is_zero() {
        compio::time::sleep(behaviour.latency).await;
    }
    if behaviour.failure_rate > 0.0 && control.fails_now(behaviour.failure_rate) {
        return Ok(short(StatusCode::INTERNAL_SERVER_ERROR, "failed"));
    }
    let tag = head.headers.get("x-tag").and_then(|value| value.to_str().ok()).unwrap_or_default();
    lock(&control.executed).push(format!("{} {} {tag}", head.method, head.uri.path()));
    if behaviour.abort_after_execution {
        return Err(Broken);
    }
    let mut response = match head.uri.path().strip_prefix("/bytes/").and_then(|n| n.parse().ok()) {
        Some(total) => generated(&head, total, &behaviour),
        None => {
            let path = head.uri.path();
            let text = format!(r#"{{"upstream":"{id}","path":"{path}","tag":"{tag}"}}"#);
            short(StatusCode::OK, &text)
        }
    };
    if let Some(request_id) = request_id {
        let other = HeaderValue::from_static("another-request");
        let headers = response.headers_mut();
        headers.insert(REQUEST_ID, if behaviour.mismatched { other } else { request_id });
        headers.insert(SIGNATURE, HeaderValue::from_static("stand-in"));
    }
    if behaviour.draining {
        let headers = response.headers_mut();
        headers.insert("cactustrack-draining", HeaderValue::from_static("1"));
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

fn short(status: StatusCode, text: &str) -> Response<Chunks> {
    let bytes = Bytes::copy_from_slice(text.as_bytes());
    let length = HeaderValue::from(bytes.len());
    let chunks = stream::once(async move { Ok(Frame::data(bytes)) }).boxed_local();
    let mut response = Response::new(StreamBody::new(chunks));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_LENGTH, length);
    response
}

fn generated(head: &http::request::Parts, total: u64, behaviour: &Behaviour) -> Response<Chunks> {
    let start = range_start(head).filter(|start| *start < total);
    let from = start.unwrap_or(0);
    let cut = behaviour.truncate_after.map_or(u64::MAX, |cut| from.saturating_add(cut));
    let chunks = body_chunks(from, total, cut, behaviour.chunk_delay).boxed_local();
    let mut response = Response::new(StreamBody::new(chunks));
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_LENGTH, HeaderValue::from(total - from));
    headers.insert(header::ETAG, HeaderValue::from_static("\"v1\""));
    headers.insert(header::ACCEPT_RANGES, HeaderValue::from_static("bytes"));
    if start.is_some() {
        let range = format!("bytes {from}-{}/{total}", total - 1);
        headers.insert(header::CONTENT_RANGE, HeaderValue::from_str(&range).expect("ASCII"));
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

/// The byte at an offset of a generated body.
pub fn byte_at(offset: u64) -> u8 {
    // A prime period shows shifted or repeated pieces, which a power of two would hide.
    (offset % 251) as u8
}

fn body_chunks(
    from: u64,
    total: u64,
    cut: u64,
    delay: Duration,
) -> impl futures::Stream<Item = Chunk> {
    stream::unfold(from, move |offset| async move {
        if offset >= cut && offset < total {
            return Some((Err(Broken), total));
        }
        if offset >= total {
            return None;
        }
        if !delay.is_zero() {
            compio::time::sleep(delay).await;
        }
        let end = total.min(offset + CHUNK_BYTES).min(cut.max(offset));
        let bytes: Vec<u8> = (offset..end).map(byte_at).collect();
        Some((Ok(Frame::data(Bytes::from(bytes))), end))
    })
}
