//! What a request of a client account would find, for the explanation of its route.

use std::time::Duration;

use cactustrack_fleet::message::ShortId;
use cactustrack_fleet::quota::bucket::{BucketLimits, Decision};
use cactustrack_fleet::quota::ownership::shard_of;
use cactustrack_types::Quota;

use super::quota::Quotas;
use super::state::time_since_boot;

/// What a request of a client account would find now.
#[derive(Clone, Copy, Debug)]
pub(super) struct QuotaPreview {
    /// Valid tokens that this instance holds.
    pub(super) tokens_held: usize,
    /// Tokens in the bucket of the account, if this instance owns the shard.
    pub(super) bucket_level: Option<f64>,
    /// `Ok` if the request would get a token, or the time after which one is due. `None` if the
    /// owner has to be asked.
    pub(super) answer: Option<Result<(), Duration>>,
}

impl Quotas {
    /// Returns what a request of an account would find now, without taking a token.
    pub(super) fn preview(
        &self,
        account: ShortId,
        rate: f64,
        quota: Option<Quota>,
    ) -> QuotaPreview {
        let now = time_since_boot();
        let (tokens_held, refusal) = self.allowances.borrow().preview(now, account, rate);
        let owned_since = self.ownership.borrow().granting_since(now, shard_of(account));
        let as_owner = owned_since.zip(quota).map(|(owned_since, quota)| {
            let limits = BucketLimits::new(quota, &self.limits);
            self.buckets.borrow().preview(now, owned_since, account, limits)
        });
        let bucket_level = as_owner.map(|(level, _)| level);
        let decision = as_owner.map(|(_, decision)| decision);
        let answer = match decision {
            _ if tokens_held > 0 => Some(Ok(())),
            Some(Decision::Granted(_)) => Some(Ok(())),
            Some(Decision::Exhausted { retry_after }) => Some(Err(retry_after)),
            None => refusal.map(Err),
        };
        QuotaPreview { tokens_held, bucket_level, answer }
    }
}
