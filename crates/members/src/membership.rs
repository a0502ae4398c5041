//! The members of the fleet as one instance knows them.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use cactustrack_types::{Incarnation, InstanceId, Listing, ListingState, Role};
use derive_more::Display;
use rapidhash::fast::SeedableState;

use crate::changes::{Changes, RUMOR_MESSAGES};
use crate::digest::{BUCKET_COUNT, bucket_of};
use crate::entry::Known;
use crate::identity::{Doubt, Heard, Identity, MemberEntry, MemberStatus, MembersDelta};

/// Time without a response after which a member is suspect.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(5);
/// Largest number of members that are kept, live and gone. Twice the planned fleet, to leave room
/// for gone members.
pub const MAX_MEMBERS: usize = 2048;
/// Time for which a gone member is kept. A late statement then does not bring it back, and two
/// regions find each other again after a partition of an hour without the instance list.
const GONE_KEPT: Duration = Duration::from_secs(2 * 3600);
/// Entries in one message. 64 of them take about 6 KB.
const MAX_DELTA_ENTRIES: usize = 64;
/// Doubts in one message, and replies to them.
const MAX_DOUBTS: usize = 16;
/// State of a member as one instance sees it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum MemberState {
    /// Responds, or is believed to.
    #[display("live")]
    Live,
    /// Has not responded for [`SUSPECT_AFTER`].
    #[display("suspect")]
    Suspect,
    /// Is shutting down and must get no new roles.
    #[display("leaving")]
    Leaving,
    /// Does not respond and is not listed.
    #[display("gone")]
    Gone,
}

impl MemberState {
    /// Returns true unless the member is gone.
    pub fn may_respond(self) -> bool {
        self != Self::Gone
    }
}

/// A member as one instance sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberView<'a> {
    /// The member's description of itself, or what the list says about it.
    pub identity: &'a Identity,
    /// Its state.
    pub state: MemberState,
    /// Last direct contact in either direction.
    pub last_heard: Option<Instant>,
    /// Last contact that other members reported.
    pub last_heard_of: Option<Instant>,
    /// True unless the last call from here to the member failed.
    pub reachable: bool,
    /// True if the member has called, unless it reports since then that its calls fail.
    pub heard_from: bool,
}

/// The other members by id. The fixed seed makes runs repeatable; ids come from instances that
/// hold the key, so they are not chosen to collide.
pub(crate) type Others = HashMap<InstanceId, Known, SeedableState<'static>>;

/// The members of the fleet, combined from the instance list, direct contacts and the statements
/// of other members.
#[derive(Clone, Debug)]
pub struct Membership {
    own: MemberEntry,
    superseded_by: Option<Incarnation>,
    others: Others,
    changes: Changes,
    refused: u64,
    /// Bucket from which the next list of differing entries starts.
    cursor: usize,
}

impl Membership {
    /// Creates the view of an instance that knows only itself.
    pub fn new(own: Identity) -> Self {
        let mut changes = Changes::new();
        changes.digest.toggle(&own, MemberStatus::Live);
        Self {
            own: MemberEntry { identity: own, status: MemberStatus::Live },
            superseded_by: None,
            others: Others::with_hasher(SeedableState::fixed()),
            changes,
            refused: 0,
            cursor: 0,
        }
    }

    /// Returns the description that this instance gives of itself.
    pub fn own(&self) -> &Identity {
        &self.own.identity
    }

    /// Returns the incarnation of a later life of this instance, if one is known. This process is
    /// then no longer a member.
    pub fn superseded_by(&self) -> Option<Incarnation> {
        self.superseded_by
    }

    /// Grows whenever a member appears, changes its state or is replaced.
    pub fn generation(&self) -> u64 {
        self.changes.generation
    }

