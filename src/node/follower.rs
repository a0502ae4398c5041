//! Follows the configuration and the list of upstreams, and keeps the instance registered.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use cactustrack_fleet::discovery::{
    Discovery, DiscoveryError, Freshness, Revision, Topic, WatchResult,
};
use cactustrack_fleet::message::Delta;
use cactustrack_fleet::relay;
use cactustrack_observe::Metrics;
use cactustrack_types::InstanceId;
use futures::future::{Either, select};
use slog::Logger;

use super::behind::Behind;
use super::exchange::Exchange;
use super::link::StoreLink;
use super::state::SharedState;

/// Longest wait of a watch.
const WATCH_WAIT: Duration = Duration::from_secs(25);

/// Wait of the first watch after an outage, which only fetches what was missed.
const CATCH_UP_WAIT: Duration = Duration::from_millis(1);

/// Pause after changes, in which further ones collect so that they cost one call. The first change
/// after a quiet time is seen at once.
const WATCH_PAUSE: Duration = Duration::from_millis(600);

/// Life of the registration without renewal.
const REGISTRATION_TTL: Duration = Duration::from_secs(15);

/// Time for which an instance leaves a topic to the relays before it looks at it again.
const REST: Duration = Duration::from_millis(150);

/// Time after the start in which the other instances are heard for the first time. Until then an
/// instance does not know whether it has to relay.
const SETTLING_TIME: Duration = Duration::from_millis(1_500);

/// Interval of renewals of an instance that is not a relay.
const RESTING_RENEWAL_INTERVAL: Duration = Duration::from_secs(4);

/// Interval of renewals of a relay. A waiting watch does not show that the store has stopped answering, so
/// the renewal, which costs a tenth of a call, is the sign of life.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// Times after the registration at which the registered instances are read for the first time.
/// Instances that start together are registered by then, and the read may show a state that is
/// some seconds old.
const FIRST_READS: [Duration; 3] =
    [Duration::from_secs(1), Duration::from_secs(3), Duration::from_secs(6)];

/// Interval of later reads of the registered instances.
const READ_INTERVAL: Duration = Duration::from_secs(12);

/// Pause after a call that failed, doubled up to the largest one.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(150);
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(600);

/// Keeps the state up to date with discovery.
pub(crate) struct Follower {
    pub(crate) discovery: Rc<dyn Discovery>,
    pub(crate) state: SharedState,
    pub(crate) link: StoreLink,
    pub(crate) exchange: Rc<Exchange>,
    pub(crate) behind: Rc<Behind>,
    pub(crate) instance: InstanceId,
    pub(crate) started: Instant,
    pub(crate) metrics: Metrics,
    pub(crate) log: Logger,
}

/// Pause before the next attempt at a call that failed.
struct Backoff(Duration);

impl Backoff {
    fn new() -> Self {
        Self(FIRST_RETRY_PAUSE)
    }

    async fn pause(&mut self) {
        let jitter = 0.75 + 0.5 * rand::random::<f64>();
        compio::time::sleep(self.0.mul_f64(jitter)).await;
        self.0 = (self.0 * 2).min(MAX_RETRY_PAUSE);
    }
}

/// What to do next for a topic.
#[derive(Clone, Copy)]
enum Step {
    /// Read it as a whole.
    Read,
    /// Fetch the changes that were missed.
    CatchUp(Revision),
    /// Wait for changes as a relay.
    Watch(Revision),
    /// Leave it to the relays for a moment.
    Rest,
}

impl Follower {
    /// Follows a topic until the process ends.
    pub(crate) async fn follow(self: Rc<Self>, topic: Topic) {
        let mut backoff = Backoff::new();
        let mut was_cut_off = false;
        loop {
            self.link.wait_until_up().await;
            let step = self.next_step(topic, was_cut_off);
            let doing = std::pin::pin!(self.act(topic, step));
            let down = std::pin::pin!(self.link.wait_until_down());
            match select(doing, down).await {
                Either::Left((Ok(()), _)) => {
                    was_cut_off = false;
                    backoff = Backoff::new();
                }
                Either::Left((Err(error), _)) => {
                    slog::debug!(self.log, "store: no answer"; "topic" => %topic,
                        "error" => %error);
                    self.begin_outage(topic);
                    was_cut_off = true;
                    backoff.pause().await;
                }
                Either::Right(_) => {
                    self.begin_outage(topic);
                    was_cut_off = true;
                }
            }
        }
    }

