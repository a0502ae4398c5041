//! Case: after a drill of the store during a planned restart, two instances own one quota shard.

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
const TENANTS: usize = 40;
/// Tenants that send requests.
const ACTIVE: usize = 3;
const RATE: f64 = 20.0;
const BURST: f64 = 10.0;
const WINDOW_S: f64 = 5.0;
const TOLERANCE: f64 = 0.1;
const SLACK: f64 = 20.0;

fn main() {
    play(run)
}

/// Shard of a tenant, only to choose tenants whose shard moves with the restart.
fn shard_of(tenant: &str) -> u64 {
    let hash = tenant.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    let mut mixed = u64::from((hash ^ (hash >> 32)) as u32);
    mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    (mixed ^ (mixed >> 33)) % 64
}

/// Shards that an instance says it owns.
fn shards(machine: &Machine) -> Vec<u64> {
    let status = get(machine.readiness, "/status").map(|(_, text)| text).unwrap_or_default();
    let status = Json::parse(&status).unwrap_or(Json::Null);
    status.get("quota_shards").list().iter().map(|shard| shard.number() as u64).collect()
}

fn run(program: &str, out: &str) -> Result<bool, String> {
    let record = Record::new(out);
    let runs: Runs = Arc::default();
    let store = Store::start(&record);
    let folder = Folder::new("cactustrack-review");
    let rows: Vec<_> =
        (0..TENANTS).map(|n| format!("[\"tenant-{n}\",[\"key-{n}\"],0,{RATE},{BURST}]")).collect();
    let routes = [("/pay/", "non_idempotent", "svc-a")];
    let text = configuration(3, &routes, &["svc-a"], &rows.join(","));
    store.put("op/config", &text);
    operate(&store, text);
    let backends: Vec<_> = (1..=8)
        .map(|n| Backend::start(&format!("i-a{n}"), "svc-a", Duration::ZERO, &runs, &record))
        .collect();
    backends.iter().for_each(|backend| backend.register(&store));
    let deployment = Deployment {
        folder: folder.0.clone(),
        program: program.to_owned(),
        store: store.address,
        bounds: TENANT_BOUNDS.to_owned(),
        contracts: TENANT_CONTRACTS.to_owned(),
    };
    let mut machines: Vec<_> = (0..INSTANCES)
        .map(|n| Machine::new(&deployment, &format!("front-{n}"), ["zone-a", "zone-b"][n % 2]))
        .collect();
    machines.iter_mut().for_each(Machine::start);
    wait_for("the instances to be ready", 15.0, || machines.iter().all(Machine::is_ready))?;
    wait_for("all quota shards to have an owner", 20.0, || {
        machines.iter().map(|machine| shards(machine).len()).sum::<usize>() == 64
    })?;
    sleep_s(6.0);
    // The instance that is restarted, and tenants whose shard it owns.
    let stopped = (0..INSTANCES).max_by_key(|n| shards(&machines[*n]).len()).unwrap();
    let owned = shards(&machines[stopped]);
    let names = (0..TENANTS).filter(|n| owned.contains(&shard_of(&format!("tenant-{n}"))));
    let active: Vec<_> = names.take(ACTIVE).collect();
    if active.is_empty() {
        return Err("no tenant has a shard of the instance".to_owned());
    }
    let name = machines[stopped].name.clone();
    record.say(&format!("{name} owns {} shards; tenants {active:?} send requests", owned.len()));
    record.say(&format!("SIGTERM to {name} (roll_term)"));
    machines[stopped].signal("-TERM");
    sleep_s(1.0);
    if has_trouble() {
        store.drill(Duration::from_millis(700), Duration::from_millis(1_600));
    } else {
        sleep_s(0.7);
    }
    if !machines[stopped].wait_for_end(Duration::from_secs(7)) {
        return Err(format!("{name} has not ended within its grace"));
    }
    sleep_s(0.3);
    record.say(&format!("{name} starts again"));
    machines[stopped].start();
    wait_for("the instance to be ready", 10.0, || machines[stopped].is_ready())?;
    sleep_s(4.0);
    for machine in &machines {
        let mut known = shards(machine);
        known.sort_unstable();
        record.say(&format!("{} says that it owns {known:?}", machine.name));
    }
    // Traffic long after the drill, to all instances.
    record.say("the tenants send requests to all instances");
    let sent = Arc::new(Sent::default());
    let mut clients = Vec::new();
    for tenant in &active {
        for machine in &machines {
            for _ in 0..4 {
                clients.push(client(*tenant, machine.front, Arc::clone(&sent), record.clone()));
            }
        }
    }
    sleep_s(12.0);
    sent.is_over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().unwrap());
    for machine in &mut machines {
        if machine.has_ended() {
            record.say(&format!("{} has ended by itself", machine.name));
        }
    }
    Ok(check(&active, &runs, &sent, &record))
}

/// Checks QUOTA in each window that begins with a request.
fn check(active: &[usize], runs: &Runs, sent: &Sent, record: &Record) -> bool {
    let (runs, sent_at) = (runs.lock().unwrap(), sent.at.lock().unwrap());
    let limit = (RATE * WINDOW_S + BURST) * (1.0 + TOLERANCE) + SLACK;
    let mut is_kept = true;
    for tenant in active {
        let name = format!("tenant-{tenant}");
        let of_tenant = runs.iter().filter(|run| run.tenant == name);
        let times: Vec<_> =
            of_tenant.filter_map(|run| Some((*sent_at.get(&run.id)?, run.at))).collect();
        let in_window = |from: f64| {
            times.iter().filter(|(sent, run)| *sent >= from && *run < from + WINDOW_S).count()
        };
        let most = times.iter().map(|(sent, _)| in_window(*sent)).max().unwrap_or(0);
        let is_broken = most as f64 > limit;
        is_kept &= !is_broken;
        record.say(&format!(
            "{name}: {} run, at most {most} in {WINDOW_S} s, limit {limit:.0}{}",
            times.len(),
            if is_broken { ": QUOTA was broken" } else { "" }
        ));
    }
    is_kept
}

#[derive(Default)]
struct Sent {
    at: Mutex<HashMap<String, f64>>,
    next: AtomicU64,
    is_over: AtomicBool,
}

fn client(
    tenant: usize,
    to: SocketAddr,
    sent: Arc<Sent>,
    record: Record,
) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        while !sent.is_over.load(Ordering::SeqCst) {
            let id = format!("{:016x}", sent.next.fetch_add(1, Ordering::SeqCst));
            sent.at.lock().unwrap().insert(id.clone(), record.now());
            let key = format!("key-{tenant}");
            let answer = request(to, "POST", "/pay/p", &id, Some(&key), Duration::from_secs(4));
            record.line(&format!("tenant-{tenant} got {id} {}", answer.status));
            sleep_s(0.1);
        }
    })
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
