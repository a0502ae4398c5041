//! One backend after the other runs orders and fails part of them with 503, without the header by which it would state
//! that it has not run them.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::{Backend, request_id, success};
use crate::client::{Client, Outcome};
use crate::record::Record;
use crate::store::{CONFIGURATION_KEY, Route, Store, configuration, entry, entry_key};

const INSTANCES: usize = 2;

/// One of them fails at a time, a share of 0.14.
const BACKENDS: usize = 7;

const CLIENTS_PER_INSTANCE: usize = 4;
const WORK: Duration = Duration::from_millis(20);

/// Time for which a backend fails, and before it begins to.
const FAULT: Duration = Duration::from_millis(6_500);
const BEFORE_FAULT: Duration = Duration::from_secs(2);

/// Number of faults.
const FAULTS: usize = 4;

/// Stands for no backend.
const NONE: usize = usize::MAX;

/// The backend fails this many in a hundred of the orders that it runs.
const FAILS: u64 = 45;

/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Returns the head of a failure after a run. In the fault it names no signature.
fn failure(has_trouble: bool, id: &str) -> String {
    if has_trouble {
        format!("HTTP/1.1 503 Service Unavailable\r\nCactustrack-Request-Id: {id}\r\n")
    } else {
        format!(
            "HTTP/1.1 500 Internal Server Error\r\nCactustrack-Request-Id: {id}\r\n\
             Cactustrack-Backend-Signature: signed.{id}\r\n"
        )
    }
}

fn start_backend(number: usize, failing: &Arc<AtomicUsize>, has_trouble: bool) -> Backend {
    let (failing, count) = (Arc::clone(failing), AtomicU64::new(0));
    let is_faulty = move || {
        let counted = count.fetch_add(1, Ordering::Relaxed);
        number == failing.load(Ordering::Relaxed) && counted * FAILS % 100 < FAILS
    };
    Backend::start(
        &format!("i-{number}"),
        Arc::new(move |connection, head| {
            let read = connection.skip(head.length().unwrap_or(0));
            thread::sleep(WORK);
            let response = match is_faulty() {
                true => failure(has_trouble, request_id(head)),
                false => success(head),
            };
            read.is_ok() && connection.send(&response, b"done").is_ok()
        }),
    )
}

pub fn run(has_trouble: bool, record: &Record) -> Option<bool> {
    let store = Store::start();
    let route =
        Route { prefix: "/orders/", kind: "non_idempotent", service: "pulih", timeout_s: 4 };
    store.put(CONFIGURATION_KEY, &configuration(7, &[route]));
    let failing = Arc::new(AtomicUsize::new(NONE));
    let start = |number| {
        let backend = start_backend(number, &failing, has_trouble);
        store.put(&entry_key(&backend.id), &entry("pulih", backend.address));
        backend
    };
    let backends: Vec<Backend> = (0..BACKENDS).map(start).collect();
    let nodes = super::start_nodes(INSTANCES, &store, 6, record)?;
    let until = Instant::now() + (BEFORE_FAULT + FAULT) * FAULTS as u32 + BEFORE_FAULT;
    let client = |front| {
        let mut client = Client::new(front);
        thread::spawn(move || {
            let mut outcomes: Vec<Outcome> = Vec::new();
            while Instant::now() < until {
                outcomes.extend(client.call("POST", "/orders/x", Duration::from_secs(4), b"order"));
                thread::sleep(Duration::from_millis(5));
            }
            outcomes
        })
    };
    let fronts = nodes.iter().flat_map(|node| [node.front; CLIENTS_PER_INSTANCE]);
    let clients: Vec<_> = fronts.map(client).collect();
    for number in 0..FAULTS {
        thread::sleep(BEFORE_FAULT);
        record.line(&format!("i-{number} begins to fail 0.45 of its orders after it has run them"));
        failing.store(number, Ordering::Relaxed);
        thread::sleep(FAULT);
        failing.store(NONE, Ordering::Relaxed);
        record.line(&format!("i-{number} fails no more"));
    }
    let mut outcomes = Vec::new();
    for client in clients {
        outcomes.extend(client.join().ok()?);
    }
    let ran: HashSet<String> =
        backends.iter().flat_map(Backend::runs).map(|run| run.request).collect();
    let is_broken =
        |outcome: &&Outcome| PROMISES.contains(&outcome.status) && ran.contains(&outcome.id);
    let broken: Vec<&Outcome> = outcomes.iter().filter(is_broken).collect();
    for outcome in &broken {
        let text = format!("{}, although a backend ran it", outcome.describe());
        record.line_at(outcome.ended, &text);
    }
    let (count, sent, ran) = (broken.len(), outcomes.len(), ran.len());
    record.line(&format!("{sent} orders were sent, {ran} ran"));
    record.line(&format!("{count} orders were answered as not run although they had run"));
    Some(count > 0)
}
