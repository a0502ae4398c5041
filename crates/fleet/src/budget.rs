//! Retry budget: the limit on extra attempts (retries and hedges) of the whole fleet.
//!
//! Each instance limits its own extra attempts by its own requests, which it knows exactly, and by
//! its share of the slack. The sum over all instances then stays within the budget whatever
//! messages between them are lost or late.
//!
//! An instance that has used its allowance can ask another one for an attempt. The other one counts
//! the attempt as its own before it answers, at the latest time at which it may start. A lost answer
//! wastes the attempt, and no message can make it count for less than it is.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Share of the budget that may be used. The rest covers attempts and requests whose delays on the
/// way differ: more attempts can arrive at the upstreams within a window than started within one,
/// and an instance that was frozen reads requests long after their callers sent them.
const USABLE_SHARE: f64 = 0.85;

/// Share of the usable budget up to which hedges, which may turn out to be unnecessary, are allowed.
const HEDGE_SHARE: f64 = 0.5;

/// Share of the ratio by which each request funds extra attempts in a span, see
/// `RetryBudget::usage`.
const FUNDING_SHARE: f64 = 0.5;

/// Requests that start within this time of each other are counted as one entry, which bounds the
/// memory of an instance with many requests.
const REQUEST_RESOLUTION: Duration = Duration::from_millis(50);

/// Time after which requests are no longer counted. A window of more than half of it has fewer extra
/// attempts than the budget allows.
const REQUEST_RETENTION: Duration = Duration::from_secs(60);

/// Time from a request for a grant until the latest start of the attempt that it allows.
pub const GRANT_VALIDITY: Duration = Duration::from_millis(250);

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

/// Determines the share of the slack that one instance may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlackShare {
    /// Number of instances that may use the slack, `None` if it is not known.
    pub instances: Option<usize>,
    /// Time since the instance started.
    pub uptime: Duration,
}

impl SlackShare {
    /// Returns the extra attempts of the slack that the instance may make in a window.
    ///
    /// An instance that started less than a window ago has none, since an earlier process under the
    /// same name, or the instance that it replaces, may have used the share in the same window.
    fn extras(self, limits: BudgetLimits) -> f64 {
        match self.instances {
            Some(instances) if self.uptime >= limits.window => {
                limits.slack / instances.max(1) as f64
            }
            _ => 0.0,
        }
    }
}

/// Usage of the retry budget by one instance, before the decision on another extra attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BudgetUsage {
    /// Requests of the instance in the two most recent windows.
    pub requests: u64,
    /// Extra attempts of the instance in the window.
    pub extras: u64,
    /// Largest number of extra attempts that the instance may bring the window to.
    pub limit: f64,
}

impl BudgetUsage {
    /// Returns true if another retry stays within the limit.
    fn allows_retry(&self) -> bool {
        (self.extras + 1) as f64 <= self.limit
    }

    /// Returns true if another hedge stays within the limit and leaves enough of it for retries of
    /// failed requests.
    fn allows_hedge(&self) -> bool {
        let limit = (self.limit * HEDGE_SHARE).max(1.0);
        self.allows_retry() && (self.extras + 1) as f64 <= limit
    }
}

/// Decision on an extra attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetDecision {
    /// True if the attempt may be started. It is then already counted.
    pub is_allowed: bool,
    /// Usage on which the decision was based.
    pub usage: BudgetUsage,
}

/// Requests and extra attempts of this instance at one service.
#[derive(Debug, Default)]
pub struct RetryBudget {
    /// Numbers of requests, with the time of the first one of each entry.
    requests: VecDeque<(Instant, u32)>,
    /// Times of the extra attempts in the most recent window, in order. Those of granted attempts
    /// may lie ahead.
    extras: VecDeque<Instant>,
}

impl RetryBudget {
    /// Counts the first attempt of a request.
    pub fn record_request(&mut self, now: Instant) {
        let is_expired = |at: Instant| now.saturating_duration_since(at) > REQUEST_RETENTION;
        while self.requests.front().is_some_and(|(at, _)| is_expired(*at)) {
            self.requests.pop_front();
        }
        match self.requests.back_mut() {
            Some((at, count)) if now.saturating_duration_since(*at) < REQUEST_RESOLUTION => {
                *count += 1;
            }
            _ => self.requests.push_back((now, 1)),
        }
    }

