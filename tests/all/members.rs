//! Tests of cactustrack-members.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cactustrack_members::{
    ConfigAction, ConfigHead, ConfigParts, ConfigProblem, ConfigSource, ConfigStatus, ConfigSync,
    Doubt, HeadRead, Identity, MAX_CHUNK_BYTES, MemberEntry, MemberState, MemberStatus,
    MembersDelta, Membership, WatchEvent,
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

/// One observation by the instance under test, about members 1 to 3.
#[derive(Clone, Debug)]
enum Event {
    List(Vec<(u16, u64, bool)>),
    Heard(u16, u64, u32),
    Answered(u16, u64, u32),
    Failed(u16, u64),
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
        2 => (1..4u16, 1..4u64, 0..3u32).prop_map(|(n, life, seq)| Event::Heard(n, life, seq)),
        2 => (1..4u16, 1..4u64, 0..3u32).prop_map(|(n, life, seq)| Event::Answered(n, life, seq)),
        4 => (1..4u16, 1..4u64).prop_map(|(n, life)| Event::Failed(n, life)),
        2 => (1..4u16, 1..4u64, 0..4u32, status).prop_map(|(n, l, s, st)| Event::Stated(n, l, s, st)),
        4 => (100..8000u64).prop_map(Event::Wait),
    ]
}

fn apply(members: &mut Membership, event: &Event, now: Instant) {
    match event {
        Event::List(list) => {
            let state = |leaving| if leaving { ListingState::Leaving } else { ListingState::Live };
            let list: Vec<_> =
                list.iter().map(|(n, life, l)| listing(*n, *life, state(*l))).collect();
            members.update_list(&list, now);
        }
        Event::Heard(n, life, seq) => members.heard(&identity(*n, *life, *seq), now),
        Event::Answered(n, life, seq) => {
            members.answered(&format!("i{n:03}"), &identity(*n, *life, *seq), now);
        }
        Event::Failed(n, life) => {
            members.call_failed(&format!("i{n:03}"), Incarnation(*life), now);
        }
        Event::Stated(n, life, seq, status) => {
            let entry = MemberEntry { identity: identity(*n, *life, *seq), status: *status };
            let delta = MembersDelta { entries: vec![entry], ..MembersDelta::default() };
            members.on_sync_request(&identity(9, 1, 0), &delta, now);
        }
        Event::Wait(_) => {}
    }
    members.tick(now);
}

/// Naive version: keeps all events and derives a member's state from them alone.
struct Naive<'a> {
    events: &'a [(Duration, Event)],
    n: u16,
}

