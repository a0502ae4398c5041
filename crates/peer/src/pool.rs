//! Calls to other instances over pooled connections.

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

use crate::connection::{Link, PeerNetwork};
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
    /// Time to connect and to complete the handshake.
    pub connect_timeout: Duration,
    /// Time for one call on an open connection.
    pub call_timeout: Duration,
    /// Time without a call after which a connection is closed.
    pub idle_timeout: Duration,
    /// Calls in flight to all instances.
    pub max_in_flight: usize,
    /// Calls in flight to one instance.
    pub max_in_flight_per_peer: usize,
    /// Connections that are open at a time.
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

/// Why a call gave no reply.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum CallError {
    /// The connection could not be opened; nothing was sent.
    #[display("cannot connect: {reason}")]
    Connect {
        /// Why.
        reason: String,
    },
    /// The handshake failed; nothing was sent.
    #[display("handshake failed: {fault}")]
    Handshake {
        /// Why.
        fault: PeerFault,
    },
    /// Too many calls are in flight, or too many connections open; nothing was sent.
    #[display("too many calls in flight")]
    Busy,
    /// No reply arrived in time. The other instance may have handled the call.
    #[display("no reply in time")]
    Timeout,
    /// The connection was closed. The other instance may have handled the call.
    #[display("connection closed: {reason}")]
    Closed {
        /// Why.
        reason: String,
    },
    /// The message exceeds a bound, or the other instance rejected it.
    #[display("call failed: {reason}")]
    Failed {
        /// Why.
        reason: String,
    },
}

/// Makes calls to other instances, over one connection to each that is opened on demand.
#[derive(Clone)]
pub struct PeerPool {
    inner: Rc<Inner>,
}

struct Inner {
    key: PeerKey,
    config: PoolConfig,
    counters: Rc<PeerCounters>,
    in_flight: Cell<usize>,
    slots: RefCell<HashMap<SocketAddr, Rc<Slot>>>,
}

/// The connection to one address, if it is open.
#[derive(Default)]
struct Slot {
    connection: Mutex<Option<PeerClient>>,
    /// Link of the open connection, readable while another call is connecting.
    link: RefCell<Option<Rc<Link>>>,
    in_flight: Cell<usize>,
    last_used: Cell<Option<Instant>>,
}

/// An open connection.
#[derive(Clone)]
struct PeerClient {
    client: peer::Client,
    link: Rc<Link>,
}

