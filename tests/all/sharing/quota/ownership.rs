//! Ownership of quota shards.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cactustrack_fleet::discovery::{HeldShard, Revision, ShardOwner};
use cactustrack_fleet::message::{Body, Datagram, FORMAT, StoreView};
use cactustrack_fleet::peers::Peers;
use cactustrack_fleet::quota::ownership::{ClaimRight, Contenders, LEASE_TTL, Ownership, SHARDS};
use cactustrack_types::Incarnation;

const SENT: Duration = Duration::from_secs(100);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn owner_of_shard(shard: usize) -> Ownership {
    let mut ownership = Ownership::new("edge-0".into());
    ownership.on_lease(SENT, LEASE_TTL);
    ownership.on_claimed(SENT + ms(10), shard, Revision::new(0, 7));
    ownership
}

/// Guards against grants by an owner whose lease may have ended, whenever the answer to its renewal
/// arrives.
#[test]
fn an_owner_grants_only_while_its_lease_holds() {
    struct Case {
        /// Time at which each renewal that succeeded was sent, and the time to live it states.
        renewals: &'static [(u64, u64)],
        now: u64,
        may_grant: bool,
    }
    let cases = [
        Case { renewals: &[], now: 3_599, may_grant: true },
        Case { renewals: &[], now: 3_600, may_grant: false },
        Case { renewals: &[(1_000, 4_000)], now: 4_599, may_grant: true },
        Case { renewals: &[(1_000, 4_000)], now: 4_600, may_grant: false },
        // Answers in another order than the calls.
        Case { renewals: &[(2_000, 4_000), (1_000, 4_000)], now: 5_599, may_grant: true },
        // The store states another time to live than requested.
        Case { renewals: &[(3_000, 1_000)], now: 3_899, may_grant: true },
        Case { renewals: &[(3_000, 1_000)], now: 3_900, may_grant: false },
        Case { renewals: &[(1_000, 60_000)], now: 4_600, may_grant: false },
    ];
    for Case { renewals, now, may_grant } in cases {
        let mut ownership = owner_of_shard(5);
        for (sent, ttl) in renewals {
            ownership.on_lease(SENT + ms(*sent), ms(*ttl));
        }
        let now = SENT + ms(now);
        let since = ownership.granting_since(now, 5);
        assert_eq!(since.is_some(), may_grant, "{renewals:?} at {now:?}");
        assert_eq!(ownership.announced(now) != 0, may_grant, "{renewals:?} at {now:?}");
        assert_eq!(ownership.granting_since(now, 6), None, "not its shard");
    }
}

/// Guards against grants after a planned stop or the loss of a lease, also if a late answer arrives.
#[test]
fn late_answers_do_not_revive_an_ownership() {
    let mut stopped = owner_of_shard(5);
    assert_eq!(stopped.stop(), [5]);
    stopped.on_lease(SENT, LEASE_TTL);
    stopped.on_claimed(SENT, 5, Revision::new(0, 7));
    assert_eq!(stopped.announced(SENT), 0);
    assert!(stopped.shards_to_claim(SENT + ms(60_000), &Contenders::default()).is_empty());
    let mut lost = owner_of_shard(5);
    assert_eq!(lost.on_lease_lost(), [5]);
    assert!(!lost.on_claimed(SENT, 5, Revision::new(0, 7)));
    lost.on_lease(SENT, LEASE_TTL);
    assert_eq!(lost.announced(SENT), 0);
}

