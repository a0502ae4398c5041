//! Requests and replies between instances, and the handler that a server calls with them.

use cactustrack_members::{ConfigChunk, ConfigHead, ConfigWant, Identity, MembersDelta};
use cactustrack_types::{
    Counts, FailureDomain, Incarnation, InstanceId, ServiceId, UpstreamId, Verdict,
};

/// Evidence about one upstream gathered since the previous report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportEntry {
    /// The service.
    pub service: ServiceId,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Incarnation of the upstream to which the counts apply.
    pub incarnation: Incarnation,
    /// Number of exchanges by outcome.
    pub counts: Counts,
}

/// Sequence number up to which the observer has the verdicts of the collector on one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownSeq {
    /// The service.
    pub service: ServiceId,
    /// Highest known sequence number, or 0 if none is known.
    pub seq: u64,
}

/// Report of evidence from an observer to a collector.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The observer.
    pub observer: InstanceId,
    /// Incarnation of the observer.
    pub incarnation: Incarnation,
    /// Sequence number, incremented with each new report of the observer to the collector. A report
    /// that is resent because its reply was lost keeps its number, so that it is not counted twice.
    pub seq: u64,
    /// Failure domain of the observer.
    pub failure_domain: FailureDomain,
    /// Incarnation of the collector to which `known_seqs` refers, or 0 if none is known.
    pub collector: Incarnation,
    /// Evidence by upstream. Entries of the same service are adjacent.
    pub entries: Vec<ReportEntry>,
    /// Services whose verdicts the observer follows. In a received report, those with entries come
    /// first.
    pub known_seqs: Vec<KnownSeq>,
}

/// Changed verdicts on the upstreams of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceVerdicts {
    /// The service.
    pub service: ServiceId,
    /// Highest sequence number that the collector has assigned for the service.
    pub seq: u64,
    /// Verdicts that changed after the sequence number known to the observer.
    pub verdicts: Vec<Verdict>,
}

/// Reply of a collector to a [`Report`].
#[derive(Clone, Debug, PartialEq)]
pub struct ReportReply {
    /// The collector.
    pub collector: InstanceId,
    /// Incarnation of the collector. Sequence numbers are comparable only within one incarnation.
    pub incarnation: Incarnation,
    /// Services with changed verdicts. For all other services that the observer follows, except
    /// those in `not_collected`, the reply confirms the verdicts known to the observer.
    pub services: Vec<ServiceVerdicts>,
    /// Services in the report for which this instance is not the collector, because its view of
    /// the membership differs from that of the observer.
    pub not_collected: Vec<ServiceId>,
    /// Services for which the evidence of this observer is ignored, because most upstreams appear
    /// faulty to it and healthy to other observers.
    pub excluded: Vec<ServiceId>,
}

/// Request to synchronize membership and configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SyncRequest {
    /// The calling instance.
    pub sender: Identity,
    /// Configuration in force on the calling instance.
    pub config: Option<ConfigHead>,
    /// Chunk of a configuration that the calling instance requests.
    pub want: Option<ConfigWant>,
    /// Changes to the membership.
    pub members: MembersDelta,
}

/// Reply to a [`SyncRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SyncReply {
    /// The replying instance.
    pub responder: Identity,
    /// Configuration in force on the replying instance.
    pub config: Option<ConfigHead>,
    /// The requested chunk, if the replying instance has that version.
    pub chunk: Option<ConfigChunk>,
    /// Changes to the membership.
    pub members: MembersDelta,
}

/// Handles the calls of other instances.
///
/// The methods run on the event loop and must not block. Callers are authenticated: they hold the
/// key of the fleet.
pub trait PeerHandler {
    /// Handles the introduction of another instance and returns the identity of this one.
    fn hello(&self, from: Identity) -> Identity;
    /// Handles a report of evidence.
    fn report(&self, report: Report) -> ReportReply;
    /// Handles a request to synchronize membership and configuration.
    fn sync(&self, request: SyncRequest) -> SyncReply;
}
