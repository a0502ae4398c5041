//! Retry budget: the limit on extra attempts (retries and hedges) of the whole fleet.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::attempt_totals::AttemptTotals;

/// Share of the budget that may be used. The rest covers attempts that other instances start at the
/// same time and notices that are lost.
const USABLE_SHARE: f64 = 0.8;

/// Limits of the retry budget of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimits {
    /// Allowed extra attempts as a share of the requests in the window.
    pub ratio: f64,
    /// Sliding window in which extra attempts and requests are counted.
    pub window: Duration,
    /// Extra attempts allowed in a window regardless of the number of requests.
    pub slack: f64,
}

/// Extent to which this instance has observed the attempts of the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetCoverage {
    /// Share of the instances from which this instance receives datagrams, including itself.
    pub heard_share: f64,
    /// Time since the instance started.
    pub uptime: Duration,
}

impl FleetCoverage {
    /// Returns true if the instance receives datagrams from at least half of the fleet.
    fn is_connected(self) -> bool {
        self.heard_share >= 0.5
    }
}

/// Usage of a retry budget as one instance knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BudgetUsage {
    /// Requests in the window.
    pub requests: u64,
    /// Extra attempts in the window.
    pub extras: u64,
    /// Largest number of extra attempts that the instance may bring the window to.
    pub limit: f64,
}

impl BudgetUsage {
    /// Returns true if another extra attempt stays within the limit.
    pub fn allows_another(&self) -> bool {
        (self.extras + 1) as f64 <= self.limit
    }
}

#[derive(Debug, Default)]
struct WindowCounter {
    /// Numbers of events by time.
    events: VecDeque<(Instant, u32)>,
    /// Sum of the numbers.
    total: u64,
}

impl WindowCounter {
    fn add(&mut self, now: Instant, count: u32) {
        if count > 0 {
            self.events.push_back((now, count));
            self.total += u64::from(count);
        }
    }

    fn count(&mut self, now: Instant, window: Duration) -> u64 {
        while let Some((at, count)) = self.events.front().copied() {
            if now.saturating_duration_since(at) <= window {
                break;
            }
            self.events.pop_front();
            self.total -= u64::from(count);
        }
        self.total
    }
}

/// Requests and extra attempts of one service in the current window, counted for the whole fleet
/// and for this instance alone.
#[derive(Debug, Default)]
pub struct RetryBudget {
    fleet_requests: WindowCounter,
    fleet_extras: WindowCounter,
    own_requests: WindowCounter,
    own_extras: WindowCounter,
}

impl RetryBudget {
    /// Counts an attempt of this instance.
    pub fn record_own(&mut self, now: Instant, extra: bool) {
        let mut attempt = AttemptTotals::default();
        attempt.add(extra);
        self.own_requests.add(now, attempt.first);
        self.own_extras.add(now, attempt.extra);
        self.record_fleet(now, attempt);
    }

    /// Counts attempts of another instance.
    pub fn record_fleet(&mut self, now: Instant, attempts: AttemptTotals) {
        self.fleet_requests.add(now, attempts.first);
        self.fleet_extras.add(now, attempts.extra);
    }

    /// Returns the usage and the limit of the budget.
    ///
    /// An instance that does not receive the notices of most of the fleet cannot count the attempts
    /// of the others, so it is limited to a share of its own requests. An instance that started
    /// less than one window ago cannot know the attempts before its start, so it does not use the
    /// slack. Others use the slack in proportion to the part of the fleet that they hear, so the
    /// parts of a partitioned fleet use it once together.
    pub fn usage(
        &mut self,
        now: Instant,
        limits: BudgetLimits,
        coverage: FleetCoverage,
    ) -> BudgetUsage {
        let (requests, extras) = if coverage.is_connected() {
            let requests = self.fleet_requests.count(now, limits.window);
            (requests, self.fleet_extras.count(now, limits.window))
        } else {
            let requests = self.own_requests.count(now, limits.window);
            (requests, self.own_extras.count(now, limits.window))
        };
        let knows_window = coverage.is_connected() && coverage.uptime >= limits.window;
        let slack = if knows_window { limits.slack * coverage.heard_share } else { 0.0 };
        let limit = USABLE_SHARE * (limits.ratio * requests as f64 + slack);
        BudgetUsage { requests, extras, limit }
    }
}
