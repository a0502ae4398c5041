//! A store that comes back from an older copy, so that its revisions go back and are given out again.

use std::thread;
use std::time::{Duration, Instant};

use cactustrack_test_support::caller::Call;
use http::StatusCode;

use super::harness::{HOST, Harness, ORDERS, Process, RouteCase, SEARCH, request, wait_for};
use super::store::Mode;

/// Enough instances that some of them do not watch the store.
const INSTANCES: usize = 7;

/// Time for which the store is away.
const OUTAGE: Duration = Duration::from_secs(1);

/// Time from the return of the store until it and the instances count as stable.
const STABLE_TIME: Duration = Duration::from_secs(3);

/// Time after its acknowledgement within which a change is in force.
const APPLY_LIMIT: Duration = Duration::from_secs(2);

const ADDED: RouteCase = RouteCase { prefix: "/added/", ..SEARCH };
const LATEST: RouteCase = RouteCase { prefix: "/latest/", ..SEARCH };

fn start_fleet(upstreams: usize) -> Harness {
    let harness = Harness::start(upstreams, INSTANCES, &[SEARCH, ORDERS]);
    // From then on the instances know which of them are relays.
    thread::sleep(Duration::from_millis(2_500));
    harness
}

/// Takes the store away and brings it back without what `lost` writes.
fn lose_writes(harness: &Harness, lost: impl FnOnce()) {
    let copy = harness.store.copy();
    lost();
    // The instances take the writes over.
    thread::sleep(Duration::from_secs(1));
    harness.store.set_mode(Mode::Busy);
    thread::sleep(OUTAGE);
    harness.store.restore(copy);
    harness.store.set_mode(Mode::Serving);
}

/// Returns the instances that answer a path with another status than 200.
fn refusing(harness: &Harness, path: &str) -> Vec<usize> {
    let is_refused = |instance: &usize| {
        let call = request(Call::get(HOST, path), "id", Duration::from_secs(3));
        harness.call(*instance, &call).status != StatusCode::OK
    };
    (0..INSTANCES).filter(is_refused).collect()
}

/// Guards against a configuration that is never taken over because the store gives it a revision
/// which it has given to an earlier one before it came back from a copy.
#[test]
fn a_version_after_lost_writes_is_in_force_everywhere() {
    struct Case {
        name: &'static str,
        /// Number of writes after the return of the store and before the version.
        writes_between: usize,
    }
    let cases = [
        Case { name: "at the revision of the lost version", writes_between: 0 },
        Case { name: "above the lost revisions", writes_between: 40 },
    ];
    for Case { name, writes_between } in cases {
        let harness = start_fleet(3);
        lose_writes(&harness, || harness.configure(4, &[SEARCH, ORDERS, ADDED]));
        for number in 0..writes_between {
            harness.store.put("other/key", number.to_string().as_bytes());
        }
        harness.configure(5, &[SEARCH, ORDERS, ADDED, LATEST]);
        let accepted = Instant::now();
        thread::sleep((STABLE_TIME + APPLY_LIMIT).saturating_sub(accepted.elapsed()));
        let refusing = refusing(&harness, "/latest/x");
        assert!(refusing.is_empty(), "{name}: the route is not served by {refusing:?}");
    }
}

/// Guards against a relay that waits for changes after a revision of the earlier history, because the
/// store came back while no watch was pending: a version at a revision below was never read.
#[test]
fn a_version_after_a_restore_between_two_watches_is_in_force() {
    let harness = start_fleet(3);
    let copy = harness.store.copy();
    harness.configure(4, &[SEARCH, ORDERS, ADDED]);
    // The relays pause after a change.
    thread::sleep(Duration::from_millis(200));
    harness.store.restore_without_cuts(copy);
    harness.configure(5, &[SEARCH, ORDERS, ADDED, LATEST]);
    thread::sleep(STABLE_TIME + APPLY_LIMIT);
    let refusing = refusing(&harness, "/latest/x");
    assert!(refusing.is_empty(), "the route is not served by {refusing:?}");
}

/// Guards against a list of upstreams that is ignored because its revision is below the one that the
/// store had reached before it came back from a copy.
#[test]
fn upstreams_that_leave_after_lost_writes_get_no_requests() {
    let harness = start_fleet(4);
    lose_writes(&harness, || {
        for number in 0..20 {
            harness.store.put("other/key", number.to_string().as_bytes());
        }
        harness.put_upstream(0, "ready");
    });
    thread::sleep(STABLE_TIME);
    harness.put_upstream(1, "draining");
    harness.store.remove("servers/up-2");
    thread::sleep(APPLY_LIMIT);
    let received = |upstream: usize| harness.upstreams.all[upstream].control.requests();
    let before = [received(1), received(2)];
    for _ in 0..8 {
        let refusing = refusing(&harness, "/search/x");
        assert!(refusing.is_empty(), "not served by {refusing:?}");
    }
    assert_eq!([received(1), received(2)], before, "requests at upstreams that have left");
}

