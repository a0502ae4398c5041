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
use crate::exchange::{Answer, Reuse, exchange};
use crate::relay::{Resume, discard};
use crate::repeatable::Repeatable;

/// Time given to another upstream for the head of the rest of an answer.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// A large answer that another upstream can complete.
pub(crate) struct LargeResume {
    request: RefCell<Repeatable>,
    resumable: Resumable,
}

impl LargeResume {
    /// Returns the means to complete an answer, if its rest can be told to belong to its start.
    pub(crate) fn for_answer(request: Repeatable, answer: &Answer) -> Option<Box<dyn Resume>> {
        if request.routed.class != RequestClass::Large {
            return None;
        }
        let resumable = Resumable::new(
            request.routed.class,
            request.out.method(),
            request.out.headers(),
            answer.head.status,
            &answer.head.headers,
        );
        let resumable = resumable.ok()?;
        Some(Box::new(Self { request: RefCell::new(request), resumable }))
    }

    /// Asks one upstream after the other for the rest, until one gives an answer that belongs to
    /// the start or to another version.
    async fn fetch(&self, offset: u64) -> Option<Answer> {
        let range = self.resumable.request_headers(offset).ok()?;
        loop {
            let Some(answer) = self.attempt(&range).await? else { continue };
            let log = self.request.borrow().proxy.log().clone();
            match self.resumable.check(offset, answer.head.status, &answer.head.headers) {
                Ok(()) if !answer.is_unframed() => return Some(answer),
                Ok(()) => answer.attempt.finish(Outcome::Failed),
                Err(error) => {
                    slog::warn!(log, "proxy: answer cannot be resumed: {}", error);
                    // Another version of the resource is no fault of the upstream.
                    answer.attempt.finish(Outcome::Ok);
                    return None;
                }
            }
        }
    }

    /// Asks one upstream. Returns `None` if there is none or the budget is used up, and `Some(None)`
    /// if the upstream failed.
    async fn attempt(&self, range: &HeaderMap) -> Option<Option<Answer>> {
        let (proxy, target, req, reporting) = {
            let mut request = self.request.borrow_mut();
            let now = Instant::now();
            // The deadline of a large answer covers its head, which has already arrived.
            request.routed.deadline = now + HEAD_TIMEOUT;
            let proxy = Rc::clone(&request.proxy);
            let target = request.pick_other()?;
            if !proxy.policy().allow_extra_attempt(now, &request.routed, ExtraAttempt::Resume) {
                return None;
            }
            let service = &*request.routed.service;
            proxy.metrics().attempts.with_label_values(&[service, "resume"]).inc();
            let reporting = proxy.reporting(request.story.clone());
            (proxy, target, request.out.build_range(range), reporting)
        };
        let deadline = Instant::now() + HEAD_TIMEOUT;
        let reuse = Reuse::Idle { silence_timeout: Some(HEAD_TIMEOUT / 2) };
        let answer = exchange(&proxy, reporting, target, req, reuse, deadline);
        let Ok(answer) = answer.await else { return Some(None) };
        if answer.is_shed() || answer.is_failure() {
            let outcome = if answer.is_shed() { Outcome::Shed } else { Outcome::Failed };
            discard(answer, outcome).await;
            return Some(None);
        }
        Some(Some(answer))
    }
}

impl Resume for LargeResume {
    fn resume(&self, offset: u64) -> LocalBoxFuture<'_, Option<Answer>> {
        self.fetch(offset).boxed_local()
    }
}
