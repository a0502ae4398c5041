//! Assignment of upstream subsets to instances.

use std::collections::BTreeSet;

use cactustrack_routing::subset::{Assignment, CONNECTIONS_PER_USER, MIN_SUBSET};
use cactustrack_types::{InstanceId, UpstreamId};
use proptest::prelude::*;

use super::ids;

fn pairs(instances: &[InstanceId], upstreams: &[UpstreamId]) -> BTreeSet<(InstanceId, UpstreamId)> {
    let assignment = Assignment::new(instances, upstreams, 400);
    let subset = |id: &InstanceId| assignment.subset(id).cloned().collect::<Vec<_>>();
    instances.iter().flat_map(|id| subset(id).into_iter().map(|up| (id.clone(), up))).collect()
}

/// Guards against reassignment of the whole fleet when one instance is replaced. Where an upstream
/// is at its bound, assignments of the remaining instances may move, but at most 2% of them.
#[test]
fn replacing_an_instance_moves_few_assignments() {
    for (instances, upstreams) in [(40, 15), (800, 29)] {
        let (mut before, upstreams) = (ids("instance", instances), ids("up", upstreams));
        let mut moved = Vec::new();
        let old = pairs(&before, &upstreams);
        for replaced in 0..40 {
            let name = std::mem::replace(&mut before[replaced], format!("new-{replaced}").into());
            let new = pairs(&before, &upstreams);
            moved.push(old.difference(&new).filter(|(instance, _)| *instance != name).count());
            before[replaced] = name;
        }
        let mean = moved.iter().sum::<usize>() as f64 / moved.len() as f64;
        println!(
            "{instances} instances: {mean} of {} assignments of other instances moved",
            old.len()
        );
        assert!(mean <= 0.02 * old.len() as f64, "{instances} instances: {mean} assignments moved");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against more connections of the fleet than an upstream accepts, against instances
    /// with too few upstreams, and against results that depend on the order of the arguments.
    #[test]
    fn connections_stay_within_limits(
        instances in prop_oneof![9 => 1..200usize, 1 => Just(800)],
        upstreams in 1..40usize,
        connections in 1..500u32,
        seed: u16,
    ) {
        let mut instances = ids(&seed.to_string(), instances);
        let mut upstreams = ids("up", upstreams);
        let assignment = Assignment::new(&instances, &upstreams, connections);
        let total_connections = upstreams.len() * (connections as usize * 9 / 10);
        let max_size = total_connections / instances.len();
        let target_size = MIN_SUBSET.max(max_size / CONNECTIONS_PER_USER);
        let size = target_size.min(upstreams.len()).min(max_size).max(1);
        for instance in &instances {
            let distinct: BTreeSet<_> = assignment.subset(instance).collect();
            prop_assert_eq!(distinct.len(), size);
        }
        let has_enough_connections = total_connections >= instances.len();
        for upstream in upstreams.iter().filter(|_| has_enough_connections) {
            let open = assignment.users(upstream) as u32 * assignment.connection_limit(upstream);
            prop_assert!(open <= connections, "{} connections of {}", open, connections);
        }
        let before = pairs(&instances, &upstreams);
        instances.reverse();
        upstreams.reverse();
        prop_assert_eq!(before, pairs(&instances, &upstreams));
    }
}