    /// Returns how many statements about unknown members were ignored because of [`MAX_MEMBERS`].
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Returns one member, including this instance.
    pub fn member(&self, id: &str) -> Option<MemberView<'_>> {
        if *id == *self.own.identity.id {
            return Some(self.own_view());
        }
        self.others.get(id).map(Known::view)
    }

    /// Returns all members including this instance, gone ones as long as they are kept.
    pub fn members(&self) -> impl Iterator<Item = MemberView<'_>> {
        std::iter::once(self.own_view()).chain(self.others.values().map(Known::view))
    }

    /// Sets the address that this instance announces, once its listener is bound.
    pub fn set_address(&mut self, address: std::net::SocketAddr) {
        self.own.identity.address = address;
    }

    /// Declares that this instance is shutting down.
    pub fn set_leaving(&mut self) {
        if !self.own.identity.leaving {
            self.own.identity.leaving = true;
            self.raise_own_seq(self.own.identity.seq + 1);
            self.changes.generation += 1;
        }
    }

    /// Takes over the platform's instance list, which may be older than what is known.
    pub fn update_list(&mut self, list: &[Listing], now: Instant) {
        let instances = || list.iter().filter(|listing| listing.role == Role::Instance);
        let ids: std::collections::HashSet<&str> =
            instances().map(|listing| &*listing.id).collect();
        for (id, known) in &mut self.others {
            if !ids.contains(&**id) {
                known.listed = None;
            }
        }
        for listing in instances() {
            self.merge(&listed_entry(listing), false, now);
            if let Some(known) = self.others.get_mut(&listing.id) {
                let current = listing.incarnation == known.entry.identity.incarnation;
                known.listed = Some(if current { listing.state } else { ListingState::Live });
            }
        }
        self.evaluate(now);
    }

    /// Records that a member called this instance.
    pub fn heard(&mut self, from: &Identity, now: Instant) {
        self.merge(&live_entry(from), true, now);
        if let Some(known) = self.current(from) {
            known.correct(from);
            known.record_contact(now);
            known.heard_from = true;
        }
        self.evaluate_one(&from.id, now);
    }

    /// Records that a call to the member `called` was answered by `by`, which may be a different
    /// instance that took over the address.
    pub fn answered(&mut self, called: &str, by: &Identity, now: Instant) {
        self.merge(&live_entry(by), true, now);
        if let Some(known) = self.current(by) {
            known.correct(by);
            known.record_answer(now);
        }
        self.evaluate_one(&by.id, now);
        if *called != *by.id
            && let Some(known) = self.others.get(called)
        {
            let incarnation = known.entry.identity.incarnation;
            self.record_call_failure(called, incarnation, now);
        }
    }

    /// Records that a call to the given life of a member failed.
    pub fn record_call_failure(&mut self, id: &str, incarnation: Incarnation, now: Instant) {
        if let Some(known) = self.others.get_mut(id)
            && known.entry.identity.incarnation == incarnation
        {
            known.record_failure(now);
            self.evaluate_one(id, now);
        }
    }

    /// Re-evaluates states that depend on time and forgets members that are gone for long.
    pub fn tick(&mut self, now: Instant) {
        self.evaluate(now);
        let before = self.others.len();
        self.others.retain(|_, known| {
            known.listed.is_some()
                || known.gone_at.is_none_or(|at| now.saturating_duration_since(at) < GONE_KEPT)
        });
        self.changes.retain(&self.others);
        if self.others.len() != before {
            self.changes.generation += 1;
        }
    }

    /// Returns the members' part of a sync request to a member.
    pub fn sync_request(&mut self, partner: &str) -> MembersDelta {
        let unreachable = self.others.get(partner).is_some_and(|known| !known.reachable);
        MembersDelta {
            root: self.changes.digest.root(),
            entries: self.take_rumors(partner),
            doubts: self.doubts(partner),
            unreachable,
            ..MembersDelta::default()
        }
    }

    /// Takes over the members' part of a sync request and returns that of the reply.
    pub fn on_sync_request(
        &mut self,
        from: &Identity,
        delta: &MembersDelta,
        now: Instant,
    ) -> MembersDelta {
        self.heard(from, now);
        self.merge_delta(delta, now);
        let root = self.changes.digest.root();
        let mut reply = MembersDelta {
            root,
            heard: self.heard_replies(&delta.doubts, now),
            unreachable: self.others.get(&from.id).is_some_and(|known| !known.reachable),
            ..MembersDelta::default()
        };
        let asks_for_entries = !delta.buckets.is_empty();
        if root != delta.root && asks_for_entries {
            reply.entries = self.differing_entries(&delta.buckets);
        } else {
            reply.entries = self.take_rumors(&from.id);
            if root != delta.root {
                reply.buckets = self.changes.digest.buckets().to_vec();
            }
        }
        self.add_statement_about(from, &mut reply);
        reply
    }

    /// Takes over the members' part of a sync reply. Returns the members' part of a further
    /// request to the same member if the two views still differ.
    pub fn on_sync_reply(
        &mut self,
        called: &str,
        from: &Identity,
        delta: &MembersDelta,
        now: Instant,
    ) -> Option<MembersDelta> {
        self.answered(called, from, now);
        self.merge_delta(delta, now);
        if let Some(known) = self.current(from)
            && delta.unreachable
        {
            known.heard_from = false;
        }
        if delta.buckets.is_empty() {
            return None;
        }
        let root = self.changes.digest.root();
        if root == delta.root || self.changes.is_spreading() {
            // While changes are still spreading, most differences resolve without further calls.
            return None;
        }
        let entries = self.differing_entries(&delta.buckets);
        let buckets = self.changes.digest.buckets().to_vec();
        Some(MembersDelta { root, buckets, entries, ..MembersDelta::default() })
    }

    pub(crate) fn others(&self) -> impl Iterator<Item = &Known> {
        self.others.values()
    }

    fn own_view(&self) -> MemberView<'_> {
        let leaving = self.own.identity.leaving;
        MemberView {
            identity: &self.own.identity,
            state: if leaving { MemberState::Leaving } else { MemberState::Live },
            last_heard: None,
            last_heard_of: None,
            reachable: true,
            heard_from: true,
        }
    }

    /// Returns the known member if it is in the life that `identity` describes.
    fn current(&mut self, identity: &Identity) -> Option<&mut Known> {
        let known = self.others.get_mut(&identity.id)?;
        (known.entry.identity.incarnation == identity.incarnation).then_some(known)
    }

    fn merge_delta(&mut self, delta: &MembersDelta, now: Instant) {
        for entry in delta.entries.iter().take(MAX_DELTA_ENTRIES) {
            self.merge(entry, true, now);
        }
        for heard in delta.heard.iter().take(MAX_DOUBTS) {
            self.merge_heard(heard, now);
        }
        for doubt in delta.doubts.iter().take(MAX_DOUBTS) {
            if let Some(known) = self.others.get_mut(&doubt.id)
                && known.entry.identity.incarnation == doubt.incarnation
            {
                known.request_attempt(now);
            }
        }
    }

    fn merge_heard(&mut self, heard: &Heard, now: Instant) {
        let age = Duration::from_millis(u64::from(heard.age_ms));
        let Some(at) = now.checked_sub(age) else { return };
        if let Some(known) = self.others.get_mut(&heard.id)
            && known.entry.identity.incarnation == heard.incarnation
        {
            known.heard_of = known.heard_of.max(Some(at));
            self.evaluate_one(&heard.id, now);
        }
    }

    fn merge(&mut self, entry: &MemberEntry, spread: bool, now: Instant) {
        let id = &entry.identity.id;
        if *id == self.own.identity.id {
            return self.merge_own(entry);
        }
        let messages = if spread { RUMOR_MESSAGES } else { 0 };
        if let Some(known) = self.others.get_mut(id) {
            self.changes.merge(known, entry, messages, now);
        } else if entry.status != MemberStatus::Gone && self.make_room() {
            let known = self.others.entry(id.clone()).or_insert_with(|| Known::new(entry.clone()));
            self.changes.insert(known, messages, now);
        }
    }

    /// Returns false if no further member can be kept.
    fn make_room(&mut self) -> bool {
        let room = self.others.len() < MAX_MEMBERS || self.evict_gone();
        self.refused += u64::from(!room);
        room
    }

    fn evict_gone(&mut self) -> bool {
        let oldest = self
            .others
            .iter()
            .filter_map(|(id, known)| known.gone_at.map(|at| (at, id.clone())))
            .min();
        oldest.is_some_and(|(_, id)| self.others.remove(&id).is_some())
    }

    /// Contradicts statements that this instance does not respond or is in another state.
    fn merge_own(&mut self, entry: &MemberEntry) {
        let own = &self.own.identity;
        if entry.identity.incarnation > own.incarnation {
            self.superseded_by = self.superseded_by.max(Some(entry.identity.incarnation));
        } else if entry.identity.incarnation == own.incarnation
            && (entry.identity.seq, entry.status) > (own.seq, MemberStatus::Live)
        {
            self.raise_own_seq(entry.identity.seq.saturating_add(1));
        }
    }

    fn raise_own_seq(&mut self, seq: u32) {
        self.changes.digest.toggle(&self.own.identity, self.own.status);
        self.own.identity.seq = seq;
        self.changes.digest.toggle(&self.own.identity, self.own.status);
    }

    fn evaluate(&mut self, now: Instant) {
        for known in self.others.values_mut() {
            self.changes.evaluate(known, now);
        }
    }

    fn evaluate_one(&mut self, id: &str, now: Instant) {
        if let Some(known) = self.others.get_mut(id) {
            self.changes.evaluate(known, now);
        }
    }

    fn entries(&self) -> impl Iterator<Item = &MemberEntry> {
        std::iter::once(&self.own).chain(self.others.values().map(|known| &known.entry))
    }

    /// Returns changed entries that are still spreading and counts the message. Changes that have
    /// been sent least often go first.
    fn take_rumors(&mut self, partner: &str) -> Vec<MemberEntry> {
        let left = |id: &InstanceId| self.others.get(id).map_or(0, |known| known.rumors_left);
        let mut ids: Vec<(u8, InstanceId)> =
            self.changes.spreading().map(|id| (left(id), id.clone())).collect();
        ids.retain(|(_, id)| **id != *partner);
        ids.sort_by_key(|(left, _)| std::cmp::Reverse(*left));
        let mut entries = Vec::new();
        for (left, id) in ids.into_iter().take(MAX_DELTA_ENTRIES) {
            if let Some(known) = self.others.get_mut(&id) {
                self.changes.spread(known, left.saturating_sub(1));
                entries.push(known.entry.clone());
            }
        }
        entries
    }

    /// Returns entries of the buckets that differ from those of another instance. Further calls
    /// continue with the next buckets.
    fn differing_entries(&mut self, theirs: &[u32]) -> Vec<MemberEntry> {
        let (start, own) = (self.cursor, self.changes.digest.buckets());
        let differs = |bucket: usize| own.get(bucket) != theirs.get(bucket);
        let mut ordered: Vec<(usize, &MemberEntry)> = self
            .entries()
            .map(|entry| (bucket_of(&entry.identity.id), entry))
            .filter(|(bucket, _)| differs(*bucket))
            .map(|(bucket, entry)| ((bucket + BUCKET_COUNT - start) % BUCKET_COUNT, entry))
            .collect();
        ordered.sort_by_key(|(distance, _)| *distance);
        ordered.truncate(MAX_DELTA_ENTRIES);
        let advance = ordered.last().map_or(0, |(distance, _)| *distance);
        let entries = ordered.into_iter().map(|(_, entry)| entry.clone()).collect();
        self.cursor = (start + advance) % BUCKET_COUNT;
        entries
    }

    fn doubts(&self, partner: &str) -> Vec<Doubt> {
        self.others
            .values()
            .filter(|known| !known.reachable && known.state == MemberState::Live)
            .map(|known| &known.entry.identity)
            .filter(|identity| *identity.id != *partner)
            .map(|identity| Doubt { id: identity.id.clone(), incarnation: identity.incarnation })
            .take(MAX_DOUBTS)
            .collect()
    }

    fn heard_replies(&self, doubts: &[Doubt], now: Instant) -> Vec<Heard> {
        let reply = |doubt: &Doubt| {
            let known = self.others.get(&doubt.id)?;
            let current = known.entry.identity.incarnation == doubt.incarnation;
            let age = now.saturating_duration_since(known.heard.filter(|_| current)?);
            let age_ms = u32::try_from(age.as_millis()).ok()?;
            Some(Heard { id: doubt.id.clone(), incarnation: doubt.incarnation, age_ms })
        };
        doubts.iter().take(MAX_DOUBTS).filter_map(reply).collect()
    }

    /// Tells a member what is stated about it, so that it can contradict, and a former life that
    /// it was replaced.
    fn add_statement_about(&self, member: &Identity, reply: &mut MembersDelta) {
        let Some(known) = self.others.get(&member.id) else { return };
        let entry = &known.entry;
        let replaced = entry.identity.incarnation > member.incarnation;
        if entry.status != MemberStatus::Live || replaced {
            reply.entries.retain(|other| other.identity.id != member.id);
            // First, because receivers ignore entries beyond the bound.
            reply.entries.insert(0, entry.clone());
            reply.entries.truncate(MAX_DELTA_ENTRIES);
        }
    }
}

fn live_entry(identity: &Identity) -> MemberEntry {
    MemberEntry { identity: identity.clone(), status: MemberStatus::Live }
}

fn listed_entry(listing: &Listing) -> MemberEntry {
    live_entry(&Identity {
        id: listing.id.clone(),
        incarnation: listing.incarnation,
        seq: 0,
        leaving: false,
        address: listing.address,
        failure_domain: listing.failure_domain.clone(),
        region: listing.region.clone(),
    })
}
