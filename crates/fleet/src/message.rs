//! Datagrams between instances.
//!
//! Every datagram states absolute counts for the upstreams that it names, so a lost or repeated one
//! does no lasting harm: the next one sets the counts right.

use std::net::SocketAddr;
use std::time::Duration;

use cactustrack_types::{FailureDomain, Incarnation, InstanceId, ServiceId, UpstreamId, Version};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::discovery::{Revision, Topic};

/// Version of the encoding. Datagrams of another version are ignored.
pub const FORMAT: u8 = 6;

/// Largest datagram, in bytes. It stays below the usual MTU of 1,500 bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// What an instance tells the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Format of the datagram, see [`FORMAT`].
    pub format: u8,
    /// Sender.
    pub from: InstanceId,
    /// Life of the sender.
    pub incarnation: Incarnation,
    /// Number of the datagram in the life of the sender. Older ones than the newest are ignored.
    pub sequence: u64,
    /// Version of the configuration that the sender has in force, 0 if there is none.
    pub version: Version,
    /// What the datagram is for.
    pub body: Body,
}

/// Content of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Attempts that started or ended since the last datagram.
    Notices(Vec<Notice>),
    /// Notices of several instances, from a hub.
    Bundle(Bundle),
    /// All requests that the sender has in flight, and some of the instances that it hears.
    Heartbeat {
        /// In flight by upstream. Upstreams that are not named have none.
        in_flight: Vec<InFlight>,
        /// Addresses of other instances.
        peers: Vec<SocketAddr>,
        /// True if the sender stops and should not be sent anything more.
        leaving: bool,
        /// What the sender knows of the keeper of the lists.
        keeper: KeeperView,
        /// Failure domain of the sender.
        failure_domain: FailureDomain,
    },
    /// Changes of the list of upstreams, from a relay.
    Upstreams(Delta<PackedChanges>),
    /// A part of a configuration, from a relay.
    Configuration(Delta<Part>),
    /// A change for a hub of another failure domain, which passes it on to its neighbours there.
    PassOn(Box<Body>),
    /// A change that is too large for datagrams: it has to be read from the keeper.
    Advanced {
        /// What changed.
        topic: Topic,
        /// Revision of the change.
        revision: Revision,
    },
}

/// Notices that a hub collected.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bundle {
    /// True if the receiver is the hub of another failure domain, which passes the bundle on there.
    pub pass_on: bool,
    /// The notices by their senders.
    pub reports: Vec<Report>,
}

/// Notices of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The instance in its current life, see [`short_sender`].
    pub from: ShortId,
    /// Number of its datagram.
    pub sequence: u64,
    /// What it tells.
    pub notices: Vec<Notice>,
}

/// What an instance knows of the keeper of the lists.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeeperView {
    /// True if the keeper answers the instance.
    pub is_up: bool,
    /// Revision up to which the configuration is known, 0 if it was not read.
    pub configuration: Revision,
    /// Revision up to which the upstreams are known, 0 if they were not read.
    pub upstreams: Revision,
}

/// Changes after one revision and up to another one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta<T> {
    /// Revision that the receiver must know.
    pub after: Revision,
    /// Revision that the receiver knows afterwards.
    pub revision: Revision,
    /// True if the keeper has just returned from an outage, in which entries lapse that come back.
    pub after_outage: bool,
    /// The changes.
    pub content: T,
}

/// A part of a configuration that is longer than a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Version of the configuration.
    pub version: Version,
    /// Number of the part, from 0.
    pub index: u16,
    /// Number of parts.
    pub count: u16,
    /// Bytes of the encoded configuration.
    pub bytes: Vec<u8>,
}

/// Changes of the list of upstreams, encoded and compressed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedChanges(pub Vec<u8>);

/// A change of the list of upstreams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamChange {
    /// The upstream.
    pub id: UpstreamId,
    /// Revision of the change.
    pub revision: Revision,
    /// Its entry, or `None` if it is no longer listed.
    pub entry: Option<UpstreamEntry>,
}

