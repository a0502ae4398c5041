//! Publication of configuration versions under faults of the store.

use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cactustrack_store::operator::{accept, determine, history};
use cactustrack_store::{
    ConfigurationRepository, Determination, MAX_PART_BYTES, Publication, PublishOutcome,
    RepositoryError, Store, Txn, UNUSED_PARTS_RETENTION, UnknownPublication, ValueError,
    encode_value,
};
use cactustrack_test_support::store::{FakeStoreHandle, Outage};

use super::support::{Fault, Harness, SHORT_TIMEOUT, delete, etcd_store, publication, wait_until};

const SHORT_DELAY: Duration = Duration::from_millis(1);

fn repository(harness: &Harness) -> ConfigurationRepository {
    repository_at(harness, UNIX_EPOCH + Duration::from_secs(1_700_000_000))
}

fn repository_at(harness: &Harness, now: SystemTime) -> ConfigurationRepository {
    let store: Rc<dyn Store> = harness.store.clone();
    ConfigurationRepository::new(store, "team")
        .with_max_attempts(3, SHORT_DELAY)
        .with_clock(Rc::new(move || now))
}

fn published(version: u64) -> PublishOutcome {
    PublishOutcome::Published { version }
}

/// Returns the versions whose parts are in the store, oldest first.
fn stored_publications(handle: &FakeStoreHandle) -> Vec<String> {
    let mut found: Vec<String> = handle
        .keys("team/part/")
        .iter()
        .map(|(key, _)| key.split(['/', '-']).nth(2).unwrap_or_default().to_owned())
        .collect();
    found.dedup();
    found
}

/// Guards against parts that accumulate, and against removing parts that an instance still reads.
#[compio::test]
async fn the_previous_version_is_kept_and_older_ones_are_removed() {
    let harness = Harness::start().await;
    let repository = repository(&harness);
    assert_eq!(repository.read_head().await.unwrap(), None);
    for base in 0..4 {
        let outcome = repository.publish(&publication(base, &format!("a{base}"))).await.unwrap();
        assert_eq!(outcome, published(base + 1));
    }
    assert_eq!(stored_publications(&harness.handle()), ["3", "4"]);
    assert!(harness.handle().keys("team/unused/").is_empty());
    for version in [3, 4] {
        let stored = repository.read(version).await.unwrap();
        assert_eq!(stored.parts, publication(0, &format!("a{}", version - 1)).parts);
        assert_eq!(stored.checksum, format!("sum-a{}", version - 1));
    }
    assert_eq!(repository.read(2).await, Err(RepositoryError::NotKept { version: 2 }));
    let entries = repository.history(3).await.unwrap();
    assert_eq!(entries.iter().map(|entry| entry.version).collect::<Vec<_>>(), [4, 3, 2]);
    let report = history(&repository, 1).await.unwrap().to_string();
    assert_eq!(
        report,
        "2023-11-14T22:13:20Z version 4 after 3 by a3: more slots\\u{1b}[2J (checksum sum-a3)"
    );
}

/// Guards against a lost update when two operators concurrently publish from the same base version.
#[compio::test]
async fn one_of_two_concurrent_changes_is_accepted() {
    let harness = Harness::start().await;
    let repository = repository(&harness);
    repository.publish(&publication(0, "first")).await.unwrap();
    let (athens, kuala_lumpur) = (publication(1, "athens"), publication(1, "kl"));
    let results = futures::join!(accept(&repository, &athens), accept(&repository, &kuala_lumpur));
    let reports = [results.0.unwrap(), results.1.unwrap()];
    let accepted = reports.iter().filter(|report| report.is_accepted()).count();
    assert_eq!(accepted, 1, "{reports:?}");
    let winner = repository.history(1).await.unwrap().remove(0).author;
    let loser = reports.iter().find(|report| !report.is_accepted()).unwrap().to_string();
    for text in ["not accepted: version 2 is in force", "by athens:", "by kl:"] {
        assert!(loser.contains(text), "{loser}");
    }
    assert_eq!(repository.read(2).await.unwrap().checksum, format!("sum-{winner}"));
    assert_eq!(stored_publications(&harness.handle()), ["1", "2"]);
    let parts = harness.handle().keys("team/part/2-");
    assert_eq!(parts.len(), 2, "the rejected change leaves no parts");
}

