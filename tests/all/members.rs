//! Tests of cactustrack-members: the membership view.

mod config_sync;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cactustrack_members::{
    Doubt, Identity, MemberEntry, MemberState, MemberStatus, MembersDelta, Membership,
};
use cactustrack_types::{Incarnation, InstanceId, Listing, ListingState, Role};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

pub(crate) fn identity(n: u16, incarnation: u64, seq: u32) -> Identity {
    Identity {
        id: format!("i{n:03}").into(),
        incarnation: Incarnation(incarnation),
        seq,
        leaving: false,
        address: SocketAddr::from(([10, 0, 0, 1], 1000 + n)),
        failure_domain: format!("zone-{}", n % 3).into(),
        region: format!("region-{}", n % 2).into(),
    }
}

fn listing(n: u16, incarnation: u64, state: ListingState) -> Listing {
    let identity = identity(n, incarnation, 0);
    Listing {
        id: identity.id,
        role: Role::Instance,
        address: identity.address,
        failure_domain: identity.failure_domain,
        region: identity.region,
        incarnation: identity.incarnation,
        state,
    }
}

fn fleet(size: u16, now: Instant) -> Membership {
    let mut members = Membership::new(identity(0, 1, 0));
    let list: Vec<_> = (0..size).map(|n| listing(n, 1, ListingState::Live)).collect();
    members.update_list(&list, now);
    members
}

fn state(members: &Membership, n: u16) -> Option<MemberState> {
    members.member(&format!("i{n:03}")).map(|view| view.state)
}

/// An event at the instance under test, about members 1 to 3.
#[derive(Clone, Debug)]
enum Event {
    List(Vec<(u16, u64, bool)>),
    Contacted(u16, u64, u32),
    Responded(u16, u64, u32),
    CallFailed(u16, u64),
    Stated(u16, u64, u32, MemberStatus),
    Wait(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let status = prop_oneof![
        Just(MemberStatus::Live),
        Just(MemberStatus::Suspect),
        Just(MemberStatus::Gone)
    ];
    prop_oneof![
        2 => prop::collection::vec((1..4u16, 1..4u64, any::<bool>()), 0..4).prop_map(|mut list| {
            list.sort_by_key(|entry| entry.0);
            list.dedup_by_key(|entry| entry.0);
            Event::List(list)
        }),
        2 => (1..4u16, 1..4u64, 0..3u32).prop_map(|(n, inc, seq)| Event::Contacted(n, inc, seq)),
        2 => (1..4u16, 1..4u64, 0..3u32).prop_map(|(n, inc, seq)| Event::Responded(n, inc, seq)),
        4 => (1..4u16, 1..4u64).prop_map(|(n, inc)| Event::CallFailed(n, inc)),
        2 => (1..4u16, 1..4u64, 0..4u32, status)
            .prop_map(|(n, inc, seq, status)| Event::Stated(n, inc, seq, status)),
        4 => (100..8000u64).prop_map(Event::Wait),
    ]
}

fn apply(members: &mut Membership, event: &Event, now: Instant) {
    match event {
        Event::List(list) => {
            let state = |leaving| if leaving { ListingState::Leaving } else { ListingState::Live };
            let list: Vec<_> =
                list.iter().map(|(n, inc, leaving)| listing(*n, *inc, state(*leaving))).collect();
            members.update_list(&list, now);
        }
        Event::Contacted(n, inc, seq) => members.record_contact(&identity(*n, *inc, *seq), now),
        Event::Responded(n, inc, seq) => {
            members.record_response(&format!("i{n:03}"), &identity(*n, *inc, *seq), now);
        }
        Event::CallFailed(n, inc) => {
            members.record_call_failure(&format!("i{n:03}"), Incarnation(*inc), now);
        }
        Event::Stated(n, inc, seq, status) => {
            let entry = MemberEntry { identity: identity(*n, *inc, *seq), status: *status };
            let delta = MembersDelta { entries: vec![entry], ..MembersDelta::default() };
            members.on_sync_request(&identity(9, 1, 0), &delta, now);
        }
        Event::Wait(_) => {}
    }
    members.tick(now);
}

/// Reference implementation: derives the state of a member from the list of all events.
struct ReferenceModel<'a> {
    events: &'a [(Duration, Event)],
    n: u16,
}

