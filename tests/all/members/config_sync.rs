//! Tests of the state machine that installs configurations.

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

/// Harness that simulates the store and the peers of one [`ConfigSync`] in virtual time.
struct Harness {
    sync: ConfigSync,
    now: Instant,
    /// Configuration in the store; the outer `None` stands for a store that does not respond.
    store: Option<Option<ConfigParts>>,
    peers: Vec<Option<ConfigParts>>,
    /// Number of responses that are lost before the others arrive.
    lost_responses: usize,
    /// Source whose content does not match its checksum.
    damaged: Option<ConfigSource>,
    store_calls: usize,
    pushes: usize,
    installed: Vec<ConfigHead>,
    problems: Vec<ConfigProblem>,
}

impl Harness {
    fn new(store: Option<Option<ConfigParts>>, peers: Vec<Option<ConfigParts>>) -> Self {
        let now = Instant::now();
        Self {
            sync: ConfigSync::new(Duration::from_millis(700), now),
            now,
            store,
            peers,
            lost_responses: 0,
            damaged: None,
            store_calls: 0,
            pushes: 0,
            installed: Vec::new(),
            problems: Vec::new(),
        }
    }

    fn start(mut self, seconds: u64) -> Self {
        let actions = self.sync.start(self.now);
        self.perform(actions);
        self.advance_time(seconds);
        self
    }

    fn advance_time(&mut self, seconds: u64) {
        for _ in 0..2 * seconds {
            self.now += Duration::from_millis(500);
            let mut actions = self.sync.tick(self.now);
            actions.push(ConfigAction::SyncWithPeers(2));
            self.perform(actions);
        }
    }