/// Guards against publishing from an outdated base version, also if reads return stale data.
#[compio::test]
async fn an_outdated_change_is_rejected_despite_stale_reads() {
    let harness = Harness::start().await;
    let repository = repository(&harness);
    repository.publish(&publication(0, "a")).await.unwrap();
    harness.handle().serve_stale_reads();
    repository.publish(&publication(1, "b")).await.unwrap();
    assert_eq!(repository.read_head().await.unwrap().unwrap().version, 1, "the read is stale");
    let outcome = repository.publish(&publication(1, "c")).await.unwrap();
    let PublishOutcome::Conflict { current, change } = outcome else { panic!("{outcome:?}") };
    assert_eq!((current.unwrap().version, change.unwrap().author), (2, "b".into()));
}

/// Guards against reporting a lost response as a failure, or as a conflict of a publication with
/// itself.
#[compio::test]
async fn lost_responses_are_resolved() {
    let faults = [
        Fault::LostResponses("team/unused/", 1),
        Fault::LostResponses("team/part/", 1),
        Fault::LostResponses("team/head", 1),
        Fault::LostRequests(2),
        Fault::MalformedResponse,
        // Timed out inside the store.
        Fault::Error(14),
    ];
    for fault in faults {
        let harness = Harness::start().await;
        let repository = repository(&harness);
        repository.publish(&publication(0, "a")).await.unwrap();
        harness.inject(fault).await;
        let outcome = repository.publish(&publication(1, "b")).await;
        assert_eq!(outcome, Ok(published(2)), "{fault:?}");
        assert_eq!(repository.read(2).await.unwrap().checksum, "sum-b", "{fault:?}");
        assert_eq!(stored_publications(&harness.handle()), ["1", "2"], "{fault:?}");
        assert_eq!(repository.history(10).await.unwrap().len(), 2, "{fault:?}");
    }
}

/// Guards against reporting a definite outcome when it is unknown, and against a change that comes
/// into force after it was reported as not accepted.
#[compio::test]
async fn an_unknown_outcome_can_be_determined() {
    // The first four calls read `head`, write the marker and write two parts.
    let cases: [(fn(&FakeStoreHandle), _); 2] = [
        (|handle| handle.drop_next_responses(3), Determination::Accepted),
        (|handle| handle.drop_calls(3), Determination::NotAccepted),
    ];
    for (fault, expected) in cases {
        let harness = Harness::start().await;
        let repository = repository(&harness);
        harness.handle().pass_calls(4);
        fault(&harness.handle());
        let report = accept(&repository, &publication(0, "a")).await.unwrap();
        let PublishOutcome::Unknown(unknown) = &report.outcome else {
            panic!("{expected:?}: {report:?}")
        };
        let printed = report.to_string();
        let id: UnknownPublication = printed.rsplit(' ').next().unwrap().parse().unwrap();
        assert_eq!(&id, unknown);
        let determined = determine(&repository, &id).await.unwrap();
        assert_eq!(determined.determination, expected);
        let again = determine(&repository, &id).await.unwrap();
        assert_eq!(again, determined, "a second time");
        let is_in_force = repository.read_head().await.unwrap().is_some();
        assert_eq!(is_in_force, expected == Determination::Accepted);
    }
}

