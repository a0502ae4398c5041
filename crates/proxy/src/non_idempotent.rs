//! Requests that must be executed at most once.
//!
//! The state machine in `cactustrack_routing::idempotency` decides what follows each event. This
//! module executes its decisions.

use std::rc::Rc;
use std::time::{Duration, Instant};

use cactustrack_routing::idempotency::{
    AtMostOnceRequest, ClaimResult, Event, NextAction, RecordAction, Step,
};
use cactustrack_store::{Claim, ClaimOutcome, RecordState};
use cactustrack_types::{Execution, Outcome, UpstreamId};
use futures::channel::oneshot;
use http::{Response, StatusCode};

use crate::access_log::AccessLogEntry;
use crate::exchange::{Cause, Failure, Reuse, UpstreamResponse, exchange, time_until};
use crate::handler::{Proxy, respond_without_resume};
use crate::reject::{Rejection, RejectionReason};
use crate::relay::discard;
use crate::request::UpstreamRequest;
use crate::retryable::{ExtraAttemptRequest, rejection_for, retry_after};
use crate::{ExtraAttempt, ResponseBody, RoutedRequest, Target};

/// Sends the request in a task of its own, so that its outcome is recorded even if the caller
/// disconnects first.
pub(crate) async fn run(
    proxy: Rc<Proxy>,
    routed: RoutedRequest,
    upstream_request: UpstreamRequest,
    claim: Option<Claim>,
    log_entry: AccessLogEntry,
) -> Result<Response<ResponseBody>, Rejection> {
    let (tx, rx) = oneshot::channel();
    let running = proxy.start_task();
    let request = NonIdempotentRequest::new(proxy, routed, upstream_request, claim, log_entry);
    let task = async move {
        let _running = running;
        let _ = tx.send(request.run().await);
    };
    compio::runtime::spawn(task).detach();
    rx.await.unwrap_or_else(|_| Err(rejection_for(Cause::Broken, Execution::Unknown)))
}

/// A non-idempotent request and the state of its attempts.
struct NonIdempotentRequest {
    proxy: Rc<Proxy>,
    routed: RoutedRequest,
    upstream_request: UpstreamRequest,
    claim: Option<Claim>,
    log_entry: AccessLogEntry,
    tried: Vec<UpstreamId>,
    /// Number of attempts of which a byte may have reached an upstream.
    sent_attempts: u32,
    /// The response to be forwarded.
    response: Option<UpstreamResponse>,
    /// Rejection for the last failed attempt, returned if no further one succeeds.
    last_rejection: Option<Rejection>,
}

impl NonIdempotentRequest {
    fn new(
        proxy: Rc<Proxy>,
        routed: RoutedRequest,
        upstream_request: UpstreamRequest,
        claim: Option<Claim>,
        log_entry: AccessLogEntry,
    ) -> Self {
        let tried = Vec::new();
        Self {
            proxy,
            routed,
            upstream_request,
            claim,
            log_entry,
            tried,
            sent_attempts: 0,
            response: None,
            last_rejection: None,
        }
    }

    async fn run(mut self) -> Result<Response<ResponseBody>, Rejection> {
        let (mut state, mut step) = AtMostOnceRequest::new(self.claim.is_some());
        loop {
            self.apply_record_action(step.record);
            step = match step.next {
                NextAction::Claim => {
                    let event = self.claim_record().await;
                    state.on(event)
                }
                NextAction::Connect | NextAction::TryAnother => self.send(&mut state).await,
                NextAction::Forward => return self.forward(),
                NextAction::Reject { status, execution, recorded } => {
                    return Err(self.reject(status, execution, recorded));
                }
                // These steps wait for events that `send` has already reported.
                NextAction::Dispatch
                | NextAction::Wait
                | NextAction::Ignore
                | NextAction::Abort => {
                    return Err(rejection_for(Cause::Broken, Execution::Unknown));
                }
            };
        }
    }

    fn apply_record_action(&self, action: RecordAction) {
        let Some(claim) = &self.claim else { return };
        match action {
            RecordAction::None => {}
            RecordAction::Release => self.proxy.records().release(claim),
            RecordAction::Complete(status) => self.proxy.records().complete(claim, status),
        }
    }

