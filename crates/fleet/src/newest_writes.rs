//! The newest writes of upstreams, by their own count.
//!
//! The store may execute a write seconds after its writer has sent it, and may come back from a copy
//! with an entry that was replaced or removed since. In both cases the entry in the store is older
//! than one that is known here. The known one stays in effect until the upstream writes again. Where
//! the order of the two is not certain, it stays in effect for some time only.

use std::time::{Duration, Instant};

use cactustrack_types::{Incarnation, UpstreamId};
use rapidhash::RapidHashMap;

use crate::discovery::{ListedUpstream, Revision};

/// Time for which a removal stays in effect although the store holds the entry. The entry of an
/// upstream that has left is removed again within 4.5 s, three times the interval of the writes of a
/// live one. One that is listed for longer is alive.
pub const REMOVED_PERIOD: Duration = Duration::from_secs(10);

/// Time for which the entry of an incarnation stays in effect although the store holds one that
/// states an earlier start. The clock of a process may have been set back before it started.
pub const EARLIER_INCARNATION_PERIOD: Duration = Duration::from_secs(4);

/// Time for which removals are remembered. It exceeds the age of a copy that the store may come back
/// from.
const REMOVAL_RETENTION: Duration = Duration::from_secs(60);

/// A removed entry.
#[derive(Debug)]
struct Removal {
    entry: ListedUpstream,
    at: Instant,
}

/// What stays in effect in place of an entry of the store.
#[derive(Debug)]
struct Override {
    /// The newest known write, `None` if the upstream has left.
    newest: Option<ListedUpstream>,
    /// End of the effect. `None` if it lasts until the next write, since the two writes are of one
    /// incarnation, whose count does not depend on a clock.
    until: Option<Instant>,
}

/// Removed upstreams, and those whose entry in the store is older than a known one.
#[derive(Debug, Default)]
pub struct NewestWrites {
    removals: RapidHashMap<UpstreamId, Removal>,
    overrides: RapidHashMap<UpstreamId, Override>,
    /// First known position in the current era. Later entries are not from the copy that the era began
    /// with.
    era_start: Revision,
}

impl NewestWrites {
    /// Records the position up to which the list is known, whether it was read here or by a relay. Entries
    /// up to the first position of an era may be from the copy that the era began with, so it has to be
    /// recorded before these entries are.
    pub fn on_position(&mut self, revision: Revision) {
        if revision.era() != self.era_start.era() {
            self.era_start = revision;
        }
    }

    /// Records an entry that the store holds. `known` is the one that it held before.
    pub fn on_listed(
        &mut self,
        now: Instant,
        entry: &ListedUpstream,
        known: Option<&ListedUpstream>,
    ) {
        let id = &entry.id;
        if let Some(current) = self.overrides.get(id) {
            let is_kept = match &current.newest {
                Some(newest) => is_older(entry, newest) && !is_alive(entry, known, newest),
                None => self.is_removed(entry),
            };
            if is_kept {
                return;
            }
            self.overrides.remove(id);
        }
        let newest = if let Some(known) = known.filter(|known| is_older(entry, known)) {
            Some(known.clone())
        } else if self.is_removed(entry) {
            None
        } else {
            self.removals.remove(id);
            return;
        };
        let until = match &newest {
            Some(newest) if newest.incarnation == entry.incarnation => None,
            Some(_) => Some(now + EARLIER_INCARNATION_PERIOD),
            None => Some(now + REMOVED_PERIOD),
        };
        self.overrides.insert(id.clone(), Override { newest, until });
    }

    /// Records that the entry of an upstream was removed.
    pub fn on_removed(&mut self, now: Instant, entry: ListedUpstream) {
        let current = self.overrides.remove(&entry.id);
        if current.as_ref().is_some_and(|current| current.newest.is_none()) {
            // An entry that was removed before is removed again.
            return;
        }
        let entry = current.and_then(|current| current.newest).unwrap_or(entry);
        self.removals.insert(entry.id.clone(), Removal { entry, at: now });
    }

    /// Returns the entry that is in effect for one that the store holds, `None` if the upstream has
    /// left.
    pub fn in_effect<'a>(&'a self, stored: &'a ListedUpstream) -> Option<&'a ListedUpstream> {
        match self.overrides.get(&stored.id) {
            Some(current) => current.newest.as_ref(),
            None => Some(stored),
        }
    }

    /// Returns true if the store holds an older entry of an upstream than is known here.
    pub fn is_superseded(&self, id: &str) -> bool {
        self.overrides.contains_key(id)
    }

    /// Forgets what is no longer needed.
    pub fn expire(&mut self, now: Instant) {
        self.overrides.retain(|_, current| current.until.is_none_or(|until| until > now));
        self.removals
            .retain(|_, removal| now.saturating_duration_since(removal.at) < REMOVAL_RETENTION);
    }

    /// Returns true if an entry was removed, or is older than one that was.
    fn is_removed(&self, entry: &ListedUpstream) -> bool {
        let Some(Removal { entry: removed, .. }) = self.removals.get(&entry.id) else {
            return false;
        };
        let is_copied = entry.revision <= self.era_start;
        is_older(entry, removed) || (is_copied && is_same_write(entry, removed))
    }
}

/// Returns true if one entry is an older write of the upstream than another one. Unknown if an entry
/// does not state the incarnation.
fn is_older(entry: &ListedUpstream, other: &ListedUpstream) -> bool {
    let unknown = Incarnation::default();
    let is_known = entry.incarnation != unknown && other.incarnation != unknown;
    is_known && (entry.incarnation, entry.sequence) < (other.incarnation, other.sequence)
}

/// Returns true if an entry of an earlier start than that of `newest` follows another one of its
/// incarnation, so that its process is running.
fn is_alive(
    entry: &ListedUpstream,
    known: Option<&ListedUpstream>,
    newest: &ListedUpstream,
) -> bool {
    let is_next = |known: &ListedUpstream| {
        known.incarnation == entry.incarnation && known.sequence < entry.sequence
    };
    entry.incarnation != newest.incarnation && known.is_some_and(is_next)
}

/// Returns true if two entries are the same write, which a copy of the store has kept. Writes that
/// change only the sequence number may leave the revision as it is.
fn is_same_write(entry: &ListedUpstream, other: &ListedUpstream) -> bool {
    entry.incarnation == other.incarnation && entry.revision.number() == other.revision.number()
}
