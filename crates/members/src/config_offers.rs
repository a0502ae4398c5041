//! Newer configurations that the store and peers have, and which of them to fetch next.

use std::time::{Duration, Instant};

use cactustrack_types::Version;

use crate::config_sync::{ConfigHead, ConfigSource};

/// Offers that are kept. Those of the highest version are kept first.
const MAX_OFFERS: usize = 16;
/// Time before a source whose answer was lost is asked again.
const RETRY_AFTER: Duration = Duration::from_secs(2);
/// Time for which a configuration that was found damaged is not fetched from the same source.
const REJECTED_FOR: Duration = Duration::from_secs(60);
/// Number of sources with the same damaged content after which other sources are not asked
/// either. A format newer than this build would otherwise be fetched from every instance.
const MAX_REJECTING_SOURCES: usize = 3;

/// A configuration that a source has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Offer {
    pub(crate) head: ConfigHead,
    pub(crate) origin: ConfigSource,
    not_before: Option<Instant>,
}

impl Offer {
    pub(crate) fn new(head: ConfigHead, origin: ConfigSource) -> Self {
        Self { head, origin, not_before: None }
    }

    fn is_from(&self, head: &ConfigHead, origin: &ConfigSource) -> bool {
        self.head == *head && self.origin == *origin
    }
}

#[derive(Debug)]
struct Rejected {
    head: ConfigHead,
    origin: ConfigSource,
    until: Instant,
}

/// Known offers of versions that are newer than the one in force.
#[derive(Debug)]
pub(crate) struct Offers {
    offers: Vec<Offer>,
    rejected: Vec<Rejected>,
    /// Time that instances other than watchers give peers to get a version from the store first.
    store_delay: Duration,
}

impl Offers {
    pub(crate) fn new(store_delay: Duration) -> Self {
        Self { offers: Vec::new(), rejected: Vec::new(), store_delay }
    }

    /// Returns a known head with the given version.
    pub(crate) fn head_of(&self, version: Version) -> Option<&ConfigHead> {
        self.offers.iter().map(|offer| &offer.head).find(|head| head.version == version)
    }

    pub(crate) fn add(&mut self, mut offer: Offer, watcher: bool, now: Instant) {
        self.rejected.retain(|rejected| rejected.until > now);
        if self.is_rejected(&offer) {
            return;
        }
        if self.offers.iter().any(|known| known.is_from(&offer.head, &offer.origin)) {
            return;
        }
        if offer.origin == ConfigSource::Store && !watcher {
            offer.not_before = Some(now + self.store_delay);
        }
        // A source has one configuration at a time.
        self.offers.retain(|known| known.origin != offer.origin);
        self.offers.push(offer);
        self.offers.sort_by_key(|offer| std::cmp::Reverse(offer.head.version));
        self.offers.truncate(MAX_OFFERS);
    }

    /// Returns the offer to fetch now: the highest version, from the store if this instance may
    /// ask it, else from a peer. Between two checksums under one version, the store decides, and
    /// without the store the smaller checksum, so that instances choose alike.
    pub(crate) fn best(&self, now: Instant) -> Option<&Offer> {
        let usable = |offer: &&Offer| offer.not_before.is_none_or(|at| at <= now);
        let version = self.offers.iter().filter(usable).map(|offer| offer.head.version).max()?;
        let stored = self
            .offers
            .iter()
            .find(|offer| offer.head.version == version && offer.origin == ConfigSource::Store);
        self.offers
            .iter()
            .filter(usable)
            .filter(|offer| offer.head.version == version)
            .filter(|offer| stored.is_none_or(|stored| offer.head == stored.head))
            .min_by_key(|offer| (&offer.head.checksum, &offer.origin))
    }

    /// Delays the next attempt to fetch an offer.
    pub(crate) fn postpone(&mut self, head: &ConfigHead, origin: &ConfigSource, now: Instant) {
        for offer in self.offers.iter_mut().filter(|offer| offer.is_from(head, origin)) {
            offer.not_before = Some(now + RETRY_AFTER);
        }
    }

    /// Records that the content from a source is damaged.
    pub(crate) fn reject(&mut self, head: &ConfigHead, origin: &ConfigSource, now: Instant) {
        let until = now + REJECTED_FOR;
        if self.rejected.len() >= MAX_OFFERS {
            self.rejected.remove(0);
        }
        self.rejected.push(Rejected { head: head.clone(), origin: origin.clone(), until });
        let offers = std::mem::take(&mut self.offers);
        self.offers = offers.into_iter().filter(|offer| !self.is_rejected(offer)).collect();
    }

    /// Forgets offers that are no newer than the version in force.
    pub(crate) fn remove_up_to(&mut self, version: Version) {
        self.offers.retain(|offer| offer.head.version > version);
    }

    fn is_rejected(&self, offer: &Offer) -> bool {
        let same_head = || self.rejected.iter().filter(|rejected| rejected.head == offer.head);
        same_head().count() >= MAX_REJECTING_SOURCES
            || same_head().any(|rejected| rejected.origin == offer.origin)
    }
}
