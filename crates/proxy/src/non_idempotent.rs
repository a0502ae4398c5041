//! Requests that must run at most once.
//!
//! What to do after each event is decided by `cactustrack_routing::idempotency`; this module
//! carries it out.

use std::rc::Rc;
use std::time::{Duration, Instant};

use cactustrack_routing::idempotency::{Attempt, ClaimResult, Event, Next, RecordAction, Step};
use cactustrack_store::{Claim, ClaimOutcome, RecordState};
use cactustrack_types::{Execution, Outcome, UpstreamId};
use futures::channel::oneshot;
use http::{Response, StatusCode};

use crate::exchange::{Answer, Cause, Failure, Reuse, exchange, until};
use crate::handler::{Proxy, respond_plain};
use crate::reject::{Rejection, RejectionReason};
use crate::relay::discard;
use crate::repeatable::{rejection_for, retry_after};
use crate::request::Outgoing;
use crate::story::Story;
use crate::{ExtraAttempt, ResponseBody, RoutedRequest};

/// Runs the request in a task of its own, so that its outcome is recorded even if the caller
/// leaves while it runs.
pub(crate) async fn run(
    proxy: Rc<Proxy>,
    routed: RoutedRequest,
    out: Outgoing,
    claim: Option<Claim>,
    story: Story,
) -> Result<Response<ResponseBody>, Rejection> {
    let (tx, rx) = oneshot::channel();
    let running = proxy.start_task();
    let request = NonIdempotent::new(proxy, routed, out, claim, story);
    let task = async move {
        let _running = running;
        let _ = tx.send(request.run().await);
    };
    compio::runtime::spawn(task).detach();
    rx.await.unwrap_or_else(|_| Err(rejection_for(Cause::Broken, Execution::Unknown)))
}

/// A non-idempotent request and what was tried for it.
struct NonIdempotent {
    proxy: Rc<Proxy>,
    routed: RoutedRequest,
    out: Outgoing,
    claim: Option<Claim>,
    story: Story,
    tried: Vec<UpstreamId>,
    /// The answer to be forwarded.
    answer: Option<Answer>,
    /// What the last event was, for the caller.
    cause: Option<Rejection>,
}

impl NonIdempotent {
    fn new(
        proxy: Rc<Proxy>,
        routed: RoutedRequest,
        out: Outgoing,
        claim: Option<Claim>,
        story: Story,
    ) -> Self {
        let tried = Vec::new();
        Self { proxy, routed, out, claim, story, tried, answer: None, cause: None }
    }

    async fn run(mut self) -> Result<Response<ResponseBody>, Rejection> {
        let (mut attempt, mut step) = Attempt::new(self.claim.is_some());
        loop {
            self.act_on_record(step.record);
            step = match step.next {
                Next::Claim => {
                    let event = self.record_claim().await;
                    attempt.on(event)
                }
                Next::Connect | Next::TryAnother => self.send(&mut attempt).await,
                Next::Forward => return self.forward(),
                Next::Reject { status, execution, recorded } => {
                    return Err(self.reject(status, execution, recorded));
                }
                // The machine waits for events that `send` has already reported.
                Next::Dispatch | Next::Wait | Next::Ignore | Next::Abort => {
                    return Err(rejection_for(Cause::Broken, Execution::Unknown));
                }
            };
        }
    }

    fn act_on_record(&self, action: RecordAction) {
        let Some(claim) = &self.claim else { return };
        match action {
            RecordAction::None => {}
            RecordAction::Release => self.proxy.records().release(claim),
            RecordAction::Complete(status) => self.proxy.records().complete(claim, status),
        }
    }

