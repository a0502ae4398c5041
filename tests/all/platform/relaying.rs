//! Propagation of changes through relays, the few instances that watch the store.

use std::time::{Duration, Instant};

use cactustrack_test_support::caller::Call;
use http::StatusCode;

use super::harness::{HOST, Harness, RouteCase, SEARCH, request, wait_for};

const INSTANCES: usize = 12;

/// Time within which a version must be in force on all instances.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(2);

const ADDED: RouteCase = RouteCase { prefix: "/added/", ..SEARCH };

fn is_served(harness: &Harness, instance: usize, path: &str) -> bool {
    let call = request(Call::get(HOST, path), "id", Duration::from_secs(3));
    call.send(harness.instances[instance].callers)
        .is_ok_and(|response| response.status == StatusCode::OK)
}

fn wait_until_fleet_is_connected(harness: &Harness) {
    let expected = format!("\"instances_heard\":{INSTANCES}");
    for instance in &harness.instances {
        wait_for("the instances to discover each other", || {
            let status = Call::get("admin", "/status").send(instance.admin);
            status.is_ok_and(|status| status.text().contains(&expected))
        });
    }
}

/// Guards against store calls that grow with the size of the fleet, and against changes that do not
/// reach instances which do not watch the store themselves, also after relays are killed.
#[test]
fn changes_reach_instances_that_do_not_watch_the_store() {
    let mut harness = Harness::start(1, INSTANCES, &[SEARCH]);
    wait_until_fleet_is_connected(&harness);
    std::thread::sleep(Duration::from_secs(2));
    let before = harness.store.calls("/cactustrack/kv-watch");
    harness.configure(8, &[SEARCH, ADDED]);
    let changed = Instant::now();
    for instance in 0..INSTANCES {
        wait_for("the version", || is_served(&harness, instance, "/added/x"));
    }
    assert!(changed.elapsed() < PROPAGATION_LIMIT, "{:?}", changed.elapsed());
    std::thread::sleep(Duration::from_secs(1));
    let calls = harness.store.calls("/cactustrack/kv-watch") - before;
    assert!(calls <= 8, "{calls} watch calls for one change");
    // Kills half of the instances, among them relays. The others detect it by missing heartbeats.
    harness.instances.truncate(INSTANCES / 2);
    std::thread::sleep(Duration::from_millis(1_600));
    harness.configure(9, &[ADDED]);
    let changed = Instant::now();
    for instance in 0..INSTANCES / 2 {
        wait_for("the version", || !is_served(&harness, instance, "/search/x"));
    }
    assert!(changed.elapsed() < PROPAGATION_LIMIT, "{:?}", changed.elapsed());
}
