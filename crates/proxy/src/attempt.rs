//! An attempt to send a request to an upstream. Its end is reported to the policy exactly once.

use std::rc::Rc;
use std::time::{Duration, Instant};

use cactustrack_observe::{SpanKind, SpanQueue, SpanTimer, TraceContext};
use cactustrack_types::Outcome;

use crate::access_log::{AccessLogEntry, AttemptRecord};
use crate::{Target, TrafficPolicy};

/// Recipients of the events of an attempt.
#[derive(Clone)]
pub(crate) struct AttemptContext {
    pub(crate) policy: Rc<dyn TrafficPolicy>,
    pub(crate) spans: SpanQueue,
    /// Access log entry of the caller's request.
    pub(crate) log_entry: AccessLogEntry,
}

/// An attempt in progress. Dropping it reports it as canceled.
pub(crate) struct Attempt {
    context: AttemptContext,
    target: Target,
    started: Instant,
    /// Time at which the request was last passed to a connection.
    sent: Option<Instant>,
    latency: Option<Duration>,
    /// True while the attempt waits for the response head on a reused connection.
    awaits_head_on_reused: bool,
    is_reused: bool,
    /// `None` once the end of the attempt was reported.
    span: Option<SpanTimer>,
}

impl Attempt {
    /// Starts an attempt and reports the start to the policy.
    pub(crate) fn new(context: AttemptContext, target: Target) -> Self {
        let started = Instant::now();
        context.policy.on_start(started, &target);
        let mut span = SpanTimer::new("attempt", SpanKind::Client, Some(context.log_entry.trace()));
        span.add("cactustrack.upstream", &*target.upstream);
        let (sent, latency, span) = (None, None, Some(span));
        Self {
            context,
            target,
            started,
            sent,
            latency,
            awaits_head_on_reused: false,
            is_reused: false,
            span,
        }
    }

    /// Returns the trace context for the upstream.
    pub(crate) fn trace(&self) -> TraceContext {
        self.span.as_ref().map_or(self.context.log_entry.trace(), SpanTimer::context)
    }

    /// Returns the upstream that the attempt goes to.
    pub(crate) fn target(&self) -> &Target {
        &self.target
    }

    /// Returns true if the upstream may still get the request.
    pub(crate) fn is_accepted(&self) -> bool {
        self.context.policy.accepts(Instant::now(), &self.target)
    }

    /// Records that the request is sent on a connection, and whether that is a reused one.
    pub(crate) fn on_connection(&mut self, reused: bool) {
        self.sent = Some(Instant::now());
        self.awaits_head_on_reused = reused;
        self.is_reused = reused;
    }

    /// Records the head of the response.
    pub(crate) fn on_head(&mut self, headers: &http::HeaderMap) {
        self.awaits_head_on_reused = false;
        let now = Instant::now();
        self.latency = Some(now.duration_since(self.started));
        self.context.policy.on_response_head(now, &self.target, headers);
    }

    /// Ends the attempt for a reason that is not due to the upstream.
    pub(crate) fn abandon(mut self) {
        self.end_span("abandoned", false);
        self.log(None);
        self.context.policy.on_cancel(Instant::now(), &self.target, Duration::ZERO);
    }

    /// Records that the upstream has announced its shutdown.
    pub(crate) fn on_leaving(&self) {
        self.context.policy.on_leaving(Instant::now(), &self.target);
    }

    /// Records that the upstream wants no requests from this instance for the time `wait`.
    pub(crate) fn on_back_off(&self, wait: Duration) {
        self.context.policy.on_back_off(Instant::now(), &self.target, wait);
    }

    /// Records that another process listens at the address of the upstream.
    pub(crate) fn on_misdirected(&self) {
        self.context.policy.on_misdirected(Instant::now(), &self.target);
    }

    /// Records that the upstream shed the request and asked for no retry within `retry_after`.
    pub(crate) fn on_shed(&self, retry_after: Duration) {
        self.context.policy.on_shed(Instant::now(), &self.target, retry_after);
    }

    /// Ends the attempt with an outcome.
    pub(crate) fn finish(mut self, outcome: Outcome) {
        let is_error = outcome != Outcome::Ok;
        self.end_span(&outcome.to_string(), is_error);
        self.log(Some(outcome));
        let policy = &self.context.policy;
        policy.on_finish(Instant::now(), &self.target, outcome, self.latency);
    }

    fn log(&self, outcome: Option<Outcome>) {
        let Self { target, started, sent, is_reused, .. } = self;
        let (started, sent, is_reused) = (*started, *sent, *is_reused);
        let record = AttemptRecord { target, outcome, started, sent, is_reused };
        self.context.log_entry.on_attempt(&record);
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
            self.log(None);
            let now = Instant::now();
            let policy = &self.context.policy;
            let elapsed = now.duration_since(self.started);
            if self.awaits_head_on_reused {
                policy.on_cancel_reused(now, &self.target, elapsed);
            } else {
                // After the response head, the time depends on the caller and on the size of the
                // body.
                let head_arrived = self.latency.is_some();
                let elapsed = if head_arrived { Duration::ZERO } else { elapsed };
                policy.on_cancel(now, &self.target, elapsed);
            }
        }
    }
}
