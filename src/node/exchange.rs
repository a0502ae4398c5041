//! Datagrams to and from other instances.

use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::{Duration, Instant};

use cactustrack_fleet::message::{Body, Datagram, FORMAT, MAX_DATAGRAM_BYTES, Notice};
use cactustrack_observe::Metrics;
use cactustrack_types::{Incarnation, InstanceId};
use slog::Logger;

use super::behind::Behind;
use super::state::SharedState;

/// Time in which notices collect before they are sent.
const FLUSH_DELAY: Duration = Duration::from_millis(5);

/// Interval of heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Most notices in a datagram. With the longest usual names it stays below the size limit.
const MAX_NOTICES: usize = 16;

/// Exchange of notices and heartbeats with all other instances.
pub(crate) struct Exchange {
    socket: UdpSocket,
    instance: InstanceId,
    life: Incarnation,
    sequence: Cell<u64>,
    is_flush_due: Cell<bool>,
    state: SharedState,
    behind: Rc<Behind>,
    metrics: Metrics,
    log: Logger,
}

impl Exchange {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub(crate) fn bind(
        address: SocketAddr,
        instance: InstanceId,
        life: Incarnation,
        state: SharedState,
        behind: Rc<Behind>,
        metrics: Metrics,
        log: Logger,
    ) -> io::Result<Rc<Self>> {
        let socket = UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        Ok(Rc::new(Self {
            socket,
            instance,
            life,
            sequence: Cell::new(0),
            is_flush_due: Cell::new(false),
            state,
            behind,
            metrics,
            log,
        }))
    }

    /// Starts to receive and to send heartbeats.
    ///
    /// # Errors
    ///
    /// Fails if the socket cannot be shared with the event loop.
    pub(crate) fn start(self: &Rc<Self>) -> io::Result<()> {
        let socket = compio::net::UdpSocket::from_std(self.socket.try_clone()?)?;
        compio::runtime::spawn(Rc::clone(self).receive(socket)).detach();
        compio::runtime::spawn(Rc::clone(self).beat()).detach();
        Ok(())
    }

    /// Sends the notices that wait, shortly after the first of them.
    pub(crate) fn schedule_flush(self: &Rc<Self>) {
        if self.is_flush_due.replace(true) {
            return;
        }
        let exchange = Rc::clone(self);
        let task = async move {
            compio::time::sleep(FLUSH_DELAY).await;
            exchange.is_flush_due.set(false);
            exchange.flush();
        };
        compio::runtime::spawn(task).detach();
    }

    /// Tells the others at once that the state of the instance has changed.
    pub(crate) fn announce(&self) {
        self.send_heartbeat();
    }

    /// Passes changes on that this instance read from the keeper of the lists.
    pub(crate) fn relay(&self, bodies: Vec<Body>) {
        bodies.into_iter().for_each(|body| self.send(body));
    }

    fn flush(&self) {
        let notices = std::mem::take(&mut self.state.borrow_mut().outbox);
        for notices in notices.chunks(MAX_NOTICES) {
            self.send(Body::Notices(notices.to_vec()));
        }
    }

    async fn beat(self: Rc<Self>) {
        loop {
            self.send_heartbeat();
            let jitter = 0.9 + 0.2 * rand::random::<f64>();
            compio::time::sleep(HEARTBEAT_INTERVAL.mul_f64(jitter)).await;
            self.expire();
        }
    }

    fn expire(&self) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        for peer in state.peers.expire(now) {
            slog::info!(self.log, "members: instance is not heard"; "peer" => &*peer);
            state.view.forget_peer(&peer);
        }
        state.view.expire(now);
        state.catalog.expire(now);
    }

    fn send_heartbeat(&self) {
        let body = {
            let mut state = self.state.borrow_mut();
            Body::Heartbeat {
                in_flight: state.view.load().own(),
                peers: state.peers.introductions(),
                leaving: state.stopping,
                keeper: state.keeper,
            }
        };
        self.send(body);
    }

    /// A datagram that cannot be sent is as good as lost, which the others bear with.
    fn send(&self, body: Body) {
        let (addresses, version) = {
            let state = self.state.borrow();
            let version = state.in_force.as_ref().map_or(0, |in_force| in_force.version);
            (state.peers.addresses(), version)
        };
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        let (from, life) = (self.instance.clone(), self.life);
        let datagram = Datagram { format: FORMAT, from, life, sequence, version, body };
        let bytes = datagram.encode();
        let mut lost = 0;
        for address in &addresses {
            if self.socket.send_to(&bytes, address).is_err() {
                lost += 1;
            }
        }
        let sent = (bytes.len() * addresses.len()) as u64;
        self.metrics.peer_bytes.with_label_values(&["sent"]).inc_by(sent);
        if lost > 0 {
            self.metrics.peer_frames_dropped.with_label_values(&["not_sent"]).inc_by(lost);
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
                    slog::debug!(self.log, "members: no datagram received"; "error" => %error);
                    compio::time::sleep(FLUSH_DELAY).await;
                }
            }
            self.drain();
            buf.clear();
        }
    }

    /// Reads what else has arrived, which costs less than a round of the event loop for each.
    fn drain(&self) {
        let mut buf = [0; MAX_DATAGRAM_BYTES];
        while let Ok((read, from)) = self.socket.recv_from(&mut buf) {
            self.on_bytes(&buf[..read], from);
        }
    }

    fn on_bytes(&self, bytes: &[u8], from: SocketAddr) {
        self.metrics.peer_bytes.with_label_values(&["received"]).inc_by(bytes.len() as u64);
        match Datagram::decode(bytes) {
            Ok(datagram) if datagram.from == self.instance => {}
            Ok(datagram) => self.on_datagram(datagram, from),
            Err(error) => {
                self.metrics.peer_frames_dropped.with_label_values(&["malformed"]).inc();
                slog::debug!(self.log, "members: datagram ignored"; "error" => %error);
            }
        }
    }

    fn on_datagram(&self, datagram: Datagram, address: SocketAddr) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        if !state.peers.accept(now, address, &datagram) {
            return;
        }
        match datagram.body {
            Body::Notices(notices) => {
                for notice in &notices {
                    state.view.on_notice(now, &datagram.from, notice);
                }
            }
            Body::Heartbeat { in_flight, peers, leaving, .. } => {
                state.view.on_heartbeat(now, &datagram.from, &in_flight);
                let own = self.socket.local_addr().ok();
                let others = peers.into_iter().filter(|peer| Some(*peer) != own);
                state.peers.introduce(now, others);
                if leaving && in_flight.is_empty() {
                    state.peers.remove(&datagram.from);
                    state.view.forget_peer(&datagram.from);
                }
            }
            Body::Upstreams(delta) => state.on_upstreams(now, delta),
            Body::Configuration(delta) => state.on_configuration(delta),
            Body::Advanced { topic, revision } => {
                drop(state);
                self.behind.set(topic, revision);
            }
        }
    }
}

/// Takes notices for the others.
pub(crate) trait NoticeSink {
    /// Sends a notice soon.
    fn push(&self, notice: Notice);
}

impl NoticeSink for Rc<Exchange> {
    fn push(&self, notice: Notice) {
        self.state.borrow_mut().outbox.push(notice);
        self.schedule_flush();
    }
}
