//! Sends and receives UDP datagrams to and from other instances.
//!
//! In small fleets notices go to all instances directly. In larger ones they go to a hub of the own
//! failure domain, which bundles them and forwards them to its own domain and to one hub of each
//! other domain.

use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::{Duration, Instant};

use cactustrack_fleet::batching::NoticeBatching;
use cactustrack_fleet::message::{
    Body, Datagram, FORMAT, MAX_DATAGRAM_BYTES, Notice, RelayedChange, Report, short_instance_id,
    to_stamp,
};
use cactustrack_fleet::peers::{LocalInstance, NoticeRoute};
use cactustrack_fleet::quota::ownership::ShardId;
use cactustrack_observe::Metrics;
use cactustrack_types::Incarnation;
use slog::Logger;

use super::grants::PendingGrants;
use super::hub::{HubBatch, next_delay};
use super::ignored::IgnoredNotices;
use super::lag::LagTracker;
use super::state::{SharedState, time_since_boot};

/// Time for which notices are batched before they are sent.
const FLUSH_DELAY: Duration = Duration::from_millis(5);

/// Mean interval of heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Interval of checks for attempts that have waited too long for a response.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of notices in a datagram. With the longest usual names the datagram stays below
/// the size limit.
const MAX_NOTICES: usize = 16;

/// Pause between datagrams with relayed changes. Sending one datagram to each of 30 instances
/// occupies a link of 10 Mbit/s for about this time.
const RELAY_PAUSE: Duration = Duration::from_millis(30);

/// Exchanges notices, heartbeats and relayed changes with the other instances.
pub(crate) struct PeerMessenger {
    socket: UdpSocket,
    pub(super) own: LocalInstance,
    pub(super) incarnation: Incarnation,
    sequence: Cell<u64>,
    is_flush_scheduled: Cell<bool>,
    /// Batching of the notices of this instance.
    flush_batching: Cell<NoticeBatching>,
    /// Reports that this instance batches as a hub.
    pub(super) hub: HubBatch,
    /// Incremented with each send, to spread notices over the hubs.
    rotation: Cell<usize>,
    pub(super) state: SharedState,
    pub(super) lag: Rc<LagTracker>,
    pub(super) ignored: IgnoredNotices,
    grants: PendingGrants,
    metrics: Metrics,
    pub(super) log: Logger,
}

impl PeerMessenger {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub(crate) fn bind(
        address: SocketAddr,
        own: LocalInstance,
        incarnation: Incarnation,
        state: SharedState,
        lag: Rc<LagTracker>,
        metrics: Metrics,
        log: Logger,
    ) -> io::Result<Rc<Self>> {
        let socket = UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        Ok(Rc::new(Self {
            socket,
            own,
            incarnation,
            sequence: Cell::new(0),
            is_flush_scheduled: Cell::new(false),
            flush_batching: Cell::new(NoticeBatching::new(FLUSH_DELAY)),
            hub: HubBatch::new(),
            rotation: Cell::new(0),
            state,
            lag,
            ignored: IgnoredNotices::new(metrics.clone(), log.clone()),
            grants: PendingGrants::default(),
            metrics,
            log,
        }))
    }

    /// Starts the tasks that receive datagrams, send heartbeats and report overdue attempts.
    ///
    /// # Errors
    ///
    /// Fails if the socket cannot be shared with the event loop.
    pub(crate) fn start(self: &Rc<Self>) -> io::Result<()> {
        let socket = compio::net::UdpSocket::from_std(self.socket.try_clone()?)?;
        compio::runtime::spawn(Rc::clone(self).receive(socket)).detach();
        compio::runtime::spawn(Rc::clone(self).send_heartbeats()).detach();
        compio::runtime::spawn(Rc::clone(self).report_overdue_attempts()).detach();
        Ok(())
    }

    /// Returns the requests to other instances for extra attempts.
    pub(crate) fn grants(&self) -> &PendingGrants {
        &self.grants
    }

    /// Returns the address that datagrams arrive at.
    pub(super) fn local_address(&self) -> Option<SocketAddr> {
        self.socket.local_addr().ok()
    }

    /// Returns the addresses of the other instances.
    pub(crate) fn peer_addresses(&self) -> Vec<SocketAddr> {
        self.state.borrow().peers.addresses()
    }