    fn perform(&mut self, actions: Vec<ConfigAction>) {
        let mut actions = std::collections::VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            let is_store_call = matches!(
                action,
                ConfigAction::ReadHead | ConfigAction::FetchFromStore(_) | ConfigAction::StartWatch
            );
            self.store_calls += usize::from(is_store_call);
            actions.extend(self.perform_one(action));
        }
    }

    fn drop_response(&mut self) -> bool {
        let lost = self.lost_responses > 0;
        self.lost_responses = self.lost_responses.saturating_sub(1);
        lost
    }

    fn perform_one(&mut self, action: ConfigAction) -> Vec<ConfigAction> {
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
            _ if self.drop_response() => {}
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
            ConfigAction::SyncWithPeers(_) => {
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

/// Guards against a new instance that installs no configuration or a wrong one, for each state of
/// the store and the peers.
#[test]
fn new_instance_installs_the_highest_version() {
    struct Case {
        name: &'static str,
        store: Option<Option<ConfigParts>>,
        peers: Vec<Option<ConfigParts>>,
        lost_responses: usize,
        damaged: Option<ConfigSource>,
        expected: Option<ConfigHead>,
        problems: usize,
    }
    let case = |name, store, peers, expected: Option<ConfigParts>| Case {
        name,
        store,
        peers,
        lost_responses: 0,
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
        case("store down, peers available", None, peers(), some5.clone()),
        case("no peers", Some(some5.clone()), vec![], some5.clone()),
        case("no peer has a configuration", Some(some5.clone()), vec![None, None], some5.clone()),
        case("no peer and no store", None, vec![], None),
        case("nothing accepted yet", Some(None), vec![None, None], None),
        Case {
            lost_responses: 5,
            ..case("lost responses", Some(some5.clone()), peers(), some5.clone())
        },
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
        let mut harness = Harness::new(case.store, case.peers);
        (harness.lost_responses, harness.damaged) = (case.lost_responses, case.damaged);
        let harness = harness.start(20);
        assert_eq!(harness.sync.head(), case.expected.as_ref(), "{}", case.name);
        // A conflict may be reported for either source, and again once the version is in force.
        let found = harness.problems.len();
        assert_eq!(found > 0, case.problems > 0, "{}: {:?}", case.name, harness.problems);
        assert_eq!(harness.pushes, 4 * harness.installed.len(), "{}", case.name);
        let status =
            if case.expected.is_some() { ConfigStatus::Confirmed } else { ConfigStatus::Missing };
        assert_eq!(harness.sync.status(), status, "{}", case.name);
    }
}

/// Guards against a configuration that reverts to an older version, and against one whose content
/// changes without a change of its version.
#[test]
fn version_in_force_never_reverts() {
    let mut harness = Harness::new(Some(Some(parts(5, 5))), vec![Some(parts(5, 5)); 2]).start(5);
    let actions = harness.sync.set_watcher(true, harness.now);
    harness.perform(actions);
    harness.store = Some(Some(parts(4, 4)));
    harness.peers = vec![Some(parts(3, 3)), Some(parts(5, 9))];
    harness.advance_time(10);
    for head in [parts(4, 4).head, parts(5, 9).head] {
        let actions = harness.sync.on_watch(WatchEvent::Head(head), harness.now);
        harness.perform(actions);
    }
    // A late response to a fetch of an older version.
    let actions = harness.sync.on_parts(&ConfigSource::Store, parts(4, 4), harness.now);
    harness.perform(actions);
    assert_eq!(harness.installed, [parts(5, 5).head]);
    let conflicts =
        harness.problems.iter().filter(|p| matches!(p, ConfigProblem::ChecksumConflict { .. }));
    // One report for each source of the other checksum, no matter how often it is offered.
    assert_eq!(conflicts.count(), 2);
    assert!(harness.problems.contains(&ConfigProblem::StoreBehind { store: 4, in_force: 5 }));
}

/// Guards against an old configuration that is reported as confirmed after a pause of the process
/// or an isolation from the store and peers.
#[test]
fn status_is_unconfirmed_after_30_seconds_without_responses() {
    let mut harness = Harness::new(Some(Some(parts(5, 5))), vec![Some(parts(5, 5)); 2]).start(5);
    let peers = std::mem::take(&mut harness.peers);
    harness.store = None;
    harness.advance_time(29);
    assert_eq!(harness.sync.status(), ConfigStatus::Confirmed);
    harness.advance_time(2);
    assert_eq!(harness.sync.status(), ConfigStatus::Unconfirmed);
    assert_eq!(harness.sync.head(), Some(&parts(5, 5).head));
    harness.peers = peers;
    harness.advance_time(1);
    assert_eq!(harness.sync.status(), ConfigStatus::Confirmed);
    // A process that was paused for an hour reports this status before it gets any response.
    harness.now += Duration::from_secs(3600);
    harness.sync.tick(harness.now);
    assert_eq!(harness.sync.status(), ConfigStatus::Unconfirmed);
    harness.peers = vec![Some(parts(8, 8)); 2];
    harness.advance_time(1);
    assert_eq!(harness.sync.head(), Some(&parts(8, 8).head));
    assert_eq!(harness.sync.status(), ConfigStatus::Confirmed);
}

/// Guards against store calls that grow with the fleet, and against a watcher that misses a change
/// because its watch ended or delivers no events.
#[test]
fn only_watchers_call_the_store() {
    let mut harness = Harness::new(Some(Some(parts(5, 5))), vec![Some(parts(5, 5)); 2]).start(60);
    assert!(harness.store_calls <= 2, "{} calls", harness.store_calls);
    harness.store_calls = 0;
    harness.advance_time(600);
    assert_eq!(harness.store_calls, 0);
    let actions = harness.sync.set_watcher(true, harness.now);
    harness.perform(actions);
    harness.store_calls = 0;
    harness.advance_time(60);
    assert!((10..=15).contains(&harness.store_calls), "{} calls", harness.store_calls);
    // The watch delivers no event; the change is found by the next read.
    harness.store = Some(Some(parts(6, 6)));
    harness.advance_time(6);
    assert_eq!(harness.sync.head(), Some(&parts(6, 6).head));
    let actions = harness.sync.on_watch(WatchEvent::Ended, harness.now);
    harness.perform(actions);
    harness.store = None;
    harness.store_calls = 0;
    harness.advance_time(10);
    assert!((9..=31).contains(&harness.store_calls), "{} calls", harness.store_calls);
}
