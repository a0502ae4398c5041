//! Configuration of routes, services and client accounts that all instances share.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

use crate::{AccountId, ApiKeyDigest, Millis, ServiceId, Version};

/// Format number of the serialized [`Configuration`] that this build reads and writes.
pub const CONFIGURATION_FORMAT: u32 = 1;

/// Whether a request may be executed more than once, and the size of its bodies.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestClass {
    /// Executing the request again has no further effect.
    #[display("idempotent")]
    Idempotent,
    /// The request must be executed at most once.
    #[display("non_idempotent")]
    NonIdempotent,
    /// Idempotent, with a large response that the caller waits for.
    #[display("large")]
    Large,
    /// Executed at most once, with a large request body.
    #[display("upload")]
    Upload,
}

impl RequestClass {
    /// Class of requests whose stated class this version does not know. It is safe for all of them:
    /// a request that may be executed at most once is never sent again.
    pub const FOR_UNKNOWN: Self = Self::NonIdempotent;

    /// Returns true if executing the request again has no further effect, so that it may be retried
    /// or hedged.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::Large)
    }
}

/// Parameters of outlier detection for the upstreams of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DetectionPolicy {
    /// Mean number of samples of a healthy upstream between two false alarms.
    pub mean_samples_between_false_alarms: f64,
    /// Smallest fault rate that must be detected, as a share of requests from 0 to 1.
    pub smallest_fault_rate: f64,
    /// Duration of a first ejection.
    pub base_ejection: Millis,
    /// A response is slow if it takes longer than this multiple of the median response time of the
    /// other upstreams of the service.
    pub slow_factor: f64,
}

/// A service and the limits of its upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub id: ServiceId,
    /// Requests that one upstream processes concurrently.
    pub slots: u32,
    /// Connections that one upstream accepts from the whole fleet.
    pub connections: u32,
    /// Capacity that ejections must leave in service, in slots (concurrent requests).
    pub floor_slots: u32,
    /// Time over which a newly started upstream is ramped up to its full share.
    pub ramp: Millis,
    /// Retries and hedges as a share of requests, from 0 to 1.
    pub retry_budget: f64,
    /// Parameters of fault detection.
    pub detection: DetectionPolicy,
}

/// A route from host and path to a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Host name in lower case, or `*` for any host.
    pub host: Arc<str>,
    /// Path prefix that starts with `/`. It matches whole path segments only.
    pub path_prefix: Arc<str>,
    /// Service that receives the requests.
    pub service: ServiceId,
    /// Class of the requests.
    pub class: RequestClass,
    /// Timeout of requests whose caller does not set one.
    pub timeout: Millis,
    /// Longest timeout that a caller may set.
    pub max_timeout: Millis,
    /// Optional rules. Most routes leave them at their defaults.
    #[serde(default, skip_serializing_if = "Delivery::is_default")]
    pub delivery: Delivery,
}

/// Optional rules for the requests of a route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Delivery {
    /// Services among which the requests are split. Empty if the service of the route receives all
    /// of them.
    pub split: Vec<SplitPart>,
    /// Largest number of upstreams that one request may be sent to. Unlimited if `None`.
    pub max_attempts: Option<u32>,
    /// Response time beyond which a response is worth less to the caller.
    pub latency_target: Option<Millis>,
    /// Priority among the routes of a service. Zero is the highest.
    pub priority: u32,
    /// True if the route matches only paths below its prefix, not the prefix without its trailing
    /// slash.
    pub subtree_only: bool,
    /// True if callers need no API key, see [`Configuration::requires_api_key`].
    #[serde(skip_serializing_if = "is_false")]
    pub is_public: bool,
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
    /// Weight relative to the other parts.
    pub weight: u32,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// Name of the account, as sent to upstreams.
    pub id: AccountId,
    /// Weight relative to other accounts when a service is overloaded.
    pub weight: u32,
    /// Digests of the API keys of the account.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub key_digests: Vec<ApiKeyDigest>,
    /// Priority of its requests, which takes precedence over the priority of their route. Zero is
    /// the highest.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub priority: u32,
    /// Limit on its requests at the whole fleet. `None` means no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<Quota>,
}

impl Account {
    /// Creates an account without keys and without a quota.
    pub fn new(id: AccountId, weight: u32) -> Self {
        Self { id, weight, key_digests: Vec::new(), priority: 0, quota: None }
    }
}

/// Limit on the requests of a client account at the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Sustained rate, in requests per second.
    pub rate: f64,
    /// Requests that are allowed beyond the sustained rate.
    pub burst: f64,
}

/// A complete configuration, as in force on instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Format number, see [`CONFIGURATION_FORMAT`].
    pub format: u32,
    /// Version, assigned when the configuration is accepted.
    pub version: Version,
    /// Team that answered the questionnaire.
    pub team: Arc<str>,
    /// Services, ordered by id.
    pub services: Vec<Service>,
    /// Routes, ordered by host and path prefix.
    pub routes: Vec<Route>,
    /// Client accounts, ordered by id.
    pub accounts: Vec<Account>,
    /// True if requests need the API key of an account, except on public routes.
    #[serde(default, skip_serializing_if = "is_false")]
    pub requires_api_key: bool,
}

fn is_false(value: &bool) -> bool {
    !value
}

fn is_zero(value: &u32) -> bool {
    *value == 0
}

impl Configuration {
    /// Returns the service with the given id.
    pub fn service(&self, id: &str) -> Option<&Service> {
        self.services.iter().find(|service| &*service.id == id)
    }
}
