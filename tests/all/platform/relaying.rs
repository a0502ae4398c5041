//! Changes that reach the instances through a few of them.

use std::time::{Duration, Instant};

use cactustrack_test_support::caller::Call;
use http::StatusCode;

use super::rig::{HOST, Rig, RouteCase, SEARCH, request, wait_for};

const INSTANCES: usize = 12;

/// Time in which a version must be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(2);

const ADDED: RouteCase = RouteCase { prefix: "/added/", ..SEARCH };

fn is_served(rig: &Rig, instance: usize, path: &str) -> bool {
    let call = request(Call::get(HOST, path), "id", Duration::from_secs(3));
    call.send(rig.instances[instance].callers).is_ok_and(|reply| reply.status == StatusCode::OK)
}

fn wait_until_all_hear_all(rig: &Rig) {
    let expected = format!("\"instances_heard\":{INSTANCES}");
    for instance in &rig.instances {
        wait_for("the instances to hear each other", || {
            let status = Call::get("admin", "/status").send(instance.admin);
            status.is_ok_and(|status| status.text().contains(&expected))
        });
    }
}

/// Guards against store calls that grow with the fleet, and against instances that a change does
/// not reach because they do not watch the store themselves, also when relays are killed.
#[test]
fn changes_reach_instances_that_do_not_watch_the_store() {
    let mut rig = Rig::start(1, INSTANCES, &[SEARCH]);
    wait_until_all_hear_all(&rig);
    std::thread::sleep(Duration::from_secs(2));
    let before = rig.store.calls("/cactustrack/kv-watch");
    rig.configure(8, &[SEARCH, ADDED]);
    let changed = Instant::now();
    for instance in 0..INSTANCES {
        wait_for("the version", || is_served(&rig, instance, "/added/x"));
    }
    assert!(changed.elapsed() < IN_FORCE, "{:?}", changed.elapsed());
    std::thread::sleep(Duration::from_secs(1));
    let calls = rig.store.calls("/cactustrack/kv-watch") - before;
    assert!(calls <= 8, "{calls} watch calls for one change");
    // Half of the instances die, relays among them. The others notice by their silence.
    rig.instances.truncate(INSTANCES / 2);
    std::thread::sleep(Duration::from_millis(1_600));
    rig.configure(9, &[ADDED]);
    let changed = Instant::now();
    for instance in 0..INSTANCES / 2 {
        wait_for("the version", || !is_served(&rig, instance, "/search/x"));
    }
    assert!(changed.elapsed() < IN_FORCE, "{:?}", changed.elapsed());
}
