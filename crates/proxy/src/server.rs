//! Listener that serves callers over HTTP/1.1.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use compio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use compio::net::TcpStream;
use cyper_core::CompioTimer;
use futures::FutureExt;
use futures::channel::oneshot;
use futures::future::{Either, Shared, pending, poll_fn, select};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use rustix::net::RecvFlags;

use crate::acceptor::Acceptor;
use crate::caller_stream::{
    CallerInput, CallerStream, Scratch, ServingGuard, SharedInput, new_scratch,
};
use crate::connection_budget::CountedConnection;
use crate::framing::AmbiguousFraming;
use crate::pipeline::{Pipeline, StartedCount};
use crate::socket_limits::WriteLimit;
use crate::{Proxy, ResponseBody, SocketLimits};

/// Response to a connection beyond the limit. It is written before a request is read, so no request
/// was executed.
const TOO_MANY_CONNECTIONS_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    Connection: close\r\nContent-Length: 0\r\nRetry-After: 1\r\n\
    Cactustrack-Execution: not_run\r\n\r\n";

/// Response to a request whose head did not arrive within [`ServerLimits::head_timeout`].
const HEAD_TIMEOUT_RESPONSE: &[u8] = b"HTTP/1.1 408 Request Timeout\r\n\
    Connection: close\r\nContent-Length: 0\r\n\
    Cactustrack-Execution: not_run\r\n\r\n";

/// Bytes read from a rejected connection before it is closed, and time spent reading. Closing a
/// socket with unread bytes resets the connection, which can discard the response before the caller
/// has read it.
const LINGER_BYTES: usize = 256 * 1024;
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Maximum number of connections beyond the limit that linger. Further ones are closed at once.
const MAX_LINGERING_REJECTIONS: usize = 64;

/// Interval at which a connection that is about to be closed is checked for bytes that were not read.
const UNREAD_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Maximum number of these checks. A caller may never stop sending.
const MAX_UNREAD_CHECKS: usize = 200;

/// Interval at which a graceful shutdown checks whether all connections have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Limits on callers.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Maximum size of a request head in bytes.
    pub max_head_bytes: usize,
    /// Maximum number of header fields in a request.
    pub max_headers: usize,
    /// Time within which a caller has to send a request head.
    pub head_timeout: Duration,
    /// Maximum number of open connections from callers.
    pub max_connections: usize,
    /// Limits on the buffers of the sockets. `None` leaves them to the system.
    pub sockets: Option<SocketLimits>,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_headers: 100,
            head_timeout: Duration::from_secs(5),
            max_connections: 4096,
            sockets: None,
        }
    }
}

/// Starts the graceful shutdown of a [`Server`].
#[derive(Debug)]
pub struct ServerShutdown(oneshot::Sender<()>);

impl ServerShutdown {
    /// Stops accepting connections and closes each open one after its current request.
    pub fn start(self) {
        let _ = self.0.send(());
    }
}

type ShutdownSignal = Shared<oneshot::Receiver<()>>;

/// Serves callers on one listening socket.
pub struct Server {
    listener: Acceptor,
    proxy: Rc<Proxy>,
    limits: ServerLimits,
    signal: ShutdownSignal,
    connections: Rc<Cell<usize>>,
    rejections: Rc<Cell<usize>>,
    started: StartedCount,
    scratch: Scratch,
}

