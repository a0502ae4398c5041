//! Case: after a drill of the store, backends that report `draining` still get requests.

#[allow(dead_code, reason = "each case uses a part of the stand-ins")]
#[path = "lib.rs"]
mod lib;

use lib::*;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const DRAIN_S: f64 = 2.0;
const INSTANCES: usize = 6;
const BACKENDS: usize = 8;
/// Backends that are added, a quarter of them.
const ADDED: usize = 2;
/// Backends that leave, a quarter of the first ones.
const LEAVING: usize = 2;

fn main() {
    play(run)
}

fn run(program: &str, out: &str) -> Result<bool, String> {
    let record = Record::new(out);
    let runs: Runs = Arc::default();
    let store = Store::start(&record);
    let folder = Folder::new("cactustrack-review");
    let routes = [("/orders/", "non_idempotent", "svc-a"), ("/search/", "idempotent", "svc-a")];
    store.put("op/config", &configuration(3, &routes, &["svc-a"], ""));
    let first: Vec<_> = (1..=BACKENDS)
        .map(|n| Backend::start(&format!("i-a{n}"), "svc-a", Duration::ZERO, &runs, &record))
        .collect();
    first.iter().for_each(|backend| backend.register(&store));
    operate(&store, configuration(3, &routes, &["svc-a"], ""));
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
    let clients: Vec<_> = machines
        .iter()
        .enumerate()
        .map(|(n, machine)| client(n, machine.front, Arc::clone(&sent), record.clone()))
        .collect();
    record.say("traffic starts; two backends are added (scale_out)");
    let added: Vec<_> = (1..=ADDED)
        .map(|n| {
            Backend::start(&format!("i-b{n}"), "svc-a", Duration::from_secs(3), &runs, &record)
        })
        .collect();
    added.iter().for_each(|backend| backend.register(&store));
    sleep_s(5.0);
    if has_trouble() {
        store.drill(Duration::from_secs(1), Duration::from_secs_f64(5.5));
    } else {
        sleep_s(1.0);
    }
    // Twice the time after which calm machines are in touch again.
    sleep_s(6.0);
    record.say(&format!("store: revision {}; {}", store.revision(), store.items("").join(" ")));
    // The clients rest when the backends begin to leave.
    sleep_s(PERIOD_S - record.now() % PERIOD_S + 1.0);
    // Some backends leave. Each serves on for some seconds.
    let mut acknowledged = Vec::new();
    for backend in &first[..LEAVING] {
        backend.is_leaving.store(true, Ordering::SeqCst);
        let rev = backend.write(&store).ok_or("the store did not accept the report")?;
        acknowledged.push((backend.id.clone(), record.now()));
        record.say(&format!("{} reports draining, acknowledged at revision {rev}", backend.id));
    }
    sleep_s(10.0);
    for backend in &first[..LEAVING] {
        backend.is_gone.store(true, Ordering::SeqCst);
        store.remove(&format!("servers/{}", backend.id));
    }
    record.say("the backends that left have ended");
    sleep_s(3.0);
    sent.is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    for machine in &mut machines {
        if machine.has_ended() {
            record.say(&format!("{} has ended by itself", machine.name));
        }
    }
    record.say(&format!("store: calls {}", store.calls()));
    let runs = runs.lock().unwrap();
    let sent_at = sent.at.lock().unwrap();
    let sent_time = |id: &str| sent_at.iter().find(|(known, _)| known == id).map(|(_, at)| *at);
    let mut late = Vec::new();
    for run in runs.iter() {
        let leaving = acknowledged.iter().find(|(id, _)| *id == run.backend);
        let (Some((_, at)), Some(sent)) = (leaving, sent_time(&run.id)) else { continue };
        if sent > at + DRAIN_S {
            late.push((run, run.at - at));
        }
    }
    record.say(&format!("{} requests sent, {} run", sent_at.len(), runs.len()));
    for (run, after) in &late {
        record.say(&format!(
            "DRAIN: {} reached {} {after:.2} s after the acknowledgement",
            run.id, run.backend
        ));
    }
    record.say(if late.is_empty() { "DRAIN held" } else { "DRAIN was broken" });
    Ok(late.is_empty())
}

#[derive(Default)]
struct Sent {
    at: Mutex<Vec<(String, f64)>>,
    next: AtomicU64,
    is_over: AtomicBool,
}

/// Period of the clients, scripts that send some requests and then rest.
const PERIOD_S: f64 = 6.0;
const REQUESTS_AT_ONCE: usize = 4;

/// Sends some requests to one instance in each period.
fn client(
    number: usize,
    to: std::net::SocketAddr,
    sent: Arc<Sent>,
    record: Record,
) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        while !sent.is_over.load(Ordering::SeqCst) {
            let requests: Vec<_> = (0..REQUESTS_AT_ONCE)
                .map(|_| {
                    let (sent, record) = (Arc::clone(&sent), record.clone());
                    thread::spawn(move || send(number, to, &sent, &record))
                })
                .collect();
            requests.into_iter().for_each(|request| request.join().unwrap());
            let rest = PERIOD_S - record.now() % PERIOD_S;
            sleep_s(rest);
        }
    })
}

fn send(number: usize, to: std::net::SocketAddr, sent: &Sent, record: &Record) {
    let n = sent.next.fetch_add(1, Ordering::SeqCst);
    let id = format!("{n:016x}");
    let (method, path) = if n % 2 == 0 { ("POST", "/orders/o") } else { ("GET", "/search/s") };
    sent.at.lock().unwrap().push((id.clone(), record.now()));
    record.line(&format!("client {number} sends {id} {method} {path} to front-{number}"));
    let answer = request(to, method, path, &id, None, Duration::from_secs(3));
    record.line(&format!("client {number} got {id} {} {}", answer.status, answer.backend));
}

/// The operator keeps its configuration in the store.
fn operate(store: &Store, text: String) {
    let store = store.clone();
    thread::spawn(move || {
        loop {
            store.put("op/config", &text);
            sleep_s(0.5);
        }
    });
}
