//! Known peers (other instances of the fleet), and selection of relays among them.

mod recipients;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cactustrack_types::{FailureDomain, Incarnation, InstanceId, Version};
use derive_more::{Display, Error};
use rapidhash::RapidHashMap;

use crate::attempt_totals::Sender;
use crate::discovery::Revision;
use crate::message::{
    Body, Datagram, ListState, Report, ShardSet, ShortId, StoreView, hash, short_instance_id,
};
use crate::quota::ownership::{Contenders, ShardId};
use crate::report_window::ReportWindow;

pub use recipients::{HubTargets, LocalInstance, NoticeRoute};

/// Time without a datagram after which a peer is removed.
const PEER_TIMEOUT: Duration = Duration::from_secs(4);

/// Silence of an incarnation of a peer after which one with an earlier start is taken for its successor:
/// the time of day may have been set back before the start. A running instance sends a heartbeat every
/// 1.1 s at least, and a datagram of an earlier process does not arrive that late.
const MAX_HEARTBEAT_SILENCE: Duration = Duration::from_millis(1_250);

/// Time for which datagrams are sent to an address from which none has been received.
const UNCONFIRMED_ADDRESS_TTL: Duration = Duration::from_secs(6);

/// Number of peer addresses in a heartbeat.
const ADDRESSES_PER_HEARTBEAT: usize = 4;

/// Number of instances that watch the store and relay its changes to the others. There are several,
/// so that faults of some of them do not delay a change.
const RELAYS: usize = 5;

/// Number of relays that read the configuration regularly and attest it to the others. An instance
/// reads by itself when attestations are missing, so fewer suffice than for relaying changes.
const ATTESTERS: usize = 3;

/// Time without a datagram after which a peer no longer counts as a relay or hub. It is well below
/// the time within which a change must be in force.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time without a datagram after which a peer no longer counts as the owner of the quota shards that
/// it announced. Its lease ends 3 to 4 s after its last datagram, and claims before that fail.
const OWNER_TIMEOUT: Duration = Duration::from_secs(3);

/// Minimum size of a fleet that uses hubs. Instances of smaller fleets send notices to each other
/// directly.
const MIN_FLEET_WITH_HUBS: usize = 10;

/// Number of reads of the registered instances that are kept. It covers about a minute.
const REGISTERED_READS: usize = 5;

struct Peer {
    /// See [`rank`].
    rank: u64,
    address: SocketAddr,
    incarnation: Incarnation,
    sequence: u64,
    last_contact: Instant,
    /// Version of the configuration in force at the peer.
    version: Version,
    store: StoreView,
    failure_domain: FailureDomain,
    quota: QuotaAnnouncement,
}

/// What the last heartbeat of a peer states about quota shards.
#[derive(Clone, Copy, Debug, Default)]
struct QuotaAnnouncement {
    /// Time at which the heartbeat was received, `None` if there was none.
    received: Option<Instant>,
    shards: ShardSet,
    is_leaving: bool,
}

impl Peer {
    /// Updates the peer from a datagram of the same incarnation. Returns false if the datagram is
    /// not newer than the last one.
    fn update(&mut self, now: Instant, address: SocketAddr, datagram: &Datagram) -> bool {
        if datagram.sequence <= self.sequence {
            return false;
        }
        self.address = address;
        self.sequence = datagram.sequence;
        self.last_contact = now;
        self.version = datagram.version;
        self.apply(now, &datagram.body);
        true
    }

    /// Returns true if a datagram of the peer was received in a time up to now.
    fn was_heard_within(&self, now: Instant, time: Duration) -> bool {
        now.saturating_duration_since(self.last_contact) <= time
    }

    /// Returns true if a heartbeat of the peer was received since a time. Each one announces the quota
    /// shards of its sender.
    fn sent_heartbeat_since(&self, since: Instant) -> bool {
        self.quota.received.is_some_and(|received| received >= since)
    }

    /// Applies what a heartbeat states about its sender.
    fn apply(&mut self, now: Instant, body: &Body) {
        let Body::Heartbeat { store, failure_domain, quota_shards, leaving, .. } = body else {
            return;
        };
        self.store = *store;
        self.failure_domain.clone_from(failure_domain);
        let (shards, is_leaving) = (*quota_shards, *leaving);
        self.quota = QuotaAnnouncement { received: Some(now), shards, is_leaving };
    }
}

