//! Times of a graceful shutdown.

use std::time::{Duration, Instant};

use cactustrack_fleet::shutdown::ShutdownPlan;

/// Guards against a grace period that is too short for the fixed times of a shutdown, so that requests
/// in flight are aborted early, or only when the process is killed.
#[test]
fn a_shutdown_uses_its_grace_period_whatever_its_length() {
    for grace_ms in [200, 1_000, 2_000, 3_000, 4_000, 6_000, 30_000] {
        let (now, grace) = (Instant::now(), Duration::from_millis(grace_ms));
        let plan = ShutdownPlan::new(now, grace);
        let order = [plan.accepts_until, plan.latest_deadline, plan.aborts_at, plan.ends_at];
        assert!(order.is_sorted(), "{grace_ms} ms: {plan:?}");
        assert!(plan.ends_at < now + grace, "{grace_ms} ms: it ends before the process is killed");
        // Upstreams may work until the last sixth of the grace period.
        let last_sixth = now + grace.mul_f64(5.0 / 6.0);
        assert!(plan.latest_deadline >= last_sixth, "{grace_ms} ms: {plan:?}");
        assert!(!plan.rejects_new(now) && plan.rejects_new(plan.accepts_until), "{grace_ms} ms");
    }
    let plan = ShutdownPlan::new(Instant::now(), Duration::ZERO);
    assert_eq!(plan.accepts_until, plan.ends_at, "no grace period");
}
