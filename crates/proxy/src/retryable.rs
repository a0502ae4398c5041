//! Requests that may be retried and hedged: idempotent ones and those for large responses.

use std::rc::Rc;
use std::time::{Duration, Instant};

use cactustrack_types::{Execution, Outcome, UpstreamId};
use futures::FutureExt;
use futures::future::{Either, LocalBoxFuture, select};
use http::{Response, StatusCode};

use crate::access_log::AccessLogEntry;
use crate::dialect;
use crate::exchange::{Cause, Failure, Reuse, UpstreamResponse, exchange, time_until};
use crate::handler::Proxy;
use crate::reject::{Rejection, RejectionReason};
use crate::relay::discard;
use crate::request::UpstreamRequest;
use crate::{ExtraAttempt, ResponseBody, RoutedRequest, Target};

/// `Retry-After` for the caller if the upstream that shed the request sent none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Number of times that a hedge is decided on. What speaks against one, a busy service or a used
/// budget, may change while the request waits.
const MAX_HEDGE_DECISIONS: u32 = 5;

/// Time after a denied hedge until it is decided on again.
const HEDGE_DECISION_INTERVAL: Duration = Duration::from_millis(300);

/// Age up to which the choice of an upstream is used. Asking other instances for an extra attempt and
/// for a token takes up to 0.6 s, in which the leaving of the upstream may become known.
const MAX_CHOICE_AGE: Duration = Duration::from_millis(20);

/// A retryable request and the state of its attempts.
pub(crate) struct RetryableRequest {
    pub(crate) proxy: Rc<Proxy>,
    pub(crate) routed: RoutedRequest,
    pub(crate) upstream_request: UpstreamRequest,
    pub(crate) tried: Vec<UpstreamId>,
    pub(crate) log_entry: AccessLogEntry,
    /// True if an upstream may have executed the request.
    sent: bool,
    /// Number of attempts of which a byte may have reached an upstream.
    attempts: u32,
}

/// An extra attempt of a request to be decided on.
pub(crate) struct ExtraAttemptRequest {
    pub(crate) proxy: Rc<Proxy>,
    pub(crate) routed: RoutedRequest,
    pub(crate) log_entry: AccessLogEntry,
}

impl ExtraAttemptRequest {
    /// Returns true if the retry budget allows the attempt, and logs the decision.
    pub(crate) async fn is_allowed(&self, kind: ExtraAttempt) -> bool {
        let policy = self.proxy.policy();
        let decision = policy.allow_extra_attempt(Instant::now(), &self.routed, kind).await;
        self.log_entry.on_extra(kind, decision);
        decision.is_allowed
    }
}

/// Result of one attempt together with its hedged attempt.
enum RoundResult {
    Usable(UpstreamResponse),
    /// A response that is a failure of the upstream. It is forwarded if no retry succeeds, unless
    /// its status rules that out.
    Faulty(UpstreamResponse),
    Shed(Duration),
    Failed(Cause),
}

impl RetryableRequest {
    pub(crate) fn new(
        proxy: Rc<Proxy>,
        routed: RoutedRequest,
        upstream_request: UpstreamRequest,
        log_entry: AccessLogEntry,
    ) -> Self {
        Self {
            proxy,
            routed,
            upstream_request,
            tried: Vec::new(),
            log_entry,
            sent: false,
            attempts: 0,
        }
    }

    /// Sends the request to upstreams until one returns a usable response, the retry budget is
    /// exhausted, the deadline passes or no upstream is left.
    pub(crate) async fn run(mut self) -> Result<Response<ResponseBody>, Rejection> {
        let mut target = self.pick()?;
        let mut kind = "first";
        loop {
            let attempts =
                self.proxy.metrics().attempts.with_label_values(&[&*self.routed.service, kind]);
            attempts.inc();
            let round = match self.attempt_round(target).await {
                RoundResult::Usable(response) => return Ok(self.respond(response)),
                RoundResult::Failed(cause @ Cause::OutOfConnections) => {
                    return Err(self.rejection(cause));
                }
                round => round,
            };
            if self.sent {
                // The attempt may have run and used the token of the request.
                self.routed.quota_token.take();
            }
            let is_budget_exempt =
                matches!(round, RoundResult::Failed(Cause::AtLimit | Cause::Left));
            match (round, self.retry_target(is_budget_exempt).await) {
                (RoundResult::Faulty(response), Some(next)) => {
                    discard(response, Outcome::Failed).await;
                    target = next;
                }
                (_, Some(next)) => target = next,
                (RoundResult::Faulty(response), None) if !response.is_forwardable() => {
                    discard(response, Outcome::Failed).await;
                    return Err(self.rejection(Cause::Broken));
                }
                (RoundResult::Usable(response) | RoundResult::Faulty(response), None) => {
                    return Ok(self.respond(response));
                }
                (RoundResult::Shed(retry_after), None) => return Err(self.busy(retry_after)),
                (RoundResult::Failed(cause), None) => return Err(self.rejection(cause)),
            }
            kind = "retry";
        }
    }

