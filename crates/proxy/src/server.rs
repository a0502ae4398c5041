//! The listener for callers.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::io::AsyncWriteExt;
use compio::net::{TcpListener, TcpStream};
use cyper_core::{CompioTimer, HyperStream};
use futures::FutureExt;
use futures::channel::oneshot;
use futures::future::{Either, Shared, select};
use hyper::server::conn::http1;
use hyper::service::service_fn;

use crate::Proxy;

/// Answer to a connection beyond the limit. It is written without reading a request, so the
/// request was not run.
const TOO_MANY_CONNECTIONS: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    Connection: close\r\nContent-Length: 0\r\nRetry-After: 1\r\n\
    Cactustrack-Execution: not_run\r\n\r\n";

/// Pause after a failed accept, for example because no file descriptor is left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Interval at which a stop looks whether the last request ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Limits towards callers.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Longest request head in bytes.
    pub max_head_bytes: usize,
    /// Most header lines in a request.
    pub max_headers: usize,
    /// Time given to a caller to send a request head.
    pub head_timeout: Duration,
    /// Connections of callers.
    pub max_connections: usize,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_headers: 100,
            head_timeout: Duration::from_secs(5),
            max_connections: 4096,
        }
    }
}

/// Starts the graceful shutdown of a [`Server`].
#[derive(Debug)]
pub struct Shutdown(oneshot::Sender<()>);

impl Shutdown {
    /// Stops accepting connections and ends each open one after its current request.
    pub fn start(self) {
        let _ = self.0.send(());
    }
}

type Signal = Shared<oneshot::Receiver<()>>;

/// Serves callers on one listener.
pub struct Server {
    listener: TcpListener,
    proxy: Rc<Proxy>,
    limits: ServerLimits,
    signal: Signal,
    connections: Rc<Cell<usize>>,
}

impl Server {
    /// Binds the listener.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        proxy: Rc<Proxy>,
        limits: ServerLimits,
    ) -> io::Result<(Self, Shutdown)> {
        let listener = TcpListener::bind(address).await?;
        let (tx, rx) = oneshot::channel();
        let connections = Rc::default();
        let server = Self { listener, proxy, limits, signal: rx.shared(), connections };
        Ok((server, Shutdown(tx)))
    }

    /// Address of the listener.
    ///
    /// # Errors
    ///
    /// Fails if the operating system does not tell the address.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until the shutdown starts, and returns when the last request has ended, however long
    /// that takes.
    pub async fn run(self) {
        while let Some(stream) = self.next_stream().await {
            let Some(stream) = stream else {
                compio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            if self.connections.get() >= self.limits.max_connections {
                compio::runtime::spawn(refuse(stream)).detach();
                continue;
            }
            self.serve(stream);
        }
        drop(self.listener);
        while self.connections.get() > 0 {
            compio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    /// Returns the next connection, `Some(None)` if accepting failed, or `None` at the shutdown.
    async fn next_stream(&self) -> Option<Option<TcpStream>> {
        let accepting = std::pin::pin!(self.listener.accept());
        match select(accepting, self.signal.clone()).await {
            Either::Left((accepted, _)) => Some(accepted.ok().map(|(stream, _)| stream)),
            Either::Right(_) => None,
        }
    }

    fn serve(&self, stream: TcpStream) {
        let count = Counted::new(&self.connections, &self.proxy);
        let connection =
            serve_connection(stream, Rc::clone(&self.proxy), self.limits, self.signal.clone());
        let task = async move {
            connection.await;
            drop(count);
        };
        compio::runtime::spawn(task).detach();
    }
}

async fn serve_connection(
    stream: TcpStream,
    proxy: Rc<Proxy>,
    limits: ServerLimits,
    signal: Signal,
) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |req| {
        let proxy = Rc::clone(&proxy);
        async move { Ok::<_, std::convert::Infallible>(proxy.handle(req).await) }
    });
    let connection = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.max_head_bytes.max(8192))
        .max_headers(limits.max_headers)
        .serve_connection(HyperStream::new_plain(stream), service);
    let mut connection = std::pin::pin!(connection);
    // A fault of the connection concerns this caller only, and the caller sees it.
    match select(connection.as_mut(), signal).await {
        Either::Left(_) => {}
        Either::Right(_) => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}

async fn refuse(mut stream: TcpStream) {
    let _ = stream.write_all(TOO_MANY_CONNECTIONS).await;
    let _ = stream.close().await;
}

/// Counts an open connection while it lives.
struct Counted {
    connections: Rc<Cell<usize>>,
    proxy: Rc<Proxy>,
}

impl Counted {
    fn new(connections: &Rc<Cell<usize>>, proxy: &Rc<Proxy>) -> Self {
        connections.set(connections.get() + 1);
        proxy.metrics().caller_connections.inc();
        Self { connections: Rc::clone(connections), proxy: Rc::clone(proxy) }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.connections.set(self.connections.get() - 1);
        self.proxy.metrics().caller_connections.dec();
    }
}
