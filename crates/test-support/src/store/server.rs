//! HTTP server of the fake store.

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
use super::state::{KeyRange, StatusError};
use super::wire::{self, Request};

/// Request to change the outage, with a channel that confirms it.
pub(super) type OutageCommand = (Outage, oneshot::Sender<()>);
type Body = UnsyncBoxBody<Bytes, Infallible>;

/// Largest request that etcd accepts by default.
const MAX_REQUEST_BYTES: usize = 3 * 512 * 1024;
/// Interval at which expired leases are removed.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which a held call checks whether it has been released.
const HOLD_CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 256;

/// Error that makes the server close the connection without a response.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("connection closed by an injected fault")]
struct Closed;

/// Keeps the port bound while nothing listens on it, so that no other process gets it during an
/// outage.
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

/// Accepts connections and applies outage commands until all handles are dropped.
pub(super) async fn run(
    handle: FakeStoreHandle,
    port: PortReservation,
    listener: TcpListener,
    mut control: mpsc::UnboundedReceiver<OutageCommand>,
) {
    let lease_expiry = compio::runtime::spawn(expire_leases(handle.clone()));
    let mut listener = Some(listener);
    loop {
        let event = match &listener {
            Some(listener) => accept_or_control(listener, &mut control).await,
            None => Either::Right(control.next().await),
        };
        match event {
            Either::Left(Ok(stream)) => serve_unless_closing(&handle, stream),
            Either::Left(Err(_)) => {}
            Either::Right(None) => break,
            Either::Right(Some((outage, done))) => {
                listener = apply_outage(&handle, &port, listener, outage).await;
                // An error means that the caller no longer waits.
                let _ = done.send(());
            }
        }
    }
    drop(lease_expiry);
}

async fn accept_or_control(
    listener: &TcpListener,
    control: &mut mpsc::UnboundedReceiver<OutageCommand>,
) -> Either<io::Result<TcpStream>, Option<OutageCommand>> {
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
            // The socket is closed even if this returns an error.
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
        // The connection ends when the client disconnects or an outage aborts it.
        let _ = Abortable::new(connection, registration).await;
    })
    .detach();
}

async fn serve_connection(handle: FakeStoreHandle, stream: TcpStream) {
    let service = service_fn(move |request| serve(handle.clone(), request));
    // Connection errors are visible to the client, so they are not reported here.
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
            Err(StatusError { code: 3, message: "etcdserver: request is too large".into() })
        }
        _ => Err(StatusError { code: 12, message: "only POST is supported".into() }),
    };
    let call = match decoded {
        Ok(call) => call,
        Err(error) => return Ok(error_response(&error)),
    };
    // Runs in a separate task, so that a delayed call takes effect even if its client disconnects.
    let (tx, rx) = oneshot::channel();
    compio::runtime::spawn(async move {
        let _ = tx.send(execute_call(handle, call).await);
    })
    .detach();
    rx.await.unwrap_or(Err(Closed))
}

async fn execute_call(handle: FakeStoreHandle, call: Request) -> Result<Response<Body>, Closed> {
    let (delay_before, fault) = {
        let mut shared = handle.lock();
        count(&mut shared, &call);
        (shared.delay_before, shared.next_call_fault())
    };
    match fault {
        Some(CallFault::Drop) => return Err(Closed),
        Some(CallFault::Fail { code, message }) => {
            return Ok(error_response(&StatusError { code, message }));
        }
        _ => {}
    }
    sleep(delay_before).await;
    let was_held = hold(&handle, fault == Some(CallFault::Hold)).await;
    let (result, is_dropped, delay_after) = {
        let mut shared = handle.lock();
        shared.expire_leases();
        let first_event = shared.state.events().len();
        let result = apply(&handle, &mut shared, call);
        shared.held_calls -= usize::from(was_held);
        let is_dropped = shared.is_response_dropped(first_event);
        shared.notify();
        (result, is_dropped, shared.delay_after)
    };
    sleep(delay_after).await;
    match (is_dropped, fault) {
        (true, _) | (_, Some(CallFault::DropResponse)) => Err(Closed),
        (false, Some(CallFault::OverrideResponse(body))) => {
            Ok(response(StatusCode::OK, full(body)))
        }
        (false, _) => Ok(result),
    }
}

/// Waits until held calls are released, if all calls or this one are held. Returns whether it did.
async fn hold(handle: &FakeStoreHandle, has_hold_fault: bool) -> bool {
    let releases = {
        let mut shared = handle.lock();
        if !shared.holds_calls && !has_hold_fault {
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
            json_response(&wire::range_response(state.revision(), &state.range(&range)))
        }
        Request::Txn { compares, then, otherwise } => {
            match shared.state.txn(&compares, &then, &otherwise) {
                Ok((succeeded, responses)) => json_response(&wire::txn_response(
                    shared.state.revision(),
                    succeeded,
                    &responses,
                )),
                Err(error) => error_response(&error),
            }
        }
        Request::LeaseGrant { ttl_secs } => {
            let id = shared.state.grant(Duration::from_secs(ttl_secs), Instant::now());
            lease_response(shared, id, ttl_secs, false)
        }
        Request::LeaseKeepAlive { lease } => {
            let ttl = shared.state.keep_alive(lease, Instant::now());
            lease_response(shared, lease, ttl.as_secs(), true)
        }
        Request::Watch { range, start_revision } => {
            open_watch(handle, shared, range, start_revision)
        }
    }
}

fn lease_response(shared: &Shared, id: i64, ttl_secs: u64, is_streamed: bool) -> Response<Body> {
    let mut body = serde_json::json!({
        "header": wire::header(shared.state.revision()),
        "ID": id.to_string(),
    });
    if ttl_secs > 0 {
        body["TTL"] = ttl_secs.to_string().into();
    }
    if is_streamed {
        body = serde_json::json!({ "result": body });
    }
    json_response(&body)
}

/// Counts a watch as open while its response is streamed.
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
    let open_watch = Arc::new(OpenWatch(handle.clone()));
    let (tx, rx) = mpsc::unbounded();
    let events = shared.state.events();
    let next_event = match start_revision {
        0 => events.len(),
        start => events.partition_point(|event| event.revision < start),
    };
    let created = wire::watch_created(shared.state.revision());
    shared.watches.push(Watch { range, tx, next_event });
    let updates = rx.map(move |(revision, events)| {
        let _open = &open_watch;
        wire::watch_events(revision, &events)
    });
    let lines = stream::iter([created])
        .chain(updates)
        .map(|message| Ok(Frame::data(Bytes::from(format!("{message}\n")))));
    response(StatusCode::OK, StreamBody::new(lines).boxed_unsync())
}

fn json_response(body: &Value) -> Response<Body> {
    response(StatusCode::OK, full(body.to_string().into_bytes()))
}

fn error_response(error: &StatusError) -> Response<Body> {
    let status = match error.code {
        3 | 9 | 11 => StatusCode::BAD_REQUEST,
        5 => StatusCode::NOT_FOUND,
        7 => StatusCode::FORBIDDEN,
        8 => StatusCode::TOO_MANY_REQUESTS,
        12 => StatusCode::NOT_IMPLEMENTED,
        14 => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::INTERNAL_SERVER_ERROR,
    };
    response(status, full(wire::error_response(error).to_string().into_bytes()))
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