/// Guards against an owner that grants from shards whose claims the store may have lost, and against
/// one that gives up the tokens of accounts although nobody else can have granted any.
#[test]
fn an_owner_keeps_its_shards_until_its_earlier_lease_ends() {
    struct Case {
        name: &'static str,
        /// What happens between the first response of the new era and the claim.
        before: fn(&mut Ownership),
        /// Time of the answer to the claim.
        answered: u64,
        era: u64,
        is_claimed: bool,
        is_kept: bool,
    }
    let case = || Case {
        name: "just in time",
        before: |_| {},
        answered: 3_599,
        era: 1,
        is_claimed: true,
        is_kept: true,
    };
    let cases = [
        case(),
        Case { name: "too late", answered: 3_600, is_kept: false, ..case() },
        Case {
            name: "another instance holds it",
            before: |known| known.on_conflict(5),
            is_kept: false,
            ..case()
        },
        Case { name: "answered in the earlier era", era: 0, is_claimed: false, ..case() },
        Case {
            name: "a second era",
            before: |known| drop(known.on_era(SENT + ms(1_100), 2)),
            era: 2,
            ..case()
        },
        Case {
            name: "answered before a second era",
            before: |known| drop(known.on_era(SENT + ms(1_100), 2)),
            is_claimed: false,
            ..case()
        },
    ];
    for Case { name, before, answered, era, is_claimed, is_kept } in cases {
        let mut ownership = owner_of_shard(5);
        assert!(ownership.on_era(SENT + ms(900), 0).is_empty(), "{name}: not a new era");
        assert_eq!(ownership.on_era(SENT + ms(1_000), 1), [5], "{name}");
        assert_eq!(ownership.announced(SENT + ms(1_000)), 0, "{name}: nothing is granted");
        before(&mut ownership);
        let now = SENT + ms(answered);
        // An owner claims its shards again whatever others announce or rank.
        let contenders =
            Contenders { names: vec!["a".into(), "b".into(), "c".into()], announced: !0 };
        let expected: &[usize] = if is_kept { &[5] } else { &[] };
        assert_eq!(ownership.shards_to_claim(now, &contenders), expected, "{name}");
        let kept_since = ownership.kept_since(now, 5);
        assert_eq!(kept_since, is_kept.then_some(SENT + ms(10)), "{name}");
        ownership.on_lease(now, LEASE_TTL);
        let claimed = ownership.on_claimed(kept_since.unwrap_or(now), 5, Revision::new(era, 7));
        assert_eq!(claimed, is_claimed, "{name}");
        assert_eq!(ownership.announced(now) != 0, is_claimed, "{name}");
    }
}

