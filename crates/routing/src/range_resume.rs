//! Resumes a truncated response by a range request for its remainder to another upstream.

use cactustrack_types::RequestClass;
use derive_more::{Display, Error};
use http::header::{
    CONTENT_LENGTH, CONTENT_RANGE, ETAG, IF_MATCH, IF_MODIFIED_SINCE, IF_NONE_MATCH, IF_RANGE,
    IF_UNMODIFIED_SINCE, RANGE,
};
use http::{HeaderMap, HeaderValue, Method, StatusCode};

/// Reason why a truncated response cannot be resumed. The connection to the caller must be aborted.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Hash)]
pub enum ResumeError {
    /// The request is not a GET, or its class is neither idempotent nor large.
    #[display("the request is not an idempotent GET")]
    NotRepeatable,
    /// The response is not a 200 with a complete representation.
    #[display("the response is not a complete representation")]
    NotComplete,
    /// The caller's own request has a `Range` header.
    #[display("the caller requested a range")]
    CallerRange,
    /// The response has no strong entity tag.
    #[display("the response has no strong entity tag")]
    NoStrongTag,
    /// The response has no valid `Content-Length`.
    #[display("the length of the response is unknown")]
    UnknownLength,
    /// All bytes of the announced length, or more, have been received already.
    #[display("no bytes remain to be fetched")]
    NothingLeft,
    /// The other upstream did not respond with 206 (Partial Content).
    #[display("the other upstream did not respond with partial content")]
    NotPartial,
    /// The entity tag differs, so the other upstream has a different representation.
    #[display("the other upstream has a different version of the resource")]
    OtherTag,
    /// `Content-Range` differs from the requested range.
    #[display("the other upstream sent a different range")]
    OtherRange,
    /// `Content-Length` differs from the length of the range.
    #[display("the content length differs from the length of the range")]
    OtherLength,
}

/// Validator and length of a response, which a resumed part has to match.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumableResponse {
    tag: HeaderValue,
    total_bytes: u64,
}

impl ResumableResponse {
    /// Decides from the head of the first response whether it can be resumed after a truncation.
    ///
    /// # Errors
    ///
    /// Returns the first condition that is not met.
    pub fn new(
        class: RequestClass,
        method: &Method,
        request: &HeaderMap,
        status: StatusCode,
        response: &HeaderMap,
    ) -> Result<Self, ResumeError> {
        if !class.is_idempotent() || method != Method::GET {
            return Err(ResumeError::NotRepeatable);
        }
        if request.contains_key(RANGE) {
            return Err(ResumeError::CallerRange);
        }
        if status != StatusCode::OK {
            return Err(ResumeError::NotComplete);
        }
        let tag = strong_tag(response).ok_or(ResumeError::NoStrongTag)?.clone();
        let total_bytes = content_length(response).ok_or(ResumeError::UnknownLength)?;
        Ok(Self { tag, total_bytes })
    }

    /// Returns the length of the complete response body in bytes.
    pub fn total_bytes(&self) -> u64 {
        self.total_bytes
    }

    /// Returns `Range` and `If-Range` headers that request the remainder from `offset`.
    ///
    /// `offset` is the number of body bytes received in order.
    ///
    /// # Errors
    ///
    /// Fails if no bytes remain to be fetched.
    pub fn request_headers(&self, offset: u64) -> Result<HeaderMap, ResumeError> {
        if offset >= self.total_bytes {
            return Err(ResumeError::NothingLeft);
        }
        let range = format!("bytes={offset}-{}", self.total_bytes - 1);
        let range = HeaderValue::try_from(range).map_err(|_| ResumeError::NothingLeft)?;
        Ok(HeaderMap::from_iter([(RANGE, range), (IF_RANGE, self.tag.clone())]))
    }

    /// Turns the headers of the caller's request into a range request for the remainder from
    /// `offset`.
    ///
    /// Conditional headers of the caller are removed: the first upstream has already evaluated
    /// them, and any response other than the remainder is useless.
    ///
    /// # Errors
    ///
    /// Fails if no bytes remain to be fetched.
    pub fn prepare(&self, request: &mut HeaderMap, offset: u64) -> Result<(), ResumeError> {
        let range = self.request_headers(offset)?;
        for name in [IF_MATCH, IF_NONE_MATCH, IF_MODIFIED_SINCE, IF_UNMODIFIED_SINCE] {
            request.remove(name);
        }
        for (name, value) in &range {
            request.insert(name, value.clone());
        }
        Ok(())
    }

    /// Checks that a response continues the first one from `offset`.
    ///
    /// # Errors
    ///
    /// Fails if status, entity tag, range or length do not match. No byte of the response may be
    /// forwarded then.
    pub fn check(
        &self,
        offset: u64,
        status: StatusCode,
        response: &HeaderMap,
    ) -> Result<(), ResumeError> {
        if status != StatusCode::PARTIAL_CONTENT {
            return Err(ResumeError::NotPartial);
        }
        if strong_tag(response) != Some(&self.tag) {
            return Err(ResumeError::OtherTag);
        }
        let range = content_range(response).ok_or(ResumeError::OtherRange)?;
        if offset >= self.total_bytes || range != (offset, self.total_bytes - 1, self.total_bytes) {
            return Err(ResumeError::OtherRange);
        }
        let has_length = response.contains_key(CONTENT_LENGTH);
        if has_length && content_length(response) != Some(self.total_bytes - offset) {
            return Err(ResumeError::OtherLength);
        }
        Ok(())
    }
}

/// Returns the value of a header, or `None` if it is missing or has several values.
fn single_value(headers: &HeaderMap, name: http::HeaderName) -> Option<&HeaderValue> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    values.next().is_none().then_some(value)
}

/// Returns the entity tag if it is strong, that is, quoted and without the prefix `W/`.
fn strong_tag(headers: &HeaderMap) -> Option<&HeaderValue> {
    let tag = single_value(headers, ETAG)?;
    let inner = tag.as_bytes().strip_prefix(b"\"")?.strip_suffix(b"\"")?;
    (!inner.contains(&b'"')).then_some(tag)
}

fn parse_decimal(text: &str) -> Option<u64> {
    let is_decimal = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    if is_decimal { text.parse().ok() } else { None }
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    parse_decimal(single_value(headers, CONTENT_LENGTH)?.to_str().ok()?)
}

/// Parses `bytes <first>-<last>/<total>`.
fn content_range(headers: &HeaderMap) -> Option<(u64, u64, u64)> {
    let value = single_value(headers, CONTENT_RANGE)?.to_str().ok()?;
    let (unit, range) = value.split_once(' ')?;
    let (span, total) = range.split_once('/')?;
    let (first, last) = span.split_once('-')?;
    let range = (parse_decimal(first)?, parse_decimal(last)?, parse_decimal(total)?);
    unit.eq_ignore_ascii_case("bytes").then_some(range)
}
