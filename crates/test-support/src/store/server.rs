//! HTTP server of the stand-in.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::net::{TcpListener, TcpSocket, TcpStream};
use cyper_core::HyperStream;
use futures::channel::{mpsc, oneshot};
use futures::future::{AbortHandle, Abortable, Either, select};
use futures::{StreamExt, stream};
use http::{Method, Response, StatusCode};
use http_body::Frame;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, Limited, StreamBody};
use hyper::body::Incoming;
use hyper::service::service_fn;
use serde_json::Value;

use super::faults::{CallFault, FakeStoreHandle, Outage, Shared, Watch};
use super::state::{KeyRange, Refusal};
use super::wire::{self, Request};

pub(super) type Control = (Outage, oneshot::Sender<()>);
type Body = UnsyncBoxBody<Bytes, Infallible>;

/// Largest request that the original accepts by default.
const MAX_REQUEST_BYTES: usize = 3 * 512 * 1024;
/// How often leases are checked.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// How often a held call checks whether it is released.
const HOLD_CHECK_INTERVAL: Duration = Duration::from_millis(2);
const BACKLOG: i32 = 256;

/// The call gets no answer; the connection is closed.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("the connection is closed by a fault")]
struct Closed;

/// Holds the port while no listener does, so that nothing else gets it during an outage.
pub(super) struct PortReservation {
    _socket: TcpSocket,
    pub(super) address: SocketAddr,
}

impl PortReservation {
    pub(super) async fn new() -> io::Result<Self> {
        let socket = TcpSocket::new_v4().await?;
        socket.set_reuseaddr(true)?;
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let address = socket.local_addr()?;
        Ok(Self { _socket: socket, address })
    }

    pub(super) async fn listen(&self) -> io::Result<TcpListener> {
        let socket = TcpSocket::new_v4().await?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.address).await?;
        socket.listen(BACKLOG).await
    }
}

/// Accepts connections and follows the outage control until the handles are gone.
pub(super) async fn run(
    handle: FakeStoreHandle,
    port: PortReservation,
    listener: TcpListener,
    mut control: mpsc::UnboundedReceiver<Control>,
) {
    let ticker = compio::runtime::spawn(expire_leases(handle.clone()));
    let mut listener = Some(listener);
    loop {
        let accepted = match &listener {
            Some(listener) => accept_or_control(listener, &mut control).await,
            None => Either::Right(control.next().await),
        };
        match accepted {
            Either::Left(Ok(stream)) => serve_unless_closing(&handle, stream),
            Either::Left(Err(_)) => {}
            Either::Right(None) => break,
            Either::Right(Some((outage, done))) => {
                listener = apply_outage(&handle, &port, listener, outage).await;
                // The one who asked may have gone.
                let _ = done.send(());
            }
        }
    }
    drop(ticker);
}

async fn accept_or_control(
    listener: &TcpListener,
    control: &mut mpsc::UnboundedReceiver<Control>,
) -> Either<io::Result<TcpStream>, Option<Control>> {
    let accept = std::pin::pin!(listener.accept());
    match select(control.next(), accept).await {
        Either::Left((control, _)) => Either::Right(control),
        Either::Right((accepted, _)) => Either::Left(accepted.map(|(stream, _)| stream)),
    }
}

async fn apply_outage(
    handle: &FakeStoreHandle,
    port: &PortReservation,
    listener: Option<TcpListener>,
    outage: Outage,
) -> Option<TcpListener> {
    {
        let mut shared = handle.lock();
        shared.outage = outage;
        if outage != Outage::None {
            shared.abort_connections();
        }
    }
    match (outage, listener) {
        (Outage::Refuse, Some(listener)) => {
            // An error at close leaves the socket closed as well.
            let _ = listener.close().await;
            None
        }
        (Outage::Refuse, None) => None,
        (_, Some(listener)) => Some(listener),
        (_, None) => port.listen().await.ok(),
    }
}

