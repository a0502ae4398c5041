//! Room for hedges: second attempts that are sent in parallel to a slow one.
//!
//! A hedge on a busy service takes up a slot that other requests need, so some slots have to be free.
//! Those of upstreams that are probably faulty do not count, since a hedge goes elsewhere. Neither do
//! the requests that hang there, and those that wait for another slot.

/// Smallest share of the slots that is free when requests are hedged.
const MIN_FREE_SHARE: f64 = 0.1;

/// Fault probability from which the slots of an upstream do not count.
const MAX_FAULT_PROBABILITY: f64 = 0.5;

/// Load of one upstream of a service.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamLoad {
    /// Number of requests in flight from the whole fleet.
    pub in_flight: u32,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Probability that it is faulty.
    pub fault_probability: f64,
}

/// Returns true if a service has room for a hedge.
pub fn has_room(upstreams: impl Iterator<Item = UpstreamLoad>) -> bool {
    let sound = upstreams.filter(|upstream| upstream.fault_probability < MAX_FAULT_PROBABILITY);
    let (free, slots) = sound.fold((0, 0), |(free, slots), upstream| {
        (free + upstream.slots.saturating_sub(upstream.in_flight), slots + upstream.slots)
    });
    free > 0 && f64::from(free) >= f64::from(slots) * MIN_FREE_SHARE
}
