//! Delay of removals after outages of the store.

use std::time::{Duration, Instant};

use cactustrack_fleet::catalog::Catalog;
use cactustrack_fleet::discovery::{Change, ListedUpstream, Revision};
use cactustrack_fleet::outage::{Outages, RELIST_PERIOD};

use super::relay::listed;

/// Time after the removal of its entry from which an upstream gets no requests, on the users'
/// platform.
const DRAIN_LIMIT_MS: u64 = 2_000;

/// Pause of a relay after a change, in milliseconds. Another change is read at its end.
const RELAY_PAUSE_MS: u64 = 600;

/// Time that a message from a relay takes, in milliseconds.
const TRANSIT_MS: u64 = 50;

fn entry() -> ListedUpstream {
    let Change::Listed(upstream) = listed(5) else { panic!("not an entry") };
    upstream
}

fn is_used(catalog: &Catalog, now: Instant) -> bool {
    let ListedUpstream { service, .. } = entry();
    catalog.usable(now, &service).next().is_some()
}

/// Guards against a call that failed once, such as a watch that the store cut, which passes for an
/// outage, and against an outage that is not noticed.
#[test]
fn only_a_store_that_does_not_respond_for_a_while_is_an_outage() {
    struct Case {
        name: &'static str,
        /// Times of failed calls after the first one, in milliseconds.
        failures_ms: &'static [u64],
        responds_at_ms: u64,
        is_outage: bool,
    }
    let cases = [
        Case { name: "cut", failures_ms: &[], responds_at_ms: 200, is_outage: false },
        Case { name: "cut twice", failures_ms: &[190], responds_at_ms: 450, is_outage: false },
        Case {
            name: "one second",
            failures_ms: &[200, 600],
            responds_at_ms: 1_000,
            is_outage: true,
        },
        Case { name: "silent", failures_ms: &[], responds_at_ms: 3_000, is_outage: true },
    ];
    for Case { name, failures_ms, responds_at_ms, is_outage } in cases {
        let start = Instant::now();
        let at = |ms| start + Duration::from_millis(ms);
        let mut outages = Outages::default();
        outages.on_failure(start);
        failures_ms.iter().for_each(|ms| outages.on_failure(at(*ms)));
        let end = at(responds_at_ms);
        let before = outages.recovery_until(end);
        assert_eq!(before.is_some(), is_outage, "{name}: before the response");
        outages.on_response(end);
        let expected = is_outage.then(|| end + RELIST_PERIOD);
        assert_eq!(outages.recovery_until(end), expected, "{name}");
        assert_eq!(outages.recovery_until(end + RELIST_PERIOD), None, "{name}: in the end");
    }
}

/// Guards against a recovery that starts anew with each message that mentions it.
#[test]
fn the_recovery_of_a_relay_ends_at_the_same_time_elsewhere() {
    let now = Instant::now();
    let mut outages = Outages::default();
    outages.on_relayed(now, Duration::ZERO);
    assert_eq!(outages.recovery_until(now), None, "no outage");
    outages.on_relayed(now, Duration::from_millis(900));
    let later = now + Duration::from_millis(700);
    outages.on_relayed(later, Duration::from_millis(200));
    let end = now + Duration::from_millis(900);
    assert_eq!(outages.recovery_until(later), Some(end));
    assert_eq!(outages.own_recovery_left(later), Duration::ZERO, "not relayed further");
    outages.on_relayed(end, Duration::from_secs(3_600));
    assert_eq!(outages.recovery_until(end), Some(end + RELIST_PERIOD), "no longer than an own one");
}

