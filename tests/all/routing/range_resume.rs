//! Resumes of cut answers.

use cactustrack_routing::range_resume::{Resumable, ResumeError};
use cactustrack_types::RequestClass;
use http::{Method, StatusCode};

use super::headers;

const TAG: (&str, &str) = ("etag", "\"v1\"");
const LENGTH: (&str, &str) = ("content-length", "1000");

/// Guards against joining parts of answers that need not be the same document.
#[test]
fn decides_which_answers_can_be_resumed() {
    use {RequestClass as C, ResumeError as E};
    type Pairs = &'static [(&'static str, &'static str)];
    let cases: [(C, Method, Pairs, u16, Pairs, Option<E>); 11] = [
        (C::Large, Method::GET, &[], 200, &[TAG, LENGTH], None),
        (C::Idempotent, Method::GET, &[], 200, &[TAG, LENGTH], None),
        (C::NonIdempotent, Method::GET, &[], 200, &[TAG, LENGTH], Some(E::NotRepeatable)),
        (C::Large, Method::POST, &[], 200, &[TAG, LENGTH], Some(E::NotRepeatable)),
        (
            C::Large,
            Method::GET,
            &[("range", "bytes=5-")],
            200,
            &[TAG, LENGTH],
            Some(E::CallerRange),
        ),
        (C::Large, Method::GET, &[], 206, &[TAG, LENGTH], Some(E::NotComplete)),
        (C::Large, Method::GET, &[], 200, &[LENGTH], Some(E::NoStrongTag)),
        (C::Large, Method::GET, &[], 200, &[("etag", "W/\"v1\""), LENGTH], Some(E::NoStrongTag)),
        (C::Large, Method::GET, &[], 200, &[TAG, TAG, LENGTH], Some(E::NoStrongTag)),
        (C::Large, Method::GET, &[], 200, &[TAG], Some(E::UnknownLength)),
        (C::Large, Method::GET, &[], 200, &[TAG, ("content-length", "+9")], Some(E::UnknownLength)),
    ];
    for (class, method, request, status, answer, expected) in cases {
        let status = StatusCode::from_u16(status).unwrap();
        let resumable = Resumable::new(class, &method, &headers(request), status, &headers(answer));
        assert_eq!(resumable.err(), expected, "{class} {method} {request:?} {status} {answer:?}");
    }
}

/// Guards against a resumed part that does not continue the first one.
#[test]
fn checks_that_the_rest_continues_the_start() {
    let (request, answer) = (headers(&[]), headers(&[TAG, LENGTH]));
    let resumable =
        Resumable::new(RequestClass::Large, &Method::GET, &request, StatusCode::OK, &answer)
            .unwrap();
    let asked = resumable.request_headers(400).unwrap();
    assert_eq!(asked, headers(&[("range", "bytes=400-999"), ("if-range", "\"v1\"")]));
    assert_eq!(resumable.request_headers(1000), Err(ResumeError::NothingLeft));

    let range = |value| [TAG, ("content-range", value)];
    let cases = [
        (206, &range("bytes 400-999/1000")[..], None),
        (206, &[&range("bytes 400-999/1000")[..], &[("content-length", "600")]].concat(), None),
        (200, &[TAG, LENGTH], Some(ResumeError::NotPartial)),
        (416, &range("bytes 400-999/1000"), Some(ResumeError::NotPartial)),
        (206, &range("bytes 0-999/1000"), Some(ResumeError::OtherRange)),
        (206, &range("bytes 400-998/1000"), Some(ResumeError::OtherRange)),
        (206, &range("bytes 400-999/1001"), Some(ResumeError::OtherRange)),
        (206, &range("bytes 400-999/*"), Some(ResumeError::OtherRange)),
        (206, &range("items 400-999/1000"), Some(ResumeError::OtherRange)),
        (206, &[TAG], Some(ResumeError::OtherRange)),
        (206, &[("content-range", "bytes 400-999/1000")], Some(ResumeError::OtherTag)),
        (
            206,
            &[("etag", "\"v2\""), ("content-range", "bytes 400-999/1000")],
            Some(ResumeError::OtherTag),
        ),
        (
            206,
            &[&range("bytes 400-999/1000")[..], &[("content-length", "599")]].concat(),
            Some(ResumeError::OtherLength),
        ),
    ];
    for (status, answer, expected) in cases {
        let status = StatusCode::from_u16(status).unwrap();
        let checked = resumable.check(400, status, &headers(answer));
        assert_eq!(checked.err(), expected, "{status} {answer:?}");
    }
}
