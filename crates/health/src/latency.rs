//! Classification of complete responses as ok or slow.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use cactustrack_types::{Outcome, UpstreamId};

/// Response times kept for each upstream. The median of eight follows a slowdown of the whole
/// service after four or five responses and changes little with a single outlier.
const SAMPLES: usize = 8;
/// Age at which a response time is discarded, so that an upstream with few requests does not keep
/// times from an earlier load.
const SAMPLE_LIFETIME: Duration = Duration::from_secs(180);
/// Other upstreams with recent responses that a comparison requires.
const MIN_OTHER_UPSTREAMS: usize = 2;

/// Latest response times of one upstream in a ring buffer, and their median in seconds.
#[derive(Debug, Default)]
struct RecentTimes {
    samples: [Option<(Instant, f64)>; SAMPLES],
    next: usize,
    median: Option<f64>,
}

impl RecentTimes {
    fn push(&mut self, now: Instant, seconds: f64) {
        self.samples[self.next] = Some((now, seconds));
        self.next = (self.next + 1) % SAMPLES;
        let fresh = self.samples.iter().flatten();
        let fresh = fresh.filter(|(at, _)| now.saturating_duration_since(*at) < SAMPLE_LIFETIME);
        self.median = median(&mut fresh.map(|(_, seconds)| *seconds).collect::<Vec<_>>());
    }

    fn is_fresh(&self, now: Instant) -> bool {
        let last = self.samples[(self.next + SAMPLES - 1) % SAMPLES];
        last.is_some_and(|(at, _)| now.saturating_duration_since(at) < SAMPLE_LIFETIME)
    }
}

/// Classifies responses by comparing their time with that of the service's other upstreams.
///
/// The reference is the median, over the other upstreams, of the median of their recent response
/// times. A minority of faulty upstreams does not affect it, and it follows a slowdown of the whole
/// service. Memory is bounded by a few response times for each upstream.
#[derive(Debug)]
pub struct LatencyClassifier {
    slow_factor: f64,
    upstreams: BTreeMap<UpstreamId, RecentTimes>,
}

impl LatencyClassifier {
    /// Creates a classifier for one service. A response is slow if it takes longer than
    /// `slow_factor` times the reference.
    pub fn new(slow_factor: f64) -> Self {
        Self { slow_factor, upstreams: BTreeMap::new() }
    }

    /// Returns [`Outcome::Ok`] or [`Outcome::Slow`] for a complete response that took `latency`,
    /// and records its time.
    pub fn classify(&mut self, now: Instant, upstream: &UpstreamId, latency: Duration) -> Outcome {
        let seconds = latency.as_secs_f64();
        let slow = self
            .reference_seconds(now, upstream)
            .is_some_and(|reference| seconds > self.slow_factor * reference);
        if let Some(recent) = self.upstreams.get_mut(upstream) {
            recent.push(now, seconds);
        } else {
            let mut recent = RecentTimes::default();
            recent.push(now, seconds);
            self.upstreams.insert(UpstreamId::clone(upstream), recent);
        }
        if slow { Outcome::Slow } else { Outcome::Ok }
    }

    /// Removes upstreams for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(&UpstreamId) -> bool) {
        self.upstreams.retain(|upstream, _| keep(upstream));
    }

    fn reference_seconds(&self, now: Instant, upstream: &UpstreamId) -> Option<f64> {
        let others = self.upstreams.iter().filter(|(id, _)| *id != upstream);
        let fresh = others.filter(|(_, recent)| recent.is_fresh(now));
        let mut medians: Vec<f64> = fresh.filter_map(|(_, recent)| recent.median).collect();
        if medians.len() < MIN_OTHER_UPSTREAMS {
            return None;
        }
        median(&mut medians)
    }
}

/// Returns the upper median of the values.
pub(crate) fn median(values: &mut [f64]) -> Option<f64> {
    if values.is_empty() {
        return None;
    }
    let middle = values.len() / 2;
    let (_, median, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}
