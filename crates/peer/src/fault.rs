//! Faults of a connection that close it.

use derive_more::{Display, Error};

/// Why a connection between instances was closed.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PeerFault {
    /// The greeting is not that of this protocol version.
    #[display("unknown protocol")]
    UnknownProtocol,
    /// The other side did not prove that it has the key.
    #[display("wrong key")]
    WrongKey,
    /// The other side sent our own challenge back.
    #[display("reflected challenge")]
    ReflectedChallenge,
    /// The handshake was not completed in time.
    #[display("handshake time-out")]
    HandshakeTimeout,
    /// The authentication code of a frame is wrong.
    #[display("forged frame")]
    Forged,
    /// A valid frame arrived again.
    #[display("replayed frame")]
    Replayed,
    /// A valid frame arrived before an earlier one.
    #[display("reordered frame")]
    Reordered,
    /// The connection ended within a frame or within the handshake.
    #[display("truncated frame")]
    Truncated,
    /// A frame exceeds the bound.
    #[display("oversized frame")]
    Oversized,
    /// A valid frame does not hold a message within the limits.
    #[display("undecodable message")]
    Undecodable,
    /// The other side does not read fast enough.
    #[display("send backlog")]
    Backlog,
    /// All sequence numbers of the connection are used.
    #[display("sequence numbers exhausted")]
    Exhausted,
    /// The connection failed with an I/O error.
    #[display("connection failed")]
    Io,
}

impl PeerFault {
    /// All faults, in the order of declaration.
    pub const ALL: [Self; 13] = [
        Self::UnknownProtocol,
        Self::WrongKey,
        Self::ReflectedChallenge,
        Self::HandshakeTimeout,
        Self::Forged,
        Self::Replayed,
        Self::Reordered,
        Self::Truncated,
        Self::Oversized,
        Self::Undecodable,
        Self::Backlog,
        Self::Exhausted,
        Self::Io,
    ];
}
