//! Tests of the state machine that brings a configuration into force.

use std::sync::Arc;
use std::time::{Duration, Instant};

use cactustrack_members::{
    ConfigAction, ConfigHead, ConfigParts, ConfigProblem, ConfigSource, ConfigStatus, ConfigSync,
    HeadRead, MAX_CHUNK_BYTES, WatchEvent,
};

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
                let n: usize = peer.parse().expect("peers are named by number");
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