/// Guards against an upstream that has left and gets requests again from instances which learn from a
/// relay that the store came back from a copy. The copy contains the entry as they last knew it. Also
/// guards against its use while the entry is removed once more.
#[test]
fn an_upstream_that_a_copy_brings_back_gets_no_requests() {
    const RETURNED: usize = 1;
    /// Time for which the entry is in the store again.
    const LISTED_TIME: Duration = Duration::from_secs(4);
    let harness = start_fleet(4);
    lose_writes(&harness, || {
        harness.store.remove("servers/up-1");
        thread::sleep(APPLY_LIMIT);
    });
    let restored = Instant::now();
    let control = &harness.upstreams.all[RETURNED].control;
    let before = control.requests();
    let send_until = |end: Duration| {
        while restored.elapsed() < end {
            let refusing = refusing(&harness, "/search/x");
            assert!(refusing.is_empty(), "not served by {refusing:?}");
        }
    };
    send_until(LISTED_TIME);
    let returned = control.requests() - before;
    harness.store.remove("servers/up-1");
    send_until(LISTED_TIME + APPLY_LIMIT);
    let removed_again = control.requests() - before - returned;
    assert_eq!(
        [returned, removed_again],
        [0, 0],
        "requests, and since the entry was removed again"
    );
}

/// Guards against instances that read the store again and again after it came back from a copy.
#[test]
fn a_store_that_lost_writes_is_read_a_few_times_only() {
    let harness = start_fleet(3);
    lose_writes(&harness, || {
        for number in 0..20 {
            harness.store.put("other/key", number.to_string().as_bytes());
        }
        harness.put_upstream(0, "ready");
    });
    let calls = || {
        let paths = ["/cactustrack/kv-range", "/cactustrack/kv-watch"];
        paths.map(|path| harness.store.calls_for_prefix(path, "servers/")).iter().sum::<u64>()
    };
    let before = calls();
    thread::sleep(STABLE_TIME);
    let calls = calls() - before;
    let instances = INSTANCES as u64;
    assert!(calls <= 6 * instances, "{calls} calls for the list of upstreams");
    wait_for("the instances to be ready", || harness.instances.iter().all(Process::is_ready));
}

/// Guards against relays that read the store without a pause, because it has no history even for what
/// they have just read: it was compacted after the copy from which the store came back.
#[test]
fn a_restored_store_without_a_history_is_read_at_intervals() {
    /// Number of reads and watches of both topics in a second that each instance may make.
    const MAX_CALLS_PER_S: u64 = 10;
    let harness = start_fleet(3);
    lose_writes(&harness, || {
        for number in 0..20 {
            harness.store.put("other/key", number.to_string().as_bytes());
        }
        harness.store.compact_history();
    });
    let calls = || {
        let paths = ["/cactustrack/kv-range", "/cactustrack/kv-watch"];
        paths.map(|path| harness.store.calls(path)).iter().sum::<u64>()
    };
    thread::sleep(STABLE_TIME);
    let before = calls();
    let started = Instant::now();
    thread::sleep(STABLE_TIME);
    let calls = calls() - before;
    let max = MAX_CALLS_PER_S as f64 * INSTANCES as f64 * started.elapsed().as_secs_f64();
    assert!(calls as f64 <= max, "{calls} calls in {:?}", started.elapsed());
    harness.configure(5, &[SEARCH, ORDERS, LATEST]);
    thread::sleep(APPLY_LIMIT);
    let refusing = refusing(&harness, "/latest/x");
    assert!(refusing.is_empty(), "the route is not served by {refusing:?}");
}

/// Guards against an instance that stays unregistered because its lease is older than the copy and is
/// renewed, while the copy lacks its key.
#[test]
fn an_instance_whose_registration_was_lost_registers_again() {
    const KEY: &str = "instances/edge-0";
    /// Interval of renewals, with time for the calls.
    const LIMIT: Duration = Duration::from_secs(6);
    let harness = Harness::start(1, 2, &[SEARCH]);
    wait_for("the registration", || harness.store.keys(KEY).len() == 1);
    harness.store.remove(KEY);
    lose_writes(&harness, || {});
    let restored = Instant::now();
    while harness.store.keys(KEY).is_empty() {
        assert!(restored.elapsed() < LIMIT, "not registered after {:?}", restored.elapsed());
        thread::sleep(Duration::from_millis(20));
    }
}
