//! Reports of evidence from observers to collectors.

use cactustrack_types::{Counts, FailureDomain, Incarnation, InstanceId, ServiceId, UpstreamId};
use serde::{Deserialize, Serialize};

/// The instance that made the observations of a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observer {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// Failure domain of the instance.
    pub failure_domain: FailureDomain,
}

/// Evidence about one upstream: its id, its incarnation and its counts since the last report.
pub type ReportEntry = (UpstreamId, Incarnation, Counts);

/// Evidence of one observer about the upstreams of one service since its last report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The observer.
    pub observer: Observer,
    /// Service of the upstreams.
    pub service: ServiceId,
    /// Evidence for each upstream, ordered by upstream id.
    pub entries: Vec<ReportEntry>,
}
