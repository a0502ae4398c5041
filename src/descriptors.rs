//! Division of the file descriptors of a process between callers, upstreams and everything else.

use rustix::process::{Resource, getrlimit};

/// Descriptors for files, listeners, the store, other instances, the admin endpoints and
/// connections of callers that are being rejected.
const RESERVED: usize = 400;

/// Share of the connections that is kept for upstreams, as a divisor. Callers keep connections open
/// between requests, so their number exceeds that of the requests in progress several times.
const UPSTREAM_SHARE_DIVISOR: usize = 8;

/// Numbers of connections that a process may have open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DescriptorPlan {
    /// Connections of callers and to upstreams together.
    pub(crate) connections: usize,
    /// Connections of callers. Their requests need the remaining ones to reach upstreams.
    pub(crate) callers: usize,
}

impl DescriptorPlan {
    /// Divides a number of descriptors.
    pub(crate) fn new(descriptors: usize) -> Self {
        let connections = descriptors.saturating_sub(RESERVED).max(descriptors / 2);
        Self { connections, callers: connections - connections / UPSTREAM_SHARE_DIVISOR }
    }

    /// Divides the descriptors that the operating system allows this process.
    pub(crate) fn of_process() -> Self {
        let limit = getrlimit(Resource::Nofile).current;
        Self::new(limit.and_then(|limit| usize::try_from(limit).ok()).unwrap_or(usize::MAX))
    }
}
