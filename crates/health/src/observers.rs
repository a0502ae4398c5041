//! The observers of a service, by index.

use std::collections::BTreeMap;

use cactustrack_types::{FailureDomain, InstanceId};

use crate::cusum::MAX_DOMAINS;
use crate::report::Observer;
use crate::upstream::{APPEARS_FAULTY, REPORTING_SLOTS, Tests, Upstream};

/// Observers kept for a service. Reports of further ones are dropped.
const MAX_OBSERVERS: usize = 1024;
/// Upstreams that an observer must report on before it can be found sick.
const MIN_UPSTREAMS: u32 = 3;
/// Slots (5 s) for which most upstreams must appear faulty to an observer alone before it is
/// excluded. Ok counts arrive up to 5 s late, so when two upstreams of a small service failed at
/// once, the first observers to see it were excluded as sick and nothing was ejected.
const SUSPECT_SLOTS: u64 = 10;

/// Slots (30 s) for which a sick observer stays excluded at least.
const EXCLUDED_SLOTS: u64 = 60;

#[derive(Debug)]
struct Entry {
    observer: Observer,
    heard: u64,
    /// Slot since which most upstreams appear faulty to the observer alone.
    suspect_since: Option<u64>,
    excluded_at: Option<u64>,
}

/// What became of an observer that reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admitted {
    /// Known with this index and failure domain.
    Known(usize, usize),
    /// New under this index and failure domain; evidence under the index must be dropped.
    Fresh(usize, usize),
    /// The report is from an earlier incarnation, or there are too many observers.
    Rejected,
}

#[derive(Debug, Default)]
pub(crate) struct Observers {
    entries: Vec<Option<Entry>>,
    by_instance: BTreeMap<InstanceId, usize>,
    domains: Vec<FailureDomain>,
}

impl Observers {
    /// Finds the index of an observer, or gives it one.
    pub(crate) fn admit(&mut self, now: u64, observer: &Observer) -> Admitted {
        let domain = self.domain_index(&observer.failure_domain);
        if let Some(&index) = self.by_instance.get(&observer.instance) {
            let Some(entry) = &mut self.entries[index] else { return Admitted::Rejected };
            if observer.incarnation < entry.observer.incarnation {
                return Admitted::Rejected;
            }
            entry.heard = now;
            if *observer == entry.observer {
                return Admitted::Known(index, domain);
            }
            *entry = Entry {
                observer: observer.clone(),
                heard: now,
                suspect_since: None,
                excluded_at: None,
            };
            return Admitted::Fresh(index, domain);
        }
        let free = self.entries.iter().position(Option::is_none).unwrap_or(self.entries.len());
        if free >= MAX_OBSERVERS {
            return Admitted::Rejected;
        }
        if free == self.entries.len() {
            self.entries.push(None);
        }
        let entry = Entry {
            observer: observer.clone(),
            heard: now,
            suspect_since: None,
            excluded_at: None,
        };
        self.entries[free] = Some(entry);
        self.by_instance.insert(InstanceId::clone(&observer.instance), free);
        Admitted::Fresh(free, domain)
    }

    /// Drops observers that were not heard for [`REPORTING_SLOTS`] and returns their indexes.
    pub(crate) fn expire(&mut self, now: u64) -> Vec<usize> {
        let mut expired = Vec::new();
        for (index, slot) in self.entries.iter_mut().enumerate() {
            let late = |entry: &mut Entry| now.saturating_sub(entry.heard) >= REPORTING_SLOTS;
            if let Some(entry) = slot.take_if(late) {
                self.by_instance.remove(&entry.observer.instance);
                expired.push(index);
            }
        }
        expired
    }

    pub(crate) fn is_excluded(&self, index: usize) -> bool {
        self.entries.get(index).and_then(Option::as_ref).is_some_and(|e| e.excluded_at.is_some())
    }

    /// Returns true if the evidence of the named observer is not used.
    pub(crate) fn excludes(&self, instance: &str) -> bool {
        self.by_instance.get(instance).is_some_and(|&index| self.is_excluded(index))
    }

    pub(crate) fn domains(&self) -> &[FailureDomain] {
        &self.domains
    }

    /// Updates which observers are excluded and returns the newly excluded ones with their names.
    pub(crate) fn update_excluded<'a>(
        &mut self,
        now: u64,
        upstreams: impl Iterator<Item = &'a Upstream>,
        tests: &Tests,
    ) -> Vec<(usize, InstanceId)> {
        let limit = APPEARS_FAULTY * tests.threshold;
        // Upstreams that each observer reports on, and those that appear faulty to it alone.
        let mut views = vec![(0u32, 0u32); self.entries.len()];
        for upstream in upstreams {
            for (index, seen) in upstream.reporting(now) {
                let Some(view) = views.get_mut(index) else { continue };
                view.0 += 1;
                let faulty = seen.own_max >= limit;
                view.1 += u32::from(faulty && upstream.is_healthy_without(seen, tests));
            }
        }
        let mut found = Vec::new();
        for (index, (entry, (total, faulty))) in self.entries.iter_mut().zip(views).enumerate() {
            let Some(entry) = entry else { continue };
            let suspect = total >= MIN_UPSTREAMS && faulty * 2 > total;
            let since = suspect.then(|| entry.suspect_since.unwrap_or(now));
            entry.suspect_since = since;
            let lasting = since.is_some_and(|since| now.saturating_sub(since) >= SUSPECT_SLOTS);
            match entry.excluded_at {
                None if lasting => {
                    entry.excluded_at = Some(now);
                    found.push((index, InstanceId::clone(&entry.observer.instance)));
                }
                Some(at) if now.saturating_sub(at) >= EXCLUDED_SLOTS && faulty * 4 <= total => {
                    entry.excluded_at = None;
                }
                _ => {}
            }
        }
        found
    }

    fn domain_index(&mut self, domain: &FailureDomain) -> usize {
        if let Some(index) = self.domains.iter().position(|known| known == domain) {
            return index;
        }
        if self.domains.len() < MAX_DOMAINS {
            self.domains.push(FailureDomain::clone(domain));
        }
        self.domains.len() - 1
    }
}