impl Naive<'_> {
    /// Life, sequence number and status that an event states about the member.
    fn statement(&self, event: &Event) -> Option<(u64, u32, MemberStatus)> {
        let live = MemberStatus::Live;
        match event {
            Event::List(list) => {
                list.iter().find(|entry| entry.0 == self.n).map(|entry| (entry.1, 0, live))
            }
            Event::Heard(n, life, seq) | Event::Answered(n, life, seq) if *n == self.n => {
                Some((*life, *seq, live))
            }
            Event::Stated(n, life, seq, status) if *n == self.n => Some((*life, *seq, *status)),
            _ => None,
        }
    }

    /// Highest statement after the first `count` events, with the status raised by own failures.
    fn known(&self, count: usize) -> Option<(u64, u32, MemberStatus)> {
        let mut known = None;
        for (i, (_, event)) in self.events[..count].iter().enumerate() {
            let stated = self.statement(event);
            if known.is_some() || stated.is_some_and(|stated| stated.2 != MemberStatus::Gone) {
                known = known.max(stated);
            }
            if let Some((life, seq, status)) = known
                && self.has_failed(i + 1, life)
            {
                let raised = match self.listed(i + 1, life) {
                    Some(_) => MemberStatus::Suspect,
                    None => MemberStatus::Gone,
                };
                known = Some((life, seq, status.max(raised)));
            }
        }
        known
    }

    fn listed(&self, count: usize, life: u64) -> Option<bool> {
        let list = self.events[..count].iter().rev().find_map(|(_, event)| match event {
            Event::List(list) => Some(list),
            _ => None,
        })?;
        let entry = list.iter().find(|entry| entry.0 == self.n)?;
        Some(entry.2 && entry.1 == life)
    }

    fn last_contact(&self, count: usize, life: u64) -> Option<Duration> {
        let mine = |event: &Event| match event {
            Event::Heard(n, l, _) | Event::Answered(n, l, _) => *n == self.n && *l == life,
            _ => false,
        };
        self.events[..count].iter().rev().find(|(_, event)| mine(event)).map(|(at, _)| *at)
    }

    fn responds(&self, count: usize, life: u64, window: Duration) -> bool {
        let now = self.events[count - 1].0;
        self.last_contact(count, life).is_some_and(|at| now - at < window)
    }

    /// True if calls to this life have failed for long enough. Each refutation by the member
    /// restarts the wait and doubles it, until a call is answered.
    fn has_failed(&self, count: usize, life: u64) -> bool {
        let (mut since, mut wait, mut failing) = (None, Duration::from_secs(5), false);
        for (i, (at, event)) in self.events[..count].iter().enumerate() {
            let before = self.known_life_and_seq(i);
            let current = self.known_life_and_seq(i + 1).is_some_and(|known| known.0 == life);
            match event {
                Event::Failed(n, l) if *n == self.n && *l == life && current => {
                    since = since.or(Some(*at));
                    failing = true;
                }
                Event::Answered(n, l, _) if *n == self.n && *l == life => {
                    (since, wait, failing) = (None, Duration::from_secs(5), false);
                }
                _ => {
                    let raised = self.statement(event).is_some_and(|(l, seq, _)| {
                        l == life && before.is_some_and(|known| known.0 == life && seq > known.1)
                    });
                    if raised && failing {
                        (since, wait) = (None, (wait * 2).min(Duration::from_secs(320)));
                    }
                }
            }
        }
        let now = self.events[count - 1].0;
        since.is_some_and(|at| now - at >= wait) && !self.responds(count, life, wait)
    }

    fn known_life_and_seq(&self, count: usize) -> Option<(u64, u32)> {
        let mut known = None;
        for (_, event) in &self.events[..count] {
            let stated = self.statement(event);
            if known.is_some() || stated.is_some_and(|stated| stated.2 != MemberStatus::Gone) {
                known = known.max(stated.map(|stated| (stated.0, stated.1)));
            }
        }
        known
    }

    fn state(&self) -> Option<MemberState> {
        let count = self.events.len();
        let (life, _, status) = self.known(count)?;
        let responds = self.responds(count, life, Duration::from_secs(5));
        Some(match (status, responds, self.listed(count, life)) {
            (MemberStatus::Gone, false, _) => MemberState::Gone,
            (_, true, _) => MemberState::Live,
            (_, false, Some(true)) => MemberState::Leaving,
            (MemberStatus::Suspect, false, _) => MemberState::Suspect,
            _ => MemberState::Live,
        })
    }
}

proptest! {
    /// Guards against state that depends on more than the events: the incremental view and the
    /// recomputed one must agree after each event.
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
                let expected = Naive { events: &log, n }.state();
                prop_assert_eq!(state(&members, n), expected, "member {} after {:?}", n, log);
            }
        }
    }
}

/// Guards against taking a restarted member for its former life, and the reverse.
#[test]
fn newer_life_replaces_older() {
    let now = Instant::now();
    let mut members = fleet(3, now);
    members.call_failed("i001", Incarnation(1), now);
    members.heard(&identity(1, 2, 0), now);
    let view = members.member("i001").unwrap();
    assert_eq!((view.identity.incarnation.0, view.reachable), (2, true));
    // Late signs of the former life: a failure, a call, a list and a statement.
    members.call_failed("i001", Incarnation(1), now);
    members.heard(&identity(1, 1, 7), now);
    members.update_list(&[listing(1, 1, ListingState::Leaving)], now);
    let later = now + Duration::from_secs(60);
    members.tick(later);
    let view = members.member("i001").unwrap();
    assert_eq!((view.identity.incarnation.0, view.reachable), (2, true));
    assert_eq!(view.state, MemberState::Live);
}

