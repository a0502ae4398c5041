//! Handles a caller's request from its head to the head of the response.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use cactustrack_observe::{
    LogBudget, Metrics, RateLimit, SpanKind, SpanQueue, SpanTimer, TraceContext,
};
use cactustrack_routing::authentication::AuthenticationError;
use cactustrack_routing::headers::{self, HeadError};
use cactustrack_routing::route::request_host;
use cactustrack_store::{Claim, IdempotencyRecords};
use cactustrack_types::{Execution, InstanceId, RequestClass};
use futures::FutureExt;
use futures::channel::oneshot;
use futures::future::{Either, Shared, select};
use http::request::Parts;
use http::{HeaderMap, Request, Response, StatusCode, Uri, Version, header};
use hyper::body::{Body, Incoming};
use slog::Logger;

use crate::access_log::{self, AccessLogEntry};
use crate::attempt::AttemptContext;
use crate::body::CallerBody;
use crate::body_deadline::BodyDeadline;
use crate::discard::discard_body;
use crate::exchange::{TRACEPARENT, UpstreamResponse, time_until};
use crate::framing::AmbiguousFraming;
use crate::reject::{Rejection, RejectionReason};
use crate::relay::relay;
use crate::request::{UpstreamRequest, head_bytes};
use crate::resume::RangeResume;
use crate::retryable::RetryableRequest;
use crate::{
    BodyMemory, CallerIdentity, Dialect, Pool, ResponseBody, RoutedRequest, TrafficPolicy,
    non_idempotent,
};

/// Maximum length of an idempotency key in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Minimum interval between two log lines of one kind that each request can cause.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// `Retry-After` of a request that is refused for lack of memory. Bodies drain within seconds, and
/// another instance may have room at once.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Components of a [`Proxy`].
pub struct ProxyParts {
    /// Id of the instance.
    pub instance: InstanceId,
    /// Routing, admission, choice of upstreams and failure detection.
    pub policy: Rc<dyn TrafficPolicy>,
    /// Idempotency records of non-idempotent requests.
    pub records: Rc<dyn IdempotencyRecords>,
    /// Header conventions of callers and upstreams.
    pub dialect: Rc<dyn Dialect>,
    /// Pool of connections to upstreams.
    pub pool: Pool,
    /// Bytes held for callers and upstreams.
    pub memory: BodyMemory,
    /// Metrics.
    pub metrics: Metrics,
    /// Queue of spans to be exported.
    pub spans: SpanQueue,
    /// Logger.
    pub log: Logger,
}

/// Handles the requests of callers.
pub struct Proxy {
    parts: ProxyParts,
    /// Counter that makes claim ids unique within an incarnation of the instance.
    next_claim: Cell<u64>,
    incarnation: u64,
    /// Number of non-idempotent requests in progress, including those whose caller disconnected.
    running: Rc<Cell<usize>>,
    /// Aborts the requests in flight when it is taken.
    abort: RefCell<Option<oneshot::Sender<()>>>,
    aborted: Shared<oneshot::Receiver<()>>,
    log_limits: RefCell<HashMap<&'static str, RateLimit>>,
    /// Limits the volume of access log lines.
    log_budget: Rc<LogBudget>,
}

impl Proxy {
    /// Creates a proxy. `incarnation` distinguishes this run of the instance from others under the
    /// same id, so that claim ids are unique.
    pub fn new(parts: ProxyParts, incarnation: u64) -> Rc<Self> {
        let (next_claim, running) = (Cell::new(0), Rc::default());
        let (abort, aborted) = oneshot::channel();
        Rc::new(Self {
            parts,
            next_claim,
            incarnation,
            running,
            abort: RefCell::new(Some(abort)),
            aborted: aborted.shared(),
            log_limits: RefCell::default(),
            log_budget: Rc::default(),
        })
    }

    pub(crate) fn policy(&self) -> &Rc<dyn TrafficPolicy> {
        &self.parts.policy
    }

    pub(crate) fn records(&self) -> &dyn IdempotencyRecords {
        &*self.parts.records
    }

    pub(crate) fn dialect(&self) -> &dyn Dialect {
        &*self.parts.dialect
    }

    pub(crate) fn pool(&self) -> &Pool {
        &self.parts.pool
    }

    pub(crate) fn memory(&self) -> &BodyMemory {
        &self.parts.memory
    }

    pub(crate) fn metrics(&self) -> &Metrics {
        &self.parts.metrics
    }

