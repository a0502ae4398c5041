//! Other instances that this one exchanges datagrams with.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cactustrack_types::{FailureDomain, Incarnation, InstanceId};

use crate::message::{Body, Datagram, KeeperView, Report, ShortId, hash, short_sender};

/// Time without a datagram after which an instance counts as gone.
const SILENCE_LIMIT: Duration = Duration::from_secs(4);

/// Time for which an address is tried before its instance was heard.
const INTRODUCTION_TIME: Duration = Duration::from_secs(6);

/// Addresses that are passed on in one heartbeat.
const INTRODUCED_PEERS: usize = 4;

/// Instances that watch the keeper of the lists and relay its changes to the others. Several, so
/// that a fault of some of them delays no change.
const RELAYS: usize = 5;

/// Time without a datagram after which an instance does not count as a relay. It is well below the
/// time in which a change must be in force.
const RELAY_SILENCE_LIMIT: Duration = Duration::from_millis(1_500);

/// Instances of a failure domain for each hub, which collects notices and passes them on. The link
/// of a hub carries the notices of the fleet once for each instance of its share.
const INSTANCES_PER_HUB: usize = 4;

/// Fewest hubs of a failure domain, so that the loss of one loses a part of the notices only.
const MIN_HUBS: usize = 2;

/// Size of a fleet from which notices go through hubs. Smaller fleets tell each other directly.
const HUB_FLEET: usize = 10;

struct Peer {
    address: SocketAddr,
    incarnation: Incarnation,
    sequence: u64,
    heard: Instant,
    keeper: KeeperView,
    failure_domain: FailureDomain,
}

/// Where notices of this instance go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// To all other instances.
    All(Vec<SocketAddr>),
    /// To a hub of the own failure domain.
    Hub(SocketAddr),
    /// This instance is a hub.
    Own,
}

/// Where a hub passes notices on to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HubTargets {
    /// All other instances of the own failure domain.
    pub near: Vec<SocketAddr>,
    /// One hub of each other failure domain.
    pub hubs: Vec<SocketAddr>,
}

/// This instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Own {
    /// Its name.
    pub name: InstanceId,
    /// The failure domain that it runs in.
    pub failure_domain: FailureDomain,
}

/// Known instances, by name and by address.
#[derive(Default)]
pub struct Peers {
    heard: HashMap<InstanceId, Peer>,
    /// Addresses that were named by others, with the end of the time for which they are tried.
    introduced: HashMap<SocketAddr, Instant>,
    /// Number of the last report of each instance that came through a hub.
    reports: HashMap<ShortId, u64>,
    /// Names of the instances that are heard, by their numbers in reports.
    short: HashMap<ShortId, InstanceId>,
    /// Registered instances when they were last read, with this one.
    registered: usize,
    turn: usize,
}

impl Peers {
    /// Adds addresses that may belong to instances.
    pub fn introduce(&mut self, now: Instant, addresses: impl IntoIterator<Item = SocketAddr>) {
        for address in addresses {
            let is_heard = self.heard.values().any(|peer| peer.address == address);
            if !is_heard {
                self.introduced.entry(address).or_insert(now + INTRODUCTION_TIME);
            }
        }
    }

    /// Notes a datagram. Returns false if it is older than one that was already taken, or from an
    /// earlier life of its sender.
    pub fn accept(&mut self, now: Instant, address: SocketAddr, datagram: &Datagram) -> bool {
        self.introduced.remove(&address);
        let Datagram { incarnation, sequence, .. } = *datagram;
        let is_old = |peer: &Peer| (incarnation, sequence) <= (peer.incarnation, peer.sequence);
        if self.heard.get(&datagram.from).is_some_and(is_old) {
            return false;
        }
        let known = self.heard.get(&datagram.from);
        let known = known.map(|peer| (peer.keeper, peer.failure_domain.clone()));
        let known = known.unwrap_or_else(|| (KeeperView::default(), "".into()));
        let (keeper, failure_domain) = match &datagram.body {
            Body::Heartbeat { keeper, failure_domain, .. } => (*keeper, failure_domain.clone()),
            _ => known,
        };
        let peer = Peer { address, incarnation, sequence, heard: now, keeper, failure_domain };
        if self.heard.get(&datagram.from).is_none_or(|known| known.incarnation != incarnation) {
            self.forget(&datagram.from.clone());
            self.short.insert(short_sender(&datagram.from, incarnation), datagram.from.clone());
        }
        self.heard.insert(datagram.from.clone(), peer);
        true
    }

    /// Drops an instance that leaves.
    pub fn remove(&mut self, name: &str) {
        self.forget(name);
    }

    /// Drops instances that were not heard for long and returns their names.
    pub fn expire(&mut self, now: Instant) -> Vec<InstanceId> {
        self.introduced.retain(|_, until| *until > now);
        let is_silent = |peer: &Peer| now.saturating_duration_since(peer.heard) > SILENCE_LIMIT;
        let silent = self.heard.iter().filter(|(_, peer)| is_silent(peer));
        let silent: Vec<InstanceId> = silent.map(|(name, _)| name.clone()).collect();
        for name in &silent {
            self.forget(name);
        }
        silent
    }

    fn forget(&mut self, name: &str) {
        let Some(peer) = self.heard.remove(name) else { return };
        let short = short_sender(name, peer.incarnation);
        self.short.remove(&short);
        self.reports.remove(&short);
    }