/// Guards against a member that stays suspect or gone although it responds, and against a
/// permanent one-way partition being seen as an outage.
#[test]
fn flags_tell_one_way_partitions_apart() {
    let now = Instant::now();
    let mut members = fleet(3, now);
    for second in 0..8 {
        let at = now + Duration::from_secs(second);
        members.call_failed("i001", Incarnation(1), at);
        members.heard(&identity(1, 1, 0), at);
        members.call_failed("i002", Incarnation(1), at);
        members.tick(at);
    }
    let view = members.member("i001").unwrap();
    assert_eq!((view.reachable, view.heard_from), (false, true));
    assert_eq!(view.state, MemberState::Live);
    assert_eq!(state(&members, 2), Some(MemberState::Suspect));
    // The other direction: the member answers, and says that its own calls fail.
    let delta = MembersDelta { unreachable: true, ..MembersDelta::default() };
    members.on_sync_reply("i001", &identity(1, 1, 0), &delta, now + Duration::from_secs(9));
    let view = members.member("i001").unwrap();
    assert_eq!((view.reachable, view.heard_from), (true, false));
}

/// Guards against a false suspicion that is never withdrawn.
#[test]
fn member_refutes_suspicion() {
    let now = Instant::now();
    let (mut a, mut b) = (fleet(2, now), Membership::new(identity(1, 1, 0)));
    for second in 0..7 {
        a.call_failed("i001", Incarnation(1), now + Duration::from_secs(second));
    }
    assert_eq!(state(&a, 1), Some(MemberState::Suspect));
    let now = now + Duration::from_secs(7);
    let request = b.sync_request("i000");
    let reply = a.on_sync_request(&b.own().clone(), &request, now);
    b.on_sync_reply("i000", &a.own().clone(), &reply, now);
    assert_eq!(b.own().seq, 1);
    a.heard(&b.own().clone(), now);
    a.tick(now + Duration::from_secs(60));
    assert_eq!(state(&a, 1), Some(MemberState::Live));
}

/// Guards against doubts that are not answered, or not acted on.
#[test]
fn doubts_are_answered_by_direct_contacts_only() {
    let now = Instant::now();
    let (mut a, mut b) = (fleet(4, now), fleet(4, now));
    b.heard(&identity(2, 1, 0), now);
    let doubt = |n| Doubt { id: identity(n, 1, 0).id, incarnation: Incarnation(1) };
    let delta = MembersDelta { doubts: vec![doubt(2), doubt(3)], ..MembersDelta::default() };
    let now = now + Duration::from_secs(1);
    let reply = b.on_sync_request(&identity(1, 1, 0), &delta, now);
    let heard: Vec<_> = reply.heard.iter().map(|heard| (&*heard.id, heard.age_ms)).collect();
    assert_eq!(heard, [("i002", 1000)]);
    let mut rng = SmallRng::seed_from_u64(1);
    assert!(b.sync_partners(&mut rng, 1, now).contains(&"i003".into()));
    a.call_failed("i002", Incarnation(1), now);
    a.on_sync_reply("i001", &identity(1, 1, 0), &reply, now);
    assert!(a.member("i002").unwrap().last_heard_of.is_some());
}

