//! Requests that must run at most once.

use std::rc::Rc;
use std::time::Instant;

use cactustrack_store::{Claim, ClaimOutcome, RecordState};
use cactustrack_types::{Execution, Outcome, UpstreamId};
use futures::channel::oneshot;
use http::{Response, StatusCode};

use crate::exchange::{Answer, Cause, Failure, Reuse, exchange, until};
use crate::handler::{Proxy, respond_plain};
use crate::reject::{Reason, Rejection};
use crate::relay::discard;
use crate::repeatable::{rejection_for, retry_after};
use crate::request::Outgoing;
use crate::{OutBody, Routed};

/// Runs the request in a task of its own, so that its outcome is recorded even if the caller
/// leaves while it runs.
pub(crate) async fn run(
    proxy: Rc<Proxy>,
    routed: Routed,
    out: Outgoing,
    claim: Option<Claim>,
) -> Result<Response<OutBody>, Rejection> {
    let (tx, rx) = oneshot::channel();
    let running = proxy.start_task();
    let task = async move {
        let _running = running;
        let _ = tx.send(claim_and_dispatch(&proxy, &routed, out, claim).await);
    };
    compio::runtime::spawn(task).detach();
    rx.await.unwrap_or_else(|_| Err(rejection_for(Cause::Broken, Execution::Unknown)))
}

async fn claim_and_dispatch(
    proxy: &Rc<Proxy>,
    routed: &Routed,
    out: Outgoing,
    claim: Option<Claim>,
) -> Result<Response<OutBody>, Rejection> {
    let result = match &claim {
        Some(claim) => match record(proxy, routed, claim).await {
            Ok(()) => dispatch(proxy, routed, out).await,
            Err(rejection) => Err((rejection, None)),
        },
        None => dispatch(proxy, routed, out).await,
    };
    settle(proxy, routed, claim.as_ref(), result)
}

/// Result of a dispatch: the answer, or a rejection with what becomes of the claim.
type Dispatched = Result<Answer, (Rejection, Option<Unclaimed>)>;

/// The claim is freed, because the request was certainly not run.
struct Unclaimed;

async fn record(proxy: &Proxy, routed: &Routed, claim: &Claim) -> Result<(), Rejection> {
    let unavailable = |detail: String| {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Rejection::not_run(Reason::RecordUnavailable, status, detail)
    };
    let claiming = compio::time::timeout(until(routed.deadline), proxy.records().claim(claim));
    let outcome = match claiming.await {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(error)) => return Err(unavailable(error.to_string())),
        Err(_) => {
            proxy.records().release(claim);
            return Err(unavailable("the store gave no answer before the deadline".to_owned()));
        }
    };
    match outcome {
        ClaimOutcome::Granted => Ok(()),
        ClaimOutcome::Held(RecordState::Running) => Err(Rejection::new(
            Reason::InProgress,
            StatusCode::CONFLICT,
            Execution::Unknown,
            "an earlier request with this idempotency key may still be running",
        )),
        ClaimOutcome::Held(RecordState::Completed { status }) => Err(Rejection::new(
            Reason::AlreadyCompleted,
            StatusCode::CONFLICT,
            Execution::Completed,
            "an earlier request with this idempotency key was run; this one was not",
        )
        .with_recorded_status(status)),
        ClaimOutcome::Mismatch => Err(Rejection::not_run(
            Reason::KeyReused,
            StatusCode::UNPROCESSABLE_ENTITY,
            "the idempotency key belongs to another request",
        )),
    }
}

/// Sends the request once. Another upstream is tried only while no connection could be opened,
/// since nothing was sent then.
async fn dispatch(proxy: &Rc<Proxy>, routed: &Routed, mut out: Outgoing) -> Dispatched {
    let mut tried: Vec<UpstreamId> = Vec::new();
    loop {
        let target = match proxy.policy().pick(Instant::now(), routed, &tried) {
            Ok(target) => target,
            Err(rejection) => return Err((rejection, Some(Unclaimed))),
        };
        tried.push(target.upstream.clone());
        proxy.metrics().attempts.with_label_values(&[&*routed.service, "first"]).inc();
        let Some(req) = out.build(until(routed.deadline)) else {
            return Err((rejection_for(Cause::Connect, Execution::NotRun), Some(Unclaimed)));
        };
        let (pool, policy) = (proxy.pool(), proxy.policy());
        match exchange(pool, policy, target, req, Reuse::Never, routed.deadline).await {
            Ok(answer) if answer.is_shed() => {
                let retry_after = retry_after(&answer);
                discard(answer, Outcome::Shed).await;
                let status = StatusCode::SERVICE_UNAVAILABLE;
                let rejection =
                    Rejection::not_run(Reason::UpstreamBusy, status, "the upstream is busy");
                return Err((rejection.with_retry_after(retry_after), Some(Unclaimed)));
            }
            Ok(answer) => return Ok(answer),
            Err(Failure { sent: false, cause }) => {
                // A body that was begun to be passed on cannot be sent again.
                if !out.can_send() || until(routed.deadline).is_zero() {
                    return Err((rejection_for(cause, Execution::NotRun), Some(Unclaimed)));
                }
            }
            Err(Failure { sent: true, cause }) => {
                return Err((rejection_for(cause, Execution::Unknown), None));
            }
        }
    }
}

/// Records how the request ended and answers the caller.
fn settle(
    proxy: &Rc<Proxy>,
    routed: &Routed,
    claim: Option<&Claim>,
    result: Dispatched,
) -> Result<Response<OutBody>, Rejection> {
    let count = |result: &str| {
        let counter = &proxy.metrics().non_idempotent;
        counter.with_label_values(&[&*routed.service, result]).inc();
    };
    match result {
        Ok(mut answer) => {
            if let Some(claim) = claim {
                proxy.records().complete(claim, answer.head.status.as_u16());
            }
            count("completed");
            if answer.is_failure() {
                answer.outcome = Outcome::Failed;
            }
            if answer.is_unframed() {
                answer.attempt.finish(Outcome::Failed);
                return Err(rejection_for(Cause::Broken, Execution::Unknown));
            }
            Ok(respond_plain(proxy, answer))
        }
        Err((rejection, unclaimed)) => {
            if let (Some(Unclaimed), Some(claim)) = (unclaimed, claim) {
                proxy.records().release(claim);
            }
            count(&rejection.execution.to_string());
            if rejection.execution == Execution::Unknown {
                slog::warn!(proxy.log(), "proxy: outcome of a non-idempotent request is unknown";
                    "service" => &*routed.service, "reason" => %rejection.reason);
            }
            Err(rejection)
        }
    }
}
