//! Catalog of the upstreams that are listed in the store.
//!
//! During an outage of the store, the entries of live upstreams expire because their owners cannot
//! renew them. The owners write these entries again shortly after the end of the outage. A removal
//! during that period is therefore delayed ([`crate::outage`]), and has no effect if the entry is
//! written again.
//!
//! Readings of the store may be applied in any order: the response to a watch can be handled after
//! newer changes from a relay, and a whole list after both. The catalog knows up to which revision
//! it has every change, and ignores what is older.
//!
//! Some removals are never delivered as changes: an instance that reads the whole list sees only
//! that an entry is missing, or nothing if it has just started. Instances therefore compare digests
//! of their lists, which reveal each difference.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cactustrack_types::{Incarnation, ServiceId, UpstreamId};
use derive_more::{Display, Error};
use rapidhash::{RapidHashMap, RapidHashSet};

use crate::discovery::{Change, ListedUpstream, Revision};
use crate::message::{
    ListDifference, ListDigest, ListState, ShortId, from_ms, hash, short_upstream_id,
};
use crate::newest_writes::NewestWrites;
use crate::outage::Outages;
use crate::peers::mix;
use crate::withdrawal::Withdrawals;

/// Listed upstreams, including those that are leaving.
#[derive(Debug, Default)]
pub struct Catalog {
    /// Revision up to which all changes were applied.
    revision: Revision,
    /// The entries as the store holds them.
    listed: RapidHashMap<UpstreamId, ListedUpstream>,
    /// What is in effect in place of entries that the store holds in an older state.
    newest_writes: NewestWrites,
    /// Ids of the listed upstreams by the short ids in notices.
    by_short_id: RapidHashMap<ShortId, UpstreamId>,
    /// Delayed removals, with the time at which they take effect unless the entry is written again.
    pending_removals: RapidHashMap<UpstreamId, Instant>,
    /// Upstreams whose address belongs to another process, with the revision of the entry.
    misdirected: RapidHashMap<UpstreamId, Revision>,
    /// What upstreams stated in responses.
    withdrawals: Withdrawals,
    outages: Outages,
    unchanged_since: Revision,
    /// XOR of the digests of all entries, except those with a delayed removal.
    digest: ListDigest,
}

/// A change of the list that took effect.
#[derive(Clone, Debug, PartialEq)]
pub enum AppliedChange {
    /// An upstream is listed, or its entry changed.
    Listed(ListedUpstream),
    /// The entry of an upstream was removed.
    Removed {
        /// The entry.
        upstream: ListedUpstream,
        /// Revision of the removal.
        revision: Revision,
    },
}

/// Relayed changes cannot be applied, because earlier ones are missing.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("changes up to revision {revision} are missing")]
pub struct MissingChange {
    /// Revision up to which the list has to be read.
    pub revision: Revision,
}

impl From<AppliedChange> for Change {
    fn from(change: AppliedChange) -> Self {
        match change {
            AppliedChange::Listed(upstream) => Self::Listed(upstream),
            AppliedChange::Removed { upstream, revision } => Self::Unlisted(upstream.id, revision),
        }
    }
}

impl Catalog {
    /// Returns the outages of the store that were noticed.
    pub fn outages(&self) -> &Outages {
        &self.outages
    }

    /// Returns the outages of the store that were noticed, to record what becomes known of them.
    pub fn outages_mut(&mut self) -> &mut Outages {
        &mut self.outages
    }

    /// Returns the revision up to which all changes were applied, [`Revision::NONE`] if no list was
    /// read.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the state of the list in the store, as far as it is known. An entry with a delayed
    /// removal is not part of it.
    pub fn state(&self) -> ListState {
        ListState { revision: self.revision, digest: self.digest }
    }

    /// Returns the revision since which the list has not changed, up to [`Self::revision`].
    pub fn unchanged_since(&self) -> Revision {
        self.unchanged_since
    }

    /// Returns true if changes after `after`, up to `until`, are complete and contain newer ones than
    /// the catalog has. Changes of another era are not complete: what was lost before it is missing.
    pub fn needs(&self, after: Revision, until: Revision) -> bool {
        let era = self.revision.era();
        let is_same_era = after.era() == era && until.era() == era;
        is_same_era && after <= self.revision && self.revision < until
    }

