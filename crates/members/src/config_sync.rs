//! State machine that installs accepted configurations on one instance.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use cactustrack_types::{InstanceId, Version};
use derive_more::Display;

use crate::config_offers::{Offer, Offers};
use crate::config_transfer::{Assembly, ConfigChunk, ConfigParts, ConfigWant, Progress};
use crate::store_watch::StoreWatch;

/// Time without a response from the store or a peer after which the configuration is reported as
/// unconfirmed.
pub const UNCONFIRMED_AFTER: Duration = Duration::from_secs(30);
/// Number of peers that a new version is pushed to.
pub const PEER_PUSH_COUNT: usize = 4;
/// Number of peers that a new instance waits for before it installs the highest version.
const START_PEER_COUNT: usize = 2;
/// Maximum time that a new instance waits for the responses of the store and of peers.
const START_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without progress after which a fetch has failed.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of problems that are remembered, so that each is reported only once.
const MAX_REPORTED_PROBLEMS: usize = 32;

/// Version and checksum of a configuration.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("version {version}")]
pub struct ConfigHead {
    /// The version.
    pub version: Version,
    /// Checksum of the encoded configuration, at most 64 bytes.
    pub checksum: Arc<[u8]>,
}

/// Source of a configuration.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ConfigSource {
    /// The platform's store.
    #[display("store")]
    Store,
    /// Another instance.
    #[display("instance {_0}")]
    Peer(InstanceId),
}

/// Result of a read of `head`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeadRead {
    /// The store has this head. The read may be stale.
    Found(ConfigHead),
    /// The store has no configuration.
    Absent,
    /// The read failed.
    Failed,
}

/// Event of a watch of `head`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// The watch is established.
    Started,
    /// The head changed.
    Head(ConfigHead),
    /// The watch could not be established, or ended.
    Ended,
}

/// Whether the configuration in force is known to be current.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ConfigStatus {
    /// No configuration is in force; the instance must not serve traffic.
    #[display("missing")]
    Missing,
    /// The store or a peer responded within [`UNCONFIRMED_AFTER`].
    #[display("confirmed")]
    Confirmed,
    /// Neither the store nor a peer responded within [`UNCONFIRMED_AFTER`].
    #[display("unconfirmed")]
    Unconfirmed,
}

/// A problem to report to operators.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ConfigProblem {
    /// The content of a configuration is unusable.
    #[display("{head} from {origin} is unusable: {reason}")]
    Damaged {
        /// Announced version and checksum.
        head: ConfigHead,
        /// Source of the configuration.
        origin: ConfigSource,
        /// Reason for the rejection.
        reason: Arc<str>,
    },
    /// Two configurations have the same version and different checksums.
    #[display("{origin} has a different checksum for version {}", theirs.version)]
    ChecksumConflict {
        /// The configuration in force, or the one that was offered first.
        ours: ConfigHead,
        /// The conflicting configuration.
        theirs: ConfigHead,
        /// Source of the conflicting configuration.
        origin: ConfigSource,
    },
    /// The store has a lower version than the one in force.
    #[display("the store has version {store}, but version {in_force} is in force")]
    StoreBehind {
        /// Version that the store has.
        store: Version,
        /// Version in force.
        in_force: Version,
    },
}

/// An action that the caller of [`ConfigSync`] must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigAction {
    /// Read `head` from the store and call [`ConfigSync::on_head`].
    ReadHead,
    /// Watch `head` and call [`ConfigSync::on_watch`].
    StartWatch,
    /// Cancel the watch.
    StopWatch,
    /// Read the parts from the store and call [`ConfigSync::on_parts`] or
    /// [`ConfigSync::on_fetch_failed`].
    FetchFromStore(ConfigHead),
    /// Request a chunk from a peer and call [`ConfigSync::on_chunk`] or
    /// [`ConfigSync::on_fetch_failed`].
    FetchFromPeer {
        /// The peer.
        peer: InstanceId,
        /// The chunk.
        want: ConfigWant,
    },
    /// Synchronize configuration heads with this many random peers immediately.
    SyncWithPeers(usize),
    /// Verify the checksum, decode the configuration and bring it into force, then call
    /// [`ConfigSync::on_installed`] or [`ConfigSync::on_rejected`].
    Install {
        /// The encoded configuration.
        parts: ConfigParts,
        /// Source of the configuration.
        origin: ConfigSource,
    },
    /// Announce the version in force to this many random peers immediately.
    Push(usize),
    /// Report a problem.
    Report(ConfigProblem),
    /// Publish the status.
    SetStatus(ConfigStatus),
}

