//! Pool of connections for calls to other instances.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use cactustrack_members::Identity;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use compio::buf::BufResult;
use compio::io::{AsyncReadExt, AsyncWriteExt};
use compio::net::TcpStream;
use compio::runtime::spawn;
use compio::time::{sleep, timeout};
use derive_more::{Display, Error};
use futures::lock::Mutex;

use crate::connection::{ConnectionState, PeerNetwork};
use crate::counters::{PeerCounters, PeerMethod};
use crate::fault::PeerFault;
use crate::handshake::{
    CLIENT_HELLO_BYTES, ClientHandshake, NONCE_BYTES, PROOF_BYTES, SERVER_HELLO_BYTES, Session,
};
use crate::key::PeerKey;
use crate::messages::{Report, ReportReply, SyncReply, SyncRequest};
use crate::peer_capnp::peer;
use crate::rpc::{call_hello, call_report, call_sync};

/// Limits of a [`PeerPool`].
#[derive(Clone, Copy, Debug)]
pub struct PoolConfig {
    /// Timeout of connecting, including the handshake.
    pub connect_timeout: Duration,
    /// Timeout of a call on an open connection.
    pub call_timeout: Duration,
    /// Time without a call after which a connection is closed.
    pub idle_timeout: Duration,
    /// Maximum number of calls in flight to all instances.
    pub max_in_flight: usize,
    /// Maximum number of calls in flight to one instance.
    pub max_in_flight_per_peer: usize,
    /// Maximum number of concurrently open connections.
    pub max_connections: usize,
}

impl Default for PoolConfig {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            call_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(30),
            max_in_flight: 256,
            max_in_flight_per_peer: 8,
            max_connections: 1024,
        }
    }
}

/// Error of a call to another instance.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum CallError {
    /// The connection could not be opened; nothing was sent.
    #[display("cannot connect: {reason}")]
    Connect {
        /// Description of the error.
        reason: String,
    },
    /// The handshake failed; nothing was sent.
    #[display("handshake failed: {fault}")]
    Handshake {
        /// Fault that ended the handshake.
        fault: PeerFault,
    },
    /// Too many calls are in flight, or too many connections open; nothing was sent.
    #[display("too many calls in flight or connections open")]
    Busy,
    /// No reply arrived within the timeout. The other instance may have handled the call.
    #[display("no reply within the call timeout")]
    Timeout,
    /// The connection was closed. The other instance may have handled the call.
    #[display("connection closed: {reason}")]
    Closed {
        /// Description of the error.
        reason: String,
    },
    /// The message exceeds a limit, or the other instance rejected it.
    #[display("call failed: {reason}")]
    Failed {
        /// Description of the error.
        reason: String,
    },
}

/// Makes calls to other instances. Each has at most one connection, opened on demand.
#[derive(Clone)]
pub struct PeerPool {
    inner: Rc<Inner>,
}

struct Inner {
    key: PeerKey,
    config: PoolConfig,
    counters: Rc<PeerCounters>,
    in_flight: Cell<usize>,
    entries: RefCell<HashMap<SocketAddr, Rc<PoolEntry>>>,
}

/// Pool entry of one address, with its connection if that is open.
#[derive(Default)]
struct PoolEntry {
    connection: Mutex<Option<PeerClient>>,
    /// State of the open connection. It can be read while a call that connects holds the lock of
    /// `connection`.
    state: RefCell<Option<Rc<ConnectionState>>>,
    in_flight: Cell<usize>,
    last_used: Cell<Option<Instant>>,
}

/// An open connection.
#[derive(Clone)]
struct PeerClient {
    client: peer::Client,
    state: Rc<ConnectionState>,
}

impl PeerPool {
    /// Creates a pool without connections. Must be called within a runtime.
    pub fn new(key: PeerKey, counters: Rc<PeerCounters>, config: PoolConfig) -> Self {
        let inner = Rc::new(Inner {
            key,
            config,
            counters,
            in_flight: Cell::new(0),
            entries: RefCell::default(),
        });
        let weak = Rc::downgrade(&inner);
        let interval = config.idle_timeout / 2;
        spawn(async move {
            loop {
                sleep(interval).await;
                let Some(inner) = weak.upgrade() else { return };
                inner.close_idle(Instant::now());
            }
        })
        .detach();
        Self { inner }
    }

