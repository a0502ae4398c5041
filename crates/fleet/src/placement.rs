//! Which upstream gets a request.
//!
//! Every upstream has an expected loss, as a share of the worth of the request, and the one with
//! the smallest gets it. Suspects are not excluded: when the others are busy, or no better, they
//! get work again, and so no service falls below its floor.

use std::time::Duration;

use cactustrack_types::RequestClass;

/// Probability of a fault up to which upstreams count as equally sound. It lies above the mean of
/// an upstream that nothing is known of.
const TRUSTED_PROBABILITY: f64 = 0.15;

/// Loss if a faulty upstream gets a request that cannot be sent again.
const LOSS_NON_IDEMPOTENT: f64 = 1.0;

/// Loss if a faulty upstream gets a request that can be sent again, in time and retry budget.
const LOSS_REPEATABLE: f64 = 0.4;

/// Loss for each request in flight, in slots. It spreads requests over idle upstreams.
const LOSS_PER_LOAD: f64 = 0.08;

/// Loss of a new connection, which costs the upstream time.
const LOSS_NEW_CONNECTION: f64 = 0.05;

/// Loss if the upstream is in another failure domain. Large answers cost the links between failure
/// domains most.
const LOSS_OTHER_DOMAIN: f64 = 0.02;
const LOSS_OTHER_DOMAIN_LARGE: f64 = 0.3;

/// Factor by which a cold upstream takes longer.
const COLD_FACTOR: f64 = 2.0;

/// Loss for the random part, which keeps instances from choosing alike.
const LOSS_JITTER: f64 = 0.03;

/// What is known of an upstream when a request is placed.
#[derive(Clone, Copy, Debug)]
pub struct Prospect {
    /// Requests in flight from the whole fleet.
    pub in_flight: u32,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Probability that it is faulty, as the fleet sees it.
    pub fault: f64,
    /// Probability that it is faulty for this instance.
    pub own_fault: f64,
    /// True if it has just started.
    pub is_cold: bool,
    /// True if this instance has an idle connection to it.
    pub has_connection: bool,
    /// True if it runs in the failure domain of this instance.
    pub is_near: bool,
    /// True if it refused a request as busy a moment ago.
    pub is_full: bool,
}

impl Prospect {
    /// Expected wait for a slot.
    pub fn wait(&self, service_time: Duration) -> Duration {
        let slots = self.slots.max(1);
        let ahead = (self.in_flight + 1).saturating_sub(slots);
        let ahead = if self.is_full { ahead.max(4 * slots) } else { ahead };
        let factor = if self.is_cold { COLD_FACTOR } else { 1.0 };
        service_time.mul_f64(f64::from(ahead) / f64::from(slots) * factor)
    }

    /// Expected loss as a share of the worth of the request. `draw` is uniform from 0 to 1.
    pub fn loss(
        &self,
        class: RequestClass,
        service_time: Duration,
        target_left: Duration,
        draw: f64,
    ) -> f64 {
        let fault = (self.fault.max(self.own_fault) - TRUSTED_PROBABILITY).max(0.0);
        let fault_loss = match class {
            RequestClass::NonIdempotent => LOSS_NON_IDEMPOTENT,
            RequestClass::Idempotent | RequestClass::Large => LOSS_REPEATABLE,
        };
        let wait = self.wait(service_time).as_secs_f64();
        let cold =
            if self.is_cold { service_time.as_secs_f64() * (COLD_FACTOR - 1.0) } else { 0.0 };
        let time_loss = (wait + cold) / target_left.as_secs_f64().max(0.1);
        let load = f64::from(self.in_flight) / f64::from(self.slots.max(1));
        let mut loss = fault * fault_loss + time_loss + load * LOSS_PER_LOAD + draw * LOSS_JITTER;
        if !self.has_connection {
            loss += LOSS_NEW_CONNECTION;
        }
        if !self.is_near {
            loss += match class {
                RequestClass::Large => LOSS_OTHER_DOMAIN_LARGE,
                _ => LOSS_OTHER_DOMAIN,
            };
        }
        loss
    }
}
