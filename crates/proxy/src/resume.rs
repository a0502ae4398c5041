//! Completes a large answer from another upstream.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use cactustrack_routing::range_resume::Resumable;
use cactustrack_types::{Outcome, RequestClass};
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use http::HeaderMap;

use crate::ExtraAttempt;
use crate::exchange::{Reuse, UpstreamResponse, exchange};
use crate::relay::{Resume, discard};
use crate::retryable::RetryableRequest;

/// Time given to another upstream for the head of the rest of an answer.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// A large answer that another upstream can complete.
pub(crate) struct RangeResume {
    request: RefCell<RetryableRequest>,
    resumable: Resumable,
}

impl RangeResume {
    /// Returns the means to complete an answer, if its rest can be told to belong to its start.
    pub(crate) fn for_response(
        request: RetryableRequest,
        response: &UpstreamResponse,
    ) -> Option<Box<dyn Resume>> {
        if request.routed.class != RequestClass::Large {
            return None;
        }
        let resumable = Resumable::new(
            request.routed.class,
            request.upstream_request.method(),
            request.upstream_request.headers(),
            response.head.status,
            &response.head.headers,
        );
        let resumable = resumable.ok()?;
        Some(Box::new(Self { request: RefCell::new(request), resumable }))
    }

    /// Asks one upstream after the other for the rest, until one gives an answer that belongs to
    /// the start or to another version.
    async fn fetch_rest(&self, offset: u64) -> Option<UpstreamResponse> {
        let range = self.resumable.request_headers(offset).ok()?;
        loop {
            let Some(response) = self.attempt(&range).await? else { continue };
            let log = self.request.borrow().proxy.log().clone();
            match self.resumable.check(offset, response.head.status, &response.head.headers) {
                Ok(()) if !response.is_close_delimited() => return Some(response),
                Ok(()) => response.attempt.finish(Outcome::Failed),
                Err(error) => {
                    slog::warn!(log, "proxy: answer cannot be resumed: {}", error);
                    // Another version of the resource is no fault of the upstream.
                    response.attempt.finish(Outcome::Ok);
                    return None;
                }
            }
        }
    }

    /// Asks one upstream. Returns `None` if there is none or the budget is used up, and `Some(None)`
    /// if the upstream failed.
    async fn attempt(&self, range: &HeaderMap) -> Option<Option<UpstreamResponse>> {
        let (proxy, target, req, context) = {
            let mut request = self.request.borrow_mut();
            let now = Instant::now();
            // The deadline of a large answer covers its head, which has already arrived.
            request.routed.deadline = now + HEAD_TIMEOUT;
            let proxy = Rc::clone(&request.proxy);
            let target = request.try_pick()?;
            if !proxy.policy().allow_extra_attempt(now, &request.routed, ExtraAttempt::Resume) {
                return None;
            }
            let service = &*request.routed.service;
            proxy.metrics().attempts.with_label_values(&[service, "resume"]).inc();
            let context = proxy.context(request.log_entry.clone());
            (proxy, target, request.upstream_request.build_range_request(range), context)
        };
        let deadline = Instant::now() + HEAD_TIMEOUT;
        let reuse = Reuse::Idle { silence_timeout: Some(HEAD_TIMEOUT / 2) };
        let response = exchange(&proxy, context, target, req, reuse, deadline);
        let Ok(response) = response.await else { return Some(None) };
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
        self.fetch_rest(offset).boxed_local()
    }
}
