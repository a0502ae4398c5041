//! Retry budget of the whole fleet.

use std::time::{Duration, Instant};

use cactustrack_fleet::attempt_totals::AttemptTotals;
use cactustrack_fleet::budget::{BudgetLimits, FleetCoverage, RetryBudget};

const LIMITS: BudgetLimits =
    BudgetLimits { ratio: 0.2, window: Duration::from_secs(10), slack: 56.0 };
const INSTANCES: usize = 32;

/// Time between two requests of the fleet.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// A fleet during a total failure, in which every request needs an extra attempt. It may be cut into
/// groups, of which none receives the notices of the others.
struct Fleet {
    groups: &'static [usize],
    budgets: Vec<RetryBudget>,
    started: Instant,
    requests: Vec<Instant>,
    extras: Vec<Instant>,
}

impl Fleet {
    /// Creates a fleet with the given sizes of its groups. It has run for a whole window.
    fn new(now: Instant, groups: &'static [usize]) -> Self {
        let started = now - LIMITS.window;
        let (requests, extras) = (Vec::new(), Vec::new());
        Self { groups, budgets: new_budgets(), started, requests, extras }
    }

    /// Kills and restarts all instances.
    fn restart(&mut self, now: Instant) {
        self.budgets = new_budgets();
        self.started = now;
    }

    fn request(&mut self, now: Instant, own: usize) {
        self.record(now, own, false);
        self.requests.push(now);
        let heard_share = self.group(own).len() as f64 / INSTANCES as f64;
        let coverage = FleetCoverage { heard_share, uptime: now - self.started };
        if self.budgets[own].usage(now, LIMITS, coverage).allows_another() {
            self.record(now, own, true);
            self.extras.push(now);
        }
    }

    /// Counts an attempt at the instances that learn of it.
    fn record(&mut self, now: Instant, own: usize, extra: bool) {
        let mut attempt = AttemptTotals::default();
        attempt.add(extra);
        for other in self.group(own) {
            match other == own {
                true => self.budgets[other].record_own(now, extra),
                false => self.budgets[other].record_fleet(now, attempt),
            }
        }
    }

    /// Returns the instances of the group of an instance.
    fn group(&self, own: usize) -> std::ops::Range<usize> {
        let mut first = 0;
        for size in self.groups {
            if own < first + size {
                return first..first + size;
            }
            first += size;
        }
        panic!("instance {own} is in no group");
    }

    /// Checks each window that ends with an extra attempt.
    fn check(&self) {
        let groups = self.groups;
        assert!(self.extras.len() > 100, "extra attempts are allowed, groups {groups:?}");
        for end in &self.extras {
            let in_window = |at: &&Instant| **at <= *end && *end - **at <= LIMITS.window;
            let used = self.extras.iter().filter(in_window).count() as f64;
            let requests = self.requests.iter().filter(in_window).count() as f64;
            let allowed = LIMITS.ratio * requests + LIMITS.slack;
            assert!(used <= allowed, "{used} of {allowed}, groups {groups:?}");
        }
    }
}

fn new_budgets() -> Vec<RetryBudget> {
    (0..INSTANCES).map(|_| RetryBudget::default()).collect()
}

/// All instances receive each other's notices.
const CONNECTED: &[usize] = &[INSTANCES];

/// No instance receives notices.
const ISOLATED: &[usize] = &[1; INSTANCES];

/// Number of the request before which all instances are killed and restarted.
const KILLED_AT: u32 = 2_400;

/// Guards against more extra attempts in a window than the budget allows, whether or not the
/// instances receive each other's notices. The users' benchmark failed (BUDGET) when restarted
/// instances, which had lost their counts, used the whole slack again.
#[test]
fn extra_attempts_in_a_total_failure_stay_within_the_budget() {
    for groups in [CONNECTED, ISOLATED] {
        let start = Instant::now();
        let mut fleet = Fleet::new(start, groups);
        for number in 0..6_000_u32 {
            let now = start + REQUEST_INTERVAL * number;
            if number == KILLED_AT {
                fleet.restart(now);
            }
            fleet.request(now, number as usize % INSTANCES);
        }
        fleet.check();
    }
}

/// Guards against the parts of a partitioned fleet each using the slack of the whole fleet.
#[test]
fn extra_attempts_of_a_partitioned_fleet_stay_within_the_budget() {
    let cases: [&[usize]; 4] = [&[16, 16], &[17, 15], &[20, 12], &[8, 8, 8, 8]];
    for groups in cases {
        let start = Instant::now();
        let mut fleet = Fleet::new(start, groups);
        for number in 0..1_500_u32 {
            fleet.request(start + REQUEST_INTERVAL * number, number as usize % INSTANCES);
        }
        fleet.check();
    }
}
