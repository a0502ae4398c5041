//! Header conventions for communication with callers and upstreams.

use std::time::Duration;

use cactustrack_routing::balancer::LoadReport;
use cactustrack_routing::headers;
use cactustrack_types::Execution;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header, response};

use crate::Target;

/// Returns the `Retry-After` of a response in seconds, which may have fractions. `None` if there is
/// none, or if it is a date or no number.
pub fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds = headers.get(header::RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

/// Removes the API key of a request and sets the header `name` to its client account. An account
/// whose name is no valid header value is not sent; configurations contain none.
pub fn replace_credentials(headers: &mut HeaderMap, name: HeaderName, account: Option<&str>) {
    headers.remove(header::AUTHORIZATION);
    headers.remove(&name);
    if let Some(value) = account.and_then(|account| HeaderValue::from_str(account).ok()) {
        headers.insert(name, value);
    }
}

/// Meaning of an upstream's response for the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// The response can be forwarded.
    Usable,
    /// The upstream failed, and may have executed the request.
    Failed,
    /// The upstream failed and may have executed the request. The response must not be forwarded,
    /// because its status would tell the caller something else.
    Unforwardable,
    /// The upstream shed the request without executing it.
    Shed,
    /// The upstream shed a request, which may be an earlier one on the connection, so it is unknown
    /// whether this one was executed.
    UnattributedShed,
    /// Another process listens at the address of the upstream. It has not executed the request.
    Misdirected,
    /// The response belongs to no request or to another one, so it is unknown whether this request
    /// was executed.
    Mismatched,
}

impl ResponseKind {
    /// Returns true if the response states that the request was not executed.
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::Shed | Self::Misdirected)
    }

    /// Returns true if the upstream has refused a request, this one or an earlier one.
    pub fn is_refusal(self) -> bool {
        self.is_not_run() || self == Self::UnattributedShed
    }
}

/// Header conventions of the callers and upstreams that an instance communicates with.
pub trait Dialect {
    /// Sets the request headers that are specific to an attempt. `remaining` is the time until the
    /// deadline.
    fn prepare_attempt(&self, headers: &mut HeaderMap, target: &Target, remaining: Duration);

    /// Classifies the head of a response that arrived after a request with the headers `request` was
    /// sent. With `is_reused`, the connection carried other requests before. A faulty upstream may
    /// repeat a response to one of them.
    fn classify(
        &self,
        request: &HeaderMap,
        response: &response::Parts,
        is_reused: bool,
    ) -> ResponseKind;

    /// Returns true if the upstream announces in a response that it is about to stop.
    fn announces_shutdown(&self, response: &HeaderMap) -> bool;

    /// Returns the time for which the upstream wants no requests from this instance at all, if it
    /// states one.
    fn back_off(&self, _response: &response::Parts) -> Option<Duration> {
        None
    }

    /// Returns the load that the upstream reports in the headers of a response.
    fn load(&self, response: &HeaderMap) -> Option<LoadReport>;

    /// Removes the headers of a caller's request that must not reach upstreams.
    fn strip_request(&self, headers: &mut HeaderMap);

    /// Replaces the credentials of a request by the name of its client account. Without an account,
    /// because the route is public, the request names none.
    fn set_account(&self, headers: &mut HeaderMap, account: Option<&str>);

    /// Removes the headers of a response that must not reach callers.
    fn strip_response(&self, headers: &mut HeaderMap);

    /// Returns true if a close-delimited body counts as complete when its connection ends without
    /// an error.
    fn accepts_close_delimited(&self) -> bool;

    /// Returns true if callers wait for the whole response until the deadline only. Otherwise the
    /// deadline of a large response covers its head.
    fn deadline_covers_body(&self) -> bool;

    /// Returns the status of a rejection, which may differ from `status` if that would state that
    /// the request has not run.
    fn rejection_status(&self, status: StatusCode, _execution: Execution) -> StatusCode {
        status
    }

    /// Sets the response headers that describe a rejection.
    fn describe_rejection(
        &self,
        headers: &mut HeaderMap,
        execution: Execution,
        retry_after: Option<Duration>,
    );

    /// Returns the name of the header that identifies a request in the log, if callers send one.
    fn request_id(&self) -> Option<HeaderName>;
}

/// The header conventions documented in `docs/callers.md`.
#[derive(Clone, Copy, Debug, Default)]
pub struct DefaultDialect;

impl Dialect for DefaultDialect {
    fn prepare_attempt(&self, headers: &mut HeaderMap, _target: &Target, remaining: Duration) {
        let ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        headers.insert(headers::TIMEOUT_MS, HeaderValue::from(ms));
    }

    fn classify(
        &self,
        _request: &HeaderMap,
        response: &response::Parts,
        is_reused: bool,
    ) -> ResponseKind {
        let has_retry_after = response.headers.contains_key(header::RETRY_AFTER);
        let shed = if is_reused { ResponseKind::UnattributedShed } else { ResponseKind::Shed };
        match response.status {
            StatusCode::TOO_MANY_REQUESTS => shed,
            StatusCode::SERVICE_UNAVAILABLE if has_retry_after => shed,
            StatusCode::INTERNAL_SERVER_ERROR
            | StatusCode::BAD_GATEWAY
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::GATEWAY_TIMEOUT => ResponseKind::Failed,
            _ => ResponseKind::Usable,
        }
    }

    fn announces_shutdown(&self, response: &HeaderMap) -> bool {
        headers::announces_drain(response)
    }

    fn load(&self, response: &HeaderMap) -> Option<LoadReport> {
        LoadReport::parse(response.get(headers::LOAD)?.to_str().ok()?)
    }

    fn strip_request(&self, headers: &mut HeaderMap) {
        headers::strip_request(headers);
    }

    fn set_account(&self, headers: &mut HeaderMap, account: Option<&str>) {
        replace_credentials(headers, headers::ACCOUNT, account);
    }

    fn strip_response(&self, headers: &mut HeaderMap) {
        headers::strip_response(headers);
    }

    fn accepts_close_delimited(&self) -> bool {
        false
    }

    fn deadline_covers_body(&self) -> bool {
        false
    }

    fn describe_rejection(
        &self,
        headers: &mut HeaderMap,
        execution: Execution,
        retry_after: Option<Duration>,
    ) {
        let execution = match execution {
            Execution::NotRun => "not_run",
            Execution::Unknown => "unknown",
            Execution::Completed => "completed",
        };
        headers.insert(headers::EXECUTION, HeaderValue::from_static(execution));
        if let Some(retry_after) = retry_after {
            let seconds = retry_after.as_secs_f64().ceil().max(1.0) as u64;
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
    }

    fn request_id(&self) -> Option<HeaderName> {
        None
    }
}
