//! One attempt at an upstream, reported to the policy exactly once.

use std::rc::Rc;
use std::time::{Duration, Instant};

use cactustrack_observe::{SpanKind, SpanQueue, SpanTimer, TraceContext};
use cactustrack_types::Outcome;

use crate::access_log::{AccessLogEntry, AttemptRecord};
use crate::{Target, TrafficPolicy};

/// What an attempt reports to.
#[derive(Clone)]
pub(crate) struct AttemptContext {
    pub(crate) policy: Rc<dyn TrafficPolicy>,
    pub(crate) spans: SpanQueue,
    /// Story of the caller's request.
    pub(crate) log_entry: AccessLogEntry,
}

/// An attempt under way. Dropping it reports it as cancelled.
pub(crate) struct Attempt {
    context: AttemptContext,
    target: Target,
    started: Instant,
    latency: Option<Duration>,
    /// True while the attempt waits for the first byte on a connection that was used before.
    awaits_head_on_reused: bool,
    is_reused: bool,
    /// Taken when the attempt is reported.
    span: Option<SpanTimer>,
}

impl Attempt {
    /// Starts an attempt.
    pub(crate) fn new(context: AttemptContext, target: Target) -> Self {
        let started = Instant::now();
        context.policy.on_start(started, &target);
        let mut span = SpanTimer::new("attempt", SpanKind::Client, Some(context.log_entry.trace()));
        span.add("cactustrack.upstream", &*target.upstream);
        let (latency, span) = (None, Some(span));
        Self {
            context,
            target,
            started,
            latency,
            awaits_head_on_reused: false,
            is_reused: false,
            span,
        }
    }

    /// Trace context for the upstream.
    pub(crate) fn trace(&self) -> TraceContext {
        self.span.as_ref().map_or(self.context.log_entry.trace(), SpanTimer::context)
    }

    /// The upstream that the attempt goes to.
    pub(crate) fn target(&self) -> &Target {
        &self.target
    }

    /// Notes that the request goes out on a connection, which may have been used before.
    pub(crate) fn on_connection(&mut self, reused: bool) {
        self.awaits_head_on_reused = reused;
        self.is_reused = reused;
    }

    /// Notes the head of the answer.
    pub(crate) fn on_head(&mut self, headers: &http::HeaderMap) {
        self.awaits_head_on_reused = false;
        let now = Instant::now();
        self.latency = Some(now.duration_since(self.started));
        self.context.policy.on_response_head(now, &self.target, headers);
    }

    /// Gives the attempt up for a reason that says nothing about the upstream.
    pub(crate) fn abandon(mut self) {
        self.end_span("abandoned", false);
        self.tell(None);
        self.context.policy.on_cancel(Instant::now(), &self.target, Duration::ZERO);
    }

    /// Notes that another process listens at the address of the upstream.
    pub(crate) fn on_misdirected(&self) {
        self.context.policy.on_misdirected(Instant::now(), &self.target);
    }

    /// Notes that the upstream shed the request for the indicated time.
    pub(crate) fn on_shed(&self, retry_after: Duration) {
        self.context.policy.on_shed(Instant::now(), &self.target, retry_after);
    }

    /// Reports how the attempt ended.
    pub(crate) fn finish(mut self, outcome: Outcome) {
        let is_error = outcome != Outcome::Ok;
        self.end_span(&outcome.to_string(), is_error);
        self.tell(Some(outcome));
        let policy = &self.context.policy;
        policy.on_finish(Instant::now(), &self.target, outcome, self.latency);
    }

    fn tell(&self, outcome: Option<Outcome>) {
        let (target, started, is_reused) = (&self.target, self.started, self.is_reused);
        let fields = AttemptRecord { target, outcome, started, is_reused };
        self.context.log_entry.on_attempt(&fields);
    }

    fn end_span(&mut self, outcome: &str, is_error: bool) {
        if let Some(mut span) = self.span.take() {
            span.add("cactustrack.outcome", outcome);
            span.finish(is_error, &self.context.spans);
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if self.span.is_some() {
            self.end_span("cancelled", false);
            self.tell(None);
            let now = Instant::now();
            let policy = &self.context.policy;
            let elapsed = now.duration_since(self.started);
            if self.awaits_head_on_reused {
                policy.on_cancel_reused(now, &self.target, elapsed);
            } else {
                // After the head, the time is the caller's or that of the size of the body.
                let head_arrived = self.latency.is_some();
                let elapsed = if head_arrived { Duration::ZERO } else { elapsed };
                policy.on_cancel(now, &self.target, elapsed);
            }
        }
    }
}
