//! Access log: one line for each request, written when the request and all its attempts have ended.
//!
//! With a single line for each request, rate limiting never drops a part of a request's entry.

use std::cell::RefCell;
use std::fmt::Write as _;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cactustrack_observe::{LinePriority, LogBudget, TraceContext};
use cactustrack_types::{AccountId, Outcome};
use http::{HeaderMap, HeaderName, StatusCode};
use slog::{Logger, Record, Serializer};

use crate::{
    BudgetBasis, ExtraAttempt, ExtraDecision, Rejection, RejectionReason, RoutedRequest, Target,
};

/// Maximum length of a logged request id in bytes. Callers choose the id.
const MAX_ID_BYTES: usize = 64;

/// Estimated size of a line without the attempts and the request id, in bytes.
const LINE_BYTES: usize = 320;

/// The log entry of a request. Clones share it; it is written when the last one is dropped.
#[derive(Clone)]
pub(crate) struct AccessLogEntry(Rc<Inner>);

struct Inner {
    request: Arc<str>,
    trace: TraceContext,
    started: Instant,
    fields: RefCell<EntryFields>,
    attempts: RefCell<String>,
    /// Decisions on extra attempts.
    extras: RefCell<String>,
    budget: Rc<LogBudget>,
    log: Logger,
}

#[derive(Default)]
struct EntryFields {
    service: Option<Arc<str>>,
    class: Option<String>,
    /// Client account, if the request is authenticated.
    account: Option<AccountId>,
    /// Reason why the API key was refused.
    refused_key: Option<&'static str>,
    deadline: Option<Duration>,
    status: Option<StatusCode>,
    rejection: Option<(String, String)>,
    time_to_head: Option<Duration>,
}

impl AccessLogEntry {
    pub(crate) fn new(
        request: Arc<str>,
        trace: TraceContext,
        started: Instant,
        budget: Rc<LogBudget>,
        log: Logger,
    ) -> Self {
        let fields = RefCell::default();
        let (attempts, extras) = (RefCell::default(), RefCell::default());
        Self(Rc::new(Inner { request, trace, started, fields, attempts, extras, budget, log }))
    }

    /// Returns the trace context of the request.
    pub(crate) fn trace(&self) -> TraceContext {
        self.0.trace
    }

    /// Returns the id of the request.
    pub(crate) fn request(&self) -> &str {
        &self.0.request
    }

    /// Records the route and the client account of the request.
    pub(crate) fn on_routed(&self, routed: &RoutedRequest) {
        let mut fields = self.0.fields.borrow_mut();
        fields.service = Some(Arc::clone(&routed.service));
        fields.class = Some(routed.class.to_string());
        fields.account = routed.caller.principal().map(|principal| principal.account.clone());
        fields.deadline = Some(routed.deadline.saturating_duration_since(self.0.started));
    }

    /// Records that the request is rejected.
    pub(crate) fn on_rejection(&self, rejection: &Rejection) {
        let reason = rejection.reason.to_string();
        let mut fields = self.0.fields.borrow_mut();
        fields.rejection = Some((reason, rejection.execution.to_string()));
        if let RejectionReason::Unauthenticated(error) = rejection.reason {
            fields.refused_key = Some(error.label());
        }
    }

    /// Records the head of the response to the caller.
    pub(crate) fn on_response(&self, status: StatusCode) {
        let mut fields = self.0.fields.borrow_mut();
        fields.status = Some(status);
        fields.time_to_head = Some(self.0.started.elapsed());
    }

    /// Records a decision on an extra attempt, with the counts of the retry budget behind it.
    pub(crate) fn on_extra(&self, kind: ExtraAttempt, decision: ExtraDecision) {
        let mut text = self.0.extras.borrow_mut();
        let separator = if text.is_empty() { "" } else { "; " };
        let result = match decision {
            ExtraDecision { is_granted: true, .. } => "granted",
            ExtraDecision { is_allowed: true, .. } => "allowed",
            _ => "denied",
        };
        let at = self.0.started.elapsed().as_millis();
        // Writing to a string does not fail.
        let _ = write!(text, "{separator}{kind} {result} at={at}");
        if let Some(basis) = decision.basis {
            let BudgetBasis { extras, requests, limit } = basis;
            let _ = write!(text, " extras={extras} requests={requests} limit={limit}");
        }
    }

