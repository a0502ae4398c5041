//! Fair shares of callers in an overloaded service.

use std::time::{Duration, Instant};

use cactustrack_types::Configuration;
use rapidhash::v3::{RapidSecrets, rapidhash_v3_seeded};

/// Buckets in a row. With two rows a caller shares both of its buckets with a given other caller
/// with probability 1 in 262,144.
const BUCKETS: usize = 512;
/// Rows with independent hashes.
const ROWS: usize = 2;
/// Time after which usage counts for 1/e of its amount.
const MEMORY: Duration = Duration::from_secs(5);
/// Interval at which usage is faded and sorted.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// A caller may exceed the fair level by this factor. Callers with the same demand differ by chance.
const LEVEL_TOLERANCE: f64 = 1.5;
/// A caller up to this multiple of the mean usage is never refused, for example an only one.
const MEAN_TOLERANCE: f64 = 1.1;
/// Share of new usage from which usage is sorted again before the interval ends.
const MAX_NEW_SHARE: f64 = 0.05;
/// Share of the recent usage above the fair level when the queue is full.
const MAX_EXCESS: f64 = 0.5;

/// Weight of an account. An account that the configuration does not list has the weight 1.
pub fn account_weight(configuration: &Configuration, account: &str) -> u32 {
    let accounts = &configuration.accounts;
    let at = accounts.binary_search_by(|listed| (*listed.id).cmp(account));
    at.map_or(1, |at| accounts[at].weight.max(1))
}

/// Recent usage of a service by callers, in hashed buckets of fixed number.
///
/// Usage is counted in admitted requests divided by the weight of the account, and it fades over
/// a few seconds. The usage of a caller is the smaller one of its buckets' usages, so a light
/// caller is mistaken for a heavy one only if it shares all its buckets with heavy ones. A
/// value holds at most 12 KiB whatever the number of accounts.
#[derive(Clone, Debug)]
pub struct FairShares {
    secrets: RapidSecrets,
    /// Usage of each bucket as of `faded_at`.
    rows: [Vec<f64>; ROWS],
    faded_at: Instant,
    /// Usages of the first row in ascending order, without zeros.
    sorted: Vec<f64>,
    sorted_at: Option<Instant>,
    /// Usage that was added since it was sorted.
    unsorted: f64,
}

impl FairShares {
    /// Creates an empty value. A random `seed` keeps callers from choosing accounts that share
    /// buckets.
    pub fn new(now: Instant, seed: u64) -> Self {
        Self {
            secrets: RapidSecrets::seed(seed),
            rows: [vec![0.0; BUCKETS], vec![0.0; BUCKETS]],
            faded_at: now,
            sorted: Vec::new(),
            sorted_at: None,
            unsorted: 0.0,
        }
    }

    /// Counts an admitted request. A `weight` of 0 counts as 1.
    pub fn on_admit(&mut self, now: Instant, account: &str, weight: u32) {
        self.fade(now);
        let usage = 1.0 / f64::from(weight.max(1));
        self.unsorted += usage;
        for (row, bucket) in self.rows.iter_mut().zip(buckets(&self.secrets, account)) {
            row[bucket] += usage;
        }
    }

    /// Recent usage of a caller, in requests divided by its weight.
    pub fn usage(&self, account: &str) -> f64 {
        let buckets = buckets(&self.secrets, account);
        let usages = self.rows.iter().zip(buckets).map(|(row, bucket)| row[bucket]);
        usages.fold(f64::INFINITY, f64::min)
    }

    /// Decides whether a caller is refused so that others can be served.
    ///
    /// `pressure` tells how full the queue of the service is, from 0 to 1. Nobody is refused at 0.
    /// The callers with the highest usage are refused first; as the queue fills, the level above
    /// which callers are refused falls (max-min fairness), but not below the mean usage.
    pub fn is_refused(&mut self, now: Instant, account: &str, pressure: f64) -> bool {
        if pressure <= 0.0 {
            return false;
        }
        self.fade(now);
        self.sort(now);
        let level = self.fair_level(1.0 - MAX_EXCESS * pressure.min(1.0));
        let mean = self.sorted.iter().sum::<f64>() / self.sorted.len().max(1) as f64;
        self.usage(account) > (level * LEVEL_TOLERANCE).max(mean * MEAN_TOLERANCE)
    }

    /// Level at which usage must be cut off so that `share` of the total remains.
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

    fn fade(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.faded_at);
        if age >= REFRESH_INTERVAL {
            let factor = (-age.as_secs_f64() / MEMORY.as_secs_f64()).exp();
            self.rows.iter_mut().flatten().for_each(|usage| *usage *= factor);
            self.faded_at = now;
        }
    }

    fn sort(&mut self, now: Instant) {
        let is_recent = |at| now.saturating_duration_since(at) < REFRESH_INTERVAL;
        let has_few_new = self.unsorted <= MAX_NEW_SHARE * self.sorted.iter().sum::<f64>();
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
