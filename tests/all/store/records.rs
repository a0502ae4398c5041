//! Idempotency records under faults of the store.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use cactustrack_store::{
    Claim, ClaimOutcome, IdempotencyRecords, LEASE_SHARING_PERIOD, RECORD_LIFE, RecordState,
    RecordsConfig, Store, StoreIdempotencyRecords, encode_value,
};
use cactustrack_test_support::store::{FakeStoreHandle, Outage};

use super::support::{AMPLE, BRIEF, Fault, Fixture, adapter, claim, eventually};

fn config() -> RecordsConfig {
    RecordsConfig {
        claim_budget: AMPLE,
        first_backoff: Duration::from_millis(1),
        max_backoff: Duration::from_millis(4),
        late_write_window: Duration::from_millis(1),
        ..RecordsConfig::default()
    }
}

fn records_with(fixture: &Fixture, cfg: RecordsConfig) -> StoreIdempotencyRecords {
    let store: Rc<dyn Store> = fixture.store.clone();
    StoreIdempotencyRecords::new(store, "team", cfg)
}

fn records(fixture: &Fixture) -> StoreIdempotencyRecords {
    records_with(fixture, config())
}

const RUNNING: ClaimOutcome = ClaimOutcome::Held(RecordState::Running);

fn completed(status: u16) -> ClaimOutcome {
    ClaimOutcome::Held(RecordState::Completed { status })
}

fn stored(handle: &FakeStoreHandle) -> usize {
    handle.keys("team/idem/").len()
}

/// Guards against a request that is executed twice, through one instance or several.
#[compio::test]
async fn a_key_is_granted_once() {
    let fixture = Fixture::start().await;
    let (one, other) = (records(&fixture), records(&fixture));
    let (a, b) = (claim("k", "a"), claim("k", "b"));
    let results = futures::join!(one.claim(&a), other.claim(&b));
    let results = [results.0.unwrap(), results.1.unwrap()];
    assert!(results.contains(&ClaimOutcome::Granted) && results.contains(&RUNNING), "{results:?}");
    let owner = if results[0] == ClaimOutcome::Granted { &a } else { &b };
    let changed = Claim { fingerprint: "POST /purge".into(), ..claim("k", "c") };
    assert_eq!(other.claim(&changed).await, Ok(ClaimOutcome::Mismatch));
    one.complete(owner, 201);
    assert!(one.flush(AMPLE).await);
    assert_eq!(other.claim(&claim("k", "d")).await, Ok(completed(201)));
    assert_eq!(other.claim(&changed).await, Ok(ClaimOutcome::Mismatch));
    // Same characters, split differently.
    let elsewhere = Claim { account: "nightlyk".into(), key: String::new(), ..claim("", "e") };
    assert_eq!(other.claim(&elsewhere).await, Ok(ClaimOutcome::Granted));
}

/// Guards against a key that stays taken although its request was not run.
#[compio::test]
async fn a_released_key_is_free() {
    let fixture = Fixture::start().await;
    let records = records(&fixture);
    let first = claim("k", "a");
    assert_eq!(records.claim(&first).await, Ok(ClaimOutcome::Granted));
    records.release(&first);
    assert!(records.flush(AMPLE).await);
    assert_eq!(records.claim(&claim("k", "b")).await, Ok(ClaimOutcome::Granted));
}

/// Guards against a claim whose lost answer is taken for a claim of someone else, against a
/// completion or release that is lost with its answer, and against waiting without bound.
#[compio::test]
async fn lost_answers_are_resolved() {
    let faults = [
        Fault::LostAnswers("team/idem/", 3),
        Fault::LostCalls(2),
        Fault::GarbledAnswer,
        // Timed out inside the store.
        Fault::Error(14),
    ];
    for fault in faults {
        let fixture = Fixture::start().await;
        let (records, other) = (records(&fixture), records(&fixture));
        let (done, freed) = (claim("done", "a"), claim("freed", "b"));
        for claim in [&done, &freed] {
            fixture.inject(fault).await;
            assert_eq!(records.claim(claim).await, Ok(ClaimOutcome::Granted), "{fault:?}");
            assert_eq!(
                other.claim(&Claim { claim_id: "x".into(), ..claim.clone() }).await,
                Ok(RUNNING),
                "{fault:?}"
            );
        }
        fixture.inject(fault).await;
        records.complete(&done, 200);
        assert!(records.flush(AMPLE).await);
        fixture.inject(fault).await;
        records.release(&freed);
        assert!(records.flush(AMPLE).await);
        assert_eq!(other.claim(&claim("done", "c")).await, Ok(completed(200)), "{fault:?}");
        assert_eq!(other.claim(&claim("freed", "d")).await, Ok(ClaimOutcome::Granted));
        let stats = records.stats();
        assert_eq!((stats.completed, stats.released, stats.dropped), (1, 1, 0), "{fault:?}");
    }
}

