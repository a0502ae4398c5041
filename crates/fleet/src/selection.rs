//! Selection of one upstream of a service by the expected loss of a request at each.

use std::time::Duration;

use cactustrack_types::RequestClass;

use crate::placement::{Candidate, LossTerms, Request};
use crate::trial::{FLOOR_DUE_AFTER, IN_USE_WINDOW, ServiceUsage, Trial};

/// The request and the state of its service, on which the selection depends besides the candidates.
#[derive(Clone, Copy, Debug)]
pub struct Selection {
    /// Class of the request.
    pub class: RequestClass,
    /// True if the request cannot be retried should this attempt fail.
    pub is_last_attempt: bool,
    /// Mean service time of the service.
    pub service_time: Duration,
    /// Remaining time of the latency target.
    pub target_left: Duration,
    /// Attempts of the fleet at the service per second.
    pub request_rate: f64,
    /// Share of the recent attempts of the fleet at the service that have failed.
    pub failure_share: f64,
}

/// Loss that is expected of a request at an upstream before random numbers are drawn.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpectedLoss {
    /// Terms of the loss. The random ones, `jitter` and `trial`, have their expected values.
    pub terms: LossTerms,
    /// Smallest loss that the random terms allow.
    pub min: f64,
    /// Largest loss that the random terms allow.
    pub max: f64,
}

impl Selection {
    /// Returns the candidate with the smallest expected loss. `draw` returns random numbers, uniform
    /// from 0 to 1.
    pub fn choose<'a, T>(
        &self,
        candidates: &'a [(T, Candidate)],
        mut draw: impl FnMut() -> f64,
    ) -> Option<&'a (T, Candidate)> {
        let usage = self.usage(candidates);
        let floor_trial = usage.floor_trial(self.is_last_attempt).decide(draw());
        let trial = usage.trial(self.is_last_attempt);
        let mut loss = |candidate: &Candidate| {
            let jitter = draw();
            let trial = floor_trial.or_else(|| trial.decide(draw()));
            candidate.loss(&self.request(jitter, trial))
        };
        let losses = candidates.iter().map(|entry| (loss(&entry.1), entry));
        let best = losses.min_by(|(one, _), (other, _)| one.total_cmp(other));
        best.map(|(_, entry)| entry)
    }

    /// Returns the candidates with their losses, in the order of the expected loss.
    pub fn rank<'a, T>(
        &self,
        candidates: &'a [(T, Candidate)],
    ) -> Vec<(ExpectedLoss, &'a (T, Candidate))> {
        let usage = self.usage(candidates);
        let expected = candidates.iter().map(|entry| (self.expected_loss(&usage, &entry.1), entry));
        let mut ranked: Vec<_> = expected.collect();
        ranked.sort_by(|(one, _), (other, _)| one.terms.total().total_cmp(&other.terms.total()));
        ranked
    }

    fn expected_loss(&self, usage: &ServiceUsage, candidate: &Candidate) -> ExpectedLoss {
        let floor_trial = usage.floor_trial(self.is_last_attempt);
        let trial = usage.trial(self.is_last_attempt);
        let (floor_share, share) = (floor_trial.probability(), trial.probability());
        let outcomes = [
            (floor_share, Some(floor_trial.trial)),
            ((1.0 - floor_share) * share, Some(trial.trial)),
            ((1.0 - floor_share) * (1.0 - share), None),
        ];
        let terms = |draw, trial| candidate.loss_terms(&self.request(draw, trial));
        let mean = outcomes.iter().map(|(share, trial)| share * terms(0.5, *trial).trial).sum();
        let mut loss =
            ExpectedLoss { terms: terms(0.5, None), min: f64::INFINITY, max: f64::NEG_INFINITY };
        loss.terms.trial = mean;
        // The loss is linear in the draw, so that the extremes are at its ends.
        for (_, trial) in outcomes.iter().filter(|(share, _)| *share > 0.0) {
            for total in [0.0, 1.0].map(|draw| terms(draw, *trial).total()) {
                (loss.min, loss.max) = (loss.min.min(total), loss.max.max(total));
            }
        }
        loss
    }

    fn request(&self, draw: f64, trial: Option<Trial>) -> Request {
        Request {
            class: self.class,
            is_last_attempt: self.is_last_attempt,
            service_time: self.service_time,
            target_left: self.target_left,
            draw,
            trial,
        }
    }

    /// Returns how much the service uses its upstreams, which determines how often requests try the
    /// unused ones.
    fn usage<T>(&self, candidates: &[(T, Candidate)]) -> ServiceUsage {
        let trusted = candidates.iter().filter(|(_, candidate)| candidate.is_trusted());
        let (in_flight, slots) = trusted.fold((0, 0), |(in_flight, slots), (_, candidate)| {
            (in_flight + candidate.in_flight, slots + candidate.slots)
        });
        let count_used_within = |window: Duration| {
            let idle_times = candidates.iter().filter_map(|(_, candidate)| candidate.idle_time);
            idle_times.filter(|idle_time| *idle_time < window).count()
        };
        ServiceUsage {
            upstreams: candidates.len(),
            used: count_used_within(IN_USE_WINDOW),
            due: candidates.len() - count_used_within(FLOOR_DUE_AFTER),
            trusted_load: f64::from(in_flight) / f64::from(slots.max(1)),
            request_rate: self.request_rate,
            failure_share: self.failure_share,
        }
    }
}
