//! The complete path: questionnaire, acceptance, instance, upstream.

use cactustrack_test_support::caller::Call;

use super::harness::{FILES, Fleet, ORDERS, SEARCH};

/// Guards against a break anywhere between the questionnaire and the answer to a caller.
#[test]
fn a_request_is_served_from_one_end_to_the_other() {
    let mut fleet = Fleet::start(&[SEARCH, ORDERS, FILES], 1);
    let reply = fleet.call(0, &Call::get("search.test", "/houses").with_header("x-tag", "t1"));
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert!(reply.text().contains(r#""path":"/houses","tag":"t1""#), "{}", reply.text());

    let reply = fleet.call(0, &Call::post("orders.test", "/swap").with_header("x-tag", "o1"));
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert_eq!(fleet.executed("orders"), ["POST /swap o1"]);

    let reply = fleet.call(0, &Call::get("files.test", "/bytes/1000000"));
    assert_eq!(
        (reply.status.as_u16(), reply.body.len(), reply.is_complete),
        (200, 1_000_000, true)
    );

    let missing = fleet.call(0, &Call::get("unknown.test", "/"));
    assert_eq!((missing.status.as_u16(), missing.execution()), (404, Some("not_run")));

    let log = fleet.instance(0).log();
    assert!(log.iter().any(|line| line["msg"] == "config: version in force"), "{log:?}");
}
