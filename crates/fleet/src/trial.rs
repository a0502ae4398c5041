//! When an upstream that gets no requests is tried again.
//!
//! An upstream is left alone while it is suspected, so only a request that is sent all the same
//! shows that its fault has ended. If it has not ended, that request is lost unless it can be sent
//! again. Two load patterns are answered. A calm service with spare room has no need of the
//! upstream, so it waits until the fault has probably ended. A service whose other upstreams are
//! nearly full tries again soon. So does one that loses many requests, but only until most of its
//! upstreams are in use: what it tries fails often, and must not be the reason to try more.
//!
//! All instances find an upstream due at the same moment, and hear of a request that another one
//! sent only some tens of milliseconds later. Each request therefore takes part in a trial with a
//! probability that leaves about one trial for each interval in the whole fleet.

use std::time::Duration;

/// Time without requests after which an upstream of a service that loses many requests is tried.
const SHORT_REST: Duration = Duration::from_millis(900);

/// Time without requests after which a request that can be sent again tries an upstream, and any
/// request does if the service is short of room.
const USUAL_REST: Duration = Duration::from_secs(3);

/// Time without requests after which a request that cannot be sent again tries an upstream. Few
/// faults last longer.
const LONG_REST: Duration = Duration::from_secs(10);

/// Share of attempts that fail from which a service needs all its upstreams. Callers may lose a
/// tenth of their requests before healthy upstreams have to be in use whatever is suspected.
const PRESSED_FAILURES: f64 = 0.08;

/// Share of the upstreams that a service in need has in use.
const PRESSED_USED_SHARE: f64 = 0.78;

/// Time since its last request for which an upstream counts as in use.
pub const IN_USE: Duration = Duration::from_millis(1_300);

/// Share of the slots of trusted upstreams in use from which a service is short of room.
const SHORT_OF_ROOM: f64 = 0.6;

/// Mean interval of trials of an upstream that is due. It is several times what a notice takes to
/// reach all instances.
const TRIAL_INTERVAL: Duration = Duration::from_millis(300);

/// Gain of a trial, as a share of the worth of the request. It makes up for a fault of middling
/// probability.
const GAIN: f64 = 0.3;

/// Gain of a trial in a service that needs all its upstreams. It makes up for a certain fault.
const PRESSED_GAIN: f64 = 1.2;

/// State of a service, as the fleet sees it.
#[derive(Clone, Copy, Debug)]
pub struct Need {
    /// Share of the recent attempts that failed.
    pub failures: f64,
    /// Share of the slots of trusted upstreams that are in use.
    pub trusted_load: f64,
    /// Share of its upstreams that are in use, see [`IN_USE`].
    pub used_share: f64,
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

impl Need {
    /// How a request tries an upstream that is unused. `draw` is uniform from 0 to 1, another one
    /// for each upstream. Returns `None` if it is left to other requests.
    pub fn trial(&self, is_last_attempt: bool, draw: f64) -> Option<Trial> {
        if draw * self.request_rate * TRIAL_INTERVAL.as_secs_f64() > 1.0 {
            return None;
        }
        if self.failures >= PRESSED_FAILURES && self.used_share < PRESSED_USED_SHARE {
            return Some(Trial { rest: SHORT_REST, gain: PRESSED_GAIN });
        }
        let is_usual = !is_last_attempt || self.trusted_load >= SHORT_OF_ROOM;
        let rest = if is_usual { USUAL_REST } else { LONG_REST };
        Some(Trial { rest, gain: GAIN })
    }
}

impl Trial {
    /// Gain of sending the request to an upstream. It grows over the last part of the rest, so that
    /// upstreams whose rest ends together are not tried together. One that never got a request is
    /// due at once.
    pub fn gain(&self, unused: Option<Duration>) -> f64 {
        let Some(unused) = unused else { return self.gain };
        let grace = self.rest.mul_f64(2.0 / 3.0);
        let share = unused.saturating_sub(grace).as_secs_f64() / (self.rest - grace).as_secs_f64();
        self.gain * share.min(1.0)
    }
}
