//! Simulates a fleet of instances in virtual time, with the shipped decision code and codec.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use cactustrack_members::{
    ConfigAction, ConfigHead, ConfigParts, ConfigSource, ConfigSync, ConfigWant, HeadRead,
    Identity, MemberState, MembersDelta, Membership, WatchEvent,
};
use cactustrack_peer::codec::Message;
use cactustrack_peer::{SyncReply, SyncRequest};
use cactustrack_types::{InstanceId, Listing, ListingState, Role};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::evidence::{INTERVAL, address, incarnation};
use crate::process;
use crate::wire::CallCost;

/// Number of instances that an instance synchronizes with in each interval.
const SYNC_PARTNERS: usize = 2;
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// One-way delay between an instance and the store.
const STORE_DELAY: Duration = Duration::from_millis(3);
/// Interval at which an instance reads the instance list.
const LIST_INTERVAL: Duration = Duration::from_secs(5);
/// Time until a change appears in the instance list.
const LIST_LAG: Duration = Duration::from_secs(10);

/// Size of a fleet and of the configuration that it serves.
pub(crate) struct Shape {
    pub(crate) instances: usize,
    pub(crate) regions: usize,
    pub(crate) services: usize,
    pub(crate) upstreams: usize,
    /// Size of the encoded configuration.
    pub(crate) config_bytes: usize,
}

/// Returns the identity of an instance in one of its runs.
pub(crate) fn identity(shape: &Shape, i: usize, run: u64) -> Identity {
    Identity {
        id: format!("instance-{i:03}").into(),
        incarnation: incarnation(i, run),
        seq: 0,
        leaving: false,
        address: address(i),
        failure_domain: format!("zone-{}", i % (3 * shape.regions)).into(),
        region: format!("region-{}", i % shape.regions).into(),
    }
}

/// An event of an instance. `fetch` indicates whether the call requests a chunk of a
/// configuration.
#[derive(Debug)]
enum Event {
    Tick,
    ReadList,
    Request { from: usize, run: u64, bytes: Vec<u8> },
    Reply { from: usize, bytes: Vec<u8>, fetch: bool },
    TimedOut { callee: usize, fetch: bool },
    Head(HeadRead),
    Parts(Option<ConfigParts>),
    Watch(WatchEvent),
}

/// An event in the queue, addressed to one run of an instance.
struct Scheduled {
    at: Duration,
    seq: u64,
    to: usize,
    run: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.seq == other.seq
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.seq).cmp(&(other.at, other.seq))
    }
}

struct Instance {
    run: u64,
    members: Membership,
    sync: ConfigSync,
    generation: u64,
    rng: SmallRng,
    /// Time at which the connection to an instance was last used, by instance.
    connections: HashMap<usize, Duration>,
}

/// Counters since the start of the fleet.
#[derive(Clone, Copy, Default)]
struct Totals {
    bytes: usize,
    calls: usize,
    connects: usize,
    reads: usize,
    writes: usize,
    watch_starts: usize,
}

/// Average rates over a window of virtual time.
#[derive(Clone, Copy)]
pub(crate) struct Window {
    pub(crate) bytes: f64,
    pub(crate) core_percent: f64,
    pub(crate) connections: f64,
    calls: f64,
    reads: f64,
    writes: f64,
    watch_starts: f64,
    watches: usize,
}

impl Window {
    pub(crate) fn print(&self, n: usize, name: &str) {
        println!(
            "{n} instances, {name}, sync, sent and received per instance: {:.0} B/s",
            self.bytes
        );
        println!("{n} instances, {name}, sync calls per instance: {:.1} /s", self.calls);
        println!(
            "{n} instances, {name}, sync, processor time: {:.2} % of a core",
            self.core_percent
        );
        println!("{n} instances, {name}, store reads: {:.1} /s", self.reads);
        println!("{n} instances, {name}, store writes: {:.1} /s", self.writes);
        println!("{n} instances, {name}, watches started: {:.1} /s", self.watch_starts);
        println!("{n} instances, {name}, watches pending: {} watches", self.watches);
    }
}

