//! Token buckets of the accounts whose shards an instance owns.

use std::collections::HashMap;
use std::time::Duration;

use cactustrack_types::Quota;

use super::ownership::{ShardId, shard_of};
use super::{MAX_RETRY_AFTER, QuotaLimits, TOKEN_VALIDITY};
use crate::message::{QuotaLevel, QuotaOutcome, ShortId, to_ms};

/// Share of the slack that is available in the bucket. The rest covers requests that reach upstreams
/// later than their tokens were granted, and the tokens of new owners.
const BUCKET_SLACK_SHARE: f64 = 0.5;

/// Share of the slack with which a new owner starts.
const START_SLACK_SHARE: f64 = 0.1;

/// Time from the claim of a shard until its owner gets the tokens of a new owner. Owners follow each
/// other, so a window of 5.5 s holds at most four such starts, which the slack covers. Without the
/// delay, a process that restarts three times a second would exceed the slack.
pub const START_DELAY: Duration = Duration::from_millis(1_500);

/// Number of tokens that an account may have and the rate at which they are added.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BucketLimits {
    /// Tokens added each second.
    pub refill: f64,
    /// Largest number of tokens.
    pub capacity: f64,
    /// Tokens that a new owner gets after [`START_DELAY`].
    pub start: f64,
}

impl BucketLimits {
    /// Computes the limits of an account. Tokens are used up to [`TOKEN_VALIDITY`] after they were
    /// granted, so a window sees the grants of a span that is longer by this time. If the tolerance
    /// does not cover them, the refill is below the rate of the quota.
    pub fn new(quota: Quota, limits: &QuotaLimits) -> Self {
        let (window, validity) = (limits.window.as_secs_f64(), TOKEN_VALIDITY.as_secs_f64());
        let slack = limits.slack * BUCKET_SLACK_SHARE;
        let capacity = ((quota.burst - quota.rate * validity).max(0.0) + slack).max(1.0);
        let allowed = (quota.rate * window + quota.burst) * (1.0 + limits.tolerance) + slack;
        let refill = quota.rate.min((allowed - capacity) / (window + validity)).max(0.0);
        Self { refill, capacity, start: limits.slack * START_SLACK_SHARE }
    }
}

/// Decision on a request for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// This number of tokens was taken, at least one.
    Granted(u16),
    /// There is no token.
    Exhausted {
        /// Time until a token for this refusal is due.
        retry_after: Duration,
    },
}

/// Tokens of one account.
#[derive(Clone, Debug)]
struct Bucket {
    limits: BucketLimits,
    level: f64,
    updated: Duration,
    /// Time at which the tokens of a new owner are added, `None` once they were.
    start_at: Option<Duration>,
    /// Time at which the token for the last refusal is due.
    reserved_until: Duration,
}

impl From<Decision> for QuotaOutcome {
    /// The answer states whole milliseconds, rounded up past the time, so that the token is due by
    /// then unless the time is limited to [`MAX_RETRY_AFTER`].
    fn from(decision: Decision) -> Self {
        match decision {
            Decision::Granted(tokens) => Self::Granted { tokens },
            Decision::Exhausted { retry_after } => {
                let max = to_ms(MAX_RETRY_AFTER);
                Self::Exhausted { retry_after_ms: to_ms(retry_after).saturating_add(1).min(max) }
            }
        }
    }
}

impl Bucket {
    /// Creates the bucket of an account that has used no token since this instance owns the shard.
    fn new(limits: BucketLimits, owned_since: Duration, now: Duration) -> Self {
        let mut bucket = Self {
            limits,
            level: 0.0,
            updated: owned_since,
            start_at: Some(owned_since + START_DELAY),
            reserved_until: Duration::ZERO,
        };
        bucket.refill(now);
        bucket
    }

    /// Creates the bucket of an account with the tokens that an earlier owner left at a time.
    fn with_level(limits: BucketLimits, level: f64, updated: Duration, now: Duration) -> Self {
        let (start_at, reserved_until) = (None, Duration::ZERO);
        let mut bucket = Self { limits, level, updated, start_at, reserved_until };
        bucket.refill(now);
        bucket
    }

    fn set_limits(&mut self, now: Duration, limits: BucketLimits) {
        if limits != self.limits {
            self.refill(now);
            self.limits = limits;
            self.level = self.level.min(limits.capacity);
        }
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated);
        self.updated = self.updated.max(now);
        self.level += elapsed.as_secs_f64() * self.limits.refill;
        if self.start_at.is_some_and(|at| at <= now) {
            self.start_at = None;
            self.level += self.limits.start;
        }
        self.level = self.level.min(self.limits.capacity);
    }

    fn take(&mut self, now: Duration, wanted: u16) -> Decision {
        self.refill(now);
        let granted = self.level.floor().min(f64::from(wanted.max(1))) as u16;
        if granted > 0 {
            self.level -= f64::from(granted);
            return Decision::Granted(granted);
        }
        Decision::Exhausted { retry_after: self.reserve(now) }
    }

    /// Reserves the next token that is not reserved for an earlier refusal, and returns the time
    /// until it is due.
    fn reserve(&mut self, now: Duration) -> Duration {
        let next = now + self.until_level(1.0 - self.level);
        let start_at = self.start_at.filter(|_| self.level + self.limits.start >= 1.0);
        let next = start_at.map_or(next, |at| next.min(at));
        let due = next.max(self.reserved_until + self.until_level(1.0));
        let due = due.min(now + MAX_RETRY_AFTER);
        self.reserved_until = due;
        due.saturating_sub(now)
    }

    /// Returns the time in which this number of tokens is added, at most [`MAX_RETRY_AFTER`].
    fn until_level(&self, tokens: f64) -> Duration {
        let seconds = tokens.max(0.0) / self.limits.refill;
        let max = MAX_RETRY_AFTER.as_secs_f64();
        Duration::from_secs_f64(if seconds.is_finite() { seconds.min(max) } else { max })
    }

    /// Returns true if a bucket created anew would hold the same tokens.
    fn is_idle(&mut self, now: Duration) -> bool {
        self.refill(now);
        self.start_at.is_none() && self.level >= self.limits.capacity && self.reserved_until <= now
    }
}