    /// Returns the address of the instance that owns a quota shard, as far as it is known.
    pub(crate) fn shard_owner(&self, shard: ShardId) -> Option<SocketAddr> {
        self.state.borrow().peers.shard_owner(Instant::now(), shard)
    }

    /// Schedules sending the queued notices after [`FLUSH_DELAY`].
    pub(crate) fn schedule_flush(self: &Rc<Self>) {
        if self.is_flush_scheduled.replace(true) {
            return;
        }
        let messenger = Rc::clone(self);
        let task = async move {
            compio::time::sleep(FLUSH_DELAY).await;
            messenger.is_flush_scheduled.set(false);
            messenger.flush();
        };
        compio::runtime::spawn(task).detach();
    }

    /// Sends a heartbeat at once, because the state of this instance has changed.
    pub(crate) fn announce(&self) {
        self.send_heartbeat();
    }

    /// Relays changes that this instance read from the store. They go through one hub of each other
    /// failure domain, since the link of a relay may be too slow to send them to all instances at
    /// once. Datagrams are spaced out over time so that links do not drop some of them.
    pub(crate) fn relay(self: &Rc<Self>, changes: Vec<RelayedChange>) {
        if changes.is_empty() {
            return;
        }
        let messenger = Rc::clone(self);
        let task = async move {
            for (index, change) in changes.into_iter().enumerate() {
                if index > 0 {
                    compio::time::sleep(RELAY_PAUSE).await;
                }
                messenger.relay_change(change);
            }
        };
        compio::runtime::spawn(task).detach();
    }

    fn relay_change(&self, change: RelayedChange) {
        let rotation = self.next_rotation();
        let targets = self.state.borrow().peers.relay_targets(Instant::now(), &self.own, rotation);
        self.send_to(Body::Change(change.clone()), &targets.same_domain);
        self.send_to(Body::Forward(change), &targets.hubs);
    }

    /// Forwards a relayed change to the other instances of the own failure domain.
    pub(super) fn forward(&self, change: RelayedChange) {
        let same_domain = self.state.borrow().peers.same_domain(&self.own);
        self.send_to(Body::Change(change), &same_domain);
    }

    fn flush(self: &Rc<Self>) {
        let notices = std::mem::take(&mut self.state.borrow_mut().outbox);
        for notices in notices.chunks(MAX_NOTICES) {
            let rotation = self.next_rotation();
            let route = self.state.borrow().peers.route(Instant::now(), &self.own, rotation);
            match route {
                NoticeRoute::All(addresses) => {
                    self.send_to(Body::Notices(notices.to_vec()), &addresses);
                }
                NoticeRoute::Hub(address) => {
                    self.send_to(Body::Notices(notices.to_vec()), &[address]);
                }
                NoticeRoute::LocalInstance => {
                    let from = short_instance_id(&self.own.name, self.incarnation);
                    let sequence = self.next_sequence();
                    self.add_to_bundle(Report { from, sequence, notices: notices.to_vec() });
                }
            }
        }
    }

    pub(super) fn next_rotation(&self) -> usize {
        let rotation = self.rotation.get().wrapping_add(1);
        self.rotation.set(rotation);
        rotation
    }

    fn next_sequence(&self) -> u64 {
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        sequence
    }

    async fn send_heartbeats(self: Rc<Self>) {
        loop {
            self.send_heartbeat();
            let jitter = 0.9 + 0.2 * rand::random::<f64>();
            compio::time::sleep(HEARTBEAT_INTERVAL.mul_f64(jitter)).await;
            self.expire();
        }
    }

    /// Notifies the other instances of attempts that have waited for longer than usual.
    async fn report_overdue_attempts(self: Rc<Self>) {
        loop {
            compio::time::sleep(OVERDUE_CHECK_INTERVAL).await;
            let overdue = self.state.borrow_mut().view.take_overdue(Instant::now());
            for (attempt, notice) in overdue {
                slog::info!(self.log, "health: an attempt is overdue";
                    "upstream" => &*attempt.upstream, "service" => &*attempt.service);
                self.push(notice);
            }
        }
    }

    fn expire(&self) {
        let now = Instant::now();
        self.ignored.log(now);
        let mut state = self.state.borrow_mut();
        for peer in state.peers.expire(now) {
            slog::info!(self.log, "members: instance timed out"; "peer" => &*peer);
            state.forget_stamp(&peer);
            state.view.remove_peer(&peer);
        }
        state.view.expire(now);
        state.catalog.expire(now);
    }