/// Guards against a delayed transaction that updates `head` after its change was reported as not
/// accepted.
#[compio::test]
async fn a_delayed_head_update_has_no_effect_after_the_determination() {
    let harness = Harness::start().await;
    let short_timeout_store: Rc<dyn Store> = Rc::new(etcd_store(&harness.server, SHORT_TIMEOUT));
    let short_timeout_repository =
        ConfigurationRepository::new(short_timeout_store, "team").with_max_attempts(1, SHORT_DELAY);
    harness.handle().pass_calls(4);
    harness.handle().hold_next_call();
    let outcome = short_timeout_repository.publish(&publication(0, "a")).await.unwrap();
    let PublishOutcome::Unknown(unknown) = outcome else { panic!("{outcome:?}") };
    let repository = repository(&harness);
    let determined = repository.determine(&unknown).await.unwrap();
    assert_eq!(determined, Determination::NotAccepted);
    harness.handle().release_calls();
    wait_until("the delayed call", || harness.handle().held_calls() == 0).await;
    assert_eq!(repository.read_head().await.unwrap(), None);
    assert!(harness.handle().keys("team/").is_empty());
}

/// Guards against a failed publication that is reported as accepted or changes the version in
/// force.
#[compio::test]
async fn a_publication_in_an_outage_fails() {
    let harness = Harness::start().await;
    let repository = repository(&harness);
    repository.publish(&publication(0, "a")).await.unwrap();
    for outage in [Outage::Refuse, Outage::Close] {
        harness.handle().set_outage(outage).await;
        let result = repository.publish(&publication(1, "b")).await;
        assert!(matches!(result, Err(RepositoryError::Store(_))), "{result:?}");
        assert!(matches!(repository.read_head().await, Err(RepositoryError::Store(_))));
        harness.handle().set_outage(Outage::None).await;
    }
    assert_eq!(stored_publications(&harness.handle()), ["1"]);
    assert_eq!(repository.publish(&publication(1, "b")).await, Ok(published(2)));
}

/// Guards against keeping parts of aborted publications, against removing parts of publications
/// still in progress, and against a publication that comes into force without its parts.
#[compio::test]
async fn unused_parts_are_removed_after_an_hour() {
    let harness = Harness::start().await;
    let start = UNIX_EPOCH + Duration::from_secs(1_700_000_000);
    let failing = repository_at(&harness, start).with_max_attempts(1, SHORT_DELAY);
    harness.handle().pass_calls(3);
    harness.handle().drop_calls(2);
    failing.publish(&publication(0, "died")).await.unwrap_err();
    assert_eq!(harness.handle().keys("team/unused/").len(), 1);

    let before = repository_at(&harness, start + UNUSED_PARTS_RETENTION - Duration::from_millis(1));
    before.publish(&publication(0, "a")).await.unwrap();
    assert_eq!(harness.handle().keys("team/part/").len(), 3, "one part of the aborted publication");
    let after = repository_at(&harness, start + UNUSED_PARTS_RETENTION);
    after.publish(&publication(1, "b")).await.unwrap();
    assert!(harness.handle().keys("team/unused/").is_empty());
    assert_eq!(harness.handle().keys("team/part/").len(), 4);

    // The transaction that updates `head` is delayed while the parts are removed as unused.
    harness.handle().pass_calls(4);
    harness.handle().hold_next_call();
    let change = publication(2, "paused");
    let paused = after.publish(&change);
    let removal = async {
        wait_until("the held head update", || harness.handle().held_calls() == 1).await;
        for (marker, _) in harness.handle().keys("team/unused/") {
            harness.store.txn(Txn::new().with_then(delete(&marker))).await.unwrap();
        }
        harness.handle().release_calls();
    };
    let (result, ()) = futures::join!(paused, removal);
    assert_eq!(result, Err(RepositoryError::Expired));
    assert_eq!(after.read_head().await.unwrap().unwrap().version, 2);
}