    /// Introduces this instance to another one and returns the identity of that one.
    pub async fn hello(&self, address: SocketAddr, own: &Identity) -> Result<Identity, CallError> {
        self.inner.call(address, async |client| call_hello(&client, own).await).await
    }

    /// Sends a report of evidence to a collector.
    pub async fn report(
        &self,
        address: SocketAddr,
        report: &Report,
    ) -> Result<ReportReply, CallError> {
        self.inner.call(address, async |client| call_report(&client, report).await).await
    }

    /// Synchronizes membership and configuration with another instance.
    pub async fn sync(
        &self,
        address: SocketAddr,
        request: &SyncRequest,
    ) -> Result<SyncReply, CallError> {
        self.inner.call(address, async |client| call_sync(&client, request).await).await
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        let entries = self.inner.entries.borrow();
        entries.values().filter(|entry| entry.is_open()).count()
    }
}

impl Inner {
    async fn call<T, F: Future<Output = capnp::Result<T>>>(
        &self,
        address: SocketAddr,
        send: impl FnOnce(peer::Client) -> F,
    ) -> Result<T, CallError> {
        let entry = self.entry(address)?;
        let _guard = InFlightGuard::new(self, &entry)?;
        // The timeout includes waiting for another call that is connecting.
        let connection = timeout(self.config.connect_timeout, self.connection(address, &entry));
        let connection = connection.await.unwrap_or_else(|_| {
            Err(CallError::Connect {
                reason: "no connection within the connect timeout".to_owned(),
            })
        })?;
        entry.last_used.set(Some(Instant::now()));
        let sent_at = Instant::now();
        let reply = timeout(self.config.call_timeout, send(connection.client)).await;
        match reply {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(e)) => Err(to_call_error(&e)),
            Err(_) => {
                if connection.state.last_received() <= sent_at {
                    // Nothing was received since the call was sent. The next call opens a new
                    // connection.
                    connection.state.close();
                }
                Err(CallError::Timeout)
            }
        }
    }

    fn entry(&self, address: SocketAddr) -> Result<Rc<PoolEntry>, CallError> {
        if let Some(entry) = self.entries.borrow().get(&address) {
            return Ok(entry.clone());
        }
        if self.entries.borrow().len() >= self.config.max_connections && !self.evict() {
            return Err(CallError::Busy);
        }
        let entry = Rc::new(PoolEntry::default());
        self.entries.borrow_mut().insert(address, entry.clone());
        Ok(entry)
    }

    /// Closes the least recently used connection without calls in flight. Returns false if there is
    /// none.
    fn evict(&self) -> bool {
        let mut entries = self.entries.borrow_mut();
        let unused = entries.iter().filter(|(_, entry)| entry.in_flight.get() == 0);
        let least_recent = unused.min_by_key(|(_, entry)| entry.last_used.get()).map(|(at, _)| *at);
        least_recent.and_then(|at| entries.remove(&at)).inspect(|entry| entry.close()).is_some()
    }

    fn close_idle(&self, now: Instant) {
        let idle_timeout = self.config.idle_timeout;
        self.entries.borrow_mut().retain(|_, entry| {
            let last_used = entry.last_used.get();
            let is_recent =
                last_used.is_some_and(|at| now.saturating_duration_since(at) < idle_timeout);
            let keep = entry.in_flight.get() > 0 || (is_recent && entry.is_open());
            if !keep {
                entry.close();
            }
            keep
        });
    }

    async fn connection(
        &self,
        address: SocketAddr,
        entry: &PoolEntry,
    ) -> Result<PeerClient, CallError> {
        // Concurrent calls wait for the lock while one of them connects.
        let mut connection = entry.connection.lock().await;
        if let Some(open) = connection.as_ref().filter(|open| !open.state.is_closed()) {
            return Ok(open.clone());
        }
        *connection = None;
        let opened = self.connect(address).await?;
        *entry.state.borrow_mut() = Some(opened.state.clone());
        *connection = Some(opened.clone());
        Ok(opened)
    }

    async fn connect(&self, address: SocketAddr) -> Result<PeerClient, CallError> {
        let mut stream = TcpStream::connect(address)
            .await
            .map_err(|e| CallError::Connect { reason: e.to_string() })?;
        // Calls are small and wait for their replies, so Nagle's algorithm would only add latency.
        let _ = stream.set_nodelay(true);
        let session = self.handshake(&mut stream).await.map_err(|fault| {
            self.counters.record_fault(fault);
            CallError::Handshake { fault }
        })?;
        let network = PeerNetwork::new(stream, session, Side::Client, self.counters.clone());
        let state = network.state();
        let mut system = RpcSystem::new(Box::new(network), None);
        system.set_background_error_handler(|_| {});
        let client: peer::Client = system.bootstrap(Side::Server);
        spawn(async move {
            // Faults are counted where they are detected.
            let _ = system.await;
        })
        .detach();
        Ok(PeerClient { client, state })
    }

    async fn handshake(&self, stream: &mut TcpStream) -> Result<Session, PeerFault> {
        let nonce = rand::random::<[u8; NONCE_BYTES]>();
        let handshake = ClientHandshake::new(self.key.clone(), nonce);
        write_bytes(stream, handshake.hello().to_vec()).await?;
        let reply = read_array::<SERVER_HELLO_BYTES>(stream).await?;
        let (proof, session) = handshake.finish(&reply)?;
        write_bytes(stream, proof.to_vec()).await?;
        self.counters.record_sent(PeerMethod::Other, CLIENT_HELLO_BYTES + PROOF_BYTES);
        self.counters.record_received(PeerMethod::Other, SERVER_HELLO_BYTES);
        Ok(session)
    }
}

