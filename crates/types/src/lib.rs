//! Domain types shared by all crates of cactustrack.
//!
//! The crate contains data types only: ids, request classes, the configuration, evidence about
//! upstreams and verdicts on them. The logic that works on them is in `cactustrack-health`,
//! `cactustrack-routing` and `cactustrack-members`.

mod api_key;
mod configuration;
mod evidence;
mod execution;
mod ids;
mod listing;
mod millis;
mod upstream;
mod verdict;

pub use api_key::{ApiKeyDigest, ApiKeyDigestError};
pub use configuration::{
    Account, CONFIGURATION_FORMAT, Configuration, Delivery, DetectionPolicy, Quota, RequestClass,
    Route, Service, SplitPart,
};
pub use evidence::{Counts, Outcome};
pub use execution::Execution;
pub use ids::{
    AccountId, FailureDomain, Incarnation, InstanceId, Region, ServiceId, UpstreamId, Version,
};
pub use listing::{Listing, ListingState, Role};
pub use millis::Millis;
pub use upstream::{MAX_SLOTS, Share, Standing, UpstreamView};
pub use verdict::{Scope, Verdict, VerdictHealth};
