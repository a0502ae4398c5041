//! Number of requests in flight at each upstream from the whole fleet.

use std::time::{Duration, Instant};

use cactustrack_types::{InstanceId, UpstreamId};
use rapidhash::RapidHashMap;

use crate::message::InFlight;

/// Time without a datagram after which the counts of an instance are dropped. It is longer than a
/// few heartbeat intervals, so that lost heartbeats do not drop the counts.
const PEER_COUNTS_TTL: Duration = Duration::from_secs(4);

/// Time for which an upstream counts as full after it rejected a request as busy.
const FULL_TTL: Duration = Duration::from_millis(300);

#[derive(Debug, Default)]
struct PeerLoad {
    counts: RapidHashMap<UpstreamId, u16>,
    last_contact: Option<Instant>,
}

/// Requests in flight at upstreams, from this instance and from the others.
#[derive(Debug, Default)]
pub struct FleetLoad {
    own: RapidHashMap<UpstreamId, u16>,
    peers: RapidHashMap<InstanceId, PeerLoad>,
    totals: RapidHashMap<UpstreamId, u32>,
    full_until: RapidHashMap<UpstreamId, Instant>,
}

impl FleetLoad {
    /// Counts a new request of this instance and returns the number that it has in flight at the
    /// upstream.
    pub fn start(&mut self, upstream: &UpstreamId) -> u16 {
        let own = self.own.entry(upstream.clone()).or_default();
        *own = own.saturating_add(1);
        let count = *own;
        *self.totals.entry(upstream.clone()).or_default() += 1;
        count
    }

    /// Counts the end of a request of this instance and returns the number that it still has in
    /// flight at the upstream.
    pub fn finish(&mut self, upstream: &UpstreamId) -> u16 {
        let Some(own) = self.own.get_mut(upstream) else { return 0 };
        *own = own.saturating_sub(1);
        let count = *own;
        if count == 0 {
            self.own.remove(upstream);
        }
        self.subtract(upstream, 1);
        count
    }

    /// Sets the number of requests that another instance has in flight at an upstream.
    pub fn set_peer(&mut self, now: Instant, peer: &InstanceId, upstream: &UpstreamId, count: u16) {
        let load = self.peers.entry(peer.clone()).or_default();
        load.last_contact = Some(now);
        let previous = match count {
            0 => load.counts.remove(upstream),
            _ => load.counts.insert(upstream.clone(), count),
        };
        let (count, previous) = (u32::from(count), u32::from(previous.unwrap_or_default()));
        if count >= previous {
            self.add(upstream, count - previous);
        } else {
            self.subtract(upstream, previous - count);
        }
    }

    /// Replaces all counts of another instance.
    pub fn replace_peer(&mut self, now: Instant, peer: &InstanceId, counts: &[InFlight]) {
        let load = self.peers.entry(peer.clone()).or_default();
        load.last_contact = Some(now);
        // Most counts of a heartbeat are known, so only those that it does not state are removed.
        let is_stated =
            |upstream: &UpstreamId| counts.iter().any(|stated| stated.upstream == *upstream);
        let unstated: Vec<_> = load.counts.extract_if(|upstream, _| !is_stated(upstream)).collect();
        for (upstream, count) in unstated {
            self.subtract(&upstream, u32::from(count));
        }
        for InFlight { upstream, count } in counts {
            self.set_peer(now, peer, upstream, *count);
        }
    }

    /// Returns the upstreams at which another instance has requests in flight, as far as it is
    /// known.
    pub fn upstreams_of_peer(&self, peer: &str) -> Vec<UpstreamId> {
        self.peers.get(peer).map_or_else(Vec::new, |load| load.counts.keys().cloned().collect())
    }

    /// Removes the counts of another instance.
    pub fn remove_peer(&mut self, peer: &InstanceId) {
        let Some(load) = self.peers.remove(peer) else { return };
        for (upstream, count) in load.counts {
            self.subtract(&upstream, u32::from(count));
        }
    }

    /// Removes the counts of instances without a recent datagram, and expired marks of full
    /// upstreams.
    pub fn expire(&mut self, now: Instant) {
        let is_stale = |load: &PeerLoad| {
            load.last_contact.is_none_or(|at| now.saturating_duration_since(at) > PEER_COUNTS_TTL)
        };
        let stale: Vec<_> = self.peers.iter().filter(|(_, load)| is_stale(load)).collect();
        let stale: Vec<InstanceId> = stale.into_iter().map(|(peer, _)| peer.clone()).collect();
        for peer in stale {
            self.remove_peer(&peer);
        }
        self.full_until.retain(|_, until| *until > now);
    }

    /// Marks an upstream as full after it rejected a request as busy.
    pub fn set_full(&mut self, now: Instant, upstream: &UpstreamId) {
        self.full_until.insert(upstream.clone(), now + FULL_TTL);
    }

    /// Returns true if the upstream has recently rejected a request as busy.
    pub fn is_full(&self, now: Instant, upstream: &str) -> bool {
        self.full_until.get(upstream).is_some_and(|until| *until > now)
    }

    /// Returns the number of requests in flight at an upstream from all instances.
    pub fn in_flight(&self, upstream: &str) -> u32 {
        self.totals.get(upstream).copied().unwrap_or_default()
    }

    /// Returns the number of requests in flight at an upstream from this instance.
    pub fn own_in_flight(&self, upstream: &str) -> u16 {
        self.own.get(upstream).copied().unwrap_or_default()
    }

    /// Returns the requests in flight from this instance by upstream.
    pub fn own(&self) -> Vec<InFlight> {
        let entry = |(upstream, count): (&UpstreamId, &u16)| InFlight {
            upstream: upstream.clone(),
            count: *count,
        };
        self.own.iter().map(entry).collect()
    }

    fn add(&mut self, upstream: &UpstreamId, count: u32) {
        if count > 0 {
            *self.totals.entry(upstream.clone()).or_default() += count;
        }
    }

    fn subtract(&mut self, upstream: &UpstreamId, count: u32) {
        let Some(total) = self.totals.get_mut(upstream) else { return };
        *total = total.saturating_sub(count);
        if *total == 0 {
            self.totals.remove(upstream);
        }
    }
}
