//! Which upstreams each instance uses, and how many connections it opens to each.

use std::collections::HashMap;

use cactustrack_types::{InstanceId, UpstreamId};
use rapidhash::fast::RandomState;
use rapidhash::v3::{RapidSecrets, rapidhash_v3_seeded};

/// Number of upstreams in a subset, if the service has as many. With fewer an instance could
/// neither tell a faulty upstream from a fault of its own nor try another one twice.
pub const MIN_SUBSET: usize = 3;

/// Connections to one upstream that an instance needs to send it a few requests at a time. Upstreams
/// have 3 or 4 slots.
pub const CONNECTIONS_PER_USER: usize = 4;

/// Seed of the hashes. It must be the same on all instances.
const HASH_SECRETS: RapidSecrets = RapidSecrets::seed(0x6361_6374_7573);

/// Users of one upstream may exceed the mean over the service's upstreams by a quarter. With 40
/// instances and 15 upstreams the mean is 8; without a bound hashing gave one upstream 12 users. With
/// a bound at the mean, replacing an instance moved 4.5 instead of 1.5 assignments of others.
const MAX_USERS_OVER_MEAN: (usize, usize) = (5, 4);

/// Connections that one instance may open to an upstream.
///
/// The limit is 0.9 × `connections` ÷ `users`, rounded down, at least 1. A tenth is left for
/// instances that do not know about each other yet.
pub fn connection_limit(connections: u32, users: usize) -> u32 {
    let share = fleet_connections(connections) / users.max(1);
    u32::try_from(share).unwrap_or(u32::MAX).max(1)
}

/// Connections that the fleet as a whole may open to an upstream.
fn fleet_connections(connections: u32) -> usize {
    usize::try_from(u64::from(connections) * 9 / 10).unwrap_or(usize::MAX)
}

/// Number of upstreams in the subset of each instance.
///
/// It is the largest size at which each user of an upstream may still hold
/// [`CONNECTIONS_PER_USER`] connections, at least [`MIN_SUBSET`] if there are as many upstreams and
/// connections, and at least 1. With three instances and five upstreams a fixed size of three left
/// an upstream without any user.
pub fn subset_size(instances: usize, upstreams: usize, connections: u32) -> usize {
    let places = fleet_connections(connections).saturating_mul(upstreams);
    let possible = places / instances.max(1);
    let size = (possible / CONNECTIONS_PER_USER).max(MIN_SUBSET);
    size.min(possible).min(upstreams).max(1)
}

/// The subsets of all instances for one service.
///
/// Every pair of instance and upstream has a score, which is a hash of their names (rendezvous
/// hashing). Pairs are accepted by descending score while the instance needs upstreams and the
/// upstream has room for users. A pair depends on others only through these two bounds, so a change
/// of one instance moves its own subset and, where an upstream is at its bound, a few others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Assignment {
    upstreams: Vec<UpstreamId>,
    connections: u32,
    /// Indexes into `upstreams`, best score first.
    subsets: HashMap<InstanceId, Vec<u32>, RandomState>,
    /// Number of instances that use each upstream.
    users: Vec<usize>,
}

impl Assignment {
    /// Assigns upstreams to instances.
    ///
    /// `instances` are the live instances and must include the own one. `connections` is the number
    /// that one upstream accepts. The result does not depend on the order of the slices. The cost
    /// is a hash and a place in a sorted list for each pair; call it when members change.
    pub fn new(instances: &[InstanceId], upstreams: &[UpstreamId], connections: u32) -> Self {
        let mut builder = Builder::new(instances, upstreams, connections);
        let pairs = scored_pairs(instances, upstreams);
        builder.accept(&pairs, builder.balanced_users().min(fleet_connections(connections)));
        // An instance that still needs upstreams may exceed the balance and use the reserved tenth,
        // but not the connections that the upstream accepts.
        builder.accept(&pairs, usize::try_from(connections).unwrap_or(usize::MAX));
        builder.serve_the_rest(&pairs);
        let Builder { subsets, users, .. } = builder;
        let subsets = instances.iter().cloned().zip(subsets).collect();
        Self { upstreams: upstreams.to_vec(), connections, subsets, users }
    }