    pub(crate) fn log(&self) -> &Logger {
        &self.parts.log
    }

    /// Returns the context of the attempts for the request of `log_entry`.
    pub(crate) fn attempt_context(&self, log_entry: AccessLogEntry) -> AttemptContext {
        let policy = Rc::clone(&self.parts.policy);
        AttemptContext { policy, spans: self.parts.spans.clone(), log_entry }
    }

    /// Returns the number of log lines of `kind` suppressed since the last one, or `None` if no
    /// line may be written now.
    pub(crate) fn log_allowed(&self, kind: &'static str) -> Option<u64> {
        let mut limits = self.log_limits.borrow_mut();
        limits.entry(kind).or_insert_with(|| RateLimit::new(LOG_INTERVAL)).allow(Instant::now())
    }

    /// Returns the number of non-idempotent requests in progress, including those whose caller
    /// disconnected.
    pub fn running_tasks(&self) -> usize {
        self.running.get()
    }

    /// Aborts the requests whose response head has not arrived. Their callers get a response which
    /// states that the outcome is unknown.
    pub fn abort_requests(&self) {
        self.abort.borrow_mut().take();
    }

    /// Counts a non-idempotent request as in progress until the returned guard is dropped.
    pub(crate) fn start_task(&self) -> RunningTask {
        self.running.set(self.running.get() + 1);
        RunningTask(Rc::clone(&self.running))
    }

    /// Returns true if a request may be executed more than once.
    pub(crate) fn is_idempotent(&self, head: &Parts) -> bool {
        self.route(Instant::now(), head).is_ok_and(|routed| routed.class.is_idempotent())
    }

    /// Handles one request, without a body if there is none, and returns the response to the caller.
    pub async fn handle(self: &Rc<Self>, req: Request<Option<Incoming>>) -> Response<ResponseBody> {
        let started = Instant::now();
        let parent = req.headers().get(TRACEPARENT);
        let parent = parent.and_then(|value| TraceContext::parse(value.to_str().ok()?));
        let mut span = SpanTimer::new("request", SpanKind::Server, parent);
        let in_flight = InFlightGuard::new(self.metrics());
        let (head, body) = req.into_parts();
        let counted = self.memory().start_request(head_bytes(&head));
        let request = access_log::request_id(&head.headers, self.dialect().request_id().as_ref());
        let (budget, log) = (Rc::clone(&self.log_budget), self.log().clone());
        let log_entry = AccessLogEntry::new(request, span.context(), started, budget, log);
        let (routed, result) = self.process(started, head, body, log_entry.clone()).await;
        let (service, class) = match &routed {
            Some(routed) => (&*routed.service, routed.class.to_string()),
            None => ("none", "none".to_owned()),
        };
        if let Err(rejection) = &result {
            log_entry.on_rejection(rejection);
            if let RejectionReason::Unauthenticated(error) = rejection.reason {
                self.on_unauthorized(error, &log_entry);
            }
        }
        let mut response = result.unwrap_or_else(|rejection| self.reject(service, rejection));
        log_entry.on_response(response.status());
        response.body_mut().hold(Box::new((in_flight, counted)));
        let code = response.status();
        self.metrics().requests.with_label_values(&[service, &class, code.as_str()]).inc();
        let seconds = started.elapsed().as_secs_f64();
        self.metrics().request_duration.with_label_values(&[service]).observe(seconds);
        span.add("cactustrack.service", service);
        span.add("http.response.status_code", code.as_str());
        span.finish(code.is_server_error(), &self.parts.spans);
        response
    }

    async fn process(
        self: &Rc<Self>,
        now: Instant,
        head: Parts,
        body: Option<Incoming>,
        log_entry: AccessLogEntry,
    ) -> (Option<RoutedRequest>, Result<Response<ResponseBody>, Rejection>) {
        let routed = match self.route(now, &head) {
            Ok(routed) => routed,
            Err(rejection) => {
                // A malformed request ends its connection.
                if rejection.reason != RejectionReason::Malformed {
                    discard_body(&head.headers, body).await;
                }
                return (None, Err(rejection));
            }
        };
        log_entry.on_routed(&routed);
        let result = {
            let forwarding = std::pin::pin!(self.forward(&routed, head, body, log_entry));
            match select(forwarding, self.aborted.clone()).await {
                Either::Left((result, _)) => result,
                Either::Right(_) => Err(Rejection::aborted_by_shutdown()),
            }
        };
        let is_not_run = |rejection: &Rejection| rejection.execution == Execution::NotRun;
        if result.as_ref().err().is_some_and(is_not_run) {
            self.policy().on_not_run(Instant::now(), &routed);
        }
        (Some(routed), result)
    }