/// Instances, store and instance list in virtual time.
pub(crate) struct Fleet<'a> {
    shape: &'a Shape,
    cost: &'a CallCost,
    start: Instant,
    now: Duration,
    queue: BinaryHeap<Reverse<Scheduled>>,
    next_seq: u64,
    instances: Vec<Instance>,
    by_id: HashMap<InstanceId, usize>,
    store: ConfigParts,
    watchers: HashSet<usize>,
    /// Versions of the instance list, by the time from which each is served.
    lists: BTreeMap<Duration, Arc<[Listing]>>,
    partitioned: bool,
    totals: Totals,
    rng: SmallRng,
}

impl<'a> Fleet<'a> {
    /// Starts all instances at the same time, with version 1 of the configuration in the store.
    pub(crate) fn new(shape: &'a Shape, cost: &'a CallCost) -> Self {
        let mut fleet = Self {
            shape,
            cost,
            start: Instant::now(),
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            next_seq: 0,
            instances: Vec::new(),
            by_id: (0..shape.instances).map(|i| (identity(shape, i, 1).id, i)).collect(),
            store: configuration(shape, 1),
            watchers: HashSet::new(),
            lists: BTreeMap::new(),
            partitioned: false,
            totals: Totals::default(),
            rng: SmallRng::seed_from_u64(42),
        };
        fleet.lists.insert(Duration::ZERO, list(shape, 1));
        for i in 0..shape.instances {
            let instance = fleet.new_instance(i, 1);
            fleet.instances.push(instance);
        }
        for i in 0..shape.instances {
            fleet.boot(i);
        }
        fleet
    }

