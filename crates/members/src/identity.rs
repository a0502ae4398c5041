//! Statements about members that instances exchange.

use std::net::SocketAddr;

use cactustrack_types::{FailureDomain, Incarnation, InstanceId, Region};
use derive_more::Display;

/// One incarnation of an instance, as the instance describes itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Name of the instance.
    pub id: InstanceId,
    /// The incarnation of the instance.
    pub incarnation: Incarnation,
    /// Sequence number, raised by the instance each time that it refutes a statement of other
    /// members about it, and when it begins its graceful shutdown.
    pub seq: u32,
    /// True once the instance has begun its graceful shutdown. Never reset to false.
    pub leaving: bool,
    /// Address of the peer listener.
    pub address: SocketAddr,
    /// The failure domain that the instance runs in.
    pub failure_domain: FailureDomain,
    /// The region that the instance runs in.
    pub region: Region,
}

/// Status that members assign to an instance. Within one incarnation and sequence number the
/// larger status takes precedence, so that the statements of all members converge.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberStatus {
    /// The instance responds.
    #[default]
    #[display("live")]
    Live,
    /// The instance has not responded for [`crate::SUSPECT_AFTER`] or longer.
    #[display("suspect")]
    Suspect,
    /// The instance has not responded for [`crate::SUSPECT_AFTER`] or longer and is not listed.
    #[display("gone")]
    Gone,
}

/// A statement about one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberEntry {
    /// Identity of the instance.
    pub identity: Identity,
    /// Status assigned to it.
    pub status: MemberStatus,
}

impl MemberEntry {
    /// Returns the sort key that decides between two statements about one instance: the later
    /// incarnation prevails, then the higher sequence number, then the worse status.
    pub(crate) fn order(&self) -> (Incarnation, u32, MemberStatus) {
        (self.identity.incarnation, self.identity.seq, self.status)
    }
}

/// A member that the sender gets no response from. The receiver replies with [`Heard`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Doubt {
    /// The doubtful member.
    pub id: InstanceId,
    /// The incarnation that the sender knows.
    pub incarnation: Incarnation,
}

/// Time of the last direct contact that the sender had with a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heard {
    /// The member.
    pub id: InstanceId,
    /// The incarnation that the sender had contact with.
    pub incarnation: Incarnation,
    /// Time since the contact in milliseconds.
    pub age_ms: u32,
}

/// The part of a sync message that concerns members, bounded in size.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MembersDelta {
    /// Digest over all entries of the sender that are not gone.
    pub root: u64,
    /// Digests of the same entries by bucket. Empty in a first request, if the root digests are
    /// equal, and in a reply that carries the entries of differing buckets.
    pub buckets: Vec<u32>,
    /// Entries that changed, or that are in buckets that differ from those of the receiver.
    pub entries: Vec<MemberEntry>,
    /// Members that the sender gets no response from.
    pub doubts: Vec<Doubt>,
    /// Replies to doubts of the receiver.
    pub heard: Vec<Heard>,
    /// True if the sender's own calls to the receiver fail.
    pub unreachable: bool,
}
