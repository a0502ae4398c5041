//! Connection pool for upstreams.
//!
//! A connection carries one exchange at a time and returns to the pool only after a completed one.
//! The reuse rules determine whether a request can be executed twice or be sent on a silent
//! connection, so the pool is implemented here instead of using that of an HTTP client library.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use cactustrack_types::{Incarnation, UpstreamId};
use compio::net::TcpStream;
use compio::runtime::JoinHandle;
use derive_more::{Display, Error};
use hyper::client::conn::http1::{self, SendRequest};
use rapidhash::RapidHashMap;

use crate::connection_budget::{ConnectionBudget, CountedConnection};
use crate::dead_peer::set_slow_reader_allowed;
use crate::read_limit::{LimitedStream, ReadLimit};
use crate::socket_limits::WriteLimit;
use crate::{RequestBody, SocketLimits, Target, enable_dead_peer_detection};

/// Limits of the pool.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// Idle time after which a connection is closed. Short, since a connection can go silent while
    /// it is idle.
    pub max_idle_age: Duration,
    /// Idle time below which a connection may carry a non-idempotent request, which must not be
    /// sent twice. Zero means that such requests always use a new connection.
    pub recent_age: Duration,
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Maximum size of a connection's buffer in bytes. hyper requires at least 8 KiB.
    pub buffer_bytes: usize,
    /// Limits on the buffers of the sockets. `None` leaves them to the system.
    pub sockets: Option<SocketLimits>,
}

impl Default for PoolLimits {
    fn default() -> Self {
        Self {
            max_idle_age: Duration::from_secs(15),
            recent_age: Duration::ZERO,
            connect_timeout: Duration::from_secs(1),
            buffer_bytes: 64 * 1024,
            sockets: None,
        }
    }
}

/// Reason why no connection could be opened.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum ConnectError {
    /// The limit of open connections to the upstream is reached.
    #[display("limit of connections to the upstream reached")]
    AtLimit,
    /// The limit of all connections is reached, and none to any upstream is idle.
    #[display("limit of all connections reached")]
    BudgetExhausted,
    /// The connection could not be established.
    #[display("connection refused")]
    Refused,
    /// The deadline of the request passed before the connection was open.
    #[display("deadline passed before the connection was open")]
    DeadlinePassed,
    /// The connection was not established within [`PoolLimits::connect_timeout`].
    #[display("connection attempt timed out")]
    TimedOut,
}

/// Key of an upstream's connections. Incarnations of an upstream share no connections.
type PoolKey = (UpstreamId, Incarnation);

#[derive(Default)]
struct Entry {
    idle: Vec<Idle>,
    open: usize,
}

struct Idle {
    parts: ConnectionParts,
    since: Instant,
}

impl Idle {
    /// Returns true if the connection is open, ready and has been idle for less than `age`. hyper
    /// makes a connection ready shortly after the end of a response, and never if the request body
    /// was not read to its end. A connection that is not ready stays in the pool until it expires.
    fn is_usable(&self, age: Duration) -> bool {
        let is_fresh = self.since.elapsed() < age;
        is_fresh && !self.parts.tx.is_closed() && self.parts.tx.is_ready()
    }
}

struct ConnectionParts {
    tx: SendRequest<RequestBody>,
    read_limit: ReadLimit,
    /// Set if upstreams may read uploads slowly.
    slow_uploads: Option<SlowUploads>,
    _counted: CountedConnection,
    // Dropping the handle cancels the task, which closes the socket.
    _driver: JoinHandle<()>,
}

/// Switches the detection of dead peers off while an upload is streamed.
struct SlowUploads {
    stream: TcpStream,
    is_upload: bool,
}

impl SlowUploads {
    fn on_request(&mut self, is_upload: bool) {
        if self.is_upload != is_upload {
            self.is_upload = is_upload;
            set_slow_reader_allowed(&self.stream, is_upload);
        }
    }
}

type Entries = Rc<RefCell<RapidHashMap<PoolKey, Entry>>>;

/// Connections to all upstreams. Cloning shares them.
#[derive(Clone)]
pub struct Pool {
    entries: Entries,
    limits: PoolLimits,
    budget: ConnectionBudget,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(limits: PoolLimits) -> Self {
        Self { entries: Rc::default(), limits, budget: ConnectionBudget::unlimited() }
    }

    /// Sets the limit on all connections, which the pool shares with the connections of callers.
    pub fn with_budget(self, budget: ConnectionBudget) -> Self {
        Self { budget, ..self }
    }