/// Guards against a delayed marker of unused parts that is written after the parts came into force
/// and causes their removal an hour later.
#[compio::test]
async fn a_delayed_marker_does_not_remove_parts_in_force() {
    let harness = Harness::start().await;
    let short_timeout_store: Rc<dyn Store> = Rc::new(etcd_store(&harness.server, SHORT_TIMEOUT));
    let short_timeout_repository = ConfigurationRepository::new(short_timeout_store, "team")
        .with_max_attempts(100, SHORT_DELAY);
    harness.handle().pass_calls(1);
    harness.handle().hold_next_call();
    assert_eq!(short_timeout_repository.publish(&publication(0, "a")).await, Ok(published(1)));
    harness.handle().release_calls();
    wait_until("the delayed marker", || harness.handle().held_calls() == 0).await;
    let later = repository_at(&harness, SystemTime::now() + 2 * UNUSED_PARTS_RETENTION);
    assert_eq!(later.publish(&publication(1, "b")).await, Ok(published(2)));
    assert_eq!(later.read(1).await.unwrap().checksum, "sum-a");
    assert!(harness.handle().keys("team/unused/").is_empty());
    assert_eq!(later.publish(&publication(2, "c")).await, Ok(published(3)));
    assert_eq!(stored_publications(&harness.handle()), ["2", "3"]);
}

/// Guards against using damaged values or values of a newer format, and against reusing version
/// numbers.
#[compio::test]
async fn unusable_values_are_rejected() {
    let harness = Harness::start().await;
    let repository = repository(&harness);
    repository.publish(&publication(0, "a")).await.unwrap();
    let newer = b"cactustrack/2 whatever
{}"
    .to_vec();
    let valid = harness.handle().keys("team/head")[0].1.clone();
    // Valid JSON, but the checksum of the configuration differs.
    let changed = String::from_utf8(valid.clone()).unwrap().replace("sum-a", "sum-z").into_bytes();
    assert_ne!(changed, valid);
    let cases = [newer.clone(), changed, valid[..valid.len() - 1].to_vec(), encode_value(b"[]")];
    for value in cases {
        harness.handle().put("team/head", &value);
        let is_newer = value == newer;
        for result in [
            repository.read_head().await.map(drop),
            repository.read(1).await.map(drop),
            repository.history(1).await.map(drop),
            repository.publish(&publication(1, "b")).await.map(drop),
        ] {
            let Err(RepositoryError::Value { error, .. }) = result else { panic!("{result:?}") };
            assert_eq!(error == ValueError::NewerFormat { found: 2 }, is_newer, "{error}");
        }
        assert_eq!(harness.handle().keys("team/head")[0].1, value, "the value is unchanged");
    }
    harness.handle().put("team/head", &valid);
    let (part, value) = harness.handle().keys("team/part/1-").remove(1);
    harness.handle().put(&part, &value[..value.len() - 1]);
    let result = repository.read(1).await;
    assert!(matches!(result, Err(RepositoryError::Value { .. })), "{result:?}");
    let delete_head = Txn::new().with_then(delete("team/head"));
    harness.store.txn(delete_head).await.unwrap();
    let result = repository.publish(&publication(0, "b")).await;
    assert!(matches!(result, Err(RepositoryError::Value { .. })), "{result:?}");
    assert_eq!(stored_publications(&harness.handle()), ["1"]);
}

/// Guards against values above the size limit of the store, which would fail after other parts were
/// written.
#[compio::test]
async fn sizes_are_checked_before_anything_is_written() {
    let harness = Harness::start().await;
    let repository = repository(&harness);
    let cases = [vec![], vec![vec![0; MAX_PART_BYTES + 1]], vec![vec![]; 65]];
    for parts in cases {
        let result = repository.publish(&Publication { parts, ..publication(0, "a") }).await;
        assert!(matches!(result, Err(RepositoryError::TooLarge { .. })), "{result:?}");
    }
    assert_eq!(harness.handle().counters().writes, 0);
    let parts = vec![vec![7; MAX_PART_BYTES]; 2];
    let large = Publication { parts: parts.clone(), ..publication(0, "a") };
    assert_eq!(repository.publish(&large).await, Ok(published(1)));
    assert_eq!(repository.read(1).await.unwrap().parts, parts);
}
