//! Datagrams between instances.
//!
//! Every datagram contains absolute counts for the upstreams that it names, and the total attempts at
//! the services where one starts. The next datagram thus corrects any error that a lost, duplicated
//! or late one caused.

use std::net::SocketAddr;
use std::time::Duration;

use cactustrack_types::{FailureDomain, Incarnation, InstanceId, ServiceId, UpstreamId, Version};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::attempt_totals::{AttemptTotals, ServiceTotals};
use crate::discovery::{Revision, Topic};
use crate::quota::ownership::ShardId;

/// Version of the encoding. Datagrams with another version are ignored.
pub const FORMAT: u8 = 12;

/// Largest datagram, in bytes. It stays below the usual MTU of 1,500 bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// A message from one instance to others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Version of the encoding, see [`FORMAT`].
    pub format: u8,
    /// Sender.
    pub from: InstanceId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Sequence number within the incarnation of the sender. Datagrams older than the newest one
    /// are ignored.
    pub sequence: u64,
    /// Version of the configuration in force at the sender, 0 if there is none.
    pub version: Version,
    /// Content of the datagram.
    pub body: Body,
}

/// Content of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Events of the sender's attempts since its last datagram of this kind.
    Notices(Vec<Notice>),
    /// Notices of several instances, collected by a hub.
    Bundle(Bundle),
    /// All requests in flight from the sender, and addresses of some other instances.
    Heartbeat {
        /// Requests in flight by upstream. Upstreams that are not listed have none.
        in_flight: Vec<InFlight>,
        /// Addresses of other instances.
        peers: Vec<SocketAddr>,
        /// True if the sender is stopping and should receive no more datagrams.
        leaving: bool,
        /// State of the store as the sender knows it.
        store: StoreView,
        /// Failure domain of the sender.
        failure_domain: FailureDomain,
        /// Attempts of the sender by service. Up to
        /// [`MAX_SERVICES_PER_HEARTBEAT`](crate::attempt_totals::MAX_SERVICES_PER_HEARTBEAT)
        /// services are stated at a time.
        totals: Vec<ServiceTotals>,
        /// Time at which the heartbeat was sent, by the sender's own clock. See [`Stamp`].
        stamp: Stamp,
        /// Quota shards that the sender owns.
        quota_shards: ShardSet,
    },
    /// A change to a topic, from a relay.
    Change(RelayedChange),
    /// A change for a hub of another failure domain, which forwards it within that domain.
    Forward(RelayedChange),
    /// Asks the receiver to make an extra attempt less, so that the sender may make one more.
    GrantRequest(GrantRequest),
    /// Answers a [`Body::GrantRequest`].
    Grant {
        /// Number of the request.
        number: u64,
        /// True if the sender of the request may make the attempt.
        is_granted: bool,
    },
    /// States that the configuration of the sender, whose version the datagram contains, was the
    /// newest one at a time after it received the stamp.
    Attestation {
        /// Incarnation of the receiver that sent the stamp.
        incarnation: Incarnation,
        /// The stamp, from a heartbeat of the receiver.
        stamp: Stamp,
    },
    /// Asks the owner of a quota shard for allowance of a client account.
    QuotaRequest(QuotaRequest),
    /// Answers a [`Body::QuotaRequest`].
    QuotaGrant(QuotaGrant),
    /// Hands a quota shard over to the receiver.
    QuotaTransfer(QuotaTransfer),
    /// Asks the receiver whether it can take over quota shards of the sender.
    QuotaOffer {
        /// Number of the offer.
        number: u64,
    },
    /// Accepts a [`Body::QuotaOffer`]. It is sent only by an instance that has just read from the
    /// store.
    QuotaOfferAccepted {
        /// Number of the offer.
        number: u64,
    },
}

/// Time since the boot of an instance's machine, with the time for which it was suspended, in
/// milliseconds. Only the instance that made a stamp can interpret it.
pub type Stamp = u64;

/// Set of quota shards. Bit `n` stands for shard `n`.
pub type ShardSet = u64;

/// Request for allowance of a client account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// Number of the request, unique within the incarnation of its sender.
    pub number: u64,
    /// The account, see [`short_account_id`].
    pub account: ShortId,
    /// Number of tokens that the sender asks for, one for each request to admit.
    pub tokens: u16,
}

/// Answer to a [`QuotaRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// Number of the request.
    pub number: u64,
    /// Outcome of the request.
    pub outcome: QuotaOutcome,
}

/// Decision of the owner of a quota shard on a [`QuotaRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaOutcome {
    /// The sender may admit one request for each token.
    Granted {
        /// Number of tokens, at least one.
        tokens: u16,
    },
    /// The account has used its quota.
    Exhausted {
        /// Time until one token is due, in milliseconds.
        retry_after_ms: u32,
    },
    /// The receiver does not own the shard of the account, or cannot prove that it still does.
    NotOwner,
}