/// Guards against views that never become equal, and against messages that grow with the fleet.
#[test]
fn exchange_converges_in_bounded_messages() {
    let now = Instant::now();
    let (mut a, mut b) = (fleet(800, now), Membership::new(identity(1, 1, 0)));
    b.heard(&identity(900, 5, 0), now);
    for _ in 0..200 {
        let request = b.sync_request("i000");
        let reply = a.on_sync_request(&b.own().clone(), &request, now);
        assert!(request.entries.len() <= 64 && reply.entries.len() <= 65);
        let more = b.on_sync_reply("i000", &a.own().clone(), &reply, now);
        if let Some(more) = more {
            assert!(more.entries.len() <= 64);
            let reply = a.on_sync_request(&b.own().clone(), &more, now);
            assert!(reply.entries.len() <= 65);
            b.on_sync_reply("i000", &a.own().clone(), &reply, now);
        }
    }
    let ids = |members: &Membership| -> BTreeSet<InstanceId> {
        members.members().map(|view| view.identity.id.clone()).collect()
    };
    assert_eq!(ids(&a), ids(&b));
    assert_eq!(a.sync_request("i001").root, b.sync_request("i000").root);
}

/// Guards against roles that share a failure domain without need, or that move when an
/// uninvolved member changes.
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
        members.heard(&other, now);
        assert_eq!(members.collectors(service), collectors, "{service}");
    }
    let watchers = members.watchers("region-1");
    assert_eq!(watchers.len(), 2);
    assert!(watchers.iter().all(|id| &*members.member(id).unwrap().identity.region == "region-1"));
    // Leaving members keep connections, so they still count.
    assert_eq!(members.instances_using(|_| true), 40);
}

fn parts(version: u64, checksum: u8) -> ConfigParts {
    let head = ConfigHead { version, checksum: Arc::from([checksum; 32]) };
    let content: Arc<[u8]> = vec![checksum; MAX_CHUNK_BYTES + 7].into();
    ConfigParts { head, parts: [content.clone(), content].into() }
}

/// The store and the peers around one [`ConfigSync`]; time is virtual.
struct Surroundings {
    sync: ConfigSync,
    now: Instant,
    /// `None` while the store does not answer.
    store: Option<Option<ConfigParts>>,
    peers: Vec<Option<ConfigParts>>,
    /// Answers that are lost before the others arrive.
    lose: usize,
    /// Content that does not match its checksum.
    damaged: Option<ConfigSource>,
    store_calls: usize,
    pushes: usize,
    installed: Vec<ConfigHead>,
    problems: Vec<ConfigProblem>,
}

impl Surroundings {
    fn new(store: Option<Option<ConfigParts>>, peers: Vec<Option<ConfigParts>>) -> Self {
        let now = Instant::now();
        Self {
            sync: ConfigSync::new(Duration::from_millis(700), now),
            now,
            store,
            peers,
            lose: 0,
            damaged: None,
            store_calls: 0,
            pushes: 0,
            installed: Vec::new(),
            problems: Vec::new(),
        }
    }

    fn start(mut self, seconds: u64) -> Self {
        let actions = self.sync.start(self.now);
        self.run(actions);
        self.pass(seconds);
        self
    }

    fn pass(&mut self, seconds: u64) {
        for _ in 0..2 * seconds {
            self.now += Duration::from_millis(500);
            let mut actions = self.sync.tick(self.now);
            actions.push(ConfigAction::AskPeers(2));
            self.run(actions);
        }
    }

