//! A fleet whose API keys are replaced, with the decisions of its instances.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use cactustrack_fleet::discovery::{Era, FIRST_ERA, Revision, StoredConfiguration};
use cactustrack_fleet::freshness::{Attestation, PeerStamp, ReaderRole, SinceBoot};
use cactustrack_fleet::message::{Body, Datagram};
use cactustrack_types::{Incarnation, Version};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::fault::{Fault, FaultKind, Restore};
use super::instance::{
    Instance, PendingCall, StoredVersion, address_of, configuration, has_key, number_of,
};

pub(super) const INSTANCES: usize = 9;

/// Time after the store has acknowledged a revocation from which no request with the key may run.
pub(super) const BOUND: Duration = Duration::from_secs(5);

/// Step of the simulated time.
const TICK: Duration = Duration::from_millis(10);

/// Duration of a schedule.
pub(super) const DURATION: Duration = Duration::from_secs(40);

/// Requests of the fleet per tick.
const REQUESTS_PER_TICK: usize = 2;

/// Mean interval of heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which an instance gives up a call to the store.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after the start of a process from which it may be a relay.
const PEER_DISCOVERY_TIME: Duration = Duration::from_millis(1_500);

/// Interval at which a relay notices a newer configuration.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Time from the start of the fleet within which refusals are expected.
const WARM_UP: Duration = Duration::from_secs(1);

/// Makes the draws of a restore differ from those of its schedule.
const RESTORE_SEED: u64 = 0x5eed_0e4a;

/// Time from the rewrite of the newest version after a restore to the next version.
const PAUSE_AFTER_REWRITE: Duration = Duration::from_millis(500);

/// Era of the store after it came back from a copy.
const RESTORED_ERA: Era = FIRST_ERA + 1;

/// Time after the start of a process at which it reads how many instances are registered.
const REGISTERED_READ: Duration = Duration::from_secs(1);

/// Time from the start of the fleet until its relays have settled.
const SETTLED: Duration = Duration::from_secs(5);

/// An event at an instance or at the store.
#[derive(Clone)]
pub(super) enum Event {
    Request {
        sent: Duration,
        key: u64,
    },
    Datagram(Datagram),
    /// A relayed configuration.
    Change(Version, Revision),
    /// A relay notices a configuration.
    Watched(Version, Revision),
    /// A call of an instance arrives at the store.
    Call {
        incarnation: Incarnation,
        number: u64,
        known: Option<Revision>,
    },
    /// A response of the store arrives.
    Response {
        incarnation: Incarnation,
        number: u64,
        found: StoredConfiguration,
    },
}

/// The fleet and its store.
pub(super) struct Simulation {
    start: Instant,
    rng: SmallRng,
    pub(super) faults: Vec<Fault>,
    pub(super) restore: Option<Restore>,
    has_undecodable: bool,
    versions: Vec<StoredVersion>,
    next_version: Duration,
    instances: Vec<Instance>,
    queue: BTreeMap<(Duration, u64), (usize, Event)>,
    scheduled: u64,
    /// Requests that were admitted.
    pub(super) admitted: usize,
    /// Requests after the start of the fleet that were refused since the proof was too old.
    pub(super) refused: usize,
    /// Requests that were sent later than the bound after the revocation of their key, and admitted.
    pub(super) violations: Vec<String>,
    /// The same, where a revocation that the store has lost counts from when it was written again.
    pub(super) violations_after_rewrite: Vec<String>,
    /// Calls to the store.
    pub(super) calls: usize,
    /// Largest age of a proof after the start of the fleet.
    pub(super) oldest_proof: Duration,
}

