//! When an upstream that gets no requests is tried again.
//!
//! An upstream is left alone while it is suspected, so only a request that is sent all the same
//! shows that its fault has ended. If it has not ended, that request is lost unless it can be sent
//! again. So requests that can be sent again try suspects soon, and the others only
//!
//! * when the fault has probably ended,
//! * sooner if the trusted upstreams are nearly full, or
//! * at once if fewer upstreams are in use than the floor of the service demands. Suspicion may be
//!   wrong, so it never takes more than a part of the upstreams out of use.
//!
//! All instances find an upstream due at the same moment, and hear of a request that another one
//! sent only some tens of milliseconds later. Each request therefore takes part with a probability
//! that leaves as many trials in the whole fleet as are needed.

use std::time::Duration;

/// Time without requests after which a request that can be sent again tries an upstream, and any
/// request does if the service is short of room.
const USUAL_REST: Duration = Duration::from_secs(3);

/// Time without requests after which a request that cannot be sent again tries an upstream. Few
/// faults last longer.
const LONG_REST: Duration = Duration::from_secs(10);

/// Time without requests after which an upstream is tried to keep the floor.
const FLOOR_REST: Duration = Duration::from_millis(900);

/// Time since its last request for which an upstream counts as in use. A service counts as below
/// its floor after two seconds.
pub const IN_USE_WINDOW: Duration = Duration::from_millis(1_700);

/// Share of the upstreams of a service that are kept in use. Seven tenths of the sound ones have to
/// be. Which ones are sound is not known, and among some tens of them chance alone leaves out more.
const FLOOR_SHARE: f64 = 0.85;

/// Share of the upstreams up to which requests that can be sent again are used to keep the floor,
/// so that the others need not.
const REPEATABLE_FLOOR_SHARE: f64 = 0.9;

/// Share of the slots of trusted upstreams in use from which a service is short of room.
const SHORT_OF_ROOM: f64 = 0.6;

/// Mean interval of trials of an upstream that is due, and time over which the trials that are
/// missing for the floor are spread. It is several times what a notice takes to reach all
/// instances.
const TRIAL_INTERVAL: Duration = Duration::from_millis(300);

/// The same for requests that can be sent again. They are often few, and a failed trial costs them
/// little.
const REPEATABLE_TRIAL_INTERVAL: Duration = Duration::from_millis(100);

/// Gain of a trial, as a share of the worth of the request. It makes up for a fault of middling
/// probability.
const GAIN: f64 = 0.3;

/// Gain of a trial that keeps the floor. It makes up for a certain fault.
const FLOOR_GAIN: f64 = 1.2;

/// State of a service, as the fleet sees it.
#[derive(Clone, Copy, Debug)]
pub struct ServiceUsage {
    /// Upstreams that can take requests.
    pub upstreams: usize,
    /// Those of them that are in use, see [`IN_USE_WINDOW`].
    pub used: usize,
    /// Share of the slots of trusted upstreams that are in use.
    pub trusted_load: f64,
    /// Requests of the whole fleet per second.
    pub request_rate: f64,
}

/// What a request does for upstreams that are unused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Trial {
    /// Time without requests after which the upstream is tried.
    pub rest: Duration,
    /// Gain of the trial as a share of the worth of the request.
    pub gain: f64,
}

impl ServiceUsage {
    /// How a request helps to keep the floor of the service, whichever upstream it goes to. `draw`
    /// is uniform from 0 to 1. Returns `None` if the floor holds or is left to other requests.
    pub fn floor_trial(&self, is_last_attempt: bool, draw: f64) -> Option<Trial> {
        let share = if is_last_attempt { FLOOR_SHARE } else { REPEATABLE_FLOOR_SHARE };
        let missing = share * self.upstreams as f64 - self.used as f64;
        let interval = if is_last_attempt { TRIAL_INTERVAL } else { REPEATABLE_TRIAL_INTERVAL };
        let takes_part = missing > 0.0 && draw * self.requests_in(interval) <= missing;
        takes_part.then_some(Trial { rest: FLOOR_REST, gain: FLOOR_GAIN })
    }

    /// How a request tries an upstream that is unused. `draw` is uniform from 0 to 1, another one
    /// for each upstream. Returns `None` if it is left to other requests.
    pub fn trial(&self, is_last_attempt: bool, draw: f64) -> Option<Trial> {
        let takes_part = draw * self.requests_in(TRIAL_INTERVAL) <= 1.0;
        let is_usual = !is_last_attempt || self.trusted_load >= SHORT_OF_ROOM;
        let rest = if is_usual { USUAL_REST } else { LONG_REST };
        takes_part.then_some(Trial { rest, gain: GAIN })
    }

    fn requests_in(&self, interval: Duration) -> f64 {
        self.request_rate * interval.as_secs_f64()
    }
}

impl Trial {
    /// Gain of sending the request to an upstream. It grows over the last part of the rest, so that
    /// upstreams whose rest ends together are not tried together. One that never got a request is
    /// due at once.
    pub fn gain(&self, idle_time: Option<Duration>) -> f64 {
        let Some(idle_time) = idle_time else { return self.gain };
        let grace = self.rest.mul_f64(2.0 / 3.0);
        let share =
            idle_time.saturating_sub(grace).as_secs_f64() / (self.rest - grace).as_secs_f64();
        self.gain * share.min(1.0)
    }
}