/// Transfer of a quota shard by its owner, which grants nothing from the shard after this state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaTransfer {
    /// The shard.
    pub shard: ShardId,
    /// Revision at which the owner claimed the shard. The receiver's claim expects it, so that it
    /// fails if the shard has been claimed since.
    pub revision: Revision,
    /// Time for which the sender has owned the shard, in milliseconds. An account that is not in
    /// `levels` has used none of the tokens that it got since then. Zero if accounts were left out.
    pub owned_ms: u32,
    /// Tokens of the accounts in use.
    pub levels: Vec<QuotaLevel>,
}

/// Tokens of a client account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaLevel {
    /// The account, see [`short_account_id`].
    pub account: ShortId,
    /// Number of whole tokens.
    pub tokens: u32,
}

/// A change to a topic that a relay has read from the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayedChange {
    /// Changes to the list of upstreams.
    Upstreams(Delta<PackedChanges>),
    /// A part of a configuration.
    Configuration(Delta<ConfigurationPart>),
    /// What a relay that has read the whole list of upstreams found to differ from what it knew.
    UpstreamList(ListDifference),
    /// A change that is too large for datagrams and has to be read from the store.
    NewRevision {
        /// Topic that changed.
        topic: Topic,
        /// Revision of the change.
        revision: Revision,
    },
}

/// Request for an extra attempt within the allowance of another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Number of the request, unique within the incarnation of its sender.
    pub number: u64,
    /// Service of the attempt, see [`short_service_id`].
    pub service: ShortId,
    /// True for a hedge.
    pub is_hedge: bool,
}

/// Notices collected by a hub.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bundle {
    /// True if the receiver is a hub of another failure domain, which forwards the bundle within
    /// that domain.
    pub forward: bool,
    /// The notices, grouped by sender.
    pub reports: Vec<Report>,
}

/// Notices of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The instance and its incarnation, see [`short_instance_id`].
    pub from: ShortId,
    /// Sequence number of the report within the incarnation of the instance.
    pub sequence: u64,
    /// Notices of the instance.
    pub notices: Vec<Notice>,
}

/// State of the store as an instance knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreView {
    /// True if the store responds to the instance.
    pub is_up: bool,
    /// Newest revision at which the store is known to have held the configuration in force at the
    /// instance, [`Revision::NONE`] if there is none.
    pub configuration: Revision,
    /// The list of upstreams that the instance knows.
    pub upstreams: ListState,
}

/// Digest of the entries of a list of upstreams. Equal lists have the same
/// digest, whatever the changes by which they came about. An empty list has digest 0.
pub type ListDigest = u64;

/// State of a list of upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListState {
    /// Revision up to which all changes were applied, [`Revision::NONE`] if no list was read.
    pub revision: Revision,
    /// Digest of the entries.
    pub digest: ListDigest,
}

/// Changes after one revision, up to and including another one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta<T> {
    /// Revision that the receiver must have reached to apply the changes.
    pub after: Revision,
    /// Revision of the receiver after it has applied the changes.
    pub revision: Revision,
    /// Time for which entries that expired in an outage of the store may still be written again, in
    /// milliseconds. Zero if the sender has noticed no outage.
    pub recovery_ms: u32,
    /// The changes.
    pub content: T,
}

/// Difference between two states of the list of upstreams. It says nothing on the changes in
/// between, so it applies to the first state only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListDifference {
    /// Digest of the first state.
    pub base: ListDigest,
    /// The second state.
    pub state: ListState,
    /// See [`Delta::recovery_ms`].
    pub recovery_ms: u32,
    /// The changes that lead from the first state to the second one.
    pub content: PackedChanges,
}

/// Part of a configuration that exceeds the size of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationPart {
    /// Version of the configuration.
    pub version: Version,
    /// Index of the part, from 0.
    pub index: u16,
    /// Number of parts.
    pub count: u16,
    /// Slice of the encoded configuration.
    pub bytes: Vec<u8>,
}

/// Changes to the list of upstreams, encoded and compressed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedChanges(pub Vec<u8>);

/// A change to the list of upstreams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamChange {
    /// Id of the upstream.
    pub id: UpstreamId,
    /// Revision of the change.
    pub revision: Revision,
    /// New entry, or `None` if the upstream is no longer listed.
    pub entry: Option<UpstreamEntry>,
}

/// Entry of an upstream without its id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEntry {
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
    /// See [`ListedUpstream::sequence`](crate::discovery::ListedUpstream::sequence).
    pub sequence: u64,
    /// True if it is about to stop.
    pub leaving: bool,
    /// Remaining duration of its slow phase after a cold start, in milliseconds.
    pub cold_ms: u32,
}

