//! Identifiers of services, processes, locations, accounts and versions.

use std::sync::Arc;

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// Name of a service, unique within a configuration.
pub type ServiceId = Arc<str>;
/// Name of an upstream, unique within the fleet.
pub type UpstreamId = Arc<str>;
/// Name of an instance, unique within the fleet.
pub type InstanceId = Arc<str>;
/// Name of a failure domain, unique within the fleet.
pub type FailureDomain = Arc<str>;
/// Name of a region. A region holds one or more failure domains.
pub type Region = Arc<str>;
/// Name of a client account.
pub type AccountId = Arc<str>;
/// Version of a configuration. A larger number is newer.
pub type Version = u64;

/// Number that distinguishes one run of a process from other runs under the same id.
///
/// The upper 44 bits hold the start time in milliseconds since the Unix epoch, the lower 20 bits
/// are random, so a later start compares greater and two starts in one millisecond differ.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    Into,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl Incarnation {
    const RANDOM_BITS: u32 = 20;

    /// Combines a start time in milliseconds since the Unix epoch with random bits.
    pub fn new(start_ms: u64, random: u32) -> Self {
        let mask = (1u64 << Self::RANDOM_BITS) - 1;
        Self((start_ms << Self::RANDOM_BITS) | (u64::from(random) & mask))
    }
}
