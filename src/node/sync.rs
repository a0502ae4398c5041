//! Follows the configuration and the list of upstreams, and keeps the instance registered.

use std::rc::Rc;
use std::time::{Duration, Instant};

use cactustrack_fleet::discovery::{Discovery, DiscoveryError, Revision, Topic, Watched};
use cactustrack_observe::Metrics;
use slog::Logger;

use super::state::SharedState;

/// Longest wait of a watch. The keep-alive of the connection notices a silent one earlier.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Pause between two watches, in which changes collect so that they cost one call.
const WATCH_PAUSE: Duration = Duration::from_millis(120);

/// Pause after a call that failed, doubled up to the largest one.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(200);
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Life of the registration without renewal.
const REGISTRATION_TTL: Duration = Duration::from_secs(15);

/// Interval of renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(5);

/// Renewals between two reads of the registered instances.
const RENEWALS_PER_READ: u32 = 3;

/// Keeps the state up to date with discovery.
pub(crate) struct Sync {
    pub(crate) discovery: Rc<dyn Discovery>,
    pub(crate) state: SharedState,
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

impl Sync {
    /// Follows a topic until the process ends.
    pub(crate) async fn follow(self: Rc<Self>, topic: Topic) {
        let mut is_lost = false;
        let mut backoff = Backoff::new();
        let mut position = None;
        loop {
            let result = match position {
                None => self.read(topic).await.map(Some),
                Some(revision) => self.watch(topic, revision).await,
            };
            match result {
                Ok(next) => {
                    position = next;
                    backoff = Backoff::new();
                    self.on_answer(topic, &mut is_lost);
                }
                Err(error) => {
                    self.on_error(topic, &error, &mut is_lost);
                    backoff.pause().await;
                }
            }
        }
    }

    async fn read(&self, topic: Topic) -> Result<Revision, DiscoveryError> {
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
        Ok(snapshot.revision)
    }

    /// Returns the revision to continue from, or `None` if the topic must be read anew.
    async fn watch(
        &self,
        topic: Topic,
        after: Revision,
    ) -> Result<Option<Revision>, DiscoveryError> {
        let watched = self.discovery.watch(topic, after, WATCH_WAIT).await;
        self.count("watch", watched.is_ok());
        let Watched::Changes(snapshot) = watched? else {
            slog::info!(self.log, "members: history is gone, reading anew"; "topic" => %topic);
            return Ok(None);
        };
        let is_changed = !snapshot.changes.is_empty();
        {
            let mut state = self.state.borrow_mut();
            for change in snapshot.changes {
                state.apply(Instant::now(), change);
            }
        }
        if is_changed {
            compio::time::sleep(WATCH_PAUSE).await;
        }
        Ok(Some(snapshot.revision.max(after)))
    }

    fn on_answer(&self, topic: Topic, is_lost: &mut bool) {
        if topic == Topic::Upstreams {
            self.state.borrow_mut().catalog.end_outage(Instant::now());
        }
        if std::mem::take(is_lost) {
            slog::info!(self.log, "store: answers again"; "topic" => %topic);
        }
    }

    fn on_error(&self, topic: Topic, error: &DiscoveryError, is_lost: &mut bool) {
        if topic == Topic::Upstreams {
            self.state.borrow_mut().catalog.begin_outage();
        }
        if !std::mem::replace(is_lost, true) {
            slog::warn!(self.log, "store: does not answer"; "topic" => %topic, "error" => %error);
        }
    }

    /// Keeps the instance registered and reads the registered instances.
    pub(crate) async fn keep_registered(self: Rc<Self>, address: std::net::SocketAddr) {
        let mut backoff = Backoff::new();
        let mut is_registered = false;
        let mut renewals = 0;
        loop {
            let result = if is_registered {
                self.discovery.renew().await
            } else {
                self.discovery.register(address, REGISTRATION_TTL).await
            };
            self.count("register", result.is_ok());
            if let Err(error) = result {
                slog::debug!(self.log, "members: not registered"; "error" => %error);
                is_registered = is_registered && error != DiscoveryError::Lapsed;
                backoff.pause().await;
                continue;
            }
            backoff = Backoff::new();
            is_registered = true;
            if renewals % RENEWALS_PER_READ == 0 {
                self.read_instances(address).await;
            }
            renewals += 1;
            compio::time::sleep(RENEWAL_INTERVAL).await;
        }
    }

    async fn read_instances(&self, own: std::net::SocketAddr) {
        let read = self.discovery.instances().await;
        self.count("instances", read.is_ok());
        match read {
            Ok(addresses) => {
                let others = addresses.into_iter().filter(|address| *address != own);
                self.state.borrow_mut().peers.introduce(Instant::now(), others);
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
