//! The cases.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::callers::{Callers, Habit, Rotation};
use crate::node::Node;
use crate::record::Record;
use crate::server::{Choose, Conduct, Server};
use crate::store::Store;
use crate::traffic::{Kind, Sent, Traffic};

/// `drain-s` of the settings.
const DRAIN: Duration = Duration::from_secs(2);
/// `stable-window-s` of the settings.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// `grace-s` of the settings.
const GRACE: Duration = Duration::from_secs(6);
/// Time for which a backend works on a request.
const WORK: Duration = Duration::from_millis(230);

pub struct Setup {
    /// Folder of the settings and logs of the instances.
    pub temporary: PathBuf,
    pub record: Arc<Record>,
    pub has_trouble: bool,
}

const ORDER: Kind = Kind {
    method: "POST",
    path: "/xapu221/ny95/2f",
    host: "hulo84.example",
    body_bytes: 4_000,
    is_chunked: false,
    deadline: Duration::from_secs(4),
};

const DOWNLOAD: Kind = Kind {
    method: "GET",
    path: "/fiti832/ti23/2f",
    host: "jepu9.example",
    body_bytes: 0,
    is_chunked: false,
    deadline: Duration::from_secs(8),
};

/// A search whose query stands in its body.
const SEARCH: Kind = Kind {
    method: "GET",
    path: "/lepu270/2f",
    host: "jepu9.example",
    body_bytes: 600,
    is_chunked: false,
    deadline: Duration::from_secs(3),
};

/// A configuration with one route for each kind of request.
fn configuration(timeout_s: f64) -> String {
    format!(
        r#"{{"version":7,"routes":{{"columns":["name","host","path-prefix","kind","timeout-s","target-latency-s","priority","traffic-split","attempts","service"],"rows":[["r-3k21ab7","jepu9.example","/lepu270/","idempotent",{timeout_s},1,2,null,2,"huvo11a"],["r-9n73hh2","jepu9.example","/fiti832/ti23/","download",{timeout_s},1,2,null,2,"huvo11a"],["r-b9wu3fe","hulo84.example","/xapu221/ny95/","non_idempotent",{timeout_s},1,1,null,2,"huvo11a"]]}},"services":{{"columns":["name","health-check","max-connections","protocol","tls"],"rows":[["huvo11a","/healthz",330,"h1",false]]}},"limits":{{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}},"base-version":5}}"#
    )
}

fn sound() -> Choose {
    Arc::new(|| Conduct::Sound)
}

fn servers(setup: &Setup, store: &Store, count: usize, work: Duration) -> Vec<Arc<Server>> {
    let start = |number| {
        let id = format!("i-{number:03}");
        let server = Server::start(&id, "huvo11a", work, 5_000, sound(), &setup.record);
        store.put(&server.key(), &server.entry("ready", 0.0));
        server
    };
    (0..count).map(start).collect()
}

/// Starts 56 backends, of which each eighth one fails 45 in 100 of its requests while `is_grey`.
fn grey_servers(
    setup: &Setup,
    store: &Store,
    work: Duration,
    failure: Conduct,
    is_grey: &Arc<AtomicBool>,
) -> Vec<Arc<Server>> {
    let start = |number| {
        let (is_grey, count) = (Arc::clone(is_grey), AtomicU64::new(0));
        let choose = move || {
            let fails = count.fetch_add(45, Ordering::Relaxed) % 100 < 45;
            if fails && is_grey.load(Ordering::Relaxed) { failure } else { Conduct::Sound }
        };
        let choose = if number % 8 == 0 { Arc::new(choose) } else { sound() };
        let id = format!("i-{number:03}");
        let server = Server::start(&id, "huvo11a", work, 90_000, choose, &setup.record);
        store.put(&server.key(), &server.entry("ready", 0.0));
        server
    };
    (0..56).map(start).collect()
}

/// Starts instances and waits until they are ready and know each other.
fn instances(setup: &Setup, store: &Arc<Store>, count: u8) -> Vec<(Node, SocketAddr)> {
    let start = |number| {
        let listener = store.listen();
        let mut node = Node::new(&setup.temporary, number, listener);
        node.start();
        (node, listener)
    };
    let nodes: Vec<_> = (1..=count).map(start).collect();
    for (node, _) in &nodes {
        node.wait_until_ready();
    }
    sleep(Duration::from_secs(9));
    nodes
}

