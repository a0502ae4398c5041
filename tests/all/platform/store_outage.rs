//! What instances do while the store is away, and after its return.

use std::time::{Duration, Instant};

use super::store::Mode;
use cactustrack_test_support::caller::Call;
use http::StatusCode;

use super::rig::{HOST, Process, Rig, RouteCase, SEARCH, request, wait_for};

const DEADLINE: Duration = Duration::from_secs(3);

/// Time after the return of the store in which its changes must be in force: the stable window of
/// the users' deployments.
const IN_FORCE_AFTER_RETURN: Duration = Duration::from_secs(3);

const ADDED: RouteCase = RouteCase { prefix: "/added/", ..SEARCH };

/// Guards against watches that stay on a store that has stopped answering. It failed as CONFIG in
/// the users' bench: the version was in force only after the wait of the watch.
#[test]
fn changes_are_in_force_soon_after_the_store_returns() {
    for mode in [Mode::Silent, Mode::Busy] {
        let rig = Rig::start(1, 1, &[SEARCH]);
        rig.store.set_mode(mode);
        let is_lost = || !rig.instances[0].lines_with("store: does not answer").is_empty();
        wait_for("the outage to be noticed", is_lost);
        let served = rig.call(0, &request(Call::get(HOST, "/search/x"), "meanwhile", DEADLINE));
        assert_eq!(served.status, StatusCode::OK, "{mode:?}");
        rig.configure(8, &[SEARCH, ADDED]);
        rig.store.set_mode(Mode::Serving);
        let returned = Instant::now();
        let status =
            || rig.call(0, &request(Call::get(HOST, "/added/x"), "after", DEADLINE)).status;
        wait_for("the version to be in force", || status() == StatusCode::OK);
        assert!(returned.elapsed() < IN_FORCE_AFTER_RETURN, "{mode:?}: {:?}", returned.elapsed());
    }
}

/// Guards against a view that stays old when the store has dropped its history.
#[test]
fn a_dropped_history_is_made_up_for_by_reading_anew() {
    let rig = Rig::start(2, 1, &[SEARCH]);
    rig.store.set_mode(Mode::Busy);
    wait_for("the outage to be noticed", || {
        !rig.instances[0].lines_with("store: does not answer").is_empty()
    });
    rig.store.remove("servers/up-0");
    rig.configure(8, &[SEARCH, ADDED]);
    rig.store.drop_history();
    rig.store.set_mode(Mode::Serving);
    let added = || rig.call(0, &request(Call::get(HOST, "/added/x"), "id", DEADLINE)).status;
    wait_for("the version to be in force", || added() == StatusCode::OK);
    std::thread::sleep(IN_FORCE_AFTER_RETURN);
    let before = rig.upstreams.all[0].control.requests();
    for number in 0..10 {
        let id = format!("id-{number}");
        let reply = rig.call(0, &request(Call::get(HOST, "/search/x"), &id, DEADLINE));
        assert_eq!(reply.status, StatusCode::OK);
    }
    assert_eq!(rig.upstreams.all[0].control.requests(), before, "the removed upstream is unused");
}

/// Guards against an older version that replaces a newer one.
#[test]
fn an_older_version_never_replaces_a_newer_one() {
    let rig = Rig::start(1, 1, &[SEARCH, ADDED]);
    rig.configure(2, &[SEARCH]);
    rig.list(0, "ready");
    std::thread::sleep(Duration::from_secs(1));
    let reply = rig.call(0, &request(Call::get(HOST, "/added/x"), "id", DEADLINE));
    assert_eq!(reply.status, StatusCode::OK);
}

/// Guards against a registration that stays gone after the store took it away.
#[test]
fn a_lapsed_registration_is_renewed() {
    let rig = Rig::start(1, 1, &[SEARCH]);
    wait_for("the registration", || rig.store.keys("instances/").len() == 1);
    rig.store.end_all_leases();
    wait_for("the registration to return", || rig.store.keys("instances/").len() == 1);
}

/// Guards against an instance that starts with a list that is seconds old: it would send work to
/// upstreams that have left, and none to those that joined. Also with the history between gone.
#[test]
fn a_stale_list_is_brought_up_to_date_before_it_is_used() {
    for is_history_dropped in [false, true] {
        let mut rig = Rig::start(2, 0, &[SEARCH]);
        rig.store.remove("servers/up-1");
        rig.store.hold_stale_reads();
        rig.store.remove("servers/up-0");
        rig.list(1, "ready");
        if is_history_dropped {
            rig.store.drop_history();
        }
        rig.instances.push(Process::start(0, rig.store.address));
        wait_for("the instance to be ready", || rig.instances[0].is_ready());
        for number in 0..10 {
            let call = request(Call::get(HOST, "/search/x"), &format!("id-{number}"), DEADLINE);
            assert_eq!(rig.call(0, &call).status, StatusCode::OK);
        }
        let requests = |number: usize| rig.upstreams.all[number].control.requests();
        assert_eq!((requests(0), requests(1)), (0, 10), "dropped: {is_history_dropped}");
    }
}