    /// Chooses an upstream that was not tried.
    pub(crate) fn pick(&self) -> Result<Target, Rejection> {
        self.proxy.policy().pick(Instant::now(), &self.routed, &self.tried)
    }

    /// Returns the upstream for a retry, if the request, the deadline and the budget allow one.
    /// With `is_budget_exempt` the budget is not charged.
    async fn retry_target(&self, is_budget_exempt: bool) -> Option<Target> {
        if !self.upstream_request.can_send()
            || time_until(self.routed.deadline).is_zero()
            || self.is_attempt_limit_reached()
        {
            return None;
        }
        let target = self.pick().ok()?;
        let allowed =
            is_budget_exempt || self.extra_attempt().is_allowed(ExtraAttempt::Retry).await;
        if !allowed {
            return None;
        }
        self.proxy.policy().confirm_admission(&self.routed).await.ok()?;
        self.renew_choice(target)
    }

    /// Returns `target`, or another choice if the attempt has waited since that one. `None` if there
    /// is no upstream any more.
    pub(crate) fn renew_choice(&self, target: Target) -> Option<Target> {
        if target.chosen_at.elapsed() <= MAX_CHOICE_AGE { Some(target) } else { self.pick().ok() }
    }

    /// Returns what decides on an extra attempt.
    pub(crate) fn extra_attempt(&self) -> ExtraAttemptRequest {
        let (proxy, routed) = (Rc::clone(&self.proxy), self.routed.clone());
        ExtraAttemptRequest { proxy, routed, log_entry: self.log_entry.clone() }
    }

    /// Returns true if the request was sent to the maximum number of upstreams of its route.
    pub(crate) fn is_attempt_limit_reached(&self) -> bool {
        self.routed.max_attempts.is_some_and(|max| self.attempts >= max)
    }

    /// Counts an attempt at an upstream against the limit of the route. The upstream is not chosen
    /// again.
    pub(crate) fn count_attempt(&mut self, upstream: &UpstreamId) {
        self.tried.push(upstream.clone());
        self.attempts += 1;
    }

    /// Takes an attempt of which no byte was sent out of the count.
    pub(crate) fn uncount_unsent(&mut self, failure: Failure) {
        if !failure.sent {
            self.attempts = self.attempts.saturating_sub(1);
        }
    }

    async fn attempt_round(&mut self, target: Target) -> RoundResult {
        match self.attempt_with_hedge(target).await {
            Ok(response) if response.is_shed() => {
                self.sent |= !response.is_not_run();
                let retry_after = retry_after(&response);
                discard(response, Outcome::Shed).await;
                RoundResult::Shed(retry_after)
            }
            Ok(response)
                if response.is_close_delimited()
                    && !self.proxy.dialect().accepts_close_delimited() =>
            {
                self.sent = true;
                response.attempt.finish(Outcome::Failed);
                RoundResult::Failed(Cause::Broken)
            }
            Ok(mut response) if response.is_failure() => {
                self.sent = true;
                response.outcome = Outcome::Failed;
                RoundResult::Faulty(response)
            }
            Ok(response) => RoundResult::Usable(response),
            Err(failure) => {
                self.sent |= failure.sent;
                self.uncount_unsent(failure);
                RoundResult::Failed(failure.cause)
            }
        }
    }

