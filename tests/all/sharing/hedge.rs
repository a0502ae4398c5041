//! Room for hedges.

use cactustrack_fleet::hedge::{UpstreamLoad, has_room};

/// Guards against requests that wait at a hanging upstream until their deadline, because those that
/// hang with them make the service look busy, and against hedges that displace other requests.
#[test]
fn only_upstreams_that_work_count_as_busy() {
    struct Case {
        name: &'static str,
        /// Requests in flight at each upstream, which has three slots, and its fault probability.
        upstreams: &'static [(u32, f64)],
        has_room: bool,
    }
    let cases = [
        Case { name: "idle", upstreams: &[(0, 0.02), (1, 0.02)], has_room: true },
        Case {
            name: "a third hangs, with full queues",
            upstreams: &[(9, 0.9), (8, 0.9), (1, 0.05), (2, 0.05), (2, 0.1), (1, 0.05)],
            has_room: true,
        },
        Case {
            name: "the others are busy",
            upstreams: &[(9, 0.9), (0, 0.9), (3, 0.05), (3, 0.05), (2, 0.1), (3, 0.05)],
            has_room: false,
        },
        Case { name: "nothing works", upstreams: &[(1, 0.9), (0, 0.8)], has_room: false },
        Case { name: "no upstream", upstreams: &[], has_room: false },
    ];
    for case in cases {
        let load = |(in_flight, fault_probability): &(u32, f64)| UpstreamLoad {
            in_flight: *in_flight,
            slots: 3,
            fault_probability: *fault_probability,
        };
        assert_eq!(has_room(case.upstreams.iter().map(load)), case.has_room, "{}", case.name);
    }
}
