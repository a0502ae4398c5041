//! Interface to the store of the configuration, the list of upstreams and the list of instances.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::{Duration, Instant};

use cactustrack_types::{
    Configuration, FailureDomain, Incarnation, InstanceId, MAX_SLOTS, ServiceId, UpstreamId,
};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::quota::ownership::ShardId;
pub use crate::revision::{Era, FIRST_ERA, Revision};

/// A future that is not `Send` and stays on the thread of its instance.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

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
    /// Number of the write within the incarnation, as the upstream counts its writes.
    pub sequence: u64,
    /// True if it is about to stop and accepts no new requests.
    pub leaving: bool,
    /// End of its slow phase after a cold start.
    pub cold_until: Option<Instant>,
    /// Revision at which the entry was written.
    pub revision: Revision,
}

/// Longest name in an entry, in bytes. Entries are relayed in datagrams, which longer ones exceed.
pub const MAX_NAME_BYTES: usize = 200;

/// Longest slow phase after a cold start that an entry may state. A longer one is shortened to it.
pub const MAX_COLD_PHASE: Duration = Duration::from_secs(3_600);

/// An entry names no upstream that requests can be sent to.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("{field} is out of range")]
pub struct UnusableEntry {
    /// The field that rules it out.
    pub field: EntryField,
}

/// Field of an entry.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum EntryField {
    /// The id, which requests carry in a header.
    #[display("the id")]
    Id,
    /// The name of the service.
    #[display("the service")]
    Service,
    /// The address.
    #[display("the address")]
    Address,
    /// The failure domain.
    #[display("the failure domain")]
    FailureDomain,
    /// The number of slots.
    #[display("the number of slots")]
    Slots,
}

impl ListedUpstream {
    /// Checks that requests can be sent to the upstream and that its entry can be relayed.
    ///
    /// # Errors
    ///
    /// Names the first field that is out of range.
    pub fn check(&self) -> Result<(), UnusableEntry> {
        let is_name = |name: &str| !name.is_empty() && name.len() <= MAX_NAME_BYTES;
        let is_id = is_name(&self.id) && self.id.bytes().all(|byte| byte.is_ascii_graphic());
        let ip = self.address.ip();
        let is_address = self.address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast();
        let checks = [
            (is_id, EntryField::Id),
            (is_name(&self.service), EntryField::Service),
            (is_address, EntryField::Address),
            (is_name(&self.failure_domain), EntryField::FailureDomain),
            ((1..=MAX_SLOTS).contains(&self.slots), EntryField::Slots),
        ];
        match checks.into_iter().find(|(is_valid, _)| !is_valid) {
            Some((_, field)) => Err(UnusableEntry { field }),
            None => Ok(()),
        }
    }
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
    Configured(Box<Configuration>, Revision),
    /// An upstream is listed, or its entry changed.
    Listed(ListedUpstream),
    /// An upstream was removed from the list at a revision.
    Unlisted(UpstreamId, Revision),
}

impl Change {
    /// Returns the revision of a change to the list of upstreams.
    pub fn upstream_revision(&self) -> Option<Revision> {
        match self {
            Self::Listed(upstream) => Some(upstream.revision),
            Self::Unlisted(_, revision) => Some(*revision),
            Self::Configured(..) => None,
        }
    }
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

/// The configuration in the store, as a linearizable read found it. Only a decoded one can be
/// compared with the one in force.
#[derive(Clone, Debug, PartialEq)]
pub enum StoredConfiguration {
    /// It is the one at the revision that the caller stated.
    Unchanged,
    /// It was decoded.
    Decoded {
        /// The configuration.
        configuration: Box<Configuration>,
        /// Revision at which it was written.
        revision: Revision,
    },
    /// It cannot be decoded.
    Undecodable {
        /// Revision at which it was written.
        revision: Revision,
    },
    /// The store holds none.
    Missing,
}

impl StoredConfiguration {
    /// Returns the era in which it was read, `None` if the response does not contain it.
    pub fn era(&self) -> Option<Era> {
        match self {
            Self::Decoded { revision, .. } | Self::Undecodable { revision } => Some(revision.era()),
            Self::Unchanged | Self::Missing => None,
        }
    }
}

/// Result of a watch.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchResult {
    /// Changes in order, with the revision to continue from. Empty if there were none during the
    /// wait.
    Changes(Snapshot),
    /// The store does not have its history since the revision: it was compacted, or the store came
    /// back from a copy. The topic has to be read again.
    HistoryLost,
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
    /// The store has no such lease, or is in another era than that of the lease.
    #[display("the lease has expired")]
    LeaseExpired,
}

