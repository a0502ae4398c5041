//! Newer configurations offered by the store and peers, and the choice of the next one to fetch.

use std::time::{Duration, Instant};

use cactustrack_types::Version;

use crate::config_sync::{ConfigHead, ConfigSource};

/// Maximum number of offers that are kept. Those of the highest versions are retained.
const MAX_OFFERS: usize = 16;
/// Delay before a fetch that failed or timed out is retried at the same source.
const RETRY_DELAY: Duration = Duration::from_secs(2);
/// Time for which a configuration that was found unusable is not fetched from the same source.
const REJECTION_PERIOD: Duration = Duration::from_secs(60);
/// Number of rejections of the same configuration after which it is not fetched from any source.
/// A format newer than this build would otherwise be fetched from every instance.
const MAX_REJECTING_SOURCES: usize = 3;

/// A configuration that a source can provide.
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

    fn matches(&self, head: &ConfigHead, origin: &ConfigSource) -> bool {
        self.head == *head && self.origin == *origin
    }
}

#[derive(Debug)]
struct Rejection {
    head: ConfigHead,
    origin: ConfigSource,
    until: Instant,
}

/// Offers of versions newer than the one in force.
#[derive(Debug)]
pub(crate) struct Offers {
    offers: Vec<Offer>,
    rejections: Vec<Rejection>,
    /// Delay before instances other than watchers fetch from the store, so that they get a version
    /// from a peer if possible.
    store_delay: Duration,
}

impl Offers {
    pub(crate) fn new(store_delay: Duration) -> Self {
        Self { offers: Vec::new(), rejections: Vec::new(), store_delay }
    }

    /// Returns an offered head with the given version.
    pub(crate) fn head_of(&self, version: Version) -> Option<&ConfigHead> {
        self.offers.iter().map(|offer| &offer.head).find(|head| head.version == version)
    }

    /// Adds an offer unless it is known or its configuration was rejected. Replaces an earlier
    /// offer of the same source.
    pub(crate) fn add(&mut self, mut offer: Offer, watcher: bool, now: Instant) {
        self.rejections.retain(|rejection| rejection.until > now);
        if self.is_rejected(&offer) {
            return;
        }
        if self.offers.iter().any(|known| known.matches(&offer.head, &offer.origin)) {
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
    /// read it now, else from a peer. If a version has two checksums, the store's prevails, and
    /// without the store the smaller one, so that all instances choose the same.
    pub(crate) fn best(&self, now: Instant) -> Option<&Offer> {
        let available = |offer: &&Offer| offer.not_before.is_none_or(|at| at <= now);
        let version = self.offers.iter().filter(available).map(|offer| offer.head.version).max()?;
        let from_store = self
            .offers
            .iter()
            .find(|offer| offer.head.version == version && offer.origin == ConfigSource::Store);
        self.offers
            .iter()
            .filter(available)
            .filter(|offer| offer.head.version == version)
            .filter(|offer| from_store.is_none_or(|from_store| offer.head == from_store.head))
            .min_by_key(|offer| (&offer.head.checksum, &offer.origin))
    }

    /// Delays the next attempt to fetch an offer.
    pub(crate) fn postpone(&mut self, head: &ConfigHead, origin: &ConfigSource, now: Instant) {
        for offer in self.offers.iter_mut().filter(|offer| offer.matches(head, origin)) {
            offer.not_before = Some(now + RETRY_DELAY);
        }
    }

    /// Records that the content from a source is unusable.
    pub(crate) fn reject(&mut self, head: &ConfigHead, origin: &ConfigSource, now: Instant) {
        let until = now + REJECTION_PERIOD;
        if self.rejections.len() >= MAX_OFFERS {
            self.rejections.remove(0);
        }
        self.rejections.push(Rejection { head: head.clone(), origin: origin.clone(), until });
        let offers = std::mem::take(&mut self.offers);
        self.offers = offers.into_iter().filter(|offer| !self.is_rejected(offer)).collect();
    }

    /// Removes the offers of versions up to the given one.
    pub(crate) fn remove_up_to(&mut self, version: Version) {
        self.offers.retain(|offer| offer.head.version > version);
    }

    fn is_rejected(&self, offer: &Offer) -> bool {
        let same_head = || self.rejections.iter().filter(|rejection| rejection.head == offer.head);
        same_head().count() >= MAX_REJECTING_SOURCES
            || same_head().any(|rejection| rejection.origin == offer.origin)
    }
}
