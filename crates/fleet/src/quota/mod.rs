//! Quotas of client accounts that hold for the whole fleet.
//!
//! Accounts are divided over shards. The instance that owns a shard, by a lease in the store, grants
//! tokens for the accounts of the shard to the others. An instance admits a request only against a
//! token that it was granted, so the sum over all instances stays within the quota whatever messages
//! between them are lost.
//!
//! [`bucket`] holds the tokens of an account at the owner of its shard, [`allowance`] those that an
//! instance was granted, [`ownership`] decides which shards an instance claims and until when it may
//! grant, and [`transfer`] hands shards over to another instance. All times are durations since the
//! boot of the machine, which include the time for which it was suspended.

pub mod allowance;
pub mod bucket;
pub mod ownership;
pub mod transfer;

use std::time::Duration;

/// Time for which granted tokens are valid, from the sending of the request for them.
pub const TOKEN_VALIDITY: Duration = Duration::from_millis(500);

/// Longest time that a refusal tells a caller to wait.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Bounds on the requests of each account with a quota. They hold for the whole deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLimits {
    /// Sliding window in which requests are counted.
    pub window: Duration,
    /// Requests beyond the quota that are tolerated in a window, as a share of the quota.
    pub tolerance: f64,
    /// Requests beyond the quota that are tolerated in a window regardless of the quota.
    pub slack: f64,
}