impl Drop for Inner {
    fn drop(&mut self) {
        for entry in self.entries.borrow().values() {
            entry.close();
        }
    }
}

impl PoolEntry {
    fn is_open(&self) -> bool {
        self.state.borrow().as_ref().is_some_and(|state| !state.is_closed())
    }

    fn close(&self) {
        if let Some(state) = self.state.borrow_mut().take() {
            state.close();
        }
    }
}

/// Counts a call while it is in flight.
struct InFlightGuard<'a> {
    pool: &'a Cell<usize>,
    entry: &'a Cell<usize>,
}

impl<'a> InFlightGuard<'a> {
    fn new(inner: &'a Inner, entry: &'a PoolEntry) -> Result<Self, CallError> {
        if inner.in_flight.get() >= inner.config.max_in_flight
            || entry.in_flight.get() >= inner.config.max_in_flight_per_peer
        {
            return Err(CallError::Busy);
        }
        let this = Self { pool: &inner.in_flight, entry: &entry.in_flight };
        this.pool.set(this.pool.get() + 1);
        this.entry.set(this.entry.get() + 1);
        Ok(this)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.pool.set(self.pool.get() - 1);
        self.entry.set(self.entry.get() - 1);
    }
}

fn to_call_error(e: &capnp::Error) -> CallError {
    let reason = e.to_string();
    match e.kind {
        capnp::ErrorKind::Disconnected => CallError::Closed { reason },
        _ => CallError::Failed { reason },
    }
}

/// Reads a handshake message of fixed length.
pub(crate) async fn read_array<const N: usize>(
    stream: &mut TcpStream,
) -> Result<[u8; N], PeerFault> {
    let BufResult(result, buf) = stream.read_exact([0; N]).await;
    result.map_err(|e| match e.kind() {
        std::io::ErrorKind::UnexpectedEof => PeerFault::Truncated,
        _ => PeerFault::Io,
    })?;
    Ok(buf)
}

/// Writes a handshake message.
pub(crate) async fn write_bytes(stream: &mut TcpStream, bytes: Vec<u8>) -> Result<(), PeerFault> {
    let BufResult(result, _) = stream.write_all(bytes).await;
    result.map_err(|_| PeerFault::Io)
}