    /// Upstreams in the subset of an instance, best score first. Empty for an unknown instance.
    pub fn subset(&self, instance: &str) -> impl Iterator<Item = &UpstreamId> {
        let subset = self.subsets.get(instance).map_or(&[][..], Vec::as_slice);
        subset.iter().map(|&at| &self.upstreams[at as usize])
    }

    /// Number of instances that use an upstream.
    pub fn users(&self, upstream: &str) -> usize {
        let at = self.upstreams.iter().position(|id| &**id == upstream);
        at.map_or(0, |at| self.users[at])
    }

    /// Connections that each user of an upstream may open to it.
    pub fn connection_limit(&self, upstream: &str) -> u32 {
        connection_limit(self.connections, self.users(upstream))
    }
}

struct Pair {
    score: u64,
    instance: u32,
    upstream: u32,
}

struct Builder {
    size: usize,
    subsets: Vec<Vec<u32>>,
    users: Vec<usize>,
}

impl Builder {
    fn new(instances: &[InstanceId], upstreams: &[UpstreamId], connections: u32) -> Self {
        let size = subset_size(instances.len(), upstreams.len(), connections);
        let subsets = vec![Vec::with_capacity(size); instances.len()];
        Self { size, subsets, users: vec![0; upstreams.len()] }
    }

    /// Users of one upstream up to which pairs are accepted in the first pass.
    fn balanced_users(&self) -> usize {
        let (numerator, denominator) = MAX_USERS_OVER_MEAN;
        let places = self.subsets.len() * self.size * numerator;
        places.div_ceil(denominator * self.users.len().max(1))
    }

    fn accept(&mut self, pairs: &[Pair], max_users: usize) {
        for pair in pairs {
            let (instance, upstream) = (pair.instance as usize, pair.upstream as usize);
            let subset = &mut self.subsets[instance];
            let has_room = subset.len() < self.size && self.users[upstream] < max_users;
            if has_room && !subset.contains(&pair.upstream) {
                subset.push(pair.upstream);
                self.users[upstream] += 1;
            }
        }
    }

    /// Gives one upstream to each instance that has none. This exceeds the connections that an
    /// upstream accepts, which cannot be avoided with more instances than connections.
    fn serve_the_rest(&mut self, pairs: &[Pair]) {
        for pair in pairs {
            let subset = &mut self.subsets[pair.instance as usize];
            if subset.is_empty() {
                subset.push(pair.upstream);
                self.users[pair.upstream as usize] += 1;
            }
        }
    }
}

/// All pairs of instance and upstream by descending score, then by name.
fn scored_pairs(instances: &[InstanceId], upstreams: &[UpstreamId]) -> Vec<Pair> {
    let upstream_hashes: Vec<u64> = upstreams.iter().map(|id| hash(id.as_bytes())).collect();
    let mut pairs = Vec::with_capacity(instances.len() * upstreams.len());
    for (instance, id) in (0u32..).zip(instances) {
        let instance_hash = hash(id.as_bytes());
        for (upstream, &upstream_hash) in (0u32..).zip(&upstream_hashes) {
            pairs.push(Pair { score: score(instance_hash, upstream_hash), instance, upstream });
        }
    }
    let names = |p: &Pair| (&instances[p.instance as usize], &upstreams[p.upstream as usize]);
    pairs.sort_unstable_by(|a, b| b.score.cmp(&a.score).then_with(|| names(a).cmp(&names(b))));
    pairs
}

fn hash(bytes: &[u8]) -> u64 {
    rapidhash_v3_seeded(bytes, &HASH_SECRETS)
}

fn score(instance: u64, upstream: u64) -> u64 {
    let mut pair = [0; 16];
    pair[..8].copy_from_slice(&instance.to_le_bytes());
    pair[8..].copy_from_slice(&upstream.to_le_bytes());
    hash(&pair)
}