    fn run(&mut self, actions: Vec<ConfigAction>) {
        let mut actions = std::collections::VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            let called = matches!(
                action,
                ConfigAction::ReadHead | ConfigAction::FetchFromStore(_) | ConfigAction::StartWatch
            );
            self.store_calls += usize::from(called);
            actions.extend(self.answer(action));
        }
    }

    fn is_lost(&mut self) -> bool {
        let lost = self.lose > 0;
        self.lose = self.lose.saturating_sub(1);
        lost
    }

    fn answer(&mut self, action: ConfigAction) -> Vec<ConfigAction> {
        let now = self.now;
        match action {
            ConfigAction::Install { parts, origin } => {
                if self.damaged.as_ref() == Some(&origin) {
                    return self.sync.on_rejected("checksum does not match", now);
                }
                self.installed.push(parts.head);
                return self.sync.on_installed(now);
            }
            ConfigAction::Push(count) => self.pushes += count,
            ConfigAction::Report(problem) => self.problems.push(problem),
            ConfigAction::SetStatus(_) | ConfigAction::StopWatch => {}
            _ if self.is_lost() => {}
            ConfigAction::ReadHead => {
                let read = match &self.store {
                    None => HeadRead::Failed,
                    Some(None) => HeadRead::Absent,
                    Some(Some(parts)) => HeadRead::Found(parts.head.clone()),
                };
                return self.sync.on_head(read, now);
            }
            ConfigAction::StartWatch => {
                let event = self.store.as_ref().map_or(WatchEvent::Ended, |_| WatchEvent::Started);
                return self.sync.on_watch(event, now);
            }
            ConfigAction::FetchFromStore(_) => {
                return match self.store.clone().flatten() {
                    Some(parts) => self.sync.on_parts(&ConfigSource::Store, parts, now),
                    None => self.sync.on_fetch_failed(&ConfigSource::Store, now),
                };
            }
            ConfigAction::FetchFromPeer { peer, want } => {
                let n: usize = peer.parse().unwrap();
                let chunk = self.peers[n].as_ref().and_then(|parts| parts.chunk(&want));
                return self.sync.on_chunk(&peer, chunk.as_ref(), now);
            }
            ConfigAction::AskPeers(_) => {
                let heads: Vec<_> =
                    self.peers.iter().map(|p| p.as_ref().map(|p| p.head.clone())).collect();
                let ask = |(n, head): (usize, _)| {
                    self.sync.on_peer_head(&n.to_string().into(), head, now)
                };
                return heads.into_iter().enumerate().flat_map(ask).collect();
            }
        }
        Vec::new()
    }
}

/// Guards against each way in which a new instance could get no configuration, or a wrong one.
#[test]
fn new_instance_takes_the_highest_version() {
    struct Case {
        name: &'static str,
        store: Option<Option<ConfigParts>>,
        peers: Vec<Option<ConfigParts>>,
        lose: usize,
        damaged: Option<ConfigSource>,
        expected: Option<ConfigHead>,
        problems: usize,
    }
    let case = |name, store, peers, expected: Option<ConfigParts>| Case {
        name,
        store,
        peers,
        lose: 0,
        damaged: None,
        expected: expected.map(|parts| parts.head),
        problems: 0,
    };
    let (v4, v5, other_v5) = (parts(4, 4), parts(5, 5), parts(5, 6));
    let (some4, some5) = (Some(v4.clone()), Some(v5.clone()));
    let peers = || vec![some4.clone(), some5.clone()];
    let cases = [
        case("stale store read", Some(some4.clone()), peers(), some5.clone()),
        case("stale peers", Some(some5.clone()), vec![some4.clone(); 2], some5.clone()),
        case("store down, peers serve", None, peers(), some5.clone()),
        case("no peers", Some(some5.clone()), vec![], some5.clone()),
        case("no peer has one", Some(some5.clone()), vec![None, None], some5.clone()),
        case("no peer and no store", None, vec![], None),
        case("nothing accepted yet", Some(None), vec![None, None], None),
        Case { lose: 5, ..case("lost answers", Some(some5.clone()), peers(), some5.clone()) },
        Case {
            problems: 1,
            ..case("checksum conflict", Some(some5.clone()), vec![Some(other_v5); 2], some5.clone())
        },
        Case {
            damaged: Some(ConfigSource::Peer("1".into())),
            problems: 1,
            ..case("damaged at a peer", Some(some5.clone()), peers(), some5.clone())
        },
    ];
    for case in cases {
        let mut run = Surroundings::new(case.store, case.peers);
        (run.lose, run.damaged) = (case.lose, case.damaged);
        let run = run.start(20);
        assert_eq!(run.sync.head(), case.expected.as_ref(), "{}", case.name);
        // The conflict may be seen from either side, and again once the version is in force.
        let found = run.problems.len();
        assert_eq!(found > 0, case.problems > 0, "{}: {:?}", case.name, run.problems);
        assert_eq!(run.pushes, 4 * run.installed.len(), "{}", case.name);
        let status =
            if case.expected.is_some() { ConfigStatus::Confirmed } else { ConfigStatus::Missing };
        assert_eq!(run.sync.status(), status, "{}", case.name);
    }
}

