//! Fleet membership and configuration distribution, without I/O.
//!
//! [`Membership`] merges the platform's instance list, which lags, direct contacts and statements
//! of other members into one view. [`ConfigSync`] decides when an instance reads the store, asks a
//! peer, installs a version and pushes it to peers. Both are driven by events and an injected
//! clock.

mod config_offers;
mod config_sync;
mod config_transfer;
mod derived;
mod digest;
mod identity;
mod known_member;
mod membership;
mod selection;
mod store_watch;

pub use config_sync::{
    ConfigAction, ConfigHead, ConfigProblem, ConfigSource, ConfigStatus, ConfigSync, HeadRead,
    PEER_PUSH_COUNT, UNCONFIRMED_AFTER, WatchEvent,
};
pub use config_transfer::{
    ConfigChunk, ConfigParts, ConfigWant, MAX_CHUNK_BYTES, MAX_CONFIGURATION_BYTES,
};
pub use identity::{Doubt, Heard, Identity, MemberEntry, MemberStatus, MembersDelta};
pub use membership::{MAX_MEMBERS, MemberState, MemberView, Membership, SUSPECT_AFTER};
pub use selection::{COLLECTORS_PER_SERVICE, WATCHERS_PER_REGION};
