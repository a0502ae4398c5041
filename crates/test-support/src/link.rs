//! Stand-in for a network link: a TCP relay whose delays, cuts and silent connections tests control.

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

/// Interval at which held bytes and stop requests look at the state of the link.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Bytes read at a time.
const READ_BYTES: usize = 16 * 1024;

/// Pieces under way in one direction. With [`READ_BYTES`] it bounds what a delayed direction holds.
const MAX_PIECES: usize = 256;

/// Direction of bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the side that connects to the side that listens.
    Forward,
    /// From the side that listens to the side that connects.
    Backward,
}

/// State of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkState {
    /// Time that bytes take from the connecting to the listening side.
    pub forward_delay: Duration,
    /// Time that bytes take from the listening to the connecting side.
    pub backward_delay: Duration,
    /// True if bytes from the connecting side are held back.
    pub forward_blocked: bool,
    /// True if bytes from the listening side are held back.
    pub backward_blocked: bool,
    /// True if open connections are broken and new ones are closed at once.
    pub is_down: bool,
}

impl LinkState {
    fn delay(&self, direction: Direction) -> Duration {
        match direction {
            Direction::Forward => self.forward_delay,
            Direction::Backward => self.backward_delay,
        }
    }

    fn is_cut(&self, direction: Direction) -> bool {
        match direction {
            Direction::Forward => self.forward_blocked,
            Direction::Backward => self.backward_blocked,
        }
    }
}

/// Controls a link and shows what passed.
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
    /// Changes the state for open and for new connections.
    pub fn set(&self, change: impl FnOnce(&mut LinkState)) {
        change(&mut self.lock());
    }

    /// Makes all connections that are open now silent for good. New ones work.
    pub fn silence_open_connections(&self) {
        self.silent_before.store(self.connections(), Ordering::SeqCst);
    }

    /// Number of connections that were accepted.
    pub fn connections(&self) -> u64 {
        self.connections.load(Ordering::SeqCst)
    }

    /// Number of connections that are open.
    pub fn open_connections(&self) -> u64 {
        self.open.load(Ordering::SeqCst)
    }

    /// Bytes that were passed on in one direction.
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

    fn is_broken(&self) -> bool {
        self.state().is_down || self.stop.load(Ordering::SeqCst)
    }

    fn holds(&self, connection: u64, direction: Direction) -> bool {
        let silent = connection < self.silent_before.load(Ordering::SeqCst);
        silent || self.state().is_cut(direction)
    }
}

/// A relay to one address on a thread of its own. Dropping it breaks its connections.
#[derive(Debug)]
pub struct Link {
    /// Where the link listens.
    pub address: SocketAddr,
    /// Its faults and counters.
    pub control: Arc<LinkControl>,
    thread: Option<JoinHandle<()>>,
}

impl Link {
    /// Starts a link to `to` without delay.
    ///
    /// # Panics
    ///
    /// Panics if the machine has no free port or thread.
    pub fn spawn(to: SocketAddr) -> Self {
        let control = Arc::new(LinkControl::default());
        let (tx, rx) = mpsc::channel();
        let serving = Arc::clone(&control);
        let thread = thread::spawn(move || {
            let runtime = compio::runtime::Runtime::new().expect("a runtime for the link");
            runtime.block_on(serve(to, &tx, &serving));
        });
        let address = rx.recv().expect("the address of the link");
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
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let _ = address.send(listener.local_addr().expect("a bound address"));
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

/// Counts an open connection while it lives.
struct Open(Arc<LinkControl>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn relay(near: TcpStream, to: SocketAddr, number: u64, control: Arc<LinkControl>) {
    if control.is_broken() {
        return;
    }
    control.open.fetch_add(1, Ordering::SeqCst);
    let _open = Open(Arc::clone(&control));
    let Ok(far) = TcpStream::connect(to).await else { return };
    // The link adds no delay of its own.
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let forward = pump(near.clone(), far.clone(), number, Direction::Forward, &control);
    let backward = pump(far, near, number, Direction::Backward, &control);
    let both = std::pin::pin!(futures::future::join(forward, backward));
    let broken = std::pin::pin!(until_broken(&control));
    // Dropping the other one closes both sockets.
    match select(both, broken).await {
        Either::Left(_) | Either::Right(_) => {}
    }
}

async fn until_broken(control: &LinkControl) {
    while !control.is_broken() {
        compio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Bytes with the time of their arrival at the link. No bytes stand for the end of the direction.
type Piece = (Instant, Vec<u8>);

async fn pump(
    from: TcpStream,
    to: TcpStream,
    number: u64,
    direction: Direction,
    control: &LinkControl,
) {
    let (tx, rx) = queue::channel(MAX_PIECES);
    let reading = read_pieces(from, tx);
    let writing = write_pieces(to, rx, number, direction, control);
    futures::future::join(reading, writing).await;
}

async fn read_pieces(mut from: TcpStream, mut tx: queue::Sender<Piece>) {
    loop {
        let (read, mut buf) = from.read(Vec::with_capacity(READ_BYTES)).await.into();
        let bytes = read.unwrap_or_default();
        buf.truncate(bytes);
        if tx.send((Instant::now(), buf)).await.is_err() || bytes == 0 {
            return;
        }
    }
}

async fn write_pieces(
    mut to: TcpStream,
    mut rx: queue::Receiver<Piece>,
    number: u64,
    direction: Direction,
    control: &LinkControl,
) {
    while let Some((arrived, buf)) = rx.next().await {
        let due = arrived + control.state().delay(direction);
        compio::time::sleep(due.saturating_duration_since(Instant::now())).await;
        while control.holds(number, direction) {
            compio::time::sleep(POLL_INTERVAL).await;
        }
        if buf.is_empty() {
            let _ = to.shutdown().await;
            return;
        }
        let bytes = buf.len() as u64;
        // Counted first, so that a receiver that has the bytes also sees them in the counter.
        control.counter(direction).fetch_add(bytes, Ordering::SeqCst);
        let (written, _) = to.write_all(buf).await.into();
        if written.is_err() {
            return;
        }
    }
}
