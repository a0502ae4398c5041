//! Members of the fleet and the spread of configurations, without I/O.
//!
//! [`Membership`] combines the platform's lagging instance list, direct contacts and what other
//! members say into one view. [`ConfigSync`] decides when an instance reads the store, asks a
//! peer, installs a version and passes it on. Both are driven by events and an injected clock.

mod changes;
mod config_offers;
mod config_sync;
mod config_transfer;
mod digest;
mod entry;
mod identity;
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
