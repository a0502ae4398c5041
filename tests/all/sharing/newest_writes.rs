//! Entries of the store that are older than what is known of their upstreams.

use std::time::{Duration, Instant};

use cactustrack_fleet::catalog::Catalog;
use cactustrack_fleet::discovery::{Change, ListedUpstream, Revision};
use cactustrack_fleet::message::RelayedChange;
use cactustrack_fleet::newest_writes::{EARLIER_INCARNATION_PERIOD, REMOVED_PERIOD};
use cactustrack_fleet::outage::RELIST_PERIOD;
use cactustrack_fleet::relay::{WholeListReading, from_upstream_change};
use cactustrack_types::{Incarnation, ServiceId};

/// Era in which the tests begin.
const ERA: u64 = 1;

fn at(number: u64) -> Revision {
    Revision::new(ERA, number)
}

fn restored_at(number: u64) -> Revision {
    Revision::new(ERA + 1, number)
}

fn entry(incarnation: u64, sequence: u64, leaving: bool, revision: Revision) -> ListedUpstream {
    ListedUpstream {
        id: "a".into(),
        service: "svc".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        failure_domain: "domain-a".into(),
        slots: 4,
        incarnation: Incarnation(incarnation),
        sequence,
        leaving,
        cold_until: None,
        revision,
    }
}

fn is_used(catalog: &Catalog, now: Instant) -> bool {
    let service: ServiceId = "svc".into();
    catalog.usable(now, &service).next().is_some()
}

fn apply(catalog: &mut Catalog, now: Instant, change: Change) {
    let revision = change.upstream_revision().expect("a change of an upstream");
    catalog.apply(now, catalog.revision(), revision, [change]);
}

/// Guards against a write of an upstream that the store executes late, after a newer one of the same
/// upstream: a draining upstream was taken back into use.
#[test]
fn a_late_write_does_not_replace_a_newer_one() {
    struct Case {
        name: &'static str,
        known: ListedUpstream,
        late: ListedUpstream,
        is_used: bool,
    }
    let cases = [
        Case {
            name: "ready after draining",
            known: entry(1, 9, true, at(20)),
            late: entry(1, 6, false, at(21)),
            is_used: false,
        },
        Case {
            name: "draining of an earlier incarnation",
            known: entry(2, 1, false, at(20)),
            late: entry(1, 9, true, at(21)),
            is_used: true,
        },
        Case {
            name: "a newer write",
            known: entry(1, 9, true, at(20)),
            late: entry(1, 10, false, at(21)),
            is_used: true,
        },
        Case {
            name: "the next incarnation, which counts from the start",
            known: entry(1, 9, true, at(20)),
            late: entry(2, 1, false, at(21)),
            is_used: true,
        },
        Case {
            name: "an entry without an incarnation",
            known: entry(1, 9, true, at(20)),
            late: entry(0, 1, false, at(21)),
            is_used: true,
        },
    ];
    for Case { name, known, late, is_used: expected } in cases {
        let now = Instant::now();
        let mut catalog = Catalog::default();
        catalog.replace(now, vec![known], at(20));
        apply(&mut catalog, now, Change::Listed(late.clone()));
        assert_eq!(is_used(&catalog, now), expected, "{name}");
        // All instances have the same digest, whether or not they know the newer write.
        let mut other = Catalog::default();
        other.replace(now, vec![late], at(21));
        assert_eq!(catalog.state(), other.state(), "{name}");
    }
}

/// Guards against an upstream that stays out of use although nothing newer than its entry follows, and
/// against a period that each reading begins anew.
#[test]
fn an_entry_takes_effect_if_no_newer_one_follows() {
    struct Case {
        name: &'static str,
        first: Change,
        stored: ListedUpstream,
        period: Duration,
    }
    let cases = [
        Case {
            name: "a process that started with its clock set back",
            first: Change::Listed(entry(2, 9, true, at(25))),
            stored: entry(1, 1, false, restored_at(20)),
            period: EARLIER_INCARNATION_PERIOD,
        },
        Case {
            name: "a live upstream whose entry was removed",
            first: Change::Unlisted("a".into(), at(25)),
            stored: entry(2, 5, false, restored_at(20)),
            period: REMOVED_PERIOD,
        },
    ];
    for Case { name, first, stored, period } in cases {
        let start = Instant::now();
        let mut catalog = Catalog::default();
        catalog.replace(start, vec![entry(2, 5, false, at(20))], at(20));
        catalog.apply(start, at(20), at(25), [first]);
        catalog.replace(start, vec![stored.clone()], restored_at(20));
        let due = start + period;
        let before = due - Duration::from_millis(1);
        catalog.replace(before, vec![stored], restored_at(30));
        catalog.expire(before);
        assert!(!is_used(&catalog, before), "{name}");
        catalog.expire(due);
        assert!(is_used(&catalog, due), "{name}");
    }
}

