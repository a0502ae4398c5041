//! Overload control of one service: concurrency limit, queue and fair shares together.

use std::time::Instant;

use crate::deadline::Deadline;
use crate::fair_share::FairShares;
use crate::limits::{Admission, Completion, ConcurrencyLimit, LimitBounds, RejectReason};

/// Decides which requests of a service start, wait or are rejected as not run.
///
/// Shares of callers matter only while requests wait. A caller above its share is then refused
/// before it takes a place in the queue, so that the places are left for others.
#[derive(Clone, Debug)]
pub struct OverloadController {
    limit: ConcurrencyLimit,
    shares: FairShares,
}

impl OverloadController {
    /// Creates the state of a service without load. `seed` is a random number, see
    /// [`FairShares::new`].
    pub fn new(now: Instant, bounds: LimitBounds, seed: u64) -> Self {
        Self { limit: ConcurrencyLimit::new(now, bounds), shares: FairShares::new(now, seed) }
    }

    /// Limit, requests in flight and queue.
    pub fn limit(&self) -> &ConcurrencyLimit {
        &self.limit
    }

    /// Changes the bounds of the limit.
    pub fn set_bounds(&mut self, bounds: LimitBounds) {
        self.limit.set_bounds(bounds);
    }

    /// Decides on a new request of a caller with the given weight.
    ///
    /// A request that starts or waits is charged to the caller's share, also if it leaves the queue
    /// before it starts.
    pub fn admit(
        &mut self,
        now: Instant,
        account: &str,
        weight: u32,
        deadline: Deadline,
    ) -> Admission {
        if self.shares.is_refused(now, account, self.limit.pressure()) {
            return self.limit.refuse(RejectReason::OverShare);
        }
        let admission = self.limit.admit(now, deadline);
        if !matches!(admission, Admission::Reject { .. }) {
            self.shares.on_admit(now, account, weight);
        }
        admission
    }

    /// Starts the request at the head of the queue if there is room for it. Call it after each
    /// [`Self::on_finish`] until it returns false.
    pub fn admit_waiting(&mut self) -> bool {
        self.limit.admit_waiting()
    }

    /// Removes a request from the queue whose time passed or whose caller left.
    pub fn on_wait_abandoned(&mut self) {
        self.limit.on_wait_abandoned();
    }

    /// Counts the end of a request in flight.
    pub fn on_finish(&mut self, now: Instant, completion: Completion) {
        self.limit.on_finish(now, completion);
    }
}
