//! The configuration that instances run on.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

use crate::{AccountId, Millis, ServiceId, Version};

/// Format of [`Configuration`] that this build reads and writes.
pub const CONFIGURATION_FORMAT: u32 = 1;

/// How a request may be treated.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestClass {
    /// Running the request again has no further effect.
    #[display("idempotent")]
    Idempotent,
    /// The request must run at most once.
    #[display("non_idempotent")]
    NonIdempotent,
    /// Idempotent, with a large answer that the caller waits for.
    #[display("large")]
    Large,
}

impl RequestClass {
    /// Returns true if the request may be sent to an upstream more than once.
    pub fn is_idempotent(self) -> bool {
        !matches!(self, Self::NonIdempotent)
    }
}

/// How evidence against upstreams of a service is weighed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DetectionPolicy {
    /// Mean number of samples of a healthy upstream between two false alarms.
    pub mean_samples_between_false_alarms: f64,
    /// Smallest fault rate that must be detected, as a share of requests from 0 to 1.
    pub smallest_fault_rate: f64,
    /// Length of a first ejection.
    pub base_ejection: Millis,
    /// An answer is slow if it takes longer than this many times the usual time of the service.
    pub slow_factor: f64,
}

/// A service and the limits that its upstreams set.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub id: ServiceId,
    /// Requests that one upstream works on at a time.
    pub slots: u32,
    /// Connections that one upstream accepts from the whole fleet.
    pub connections: u32,
    /// Capacity that ejections must leave in service, in slots.
    pub floor_slots: u32,
    /// Time over which a cold upstream is ramped up to its full share.
    pub ramp: Millis,
    /// Retries and hedges as a share of requests, from 0 to 1.
    pub retry_budget: f64,
    /// How faults are detected.
    pub detection: DetectionPolicy,
}

/// A route from host and path to a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Host name in lower case, or `*` for any host.
    pub host: Arc<str>,
    /// Path prefix that starts with `/`. It matches on borders of path segments.
    pub path_prefix: Arc<str>,
    /// Service that answers.
    pub service: ServiceId,
    /// Class of the requests.
    pub class: RequestClass,
    /// Time given to a request whose caller names none.
    pub timeout: Millis,
    /// Longest time that a caller may ask for.
    pub max_timeout: Millis,
    /// Rules beyond the service and the class, which most routes leave at their defaults.
    #[serde(default, skip_serializing_if = "Delivery::is_default")]
    pub delivery: Delivery,
}

/// How the requests of a route are delivered beyond its service and class.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Delivery {
    /// Services that share the requests. Empty if the service of the route takes all of them.
    pub split: Vec<SplitPart>,
    /// Upstreams that one request may be sent to, unlimited if there is none.
    pub max_attempts: Option<u32>,
    /// Time within which an answer is worth most to the caller.
    pub latency_target: Option<Millis>,
    /// Rank among the routes of a service. Zero is the most urgent one.
    pub priority: u32,
    /// True if the route covers only paths below its prefix and not the prefix without its final
    /// slash.
    pub subtree_only: bool,
}

impl Delivery {
    fn is_default(&self) -> bool {
        *self == Self::default()
    }
}

/// A service that takes a share of the requests of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SplitPart {
    /// The service.
    pub service: ServiceId,
    /// Share relative to the other parts.
    pub weight: u32,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Name of the account, as sent in the `Cactustrack-Account` header.
    pub id: AccountId,
    /// Share relative to other accounts when a service is overloaded.
    pub weight: u32,
}

/// The configuration that is in force on instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Format of this value, see [`CONFIGURATION_FORMAT`].
    pub format: u32,
    /// Version, assigned at acceptance.
    pub version: Version,
    /// Team that answered the questionnaire.
    pub team: Arc<str>,
    /// Services, ordered by id.
    pub services: Vec<Service>,
    /// Routes, ordered by host and path prefix.
    pub routes: Vec<Route>,
    /// Client accounts, ordered by id.
    pub accounts: Vec<Account>,
}

impl Configuration {
    /// Returns the service with the given id.
    pub fn service(&self, id: &str) -> Option<&Service> {
        self.services.iter().find(|service| &*service.id == id)
    }
}
