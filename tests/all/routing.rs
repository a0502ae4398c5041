//! Tests of cactustrack-routing.

mod balancer;
mod heads;
mod idempotency;
mod overload;
mod range_resume;
mod retry;
mod route;
mod subset;

use std::sync::Arc;

use http::{HeaderMap, HeaderName, HeaderValue};

/// Names with a prefix and a number, in order.
fn names(prefix: &str, count: usize) -> Vec<Arc<str>> {
    (0..count).map(|n| format!("{prefix}-{n}").into()).collect()
}

/// Headers from pairs of name and value.
fn headers(pairs: &[(&str, &str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        let name = HeaderName::from_bytes(name.as_bytes()).expect("a header name");
        headers.append(name, HeaderValue::from_str(value).expect("a header value"));
    }
    headers
}
