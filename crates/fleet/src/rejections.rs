//! How often the upstreams of a service reject requests although they seem to have a free slot.
//!
//! A single upstream that does so is probably faulty. If all upstreams of the service do so, the
//! cause is common to them, for example work that they do for others, and a rejection is no
//! evidence about the upstream that sent it. The probability that a healthy upstream rejects is
//! therefore estimated from the recent attempts of the whole fleet at the *other* upstreams of the
//! service. An attempt counts by the probability that its upstream was healthy, so that a few faulty
//! upstreams do not hide each other.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use cactustrack_types::{ServiceId, UpstreamId};

/// Time constants of the exponential decays by which older attempts lose weight. The larger of the
/// two estimates counts. The short one rises before the same upstream has rejected several requests
/// in a row. The long one is for services with few attempts, and stays high until all instances have
/// the notices about the end of a common cause; nine tenths of its weight are of the last 1.2 s.
const DECAY_TIMES: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(500)];

/// Number of attempts without rejection that are added to those at the other upstreams. Otherwise a
/// single rejection among few attempts there would void the evidence against an upstream.
const PRIOR_ATTEMPTS: f64 = 3.0;

/// Time without attempts after which the counts of an upstream are dropped. The remaining weight is
/// below one in a million.
const EXPIRY: Duration = Duration::from_secs(8);

/// Exponentially decaying count of attempts.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    attempts: f64,
    rejections: f64,
}

/// Counts of the same attempts with each of [`DECAY_TIMES`].
#[derive(Clone, Copy, Debug)]
struct Counts {
    by_decay: [Count; DECAY_TIMES.len()],
    updated_at: Instant,
}

impl Counts {
    fn new(now: Instant) -> Self {
        Self { by_decay: Default::default(), updated_at: now }
    }

    fn at(mut self, now: Instant) -> Self {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        for (count, decay_time) in self.by_decay.iter_mut().zip(DECAY_TIMES) {
            let factor = (-elapsed / decay_time.as_secs_f64()).exp();
            count.attempts *= factor;
            count.rejections *= factor;
        }
        self.updated_at = now.max(self.updated_at);
        self
    }

    fn add(&mut self, now: Instant, weight: f64, is_rejection: bool) {
        *self = self.at(now);
        for count in &mut self.by_decay {
            count.attempts += weight;
            count.rejections += if is_rejection { weight } else { 0.0 };
        }
    }
}

/// Recent attempts of the whole fleet by service and by upstream.
#[derive(Debug, Default)]
pub struct Rejections {
    services: HashMap<ServiceId, Counts>,
    upstreams: HashMap<UpstreamId, Counts>,
}

impl Rejections {
    /// Records the end of an attempt at an upstream that seemed to have a free slot.
    /// `fault_probability` is that of the upstream before the attempt ended.
    pub fn record(
        &mut self,
        now: Instant,
        service: &ServiceId,
        upstream: &UpstreamId,
        is_rejection: bool,
        fault_probability: f64,
    ) {
        let weight = 1.0 - fault_probability;
        for counts in [
            self.services.entry(service.clone()).or_insert_with(|| Counts::new(now)),
            self.upstreams.entry(upstream.clone()).or_insert_with(|| Counts::new(now)),
        ] {
            counts.add(now, weight, is_rejection);
        }
    }

    /// Returns the probability that a healthy upstream of a service rejects a request although it
    /// seems to have a free slot, estimated from the upstreams other than `upstream`.
    pub fn share_elsewhere(&self, now: Instant, service: &str, upstream: &str) -> f64 {
        let Some(of_service) = self.services.get(service).map(|counts| counts.at(now)) else {
            return 0.0;
        };
        let own = self.upstreams.get(upstream).copied().unwrap_or_else(|| Counts::new(now)).at(now);
        let share = |(all, own): (Count, Count)| {
            let attempts = (all.attempts - own.attempts).max(0.0);
            let rejections = (all.rejections - own.rejections).clamp(0.0, attempts);
            rejections / (attempts + PRIOR_ATTEMPTS)
        };
        of_service.by_decay.into_iter().zip(own.by_decay).map(share).fold(0.0, f64::max)
    }

    /// Removes the counts of upstreams and services without recent attempts.
    pub fn expire(&mut self, now: Instant) {
        let is_recent = |counts: &Counts| now.saturating_duration_since(counts.updated_at) < EXPIRY;
        self.services.retain(|_, counts| is_recent(counts));
        self.upstreams.retain(|_, counts| is_recent(counts));
    }
}
