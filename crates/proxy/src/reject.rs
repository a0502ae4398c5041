//! Rejections of requests, sent as RFC 9457 problem details.

use std::time::Duration;

use bytes::Bytes;
use cactustrack_routing::authentication::{AuthenticationError, BEARER};
use cactustrack_routing::route::RouteError;
use cactustrack_types::Execution;
use derive_more::{Display, Error};
use http::{HeaderValue, Response, StatusCode, header};
use serde_json::{Map, Value};

use crate::{Dialect, ResponseBody};

/// Reason why a request was rejected. The display form is the last part of the problem type URN.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum RejectionReason {
    /// The head of the request is malformed or ambiguous.
    #[display("malformed-request")]
    Malformed,
    /// The path contains dot segments or encodings that could escape routing.
    #[display("unacceptable-path")]
    UnacceptablePath,
    /// No route matches.
    #[display("no-route")]
    NoRoute,
    /// The instance has no configuration for the request yet.
    #[display("not-configured")]
    NotConfigured,
    /// The request needs an API key of a client account.
    #[display("unauthenticated")]
    Unauthenticated(AuthenticationError),
    /// The instance cannot prove that the API key is still valid.
    #[display("configuration-stale")]
    ConfigurationStale,
    /// The client account has used its quota.
    #[display("over-quota")]
    OverQuota,
    /// The quota of the client account cannot be checked.
    #[display("quota-unavailable")]
    QuotaUnavailable,
    /// The instance is shutting down.
    #[display("stopping")]
    Stopping,
    /// A limit of the service is reached.
    #[display("overloaded")]
    Overloaded,
    /// The memory budget of the instance has no room for the request body.
    #[display("memory-exhausted")]
    MemoryExhausted,
    /// No upstream of the service can take the request.
    #[display("no-upstream")]
    NoUpstream,
    /// The upstream shed the request.
    #[display("upstream-busy")]
    UpstreamBusy,
    /// No connection to an upstream could be opened.
    #[display("connect-failed")]
    ConnectFailed,
    /// The upstream broke the connection or sent a response that cannot be forwarded.
    #[display("upstream-failed")]
    UpstreamFailed,
    /// The deadline passed.
    #[display("deadline-exceeded")]
    DeadlineExceeded,
    /// The idempotency record cannot be written.
    #[display("record-unavailable")]
    RecordUnavailable,
    /// An earlier request with the same idempotency key may still be in progress.
    #[display("in-progress")]
    InProgress,
    /// An earlier request with the same idempotency key was executed.
    #[display("already-completed")]
    AlreadyCompleted,
    /// The idempotency key was used for a different request.
    #[display("key-reused")]
    KeyReused,
}

/// Rejection of a request, which the proxy sends to the caller as a problem document.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{reason}: {detail}")]
pub struct Rejection {
    /// Reason for the rejection.
    pub reason: RejectionReason,
    /// HTTP status.
    pub status: StatusCode,
    /// Whether the request may have been executed.
    pub execution: Execution,
    /// Human-readable explanation.
    pub detail: String,
    /// Time after which the caller may retry.
    pub retry_after: Option<Duration>,
    /// Status of the response to an earlier request with the same idempotency key.
    pub recorded_status: Option<u16>,
}

impl Rejection {
    /// Creates a rejection that states that the request was not executed.
    pub fn not_run(reason: RejectionReason, status: StatusCode, detail: impl Into<String>) -> Self {
        Self::new(reason, status, Execution::NotRun, detail)
    }

    /// Creates a rejection.
    pub fn new(
        reason: RejectionReason,
        status: StatusCode,
        execution: Execution,
        detail: impl Into<String>,
    ) -> Self {
        let detail = detail.into();
        Self { reason, status, execution, detail, retry_after: None, recorded_status: None }
    }

    /// Creates the rejection of a request for which no configuration is in force.
    pub fn not_configured(retry_after: Duration) -> Self {
        let detail = "the instance has no configuration for this request yet";
        Self::not_run(RejectionReason::NotConfigured, StatusCode::SERVICE_UNAVAILABLE, detail)
            .with_retry_after(retry_after)
    }

    /// Creates the rejection of a request whose API key may have been revoked since this instance
    /// last read the configuration.
    pub fn configuration_stale(retry_after: Duration) -> Self {
        let detail = "the instance cannot tell whether the API key is still valid";
        Self::not_run(RejectionReason::ConfigurationStale, StatusCode::SERVICE_UNAVAILABLE, detail)
            .with_retry_after(retry_after)
    }

    /// Creates the rejection of a request beyond the quota of its client account.
    pub fn over_quota(retry_after: Duration) -> Self {
        let detail = "the client account has used its quota";
        Self::not_run(RejectionReason::OverQuota, StatusCode::TOO_MANY_REQUESTS, detail)
            .with_retry_after(retry_after)
    }