    /// Records the end of an attempt.
    pub(crate) fn on_attempt(&self, attempt: &AttemptRecord<'_>) {
        let AttemptRecord { target, outcome, started, sent, is_reused } = *attempt;
        let mut text = self.0.attempts.borrow_mut();
        let separator = if text.is_empty() { "" } else { "; " };
        let outcome = outcome.map_or_else(|| "given_up".to_owned(), |o| o.to_string());
        let connection = if is_reused { "used" } else { "new" };
        let ms = |at: Instant| at.saturating_duration_since(self.0.started).as_millis();
        let sent = sent.map_or_else(String::new, |at| format!(" sent={}", ms(at)));
        // Writing to a string does not fail.
        let _ = write!(
            text,
            "{separator}{} {outcome} from={} to={} chosen={}{sent} connection={connection} \
             fault={:.3} in_flight={}",
            target.upstream,
            ms(started),
            ms(Instant::now()),
            ms(target.chosen_at),
            f64::from(target.basis.fault_permille) / 1_000.0,
            target.basis.in_flight,
        );
    }
}

/// Data of an attempt that ended. `outcome` is `None` if it was abandoned or canceled.
#[derive(Clone, Copy)]
pub(crate) struct AttemptRecord<'a> {
    pub(crate) target: &'a Target,
    pub(crate) outcome: Option<Outcome>,
    pub(crate) started: Instant,
    /// Time at which the request was last passed to a connection, `None` if there was none.
    pub(crate) sent: Option<Instant>,
    pub(crate) is_reused: bool,
}

impl Drop for Inner {
    fn drop(&mut self) {
        let fields = self.fields.take();
        let (attempts, extras) = (self.attempts.take(), self.extras.take());
        let is_served = fields.status.is_some_and(|status| status.as_u16() < 400);
        let priority = if is_served { LinePriority::Routine } else { LinePriority::Important };
        let account = fields.account.as_deref();
        let account_bytes = account.map_or(0, str::len);
        let bytes = LINE_BYTES + attempts.len() + extras.len() + self.request.len() + account_bytes;
        let Some(suppressed) = self.budget.allow(Instant::now(), priority, bytes) else { return };
        let ms = |time: Option<Duration>| time.map_or(-1, |time| time.as_millis() as i64);
        let (reason, execution) = fields.rejection.unwrap_or_default();
        slog::info!(self.log, "proxy: request ended";
            "request" => &*self.request,
            "service" => fields.service.as_deref().unwrap_or_default(),
            "class" => fields.class.unwrap_or_default(),
            "status" => fields.status.map_or(0, |status| status.as_u16()),
            "reason" => reason, "execution" => execution,
            "deadline_ms" => ms(fields.deadline), "answered_ms" => ms(fields.time_to_head),
            "ended_ms" => self.started.elapsed().as_millis() as u64,
            "attempts" => attempts, "extras" => extras, "left_out" => suppressed,
            IfPresent("account", account), IfPresent("api_key", fields.refused_key));
    }
}

/// A field that is left out of a log line if it has no value.
struct IfPresent<'a>(&'static str, Option<&'a str>);

impl slog::KV for IfPresent<'_> {
    fn serialize(&self, _: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        let Self(name, value) = *self;
        value.map_or(Ok(()), |value| serializer.emit_str(name, value))
    }
}

/// Returns the request id from the header `name`, or an empty one. Bytes that are not visible ASCII
/// are replaced, so that a caller cannot forge a field or a line of the log.
pub(crate) fn request_id(headers: &HeaderMap, name: Option<&HeaderName>) -> Arc<str> {
    let value = name.and_then(|name| headers.get(name));
    let bytes = value.map(http::HeaderValue::as_bytes).unwrap_or_default();
    let visible = |byte: &u8| if byte.is_ascii_graphic() { char::from(*byte) } else { '?' };
    bytes.iter().take(MAX_ID_BYTES).map(visible).collect::<String>().into()
}
