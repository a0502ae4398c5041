//! Entries of the platform's instance list.

use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{FailureDomain, Incarnation, Region, ServiceId};

/// What the listed process is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "role", rename_all = "snake_case")]
pub enum Role {
    /// An instance of the fleet. The listed address is that of its peer listener.
    Instance,
    /// An upstream of a service.
    Upstream {
        /// The service that the upstream belongs to.
        service: ServiceId,
    },
}

/// State of a listed process. The list lags, so the state is a hint.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListingState {
    /// The process runs.
    #[display("live")]
    Live,
    /// The process was told to stop and must get no new work.
    #[display("leaving")]
    Leaving,
}

/// One entry of the platform's instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Name of the process: an `InstanceId` or an `UpstreamId`.
    pub id: std::sync::Arc<str>,
    /// What the process is.
    #[serde(flatten)]
    pub role: Role,
    /// Where it listens, as an IP number and a port.
    pub address: SocketAddr,
    /// The failure domain that it runs in.
    pub failure_domain: FailureDomain,
    /// The region that it runs in.
    pub region: Region,
    /// Which life of the process this is.
    pub incarnation: Incarnation,
    /// State according to the list.
    pub state: ListingState,
}