/// Guards against dispatching without a record, and against a key that stays taken after its
/// request was rejected as not run.
#[compio::test]
async fn an_undecided_claim_is_released() {
    let fixture = Fixture::start().await;
    let records = records_with(&fixture, RecordsConfig { claim_budget: BRIEF, ..config() });
    // Gets a lease, however long a call takes on this machine.
    while records.claim(&claim("other", "a")).await.is_err() {}
    let released = records.stats().released;
    fixture.handle().drop_next_responses(100_000);
    records.claim(&claim("k", "b")).await.unwrap_err();
    fixture.handle().clear_call_faults();
    eventually("the release", || records.stats().released > released).await;
    assert_eq!(stored(&fixture.handle()), 1);
}

/// Guards against a claim that is written after it was released, because its call was held up.
#[compio::test]
async fn a_late_claim_is_released() {
    let fixture = Fixture::start().await;
    let late_write_window = Duration::from_millis(250);
    let hasty = RecordsConfig { claim_budget: BRIEF, late_write_window, ..config() };
    let patient = RecordsConfig { late_write_window, ..config() };
    let brief: Rc<dyn Store> = Rc::new(adapter(&fixture.server, BRIEF));
    let cases = [
        ("rejected", records_with(&fixture, hasty)),
        ("granted by a repetition", StoreIdempotencyRecords::new(brief, "team", patient)),
    ];
    for (name, records) in cases {
        while records.claim(&claim(name, "a")).await.is_err() {}
        let keys = stored(&fixture.handle());
        for attempt in 0.. {
            let late = claim(&format!("{name} {attempt}"), "b");
            let released = records.stats().released;
            fixture.handle().hold_next_call();
            if records.claim(&late).await.is_ok() {
                records.release(&late);
            }
            eventually("the release", || records.stats().released > released).await;
            let writes = fixture.handle().counters().writes;
            fixture.handle().release_calls();
            eventually("the late write", || fixture.handle().held_calls() == 0).await;
            // On a machine that stalls, the second look may come before the late write.
            if fixture.handle().counters().writes == writes {
                break;
            }
        }
        eventually(name, || stored(&fixture.handle()) <= keys).await;
    }
}

/// Guards against a call that is held up, is repeated meanwhile, and does harm when it arrives.
#[compio::test]
async fn slow_calls_are_repeated() {
    let fixture = Fixture::start().await;
    let brief: Rc<dyn Store> = Rc::new(adapter(&fixture.server, BRIEF));
    let records = StoreIdempotencyRecords::new(brief, "team", config());
    records.claim(&claim("lease", "a")).await.unwrap();
    let done = claim("done", "b");
    fixture.handle().hold_next_call();
    assert_eq!(records.claim(&done).await, Ok(ClaimOutcome::Granted));
    fixture.handle().hold_next_call();
    records.complete(&done, 200);
    assert!(records.flush(AMPLE).await);
    fixture.handle().release_calls();
    eventually("the late calls", || fixture.handle().held_calls() == 0).await;
    assert_eq!(records.claim(&claim("done", "c")).await, Ok(completed(200)));
}

/// Guards against a claim that nobody releases because its caller went away.
#[compio::test]
async fn an_abandoned_claim_is_released() {
    let fixture = Fixture::start().await;
    let records = records(&fixture);
    records.claim(&claim("other", "a")).await.unwrap();
    fixture.handle().set_delay_after_effect(AMPLE);
    let abandoned = claim("k", "b");
    let written = eventually("the write", || stored(&fixture.handle()) == 2);
    futures::future::select(records.claim(&abandoned), std::pin::pin!(written)).await;
    fixture.handle().set_delay_after_effect(Duration::ZERO);
    eventually("the release", || stored(&fixture.handle()) == 1).await;
}

/// Guards against a long wait for a store that is gone, and against completions and releases that
/// are lost in an outage.
#[compio::test]
async fn an_outage_delays_completions_and_releases() {
    let fixture = Fixture::start().await;
    let records = records_with(&fixture, RecordsConfig { queue_capacity: 2, ..config() });
    let claims = [claim("1", "a"), claim("2", "b"), claim("3", "c")];
    for claim in &claims {
        records.claim(claim).await.unwrap();
    }
    fixture.handle().set_outage(Outage::Refuse).await;
    records.complete(&claims[0], 200);
    records.release(&claims[1]);
    records.complete(&claims[2], 200);
    // One more than fits into the queue: the record stays `running`, which is safe.
    let stats = records.stats();
    assert_eq!((stats.pending, stats.dropped), (2, 1));
    eventually("a retry", || records.stats().retries >= 4).await;
    let error = records.claim(&claim("4", "d")).await.unwrap_err();
    assert!(error.to_string().contains("cannot be"), "{error}");
    assert!(!records.flush(BRIEF).await);
    fixture.handle().set_outage(Outage::None).await;
    assert!(records.flush(AMPLE).await);
    let outcomes = [completed(200), ClaimOutcome::Granted, RUNNING];
    for (key, expected) in ["1", "2", "3"].iter().zip(outcomes) {
        assert_eq!(records.claim(&claim(key, "x")).await, Ok(expected), "{key}");
    }
}

