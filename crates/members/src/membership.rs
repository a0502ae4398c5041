//! The view that one instance has of the members of the fleet.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use cactustrack_types::{Incarnation, InstanceId, Listing, ListingState, Role};
use derive_more::Display;
use rapidhash::fast::SeedableState;

use crate::derived::{DerivedState, PIGGYBACK_MESSAGES};
use crate::digest::{BUCKET_COUNT, bucket_of};
use crate::identity::{Doubt, Heard, Identity, MemberEntry, MemberStatus, MembersDelta};
use crate::known_member::KnownMember;

/// Time without a response after which a member is suspect.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(5);
/// Maximum number of members that are kept, gone ones included. Twice the size of the planned
/// fleet, to leave room for gone members.
pub const MAX_MEMBERS: usize = 2048;
/// Time for which a gone member is kept. A late statement then does not add it again, and two
/// regions rediscover each other after a partition of an hour without the instance list.
const GONE_RETENTION: Duration = Duration::from_secs(2 * 3600);
/// Maximum number of entries in one message. 64 entries take about 6 KB.
const MAX_DELTA_ENTRIES: usize = 64;
/// Maximum number of doubts in one message, and of replies to doubts.
const MAX_DOUBTS: usize = 16;

/// State of a member as one instance sees it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum MemberState {
    /// The member responds, or is assumed to.
    #[display("live")]
    Live,
    /// The member has not responded for [`SUSPECT_AFTER`].
    #[display("suspect")]
    Suspect,
    /// The member is shutting down and must not be assigned roles.
    #[display("leaving")]
    Leaving,
    /// The member does not respond and is not listed.
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
    /// Identity as sent by the member itself, or as derived from the instance list.
    pub identity: &'a Identity,
    /// State of the member.
    pub state: MemberState,
    /// Last direct contact in either direction.
    pub last_contact: Option<Instant>,
    /// Last contact that other members reported.
    pub last_reported_contact: Option<Instant>,
    /// True unless the last call of this instance to the member failed.
    pub reachable: bool,
    /// True if the member has called this instance and has not reported since then that its calls
    /// fail.
    pub heard_from: bool,
}

/// The other members by id. The fixed hash seed makes runs reproducible. Ids come from instances
/// that hold the peer key, so hash collisions by an attacker are not a concern.
pub(crate) type OtherMembers = HashMap<InstanceId, KnownMember, SeedableState<'static>>;

/// The members of the fleet, derived from the instance list, direct contacts and the statements of
/// other members.
#[derive(Clone, Debug)]
pub struct Membership {
    own: MemberEntry,
    superseded_by: Option<Incarnation>,
    others: OtherMembers,
    derived: DerivedState,
    dropped_entries: u64,
    /// Bucket at which the next list of differing entries starts.
    bucket_cursor: usize,
}

impl Membership {
    /// Creates the view of an instance that knows no other member.
    pub fn new(own: Identity) -> Self {
        let mut derived = DerivedState::new();
        derived.digest.toggle(&own, MemberStatus::Live);
        Self {
            own: MemberEntry { identity: own, status: MemberStatus::Live },
            superseded_by: None,
            others: OtherMembers::with_hasher(SeedableState::fixed()),
            derived,
            dropped_entries: 0,
            bucket_cursor: 0,
        }
    }

    /// Returns the identity of this instance.
    pub fn own(&self) -> &Identity {
        &self.own.identity
    }

    /// Returns the highest later incarnation of this instance that is known, if there is one. This
    /// process is then no longer a member.
    pub fn superseded_by(&self) -> Option<Incarnation> {
        self.superseded_by
    }

    /// Returns a number that grows when a member is added or removed, changes its state, or has its
    /// entry replaced.
    pub fn generation(&self) -> u64 {
        self.derived.generation
    }

    /// Returns the number of statements about unknown members that were ignored because of
    /// [`MAX_MEMBERS`].
    pub fn dropped_entries(&self) -> u64 {
        self.dropped_entries
    }

