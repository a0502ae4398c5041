//! Attempts of this instance that have not ended, and detection of those that are overdue.
//!
//! Without this module a hanging upstream would be detected only when its requests are canceled,
//! seconds later, and would get further requests until then. The age of a pending attempt is
//! earlier evidence of the fault.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use cactustrack_types::{ServiceId, UpstreamId};
use rapidhash::RapidHashMap;

#[derive(Clone, Copy, Debug)]
struct Attempt {
    started_at: Instant,
    has_head: bool,
    is_reported: bool,
}

/// An attempt that has waited for a response for longer than usual.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OverdueAttempt {
    /// Service of the upstream.
    pub service: ServiceId,
    /// Upstream that does not respond.
    pub upstream: UpstreamId,
}

/// Attempts of this instance that have not ended, by upstream and in the order of their start.
#[derive(Debug, Default)]
pub struct PendingAttempts {
    attempts: RapidHashMap<UpstreamId, (ServiceId, VecDeque<Attempt>)>,
}

impl PendingAttempts {
    /// Records the start of an attempt.
    pub fn on_start(&mut self, now: Instant, service: &ServiceId, upstream: &UpstreamId) {
        let new_entry = || (service.clone(), VecDeque::new());
        let (_, attempts) = self.attempts.entry(upstream.clone()).or_insert_with(new_entry);
        attempts.push_back(Attempt { started_at: now, has_head: false, is_reported: false });
    }

    /// Records the arrival of a response head. The caller does not know which attempt at the
    /// upstream it belongs to, so it is assigned to the oldest one without a head. The age of a
    /// pending attempt is therefore underestimated rather than overestimated.
    pub fn on_head(&mut self, upstream: &str) {
        let Some((_, attempts)) = self.attempts.get_mut(upstream) else { return };
        if let Some(attempt) = attempts.iter_mut().find(|attempt| !attempt.has_head) {
            attempt.has_head = true;
        }
    }

    /// Records the end of an attempt, with or without a response head. Returns true if the attempt
    /// was reported as overdue.
    pub fn on_end(&mut self, upstream: &str, has_head: bool) -> bool {
        let Some((_, attempts)) = self.attempts.get_mut(upstream) else { return false };
        let position = attempts.iter().position(|attempt| attempt.has_head == has_head);
        let ended = attempts.remove(position.unwrap_or(0));
        if attempts.is_empty() {
            self.attempts.remove(upstream);
        }
        ended.is_some_and(|attempt| attempt.is_reported)
    }

    /// Returns the attempts that have waited for a response for at least the limit of their
    /// service. Each attempt is returned once.
    pub fn take_overdue(
        &mut self,
        now: Instant,
        limit: impl Fn(&ServiceId) -> Duration,
    ) -> Vec<OverdueAttempt> {
        let mut overdue = Vec::new();
        for (upstream, (service, attempts)) in &mut self.attempts {
            let limit = limit(service);
            for attempt in attempts.iter_mut().filter(|a| !a.has_head && !a.is_reported) {
                if now.saturating_duration_since(attempt.started_at) >= limit {
                    attempt.is_reported = true;
                    let (service, upstream) = (service.clone(), upstream.clone());
                    overdue.push(OverdueAttempt { service, upstream });
                }
            }
        }
        overdue
    }
}
