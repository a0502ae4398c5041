//! Keeps the configuration and the list of upstreams in sync with the store.
//!
//! Only some instances, the relays, watch the store. They forward the changes to the others, which
//! read from the store only what the relays did not deliver.

use std::rc::Rc;
use std::time::{Duration, Instant};

use cactustrack_fleet::discovery::{
    Change, Discovery, DiscoveryError, Freshness, Revision, Snapshot, Topic, WatchResult,
};
use cactustrack_fleet::message::{Delta, RelayedChange, to_ms};
use cactustrack_fleet::outage::{MIN_OUTAGE, RELIST_PERIOD};
use cactustrack_fleet::peers::Peers;
use cactustrack_fleet::relay;
use cactustrack_observe::Metrics;
use cactustrack_types::{InstanceId, Version};
use futures::future::{Either, select};
use slog::Logger;

use super::lag::{LagTracker, RELAY_DELIVERY_TIMEOUT};
use super::messenger::PeerMessenger;
use super::state::{ChangeSource, SharedState, time_since_boot};
use super::store_availability::StoreAvailability;

/// Longest time for which a watch waits for changes.
const WATCH_WAIT: Duration = Duration::from_secs(25);

/// Wait of a watch that only fetches changes that were missed.
const CATCH_UP_WAIT: Duration = Duration::from_millis(1);

/// Pause after a watch that returned changes. Further changes accumulate during it and then cost
/// only one call; the first change after an idle period is still seen at once.
const WATCH_BATCH_DELAY: Duration = Duration::from_millis(600);

/// Interval at which an instance that is not a relay checks whether it lags behind on a topic.
const LAG_CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Time after the start within which the first heartbeats of the other instances arrive. Until
/// then an instance cannot tell whether it is a relay.
pub(super) const PEER_DISCOVERY_TIME: Duration = Duration::from_millis(1_500);

/// Time after the start from which an instance acts on the instances that it knows, even if these
/// are few of the registered ones. Changes must be in force soon after the start as well.
const MAX_PEER_DISCOVERY_TIME: Duration = Duration::from_millis(2_500);

/// Backoff after the first failed call. It doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(150);

/// Longest backoff between failed calls.
const MAX_BACKOFF: Duration = Duration::from_millis(600);

/// Time within which all instances apply a removal that the store has acknowledged, as long as the
/// store, the instances and their links are sound.
const REMOVAL_LIMIT: Duration = Duration::from_secs(2);

/// Time for the messages and calls on the way of a change from the store to an instance, and for
/// work that is in progress meanwhile.
const DELIVERY_MARGIN: Duration = Duration::from_millis(300);

// The longest way of a removal: all relays pause, and the changes before it have not arrived, so
// the instance waits for another relay and then reads. If a relay has noticed an outage that the
// others have not, the removal takes effect when the first of these delivers it, after their pause.
const _: () = {
    let on_time = WATCH_BATCH_DELAY.as_millis()
        + LAG_CHECK_INTERVAL.as_millis()
        + RELAY_DELIVERY_TIMEOUT.as_millis()
        + LAG_CHECK_INTERVAL.as_millis()
        + DELIVERY_MARGIN.as_millis();
    assert!(on_time <= REMOVAL_LIMIT.as_millis());
    // A removal that a relay reads after an outage is delayed from the end of the outage.
    assert!(RELIST_PERIOD.as_millis() + DELIVERY_MARGIN.as_millis() <= REMOVAL_LIMIT.as_millis());
    // A watch that is cut is repeated after one backoff.
    assert!(MIN_BACKOFF.as_millis() * 2 < MIN_OUTAGE.as_millis());
};

/// Keeps the state of the instance in sync with discovery.
pub(crate) struct DiscoverySync {
    pub(crate) discovery: Rc<dyn Discovery>,
    pub(crate) state: SharedState,
    pub(crate) store_availability: StoreAvailability,
    pub(crate) messenger: Rc<PeerMessenger>,
    pub(crate) lag: Rc<LagTracker>,
    pub(crate) instance: InstanceId,
    pub(crate) started: Instant,
    pub(crate) metrics: Metrics,
    pub(crate) log: Logger,
}

/// Exponential backoff with jitter for failed calls.
pub(super) struct Backoff(Duration);

impl Backoff {
    pub(super) fn new() -> Self {
        Self(MIN_BACKOFF)
    }

    pub(super) async fn pause(&mut self) {
        let jitter = 0.75 + 0.5 * rand::random::<f64>();
        compio::time::sleep(self.0.mul_f64(jitter)).await;
        self.0 = (self.0 * 2).min(MAX_BACKOFF);
    }
}

/// What an action for a topic has found.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// The topic is in sync, as far as the action shows.
    InSync,
    /// The store did not have the history for a watch, so the whole topic was read.
    HistoryLost,
}