/// Guards against a process that grants from a shard because a copy of the store says that an earlier
/// process of its name holds it, and against one that waits although the claim is of the current era. Also
/// guards against a claim by an entry that was read in an earlier era.
#[test]
fn claims_out_of_a_copy_give_no_right_before_the_leases_of_their_era_end() {
    struct Case {
        name: &'static str,
        /// Eras that the instance sees, with the times.
        eras: &'static [(u64, u64)],
        owner: (&'static str, u64, u64),
        /// Number of eras that have begun since the entry was read.
        eras_since_read: u64,
        now: u64,
        expected: Option<ClaimRight>,
    }
    let case = || Case {
        name: "an earlier process in the same era",
        eras: &[(0, 2)],
        owner: ("edge-0", 6, 2),
        eras_since_read: 0,
        now: 1,
        expected: Some(ClaimRight::EarlierProcess),
    };
    let early = || Case { owner: ("edge-0", 6, 1), now: 3_999, expected: None, ..case() };
    let late = || Case { now: 4_000, expected: Some(ClaimRight::FromCopy), ..early() };
    let cases = [
        case(),
        Case {
            name: "a claim without an answer",
            owner: ("edge-0", 7, 2),
            expected: Some(ClaimRight::OwnClaim),
            ..case()
        },
        Case { name: "a later process", owner: ("edge-0", 8, 2), expected: None, ..case() },
        Case {
            name: "another instance",
            owner: ("edge-1", 6, 2),
            now: 9_000,
            expected: None,
            ..case()
        },
        Case { name: "out of a copy, at a start", ..early() },
        Case { name: "out of a copy, later", ..late() },
        Case { name: "no era stated", owner: ("edge-0", 6, 0), ..early() },
        Case { name: "no era stated, later", owner: ("edge-0", 6, 0), ..late() },
        Case { name: "another one out of a copy", owner: ("edge-1", 6, 1), ..late() },
        Case {
            name: "another one of an earlier version",
            owner: ("edge-1", 6, 0),
            now: 9_000,
            ..early()
        },
        Case { name: "the era has risen", eras: &[(0, 1), (500, 2)], now: 4_499, ..early() },
        Case { name: "the era rose before", eras: &[(0, 1), (500, 2)], now: 4_500, ..late() },
        Case {
            name: "never restored, no era stated",
            eras: &[(0, 1)],
            owner: ("edge-0", 6, 0),
            expected: Some(ClaimRight::FromCopy),
            ..case()
        },
        // The store no longer has the revision that a claim would expect.
        Case { name: "read before the era", eras_since_read: 1, expected: None, ..late() },
        Case {
            name: "an own claim that was read before the era",
            owner: ("edge-0", 7, 1),
            eras_since_read: 1,
            expected: None,
            ..late()
        },
    ];
    for Case { name, eras, owner: (holder, incarnation, era), eras_since_read, now, expected } in
        cases
    {
        let mut ownership = Ownership::new("edge-0".into());
        for (at, era) in eras {
            ownership.on_era(SENT + ms(*at), *era);
        }
        let owner = |name: &str, incarnation, era| ShardOwner {
            name: name.into(),
            incarnation: Incarnation(incarnation),
            era,
        };
        let revision = Revision::new(ownership.era() - eras_since_read, 9);
        let held = HeldShard { shard: 5, revision, owner: Some(owner(holder, incarnation, era)) };
        let takeover = ownership.takeover(SENT + ms(now), &held, &owner("edge-0", 7, 0));
        assert_eq!(takeover, expected, "{name}");
    }
}

/// Guards against an instance that owns a free shard while its owner of an earlier era, which is cut off
/// from the store, grants from it.
#[test]
fn free_shards_wait_for_the_leases_of_an_earlier_era() {
    struct Case {
        /// Eras that the instance sees, with the times.
        eras: &'static [(u64, u64)],
        now: u64,
        is_claimed: bool,
    }
    let cases = [
        Case { eras: &[], now: 0, is_claimed: true },
        // The store states no era, or never came back from a copy.
        Case { eras: &[(0, 0)], now: 0, is_claimed: true },
        Case { eras: &[(0, 1)], now: 0, is_claimed: true },
        Case { eras: &[(0, 1), (500, 2)], now: 4_499, is_claimed: false },
        Case { eras: &[(0, 1), (500, 2)], now: 4_500, is_claimed: true },
        // A process that starts does not know when the era began.
        Case { eras: &[(0, 2)], now: 3_999, is_claimed: false },
        Case { eras: &[(0, 2)], now: 4_000, is_claimed: true },
        // Each response of an era states it.
        Case { eras: &[(0, 2), (3_000, 2), (3_500, 1)], now: 4_000, is_claimed: true },
        Case { eras: &[(0, 2), (3_000, 3)], now: 6_999, is_claimed: false },
    ];
    for Case { eras, now, is_claimed } in cases {
        let mut ownership = Ownership::new("edge-0".into());
        for (at, era) in eras {
            ownership.on_era(SENT + ms(*at), *era);
        }
        let due = ownership.shards_to_claim(SENT + ms(now), &Contenders::default());
        assert_eq!(due.len() == SHARDS, is_claimed, "{eras:?} at {now}");
        assert_eq!(due.is_empty(), !is_claimed, "{eras:?} at {now}");
    }
}

/// Guards against several instances that claim the same shard all the time, and against a shard that
/// no instance claims.
#[test]
fn each_free_shard_is_claimed_by_one_instance() {
    let names: Vec<_> = (0..7).map(|number| format!("edge-{number}").into()).collect();
    let announced = 0b1010;
    let mut claims = vec![0; SHARDS];
    for own in 0..names.len() {
        let mut others = names.clone();
        let name = others.remove(own);
        let mut ownership = Ownership::new(name);
        let contenders = Contenders { names: others, announced };
        for shard in ownership.shards_to_claim(SENT, &contenders) {
            claims[shard] += 1;
        }
    }
    for (shard, count) in claims.into_iter().enumerate() {
        let expected = usize::from(announced & (1 << shard) == 0);
        assert_eq!(count, expected, "shard {shard}");
    }
}

/// Guards against an instance that is cut off from the others and claims their shards without pause.
#[test]
fn claims_of_a_held_shard_become_rarer() {
    let mut ownership = Ownership::new("edge-0".into());
    let mut attempts = Vec::new();
    for step in 0..800 {
        let now = SENT + ms(50) * step;
        if ownership.shards_to_claim(now, &Contenders::default()).contains(&3) {
            ownership.on_claim_sent(now, 3);
            ownership.on_conflict(3);
            attempts.push((now - SENT).as_millis());
        }
    }
    assert_eq!(attempts[..7], [0, 500, 1_000, 2_000, 4_000, 8_000, 12_000]);
}

/// Guards against a shard that this instance holds in the store without knowing it, because the
/// answer to its claim was lost.
#[test]
fn the_shards_are_read_after_a_claim_without_an_answer() {
    let mut ownership = Ownership::new("edge-0".into());
    assert!(!ownership.take_uncertain_read(SENT));
    ownership.on_claim_uncertain(SENT);
    let steps = (0..80).map(|step| SENT + ms(500) * step);
    let reads = steps.filter(|now| ownership.take_uncertain_read(*now)).count();
    assert_eq!(reads, 15, "every 2 s for 30 s");
}

/// Guards against requests for tokens that go to an owner which is gone, against claims of a shard
/// that has an owner, and against an owner that is cut off and keeps its shards.
#[test]
fn peers_tell_who_owns_a_shard() {
    struct Case {
        name: &'static str,
        /// Heartbeats of two instances: shards, leaving, and whether the store responds.
        heartbeats: [(u64, bool, bool); 2],
        /// Time without datagrams afterwards.
        silence: u64,
        owner: Option<u16>,
        contenders: usize,
        is_cut_off: bool,
    }
    let case = || Case {
        name: "two owners of different shards",
        heartbeats: [(0b10, false, true), (0b100, false, true)],
        silence: 0,
        owner: Some(0),
        contenders: 2,
        is_cut_off: false,
    };
    let cases = [
        Case {
            name: "the last announcement counts",
            heartbeats: [(0b10, false, true), (0b10, false, true)],
            owner: Some(1),
            ..case()
        },
        Case {
            name: "leaving or without the store",
            heartbeats: [(0b10, true, true), (0b100, false, false)],
            contenders: 0,
            ..case()
        },
        Case { name: "silent for a while", silence: 2_000, contenders: 0, ..case() },
        Case {
            name: "silent",
            silence: 3_100,
            owner: None,
            contenders: 0,
            is_cut_off: true,
            ..case()
        },
        case(),
    ];
    for case in cases {
        let (start, mut peers) = (Instant::now(), Peers::default());
        peers.set_registered(12);
        for (number, heartbeat) in case.heartbeats.into_iter().enumerate() {
            let (at, number) = (start + ms(number as u64), number as u16);
            peers.accept(at, address(number), &heartbeat_of(number, heartbeat));
        }
        let now = start + ms(1 + case.silence);
        assert_eq!(peers.shard_owner(now, 1), case.owner.map(address), "{}", case.name);
        let contenders = peers.quota_contenders(now);
        assert_eq!(contenders.names.len(), case.contenders, "{}", case.name);
        assert_eq!(contenders.announced != 0, case.owner.is_some(), "{}", case.name);
        assert_eq!(peers.is_cut_off(now), case.is_cut_off, "{}", case.name);
    }
}

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7_000 + number))
}

fn heartbeat_of(number: u16, (shards, leaving, is_up): (u64, bool, bool)) -> Datagram {
    let body = Body::Heartbeat {
        in_flight: Vec::new(),
        peers: Vec::new(),
        leaving,
        store: StoreView { is_up, ..StoreView::default() },
        failure_domain: "domain-a".into(),
        totals: Vec::new(),
        stamp: 0,
        quota_shards: shards,
    };
    let (from, incarnation) = (format!("edge-{number}").into(), Incarnation(1));
    Datagram { format: FORMAT, from, incarnation, sequence: 1, version: 1, body }
}