impl Simulation {
    /// Creates a fleet without faults.
    pub(super) fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let instances = (0..INSTANCES).map(|number| {
            // Some machines were booted just before.
            let longest_uptime = if rng.random() { 1.0 } else { 90_000.0 };
            let clock = Duration::from_secs_f64(rng.random_range(0.0..longest_uptime));
            Instance::new(format!("edge-{number}").into(), 1, Duration::ZERO, clock)
        });
        Self {
            start: Instant::now(),
            instances: instances.collect(),
            rng,
            faults: Vec::new(),
            restore: None,
            has_undecodable: false,
            versions: vec![StoredVersion { acknowledged: Duration::ZERO, is_decodable: true }],
            next_version: Duration::from_secs(3),
            queue: BTreeMap::new(),
            scheduled: 0,
            admitted: 0,
            refused: 0,
            violations: Vec::new(),
            violations_after_rewrite: Vec::new(),
            calls: 0,
            oldest_proof: Duration::ZERO,
        }
    }

    /// Adds random faults, and versions of the configuration that cannot be decoded.
    pub(super) fn with_faults(mut self) -> Self {
        let count = self.rng.random_range(2..9);
        self.faults.extend((0..count).map(|_| Fault::random(&mut self.rng)));
        self.has_undecodable = self.rng.random();
        self
    }

    /// Adds faults by which attestations for an earlier process arrive.
    pub(super) fn with_reboots(mut self) -> Self {
        self.faults.extend(Fault::around_reboot(&mut self.rng));
        self
    }

    /// Adds a restore of the store, and instances that start during it. All other draws are those of
    /// the schedule without it.
    pub(super) fn with_restore(mut self, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed ^ RESTORE_SEED);
        let restore = Restore::random(&mut rng);
        if rng.random() {
            self.faults.push(restore.starts(&mut rng));
        }
        self.restore = Some(restore);
        self
    }

    pub(super) fn run(&mut self) {
        let mut at = Duration::ZERO;
        while at < DURATION {
            self.apply_faults(at);
            self.write_version(at);
            self.send_requests(at);
            self.deliver(at);
            for number in 0..INSTANCES {
                self.tick(at, number);
            }
            at += TICK;
        }
    }

    fn affects(&self, at: Duration, number: usize, is_kind: fn(FaultKind) -> bool) -> bool {
        let active = self.faults.iter().filter(|fault| fault.is_active(at));
        active.into_iter().any(|fault| is_kind(fault.kind) && fault.members[number])
    }

    /// Returns the largest value that the active faults state.
    fn largest<T: PartialOrd + Default>(&self, at: Duration, of: fn(FaultKind) -> Option<T>) -> T {
        let active = self.faults.iter().filter(|fault| fault.is_active(at));
        let values = active.filter_map(|fault| of(fault.kind));
        values.fold(T::default(), |largest, value| if value > largest { value } else { largest })
    }

    fn apply_faults(&mut self, at: Duration) {
        for number in 0..INSTANCES {
            let is_booting = self.affects(at, number, |kind| matches!(kind, FaultKind::Reboot));
            let is_killed =
                is_booting || self.affects(at, number, |kind| matches!(kind, FaultKind::Restart));
            let is_suspended = self.affects(at, number, |kind| matches!(kind, FaultKind::Suspend));
            let is_frozen =
                is_suspended || self.affects(at, number, |kind| matches!(kind, FaultKind::Freeze));
            let instance = &mut self.instances[number];
            if is_booting {
                (instance.started, instance.clock_at_start) = (at, Duration::ZERO);
            }
            if is_killed {
                instance.is_running = false;
                instance.backlog.clear();
            } else if !instance.is_running {
                let (incarnation, clock) = (instance.incarnation.0 + 1, instance.clock(at));
                *instance = Instance::new(instance.name.clone(), incarnation, at, clock);
            }
            let instance = &mut self.instances[number];
            if is_suspended && instance.is_running {
                instance.suspended += TICK;
            }
            let resumes = instance.is_frozen && !is_frozen;
            instance.is_frozen = is_frozen;
            if resumes {
                for event in std::mem::take(&mut instance.backlog) {
                    self.on_event(at, number, event);
                }
            }
        }
    }

    fn newest(&self) -> Version {
        self.versions.len() as Version
    }

    /// Returns the newest version that was acknowledged up to a time.
    fn newest_at(&self, at: Duration) -> Version {
        self.versions.partition_point(|version| version.acknowledged <= at) as Version
    }

    /// Returns the version in the store, and its revision. Each version takes one revision number, and
    /// so does the rewrite after a restore.
    fn stored(&self, at: Duration) -> (Version, Revision) {
        let newest = self.newest();
        let Some(restore) = self.restore.filter(|restore| restore.back <= at) else {
            return (newest, Revision::new(FIRST_ERA, newest));
        };
        let copied = self.newest_at(restore.copied);
        if at < restore.rewritten {
            return (copied, Revision::new(RESTORED_ERA, copied));
        }
        let written_since = newest - self.newest_at(restore.rewritten) + 1;
        (newest, Revision::new(RESTORED_ERA, copied + written_since))
    }

    fn is_decodable(&self, version: Version) -> bool {
        self.versions[version as usize - 1].is_decodable
    }

    fn write_version(&mut self, at: Duration) {
        if let Some(restore) = self.restore
            && restore.away <= at
            && at < restore.rewritten
        {
            self.next_version = self.next_version.max(restore.rewritten + PAUSE_AFTER_REWRITE);
        }
        if at < self.next_version {
            return;
        }
        let is_decodable = !self.has_undecodable || self.rng.random::<f64>() < 0.8;
        self.versions.push(StoredVersion { acknowledged: at, is_decodable });
        self.next_version = at + Duration::from_secs_f64(self.rng.random_range(0.5..9.0));
    }

    fn send_requests(&mut self, at: Duration) {
        for _ in 0..REQUESTS_PER_TICK {
            let key = self.newest().saturating_sub(self.rng.random_range(0..4));
            let number = self.rng.random_range(0..INSTANCES);
            let transit = Duration::from_millis(self.rng.random_range(0..20));
            self.schedule(at + transit, number, Event::Request { sent: at, key });
        }
    }

    fn schedule(&mut self, at: Duration, number: usize, event: Event) {
        self.scheduled += 1;
        self.queue.insert((at, self.scheduled), (number, event));
    }

    fn deliver(&mut self, at: Duration) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > at {
                return;
            }
            let (number, event) = entry.remove();
            if let Event::Call { incarnation, number: call, known } = event {
                self.on_call(at, number, incarnation, call, known);
                continue;
            }
            let instance = &mut self.instances[number];
            if !instance.is_running {
                continue;
            }
            if instance.is_frozen {
                instance.backlog.push(event);
                continue;
            }
            self.on_event(at, number, event);
        }
    }

    fn on_event(&mut self, at: Duration, number: usize, event: Event) {
        match event {
            Event::Request { sent, key } => self.on_request(at, number, sent, key),
            Event::Datagram(datagram) => self.on_datagram(at, number, &datagram),
            Event::Change(version, revision) => {
                self.instances[number].put_in_force(version, revision);
            }
            Event::Watched(version, revision) => {
                self.instances[number].put_in_force(version, revision);
                self.instances[number].watched = Some(revision);
                self.send_to_others(at, number, &Event::Change(version, revision));
            }
            Event::Response { incarnation, number: call, found } => {
                if incarnation == self.instances[number].incarnation {
                    self.on_response(at, number, call, &found);
                }
            }
            Event::Call { .. } => {}
        }
    }

    fn on_request(&mut self, at: Duration, number: usize, sent: Duration, key: u64) {
        let instance = &self.instances[number];
        let Some(in_force) = instance.in_force else { return };
        if !instance.freshness.is_fresh(instance.clock(at)) {
            self.refused += usize::from(sent > WARM_UP);
            return;
        }
        if !has_key(in_force, key) {
            return;
        }
        self.admitted += 1;
        // The first version without the key.
        let Some(revoked) = self.versions.get(key as usize + 1) else { return };
        let acknowledged = revoked.acknowledged;
        let elapsed = sent.saturating_sub(acknowledged);
        let name = &instance.name;
        let violation = || {
            format!(
                "{name} at {at:?}, {elapsed:?} after the revocation of key {key} at {acknowledged:?}"
            )
        };
        if elapsed > BOUND {
            self.violations.push(violation());
        }
        let rewritten = self.restore.filter(|restore| restore.loses(acknowledged));
        let last = rewritten.map_or(acknowledged, |restore| restore.rewritten);
        if sent.saturating_sub(last) > BOUND {
            self.violations_after_rewrite.push(violation());
        }
    }

    /// Attestations are processed even if [`Peers`] would ignore them as older than others of their
    /// sender: the proofs must not depend on it.
    fn on_datagram(&mut self, at: Duration, number: usize, datagram: &Datagram) {
        let now = self.now(at, number);
        let instance = &mut self.instances[number];
        let is_newest = instance.peers.accept(now, address_of(&datagram.from), datagram);
        match datagram.body {
            Body::Heartbeat { stamp, store, .. } if is_newest => {
                let (from, incarnation) = (&datagram.from, datagram.incarnation);
                let (version, in_force) = (datagram.version, instance.in_force);
                instance.freshness.on_peer_version(version, store.configuration, in_force);
                instance.freshness.stamps.record(from, incarnation, stamp);
                instance.on_era(now, store.upstreams.revision.era());
            }
            Body::Attestation { incarnation, stamp } => {
                let attestation = Attestation { incarnation, stamp, version: datagram.version };
                let now = instance.clock(at);
                // An attestation that proves nothing has no effect.
                let _ = instance.freshness.accept(now, attestation, instance.in_force);
            }
            _ => {}
        }
    }

    /// Returns the time on the clock that stands still while a machine is suspended.
    fn now(&self, at: Duration, number: usize) -> Instant {
        self.start + at - self.instances[number].suspended
    }

    fn on_call(
        &mut self,
        at: Duration,
        number: usize,
        incarnation: Incarnation,
        call: u64,
        known: Option<Revision>,
    ) {
        self.calls += 1;
        let (version, revision) = self.stored(at);
        let found = if known == Some(revision) {
            StoredConfiguration::Unchanged
        } else if self.is_decodable(version) {
            let configuration = Box::new(configuration(version));
            StoredConfiguration::Decoded { configuration, revision }
        } else {
            StoredConfiguration::Undecodable { revision }
        };
        let is_lost = self.restore.is_some_and(|restore| restore.is_away(at))
            || self.affects(at, number, |kind| matches!(kind, FaultKind::StoreResponsesLost));
        if !is_lost {
            let transit = self.store_transit(at);
            self.schedule(
                at + transit,
                number,
                Event::Response { incarnation, number: call, found },
            );
        }
    }

    fn on_response(&mut self, at: Duration, number: usize, call: u64, found: &StoredConfiguration) {
        let now = self.now(at, number);
        let instance = &mut self.instances[number];
        let Some(pending) = instance.pending.take_if(|pending| pending.number == call) else {
            return;
        };
        let read_version = match found {
            StoredConfiguration::Decoded { configuration, revision } => {
                Some((configuration.version, *revision))
            }
            _ => None,
        };
        if let Some((version, revision)) = read_version {
            instance.put_in_force(version, revision);
        }
        instance.on_era(now, found.era().unwrap_or_default());
        let Some(read) = pending.read else {
            if let Some((version, revision)) = read_version {
                let era = revision.era();
                let in_force = instance.in_force;
                let proven = instance.freshness.confirm(pending.started, version, era, in_force);
                let is_copy_possible = era > FIRST_ERA;
                assert!(proven.is_ok() || is_copy_possible, "the version was put in force");
            }
            return;
        };
        let stamps = instance.freshness.finish_read(read, found, instance.in_force);
        for stamp in stamps.into_iter().flatten() {
            self.attest(at, number, stamp);
        }
    }

    fn attest(&mut self, at: Duration, number: usize, stamp: PeerStamp) {
        let PeerStamp { peer, incarnation, stamp } = stamp;
        let other = number_of(&peer);
        let datagram = self.instances[number].datagram(Body::Attestation { incarnation, stamp });
        self.send_to(at, number, other, &Event::Datagram(datagram));
    }

    fn send_to_others(&mut self, at: Duration, number: usize, event: &Event) {
        for other in (0..INSTANCES).filter(|other| *other != number) {
            self.send_to(at, number, other, event);
        }
    }

    fn send_to(&mut self, at: Duration, number: usize, other: usize, event: &Event) {
        let loss = self.largest(at, |kind| match kind {
            FaultKind::Loss(share) => Some(share),
            _ => None,
        });
        let is_change_lost = matches!(event, Event::Change(..))
            && self.affects(at, other, |kind| matches!(kind, FaultKind::ChangesLost));
        let is_lost = self.rng.random::<f64>() < loss
            || is_change_lost
            || self.affects(at, number, |kind| matches!(kind, FaultKind::SendCut))
            || self.affects(at, other, |kind| matches!(kind, FaultKind::ReceiveCut));
        if is_lost {
            return;
        }
        let longest = self.largest(at, |kind| match kind {
            FaultKind::Delay(delay) => Some(delay),
            _ => None,
        });
        let is_duplicated = self.affects(at, other, |kind| matches!(kind, FaultKind::Duplication));
        for _ in 0..=usize::from(is_duplicated) {
            let delay = Duration::from_millis(6) + longest.mul_f64(self.rng.random());
            self.schedule(at + delay, other, event.clone());
        }
    }

    fn store_transit(&mut self, at: Duration) -> Duration {
        let longest = self.largest(at, |kind| match kind {
            FaultKind::StoreSlow(delay) => Some(delay),
            _ => None,
        });
        Duration::from_millis(4) + longest.mul_f64(self.rng.random())
    }

    fn is_store_reachable(&self, at: Duration, number: usize) -> bool {
        let is_down = self.largest(at, |kind| Some(matches!(kind, FaultKind::StoreDown)))
            || self.restore.is_some_and(|restore| restore.is_away(at));
        !is_down && !self.affects(at, number, |kind| matches!(kind, FaultKind::StoreCallsLost))
    }

    fn call(&mut self, at: Duration, number: usize, call: u64, known: Option<Revision>) {
        if self.is_store_reachable(at, number) {
            let incarnation = self.instances[number].incarnation;
            let transit = self.store_transit(at);
            self.schedule(at + transit, number, Event::Call { incarnation, number: call, known });
        }
    }

    /// Does what is due at an instance.
    fn tick(&mut self, at: Duration, number: usize) {
        let now = self.now(at, number);
        let is_up = self.is_store_reachable(at, number);
        let instance = &mut self.instances[number];
        if !instance.is_running || instance.is_frozen {
            return;
        }
        for peer in instance.peers.expire(now) {
            instance.freshness.stamps.remove(&peer);
        }
        let clock = instance.clock(at);
        if at > SETTLED {
            self.oldest_proof = self.oldest_proof.max(instance.freshness.age(clock).unwrap_or(at));
        }
        let is_read_due = at.saturating_sub(instance.started) >= REGISTERED_READ;
        if is_up && is_read_due && !instance.knows_registered {
            instance.knows_registered = true;
            instance.peers.set_registered(INSTANCES);
        }
        let is_settled = at.saturating_sub(instance.started) >= PEER_DISCOVERY_TIME;
        let is_relay = is_settled && instance.peers.is_relay(now, &instance.name, is_up);
        let is_attester = is_settled && instance.peers.is_attester(now, &instance.name, is_up);
        if at >= instance.next_heartbeat {
            let jitter = 0.9 + 0.2 * self.rng.random::<f64>();
            instance.next_heartbeat = at + HEARTBEAT_INTERVAL.mul_f64(jitter);
            let heartbeat = self.instances[number].heartbeat(clock, is_up);
            let datagram = self.instances[number].datagram(heartbeat);
            self.send_to_others(at, number, &Event::Datagram(datagram));
        }
        let role = if is_attester { ReaderRole::Attester } else { ReaderRole::Other };
        self.read_if_due(at, number, clock, role);
        let is_watch_due = at.as_millis().is_multiple_of(WATCH_INTERVAL.as_millis());
        let (version, revision) = self.stored(at);
        let is_new = self.is_decodable(version) && Some(revision) > self.instances[number].watched;
        if is_relay && is_up && is_watch_due && is_new {
            self.schedule(at + TICK, number, Event::Watched(version, revision));
        }
    }

    fn read_if_due(&mut self, at: Duration, number: usize, clock: SinceBoot, role: ReaderRole) {
        let draw = self.rng.random();
        self.scheduled += 1;
        let call = self.scheduled;
        let instance = &mut self.instances[number];
        if let Some(pending) = &instance.pending {
            if clock >= pending.started + CALL_TIMEOUT {
                instance.pending = None;
            }
            return;
        }
        let is_startup = instance.in_force.is_none();
        if !is_startup && clock < instance.freshness.next_read(role) {
            return;
        }
        let read = (!is_startup).then(|| instance.freshness.start_read(clock, role, draw));
        instance.pending = Some(PendingCall { number: call, started: clock, read });
        let known = instance.freshness.known_revision();
        self.call(at, number, call, known);
    }
}
