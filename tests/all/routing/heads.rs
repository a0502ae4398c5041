//! Validation of request heads, and stripping of headers.

use cactustrack_routing::headers::{
    HeadError, announces_drain, check_request_head, strip_hop_by_hop, strip_request, strip_response,
};
use http::HeaderMap;

use super::headers;

/// Guards against request smuggling by heads that two parsers interpret differently.
#[test]
fn rejects_ambiguous_request_heads() {
    struct Case(&'static [(&'static str, &'static str)], Option<HeadError>);
    const CHUNKED: (&str, &str) = ("transfer-encoding", "Chunked");
    const LENGTH: (&str, &str) = ("content-length", "3");
    let bad_length = Some(HeadError::InvalidContentLength);
    let bad_encoding = Some(HeadError::UnsupportedEncoding);
    let cases = [
        Case(&[("host", "a"), LENGTH], None),
        Case(&[CHUNKED], None),
        Case(&[("connection", "keep-alive, x-own"), ("x-own", "1")], None),
        Case(&[("host", "a"), ("host", "a")], Some(HeadError::SeveralHosts)),
        Case(&[LENGTH, ("content-length", "4")], bad_length),
        Case(&[("content-length", "3, 3")], bad_length),
        Case(&[("content-length", "+3")], bad_length),
        Case(&[("content-length", "18446744073709551616")], bad_length),
        Case(&[LENGTH, CHUNKED], Some(HeadError::LengthAndEncoding)),
        Case(&[("transfer-encoding", "gzip, chunked")], bad_encoding),
        Case(&[CHUNKED, CHUNKED], bad_encoding),
        Case(&[("connection", "close, Content-Length")], Some(HeadError::ProtectedHeader)),
        Case(&[("idempotency-key", "a"), ("idempotency-key", "b")], Some(HeadError::Duplicate)),
    ];
    for Case(pairs, expected) in cases {
        assert_eq!(check_request_head(&headers(pairs)).err(), expected, "{pairs:?}");
    }
}

/// Guards against forwarding of hop-by-hop headers, and against `Cactustrack-*` headers that are
/// forged by callers or upstreams.
#[test]
fn strips_hop_by_hop_and_forged_fleet_headers() {
    struct Case(fn(&mut HeaderMap), &'static str);
    let head = headers(&[
        ("connection", "close, x-own, content-length"),
        ("x-own", "1"),
        ("te", "trailers"),
        ("content-length", "3"),
        ("cactustrack-draining", "1"),
        ("cactustrack-timeout-ms", "50"),
    ]);
    assert!(announces_drain(&head));
    assert!(!announces_drain(&headers(&[("cactustrack-draining", "1")])));
    let cases = [
        Case(strip_hop_by_hop, "cactustrack-draining cactustrack-timeout-ms content-length"),
        Case(strip_request, "cactustrack-timeout-ms content-length"),
        Case(strip_response, "content-length"),
    ];
    for Case(strip, expected) in cases {
        let mut head = head.clone();
        strip(&mut head);
        let mut kept: Vec<_> = head.keys().map(http::HeaderName::as_str).collect();
        kept.sort_unstable();
        assert_eq!(kept.join(" "), expected);
    }
}
