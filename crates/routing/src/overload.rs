//! Overload control of one service, which combines a concurrency limit, a queue and fair shares.

use std::time::Instant;

use crate::deadline::Deadline;
use crate::fair_share::FairShares;
use crate::limits::{Admission, Completion, ConcurrencyLimit, LimitBounds, RejectReason};

/// Admission controller of a service: requests start, wait or are rejected without execution.
///
/// Fair shares are enforced only while requests wait. A request of an account above its share is
/// then rejected before it is queued, which leaves room in the queue for other accounts.
#[derive(Clone, Debug)]
pub struct OverloadController {
    limit: ConcurrencyLimit,
    shares: FairShares,
}

impl OverloadController {
    /// Creates the controller of a service without load. `seed` is a random number, see
    /// [`FairShares::new`].
    pub fn new(now: Instant, bounds: LimitBounds, seed: u64) -> Self {
        Self { limit: ConcurrencyLimit::new(now, bounds), shares: FairShares::new(now, seed) }
    }

    /// Returns the concurrency limit with its queue.
    pub fn limit(&self) -> &ConcurrencyLimit {
        &self.limit
    }

    /// Changes the bounds of the concurrency limit.
    pub fn set_bounds(&mut self, bounds: LimitBounds) {
        self.limit.set_bounds(bounds);
    }

    /// Decides on a new request of an account with the given weight.
    ///
    /// A request that starts or waits counts toward the usage of its account, even if it leaves the
    /// queue before it starts.
    pub fn admit(
        &mut self,
        now: Instant,
        account: &str,
        weight: u32,
        deadline: Deadline,
    ) -> Admission {
        if self.shares.should_reject(now, account, self.limit.pressure()) {
            return self.limit.reject(RejectReason::OverShare);
        }
        let admission = self.limit.admit(now, deadline);
        if !matches!(admission, Admission::Reject { .. }) {
            self.shares.on_admit(now, account, weight);
        }
        admission
    }

    /// Starts the request at the head of the queue if the limit permits.
    ///
    /// Call this after each [`Self::on_finish`] until it returns false.
    pub fn admit_waiting(&mut self) -> bool {
        self.limit.admit_waiting()
    }

    /// Removes a request from the queue after its wait timed out or its caller disconnected.
    pub fn on_wait_abandoned(&mut self) {
        self.limit.on_wait_abandoned();
    }

    /// Records the end of a request in flight and adjusts the limit.
    pub fn on_finish(&mut self, now: Instant, completion: Completion) {
        self.limit.on_finish(now, completion);
    }
}