/// Next action for a topic.
#[derive(Clone, Copy)]
enum Action {
    /// Read the whole topic.
    Read,
    /// Fetch the changes missed since a revision.
    CatchUp(Revision),
    /// Wait for changes after a revision, as a relay.
    Watch(Revision),
    /// Wait for the relays to deliver changes.
    WaitForRelays,
}

impl DiscoverySync {
    /// Keeps a topic in sync until the process ends.
    pub(crate) async fn sync_topic(self: Rc<Self>, topic: Topic) {
        let mut backoff = Backoff::new();
        let mut was_disconnected = false;
        let mut is_history_unreadable = false;
        let mut progress = Progress::InSync;
        loop {
            self.store_availability.wait_until_available().await;
            let action = match self.next_action(topic, was_disconnected) {
                Action::Watch(_) | Action::CatchUp(_) if is_history_unreadable => Action::Read,
                action => action,
            };
            let started = Instant::now();
            let running = std::pin::pin!(self.run_action(topic, action));
            let unavailable = std::pin::pin!(self.store_availability.wait_until_unavailable());
            match select(running, unavailable).await {
                Either::Left((Ok(found), _)) => {
                    was_disconnected = false;
                    is_history_unreadable = false;
                    // A store that has no history even for what was just read would be read without a
                    // pause.
                    if found == Progress::HistoryLost && progress == found {
                        backoff.pause().await;
                    } else {
                        backoff = Backoff::new();
                    }
                    progress = found;
                }
                Either::Left((Err(error), _)) => {
                    slog::debug!(self.log, "store: call failed"; "topic" => %topic,
                        "error" => %error);
                    // The same watch would return the same events again.
                    is_history_unreadable = matches!(error, DiscoveryError::Malformed { .. });
                    let since = match action {
                        // The watch waited for an unknown time before it was cut.
                        Action::Watch(_) => Instant::now(),
                        _ => started,
                    };
                    self.on_store_failure(topic, since);
                    was_disconnected = true;
                    backoff.pause().await;
                }
                Either::Right(_) => {
                    let since = self.store_availability.unavailable_since();
                    self.on_store_failure(topic, since.unwrap_or_else(Instant::now));
                    was_disconnected = true;
                }
            }
        }
    }

    fn next_action(&self, topic: Topic, was_disconnected: bool) -> Action {
        let state = self.state.borrow();
        let Some(revision) = state.revision(topic) else { return Action::Read };
        let elsewhere = state.newest_change_elsewhere(topic);
        if was_disconnected || self.lag.check(topic, revision, elsewhere) {
            return Action::CatchUp(revision);
        }
        let now = Instant::now();
        if are_peers_known(now - self.started, &state.peers)
            && state.peers.is_relay(now, &self.instance, true)
        {
            return Action::Watch(revision);
        }
        Action::WaitForRelays
    }

    async fn run_action(&self, topic: Topic, action: Action) -> Result<Progress, DiscoveryError> {
        match action {
            Action::Read => self.read(topic).await.map(|()| Progress::InSync),
            Action::CatchUp(revision) => self.watch(topic, revision, CATCH_UP_WAIT).await,
            Action::Watch(revision) => self.watch(topic, revision, WATCH_WAIT).await,
            Action::WaitForRelays => {
                compio::time::sleep(LAG_CHECK_INTERVAL).await;
                Ok(Progress::InSync)
            }
        }
    }

    /// Reads a whole topic.
    async fn read(&self, topic: Topic) -> Result<(), DiscoveryError> {
        let is_first = self.state.borrow().revision(topic).is_none();
        if topic == Topic::Upstreams && is_first && self.read_stale_upstreams().await? {
            return Ok(());
        }
        let started = time_since_boot();
        let read = self.discovery.read(topic, Freshness::Newest).await;
        self.count_call("read", read.is_ok());
        let snapshot = read?;
        let now = Instant::now();
        let relayed = match topic {
            Topic::Upstreams => self.replace_upstreams(now, snapshot),
            Topic::Configuration => {
                let version = newest_version(&snapshot);
                let era = snapshot.revision.era();
                let known = self.state.borrow().store_view().configuration;
                let relayed =
                    self.apply_changes(now, topic, ChangeSource::Read, Revision::NONE, snapshot);
                let mut state = self.state.borrow_mut();
                if let Some(version) = version {
                    state.confirm(started, version, era);
                }
                // At the start of a fleet all instances read.
                let is_news = !known.is_none() && state.store_view().configuration > known;
                if is_news { relayed } else { Vec::new() }
            }
        };
        self.messenger.relay(relayed);
        self.on_store_response(topic);
        Ok(())
    }