async fn expire_leases(handle: FakeStoreHandle) {
    loop {
        compio::time::sleep(LEASE_CHECK_INTERVAL).await;
        handle.lock().expire_leases();
    }
}

fn serve_unless_closing(handle: &FakeStoreHandle, stream: TcpStream) {
    let mut shared = handle.lock();
    if shared.outage == Outage::Close {
        return;
    }
    let (abort, registration) = AbortHandle::new_pair();
    shared.add_connection(abort);
    let connection = serve_connection(handle.clone(), stream);
    compio::runtime::spawn(async move {
        // The connection ends when its client leaves or an outage aborts it.
        let _ = Abortable::new(connection, registration).await;
    })
    .detach();
}

async fn serve_connection(handle: FakeStoreHandle, stream: TcpStream) {
    let service = service_fn(move |request| serve(handle.clone(), request));
    // Errors of a connection are the client's to report.
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(HyperStream::new_plain(stream), service)
        .await;
}

async fn serve(
    handle: FakeStoreHandle,
    request: http::Request<Incoming>,
) -> Result<Response<Body>, Closed> {
    let (parts, body) = request.into_parts();
    let body = Limited::new(body, MAX_REQUEST_BYTES).collect().await;
    let decoded = match (parts.method, body) {
        (Method::POST, Ok(body)) => Request::decode(parts.uri.path(), &body.to_bytes()),
        (Method::POST, Err(_)) => {
            Err(Refusal { code: 3, message: "etcdserver: request is too large".into() })
        }
        _ => Err(Refusal { code: 12, message: "only POST is supported".into() }),
    };
    let call = match decoded {
        Ok(call) => call,
        Err(refusal) => return Ok(refusal_reply(&refusal)),
    };
    // A task of its own, so that a delayed call takes effect even if its client has gone.
    let (tx, rx) = oneshot::channel();
    compio::runtime::spawn(async move {
        let _ = tx.send(run_call(handle, call).await);
    })
    .detach();
    rx.await.unwrap_or(Err(Closed))
}

async fn run_call(handle: FakeStoreHandle, call: Request) -> Result<Response<Body>, Closed> {
    let (delay_before, fault) = {
        let mut shared = handle.lock();
        count(&mut shared, &call);
        (shared.delay_before, shared.next_call_fault())
    };
    match fault {
        Some(CallFault::Drop) => return Err(Closed),
        Some(CallFault::Fail { code, message }) => {
            return Ok(refusal_reply(&Refusal { code, message }));
        }
        _ => {}
    }
    sleep(delay_before).await;
    let was_held = hold(&handle, fault == Some(CallFault::Hold)).await;
    let (reply, is_lost, delay_after) = {
        let mut shared = handle.lock();
        shared.expire_leases();
        let first_event = shared.state.events().len();
        let reply = apply(&handle, &mut shared, call);
        shared.held_calls -= usize::from(was_held);
        let is_lost = shared.is_answer_lost(first_event);
        shared.notify();
        (reply, is_lost, shared.delay_after)
    };
    sleep(delay_after).await;
    match (is_lost, fault) {
        (true, _) | (_, Some(CallFault::LoseAnswer)) => Err(Closed),
        (false, Some(CallFault::Garble(body))) => Ok(response(StatusCode::OK, full(body))),
        (false, _) => Ok(reply),
    }
}

/// Waits until held calls are released, if this call is held. Returns whether it was.
async fn hold(handle: &FakeStoreHandle, is_held_by_itself: bool) -> bool {
    let releases = {
        let mut shared = handle.lock();
        if !shared.holds_calls && !is_held_by_itself {
            return false;
        }
        shared.held_calls += 1;
        shared.releases
    };
    while handle.lock().releases == releases {
        compio::time::sleep(HOLD_CHECK_INTERVAL).await;
    }
    true
}

async fn sleep(delay: Duration) {
    if !delay.is_zero() {
        compio::time::sleep(delay).await;
    }
}

