//! Verdicts of collectors on the health of upstreams.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{Counts, FailureDomain, Incarnation, UpstreamId};

/// Instances on which a verdict applies.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// All instances.
    #[display("everywhere")]
    Everywhere,
    /// Instances of one failure domain, because only observers there see the fault.
    #[display("failure domain {_0}")]
    Domain(FailureDomain),
}

/// Health of an upstream according to the evidence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "health", rename_all = "snake_case")]
pub enum VerdictHealth {
    /// The evidence is consistent with a healthy upstream.
    #[serde(rename = "good")]
    Healthy,
    /// The evidence shows a fault.
    Faulty {
        /// Instances that see the fault.
        scope: Scope,
    },
}

/// Verdict of one collector on one upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Incarnation of the upstream that the verdict is about.
    pub incarnation: Incarnation,
    /// Health of the upstream.
    #[serde(flatten)]
    pub health: VerdictHealth,
    /// Statistic of the sequential test, in nats. A larger score is stronger evidence of a fault.
    pub score: f64,
    /// Score at which the upstream counts as faulty, in nats.
    pub threshold: f64,
    /// Evidence that the score is computed from.
    pub evidence: Counts,
    /// Number of observers whose evidence was used.
    pub observers: u32,
    /// Sequence number that grows with each change of this collector's verdicts.
    pub seq: u64,
}