/// Guards against a removal that takes effect too late at an instance to which the store responds
/// all the time, because a relay that was cut off from the store reports it first.
#[test]
fn a_relay_that_was_cut_off_delays_no_removal_beyond_the_limit() {
    const REMOVED_AT: Revision = Revision::new(0, 200);
    struct Case {
        name: &'static str,
        /// Time from the removal until the relay has the store again, in milliseconds.
        returns_after_ms: u64,
        /// True if another relay delivers the removal at the end of its pause.
        is_other_relay_up: bool,
    }
    let cases = [
        Case { name: "with it", returns_after_ms: 0, is_other_relay_up: false },
        Case { name: "before the others", returns_after_ms: 550, is_other_relay_up: true },
        Case { name: "after the others", returns_after_ms: 700, is_other_relay_up: true },
    ];
    for Case { name, returns_after_ms, is_other_relay_up } in cases {
        let removed = Instant::now();
        let at = |ms| removed + Duration::from_millis(ms);
        let mut catalog = Catalog::default();
        catalog.replace(removed, vec![entry()], Revision::new(0, 150));
        let changes = vec![Change::Unlisted(entry().id, REMOVED_AT)];
        let mut deliveries = vec![(returns_after_ms + TRANSIT_MS, RELIST_PERIOD)];
        if is_other_relay_up {
            deliveries.push((RELAY_PAUSE_MS + TRANSIT_MS, Duration::ZERO));
        }
        deliveries.sort();
        for (ms, recovery) in deliveries {
            let now = at(ms);
            if catalog.needs(Revision::new(0, 150), REMOVED_AT) {
                catalog.outages_mut().on_relayed(now, recovery);
                catalog.apply(now, Revision::new(0, 150), REMOVED_AT, changes.clone());
            } else if recovery.is_zero() {
                catalog.confirm_removals(now, &changes);
            }
        }
        assert!(!is_used(&catalog, at(DRAIN_LIMIT_MS)), "{name}");
    }
}

/// Guards against live upstreams that are dropped after an outage because a relay that has not
/// noticed it confirms the removal of their entries, and against a confirmation of another entry.
#[test]
fn removals_after_an_own_outage_are_not_confirmed_by_others() {
    struct Case {
        name: &'static str,
        is_own_outage: bool,
        confirmed_revision: Revision,
        is_used: bool,
    }
    let cases = [
        Case {
            name: "own",
            is_own_outage: true,
            confirmed_revision: Revision::new(0, 200),
            is_used: true,
        },
        Case {
            name: "relayed",
            is_own_outage: false,
            confirmed_revision: Revision::new(0, 200),
            is_used: false,
        },
        Case {
            name: "older",
            is_own_outage: false,
            confirmed_revision: Revision::new(0, 90),
            is_used: true,
        },
    ];
    for Case { name, is_own_outage, confirmed_revision, is_used: expected } in cases {
        let now = Instant::now();
        let mut catalog = Catalog::default();
        catalog.replace(now, vec![entry()], Revision::new(0, 150));
        if is_own_outage {
            catalog.outages_mut().on_failure(now - Duration::from_secs(2));
            catalog.outages_mut().on_response(now);
        } else {
            catalog.outages_mut().on_relayed(now, RELIST_PERIOD);
        }
        let removal = Change::Unlisted(entry().id, Revision::new(0, 200));
        catalog.apply(now, Revision::new(0, 150), Revision::new(0, 200), vec![removal]);
        assert!(is_used(&catalog, now), "{name}: delayed");
        catalog.confirm_removals(now, &[Change::Unlisted(entry().id, confirmed_revision)]);
        assert_eq!(is_used(&catalog, now), expected, "{name}");
    }
}

/// Guards against a removal that an instance which is cut off from the store applies too late: it has
/// noticed an outage, while the relay that reports the removal has noticed none.
#[test]
fn an_outage_of_one_instance_delays_no_removal_that_a_relay_reports() {
    struct Case {
        name: &'static str,
        is_store_back: bool,
        is_used: bool,
    }
    let cases = [
        Case { name: "cut off", is_store_back: false, is_used: false },
        Case { name: "the store responds again", is_store_back: true, is_used: true },
    ];
    for Case { name, is_store_back, is_used: expected } in cases {
        let now = Instant::now();
        let mut catalog = Catalog::default();
        catalog.replace(now, vec![entry()], Revision::new(0, 150));
        catalog.outages_mut().on_failure(now - Duration::from_secs(2));
        if is_store_back {
            catalog.outages_mut().on_response(now);
        }
        let removal = [Change::Unlisted(entry().id, Revision::new(0, 200))];
        catalog.apply(now, Revision::new(0, 150), Revision::new(0, 200), removal.clone());
        catalog.confirm_removals(now, &removal);
        assert_eq!(is_used(&catalog, now), expected, "{name}");
    }
}
