//! Stand-in of the platform's load balancer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::callers::Shared;
use crate::fleet;

/// Interval of readiness checks.
const READY_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of a readiness check.
const READY_TIMEOUT: Duration = Duration::from_millis(400);

/// Number of consecutive failed readiness checks after which the load balancer takes an instance
/// out.
const MAX_FAILED_CHECKS: u32 = 2;

/// Starts a thread that adds and removes instances by their readiness, as the load balancer of the
/// platform does.
pub(crate) fn spawn(shared: &Arc<Shared>, admins: Vec<SocketAddr>) -> JoinHandle<()> {
    let shared = Arc::clone(shared);
    thread::spawn(move || {
        let runtime = compio::runtime::Runtime::new().expect("a runtime for the load balancer");
        let checks = admins.into_iter().enumerate().map(|(instance, admin)| {
            let shared = Arc::clone(&shared);
            async move {
                let mut failed_checks = 0;
                while !shared.stop.load(Ordering::Relaxed) {
                    let response = compio::time::timeout(READY_TIMEOUT, fleet::is_ready(admin));
                    failed_checks =
                        if response.await.unwrap_or(false) { 0 } else { failed_checks + 1 };
                    let is_ready = &shared.instances[instance].is_ready;
                    if failed_checks == 0 || failed_checks >= MAX_FAILED_CHECKS {
                        is_ready.store(failed_checks == 0, Ordering::Relaxed);
                    }
                    compio::time::sleep(READY_INTERVAL).await;
                }
            }
        });
        runtime.block_on(futures::future::join_all(checks));
    })
}