/// Guards against an upstream that has left and is used again because the store came back from a copy
/// that still contains its entry.
#[test]
fn an_entry_that_a_copy_brings_back_is_not_used() {
    struct Case {
        name: &'static str,
        /// Entry in the copy.
        copied: ListedUpstream,
        is_used: bool,
    }
    let restored = |number| Revision::new(ERA + 1, number);
    let cases = [
        Case {
            name: "the removed entry",
            copied: entry(1, 5, false, restored(20)),
            is_used: false,
        },
        Case {
            name: "the removed entry with a newer number that left the revision as it was",
            copied: entry(1, 8, false, restored(20)),
            is_used: false,
        },
        Case { name: "an earlier entry", copied: entry(1, 3, false, restored(15)), is_used: false },
        Case {
            name: "written again by the live upstream",
            copied: entry(1, 9, false, restored(23)),
            is_used: true,
        },
        Case {
            name: "the next incarnation",
            copied: entry(2, 1, false, restored(23)),
            is_used: true,
        },
    ];
    for Case { name, copied, is_used: expected } in cases {
        let now = Instant::now();
        let mut catalog = Catalog::default();
        catalog.replace(now, vec![entry(1, 5, false, at(20))], at(20));
        apply(&mut catalog, now, Change::Unlisted("a".into(), at(25)));
        assert!(!is_used(&catalog, now), "{name}");
        catalog.replace(now, vec![copied], restored(23));
        assert_eq!(is_used(&catalog, now), expected, "{name}");
        // The entry is removed again once its owner has been silent for long enough.
        let later = now + RELIST_PERIOD;
        catalog.replace(later, Vec::new(), restored(30));
        catalog.expire(later);
        assert!(!is_used(&catalog, later), "{name}: removed again");
    }
}

/// Guards against an upstream that has left and is used again by the instances which learn from a relay,
/// not by a read of their own, that the store came back from a copy which contains the entry as it was
/// last known.
#[test]
fn an_entry_that_a_relay_reads_from_a_copy_is_not_used() {
    struct Case {
        name: &'static str,
        /// Changes before the restore.
        changes: Vec<Change>,
        copied: ListedUpstream,
    }
    let removed = || Change::Unlisted("a".into(), at(25));
    let draining = || Change::Listed(entry(1, 9, true, at(23)));
    let cases = [
        Case {
            name: "removed",
            changes: vec![removed()],
            copied: entry(1, 5, false, restored_at(20)),
        },
        Case {
            name: "removed, with a newer number that left the revision as it was",
            changes: vec![removed()],
            copied: entry(1, 8, false, restored_at(20)),
        },
        Case {
            name: "draining",
            changes: vec![draining()],
            copied: entry(1, 5, false, restored_at(20)),
        },
        Case {
            name: "draining, then removed",
            changes: vec![draining(), removed()],
            copied: entry(1, 5, false, restored_at(20)),
        },
    ];
    for Case { name, changes, copied } in cases {
        let now = Instant::now();
        let known = || {
            let mut catalog = Catalog::default();
            catalog.replace(now, vec![entry(1, 5, false, at(20))], at(20));
            catalog.apply(now, at(20), at(25), changes.clone());
            catalog
        };
        let (mut relay, mut other) = (known(), known());
        let base = relay.state().digest;
        let read = relay.replace(now, vec![copied], restored_at(23)).expect("a newer list");
        let changes = read.into_iter().map(Change::from).collect();
        let reading = WholeListReading { base, state: relay.state(), recovery_ms: 0, changes };
        let RelayedChange::UpstreamList(difference) = reading.to_relayed(now) else {
            panic!("{name}: the difference fits into a datagram");
        };
        let changes = difference.content.unpack().expect("changes").into_iter();
        let changes = changes.map(|change| from_upstream_change(now, change)).collect();
        other.apply_difference(now, &difference, changes).expect("the list that the relay knew");
        assert!(!is_used(&relay, now), "{name}: used by the relay");
        assert!(!is_used(&other, now), "{name}: used by another instance");
    }
}

