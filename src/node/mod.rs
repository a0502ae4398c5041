//! An instance on a platform that keeps the configuration and lists upstreams and instances.
//!
//! Unlike [`crate::daemon`], it exchanges neither configuration nor verdicts with others: the
//! configuration comes from the platform, and each instance judges upstreams by the notices that
//! all instances send to each other. `docs/platform.md` gives the reasons.

mod behind;
mod exchange;
mod follower;
mod instance;
mod link;
mod policy;
mod run;
mod state;
mod status;

pub use instance::{Instance, StopHandle};
pub use run::{check, run};