impl Server {
    /// Creates a server that listens on `address`, and the handle that shuts it down.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        proxy: Rc<Proxy>,
        limits: ServerLimits,
    ) -> io::Result<(Self, ServerShutdown)> {
        let (metrics, log) = (proxy.metrics().clone(), proxy.log().clone());
        let listener = Acceptor::bind(address, "callers", metrics, log).await?;
        let (tx, rx) = oneshot::channel();
        let connections = Rc::default();
        let (rejections, started, scratch) = (Rc::default(), Rc::default(), new_scratch());
        let signal = rx.shared();
        let server =
            Self { listener, proxy, limits, signal, connections, rejections, started, scratch };
        Ok((server, ServerShutdown(tx)))
    }

    /// Returns the address of the listener.
    ///
    /// # Errors
    ///
    /// Fails if the operating system does not report the address.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.listener.local_address()
    }

    /// Serves until the shutdown starts, and returns once all connections have ended. That wait is
    /// unbounded.
    pub async fn run(self) {
        while let Some(stream) = self.next_stream().await {
            match self.admit() {
                Some(counted) => self.serve(stream, counted),
                None => self.reject_connection(stream).await,
            }
        }
        drop(self.listener);
        while self.connections.get() > 0 {
            compio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    /// Returns the next connection, or `None` once the shutdown has started.
    async fn next_stream(&self) -> Option<TcpStream> {
        let accepting = std::pin::pin!(self.listener.accept());
        match select(accepting, self.signal.clone()).await {
            Either::Left((stream, _)) => Some(stream),
            Either::Right(_) => None,
        }
    }

    /// Counts another connection of a caller. Returns `None` if a limit is reached.
    fn admit(&self) -> Option<CountedConnection> {
        let has_room = self.connections.get() < self.limits.max_connections;
        if has_room { self.proxy.pool().count_connection() } else { None }
    }

    /// Sends a 503 response on a connection beyond the limit and closes it. If many of them linger
    /// already, this ends before the next connection is accepted, so that a burst of connections
    /// cannot use up the file descriptors.
    async fn reject_connection(&self, mut stream: TcpStream) {
        self.proxy.metrics().rejected_connections.inc();
        let rejections = Rc::clone(&self.rejections);
        if rejections.get() >= MAX_LINGERING_REJECTIONS {
            let _ = stream.write_all(TOO_MANY_CONNECTIONS_RESPONSE).await;
            return;
        }
        rejections.set(rejections.get() + 1);
        let task = async move {
            let _ = stream.write_all(TOO_MANY_CONNECTIONS_RESPONSE).await;
            linger(stream).await;
            rejections.set(rejections.get() - 1);
        };
        compio::runtime::spawn(task).detach();
    }

    fn serve(&self, stream: TcpStream, counted: CountedConnection) {
        let count = ConnectionGuard::new(&self.connections, &self.proxy);
        let (proxy, scratch) = (Rc::clone(&self.proxy), Rc::clone(&self.scratch));
        let pipeline = Pipeline::new(Rc::clone(&proxy), Rc::clone(&self.started));
        let write_limit = WriteLimit::new(self.limits.sockets);
        let input = CallerInput::new(stream.clone(), scratch, pipeline, write_limit);
        let connection = serve_connection(stream, input, proxy, self.limits, self.signal.clone());
        let task = async move {
            connection.await;
            drop((count, counted));
        };
        compio::runtime::spawn(task).detach();
    }
}

async fn serve_connection(
    stream: TcpStream,
    input: SharedInput,
    proxy: Rc<Proxy>,
    limits: ServerLimits,
    signal: ShutdownSignal,
) {
    let _ = stream.set_nodelay(true);
    if let Some(sockets) = limits.sockets {
        sockets.apply(&stream);
    }
    let requests = Rc::clone(&input);
    let service = service_fn(move |req: Request<Incoming>| {
        let responding = respond(Rc::clone(&proxy), Rc::clone(&requests), req);
        async move { Ok::<_, std::convert::Infallible>(responding.await) }
    });
    let connection = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.max_head_bytes.max(8192))
        .max_headers(limits.max_headers)
        .serve_connection(CallerStream(Rc::clone(&input)), service);
    let mut connection = std::pin::pin!(connection);
    let mut ended = serve_until(connection.as_mut(), &input, signal.map(|_| ())).await;
    if ended.is_none() {
        input.borrow_mut().stop_starting();
        // hyper closes an idle connection at once, whether or not a request has arrived on it, and
        // one in use after the current response, whether or not later ones are in progress.
        let reading = wait_until_read(&stream, &input);
        ended = serve_until(connection.as_mut(), &input, reading).await;
    }
    if ended.is_none() {
        connection.as_mut().graceful_shutdown();
        ended = serve_until(connection.as_mut(), &input, pending()).await;
    }
    let (is_mid_head, is_mid_message) = {
        let input = input.borrow();
        (input.checker().is_mid_head(), input.checker().is_mid_message())
    };
    if let Some(ConnectionEnd::Closed(result)) = ended {
        finish_connection(stream, result.err(), is_mid_head, is_mid_message).await;
    }
}

/// End of a caller's connection.
enum ConnectionEnd {
    /// hyper has ended it.
    Closed(hyper::Result<()>),
    /// The caller has closed it while requests were in progress, which are canceled.
    CallerDisconnected,
}

