//! Interface to the store of the configuration, the list of upstreams and the list of instances.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::{Duration, Instant};

use cactustrack_types::{Configuration, FailureDomain, Incarnation, ServiceId, UpstreamId};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// A future that is not `Send` and stays on the thread of its instance.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// Revision of the store, which increases with each change.
pub type Revision = u64;

/// Entry of an upstream in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedUpstream {
    /// Id of the upstream.
    pub id: UpstreamId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub failure_domain: FailureDomain,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// True if it is about to stop and accepts no new requests.
    pub leaving: bool,
    /// End of its slow phase after a cold start.
    pub cold_until: Option<Instant>,
    /// Revision at which the entry was written.
    pub revision: Revision,
}

/// Part of the store that an instance reads and watches.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Topic {
    /// The configuration.
    #[display("configuration")]
    Configuration,
    /// The list of upstreams.
    #[display("upstreams")]
    Upstreams,
}

/// A change to a topic.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A configuration was accepted.
    Configured(Box<Configuration>),
    /// An upstream is listed, or its entry changed.
    Listed(ListedUpstream),
    /// An upstream was removed from the list at a revision.
    Unlisted(UpstreamId, Revision),
}

/// Required consistency of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The newest state.
    Newest,
    /// A state that may be some seconds old. Such a read costs the store a tenth of a read of the
    /// newest state.
    Stale,
}

/// State of a topic at a revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// Changes that together produce the state.
    pub changes: Vec<Change>,
    /// Revision to watch from for later changes.
    pub revision: Revision,
}

/// Result of a watch.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchResult {
    /// Changes in order, with the revision to continue from. Empty if there were none during the
    /// wait.
    Changes(Snapshot),
    /// The store has compacted its history after the revision, so the topic has to be read again.
    Compacted,
}

/// Error of a call to the store.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum DiscoveryError {
    /// The store cannot be reached or does not respond in time.
    #[display("no response from the store: {reason}")]
    NoResponse {
        /// Cause of the failure.
        reason: String,
    },
    /// The store rejected the call.
    #[display("the store rejected the call with HTTP status {status}")]
    Rejected {
        /// HTTP status of the response.
        status: u16,
    },
    /// The response cannot be decoded.
    #[display("malformed response from the store: {reason}")]
    Malformed {
        /// Cause of the decoding error.
        reason: String,
    },
    /// The registration of this instance has expired.
    #[display("the registration has expired")]
    RegistrationExpired,
}

/// Store of the configuration, the list of upstreams and the list of instances.
pub trait Discovery {
    /// Reads the state of a topic.
    fn read(
        &self,
        topic: Topic,
        freshness: Freshness,
    ) -> LocalFuture<'_, Result<Snapshot, DiscoveryError>>;

    /// Waits for changes to a topic after a revision, for at most `wait`.
    fn watch(
        &self,
        topic: Topic,
        after: Revision,
        wait: Duration,
    ) -> LocalFuture<'_, Result<WatchResult, DiscoveryError>>;

    /// Registers this instance. The registration expires unless [`Self::renew`] is called within
    /// `ttl`.
    fn register(
        &self,
        address: SocketAddr,
        ttl: Duration,
    ) -> LocalFuture<'_, Result<(), DiscoveryError>>;

    /// Renews the registration. Returns [`DiscoveryError::RegistrationExpired`] if there is none.
    fn renew(&self) -> LocalFuture<'_, Result<(), DiscoveryError>>;

    /// Ends the registration.
    fn unregister(&self) -> LocalFuture<'_, Result<(), DiscoveryError>>;

    /// Returns the addresses of the registered instances. The list may be a few seconds old.
    fn instances(&self) -> LocalFuture<'_, Result<Vec<SocketAddr>, DiscoveryError>>;
}