/// Guards against a draining upstream that is used again because the store came back from a copy in
/// which it was not draining yet.
#[test]
fn an_upstream_that_a_copy_shows_as_ready_stays_draining() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    catalog.replace(now, vec![entry(1, 9, true, at(20))], at(20));
    catalog.replace(
        now,
        vec![entry(1, 4, false, Revision::new(ERA + 1, 12))],
        Revision::new(ERA + 1, 15),
    );
    assert!(!is_used(&catalog, now));
}

/// Guards against a draining upstream that gets requests because its clock was set back before it
/// started, so that its entries seem to be older than those of the process before.
#[test]
fn an_upstream_with_an_earlier_start_time_can_leave() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    catalog.replace(now, vec![entry(5_000, 9, false, at(20))], at(20));
    apply(&mut catalog, now, Change::Listed(entry(3_000, 1, false, at(21))));
    apply(&mut catalog, now, Change::Listed(entry(3_000, 2, true, at(22))));
    let later = now + Duration::from_secs(2);
    catalog.expire(later);
    assert!(!is_used(&catalog, later), "a draining upstream is used");
}

/// Guards against a draining upstream that is taken back into use because the period ends in which a
/// newer write of the same process stays in effect. The count of one process needs no such limit.
#[test]
fn a_draining_process_stays_draining_for_longer_than_the_period() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    catalog.replace(now, vec![entry(1, 9, true, at(20))], at(20));
    catalog.replace(now, vec![entry(1, 4, false, restored_at(12))], restored_at(15));
    assert!(!is_used(&catalog, now));
    let later = now + REMOVED_PERIOD;
    catalog.expire(later);
    assert!(!is_used(&catalog, later), "a draining upstream is used");
}

/// Guards against a live upstream that is not used because the store gives its new write the revision
/// number that its removed entry had before the store came back from a copy.
#[test]
fn a_write_at_a_number_that_was_given_out_before_is_in_effect() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    catalog.replace(now, vec![entry(1, 5, false, at(20))], at(20));
    apply(&mut catalog, now, Change::Unlisted("a".into(), at(25)));
    assert!(!is_used(&catalog, now));
    // The copy ends before the entry.
    catalog.replace(now, Vec::new(), restored_at(18));
    apply(&mut catalog, now, Change::Listed(entry(1, 9, false, restored_at(20))));
    assert!(is_used(&catalog, now), "a live upstream is not used");
}

/// Guards against requests to an upstream that has said in a response that it is leaving, while the
/// store holds the entry of the process before it.
#[test]
fn an_announced_leaving_is_kept_while_the_store_holds_an_older_entry() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    catalog.replace(now, vec![entry(2, 1, false, at(20))], at(20));
    catalog.replace(now, vec![entry(1, 9, false, restored_at(12))], restored_at(15));
    catalog.withdrawals_mut().set_leaving(now, &"a".into(), Incarnation(2));
    assert!(!is_used(&catalog, now));
    let later = now + Duration::from_secs(1);
    catalog.expire(later);
    assert!(!is_used(&catalog, later), "an upstream that is leaving is used");
}

/// Guards against the removal of a live upstream at the end of the first of two recoveries, although
/// the store has lost its entry again since.
#[test]
fn a_second_restore_gives_upstreams_the_time_to_write_again() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    catalog.replace(now, vec![entry(1, 5, false, at(20))], at(20));
    catalog.replace(now, Vec::new(), restored_at(15));
    let second = now + RELIST_PERIOD - Duration::from_millis(100);
    catalog.replace(second, Vec::new(), Revision::new(ERA + 2, 14));
    let later = now + RELIST_PERIOD;
    catalog.expire(later);
    assert!(is_used(&catalog, later), "a live upstream is removed");
}

/// Guards against an upstream that has left and is used again at the end of the time for which its
/// removal is known to be in effect, because the removal of the entry that a copy has brought back is
/// delayed.
#[test]
fn an_entry_that_a_copy_brings_back_is_removed_at_once() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    catalog.replace(now, vec![entry(1, 5, false, at(20))], at(20));
    apply(&mut catalog, now, Change::Unlisted("a".into(), at(25)));
    catalog.replace(now, vec![entry(1, 5, false, restored_at(20))], restored_at(23));
    let removed = now + REMOVED_PERIOD - Duration::from_millis(100);
    catalog.outages_mut().on_restored(removed);
    apply(&mut catalog, removed, Change::Unlisted("a".into(), restored_at(30)));
    assert!(!catalog.has_pending_removals(), "the removal is delayed");
    let later = now + REMOVED_PERIOD;
    catalog.expire(later);
    assert!(!is_used(&catalog, later), "an upstream that has left is used");
}
