//! Limits of hedges and connections that depend on the state of the fleet.

use std::time::Instant;

use cactustrack_fleet::discovery::ListedUpstream;
use cactustrack_fleet::hedge::{self, UpstreamLoad};
use cactustrack_types::ServiceId;

use super::state::State;

/// Share of the connections accepted by an upstream that the whole fleet may open.
const CONNECTION_SHARE: f64 = 0.9;

/// Number of connections to one upstream that an instance may always open.
const MIN_CONNECTIONS: usize = 2;

/// Returns true if a service has room for a hedge.
pub(super) fn has_room_for_hedge(state: &State, now: Instant, service: &ServiceId) -> bool {
    let times = state.view.response_times(service);
    let load = |upstream: &ListedUpstream| {
        let slots = upstream.slots;
        let known = state.view.assess(now, &upstream.id, slots, times);
        UpstreamLoad {
            in_flight: known.in_flight,
            slots,
            fault_probability: known.fault_probability,
        }
    };
    hedge::has_room(state.catalog.usable(now, service).map(load))
}

/// Returns how many connections this instance may have open to one upstream of a service.
pub(super) fn max_connections(state: &State, service: &ServiceId) -> usize {
    let in_force = state.in_force.as_ref();
    let accepted = in_force.and_then(|in_force| in_force.connections.get(service));
    let Some(accepted) = accepted else { return MIN_CONNECTIONS };
    let instances = state.peers.max_instances().unwrap_or_else(|| state.peers.instances());
    let share = f64::from(*accepted) * CONNECTION_SHARE / instances as f64;
    (share as usize).max(MIN_CONNECTIONS)
}
