//! Simulated network link: a TCP relay that can delay, hold back or silence traffic and break
//! connections.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, mpsc};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use compio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use futures::channel::mpsc as queue;
use futures::future::{Either, select};
use futures::{SinkExt, StreamExt};

/// Interval at which held-back traffic and stop requests check the state of the link.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Largest number of bytes per read.
const READ_BYTES: usize = 16 * 1024;

/// Largest number of chunks in flight in one direction. Together with [`READ_BYTES`] it bounds the
/// memory that a delayed direction uses.
const MAX_CHUNKS: usize = 256;

/// Direction of traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the side that connects to the side that listens.
    Forward,
    /// From the side that listens to the side that connects.
    Backward,
}

/// Faults and delays of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkState {
    /// Delay of bytes from the connecting to the listening side.
    pub forward_delay: Duration,
    /// Delay of bytes from the listening to the connecting side.
    pub backward_delay: Duration,
    /// Holds back bytes from the connecting side.
    pub forward_blocked: bool,
    /// Holds back bytes from the listening side.
    pub backward_blocked: bool,
    /// Closes open connections, and new ones as soon as they are accepted.
    pub is_down: bool,
}

impl LinkState {
    fn delay(&self, direction: Direction) -> Duration {
        match direction {
            Direction::Forward => self.forward_delay,
            Direction::Backward => self.backward_delay,
        }
    }

    fn is_blocked(&self, direction: Direction) -> bool {
        match direction {
            Direction::Forward => self.forward_blocked,
            Direction::Backward => self.backward_blocked,
        }
    }
}

/// Faults and counters of a link.
#[derive(Debug, Default)]
pub struct LinkControl {
    state: Mutex<LinkState>,
    connections: AtomicU64,
    open: AtomicU64,
    silent_before: AtomicU64,
    forward_bytes: AtomicU64,
    backward_bytes: AtomicU64,
    stop: AtomicBool,
}

impl LinkControl {
    /// Changes the state, for both open and new connections.
    pub fn set(&self, change: impl FnOnce(&mut LinkState)) {
        change(&mut self.lock());
    }

    /// Permanently holds back all traffic on the connections that are open now. New connections
    /// work.
    pub fn silence_open_connections(&self) {
        self.silent_before.store(self.connections(), Ordering::SeqCst);
    }

    /// Returns the number of connections that were accepted.
    pub fn connections(&self) -> u64 {
        self.connections.load(Ordering::SeqCst)
    }

    /// Returns the number of connections that are open.
    pub fn open_connections(&self) -> u64 {
        self.open.load(Ordering::SeqCst)
    }

    /// Returns the number of bytes that were forwarded in one direction.
    pub fn bytes(&self, direction: Direction) -> u64 {
        self.counter(direction).load(Ordering::SeqCst)
    }

    fn counter(&self, direction: Direction) -> &AtomicU64 {
        match direction {
            Direction::Forward => &self.forward_bytes,
            Direction::Backward => &self.backward_bytes,
        }
    }

