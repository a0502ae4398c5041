//! The naive version: each instance alone, with the customary rules and their usual settings.

use std::time::{Duration, Instant};

use crate::site::{INSTANCES, Site};
use crate::world::{Answer, Detector, Use};

/// Errors in a row that eject an upstream.
const CONSECUTIVE_ERRORS: u32 = 5;
/// Length of the fixed intervals of the success-rate rule.
const INTERVAL: Duration = Duration::from_secs(10);
/// Upstreams with enough requests that the success-rate rule needs.
const MIN_UPSTREAMS: usize = 5;
/// Requests in an interval that the success-rate rule needs.
const MIN_REQUESTS: u32 = 100;
/// Standard deviations below the mean success rate at which an upstream is ejected.
const DEVIATIONS: f64 = 1.9;
/// Length of a first ejection. The n-th one is n times as long.
const BASE_EJECTION: Duration = Duration::from_secs(30);
/// Share of the upstreams that may be ejected at a time, but at least one.
const MAX_EJECTED: f64 = 0.1;

#[derive(Clone, Copy, Debug, Default)]
struct State {
    consecutive: u32,
    requests: u32,
    failures: u32,
    times: u32,
    until: Option<Instant>,
}

#[derive(Debug)]
pub(crate) struct Naive {
    instances: Vec<Vec<State>>,
    interval_end: Instant,
}

impl Naive {
    pub(crate) fn new(start: Instant, site: &Site) -> Self {
        Self {
            instances: vec![vec![State::default(); site.upstreams]; INSTANCES],
            interval_end: start + INTERVAL,
        }
    }

    fn eject(states: &mut [State], upstream: usize, now: Instant) {
        let ejected = states.iter().filter(|state| state.until.is_some()).count();
        let limit = ((states.len() as f64 * MAX_EJECTED) as usize).max(1);
        let state = &mut states[upstream];
        if state.until.is_none() && ejected < limit {
            state.times += 1;
            state.until = Some(now + BASE_EJECTION * state.times);
        }
        state.consecutive = 0;
    }

    fn success_rate_rule(states: &mut [State], now: Instant) {
        let rate = |state: &State| 1.0 - f64::from(state.failures) / f64::from(state.requests);
        let busy: Vec<(usize, f64)> = states
            .iter()
            .enumerate()
            .filter(|(_, state)| state.requests >= MIN_REQUESTS)
            .map(|(upstream, state)| (upstream, rate(state)))
            .collect();
        states.iter_mut().for_each(|state| (state.requests, state.failures) = (0, 0));
        if busy.len() < MIN_UPSTREAMS {
            return;
        }
        let count = busy.len() as f64;
        let mean = busy.iter().map(|(_, rate)| rate).sum::<f64>() / count;
        let variance = busy.iter().map(|(_, rate)| (rate - mean).powi(2)).sum::<f64>() / count;
        for (upstream, rate) in busy {
            if rate < mean - DEVIATIONS * variance.sqrt() {
                Self::eject(states, upstream, now);
            }
        }
    }
}

impl Detector for Naive {
    fn answer(&mut self, now: Instant, answer: Answer) {
        let states = &mut self.instances[answer.instance];
        let state = &mut states[answer.upstream];
        state.requests += 1;
        state.failures += u32::from(answer.failed);
        state.consecutive = if answer.failed { state.consecutive + 1 } else { 0 };
        if state.consecutive >= CONSECUTIVE_ERRORS {
            Self::eject(states, answer.upstream, now);
        }
    }

    fn step(&mut self, now: Instant, _: u64) {
        if now >= self.interval_end {
            self.interval_end += INTERVAL;
            self.instances.iter_mut().for_each(|states| Self::success_rate_rule(states, now));
        }
    }

    fn exchange(&mut self, now: Instant, instance: usize, uses: &mut Vec<Use>) {
        for (state, usage) in self.instances[instance].iter_mut().zip(uses) {
            state.until = state.until.filter(|until| *until > now);
            let judged_faulty = state.until.is_some();
            *usage = Use { weight: if judged_faulty { 0.0 } else { 1.0 }, judged_faulty };
        }
    }
}
