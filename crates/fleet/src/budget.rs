//! The budget of the whole fleet for attempts beyond the first one.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Part of the budget that is used. The rest covers attempts that other instances start at the
/// same moment and datagrams that are lost.
const USED_SHARE: f64 = 0.8;

/// Limits of the budget of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimits {
    /// Extra attempts as a share of requests.
    pub ratio: f64,
    /// Window in which attempts and requests are counted.
    pub window: Duration,
    /// Extra attempts in a window that need no requests.
    pub slack: f64,
}

/// What an instance knows of the attempts of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetCoverage {
    /// True if it hears most of the fleet.
    pub is_connected: bool,
    /// Time since it started.
    pub uptime: Duration,
}

#[derive(Debug, Default)]
struct Counter {
    events: VecDeque<Instant>,
}

impl Counter {
    fn add(&mut self, now: Instant) {
        self.events.push_back(now);
    }

    fn count(&mut self, now: Instant, window: Duration) -> usize {
        while self.events.front().is_some_and(|at| now.saturating_duration_since(*at) > window) {
            self.events.pop_front();
        }
        self.events.len()
    }
}

/// Requests and extra attempts of one service in the current window, from the whole fleet and from
/// this instance.
#[derive(Debug, Default)]
pub struct RetryBudget {
    fleet_requests: Counter,
    fleet_extras: Counter,
    own_requests: Counter,
    own_extras: Counter,
}

impl RetryBudget {
    /// Counts an attempt of this instance.
    pub fn on_own(&mut self, now: Instant, extra: bool) {
        let counter = if extra { &mut self.own_extras } else { &mut self.own_requests };
        counter.add(now);
        self.on_fleet(now, extra);
    }

    /// Counts an attempt of another instance.
    pub fn on_fleet(&mut self, now: Instant, extra: bool) {
        let counter = if extra { &mut self.fleet_extras } else { &mut self.fleet_requests };
        counter.add(now);
    }

    /// Returns true if an extra attempt may be made with what this instance knows. One that does
    /// not hear most of the fleet keeps to a share of its own requests, since it cannot know what
    /// the others use. One that has not listened for a whole window cannot know what was used
    /// before it started, so it leaves the slack alone.
    pub fn allows(&mut self, now: Instant, limits: BudgetLimits, coverage: FleetCoverage) -> bool {
        let (requests, extras) = if coverage.is_connected {
            let requests = self.fleet_requests.count(now, limits.window);
            (requests, self.fleet_extras.count(now, limits.window))
        } else {
            let requests = self.own_requests.count(now, limits.window);
            (requests, self.own_extras.count(now, limits.window))
        };
        let knows_all = coverage.is_connected && coverage.uptime >= limits.window;
        let slack = if knows_all { limits.slack } else { 0.0 };
        let most = USED_SHARE * (limits.ratio * requests as f64 + slack);
        (extras + 1) as f64 <= most
    }
}
