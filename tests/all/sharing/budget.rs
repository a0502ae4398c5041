//! The budget of the whole fleet for attempts beyond the first one.

use std::time::{Duration, Instant};

use cactustrack_fleet::budget::{BudgetLimits, FleetCoverage, RetryBudget};

const LIMITS: BudgetLimits =
    BudgetLimits { ratio: 0.2, window: Duration::from_secs(10), slack: 56.0 };
const INSTANCES: usize = 32;

/// Number of the request at which all instances are killed.
const KILLED_AT: u32 = 2_400;

/// Replays a total failure: every request of the fleet wants an extra attempt, and all instances are
/// killed on the way. Guards against more extra attempts in a window than the users allow, whether
/// or not the instances hear each other. The kill failed as BUDGET in the users' bench: all of them
/// forgot what was used and began with the whole slack.
#[test]
fn a_total_failure_stays_within_the_budget() {
    for is_connected in [true, false] {
        let mut budgets: Vec<_> = (0..INSTANCES).map(|_| RetryBudget::default()).collect();
        let start = Instant::now();
        let mut born = start - LIMITS.window;
        let (mut extras, mut requests) = (Vec::new(), Vec::new());
        for number in 0..6_000_u32 {
            let now = start + Duration::from_millis(u64::from(number) * 20);
            let own = number as usize % INSTANCES;
            if number == KILLED_AT {
                budgets = (0..INSTANCES).map(|_| RetryBudget::default()).collect();
                born = now;
            }
            record(&mut budgets, own, now, false, is_connected);
            requests.push(now);
            let coverage = FleetCoverage { is_connected, uptime: now - born };
            if budgets[own].allows(now, LIMITS, coverage) {
                record(&mut budgets, own, now, true, is_connected);
                extras.push(now);
            }
        }
        assert!(extras.len() > 100, "the budget is used");
        for end in &extras {
            let in_window = |at: &&Instant| **at <= *end && *end - **at <= LIMITS.window;
            let used = extras.iter().filter(in_window).count() as f64;
            let most = LIMITS.ratio * requests.iter().filter(in_window).count() as f64;
            assert!(used <= most + LIMITS.slack, "{used} of {most}, connected {is_connected}");
        }
    }
}

fn record(budgets: &mut [RetryBudget], own: usize, now: Instant, extra: bool, is_connected: bool) {
    for (number, budget) in budgets.iter_mut().enumerate() {
        if number == own {
            budget.record_own(now, extra);
        } else if is_connected {
            budget.record_fleet(now, extra);
        }
    }
}
