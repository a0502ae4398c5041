//! Case: a write of a backend's entry that the store executes late makes a draining backend usable.

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

const INSTANCES: usize = 4;
const BACKENDS: usize = 8;
/// Backends that leave.
const LEAVING: usize = 2;
const DRAIN_S: f64 = 2.0;
/// Time after which the store executes the write whose answer is lost.
const LATE_S: f64 = 5.2;
/// Time from that write to the report that the backend drains. The store counts as stable again.
const REPORT_AFTER_S: f64 = 3.05;

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
    let backends: Vec<_> = (0..BACKENDS)
        .map(|n| Backend::start(&format!("i-{n}"), "svc-a", Duration::ZERO, &runs, &record))
        .collect();
    let (leaving, others) = backends.split_at(LEAVING);
    others.iter().for_each(|backend| backend.register(&store));
    for backend in leaving {
        backend.write(&store);
    }
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
    // The backends that leave later write with each heartbeat until then.
    for _ in 0..4 {
        sleep_s(HEARTBEAT.as_secs_f64());
        for backend in leaving {
            backend.write(&store);
        }
    }
    let sent = Arc::new(Sent::default());
    let mut clients = Vec::new();
    for machine in &machines {
        for _ in 0..4 {
            clients.push(client(machine.front, Arc::clone(&sent), record.clone()));
        }
    }
    sleep_s(HEARTBEAT.as_secs_f64());
    let started = record.now();
    let until = |at: f64| sleep_s((started + at - record.now()).max(0.0));
    for backend in leaving {
        let beat = backend.next_beat();
        if has_trouble() {
            record.say(&format!(
                "{} writes {} with seq {}, the answer is lost",
                backend.id,
                state_of(&beat),
                beat.seq
            ));
            execute_late(&store, beat, &record);
        } else {
            store.put_entry(&beat);
        }
    }
    for at in [1.5, 3.0] {
        until(at);
        for backend in leaving {
            backend.write(&store);
        }
    }
    until(REPORT_AFTER_S);
    let mut acknowledged = HashMap::new();
    for backend in leaving {
        backend.is_leaving.store(true, Ordering::SeqCst);
        let beat = backend.next_beat();
        let rev = store.put_entry(&beat).ok_or("the store did not accept the report")?;
        acknowledged.insert(backend.id.clone(), record.now());
        record.say(&format!(
            "{} writes {} with seq {}, acknowledged at revision {rev}",
            backend.id,
            state_of(&beat),
            beat.seq
        ));
    }
    for beat in 1..=4 {
        until(REPORT_AFTER_S + f64::from(beat) * HEARTBEAT.as_secs_f64());
        for backend in leaving {
            backend.write(&store);
        }
    }
    until(10.0);
    sent.is_over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().unwrap());
    for machine in &mut machines {
        if machine.has_ended() {
            record.say(&format!("{} has ended by itself", machine.name));
        }
    }
    let (runs, sent_at) = (runs.lock().unwrap(), sent.at.lock().unwrap());
    let mut late = 0;
    for run in runs.iter() {
        let (Some(at), Some(sent)) = (acknowledged.get(&run.backend), sent_at.get(&run.id)) else {
            continue;
        };
        if *sent > at + DRAIN_S {
            late += 1;
            record.say(&format!(
                "DRAIN: {} reached {} {:.2} s after the acknowledgement",
                run.id,
                run.backend,
                run.at - at
            ));
        }
    }
    record.say(&format!("{} requests sent, {} run", sent_at.len(), runs.len()));
    record.say(if late == 0 { "DRAIN held" } else { "DRAIN was broken" });
    Ok(late == 0)
}

fn state_of(beat: &Beat) -> &str {
    if beat.fields.contains("draining") { "draining" } else { "ready" }
}

/// Lets the store execute a write whose answer is lost.
fn execute_late(store: &Store, beat: Beat, record: &Record) {
    let (store, record) = (store.clone(), record.clone());
    thread::spawn(move || {
        sleep_s(LATE_S);
        let rev = store.put_entry(&beat);
        let (key, seq) = (&beat.key, beat.seq);
        record.say(&format!("store: executes the late write of {key} with seq {seq}: {rev:?}"));
    });
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
            let n = sent.next.fetch_add(1, Ordering::SeqCst);
            let id = format!("{n:016x}");
            let (method, path) =
                if n % 2 == 0 { ("POST", "/orders/o") } else { ("GET", "/search/s") };
            sent.at.lock().unwrap().insert(id.clone(), record.now());
            let answer = request(to, method, path, &id, None, Duration::from_secs(3));
            record.line(&format!("got {id} {} {}", answer.status, answer.backend));
            sleep_s(0.3);
        }
    })
}
