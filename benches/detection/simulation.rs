//! Simulates requests, their outcomes and the exchange of evidence in virtual time.

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::profile::{DOMAINS, INSTANCES, ServiceProfile, USUAL_SECONDS};

/// Length of a step of virtual time. An exchange interval has ten steps, and in each of them a
/// tenth of the instances exchange.
pub(crate) const STEP: Duration = Duration::from_millis(50);
pub(crate) const STEPS_PER_EXCHANGE: u64 = 10;
/// Standard deviation of the logarithm of the response time.
const LATENCY_SIGMA: f64 = 0.4;

/// Failure probability and response time of an upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResponseModel {
    /// Probability that a request fails.
    pub(crate) failure: f64,
    /// Factor on the usual response time.
    pub(crate) slowness: f64,
}

/// Actual behaviour of the upstreams, by seconds since the start, instance and upstream.
pub(crate) type GroundTruth = Box<dyn Fn(f64, usize, usize) -> ResponseModel + Send + Sync>;

/// Network between instances and collectors.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Link {
    /// Probability that a message is lost.
    pub(crate) loss: f64,
    /// Share of pairs of instance and collector that are partitioned in one direction. The pairs
    /// change each minute.
    pub(crate) partitioned: f64,
    /// Number of steps by which the reports of every third instance are delayed.
    pub(crate) late_steps: u64,
}

/// Conditions of a simulated run.
pub(crate) struct Scenario {
    pub(crate) truth: GroundTruth,
    pub(crate) link: Link,
    /// Factor on the request rate of the service.
    pub(crate) load: f64,
    /// Factor on the share of requests that an upstream gets.
    pub(crate) preference: fn(usize) -> f64,
    /// Number of restarts of an upstream up to a time in seconds, and the time of the latest one.
    pub(crate) restarts: fn(f64, usize) -> (u64, Option<f64>),
    /// Seconds until an instance learns of a restart.
    pub(crate) list_lag: fn(usize) -> f64,
    /// Simulated time in seconds.
    pub(crate) seconds: f64,
    /// Number of steps between two evaluations of a collector.
    pub(crate) steps_per_tick: u64,
    pub(crate) collectors: usize,
    /// Failure domain of the instances whose requests are counted, if not all are.
    pub(crate) counted_domain: Option<usize>,
}

impl Scenario {
    pub(crate) fn new(seconds: f64, truth: GroundTruth) -> Self {
        Self {
            truth,
            link: Link::default(),
            load: 1.0,
            preference: |_| 1.0,
            restarts: |_, _| (0, None),
            list_lag: |_| 0.0,
            seconds,
            steps_per_tick: 5,
            collectors: 3,
            counted_domain: None,
        }
    }
}

/// Weight and health of an upstream as an instance sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct UpstreamStatus {
    pub(crate) weight: f64,
    pub(crate) is_faulty: bool,
}

/// The outcome of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CompletedRequest {
    pub(crate) instance: usize,
    pub(crate) upstream: usize,
    pub(crate) failed: bool,
    pub(crate) latency: Duration,
}

/// A version of outlier detection for a whole fleet.
pub(crate) trait Detector {
    /// Records the outcome of a request.
    fn record(&mut self, now: Instant, request: CompletedRequest);
    /// Runs the periodic work that does not belong to the exchange of an instance.
    fn step(&mut self, now: Instant, step: u64);
    /// Runs the exchange of one instance and updates its statuses of the upstreams.
    fn exchange(&mut self, now: Instant, instance: usize, statuses: &mut Vec<UpstreamStatus>);
}

/// Results of one version in a run.
#[derive(Clone, Debug)]
pub(crate) struct RunStats {
    /// Number of requests by upstream since the onset of the fault.
    pub(crate) requests: Vec<u64>,
    /// Times in seconds at which each instance first considered each upstream faulty.
    pub(crate) first_verdict: Vec<Vec<Option<f64>>>,
    /// Number of transitions from healthy to faulty on any instance, by upstream.
    pub(crate) ejections: Vec<u64>,
    /// Number of requests by upstream until the first instance considered it faulty.
    pub(crate) requests_until_verdict: Vec<Option<u64>>,
}

impl RunStats {
    fn new(upstreams: usize) -> Self {
        Self {
            requests: vec![0; upstreams],
            first_verdict: vec![vec![None; upstreams]; INSTANCES],
            ejections: vec![0; upstreams],
            requests_until_verdict: vec![None; upstreams],
        }
    }
}

/// State of one detector version during a run.
struct VersionRun<'a> {
    detector: &'a mut dyn Detector,
    /// Statuses of the upstreams, by instance.
    statuses: Vec<Vec<UpstreamStatus>>,
    /// Cumulative weights of the upstreams, by instance.
    cumulative: Vec<Vec<f64>>,
    stats: RunStats,
}

