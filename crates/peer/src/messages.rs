//! Requests and replies between instances as plain types.

use cactustrack_members::{ConfigChunk, ConfigHead, ConfigWant, Identity, MembersDelta};
use cactustrack_types::{
    Counts, FailureDomain, Incarnation, InstanceId, ServiceId, UpstreamId, Verdict,
};

/// Evidence about one upstream since the last report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportEntry {
    /// The service.
    pub service: ServiceId,
    /// The upstream.
    pub upstream: UpstreamId,
    /// The life of the upstream that the counts are about.
    pub incarnation: Incarnation,
    /// Number of exchanges by outcome.
    pub counts: Counts,
}

/// The verdicts on one service that the reporter already has from the collector.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownSeq {
    /// The service.
    pub service: ServiceId,
    /// Highest sequence number of the verdicts, or 0 if none is known.
    pub seq: u64,
}

/// Evidence of one observer for one collector.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The observer.
    pub observer: InstanceId,
    /// Incarnation of the observer.
    pub incarnation: Incarnation,
    /// Grows with each new report of the observer to the collector. A report that is sent again
    /// because its reply was lost keeps its number, so that it is not counted twice.
    pub seq: u64,
    /// Failure domain of the observer.
    pub failure_domain: FailureDomain,
    /// The life of the collector that `known_seqs` refers to; 0 if none is known.
    pub collector: Incarnation,
    /// The evidence. Entries of one service are adjacent.
    pub entries: Vec<ReportEntry>,
    /// Services whose verdicts the observer follows. Those with entries come first when the
    /// report is received.
    pub known_seqs: Vec<KnownSeq>,
}

/// Changed verdicts on the upstreams of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceVerdicts {
    /// The service.
    pub service: ServiceId,
    /// Highest sequence number that the collector has assigned for the service.
    pub seq: u64,
    /// Verdicts that changed since the sequence number that the observer knows.
    pub verdicts: Vec<Verdict>,
}

/// Reply of a collector.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportReply {
    /// The collector.
    pub collector: InstanceId,
    /// Incarnation of the collector. Sequence numbers are comparable within it only.
    pub incarnation: Incarnation,
    /// Services with changed verdicts. The reply confirms the verdicts that the observer has on
    /// all other services it follows, except those in `not_collected`.
    pub services: Vec<ServiceVerdicts>,
    /// Services of the report that this instance does not collect, because its view of the
    /// members differs from that of the observer.
    pub not_collected: Vec<ServiceId>,
    /// Services for which the evidence of the observer is not used, because most upstreams appear
    /// faulty to it and healthy to others.
    pub excluded: Vec<ServiceId>,
}

/// Exchange of membership and configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SyncRequest {
    /// The calling instance.
    pub sender: Identity,
    /// Configuration in force on the calling instance.
    pub config: Option<ConfigHead>,
    /// Piece of a configuration that the caller asks for.
    pub want: Option<ConfigWant>,
    /// Membership.
    pub members: MembersDelta,
}

/// Reply to a [`SyncRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SyncReply {
    /// The answering instance.
    pub responder: Identity,
    /// Configuration in force on the answering instance.
    pub config: Option<ConfigHead>,
    /// The piece that was asked for, if the instance has that version.
    pub chunk: Option<ConfigChunk>,
    /// Membership.
    pub members: MembersDelta,
}

/// Answers the calls of other instances.
///
/// The methods run on the event loop and must not block. Callers have proven that they hold the
/// key of the fleet.
pub trait PeerHandler {
    /// Handles the introduction of an instance and returns the description of this one.
    fn hello(&self, from: Identity) -> Identity;
    /// Handles evidence.
    fn report(&self, report: Report) -> ReportReply;
    /// Handles an exchange of membership and configuration.
    fn sync(&self, request: SyncRequest) -> SyncReply;
}