    /// Applies the changes that were made after `after`, up to `until`, and returns those that took
    /// effect. Changes that the catalog already has, or that newer ones have superseded, are ignored.
    /// All are ignored if earlier ones are missing.
    pub fn apply(
        &mut self,
        now: Instant,
        after: Revision,
        until: Revision,
        changes: impl IntoIterator<Item = Change>,
    ) -> Vec<AppliedChange> {
        if self.needs(after, until) { self.apply_all(now, until, changes) } else { Vec::new() }
    }

    /// Applies changes that lead from the state of the catalog to the one at `until`.
    fn apply_all(
        &mut self,
        now: Instant,
        until: Revision,
        changes: impl IntoIterator<Item = Change>,
    ) -> Vec<AppliedChange> {
        let known = self.revision;
        self.advance(until);
        if until.era() != known.era() {
            self.unchanged_since = until;
        }
        let apply = |change| match change {
            Change::Listed(upstream) if upstream.revision > known => {
                self.set_unchanged_since(upstream.revision);
                let is_applied = self.upsert(now, upstream.clone());
                is_applied.then_some(AppliedChange::Listed(upstream))
            }
            Change::Unlisted(id, revision) if revision > known => {
                self.set_unchanged_since(revision);
                let upstream = self.get(&id).cloned();
                self.remove(now, &id, revision);
                upstream.map(|upstream| AppliedChange::Removed { upstream, revision })
            }
            Change::Listed(_) | Change::Unlisted(..) | Change::Configured(..) => None,
        };
        changes.into_iter().filter_map(apply).collect()
    }

    /// Applies the difference between two states of the list and returns the changes that took
    /// effect. `changes` is the unpacked content of the difference. Without effect if the catalog
    /// has newer changes.
    ///
    /// # Errors
    ///
    /// Fails if the catalog has neither of the two states, so that the difference does not say how
    /// it has to change.
    pub fn apply_difference(
        &mut self,
        now: Instant,
        difference: &ListDifference,
        changes: Vec<Change>,
    ) -> Result<Vec<AppliedChange>, MissingChange> {
        let ListState { revision, digest } = difference.state;
        if revision <= self.revision {
            return Ok(Vec::new());
        }
        let is_same = self.digest == digest;
        if !is_same && self.digest != difference.base {
            return Err(MissingChange { revision });
        }
        self.outages.on_relayed(now, from_ms(difference.recovery_ms));
        let changes = if is_same { Vec::new() } else { changes };
        Ok(self.apply_all(now, revision, changes))
    }

    /// Records the revision up to which all changes are applied, before they are.
    fn advance(&mut self, revision: Revision) {
        self.newest_writes.on_position(revision);
        self.revision = revision;
    }

    fn set_unchanged_since(&mut self, revision: Revision) {
        self.unchanged_since = self.unchanged_since.max(revision);
    }

    /// Adds or replaces an entry. Returns false if a newer revision of the entry is known.
    pub fn upsert(&mut self, now: Instant, upstream: ListedUpstream) -> bool {
        let id = upstream.id.clone();
        let known = self.listed.get(&id);
        if known.is_some_and(|known| known.revision > upstream.revision) {
            return false;
        }
        self.newest_writes.on_listed(now, &upstream, known);
        self.subtract_from_digest(&id);
        self.pending_removals.remove(&id);
        if self.misdirected.get(&id).is_some_and(|revision| *revision < upstream.revision) {
            self.misdirected.remove(&id);
        }
        self.by_short_id.insert(short_upstream_id(&id), id.clone());
        self.digest ^= entry_digest(&upstream);
        self.listed.insert(id, upstream);
        true
    }

    /// Removes an entry. During and shortly after an outage the removal is delayed, unless an earlier
    /// one is in effect and the store came back from a copy since. A removal that is older than the entry
    /// has no effect.
    pub fn remove(&mut self, now: Instant, id: &UpstreamId, revision: Revision) {
        if self.listed.get(id).is_some_and(|known| known.revision > revision) {
            return;
        }
        self.subtract_from_digest(id);
        match self.outages.recovery_until(now) {
            Some(until) if self.get(id).is_some() => {
                self.pending_removals.entry(id.clone()).or_insert(until);
            }
            _ => self.remove_entry(now, id),
        }
    }

