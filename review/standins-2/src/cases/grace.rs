//! The settings file gives a longer grace period than at the start of the process, SIGHUP says so,
//! and later the instance is asked to stop.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::backend::{Backend, success};
use crate::client::Client;
use crate::record::Record;
use crate::store::{CONFIGURATION_KEY, Route, Store, configuration, entry, entry_key};

const GRACE_BEFORE_S: u32 = 6;
const GRACE_S: u32 = 10;

/// Time that the backends need, within the time that the client gives.
const WORK: Duration = Duration::from_millis(7_000);
const DEADLINE: Duration = Duration::from_millis(8_000);

/// One of them gets SIGHUP, a share of 0.25.
const INSTANCES: usize = 4;

const REQUESTS: usize = 3;
const BEFORE_STOP: Duration = Duration::from_millis(300);

pub fn run(has_trouble: bool, record: &Record) -> Option<bool> {
    let store = Store::start();
    let route =
        Route { prefix: "/swaps/", kind: "non_idempotent", service: "symfonia", timeout_s: 8 };
    store.put(CONFIGURATION_KEY, &configuration(7, &[route]));
    let start = |number: usize| {
        let backend = Backend::start(
            &format!("i-{number}"),
            Arc::new(|connection, head| {
                let read = connection.skip(head.length().unwrap_or(0));
                thread::sleep(WORK);
                read.is_ok() && connection.send(&success(head), b"done").is_ok()
            }),
        );
        store.put(&entry_key(&backend.id), &entry("symfonia", backend.address));
        backend
    };
    let backends: Vec<Backend> = (0..REQUESTS).map(start).collect();
    let first_grace = if has_trouble { GRACE_BEFORE_S } else { GRACE_S };
    let nodes = super::start_nodes(INSTANCES, &store, first_grace, record)?;
    record.line(&format!("the settings file says grace-s={GRACE_S}, SIGHUP"));
    nodes[0].write_settings(GRACE_S);
    nodes[0].signal("-HUP");
    thread::sleep(Duration::from_secs(4));
    let front = nodes[0].front;
    let call =
        |_| thread::spawn(move || Client::new(front).call("POST", "/swaps/x", DEADLINE, b"swap"));
    let calls: Vec<_> = (0..REQUESTS).map(call).collect();
    record.line(&format!("{REQUESTS} requests are sent"));
    thread::sleep(BEFORE_STOP);
    record.line("SIGTERM");
    nodes[0].signal("-TERM");
    let mut broken_off = 0;
    for call in calls {
        let outcome = call.join().ok()?.ok()?;
        let is_run =
            backends.iter().any(|it| it.runs().iter().any(|run| run.request == outcome.id));
        record.line_at(
            outcome.ended,
            &format!("{}, reached a backend: {is_run}", outcome.describe()),
        );
        let within = outcome.ended.duration_since(outcome.sent) < DEADLINE;
        let is_served = outcome.status == 200 && outcome.is_signed && outcome.is_whole;
        if is_run && within && !is_served {
            broken_off += 1;
        }
    }
    record.line(&format!("{broken_off} requests were broken off with their backends at work"));
    Some(broken_off > 0)
}
