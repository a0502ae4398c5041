//! Strict revocation after the store has come back from an older copy.

use std::thread;
use std::time::{Duration, Instant};

use cactustrack_test_support::caller::Call;
use http::StatusCode;

use super::harness::{
    AccountCase, HOST, Harness, Process, ProcessOptions, SEARCH, request, wait_for,
};
use super::store::Mode;

/// Time after the store has acknowledged a revocation from which no request with the key may run.
const BOUND: Duration = Duration::from_secs(5);

/// Interval of heartbeats with their jitter, and the time for the next one to arrive.
const HEARTBEAT_TIME: Duration = Duration::from_millis(1_500);

const STRICT: ProcessOptions =
    ProcessOptions { max_descriptors: 4_100, revocation: Some(BOUND), memory_mb: None };

const KEPT: AccountCase = AccountCase { name: "kept", api_keys: &["key-kept"] };
const REVOKED: AccountCase = AccountCase { name: "revoked", api_keys: &["key-revoked"] };

fn status(harness: &Harness, instance: usize, key: &str) -> StatusCode {
    let call = request(Call::get(HOST, "/search/x"), "id", Duration::from_secs(3));
    harness.call(instance, &call.with_header("authorization", &format!("Bearer {key}"))).status
}

/// Starts an instance, revokes a key, and brings the store back from a copy without the revocation.
fn restore_without_revocation() -> Harness {
    let mut harness = Harness::start(1, 0, &[SEARCH]);
    harness.configure_accounts(4, &[SEARCH], &[KEPT, REVOKED]);
    harness.instances.push(Process::start_with(0, harness.store.address, STRICT));
    wait_for("an instance to be ready", || harness.instances[0].is_ready());
    let copy = harness.store.copy();
    harness.configure_accounts(5, &[SEARCH], &[KEPT]);
    wait_for("the revocation to be in force", || {
        status(&harness, 0, "key-revoked") == StatusCode::UNAUTHORIZED
    });
    harness.store.set_mode(Mode::Busy);
    thread::sleep(Duration::from_secs(1));
    harness.store.restore(copy);
    harness.store.set_mode(Mode::Serving);
    harness
}

/// Returns the time of the last request with the revoked key that the second instance accepts within
/// the bound, `None` if it accepts none.
fn last_accepted(harness: &Harness) -> Option<Duration> {
    let started = Instant::now();
    let mut last = None;
    while started.elapsed() < BOUND {
        if status(harness, 1, "key-revoked") == StatusCode::OK {
            last = Some(started.elapsed());
        }
        thread::sleep(Duration::from_millis(50));
    }
    last
}

/// Guards against a revoked key that is accepted for almost the whole bound by an instance that starts
/// after the store has come back from a copy. The relay that it hears has the newer version in force,
/// but has read the copy too, so that the revision that it states is of the new era.
#[test]
fn a_relay_that_has_read_the_copy_shows_that_the_copy_is_old() {
    let mut harness = restore_without_revocation();
    // The relay reads the copy.
    thread::sleep(BOUND);
    harness.instances.push(Process::start_with(1, harness.store.address, STRICT));
    for instance in &harness.instances {
        wait_for("the instances to discover each other", || {
            let status = Call::get("admin", "/status").send(instance.admin);
            status.is_ok_and(|status| status.text().contains("\"instances_heard\":2"))
        });
    }
    thread::sleep(HEARTBEAT_TIME);
    let last = last_accepted(&harness);
    assert_eq!(last, None, "time of the last request with the revoked key, after a heartbeat");
}

/// Guards against a revoked key that is accepted by an instance which starts after the store has come
/// back from a copy, before the instance has heard a peer that knows the revocation.
#[test]
fn an_instance_that_starts_on_a_copy_accepts_no_key_before_it_hears_its_peers() {
    let mut harness = restore_without_revocation();
    harness.instances.push(Process::start_with(1, harness.store.address, STRICT));
    assert_eq!(last_accepted(&harness), None, "time of the last request with the revoked key");
}
