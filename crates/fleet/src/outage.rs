//! Outages of the store, in which entries of live upstreams expire.
//!
//! A failed call alone is no outage: the store may cut a watch that waits and respond to the next
//! call at once. An outage that is over delays removals until a fixed time, also at instances that
//! hear of it from a relay, so the delay does not grow with the time that the message takes.

use std::time::{Duration, Instant};

/// Time after the end of an outage of the store by which expired entries of live upstreams are
/// listed again. This takes about two seconds, part of which passes before the instance detects the
/// end of the outage.
pub const RELIST_PERIOD: Duration = Duration::from_millis(1_600);

/// Shortest time without a response that counts as an outage. Owners write their entries every 1.5
/// s, an entry expires after three times that, and is written again within 2 s of an outage, so
/// those of live upstreams expire only in outages of more than about a second. Reconnecting after a
/// watch was cut takes less than half of this time.
pub const MIN_OUTAGE: Duration = Duration::from_millis(500);

/// Outages of the store that this instance or a relay has noticed.
#[derive(Debug, Default)]
pub struct Outages {
    /// Time of the first failure since the last response.
    failing_since: Option<Instant>,
    /// End of the recovery from an outage that this instance has noticed.
    own_recovery_until: Option<Instant>,
    /// End of the recovery from an outage that a relay has noticed.
    relayed_recovery_until: Option<Instant>,
}

impl Outages {
    /// Records a failed call. `since` is the time from which on the store is known not to respond.
    pub fn on_failure(&mut self, since: Instant) {
        self.failing_since.get_or_insert(since);
    }

    /// Records a response of the store.
    pub fn on_response(&mut self, now: Instant) {
        let is_outage = self.is_ongoing(now);
        self.failing_since = None;
        if is_outage {
            self.own_recovery_until = Some(now + RELIST_PERIOD);
        }
    }

    /// Records that the store came back from an older copy, in which entries of live upstreams are
    /// missing until these write them again.
    pub fn on_restored(&mut self, now: Instant) {
        self.own_recovery_until = Some(now + RELIST_PERIOD);
    }

    /// Records that a relay is recovering from an outage for another time `left`.
    pub fn on_relayed(&mut self, now: Instant, left: Duration) {
        if left.is_zero() {
            return;
        }
        let until = now + left.min(RELIST_PERIOD);
        self.relayed_recovery_until = self.relayed_recovery_until.max(Some(until));
    }

    /// Returns the time at which a removal that is read now takes effect, `None` if that is at
    /// once.
    pub fn recovery_until(&self, now: Instant) -> Option<Instant> {
        let relayed = self.relayed_recovery_until.filter(|until| *until > now);
        self.own_recovery(now).max(relayed)
    }

    /// Returns the remaining time of the recovery from an outage that this instance has noticed,
    /// zero if there is none.
    pub fn own_recovery_left(&self, now: Instant) -> Duration {
        let until = self.own_recovery(now);
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Returns true if this instance has noticed the end of an outage, and expired entries may still be
    /// written again. While the outage goes on, only other instances know what the store holds.
    pub fn is_recovering(&self, now: Instant) -> bool {
        self.own_recovery_until.is_some_and(|until| until > now)
    }

    fn own_recovery(&self, now: Instant) -> Option<Instant> {
        if self.is_ongoing(now) {
            return Some(now + RELIST_PERIOD);
        }
        self.own_recovery_until.filter(|until| *until > now)
    }

    fn is_ongoing(&self, now: Instant) -> bool {
        let is_long = |since| now.saturating_duration_since(since) >= MIN_OUTAGE;
        self.failing_since.is_some_and(is_long)
    }
}
