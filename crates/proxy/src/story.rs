//! What happened to one request, written as one line when its last part has ended.
//!
//! One line for each request means that a story is never torn when lines are left out.

use std::cell::RefCell;
use std::fmt::Write as _;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cactustrack_observe::{LinePriority, LogBudget, TraceContext};
use cactustrack_types::Outcome;
use http::{HeaderMap, HeaderName, StatusCode};
use slog::Logger;

use crate::{Rejection, Routed, Target};

/// Longest request id that is written, in bytes. Callers choose the id.
const MAX_ID_BYTES: usize = 64;

/// Size of a line without the attempts and the id, in bytes.
const LINE_BYTES: usize = 320;

/// The story of a request. Clones share it; it is written when the last one is dropped.
#[derive(Clone)]
pub(crate) struct Story(Rc<Inner>);

struct Inner {
    request: Arc<str>,
    trace: TraceContext,
    started: Instant,
    facts: RefCell<Facts>,
    attempts: RefCell<String>,
    budget: Rc<LogBudget>,
    log: Logger,
}

#[derive(Default)]
struct Facts {
    service: Option<Arc<str>>,
    class: Option<String>,
    deadline: Option<Duration>,
    status: Option<StatusCode>,
    rejection: Option<(String, String)>,
    answered: Option<Duration>,
}

impl Story {
    pub(crate) fn new(
        request: Arc<str>,
        trace: TraceContext,
        started: Instant,
        budget: Rc<LogBudget>,
        log: Logger,
    ) -> Self {
        let (facts, attempts) = (RefCell::default(), RefCell::default());
        Self(Rc::new(Inner { request, trace, started, facts, attempts, budget, log }))
    }

    /// Trace context of the request.
    pub(crate) fn trace(&self) -> TraceContext {
        self.0.trace
    }

    /// Notes the route.
    pub(crate) fn on_routed(&self, routed: &Routed) {
        let mut facts = self.0.facts.borrow_mut();
        facts.service = Some(Arc::clone(&routed.service));
        facts.class = Some(routed.class.to_string());
        facts.deadline = Some(routed.deadline.saturating_duration_since(self.0.started));
    }

    /// Notes that the instance answers the request itself.
    pub(crate) fn on_rejection(&self, rejection: &Rejection) {
        let reason = rejection.reason.to_string();
        self.0.facts.borrow_mut().rejection = Some((reason, rejection.execution.to_string()));
    }

    /// Notes the head of the answer to the caller.
    pub(crate) fn on_answer(&self, status: StatusCode) {
        let mut facts = self.0.facts.borrow_mut();
        facts.status = Some(status);
        facts.answered = Some(self.0.started.elapsed());
    }

    /// Notes how an attempt ended. `outcome` is `None` if it was given up.
    pub(crate) fn on_attempt(&self, attempt: &AttemptFacts<'_>) {
        let AttemptFacts { target, outcome, started, is_reused } = *attempt;
        let mut text = self.0.attempts.borrow_mut();
        let separator = if text.is_empty() { "" } else { "; " };
        let outcome = outcome.map_or_else(|| "given_up".to_owned(), |o| o.to_string());
        let connection = if is_reused { "used" } else { "new" };
        // Writing to a string does not fail.
        let _ = write!(
            text,
            "{separator}{} {outcome} from={} to={} connection={connection} fault={:.3} in_flight={}",
            target.upstream,
            started.saturating_duration_since(self.0.started).as_millis(),
            self.0.started.elapsed().as_millis(),
            f64::from(target.basis.fault_permille) / 1_000.0,
            target.basis.in_flight,
        );
    }
}

/// An attempt that ended.
#[derive(Clone, Copy)]
pub(crate) struct AttemptFacts<'a> {
    pub(crate) target: &'a Target,
    pub(crate) outcome: Option<Outcome>,
    pub(crate) started: Instant,
    pub(crate) is_reused: bool,
}

impl Drop for Inner {
    fn drop(&mut self) {
        let facts = self.facts.take();
        let attempts = self.attempts.take();
        let is_served = facts.status.is_some_and(|status| status.as_u16() < 400);
        let kind = if is_served { LinePriority::Routine } else { LinePriority::Important };
        let bytes = LINE_BYTES + attempts.len() + self.request.len();
        let Some(left_out) = self.budget.allow(Instant::now(), kind, bytes) else { return };
        let ms = |time: Option<Duration>| time.map_or(-1, |time| time.as_millis() as i64);
        let (reason, execution) = facts.rejection.unwrap_or_default();
        slog::info!(self.log, "proxy: request ended";
            "request" => &*self.request,
            "service" => facts.service.as_deref().unwrap_or_default(),
            "class" => facts.class.unwrap_or_default(),
            "status" => facts.status.map_or(0, |status| status.as_u16()),
            "reason" => reason, "execution" => execution,
            "deadline_ms" => ms(facts.deadline), "answered_ms" => ms(facts.answered),
            "ended_ms" => self.started.elapsed().as_millis() as u64,
            "attempts" => attempts, "left_out" => left_out);
    }
}

/// Returns the id of a request in a form that can be written. Characters that are not visible
/// cannot forge a field or a line.
pub(crate) fn request_id(headers: &HeaderMap, name: Option<&HeaderName>) -> Arc<str> {
    let value = name.and_then(|name| headers.get(name));
    let bytes = value.map(http::HeaderValue::as_bytes).unwrap_or_default();
    let visible = |byte: &u8| if byte.is_ascii_graphic() { char::from(*byte) } else { '?' };
    bytes.iter().take(MAX_ID_BYTES).map(visible).collect::<String>().into()
}
