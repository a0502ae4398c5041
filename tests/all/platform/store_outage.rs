//! Behavior of instances during and after an outage of the store.

use std::time::{Duration, Instant};

use super::store::Mode;
use cactustrack_test_support::caller::Call;
use http::StatusCode;

use super::harness::{HOST, Harness, Process, RouteCase, SEARCH, request, wait_for};

const DEADLINE: Duration = Duration::from_secs(3);

/// Time after the end of the outage within which changes in the store must be in force: the stable
/// window of the users' deployments.
const IN_FORCE_AFTER_OUTAGE: Duration = Duration::from_secs(3);

const ADDED: RouteCase = RouteCase { prefix: "/added/", ..SEARCH };

/// Guards against watches that stay pending on a store that has stopped responding. The users'
/// benchmark failed (CONFIG): the version was in force only after the wait of the watch.
#[test]
fn changes_are_in_force_soon_after_the_store_returns() {
    for mode in [Mode::Silent, Mode::Busy] {
        let harness = Harness::start(1, 1, &[SEARCH]);
        harness.store.set_mode(mode);
        let is_unavailable =
            || !harness.instances[0].log_lines_with("store: unavailable").is_empty();
        wait_for("the outage to be noticed", is_unavailable);
        let served = harness.call(0, &request(Call::get(HOST, "/search/x"), "meanwhile", DEADLINE));
        assert_eq!(served.status, StatusCode::OK, "{mode:?}");
        harness.configure(8, &[SEARCH, ADDED]);
        harness.store.set_mode(Mode::Serving);
        let restored = Instant::now();
        let status =
            || harness.call(0, &request(Call::get(HOST, "/added/x"), "after", DEADLINE)).status;
        wait_for("the version to be in force", || status() == StatusCode::OK);
        assert!(restored.elapsed() < IN_FORCE_AFTER_OUTAGE, "{mode:?}: {:?}", restored.elapsed());
    }
}

/// Guards against an instance whose state stays outdated after the store has compacted its history.
#[test]
fn a_compacted_history_causes_a_full_read() {
    let harness = Harness::start(2, 1, &[SEARCH]);
    harness.store.set_mode(Mode::Busy);
    wait_for("the outage to be noticed", || {
        !harness.instances[0].log_lines_with("store: unavailable").is_empty()
    });
    harness.store.remove("servers/up-0");
    harness.configure(8, &[SEARCH, ADDED]);
    harness.store.compact_history();
    harness.store.set_mode(Mode::Serving);
    let added = || harness.call(0, &request(Call::get(HOST, "/added/x"), "id", DEADLINE)).status;
    wait_for("the version to be in force", || added() == StatusCode::OK);
    std::thread::sleep(IN_FORCE_AFTER_OUTAGE);
    let before = harness.upstreams.all[0].control.requests();
    for number in 0..10 {
        let id = format!("id-{number}");
        let response = harness.call(0, &request(Call::get(HOST, "/search/x"), &id, DEADLINE));
        assert_eq!(response.status, StatusCode::OK);
    }
    assert_eq!(
        harness.upstreams.all[0].control.requests(),
        before,
        "the removed upstream is unused"
    );
}

/// Guards against an older version that replaces a newer one.
#[test]
fn an_older_version_never_replaces_a_newer_one() {
    let harness = Harness::start(1, 1, &[SEARCH, ADDED]);
    harness.configure(2, &[SEARCH]);
    harness.put_upstream(0, "ready");
    std::thread::sleep(Duration::from_secs(1));
    let response = harness.call(0, &request(Call::get(HOST, "/added/x"), "id", DEADLINE));
    assert_eq!(response.status, StatusCode::OK);
}

/// Guards against an instance that does not register again after its lease was revoked.
#[test]
fn an_expired_registration_is_restored() {
    let harness = Harness::start(1, 1, &[SEARCH]);
    wait_for("the registration", || harness.store.keys("instances/").len() == 1);
    harness.store.revoke_all_leases();
    wait_for("the registration to return", || harness.store.keys("instances/").len() == 1);
}

/// Guards against an instance that starts with an upstream list that is seconds old: it would send
/// requests to removed upstreams and none to new ones. In one case the history has been compacted
/// since.
#[test]
fn a_stale_upstream_list_is_updated_before_use() {
    for is_history_compacted in [false, true] {
        let mut harness = Harness::start(2, 0, &[SEARCH]);
        harness.store.remove("servers/up-1");
        harness.store.freeze_stale_reads();
        harness.store.remove("servers/up-0");
        harness.put_upstream(1, "ready");
        if is_history_compacted {
            harness.store.compact_history();
        }
        harness.instances.push(Process::start(0, harness.store.address));
        wait_for("the instance to be ready", || harness.instances[0].is_ready());
        for number in 0..10 {
            let call = request(Call::get(HOST, "/search/x"), &format!("id-{number}"), DEADLINE);
            assert_eq!(harness.call(0, &call).status, StatusCode::OK);
        }
        let requests = |number: usize| harness.upstreams.all[number].control.requests();
        assert_eq!((requests(0), requests(1)), (0, 10), "compacted: {is_history_compacted}");
    }
}

/// Guards against a starting instance that takes the revision of one page for the whole list. Pages
/// of a stale read may come from replicas of different age; a change between the ages of two pages
/// was never read, so that upstreams which had announced their end got requests until they exited.
#[test]
fn changes_between_the_ages_of_two_pages_are_read() {
    let mut harness = Harness::start(3, 0, &[SEARCH]);
    harness.store.freeze_stale_reads();
    harness.put_upstream(1, "draining");
    harness.store.remove("servers/up-2");
    harness.store.mix_ages_of_pages(1);
    harness.instances.push(Process::start(0, harness.store.address));
    wait_for("the instance to be ready", || harness.instances[0].is_ready());
    for number in 0..10 {
        let call = request(Call::get(HOST, "/search/x"), &format!("id-{number}"), DEADLINE);
        assert_eq!(harness.call(0, &call).status, StatusCode::OK);
    }
    let requests: Vec<_> =
        harness.upstreams.all.iter().map(|upstream| upstream.control.requests()).collect();
    assert_eq!(requests, [10, 0, 0]);
}