    fn start(
        &mut self,
        target: Target,
    ) -> Option<LocalBoxFuture<'static, Result<UpstreamResponse, Failure>>> {
        let req = self.upstream_request.build()?;
        self.count_attempt(&target.upstream);
        let proxy = Rc::clone(&self.proxy);
        let deadline = self.routed.deadline;
        let context = proxy.attempt_context(self.log_entry.clone());
        let reuse = Reuse::Idle {
            silence_timeout: self.proxy.policy().silence_timeout(Instant::now(), &self.routed),
        };
        let sending = async move { exchange(&proxy, context, target, req, reuse, deadline).await };
        Some(sending.boxed_local())
    }

    async fn attempt_with_hedge(&mut self, target: Target) -> Result<UpstreamResponse, Failure> {
        let Some(first) = self.start(target) else {
            return Err(Failure { cause: Cause::Broken, sent: true });
        };
        let delay = self
            .proxy
            .policy()
            .hedge_delay(&self.routed)
            .filter(|_| self.upstream_request.can_send());
        let Some(mut delay) = delay else { return first.await };
        let mut first = first;
        for _ in 0..MAX_HEDGE_DECISIONS {
            let timer = std::pin::pin!(compio::time::sleep(delay));
            first = match select(first, timer).await {
                Either::Left((result, _)) => return result,
                Either::Right(((), first)) => first,
            };
            // The response may arrive while other instances are asked for the hedge.
            let target;
            (first, target) = match select(first, std::pin::pin!(self.hedge_target())).await {
                Either::Left((result, _)) => return result,
                Either::Right((target, first)) => (first, target),
            };
            if let Some(second) = target.and_then(|target| self.hedge(target)) {
                self.sent = true;
                return first_usable(first, second).await;
            }
            delay = HEDGE_DECISION_INTERVAL;
        }
        first.await
    }

    async fn hedge_target(&self) -> Option<Target> {
        if self.is_attempt_limit_reached() {
            return None;
        }
        let target = self.pick().ok()?;
        let is_allowed = self.extra_attempt().is_allowed(ExtraAttempt::Hedge).await;
        is_allowed.then(|| self.renew_choice(target)).flatten()
    }

    fn hedge(&mut self, target: Target) -> Option<ExchangeFuture> {
        let attempts = &self.proxy.metrics().attempts;
        attempts.with_label_values(&[&*self.routed.service, "hedge"]).inc();
        self.start(target)
    }

    fn respond(self, response: UpstreamResponse) -> Response<ResponseBody> {
        crate::handler::respond_with_resume(self, response)
    }

    fn execution(&self) -> Execution {
        if self.sent { Execution::Unknown } else { Execution::NotRun }
    }

    fn busy(&self, stated: Duration) -> Rejection {
        let policy = self.proxy.policy();
        let retry_after = policy.retry_after_shed(Instant::now(), &self.routed, stated);
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Rejection::new(
            RejectionReason::UpstreamBusy,
            status,
            self.execution(),
            "the upstreams are busy",
        )
        .with_retry_after(retry_after)
    }

    fn rejection(&self, cause: Cause) -> Rejection {
        if self.upstream_request.has_upload_failed() {
            let detail = "the request body was not completed";
            let status = StatusCode::BAD_REQUEST;
            return Rejection::new(RejectionReason::Malformed, status, self.execution(), detail);
        }
        rejection_for(cause, self.execution())
    }
}

/// Returns the rejection for an exchange without a usable response.
pub(crate) fn rejection_for(cause: Cause, execution: Execution) -> Rejection {
    let (reason, status, detail) = match cause {
        Cause::OutOfConnections => (
            RejectionReason::Overloaded,
            StatusCode::SERVICE_UNAVAILABLE,
            "all connections of the instance are in use",
        ),
        Cause::AtLimit => (
            RejectionReason::Overloaded,
            StatusCode::SERVICE_UNAVAILABLE,
            "all connections to the upstreams are in use",
        ),
        Cause::Left => {
            (RejectionReason::NoUpstream, StatusCode::SERVICE_UNAVAILABLE, "the upstream has left")
        }
        Cause::Connect => (
            RejectionReason::ConnectFailed,
            StatusCode::SERVICE_UNAVAILABLE,
            "no connection to an upstream could be opened",
        ),
        Cause::Broken => (
            RejectionReason::UpstreamFailed,
            StatusCode::BAD_GATEWAY,
            "the upstream gave no complete answer",
        ),
        Cause::TimedOut | Cause::Silent => (
            RejectionReason::DeadlineExceeded,
            StatusCode::GATEWAY_TIMEOUT,
            "the upstream gave no answer before the deadline",
        ),
    };
    let rejection = Rejection::new(reason, status, execution, detail);
    if cause == Cause::OutOfConnections {
        rejection.with_retry_after(DEFAULT_RETRY_AFTER)
    } else {
        rejection
    }
}

/// Returns the `Retry-After` of a response that was shed, or one second if it has none.
pub(crate) fn retry_after(response: &UpstreamResponse) -> Duration {
    dialect::retry_after(&response.head.headers).unwrap_or(DEFAULT_RETRY_AFTER)
}

type ExchangeFuture = LocalBoxFuture<'static, Result<UpstreamResponse, Failure>>;

/// Returns the first usable response of two attempts, or the result of the one that ends last. The
/// slower attempt is dropped, which closes its connection and cancels its request at the upstream.
async fn first_usable(
    first: ExchangeFuture,
    second: ExchangeFuture,
) -> Result<UpstreamResponse, Failure> {
    let (result, other) = match select(first, second).await {
        Either::Left(ended) => ended,
        Either::Right(ended) => ended,
    };
    match result {
        Ok(response) if !response.is_shed() && !response.is_failure() => Ok(response),
        Ok(response) => {
            let outcome = if response.is_shed() { Outcome::Shed } else { Outcome::Failed };
            discard(response, outcome).await;
            other.await
        }
        Err(_) => other.await,
    }
}