/// Guards against an instance that was paused until its record expired and then overwrites or
/// deletes the record of another instance.
#[compio::test]
async fn a_resumed_instance_leaves_records_of_others() {
    let fixture = Fixture::start().await;
    let (paused, other) = (records(&fixture), records(&fixture));
    for finish in ["complete", "release"] {
        let old = claim(finish, "old");
        paused.claim(&old).await.unwrap();
        fixture.handle().expire_all_leases();
        let new = claim(finish, "new");
        assert_eq!(other.claim(&new).await, Ok(ClaimOutcome::Granted));
        match finish {
            "complete" => paused.complete(&old, 500),
            _ => paused.release(&old),
        }
        assert!(paused.flush(AMPLE).await);
        assert_eq!(paused.claim(&claim(finish, "third")).await, Ok(RUNNING), "{finish}");
        other.complete(&new, 200);
        assert!(other.flush(AMPLE).await);
        assert_eq!(paused.claim(&claim(finish, "third")).await, Ok(completed(200)), "{finish}");
    }
    assert_eq!((paused.stats().not_own, paused.stats().completed), (2, 0));
}

/// Guards against a record that is missing after its lease lapsed early, with the request done.
#[compio::test]
async fn a_completion_survives_a_lapsed_lease() {
    let fixture = Fixture::start().await;
    let records = records(&fixture);
    let first = claim("k", "a");
    records.claim(&first).await.unwrap();
    fixture.handle().expire_all_leases();
    records.complete(&first, 200);
    assert!(records.flush(AMPLE).await);
    assert_eq!(records.claim(&claim("k", "b")).await, Ok(completed(200)));
}

/// Guards against a grant that is used after a pause in which the record may have expired.
#[compio::test]
async fn a_grant_that_is_seen_late_is_no_grant() {
    let fixture = Fixture::start().await;
    let now = Rc::new(Cell::new(SystemTime::now()));
    let clock = now.clone();
    let cfg = RecordsConfig { clock: Rc::new(move || clock.get()), ..config() };
    let records = records_with(&fixture, cfg);
    records.claim(&claim("other", "a")).await.unwrap();
    fixture.handle().hold_next_call();
    let pause = async {
        eventually("the held call", || fixture.handle().held_calls() == 1).await;
        now.set(now.get() + RECORD_LIFE);
        fixture.handle().release_calls();
    };
    let late = claim("k", "b");
    let (result, ()) = futures::join!(records.claim(&late), pause);
    result.unwrap_err();
    eventually("the release", || stored(&fixture.handle()) == 1).await;
}

/// Guards against a lease for every record, and against a record that lives less than a day.
#[compio::test]
async fn records_of_an_hour_share_a_lease() {
    let fixture = Fixture::start().await;
    let now = Rc::new(Cell::new(SystemTime::now()));
    let clock = now.clone();
    let cfg = RecordsConfig { clock: Rc::new(move || clock.get()), ..config() };
    let records = records_with(&fixture, cfg);
    let (a, b) = (claim("1", "a"), claim("2", "b"));
    let (first, second) = futures::join!(records.claim(&a), records.claim(&b));
    assert_eq!((first, second), (Ok(ClaimOutcome::Granted), Ok(ClaimOutcome::Granted)));
    now.set(now.get() + LEASE_SHARING_PERIOD - Duration::from_secs(1));
    records.claim(&claim("3", "c")).await.unwrap();
    let leases = fixture.handle().state().leases();
    assert_eq!(leases.len(), 1);
    now.set(now.get() + Duration::from_secs(1));
    records.claim(&claim("4", "d")).await.unwrap();
    assert_eq!(fixture.handle().state().leases().len(), 2);
    let life = fixture.store.keep_lease_alive(leases[0]).await.unwrap();
    assert_eq!(life, RECORD_LIFE + LEASE_SHARING_PERIOD);
    records.complete(&a, 200);
    assert!(records.flush(AMPLE).await);
    fixture.handle().expire_all_leases();
    assert_eq!(stored(&fixture.handle()), 0, "completed records expire as well");
}

/// Guards against an unreadable record that is taken for a free key.
#[compio::test]
async fn an_unreadable_record_is_no_grant() {
    let fixture = Fixture::start().await;
    let records = records(&fixture);
    records.claim(&claim("k", "a")).await.unwrap();
    let key = fixture.handle().keys("team/idem/")[0].0.clone();
    for value in [b"cactustrack/2 x\n{}".to_vec(), vec![], encode_value(b"{}")] {
        fixture.handle().put(&key, &value);
        records.claim(&claim("k", "b")).await.unwrap_err();
        assert_eq!(fixture.handle().keys(&key)[0].1, value);
    }
}
