//! Faulty upstreams are ejected on every instance, and no instance goes below the floor.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use cactustrack::cli::Exit;
use cactustrack_test_support::caller::Call;
use cactustrack_test_support::instance_list::FakeInstanceList;
use cactustrack_test_support::link::Link;
use cactustrack_types::{ListingState, Role};
use serde_json::Value;

use super::harness::{Fleet, SEARCH, ServiceCase, wait_until};

/// Closed-loop callers at all instances. They send requests until the load is dropped.
struct Load {
    stop: Arc<AtomicBool>,
    failed: Arc<AtomicU64>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    fn start(fleet: &Fleet, instances: usize, callers_per_instance: usize) -> Self {
        let (stop, failed) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let callers = (0..instances * callers_per_instance).map(|n| fleet.callers(n % instances));
        let threads = callers.map(|address| {
            let (stop, failed) = (Arc::clone(&stop), Arc::clone(&failed));
            thread::spawn(move || {
                let call = Call::get("search.test", "/houses");
                while !stop.load(Ordering::Relaxed) {
                    let served = call.send(address).is_ok_and(|response| response.status == 200);
                    failed.fetch_add(u64::from(!served), Ordering::Relaxed);
                    thread::sleep(Duration::from_millis(5));
                }
            })
        });
        let threads = threads.collect();
        Self { stop, failed, threads }
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// Returns the upstreams of the service in the status of an instance.
fn upstreams(fleet: &Fleet, instance: usize) -> Vec<Value> {
    let status = fleet.status(instance);
    status["services"][0]["upstreams"].as_array().cloned().unwrap_or_default()
}

fn upstream(fleet: &Fleet, instance: usize, id: &str) -> Value {
    let found = upstreams(fleet, instance).into_iter().find(|candidate| candidate["id"] == id);
    found.unwrap_or_default()
}

/// Returns the weight of an upstream on an instance.
fn weight(fleet: &Fleet, instance: usize, id: &str) -> f64 {
    upstream(fleet, instance, id)["weight"].as_f64().unwrap_or_default()
}

/// Returns the capacity in service on an instance, in upstreams.
fn capacity(fleet: &Fleet, instance: usize) -> f64 {
    let upstreams = upstreams(fleet, instance);
    upstreams.iter().filter_map(|upstream| upstream["weight"].as_f64()).sum()
}

fn wait_until_warm(fleet: &Fleet, instances: usize) {
    wait_until("all upstreams are in full service", || {
        (0..instances).all(|n| capacity(fleet, n) >= f64::from(SEARCH.upstreams))
    });
}

/// Guards against an upstream with a gray failure that still gets requests, and against an ejection
/// without an explanation.
#[test]
fn a_gray_failure_is_ejected_on_every_instance_and_explained() {
    let fleet = Fleet::start(&[SEARCH], 3);
    let load = Load::start(&fleet, 3, 2);
    wait_until_warm(&fleet, 3);
    thread::sleep(Duration::from_secs(2));
    fleet.upstream("search", 1).set(|behaviour| behaviour.failure_rate = 1.0);
    wait_until("the upstream is ejected everywhere", || {
        (0..3).all(|instance| weight(&fleet, instance, "search-1") == 0.0)
    });
    for instance in 0..3 {
        assert!(capacity(&fleet, instance) >= f64::from(SEARCH.floor));
        for healthy in ["search-0", "search-2", "search-3", "search-4"] {
            assert!(weight(&fleet, instance, healthy) > 0.0, "{healthy} is healthy");
        }
    }
    let admin = fleet.admin_url(0);
    let arguments = ["explain", "search", "search-1", "--admin", &admin, "--key-file"];
    let (exit, text) = fleet.cli(&[&arguments[..], &[&fleet.key_file()]].concat());
    assert_eq!(exit, Exit::Ok, "{text}");
    assert!(text.contains("search-1") && text.contains("ejected"), "{text}");

    // After the fault it is readmitted and its share rises to the full value.
    fleet.upstream("search", 1).set(|behaviour| behaviour.failure_rate = 0.0);
    wait_until("the upstream is readmitted everywhere", || {
        (0..3).all(|instance| weight(&fleet, instance, "search-1") == 1.0)
    });
    drop(load);
}

/// Guards against ejections that take the service below its floor while the store is down.
#[test]
fn the_floor_holds_when_more_upstreams_fail_than_may_be_ejected() {
    let floor_of_four = ServiceCase { floor: 4, ..SEARCH };
    let fleet = Fleet::start(&[floor_of_four], 3);
    let load = Load::start(&fleet, 3, 2);
    wait_until_warm(&fleet, 3);
    fleet.store.handle().set_outage_blocking(cactustrack_test_support::store::Outage::Refuse);
    thread::sleep(Duration::from_secs(2));
    for number in [1, 3] {
        fleet.upstream("search", number).set(|behaviour| behaviour.failure_rate = 1.0);
    }
    let mut lowest = f64::INFINITY;
    // Ejections end and are renewed during the test, so the instances need not be at the floor at
    // the same time.
    let mut bound = [false; 3];
    wait_until("the floor keeps a faulty upstream in service on every instance", || {
        for (instance, bound) in bound.iter_mut().enumerate() {
            lowest = lowest.min(capacity(&fleet, instance));
            *bound |= ["search-1", "search-3"]
                .iter()
                .any(|id| upstream(&fleet, instance, id)["standing"] == "kept for the floor");
        }
        lowest < 4.0 || bound.iter().all(|bound| *bound)
    });
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(3) {
        for instance in 0..3 {
            lowest = lowest.min(capacity(&fleet, instance));
        }
    }
    assert!(lowest >= 4.0 - 1e-9, "capacity fell to {lowest} upstreams, the floor is 4");
    drop(load);
}

/// Guards against ejections of healthy upstreams when all of them slow down at the same time.
#[test]
fn a_shared_slowdown_ejects_no_upstream() {
    let fleet = Fleet::start(&[SEARCH], 3);
    let load = Load::start(&fleet, 3, 2);
    wait_until_warm(&fleet, 3);
    for number in 0..fleet.upstreams("search") {
        fleet.upstream("search", number).set(|b| b.latency = Duration::from_millis(200));
    }
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(6) {
        for instance in 0..3 {
            let capacity = capacity(&fleet, instance);
            assert!(capacity >= f64::from(SEARCH.upstreams), "capacity fell to {capacity}");
        }
    }
    drop(load);
}

/// Guards against new requests to an upstream that the instance list shows as leaving.
#[test]
fn a_leaving_upstream_gets_no_new_requests() {
    let fleet = Fleet::start(&[SEARCH], 2);
    let load = Load::start(&fleet, 2, 2);
    wait_until_warm(&fleet, 2);
    fleet.list.update(|entries| {
        let entry = entries.iter_mut().find(|entry| &*entry.id == "search-2").expect("listed");
        entry.state = ListingState::Leaving;
    });
    wait_until("no instance uses the leaving upstream", || {
        (0..2).all(|instance| weight(&fleet, instance, "search-2") == 0.0)
    });
    // Requests routed before the change may still arrive, later ones must not.
    thread::sleep(Duration::from_millis(500));
    let before = fleet.upstream("search", 2).requests();
    thread::sleep(Duration::from_secs(2));
    assert_eq!(fleet.upstream("search", 2).requests(), before);
    assert_eq!(load.failed.load(Ordering::Relaxed), 0, "no request may fail because of it");
}

/// Guards against an ejection when open connections of an upstream stop responding while new ones
/// work.
#[test]
fn silent_connections_do_not_eject_the_upstream() {
    let fleet = Fleet::start(&[SEARCH], 2);
    for number in 0..fleet.upstreams("search") {
        fleet.upstream("search", number).set(|b| b.latency = Duration::from_millis(20));
    }
    let load = Load::start(&fleet, 2, 16);
    wait_until_warm(&fleet, 2);
    thread::sleep(Duration::from_secs(1));
    fleet.upstream("search", 0).silence_open_connections();
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(5) {
        for instance in 0..2 {
            let weight = weight(&fleet, instance, "search-0");
            assert!(weight > 0.0, "a healthy upstream was ejected");
        }
        thread::sleep(Duration::from_millis(50));
    }
    drop(load);
}

/// Guards against an instance with a faulty link whose evidence ejects healthy upstreams on other
/// instances, or which stays ready although it cannot serve requests.
#[test]
fn an_isolated_instance_causes_no_ejections_on_others_and_is_not_ready() {
    let mut fleet = Fleet::start(&[SEARCH], 3);
    // The instance reaches each upstream through a link of its own. All links are cut later.
    let mut entries = fleet.entries();
    let links: Vec<Link> = entries
        .iter_mut()
        .filter(|entry| entry.role != Role::Instance)
        .map(|entry| {
            let link = Link::spawn(entry.address);
            entry.address = link.address;
            link
        })
        .collect();
    let list = FakeInstanceList::spawn(entries);
    let isolated = fleet.start_instance_with_list(&list.url());
    fleet.wait_ready(isolated);
    let load = Load::start(&fleet, 4, 2);
    wait_until_warm(&fleet, 4);
    thread::sleep(Duration::from_secs(2));
    for link in &links {
        link.control.set(|state| state.is_down = true);
    }
    wait_until("the instance reports that it is isolated", || {
        for instance in 0..3 {
            let capacity = capacity(&fleet, instance);
            assert!(capacity >= f64::from(SEARCH.upstreams), "capacity fell to {capacity}");
        }
        fleet.admin(isolated, "/ready").text().contains("isolated")
    });
    for instance in 0..3 {
        assert_eq!(fleet.admin(instance, "/ready").status, 200);
    }
    drop(load);
}
