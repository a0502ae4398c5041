//! Number of instances by which the fleet divides what it shares.

use std::time::Instant;

use super::hubs::fleet;

/// Guards against a share of the retry budget, or of the connections that an upstream accepts, that
/// grows because registrations of live instances are missing for a while, as after an outage of the
/// store or a restart of the fleet.
#[test]
fn a_smaller_number_of_instances_counts_once_it_was_read_several_times() {
    struct Case {
        name: &'static str,
        reads: &'static [usize],
        known_peers: usize,
        expected: Option<usize>,
    }
    let cases = [
        Case { name: "no read", reads: &[], known_peers: 5, expected: None },
        Case { name: "one read", reads: &[48], known_peers: 0, expected: Some(48) },
        Case { name: "growing", reads: &[48, 60], known_peers: 0, expected: Some(60) },
        Case { name: "lapsed", reads: &[48, 3, 48], known_peers: 0, expected: Some(48) },
        Case { name: "lapsed for long", reads: &[48, 3, 3, 3], known_peers: 0, expected: Some(48) },
        Case {
            name: "smaller",
            reads: &[48, 30, 30, 30, 30, 30],
            known_peers: 0,
            expected: Some(30),
        },
        Case { name: "peers that are not listed", reads: &[3], known_peers: 9, expected: Some(10) },
    ];
    for Case { name, reads, known_peers, expected } in cases {
        let mut peers = fleet(Instant::now(), known_peers + 1).remove(0).peers;
        for read in reads {
            peers.set_registered(*read);
        }
        assert_eq!(peers.max_instances(), expected, "{name}");
    }
}