#[derive(Debug)]
struct Fetch {
    origin: ConfigSource,
    assembly: Assembly,
    deadline: Instant,
}

/// The configuration of one instance: the version in force, and the progress towards a newer one.
///
/// Each event method returns the resulting actions. The result of an action may be lost, late or
/// repeated; [`ConfigSync::tick`] repeats actions that timed out and are still needed.
#[derive(Debug)]
pub struct ConfigSync {
    in_force: Option<ConfigParts>,
    status: ConfigStatus,
    started: Instant,
    last_confirmed: Option<Instant>,
    store_read_done: bool,
    responded_peers: BTreeSet<InstanceId>,
    store: StoreWatch,
    offers: Offers,
    fetch: Option<Fetch>,
    installing: Option<(ConfigParts, ConfigSource)>,
    reported: VecDeque<ConfigProblem>,
}

impl ConfigSync {
    /// Creates the state of an instance without a configuration.
    ///
    /// `stagger` delays store calls of instances that do not watch the store. It is drawn at
    /// random between 0 and 2 s, so that the instances of a fleet that restarts do not all call the
    /// store at the same time.
    pub fn new(stagger: Duration, now: Instant) -> Self {
        Self {
            in_force: None,
            status: ConfigStatus::Missing,
            started: now,
            last_confirmed: None,
            store_read_done: false,
            responded_peers: BTreeSet::new(),
            store: StoreWatch::new(stagger, now),
            offers: Offers::new(START_TIMEOUT + stagger),
            fetch: None,
            installing: None,
            reported: VecDeque::new(),
        }
    }

    /// Requests the first configuration from the store and peers.
    pub fn start(&mut self, now: Instant) -> Vec<ConfigAction> {
        self.store.record_read(now);
        vec![ConfigAction::ReadHead, ConfigAction::SyncWithPeers(START_PEER_COUNT)]
    }

    /// Returns the configuration in force.
    pub fn in_force(&self) -> Option<&ConfigParts> {
        self.in_force.as_ref()
    }

    /// Returns the version and checksum of the configuration in force.
    pub fn head(&self) -> Option<&ConfigHead> {
        self.in_force.as_ref().map(|parts| &parts.head)
    }

    /// Returns the status.
    pub fn status(&self) -> ConfigStatus {
        self.status
    }

    /// Returns the chunk of the configuration in force that a peer requests.
    pub fn serve(&self, want: &ConfigWant) -> Option<ConfigChunk> {
        self.in_force.as_ref()?.chunk(want)
    }

    /// Sets whether this instance is one of the watchers of its region.
    pub fn set_watcher(&mut self, watcher: bool, now: Instant) -> Vec<ConfigAction> {
        let mut actions = self.store.set_watcher(watcher, now);
        actions.extend(self.advance(now));
        actions
    }

    /// Handles the result of a read of `head`.
    pub fn on_head(&mut self, read: HeadRead, now: Instant) -> Vec<ConfigAction> {
        self.store.record_read_result();
        self.store_read_done = true;
        let mut actions = Vec::new();
        match read {
            HeadRead::Found(head) => {
                self.last_confirmed = Some(now);
                actions.extend(self.report_if_store_is_behind(&head));
                actions.extend(self.consider_head(head, ConfigSource::Store, now));
            }
            HeadRead::Absent => self.last_confirmed = Some(now),
            HeadRead::Failed => {}
        }
        actions.extend(self.advance(now));
        actions
    }

    /// Handles an event of the watch of `head`.
    pub fn on_watch(&mut self, event: WatchEvent, now: Instant) -> Vec<ConfigAction> {
        let mut actions = self.store.on_watch(&event, now);
        if let WatchEvent::Head(head) = event {
            self.last_confirmed = Some(now);
            actions.extend(self.consider_head(head, ConfigSource::Store, now));
        }
        actions.extend(self.advance(now));
        actions
    }

