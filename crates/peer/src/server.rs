//! The listener for calls of other instances.

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

use crate::connection::{Link, PeerNetwork};
use crate::counters::{PeerCounters, PeerMethod};
use crate::fault::PeerFault;
use crate::handshake::{
    CLIENT_HELLO_BYTES, NONCE_BYTES, PROOF_BYTES, SERVER_HELLO_BYTES, ServerHandshake, Session,
};
use crate::key::PeerKey;
use crate::messages::PeerHandler;
use crate::peer_capnp::peer;
use crate::pool::{read_array, write_bytes};
use crate::rpc::Service;

/// Pause after a failed accept, for example because no file descriptor is free.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);

/// Limits of a [`PeerServer`].
#[derive(Clone, Copy, Debug)]
pub struct ServerConfig {
    /// Time for the handshake.
    pub handshake_timeout: Duration,
    /// Time without a frame after which a connection is closed. It must exceed the idle time of
    /// the pools that connect here, so that the caller closes first.
    pub idle_timeout: Duration,
    /// Connections that are open at a time.
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

/// Accepts connections of other instances and answers their calls. Dropping it closes the
/// listener and all its connections.
pub struct PeerServer {
    address: SocketAddr,
    shared: Rc<Shared>,
    _accept: JoinHandle<()>,
}

struct Shared {
    key: PeerKey,
    handler: Rc<dyn PeerHandler>,
    config: ServerConfig,
    counters: Rc<PeerCounters>,
    open: Cell<usize>,
    closed: Cell<bool>,
    links: RefCell<Vec<Weak<Link>>>,
}

impl PeerServer {
    /// Listens on an address. Must be called within a runtime.
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
            open: Cell::new(0),
            closed: Cell::new(false),
            links: RefCell::default(),
        });
        let accept = spawn(accept_all(listener, shared.clone()));
        Ok(Self { address, shared, _accept: accept })
    }

    /// Returns the address that the server listens on.
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.shared.open.get()
    }
}

impl Drop for PeerServer {
    fn drop(&mut self) {
        // A connection whose handshake is not complete has no link yet.
        self.shared.closed.set(true);
        for link in self.shared.links.borrow().iter().filter_map(Weak::upgrade) {
            link.close();
        }
    }
}

async fn accept_all(listener: TcpListener, shared: Rc<Shared>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) if shared.open.get() < shared.config.max_connections => {
                spawn(serve(stream, OpenConnection::new(shared.clone()))).detach();
            }
            // Dropping the stream closes it.
            Ok(_) => {}
            Err(_) => sleep(ACCEPT_RETRY).await,
        }
    }
}

/// Counts a connection as long as it is open.
struct OpenConnection(Rc<Shared>);

impl OpenConnection {
    fn new(shared: Rc<Shared>) -> Self {
        shared.open.set(shared.open.get() + 1);
        Self(shared)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

async fn serve(mut stream: TcpStream, open: OpenConnection) {
    let shared = &open.0;
    // Replies are small and awaited, so delaying segments only adds latency.
    let _ = stream.set_nodelay(true);
    let handshake = timeout(shared.config.handshake_timeout, accept_handshake(&mut stream, shared));
    let session = handshake.await.unwrap_or(Err(PeerFault::HandshakeTimeout));
    let session = match session {
        Ok(session) => session,
        Err(fault) => return shared.counters.record_fault(fault),
    };
    if shared.closed.get() {
        return;
    }
    let network = PeerNetwork::new(stream, session, Side::Server, shared.counters.clone());
    let link = network.link();
    {
        let mut links = shared.links.borrow_mut();
        links.retain(|link| link.strong_count() > 0);
        links.push(Rc::downgrade(&link));
    }
    let client: peer::Client = capnp_rpc::new_client(Service { handler: shared.handler.clone() });
    let mut system = RpcSystem::new(Box::new(network), Some(client.client));
    // Faults are counted where they are found; the default handler prints to standard output.
    system.set_background_error_handler(|_| {});
    let idle = std::pin::pin!(close_when_idle(&link, shared.config.idle_timeout));
    if let Either::Right(((), system)) = select(system, idle).await {
        let _ = system.await;
    }
}

async fn close_when_idle(link: &Link, idle: Duration) {
    loop {
        let silent = link.last_received().elapsed();
        if silent >= idle {
            return link.close();
        }
        sleep(idle - silent).await;
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