    async fn claim_record(&mut self) -> Event {
        let Some(claim) = &self.claim else { return Event::Claim(ClaimResult::Granted) };
        let claiming = self.proxy.records().claim(claim);
        let claimed = compio::time::timeout(time_until(self.routed.deadline), claiming).await;
        let outcome = match claimed {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(error)) => {
                self.log_record_unavailable(&error.reason);
                return Event::Claim(ClaimResult::RecordError);
            }
            Err(_) => {
                self.log_record_unavailable("no response from the store before the deadline");
                return Event::DeadlinePassed;
            }
        };
        Event::Claim(match outcome {
            ClaimOutcome::Granted => ClaimResult::Granted,
            ClaimOutcome::Held(RecordState::Running) => ClaimResult::HeldRunning,
            ClaimOutcome::Held(RecordState::Completed { status }) => {
                ClaimResult::HeldCompleted(status)
            }
            ClaimOutcome::Mismatch => ClaimResult::Mismatch,
        })
    }

    /// Logs why the idempotency record could not be claimed. The reason is not sent to the caller,
    /// since it exposes internals of the fleet.
    fn log_record_unavailable(&self, reason: &str) {
        if let Some(suppressed) = self.proxy.log_allowed("record unavailable") {
            slog::warn!(self.proxy.log(), "proxy: idempotency record cannot be written";
                "service" => &*self.routed.service, "reason" => reason, "left_out" => suppressed);
        }
    }

    /// Makes one attempt with [`Reuse::Recent`] and reports its events.
    async fn send(&mut self, state: &mut AtMostOnceRequest) -> Step {
        let target = match self.next_target().await {
            Ok(target) => target,
            Err(rejection) => {
                self.last_rejection = Some(rejection);
                return state.on(Event::NoUpstream);
            }
        };
        self.tried.push(target.upstream.clone());
        let attempts = &self.proxy.metrics().attempts;
        attempts.with_label_values(&[&*self.routed.service, "first"]).inc();
        let Some(req) = self.upstream_request.build() else {
            return state.on(Event::ConnectFailed { another: false });
        };
        let context = self.proxy.attempt_context(self.log_entry.clone());
        let deadline = self.routed.deadline;
        match exchange(&self.proxy, context, target, req, Reuse::Recent, deadline).await {
            Err(Failure { sent: false, cause }) => state.on(self.on_unsent(cause)),
            Err(Failure { sent: true, cause }) => {
                self.sent_attempts += 1;
                self.last_rejection = Some(self.rejection(cause));
                let passed = cause == Cause::TimedOut;
                let event = if passed { Event::DeadlinePassed } else { Event::Broken };
                report_dispatched(state, event)
            }
            Ok(response) => {
                self.sent_attempts += 1;
                let event = self.on_response(response).await;
                report_dispatched(state, event)
            }
        }
    }

    /// Confirms the admission and chooses an upstream that was not tried.
    async fn next_target(&self) -> Result<Target, Rejection> {
        let policy = self.proxy.policy();
        policy.confirm_admission(&self.routed).await?;
        policy.pick(Instant::now(), &self.routed, &self.tried)
    }

    /// Returns the event for an attempt of which no byte was sent.
    fn on_unsent(&mut self, cause: Cause) -> Event {
        self.last_rejection = Some(rejection_for(cause, Execution::NotRun));
        if time_until(self.routed.deadline).is_zero() {
            return Event::DeadlinePassed;
        }
        // A body that was partly streamed cannot be sent to another upstream.
        let another = cause != Cause::OutOfConnections && self.upstream_request.can_send();
        Event::ConnectFailed { another }
    }

    fn rejection(&self, cause: Cause) -> Rejection {
        if self.upstream_request.has_upload_failed() {
            let detail = "the request body was not completed";
            let status = StatusCode::BAD_REQUEST;
            return Rejection::new(RejectionReason::Malformed, status, Execution::Unknown, detail);
        }
        rejection_for(cause, Execution::Unknown)
    }

    async fn on_response(&mut self, mut response: UpstreamResponse) -> Event {
        let status = response.head.status.as_u16();
        if response.is_shed() {
            let (wait, is_not_run) = (retry_after(&response), response.is_not_run());
            discard(response, Outcome::Shed).await;
            if !is_not_run {
                self.last_rejection = Some(rejection_for(Cause::Broken, Execution::Unknown));
                return Event::Broken;
            }
            let policy = self.proxy.policy();
            let wait = policy.retry_after_shed(Instant::now(), &self.routed, wait);
            self.last_rejection = Some(upstream_busy(wait));
            return if self.may_try_another().await {
                Event::Declined
            } else {
                Event::Shed { status }
            };
        }
        if !response.is_forwardable() {
            discard(response, Outcome::Failed).await;
            self.last_rejection = Some(rejection_for(Cause::Broken, Execution::Unknown));
            return Event::Broken;
        }
        if response.is_failure() {
            response.outcome = Outcome::Failed;
        }
        self.response = Some(response);
        Event::ResponseHead { status }
    }

    /// Returns true if a request that was shed may be sent to another upstream.
    async fn may_try_another(&self) -> bool {
        let is_limit_reached =
            self.routed.max_attempts.is_some_and(|max| self.sent_attempts >= max);
        if is_limit_reached
            || time_until(self.routed.deadline).is_zero()
            || !self.upstream_request.can_send()
        {
            return false;
        }
        let request = ExtraAttemptRequest {
            proxy: Rc::clone(&self.proxy),
            routed: self.routed.clone(),
            log_entry: self.log_entry.clone(),
        };
        request.is_allowed(ExtraAttempt::Declined).await
    }

    fn forward(self) -> Result<Response<ResponseBody>, Rejection> {
        self.count("completed");
        let Some(response) = self.response else {
            return Err(rejection_for(Cause::Broken, Execution::Unknown));
        };
        if response.is_close_delimited() && !self.proxy.dialect().accepts_close_delimited() {
            response.attempt.finish(Outcome::Failed);
            return Err(rejection_for(Cause::Broken, Execution::Unknown));
        }
        Ok(respond_without_resume(&self.proxy, response, self.routed.deadline))
    }

    fn reject(&self, status: u16, execution: Execution, recorded: Option<u16>) -> Rejection {
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
        let mut rejection = match (&self.last_rejection, status, execution) {
            (Some(rejection), ..) => rejection.clone(),
            (None, status, execution) => rejection_before_dispatch(status, execution),
        };
        rejection.execution = execution;
        rejection.recorded_status = recorded;
        match rejection.reason {
            // The earlier request was counted under its own outcome.
            RejectionReason::InProgress | RejectionReason::AlreadyCompleted => self.count("repeat"),
            _ => self.count(&execution.to_string()),
        }
        if execution == Execution::Unknown && !self.tried.is_empty() {
            // Not rate limited, since each line is about a different request with an unknown
            // outcome.
            slog::warn!(self.proxy.log(), "proxy: outcome of a non-idempotent request is unknown";
                "service" => &*self.routed.service, "reason" => %rejection.reason,
                "claim" => self.claim.as_ref().map_or("none", |claim| &claim.claim_id));
        }
        rejection
    }

    fn count(&self, result: &str) {
        let counter = &self.proxy.metrics().non_idempotent;
        counter.with_label_values(&[&*self.routed.service, result]).inc();
    }
}