/// Reason why notices of another instance are ignored.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, PartialOrd, Ord)]
pub enum NoticeError {
    /// The sender is not a known peer.
    #[display("unknown_sender")]
    UnknownSender,
    /// The report with the notices was recorded before.
    #[display("duplicate")]
    Duplicate,
    /// The report is so old that it is not known whether it was recorded before.
    #[display("out_of_order")]
    OutOfOrder,
    /// The upstream that the notice is about is not listed here.
    #[display("unlisted_upstream")]
    UnlistedUpstream,
}

/// A report that was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedReport {
    /// The instance that sent it.
    pub sender: Sender,
    /// False if a later report of the sender was accepted before.
    pub is_latest: bool,
}

/// Known peers and unconfirmed addresses.
#[derive(Default)]
pub struct Peers {
    known: RapidHashMap<InstanceId, Peer>,
    /// Addresses from which no datagram has been received, with the time at which they are dropped.
    unconfirmed: RapidHashMap<SocketAddr, Instant>,
    /// Reports of each peer that came through hubs.
    reports: RapidHashMap<ShortId, ReportWindow>,
    /// Ids of the known peers by the short ids in reports.
    by_short_id: RapidHashMap<ShortId, InstanceId>,
    /// Numbers of registered instances in the last reads, including this one, the latest one last.
    registered: VecDeque<usize>,
    /// Position of the next sample of peer addresses.
    sample_offset: usize,
}

impl Peers {
    /// Adds addresses that may belong to peers.
    pub fn add_addresses(&mut self, now: Instant, addresses: impl IntoIterator<Item = SocketAddr>) {
        for address in addresses {
            let is_known = self.known.values().any(|peer| peer.address == address);
            if !is_known {
                self.unconfirmed.entry(address).or_insert(now + UNCONFIRMED_ADDRESS_TTL);
            }
        }
    }

    /// Records a datagram. Returns false if it is not newer than the last accepted one of its
    /// sender, or is from an earlier incarnation than one that was heard just before.
    pub fn accept(&mut self, now: Instant, address: SocketAddr, datagram: &Datagram) -> bool {
        self.unconfirmed.remove(&address);
        let Datagram { incarnation, sequence, .. } = *datagram;
        let known = self.known.get_mut(&datagram.from);
        if let Some(known) = known.filter(|known| known.incarnation == incarnation) {
            return known.update(now, address, datagram);
        }
        let is_old = |peer: &Peer| {
            let silence = now.saturating_duration_since(peer.last_contact);
            incarnation <= peer.incarnation && silence < MAX_HEARTBEAT_SILENCE
        };
        if self.known.get(&datagram.from).is_some_and(is_old) {
            return false;
        }
        let known = self.known.get(&datagram.from);
        let known = known.map(|peer| (peer.store, peer.failure_domain.clone()));
        let (store, failure_domain) = known.unwrap_or_else(|| (StoreView::default(), "".into()));
        let mut peer = Peer {
            rank: rank(&datagram.from),
            address,
            incarnation,
            sequence,
            last_contact: now,
            version: datagram.version,
            store,
            failure_domain,
            // A new process owns none of the shards of the one before it.
            quota: QuotaAnnouncement::default(),
        };
        peer.apply(now, &datagram.body);
        self.remove_peer(&datagram.from);
        self.by_short_id
            .insert(short_instance_id(&datagram.from, incarnation), datagram.from.clone());
        self.known.insert(datagram.from.clone(), peer);
        true
    }

    /// Removes a peer that is leaving.
    pub fn remove(&mut self, name: &str) {
        self.remove_peer(name);
    }

    /// Removes the peers that have timed out and returns their ids.
    pub fn expire(&mut self, now: Instant) -> Vec<InstanceId> {
        self.unconfirmed.retain(|_, until| *until > now);
        let is_timed_out = |peer: &Peer| !peer.was_heard_within(now, PEER_TIMEOUT);
        let timed_out = self.known.iter().filter(|(_, peer)| is_timed_out(peer));
        let timed_out: Vec<InstanceId> = timed_out.map(|(name, _)| name.clone()).collect();
        for name in &timed_out {
            self.remove_peer(name);
        }
        timed_out
    }

