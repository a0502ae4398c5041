//! Weights of the observations that instances report.
//!
//! An instance whose own link is faulty observes failures at every upstream. Its reports must not
//! make the whole fleet avoid healthy upstreams.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use cactustrack_types::{InstanceId, UpstreamId};
use rapidhash::RapidHashMap;

use crate::message::Observation;

/// Time window of the reports by which an instance is assessed.
const WINDOW: Duration = Duration::from_secs(4);

/// Number of upstreams at which an instance must report failures before its link is suspected.
const SUSPECT_LINK_UPSTREAMS: usize = 3;

/// Share of failures among the reports of an instance from which its link is suspected.
const SUSPECT_LINK_FAILURE_SHARE: f64 = 0.5;

/// Weight of a failure reported by an instance whose link is suspected.
const SUSPECT_LINK_WEIGHT: f64 = 0.1;

/// Maximum number of reports kept for an instance.
const MAX_REPORTS: usize = 64;

struct UpstreamReport {
    at: Instant,
    upstream: UpstreamId,
    failed: bool,
}

/// Recent reports by instance.
#[derive(Default)]
pub struct Observers {
    reports: RapidHashMap<InstanceId, VecDeque<UpstreamReport>>,
}

impl Observers {
    /// Records a report and returns its weight from 0 to 1.
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
        reports.push_back(UpstreamReport { at: now, upstream: upstream.clone(), failed });
        if failed && is_link_suspected(reports) { SUSPECT_LINK_WEIGHT } else { 1.0 }
    }

    /// Returns true if the failures that an instance reports are probably caused by its own link.
    pub fn is_link_suspected(&self, observer: &str) -> bool {
        self.reports.get(observer).is_some_and(is_link_suspected)
    }

    /// Removes instances without recent reports.
    pub fn expire(&mut self, now: Instant) {
        let is_recent =
            |report: &UpstreamReport| now.saturating_duration_since(report.at) <= WINDOW;
        self.reports.retain(|_, reports| reports.back().is_some_and(is_recent));
    }
}

fn is_link_suspected(reports: &VecDeque<UpstreamReport>) -> bool {
    let failures: Vec<_> = reports.iter().filter(|report| report.failed).collect();
    let mut upstreams: Vec<_> = failures.iter().map(|report| &report.upstream).collect();
    upstreams.sort();
    upstreams.dedup();
    let share = failures.len() as f64 / reports.len().max(1) as f64;
    upstreams.len() >= SUSPECT_LINK_UPSTREAMS && share >= SUSPECT_LINK_FAILURE_SHARE
}