/// Id of a lease in the store.
pub type LeaseId = u64;

/// A lease of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Id of the lease. The store gives ids out again after it came back from a copy.
    pub id: LeaseId,
    /// Era in which the lease was granted. It stands for nothing in any other.
    pub era: Era,
    /// Time after the execution of the call at which the store ends the lease unless it is renewed.
    pub ttl: Duration,
}

/// A claim of a quota shard, which is executed only if the shard is at the expected revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardClaim {
    /// The shard.
    pub shard: ShardId,
    /// Revision of the shard's key, [`Revision::NONE`] if nobody may hold the shard.
    pub expected: Revision,
}

/// A quota shard that an instance holds in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldShard {
    /// The shard.
    pub shard: ShardId,
    /// Revision at which it was claimed.
    pub revision: Revision,
    /// The instance that holds it, `None` if the entry cannot be decoded.
    pub owner: Option<ShardOwner>,
}

/// The process that owns a quota shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardOwner {
    /// Id of the instance.
    pub name: InstanceId,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// Era in which the shard was claimed, 0 if it is not stated. In a later era the entry came out of a
    /// copy of the store and proves nothing.
    #[serde(default)]
    pub era: Era,
}

/// Result of a transaction that claims shards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// All shards of the transaction are attached to the lease.
    Claimed {
        /// Revision of the shards' keys after the transaction.
        revision: Revision,
    },
    /// Nothing was changed, because a shard is not at the expected revision. Contains those shards of
    /// the transaction that some instance holds.
    Conflict(Vec<HeldShard>),
}

/// Store of the ownership of quota shards. A call that fails with [`DiscoveryError::NoResponse`] may
/// have been executed, or may still be.
pub trait QuotaStore {
    /// Returns the highest era that a response has stated, 0 before the first one.
    fn era(&self) -> Era;

    /// Requests a lease.
    fn grant_lease(&self, ttl: Duration) -> LocalFuture<'_, Result<Lease, DiscoveryError>>;

    /// Renews a lease. Returns its time to live, or [`DiscoveryError::LeaseExpired`].
    fn keep_lease(&self, lease: Lease) -> LocalFuture<'_, Result<Duration, DiscoveryError>>;

    /// Ends a lease, which removes its shards. A lease of an earlier era is left to expire.
    fn end_lease(&self, lease: Lease) -> LocalFuture<'_, Result<(), DiscoveryError>>;

    /// Claims shards in one transaction. Returns [`DiscoveryError::LeaseExpired`] if the store has no
    /// such lease or is in another era. A claim that expects a revision of another era than that of the
    /// lease is not sent and counts as a conflict.
    fn claim<'a>(
        &'a self,
        lease: Lease,
        owner: &'a ShardOwner,
        claims: &'a [ShardClaim],
    ) -> LocalFuture<'a, Result<ClaimOutcome, DiscoveryError>>;

    /// Reads the shards that some instance holds.
    fn held_shards(&self) -> LocalFuture<'_, Result<Vec<HeldShard>, DiscoveryError>>;
}

/// Store of the configuration, the list of upstreams and the list of instances.
pub trait Discovery {
    /// Reads the state of a topic.
    fn read(
        &self,
        topic: Topic,
        freshness: Freshness,
    ) -> LocalFuture<'_, Result<Snapshot, DiscoveryError>>;

    /// Reads the newest configuration. The read is linearizable: it returns what the store
    /// acknowledged before this call, or something newer. `known` is the revision that the last such
    /// read of the caller returned. If it is still the newest one, the configuration is not decoded
    /// again.
    fn read_configuration(
        &self,
        known: Option<Revision>,
    ) -> LocalFuture<'_, Result<StoredConfiguration, DiscoveryError>>;

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
