//! The naive version for comparison: each instance decides alone, with the customary rules of
//! outlier detection and their usual settings.

use std::time::{Duration, Instant};

use crate::profile::{INSTANCES, ServiceProfile};
use crate::simulation::{CompletedRequest, Detector, UpstreamStatus};

/// Number of consecutive errors after which an upstream is ejected.
const CONSECUTIVE_ERRORS: u32 = 5;
/// Length of the fixed intervals of the success-rate rule.
const INTERVAL: Duration = Duration::from_secs(10);
/// Number of upstreams with enough requests that the success-rate rule requires.
const MIN_UPSTREAMS: usize = 5;
/// Number of requests in an interval that the success-rate rule requires of an upstream.
const MIN_REQUESTS: u32 = 100;
/// Number of standard deviations below the mean success rate at which an upstream is ejected.
const DEVIATIONS: f64 = 1.9;
/// Length of the first ejection. The n-th ejection is n times as long.
const BASE_EJECTION: Duration = Duration::from_secs(30);
/// Share of the upstreams that may be ejected at the same time. At least one may be.
const MAX_EJECTED: f64 = 0.1;

#[derive(Clone, Copy, Debug, Default)]
struct State {
    consecutive_errors: u32,
    requests: u32,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
}

/// The naive version of the detector.
#[derive(Debug)]
pub(crate) struct NaiveDetector {
    instances: Vec<Vec<State>>,
    interval_end: Instant,
}

impl NaiveDetector {
    pub(crate) fn new(start: Instant, profile: &ServiceProfile) -> Self {
        Self {
            instances: vec![vec![State::default(); profile.upstreams]; INSTANCES],
            interval_end: start + INTERVAL,
        }
    }

    fn eject(states: &mut [State], upstream: usize, now: Instant) {
        let ejected = states.iter().filter(|state| state.ejected_until.is_some()).count();
        let limit = ((states.len() as f64 * MAX_EJECTED) as usize).max(1);
        let state = &mut states[upstream];
        if state.ejected_until.is_none() && ejected < limit {
            state.ejections += 1;
            state.ejected_until = Some(now + BASE_EJECTION * state.ejections);
        }
        state.consecutive_errors = 0;
    }

    fn success_rate_rule(states: &mut [State], now: Instant) {
        let rate = |state: &State| 1.0 - f64::from(state.failures) / f64::from(state.requests);
        let eligible: Vec<(usize, f64)> = states
            .iter()
            .enumerate()
            .filter(|(_, state)| state.requests >= MIN_REQUESTS)
            .map(|(upstream, state)| (upstream, rate(state)))
            .collect();
        states.iter_mut().for_each(|state| (state.requests, state.failures) = (0, 0));
        if eligible.len() < MIN_UPSTREAMS {
            return;
        }
        let count = eligible.len() as f64;
        let mean = eligible.iter().map(|(_, rate)| rate).sum::<f64>() / count;
        let variance = eligible.iter().map(|(_, rate)| (rate - mean).powi(2)).sum::<f64>() / count;
        for (upstream, rate) in eligible {
            if rate < mean - DEVIATIONS * variance.sqrt() {
                Self::eject(states, upstream, now);
            }
        }
    }
}

impl Detector for NaiveDetector {
    fn record(&mut self, now: Instant, request: CompletedRequest) {
        let states = &mut self.instances[request.instance];
        let state = &mut states[request.upstream];
        state.requests += 1;
        state.failures += u32::from(request.failed);
        state.consecutive_errors = if request.failed { state.consecutive_errors + 1 } else { 0 };
        if state.consecutive_errors >= CONSECUTIVE_ERRORS {
            Self::eject(states, request.upstream, now);
        }
    }

    fn step(&mut self, now: Instant, _: u64) {
        if now >= self.interval_end {
            self.interval_end += INTERVAL;
            self.instances.iter_mut().for_each(|states| Self::success_rate_rule(states, now));
        }
    }

    fn exchange(&mut self, now: Instant, instance: usize, statuses: &mut Vec<UpstreamStatus>) {
        for (state, status) in self.instances[instance].iter_mut().zip(statuses) {
            state.ejected_until = state.ejected_until.filter(|until| *until > now);
            let is_faulty = state.ejected_until.is_some();
            *status = UpstreamStatus { weight: if is_faulty { 0.0 } else { 1.0 }, is_faulty };
        }
    }
}
