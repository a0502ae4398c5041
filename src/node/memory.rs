//! Memory budget and socket limits of an instance, from the memory limit of its process.

use cactustrack_observe::Metrics;
use cactustrack_platform::Settings;
use cactustrack_proxy::{BodyMemory, MemoryBudget, SocketLimits};
use slog::Logger;

/// Part of the memory limit that bodies and heads in transit may use. The other half is for the
/// process itself, the buffers of its connections and what the system holds for its sockets.
const BUDGET_DIVISOR: u64 = 2;

/// Limits on the buffers of the sockets of callers and upstreams. A window of about 128 KiB allows
/// 12 MB a second at a round trip of 10 ms.
const SOCKETS: SocketLimits = SocketLimits { receive_bytes: 128 * 1024, unsent_bytes: 16 * 1024 };

/// Returns what counts the held bytes. Without a memory limit in the settings, they are not limited.
pub(super) fn body_memory(settings: &Settings, metrics: &Metrics, log: &Logger) -> BodyMemory {
    let Some(limit) = settings.pressure_limit() else { return BodyMemory::unlimited() };
    let budget = MemoryBudget::new(limit / BUDGET_DIVISOR);
    slog::info!(log, "proxy: memory is limited"; "budget_bytes" => limit / BUDGET_DIVISOR);
    BodyMemory::new(budget, metrics, log.clone())
}

/// Returns the limits of the sockets, if the settings have a memory limit.
pub(super) fn socket_limits(settings: &Settings) -> Option<SocketLimits> {
    settings.pressure_limit().map(|_| SOCKETS)
}
