//! State of an upstream on an instance, and its share of the requests.

use std::net::SocketAddr;
use std::time::Instant;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{FailureDomain, Incarnation, Region, ServiceId, UpstreamId};

/// Largest number of slots of an upstream. The slots of all upstreams of a service then fit in 32
/// bits.
pub const MAX_SLOTS: u32 = 10_000;

/// An upstream as known from the instance list and from its own responses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamView {
    /// Name of the upstream.
    pub id: UpstreamId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub failure_domain: FailureDomain,
    /// Region that it runs in.
    pub region: Region,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// True as soon as the instance list or the upstream itself signals that it is about to stop.
    pub leaving: bool,
    /// Time at which this incarnation was first seen, from which its ramp is computed. `None` if
    /// the upstream was already running when the instance started: it gets no ramp.
    pub cold_since: Option<Instant>,
}

/// Reason for the weight of an upstream.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// The upstream gets its full share of the requests.
    #[display("in service")]
    InService,
    /// The upstream started recently and gets a share that grows over the ramp time.
    #[display("ramping")]
    Ramping,
    /// The upstream was ejected, and gets a larger share as it completes requests successfully.
    #[display("on trial")]
    Trial,
    /// The upstream gets no requests.
    #[display("ejected")]
    Ejected,
    /// The upstream is faulty, but stays in service with the share that the floor of the service
    /// requires.
    #[display("kept for the floor")]
    KeptForFloor,
    /// The upstream is about to stop and gets no new requests.
    #[display("leaving")]
    Leaving,
}

/// Share of the requests of a service that an upstream gets.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// Weight relative to an upstream in full service, from 0 to 1.
    pub weight: f64,
    /// Reason for the weight.
    pub standing: Standing,
}
