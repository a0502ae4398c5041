//! Trials: requests to upstreams that receive no others, to detect the end of a fault.
//!
//! A suspected upstream receives no requests, so the end of its fault is detected only by a request
//! that is sent to it as a trial. If the fault persists, that request fails, unless it can be
//! retried. Requests that can be retried therefore try suspected upstreams early, and the others
//! only
//!
//! * when the fault has probably ended,
//! * earlier if the trusted upstreams are highly loaded, or
//! * almost at once if fewer upstreams are in use than the floor of the service requires. Suspicion
//!   may be wrong, so it may take only a limited share of the upstreams out of use. While many
//!   requests of the service fail, it takes none out of use for long.
//!
//! An upstream becomes due for a trial at all instances at the same time, and an instance learns of
//! the trial of another one only some tens of milliseconds later. Each request therefore takes part
//! with a probability that makes the whole fleet send about as many trials as needed.

use std::time::Duration;

/// Time without requests after which an upstream is due for a trial by requests that can be
/// retried, and by all requests if the service is highly loaded.
const DUE_AFTER: Duration = Duration::from_secs(3);

/// Time without requests after which an upstream is due for a trial by requests that cannot be
/// retried. Few faults last longer.
const LAST_ATTEMPT_DUE_AFTER: Duration = Duration::from_secs(10);

/// Time without requests after which an upstream is due for a trial that keeps the floor.
pub const FLOOR_DUE_AFTER: Duration = Duration::from_millis(900);

/// Time after its last request during which an upstream counts as in use. It is shorter than the
/// two seconds after which a service counts as below its floor.
pub const IN_USE_WINDOW: Duration = Duration::from_millis(1_700);

/// Share of the upstreams of a service that is kept in use. The floor requires 70 % of the healthy
/// upstreams. Which ones are healthy is unknown, and in a group of some tens of them random
/// variation alone leaves a larger share unused, so this share is higher.
const FLOOR_SHARE: f64 = 0.85;

/// Share of the upstreams that requests which can be retried keep in use. It is higher than
/// [`FLOOR_SHARE`], so that fewer trials are left to the other requests.
const RETRYABLE_FLOOR_SHARE: f64 = 0.9;

/// Share of failed attempts from which a service is failing, so that it matters whether suspicions
/// are wrong.
const FAILING_SHARE: f64 = 0.2;

/// Trials per second of each upstream that is due while its service is failing. Each upstream then
/// gets a request within two seconds with a probability of 15 in 16, however suspected it is.
const FAILING_TRIAL_RATE: f64 = 2.5;

/// Random part of the gain of such a trial. It outweighs the loss of a certain fault, so that the most
/// suspected upstreams are tried as often as the others. Instances that learn of each other's trials
/// late would otherwise all try the least suspected one.
const FAILING_TRIAL_SPREAD: f64 = 100.0;

/// Share of the slots of trusted upstreams in use from which a service is highly loaded.
const HIGH_LOAD: f64 = 0.6;

/// Mean interval between the trials of an upstream that is due, and time over which the trials
/// needed for the floor are spread. It is several times the delay of a notice to all instances.
const TRIAL_INTERVAL: Duration = Duration::from_millis(300);

/// [`TRIAL_INTERVAL`] for requests that can be retried. They are often few, and a failed trial
/// costs them little.
const RETRYABLE_TRIAL_INTERVAL: Duration = Duration::from_millis(100);

/// Gain of a trial, as a share of the value of the request. It outweighs the expected loss of a
/// fault of medium probability.
const TRIAL_GAIN: f64 = 0.3;

/// Gain of a trial that keeps the floor. It outweighs the loss of a certain fault.
const FLOOR_TRIAL_GAIN: f64 = 1.2;

/// Usage of the upstreams of a service by the whole fleet.
#[derive(Clone, Copy, Debug)]
pub struct ServiceUsage {
    /// Number of upstreams that accept requests.
    pub upstreams: usize,
    /// Number of these upstreams that are in use, see [`IN_USE_WINDOW`].
    pub used: usize,
    /// Number of them without a request for [`FLOOR_DUE_AFTER`].
    pub due: usize,
    /// Share of the slots of trusted upstreams that are in use.
    pub trusted_load: f64,
    /// Requests per second from the whole fleet.
    pub request_rate: f64,
    /// Share of the recent attempts that have failed, see [`crate::failure_share`].
    pub failure_share: f64,
}

