//! Incarnation, suspicion and last use of each upstream.
//!
//! A selection needs these for every upstream of a service. They are kept in one record, so that it
//! takes one look-up for each upstream.

use std::time::Instant;

use cactustrack_types::{Incarnation, UpstreamId};
use rapidhash::RapidHashMap;

use crate::suspicion::{Suspicion, long_run_mean};

/// What is known of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UpstreamRecord {
    incarnation: Option<Incarnation>,
    /// Suspicion from the observations of all instances.
    pub(crate) fleet_suspicion: Option<Suspicion>,
    /// Suspicion from the observations of this instance only. Its link to an upstream can be
    /// faulty while other instances reach the upstream.
    pub(crate) own_suspicion: Option<Suspicion>,
    /// Time of the last attempt of any instance.
    pub(crate) last_used: Option<Instant>,
}

impl UpstreamRecord {
    /// Returns the probability that the upstream is faulty, according to the observations of the
    /// whole fleet and according to those of this instance.
    pub(crate) fn fault_probability(&self, now: Instant) -> (f64, f64) {
        let of = |suspicion: &Option<Suspicion>| {
            suspicion.as_ref().map_or_else(long_run_mean, |known| known.probability(now))
        };
        (of(&self.fleet_suspicion), of(&self.own_suspicion))
    }

    /// Returns the time of the last notice about the upstream that reported the start of an attempt
    /// or an observation.
    pub(crate) fn last_notice(&self) -> Option<Instant> {
        self.last_used.max(self.fleet_suspicion.map(|suspicion| suspicion.updated_at()))
    }
}

/// Records of all upstreams.
#[derive(Debug, Default)]
pub(crate) struct UpstreamRecords {
    records: RapidHashMap<UpstreamId, UpstreamRecord>,
}

impl UpstreamRecords {
    /// Returns the record of an upstream, an empty one if nothing is known of it.
    pub(crate) fn get(&self, upstream: &str) -> UpstreamRecord {
        self.records.get(upstream).copied().unwrap_or_default()
    }

    /// Returns the record of an upstream, which is created if it does not exist.
    pub(crate) fn get_mut(&mut self, upstream: &UpstreamId) -> &mut UpstreamRecord {
        self.records.entry(upstream.clone()).or_default()
    }

    /// Sets the incarnation of an upstream and removes the suspicion of an earlier one. Returns true
    /// if another incarnation was known.
    pub(crate) fn set_incarnation(
        &mut self,
        upstream: &UpstreamId,
        incarnation: Incarnation,
    ) -> bool {
        let record = self.get_mut(upstream);
        let known = record.incarnation.replace(incarnation);
        let is_other = known.is_some_and(|known| known != incarnation);
        if is_other {
            record.fleet_suspicion = None;
            record.own_suspicion = None;
        }
        is_other
    }

    /// Removes the record of an upstream.
    pub(crate) fn remove(&mut self, upstream: &str) {
        self.records.remove(upstream);
    }
}