impl ReferenceModel<'_> {
    /// Returns the incarnation, sequence number and status that an event states about the member.
    fn statement(&self, event: &Event) -> Option<(u64, u32, MemberStatus)> {
        let live = MemberStatus::Live;
        match event {
            Event::List(list) => {
                list.iter().find(|entry| entry.0 == self.n).map(|entry| (entry.1, 0, live))
            }
            Event::Contacted(n, incarnation, seq) | Event::Responded(n, incarnation, seq)
                if *n == self.n =>
            {
                Some((*incarnation, *seq, live))
            }
            Event::Stated(n, incarnation, seq, status) if *n == self.n => {
                Some((*incarnation, *seq, *status))
            }
            _ => None,
        }
    }

    /// Returns the prevailing statement after the first `count` events, with the status raised by
    /// failed calls.
    fn known(&self, count: usize) -> Option<(u64, u32, MemberStatus)> {
        let mut known = None;
        for (i, (_, event)) in self.events[..count].iter().enumerate() {
            let statement = self.statement(event);
            if known.is_some()
                || statement.is_some_and(|statement| statement.2 != MemberStatus::Gone)
            {
                known = known.max(statement);
            }
            if let Some((incarnation, seq, status)) = known
                && self.has_failed(i + 1, incarnation)
            {
                let raised = match self.listed(i + 1, incarnation) {
                    Some(_) => MemberStatus::Suspect,
                    None => MemberStatus::Gone,
                };
                known = Some((incarnation, seq, status.max(raised)));
            }
        }
        known
    }

    fn listed(&self, count: usize, incarnation: u64) -> Option<bool> {
        let list = self.events[..count].iter().rev().find_map(|(_, event)| match event {
            Event::List(list) => Some(list),
            _ => None,
        })?;
        let entry = list.iter().find(|entry| entry.0 == self.n)?;
        Some(entry.2 && entry.1 == incarnation)
    }

    fn last_contact(&self, count: usize, incarnation: u64) -> Option<Duration> {
        let is_direct_contact = |event: &Event| match event {
            Event::Contacted(n, inc, _) | Event::Responded(n, inc, _) => {
                *n == self.n && *inc == incarnation
            }
            _ => false,
        };
        self.events[..count]
            .iter()
            .rev()
            .find(|(_, event)| is_direct_contact(event))
            .map(|(at, _)| *at)
    }

    fn had_contact_within(&self, count: usize, incarnation: u64, window: Duration) -> bool {
        let now = self.events[count - 1].0;
        self.last_contact(count, incarnation).is_some_and(|at| now - at < window)
    }

    /// Returns true if calls to this incarnation have failed for the suspicion delay without any
    /// contact. Each refutation by the member restarts and doubles the delay; a response resets it.
    fn has_failed(&self, count: usize, incarnation: u64) -> bool {
        let (mut since, mut wait, mut failing) = (None, Duration::from_secs(5), false);
        for (i, (at, event)) in self.events[..count].iter().enumerate() {
            let before = self.known_incarnation_and_seq(i);
            let current =
                self.known_incarnation_and_seq(i + 1).is_some_and(|known| known.0 == incarnation);
            match event {
                Event::CallFailed(n, inc) if *n == self.n && *inc == incarnation && current => {
                    since = since.or(Some(*at));
                    failing = true;
                }
                Event::Responded(n, inc, _) if *n == self.n && *inc == incarnation => {
                    (since, wait, failing) = (None, Duration::from_secs(5), false);
                }
                _ => {
                    let refuted = self.statement(event).is_some_and(|(inc, seq, _)| {
                        inc == incarnation
                            && before.is_some_and(|known| known.0 == incarnation && seq > known.1)
                    });
                    if refuted && failing {
                        (since, wait) = (None, (wait * 2).min(Duration::from_secs(320)));
                    }
                }
            }
        }
        let now = self.events[count - 1].0;
        since.is_some_and(|at| now - at >= wait)
            && !self.had_contact_within(count, incarnation, wait)
    }

    fn known_incarnation_and_seq(&self, count: usize) -> Option<(u64, u32)> {
        let mut known = None;
        for (_, event) in &self.events[..count] {
            let statement = self.statement(event);
            if known.is_some()
                || statement.is_some_and(|statement| statement.2 != MemberStatus::Gone)
            {
                known = known.max(statement.map(|statement| (statement.0, statement.1)));
            }
        }
        known
    }

    fn state(&self) -> Option<MemberState> {
        let count = self.events.len();
        let (incarnation, _, status) = self.known(count)?;
        let responds = self.had_contact_within(count, incarnation, Duration::from_secs(5));
        Some(match (status, responds, self.listed(count, incarnation)) {
            (MemberStatus::Gone, false, _) => MemberState::Gone,
            (_, true, _) => MemberState::Live,
            (_, false, Some(true)) => MemberState::Leaving,
            (MemberStatus::Suspect, false, _) => MemberState::Suspect,
            _ => MemberState::Live,
        })
    }
}

