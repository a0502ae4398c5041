//! Upstreams as an instance knows them.

use std::net::SocketAddr;
use std::time::Instant;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{FailureDomain, Incarnation, Region, ServiceId, UpstreamId};

/// One upstream as known from the instance list and from its own answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamView {
    /// Name of the upstream.
    pub id: UpstreamId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The failure domain that it runs in.
    pub failure_domain: FailureDomain,
    /// The region that it runs in.
    pub region: Region,
    /// Which life of the process this is.
    pub incarnation: Incarnation,
    /// True from the first sign that the upstream is about to stop.
    pub leaving: bool,
    /// When this life of the upstream was first known, if it was seen to start. An upstream that
    /// was already running when the instance started is not cold and has `None`.
    pub cold_since: Option<Instant>,
}

/// Why an upstream has the weight that it has.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// Gets its full share.
    #[display("in service")]
    InService,
    /// Cold, gets a share that grows over the ramp time.
    #[display("ramping")]
    Ramping,
    /// Was ejected and earns its share back by real work.
    #[display("on trial")]
    Trial,
    /// Gets no work.
    #[display("ejected")]
    Ejected,
    /// Judged faulty, but stays in service with a small share because of the floor.
    #[display("kept for the floor")]
    KeptForFloor,
    /// About to stop, gets no new work.
    #[display("leaving")]
    Leaving,
}

/// The share of work that an upstream gets.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// Share relative to an upstream in full service, from 0 to 1.
    pub weight: f64,
    /// Why the upstream has this weight.
    pub standing: Standing,
}