fn wait_until(at: Instant) {
    sleep(at.saturating_duration_since(Instant::now()));
}

/// Judges DRAIN: no request reaches a backend later than `drain-s` after the acknowledgement of its
/// leaving, from a machine that is in touch since `in_touch`.
fn judge_drain(
    setup: &Setup,
    sent: &[Sent],
    left: &[(Arc<Server>, Instant)],
    in_touch: Instant,
) -> bool {
    let runs = setup.record.runs();
    let (mut late, mut lost) = (0, 0);
    for (server, acknowledged) in left {
        let bound = (*acknowledged + DRAIN).max(in_touch);
        let after: Vec<_> =
            runs.iter().filter(|run| run.server == server.id && run.at > bound).collect();
        if let (Some(first), Some(last)) = (after.first(), after.last()) {
            setup.record.note(&format!(
                "server {} ran {} requests later than allowed: {} was {:.3} s after the \
                 acknowledgement, {} was {:.3} s after it",
                server.id,
                after.len(),
                first.request,
                (first.at - *acknowledged).as_secs_f64(),
                last.request,
                (last.at - *acknowledged).as_secs_f64(),
            ));
        }
        late += after.len();
        let is_late = |sent: &&Sent| after.iter().any(|run| run.request == sent.request);
        lost += sent.iter().filter(is_late).filter(|sent| sent.ended.status != Some(200)).count();
    }
    let total = runs.len();
    setup.record.finish(&format!(
        "DRAIN: {late} of {total} runs came later than drain-s allows; {lost} of these {late} \
         orders weren't answered 200"
    ));
    late > 0
}

/// An instance is killed and starts again just after some backends have said that they leave. The
/// pages of its stale read differ in age.
pub fn stale_pages(setup: &Setup) -> bool {
    const OLD: Duration = Duration::from_secs(3);
    const YOUNG: Duration = Duration::from_millis(100);
    let has_trouble = setup.has_trouble;
    let age = move |page| if has_trouble && page == 0 { YOUNG } else { OLD };
    let store = Store::new(50, Box::new(age));
    store.put("op/config", &configuration(4.0));
    let servers = servers(setup, &store, 56, WORK);
    sleep(OLD + Duration::from_millis(500));
    let mut node = Node::new(&setup.temporary, 1, store.listen());
    node.start();
    node.wait_until_ready();
    let traffic =
        Traffic::start(&[node.front], &ORDER, 40, Duration::from_millis(200), &setup.record);
    sleep(Duration::from_secs(4));
    let leave = |server: &Arc<Server>| {
        let acknowledged = store.put(&server.key(), &server.entry("draining", 0.0));
        setup
            .record
            .note(&format!("server {} is draining, which the store acknowledged", server.id));
        (Arc::clone(server), acknowledged)
    };
    let left: Vec<_> = servers[50..53].iter().map(leave).collect();
    sleep(Duration::from_millis(300));
    setup.record.note(&format!("{} is killed", node.name()));
    node.kill();
    sleep(Duration::from_millis(500));
    node.start();
    let started = Instant::now();
    setup.record.note(&format!("{} starts again", node.name()));
    node.wait_until_ready();
    wait_until(left[0].1 + DRAIN + Duration::from_secs(8));
    for (server, _) in &left {
        server.leave();
    }
    sleep(Duration::from_secs(1));
    let sent = traffic.stop();
    judge_drain(setup, &sent, &left, started + STABLE_WINDOW)
}