    fn send_heartbeat(&self) {
        let body = {
            let mut state = self.state.borrow_mut();
            Body::Heartbeat {
                in_flight: state.view.load().own(),
                peers: state.peers.sample_addresses(),
                leaving: state.shutdown.is_some(),
                store: state.store_view(),
                failure_domain: self.own.failure_domain.clone(),
                totals: state.view.next_totals(),
                stamp: to_stamp(time_since_boot()),
                quota_shards: state.quotas.as_ref().map_or(0, |known| known.announced_shards()),
            }
        };
        self.send(body);
    }

    fn send(&self, body: Body) {
        let addresses = self.state.borrow().peers.addresses();
        self.send_to(body, &addresses);
    }

    /// Sends a datagram to each address. A failed send is counted and not retried, since the
    /// protocol tolerates lost datagrams.
    pub(crate) fn send_to(&self, body: Body, addresses: &[SocketAddr]) {
        if addresses.is_empty() {
            return;
        }
        let in_force = &self.state.borrow().in_force;
        let version = in_force.as_ref().map_or(0, |in_force| in_force.version);
        let sequence = self.next_sequence();
        let (from, incarnation) = (self.own.name.clone(), self.incarnation);
        let datagram = Datagram { format: FORMAT, from, incarnation, sequence, version, body };
        let bytes = datagram.encode();
        let mut failed = 0;
        for address in addresses {
            if self.socket.send_to(&bytes, address).is_err() {
                failed += 1;
            }
        }
        let sent = (bytes.len() * addresses.len()) as u64;
        self.metrics.peer_bytes.with_label_values(&["sent"]).inc_by(sent);
        if failed > 0 {
            self.metrics.peer_frames_dropped.with_label_values(&["not_sent"]).inc_by(failed);
        }
    }

    async fn receive(self: Rc<Self>, socket: compio::net::UdpSocket) {
        let mut buf = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        loop {
            let compio::BufResult(result, returned) = socket.recv_from(buf).await;
            buf = returned;
            match result {
                Ok((read, from)) => self.on_bytes(&buf[..read], from),
                Err(error) => {
                    slog::debug!(self.log, "members: cannot receive a datagram"; "error" => %error);
                    compio::time::sleep(FLUSH_DELAY).await;
                }
            }
            self.drain();
            buf.clear();
        }
    }

    /// Reads all other datagrams that have arrived, which is cheaper than one event loop iteration
    /// for each.
    fn drain(self: &Rc<Self>) {
        let mut buf = [0; MAX_DATAGRAM_BYTES];
        while let Ok((read, from)) = self.socket.recv_from(&mut buf) {
            self.on_bytes(&buf[..read], from);
        }
    }

    fn on_bytes(self: &Rc<Self>, bytes: &[u8], from: SocketAddr) {
        self.metrics.peer_bytes.with_label_values(&["received"]).inc_by(bytes.len() as u64);
        match Datagram::decode(bytes) {
            Ok(datagram) if datagram.from == self.own.name => {
                self.on_own_name(datagram.incarnation);
            }
            Ok(datagram) => self.on_datagram(datagram, from),
            Err(error) => {
                self.metrics.peer_frames_dropped.with_label_values(&["malformed"]).inc();
                slog::debug!(self.log, "members: datagram ignored"; "error" => %error);
            }
        }
    }

    /// A later process of the same name owns the quota shards of this one, which the platform is
    /// about to end or has failed to end.
    fn on_own_name(&self, incarnation: Incarnation) {
        let quotas = self.state.borrow().quotas.clone();
        if let Some(quotas) = quotas.filter(|_| incarnation > self.incarnation) {
            quotas.ownership.borrow_mut().stop();
        }
    }
}

/// Accepts notices to be sent to the other instances.
pub(crate) trait NoticeSink {
    /// Queues a notice and schedules sending it.
    fn push(&self, notice: Notice);
}

impl NoticeSink for Rc<PeerMessenger> {
    fn push(&self, notice: Notice) {
        let delay = next_delay(&self.flush_batching, std::slice::from_ref(&notice));
        self.state.borrow_mut().outbox.push(notice);
        if delay.is_zero() {
            self.flush();
        } else {
            self.schedule_flush();
        }
    }
}
