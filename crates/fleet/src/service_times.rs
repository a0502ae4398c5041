//! Response times of services, of upstreams that have a free slot.

use std::time::Duration;

use cactustrack_types::ServiceId;
use rapidhash::RapidHashMap;

use crate::message::{Event, Observation};
use crate::progress::ResponseTimes;

/// Service time that is assumed before the first response.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(300);

/// Shortest response time, in milliseconds, that counts in the mean service time. Faster responses
/// need no work by the upstream, and many of them would make all others look slow.
const MIN_SERVICE_TIME_MS: u32 = 15;

/// Weight of a new response in the exponential moving average of the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.03;

/// Response times of each service.
#[derive(Default)]
pub struct ServiceTimes {
    means: RapidHashMap<ServiceId, Duration>,
    distributions: RapidHashMap<ServiceId, ResponseTimes>,
}

impl ServiceTimes {
    /// Returns the mean response time of a service.
    pub fn mean(&self, service: &str) -> Duration {
        self.means.get(service).copied().unwrap_or(INITIAL_SERVICE_TIME)
    }

    /// Returns the distribution of the response times of a service.
    pub fn distribution(&self, service: &str) -> ResponseTimes {
        let times = self.distributions.get(service).copied();
        times.unwrap_or_else(|| ResponseTimes::new(INITIAL_SERVICE_TIME))
    }

    /// Records the end of an attempt.
    pub fn on_end(&mut self, service: &ServiceId, event: Event) {
        let Event::Ended { observed: Some(Observation::Served), latency_ms, had_free_slot: true } =
            event
        else {
            return;
        };
        if latency_ms < MIN_SERVICE_TIME_MS {
            return;
        }
        let times = self.distributions.entry(service.clone());
        let times = times.or_insert_with(|| ResponseTimes::new(INITIAL_SERVICE_TIME));
        times.observe(Duration::from_millis(u64::from(latency_ms)));
        let known = self.means.entry(service.clone()).or_insert(INITIAL_SERVICE_TIME);
        let sample = f64::from(latency_ms) / 1_000.0;
        let mean = known.as_secs_f64();
        *known = Duration::from_secs_f64(mean + SERVICE_TIME_WEIGHT * (sample - mean));
    }
}
