//! Selection of the upstream for a request.
//!
//! A request goes to the upstream with the smallest expected loss, which is a share of the value of
//! the request. Suspected upstreams are not excluded. They get requests again when the other
//! upstreams are busy or as likely to be faulty, which keeps each service above its floor.

use std::time::Duration;

use cactustrack_types::RequestClass;
use serde::Serialize;

use crate::trial::Trial;

/// Fault probability up to which all upstreams are treated as equally healthy.
const TRUSTED_PROBABILITY: f64 = 0.08;

/// Loss if a request that cannot be retried goes to a faulty upstream.
const LOSS_LAST_ATTEMPT: f64 = 1.0;

/// Loss if a request that can be retried goes to a faulty upstream. A retry costs time and retry
/// budget.
const LOSS_RETRYABLE: f64 = 0.65;

/// Loss of a response that is late by the whole latency target.
const LOSS_PER_TARGET: f64 = 0.8;

/// Loss at full load, which is one request in flight per slot. The loss is proportional to the load
/// and spreads requests over idle upstreams.
const LOSS_PER_LOAD: f64 = 0.08;

/// Loss of queueing at an upstream, in addition to the wait. A queued request may be shed, and it
/// fails if a fault of the upstream starts meanwhile. A free slot elsewhere is therefore preferred
/// even if it needs a new connection or is in another failure domain.
const LOSS_QUEUED: f64 = 0.05;

/// Loss of a new connection, which takes time at the upstream.
const LOSS_NEW_CONNECTION: f64 = 0.06;

/// Loss if the upstream is in another failure domain. Large bodies put the most load on the
/// links between failure domains.
const LOSS_OTHER_DOMAIN: f64 = 0.02;
const LOSS_OTHER_DOMAIN_LARGE: f64 = 0.3;

/// Factor by which a request takes longer at a cold upstream.
const COLD_FACTOR: f64 = 2.0;

/// Largest random loss. It keeps instances from selecting the same upstream at the same time.
const LOSS_JITTER: f64 = 0.03;

/// State of an upstream that a request may be sent to.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Number of requests in flight from the whole fleet.
    pub in_flight: u32,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Probability that it is faulty according to the observations of the whole fleet.
    pub fault_probability: f64,
    /// Probability that it is faulty according to the observations of this instance.
    pub own_fault_probability: f64,
    /// True if it is in the slow phase after a cold start.
    pub is_cold: bool,
    /// True if this instance has an idle connection to it.
    pub has_connection: bool,
    /// True if it runs in the failure domain of this instance.
    pub is_same_domain: bool,
    /// True if it has recently rejected a request as busy.
    pub is_full: bool,
    /// Time since the last attempt of any instance, `None` if there was none.
    pub idle_time: Option<Duration>,
}

/// Properties of the request to be sent.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Class of the request.
    pub class: RequestClass,
    /// True if the request cannot be retried should this attempt fail.
    pub is_last_attempt: bool,
    /// Mean service time of the service.
    pub service_time: Duration,
    /// Remaining time of the latency target.
    pub target_left: Duration,
    /// Random number, uniform from 0 to 1, drawn for each upstream.
    pub draw: f64,
    /// Trial of upstreams without recent requests, if the request serves as one.
    pub trial: Option<Trial>,
}

/// Terms of the expected loss of a request at an upstream, as shares of the value of the request.
/// Their sum is the loss.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LossTerms {
    /// Fault of the upstream.
    pub fault: f64,
    /// Wait for a slot, and the slower responses of a cold upstream.
    pub time: f64,
    /// Requests in flight in relation to the slots.
    pub load: f64,
    /// Random term that keeps instances from selecting the same upstream at the same time.
    pub jitter: f64,
    /// Gain of a trial. It is negative, or zero if the request serves as no trial of the upstream.
    pub trial: f64,
    /// Queueing at the upstream, in addition to the wait.
    pub queueing: f64,
    /// Opening of a connection.
    pub connection: f64,
    /// Path to another failure domain.
    pub other_domain: f64,
}

impl LossTerms {
    /// Returns the loss.
    #[inline]
    pub fn total(&self) -> f64 {
        let Self { fault, time, load, jitter, trial, queueing, connection, other_domain } = self;
        fault + time + (load + jitter) + trial + queueing + connection + other_domain
    }
}

impl Candidate {
    /// Returns true if the upstream is treated as healthy.
    pub fn is_trusted(&self) -> bool {
        self.fault_probability.max(self.own_fault_probability) <= TRUSTED_PROBABILITY
    }

    /// Returns the number of requests that have to end before this one gets a slot. An upstream that
    /// has rejected a request as busy counts as having at least four waiting requests per slot.
    #[inline]
    fn requests_ahead(&self) -> u32 {
        let slots = self.slots.max(1);
        let ahead = (self.in_flight + 1).saturating_sub(slots);
        if self.is_full { ahead.max(4 * slots) } else { ahead }
    }

    /// Returns the expected wait for a slot.
    #[inline]
    pub fn wait(&self, service_time: Duration) -> Duration {
        let (slots, ahead) = (self.slots.max(1), self.requests_ahead());
        if ahead == 0 {
            return Duration::ZERO;
        }
        let factor = if self.is_cold { COLD_FACTOR } else { 1.0 };
        service_time.mul_f64(f64::from(ahead) / f64::from(slots) * factor)
    }

    /// Returns the expected loss as a share of the value of the request.
    // The functions that a selection calls for each upstream are inlined across crates: without that,
    // a selection among 477 upstreams took 5 % longer.
    #[inline]
    pub fn loss(&self, request: &Request) -> f64 {
        self.loss_terms(request).total()
    }

    /// Returns the terms of the expected loss.
    #[inline]
    pub fn loss_terms(&self, request: &Request) -> LossTerms {
        let load = f64::from(self.in_flight) / f64::from(self.slots.max(1));
        LossTerms {
            fault: self.fault_loss(request),
            time: self.time_loss(request),
            load: load * LOSS_PER_LOAD,
            jitter: request.draw * LOSS_JITTER,
            // A negation would turn a gain of zero into -0.0, which is printed with its sign.
            trial: 0.0
                - request.trial.map_or(0.0, |trial| trial.gain(self.idle_time, request.draw)),
            queueing: if self.requests_ahead() > 0 { LOSS_QUEUED } else { 0.0 },
            connection: if self.has_connection { 0.0 } else { LOSS_NEW_CONNECTION },
            other_domain: match request.class {
                _ if self.is_same_domain => 0.0,
                RequestClass::Large | RequestClass::Upload => LOSS_OTHER_DOMAIN_LARGE,
                _ => LOSS_OTHER_DOMAIN,
            },
        }
    }

    #[inline]
    fn fault_loss(&self, request: &Request) -> f64 {
        let fault_probability =
            (self.fault_probability.max(self.own_fault_probability) - TRUSTED_PROBABILITY).max(0.0);
        fault_probability * if request.is_last_attempt { LOSS_LAST_ATTEMPT } else { LOSS_RETRYABLE }
    }

    #[inline]
    fn time_loss(&self, request: &Request) -> f64 {
        let wait = self.wait(request.service_time).as_secs_f64();
        let service = request.service_time.as_secs_f64();
        let cold = if self.is_cold { service * (COLD_FACTOR - 1.0) } else { 0.0 };
        LOSS_PER_TARGET * (wait + cold) / request.target_left.as_secs_f64().max(0.1)
    }
}
