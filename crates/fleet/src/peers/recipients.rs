//! Recipients of notices and relayed changes: all peers, or hubs that forward them.

use std::net::SocketAddr;
use std::time::Instant;

use cactustrack_types::{FailureDomain, InstanceId};

use super::{MIN_FLEET_WITH_HUBS, Peer, Peers, RELAY_TIMEOUT, rank};

/// Number of instances of a failure domain per hub. A hub collects notices and forwards them, and
/// its link carries its share of all notices once for each instance of the failure domain.
const INSTANCES_PER_HUB: usize = 4;

/// Minimum number of hubs of a failure domain. With several hubs, the failure of one loses only a
/// part of the notices.
const MIN_HUBS: usize = 2;

/// Recipients of the notices of this instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NoticeRoute {
    /// All other instances.
    All(Vec<SocketAddr>),
    /// A hub of the failure domain of this instance.
    Hub(SocketAddr),
    /// This instance, which is a hub itself.
    LocalInstance,
}

/// Recipients of the notices that a hub forwards.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HubTargets {
    /// All other instances of the failure domain of the hub.
    pub same_domain: Vec<SocketAddr>,
    /// One hub of each other failure domain.
    pub hubs: Vec<SocketAddr>,
}

/// Identity of this instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalInstance {
    /// Id of the instance.
    pub name: InstanceId,
    /// Failure domain that it runs in.
    pub failure_domain: FailureDomain,
}

impl Peers {
    /// Returns the recipients of the notices of this instance. `rotation` is a counter by which the
    /// notices are spread over the hubs.
    pub fn route(&self, now: Instant, own: &LocalInstance, rotation: usize) -> NoticeRoute {
        if self.instances() < MIN_FLEET_WITH_HUBS {
            return NoticeRoute::All(self.addresses());
        }
        let hubs = self.hubs(now, &own.failure_domain, Some(own));
        match hubs.get(rotation % hubs.len().max(1)) {
            Some(Some(address)) => NoticeRoute::Hub(*address),
            _ => NoticeRoute::LocalInstance,
        }
    }

    /// Returns the recipients of a change that this instance relays. Fleets without hubs send it to
    /// all peers directly.
    pub fn relay_targets(&self, now: Instant, own: &LocalInstance, rotation: usize) -> HubTargets {
        if self.instances() < MIN_FLEET_WITH_HUBS {
            return HubTargets { same_domain: self.addresses(), hubs: Vec::new() };
        }
        let mut targets = self.hub_targets(now, own, rotation);
        targets.same_domain.extend(self.unconfirmed.keys());
        targets
    }

    /// Returns the addresses of the other instances of the failure domain of this instance.
    pub fn same_domain(&self, own: &LocalInstance) -> Vec<SocketAddr> {
        let same_domain =
            self.known.values().filter(|peer| peer.failure_domain == own.failure_domain);
        same_domain.map(|peer| peer.address).collect()
    }

    /// Returns the recipients of the notices that this instance forwards as a hub.
    pub fn hub_targets(&self, now: Instant, own: &LocalInstance, rotation: usize) -> HubTargets {
        let mut targets = HubTargets::default();
        let mut others = Vec::new();
        for peer in self.known.values() {
            if peer.failure_domain == own.failure_domain {
                targets.same_domain.push(peer.address);
            } else if !others.contains(&&peer.failure_domain) {
                others.push(&peer.failure_domain);
            }
        }
        for domain in others {
            let hubs = self.hubs(now, domain, None);
            targets.hubs.extend(hubs.get(rotation % hubs.len().max(1)).copied().flatten());
        }
        targets
    }

    /// Returns the addresses of the hubs of a failure domain. `own` is this instance if it is a
    /// candidate, and `None` in the result stands for it.
    fn hubs(
        &self,
        now: Instant,
        domain: &str,
        own: Option<&LocalInstance>,
    ) -> Vec<Option<SocketAddr>> {
        let is_eligible = |peer: &Peer| {
            &*peer.failure_domain == domain && peer.was_heard_within(now, RELAY_TIMEOUT)
        };
        let eligible = self.known.iter().filter(|(_, peer)| is_eligible(peer));
        let mut ranked: Vec<_> =
            eligible.map(|(name, peer)| ((peer.rank, &**name), Some(peer.address))).collect();
        ranked.extend(own.map(|own| ((rank(&own.name), &*own.name), None)));
        ranked.sort_unstable();
        let hubs = ranked.len().div_ceil(INSTANCES_PER_HUB).max(MIN_HUBS);
        ranked.into_iter().take(hubs).map(|(_, address)| address).collect()
    }
}
