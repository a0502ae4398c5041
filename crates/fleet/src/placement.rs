//! Which upstream gets a request.
//!
//! Every upstream has an expected loss, as a share of the worth of the request, and the one with
//! the smallest gets it. Suspects are not excluded: when the others are busy, or no better, they
//! get work again, and so no service falls below its floor.

use std::time::Duration;

use cactustrack_types::RequestClass;

use crate::trial::Trial;

/// Probability of a fault up to which upstreams count as equally sound.
const TRUSTED_PROBABILITY: f64 = 0.08;

/// Loss if a faulty upstream gets a request that cannot be sent again.
const LOSS_LAST_ATTEMPT: f64 = 1.0;

/// Loss if a faulty upstream gets a request that can be sent again, in time and retry budget.
const LOSS_REPEATABLE: f64 = 0.65;

/// Loss of an answer that is late by the latency target.
const LOSS_PER_TARGET: f64 = 0.8;

/// Loss for each request in flight, in slots. It spreads requests over idle upstreams.
const LOSS_PER_LOAD: f64 = 0.08;

/// Loss of a new connection, which costs the upstream time.
const LOSS_NEW_CONNECTION: f64 = 0.06;

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
pub struct Candidate {
    /// Requests in flight from the whole fleet.
    pub in_flight: u32,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Probability that it is faulty, as the fleet sees it.
    pub fault_probability: f64,
    /// Probability that it is faulty for this instance.
    pub own_fault_probability: f64,
    /// True if it has just started.
    pub is_cold: bool,
    /// True if this instance has an idle connection to it.
    pub has_connection: bool,
    /// True if it runs in the failure domain of this instance.
    pub is_same_domain: bool,
    /// True if it refused a request as busy a moment ago.
    pub is_full: bool,
    /// Time for which it got no request from any instance, `None` if it never got one.
    pub idle_time: Option<Duration>,
}

/// What is known of the request that is placed.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Class of the request.
    pub class: RequestClass,
    /// True if it cannot be sent once more if this attempt fails.
    pub is_last_attempt: bool,
    /// Mean service time of the service.
    pub service_time: Duration,
    /// Time within which the answer is worth most.
    pub target_left: Duration,
    /// Uniform from 0 to 1, another one for each upstream.
    pub draw: f64,
    /// How the request tries an upstream that is unused, if it does.
    pub trial: Option<Trial>,
}

impl Candidate {
    /// Returns true if the upstream counts as sound.
    pub fn is_trusted(&self) -> bool {
        self.fault_probability.max(self.own_fault_probability) <= TRUSTED_PROBABILITY
    }

    /// Expected wait for a slot.
    pub fn wait(&self, service_time: Duration) -> Duration {
        let slots = self.slots.max(1);
        let ahead = (self.in_flight + 1).saturating_sub(slots);
        let ahead = if self.is_full { ahead.max(4 * slots) } else { ahead };
        let factor = if self.is_cold { COLD_FACTOR } else { 1.0 };
        service_time.mul_f64(f64::from(ahead) / f64::from(slots) * factor)
    }

    /// Expected loss as a share of the worth of the request.
    pub fn loss(&self, request: &Request) -> f64 {
        let load = f64::from(self.in_flight) / f64::from(self.slots.max(1));
        let mut loss = self.fault_loss(request) + self.time_loss(request);
        loss += load * LOSS_PER_LOAD + request.draw * LOSS_JITTER;
        loss -= request.trial.map_or(0.0, |trial| trial.gain(self.idle_time));
        if !self.has_connection {
            loss += LOSS_NEW_CONNECTION;
        }
        if !self.is_same_domain {
            loss += match request.class {
                RequestClass::Large => LOSS_OTHER_DOMAIN_LARGE,
                _ => LOSS_OTHER_DOMAIN,
            };
        }
        loss
    }

    fn fault_loss(&self, request: &Request) -> f64 {
        let fault_probability =
            (self.fault_probability.max(self.own_fault_probability) - TRUSTED_PROBABILITY).max(0.0);
        fault_probability
            * if request.is_last_attempt { LOSS_LAST_ATTEMPT } else { LOSS_REPEATABLE }
    }

    fn time_loss(&self, request: &Request) -> f64 {
        let wait = self.wait(request.service_time).as_secs_f64();
        let service = request.service_time.as_secs_f64();
        let cold = if self.is_cold { service * (COLD_FACTOR - 1.0) } else { 0.0 };
        LOSS_PER_TARGET * (wait + cold) / request.target_left.as_secs_f64().max(0.1)
    }
}