/// Reports that the request was sent, and then `event`.
fn report_dispatched(state: &mut AtMostOnceRequest, event: Event) -> Step {
    state.on(Event::Connected);
    state.on(Event::WriteStarted);
    state.on(event)
}

fn upstream_busy(wait: Duration) -> Rejection {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let rejection =
        Rejection::not_run(RejectionReason::UpstreamBusy, status, "the upstream is busy");
    rejection.with_retry_after(wait)
}

/// Returns the rejection of a request that ended before it was sent to an upstream.
fn rejection_before_dispatch(status: StatusCode, execution: Execution) -> Rejection {
    let (reason, detail) = match (status, execution) {
        (StatusCode::CONFLICT, Execution::Completed) => (
            RejectionReason::AlreadyCompleted,
            "an earlier request with this idempotency key was run; this one was not",
        ),
        (StatusCode::CONFLICT, _) => (
            RejectionReason::InProgress,
            "an earlier request with this idempotency key may still be running",
        ),
        (StatusCode::UNPROCESSABLE_ENTITY, _) => {
            (RejectionReason::KeyReused, "the idempotency key belongs to another request")
        }
        (StatusCode::GATEWAY_TIMEOUT, _) => {
            (RejectionReason::DeadlineExceeded, "the deadline passed before the request was sent")
        }
        _ => (
            RejectionReason::RecordUnavailable,
            "repeats cannot be recognised at the moment, so the request was not run",
        ),
    };
    Rejection::new(reason, status, execution, detail)
}
