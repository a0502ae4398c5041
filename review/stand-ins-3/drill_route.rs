//! Case: after a drill of the store, no instance learns of a configuration that moves a route.

#[allow(dead_code, reason = "each case uses a part of the stand-ins")]
#[path = "lib.rs"]
mod lib;

use lib::*;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const INSTANCES: usize = 6;
const CONFIG_APPLY_S: f64 = 2.0;
/// Time after the end of the drill from which the store is stable and all machines are in touch.
const STABLE_WINDOW_S: f64 = 3.0;
/// Interval at which the operator repeats a write that the store has not accepted.
const OPERATOR_RETRY_S: f64 = 0.05;

fn main() {
    play(run)
}

/// The operator's configuration. Version 7 adds a route, and version 8 moves the first one.
fn version(number: u64) -> String {
    let mut routes =
        vec![("/orders/", "non_idempotent", if number >= 8 { "svc-b" } else { "svc-a" })];
    if number >= 7 {
        routes.push(("/search/", "idempotent", "svc-a"));
    }
    configuration(number, &routes, &["svc-a", "svc-b"], "")
}

fn run(program: &str, out: &str) -> Result<bool, String> {
    let record = Record::new(out);
    let runs: Runs = Arc::default();
    let store = Store::start(&record);
    let folder = Folder::new("cactustrack-review");
    let operator = Operator::start(&store, version(6), &record);
    let backends: Vec<_> = ["svc-a", "svc-a", "svc-b", "svc-b"]
        .iter()
        .enumerate()
        .map(|(n, name)| Backend::start(&format!("i-{n}"), name, Duration::ZERO, &runs, &record))
        .collect();
    backends.iter().for_each(|backend| backend.register(&store));
    let deployment = Deployment {
        folder: folder.0.clone(),
        program: program.to_owned(),
        store: store.address,
        bounds: BOUNDS.to_owned(),
        contracts: CONTRACTS.to_owned(),
    };
    let mut machines: Vec<_> = (0..INSTANCES)
        .map(|n| Machine::new(&deployment, &format!("front-{n}"), ["zone-a", "zone-b"][n % 2]))
        .collect();
    machines.iter_mut().for_each(Machine::start);
    wait_for("the instances to be ready", 15.0, || machines.iter().all(Machine::is_ready))?;
    sleep_s(8.0);
    let sent = Arc::new(Sent::default());
    let mut clients = Vec::new();
    for machine in &machines {
        clients.push(client(machine.front, Arc::clone(&sent), record.clone()));
    }
    sleep_s(2.0);
    operator.write(version(7));
    operator.wait_for_ack(7, &store)?;
    sleep_s(2.0);
    let moved = if has_trouble() {
        let drill = {
            let store = store.clone();
            thread::spawn(move || store.drill(Duration::from_secs(1), Duration::from_secs_f64(2.5)))
        };
        sleep_s(0.5);
        operator.write(version(8));
        drill.join().unwrap();
        operator.wait_for_ack(8, &store)?
    } else {
        sleep_s(0.5);
        operator.write(version(8));
        operator.wait_for_ack(8, &store)?
    };
    sleep_s(STABLE_WINDOW_S + 10.0);
    sent.is_over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().unwrap());
    for machine in &mut machines {
        if machine.has_ended() {
            record.say(&format!("{} has ended by itself", machine.name));
        }
    }
    record.say(&format!("store: {}", store.items("op/").join(" ")));
    let (runs, sent_at) = (runs.lock().unwrap(), sent.at.lock().unwrap());
    let old: Vec<_> = backends.iter().filter(|backend| backend.service == "svc-a").collect();
    let late = runs.iter().filter(|run| old.iter().any(|backend| backend.id == run.backend));
    let late = late.filter(|run| {
        sent_at.get(&run.id).is_some_and(|at| *at > moved + CONFIG_APPLY_S.max(STABLE_WINDOW_S))
    });
    let late: Vec<_> = late.collect();
    for run in &late {
        let after = sent_at[&run.id] - moved;
        record.line(&format!(
            "CONFIG: {}, sent {after:.1} s after the acknowledgement, was run by {} \
            of the old service",
            run.id, run.backend
        ));
    }
    let count = late.len();
    record.say(&if count == 0 {
        "CONFIG held".to_owned()
    } else {
        format!(
            "CONFIG was broken: {count} requests were run by the old service, sent later than \
                 {STABLE_WINDOW_S} s after the acknowledgement"
        )
    });
    Ok(late.is_empty())
}

/// The operator, which writes its newest configuration until the store has accepted it.
struct Operator {
    newest: Arc<Mutex<String>>,
    acknowledged: Arc<Mutex<HashMap<String, f64>>>,
}

impl Operator {
    fn start(store: &Store, first: String, record: &Record) -> Self {
        let operator = Self { newest: Arc::new(Mutex::new(first)), acknowledged: Arc::default() };
        let (newest, acknowledged) =
            (Arc::clone(&operator.newest), Arc::clone(&operator.acknowledged));
        let (store, record) = (store.clone(), record.clone());
        thread::spawn(move || {
            loop {
                let text = newest.lock().unwrap().clone();
                if let Some(rev) = store.put("op/config", &text) {
                    let now = record.now();
                    let mut known = acknowledged.lock().unwrap();
                    if !known.contains_key(&text) {
                        known.insert(text.clone(), now);
                        let start: String = text.chars().take(14).collect();
                        record.say(&format!("operator: {start} acknowledged at revision {rev}"));
                    }
                }
                sleep_s(OPERATOR_RETRY_S);
            }
        });
        operator
    }

    fn write(&self, text: String) {
        *self.newest.lock().unwrap() = text;
    }

    /// Returns the time at which the store has acknowledged the newest configuration.
    fn wait_for_ack(&self, number: u64, _store: &Store) -> Result<f64, String> {
        let mut at = 0.0;
        wait_for(&format!("the acknowledgement of version {number}"), 10.0, || {
            let text = self.newest.lock().unwrap().clone();
            let known = self.acknowledged.lock().unwrap().get(&text).copied();
            at = known.unwrap_or_default();
            known.is_some()
        })?;
        Ok(at)
    }
}

#[derive(Default)]
struct Sent {
    at: Mutex<HashMap<String, f64>>,
    next: AtomicU64,
    is_over: AtomicBool,
}

fn client(to: SocketAddr, sent: Arc<Sent>, record: Record) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        while !sent.is_over.load(Ordering::SeqCst) {
            let id = format!("{:016x}", sent.next.fetch_add(1, Ordering::SeqCst));
            sent.at.lock().unwrap().insert(id.clone(), record.now());
            let answer = request(to, "POST", "/orders/o", &id, None, Duration::from_secs(4));
            record.line(&format!("got {id} {} {}", answer.status, answer.backend));
            sleep_s(0.5);
        }
    })
}