    /// Handles the head that a peer announced, `None` if the peer has no configuration.
    pub fn on_peer_head(
        &mut self,
        peer: &InstanceId,
        head: Option<ConfigHead>,
        now: Instant,
    ) -> Vec<ConfigAction> {
        self.last_confirmed = Some(now);
        if self.in_force.is_none() && self.responded_peers.len() < START_PEER_COUNT {
            self.responded_peers.insert(peer.clone());
        }
        let mut actions = Vec::new();
        if let Some(head) = head {
            actions.extend(self.consider_head(head, ConfigSource::Peer(peer.clone()), now));
        }
        actions.extend(self.advance(now));
        actions
    }

    /// Handles a chunk from a peer, `None` if the peer no longer has the version.
    pub fn on_chunk(
        &mut self,
        peer: &InstanceId,
        chunk: Option<&ConfigChunk>,
        now: Instant,
    ) -> Vec<ConfigAction> {
        self.last_confirmed = Some(now);
        let origin = ConfigSource::Peer(peer.clone());
        let Some(fetch) = self.fetch.as_mut().filter(|fetch| fetch.origin == origin) else {
            return self.advance(now);
        };
        let progress = chunk.map_or(Progress::Unusable, |chunk| fetch.assembly.add(chunk));
        match progress {
            Progress::More(want) => {
                fetch.deadline = now + FETCH_TIMEOUT;
                vec![ConfigAction::FetchFromPeer { peer: peer.clone(), want }]
            }
            Progress::Complete(parts) => self.on_parts(&origin, parts, now),
            Progress::Unusable => self.on_fetch_failed(&origin, now),
        }
    }

    /// Handles a complete encoded configuration.
    pub fn on_parts(
        &mut self,
        origin: &ConfigSource,
        parts: ConfigParts,
        now: Instant,
    ) -> Vec<ConfigAction> {
        let expected = self
            .fetch
            .as_ref()
            .is_some_and(|fetch| fetch.origin == *origin && *fetch.assembly.head() == parts.head);
        if !expected || self.installing.is_some() || !self.is_newer(&parts.head) {
            // A late or repeated result.
            return self.advance(now);
        }
        self.fetch = None;
        self.installing = Some((parts.clone(), origin.clone()));
        vec![ConfigAction::Install { parts, origin: origin.clone() }]
    }

    /// Handles a fetch without a response or with an unusable one.
    pub fn on_fetch_failed(&mut self, origin: &ConfigSource, now: Instant) -> Vec<ConfigAction> {
        if let Some(fetch) = self.fetch.take_if(|fetch| fetch.origin == *origin) {
            self.offers.postpone(fetch.assembly.head(), origin, now);
            if *origin == ConfigSource::Store {
                // The parts of a version are removed from the store after a newer one was accepted,
                // so the fetch may have failed for that reason.
                self.store.request_read(now);
            }
        }
        self.advance(now)
    }

    /// Handles the installation of the configuration of the last [`ConfigAction::Install`].
    pub fn on_installed(&mut self, now: Instant) -> Vec<ConfigAction> {
        let Some((parts, _)) = self.installing.take() else { return Vec::new() };
        self.offers.remove_up_to(parts.head.version);
        self.in_force = Some(parts);
        let mut actions = vec![ConfigAction::Push(PEER_PUSH_COUNT)];
        actions.extend(self.advance(now));
        actions
    }

    /// Handles the rejection of the configuration of the last [`ConfigAction::Install`], which is
    /// damaged or has a format that this build does not support. The version in force stays.
    pub fn on_rejected(&mut self, reason: &str, now: Instant) -> Vec<ConfigAction> {
        let Some((parts, origin)) = self.installing.take() else { return Vec::new() };
        self.offers.reject(&parts.head, &origin, now);
        let problem = ConfigProblem::Damaged { head: parts.head, origin, reason: reason.into() };
        let mut actions: Vec<_> = self.report(problem).into_iter().collect();
        actions.extend(self.advance(now));
        actions
    }