    /// Returns one member, including this instance.
    pub fn member(&self, id: &str) -> Option<MemberView<'_>> {
        if *id == *self.own.identity.id {
            return Some(self.own_view());
        }
        self.others.get(id).map(KnownMember::view)
    }

    /// Returns all members, including this instance and the gone members that are still kept.
    pub fn members(&self) -> impl Iterator<Item = MemberView<'_>> {
        std::iter::once(self.own_view()).chain(self.others.values().map(KnownMember::view))
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
            self.derived.generation += 1;
        }
    }

    /// Merges the platform's instance list, which may be older than what is known.
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
                let same_incarnation = listing.incarnation == known.entry.identity.incarnation;
                known.listed =
                    Some(if same_incarnation { listing.state } else { ListingState::Live });
            }
        }
        self.evaluate(now);
    }

    /// Records that a member contacted this instance.
    pub fn record_contact(&mut self, from: &Identity, now: Instant) {
        self.merge(&live_entry(from), true, now);
        if let Some(known) = self.find_incarnation(from) {
            known.update_identity(from);
            known.record_contact(now);
            known.heard_from = true;
        }
        self.evaluate_one(&from.id, now);
    }

    /// Records that `by` responded to a call to the member `called`. `by` may be a different
    /// instance that took over the address, in which case the call to `called` counts as failed.
    pub fn record_response(&mut self, called: &str, by: &Identity, now: Instant) {
        self.merge(&live_entry(by), true, now);
        if let Some(known) = self.find_incarnation(by) {
            known.update_identity(by);
            known.record_response(now);
        }
        self.evaluate_one(&by.id, now);
        if *called != *by.id
            && let Some(known) = self.others.get(called)
        {
            let incarnation = known.entry.identity.incarnation;
            self.record_call_failure(called, incarnation, now);
        }
    }

    /// Records that a call to the given incarnation of a member failed.
    pub fn record_call_failure(&mut self, id: &str, incarnation: Incarnation, now: Instant) {
        if let Some(known) = self.others.get_mut(id)
            && known.entry.identity.incarnation == incarnation
        {
            known.record_failure(now);
            self.evaluate_one(id, now);
        }
    }

    /// Re-evaluates states that depend on time and removes members that have been gone for two
    /// hours and are not listed.
    pub fn tick(&mut self, now: Instant) {
        self.evaluate(now);
        let before = self.others.len();
        self.others.retain(|_, known| {
            known.listed.is_some()
                || known
                    .gone_since
                    .is_none_or(|at| now.saturating_duration_since(at) < GONE_RETENTION)
        });
        self.derived.retain(&self.others);
        if self.others.len() != before {
            self.derived.generation += 1;
        }
    }

    /// Returns the membership part of a sync request to a member.
    pub fn sync_request(&mut self, partner: &str) -> MembersDelta {
        let unreachable = self.others.get(partner).is_some_and(|known| !known.reachable);
        MembersDelta {
            root: self.derived.digest.root(),
            entries: self.take_piggyback_entries(partner),
            doubts: self.doubts(partner),
            unreachable,
            ..MembersDelta::default()
        }
    }

    /// Merges the membership part of a sync request and returns that of the reply.
    pub fn on_sync_request(
        &mut self,
        from: &Identity,
        delta: &MembersDelta,
        now: Instant,
    ) -> MembersDelta {
        self.record_contact(from, now);
        self.merge_delta(delta, now);
        let root = self.derived.digest.root();
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
            reply.entries = self.take_piggyback_entries(&from.id);
            if root != delta.root {
                reply.buckets = self.derived.digest.buckets().to_vec();
            }
        }
        self.add_statement_about(from, &mut reply);
        reply
    }

    /// Merges the membership part of a sync reply. Returns the membership part of a further request
    /// to the same member if the two views still differ.
    pub fn on_sync_reply(
        &mut self,
        called: &str,
        from: &Identity,
        delta: &MembersDelta,
        now: Instant,
    ) -> Option<MembersDelta> {
        self.record_response(called, from, now);
        self.merge_delta(delta, now);
        if let Some(known) = self.find_incarnation(from)
            && delta.unreachable
        {
            known.heard_from = false;
        }
        if delta.buckets.is_empty() {
            return None;
        }
        let root = self.derived.digest.root();
        if root == delta.root || self.derived.is_spreading() {
            // While changes are still spreading, most differences are resolved without further
            // calls.
            return None;
        }
        let entries = self.differing_entries(&delta.buckets);
        let buckets = self.derived.digest.buckets().to_vec();
        Some(MembersDelta { root, buckets, entries, ..MembersDelta::default() })
    }

    pub(crate) fn others(&self) -> impl Iterator<Item = &KnownMember> {
        self.others.values()
    }

    fn own_view(&self) -> MemberView<'_> {
        let leaving = self.own.identity.leaving;
        MemberView {
            identity: &self.own.identity,
            state: if leaving { MemberState::Leaving } else { MemberState::Live },
            last_contact: None,
            last_reported_contact: None,
            reachable: true,
            heard_from: true,
        }
    }

    /// Returns the known member if its incarnation is that of `identity`.
    fn find_incarnation(&mut self, identity: &Identity) -> Option<&mut KnownMember> {
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
                known.request_probe(now);
            }
        }
    }

    fn merge_heard(&mut self, heard: &Heard, now: Instant) {
        let age = Duration::from_millis(u64::from(heard.age_ms));
        let Some(at) = now.checked_sub(age) else { return };
        if let Some(known) = self.others.get_mut(&heard.id)
            && known.entry.identity.incarnation == heard.incarnation
        {
            known.last_reported_contact = known.last_reported_contact.max(Some(at));
            self.evaluate_one(&heard.id, now);
        }
    }

    fn merge(&mut self, entry: &MemberEntry, spread: bool, now: Instant) {
        let id = &entry.identity.id;
        if *id == self.own.identity.id {
            return self.merge_own(entry);
        }
        let messages = if spread { PIGGYBACK_MESSAGES } else { 0 };
        if let Some(known) = self.others.get_mut(id) {
            self.derived.merge(known, entry, messages, now);
        } else if entry.status != MemberStatus::Gone && self.make_room() {
            let known =
                self.others.entry(id.clone()).or_insert_with(|| KnownMember::new(entry.clone()));
            self.derived.insert(known, messages, now);
        }
    }

    /// Evicts the member that has been gone longest if the view is full. Returns false if no
    /// further member can be kept.
    fn make_room(&mut self) -> bool {
        let room = self.others.len() < MAX_MEMBERS || self.evict_gone();
        self.dropped_entries += u64::from(!room);
        room
    }

    fn evict_gone(&mut self) -> bool {
        let oldest = self
            .others
            .iter()
            .filter_map(|(id, known)| known.gone_since.map(|at| (at, id.clone())))
            .min();
        oldest.is_some_and(|(_, id)| self.others.remove(&id).is_some())
    }

    /// Records a later incarnation of this instance. Refutes statements that this instance does not
    /// respond, or that have a higher sequence number than its own.
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
        self.derived.digest.toggle(&self.own.identity, self.own.status);
        self.own.identity.seq = seq;
        self.derived.digest.toggle(&self.own.identity, self.own.status);
    }

    fn evaluate(&mut self, now: Instant) {
        for known in self.others.values_mut() {
            self.derived.evaluate(known, now);
        }
    }

    fn evaluate_one(&mut self, id: &str, now: Instant) {
        if let Some(known) = self.others.get_mut(id) {
            self.derived.evaluate(known, now);
        }
    }

    fn entries(&self) -> impl Iterator<Item = &MemberEntry> {
        std::iter::once(&self.own).chain(self.others.values().map(|known| &known.entry))
    }

    /// Returns changed entries to piggyback on a message and counts the message. Entries that
    /// have been sent least often come first.
    fn take_piggyback_entries(&mut self, partner: &str) -> Vec<MemberEntry> {
        let left = |id: &InstanceId| self.others.get(id).map_or(0, |known| known.messages_left);
        let mut ids: Vec<(u8, InstanceId)> =
            self.derived.spreading().map(|id| (left(id), id.clone())).collect();
        ids.retain(|(_, id)| **id != *partner);
        ids.sort_by_key(|(left, _)| std::cmp::Reverse(*left));
        let mut entries = Vec::new();
        for (left, id) in ids.into_iter().take(MAX_DELTA_ENTRIES) {
            if let Some(known) = self.others.get_mut(&id) {
                self.derived.set_messages_left(known, left.saturating_sub(1));
                entries.push(known.entry.clone());
            }
        }
        entries
    }

    /// Returns entries of the buckets that differ from those of another instance, up to the bound
    /// of a message. Further calls continue with the next buckets.
    fn differing_entries(&mut self, theirs: &[u32]) -> Vec<MemberEntry> {
        let (start, own) = (self.bucket_cursor, self.derived.digest.buckets());
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
        self.bucket_cursor = (start + advance) % BUCKET_COUNT;
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
            let same_incarnation = known.entry.identity.incarnation == doubt.incarnation;
            let age =
                now.saturating_duration_since(known.last_contact.filter(|_| same_incarnation)?);
            let age_ms = u32::try_from(age.as_millis()).ok()?;
            Some(Heard { id: doubt.id.clone(), incarnation: doubt.incarnation, age_ms })
        };
        doubts.iter().take(MAX_DOUBTS).filter_map(reply).collect()
    }

    /// Adds the entry of the member that the reply goes to, if its status is not live, so that the
    /// member can refute it, or if a later incarnation is known, so that the member learns that it
    /// was replaced.
    fn add_statement_about(&self, member: &Identity, reply: &mut MembersDelta) {
        let Some(known) = self.others.get(&member.id) else { return };
        let entry = &known.entry;
        let replaced = entry.identity.incarnation > member.incarnation;
        if entry.status != MemberStatus::Live || replaced {
            reply.entries.retain(|other| other.identity.id != member.id);
            // Inserted at the front, because receivers ignore entries beyond the bound.
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