    fn route(&self, now: Instant, head: &Parts) -> Result<RoutedRequest, Rejection> {
        let malformed = |detail: String| {
            Rejection::not_run(RejectionReason::Malformed, StatusCode::BAD_REQUEST, detail)
        };
        // An HTTP/1.0 caller cannot tell a complete response of unknown length from a truncated
        // one.
        if head.version < Version::HTTP_11 {
            return Err(malformed("the request must use HTTP/1.1".to_owned()));
        }
        if head.extensions.get::<AmbiguousFraming>().is_some() {
            return Err(malformed(HeadError::LengthAndEncoding.to_string()));
        }
        headers::check_request_head(&head.headers).map_err(|error| malformed(error.to_string()))?;
        let host = request_host(&head.uri, &head.headers);
        let host = host.map_err(|error| malformed(error.to_string()))?;
        self.policy().route(now, host, head.uri.path(), &head.headers)
    }

    async fn forward(
        self: &Rc<Self>,
        routed: &RoutedRequest,
        head: Parts,
        body: Option<Incoming>,
        log_entry: AccessLogEntry,
    ) -> Result<Response<ResponseBody>, Rejection> {
        let body = match CallerBody::admit(body, self.memory()) {
            Ok(body) => body,
            Err(body) => {
                discard_body(&head.headers, Some(body)).await;
                return Err(Rejection::memory_exhausted(MEMORY_RETRY_AFTER));
            }
        };
        let account = account_of(routed, &head.headers);
        let claim = self.claim(routed, &head, &account)?;
        let admission = match self.policy().admit(routed, &account).await {
            Ok(admission) => admission,
            Err(rejection) => {
                discard_body(&head.headers, body.map(CallerBody::into_incoming)).await;
                return Err(rejection);
            }
        };
        let mut headers = head.headers;
        self.dialect().strip_request(&mut headers);
        match &routed.caller {
            CallerIdentity::Unauthenticated => {}
            CallerIdentity::Public => self.dialect().set_account(&mut headers, None),
            CallerIdentity::Account(principal) => {
                self.dialect().set_account(&mut headers, Some(&principal.account));
            }
        }
        // hyper sends `100 Continue` to the caller when the body is read.
        headers.remove(header::EXPECT);
        let uri = origin_form(&head.uri);
        // Without a body there is nothing to wait for, and a passed deadline must not be reported
        // as a slow request body.
        let is_empty = body.as_ref().is_none_or(Body::is_end_stream);
        let reading = UpstreamRequest::new(head.method, uri, headers, body);
        let read = if is_empty {
            Ok(reading.await)
        } else {
            compio::time::timeout(time_until(routed.deadline), reading).await
        };
        let malformed =
            |status, detail: &str| Rejection::not_run(RejectionReason::Malformed, status, detail);
        let upstream_request = match read {
            Ok(Ok(upstream_request)) => upstream_request,
            Ok(Err(_)) => {
                return Err(malformed(
                    StatusCode::BAD_REQUEST,
                    "the request body was not completed",
                ));
            }
            Err(_) => {
                return Err(malformed(
                    StatusCode::REQUEST_TIMEOUT,
                    "the request body came too slowly",
                ));
            }
        };
        self.policy().confirm_admission(routed).await?;
        let mut response = match routed.class {
            RequestClass::NonIdempotent | RequestClass::Upload => {
                non_idempotent::run(
                    Rc::clone(self),
                    routed.clone(),
                    upstream_request,
                    claim,
                    log_entry,
                )
                .await
            }
            RequestClass::Idempotent | RequestClass::Large => {
                RetryableRequest::new(Rc::clone(self), routed.clone(), upstream_request, log_entry)
                    .run()
                    .await
            }
        }?;
        response.body_mut().hold(admission);
        Ok(response)
    }

    fn claim(
        &self,
        routed: &RoutedRequest,
        head: &Parts,
        account: &str,
    ) -> Result<Option<Claim>, Rejection> {
        if routed.class.is_idempotent() {
            return Ok(None);
        }
        let Some(key) = idempotency_key(&head.headers)? else { return Ok(None) };
        let number = self.next_claim.get();
        self.next_claim.set(number + 1);
        let claim_id = format!("{}-{:x}-{number:x}", self.parts.instance, self.incarnation);
        let fingerprint = format!("{} {}", head.method, origin_form(&head.uri));
        let service = routed.service.clone();
        Ok(Some(Claim { service, account: account.into(), key, fingerprint, claim_id }))
    }