    fn lock(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn state(&self) -> LinkState {
        *self.lock()
    }

    fn is_closing(&self) -> bool {
        self.state().is_down || self.stop.load(Ordering::SeqCst)
    }

    fn is_held(&self, connection: u64, direction: Direction) -> bool {
        let is_silenced = connection < self.silent_before.load(Ordering::SeqCst);
        is_silenced || self.state().is_blocked(direction)
    }
}

/// A relay to one address, on a thread of its own. Dropping it closes its connections.
#[derive(Debug)]
pub struct Link {
    /// Address that the link listens on.
    pub address: SocketAddr,
    /// Its faults and counters.
    pub control: Arc<LinkControl>,
    thread: Option<JoinHandle<()>>,
}

impl Link {
    /// Starts a link to `to` without delays and faults.
    ///
    /// # Panics
    ///
    /// Panics if no port or thread is available.
    pub fn spawn(to: SocketAddr) -> Self {
        let control = Arc::new(LinkControl::default());
        let (tx, rx) = mpsc::channel();
        let serving = Arc::clone(&control);
        let thread = thread::spawn(move || {
            let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
            runtime.block_on(serve(to, &tx, &serving));
        });
        let address = rx.recv().expect("the thread sends its address");
        Self { address, control, thread: Some(thread) }
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.control.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn serve(to: SocketAddr, address: &mpsc::Sender<SocketAddr>, control: &Arc<LinkControl>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let _ = address.send(listener.local_addr().expect("the listener is bound"));
    let accepting = Arc::clone(control);
    let accepting = compio::runtime::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let number = accepting.connections.fetch_add(1, Ordering::SeqCst);
            compio::runtime::spawn(relay(stream, to, number, Arc::clone(&accepting))).detach();
        }
    });
    while !control.stop.load(Ordering::SeqCst) {
        compio::time::sleep(POLL_INTERVAL).await;
    }
    drop(accepting);
}

/// Keeps a connection counted as open until it is dropped.
struct OpenConnection(Arc<LinkControl>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn relay(inbound: TcpStream, to: SocketAddr, number: u64, control: Arc<LinkControl>) {
    if control.is_closing() {
        return;
    }
    control.open.fetch_add(1, Ordering::SeqCst);
    let _open = OpenConnection(Arc::clone(&control));
    let Ok(outbound) = TcpStream::connect(to).await else { return };
    // Without TCP_NODELAY the relay would add delays of its own.
    let _ = (inbound.set_nodelay(true), outbound.set_nodelay(true));
    let forward = pump(inbound.clone(), outbound.clone(), number, Direction::Forward, &control);
    let backward = pump(outbound, inbound, number, Direction::Backward, &control);
    let both = std::pin::pin!(futures::future::join(forward, backward));
    let closing = std::pin::pin!(wait_until_closing(&control));
    // Dropping the other future closes both sockets.
    match select(both, closing).await {
        Either::Left(_) | Either::Right(_) => {}
    }
}

async fn wait_until_closing(control: &LinkControl) {
    while !control.is_closing() {
        compio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Bytes with the time of their arrival at the link. An empty chunk marks the end of the stream.
type Chunk = (Instant, Vec<u8>);

async fn pump(
    from: TcpStream,
    to: TcpStream,
    number: u64,
    direction: Direction,
    control: &LinkControl,
) {
    let (tx, rx) = queue::channel(MAX_CHUNKS);
    let reading = read_chunks(from, tx);
    let writing = write_chunks(to, rx, number, direction, control);
    futures::future::join(reading, writing).await;
}

async fn read_chunks(mut from: TcpStream, mut tx: queue::Sender<Chunk>) {
    loop {
        let (read, mut buf) = from.read(Vec::with_capacity(READ_BYTES)).await.into();
        let bytes = read.unwrap_or_default();
        buf.truncate(bytes);
        if tx.send((Instant::now(), buf)).await.is_err() || bytes == 0 {
            return;
        }
    }
}

async fn write_chunks(
    mut to: TcpStream,
    mut rx: queue::Receiver<Chunk>,
    number: u64,
    direction: Direction,
    control: &LinkControl,
) {
    while let Some((arrived, buf)) = rx.next().await {
        let due = arrived + control.state().delay(direction);
        compio::time::sleep(due.saturating_duration_since(Instant::now())).await;
        while control.is_held(number, direction) {
            compio::time::sleep(POLL_INTERVAL).await;
        }
        if buf.is_empty() {
            let _ = to.shutdown().await;
            return;
        }
        let bytes = buf.len() as u64;
        // Counted before the write, so that a receiver that has the bytes also sees them counted.
        control.counter(direction).fetch_add(bytes, Ordering::SeqCst);
        let (written, _) = to.write_all(buf).await.into();
        if written.is_err() {
            return;
        }
    }
}
