//! Backends and clients of orders, for the cases in which backends leave.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::{Backend, success};
use crate::client::Client;
use crate::node::Node;
use crate::record::Record;
use crate::store::{CONFIGURATION_KEY, Route, Store, configuration, entry, entry_key};

/// `drain-s` of the site.
pub const DRAIN: Duration = Duration::from_secs(2);

/// Enough instances that not all of them watch the store themselves.
pub const INSTANCES: usize = 7;

/// Number of backends that stay.
const STAYING: usize = 4;

const CLIENTS_PER_INSTANCE: usize = 3;
const WORK: Duration = Duration::from_millis(20);
const DEADLINE: Duration = Duration::from_secs(4);

/// Writes the configuration and starts the backends that stay.
pub fn start(store: &Store) -> Vec<Backend> {
    let route =
        Route { prefix: "/orders/", kind: "non_idempotent", service: "pulih", timeout_s: 4 };
    store.put(CONFIGURATION_KEY, &configuration(7, &[route]));
    (0..STAYING).map(|number| start_backend(&format!("i-stay-{number}"), store)).collect()
}

/// Starts a backend and lists it.
pub fn start_backend(id: &str, store: &Store) -> Backend {
    let backend = Backend::start(
        id,
        Arc::new(|connection, head| {
            let read = connection.skip(head.length().unwrap_or(0));
            thread::sleep(WORK);
            read.is_ok() && connection.send(&success(head), b"done").is_ok()
        }),
    );
    store.put(&entry_key(id), &entry("pulih", backend.address));
    backend
}

/// A request that a client sent.
#[derive(Clone, Copy)]
struct Sent {
    at: Instant,
    instance: usize,
}

/// Clients that send orders until they are stopped.
pub struct Clients {
    sent: Arc<Mutex<HashMap<String, Sent>>>,
    is_ended: Arc<AtomicBool>,
}

impl Clients {
    pub fn start(nodes: &[Node]) -> Self {
        let clients = Self { sent: Arc::default(), is_ended: Arc::default() };
        for (instance, node) in nodes.iter().enumerate() {
            for _ in 0..CLIENTS_PER_INSTANCE {
                clients.start_one(instance, Client::new(node.front));
            }
        }
        clients
    }

    fn start_one(&self, instance: usize, mut client: Client) {
        let (sent, is_ended) = (Arc::clone(&self.sent), Arc::clone(&self.is_ended));
        thread::spawn(move || {
            while !is_ended.load(Ordering::Relaxed) {
                if let Ok(outcome) = client.call("POST", "/orders/x", DEADLINE, b"order") {
                    let request = Sent { at: outcome.sent, instance };
                    lock(&sent).insert(outcome.id, request);
                }
                thread::sleep(Duration::from_millis(5));
            }
        });
    }

    /// Stops the clients, and waits for the answers in flight.
    pub fn stop(&self, record: &Record) {
        self.is_ended.store(true, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(300));
        record.line(&format!("{} requests were sent", lock(&self.sent).len()));
    }

    /// Records the requests that reached a backend later than `from` after the store acknowledged
    /// the removal of its entry. Returns their number.
    pub fn count_late(
        &self,
        backend: &Backend,
        removed: Instant,
        from: Duration,
        record: &Record,
    ) -> usize {
        let (sent, runs, id) = (lock(&self.sent), backend.runs(), &backend.id);
        let after = |at: Instant| at.saturating_duration_since(removed);
        let last = runs.iter().map(|run| after(run.at)).max().unwrap_or_default().as_secs_f64();
        let count = runs.len();
        record.line(&format!(
            "{id} ran {count} requests, the last one {last:.3} s after its removal"
        ));
        let late = runs.iter().filter(|run| after(run.at) > from);
        let late = late.filter_map(|run| Some((run, *sent.get(&run.request)?)));
        let late: Vec<_> = late.collect();
        for (run, Sent { at, instance }) in &late {
            let (at, reached) = (after(*at).as_secs_f64(), after(run.at).as_secs_f64());
            record.line(&format!(
                "late: request {}, sent to instance {instance} {at:.3} s after the removal, \
                 reached {id} {reached:.3} s after it",
                run.request
            ));
        }
        late.len()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}