    pub(crate) fn shape(&self) -> &'a Shape {
        self.shape
    }

    fn new_instance(&mut self, i: usize, run: u64) -> Instance {
        let stagger = Duration::from_millis(self.rng.random_range(0..2000));
        Instance {
            run,
            members: Membership::new(identity(self.shape, i, run)),
            sync: ConfigSync::new(stagger, self.instant()),
            generation: u64::MAX,
            rng: SmallRng::seed_from_u64(run << 32 | i as u64),
            connections: HashMap::new(),
        }
    }

    fn boot(&mut self, i: usize) {
        let spread = Duration::from_millis(self.rng.random_range(0..500));
        self.on_event(i, Event::ReadList);
        let now = self.instant();
        let actions = self.instances[i].sync.start(now);
        self.run_actions(i, actions);
        self.schedule(i, spread, Event::Tick);
    }

    fn instant(&self) -> Instant {
        self.start + self.now
    }

    fn schedule(&mut self, to: usize, after: Duration, event: Event) {
        self.next_seq += 1;
        let run = self.instances[to].run;
        let scheduled = Scheduled { at: self.now + after, seq: self.next_seq, to, run, event };
        self.queue.push(Reverse(scheduled));
    }

    /// Runs the simulation for a span of virtual time.
    pub(crate) fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse(next)) = self.queue.peek()
            && next.at <= end
        {
            let Some(Reverse(next)) = self.queue.pop() else { break };
            self.now = next.at;
            // Events addressed to an earlier run of an instance are lost.
            if self.instances[next.to].run == next.run {
                self.on_event(next.to, next.event);
            }
        }
        self.now = end;
    }

    /// Advances the clock without running events, which is valid in a steady state.
    pub(crate) fn skip(&mut self, time: Duration) {
        self.now += time;
        let queue = std::mem::take(&mut self.queue);
        self.queue = queue
            .into_iter()
            .map(|Reverse(mut scheduled)| {
                scheduled.at += time;
                Reverse(scheduled)
            })
            .collect();
    }

    /// Runs for a span of virtual time and returns the rates.
    pub(crate) fn measure(&mut self, time: Duration) -> Window {
        let (before, cpu) = (self.totals, process::cpu_seconds());
        self.run_for(time);
        self.window(before, process::cpu_seconds() - cpu, time)
    }

    fn window(&self, before: Totals, cpu: f64, time: Duration) -> Window {
        let seconds = time.as_secs_f64();
        let n = self.instances.len() as f64;
        let rate =
            |part: fn(&Totals) -> usize| (part(&self.totals) - part(&before)) as f64 / seconds;
        let calls = rate(|t| t.calls);
        let connects = rate(|t| t.connects);
        let rpc_us = calls * self.cost.cpu_us_per_call + connects * self.cost.cpu_us_per_connection;
        let is_open = |at: &&Duration| self.now.saturating_sub(**at) < IDLE_TIMEOUT;
        let open: usize = self
            .instances
            .iter()
            .map(|instance| instance.connections.values().filter(is_open).count())
            .sum();
        Window {
            // Each byte is sent by one instance and received by another.
            bytes: 2.0 * rate(|t| t.bytes) / n,
            core_percent: 100.0 * (cpu / seconds + rpc_us / 1e6) / n,
            connections: 2.0 * open as f64 / n,
            calls: calls / n,
            reads: rate(|t| t.reads),
            writes: rate(|t| t.writes),
            watch_starts: rate(|t| t.watch_starts),
            watches: self.watchers.len(),
        }
    }

    /// Accepts a new version of the configuration: replaces the parts and the head in the store.
    pub(crate) fn accept(&mut self) {
        let version = self.store.head.version + 1;
        self.store = configuration(self.shape, version);
        self.totals.writes += 2;
        let head = self.store.head.clone();
        for i in self.watchers.clone() {
            self.schedule(i, STORE_DELAY, Event::Watch(WatchEvent::Head(head.clone())));
        }
    }

    /// Accepts a new version and returns the seconds until it is in force on all instances.
    pub(crate) fn accept_and_wait(&mut self, limit: Duration) -> f64 {
        self.accept();
        self.wait_until(limit, Self::is_in_force)
    }

    /// Runs until a condition holds. Returns the seconds that it took, or infinity at the limit.
    fn wait_until(&mut self, limit: Duration, condition: impl Fn(&Self) -> bool) -> f64 {
        let begin = self.now;
        while !condition(self) {
            if self.now - begin >= limit {
                return f64::INFINITY;
            }
            self.run_for(Duration::from_millis(10));
        }
        (self.now - begin).as_secs_f64()
    }

    fn is_in_force(&self) -> bool {
        self.instances.iter().all(|i| i.sync.head() == Some(&self.store.head))
    }

    fn views_agree(&self) -> bool {
        let live = |instance: &Instance| {
            let mut members = instance.members.members();
            members.all(|view| view.state == MemberState::Live)
        };
        self.instances.iter().all(live)
    }

    /// Restarts all instances at the same time. Returns the seconds until the current version is in
    /// force on all of them, and the rates of the first 10 seconds.
    pub(crate) fn restart_all(&mut self, limit: Duration) -> (f64, Window) {
        let (before, cpu, begin) = (self.totals, process::cpu_seconds(), self.now);
        let run = self.instances[0].run + 1;
        self.watchers.clear();
        self.lists.insert(self.now + LIST_LAG, list(self.shape, run));
        for i in 0..self.instances.len() {
            self.instances[i] = self.new_instance(i, run);
        }
        for i in 0..self.instances.len() {
            self.boot(i);
        }
        let took = self.wait_until(limit, Self::is_in_force);
        let remaining = Duration::from_secs(10).saturating_sub(self.now - begin);
        self.run_for(remaining);
        let window = self.window(before, process::cpu_seconds() - cpu, self.now - begin);
        (took, window)
    }

    /// Restarts one instance. Returns the seconds until all others know its new incarnation.
    pub(crate) fn restart_one(&mut self, i: usize, limit: Duration) -> f64 {
        let run = self.instances[i].run + 1;
        self.instances[i] = self.new_instance(i, run);
        self.boot(i);
        let (id, incarnation) = (identity(self.shape, i, 1).id, incarnation(i, run));
        self.wait_until(limit, |fleet| {
            let knows = |instance: &Instance| {
                let view = instance.members.member(&id);
                view.is_some_and(|view| view.identity.incarnation == incarnation)
            };
            fleet.instances.iter().all(knows)
        })
    }

    /// Makes one instance announce that it leaves. Returns the seconds until all others know it.
    pub(crate) fn leave(&mut self, i: usize, limit: Duration) -> f64 {
        self.instances[i].members.set_leaving();
        let id = identity(self.shape, i, 1).id;
        self.wait_until(limit, |fleet| {
            let knows = |instance: &Instance| {
                let view = instance.members.member(&id);
                view.is_some_and(|view| view.state == MemberState::Leaving)
            };
            fleet.instances.iter().all(knows)
        })
    }

    /// Starts or ends a network partition between the regions. The store stays reachable.
    pub(crate) fn set_partitioned(&mut self, partitioned: bool) {
        self.partitioned = partitioned;
    }

    /// Runs until every instance sees all members live. Returns the seconds that it took and the
    /// rates until then.
    pub(crate) fn wait_until_agreed(&mut self, limit: Duration) -> (f64, Window) {
        let (before, cpu, begin) = (self.totals, process::cpu_seconds(), self.now);
        let mut agreed = self.views_agree();
        while !agreed && self.now - begin < limit {
            self.run_for(Duration::from_millis(500));
            agreed = self.views_agree();
        }
        let time = self.now - begin;
        let window = self.window(before, process::cpu_seconds() - cpu, time);
        (if agreed { time.as_secs_f64() } else { f64::INFINITY }, window)
    }

    fn on_event(&mut self, i: usize, event: Event) {
        let now = self.instant();
        let instance = &mut self.instances[i];
        let actions = match event {
            Event::Tick => return self.on_tick(i),
            Event::ReadList => return self.on_read_list(i),
            Event::Request { from, run, bytes } => return self.on_request(i, from, run, &bytes),
            Event::Reply { from, bytes, fetch } => return self.on_reply(i, from, &bytes, fetch),
            Event::TimedOut { callee, fetch } => {
                let id = identity(self.shape, callee, 1).id;
                let incarnation =
                    instance.members.member(&id).map(|view| view.identity.incarnation);
                instance.members.record_call_failure(&id, incarnation.unwrap_or_default(), now);
                if !fetch {
                    return;
                }
                instance.sync.on_fetch_failed(&ConfigSource::Peer(id), now)
            }
            Event::Head(read) => instance.sync.on_head(read, now),
            Event::Parts(Some(parts)) => instance.sync.on_parts(&ConfigSource::Store, parts, now),
            Event::Parts(None) => instance.sync.on_fetch_failed(&ConfigSource::Store, now),
            Event::Watch(event) => instance.sync.on_watch(event, now),
        };
        self.run_actions(i, actions);
    }

    fn on_tick(&mut self, i: usize) {
        let now = self.instant();
        let instance = &mut self.instances[i];
        instance.members.tick(now);
        let mut actions = Vec::new();
        if instance.generation != instance.members.generation() {
            instance.generation = instance.members.generation();
            let watcher = instance.members.is_watcher();
            actions.extend(instance.sync.set_watcher(watcher, now));
        }
        actions.extend(instance.sync.tick(now));
        actions.push(ConfigAction::SyncWithPeers(SYNC_PARTNERS));
        self.run_actions(i, actions);
        self.schedule(i, INTERVAL, Event::Tick);
    }

    fn on_read_list(&mut self, i: usize) {
        let now = self.instant();
        let list = self.lists.range(..=self.now).next_back().map(|(_, list)| list.clone());
        self.instances[i].members.update_list(&list.unwrap_or_default(), now);
        self.schedule(i, LIST_INTERVAL, Event::ReadList);
    }

    fn run_actions(&mut self, i: usize, actions: Vec<ConfigAction>) {
        for action in actions {
            self.run_action(i, action);
        }
    }

    fn run_action(&mut self, i: usize, action: ConfigAction) {
        let now = self.instant();
        match action {
            ConfigAction::ReadHead => {
                self.totals.reads += 1;
                let read = HeadRead::Found(self.store.head.clone());
                self.schedule(i, 2 * STORE_DELAY, Event::Head(read));
            }
            ConfigAction::FetchFromStore(head) => {
                self.totals.reads += 1;
                let parts = Some(self.store.clone()).filter(|parts| parts.head == head);
                self.schedule(i, 2 * STORE_DELAY, Event::Parts(parts));
            }
            ConfigAction::StartWatch => {
                self.totals.watch_starts += 1;
                self.watchers.insert(i);
                self.schedule(i, 2 * STORE_DELAY, Event::Watch(WatchEvent::Started));
            }
            ConfigAction::StopWatch => {
                self.watchers.remove(&i);
            }
            ConfigAction::FetchFromPeer { peer, want } => {
                let delta = self.instances[i].members.sync_request(&peer);
                self.call(i, self.by_id[&peer], delta, Some(want));
            }
            ConfigAction::SyncWithPeers(count) | ConfigAction::Push(count) => {
                let instance = &mut self.instances[i];
                let partners = instance.members.sync_partners(&mut instance.rng, count, now);
                for partner in partners {
                    let delta = self.instances[i].members.sync_request(&partner);
                    self.call(i, self.by_id[&partner], delta, None);
                }
            }
            ConfigAction::Install { .. } => {
                let actions = self.instances[i].sync.on_installed(now);
                self.run_actions(i, actions);
            }
            ConfigAction::Report(_) | ConfigAction::SetStatus(_) => {}
        }
    }

    fn call(&mut self, from: usize, to: usize, members: MembersDelta, want: Option<ConfigWant>) {
        let fetch = want.is_some();
        if self.is_partitioned(from, to) {
            return self.schedule(from, CALL_TIMEOUT, Event::TimedOut { callee: to, fetch });
        }
        let instance = &mut self.instances[from];
        let request = SyncRequest {
            sender: instance.members.own().clone(),
            config: instance.sync.head().cloned(),
            want,
            members,
        };
        let run = instance.run;
        let last_used = instance.connections.insert(to, self.now);
        self.totals.calls += 1;
        self.totals.bytes += self.cost.bytes_per_call;
        if last_used.is_none_or(|at| self.now - at >= IDLE_TIMEOUT) {
            self.totals.connects += 1;
            self.totals.bytes += self.cost.bytes_per_connection;
        }
        let bytes = request.encode().expect("request is encodable");
        self.totals.bytes += bytes.len();
        self.schedule(to, self.delay(from, to), Event::Request { from, run, bytes });
    }

    fn on_request(&mut self, i: usize, from: usize, run: u64, bytes: &[u8]) {
        let now = self.instant();
        let request = SyncRequest::decode(bytes).expect("request is decodable");
        let instance = &mut self.instances[i];
        let sender = request.sender;
        let members = instance.members.on_sync_request(&sender, &request.members, now);
        let reply = SyncReply {
            responder: instance.members.own().clone(),
            config: instance.sync.head().cloned(),
            chunk: request.want.as_ref().and_then(|want| instance.sync.serve(want)),
            members,
        };
        let actions = instance.sync.on_peer_head(&sender.id, request.config, now);
        let bytes = reply.encode().expect("reply is encodable");
        self.totals.bytes += bytes.len();
        if self.instances[from].run == run && !self.is_partitioned(from, i) {
            let event = Event::Reply { from: i, bytes, fetch: request.want.is_some() };
            self.schedule(from, self.delay(i, from), event);
        }
        self.run_actions(i, actions);
    }

    fn on_reply(&mut self, i: usize, from: usize, bytes: &[u8], fetch: bool) {
        let now = self.instant();
        let reply = SyncReply::decode(bytes).expect("reply is decodable");
        let instance = &mut self.instances[i];
        let peer = &reply.responder;
        let more = instance.members.on_sync_reply(&peer.id, peer, &reply.members, now);
        let mut actions = instance.sync.on_peer_head(&peer.id, reply.config, now);
        if fetch {
            actions.extend(instance.sync.on_chunk(&peer.id, reply.chunk.as_ref(), now));
        }
        if let Some(delta) = more {
            self.call(i, from, delta, None);
        }
        self.run_actions(i, actions);
    }

    fn is_partitioned(&self, a: usize, b: usize) -> bool {
        self.partitioned && a % self.shape.regions != b % self.shape.regions
    }

    /// Returns the one-way delay between two instances.
    fn delay(&self, a: usize, b: usize) -> Duration {
        let (regions, zones) = (self.shape.regions, 3 * self.shape.regions);
        Duration::from_micros(match (a % regions == b % regions, a % zones == b % zones) {
            (true, true) => 200,
            (true, false) => 500,
            (false, _) => 20_000,
        })
    }
}

fn configuration(shape: &Shape, version: u64) -> ConfigParts {
    let head = ConfigHead { version, checksum: Arc::from([version as u8; 32]) };
    ConfigParts { head, parts: Arc::from([Arc::from(vec![0x5a; shape.config_bytes])]) }
}

fn list(shape: &Shape, run: u64) -> Arc<[Listing]> {
    let listing = |i| {
        let identity = identity(shape, i, run);
        Listing {
            id: identity.id,
            role: Role::Instance,
            address: identity.address,
            failure_domain: identity.failure_domain,
            region: identity.region,
            incarnation: identity.incarnation,
            state: ListingState::Live,
        }
    };
    (0..shape.instances).map(listing).collect()
}
