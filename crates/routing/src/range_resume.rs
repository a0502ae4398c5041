//! Resumes a large answer that was cut, by fetching the rest from another upstream.

use cactustrack_types::RequestClass;
use derive_more::{Display, Error};
use http::header::{
    CONTENT_LENGTH, CONTENT_RANGE, ETAG, IF_MATCH, IF_MODIFIED_SINCE, IF_NONE_MATCH, IF_RANGE,
    IF_UNMODIFIED_SINCE, RANGE,
};
use http::{HeaderMap, HeaderValue, Method, StatusCode};

/// Why a cut answer cannot be resumed. The connection to the caller must be aborted.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Hash)]
pub enum ResumeError {
    /// The request is not a GET of an idempotent or large class.
    #[display("the request cannot be repeated")]
    NotRepeatable,
    /// The answer is not a 200 with a complete representation.
    #[display("the answer is not a complete representation")]
    NotComplete,
    /// The caller asked for a range itself.
    #[display("the caller asked for a range")]
    CallerRange,
    /// The answer has no strong entity tag.
    #[display("the answer has no strong entity tag")]
    NoStrongTag,
    /// The length of the answer is not known.
    #[display("the length of the answer is not known")]
    UnknownLength,
    /// Nothing is left to fetch, or more was delivered than announced.
    #[display("no bytes are left to fetch")]
    NothingLeft,
    /// The other upstream did not answer with 206.
    #[display("the other upstream sent no partial content")]
    NotPartial,
    /// The entity tag differs, so the other upstream has another representation.
    #[display("the other upstream has another version")]
    OtherTag,
    /// The range differs from the one that was asked for.
    #[display("the other upstream sent another range")]
    OtherRange,
    /// The announced length of the part differs from its range.
    #[display("the length of the part differs from its range")]
    OtherLength,
}

/// What must hold for the rest of an answer to belong to its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumableResponse {
    tag: HeaderValue,
    total_bytes: u64,
}

impl ResumableResponse {
    /// Decides from the first answer whether it can be resumed if it is cut.
    ///
    /// # Errors
    ///
    /// Fails with the first condition that is not met.
    pub fn new(
        class: RequestClass,
        method: &Method,
        request: &HeaderMap,
        status: StatusCode,
        answer: &HeaderMap,
    ) -> Result<Self, ResumeError> {
        if !class.is_repeatable() || method != Method::GET {
            return Err(ResumeError::NotRepeatable);
        }
        if request.contains_key(RANGE) {
            return Err(ResumeError::CallerRange);
        }
        if status != StatusCode::OK {
            return Err(ResumeError::NotComplete);
        }
        let tag = strong_tag(answer).ok_or(ResumeError::NoStrongTag)?.clone();
        let total_bytes = content_length(answer).ok_or(ResumeError::UnknownLength)?;
        Ok(Self { tag, total_bytes })
    }

    /// Length of the complete answer in bytes.
    pub fn total_bytes(&self) -> u64 {
        self.total_bytes
    }

    /// Headers `Range` and `If-Range` that ask for the rest after `offset` bytes.
    ///
    /// `offset` is the number of body bytes that were received in order.
    ///
    /// # Errors
    ///
    /// Fails if nothing is left to fetch.
    pub fn request_headers(&self, offset: u64) -> Result<HeaderMap, ResumeError> {
        if offset >= self.total_bytes {
            return Err(ResumeError::NothingLeft);
        }
        let range = format!("bytes={offset}-{}", self.total_bytes - 1);
        let range = HeaderValue::try_from(range).map_err(|_| ResumeError::NothingLeft)?;
        Ok(HeaderMap::from_iter([(RANGE, range), (IF_RANGE, self.tag.clone())]))
    }

    /// Changes the headers of the caller's request so that they ask for the rest after `offset` bytes.
    ///
    /// The caller's own conditions are removed: the first upstream already decided on them, and
    /// another answer than the rest is of no use.
    ///
    /// # Errors
    ///
    /// Fails if nothing is left to fetch.
    pub fn prepare(&self, request: &mut HeaderMap, offset: u64) -> Result<(), ResumeError> {
        let asked = self.request_headers(offset)?;
        for name in [IF_MATCH, IF_NONE_MATCH, IF_MODIFIED_SINCE, IF_UNMODIFIED_SINCE] {
            request.remove(name);
        }
        for (name, value) in &asked {
            request.insert(name, value.clone());
        }
        Ok(())
    }

    /// Checks that an answer continues the first one after `offset` bytes.
    ///
    /// # Errors
    ///
    /// Fails if status, entity tag, range or length differ. No byte of it may be forwarded then.
    pub fn check(
        &self,
        offset: u64,
        status: StatusCode,
        answer: &HeaderMap,
    ) -> Result<(), ResumeError> {
        if status != StatusCode::PARTIAL_CONTENT {
            return Err(ResumeError::NotPartial);
        }
        if strong_tag(answer) != Some(&self.tag) {
            return Err(ResumeError::OtherTag);
        }
        let range = content_range(answer).ok_or(ResumeError::OtherRange)?;
        if offset >= self.total_bytes || range != (offset, self.total_bytes - 1, self.total_bytes) {
            return Err(ResumeError::OtherRange);
        }
        let is_announced = answer.contains_key(CONTENT_LENGTH);
        if is_announced && content_length(answer) != Some(self.total_bytes - offset) {
            return Err(ResumeError::OtherLength);
        }
        Ok(())
    }
}

/// Returns the only value of a header.
fn single(headers: &HeaderMap, name: http::HeaderName) -> Option<&HeaderValue> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    values.next().is_none().then_some(value)
}

/// A strong tag is quoted and has no `W/` before it.
fn strong_tag(headers: &HeaderMap) -> Option<&HeaderValue> {
    let tag = single(headers, ETAG)?;
    let inner = tag.as_bytes().strip_prefix(b"\"")?.strip_suffix(b"\"")?;
    (!inner.contains(&b'"')).then_some(tag)
}

fn number(text: &str) -> Option<u64> {
    let is_number = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    if is_number { text.parse().ok() } else { None }
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    number(single(headers, CONTENT_LENGTH)?.to_str().ok()?)
}

/// Reads `bytes <first>-<last>/<total>`.
fn content_range(headers: &HeaderMap) -> Option<(u64, u64, u64)> {
    let value = single(headers, CONTENT_RANGE)?.to_str().ok()?;
    let (unit, range) = value.split_once(' ')?;
    let (span, total) = range.split_once('/')?;
    let (first, last) = span.split_once('-')?;
    let range = (number(first)?, number(last)?, number(total)?);
    unit.eq_ignore_ascii_case("bytes").then_some(range)
}
