//! Subsetting: which upstreams each instance uses, and how many connections it opens to each.

use std::collections::HashMap;

use cactustrack_types::{InstanceId, UpstreamId};
use rapidhash::fast::RandomState;
use rapidhash::v3::{RapidSecrets, rapidhash_v3_seeded};

/// Minimum number of upstreams in a subset, if the service has as many. With fewer, an instance
/// could neither distinguish a faulty upstream from a fault of its own nor retry twice on other
/// upstreams.
pub const MIN_SUBSET: usize = 3;

/// Number of connections to an upstream that an instance needs to send it a few requests at a time.
/// Upstreams have 3 or 4 slots.
pub const CONNECTIONS_PER_USER: usize = 4;

/// Seed of the hashes, which must be the same on all instances.
const HASH_SECRETS: RapidSecrets = RapidSecrets::seed(0x6361_6374_7573);

/// Ratio of the maximum number of users of an upstream to the mean over the service's upstreams, as
/// numerator and denominator. A user is an instance that has the upstream in its subset.
///
/// With 40 instances and 15 upstreams the mean is 8, and without a bound, hashing gave one upstream
/// 12 users. With a bound at the mean, replacing an instance moved 4.5 assignments of other
/// instances instead of 1.5.
const MAX_USERS_OVER_MEAN: (usize, usize) = (5, 4);

/// Returns the number of connections that an instance may open to an upstream with this many
/// `users`.
///
/// The limit is 0.9 × `connections` ÷ `users`, rounded down, and at least 1. A tenth is reserved
/// for instances that do not know about each other yet.
pub fn connection_limit(connections: u32, users: usize) -> u32 {
    let share = fleet_connections(connections) / users.max(1);
    u32::try_from(share).unwrap_or(u32::MAX).max(1)
}

/// Returns the number of connections that the whole fleet may open to an upstream.
fn fleet_connections(connections: u32) -> usize {
    usize::try_from(u64::from(connections) * 9 / 10).unwrap_or(usize::MAX)
}

/// Returns the number of upstreams in the subset of each instance.
///
/// This is the largest size at which each user of an upstream may still hold
/// [`CONNECTIONS_PER_USER`] connections, but at least [`MIN_SUBSET`] if there are as many upstreams
/// and connections, and at least 1. With three instances and five upstreams, a fixed size of three
/// left an upstream without any user.
pub fn subset_size(instances: usize, upstreams: usize, connections: u32) -> usize {
    let total_connections = fleet_connections(connections).saturating_mul(upstreams);
    let max_size = total_connections / instances.max(1);
    let size = (max_size / CONNECTIONS_PER_USER).max(MIN_SUBSET);
    size.min(max_size).min(upstreams).max(1)
}

/// Subsets of all instances for one service.
///
/// Each pair of instance and upstream has a score, which is a hash of their ids (rendezvous
/// hashing). Pairs are accepted in descending order of score while the instance needs upstreams and
/// the upstream accepts users. A pair depends on others only through these two bounds, so a change
/// of one instance changes its own subset and, where an upstream is at its bound, a few assignments
/// of others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Assignment {
    upstreams: Vec<UpstreamId>,
    connections: u32,
    /// Indices into `upstreams`, in descending order of score.
    subsets: HashMap<InstanceId, Vec<u32>, RandomState>,
    /// Number of instances that use each upstream.
    users: Vec<usize>,
}

impl Assignment {
    /// Assigns upstreams to instances.
    ///
    /// `instances` are the live instances, including this one. `connections` is the number of
    /// connections that each upstream accepts. The result does not depend on the order of the
    /// slices. The cost is a hash of each pair and a sort of all pairs, so call this only when the
    /// members change.
    pub fn new(instances: &[InstanceId], upstreams: &[UpstreamId], connections: u32) -> Self {
        let mut builder = Builder::new(instances, upstreams, connections);
        let pairs = scored_pairs(instances, upstreams);
        builder.accept(&pairs, builder.balanced_users().min(fleet_connections(connections)));
        // Instances that still need upstreams may exceed the balanced number of users and use the
        // reserved tenth, but not more connections than an upstream accepts.
        builder.accept(&pairs, usize::try_from(connections).unwrap_or(usize::MAX));
        builder.assign_remaining(&pairs);
        let Builder { subsets, users, .. } = builder;
        let subsets = instances.iter().cloned().zip(subsets).collect();
        Self { upstreams: upstreams.to_vec(), connections, subsets, users }
    }

    /// Returns the upstreams in the subset of an instance in descending order of score, or none if
    /// the instance is unknown.
    pub fn subset(&self, instance: &str) -> impl Iterator<Item = &UpstreamId> {
        let subset = self.subsets.get(instance).map_or(&[][..], Vec::as_slice);
        subset.iter().map(|&at| &self.upstreams[at as usize])
    }

    /// Returns the number of instances that use an upstream.
    pub fn users(&self, upstream: &str) -> usize {
        let at = self.upstreams.iter().position(|id| &**id == upstream);
        at.map_or(0, |at| self.users[at])
    }

    /// Returns the number of connections that each user of an upstream may open to it.
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

    /// Returns the number of users of an upstream up to which pairs are accepted in the first pass.
    fn balanced_users(&self) -> usize {
        let (numerator, denominator) = MAX_USERS_OVER_MEAN;
        let scaled_users = self.subsets.len() * self.size * numerator;
        scaled_users.div_ceil(denominator * self.users.len().max(1))
    }

    fn accept(&mut self, pairs: &[Pair], max_users: usize) {
        for pair in pairs {
            let (instance, upstream) = (pair.instance as usize, pair.upstream as usize);
            let subset = &mut self.subsets[instance];
            let is_accepted = subset.len() < self.size && self.users[upstream] < max_users;
            if is_accepted && !subset.contains(&pair.upstream) {
                subset.push(pair.upstream);
                self.users[upstream] += 1;
            }
        }
    }

    /// Assigns one upstream to each instance that has none. This exceeds the number of connections
    /// that an upstream accepts, which is unavoidable with more instances than connections.
    fn assign_remaining(&mut self, pairs: &[Pair]) {
        for pair in pairs {
            let subset = &mut self.subsets[pair.instance as usize];
            if subset.is_empty() {
                subset.push(pair.upstream);
                self.users[pair.upstream as usize] += 1;
            }
        }
    }
}

/// Returns all pairs of instance and upstream in descending order of score, then by id.
fn scored_pairs(instances: &[InstanceId], upstreams: &[UpstreamId]) -> Vec<Pair> {
    let upstream_hashes: Vec<u64> = upstreams.iter().map(|id| hash(id.as_bytes())).collect();
    let mut pairs = Vec::with_capacity(instances.len() * upstreams.len());
    for (instance, id) in (0u32..).zip(instances) {
        let instance_hash = hash(id.as_bytes());
        for (upstream, &upstream_hash) in (0u32..).zip(&upstream_hashes) {
            pairs.push(Pair { score: score(instance_hash, upstream_hash), instance, upstream });
        }
    }
    let ids = |p: &Pair| (&instances[p.instance as usize], &upstreams[p.upstream as usize]);
    pairs.sort_unstable_by(|a, b| b.score.cmp(&a.score).then_with(|| ids(a).cmp(&ids(b))));
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