/// An instance that watches the store stands still while the warm-up of a new backend ends and the
/// backend then leaves.
pub fn late_watch(setup: &Setup) -> bool {
    const WARM_UP_S: f64 = 2.0;
    let store = Store::new(50, Box::new(|_| Duration::ZERO));
    store.put("op/config", &configuration(4.0));
    let _servers = servers(setup, &store, 8, WORK);
    let nodes = instances(setup, &store, 10);
    let new = Server::start("i-900", "huvo11a", WORK, 5_000, sound(), &setup.record);
    store.put(&new.key(), &new.entry("ready", WARM_UP_S));
    setup.record.note(&format!("server {} joins", new.id));
    sleep(Duration::from_secs(2));
    let watching = nodes.iter().find(|(_, listener)| store.is_watched_by(*listener));
    let Some((node, _)) = watching else { crate::cannot_run("no instance watches the store") };
    if setup.has_trouble {
        setup.record.note(&format!("{} stands still", node.name()));
        node.signal("STOP");
    }
    sleep(Duration::from_millis(300));
    store.put(&new.key(), &new.entry("ready", 0.0));
    setup.record.note(&format!("server {} is warm, which changes its entry", new.id));
    sleep(Duration::from_millis(2_200));
    let acknowledged = store.remove(&new.key());
    setup.record.note(&format!("server {} leaves: its entry is removed", new.id));
    sleep(Duration::from_millis(1_000));
    if setup.has_trouble {
        node.signal("CONT");
        setup.record.note(&format!("{} goes on", node.name()));
    }
    let resumed = Instant::now();
    let traffic =
        Traffic::start(&[node.front], &ORDER, 10, Duration::from_millis(200), &setup.record);
    wait_until(acknowledged + DRAIN + Duration::from_secs(8));
    new.leave();
    sleep(Duration::from_secs(1));
    let sent = traffic.stop();
    judge_drain(setup, &sent, &[(new, acknowledged)], resumed + STABLE_WINDOW)
}

/// A backend fails a part of its requests by sending half of the answer and nothing more.
pub fn half_answer(setup: &Setup) -> bool {
    const TIMEOUT: Duration = Duration::from_secs(2);
    const MARGIN: Duration = Duration::from_millis(500);
    let store = Store::new(50, Box::new(|_| Duration::ZERO));
    store.put("op/config", &configuration(TIMEOUT.as_secs_f64()));
    let is_grey = Arc::new(AtomicBool::new(false));
    let work = Duration::from_millis(190);
    let _servers = grey_servers(setup, &store, work, Conduct::HalfAnswer, &is_grey);
    let nodes = instances(setup, &store, 2);
    let fronts: Vec<_> = nodes.iter().map(|(node, _)| node.front).collect();
    let traffic =
        Traffic::start(&fronts, &DOWNLOAD, 200, Duration::from_millis(400), &setup.record);
    sleep(Duration::from_secs(1));
    is_grey.store(setup.has_trouble, Ordering::Relaxed);
    sleep(Duration::from_millis(6_500));
    is_grey.store(false, Ordering::Relaxed);
    sleep(Duration::from_secs(1));
    let sent = traffic.stop();
    let long: Vec<_> = sent.iter().filter(|sent| sent.ended.took > TIMEOUT).collect();
    let late = long.iter().filter(|sent| sent.ended.took > TIMEOUT + MARGIN).count();
    let whole = sent.iter().filter(|sent| sent.ended.response.is_some()).count();
    setup.record.finish(&format!(
        "CONFIG: of {} requests ({whole} answered whole) {} lasted longer than the route's \
         timeout-s, and {late} of these had no final answer 0.5 s after it",
        sent.len(),
        long.len()
    ));
    long.len() >= 8 && late * 4 > long.len()
}

/// Some backends run requests and then answer 503 without a statement that they weren't run.
pub fn unavailable_after_run(setup: &Setup) -> bool {
    let store = Store::new(50, Box::new(|_| Duration::ZERO));
    store.put("op/config", &configuration(4.0));
    let is_grey = Arc::new(AtomicBool::new(false));
    let work = Duration::from_millis(50);
    let failure = Conduct::UnavailableAfterRun;
    let _servers = grey_servers(setup, &store, work, failure, &is_grey);
    let nodes = instances(setup, &store, 2);
    let fronts: Vec<_> = nodes.iter().map(|(node, _)| node.front).collect();
    let traffic = Traffic::start(&fronts, &ORDER, 60, Duration::from_millis(500), &setup.record);
    sleep(Duration::from_secs(1));
    is_grey.store(setup.has_trouble, Ordering::Relaxed);
    sleep(Duration::from_millis(6_500));
    is_grey.store(false, Ordering::Relaxed);
    sleep(Duration::from_secs(1));
    let sent = traffic.stop();
    let runs = setup.record.runs();
    let is_promise = |sent: &&Sent| {
        sent.ended.status.is_some_and(|status| [408, 421, 429, 503].contains(&status))
    };
    let promised: Vec<_> = sent.iter().filter(is_promise).collect();
    let ran = |sent: &&&Sent| runs.iter().any(|run| run.request == sent.request);
    let broken = promised.iter().filter(ran).count();
    setup.record.finish(&format!(
        "REFUSED: {} of {} orders were answered 408, 421, 429 or 503, and {broken} of these had run",
        promised.len(),
        sent.len()
    ));
    broken > 0
}

