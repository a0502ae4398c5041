//! One instance of the simulated fleet, and what it sends.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cactustrack_fleet::discovery::{Era, Revision};
use cactustrack_fleet::freshness::{FreshnessTracker, PendingRead, SinceBoot};
use cactustrack_fleet::message::{Body, Datagram, FORMAT, ListState, StoreView, to_stamp};
use cactustrack_fleet::peers::Peers;
use cactustrack_types::{CONFIGURATION_FORMAT, Configuration, Incarnation, InstanceId, Version};

use super::simulation::{BOUND, Event};

/// A version of the configuration in the store. Version `n` lists the API keys `n` and `n - 1`.
pub(super) struct StoredVersion {
    pub(super) acknowledged: Duration,
    pub(super) is_decodable: bool,
}

pub(super) fn has_key(version: Version, key: u64) -> bool {
    version == key || version == key + 1
}

/// A call to the store whose response is awaited.
pub(super) struct PendingCall {
    pub(super) number: u64,
    pub(super) started: SinceBoot,
    /// The read to finish, `None` for the read at startup.
    pub(super) read: Option<PendingRead>,
}

/// One machine with its process.
pub(super) struct Instance {
    pub(super) name: InstanceId,
    pub(super) incarnation: Incarnation,
    pub(super) freshness: FreshnessTracker,
    pub(super) peers: Peers,
    pub(super) in_force: Option<Version>,
    /// Newest revision at which the store is known to have held the version in force.
    configuration: Revision,
    /// Newest era of the store that it has seen.
    era: Era,
    /// True if it has read how many instances are registered.
    pub(super) knows_registered: bool,
    /// Revision that its last watch returned.
    pub(super) watched: Option<Revision>,
    pub(super) pending: Option<PendingCall>,
    pub(super) started: Duration,
    /// Time since the boot of the machine at the time `started`.
    pub(super) clock_at_start: SinceBoot,
    /// Time for which the machine was suspended since the process started.
    pub(super) suspended: Duration,
    pub(super) sequence: u64,
    pub(super) is_running: bool,
    pub(super) is_frozen: bool,
    /// What arrived while the process stood still.
    pub(super) backlog: Vec<Event>,
    pub(super) next_heartbeat: Duration,
}

impl Instance {
    pub(super) fn new(
        name: InstanceId,
        incarnation: u64,
        started: Duration,
        clock: SinceBoot,
    ) -> Self {
        let incarnation = Incarnation(incarnation);
        Self {
            name,
            incarnation,
            freshness: FreshnessTracker::new(BOUND, incarnation),
            peers: Peers::default(),
            in_force: None,
            configuration: Revision::NONE,
            era: 0,
            knows_registered: false,
            watched: None,
            pending: None,
            started,
            clock_at_start: clock,
            suspended: Duration::ZERO,
            sequence: 0,
            is_running: true,
            is_frozen: false,
            backlog: Vec::new(),
            next_heartbeat: started,
        }
    }

    pub(super) fn clock(&self, at: Duration) -> SinceBoot {
        self.clock_at_start + at.saturating_sub(self.started)
    }

    pub(super) fn put_in_force(&mut self, version: Version, revision: Revision) {
        if self.in_force <= Some(version) {
            self.in_force = Some(version);
            self.configuration = self.configuration.max(revision);
        }
    }

    /// Records the era that the store states, here or to another instance, 0 if it is not known.
    pub(super) fn on_era(&mut self, now: Instant, era: Era) {
        self.era = self.era.max(era);
        self.freshness.on_era(now, era, &self.peers);
    }

    /// Returns the next datagram of the instance.
    pub(super) fn datagram(&mut self, body: Body) -> Datagram {
        self.sequence += 1;
        Datagram {
            format: FORMAT,
            from: self.name.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            version: self.in_force.unwrap_or_default(),
            body,
        }
    }

    /// Returns the heartbeat of the instance.
    pub(super) fn heartbeat(&self, clock: SinceBoot, is_up: bool) -> Body {
        let upstreams = ListState { revision: Revision::new(self.era, 1), digest: 0 };
        Body::Heartbeat {
            in_flight: Vec::new(),
            peers: Vec::new(),
            leaving: false,
            store: StoreView { is_up, configuration: self.configuration, upstreams },
            failure_domain: "domain-a".into(),
            totals: Vec::new(),
            stamp: to_stamp(clock),
            quota_shards: 0,
        }
    }
}

/// Returns a configuration without content.
pub(super) fn configuration(version: Version) -> Configuration {
    Configuration {
        format: CONFIGURATION_FORMAT,
        version,
        team: "operator".into(),
        services: Vec::new(),
        routes: Vec::new(),
        accounts: Vec::new(),
        requires_api_key: true,
    }
}

/// Returns the number in the name of an instance.
pub(super) fn number_of(name: &str) -> usize {
    name.trim_start_matches("edge-").parse().expect("a number")
}

/// Returns the address of an instance.
pub(super) fn address_of(name: &str) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number_of(name) as u8], 7540))
}
