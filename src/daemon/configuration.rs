//! The configuration controller: performs the I/O that [`ConfigSync`] requests.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cactustrack_members::{
    ConfigAction, ConfigChunk, ConfigHead, ConfigParts, ConfigSource, ConfigStatus, ConfigSync,
    ConfigWant, HeadRead, WatchEvent,
};
use cactustrack_observe::Metrics;
use cactustrack_store::{ConfigurationRepository, Head, Revision, Store, StoredConfiguration};
use cactustrack_types::InstanceId;
use compio::runtime::JoinHandle;
use slog::Logger;

use super::blackboard::SharedBlackboard;

/// Maximum duration of one watch call. It is shorter than the idle timeout of load balancers and
/// firewalls.
const WATCH_WAIT: Duration = Duration::from_secs(30);

/// Upper bound of the random delay of store calls after the start.
const MAX_STAGGER: Duration = Duration::from_secs(2);

/// Calls to other instances that the configuration controller makes.
pub(crate) trait ConfigPeers {
    /// Synchronizes membership and configuration with this many random instances.
    fn sync_with_random_peers(&self, count: usize);

    /// Requests a chunk of a configuration from an instance.
    fn fetch(&self, peer: InstanceId, want: ConfigWant);
}

/// Keeps the configuration of one instance up to date.
pub(crate) struct ConfigurationController {
    board: SharedBlackboard,
    sync: RefCell<ConfigSync>,
    store: Rc<dyn Store>,
    repository: ConfigurationRepository,
    peers: RefCell<Option<Rc<dyn ConfigPeers>>>,
    watch: RefCell<Option<JoinHandle<()>>>,
    metrics: Metrics,
    log: Logger,
}

impl ConfigurationController {
    /// Creates the controller of an instance without a configuration.
    pub(crate) fn new(
        board: SharedBlackboard,
        store: Rc<dyn Store>,
        prefix: &str,
        metrics: Metrics,
        log: Logger,
    ) -> Rc<Self> {
        let stagger = MAX_STAGGER.mul_f64(rand::random());
        Rc::new(Self {
            board,
            sync: RefCell::new(ConfigSync::new(stagger, Instant::now())),
            repository: ConfigurationRepository::new(Rc::clone(&store), prefix),
            store,
            peers: RefCell::default(),
            watch: RefCell::default(),
            metrics,
            log,
        })
    }

    /// Sets the implementation of the calls to other instances.
    pub(crate) fn set_peers(&self, peers: Rc<dyn ConfigPeers>) {
        *self.peers.borrow_mut() = Some(peers);
    }

    /// Requests the first configuration from the store and from peers.
    pub(crate) fn start(self: &Rc<Self>) {
        let actions = self.sync.borrow_mut().start(Instant::now());
        self.perform(actions);
    }

    /// Handles timeouts and a changed set of watchers. Called several times per second.
    pub(crate) fn tick(self: &Rc<Self>) {
        let now = Instant::now();
        let is_watcher = self.board.borrow().membership.is_watcher();
        let mut actions = self.sync.borrow_mut().set_watcher(is_watcher, now);
        actions.extend(self.sync.borrow_mut().tick(now));
        self.perform(actions);
    }

    /// Returns the version and checksum in force, `None` without a configuration.
    pub(crate) fn head(&self) -> Option<ConfigHead> {
        self.sync.borrow().head().cloned()
    }

    /// Returns the chunk that a peer requests, `None` if this instance does not have it.
    pub(crate) fn serve(&self, want: &ConfigWant) -> Option<ConfigChunk> {
        self.sync.borrow().serve(want)
    }

    /// Handles the version and checksum that a peer has in force.
    pub(crate) fn on_peer_head(self: &Rc<Self>, peer: &InstanceId, head: Option<ConfigHead>) {
        let actions = self.sync.borrow_mut().on_peer_head(peer, head, Instant::now());
        self.perform(actions);
    }

    /// Handles a chunk from a peer, or `None` if the peer does not have it.
    pub(crate) fn on_chunk(self: &Rc<Self>, peer: &InstanceId, chunk: Option<&ConfigChunk>) {
        let actions = self.sync.borrow_mut().on_chunk(peer, chunk, Instant::now());
        self.perform(actions);
    }

    /// Handles a fetch for which the peer call failed.
    pub(crate) fn on_fetch_failed(self: &Rc<Self>, peer: &InstanceId) {
        let origin = ConfigSource::Peer(peer.clone());
        let actions = self.sync.borrow_mut().on_fetch_failed(&origin, Instant::now());
        self.perform(actions);
    }

    fn perform(self: &Rc<Self>, actions: Vec<ConfigAction>) {
        for action in actions {
            self.perform_one(action);
        }
    }