    /// Takes a usable idle connection.
    pub(crate) fn take_idle(&self, target: &Target) -> Option<Connection> {
        self.take_idle_within(target, self.limits.max_idle_age)
    }

    /// Takes a usable connection that has been idle for less than [`PoolLimits::recent_age`].
    pub(crate) fn take_recent(&self, target: &Target) -> Option<Connection> {
        self.take_idle_within(target, self.limits.recent_age)
    }

    /// Returns true if there is a usable idle connection to an upstream. With `recent`, only
    /// connections idle for less than [`PoolLimits::recent_age`] count.
    pub fn has_idle(&self, upstream: &UpstreamId, incarnation: Incarnation, recent: bool) -> bool {
        let entries = self.entries.borrow();
        let Some(entry) = entries.get(&(upstream.clone(), incarnation)) else { return false };
        let age = if recent { self.limits.recent_age } else { self.limits.max_idle_age };
        entry.idle.iter().any(|idle| idle.is_usable(age))
    }

    fn take_idle_within(&self, target: &Target, age: Duration) -> Option<Connection> {
        let key = key_of(target);
        let mut entries = self.entries.borrow_mut();
        let idle = &mut entries.get_mut(&key)?.idle;
        let idle = idle.iter().rposition(|idle| idle.is_usable(age)).map(|at| idle.remove(at))?;
        drop(entries);
        Some(Connection::new(idle.parts, self.slot(key), true))
    }

    /// Opens a connection. May close an idle one to stay within the connection limit.
    pub(crate) async fn connect(&self, target: &Target) -> Result<Connection, ConnectError> {
        let slot = self.reserve(target)?;
        let counted = self.count_connection().ok_or(ConnectError::BudgetExhausted)?;
        let connecting = self.open(target, counted);
        let parts = compio::time::timeout(self.limits.connect_timeout, connecting)
            .await
            .map_err(|_| ConnectError::TimedOut)??;
        Ok(Connection::new(parts, slot, false))
    }

    /// Counts a connection of a caller or to an upstream. If the limit of all connections is
    /// reached, the upstream connection that has been idle for longest is closed in its favour.
    /// Returns `None` if none is idle.
    pub(crate) fn count_connection(&self) -> Option<CountedConnection> {
        loop {
            if let Some(counted) = self.budget.try_add() {
                return Some(counted);
            }
            self.take_oldest_idle()?;
        }
    }

    /// Takes the connection that has been idle for longest out of the pool.
    fn take_oldest_idle(&self) -> Option<Connection> {
        let mut entries = self.entries.borrow_mut();
        // The idle connections of an upstream are in the order in which they became idle.
        let oldest = entries.iter_mut().filter(|(_, entry)| !entry.idle.is_empty());
        let (key, entry) = oldest.min_by_key(|(_, entry)| entry.idle[0].since)?;
        let (key, idle) = (key.clone(), entry.idle.remove(0));
        drop(entries);
        Some(Connection::new(idle.parts, self.slot(key), true))
    }

    /// Closes all idle connections to an upstream.
    pub(crate) fn close_idle(&self, target: &Target) {
        let idle = match self.entries.borrow_mut().get_mut(&key_of(target)) {
            Some(entry) => std::mem::take(&mut entry.idle),
            None => return,
        };
        for idle in idle {
            drop(Connection::new(idle.parts, self.slot(key_of(target)), true));
        }
    }

    /// Closes connections that have been idle for [`PoolLimits::max_idle_age`] or longer, and
    /// removes those that the upstream closed.
    pub fn close_expired(&self) {
        let mut expired = Vec::new();
        for (key, entry) in self.entries.borrow_mut().iter_mut() {
            let stale = |idle: &mut Idle| {
                idle.since.elapsed() >= self.limits.max_idle_age || idle.parts.tx.is_closed()
            };
            let closed = entry.idle.extract_if(.., stale);
            expired.extend(closed.map(|idle| (key.clone(), idle)));
        }
        for (key, idle) in expired {
            drop(Connection::new(idle.parts, self.slot(key), true));
        }
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.entries.borrow().values().map(|entry| entry.open).sum()
    }

    fn reserve(&self, target: &Target) -> Result<Slot, ConnectError> {
        let key = key_of(target);
        self.evict_oldest_idle(&key, target.max_connections);
        let mut entries = self.entries.borrow_mut();
        let entry = entries.entry(key.clone()).or_default();
        if entry.open >= target.max_connections {
            return Err(ConnectError::AtLimit);
        }
        entry.open += 1;
        drop(entries);
        Ok(self.slot(key))
    }

