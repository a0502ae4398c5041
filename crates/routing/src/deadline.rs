//! Deadlines of requests, and the `Cactustrack-Timeout-Ms` header.

use std::time::{Duration, Instant};

use derive_more::{Display, Error};
use http::{HeaderMap, HeaderValue};

use crate::headers;
use crate::route::RouteMatch;

/// Upper bound of the timeout of any route. It prevents overflow when the timeout is added to an
/// instant.
const MAX_TIMEOUT: Duration = Duration::from_secs(7 * 24 * 3600);

/// Reason why the timeout that a caller requests is invalid.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum DeadlineError {
    /// The header is present more than once.
    #[display("the request has several Cactustrack-Timeout-Ms headers")]
    Duplicate,
    /// The value is not a positive whole number.
    #[display("Cactustrack-Timeout-Ms is not a positive whole number of milliseconds")]
    Invalid,
}

/// Returns the timeout that the caller requests in `Cactustrack-Timeout-Ms`.
///
/// Numbers that do not fit into 64 bits saturate, because the route caps the timeout anyway.
///
/// # Errors
///
/// Fails if the header is present more than once or is not a positive whole number.
pub fn requested_timeout(headers: &HeaderMap) -> Result<Option<Duration>, DeadlineError> {
    let mut values = headers.get_all(headers::TIMEOUT_MS).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(DeadlineError::Duplicate);
    }
    let digits = value.as_bytes().trim_ascii();
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(DeadlineError::Invalid);
    }
    let ms = digits
        .iter()
        .fold(0u64, |ms, digit| ms.saturating_mul(10).saturating_add(u64::from(digit - b'0')));
    if ms == 0 { Err(DeadlineError::Invalid) } else { Ok(Some(Duration::from_millis(ms))) }
}

/// Time by which a request must be completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline {
    /// Instant after which a response is useless to the caller.
    pub at: Instant,
}

impl Deadline {
    /// Computes the deadline from the requested timeout, or else the route's default, capped by the
    /// route's maximum.
    pub fn new(now: Instant, requested: Option<Duration>, route: &RouteMatch) -> Self {
        let timeout = requested.unwrap_or(route.timeout).min(route.max_timeout);
        Self { at: now + timeout.min(MAX_TIMEOUT) }
    }

    /// Computes the deadline from the caller's headers and the limits of the route.
    ///
    /// # Errors
    ///
    /// Fails if the header is present more than once or is not a positive whole number.
    pub fn from_headers(
        now: Instant,
        headers: &HeaderMap,
        route: &RouteMatch,
    ) -> Result<Self, DeadlineError> {
        Ok(Self::new(now, requested_timeout(headers)?, route))
    }

    /// Returns the time that remains, or zero after the deadline.
    pub fn remaining(self, now: Instant) -> Duration {
        self.at.saturating_duration_since(now)
    }

    /// Returns true from the deadline on.
    pub fn is_expired(self, now: Instant) -> bool {
        now >= self.at
    }

    /// Returns the remaining time as a value of `Cactustrack-Timeout-Ms`, in milliseconds rounded
    /// down.
    ///
    /// Returns `None` if less than a millisecond remains. The request must not be sent then.
    pub fn header_value(self, now: Instant) -> Option<HeaderValue> {
        let ms = u64::try_from(self.remaining(now).as_millis()).unwrap_or(u64::MAX);
        (ms > 0).then(|| HeaderValue::from(ms))
    }
}