    /// Handles timeouts. Must be called at least once a second.
    pub fn tick(&mut self, now: Instant) -> Vec<ConfigAction> {
        let mut actions = Vec::new();
        let expired = self.fetch.as_ref().filter(|fetch| fetch.deadline <= now);
        if let Some(origin) = expired.map(|fetch| fetch.origin.clone()) {
            actions.extend(self.on_fetch_failed(&origin, now));
        }
        let time_since_response =
            now.saturating_duration_since(self.last_confirmed.unwrap_or(self.started));
        actions.extend(self.store.tick(self.in_force.is_some(), time_since_response, now));
        actions.extend(self.advance(now));
        actions
    }

    fn is_newer(&self, head: &ConfigHead) -> bool {
        self.head().is_none_or(|in_force| head.version > in_force.version)
    }

    /// Adds an offer for a head if it is newer, and reports a checksum conflict.
    fn consider_head(
        &mut self,
        head: ConfigHead,
        origin: ConfigSource,
        now: Instant,
    ) -> Option<ConfigAction> {
        let known = self.head().filter(|known| known.version == head.version);
        let known = known.or_else(|| self.offers.head_of(head.version)).cloned();
        let conflict = known.filter(|known| known.checksum != head.checksum);
        if self.is_newer(&head) {
            let watcher = self.store.is_watcher();
            self.offers.add(Offer::new(head.clone(), origin.clone()), watcher, now);
        }
        let ours = conflict?;
        self.report(ConfigProblem::ChecksumConflict { ours, theirs: head, origin })
    }

    fn report_if_store_is_behind(&mut self, head: &ConfigHead) -> Option<ConfigAction> {
        let in_force = self.head()?.version;
        let store = head.version;
        (store < in_force).then_some(())?;
        self.report(ConfigProblem::StoreBehind { store, in_force })
    }

    /// Reports a problem unless it was reported before.
    fn report(&mut self, problem: ConfigProblem) -> Option<ConfigAction> {
        if self.reported.contains(&problem) {
            return None;
        }
        if self.reported.len() >= MAX_REPORTED_PROBLEMS {
            self.reported.pop_front();
        }
        self.reported.push_back(problem.clone());
        Some(ConfigAction::Report(problem))
    }

    /// Returns true unless a new instance still waits for heads of the store and of peers.
    fn may_fetch(&self, now: Instant) -> bool {
        let has_responses = self.store_read_done && self.responded_peers.len() >= START_PEER_COUNT;
        let timed_out = now.saturating_duration_since(self.started) >= START_TIMEOUT;
        self.in_force.is_some() || has_responses || timed_out
    }

    /// Starts the next fetch if there is one to start, and updates the status.
    fn advance(&mut self, now: Instant) -> Vec<ConfigAction> {
        let mut actions: Vec<_> = self.start_fetch(now).into_iter().collect();
        let status = self.current_status(now);
        if status != self.status {
            self.status = status;
            actions.push(ConfigAction::SetStatus(status));
        }
        actions
    }

    fn start_fetch(&mut self, now: Instant) -> Option<ConfigAction> {
        if self.fetch.is_some() || self.installing.is_some() || !self.may_fetch(now) {
            return None;
        }
        let offer = self.offers.best(now)?.clone();
        let assembly = Assembly::new(offer.head.clone());
        let want = assembly.want();
        let deadline = now + FETCH_TIMEOUT;
        self.fetch = Some(Fetch { origin: offer.origin.clone(), assembly, deadline });
        Some(match offer.origin {
            ConfigSource::Store => ConfigAction::FetchFromStore(offer.head),
            ConfigSource::Peer(peer) => ConfigAction::FetchFromPeer { peer, want },
        })
    }

    fn current_status(&self, now: Instant) -> ConfigStatus {
        let recent = |at| now.saturating_duration_since(at) < UNCONFIRMED_AFTER;
        match (&self.in_force, self.last_confirmed) {
            (None, _) => ConfigStatus::Missing,
            (Some(_), Some(at)) if recent(at) => ConfigStatus::Confirmed,
            (Some(_), _) => ConfigStatus::Unconfirmed,
        }
    }
}