/// Serves a connection until it ends, and reads what the caller sends while a request is in
/// progress. Returns `None` if `stop` becomes ready first.
async fn serve_until(
    mut connection: Pin<&mut impl Future<Output = hyper::Result<()>>>,
    input: &SharedInput,
    stop: impl Future<Output = ()>,
) -> Option<ConnectionEnd> {
    let serving = poll_fn(|cx| {
        if let Poll::Ready(result) = connection.as_mut().poll(cx) {
            return Poll::Ready(ConnectionEnd::Closed(result));
        }
        input.borrow_mut().poll_read_ahead(cx).map(|()| ConnectionEnd::CallerDisconnected)
    });
    match select(serving, std::pin::pin!(stop)).await {
        Either::Left((ended, _)) => Some(ended),
        Either::Right(_) => None,
    }
}

/// Returns the response to a request that hyper has read, from its early start if there was one.
async fn respond(
    proxy: Rc<Proxy>,
    input: SharedInput,
    req: Request<Incoming>,
) -> Response<ResponseBody> {
    let (mut head, body) = req.into_parts();
    let taken = input.borrow_mut().take_request(&head);
    if taken.is_ambiguous {
        head.extensions.insert(AmbiguousFraming);
    }
    let started = match taken.response {
        Some(response) => response.await.ok(),
        None => None,
    };
    let mut response = match started {
        Some(response) => response,
        None => proxy.handle(Request::from_parts(head, Some(body))).await,
    };
    response.body_mut().hold(Box::new(ServingGuard(input)));
    response
}

/// Waits until the requests that have arrived on a connection were read by hyper. After a limited
/// time, only those that were started count.
async fn wait_until_read(stream: &TcpStream, input: &SharedInput) {
    for _ in 0..MAX_UNREAD_CHECKS {
        let is_read = !has_unread_bytes(stream) && input.borrow().is_read();
        if is_read && !input.borrow().has_started_requests() {
            return;
        }
        compio::time::sleep(UNREAD_POLL_INTERVAL).await;
    }
    while input.borrow().has_started_requests() {
        compio::time::sleep(UNREAD_POLL_INTERVAL).await;
    }
}

/// Returns true if bytes have arrived that were not read. A connection that has ended or failed has
/// none.
fn has_unread_bytes(stream: &TcpStream) -> bool {
    let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
    rustix::net::recv(stream, &mut [0; 1], flags).is_ok_and(|(read, _)| read > 0)
}

/// Makes sure that a rejection reaches the caller before the connection is closed. Other errors
/// affect only this caller, which observes them itself, and are ignored.
async fn finish_connection(
    mut stream: TcpStream,
    error: Option<hyper::Error>,
    is_mid_head: bool,
    is_mid_message: bool,
) {
    if is_mid_head && error.as_ref().is_some_and(hyper::Error::is_timeout) {
        let _ = stream.write_all(HEAD_TIMEOUT_RESPONSE).await;
    }
    let is_rejected = error.is_none_or(|error| error.is_parse() || error.is_timeout());
    if is_rejected && is_mid_message {
        linger(stream).await;
    }
}

/// Shuts down the write direction, then discards what the caller still sends.
async fn linger(mut stream: TcpStream) {
    let _ = stream.shutdown().await;
    let reading = async {
        let (mut left, mut buf) = (LINGER_BYTES, vec![0; 4096]);
        while left > 0 {
            let (read, returned) = stream.read(buf).await.into();
            let Ok(1..) = read else { return };
            left = left.saturating_sub(read.unwrap_or_default());
            buf = returned;
        }
    };
    let _ = compio::time::timeout(LINGER_TIME, reading).await;
}

/// Counts an open connection until it is dropped.
struct ConnectionGuard {
    connections: Rc<Cell<usize>>,
    proxy: Rc<Proxy>,
}

impl ConnectionGuard {
    fn new(connections: &Rc<Cell<usize>>, proxy: &Rc<Proxy>) -> Self {
        connections.set(connections.get() + 1);
        proxy.metrics().caller_connections.inc();
        Self { connections: Rc::clone(connections), proxy: Rc::clone(proxy) }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.connections.set(self.connections.get() - 1);
        self.proxy.metrics().caller_connections.dec();
    }
}