    fn next_step(&self, topic: Topic, was_cut_off: bool) -> Step {
        let state = self.state.borrow();
        let Some(revision) = state.revision(topic) else { return Step::Read };
        let others = state.peers.known_revisions();
        if was_cut_off || self.behind.check(topic, revision, &others) {
            return Step::CatchUp(revision);
        }
        let now = Instant::now();
        let is_settled = now.duration_since(self.started) >= SETTLING_TIME;
        if is_settled && state.peers.is_relay(now, &self.instance, true) {
            return Step::Watch(revision);
        }
        Step::Rest
    }

    async fn act(&self, topic: Topic, step: Step) -> Result<(), DiscoveryError> {
        match step {
            Step::Read => self.read(topic).await,
            Step::CatchUp(revision) => self.watch(topic, revision, CATCH_UP_WAIT).await,
            Step::Watch(revision) => self.watch(topic, revision, WATCH_WAIT).await,
            Step::Rest => {
                compio::time::sleep(REST).await;
                Ok(())
            }
        }
    }

    /// Reads a topic as a whole.
    async fn read(&self, topic: Topic) -> Result<(), DiscoveryError> {
        let is_first = self.state.borrow().revision(topic).is_none();
        if topic == Topic::Upstreams && is_first && self.read_stale_upstreams().await? {
            return Ok(());
        }
        let read = self.discovery.read(topic, Freshness::Newest).await;
        self.count("read", read.is_ok());
        let snapshot = read?;
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        match topic {
            Topic::Upstreams => state.replace_upstreams(now, snapshot.changes),
            Topic::Configuration => {
                for change in snapshot.changes {
                    state.apply(now, change);
                }
            }
        }
        state.advance(topic, snapshot.revision);
        drop(state);
        self.end_outage(topic);
        Ok(())
    }

    /// Reads the upstreams as they were some seconds ago and then what has changed since. The list
    /// takes many calls, and after a loss of power all instances read it at once. Returns false if
    /// the changes can no longer be had.
    async fn read_stale_upstreams(&self) -> Result<bool, DiscoveryError> {
        let topic = Topic::Upstreams;
        let read = self.discovery.read(topic, Freshness::Stale).await;
        self.count("read_stale", read.is_ok());
        let listed = read?;
        let watched = self.discovery.watch(topic, listed.revision, CATCH_UP_WAIT).await;
        self.count("watch", watched.is_ok());
        let WatchResult::Changes(later) = watched? else { return Ok(false) };
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        state.replace_upstreams(now, listed.changes);
        for change in later.changes {
            state.apply(now, change);
        }
        state.advance(topic, later.revision.max(listed.revision));
        drop(state);
        self.end_outage(topic);
        Ok(true)
    }

    async fn watch(
        &self,
        topic: Topic,
        after: Revision,
        wait: Duration,
    ) -> Result<(), DiscoveryError> {
        let watched = self.discovery.watch(topic, after, wait).await;
        self.count("watch", watched.is_ok());
        let WatchResult::Changes(snapshot) = watched? else {
            slog::info!(self.log, "members: history is gone, reading anew"; "topic" => %topic);
            return self.read(topic).await;
        };
        self.end_outage(topic);
        let now = Instant::now();
        let is_changed = !snapshot.changes.is_empty();
        let revision = snapshot.revision.max(after);
        let bodies = {
            let mut state = self.state.borrow_mut();
            let after_outage = state.catalog.is_recovering(now);
            let content = &snapshot.changes[..];
            let read = Delta { after, revision, after_outage, content };
            let is_relay = state.peers.is_relay(now, &self.instance, true);
            let bodies = is_relay.then(|| relay::to_bodies(now, topic, &read));
            for change in snapshot.changes {
                state.apply(now, change);
            }
            state.advance(topic, revision);
            bodies.unwrap_or_default()
        };
        self.exchange.relay(bodies);
        if is_changed {
            compio::time::sleep(WATCH_PAUSE).await;
        }
        Ok(())
    }

