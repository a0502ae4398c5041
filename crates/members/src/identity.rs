//! What instances tell each other about members.

use std::net::SocketAddr;

use cactustrack_types::{FailureDomain, Incarnation, InstanceId, Region};
use derive_more::Display;

/// One life of an instance, as the instance describes itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Name of the instance.
    pub id: InstanceId,
    /// Which life of the instance this is.
    pub incarnation: Incarnation,
    /// Grows each time the instance contradicts a statement of others about it.
    pub seq: u32,
    /// True once the instance has begun its graceful shutdown. It never turns false again.
    pub leaving: bool,
    /// Address of the peer listener.
    pub address: SocketAddr,
    /// The failure domain that the instance runs in.
    pub failure_domain: FailureDomain,
    /// The region that the instance runs in.
    pub region: Region,
}

/// What members state about the responses of an instance. Within one incarnation and sequence
/// number the larger status wins, so that the statements of all members converge.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberStatus {
    /// The instance responds.
    #[default]
    #[display("live")]
    Live,
    /// The instance has not responded for a while.
    #[display("suspect")]
    Suspect,
    /// The instance has not responded for a while and is not listed.
    #[display("gone")]
    Gone,
}

/// A statement about one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberEntry {
    /// The instance.
    pub identity: Identity,
    /// What is stated about it.
    pub status: MemberStatus,
}

impl MemberEntry {
    /// Orders statements about one instance: a later life first, then a later statement of the
    /// instance itself, then the worse status.
    pub(crate) fn order(&self) -> (Incarnation, u32, MemberStatus) {
        (self.identity.incarnation, self.identity.seq, self.status)
    }
}

/// A member that the sender gets no response from. The receiver replies with [`Heard`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Doubt {
    /// The doubtful member.
    pub id: InstanceId,
    /// Its life that the sender knows.
    pub incarnation: Incarnation,
}

/// States when the sender last had direct contact with a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heard {
    /// The member.
    pub id: InstanceId,
    /// Its life that was heard from.
    pub incarnation: Incarnation,
    /// Time since then in milliseconds.
    pub age_ms: u32,
}

/// The part of a sync message that concerns members. It is bounded in size.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MembersDelta {
    /// Digest over all entries of the sender that are not gone.
    pub root: u64,
    /// Digests of the same entries by bucket. Empty where the sender saw no need for them.
    pub buckets: Vec<u32>,
    /// Entries that changed, or that differ from the receiver's digest.
    pub entries: Vec<MemberEntry>,
    /// Members that the sender gets no response from.
    pub doubts: Vec<Doubt>,
    /// Replies to the doubts of the receiver.
    pub heard: Vec<Heard>,
    /// True if the sender's own calls to the receiver fail.
    pub unreachable: bool,
}
