//! Attempts of this instance that wait for an answer for longer than usual.
//!
//! An upstream that hangs shows nothing until the requests it holds are given up, seconds later,
//! and meanwhile gets more. The age of a request that still waits is evidence before that.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use cactustrack_types::{ServiceId, UpstreamId};

#[derive(Clone, Copy, Debug)]
struct Attempt {
    since: Instant,
    has_head: bool,
    is_told: bool,
}

/// An attempt that waits for longer than usual.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Overdue {
    /// Service of the upstream.
    pub service: ServiceId,
    /// The upstream that does not answer.
    pub upstream: UpstreamId,
}

/// Attempts of this instance that have not ended, by upstream in the order of their start.
#[derive(Debug, Default)]
pub struct Waiting {
    attempts: HashMap<UpstreamId, (ServiceId, VecDeque<Attempt>)>,
}

impl Waiting {
    /// Notes that an attempt starts.
    pub fn on_start(&mut self, now: Instant, service: &ServiceId, upstream: &UpstreamId) {
        let fresh = || (service.clone(), VecDeque::new());
        let (_, attempts) = self.attempts.entry(upstream.clone()).or_insert_with(fresh);
        attempts.push_back(Attempt { since: now, has_head: false, is_told: false });
    }

    /// Notes the head of an answer. Which attempt at the upstream it answers is not known, so it is
    /// taken for the oldest one, and an attempt rather counts as younger than it is.
    pub fn on_head(&mut self, upstream: &str) {
        let Some((_, attempts)) = self.attempts.get_mut(upstream) else { return };
        if let Some(attempt) = attempts.iter_mut().find(|attempt| !attempt.has_head) {
            attempt.has_head = true;
        }
    }

    /// Notes the end of an attempt, after the head of an answer or without one. Returns true if it
    /// was reported as overdue.
    pub fn on_end(&mut self, upstream: &str, has_head: bool) -> bool {
        let Some((_, attempts)) = self.attempts.get_mut(upstream) else { return false };
        let position = attempts.iter().position(|attempt| attempt.has_head == has_head);
        let ended = attempts.remove(position.unwrap_or(0));
        if attempts.is_empty() {
            self.attempts.remove(upstream);
        }
        ended.is_some_and(|attempt| attempt.is_told)
    }

    /// Attempts that have waited for an answer for longer than `limit` allows at their service.
    /// Each is returned once.
    pub fn take_overdue(
        &mut self,
        now: Instant,
        limit: impl Fn(&ServiceId) -> Duration,
    ) -> Vec<Overdue> {
        let mut overdue = Vec::new();
        for (upstream, (service, attempts)) in &mut self.attempts {
            let limit = limit(service);
            for attempt in attempts.iter_mut().filter(|a| !a.has_head && !a.is_told) {
                if now.saturating_duration_since(attempt.since) >= limit {
                    attempt.is_told = true;
                    let (service, upstream) = (service.clone(), upstream.clone());
                    overdue.push(Overdue { service, upstream });
                }
            }
        }
        overdue
    }
}
