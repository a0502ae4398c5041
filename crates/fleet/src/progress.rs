//! Attempts of the whole fleet that wait for a response, and what their age says about an upstream.
//!
//! An upstream that has stopped answering gets further requests until an attempt is overdue or
//! fails, which takes several mean service times. Before that, the age of the attempts in progress
//! already makes a fault more or less likely: few healthy upstreams take twice as long as usual. The
//! evidence is not kept. It ends with the attempt, whose outcome then counts as an observation.

use std::time::{Duration, Instant};

use cactustrack_types::{InstanceId, UpstreamId};
use rapidhash::RapidHashMap;

/// Time after which an attempt is dropped whose end was not heard.
const MAX_AGE: Duration = Duration::from_secs(30);

/// Probability that a faulty upstream does not answer a request. Other faults show in responses.
const HANG_SHARE: f64 = 0.5;

/// Smallest probability that a healthy upstream still works on a request. Some requests take many
/// times as long as usual.
const MIN_SURVIVAL: f64 = 0.02;

/// Largest factor by which the attempts at an upstream together raise the odds of a fault.
const MAX_ODDS_FACTOR: f64 = 100.0;

/// Slope of the logistic function that approximates the normal distribution function.
const LOGISTIC_SLOPE: f64 = 1.702;

/// Weight of a new response in the moving averages.
const RESPONSE_WEIGHT: f64 = 0.03;

/// Initial variance of the logarithm of response times.
const INITIAL_VARIANCE: f64 = 0.5;

/// Distribution of the response times of a service, as a log-normal one.
#[derive(Clone, Copy, Debug)]
pub struct ResponseTimes {
    /// Mean of the logarithm of the time in seconds.
    mean: f64,
    variance: f64,
}

impl ResponseTimes {
    /// Creates a distribution with an expected response time.
    pub fn new(expected: Duration) -> Self {
        let mean = expected.as_secs_f64().max(0.001).ln() - INITIAL_VARIANCE / 2.0;
        Self { mean, variance: INITIAL_VARIANCE }
    }

    /// Adds the time of a response of an upstream that had a free slot.
    pub fn observe(&mut self, time: Duration) {
        let offset = time.as_secs_f64().max(0.001).ln() - self.mean;
        self.mean += RESPONSE_WEIGHT * offset;
        self.variance += RESPONSE_WEIGHT * (offset * offset - self.variance);
    }

    /// Returns the probability that a healthy upstream has not responded after `age`.
    pub fn survival(&self, age: Duration) -> f64 {
        let deviation = self.variance.sqrt().max(0.1);
        let normalized = (age.as_secs_f64().max(0.001).ln() - self.mean) / deviation;
        (1.0 / (1.0 + (LOGISTIC_SLOPE * normalized).exp())).max(MIN_SURVIVAL)
    }
}

#[derive(Clone, Debug)]
struct Waiting {
    instance: InstanceId,
    started_at: Instant,
    /// True if the attempt was reported as overdue, so that it counts as an observation already.
    is_reported: bool,
}

/// Attempts that wait for a response, by upstream and in the order of their start.
#[derive(Debug, Default)]
pub struct AttemptsInProgress {
    waiting: RapidHashMap<UpstreamId, Vec<Waiting>>,
}

impl AttemptsInProgress {
    /// Records the start of an attempt.
    pub fn on_start(&mut self, now: Instant, instance: &InstanceId, upstream: &UpstreamId) {
        let waiting = self.waiting.entry(upstream.clone()).or_default();
        waiting.push(Waiting { instance: instance.clone(), started_at: now, is_reported: false });
    }

    /// Records the response to an attempt, or its end. Which one it is of several of an instance is
    /// not known; taking the oldest one underestimates the age of the others.
    pub fn on_end(&mut self, instance: &str, upstream: &str) {
        let Some(waiting) = self.waiting.get_mut(upstream) else { return };
        if let Some(position) = waiting.iter().position(|attempt| &*attempt.instance == instance) {
            waiting.remove(position);
        }
        if waiting.is_empty() {
            self.waiting.remove(upstream);
        }
    }

    /// Records that an attempt was reported as overdue.
    pub fn on_overdue(&mut self, instance: &str, upstream: &str) {
        let waiting = self.waiting.get_mut(upstream).into_iter().flatten();
        let mut of_instance = waiting.filter(|attempt| &*attempt.instance == instance);
        if let Some(attempt) = of_instance.find(|attempt| !attempt.is_reported) {
            attempt.is_reported = true;
        }
    }

    /// Limits the attempts of an instance at an upstream to the number that it states. The ends of
    /// the others were not heard.
    pub fn limit(&mut self, instance: &str, upstream: &str, count: u16) {
        let Some(waiting) = self.waiting.get(upstream) else { return };
        let of_instance = waiting.iter().filter(|attempt| &*attempt.instance == instance).count();
        for _ in usize::from(count)..of_instance {
            self.on_end(instance, upstream);
        }
    }

    /// Removes the attempts of an instance.
    pub fn remove_instance(&mut self, instance: &str) {
        self.retain(|attempt| &*attempt.instance != instance);
    }

    /// Removes the attempts at an upstream.
    pub fn remove_upstream(&mut self, upstream: &str) {
        self.waiting.remove(upstream);
    }

    /// Removes attempts whose end was not heard for a long time.
    pub fn expire(&mut self, now: Instant) {
        self.retain(|attempt| now.saturating_duration_since(attempt.started_at) < MAX_AGE);
    }

    fn retain(&mut self, keep: impl Fn(&Waiting) -> bool) {
        self.waiting.retain(|_, waiting| {
            waiting.retain(&keep);
            !waiting.is_empty()
        });
    }

    /// Returns the probability that an upstream is faulty, given the probability `prior` from
    /// observations and the age of the attempts in progress.
    ///
    /// Requests that wait for a slot take longer. Their age counts in proportion to the share of the
    /// requests in flight that have a slot, and only as many attempts count as there are slots.
    pub fn weigh_age(
        &self,
        now: Instant,
        upstream: &str,
        slots: u32,
        times: ResponseTimes,
        prior: f64,
    ) -> f64 {
        let Some(waiting) = self.waiting.get(upstream) else { return prior };
        let slots = slots.max(1) as usize;
        let share = slots as f64 / waiting.len().max(slots) as f64;
        let unreported = waiting.iter().filter(|attempt| !attempt.is_reported).take(slots);
        let factor = unreported.fold(1.0, |factor, attempt| {
            let age = now.saturating_duration_since(attempt.started_at);
            // Skips the multiplication in the usual case that no attempt waits for a slot.
            let age = if share < 1.0 { age.mul_f64(share) } else { age };
            factor * (HANG_SHARE / times.survival(age) + 1.0 - HANG_SHARE)
        });
        // An attempt that has just started says nothing, and is no sign of health either.
        let factor = factor.clamp(1.0, MAX_ODDS_FACTOR);
        let odds = prior / (1.0 - prior) * factor;
        odds / (1.0 + odds)
    }
}