    /// Records that the machine was suspended. The clock of the process stood still meanwhile, so
    /// the earlier requests are older than it shows. The extra attempts keep their times, which
    /// counts them for longer than necessary.
    pub fn on_suspended(&mut self, gap: Duration) {
        for (at, _) in &mut self.requests {
            // A clock that has run for less than the gap has seen no request before it.
            *at = at.checked_sub(gap).unwrap_or(*at);
        }
    }

    /// Decides on an extra attempt, and counts it if it is allowed. It is counted before it starts,
    /// so that another decision in the meantime takes it into account.
    pub fn try_extra(
        &mut self,
        now: Instant,
        limits: BudgetLimits,
        share: SlackShare,
        is_hedge: bool,
    ) -> BudgetDecision {
        self.try_until(now, now, limits, share, is_hedge)
    }

    /// Decides whether another instance may make an extra attempt in place of this one, within
    /// [`GRANT_VALIDITY`]. The attempt is counted at the end of that time.
    pub fn try_grant(
        &mut self,
        now: Instant,
        limits: BudgetLimits,
        share: SlackShare,
        is_hedge: bool,
    ) -> BudgetDecision {
        self.try_until(now, now + GRANT_VALIDITY, limits, share, is_hedge)
    }

    /// Decides on an extra attempt that starts between `now` and `latest`.
    fn try_until(
        &mut self,
        now: Instant,
        latest: Instant,
        limits: BudgetLimits,
        share: SlackShare,
        is_hedge: bool,
    ) -> BudgetDecision {
        let usage = self.usage(now, latest, limits, share);
        let is_allowed = if is_hedge { usage.allows_hedge() } else { usage.allows_retry() };
        if is_allowed {
            let position = self.extras.partition_point(|at| *at <= latest);
            self.extras.insert(position, latest);
        }
        BudgetDecision { is_allowed, usage }
    }

    /// Returns the usage and the limit of the budget for an attempt that starts between `now` and
    /// `latest`.
    ///
    /// In each span of up to one window that ends now, the extra attempts stay within the slack plus
    /// half of the ratio for each request of the span and of the window before it. For a whole window
    /// of the fleet, this sums up to the slack plus the ratio for the mean number of requests in
    /// that window and the one before, wherever the window lies and however the load shifts between
    /// instances. Comparing only the current window would let an instance that loses its callers use
    /// the allowance of their requests in the same window as the instance that receives them.
    fn usage(
        &mut self,
        now: Instant,
        latest: Instant,
        limits: BudgetLimits,
        share: SlackShare,
    ) -> BudgetUsage {
        let is_expired = |at: Instant| now.saturating_duration_since(at) > limits.window;
        while self.extras.front().is_some_and(|at| is_expired(*at)) {
            self.extras.pop_front();
        }
        let slack = USABLE_SHARE * share.extras(limits);
        let funding = USABLE_SHARE * FUNDING_SHARE * limits.ratio;
        let mut older = self.requests.iter().rev().peekable();
        let mut requests = 0_u64;
        let mut count_since = |start: Instant| {
            while let Some((_, count)) = older.next_if(|(at, _)| *at + limits.window >= start) {
                requests += u64::from(*count);
            }
            requests
        };
        let newest = self.extras.back().map_or(latest, |at| latest.max(*at));
        let mut headroom = funding * count_since(newest) as f64 + slack;
        for (later, start) in self.extras.iter().rev().enumerate() {
            let funded = funding * count_since(*start) as f64 + slack;
            headroom = headroom.min(funded - (later + 1) as f64);
        }
        let recent = self.requests.iter().filter(|(at, _)| *at + 2 * limits.window >= now);
        let requests = recent.map(|(_, count)| u64::from(*count)).sum();
        let extras = self.extras.len() as u64;
        BudgetUsage { requests, extras, limit: extras as f64 + headroom }
    }
}
