//! State derived from the member entries: the digest, the entries that are still being spread,
//! and the generation.

use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::time::Instant;

use cactustrack_types::InstanceId;

use crate::digest::Digest;
use crate::identity::MemberEntry;
use crate::known_member::KnownMember;
use crate::membership::OtherMembers;

/// Number of messages on which a changed entry is piggybacked. Eight messages reach nearly all of
/// 800 members by epidemic spread; the comparison of digests repairs the rest.
pub(crate) const PIGGYBACK_MESSAGES: u8 = 8;

/// Values derived from all member entries, updated incrementally on each change.
#[derive(Clone, Debug)]
pub(crate) struct DerivedState {
    pub(crate) digest: Digest,
    pub(crate) generation: u64,
    /// Members whose entries are piggybacked on messages.
    spreading: BTreeSet<InstanceId>,
}

impl DerivedState {
    pub(crate) fn new() -> Self {
        Self { digest: Digest::new(), generation: 0, spreading: BTreeSet::new() }
    }

    /// Accounts for a new entry.
    pub(crate) fn insert(&mut self, known: &mut KnownMember, messages: u8, now: Instant) {
        self.digest.toggle(&known.entry.identity, known.entry.status);
        self.generation += 1;
        self.set_messages_left(known, messages);
        self.evaluate(known, now);
    }

    /// Applies a statement about a member if it supersedes the known one.
    pub(crate) fn merge(
        &mut self,
        known: &mut KnownMember,
        entry: &MemberEntry,
        messages: u8,
        now: Instant,
    ) {
        match entry.order().cmp(&known.entry.order()) {
            Ordering::Less => {}
            // Another member already has the entry, so it needs to be sent less often.
            Ordering::Equal => self.set_messages_left(known, known.messages_left.saturating_sub(1)),
            Ordering::Greater => {
                self.digest.toggle(&known.entry.identity, known.entry.status);
                known.replace(entry);
                self.insert(known, messages, now);
            }
        }
    }

    /// Sets the number of further messages on which the entry is piggybacked.
    pub(crate) fn set_messages_left(&mut self, known: &mut KnownMember, messages: u8) {
        let before = std::mem::replace(&mut known.messages_left, messages);
        if before > 0 && messages == 0 {
            self.spreading.remove(&known.entry.identity.id);
        } else if before == 0 && messages > 0 {
            self.spreading.insert(known.entry.identity.id.clone());
        }
    }

    pub(crate) fn is_spreading(&self) -> bool {
        !self.spreading.is_empty()
    }

    pub(crate) fn spreading(&self) -> impl Iterator<Item = &InstanceId> {
        self.spreading.iter()
    }

    /// Removes members that are not in `kept`.
    pub(crate) fn retain(&mut self, kept: &OtherMembers) {
        self.spreading.retain(|id| kept.contains_key(id));
    }

    /// Re-evaluates a member and updates the derived values if its status or state changed.
    pub(crate) fn evaluate(&mut self, known: &mut KnownMember, now: Instant) {
        let (state, status) = (known.state, known.entry.status);
        if known.evaluate(now) {
            self.digest.toggle(&known.entry.identity, status);
            self.digest.toggle(&known.entry.identity, known.entry.status);
            self.set_messages_left(known, PIGGYBACK_MESSAGES);
        }
        if known.state != state {
            self.generation += 1;
        }
    }
}