/// Entry of an upstream without its name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEntry {
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
    /// True if it is about to stop.
    pub leaving: bool,
    /// How much longer it is slow after its start, in milliseconds.
    pub cold_ms: u32,
}

/// Requests of one instance at one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlight {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Requests in flight.
    pub count: u16,
}

/// Number that stands for a name. Notices are many, and names are longer than all else in them.
pub type ShortId = u32;

/// Returns the number of an upstream.
pub fn short_upstream(upstream: &str) -> ShortId {
    fold(hash(upstream.bytes()))
}

/// Returns the number of an instance in one of its lives.
pub fn short_sender(instance: &str, incarnation: Incarnation) -> ShortId {
    fold(hash(instance.bytes().chain(incarnation.0.to_le_bytes())))
}

/// FNV-1a, which gives the same value in every process.
pub(crate) fn hash(bytes: impl Iterator<Item = u8>) -> u64 {
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

fn fold(hash: u64) -> ShortId {
    (hash ^ (hash >> 32)) as ShortId
}

/// An attempt that started or ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The upstream, see [`short_upstream`].
    pub upstream: ShortId,
    /// Requests that the sender has in flight there after the event.
    pub in_flight: u16,
    /// What happened.
    pub event: Event,
}

/// What happened to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// An attempt started.
    Started {
        /// True if the request was sent to another upstream before.
        extra: bool,
    },
    /// An attempt ended.
    Ended {
        /// What it says about the upstream, if anything.
        observed: Option<Observation>,
        /// Time to the head of the answer, in milliseconds.
        latency_ms: u32,
        /// True if the upstream had a slot free when the attempt started.
        unqueued: bool,
    },
    /// An attempt has waited for an answer for far longer than usual.
    Overdue,
}

/// What an attempt says about its upstream.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Observation {
    /// A complete answer in a usual time.
    #[display("served")]
    Served,
    /// A complete answer that took far longer than usual.
    #[display("slow")]
    Slow,
    /// An answer that reports a failure of the upstream.
    #[display("error answer")]
    ErrorAnswer,
    /// The connection broke before an answer.
    #[display("broken")]
    Broken,
    /// The answer ended before its announced length.
    #[display("cut short")]
    CutShort,
    /// No connection could be opened.
    #[display("unreachable")]
    Unreachable,
    /// An attempt still waits for an answer after far longer than usual.
    #[display("overdue")]
    Overdue,
    /// No answer came for many times the usual time.
    #[display("no answer")]
    NoAnswer,
    /// The upstream refused the request as busy although it had a slot free.
    #[display("refused with room")]
    RefusedWithRoom,
}

impl Observation {
    /// Returns true if the upstream took far longer than usual.
    pub fn is_late(self) -> bool {
        matches!(self, Self::Slow | Self::Overdue | Self::NoAnswer)
    }

    /// Returns true if the upstream did not do its work.
    pub fn is_failure(self) -> bool {
        !matches!(self, Self::Served | Self::Slow)
    }
}

/// Why a datagram is ignored.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum DatagramError {
    /// The bytes are no datagram.
    #[display("the bytes are not a datagram of an instance")]
    Malformed,
    /// The sender uses another format.
    #[display("the datagram has format {_0}")]
    Format(#[error(not(source))] u8),
}

impl Datagram {
    /// Encodes the datagram.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding into a vector fails only for types whose length is unknown, and none is used.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are malformed or of another format.
    pub fn decode(bytes: &[u8]) -> Result<Self, DatagramError> {
        let datagram: Self = postcard::from_bytes(bytes).map_err(|_| DatagramError::Malformed)?;
        if datagram.format != FORMAT {
            return Err(DatagramError::Format(datagram.format));
        }
        Ok(datagram)
    }
}

/// Milliseconds of a duration as they are sent.
pub fn to_ms(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