    /// Creates the rejection of a request for whose client account no allowance can be obtained.
    pub fn quota_unavailable(retry_after: Duration) -> Self {
        let detail = "the quota of the client account cannot be checked at the moment";
        Self::not_run(RejectionReason::QuotaUnavailable, StatusCode::SERVICE_UNAVAILABLE, detail)
            .with_retry_after(retry_after)
    }

    /// Creates the rejection of a request that came too late in the shutdown of the instance.
    pub fn stopping(retry_after: Duration) -> Self {
        let detail = "the instance is shutting down";
        Self::not_run(RejectionReason::Stopping, StatusCode::SERVICE_UNAVAILABLE, detail)
            .with_retry_after(retry_after)
    }

    /// Creates the rejection of a request that is aborted at the end of a shutdown. It may have been
    /// executed.
    pub(crate) fn aborted_by_shutdown() -> Self {
        let detail = "the instance ended before the upstream responded";
        Self::new(RejectionReason::Stopping, StatusCode::BAD_GATEWAY, Execution::Unknown, detail)
    }

    /// Creates the rejection of a request that no upstream of its service can take.
    pub fn no_upstream(retry_after: Duration) -> Self {
        let detail = "no upstream of the service can take the request";
        Self::not_run(RejectionReason::NoUpstream, StatusCode::SERVICE_UNAVAILABLE, detail)
            .with_retry_after(retry_after)
    }

    /// Creates the rejection of a request that exceeds a limit.
    pub fn overloaded(detail: impl Into<String>, retry_after: Duration) -> Self {
        Self::not_run(RejectionReason::Overloaded, StatusCode::SERVICE_UNAVAILABLE, detail)
            .with_retry_after(retry_after)
    }

    /// Creates the rejection of a request whose body the instance has no memory for.
    pub(crate) fn memory_exhausted(retry_after: Duration) -> Self {
        let detail = "the instance has no memory for the request body";
        Self::not_run(RejectionReason::MemoryExhausted, StatusCode::SERVICE_UNAVAILABLE, detail)
            .with_retry_after(retry_after)
    }

    /// Sets the time after which the caller may retry.
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Sets the status of the response to an earlier request with the same idempotency key.
    pub fn with_recorded_status(mut self, status: u16) -> Self {
        self.recorded_status = Some(status);
        self
    }

    /// Sets whether the request may have been executed.
    pub fn with_execution(mut self, execution: Execution) -> Self {
        self.execution = execution;
        self
    }

    /// Creates the response to the caller.
    pub fn into_response(mut self, dialect: &dyn Dialect) -> Response<ResponseBody> {
        self.status = dialect.rejection_status(self.status, self.execution);
        let mut response = Response::new(ResponseBody::full(self.problem()));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        let problem_json = HeaderValue::from_static("application/problem+json");
        headers.insert(header::CONTENT_TYPE, problem_json);
        dialect.describe_rejection(headers, self.execution, self.retry_after);
        if self.status == StatusCode::UNAUTHORIZED {
            headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static(BEARER));
        }
        if self.reason == RejectionReason::Malformed {
            // The end of a malformed request is uncertain, so the connection cannot be reused.
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    fn problem(&self) -> Bytes {
        let mut problem = Map::new();
        problem
            .insert("type".to_owned(), format!("urn:cactustrack:problem:{}", self.reason).into());
        let title = self.status.canonical_reason().unwrap_or("Rejected");
        problem.insert("title".to_owned(), title.into());
        problem.insert("status".to_owned(), self.status.as_u16().into());
        problem.insert("detail".to_owned(), self.detail.clone().into());
        problem.insert("execution".to_owned(), self.execution.to_string().into());
        if let Some(status) = self.recorded_status {
            problem.insert("recorded_status".to_owned(), status.into());
        }
        Bytes::from(Value::Object(problem).to_string())
    }
}

impl From<AuthenticationError> for Rejection {
    fn from(error: AuthenticationError) -> Self {
        let status = StatusCode::UNAUTHORIZED;
        Self::not_run(RejectionReason::Unauthenticated(error), status, error.to_string())
    }
}

impl From<RouteError> for Rejection {
    fn from(error: RouteError) -> Self {
        let status = StatusCode::from_u16(error.status()).unwrap_or(StatusCode::BAD_REQUEST);
        let reason = match error {
            RouteError::NoRoute => RejectionReason::NoRoute,
            RouteError::MissingHost | RouteError::DuplicateHost | RouteError::InvalidHost => {
                RejectionReason::Malformed
            }
            _ => RejectionReason::UnacceptablePath,
        };
        Self::not_run(reason, status, error.to_string())
    }
}
