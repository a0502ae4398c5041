//! Faults that close a connection between instances.

use derive_more::{Display, Error};

/// Fault that caused a connection between instances to be closed.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PeerFault {
    /// The greeting of the client does not match this version of the protocol.
    #[display("unknown protocol")]
    UnknownProtocol,
    /// The peer did not prove that it holds the shared key.
    #[display("wrong key")]
    WrongKey,
    /// The server sent back the nonce of the client as its own.
    #[display("reflected challenge")]
    ReflectedChallenge,
    /// The handshake was not completed within its timeout.
    #[display("handshake time-out")]
    HandshakeTimeout,
    /// The message authentication code of a frame is invalid.
    #[display("forged frame")]
    Forged,
    /// An authentic frame has a sequence number that was received before.
    #[display("replayed frame")]
    Replayed,
    /// An authentic frame has a sequence number above the next expected one.
    #[display("reordered frame")]
    Reordered,
    /// The connection ended within a frame or within the handshake.
    #[display("truncated frame")]
    Truncated,
    /// A frame exceeds the size limit.
    #[display("oversized frame")]
    Oversized,
    /// An authentic frame contains no valid message within the limits, or a message to be sent
    /// cannot be encoded.
    #[display("undecodable message")]
    Undecodable,
    /// The peer reads too slowly, or has too many calls open.
    #[display("send backlog")]
    Backlog,
    /// All sequence numbers of the connection have been used.
    #[display("sequence numbers exhausted")]
    Exhausted,
    /// The connection failed with an I/O error.
    #[display("connection failed")]
    Io,
}

impl PeerFault {
    /// All variants, in the order of declaration.
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
