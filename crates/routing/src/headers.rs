//! Header names of the fleet, hop-by-hop headers and malformed request heads.

use derive_more::{Display, Error};
use http::header::{
    CONNECTION, CONTENT_LENGTH, HOST, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName};

/// Time given to the request, in milliseconds.
pub const TIMEOUT_MS: HeaderName = HeaderName::from_static("cactustrack-timeout-ms");
/// Account of the caller.
pub const ACCOUNT: HeaderName = HeaderName::from_static("cactustrack-account");
/// Whether a rejected request may have been run: `not_run` or `unknown`.
pub const EXECUTION: HeaderName = HeaderName::from_static("cactustrack-execution");
/// `1` in an answer of an upstream that is about to stop.
pub const DRAINING: HeaderName = HeaderName::from_static("cactustrack-draining");
/// Changes with each start of an upstream.
pub const BOOT_ID: HeaderName = HeaderName::from_static("cactustrack-boot-id");
/// Load of an upstream: requests that it works on or holds in its queue, divided by its slots.
pub const LOAD: HeaderName = HeaderName::from_static("cactustrack-load");
/// Key that marks repeats of a non-idempotent request.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Headers that concern one connection only.
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

/// Headers that `Connection` cannot remove, because the receiver decides by them. Without
/// `Content-Length` a cut body could not be told from a complete one.
const PROTECTED: [HeaderName; 5] = [HOST, CONTENT_LENGTH, TIMEOUT_MS, ACCOUNT, IDEMPOTENCY_KEY];

/// Why a request head is refused.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Hash)]
pub enum HeadError {
    /// There is more than one `Host` header.
    #[display("the request has several Host headers")]
    SeveralHosts,
    /// `Content-Length` is not a number or has several values.
    #[display("Content-Length is invalid or has several values")]
    InvalidContentLength,
    /// The body has a length and is chunked.
    #[display("the message has both Content-Length and Transfer-Encoding")]
    LengthAndEncoding,
    /// The transfer encoding is not just `chunked`.
    #[display("the transfer encoding is not supported")]
    UnsupportedEncoding,
    /// `Connection` names a header that must reach the upstream.
    #[display("Connection names a header that must not be removed")]
    ProtectedHeader,
    /// A header that is allowed once is present several times.
    #[display("a header of the fleet is present several times")]
    Duplicate,
}

/// Checks a request head as far as it is visible after parsing.
///
/// Two parsers that disagree about where a request ends let one caller prepend bytes to the request
/// of another, so every form that allows two readings is refused. Folded headers and bare carriage
/// returns are not visible here: a [`http::HeaderValue`] cannot hold control characters, and the
/// parser must refuse them.
///
/// # Errors
///
/// Fails with the first form found. The request was not run; the status is 400.
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

/// Checks that the headers of a request or an answer give its body one length at most.
///
/// # Errors
///
/// Fails if `Content-Length` is invalid or repeated, if it is present together with
/// `Transfer-Encoding`, or if the transfer encoding is not just `chunked`.
pub fn check_framing(headers: &HeaderMap) -> Result<(), HeadError> {
    let has_encoding = headers.contains_key(TRANSFER_ENCODING);
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    if let Some(length) = lengths.next() {
        // Repeated equal lengths are refused too: RFC 9110 allows it, and no client needs them.
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

/// Header names listed in `Connection`. Tokens that are no header name are left out.
fn connection_options(headers: &HeaderMap) -> impl Iterator<Item = HeaderName> + '_ {
    headers
        .get_all(CONNECTION)
        .iter()
        .flat_map(|value| value.as_bytes().split(|&b| b == b','))
        .filter_map(|token| HeaderName::from_bytes(token.trim_ascii()).ok())
}

/// Removes headers that concern one connection only, including those that `Connection` names.
///
/// `Content-Length` and other headers that the receiver decides by stay even if they are named.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = connection_options(headers).collect();
    let removable = listed.iter().filter(|name| !PROTECTED.contains(name));
    for name in removable.chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Prepares the headers of a caller's request for the upstream.
///
/// Removes hop-by-hop headers and headers that only upstreams or instances may set.
pub fn strip_request(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
    for name in [EXECUTION, DRAINING, BOOT_ID, LOAD] {
        headers.remove(name);
    }
}

/// Prepares the headers of an upstream's answer for the caller.
///
/// Removes hop-by-hop headers, headers meant for the instance, and `Cactustrack-Execution`, which
/// is a statement of the fleet and not of an upstream.
pub fn strip_response(headers: &mut HeaderMap) {
    strip_request(headers);
    headers.remove(TIMEOUT_MS);
}

/// Returns true if the answer announces that its upstream is about to stop: `Connection: close`
/// together with `Cactustrack-Draining: 1`. Call it before the headers are stripped.
pub fn announces_drain(headers: &HeaderMap) -> bool {
    let closes = connection_options(headers).any(|name| name == "close");
    closes && headers.get(DRAINING).is_some_and(|value| value == "1")
}
