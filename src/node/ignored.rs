//! Counts of the notices that are ignored. Each of them is an attempt of which this instance does not
//! learn.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use cactustrack_fleet::peers::NoticeError;
use cactustrack_observe::Metrics;
use slog::Logger;

/// Shortest interval between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Counts ignored notices by reason, as a metric and in the log.
pub(super) struct IgnoredNotices {
    metrics: Metrics,
    log: Logger,
    /// Counts since the last log line.
    unlogged: RefCell<BTreeMap<NoticeError, usize>>,
    logged_at: Cell<Option<Instant>>,
}

impl IgnoredNotices {
    /// Creates counts of zero.
    pub(super) fn new(metrics: Metrics, log: Logger) -> Self {
        Self { metrics, log, unlogged: RefCell::default(), logged_at: Cell::new(None) }
    }

    /// Adds ignored notices.
    pub(super) fn add(&self, reason: NoticeError, count: usize) {
        if count == 0 {
            return;
        }
        let label = reason.to_string();
        self.metrics.notices_ignored.with_label_values(&[&label]).inc_by(count as u64);
        *self.unlogged.borrow_mut().entry(reason).or_default() += count;
    }

    /// Logs the counts since the last line, at most once per [`LOG_INTERVAL`].
    pub(super) fn log(&self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < LOG_INTERVAL;
        if self.logged_at.get().is_some_and(is_recent) || self.unlogged.borrow().is_empty() {
            return;
        }
        self.logged_at.set(Some(now));
        let counts = self.unlogged.take();
        let counts: Vec<_> =
            counts.iter().map(|(reason, count)| format!("{reason}={count}")).collect();
        slog::info!(self.log, "members: notices ignored"; "counts" => counts.join(" "));
    }
}