/// Buckets of the accounts that have used tokens recently.
#[derive(Debug, Default)]
pub struct Buckets {
    by_account: HashMap<ShortId, Bucket>,
    /// Tokens that earlier owners left to accounts, which have no bucket here yet.
    transferred: HashMap<ShortId, TransferredLevel>,
}

/// Tokens of an account at the transfer of its shard.
#[derive(Clone, Copy, Debug)]
struct TransferredLevel {
    tokens: u32,
    at: Duration,
}

impl Buckets {
    /// Takes up to `wanted` tokens of an account. `owned_since` is the time since which this instance
    /// owns the shard of the account.
    pub fn take(
        &mut self,
        now: Duration,
        owned_since: Duration,
        account: ShortId,
        limits: BucketLimits,
        wanted: u16,
    ) -> Decision {
        let transferred = &mut self.transferred;
        let new = || new_bucket(transferred.remove(&account), limits, owned_since, now);
        let bucket = self.by_account.entry(account).or_insert_with(new);
        bucket.set_limits(now, limits);
        bucket.take(now, wanted)
    }

    /// Returns the number of tokens of an account and the decision that [`Self::take`] would make on
    /// a request for one token.
    pub fn preview(
        &self,
        now: Duration,
        owned_since: Duration,
        account: ShortId,
        limits: BucketLimits,
    ) -> (f64, Decision) {
        let known = self.by_account.get(&account).cloned();
        let transferred = self.transferred.get(&account).copied();
        let mut bucket = known.unwrap_or_else(|| new_bucket(transferred, limits, owned_since, now));
        bucket.set_limits(now, limits);
        bucket.refill(now);
        (bucket.level, bucket.take(now, 1))
    }

    /// Returns the tokens of the accounts of a shard, without those that a bucket created anew would
    /// have as well. The accounts with most tokens come first.
    pub fn levels(&mut self, now: Duration, shard: ShardId) -> Vec<QuotaLevel> {
        let is_of_shard = |account: &ShortId| shard_of(*account) == shard;
        let used = self.by_account.iter_mut().filter(|(account, _)| is_of_shard(account));
        let used = used.filter_map(|(account, bucket)| {
            let is_idle = bucket.is_idle(now);
            (!is_idle).then_some(QuotaLevel { account: *account, tokens: bucket.level as u32 })
        });
        let unused = self.transferred.iter().filter(|(account, _)| is_of_shard(account));
        let unused =
            unused.map(|(account, known)| QuotaLevel { account: *account, tokens: known.tokens });
        let mut levels: Vec<_> = used.chain(unused).collect();
        levels.sort_unstable_by_key(|level| (std::cmp::Reverse(level.tokens), level.account));
        levels
    }

    /// Sets the tokens of accounts at the transfer of their shard to this instance.
    pub fn set_levels(&mut self, at: Duration, levels: &[QuotaLevel]) {
        for QuotaLevel { account, tokens } in levels {
            let level = TransferredLevel { tokens: *tokens, at };
            self.by_account.remove(account);
            self.transferred.insert(*account, level);
        }
    }

    /// Removes the buckets that are full. [`Self::take`] creates them in the same state.
    pub fn expire(&mut self, now: Duration) {
        self.by_account.retain(|_, bucket| !bucket.is_idle(now));
    }

    /// Removes the buckets of a shard that this instance does not own any more.
    pub fn remove_shard(&mut self, shard: ShardId) {
        self.by_account.retain(|account, _| shard_of(*account) != shard);
        self.transferred.retain(|account, _| shard_of(*account) != shard);
    }

    /// Returns the number of accounts with a bucket.
    pub fn len(&self) -> usize {
        self.by_account.len()
    }

    /// Returns true if no account has a bucket.
    pub fn is_empty(&self) -> bool {
        self.by_account.is_empty()
    }
}

/// Creates the bucket of an account, with the tokens that an earlier owner left to it if there was a
/// transfer.
fn new_bucket(
    transferred: Option<TransferredLevel>,
    limits: BucketLimits,
    owned_since: Duration,
    now: Duration,
) -> Bucket {
    match transferred {
        Some(TransferredLevel { tokens, at }) => {
            Bucket::with_level(limits, f64::from(tokens), at, now)
        }
        None => Bucket::new(limits, owned_since, now),
    }
}
