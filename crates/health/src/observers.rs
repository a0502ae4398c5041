//! Observers of a service and the exclusion of faulty ones.

use std::collections::BTreeMap;

use cactustrack_types::{FailureDomain, InstanceId};

use crate::cusum::MAX_DOMAINS;
use crate::report::Observer;
use crate::upstream::{APPEARS_FAULTY_SHARE, REPORTING_SLOTS, SequentialTests, Upstream};

/// Observers kept for a service. Reports of further ones are discarded.
const MAX_OBSERVERS: usize = 1024;
/// Upstreams that an observer must report on before it can be found faulty.
const MIN_UPSTREAMS: u32 = 3;
/// Slots (5 s) for which most upstreams must appear faulty to an observer alone before it is
/// excluded. Ok counts arrive up to 5 s late. Without this delay, when two upstreams of a small
/// service failed at once, the first observers of the failures were excluded as faulty and nothing
/// was ejected.
const SUSPECTED_SLOTS: u64 = 10;

/// Slots (30 s) for which a faulty observer stays excluded at least.
const MIN_EXCLUDED_SLOTS: u64 = 60;

#[derive(Debug)]
struct Entry {
    observer: Observer,
    /// Slot of the latest report.
    last_report: u64,
    /// Slot since which most upstreams appear faulty to the observer alone.
    suspected_since: Option<u64>,
    /// Slot in which the observer was excluded.
    excluded_at: Option<u64>,
}

/// Result of the registration of an observer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Registration {
    /// Already known, with this index and failure domain index.
    Known(usize, usize),
    /// New, with this index and failure domain index. Evidence under the index must be discarded.
    New(usize, usize),
    /// The report is from an earlier incarnation, or there are too many observers.
    Rejected,
}

/// Observers of one service, with stable indexes.
#[derive(Debug, Default)]
pub(crate) struct Observers {
    entries: Vec<Option<Entry>>,
    by_instance: BTreeMap<InstanceId, usize>,
    domains: Vec<FailureDomain>,
}

impl Observers {
    /// Returns the index of an observer, and assigns one to a new observer.
    pub(crate) fn register(&mut self, now: u64, observer: &Observer) -> Registration {
        let domain = self.domain_index(&observer.failure_domain);
        if let Some(&index) = self.by_instance.get(&observer.instance) {
            let Some(entry) = &mut self.entries[index] else { return Registration::Rejected };
            if observer.incarnation < entry.observer.incarnation {
                return Registration::Rejected;
            }
            entry.last_report = now;
            if *observer == entry.observer {
                return Registration::Known(index, domain);
            }
            *entry = Entry {
                observer: observer.clone(),
                last_report: now,
                suspected_since: None,
                excluded_at: None,
            };
            return Registration::New(index, domain);
        }
        let free = self.entries.iter().position(Option::is_none).unwrap_or(self.entries.len());
        if free >= MAX_OBSERVERS {
            return Registration::Rejected;
        }
        if free == self.entries.len() {
            self.entries.push(None);
        }
        let entry = Entry {
            observer: observer.clone(),
            last_report: now,
            suspected_since: None,
            excluded_at: None,
        };
        self.entries[free] = Some(entry);
        self.by_instance.insert(InstanceId::clone(&observer.instance), free);
        Registration::New(free, domain)
    }

    /// Removes observers without a report for [`REPORTING_SLOTS`] and returns their indexes.
    pub(crate) fn expire(&mut self, now: u64) -> Vec<usize> {
        let mut expired = Vec::new();
        for (index, slot) in self.entries.iter_mut().enumerate() {
            let is_expired =
                |entry: &mut Entry| now.saturating_sub(entry.last_report) >= REPORTING_SLOTS;
            if let Some(entry) = slot.take_if(is_expired) {
                self.by_instance.remove(&entry.observer.instance);
                expired.push(index);
            }
        }
        expired
    }

    /// Returns true if the evidence of the observer with the given index is not used.
    pub(crate) fn is_excluded(&self, index: usize) -> bool {
        self.entries.get(index).and_then(Option::as_ref).is_some_and(|e| e.excluded_at.is_some())
    }

    /// Returns true if the evidence of the observer with the given name is not used.
    pub(crate) fn is_instance_excluded(&self, instance: &str) -> bool {
        self.by_instance.get(instance).is_some_and(|&index| self.is_excluded(index))
    }

    /// Returns the failure domains by index.
    pub(crate) fn domains(&self) -> &[FailureDomain] {
        &self.domains
    }

    /// Updates which observers are excluded, and returns the index and name of each newly excluded
    /// one.
    pub(crate) fn update_excluded<'a>(
        &mut self,
        now: u64,
        upstreams: impl Iterator<Item = &'a Upstream>,
        tests: &SequentialTests,
    ) -> Vec<(usize, InstanceId)> {
        let limit = APPEARS_FAULTY_SHARE * tests.threshold;
        // Number of upstreams that each observer reports on, and of those that appear faulty to it
        // alone.
        let mut views = vec![(0u32, 0u32); self.entries.len()];
        for upstream in upstreams {
            for (index, evidence) in upstream.reporting(now) {
                let Some(view) = views.get_mut(index) else { continue };
                view.0 += 1;
                let faulty = evidence.max_statistic >= limit;
                view.1 += u32::from(faulty && upstream.is_healthy_without(evidence, tests));
            }
        }
        let mut newly_excluded = Vec::new();
        for (index, (entry, (total, faulty))) in self.entries.iter_mut().zip(views).enumerate() {
            let Some(entry) = entry else { continue };
            let is_suspected = total >= MIN_UPSTREAMS && faulty * 2 > total;
            let since = is_suspected.then(|| entry.suspected_since.unwrap_or(now));
            entry.suspected_since = since;
            let is_lasting =
                since.is_some_and(|since| now.saturating_sub(since) >= SUSPECTED_SLOTS);
            match entry.excluded_at {
                None if is_lasting => {
                    entry.excluded_at = Some(now);
                    newly_excluded.push((index, InstanceId::clone(&entry.observer.instance)));
                }
                Some(at) if now.saturating_sub(at) >= MIN_EXCLUDED_SLOTS && faulty * 4 <= total => {
                    entry.excluded_at = None;
                }
                _ => {}
            }
        }
        newly_excluded
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