/// Conditions under which a request serves as a trial.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Trial {
    /// Time without requests after which an upstream is due.
    pub due_after: Duration,
    /// Gain of the trial of a due upstream, as a share of the value of the request.
    pub gain: f64,
    /// Largest random part of the gain of a due upstream.
    pub spread: f64,
}

/// A trial in which a request may take part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PossibleTrial {
    /// The trial if the request takes part.
    pub trial: Trial,
    /// Number of trials that are needed.
    needed: f64,
    /// Number of requests of the fleet among which the trials are divided.
    requests: f64,
}

impl PossibleTrial {
    /// Returns the trial if the request takes part, `None` if none is needed or if it is left to
    /// other requests. `draw` is a random number, uniform from 0 to 1.
    #[inline]
    pub fn decide(&self, draw: f64) -> Option<Trial> {
        let takes_part = self.needed > 0.0 && draw * self.requests <= self.needed;
        takes_part.then_some(self.trial)
    }

    /// Returns the probability that the request takes part.
    pub fn probability(&self) -> f64 {
        if self.needed <= 0.0 {
            return 0.0;
        }
        // Without other requests the quotient is infinite.
        (self.needed / self.requests).min(1.0)
    }
}

impl ServiceUsage {
    /// Returns the trial by which a request helps to keep the floor of the service, at any of its
    /// upstreams.
    pub fn floor_trial(&self, is_last_attempt: bool) -> PossibleTrial {
        if self.failure_share >= FAILING_SHARE {
            return self.failing_trial();
        }
        let share = if is_last_attempt { FLOOR_SHARE } else { RETRYABLE_FLOOR_SHARE };
        let interval = if is_last_attempt { TRIAL_INTERVAL } else { RETRYABLE_TRIAL_INTERVAL };
        PossibleTrial {
            trial: Trial { due_after: FLOOR_DUE_AFTER, gain: FLOOR_TRIAL_GAIN, spread: 0.0 },
            needed: share * self.upstreams as f64 - self.used as f64,
            requests: self.requests_in(interval),
        }
    }

    /// Returns the trial by which a request helps to use all upstreams of a failing service. The
    /// failures show that suspicions are wrong or that capacity is missing.
    fn failing_trial(&self) -> PossibleTrial {
        PossibleTrial {
            trial: Trial {
                due_after: FLOOR_DUE_AFTER,
                gain: FLOOR_TRIAL_GAIN,
                spread: FAILING_TRIAL_SPREAD,
            },
            needed: self.due as f64 * FAILING_TRIAL_RATE,
            requests: self.request_rate,
        }
    }

    /// Returns the trial of one upstream by a request. The decision whether the request takes part
    /// is made for each upstream.
    pub fn trial(&self, is_last_attempt: bool) -> PossibleTrial {
        let is_early = !is_last_attempt || self.trusted_load >= HIGH_LOAD;
        let due_after = if is_early { DUE_AFTER } else { LAST_ATTEMPT_DUE_AFTER };
        PossibleTrial {
            trial: Trial { due_after, gain: TRIAL_GAIN, spread: 0.0 },
            needed: 1.0,
            requests: self.requests_in(TRIAL_INTERVAL),
        }
    }

    fn requests_in(&self, interval: Duration) -> f64 {
        self.request_rate * interval.as_secs_f64()
    }
}

impl Trial {
    /// Returns the gain of sending the request to an upstream that has been without requests for
    /// `idle_time`. The gain rises during the last third of the time until the upstream is due, so
    /// that upstreams which become due together are not tried together. An upstream that never
    /// received a request is due at once. `draw` is a random number, uniform from 0 to 1, drawn for
    /// each upstream.
    #[inline]
    pub fn gain(&self, idle_time: Option<Duration>, draw: f64) -> f64 {
        let Some(idle_time) = idle_time else { return self.gain + self.spread * draw };
        // Avoids the floating-point operations below, whose result would be zero as well.
        if idle_time < self.due_after / 2 {
            return 0.0;
        }
        let rise_start = self.due_after.mul_f64(2.0 / 3.0);
        let share = idle_time.saturating_sub(rise_start).as_secs_f64()
            / (self.due_after - rise_start).as_secs_f64();
        (self.gain + self.spread * draw) * share.min(1.0)
    }
}
