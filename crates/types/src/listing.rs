//! Entries of the platform's instance list, the source of service discovery.

use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{FailureDomain, Incarnation, Region, ServiceId};

/// Role of a listed process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "role", rename_all = "snake_case")]
pub enum Role {
    /// An instance of the fleet. The listed address is that of its peer listener.
    Instance,
    /// An upstream of a service.
    Upstream {
        /// Service that the upstream belongs to.
        service: ServiceId,
    },
}

/// State of a listed process. The list may be out of date, so the state is only a hint.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListingState {
    /// The process is running.
    #[display("live")]
    Live,
    /// The process is about to stop and must not receive new requests.
    #[display("leaving")]
    Leaving,
}

/// One entry of the platform's instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Name of the process: an `InstanceId` or an `UpstreamId`.
    pub id: std::sync::Arc<str>,
    /// Role of the process.
    #[serde(flatten)]
    pub role: Role,
    /// IP address and port that the process listens on.
    pub address: SocketAddr,
    /// Failure domain that the process runs in.
    pub failure_domain: FailureDomain,
    /// Region that the process runs in.
    pub region: Region,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// State of the process according to the list.
    pub state: ListingState,
}