    fn remove_peer(&mut self, name: &str) {
        let Some(peer) = self.known.remove(name) else { return };
        let short = short_instance_id(name, peer.incarnation);
        self.by_short_id.remove(&short);
        self.reports.remove(&short);
    }

    /// Returns the addresses of all peers, including unconfirmed ones.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let known = self.known.values().map(|peer| peer.address);
        known.chain(self.unconfirmed.keys().copied()).collect()
    }

    /// Returns the address of a known peer.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.known.get(name).map(|peer| peer.address)
    }

    /// Returns the addresses of some known peers, different ones with each call.
    pub fn sample_addresses(&mut self) -> Vec<SocketAddr> {
        let all: Vec<_> = self.known.values().map(|peer| peer.address).collect();
        if all.is_empty() {
            return all;
        }
        self.sample_offset = (self.sample_offset + ADDRESSES_PER_HEARTBEAT) % all.len();
        all.iter()
            .cycle()
            .skip(self.sample_offset)
            .take(ADDRESSES_PER_HEARTBEAT.min(all.len()))
            .copied()
            .collect()
    }

    /// Records the number of registered instances that was read, including this one.
    pub fn set_registered(&mut self, count: usize) {
        if self.registered.len() == REGISTERED_READS {
            self.registered.pop_front();
        }
        self.registered.push_back(count);
    }

    /// Returns true if this instance has to watch the store and relay its changes. `is_up` states
    /// whether the store responds to this instance. All instances rank the fleet in the same way,
    /// so instances that receive each other's datagrams agree on the relays.
    pub fn is_relay(&self, now: Instant, own: &str, is_up: bool) -> bool {
        self.is_ranked_within(RELAYS, now, own, is_up)
    }

    /// Returns true if this instance has to attest the configuration to the others. The attesters
    /// are the first of the relays.
    pub fn is_attester(&self, now: Instant, own: &str, is_up: bool) -> bool {
        self.is_ranked_within(ATTESTERS, now, own, is_up)
    }

    /// Returns true if this instance is among the first `count` ones to which the store responds.
    fn is_ranked_within(&self, count: usize, now: Instant, own: &str, is_up: bool) -> bool {
        if !is_up {
            return false;
        }
        let own_rank = (rank(own), own);
        let is_eligible =
            |peer: &Peer| peer.store.is_up && peer.was_heard_within(now, RELAY_TIMEOUT);
        let eligible = self.known.iter().filter(|(_, peer)| is_eligible(peer));
        eligible.filter(|(name, peer)| (peer.rank, &***name) < own_rank).count() < count
    }

    /// Records a report that came through a hub.
    ///
    /// # Errors
    ///
    /// Fails if this report was recorded before or is too old to know, or if the sender is not a
    /// known peer. The report must then be ignored.
    pub fn accept_report(&mut self, report: &Report) -> Result<AcceptedReport, NoticeError> {
        let name = self.by_short_id.get(&report.from).ok_or(NoticeError::UnknownSender)?;
        let known = self.known.get(name).ok_or(NoticeError::UnknownSender)?;
        let sender = Sender { instance: name.clone(), incarnation: known.incarnation };
        let is_latest = self.reports.entry(report.from).or_default().accept(report.sequence)?;
        Ok(AcceptedReport { sender, is_latest })
    }

    /// Returns the address of the instance that announced a quota shard last.
    pub fn shard_owner(&self, now: Instant, shard: ShardId) -> Option<SocketAddr> {
        self.owner_entry(now, shard).map(|(_, peer)| peer.address)
    }

    /// Returns the name of the instance that announced a quota shard last.
    pub fn shard_owner_name(&self, now: Instant, shard: ShardId) -> Option<&InstanceId> {
        self.owner_entry(now, shard).map(|(name, _)| name)
    }

    fn owner_entry(&self, now: Instant, shard: ShardId) -> Option<(&InstanceId, &Peer)> {
        let is_owner = |(_, peer): &(&InstanceId, &Peer)| {
            peer.quota.shards & (1 << shard) != 0 && peer.was_heard_within(now, OWNER_TIMEOUT)
        };
        let owners = self.known.iter().filter(is_owner);
        owners.max_by_key(|(_, peer)| peer.quota.received)
    }

    /// Returns true if datagrams of at least four fifths of the registered instances were received.
    pub fn is_fleet_known(&self) -> bool {
        let instances = self.known.len() + 1;
        self.registered.back().is_some_and(|registered| instances * 5 >= *registered * 4)
    }

    /// Returns true if heartbeats of all other instances were received since a time, so that the versions
    /// which they have in force are known. False until the registered instances have been read.
    pub fn are_all_heard_since(&self, since: Instant) -> bool {
        let heard = self.known.values().filter(|peer| peer.sent_heartbeat_since(since)).count() + 1;
        self.max_instances().is_some_and(|instances| heard >= instances)
    }

    /// Returns true if this instance is cut off: it receives nothing, in a fleet of ten and more. In
    /// a smaller fleet, all others may have failed instead.
    pub fn is_cut_off(&self, now: Instant) -> bool {
        let is_live = |peer: &Peer| peer.was_heard_within(now, OWNER_TIMEOUT);
        let registered = self.registered.back().copied().unwrap_or_default();
        registered >= MIN_FLEET_WITH_HUBS && !self.known.values().any(is_live)
    }

    /// Returns the live peers that may claim quota shards, and the shards that live peers announce.
    pub fn quota_contenders(&self, now: Instant) -> Contenders {
        let mut contenders = Contenders::default();
        for (name, peer) in &self.known {
            if peer.was_heard_within(now, OWNER_TIMEOUT) {
                contenders.announced |= peer.quota.shards;
            }
            let may_claim = peer.store.is_up && !peer.quota.is_leaving;
            if may_claim && peer.was_heard_within(now, RELAY_TIMEOUT) {
                contenders.names.push(name.clone());
            }
        }
        contenders
    }

    /// Returns true if the store responds to a peer.
    pub fn can_reach_store(&self) -> bool {
        self.views_of_store().next().is_some()
    }

    /// Returns the newest revision at which a peer to which the store responds knows a configuration
    /// with a higher version than `own`, [`Revision::NONE`] if there is none. Versions keep their order
    /// if the store comes back from an older copy.
    pub fn newest_configuration(&self, own: Version) -> Revision {
        let known = self.known.values().filter(|peer| peer.store.is_up && peer.version > own);
        known.map(|peer| peer.store.configuration).max().unwrap_or_default()
    }

    /// Returns the newest revision at which a peer to which the store responds knows another list
    /// of upstreams than `own`, [`Revision::NONE`] if there is none.
    ///
    /// Revisions alone do not show that a list has changed: the one up to which a peer has read
    /// increases with each write to the store, and the newest one among the entries does not
    /// change when one is removed.
    pub fn newest_other_list(&self, own: ListState) -> Revision {
        let lists = self.views_of_store().map(|store| store.upstreams);
        let others = lists.filter(|list| list.digest != own.digest);
        others.map(|list| list.revision).max().unwrap_or_default()
    }

    fn views_of_store(&self) -> impl Iterator<Item = &StoreView> {
        self.known.values().map(|peer| &peer.store).filter(|store| store.is_up)
    }

    /// Returns the known number of instances in the fleet, including this one.
    pub fn instances(&self) -> usize {
        (self.known.len() + 1).max(self.registered.back().copied().unwrap_or_default())
    }

    /// Returns the largest number of instances, including this one, that the fleet may have, `None`
    /// until the registered instances have been read. Registrations of live instances are missing
    /// for a while after an outage of the store, so a smaller number counts only once it was read
    /// several times.
    pub fn max_instances(&self) -> Option<usize> {
        let registered = self.registered.iter().max()?;
        Some((self.known.len() + 1).max(*registered))
    }
}

/// Returns the rank of an instance among those that may be relays or hubs. Equal ranks are ordered
/// by the id. The ids in a fleet differ only in a few characters at the end, so the hash is mixed.
/// Otherwise the instances with the lowest ranks would be in the same failure domain.
fn rank(name: &str) -> u64 {
    mix(hash(name.bytes()))
}

/// Computes the finalizer of MurmurHash3. Changing one bit of the input changes about half of the
/// bits of the output.
pub(crate) fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
