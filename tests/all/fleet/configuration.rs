//! An accepted configuration comes into force on all instances and is never replaced by an older
//! one.

use std::sync::Barrier;
use std::thread;

use cactustrack::cli::Exit;
use cactustrack_test_support::caller::Call;
use cactustrack_test_support::store::Outage;

use super::harness::{Fleet, SEARCH, wait_until};

fn version(fleet: &Fleet, instance: usize) -> u64 {
    fleet.status(instance)["configuration"]["version"].as_u64().expect("a version")
}

fn wait_version(fleet: &Fleet, instances: usize, expected: u64) {
    wait_until("the version is in force everywhere", || {
        (0..instances).all(|instance| version(fleet, instance) == expected)
    });
}

/// Returns a questionnaire that differs from the first one in its timeout.
fn changed(fleet: &Fleet, timeout_ms: u32) -> String {
    fleet.questionnaire().replace("timeout_ms = 3000", &format!("timeout_ms = {timeout_ms}"))
}

/// Guards against two concurrent changes that are both reported as accepted.
#[test]
fn of_two_concurrent_changes_one_gets_a_conflict() {
    let fleet = Fleet::start(&[SEARCH], 2);
    let changes = [changed(&fleet, 2500), changed(&fleet, 3500)];
    let barrier = Barrier::new(2);
    let results: Vec<(Exit, String)> = thread::scope(|scope| {
        let operators = changes.iter().enumerate().map(|(number, change)| {
            let (fleet, barrier) = (&fleet, &barrier);
            scope.spawn(move || {
                barrier.wait();
                fleet.accept_as(&format!("operator-{number}"), 1, "race", change)
            })
        });
        let operators: Vec<_> = operators.collect();
        operators.into_iter().map(|operator| operator.join().expect("an operator")).collect()
    });
    let mut exits: Vec<Exit> = results.iter().map(|(exit, _)| *exit).collect();
    exits.sort_by_key(|exit| *exit as u8);
    assert_eq!(exits, [Exit::Ok, Exit::Conflict], "{results:?}");
    let conflict = results.iter().find(|(exit, _)| *exit == Exit::Conflict).expect("a conflict");
    for operator in ["operator-0", "operator-1"] {
        assert!(conflict.1.contains(operator), "both changes must be shown: {}", conflict.1);
    }
    wait_version(&fleet, 2, 2);
    assert_eq!(fleet.store.handle().keys("cactustrack/history/").len(), 2);
}

/// Guards against a wrong result when the store replaces the head and its response is lost.
#[test]
fn a_lost_response_to_the_acceptance_is_resolved() {
    let fleet = Fleet::start(&[SEARCH], 2);
    fleet.store.handle().drop_responses("cactustrack/head", 1);
    let (exit, text) = fleet.accept(1, "lost answer", &changed(&fleet, 2500));
    assert_eq!(exit, Exit::Ok, "{text}");
    wait_version(&fleet, 2, 2);
}

/// Guards against a report of acceptance or of an unknown outcome while the store is unreachable,
/// and against a change of the version in force.
#[test]
fn with_the_store_down_nothing_is_accepted() {
    let fleet = Fleet::start(&[SEARCH], 1);
    fleet.store.handle().set_outage_blocking(Outage::Refuse);
    let (exit, text) = fleet.accept(1, "outage", &changed(&fleet, 2500));
    assert_eq!(exit, Exit::Unreachable, "{text}");
    fleet.store.handle().set_outage_blocking(Outage::None);
    assert_eq!(version(&fleet, 0), 1);
}

/// Guards against a return to an older version after a restart while reads from the store are
/// stale, and against a new instance that serves without a configuration.
#[test]
fn a_restarted_instance_does_not_revert_to_a_stale_read() {
    let mut fleet = Fleet::start(&[SEARCH], 3);
    fleet.store.handle().serve_stale_reads();
    let (exit, text) = fleet.accept(1, "second version", &changed(&fleet, 2500));
    assert!(matches!(exit, Exit::Ok | Exit::UnknownOutcome), "{text}");
    // In the fake store only reads lag, not watches. The watchers may read the old head after an
    // event, so the new version may be delayed.
    fleet.store.handle().stop_stale_reads();
    wait_version(&fleet, 3, 2);
    fleet.instance(0).kill();
    fleet.store.handle().serve_stale_reads();
    let new_instance = fleet.start_instance();
    wait_until("the new instance has the second version from its peers", || {
        version(&fleet, new_instance) == 2
    });
    for instance in [1, 2] {
        assert_eq!(version(&fleet, instance), 2);
    }
}

/// Guards against an instance that accepts requests without a configuration.
#[test]
fn without_store_and_peers_an_instance_is_not_ready_and_rejects_requests() {
    let mut fleet = Fleet::without_instances(&[SEARCH]);
    fleet.store.handle().set_outage_blocking(Outage::Refuse);
    let instance = fleet.start_instance();
    let response = fleet.call(instance, &Call::get("search.test", "/houses"));
    assert_eq!((response.status.as_u16(), response.execution()), (503, Some("not_run")));
    let ready = fleet.admin(instance, "/ready");
    assert_eq!(ready.status, 503);
    assert!(ready.text().contains("no configuration"), "{}", ready.text());
}
