//! What changes of members affect: the digest, the spread of statements, and the generation.

use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::time::Instant;

use cactustrack_types::InstanceId;

use crate::digest::Digest;
use crate::entry::Known;
use crate::identity::MemberEntry;
use crate::membership::Others;

/// Messages that carry a changed entry unasked. Eight messages reach nearly all of 800 members by
/// epidemic spread; the digests repair the rest.
pub(crate) const RUMOR_MESSAGES: u8 = 8;

/// Values derived from all members, kept up to date with each change of one.
#[derive(Clone, Debug)]
pub(crate) struct Changes {
    pub(crate) digest: Digest,
    pub(crate) generation: u64,
    /// Members whose entry goes into messages unasked.
    spreading: BTreeSet<InstanceId>,
}

impl Changes {
    pub(crate) fn new() -> Self {
        Self { digest: Digest::new(), generation: 0, spreading: BTreeSet::new() }
    }

    /// Takes account of a new member.
    pub(crate) fn insert(&mut self, known: &mut Known, messages: u8, now: Instant) {
        self.digest.toggle(&known.entry.identity, known.entry.status);
        self.generation += 1;
        self.spread(known, messages);
        self.evaluate(known, now);
    }

    /// Takes over a statement about a member if it supersedes the known one.
    pub(crate) fn merge(
        &mut self,
        known: &mut Known,
        entry: &MemberEntry,
        messages: u8,
        now: Instant,
    ) {
        match entry.order().cmp(&known.entry.order()) {
            Ordering::Less => {}
            // Another member already has it, so it needs to be spread less.
            Ordering::Equal => self.spread(known, known.rumors_left.saturating_sub(1)),
            Ordering::Greater => {
                self.digest.toggle(&known.entry.identity, known.entry.status);
                known.replace(entry);
                self.insert(known, messages, now);
            }
        }
    }

    /// Sets how many more messages carry the entry unasked.
    pub(crate) fn spread(&mut self, known: &mut Known, messages: u8) {
        let before = std::mem::replace(&mut known.rumors_left, messages);
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

    /// Forgets members that are no longer kept.
    pub(crate) fn retain(&mut self, kept: &Others) {
        self.spreading.retain(|id| kept.contains_key(id));
    }

    /// Derives the state of a member.
    pub(crate) fn evaluate(&mut self, known: &mut Known, now: Instant) {
        let (state, status) = (known.state, known.entry.status);
        if known.evaluate(now) {
            self.digest.toggle(&known.entry.identity, status);
            self.digest.toggle(&known.entry.identity, known.entry.status);
            self.spread(known, RUMOR_MESSAGES);
        }
        if known.state != state {
            self.generation += 1;
        }
    }
}