fn count(shared: &mut Shared, call: &Request) {
    match call {
        Request::Watch { .. } => shared.counters.watches += 1,
        _ if call.is_write() => shared.counters.writes += 1,
        _ => shared.counters.reads += 1,
    }
}

fn apply(handle: &FakeStoreHandle, shared: &mut Shared, call: Request) -> Response<Body> {
    match call {
        Request::Range(range) => {
            let state = shared.read_state();
            json_reply(&wire::range_reply(state.revision(), &state.range(&range)))
        }
        Request::Txn { compares, then, otherwise } => {
            match shared.state.txn(&compares, &then, &otherwise) {
                Ok((succeeded, replies)) => {
                    json_reply(&wire::txn_reply(shared.state.revision(), succeeded, &replies))
                }
                Err(refusal) => refusal_reply(&refusal),
            }
        }
        Request::LeaseGrant { ttl_secs } => {
            let id = shared.state.grant(Duration::from_secs(ttl_secs), Instant::now());
            lease_reply(shared, id, ttl_secs, false)
        }
        Request::LeaseKeepAlive { lease } => {
            let ttl = shared.state.keep_alive(lease, Instant::now());
            lease_reply(shared, lease, ttl.as_secs(), true)
        }
        Request::Watch { range, start_revision } => {
            open_watch(handle, shared, range, start_revision)
        }
    }
}

fn lease_reply(shared: &Shared, id: i64, ttl_secs: u64, is_streamed: bool) -> Response<Body> {
    let mut reply = serde_json::json!({
        "header": wire::header(shared.state.revision()),
        "ID": id.to_string(),
    });
    if ttl_secs > 0 {
        reply["TTL"] = ttl_secs.to_string().into();
    }
    if is_streamed {
        reply = serde_json::json!({ "result": reply });
    }
    json_reply(&reply)
}

/// Counts an open watch for as long as its reply is streamed.
struct OpenWatch(FakeStoreHandle);

impl Drop for OpenWatch {
    fn drop(&mut self) {
        self.0.lock().counters.open_watches -= 1;
    }
}

fn open_watch(
    handle: &FakeStoreHandle,
    shared: &mut Shared,
    range: KeyRange,
    start_revision: i64,
) -> Response<Body> {
    let counters = &mut shared.counters;
    counters.open_watches += 1;
    counters.max_open_watches = counters.max_open_watches.max(counters.open_watches);
    let guard = Arc::new(OpenWatch(handle.clone()));
    let (tx, rx) = mpsc::unbounded();
    let events = shared.state.events();
    let next_event = match start_revision {
        0 => events.len(),
        start => events.partition_point(|event| event.revision < start),
    };
    let created = wire::watch_created(shared.state.revision());
    shared.watches.push(Watch { range, tx, next_event });
    let news = rx.map(move |(revision, events)| {
        let _open = &guard;
        wire::watch_events(revision, &events)
    });
    let lines = stream::iter([created])
        .chain(news)
        .map(|message| Ok(Frame::data(Bytes::from(format!("{message}\n")))));
    response(StatusCode::OK, StreamBody::new(lines).boxed_unsync())
}

fn json_reply(reply: &Value) -> Response<Body> {
    response(StatusCode::OK, full(reply.to_string().into_bytes()))
}

fn refusal_reply(refusal: &Refusal) -> Response<Body> {
    let status = match refusal.code {
        3 | 9 | 11 => StatusCode::BAD_REQUEST,
        5 => StatusCode::NOT_FOUND,
        7 => StatusCode::FORBIDDEN,
        8 => StatusCode::TOO_MANY_REQUESTS,
        12 => StatusCode::NOT_IMPLEMENTED,
        14 => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::INTERNAL_SERVER_ERROR,
    };
    response(status, full(wire::error_reply(refusal).to_string().into_bytes()))
}

fn full(body: Vec<u8>) -> Body {
    Full::new(Bytes::from(body)).boxed_unsync()
}

fn response(status: StatusCode, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(http::header::CONTENT_TYPE, json);
    response
}
