//! Evidence of one instance that is accumulated between reports.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use cactustrack_types::{Counts, Incarnation, Outcome, UpstreamId};

use crate::report::ReportEntry;

/// Interval of the exchanges with a collector.
pub const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time for which evidence without a bad outcome is held back before it is reported.
pub const MAX_OK_DELAY: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct PendingCounts {
    incarnation: Incarnation,
    counts: Counts,
    since: Instant,
}

impl PendingCounts {
    fn is_due(&self, now: Instant) -> bool {
        let bad = self.counts.failures() > 0 || self.counts.slow > 0;
        bad || now.saturating_duration_since(self.since) >= MAX_OK_DELAY
    }
}

/// Counts of outcomes by upstream that were not reported yet.
///
/// Memory is bounded by the number of upstreams, because each report removes the counts that are
/// due.
#[derive(Debug, Default)]
pub struct PendingEvidence {
    pending: BTreeMap<UpstreamId, PendingCounts>,
}

impl PendingEvidence {
    /// Creates an empty accumulator.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts one outcome. Outcomes of an older incarnation than the latest one are discarded, and
    /// the first outcome of a newer incarnation discards the pending counts of the older one.
    pub fn record(
        &mut self,
        now: Instant,
        upstream: &UpstreamId,
        incarnation: Incarnation,
        outcome: Outcome,
    ) {
        if !self.pending.contains_key(upstream) {
            let pending = PendingCounts { incarnation, counts: Counts::default(), since: now };
            self.pending.insert(UpstreamId::clone(upstream), pending);
        }
        let Some(pending) = self.pending.get_mut(upstream) else { return };
        if incarnation < pending.incarnation {
            return;
        }
        if incarnation > pending.incarnation {
            *pending = PendingCounts { incarnation, counts: Counts::default(), since: now };
        }
        pending.counts.record(outcome);
    }

    /// Removes and returns the counts that are due: all counts of upstreams with a bad outcome, and
    /// counts without one that are [`MAX_OK_DELAY`] old. Called once per [`EXCHANGE_INTERVAL`].
    pub fn take_report(&mut self, now: Instant) -> Vec<ReportEntry> {
        let mut entries = Vec::new();
        self.pending.retain(|upstream, pending| {
            let due = pending.is_due(now);
            if due {
                entries.push((UpstreamId::clone(upstream), pending.incarnation, pending.counts));
            }
            !due
        });
        entries
    }
}