    fn perform_one(self: &Rc<Self>, action: ConfigAction) {
        let peers = self.peers.borrow().clone();
        match action {
            ConfigAction::ReadHead => {
                let controller = Rc::clone(self);
                compio::runtime::spawn(async move { controller.read_head().await }).detach();
            }
            ConfigAction::StartWatch => {
                let controller = Rc::clone(self);
                let task = compio::runtime::spawn(async move { controller.watch_head().await });
                *self.watch.borrow_mut() = Some(task);
            }
            // Dropping the handle cancels the watch.
            ConfigAction::StopWatch => drop(self.watch.borrow_mut().take()),
            ConfigAction::FetchFromStore(head) => {
                let controller = Rc::clone(self);
                compio::runtime::spawn(async move { controller.fetch(head).await }).detach();
            }
            ConfigAction::FetchFromPeer { peer, want } => {
                if let Some(peers) = peers {
                    peers.fetch(peer, want);
                }
            }
            ConfigAction::SyncWithPeers(count) | ConfigAction::Push(count) => {
                if let Some(peers) = peers {
                    peers.sync_with_random_peers(count);
                }
            }
            ConfigAction::Install { parts, origin } => self.install(&parts, &origin),
            ConfigAction::Report(problem) => {
                slog::error!(self.log, "config: {}", problem);
            }
            ConfigAction::SetStatus(status) => self.set_status(status),
        }
    }

    fn set_status(&self, status: ConfigStatus) {
        slog::info!(self.log, "config: status changed"; "status" => %status);
        let unconfirmed = i64::from(status == ConfigStatus::Unconfirmed);
        self.metrics.configuration_unconfirmed.set(unconfirmed);
        self.board.borrow_mut().configuration_status = status;
    }

    async fn read_head(self: Rc<Self>) {
        let read = self.repository.read_head().await;
        let read = match read {
            Ok(Some(head)) => HeadRead::Found(config_head(&head)),
            Ok(None) => HeadRead::Absent,
            Err(error) => {
                slog::debug!(self.log, "config: cannot read the head from the store: {}", error);
                HeadRead::Failed
            }
        };
        let actions = self.sync.borrow_mut().on_head(read, Instant::now());
        self.perform(actions);
    }

    async fn watch_head(self: Rc<Self>) {
        let key = self.repository.head_key();
        let mut revision: Revision = 0;
        let mut started = false;
        loop {
            // The head is read again after each event, so that its format is checked in one place.
            let read = self.repository.read_head().await;
            let event = match &read {
                Ok(Some(head)) => {
                    revision = head.revision;
                    Some(WatchEvent::Head(config_head(head)))
                }
                Ok(None) => None,
                Err(_) => return self.on_watch(WatchEvent::Ended),
            };
            if !started {
                started = true;
                self.on_watch(WatchEvent::Started);
            }
            if let Some(event) = event {
                self.on_watch(event);
            }
            let waited = self.wait_for_change(&key, revision).await;
            if !waited {
                return self.on_watch(WatchEvent::Ended);
            }
        }
    }

    /// Waits until the head has a revision above `revision` or [`WATCH_WAIT`] has passed. Returns
    /// false if the watch failed.
    async fn wait_for_change(&self, key: &str, revision: Revision) -> bool {
        self.store.watch(key, revision + 1, WATCH_WAIT).await.is_ok()
    }

    fn on_watch(self: &Rc<Self>, event: WatchEvent) {
        let actions = self.sync.borrow_mut().on_watch(event, Instant::now());
        self.perform(actions);
    }

    async fn fetch(self: Rc<Self>, head: ConfigHead) {
        let read = self.repository.read(head.version).await;
        let now = Instant::now();
        let actions = match read {
            Ok(stored) if checksum(&stored.checksum) == head.checksum => {
                let parts = config_parts(head, stored);
                self.sync.borrow_mut().on_parts(&ConfigSource::Store, parts, now)
            }
            Ok(_) | Err(_) => self.sync.borrow_mut().on_fetch_failed(&ConfigSource::Store, now),
        };
        self.perform(actions);
    }

    fn install(self: &Rc<Self>, parts: &ConfigParts, origin: &ConfigSource) {
        let now = Instant::now();
        let actions = match decode(parts) {
            Ok(configuration) => {
                let version = configuration.version;
                self.board.borrow_mut().install(now, configuration);
                self.metrics.configuration_version.set(i64::try_from(version).unwrap_or(i64::MAX));
                slog::info!(self.log, "config: version in force";
                    "version" => version, "from" => %origin);
                self.sync.borrow_mut().on_installed(now)
            }
            Err(reason) => self.sync.borrow_mut().on_rejected(&reason, now),
        };
        self.perform(actions);
    }
}

fn decode(parts: &ConfigParts) -> Result<cactustrack_types::Configuration, String> {
    let decoded = cactustrack_config::decode(&parts.parts).map_err(|error| error.to_string())?;
    if checksum(&decoded.checksum.to_string()) != parts.head.checksum {
        return Err("checksum mismatch with the announced configuration".to_owned());
    }
    if decoded.configuration.version != parts.head.version {
        let (inner, announced) = (decoded.configuration.version, parts.head.version);
        return Err(format!(
            "it contains version {inner} but was announced as version {announced}"
        ));
    }
    Ok(decoded.configuration)
}

fn checksum(text: &str) -> Arc<[u8]> {
    Arc::from(text.as_bytes())
}

fn config_head(head: &Head) -> ConfigHead {
    ConfigHead { version: head.version, checksum: checksum(&head.checksum) }
}

fn config_parts(head: ConfigHead, stored: StoredConfiguration) -> ConfigParts {
    let parts: Vec<Arc<[u8]>> = stored.parts.into_iter().map(Arc::from).collect();
    ConfigParts { head, parts: parts.into() }
}
