//! Follows the configuration and the list of upstreams, and keeps the instance registered.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use cactustrack_fleet::discovery::{Discovery, DiscoveryError, Revision, Topic, Watched};
use cactustrack_observe::Metrics;
use futures::future::{Either, select};
use slog::Logger;

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

/// Interval of renewals. A waiting watch does not show that the store has stopped answering, so
/// the renewal, which costs a tenth of a call, is the sign of life.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// Renewals after which the registered instances are read for the first time. Instances that start
/// together are registered by then, and the read may show a state that is some seconds old.
const FIRST_READS: [u32; 3] = [1, 3, 6];

/// Renewals between two later reads of the registered instances.
const RENEWALS_PER_READ: u32 = 12;

/// Pause after a call that failed, doubled up to the largest one.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(150);
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(600);

/// Keeps the state up to date with discovery.
pub(crate) struct Sync {
    pub(crate) discovery: Rc<dyn Discovery>,
    pub(crate) state: SharedState,
    pub(crate) link: StoreLink,
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

/// Where a topic is followed from.
#[derive(Clone, Copy)]
enum Position {
    /// The topic must be read anew.
    Unknown,
    /// Changes after the revision are missing, and may have been missed for long.
    Behind(Revision),
    /// All changes up to the revision are applied.
    Current(Revision),
}

impl Position {
    fn after_outage(self) -> Self {
        match self {
            Self::Current(revision) => Self::Behind(revision),
            other => other,
        }
    }
}

impl Sync {
    /// Follows a topic until the process ends.
    pub(crate) async fn follow(self: Rc<Self>, topic: Topic) {
        let mut backoff = Backoff::new();
        let mut position = Position::Unknown;
        loop {
            self.link.wait_until_up().await;
            let step = std::pin::pin!(self.step(topic, position));
            let down = std::pin::pin!(self.link.wait_until_down());
            match select(step, down).await {
                Either::Left((Ok(next), _)) => {
                    position = next;
                    backoff = Backoff::new();
                }
                Either::Left((Err(error), _)) => {
                    slog::debug!(self.log, "store: no answer"; "topic" => %topic,
                        "error" => %error);
                    self.begin_outage(topic);
                    position = position.after_outage();
                    backoff.pause().await;
                }
                Either::Right(_) => {
                    self.begin_outage(topic);
                    position = position.after_outage();
                }
            }
        }
    }

    async fn step(&self, topic: Topic, position: Position) -> Result<Position, DiscoveryError> {
        match position {
            Position::Unknown => self.read(topic).await,
            Position::Behind(revision) => self.watch(topic, revision, CATCH_UP_WAIT).await,
            Position::Current(revision) => self.watch(topic, revision, WATCH_WAIT).await,
        }
    }

    async fn read(&self, topic: Topic) -> Result<Position, DiscoveryError> {
        let read = self.discovery.read(topic).await;
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
        drop(state);
        self.end_outage(topic);
        Ok(Position::Current(snapshot.revision))
    }

    async fn watch(
        &self,
        topic: Topic,
        after: Revision,
        wait: Duration,
    ) -> Result<Position, DiscoveryError> {
        let watched = self.discovery.watch(topic, after, wait).await;
        self.count("watch", watched.is_ok());
        let Watched::Changes(snapshot) = watched? else {
            slog::info!(self.log, "members: history is gone, reading anew"; "topic" => %topic);
            return Ok(Position::Unknown);
        };
        let is_changed = !snapshot.changes.is_empty();
        {
            let mut state = self.state.borrow_mut();
            for change in snapshot.changes {
                state.apply(Instant::now(), change);
            }
        }
        self.end_outage(topic);
        if is_changed {
            compio::time::sleep(WATCH_PAUSE).await;
        }
        Ok(Position::Current(snapshot.revision.max(after)))
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

    /// Keeps the instance registered, reads the registered instances, and notes whether the store
    /// answers.
    pub(crate) async fn keep_registered(self: Rc<Self>, address: SocketAddr) {
        let mut backoff = Backoff::new();
        let mut is_registered = false;
        let mut renewals = 0;
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
                Err(DiscoveryError::Lapsed) if self.state.borrow().stopping => return,
                Err(DiscoveryError::Lapsed) => {
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
            if FIRST_READS.contains(&renewals)
                || (renewals > 0 && renewals % RENEWALS_PER_READ == 0)
            {
                self.read_instances(address).await;
            }
            renewals += 1;
            compio::time::sleep(RENEWAL_INTERVAL).await;
        }
    }

    fn set_up(&self) {
        if self.link.set_up() {
            slog::info!(self.log, "store: answers");
        }
    }

    fn set_down(&self, error: &DiscoveryError) {
        if self.link.set_down() {
            slog::warn!(self.log, "store: does not answer"; "error" => %error);
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
                state.peers.introduce(Instant::now(), others);
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
