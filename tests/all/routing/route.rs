//! Route table and deadline.

use std::time::{Duration, Instant};

use cactustrack_routing::deadline::Deadline;
use cactustrack_routing::route::{RouteError, RouteMatch, RouteTable, request_host};
use cactustrack_types::{CONFIGURATION_FORMAT, Configuration, Millis, RequestClass, Route};
use http::Uri;
use proptest::prelude::*;

use super::headers;

fn configuration(routes: &[(&str, &str)]) -> Configuration {
    let route = |(n, (host, prefix)): (usize, &(&str, &str))| Route {
        host: (*host).into(),
        path_prefix: (*prefix).into(),
        service: format!("s{n}").into(),
        class: RequestClass::Idempotent,
        timeout: Millis::from(1_000),
        max_timeout: Millis::from(5_000),
    };
    Configuration {
        format: CONFIGURATION_FORMAT,
        version: 1,
        team: "team".into(),
        services: Vec::new(),
        routes: routes.iter().enumerate().map(route).collect(),
        accounts: Vec::new(),
    }
}

/// Guards against requests that reach another service than the upstream's reading of their path
/// would allow.
#[test]
fn finds_the_longest_prefix_and_refuses_ambiguous_targets() {
    struct Case {
        host: &'static str,
        path: &'static str,
        expected: Result<&'static str, RouteError>,
    }
    let table = RouteTable::new(&configuration(&[
        ("a.example", "/"),
        ("a.example", "/x"),
        ("a.example", "/x/y/"),
        ("*", "/any"),
        ("[::1]", "/v6"),
        ("a.example", "/x"),
    ]));
    let case = |host, path, expected| Case { host, path, expected };
    let cases = [
        case("a.example", "/", Ok("s0")),
        case("A.Example:8080", "/x", Ok("s1")),
        case("a.example.", "/x/", Ok("s1")),
        case("a.example", "/xy", Ok("s0")),
        case("a.example", "/x/y", Ok("s2")),
        case("a.example", "/x/y/z?a=//%2f/../", Ok("s2")),
        case("a.example", "/any", Ok("s0")),
        case("a.example", "/%78/.well-known/...", Ok("s0")),
        case("b.example", "/any/1", Ok("s3")),
        case("b.example", "/other", Err(RouteError::NoRoute)),
        case("[::1]:80", "/v6", Ok("s4")),
        case("", "/x", Err(RouteError::MissingHost)),
        case("a b", "/x", Err(RouteError::InvalidHost)),
        case("user@a.example", "/x", Err(RouteError::InvalidHost)),
        case("a.example:80x", "/x", Err(RouteError::InvalidHost)),
        case("*", "/any", Err(RouteError::InvalidHost)),
        case("a.example", "", Err(RouteError::NotAbsolute)),
        case("a.example", "*", Err(RouteError::NotAbsolute)),
        case("a.example", "/x/../y", Err(RouteError::DotSegment)),
        case("a.example", "/x/.", Err(RouteError::DotSegment)),
        case("a.example", "/x/..;v=1/y", Err(RouteError::DotSegment)),
        case("a.example", "/x/%2E%2e/y", Err(RouteError::EncodedDot)),
        case("a.example", "/x/.%2e/y", Err(RouteError::EncodedDot)),
        case("a.example", "/x%2Fy", Err(RouteError::HiddenSlash)),
        case("a.example", "/x%5cy", Err(RouteError::HiddenSlash)),
        case("a.example", "/x\\y", Err(RouteError::HiddenSlash)),
        case("a.example", "//x", Err(RouteError::EmptySegment)),
        case("a.example", "/x//", Err(RouteError::EmptySegment)),
        case("a.example", "/x\r\ny", Err(RouteError::InvalidCharacter)),
        case("a.example", "/x%00", Err(RouteError::InvalidCharacter)),
        case("a.example", "/é", Err(RouteError::InvalidCharacter)),
        case("a.example", "/x%2", Err(RouteError::InvalidEscape)),
        case("a.example", "/x%", Err(RouteError::InvalidEscape)),
        case("a.example", "/x%+f", Err(RouteError::InvalidEscape)),
    ];
    for Case { host, path, expected } in cases {
        let found = table.find(host, path).map(|found| found.service);
        assert_eq!(found.as_deref().map_err(|error| *error), expected, "{host} {path}");
    }
}

