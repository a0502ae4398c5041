//! Upstreams as they are listed.
//!
//! While the list's keeper is away, entries of live upstreams lapse because their owners cannot
//! renew them. Such an entry comes back shortly after the keeper does, so a removal that falls
//! into that time is carried out only if the entry has not returned by then.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use cactustrack_types::{ServiceId, UpstreamId};

use crate::discovery::{ListedUpstream, Revision};
use crate::message::{ShortId, short_upstream_id};

/// Time after the return of the list's keeper within which lapsed entries are listed again. Live
/// upstreams are back within about two seconds, of which some pass before the return is noticed.
const RELIST_TIME: Duration = Duration::from_millis(1_600);

/// Upstreams that requests may go to, and those that leave.
#[derive(Debug, Default)]
pub struct Catalog {
    listed: HashMap<UpstreamId, ListedUpstream>,
    /// Names of the listed upstreams by their numbers in notices.
    short: HashMap<ShortId, UpstreamId>,
    /// Removals that wait for the entry to return.
    doubtful: HashMap<UpstreamId, Instant>,
    /// Upstreams at whose address another process answered.
    misdirected: HashMap<UpstreamId, u64>,
    outage: Outage,
}

#[derive(Clone, Copy, Debug, Default)]
enum Outage {
    #[default]
    None,
    Ongoing,
    EndedAt(Instant),
}

impl Catalog {
    /// Notes that the keeper of the list does not answer.
    pub fn begin_outage(&mut self) {
        self.outage = Outage::Ongoing;
    }

    /// Notes that the keeper of the list answers.
    pub fn end_outage(&mut self, now: Instant) {
        if matches!(self.outage, Outage::Ongoing) {
            self.outage = Outage::EndedAt(now);
        }
    }

    /// Adds or changes an entry. Returns false if a later one is known.
    pub fn upsert(&mut self, upstream: ListedUpstream) -> bool {
        let id = upstream.id.clone();
        if self.listed.get(&id).is_some_and(|known| known.revision > upstream.revision) {
            return false;
        }
        self.doubtful.remove(&id);
        if self.misdirected.get(&id).is_some_and(|revision| *revision < upstream.revision) {
            self.misdirected.remove(&id);
        }
        self.short.insert(short_upstream_id(&id), id.clone());
        self.listed.insert(id, upstream);
        true
    }

    /// Removes an entry, at once or after the time in which it may return. A removal that is older
    /// than the entry has no effect.
    pub fn remove(&mut self, now: Instant, id: &UpstreamId, revision: Revision) {
        if self.listed.get(id).is_some_and(|known| known.revision > revision) {
            return;
        }
        match self.relist_until(now) {
            Some(until) if self.listed.contains_key(id) => {
                self.doubtful.entry(id.clone()).or_insert(until);
            }
            _ => self.drop_entry(id),
        }
    }

    /// Takes a whole list. Entries that are missing are removed.
    pub fn replace(&mut self, now: Instant, list: Vec<ListedUpstream>) {
        let is_missing = |id: &&UpstreamId| !list.iter().any(|upstream| upstream.id == **id);
        let missing: Vec<_> = self.listed.keys().filter(is_missing).cloned().collect();
        for id in missing {
            self.remove(now, &id, Revision::MAX);
        }
        for upstream in list {
            self.upsert(upstream);
        }
    }

    /// Notes that another process answers at the address of an upstream. It gets no work until its
    /// entry changes.
    pub fn set_misdirected(&mut self, id: &UpstreamId) {
        let revision = self.listed.get(id).map_or(0, |upstream| upstream.revision);
        self.misdirected.insert(id.clone(), revision);
    }

    /// Carries out the removals whose entries have not returned.
    pub fn expire(&mut self, now: Instant) {
        let gone = self.doubtful.iter().filter(|(_, until)| **until <= now);
        let gone: Vec<_> = gone.map(|(id, _)| id.clone()).collect();
        for id in gone {
            self.drop_entry(&id);
        }
    }

    /// Returns an entry.
    pub fn get(&self, id: &str) -> Option<&ListedUpstream> {
        self.listed.get(id)
    }

    /// Returns the entry that a notice names.
    pub fn get_by_short_id(&self, id: ShortId) -> Option<&ListedUpstream> {
        self.listed.get(self.short.get(&id)?)
    }

    /// Upstreams of a service that may get new work.
    pub fn usable<'a>(
        &'a self,
        now: Instant,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = &'a ListedUpstream> {
        let is_usable = move |upstream: &&ListedUpstream| {
            let is_gone = self.doubtful.get(&upstream.id).is_some_and(|until| *until <= now);
            upstream.service == *service
                && !upstream.leaving
                && !is_gone
                && !self.misdirected.contains_key(&upstream.id)
        };
        self.listed.values().filter(is_usable)
    }

    /// Number of listed upstreams.
    pub fn len(&self) -> usize {
        self.listed.len()
    }

    /// Returns true if no upstream is listed.
    pub fn is_empty(&self) -> bool {
        self.listed.is_empty()
    }

    /// Returns true while entries that lapsed in an outage may come back.
    pub fn is_recovering(&self, now: Instant) -> bool {
        self.relist_until(now).is_some()
    }

    fn drop_entry(&mut self, id: &UpstreamId) {
        self.listed.remove(id);
        self.short.remove(&short_upstream_id(id));
        self.doubtful.remove(id);
        self.misdirected.remove(id);
    }

    fn relist_until(&self, now: Instant) -> Option<Instant> {
        match self.outage {
            Outage::None => None,
            Outage::Ongoing => Some(now + RELIST_TIME),
            Outage::EndedAt(at) => Some(at + RELIST_TIME).filter(|until| *until > now),
        }
    }
}
