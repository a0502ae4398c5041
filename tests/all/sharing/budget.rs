//! Retry budget of the whole fleet.

use std::time::{Duration, Instant};

use cactustrack_fleet::attempt_totals::AttemptTotals;
use cactustrack_fleet::budget::{BudgetLimits, FleetCoverage, RetryBudget};

const LIMITS: BudgetLimits =
    BudgetLimits { ratio: 0.2, window: Duration::from_secs(10), slack: 56.0 };
const INSTANCES: usize = 32;

/// Number of the request before which all instances are killed and restarted.
const KILLED_AT: u32 = 2_400;

/// Simulates a total failure in which every request needs an extra attempt, and in which all
/// instances are killed and restarted. Guards against more extra attempts in a window than the
/// budget allows, whether or not the instances receive each other's
/// notices. The users' benchmark failed
/// (BUDGET) when restarted instances, which had lost their counts, used the whole slack again.
#[test]
fn extra_attempts_in_a_total_failure_stay_within_the_budget() {
    for is_connected in [true, false] {
        let mut budgets: Vec<_> = (0..INSTANCES).map(|_| RetryBudget::default()).collect();
        let start = Instant::now();
        let mut started = start - LIMITS.window;
        let (mut extras, mut requests) = (Vec::new(), Vec::new());
        for number in 0..6_000_u32 {
            let now = start + Duration::from_millis(u64::from(number) * 20);
            let own = number as usize % INSTANCES;
            if number == KILLED_AT {
                budgets = (0..INSTANCES).map(|_| RetryBudget::default()).collect();
                started = now;
            }
            record(&mut budgets, own, now, false, is_connected);
            requests.push(now);
            let coverage = FleetCoverage { is_connected, uptime: now - started };
            if budgets[own].usage(now, LIMITS, coverage).allows_another() {
                record(&mut budgets, own, now, true, is_connected);
                extras.push(now);
            }
        }
        assert!(extras.len() > 100, "extra attempts are allowed");
        for end in &extras {
            let in_window = |at: &&Instant| **at <= *end && *end - **at <= LIMITS.window;
            let used = extras.iter().filter(in_window).count() as f64;
            let allowed = LIMITS.ratio * requests.iter().filter(in_window).count() as f64;
            assert!(
                used <= allowed + LIMITS.slack,
                "{used} of {allowed}, connected {is_connected}"
            );
        }
    }
}

fn record(budgets: &mut [RetryBudget], own: usize, now: Instant, extra: bool, is_connected: bool) {
    for (number, budget) in budgets.iter_mut().enumerate() {
        if number == own {
            budget.record_own(now, extra);
        } else if is_connected {
            let mut attempt = AttemptTotals::default();
            attempt.add(extra);
            budget.record_fleet(now, attempt);
        }
    }
}
