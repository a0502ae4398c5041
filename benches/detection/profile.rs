//! Sizes and loads of the users' services, and a runner that evaluates a section for each of them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use cactustrack_types::{DetectionPolicy, Millis, Service};

/// Number of instances in the fleet.
pub(crate) const INSTANCES: usize = 40;
/// Number of failure domains of the instances.
pub(crate) const DOMAINS: usize = 3;
/// Usual response time in seconds.
pub(crate) const USUAL_SECONDS: f64 = 0.05;
/// Share of requests that fail on a healthy upstream.
pub(crate) const USUAL_FAILURES: f64 = 0.003;

/// Size, load and detection settings of a service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceProfile {
    pub(crate) name: &'static str,
    pub(crate) upstreams: usize,
    pub(crate) slots: u32,
    pub(crate) floor_slots: u32,
    /// Requests per second and upstream.
    pub(crate) rate: f64,
    /// Mean number of samples between false alarms.
    pub(crate) mean_samples: f64,
}

/// Mean number of samples between false alarms for Antallagi, for which few false ejections matter
/// more than fast detection.
const MEAN_SAMPLES_CAREFUL: f64 = 1e9;
/// Mean number of samples between false alarms for Sinar, for which fast detection matters more
/// than few false ejections.
const MEAN_SAMPLES_FAST: f64 = 1e7;

const fn profile(
    name: &'static str,
    upstreams: usize,
    slots: u32,
    floor_slots: u32,
    rate: f64,
    mean_samples: f64,
) -> ServiceProfile {
    ServiceProfile { name, upstreams, slots, floor_slots, rate, mean_samples }
}

/// All services. The floors allow a fifth to a quarter of the upstreams to be ejected.
pub(crate) const PROFILES: [ServiceProfile; 6] = [
    profile("antallagi/katalogos", 15, 4, 46, 10.0, MEAN_SAMPLES_CAREFUL),
    profile("antallagi/symfonia", 20, 4, 60, 0.5, MEAN_SAMPLES_CAREFUL),
    profile("antallagi/archeio", 5, 4, 16, 2.0, MEAN_SAMPLES_CAREFUL),
    profile("sinar/katalog", 5, 3, 12, 10.0, MEAN_SAMPLES_FAST),
    profile("sinar/pulih", 15, 3, 34, 0.7, MEAN_SAMPLES_FAST),
    profile("sinar/muat", 5, 3, 12, 1.0, MEAN_SAMPLES_FAST),
];

impl ServiceProfile {
    pub(crate) fn service(&self) -> Service {
        Service {
            id: Arc::from(self.name),
            slots: self.slots,
            connections: 400,
            floor_slots: self.floor_slots,
            ramp: Millis(Duration::from_secs(30)),
            retry_budget: 0.1,
            detection: DetectionPolicy {
                mean_samples_between_false_alarms: self.mean_samples,
                smallest_fault_rate: 0.03,
                base_ejection: Millis(Duration::from_secs(5)),
                slow_factor: 3.0,
            },
        }
    }
}

/// Number of threads that share the runs.
const THREADS: usize = 8;

/// Runs the items of a section for all services on several threads, and prints their lines in the
/// order of services and items.
pub(crate) fn run_each<T: Sync>(items: &[T], run: fn(&ServiceProfile, &T) -> Vec<String>) {
    let jobs: Vec<(&ServiceProfile, &T)> =
        PROFILES.iter().flat_map(|profile| items.iter().map(move |item| (profile, item))).collect();
    let next = AtomicUsize::new(0);
    let work = || {
        let take = || {
            let index = next.fetch_add(1, Ordering::Relaxed);
            jobs.get(index).map(|(profile, item)| (index, run(profile, item)))
        };
        std::iter::from_fn(take).collect::<Vec<_>>()
    };
    let mut results: Vec<(usize, Vec<String>)> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(work)).collect();
        threads.into_iter().flat_map(|thread| thread.join().unwrap_or_default()).collect()
    });
    assert_eq!(results.len(), jobs.len(), "every run completes");
    results.sort_by_key(|(index, _)| *index);
    for line in results.iter().flat_map(|(_, lines)| lines) {
        println!("{line}");
    }
}

/// Appends to a figure its target and whether it is met.
pub(crate) fn with_target(line: &str, target: &str, met: bool) -> String {
    format!("{line} (target {target}: {})", if met { "met" } else { "missed" })
}
