//! Names of the `Cactustrack-*` headers, removal of hop-by-hop headers, and validation of request
//! heads.

use derive_more::{Display, Error};
use http::header::{
    CONNECTION, CONTENT_LENGTH, HOST, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName};

/// Timeout of the request, in milliseconds.
pub const TIMEOUT_MS: HeaderName = HeaderName::from_static("cactustrack-timeout-ms");
/// Client account of the request.
pub const ACCOUNT: HeaderName = HeaderName::from_static("cactustrack-account");
/// Whether a rejected request may have been executed: `not_run` or `unknown`.
pub const EXECUTION: HeaderName = HeaderName::from_static("cactustrack-execution");
/// `1` in a response of an upstream that is about to stop.
pub const DRAINING: HeaderName = HeaderName::from_static("cactustrack-draining");
/// Identifier that changes each time the upstream process starts.
pub const BOOT_ID: HeaderName = HeaderName::from_static("cactustrack-boot-id");
/// Load of an upstream: requests in progress or queued, divided by its slots.
pub const LOAD: HeaderName = HeaderName::from_static("cactustrack-load");
/// Key by which repeats of a non-idempotent request are detected.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Hop-by-hop headers, which apply to a single connection.
const HOP_BY_HOP: [HeaderName; 9] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    PROXY_CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Headers that `Connection` cannot remove, because the receiver relies on them. Without
/// `Content-Length` a truncated body would be indistinguishable from a complete one.
const PROTECTED: [HeaderName; 5] = [HOST, CONTENT_LENGTH, TIMEOUT_MS, ACCOUNT, IDEMPOTENCY_KEY];

/// Reason for rejecting a message head.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Hash)]
pub enum HeadError {
    /// More than one `Host` header is present.
    #[display("the request has several Host headers")]
    SeveralHosts,
    /// `Content-Length` is not a decimal number that fits into 64 bits, or has several values.
    #[display("Content-Length is invalid or has several values")]
    InvalidContentLength,
    /// `Content-Length` and `Transfer-Encoding` are both present.
    #[display("the message has both Content-Length and Transfer-Encoding")]
    LengthAndEncoding,
    /// The transfer encoding is other than `chunked`.
    #[display("the transfer encoding is not supported")]
    UnsupportedEncoding,
    /// `Connection` lists a header that must reach the upstream.
    #[display("Connection names a header that must not be removed")]
    ProtectedHeader,
    /// A header that may occur only once is present several times.
    #[display("a header of the fleet is present several times")]
    Duplicate,
}

/// Validates the headers of a parsed request head against request smuggling.
///
/// If two parsers disagree about where a request ends, one caller can prepend bytes to the request
/// of another, so every ambiguous form is rejected. Folded headers and bare carriage returns cannot
/// be detected here, because a [`http::HeaderValue`] cannot hold control characters. The parser has
/// to reject them.
///
/// # Errors
///
/// Returns the first violation found. The request was not executed; the status is 400.
pub fn check_request_head(headers: &HeaderMap) -> Result<(), HeadError> {
    if headers.get_all(HOST).iter().nth(1).is_some() {
        return Err(HeadError::SeveralHosts);
    }
    for name in [TIMEOUT_MS, ACCOUNT, IDEMPOTENCY_KEY] {
        if headers.get_all(name).iter().nth(1).is_some() {
            return Err(HeadError::Duplicate);
        }
    }
    check_framing(headers)?;
    if connection_options(headers).any(|name| PROTECTED.contains(&name)) {
        return Err(HeadError::ProtectedHeader);
    }
    Ok(())
}

/// Checks that the headers of a request or response frame its body unambiguously.
///
/// # Errors
///
/// Fails if `Content-Length` is invalid or repeated, if it is present together with
/// `Transfer-Encoding`, or if the transfer encoding is other than `chunked`.
pub fn check_framing(headers: &HeaderMap) -> Result<(), HeadError> {
    let has_encoding = headers.contains_key(TRANSFER_ENCODING);
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    if let Some(length) = lengths.next() {
        // RFC 9110 allows repeated equal lengths, but no client needs them, so they are rejected.
        let digits = length.as_bytes();
        let is_number = !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
        let fits = length.to_str().is_ok_and(|text| text.parse::<u64>().is_ok());
        if lengths.next().is_some() || !is_number || !fits {
            return Err(HeadError::InvalidContentLength);
        }
        if has_encoding {
            return Err(HeadError::LengthAndEncoding);
        }
    }
    let mut encodings = headers.get_all(TRANSFER_ENCODING).iter();
    if let Some(encoding) = encodings.next() {
        let is_chunked = encoding.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked");
        if encodings.next().is_some() || !is_chunked {
            return Err(HeadError::UnsupportedEncoding);
        }
    }
    Ok(())
}

/// Returns the header names listed in `Connection`. Tokens that are not valid header names are
/// skipped.
fn connection_options(headers: &HeaderMap) -> impl Iterator<Item = HeaderName> + '_ {
    headers
        .get_all(CONNECTION)
        .iter()
        .flat_map(|value| value.as_bytes().split(|&b| b == b','))
        .filter_map(|token| HeaderName::from_bytes(token.trim_ascii()).ok())
}

/// Removes hop-by-hop headers, including those listed in `Connection`.
///
/// `Content-Length` and other headers that the receiver relies on are kept even if they are listed.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = connection_options(headers).collect();
    let removable = listed.iter().filter(|name| !PROTECTED.contains(name));
    for name in removable.chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Prepares the headers of a caller's request for the upstream.
///
/// Removes hop-by-hop headers and the headers that only upstreams or instances may set.
pub fn strip_request(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
    for name in [EXECUTION, DRAINING, BOOT_ID, LOAD] {
        headers.remove(name);
    }
}

/// Prepares the headers of an upstream's response for the caller.
///
/// Removes hop-by-hop headers, headers addressed to the instance, and `Cactustrack-Execution`,
/// which only the fleet may set.
pub fn strip_response(headers: &mut HeaderMap) {
    strip_request(headers);
    headers.remove(TIMEOUT_MS);
}

/// Returns true if a response announces that its upstream is about to stop, by `Connection:
/// close` together with `Cactustrack-Draining: 1`.
///
/// Must be called before the headers are stripped.
pub fn announces_drain(headers: &HeaderMap) -> bool {
    let closes = connection_options(headers).any(|name| name == "close");
    closes && headers.get(DRAINING).is_some_and(|value| value == "1")
}
