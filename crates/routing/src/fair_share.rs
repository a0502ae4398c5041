//! Max-min fair shares of client accounts in an overloaded service.

use std::time::{Duration, Instant};

use cactustrack_types::Configuration;
use rapidhash::v3::{RapidSecrets, rapidhash_v3_seeded};

/// Buckets per row. With two rows, two given accounts collide in both buckets with a probability of
/// 1 in 262,144.
const BUCKETS: usize = 512;
/// Number of rows, each with an independent hash.
const ROWS: usize = 2;
/// Time constant of the exponential decay: usage falls to 1/e of its value in this time.
const DECAY_TIME_CONSTANT: Duration = Duration::from_secs(5);
/// Interval at which usage is decayed and sorted.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// Factor by which an account may exceed the fair level, because accounts with the same demand
/// differ by chance.
const FAIR_LEVEL_TOLERANCE: f64 = 1.5;
/// Accounts up to this multiple of the mean usage are never rejected, for example the only active
/// account.
const MEAN_TOLERANCE: f64 = 1.1;
/// Usage added since the last sort, as a share of the total, above which usage is sorted again
/// before the interval ends.
const MAX_UNSORTED_SHARE: f64 = 0.05;
/// Share of the recent usage that lies above the fair level when the queue is full.
const MAX_EXCESS_SHARE: f64 = 0.5;

/// Returns the weight of an account, or 1 if the configuration does not list the account.
pub fn account_weight(configuration: &Configuration, account: &str) -> u32 {
    let accounts = &configuration.accounts;
    let at = accounts.binary_search_by(|listed| (*listed.id).cmp(account));
    at.map_or(1, |at| accounts[at].weight.max(1))
}

/// Recent usage of a service by client account, in a count-min sketch of fixed size.
///
/// Usage is the number of admitted requests divided by the weight of the account, and decays over a
/// few seconds. The usage of an account is the minimum over its buckets, so a light account is
/// mistaken for a heavy one only if it shares all of its buckets with heavy ones. The sketch holds
/// at most 12 KiB whatever the number of accounts.
#[derive(Clone, Debug)]
pub struct FairShares {
    secrets: RapidSecrets,
    /// Usage of each bucket as of `decayed_at`.
    rows: [Vec<f64>; ROWS],
    decayed_at: Instant,
    /// Non-zero usages of the first row in ascending order.
    sorted: Vec<f64>,
    sorted_at: Option<Instant>,
    /// Usage added since the last sort.
    unsorted: f64,
}

impl FairShares {
    /// Creates an empty sketch. A random `seed` prevents callers from choosing account names that
    /// collide.
    pub fn new(now: Instant, seed: u64) -> Self {
        Self {
            secrets: RapidSecrets::seed(seed),
            rows: [vec![0.0; BUCKETS], vec![0.0; BUCKETS]],
            decayed_at: now,
            sorted: Vec::new(),
            sorted_at: None,
            unsorted: 0.0,
        }
    }

    /// Records an admitted request. A `weight` of 0 is treated as 1.
    pub fn on_admit(&mut self, now: Instant, account: &str, weight: u32) {
        self.decay(now);
        let usage = 1.0 / f64::from(weight.max(1));
        self.unsorted += usage;
        for (row, bucket) in self.rows.iter_mut().zip(buckets(&self.secrets, account)) {
            row[bucket] += usage;
        }
    }

    /// Returns the recent usage of an account, in requests divided by its weight.
    pub fn usage(&self, account: &str) -> f64 {
        let buckets = buckets(&self.secrets, account);
        let usages = self.rows.iter().zip(buckets).map(|(row, bucket)| row[bucket]);
        usages.fold(f64::INFINITY, f64::min)
    }

    /// Returns true if a request of the account is to be rejected in favor of other accounts.
    ///
    /// `pressure` is the fill level of the service's queue, from 0 to 1. Nothing is rejected at 0.
    /// The accounts with the highest usage are rejected first. As the queue fills, the level above
    /// which accounts are rejected falls (max-min fairness), but not below the mean usage.
    pub fn should_reject(&mut self, now: Instant, account: &str, pressure: f64) -> bool {
        if pressure <= 0.0 {
            return false;
        }
        self.decay(now);
        self.sort(now);
        let level = self.fair_level(1.0 - MAX_EXCESS_SHARE * pressure.min(1.0));
        let mean = self.sorted.iter().sum::<f64>() / self.sorted.len().max(1) as f64;
        self.usage(account) > (level * FAIR_LEVEL_TOLERANCE).max(mean * MEAN_TOLERANCE)
    }

    /// Returns the level to which usage must be capped so that `share` of the total remains.
    fn fair_level(&self, share: f64) -> f64 {
        let target = share * self.sorted.iter().sum::<f64>();
        let mut below = 0.0;
        for (at, usage) in self.sorted.iter().enumerate() {
            let others = (self.sorted.len() - at) as f64;
            if below + usage * others >= target {
                return (target - below) / others;
            }
            below += usage;
        }
        f64::INFINITY
    }

    fn decay(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.decayed_at);
        if age >= REFRESH_INTERVAL {
            let factor = (-age.as_secs_f64() / DECAY_TIME_CONSTANT.as_secs_f64()).exp();
            self.rows.iter_mut().flatten().for_each(|usage| *usage *= factor);
            self.decayed_at = now;
        }
    }

    fn sort(&mut self, now: Instant) {
        let is_recent = |at| now.saturating_duration_since(at) < REFRESH_INTERVAL;
        let has_few_new = self.unsorted <= MAX_UNSORTED_SHARE * self.sorted.iter().sum::<f64>();
        if has_few_new && self.sorted_at.is_some_and(is_recent) {
            return;
        }
        self.unsorted = 0.0;
        self.sorted.clear();
        self.sorted.extend(self.rows[0].iter().filter(|&&usage| usage > 0.0));
        self.sorted.sort_unstable_by(f64::total_cmp);
        self.sorted_at = Some(now);
    }
}

fn buckets(secrets: &RapidSecrets, account: &str) -> [usize; ROWS] {
    let hash = rapidhash_v3_seeded(account.as_bytes(), secrets);
    [hash as usize % BUCKETS, (hash >> 32) as usize % BUCKETS]
}
