//! Retry budget of the whole fleet.

use std::time::{Duration, Instant};

use cactustrack_fleet::budget::{BudgetLimits, RetryBudget, SlackShare};

const LIMITS: BudgetLimits =
    BudgetLimits { ratio: 0.2, window: Duration::from_secs(10), slack: 56.0 };
const INSTANCES: usize = 32;

/// Number of extra attempts that a request makes at most.
const MAX_EXTRAS: usize = 2;

/// Time between two requests of the fleet.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// A fleet during a total failure, in which every request needs an extra attempt. The instances do
/// not hear of each other's attempts.
struct Fleet {
    name: &'static str,
    budgets: Vec<RetryBudget>,
    started: Instant,
    requests: Vec<Instant>,
    extras: Vec<Instant>,
}

impl Fleet {
    /// Creates a fleet that has run for a whole window.
    fn new(name: &'static str, now: Instant) -> Self {
        let started = now - LIMITS.window;
        let (requests, extras) = (Vec::new(), Vec::new());
        Self { name, budgets: new_budgets(), started, requests, extras }
    }

    /// Kills and restarts all instances.
    fn restart(&mut self, now: Instant) {
        self.budgets = new_budgets();
        self.started = now;
    }

    /// Sends a request to an instance, which makes extra attempts until the budget denies one.
    fn request(&mut self, now: Instant, own: usize) {
        self.requests.push(now);
        self.budgets[own].record_request(now);
        let share = SlackShare { instances: Some(INSTANCES), uptime: now - self.started };
        for _ in 0..MAX_EXTRAS {
            if self.budgets[own].try_extra(now, LIMITS, share, false).is_allowed {
                self.extras.push(now);
            }
        }
    }

    /// Checks each window that ends with an extra attempt.
    fn check(&self) {
        let name = self.name;
        assert!(self.extras.len() > 100, "{name}: extra attempts are allowed");
        for end in &self.extras {
            let in_window = |at: &&Instant| **at <= *end && *end - **at <= LIMITS.window;
            let used = self.extras.iter().filter(in_window).count() as f64;
            let requests = self.requests.iter().filter(in_window).count() as f64;
            let allowed = LIMITS.ratio * requests + LIMITS.slack;
            assert!(used <= allowed, "{name}: {used} of {allowed}");
        }
    }
}

fn new_budgets() -> Vec<RetryBudget> {
    (0..INSTANCES).map(|_| RetryBudget::default()).collect()
}

/// Number of the request before which all instances are killed and restarted.
const KILLED_AT: u32 = 2_400;

/// Guards against more extra attempts in a window than the budget allows. The users' benchmark
/// failed (BUDGET) when restarted instances, which had lost their counts, used the whole slack
/// again.
#[test]
fn extra_attempts_in_a_total_failure_stay_within_the_budget() {
    let start = Instant::now();
    let mut fleet = Fleet::new("killed", start);
    for number in 0..6_000_u32 {
        let now = start + REQUEST_INTERVAL * number;
        if number == KILLED_AT {
            fleet.restart(now);
        }
        fleet.request(now, number as usize % INSTANCES);
    }
    fleet.check();
}

/// Guards against instances that lose their callers using the allowance of earlier requests in the
/// same window as the instances that receive those callers.
#[test]
fn extra_attempts_stay_within_the_budget_when_callers_move() {
    struct Case {
        name: &'static str,
        /// Number of requests between two moves of the callers.
        period: usize,
        /// Number of instances that serve all callers at a time.
        serving: usize,
    }
    let cases = [
        Case { name: "one half after the other", period: 560, serving: 16 },
        Case { name: "a quarter, often", period: 130, serving: 8 },
        Case { name: "one instance after the other", period: 61, serving: 1 },
        Case { name: "all but one", period: 240, serving: 31 },
    ];
    for Case { name, period, serving } in cases {
        let start = Instant::now();
        let mut fleet = Fleet::new(name, start);
        for number in 0..6_000 {
            let first = number / period * serving;
            let own = (first + number % serving) % INSTANCES;
            fleet.request(start + REQUEST_INTERVAL * number as u32, own);
        }
        fleet.check();
    }
}

/// Guards against an allowed extra attempt being counted only when it starts, so that requests which
/// fail at the same moment all take the same allowance.
#[test]
fn decisions_at_the_same_moment_are_counted() {
    let now = Instant::now();
    let mut budget = RetryBudget::default();
    for _ in 0..100 {
        budget.record_request(now);
    }
    let share = SlackShare { instances: Some(1), uptime: LIMITS.window };
    let count = |budget: &mut RetryBudget, is_hedge| {
        let allowed = |_: &i32| budget.try_extra(now, LIMITS, share, is_hedge).is_allowed;
        (0..200).filter(allowed).count()
    };
    // 0.85 of half of the ratio for each request and of the slack; hedges use half of it.
    assert_eq!(count(&mut budget, true), 28);
    assert_eq!(count(&mut budget, false), 28);
    assert_eq!(count(&mut budget, true), 0);
}