    /// Closes the connection that has been idle for longest if the connection limit is reached.
    /// Requests that need a new connection would otherwise fail until idle ones expire.
    fn evict_oldest_idle(&self, key: &PoolKey, max_connections: usize) {
        let oldest = match self.entries.borrow_mut().get_mut(key) {
            Some(entry) if entry.open >= max_connections && !entry.idle.is_empty() => {
                entry.idle.remove(0)
            }
            _ => return,
        };
        drop(Connection::new(oldest.parts, self.slot(key.clone()), true));
    }

    fn slot(&self, key: PoolKey) -> Slot {
        Slot { entries: Rc::clone(&self.entries), key, held: true }
    }

    async fn open(
        &self,
        target: &Target,
        counted: CountedConnection,
    ) -> Result<ConnectionParts, ConnectError> {
        let stream = TcpStream::connect(target.address).await.map_err(|_| ConnectError::Refused)?;
        // Nagle's algorithm would delay a small request until earlier data is acknowledged.
        let _ = stream.set_nodelay(true);
        enable_dead_peer_detection(&stream).map_err(|_| ConnectError::Refused)?;
        let slow_uploads = self.limits.sockets.map(|limits| {
            limits.apply(&stream);
            SlowUploads { stream: stream.clone(), is_upload: false }
        });
        let read_limit = ReadLimit::new();
        let stream = LimitedStream::new(stream, read_limit.clone())
            .with_write_limit(WriteLimit::new(self.limits.sockets));
        let (tx, connection) = http1::Builder::new()
            .max_buf_size(self.limits.buffer_bytes.max(8192))
            .handshake::<_, RequestBody>(stream)
            .await
            .map_err(|_| ConnectError::Refused)?;
        let driver = compio::runtime::spawn(async move {
            // An error of the connection also fails the exchange on it, which reports it.
            let _ = connection.await;
        });
        Ok(ConnectionParts { tx, read_limit, slow_uploads, _counted: counted, _driver: driver })
    }
}

fn key_of(target: &Target) -> PoolKey {
    (target.upstream.clone(), target.incarnation)
}

/// An open connection's share of the connection limit of its upstream. Dropping it releases the
/// slot, unless the connection returned to the pool and `held` is false.
struct Slot {
    entries: Entries,
    key: PoolKey,
    held: bool,
}

impl Drop for Slot {
    fn drop(&mut self) {
        if !self.held {
            return;
        }
        let mut entries = self.entries.borrow_mut();
        let Some(entry) = entries.get_mut(&self.key) else { return };
        entry.open = entry.open.saturating_sub(1);
        if entry.open == 0 {
            entries.remove(&self.key);
        }
    }
}

/// A connection that carries one exchange. Dropping it closes it.
pub(crate) struct Connection {
    parts: Option<ConnectionParts>,
    slot: Slot,
    /// True if the connection carried an exchange before.
    pub(crate) reused: bool,
}

impl Connection {
    fn new(parts: ConnectionParts, slot: Slot, reused: bool) -> Self {
        Self { parts: Some(parts), slot, reused }
    }

    /// Returns the handle that sends a request on the connection, and limits the bytes that may
    /// arrive before the response head.
    pub(crate) fn start_exchange(
        &mut self,
        is_upload: bool,
    ) -> Option<&mut SendRequest<RequestBody>> {
        let parts = self.parts.as_mut()?;
        if let Some(slow_uploads) = &mut parts.slow_uploads {
            slow_uploads.on_request(is_upload);
        }
        parts.read_limit.on_request();
        Some(&mut parts.tx)
    }

    /// Records that the response head or a frame of the body has arrived.
    pub(crate) fn on_progress(&self) {
        if let Some(parts) = &self.parts {
            parts.read_limit.on_progress();
        }
    }

    /// Returns the connection to the pool after a completed exchange, unless it was closed.
    pub(crate) fn return_to_pool(mut self) {
        let Some(parts) = self.parts.take() else { return };
        if parts.tx.is_closed() {
            return;
        }
        parts.read_limit.on_end();
        self.slot.held = false;
        let mut entries = self.slot.entries.borrow_mut();
        let entry = entries.entry(self.slot.key.clone()).or_default();
        entry.idle.push(Idle { parts, since: Instant::now() });
    }
}