/// Requests in flight from one instance at one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlight {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Number of requests in flight.
    pub count: u16,
}

/// Hash that replaces a name in notices. Notices are frequent, and a name would take more space
/// than all other fields together.
pub type ShortId = u32;

/// Returns the short id of an upstream.
pub fn short_upstream_id(upstream: &str) -> ShortId {
    fold_to_short_id(hash(upstream.bytes()))
}

/// Returns the short id of a service.
pub fn short_service_id(service: &str) -> ShortId {
    fold_to_short_id(hash(service.bytes()))
}

/// Returns the short id of a client account.
pub fn short_account_id(account: &str) -> ShortId {
    fold_to_short_id(hash(account.bytes()))
}

/// Returns the short id of one incarnation of an instance.
pub fn short_instance_id(instance: &str, incarnation: Incarnation) -> ShortId {
    fold_to_short_id(hash(instance.bytes().chain(incarnation.0.to_le_bytes())))
}

/// Computes the FNV-1a hash, which is the same in every process.
pub(crate) fn hash(bytes: impl Iterator<Item = u8>) -> u64 {
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

fn fold_to_short_id(hash: u64) -> ShortId {
    (hash ^ (hash >> 32)) as ShortId
}

/// Event of an attempt, sent to the other instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The upstream, see [`short_upstream_id`].
    pub upstream: ShortId,
    /// Requests in flight from the sender to the upstream after the event.
    pub in_flight: u16,
    /// The event.
    pub event: Event,
}

/// An event in the course of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// The attempt started.
    Started {
        /// True for a retry or hedge: the request was sent to another upstream before.
        extra: bool,
        /// Attempts of the sender at the service so far, including this one.
        totals: AttemptTotals,
    },
    /// The attempt ended.
    Ended {
        /// Observation about the upstream, if the attempt allows one.
        observed: Option<Observation>,
        /// Time to the response head, in milliseconds.
        latency_ms: u32,
        /// True if the upstream had a slot for each request in flight, so that the attempt probably
        /// did not queue.
        had_free_slot: bool,
    },
    /// The attempt has waited for a response for far longer than usual.
    Overdue,
}

/// Observation about an upstream, made by an attempt.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Observation {
    /// A complete response in the usual time.
    #[display("served")]
    Served,
    /// A complete response that took far longer than usual.
    #[display("slow")]
    Slow,
    /// A response that reports a failure of the upstream.
    #[display("error answer")]
    ErrorResponse,
    /// The connection broke before a response arrived.
    #[display("broken")]
    Broken,
    /// The response ended before its announced length.
    #[display("cut short")]
    CutShort,
    /// No connection could be opened.
    #[display("unreachable")]
    Unreachable,
    /// The attempt has waited for a response for far longer than usual and has not ended.
    #[display("overdue")]
    Overdue,
    /// No response arrived within many times the usual time.
    #[display("no answer")]
    NoResponse,
    /// The upstream rejected the request as busy although it had a free slot.
    #[display("refused with room")]
    RejectedWithFreeSlot,
}

impl Observation {
    /// Returns true if the upstream took far longer than usual.
    pub fn is_late(self) -> bool {
        matches!(self, Self::Slow | Self::Overdue | Self::NoResponse)
    }

    /// Returns true if the upstream failed to serve the request.
    pub fn is_failure(self) -> bool {
        !matches!(self, Self::Served | Self::Slow)
    }
}

/// Reason why a datagram is ignored.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum DatagramError {
    /// The bytes cannot be decoded.
    #[display("malformed datagram")]
    Malformed,
    /// The datagram has another format than [`FORMAT`].
    #[display("unsupported datagram format {_0}")]
    Format(#[error(not(source))] u8),
}

impl Datagram {
    /// Encodes the datagram.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding into a vector fails only for sequences of unknown length, which are not used.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are malformed or have another format.
    pub fn decode(bytes: &[u8]) -> Result<Self, DatagramError> {
        let datagram: Self = postcard::from_bytes(bytes).map_err(|_| DatagramError::Malformed)?;
        if datagram.format != FORMAT {
            return Err(DatagramError::Format(datagram.format));
        }
        Ok(datagram)
    }
}

/// Converts a duration to milliseconds for a datagram, up to `u32::MAX`.
pub fn to_ms(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// Converts milliseconds of a datagram to a duration.
pub fn from_ms(ms: u32) -> Duration {
    Duration::from_millis(u64::from(ms))
}

/// Converts a time since the boot of the machine to a stamp.
pub fn to_stamp(since_boot: Duration) -> Stamp {
    Stamp::try_from(since_boot.as_millis()).unwrap_or(Stamp::MAX)
}
