//! An instance on a platform whose store holds the configuration and the lists of upstreams and
//! instances.
//!
//! Unlike in [`crate::daemon`], the instances do not synchronize configuration and verdicts: the
//! configuration comes from the platform's store, and each instance assesses upstreams by itself
//! from the notices that all instances send to each other. `docs/platform.md` gives the reasons.

mod confirmation;
mod decisions;
mod discovery_sync;
mod extra_attempt;
mod grants;
mod hub;
mod ignored;
mod incoming;
mod instance;
mod lag;
mod limits;
mod memory;
mod messenger;
mod offline;
mod policy;
mod quota;
mod quota_claims;
mod quota_preview;
mod quota_transfer;
mod registration;
mod route_explanation;
mod run;
mod state;
mod status;
mod store_availability;
mod upstream_list;

pub use instance::{Instance, ShutdownHandle};
pub use offline::OfflineInstance;
pub use run::{check, run};