    /// Where datagrams are sent to.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let heard = self.heard.values().map(|peer| peer.address);
        heard.chain(self.introduced.keys().copied()).collect()
    }

    /// Some addresses of instances that are heard, others with each call.
    pub fn introductions(&mut self) -> Vec<SocketAddr> {
        let all: Vec<_> = self.heard.values().map(|peer| peer.address).collect();
        if all.is_empty() {
            return all;
        }
        self.turn = (self.turn + INTRODUCED_PEERS) % all.len();
        all.iter().cycle().skip(self.turn).take(INTRODUCED_PEERS.min(all.len())).copied().collect()
    }

    /// Notes how many instances are registered, with this one.
    pub fn set_registered(&mut self, count: usize) {
        self.registered = count;
    }

    /// Returns true if this instance has to watch the keeper of the lists. All instances rank all
    /// others alike, so that those that hear each other agree on who relays.
    pub fn is_relay(&self, now: Instant, own: &str, is_up: bool) -> bool {
        if !is_up {
            return false;
        }
        let own_rank = rank(own);
        let is_able = |peer: &Peer| {
            let silence = now.saturating_duration_since(peer.heard);
            peer.keeper.is_up && silence <= RELAY_SILENCE_LIMIT
        };
        let able = self.heard.iter().filter(|(_, peer)| is_able(peer));
        able.filter(|(name, _)| rank(name) < own_rank).count() < RELAYS
    }

    /// Notes a report that came through a hub and returns its sender. Returns `None` if the report,
    /// or a later one, was already taken, or if its sender was not heard.
    pub fn accept_report(&mut self, report: &Report) -> Option<InstanceId> {
        let name = self.short.get(&report.from)?;
        let last = self.reports.entry(report.from).or_default();
        if report.sequence <= *last {
            return None;
        }
        *last = report.sequence;
        Some(name.clone())
    }

    /// Where the notices of this instance go. `turn` spreads them over the hubs.
    pub fn route(&self, now: Instant, own: &Own, turn: usize) -> Route {
        if self.instances() < HUB_FLEET {
            return Route::All(self.addresses());
        }
        let hubs = self.hubs(now, &own.failure_domain, Some(own));
        match hubs.get(turn % hubs.len().max(1)) {
            Some(Some(address)) => Route::Hub(*address),
            _ => Route::Own,
        }
    }

    /// Where this instance sends a change that it relays. Small fleets have no hubs, so there it
    /// goes to all others directly.
    pub fn relay_targets(&self, now: Instant, own: &Own, turn: usize) -> HubTargets {
        if self.instances() < HUB_FLEET {
            return HubTargets { near: self.addresses(), hubs: Vec::new() };
        }
        let mut targets = self.hub_targets(now, own, turn);
        targets.near.extend(self.introduced.keys());
        targets
    }

    /// Where this instance passes notices on to as a hub.
    pub fn hub_targets(&self, now: Instant, own: &Own, turn: usize) -> HubTargets {
        let mut targets = HubTargets::default();
        let mut others = Vec::new();
        for peer in self.heard.values() {
            if peer.failure_domain == own.failure_domain {
                targets.near.push(peer.address);
            } else if !others.contains(&&peer.failure_domain) {
                others.push(&peer.failure_domain);
            }
        }
        for domain in others {
            let hubs = self.hubs(now, domain, None);
            targets.hubs.extend(hubs.get(turn % hubs.len().max(1)).copied().flatten());
        }
        targets
    }

    /// Addresses of the hubs of a failure domain. `None` stands for this instance, which counts if
    /// it is given as `own`.
    fn hubs(&self, now: Instant, domain: &str, own: Option<&Own>) -> Vec<Option<SocketAddr>> {
        let is_able = |peer: &Peer| {
            let silence = now.saturating_duration_since(peer.heard);
            &*peer.failure_domain == domain && silence <= RELAY_SILENCE_LIMIT
        };
        let able = self.heard.iter().filter(|(_, peer)| is_able(peer));
        let mut ranked: Vec<_> =
            able.map(|(name, peer)| (rank(name), Some(peer.address))).collect();
        ranked.extend(own.map(|own| (rank(&own.name), None)));
        ranked.sort_unstable();
        let hubs = ranked.len().div_ceil(INSTANCES_PER_HUB).max(MIN_HUBS);
        ranked.into_iter().take(hubs).map(|(_, address)| address).collect()
    }

    /// Highest revisions of which an instance that the keeper answers has told.
    pub fn known_revisions(&self) -> KeeperView {
        let mut known = KeeperView::default();
        for peer in self.heard.values().filter(|peer| peer.keeper.is_up) {
            known.is_up = true;
            known.configuration = known.configuration.max(peer.keeper.configuration);
            known.upstreams = known.upstreams.max(peer.keeper.upstreams);
        }
        known
    }

    /// Number of instances in the fleet as far as it is known, with this one.
    pub fn instances(&self) -> usize {
        (self.heard.len() + 1).max(self.registered)
    }

    /// Returns true if this instance hears at least half of the fleet. One that has not read how
    /// many instances are registered cannot know.
    pub fn is_connected(&self) -> bool {
        self.registered > 0 && (self.heard.len() + 1) * 2 >= self.registered
    }
}

/// Rank of an instance among those that may relay or be hubs. The names of a fleet differ in a few
/// characters at their end, so the hash is mixed: otherwise the lowest ranks share a failure domain.
fn rank(name: &str) -> (u64, &str) {
    (mix(hash(name.bytes())), name)
}

/// Finalizer of MurmurHash3, in which every bit of the input changes half of the output.
fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
