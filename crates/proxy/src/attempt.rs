//! One attempt at an upstream, reported to the policy exactly once.

use std::rc::Rc;
use std::time::{Duration, Instant};

use cactustrack_types::Outcome;

use crate::{Target, TrafficPolicy};

/// An attempt under way. Dropping it reports it as cancelled.
pub(crate) struct Attempt {
    policy: Rc<dyn TrafficPolicy>,
    target: Target,
    started: Instant,
    latency: Option<Duration>,
    reported: bool,
}

impl Attempt {
    /// Starts an attempt.
    pub(crate) fn new(policy: Rc<dyn TrafficPolicy>, target: Target) -> Self {
        let started = Instant::now();
        policy.on_start(started, &target);
        Self { policy, target, started, latency: None, reported: false }
    }

    /// The upstream that the attempt goes to.
    pub(crate) fn target(&self) -> &Target {
        &self.target
    }

    /// Notes the head of the answer.
    pub(crate) fn on_head(&mut self, headers: &http::HeaderMap) {
        let now = Instant::now();
        self.latency = Some(now.duration_since(self.started));
        self.policy.on_response_head(now, &self.target, headers);
    }

    /// Gives the attempt up for a reason that says nothing about the upstream.
    pub(crate) fn abandon(mut self) {
        self.reported = true;
        self.policy.on_cancel(Instant::now(), &self.target, Duration::ZERO);
    }

    /// Reports how the attempt ended.
    pub(crate) fn finish(mut self, outcome: Outcome) {
        self.reported = true;
        self.policy.on_finish(Instant::now(), &self.target, outcome, self.latency);
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if !self.reported {
            let now = Instant::now();
            self.policy.on_cancel(now, &self.target, now.duration_since(self.started));
        }
    }
}