proptest! {
    /// Guards against errors of the incremental update: the view must equal the one recomputed from
    /// all events, after each event.
    #[test]
    fn membership_equals_recomputation(events in prop::collection::vec(event(), 1..40)) {
        let start = Instant::now();
        let mut members = Membership::new(identity(0, 1, 0));
        let (mut log, mut at) = (Vec::new(), Duration::ZERO);
        for event in events {
            if let Event::Wait(ms) = event {
                at += Duration::from_millis(ms);
            }
            apply(&mut members, &event, start + at);
            log.push((at, event));
            for n in 1..4 {
                let expected = ReferenceModel { events: &log, n }.state();
                prop_assert_eq!(state(&members, n), expected, "member {} after {:?}", n, log);
            }
        }
        // This digest was updated incrementally, that of the other instance is built from one
        // reply.
        let mut other = Membership::new(identity(9, 1, 0));
        let request = MembersDelta { root: 1, buckets: vec![0; 64], ..MembersDelta::default() };
        let reply = members.on_sync_request(&other.own().clone(), &request, start + at);
        other.on_sync_reply("i000", &members.own().clone(), &reply, start + at);
        prop_assert_eq!(members.sync_request("").root, other.sync_request("").root, "{:?}", log);
    }
}

/// Guards against confusing a restarted member with its previous incarnation.
#[test]
fn newer_incarnation_replaces_older() {
    let now = Instant::now();
    let mut members = fleet(3, now);
    members.record_call_failure("i001", Incarnation(1), now);
    members.record_contact(&identity(1, 2, 0), now);
    let view = members.member("i001").unwrap();
    assert_eq!((view.identity.incarnation.0, view.reachable), (2, true));
    // Late events about the previous incarnation: a failed call, a contact and a list.
    members.record_call_failure("i001", Incarnation(1), now);
    members.record_contact(&identity(1, 1, 7), now);
    members.update_list(&[listing(1, 1, ListingState::Leaving)], now);
    // The previous incarnation, which was paused, learns that it was replaced.
    let mut previous = Membership::new(identity(1, 1, 0));
    let request = previous.sync_request("i000");
    let reply = members.on_sync_request(&previous.own().clone(), &request, now);
    previous.on_sync_reply("i000", &members.own().clone(), &reply, now);
    assert_eq!(previous.superseded_by(), Some(Incarnation(2)));
    let later = now + Duration::from_secs(60);
    members.tick(later);
    let view = members.member("i001").unwrap();
    assert_eq!((view.identity.incarnation.0, view.reachable), (2, true));
    assert_eq!(view.state, MemberState::Live);
}

/// Guards against a member that stays suspect or gone although it responds, and against a permanent
/// one-way partition that is taken for an outage.
#[test]
fn flags_tell_one_way_partitions_apart() {
    let now = Instant::now();
    let mut members = fleet(3, now);
    for second in 0..8 {
        let at = now + Duration::from_secs(second);
        members.record_call_failure("i001", Incarnation(1), at);
        members.record_contact(&identity(1, 1, 0), at);
        members.record_call_failure("i002", Incarnation(1), at);
        members.tick(at);
    }
    let view = members.member("i001").unwrap();
    assert_eq!((view.reachable, view.heard_from), (false, true));
    assert_eq!(view.state, MemberState::Live);
    assert_eq!(state(&members, 2), Some(MemberState::Suspect));
    // The other direction: the member responds, and reports that its own calls fail.
    let delta = MembersDelta { unreachable: true, ..MembersDelta::default() };
    members.on_sync_reply("i001", &identity(1, 1, 0), &delta, now + Duration::from_secs(9));
    let view = members.member("i001").unwrap();
    assert_eq!((view.reachable, view.heard_from), (true, false));
}

/// Guards against a false suspicion that is not withdrawn after the member refuted it.
#[test]
fn member_refutes_suspicion() {
    let now = Instant::now();
    let (mut a, mut b) = (fleet(2, now), Membership::new(identity(1, 1, 0)));
    for second in 0..7 {
        a.record_call_failure("i001", Incarnation(1), now + Duration::from_secs(second));
    }
    assert_eq!(state(&a, 1), Some(MemberState::Suspect));
    let now = now + Duration::from_secs(7);
    let request = b.sync_request("i000");
    let reply = a.on_sync_request(&b.own().clone(), &request, now);
    b.on_sync_reply("i000", &a.own().clone(), &reply, now);
    assert_eq!(b.own().seq, 1);
    a.record_contact(&b.own().clone(), now);
    a.tick(now + Duration::from_secs(60));
    assert_eq!(state(&a, 1), Some(MemberState::Live));
}

