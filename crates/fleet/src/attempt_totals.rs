//! Numbers of attempts that the instances state in their datagrams.
//!
//! An instance states how many attempts it has made since its start. The difference to the number
//! known before is the number of new ones, so lost, repeated and reordered datagrams cause no error
//! that lasts beyond the next one.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::{Duration, Instant};

use cactustrack_types::{Incarnation, InstanceId};
use rapidhash::RapidHashMap;
use serde::{Deserialize, Serialize};

use crate::message::ShortId;

/// Maximum number of services of which a heartbeat states the attempts. It bounds the datagram.
pub const MAX_SERVICES_PER_HEARTBEAT: usize = 24;

/// Time without a statement after which the totals of an instance are dropped. It is far longer than
/// the decay of the attempt rate, so the attempts that are not counted then have no weight any more.
const TOTALS_TTL: Duration = Duration::from_secs(30);

/// Numbers of attempts of an instance at a service since its start. They wrap around.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptTotals {
    /// First attempts, one for each request.
    pub first: u32,
    /// Retries, hedges and other attempts beyond the first one of a request.
    pub extra: u32,
}

impl AttemptTotals {
    /// Counts an attempt.
    pub fn add(&mut self, is_extra: bool) {
        let total = if is_extra { &mut self.extra } else { &mut self.first };
        *total = total.wrapping_add(1);
    }

    /// Returns the totals without one attempt.
    fn without(mut self, is_extra: bool) -> Self {
        let total = if is_extra { &mut self.extra } else { &mut self.first };
        *total = total.wrapping_sub(1);
        self
    }

    /// Advances to later totals and returns the difference, zero for totals that are not later.
    fn advance(&mut self, stated: Self) -> Self {
        Self {
            first: advance(&mut self.first, stated.first),
            extra: advance(&mut self.extra, stated.extra),
        }
    }
}

fn advance(known: &mut u32, stated: u32) -> u32 {
    let difference = stated.wrapping_sub(*known);
    // A difference above half of the range is an earlier total.
    if difference > u32::MAX / 2 {
        return 0;
    }
    *known = stated;
    difference
}

/// Totals of this instance.
#[derive(Debug, Default)]
pub struct OwnTotals {
    services: BTreeMap<ShortId, AttemptTotals>,
    /// Last service of the previous statement, if that did not state all services.
    last_stated: Option<ShortId>,
}

impl OwnTotals {
    /// Counts an attempt and returns the totals of its service.
    pub fn add(&mut self, service: ShortId, is_extra: bool) -> AttemptTotals {
        let totals = self.services.entry(service).or_default();
        totals.add(is_extra);
        *totals
    }

    /// Returns the totals for a heartbeat: all of them, or the next ones if there are too many.
    pub fn next_statement(&mut self) -> Vec<ServiceTotals> {
        let after = self.last_stated.map_or(Bound::Unbounded, Bound::Excluded);
        let rest = self.services.range((after, Bound::Unbounded));
        let wrapped = self.services.iter();
        let most = self.services.len().min(MAX_SERVICES_PER_HEARTBEAT);
        let stated = rest.chain(wrapped).take(most);
        let stated: Vec<_> =
            stated.map(|(&service, &totals)| ServiceTotals { service, totals }).collect();
        let is_partial = stated.len() == MAX_SERVICES_PER_HEARTBEAT;
        self.last_stated = stated.last().filter(|_| is_partial).map(|last| last.service);
        stated
    }
}

/// Attempts of an instance at a service, as stated in a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceTotals {
    /// The service, see [`short_service_id`](crate::message::short_service_id).
    pub service: ShortId,
    /// The attempts.
    pub totals: AttemptTotals,
}

/// One incarnation of an instance that sent notices or a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sender {
    /// Id of the instance.
    pub instance: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

struct KnownTotals {
    incarnation: Incarnation,
    services: RapidHashMap<ShortId, AttemptTotals>,
    /// True once a heartbeat has stated all services. Others have had no attempts before.
    is_complete: bool,
    stated_at: Instant,
}

/// Totals of the other instances.
#[derive(Default)]
pub struct PeerTotals {
    peers: RapidHashMap<InstanceId, KnownTotals>,
}

impl PeerTotals {
    /// Records the totals that a notice of an attempt states, and returns the attempts that were
    /// not known before. If the earlier totals of the instance are not known, that is this attempt.
    pub fn on_attempt(
        &mut self,
        now: Instant,
        from: &Sender,
        service: ShortId,
        is_extra: bool,
        stated: AttemptTotals,
    ) -> AttemptTotals {
        let known = self.known(now, from);
        let is_complete = known.is_complete;
        let baseline =
            || if is_complete { AttemptTotals::default() } else { stated.without(is_extra) };
        known.services.entry(service).or_insert_with(baseline).advance(stated)
    }

    /// Records the totals that a heartbeat states, and returns the attempts that were not known
    /// before. Attempts of an instance of which nothing was known are not returned, since the time
    /// at which they started is unknown.
    pub fn on_heartbeat(
        &mut self,
        now: Instant,
        from: &Sender,
        stated: &[ServiceTotals],
    ) -> Vec<ServiceTotals> {
        let known = self.known(now, from);
        let is_complete = known.is_complete;
        known.is_complete |= stated.len() < MAX_SERVICES_PER_HEARTBEAT;
        let advance = |stated: &ServiceTotals| {
            let ServiceTotals { service, totals } = *stated;
            let baseline = || if is_complete { AttemptTotals::default() } else { totals };
            let totals = known.services.entry(service).or_insert_with(baseline).advance(totals);
            ServiceTotals { service, totals }
        };
        let new = stated.iter().map(advance);
        new.filter(|new| new.totals != AttemptTotals::default()).collect()
    }

    /// Drops the totals of instances that have stated none for a long time.
    pub fn expire(&mut self, now: Instant) {
        self.peers.retain(|_, known| now.saturating_duration_since(known.stated_at) <= TOTALS_TTL);
    }

    fn known(&mut self, now: Instant, from: &Sender) -> &mut KnownTotals {
        let new = || KnownTotals {
            incarnation: from.incarnation,
            services: RapidHashMap::default(),
            is_complete: false,
            stated_at: now,
        };
        let known = self.peers.entry(from.instance.clone()).or_insert_with(new);
        let is_expired = now.saturating_duration_since(known.stated_at) > TOTALS_TTL;
        if known.incarnation != from.incarnation || is_expired {
            *known = new();
        }
        known.stated_at = now;
        known
    }
}
