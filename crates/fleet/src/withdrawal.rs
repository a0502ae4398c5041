//! Upstreams that state in a response that they take no further requests.
//!
//! A response is known sooner than the entry of its upstream changes, and it counts for the
//! incarnation that sent it: a new process under the same id knows nothing of it.

use std::time::{Duration, Instant};

use cactustrack_types::{Incarnation, UpstreamId};
use rapidhash::RapidHashMap;

/// Time for which the announcement of an upstream that is not listed any more is kept. Its entry may
/// be written again after an outage of the store, while it is still leaving.
const UNLISTED_RETENTION: Duration = Duration::from_secs(600);

/// Longest time for which an upstream may ask for no requests. It bounds what a malformed response
/// can cause.
const MAX_BACK_OFF: Duration = Duration::from_secs(3_600);

/// Announcement of one incarnation of an upstream that it is about to stop.
#[derive(Clone, Copy, Debug)]
struct Leaving {
    incarnation: Incarnation,
    announced_at: Instant,
}

/// Time until which one incarnation of an upstream wants no requests from this instance.
#[derive(Clone, Copy, Debug)]
struct BackOff {
    incarnation: Incarnation,
    until: Instant,
}

/// Upstreams that take no further requests, for good or for some time.
#[derive(Debug, Default)]
pub struct Withdrawals {
    leaving: RapidHashMap<UpstreamId, Leaving>,
    back_offs: RapidHashMap<UpstreamId, BackOff>,
}

impl Withdrawals {
    /// Records that an upstream has announced its shutdown. Returns false if that was known.
    pub fn set_leaving(&mut self, now: Instant, id: &UpstreamId, incarnation: Incarnation) -> bool {
        let leaving = Leaving { incarnation, announced_at: now };
        let known = self.leaving.insert(id.clone(), leaving);
        known.is_none_or(|known| known.incarnation != incarnation)
    }

    /// Records that an upstream wants no requests from this instance for some time. A shorter time
    /// that it states meanwhile changes nothing. Returns false if it wanted none before.
    pub fn set_back_off(
        &mut self,
        now: Instant,
        id: &UpstreamId,
        incarnation: Incarnation,
        wait: Duration,
    ) -> bool {
        let is_same = |known: &&BackOff| known.incarnation == incarnation && known.until > now;
        let known = self.back_offs.get(id).filter(is_same);
        let is_new = known.is_none();
        let until = now + wait.min(MAX_BACK_OFF);
        let until = known.map_or(until, |known| known.until.max(until));
        self.back_offs.insert(id.clone(), BackOff { incarnation, until });
        is_new
    }

    /// Returns true if an upstream may get requests.
    pub fn allows(&self, now: Instant, id: &str, incarnation: Incarnation) -> bool {
        let leaving = self.leaving.get(id);
        let is_leaving = leaving.is_some_and(|known| known.incarnation == incarnation);
        let back_off = self.back_offs.get(id).filter(|known| known.incarnation == incarnation);
        !is_leaving && back_off.is_none_or(|known| known.until <= now)
    }

    /// Removes what is no longer needed. `listed` returns the listed incarnation of an upstream.
    pub fn expire(&mut self, now: Instant, listed: impl Fn(&str) -> Option<Incarnation>) {
        self.back_offs.retain(|_, known| known.until > now);
        self.leaving.retain(|id, known| match listed(id) {
            Some(incarnation) => incarnation == known.incarnation,
            None => now.saturating_duration_since(known.announced_at) < UNLISTED_RETENTION,
        });
    }
}
