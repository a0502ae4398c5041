//! Resumes a truncated large response with a range request to another upstream.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use cactustrack_routing::range_resume::ResumableResponse;
use cactustrack_types::{Outcome, RequestClass};
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use http::HeaderMap;

use crate::ExtraAttempt;
use crate::body_deadline::BodyDeadline;
use crate::exchange::{Cause, Reuse, UpstreamResponse, exchange, time_until};
use crate::relay::{Resume, discard};
use crate::retryable::RetryableRequest;

/// Timeout for the response head of a range request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// A large response that can be resumed from another upstream.
pub(crate) struct RangeResume {
    request: RefCell<RetryableRequest>,
    body_deadline: BodyDeadline,
    resumable: ResumableResponse,
}

impl RangeResume {
    /// Creates the means to resume `response`, or returns `None` if a remainder from another
    /// upstream could not be proven to belong to it.
    pub(crate) fn for_response(
        request: RetryableRequest,
        response: &UpstreamResponse,
        body_deadline: BodyDeadline,
    ) -> Option<Box<dyn Resume>> {
        if request.routed.class != RequestClass::Large {
            return None;
        }
        let resumable = ResumableResponse::new(
            request.routed.class,
            request.upstream_request.method(),
            request.upstream_request.headers(),
            response.head.status,
            &response.head.headers,
        );
        let resumable = resumable.ok()?;
        Some(Box::new(Self { request: RefCell::new(request), body_deadline, resumable }))
    }

    /// Requests the remainder of the body from one upstream after the other, until one returns it.
    /// Gives up if an upstream returns a response that does not belong to the original one.
    async fn fetch_remainder(&self, offset: u64) -> Option<UpstreamResponse> {
        let range = self.resumable.request_headers(offset).ok()?;
        loop {
            let Some(response) = self.attempt(&range).await? else { continue };
            let log = self.request.borrow().proxy.log().clone();
            match self.resumable.check(offset, response.head.status, &response.head.headers) {
                Ok(()) if !response.is_close_delimited() => return Some(response),
                Ok(()) => response.attempt.finish(Outcome::Failed),
                Err(error) => {
                    slog::warn!(log, "proxy: response cannot be resumed: {}", error);
                    // A different version of the resource is no failure of the upstream.
                    response.attempt.finish(Outcome::Ok);
                    return None;
                }
            }
        }
    }

    /// Sends the range request to one upstream. Returns `None` if no upstream is left, the request
    /// was sent to the maximum number of upstreams, the deadline has passed, the retry budget is
    /// exhausted or the instance has no connection left, and `Some(None)` if the attempt failed.
    async fn attempt(&self, range: &HeaderMap) -> Option<Option<UpstreamResponse>> {
        let (target, deciding) = {
            let mut request = self.request.borrow_mut();
            if request.is_attempt_limit_reached() {
                return None;
            }
            let timeout = Instant::now() + HEAD_TIMEOUT;
            request.routed.deadline = self.body_deadline.at().map_or(timeout, |at| at.min(timeout));
            if time_until(request.routed.deadline).is_zero() {
                return None;
            }
            (request.pick().ok()?, request.extra_attempt())
        };
        if !deciding.is_allowed(ExtraAttempt::Resume).await {
            return None;
        }
        let target = self.request.borrow().renew_choice(target)?;
        let (proxy, req, context, deadline) = {
            let mut request = self.request.borrow_mut();
            request.count_attempt(&target.upstream);
            let proxy = Rc::clone(&request.proxy);
            let service = &*request.routed.service;
            proxy.metrics().attempts.with_label_values(&[service, "resume"]).inc();
            let context = proxy.attempt_context(request.log_entry.clone());
            let req = request.upstream_request.build_range_request(range);
            (proxy, req, context, request.routed.deadline)
        };
        let reuse = Reuse::Idle { silence_timeout: Some(HEAD_TIMEOUT / 2) };
        let response = exchange(&proxy, context, target, req, reuse, deadline);
        let response = match response.await {
            Ok(response) => response,
            Err(failure) => {
                self.request.borrow_mut().uncount_unsent(failure);
                return if failure.cause == Cause::OutOfConnections { None } else { Some(None) };
            }
        };
        if response.is_shed() || response.is_failure() {
            let outcome = if response.is_shed() { Outcome::Shed } else { Outcome::Failed };
            discard(response, outcome).await;
            return Some(None);
        }
        Some(Some(response))
    }
}

impl Resume for RangeResume {
    fn resume(&self, offset: u64) -> LocalBoxFuture<'_, Option<UpstreamResponse>> {
        self.fetch_remainder(offset).boxed_local()
    }
}
