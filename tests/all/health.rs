//! Tests of cactustrack-health.

mod collector;
mod evidence;
mod planner;
mod statistic;

use std::sync::Arc;
use std::time::Duration;

use cactustrack_health::{Observer, Report, ReportEntry};
use cactustrack_types::{DetectionPolicy, Incarnation, Millis, Service};

/// Duration of one slot: the exchange interval.
const SLOT: Duration = Duration::from_millis(500);

fn policy(mean_samples: f64) -> DetectionPolicy {
    DetectionPolicy {
        mean_samples_between_false_alarms: mean_samples,
        smallest_fault_rate: 0.03,
        base_ejection: Millis(Duration::from_secs(5)),
        slow_factor: 3.0,
    }
}

fn service(floor_slots: u32) -> Service {
    Service {
        id: Arc::from("archeio"),
        slots: 4,
        connections: 400,
        floor_slots,
        ramp: Millis(Duration::from_secs(10)),
        retry_budget: 0.1,
        detection: policy(1e7),
    }
}

fn report(instance: usize, domains: usize, entries: Vec<ReportEntry>) -> Report {
    Report {
        observer: Observer {
            instance: format!("i{instance:02}").into(),
            incarnation: Incarnation(1),
            failure_domain: format!("d{}", instance % domains).into(),
        },
        service: Arc::from("archeio"),
        entries,
    }
}