impl PeerPool {
    /// Creates a pool without connections. Must be called within a runtime.
    pub fn new(key: PeerKey, counters: Rc<PeerCounters>, config: PoolConfig) -> Self {
        let inner = Rc::new(Inner {
            key,
            config,
            counters,
            in_flight: Cell::new(0),
            slots: RefCell::default(),
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

    /// Introduces this instance to another one.
    pub async fn hello(&self, address: SocketAddr, own: &Identity) -> Result<Identity, CallError> {
        self.inner.call(address, async |client| call_hello(&client, own).await).await
    }

    /// Sends evidence to a collector.
    pub async fn report(
        &self,
        address: SocketAddr,
        report: &Report,
    ) -> Result<ReportReply, CallError> {
        self.inner.call(address, async |client| call_report(&client, report).await).await
    }

    /// Exchanges membership and configuration with another instance.
    pub async fn sync(
        &self,
        address: SocketAddr,
        request: &SyncRequest,
    ) -> Result<SyncReply, CallError> {
        self.inner.call(address, async |client| call_sync(&client, request).await).await
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        let slots = self.inner.slots.borrow();
        slots.values().filter(|slot| slot.is_open()).count()
    }
}

impl Inner {
    async fn call<T, F: Future<Output = capnp::Result<T>>>(
        &self,
        address: SocketAddr,
        run: impl FnOnce(peer::Client) -> F,
    ) -> Result<T, CallError> {
        let slot = self.slot(address)?;
        let _guard = InFlight::new(self, &slot)?;
        // The limit includes the wait for another call that is connecting.
        let connection = timeout(self.config.connect_timeout, self.connection(address, &slot));
        let connection = connection.await.unwrap_or_else(|_| {
            Err(CallError::Connect { reason: "no connection in time".to_owned() })
        })?;
        slot.last_used.set(Some(Instant::now()));
        let sent = Instant::now();
        let reply = timeout(self.config.call_timeout, run(connection.client)).await;
        match reply {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(e)) => Err(call_error(&e)),
            Err(_) => {
                if connection.link.last_received() <= sent {
                    // The connection is silent. The next call opens a new one.
                    connection.link.close();
                }
                Err(CallError::Timeout)
            }
        }
    }

    fn slot(&self, address: SocketAddr) -> Result<Rc<Slot>, CallError> {
        if let Some(slot) = self.slots.borrow().get(&address) {
            return Ok(slot.clone());
        }
        if self.slots.borrow().len() >= self.config.max_connections && !self.evict() {
            return Err(CallError::Busy);
        }
        let slot = Rc::new(Slot::default());
        self.slots.borrow_mut().insert(address, slot.clone());
        Ok(slot)
    }

    /// Closes the connection that was unused for longest. Returns false if all are in use.
    fn evict(&self) -> bool {
        let mut slots = self.slots.borrow_mut();
        let unused = slots.iter().filter(|(_, slot)| slot.in_flight.get() == 0);
        let oldest = unused.min_by_key(|(_, slot)| slot.last_used.get()).map(|(at, _)| *at);
        oldest.and_then(|at| slots.remove(&at)).inspect(|slot| slot.close()).is_some()
    }

    fn close_idle(&self, now: Instant) {
        let idle = self.config.idle_timeout;
        self.slots.borrow_mut().retain(|_, slot| {
            let used = slot.last_used.get();
            let recent = used.is_some_and(|at| now.saturating_duration_since(at) < idle);
            let keep = slot.in_flight.get() > 0 || (recent && slot.is_open());
            if !keep {
                slot.close();
            }
            keep
        });
    }

    async fn connection(&self, address: SocketAddr, slot: &Slot) -> Result<PeerClient, CallError> {
        // Concurrent calls wait here for the one that connects.
        let mut connection = slot.connection.lock().await;
        if let Some(open) = connection.as_ref().filter(|open| !open.link.is_closed()) {
            return Ok(open.clone());
        }
        *connection = None;
        let opened = self.connect(address).await?;
        *slot.link.borrow_mut() = Some(opened.link.clone());
        *connection = Some(opened.clone());
        Ok(opened)
    }

    async fn connect(&self, address: SocketAddr) -> Result<PeerClient, CallError> {
        let mut stream = TcpStream::connect(address)
            .await
            .map_err(|e| CallError::Connect { reason: e.to_string() })?;
        // Calls are small and wait for their reply, so delaying segments only adds latency.
        let _ = stream.set_nodelay(true);
        let session = self.handshake(&mut stream).await.map_err(|fault| {
            self.counters.record_fault(fault);
            CallError::Handshake { fault }
        })?;
        let network = PeerNetwork::new(stream, session, Side::Client, self.counters.clone());
        let link = network.link();
        let mut system = RpcSystem::new(Box::new(network), None);
        system.set_background_error_handler(|_| {});
        let client: peer::Client = system.bootstrap(Side::Server);
        spawn(async move {
            // Faults are counted where they are found.
            let _ = system.await;
        })
        .detach();
        Ok(PeerClient { client, link })
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
        for slot in self.slots.borrow().values() {
            slot.close();
        }
    }
}

impl Slot {
    fn is_open(&self) -> bool {
        self.link.borrow().as_ref().is_some_and(|link| !link.is_closed())
    }

    fn close(&self) {
        if let Some(link) = self.link.borrow_mut().take() {
            link.close();
        }
    }
}

/// Counts a call as long as it is in flight.
struct InFlight<'a> {
    pool: &'a Cell<usize>,
    slot: &'a Cell<usize>,
}

impl<'a> InFlight<'a> {
    fn new(inner: &'a Inner, slot: &'a Slot) -> Result<Self, CallError> {
        if inner.in_flight.get() >= inner.config.max_in_flight
            || slot.in_flight.get() >= inner.config.max_in_flight_per_peer
        {
            return Err(CallError::Busy);
        }
        let this = Self { pool: &inner.in_flight, slot: &slot.in_flight };
        this.pool.set(this.pool.get() + 1);
        this.slot.set(this.slot.get() + 1);
        Ok(this)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.pool.set(self.pool.get() - 1);
        self.slot.set(self.slot.get() - 1);
    }
}

fn call_error(e: &capnp::Error) -> CallError {
    let reason = e.to_string();
    match e.kind {
        capnp::ErrorKind::Disconnected => CallError::Closed { reason },
        _ => CallError::Failed { reason },
    }
}

/// Reads a message of fixed length of the handshake.
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

/// Writes a message of the handshake.
pub(crate) async fn write_bytes(stream: &mut TcpStream, bytes: Vec<u8>) -> Result<(), PeerFault> {
    let BufResult(result, _) = stream.write_all(bytes).await;
    result.map_err(|_| PeerFault::Io)
}
