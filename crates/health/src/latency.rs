//! The rule that turns an ok answer into a slow one.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use cactustrack_types::{Outcome, UpstreamId};

/// Answers kept for each upstream. The median of eight follows a shared slowdown after four or
/// five answers and moves little with a single outlier.
const SAMPLES: usize = 8;
/// Age at which an answer no longer counts, so that a quiet upstream does not keep the times of
/// an earlier load.
const SAMPLE_LIFETIME: Duration = Duration::from_secs(180);
/// Other upstreams with answers that a comparison needs.
const MIN_OTHERS: usize = 2;

#[derive(Debug, Default)]
struct Recent {
    samples: [Option<(Instant, f64)>; SAMPLES],
    next: usize,
    median: Option<f64>,
}

impl Recent {
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

/// Compares the time of an answer with the usual time of the service's other upstreams.
///
/// The usual time is the median, over the other upstreams, of the median of their recent answers.
/// Faulty upstreams that are a minority do not move it, and a slowdown of the whole service moves
/// it with the answers. State is bounded by a few samples for each upstream of one service.
#[derive(Debug)]
pub struct LatencyClassifier {
    slow_factor: f64,
    upstreams: BTreeMap<UpstreamId, Recent>,
}

impl LatencyClassifier {
    /// Creates a rule for one service. An answer is slow if it takes longer than `slow_factor`
    /// times the usual time.
    pub fn new(slow_factor: f64) -> Self {
        Self { slow_factor, upstreams: BTreeMap::new() }
    }

    /// Judges a complete answer that took `latency`: [`Outcome::Ok`] or [`Outcome::Slow`].
    pub fn classify(&mut self, now: Instant, upstream: &UpstreamId, latency: Duration) -> Outcome {
        let seconds = latency.as_secs_f64();
        let slow = self
            .usual_seconds(now, upstream)
            .is_some_and(|usual| seconds > self.slow_factor * usual);
        if let Some(recent) = self.upstreams.get_mut(upstream) {
            recent.push(now, seconds);
        } else {
            let mut recent = Recent::default();
            recent.push(now, seconds);
            self.upstreams.insert(UpstreamId::clone(upstream), recent);
        }
        if slow { Outcome::Slow } else { Outcome::Ok }
    }

    /// Forgets upstreams for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(&UpstreamId) -> bool) {
        self.upstreams.retain(|upstream, _| keep(upstream));
    }

    fn usual_seconds(&self, now: Instant, upstream: &UpstreamId) -> Option<f64> {
        let others = self.upstreams.iter().filter(|(id, _)| *id != upstream);
        let fresh = others.filter(|(_, recent)| recent.is_fresh(now));
        let mut medians: Vec<f64> = fresh.filter_map(|(_, recent)| recent.median).collect();
        if medians.len() < MIN_OTHERS {
            return None;
        }
        median(&mut medians)
    }
}

/// Upper median of the values.
pub(crate) fn median(values: &mut [f64]) -> Option<f64> {
    if values.is_empty() {
        return None;
    }
    let middle = values.len() / 2;
    let (_, median, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}