    fn begin_outage(&self, topic: Topic) {
        if topic == Topic::Upstreams {
            self.state.borrow_mut().catalog.begin_outage();
        }
    }

    fn end_outage(&self, topic: Topic) {
        if topic == Topic::Upstreams {
            self.state.borrow_mut().catalog.end_outage(Instant::now());
        }
    }

    /// Keeps the instance registered and notes whether the store answers.
    pub(crate) async fn keep_registered(self: Rc<Self>, address: SocketAddr) {
        let mut backoff = Backoff::new();
        let mut is_registered = false;
        loop {
            let result = if is_registered {
                self.discovery.renew().await
            } else {
                self.discovery.register(address, REGISTRATION_TTL).await
            };
            self.count(if is_registered { "renew" } else { "register" }, result.is_ok());
            match result {
                Ok(()) => self.set_up(),
                // The stop has ended the registration.
                Err(DiscoveryError::RegistrationExpired) if self.state.borrow().stopping => return,
                Err(DiscoveryError::RegistrationExpired) => {
                    slog::info!(self.log, "members: the registration has lapsed");
                    is_registered = false;
                    continue;
                }
                Err(error) => {
                    self.set_down(&error);
                    backoff.pause().await;
                    continue;
                }
            }
            backoff = Backoff::new();
            is_registered = true;
            self.wait_for_renewal().await;
        }
    }

    /// Waits until the next renewal is due, which comes sooner when the instance becomes a relay.
    async fn wait_for_renewal(&self) {
        let renewed = Instant::now();
        loop {
            compio::time::sleep(RENEWAL_INTERVAL).await;
            let now = Instant::now();
            let is_relay = self.state.borrow().peers.is_relay(now, &self.instance, true);
            if is_relay || now.duration_since(renewed) >= RESTING_RENEWAL_INTERVAL {
                return;
            }
        }
    }

    /// Reads the registered instances from time to time.
    pub(crate) async fn follow_instances(self: Rc<Self>, address: SocketAddr) {
        let started = Instant::now();
        for at in FIRST_READS {
            compio::time::sleep(at.saturating_sub(started.elapsed())).await;
            self.read_instances(address).await;
        }
        loop {
            compio::time::sleep(READ_INTERVAL).await;
            self.link.wait_until_up().await;
            self.read_instances(address).await;
        }
    }

    fn set_up(&self) {
        if self.link.set_up() {
            slog::info!(self.log, "store: answers");
            self.state.borrow_mut().store.is_up = true;
        }
    }

    fn set_down(&self, error: &DiscoveryError) {
        if self.link.set_down() {
            slog::warn!(self.log, "store: does not answer"; "error" => %error);
            self.state.borrow_mut().store.is_up = false;
            // Another instance has to relay in place of this one.
            self.exchange.announce();
        }
    }

    async fn read_instances(&self, own: SocketAddr) {
        let read = self.discovery.instances().await;
        self.count("instances", read.is_ok());
        match read {
            Ok(addresses) => {
                let mut state = self.state.borrow_mut();
                state.peers.set_registered(addresses.len());
                let others = addresses.into_iter().filter(|address| *address != own);
                state.peers.add_addresses(Instant::now(), others);
            }
            Err(error) => {
                slog::debug!(self.log, "members: instances cannot be read"; "error" => %error);
            }
        }
    }

    fn count(&self, operation: &str, is_ok: bool) {
        let result = if is_ok { "ok" } else { "error" };
        self.metrics.store_calls.with_label_values(&[operation, result]).inc();
    }
}