    /// Counts and logs a request without a valid API key. A request is routed several times if it is
    /// pipelined, so this is not done where the key is checked.
    fn on_unauthorized(&self, error: AuthenticationError, log_entry: &AccessLogEntry) {
        let reason = error.label();
        self.metrics().unauthorized_requests.with_label_values(&[reason]).inc();
        if let Some(suppressed) = self.log_allowed("unauthorized") {
            slog::warn!(self.log(), "proxy: request without a valid API key refused";
                "request" => log_entry.request(), "api_key" => reason, "left_out" => suppressed);
        }
    }

    fn reject(&self, service: &str, rejection: Rejection) -> Response<ResponseBody> {
        let reason = rejection.reason.to_string();
        let labels = [service, &reason, &rejection.execution.to_string()];
        self.metrics().rejections.with_label_values(&labels).inc();
        slog::debug!(self.log(), "proxy: request rejected";
            "service" => service, "reason" => reason, "execution" => %rejection.execution);
        rejection.into_response(self.dialect())
    }
}

/// Builds the response to the caller for a request that cannot be resumed.
pub(crate) fn respond_without_resume(
    proxy: &Rc<Proxy>,
    response: UpstreamResponse,
    deadline: Instant,
) -> Response<ResponseBody> {
    respond(proxy, response, BodyDeadline::new(proxy, deadline), None)
}

/// Builds the response to the caller for a retryable request. If the body is truncated, the
/// remainder may come from another upstream.
pub(crate) fn respond_with_resume(
    request: RetryableRequest,
    response: UpstreamResponse,
) -> Response<ResponseBody> {
    let proxy = Rc::clone(&request.proxy);
    let deadline = BodyDeadline::new(&proxy, request.routed.deadline);
    let resume = RangeResume::for_response(request, &response, deadline);
    respond(&proxy, response, deadline, resume)
}

fn respond(
    proxy: &Rc<Proxy>,
    upstream_response: UpstreamResponse,
    deadline: BodyDeadline,
    resume: Option<Box<dyn crate::relay::Resume>>,
) -> Response<ResponseBody> {
    let status = upstream_response.head.status;
    let mut headers = upstream_response.head.headers.clone();
    proxy.dialect().strip_response(&mut headers);
    let mut response = Response::new(relay(proxy, upstream_response, deadline, resume));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_default()
}

/// Returns the name of the client account of a request. It is empty if there is none.
fn account_of(routed: &RoutedRequest, map: &HeaderMap) -> String {
    let stated = || map.get(headers::ACCOUNT).and_then(|value| value.to_str().ok());
    let account = match &routed.caller {
        CallerIdentity::Unauthenticated => stated(),
        CallerIdentity::Public => None,
        CallerIdentity::Account(principal) => Some(&*principal.account),
    };
    account.unwrap_or_default().to_owned()
}

fn idempotency_key(map: &HeaderMap) -> Result<Option<String>, Rejection> {
    let malformed = || {
        let detail = "the Idempotency-Key header must be one value of 1 to 255 visible characters";
        Rejection::not_run(RejectionReason::Malformed, StatusCode::BAD_REQUEST, detail)
    };
    let mut keys = map.get_all(headers::IDEMPOTENCY_KEY).iter();
    let Some(key) = keys.next() else { return Ok(None) };
    let key = key.to_str().map_err(|_| malformed())?.trim();
    let visible = key.bytes().all(|b| b.is_ascii_graphic() || b == b' ');
    if keys.next().is_some() || key.is_empty() || key.len() > MAX_KEY_BYTES || !visible {
        return Err(malformed());
    }
    Ok(Some(key.to_owned()))
}

/// Counts a request as in flight until it is dropped.
struct InFlightGuard(prometheus::IntGauge);

impl InFlightGuard {
    fn new(metrics: &Metrics) -> Self {
        metrics.in_flight.inc();
        Self(metrics.in_flight.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.dec();
    }
}

/// Guard that counts a non-idempotent request as in progress until it is dropped.
pub(crate) struct RunningTask(Rc<Cell<usize>>);

impl Drop for RunningTask {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
