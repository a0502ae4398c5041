//! Number of requests in flight from the whole fleet.

use std::time::{Duration, Instant};

use cactustrack_fleet::load::FleetLoad;
use cactustrack_fleet::message::InFlight;
use cactustrack_types::{InstanceId, UpstreamId};

/// Guards against counts that stay wrong after datagrams are lost, duplicated or delayed.
#[test]
fn a_heartbeat_corrects_the_counts() {
    let now = Instant::now();
    let (peer, up): (InstanceId, UpstreamId) = ("peer".into(), "up".into());
    let mut load = FleetLoad::default();
    load.start(&up);
    load.set_peer(now, &peer, &up, 3);
    load.set_peer(now, &peer, &up, 3);
    assert_eq!(load.in_flight("up"), 4);
    load.replace_peer(now, &peer, &[InFlight { upstream: up.clone(), count: 1 }]);
    assert_eq!(load.in_flight("up"), 2);
    load.replace_peer(now, &peer, &[]);
    assert_eq!(load.in_flight("up"), 1);
    load.finish(&up);
    load.finish(&up);
    assert_eq!(load.in_flight("up"), 0);
}

/// Guards against counts of a killed instance that make its upstreams look busy permanently.
#[test]
fn counts_of_an_instance_without_datagrams_expire() {
    let now = Instant::now();
    let (peer, up): (InstanceId, UpstreamId) = ("peer".into(), "up".into());
    let mut load = FleetLoad::default();
    load.set_peer(now, &peer, &up, 5);
    load.expire(now + Duration::from_secs(1));
    assert_eq!(load.in_flight("up"), 5);
    load.expire(now + Duration::from_secs(5));
    assert_eq!(load.in_flight("up"), 0);
}