/// Guards against two servers that read different hosts from one request.
#[test]
fn refuses_missing_duplicate_and_differing_hosts() {
    let cases = [
        ("/", &[("host", "a")][..], Ok("a")),
        ("http://a/", &[][..], Ok("a")),
        ("http://a/", &[("host", "A")][..], Ok("a")),
        ("http://a/", &[("host", "b")][..], Err(RouteError::InvalidHost)),
        ("/", &[][..], Err(RouteError::MissingHost)),
        ("/", &[("host", "a"), ("host", "a")][..], Err(RouteError::DuplicateHost)),
    ];
    for (uri, pairs, expected) in cases {
        let (uri, headers) = (Uri::from_static(uri), headers(pairs));
        assert_eq!(request_host(&uri, &headers), expected, "{uri} {pairs:?}");
    }
}

/// The route that a plain scan over all routes finds.
fn scan<'a>(routes: &'a [Route], host: &str, path: &str) -> Option<&'a Route> {
    let covers = |route: &&Route| {
        let prefix = route.path_prefix.trim_end_matches('/');
        path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    };
    let longest = |wanted: &str| {
        let of_host = routes.iter().filter(|route| &*route.host == wanted).filter(covers);
        // Of equal maxima the last one is returned; the first route applies.
        of_host.rev().max_by_key(|route| route.path_prefix.trim_end_matches('/').len())
    };
    longest(host).or_else(|| longest("*"))
}

proptest! {
    /// Guards against an index that loses or misplaces routes.
    #[test]
    fn finds_what_a_scan_finds(
        routes in prop::collection::vec(("a|b|\\*", "(/[xy]{1,2}){0,3}/?"), 0..40),
        host in "a|b|c",
        path in "(/[xy]{1,2}){1,4}/?",
    ) {
        let pairs: Vec<(&str, &str)> = routes
            .iter()
            .map(|(host, prefix)| (&**host, if prefix.is_empty() { "/" } else { &**prefix }))
            .collect();
        let configuration = configuration(&pairs);
        let found = RouteTable::new(&configuration).find(&host, &path).ok();
        let scanned = scan(&configuration.routes, &host, &path);
        prop_assert_eq!(found.map(|found| found.service), scanned.map(|r| r.service.clone()));
    }
}

/// Guards against deadlines beyond the route's cap and requests forwarded without time.
#[test]
fn deadline_is_capped_and_forwarded() {
    let now = Instant::now();
    let route = RouteMatch::from(&configuration(&[("a", "/")]).routes[0]);
    let cases = [
        (&[][..], Some(1_000)),
        (&["200"][..], Some(200)),
        (&["60000"][..], Some(5_000)),
        (&["99999999999999999999999999"][..], Some(5_000)),
        (&["0"][..], None),
        (&["-1"][..], None),
        (&["1.5"][..], None),
        (&[""][..], None),
        (&["200", "200"][..], None),
    ];
    for (values, expected_ms) in cases {
        let pairs: Vec<_> = values.iter().map(|v| ("Cactustrack-Timeout-Ms", *v)).collect();
        let deadline = Deadline::from_headers(now, &headers(&pairs), &route).ok();
        let ms = deadline.map(|deadline| deadline.remaining(now).as_millis());
        assert_eq!(ms, expected_ms, "{values:?}");
    }
    let deadline = Deadline::new(now, None, &route);
    let after = |us| deadline.header_value(now + Duration::from_micros(us));
    assert_eq!(after(400_500).unwrap(), "599");
    assert_eq!(after(999_500), None);
    assert!(!deadline.is_expired(now + Duration::from_micros(999_500)));
    assert!(deadline.is_expired(now + Duration::from_secs(1)));
}