    /// Replaces the list of upstreams and returns the differences if this instance is a relay.
    /// Others may learn from nobody else of entries that were removed meanwhile.
    fn replace_upstreams(&self, now: Instant, snapshot: Snapshot) -> Vec<RelayedChange> {
        let mut state = self.state.borrow_mut();
        let is_relay = state.peers.is_relay(now, &self.instance, true);
        let reading = state.replace_upstreams(now, snapshot);
        reading.filter(|_| is_relay).map(|reading| reading.to_relayed(now)).into_iter().collect()
    }

    /// Applies changes that were read and returns them if this instance is a relay.
    fn apply_changes(
        &self,
        now: Instant,
        topic: Topic,
        source: ChangeSource,
        after: Revision,
        snapshot: Snapshot,
    ) -> Vec<RelayedChange> {
        let mut state = self.state.borrow_mut();
        let recovery_ms = to_ms(state.catalog.outages().own_recovery_left(now));
        let Snapshot { changes, revision } = &snapshot;
        let delta = Delta { after, revision: *revision, recovery_ms, content: &changes[..] };
        let is_relay = state.peers.is_relay(now, &self.instance, true);
        let relayed = is_relay.then(|| relay::to_relayed(now, topic, &delta));
        state.on_changes(now, topic, source, after, snapshot);
        relayed.unwrap_or_default()
    }

    /// Reads the upstreams as they were some seconds ago, which is cheaper for the store, and then
    /// the changes since. The list takes many calls, and after a power failure all instances read
    /// it at the same time. Returns false if the store no longer has these changes.
    async fn read_stale_upstreams(&self) -> Result<bool, DiscoveryError> {
        let topic = Topic::Upstreams;
        let read = self.discovery.read(topic, Freshness::Stale).await;
        self.count_call("read_stale", read.is_ok());
        let stale = read?;
        let watched = self.discovery.watch(topic, stale.revision, CATCH_UP_WAIT).await;
        self.count_call("watch", watched.is_ok());
        let WatchResult::Changes(newer) = watched? else { return Ok(false) };
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        let after = stale.revision;
        state.replace_upstreams(now, stale);
        state.on_changes(now, topic, ChangeSource::Watch, after, newer);
        drop(state);
        self.on_store_response(topic);
        Ok(true)
    }

    async fn watch(
        &self,
        topic: Topic,
        after: Revision,
        wait: Duration,
    ) -> Result<Progress, DiscoveryError> {
        let watched = self.discovery.watch(topic, after, wait).await;
        self.count_call("watch", watched.is_ok());
        let WatchResult::Changes(snapshot) = watched? else {
            slog::info!(self.log, "members: the store has lost its history; reading the whole topic";
                "topic" => %topic, "after" => %after);
            self.read(topic).await?;
            return Ok(Progress::HistoryLost);
        };
        self.on_store_response(topic);
        let now = Instant::now();
        let is_changed = !snapshot.changes.is_empty();
        let after = match topic {
            // Nothing has changed in between, so instances that know less can apply the changes.
            Topic::Upstreams => after.min(self.state.borrow().catalog.unchanged_since()),
            Topic::Configuration => after,
        };
        let relayed = self.apply_changes(now, topic, ChangeSource::Watch, after, snapshot);
        self.messenger.relay(relayed);
        if is_changed {
            compio::time::sleep(WATCH_BATCH_DELAY).await;
        }
        Ok(Progress::InSync)
    }

    /// Records that calls for a topic have failed since a time.
    fn on_store_failure(&self, topic: Topic, since: Instant) {
        if topic == Topic::Upstreams {
            self.state.borrow_mut().catalog.outages_mut().on_failure(since);
        }
    }

    /// Records that a call for a topic got a response.
    fn on_store_response(&self, topic: Topic) {
        if topic == Topic::Upstreams {
            self.state.borrow_mut().catalog.outages_mut().on_response(Instant::now());
        }
    }

    pub(super) fn count_call(&self, operation: &str, is_ok: bool) {
        let result = if is_ok { "ok" } else { "error" };
        self.metrics.store_calls.with_label_values(&[operation, result]).inc();
    }
}

/// Returns true if an instance that started before this time knows enough others to tell whether it
/// is a relay or an attester. If all instances start together, each would otherwise take itself for
/// one and call the store.
pub(super) fn are_peers_known(since_start: Duration, peers: &Peers) -> bool {
    let may_wait = since_start < MAX_PEER_DISCOVERY_TIME;
    since_start >= PEER_DISCOVERY_TIME && (peers.is_fleet_known() || !may_wait)
}

/// Returns the version of the configuration in a snapshot, `None` if it could not be decoded.
fn newest_version(snapshot: &Snapshot) -> Option<Version> {
    snapshot.changes.iter().rev().find_map(|change| match change {
        Change::Configured(configuration, _) => Some(configuration.version),
        _ => None,
    })
}
