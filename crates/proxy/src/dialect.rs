//! Header conventions between callers, instances and upstreams.

use std::time::Duration;

use cactustrack_routing::balancer::LoadReport;
use cactustrack_routing::headers;
use cactustrack_types::Execution;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header, response};

use crate::Target;

/// What an answer of an upstream means for the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// To be passed on.
    Usable,
    /// The fault of the upstream, which may have run the request.
    Failed,
    /// The upstream is busy and has not run the request.
    Shed,
    /// Another process listens at the address. It has not run the request.
    Misdirected,
    /// The answer belongs to no request or to another one, so nothing is known about this one.
    Mismatched,
}

impl ResponseKind {
    /// Returns true if the upstream states that it has not run the request.
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::Shed | Self::Misdirected)
    }
}

/// Translates between the decisions of an instance and the headers of its surroundings.
pub trait Dialect {
    /// Sets what an upstream has to know about an attempt.
    fn prepare_attempt(&self, headers: &mut HeaderMap, target: &Target, remaining: Duration);

    /// Tells what the head of an answer to `request` means.
    fn classify(&self, request: &HeaderMap, response: &response::Parts) -> ResponseKind;

    /// Load that the upstream reports in an answer.
    fn load(&self, response: &HeaderMap) -> Option<LoadReport>;

    /// Removes the headers of a caller's request that upstreams must not get.
    fn strip_request(&self, headers: &mut HeaderMap);

    /// Removes the headers of an answer that callers must not get.
    fn strip_answer(&self, headers: &mut HeaderMap);

    /// Returns true if a body without a length is complete when its connection ends in order.
    fn accepts_close_delimited(&self) -> bool;

    /// Sets what a rejected caller has to know.
    fn describe_rejection(
        &self,
        headers: &mut HeaderMap,
        execution: Execution,
        retry_after: Option<Duration>,
    );

    /// The header that identifies a request in the log, if callers send one.
    fn request_id(&self) -> Option<HeaderName>;
}

/// The conventions of `docs/callers.md`.
#[derive(Clone, Copy, Debug, Default)]
pub struct DefaultDialect;

impl Dialect for DefaultDialect {
    fn prepare_attempt(&self, headers: &mut HeaderMap, _target: &Target, remaining: Duration) {
        let ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        headers.insert(headers::TIMEOUT_MS, HeaderValue::from(ms));
    }

    fn classify(&self, _request: &HeaderMap, response: &response::Parts) -> ResponseKind {
        let has_retry_after = response.headers.contains_key(header::RETRY_AFTER);
        match response.status {
            StatusCode::TOO_MANY_REQUESTS => ResponseKind::Shed,
            StatusCode::SERVICE_UNAVAILABLE if has_retry_after => ResponseKind::Shed,
            StatusCode::INTERNAL_SERVER_ERROR
            | StatusCode::BAD_GATEWAY
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::GATEWAY_TIMEOUT => ResponseKind::Failed,
            _ => ResponseKind::Usable,
        }
    }

    fn load(&self, response: &HeaderMap) -> Option<LoadReport> {
        LoadReport::parse(response.get(headers::LOAD)?.to_str().ok()?)
    }

    fn strip_request(&self, headers: &mut HeaderMap) {
        headers::strip_request(headers);
    }

    fn strip_answer(&self, headers: &mut HeaderMap) {
        headers::strip_answer(headers);
    }

    fn accepts_close_delimited(&self) -> bool {
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