impl<'a> VersionRun<'a> {
    fn new(profile: &ServiceProfile, scenario: &Scenario, detector: &'a mut dyn Detector) -> Self {
        let statuses = vec![UpstreamStatus { weight: 1.0, is_faulty: false }; profile.upstreams];
        let cumulative = accumulate(&statuses, scenario);
        Self {
            detector,
            statuses: vec![statuses; INSTANCES],
            cumulative: vec![cumulative; INSTANCES],
            stats: RunStats::new(profile.upstreams),
        }
    }

    fn request(&mut self, now: Instant, at: f64, scenario: &Scenario, draw: &Draw) {
        let cumulative = &self.cumulative[draw.instance];
        let total = cumulative.last().copied().unwrap_or(0.0);
        let point = draw.pick * total;
        let upstream = cumulative.partition_point(|sum| *sum <= point).min(cumulative.len() - 1);
        let response = (scenario.truth)(at, draw.instance, upstream);
        let is_counted = scenario.counted_domain.is_none_or(|d| draw.instance % DOMAINS == d);
        self.stats.requests[upstream] += u64::from(is_counted);
        let seconds = USUAL_SECONDS * (LATENCY_SIGMA * draw.normal).exp() * response.slowness;
        let failed = draw.failure < response.failure;
        let latency = Duration::from_secs_f64(seconds);
        self.detector
            .record(now, CompletedRequest { instance: draw.instance, upstream, failed, latency });
    }

    fn exchange(&mut self, now: Instant, at: f64, scenario: &Scenario, instance: usize) {
        let before = self.statuses[instance].clone();
        self.detector.exchange(now, instance, &mut self.statuses[instance]);
        if before == self.statuses[instance] {
            return;
        }
        self.cumulative[instance] = accumulate(&self.statuses[instance], scenario);
        for (upstream, (old, new)) in before.iter().zip(&self.statuses[instance]).enumerate() {
            if new.is_faulty && !old.is_faulty {
                self.stats.ejections[upstream] += 1;
                self.stats.first_verdict[instance][upstream].get_or_insert(at);
                let requests = self.stats.requests[upstream];
                self.stats.requests_until_verdict[upstream].get_or_insert(requests);
            }
        }
    }
}

/// Returns the cumulative weights of the upstreams.
fn accumulate(statuses: &[UpstreamStatus], scenario: &Scenario) -> Vec<f64> {
    let mut sum = 0.0;
    let weights = statuses.iter().enumerate().map(|(upstream, status)| {
        sum += status.weight * (scenario.preference)(upstream);
        sum
    });
    weights.collect()
}

/// Random numbers of one request, which all versions share.
struct Draw {
    instance: usize,
    pick: f64,
    failure: f64,
    normal: f64,
}

impl Draw {
    fn new(rng: &mut SmallRng) -> Self {
        let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
        Self {
            instance: rng.random_range(0..INSTANCES),
            pick: rng.random(),
            failure: rng.random(),
            normal: radius * (std::f64::consts::TAU * rng.random::<f64>()).cos(),
        }
    }
}

/// Runs both versions on the same requests. Requests are counted from `onset` seconds on.
pub(crate) fn simulate(
    profile: &ServiceProfile,
    scenario: &Scenario,
    (start, onset, seed): (Instant, f64, u64),
    detectors: [&mut dyn Detector; 2],
) -> [RunStats; 2] {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut versions = detectors.map(|detector| VersionRun::new(profile, scenario, detector));
    let mean_gap = 1.0 / (profile.rate * profile.upstreams as f64 * scenario.load);
    let mut next = 0.0;
    let steps = (scenario.seconds / STEP.as_secs_f64()) as u64;
    let onset_step = (onset / STEP.as_secs_f64()) as u64;
    for step in 0..steps {
        let (now, at) = (start + STEP * step as u32, STEP.as_secs_f64() * step as f64);
        if step == onset_step {
            versions.iter_mut().for_each(|version| version.stats.requests.fill(0));
        }
        while next < at {
            let draw = Draw::new(&mut rng);
            for version in &mut versions {
                version.request(now, next, scenario, &draw);
            }
            next -= mean_gap * (1.0 - rng.random::<f64>()).ln();
        }
        for version in &mut versions {
            let due = (0..INSTANCES)
                .filter(|i| *i as u64 % STEPS_PER_EXCHANGE == step % STEPS_PER_EXCHANGE);
            for instance in due {
                version.exchange(now, at, scenario, instance);
            }
            version.detector.step(now, step);
        }
    }
    versions.map(|version| version.stats)
}
