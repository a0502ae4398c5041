//! Totals of attempts that instances state in notices and heartbeats.

use std::time::{Duration, Instant};

use cactustrack_fleet::attempt_totals::{
    AttemptTotals, MAX_SERVICES_PER_HEARTBEAT, OwnTotals, PeerTotals, Sender, ServiceTotals,
};
use cactustrack_types::Incarnation;

const SERVICE: u32 = 7;

fn totals(first: u32, extra: u32) -> AttemptTotals {
    AttemptTotals { first, extra }
}

fn sender(incarnation: u64) -> Sender {
    Sender { instance: "edge-1".into(), incarnation: Incarnation(incarnation) }
}

#[derive(Clone, Copy)]
enum Statement {
    /// Notice of an attempt.
    Attempt { is_extra: bool, first: u32, extra: u32 },
    /// Heartbeat that states one service.
    Heartbeat { first: u32, extra: u32 },
    /// Heartbeat of an instance that has made no attempt.
    EmptyHeartbeat,
}

/// Guards against attempts that are counted twice or never, and against attempts from long ago that
/// count as new ones when an instance is heard for the first time.
#[test]
fn each_attempt_counts_once() {
    use Statement::{Attempt, EmptyHeartbeat, Heartbeat};
    struct Case {
        name: &'static str,
        statements: &'static [(u64, Statement)],
        counted: AttemptTotals,
    }
    let cases = [
        Case {
            name: "in order",
            statements: &[
                (1, EmptyHeartbeat),
                (1, Attempt { is_extra: false, first: 1, extra: 0 }),
                (1, Attempt { is_extra: true, first: 1, extra: 1 }),
                (1, Attempt { is_extra: false, first: 2, extra: 1 }),
            ],
            counted: totals(2, 1),
        },
        Case {
            name: "lost notices, corrected by a notice",
            statements: &[
                (1, EmptyHeartbeat),
                (1, Attempt { is_extra: false, first: 5, extra: 3 }),
            ],
            counted: totals(5, 3),
        },
        Case {
            name: "lost notices, corrected by a heartbeat",
            statements: &[(1, EmptyHeartbeat), (1, Heartbeat { first: 5, extra: 3 })],
            counted: totals(5, 3),
        },
        Case {
            name: "reordered and repeated notices",
            statements: &[
                (1, EmptyHeartbeat),
                (1, Attempt { is_extra: true, first: 2, extra: 1 }),
                (1, Attempt { is_extra: false, first: 1, extra: 0 }),
                (1, Attempt { is_extra: true, first: 2, extra: 1 }),
                (1, Attempt { is_extra: false, first: 2, extra: 0 }),
            ],
            counted: totals(2, 1),
        },
        Case {
            name: "first contact by a notice",
            statements: &[
                (1, Attempt { is_extra: true, first: 900, extra: 80 }),
                (1, Attempt { is_extra: false, first: 902, extra: 80 }),
            ],
            counted: totals(2, 1),
        },
        Case {
            name: "first contact by a heartbeat",
            statements: &[
                (1, Heartbeat { first: 900, extra: 80 }),
                (1, Attempt { is_extra: true, first: 900, extra: 82 }),
            ],
            counted: totals(0, 2),
        },
        Case {
            name: "restarted sender",
            statements: &[
                (1, EmptyHeartbeat),
                (1, Attempt { is_extra: false, first: 40, extra: 4 }),
                (2, EmptyHeartbeat),
                (2, Attempt { is_extra: true, first: 1, extra: 1 }),
            ],
            counted: totals(41, 5),
        },
        Case {
            name: "totals that wrap around",
            statements: &[
                (1, Heartbeat { first: u32::MAX, extra: u32::MAX - 1 }),
                (1, Heartbeat { first: 1, extra: u32::MAX }),
            ],
            counted: totals(2, 1),
        },
    ];
    for Case { name, statements, counted } in cases {
        let now = Instant::now();
        let mut peers = PeerTotals::default();
        let mut sum = AttemptTotals::default();
        for (incarnation, statement) in statements {
            let from = sender(*incarnation);
            let new = match *statement {
                Attempt { is_extra, first, extra } => {
                    peers.on_attempt(now, &from, SERVICE, is_extra, totals(first, extra))
                }
                Heartbeat { first, extra } => {
                    let stated = ServiceTotals { service: SERVICE, totals: totals(first, extra) };
                    let new = peers.on_heartbeat(now, &from, &[stated]);
                    new.first().map(|new| new.totals).unwrap_or_default()
                }
                EmptyHeartbeat => {
                    assert_eq!(peers.on_heartbeat(now, &from, &[]), Vec::new(), "{name}");
                    AttemptTotals::default()
                }
            };
            sum = totals(sum.first + new.first, sum.extra + new.extra);
        }
        assert_eq!(sum, counted, "{name}");
    }
}

/// Guards against a burst of attempts from before a long silence, which would block all retries
/// after it.
#[test]
fn attempts_during_a_long_silence_are_not_counted() {
    let now = Instant::now();
    let mut peers = PeerTotals::default();
    peers.on_heartbeat(now, &sender(1), &[]);
    let later = now + Duration::from_secs(60);
    let stated = ServiceTotals { service: SERVICE, totals: totals(4_000, 700) };
    assert_eq!(peers.on_heartbeat(later, &sender(1), &[stated]), Vec::new());
}

/// Guards against heartbeats that grow with the number of services, and against services that no
/// heartbeat states.
#[test]
fn heartbeats_state_all_services_in_turn() {
    struct Case {
        services: u32,
        heartbeats: usize,
    }
    let cases = [
        Case { services: 3, heartbeats: 1 },
        Case { services: 24, heartbeats: 1 },
        Case { services: 230, heartbeats: 10 },
    ];
    for Case { services, heartbeats } in cases {
        let mut own = OwnTotals::default();
        for service in 0..services {
            own.add(service, false);
        }
        let mut stated = std::collections::BTreeSet::new();
        for _ in 0..heartbeats {
            let statement = own.next_statement();
            assert!(statement.len() <= MAX_SERVICES_PER_HEARTBEAT);
            stated.extend(statement.iter().map(|entry| entry.service));
        }
        assert_eq!(stated.len(), services as usize, "{services} services");
    }
}