/// Guards against a configuration that reverts, and against one that changes under its version.
#[test]
fn version_in_force_never_reverts() {
    let mut run = Surroundings::new(Some(Some(parts(5, 5))), vec![Some(parts(5, 5)); 2]).start(5);
    let actions = run.sync.set_watcher(true, run.now);
    run.run(actions);
    run.store = Some(Some(parts(4, 4)));
    run.peers = vec![Some(parts(3, 3)), Some(parts(5, 9))];
    run.pass(10);
    for head in [parts(4, 4).head, parts(5, 9).head] {
        let actions = run.sync.on_watch(WatchEvent::Head(head), run.now);
        run.run(actions);
    }
    // A late answer to a fetch of an older version.
    let actions = run.sync.on_parts(&ConfigSource::Store, parts(4, 4), run.now);
    run.run(actions);
    assert_eq!(run.installed, [parts(5, 5).head]);
    let conflicts =
        run.problems.iter().filter(|p| matches!(p, ConfigProblem::ChecksumConflict { .. }));
    // One report for each origin of the other checksum, however often it is offered.
    assert_eq!(conflicts.count(), 2);
    assert!(run.problems.contains(&ConfigProblem::StoreBehind { store: 4, in_force: 5 }));
}

/// Guards against an old configuration that passes as current after a pause or an isolation.
#[test]
fn status_is_unconfirmed_after_30_seconds_alone() {
    let mut run = Surroundings::new(Some(Some(parts(5, 5))), vec![Some(parts(5, 5)); 2]).start(5);
    let peers = std::mem::take(&mut run.peers);
    run.store = None;
    run.pass(29);
    assert_eq!(run.sync.status(), ConfigStatus::Confirmed);
    run.pass(2);
    assert_eq!(run.sync.status(), ConfigStatus::Unconfirmed);
    assert_eq!(run.sync.head(), Some(&parts(5, 5).head));
    run.peers = peers;
    run.pass(1);
    assert_eq!(run.sync.status(), ConfigStatus::Confirmed);
    // A process that was paused for an hour knows that it is behind before it hears anything.
    run.now += Duration::from_secs(3600);
    run.sync.tick(run.now);
    assert_eq!(run.sync.status(), ConfigStatus::Unconfirmed);
    run.peers = vec![Some(parts(8, 8)); 2];
    run.pass(1);
    assert_eq!(run.sync.head(), Some(&parts(8, 8).head));
    assert_eq!(run.sync.status(), ConfigStatus::Confirmed);
}

/// Guards against store calls that grow with the fleet, and against a watcher that misses a
/// change because its watch ended or went silent.
#[test]
fn only_watchers_call_the_store() {
    let mut run = Surroundings::new(Some(Some(parts(5, 5))), vec![Some(parts(5, 5)); 2]).start(60);
    assert!(run.store_calls <= 2, "{} calls", run.store_calls);
    run.store_calls = 0;
    run.pass(600);
    assert_eq!(run.store_calls, 0);
    let actions = run.sync.set_watcher(true, run.now);
    run.run(actions);
    run.store_calls = 0;
    run.pass(60);
    assert!((10..=15).contains(&run.store_calls), "{} calls", run.store_calls);
    // The watch is silent: the change is found by the next read.
    run.store = Some(Some(parts(6, 6)));
    run.pass(6);
    assert_eq!(run.sync.head(), Some(&parts(6, 6).head));
    let actions = run.sync.on_watch(WatchEvent::Ended, run.now);
    run.run(actions);
    run.store = None;
    run.store_calls = 0;
    run.pass(10);
    assert!((9..=31).contains(&run.store_calls), "{} calls", run.store_calls);
}
