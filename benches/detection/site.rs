//! The users' services, and running a section for each of them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use cactustrack_types::{DetectionPolicy, Millis, Service};

/// Instances of the fleet.
pub(crate) const INSTANCES: usize = 40;
/// Failure domains of the instances.
pub(crate) const DOMAINS: usize = 3;
/// Usual time of an answer.
pub(crate) const USUAL_SECONDS: f64 = 0.05;
/// Share of requests that fail on a healthy upstream.
pub(crate) const USUAL_FAILURES: f64 = 0.003;

/// A service with its size and load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Site {
    pub(crate) name: &'static str,
    pub(crate) upstreams: usize,
    pub(crate) slots: u32,
    pub(crate) floor_slots: u32,
    /// Requests per second and upstream.
    pub(crate) rate: f64,
    pub(crate) mean_samples: f64,
}

/// Mean samples between false alarms for Antallagi, which gives false ejections more weight.
const CAREFUL: f64 = 1e9;
/// Mean samples between false alarms for Sinar, which gives detection time more weight.
const FAST: f64 = 1e7;

const fn site(
    name: &'static str,
    upstreams: usize,
    slots: u32,
    floor_slots: u32,
    rate: f64,
    mean_samples: f64,
) -> Site {
    Site { name, upstreams, slots, floor_slots, rate, mean_samples }
}

/// All services. The floors leave room for a fifth to a quarter of the upstreams to be ejected.
pub(crate) const SITES: [Site; 6] = [
    site("antallagi/katalogos", 15, 4, 46, 10.0, CAREFUL),
    site("antallagi/symfonia", 20, 4, 60, 0.5, CAREFUL),
    site("antallagi/archeio", 5, 4, 16, 2.0, CAREFUL),
    site("sinar/katalog", 5, 3, 12, 10.0, FAST),
    site("sinar/pulih", 15, 3, 34, 0.7, FAST),
    site("sinar/muat", 5, 3, 12, 1.0, FAST),
];

impl Site {
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

/// Threads that share the runs.
const THREADS: usize = 8;

/// Runs the items of a section for all services on a few threads, and prints their lines in the
/// order of services and items.
pub(crate) fn run_each<T: Sync>(items: &[T], run: fn(&Site, &T) -> Vec<String>) {
    let jobs: Vec<(&Site, &T)> =
        SITES.iter().flat_map(|site| items.iter().map(move |item| (site, item))).collect();
    let next = AtomicUsize::new(0);
    let work = || {
        let take = || {
            let number = next.fetch_add(1, Ordering::Relaxed);
            jobs.get(number).map(|(site, item)| (number, run(site, item)))
        };
        std::iter::from_fn(take).collect::<Vec<_>>()
    };
    let mut results: Vec<(usize, Vec<String>)> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(work)).collect();
        threads.into_iter().flat_map(|thread| thread.join().unwrap_or_default()).collect()
    });
    assert_eq!(results.len(), jobs.len(), "every run completes");
    results.sort_by_key(|(number, _)| *number);
    for line in results.iter().flat_map(|(_, lines)| lines) {
        println!("{line}");
    }
}

/// Formats a figure with its target.
pub(crate) fn with_target(line: &str, target: &str, met: bool) -> String {
    format!("{line} (target {target}: {})", if met { "met" } else { "missed" })
}