    /// Returns the time until a removal takes effect, zero if none is delayed.
    pub fn removal_delay(&self, now: Instant, id: &str) -> Duration {
        let until = self.pending_removals.get(id);
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Applies delayed removals at once that a relay reports which has noticed no outage. They stay
    /// delayed if the store has responded to this instance again after an outage, but not while this
    /// instance alone is cut off from it. Returns the ids.
    pub fn confirm_removals(&mut self, now: Instant, changes: &[Change]) -> Vec<UpstreamId> {
        if self.outages.is_recovering(now) {
            return Vec::new();
        }
        let is_confirmed = |change: &Change| match change {
            Change::Unlisted(id, revision) if self.pending_removals.contains_key(id) => {
                let known = self.listed.get(id);
                known.is_some_and(|known| known.revision < *revision).then(|| id.clone())
            }
            _ => None,
        };
        let confirmed: Vec<_> = changes.iter().filter_map(is_confirmed).collect();
        for id in &confirmed {
            self.remove_entry(now, id);
        }
        confirmed
    }

    /// Returns true if removals are delayed.
    pub fn has_pending_removals(&self) -> bool {
        !self.pending_removals.is_empty()
    }

    /// Replaces all entries by a complete list, as it was at `revision` or later. Entries that are
    /// missing in the list are removed. Returns the differences, or `None` if the catalog has newer
    /// changes, in which case the list has no effect.
    pub fn replace(
        &mut self,
        now: Instant,
        list: Vec<ListedUpstream>,
        revision: Revision,
    ) -> Option<Vec<AppliedChange>> {
        if revision < self.revision {
            return None;
        }
        if revision.era() != self.revision.era() && !self.revision.is_none() {
            self.outages.on_restored(now);
            self.extend_pending_removals(now);
        }
        self.advance(revision);
        // The list does not show when the last entry was removed.
        self.unchanged_since = revision;
        let mut differences = self.remove_missing(now, &list, revision);
        for upstream in list {
            let known = self.listed.get(&upstream.id);
            let is_known = known
                .is_some_and(|known| entry_digest(known) == entry_digest(&upstream))
                && !self.pending_removals.contains_key(&upstream.id);
            if self.upsert(now, upstream.clone()) && !is_known {
                differences.push(AppliedChange::Listed(upstream));
            }
        }
        Some(differences)
    }

    /// Gives upstreams whose removals are delayed the time to write their entries once more.
    fn extend_pending_removals(&mut self, now: Instant) {
        let Some(recovery_until) = self.outages.recovery_until(now) else { return };
        for until in self.pending_removals.values_mut() {
            *until = recovery_until.max(*until);
        }
    }

    /// Removes the entries that are missing in a complete list and returns the removals.
    fn remove_missing(
        &mut self,
        now: Instant,
        list: &[ListedUpstream],
        revision: Revision,
    ) -> Vec<AppliedChange> {
        let ids: RapidHashSet<&UpstreamId> = list.iter().map(|upstream| &upstream.id).collect();
        let is_missing = |upstream: &&ListedUpstream| {
            !ids.contains(&upstream.id)
                && upstream.revision <= revision
                && !self.pending_removals.contains_key(&upstream.id)
        };
        let missing: Vec<_> = self.listed.values().filter(is_missing).cloned().collect();
        let remove = |upstream: ListedUpstream| {
            self.remove(now, &upstream.id, revision);
            AppliedChange::Removed { upstream, revision }
        };
        missing.into_iter().map(remove).collect()
    }

    /// Records that an address of an upstream belongs to another process. The upstream gets no
    /// requests until its entry changes. Without effect if the entry has changed since the request
    /// was sent to that address.
    pub fn set_misdirected(
        &mut self,
        id: &UpstreamId,
        incarnation: Incarnation,
        address: SocketAddr,
    ) {
        let Some(known) = self.get(id) else { return };
        if known.incarnation == incarnation && known.address == address {
            let revision = known.revision;
            self.misdirected.insert(id.clone(), revision);
        }
    }

    /// Returns what upstreams stated in responses about further requests.
    pub fn withdrawals_mut(&mut self) -> &mut Withdrawals {
        &mut self.withdrawals
    }

    /// Applies the delayed removals that are due, and forgets what is no longer needed.
    pub fn expire(&mut self, now: Instant) {
        let due = self.pending_removals.iter().filter(|(_, until)| **until <= now);
        let due: Vec<_> = due.map(|(id, _)| id.clone()).collect();
        for id in due {
            self.remove_entry(now, &id);
        }
        self.newest_writes.expire(now);
        let Self { listed, newest_writes, withdrawals, .. } = self;
        let in_effect = |id: &str| newest_writes.in_effect(listed.get(id)?);
        withdrawals.expire(now, |id| in_effect(id).map(|upstream| upstream.incarnation));
    }

    /// Returns the entry of an upstream that is in effect. It is that of the store unless a newer
    /// write of the upstream is known.
    pub fn get(&self, id: &str) -> Option<&ListedUpstream> {
        self.newest_writes.in_effect(self.listed.get(id)?)
    }

    /// Returns the entry of an upstream as the store holds it.
    pub fn stored(&self, id: &str) -> Option<&ListedUpstream> {
        self.listed.get(id)
    }

    /// Returns true if the store holds an older entry of an upstream than the one in effect.
    pub fn is_superseded(&self, id: &str) -> bool {
        self.newest_writes.is_superseded(id)
    }

    /// Returns the entry of the upstream with a short id.
    pub fn get_by_short_id(&self, id: ShortId) -> Option<&ListedUpstream> {
        self.get(self.by_short_id.get(&id)?)
    }

    /// Returns the upstreams of a service that accept new requests.
    pub fn usable<'a>(
        &'a self,
        now: Instant,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = &'a ListedUpstream> {
        let is_usable = move |upstream: &&ListedUpstream| {
            upstream.service == *service && self.is_usable(now, upstream)
        };
        let in_effect =
            self.listed.values().filter_map(|stored| self.newest_writes.in_effect(stored));
        in_effect.filter(is_usable)
    }