/// Callers send searches with a body in chunks.
pub fn chunked_search(setup: &Setup) -> bool {
    let store = Store::new(50, Box::new(|_| Duration::ZERO));
    store.put("op/config", &configuration(4.0));
    let _servers = servers(setup, &store, 8, Duration::from_millis(50));
    let nodes = instances(setup, &store, 2);
    let fronts: Vec<_> = nodes.iter().map(|(node, _)| node.front).collect();
    let kind = Kind { is_chunked: setup.has_trouble, ..SEARCH };
    let traffic = Traffic::start(&fronts, &kind, 20, Duration::from_millis(500), &setup.record);
    sleep(Duration::from_secs(3));
    let sent = traffic.stop();
    let runs = setup.record.runs();
    let changed = runs.iter().filter(|run| run.body_bytes != kind.body_bytes).count();
    let served = sent.iter().filter(|sent| sent.ended.status == Some(200)).count();
    setup.record.finish(&format!(
        "UNASKED: {changed} of {} runs had another body than was sent; {served} of {} requests \
         were answered 200",
        runs.len(),
        sent.len()
    ));
    changed > 0
}

/// One of two instances is lost, and its callers come to the other one.
pub fn last_instance(setup: &Setup) -> bool {
    /// 3,780 connections, each of which is used every 5.4 s, and 700 orders a second.
    const HABIT: Habit = Habit {
        kind: ORDER,
        callers: 420,
        connections_per_caller: 9,
        interval: Duration::from_millis(600),
    };
    const TIMEOUT: Duration = Duration::from_secs(2);
    const MARGIN: Duration = Duration::from_millis(500);
    let store = Store::new(50, Box::new(|_| Duration::ZERO));
    store.put("op/config", &configuration(TIMEOUT.as_secs_f64()));
    let _servers = servers(setup, &store, 144, Duration::from_millis(460));
    let mut nodes = instances(setup, &store, 2);
    let fronts: Vec<_> = nodes.iter().map(|(node, _)| node.front).collect();
    let rotation = Rotation::default();
    let callers = Callers::start(&fronts, &rotation, &HABIT, &setup.record);
    let mut hung = 0;
    for second in 0..27 {
        if second == 7 && setup.has_trouble {
            setup.record.note(&format!("{} is lost for good", nodes[1].0.name()));
            nodes[1].0.kill();
        }
        // Two misses take an instance out of rotation.
        if second == 9 && setup.has_trouble {
            rotation.remove_second();
        }
        let is_ready = nodes[0].0.is_ready();
        let (descriptors, ticks) = nodes[0].0.usage();
        setup.record.note(&format!(
            "{}: ready: {is_ready}, {descriptors} descriptors, {ticks} ticks of processor time",
            nodes[0].0.name()
        ));
        hung += u32::from(!is_ready);
        sleep(Duration::from_secs(1));
    }
    let sent = callers.stop();
    let (_, before) = nodes[0].0.usage();
    sleep(Duration::from_secs(3));
    let (_, after) = nodes[0].0.usage();
    let state = if nodes[0].0.is_ready() { "ready" } else { "not ready" };
    nodes[0].0.signal("TERM");
    sleep(GRACE + Duration::from_secs(1));
    let end = if nodes[0].0.has_ended() { "has ended" } else { "hasn't ended" };
    let at_first: Vec<_> = sent.iter().filter(|sent| sent.front == fronts[0]).collect();
    let long = at_first.iter().filter(|sent| sent.took > TIMEOUT).count();
    let late = at_first.iter().filter(|sent| sent.took > TIMEOUT + MARGIN).count();
    setup.record.note(&format!(
        "{} missed {hung} of 27 questions; 3 s after the last caller left it is {state} and has \
         used {} more ticks; 1 s after the grace period of a SIGTERM it {end}",
        nodes[0].0.name(),
        after - before
    ));
    setup.record.finish(&format!(
        "CONFIG: of {} requests at {} {long} were unanswered at the route's timeout-s, and {late} \
         of these 0.5 s later",
        at_first.len(),
        nodes[0].0.name()
    ));
    long >= 8 && late * 2 > long
}
