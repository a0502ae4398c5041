//! Authenticated RPC between the instances of a fleet.
//!
//! Messages are defined in Cap'n Proto (`schema/peer.capnp`) and sent in authenticated frames over
//! TCP. [`PeerServer`] accepts connections and passes calls to a [`PeerHandler`]; [`PeerPool`]
//! makes calls over pooled connections. Both count their traffic and the faults of connections in
//! [`PeerCounters`]. [`frame`] and [`handshake`] implement the framing and the mutual
//! authentication without I/O, [`codec`] the encoding of messages.

pub mod codec;
mod connection;
mod counters;
mod fault;
pub mod frame;
pub mod handshake;
mod key;
mod messages;
mod pool;
mod rpc;
mod server;

/// Code generated from `schema/peer.capnp`.
#[allow(
    missing_docs,
    unreachable_pub,
    rust_2018_idioms,
    clippy::all,
    clippy::unimplemented,
    clippy::unwrap_used,
    clippy::needless_pass_by_value,
    clippy::semicolon_if_nothing_returned,
    clippy::redundant_closure_for_method_calls,
    clippy::manual_let_else,
    clippy::explicit_iter_loop
)]
#[rustfmt::skip]
#[path = "generated/peer_capnp.rs"]
mod peer_capnp;

pub use counters::{PeerCounters, PeerMethod, Traffic};
pub use fault::PeerFault;
pub use key::PeerKey;
pub use messages::{
    KnownSeq, PeerHandler, Report, ReportEntry, ReportReply, ServiceVerdicts, SyncReply,
    SyncRequest,
};
pub use pool::{CallError, PeerPool, PoolConfig};
pub use server::{PeerServer, ServerConfig};
