//! Upstreams that state in a response that they take no further requests.
//!
//! A response is known sooner than the entry of its upstream changes, and it counts for the
//! incarnation that sent it: a new process under the same id knows nothing of it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use cactustrack_types::{Incarnation, UpstreamId};

/// Time for which the announcement of an upstream that is not listed any more is kept. Its entry may
/// be written again after an outage of the store, while it is still leaving.
const UNLISTED_RETENTION: Duration = Duration::from_secs(600);

/// Announcement of one incarnation of an upstream.
#[derive(Clone, Copy, Debug)]
struct Withdrawal {
    incarnation: Incarnation,
    announced_at: Instant,
}

/// Upstreams that take no further requests.
#[derive(Debug, Default)]
pub struct Withdrawals {
    leaving: HashMap<UpstreamId, Withdrawal>,
}

impl Withdrawals {
    /// Records that an upstream has announced its shutdown. Returns false if that was known.
    pub fn set_leaving(&mut self, now: Instant, id: &UpstreamId, incarnation: Incarnation) -> bool {
        let withdrawal = Withdrawal { incarnation, announced_at: now };
        let known = self.leaving.insert(id.clone(), withdrawal);
        known.is_none_or(|known| known.incarnation != incarnation)
    }

    /// Returns true if an upstream may get requests.
    pub fn allows(&self, id: &str, incarnation: Incarnation) -> bool {
        self.leaving.get(id).is_none_or(|known| known.incarnation != incarnation)
    }

    /// Removes what is no longer needed. `listed` returns the listed incarnation of an upstream.
    pub fn expire(&mut self, now: Instant, listed: impl Fn(&str) -> Option<Incarnation>) {
        self.leaving.retain(|id, known| match listed(id) {
            Some(incarnation) => incarnation == known.incarnation,
            None => now.saturating_duration_since(known.announced_at) < UNLISTED_RETENTION,
        });
    }
}