    /// Returns true if an incarnation of an upstream accepts new requests.
    pub fn accepts(&self, now: Instant, id: &str, incarnation: Incarnation) -> bool {
        let upstream = self.get(id).filter(|known| known.incarnation == incarnation);
        upstream.is_some_and(|upstream| self.is_usable(now, upstream))
    }

    fn is_usable(&self, now: Instant, upstream: &ListedUpstream) -> bool {
        let is_removed = self.pending_removals.get(&upstream.id).is_some_and(|until| *until <= now);
        !upstream.leaving
            && !is_removed
            && self.withdrawals.allows(now, &upstream.id, upstream.incarnation)
            && !self.misdirected.contains_key(&upstream.id)
    }

    /// Returns the number of listed upstreams.
    pub fn len(&self) -> usize {
        self.listed.len()
    }

    /// Returns true if no upstream is listed.
    pub fn is_empty(&self) -> bool {
        self.listed.is_empty()
    }

    /// Takes an entry out of the digest before it changes. Without effect if it is not part of it.
    fn subtract_from_digest(&mut self, id: &UpstreamId) {
        let counted = self.listed.get(id).filter(|_| !self.pending_removals.contains_key(id));
        self.digest ^= counted.map_or(0, entry_digest);
    }

    fn remove_entry(&mut self, now: Instant, id: &UpstreamId) {
        if let Some(entry) = self.listed.remove(id) {
            self.newest_writes.on_removed(now, entry);
        }
        self.by_short_id.remove(&short_upstream_id(id));
        self.pending_removals.remove(id);
        self.misdirected.remove(id);
    }
}

/// Returns the digest of an entry. Entries of different eras can have the same revision number and
/// different contents, so it covers what the number does not identify. It does not cover the era,
/// which is that of the reading: an entry that a copy of the store contains is the same in both eras.
/// Nor does it cover the sequence number, which may change without the revision.
fn entry_digest(upstream: &ListedUpstream) -> ListDigest {
    let number = upstream.revision.number().to_le_bytes();
    let incarnation = upstream.incarnation.0.to_le_bytes();
    let bytes = upstream.id.bytes().chain(number).chain(incarnation);
    mix(hash(bytes.chain([u8::from(upstream.leaving)])))
}
