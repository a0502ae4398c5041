//! Verdicts of collectors on upstreams.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{Counts, FailureDomain, Incarnation, UpstreamId};

/// Where a verdict applies.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// On every instance.
    #[display("everywhere")]
    Everywhere,
    /// On instances of one failure domain, whose observers alone see the fault.
    #[display("failure domain {_0}")]
    Domain(FailureDomain),
}

/// Health of an upstream as judged from evidence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "health", rename_all = "snake_case")]
pub enum VerdictHealth {
    /// The evidence is consistent with a healthy upstream.
    Good,
    /// The evidence shows a fault.
    Faulty {
        /// Where the fault is seen.
        scope: Scope,
    },
}

/// The judgement of one collector on one upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// The upstream that was judged.
    pub upstream: UpstreamId,
    /// The life of the upstream that was judged.
    pub incarnation: Incarnation,
    /// Health of the upstream.
    #[serde(flatten)]
    pub health: VerdictHealth,
    /// Statistic of the sequential test, in nats. A larger score is worse.
    pub score: f64,
    /// Score at which the upstream counts as faulty, in nats.
    pub threshold: f64,
    /// Evidence that the score rests on.
    pub evidence: Counts,
    /// Number of observers whose evidence was used.
    pub observers: u32,
    /// Grows with each change of this collector's verdicts.
    pub seq: u64,
}
