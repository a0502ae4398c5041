//! The border to whatever keeps the configuration and the list of upstreams.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::{Duration, Instant};

use cactustrack_types::{Configuration, FailureDomain, Incarnation, ServiceId, UpstreamId};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// A future that stays on the thread of its instance.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// Position in the history of the keeper. It grows with each change.
pub type Revision = u64;

/// An upstream as it is listed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedUpstream {
    /// Name of the upstream.
    pub id: UpstreamId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The failure domain that it runs in.
    pub failure_domain: FailureDomain,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Which life of the process this is.
    pub incarnation: Incarnation,
    /// True if it is about to stop and takes no new work.
    pub leaving: bool,
    /// Until when it is slow because it has just started.
    pub cold_until: Option<Instant>,
    /// Change that wrote the entry.
    pub revision: Revision,
}

/// What is watched.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Topic {
    /// The configuration.
    #[display("configuration")]
    Configuration,
    /// The list of upstreams.
    #[display("upstreams")]
    Upstreams,
}

/// A change of a topic.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A configuration was accepted.
    Configured(Box<Configuration>),
    /// An upstream is listed, or its entry changed.
    Listed(ListedUpstream),
    /// An upstream is no longer listed since a revision.
    Unlisted(UpstreamId, Revision),
}

/// How recent a read has to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The newest state.
    Newest,
    /// May be some seconds old, which costs the keeper a tenth.
    Stale,
}

/// State of a topic at a revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// All that holds.
    pub changes: Vec<Change>,
    /// Revision from which changes follow.
    pub revision: Revision,
}

/// Reply to a watch.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchResult {
    /// Changes in order, none if the wait ended, with the revision to continue from.
    Changes(Snapshot),
    /// The history since the revision is gone, so the topic must be read anew.
    Compacted,
}

/// Why the keeper gave no answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum DiscoveryError {
    /// The keeper cannot be reached or does not answer in time.
    #[display("no answer: {reason}")]
    NoResponse {
        /// What failed.
        reason: String,
    },
    /// The keeper refused the call.
    #[display("refused with status {status}")]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// The reply cannot be read.
    #[display("the reply cannot be read: {reason}")]
    Malformed {
        /// What is wrong.
        reason: String,
    },
    /// The registration of this instance has lapsed.
    #[display("the registration has lapsed")]
    RegistrationExpired,
}

/// The keeper of the configuration, of the list of upstreams and of the list of instances.
pub trait Discovery {
    /// Reads a topic.
    fn read(
        &self,
        topic: Topic,
        freshness: Freshness,
    ) -> LocalFuture<'_, Result<Snapshot, DiscoveryError>>;

    /// Waits for changes of a topic after a revision, at most for `wait`.
    fn watch(
        &self,
        topic: Topic,
        after: Revision,
        wait: Duration,
    ) -> LocalFuture<'_, Result<WatchResult, DiscoveryError>>;

    /// Lists this instance for as long as [`Self::renew`] is called within `ttl`.
    fn register(
        &self,
        address: SocketAddr,
        ttl: Duration,
    ) -> LocalFuture<'_, Result<(), DiscoveryError>>;

    /// Renews the registration. Fails with [`DiscoveryError::RegistrationExpired`] if it has ended.
    fn renew(&self) -> LocalFuture<'_, Result<(), DiscoveryError>>;

    /// Ends the registration.
    fn unregister(&self) -> LocalFuture<'_, Result<(), DiscoveryError>>;

    /// Addresses of registered instances. The answer may be a few seconds old.
    fn instances(&self) -> LocalFuture<'_, Result<Vec<SocketAddr>, DiscoveryError>>;
}
