//! Server for the calls of other instances.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use compio::net::{TcpListener, TcpStream};
use compio::runtime::{JoinHandle, spawn};
use compio::time::{sleep, timeout};
use futures::future::{Either, select};

use crate::connection::{ConnectionState, PeerNetwork};
use crate::counters::{PeerCounters, PeerMethod};
use crate::fault::PeerFault;
use crate::handshake::{
    CLIENT_HELLO_BYTES, NONCE_BYTES, PROOF_BYTES, SERVER_HELLO_BYTES, ServerHandshake, Session,
};
use crate::key::PeerKey;
use crate::messages::PeerHandler;
use crate::peer_capnp::peer;
use crate::pool::{read_array, write_bytes};
use crate::rpc::HandlerAdapter;

/// Delay after a failed accept, for example because no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Limits of a [`PeerServer`].
#[derive(Clone, Copy, Debug)]
pub struct ServerConfig {
    /// Timeout of the handshake.
    pub handshake_timeout: Duration,
    /// Time without a received frame after which a connection is closed. It must exceed the idle
    /// timeout of the pools that connect to this server, so that the caller closes first.
    pub idle_timeout: Duration,
    /// Maximum number of concurrently open connections.
    pub max_connections: usize,
}

impl Default for ServerConfig {
    fn default() -> Self {
        Self {
            handshake_timeout: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(60),
            max_connections: 2048,
        }
    }
}

/// Accepts connections of other instances and handles their calls. Dropping it closes the
/// listener and all connections.
pub struct PeerServer {
    address: SocketAddr,
    shared: Rc<Shared>,
    _accept_task: JoinHandle<()>,
}

struct Shared {
    key: PeerKey,
    handler: Rc<dyn PeerHandler>,
    config: ServerConfig,
    counters: Rc<PeerCounters>,
    open_connections: Cell<usize>,
    is_closed: Cell<bool>,
    connections: RefCell<Vec<Weak<ConnectionState>>>,
}

impl PeerServer {
    /// Listens on `address`. Must be called within a runtime. Returns an error if the address
    /// cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        key: PeerKey,
        handler: Rc<dyn PeerHandler>,
        counters: Rc<PeerCounters>,
        config: ServerConfig,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Rc::new(Shared {
            key,
            handler,
            config,
            counters,
            open_connections: Cell::new(0),
            is_closed: Cell::new(false),
            connections: RefCell::default(),
        });
        let accept_task = spawn(accept_loop(listener, shared.clone()));
        Ok(Self { address, shared, _accept_task: accept_task })
    }

    /// Returns the address on which the server listens.
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.shared.open_connections.get()
    }
}

impl Drop for PeerServer {
    fn drop(&mut self) {
        // A connection whose handshake is not complete is not in the list yet.
        self.shared.is_closed.set(true);
        for connection in self.shared.connections.borrow().iter().filter_map(Weak::upgrade) {
            connection.close();
        }
    }
}

async fn accept_loop(listener: TcpListener, shared: Rc<Shared>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) if shared.open_connections.get() < shared.config.max_connections => {
                spawn(serve_connection(stream, ConnectionGuard::new(shared.clone()))).detach();
            }
            // Over the limit: dropping the stream closes it.
            Ok(_) => {}
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Counts a connection while it is open.
struct ConnectionGuard(Rc<Shared>);

impl ConnectionGuard {
    fn new(shared: Rc<Shared>) -> Self {
        shared.open_connections.set(shared.open_connections.get() + 1);
        Self(shared)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.open_connections.set(self.0.open_connections.get() - 1);
    }
}

async fn serve_connection(mut stream: TcpStream, guard: ConnectionGuard) {
    let shared = &guard.0;
    // Replies are small and the callers wait for them, so Nagle's algorithm would only add latency.
    let _ = stream.set_nodelay(true);
    let handshake = timeout(shared.config.handshake_timeout, accept_handshake(&mut stream, shared));
    let session = handshake.await.unwrap_or(Err(PeerFault::HandshakeTimeout));
    let session = match session {
        Ok(session) => session,
        Err(fault) => return shared.counters.record_fault(fault),
    };
    if shared.is_closed.get() {
        return;
    }
    let network = PeerNetwork::new(stream, session, Side::Server, shared.counters.clone());
    let connection = network.state();
    {
        let mut connections = shared.connections.borrow_mut();
        connections.retain(|connection| connection.strong_count() > 0);
        connections.push(Rc::downgrade(&connection));
    }
    let client: peer::Client =
        capnp_rpc::new_client(HandlerAdapter { handler: shared.handler.clone() });
    let mut system = RpcSystem::new(Box::new(network), Some(client.client));
    // Faults are counted where they are detected; the default handler prints to standard output.
    system.set_background_error_handler(|_| {});
    let idle = std::pin::pin!(close_when_idle(&connection, shared.config.idle_timeout));
    if let Either::Right(((), system)) = select(system, idle).await {
        let _ = system.await;
    }
}

async fn close_when_idle(connection: &ConnectionState, idle_timeout: Duration) {
    loop {
        let idle_time = connection.last_received().elapsed();
        if idle_time >= idle_timeout {
            return connection.close();
        }
        sleep(idle_timeout - idle_time).await;
    }
}

async fn accept_handshake(stream: &mut TcpStream, shared: &Shared) -> Result<Session, PeerFault> {
    let hello = read_array::<CLIENT_HELLO_BYTES>(stream).await?;
    let nonce = rand::random::<[u8; NONCE_BYTES]>();
    let (handshake, reply) = ServerHandshake::new(shared.key.clone(), nonce, &hello)?;
    write_bytes(stream, reply.to_vec()).await?;
    let proof = read_array::<PROOF_BYTES>(stream).await?;
    let session = handshake.finish(&proof)?;
    shared.counters.record_received(PeerMethod::Other, CLIENT_HELLO_BYTES + PROOF_BYTES);
    shared.counters.record_sent(PeerMethod::Other, SERVER_HELLO_BYTES);
    Ok(session)
}
