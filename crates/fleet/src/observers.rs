//! Which instances are believed when they report failures.
//!
//! An instance whose own link is bad sees every upstream fail. Its reports must not make the whole
//! fleet avoid sound upstreams.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use cactustrack_types::{InstanceId, UpstreamId};

use crate::message::Observation;

/// Time over which the reports of an instance are weighed.
const WINDOW: Duration = Duration::from_secs(4);

/// Upstreams that an instance must see fail before its link is doubted.
const DOUBTED_UPSTREAMS: usize = 3;

/// Share of failures among the reports from which the link is doubted.
const DOUBTED_SHARE: f64 = 0.5;

/// Weight of a report from an instance whose link is doubted.
const DOUBTED_WEIGHT: f64 = 0.1;

/// Most reports that are kept for an instance.
const MAX_REPORTS: usize = 64;

struct Report {
    at: Instant,
    upstream: UpstreamId,
    failed: bool,
}

/// Recent reports by instance.
#[derive(Default)]
pub struct Observers {
    reports: HashMap<InstanceId, VecDeque<Report>>,
}

impl Observers {
    /// Takes a report and returns its weight from 0 to 1.
    pub fn weigh(
        &mut self,
        now: Instant,
        observer: &InstanceId,
        upstream: &UpstreamId,
        observed: Observation,
    ) -> f64 {
        let reports = self.reports.entry(observer.clone()).or_default();
        while reports.front().is_some_and(|report| now - report.at > WINDOW) {
            reports.pop_front();
        }
        if reports.len() >= MAX_REPORTS {
            reports.pop_front();
        }
        let failed = observed.is_failure();
        reports.push_back(Report { at: now, upstream: upstream.clone(), failed });
        if failed && is_doubted(reports) { DOUBTED_WEIGHT } else { 1.0 }
    }

    /// Returns true if the failures that an instance sees are more likely its own.
    pub fn is_doubted(&self, observer: &str) -> bool {
        self.reports.get(observer).is_some_and(is_doubted)
    }

    /// Drops instances without recent reports.
    pub fn expire(&mut self, now: Instant) {
        let is_recent = |report: &Report| now.saturating_duration_since(report.at) <= WINDOW;
        self.reports.retain(|_, reports| reports.back().is_some_and(is_recent));
    }
}

fn is_doubted(reports: &VecDeque<Report>) -> bool {
    let failures: Vec<_> = reports.iter().filter(|report| report.failed).collect();
    let mut upstreams: Vec<_> = failures.iter().map(|report| &report.upstream).collect();
    upstreams.sort();
    upstreams.dedup();
    let share = failures.len() as f64 / reports.len().max(1) as f64;
    upstreams.len() >= DOUBTED_UPSTREAMS && share >= DOUBTED_SHARE
}