/// Guards against a partition that does not heal because both sides consider each other gone while
/// the instance list is empty, and against frequent calls to gone members.
#[test]
fn gone_members_are_found_again_without_the_list() {
    let now = Instant::now();
    let mut members = fleet(2, now);
    members.update_list(&[], now);
    for second in 0..7 {
        members.record_call_failure("i001", Incarnation(1), now + Duration::from_secs(second));
    }
    assert_eq!(state(&members, 1), Some(MemberState::Gone));
    let mut calls = 0;
    let mut rng = SmallRng::seed_from_u64(1);
    for second in 7..3607 {
        let at = now + Duration::from_secs(second);
        members.tick(at);
        for id in members.sync_partners(&mut rng, 2, at) {
            calls += 1;
            members.record_call_failure(&id, Incarnation(1), at);
        }
    }
    assert!((3..=8).contains(&calls), "{calls} calls in an hour");
    members.record_contact(&identity(1, 1, 1), now + Duration::from_secs(3607));
    assert_eq!(state(&members, 1), Some(MemberState::Live));
    let at = now + Duration::from_secs(3609);
    assert_eq!(members.sync_partners(&mut rng, 2, at), ["i001".into()]);
}

/// Guards against doubts without a reply, and against doubts that cause no probe.
#[test]
fn doubt_replies_report_direct_contacts_only() {
    let now = Instant::now();
    let (mut a, mut b) = (fleet(4, now), fleet(4, now));
    b.record_contact(&identity(2, 1, 0), now);
    let doubt = |n| Doubt { id: identity(n, 1, 0).id, incarnation: Incarnation(1) };
    let delta = MembersDelta { doubts: vec![doubt(2), doubt(3)], ..MembersDelta::default() };
    let now = now + Duration::from_secs(1);
    let reply = b.on_sync_request(&identity(1, 1, 0), &delta, now);
    let heard: Vec<_> = reply.heard.iter().map(|heard| (&*heard.id, heard.age_ms)).collect();
    assert_eq!(heard, [("i002", 1000)]);
    let mut rng = SmallRng::seed_from_u64(1);
    assert!(b.sync_partners(&mut rng, 1, now).contains(&"i003".into()));
    a.record_call_failure("i002", Incarnation(1), now);
    a.on_sync_reply("i001", &identity(1, 1, 0), &reply, now);
    assert!(a.member("i002").unwrap().last_reported_contact.is_some());
}

/// Guards against views that do not converge, and against messages that grow with the fleet.
#[test]
fn synchronization_converges_in_bounded_messages() {
    let now = Instant::now();
    let (mut a, mut b) = (fleet(800, now), Membership::new(identity(1, 1, 0)));
    b.record_contact(&identity(900, 5, 0), now);
    for _ in 0..200 {
        let request = b.sync_request("i000");
        let reply = a.on_sync_request(&b.own().clone(), &request, now);
        assert!(request.entries.len() <= 64 && reply.entries.len() <= 64);
        let more = b.on_sync_reply("i000", &a.own().clone(), &reply, now);
        if let Some(more) = more {
            assert!(more.entries.len() <= 64);
            let reply = a.on_sync_request(&b.own().clone(), &more, now);
            assert!(reply.entries.len() <= 64);
            b.on_sync_reply("i000", &a.own().clone(), &reply, now);
        }
    }
    let ids = |members: &Membership| -> BTreeSet<InstanceId> {
        members.members().map(|view| view.identity.id.clone()).collect()
    };
    assert_eq!(ids(&a), ids(&b));
    assert_eq!(a.sync_request("i001").root, b.sync_request("i000").root);
}

/// Guards against roles concentrated in one failure domain without need, and against roles that
/// move when an uninvolved member changes.
#[test]
fn roles_are_spread_and_stable() {
    let now = Instant::now();
    let mut members = fleet(40, now);
    for service in ["katalogos", "symfonia", "archeio"] {
        let collectors = members.collectors(service);
        let domains: BTreeSet<_> = collectors
            .iter()
            .map(|id| members.member(id).unwrap().identity.failure_domain.clone())
            .collect();
        assert_eq!((collectors.len(), domains.len()), (3, 3), "{service}");
        let other = (1..40).map(|n| identity(n, 1, 0)).find(|i| !collectors.contains(&i.id));
        let mut other = other.unwrap();
        other.leaving = true;
        other.seq = 1;
        members.record_contact(&other, now);
        assert_eq!(members.collectors(service), collectors, "{service}");
    }
    let watchers = members.watchers("region-1");
    assert_eq!(watchers.len(), 2);
    assert!(watchers.iter().all(|id| &*members.member(id).unwrap().identity.region == "region-1"));
    // Leaving members may still have connections, so they count.
    assert_eq!(members.instances_using(|_| true), 40);
}