    async fn record_claim(&mut self) -> Event {
        let Some(claim) = &self.claim else { return Event::Claim(ClaimResult::Granted) };
        let claiming = self.proxy.records().claim(claim);
        let claimed = compio::time::timeout(until(self.routed.deadline), claiming).await;
        let outcome = match claimed {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(error)) => {
                self.log_unavailable(&error.reason);
                return Event::Claim(ClaimResult::RecordError);
            }
            Err(_) => {
                self.log_unavailable("no answer before the deadline");
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

    /// The reason is logged and not shown to the caller, whom the inside of the fleet does not
    /// concern.
    fn log_unavailable(&self, reason: &str) {
        if let Some(left_out) = self.proxy.log_allowed("record unavailable") {
            slog::warn!(self.proxy.log(), "proxy: idempotency record cannot be written";
                "service" => &*self.routed.service, "reason" => reason, "left_out" => left_out);
        }
    }

    /// Makes one attempt on a new connection and reports its events.
    async fn send(&mut self, attempt: &mut Attempt) -> Step {
        let picked = self.proxy.policy().pick(Instant::now(), &self.routed, &self.tried);
        let target = match picked {
            Ok(target) => target,
            Err(rejection) => {
                self.cause = Some(rejection);
                return attempt.on(Event::NoUpstream);
            }
        };
        self.tried.push(target.upstream.clone());
        let attempts = &self.proxy.metrics().attempts;
        attempts.with_label_values(&[&*self.routed.service, "first"]).inc();
        let Some(req) = self.out.build() else {
            return attempt.on(Event::ConnectFailed { another: false });
        };
        let reporting = self.proxy.reporting(self.story.clone());
        let deadline = self.routed.deadline;
        match exchange(&self.proxy, reporting, target, req, Reuse::Recent, deadline).await {
            Err(Failure { sent: false, cause }) => attempt.on(self.unsent(cause)),
            Err(Failure { sent: true, cause }) => {
                self.cause = Some(self.broken(cause));
                let passed = cause == Cause::TimedOut;
                let event = if passed { Event::DeadlinePassed } else { Event::Broken };
                after_dispatch(attempt, event)
            }
            Ok(answer) => {
                let event = self.on_answer(answer).await;
                after_dispatch(attempt, event)
            }
        }
    }

    /// Event for an attempt of which no byte was sent.
    fn unsent(&mut self, cause: Cause) -> Event {
        self.cause = Some(rejection_for(cause, Execution::NotRun));
        if until(self.routed.deadline).is_zero() {
            return Event::DeadlinePassed;
        }
        // A body that was begun to be passed on cannot be sent again.
        Event::ConnectFailed { another: self.out.can_send() }
    }

    fn broken(&self, cause: Cause) -> Rejection {
        if self.out.caller_failed() {
            let detail = "the request body was not completed";
            let status = StatusCode::BAD_REQUEST;
            return Rejection::new(RejectionReason::Malformed, status, Execution::Unknown, detail);
        }
        rejection_for(cause, Execution::Unknown)
    }

    async fn on_answer(&mut self, mut answer: Answer) -> Event {
        let status = answer.head.status.as_u16();
        if answer.is_shed() {
            let wait = retry_after(&answer);
            discard(answer, Outcome::Shed).await;
            self.cause = Some(busy(wait));
            return if self.may_try_another() { Event::Declined } else { Event::Shed { status } };
        }
        if answer.is_failure() {
            answer.outcome = Outcome::Failed;
        }
        self.answer = Some(answer);
        Event::Answer { status }
    }

    /// Returns true if a request that was declined may be sent to another upstream.
    fn may_try_another(&self) -> bool {
        let now = Instant::now();
        let has_time = !until(self.routed.deadline).is_zero() && self.out.can_send();
        has_time
            && self.proxy.policy().allow_extra_attempt(now, &self.routed, ExtraAttempt::Declined)
    }

    fn forward(self) -> Result<Response<ResponseBody>, Rejection> {
        self.count("completed");
        let Some(answer) = self.answer else {
            return Err(rejection_for(Cause::Broken, Execution::Unknown));
        };
        if answer.is_unframed() && !self.proxy.dialect().accepts_close_delimited() {
            answer.attempt.finish(Outcome::Failed);
            return Err(rejection_for(Cause::Broken, Execution::Unknown));
        }
        Ok(respond_plain(&self.proxy, answer))
    }

    fn reject(&self, status: u16, execution: Execution, recorded: Option<u16>) -> Rejection {
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
        let mut rejection = match (&self.cause, status, execution) {
            (Some(cause), ..) => cause.clone(),
            (None, status, execution) => before_dispatch(status, execution),
        };
        rejection.execution = execution;
        rejection.recorded_status = recorded;
        match rejection.reason {
            // The outcome of the earlier request was counted when it was known.
            RejectionReason::InProgress | RejectionReason::AlreadyCompleted => self.count("repeat"),
            _ => self.count(&execution.to_string()),
        }
        if execution == Execution::Unknown && !self.tried.is_empty() {
            // Each of these concerns one caller's request, so none is left out.
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

/// Reports that the request was sent, and then what came of it.
fn after_dispatch(attempt: &mut Attempt, event: Event) -> Step {
    attempt.on(Event::Connected);
    attempt.on(Event::FirstByteHanded);
    attempt.on(event)
}

fn busy(wait: Duration) -> Rejection {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let rejection =
        Rejection::not_run(RejectionReason::UpstreamBusy, status, "the upstream is busy");
    rejection.with_retry_after(wait)
}

/// The rejection of a request that ended with its claim.
fn before_dispatch(status: StatusCode, execution: Execution) -> Rejection {
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
