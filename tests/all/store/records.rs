//! Idempotency records under faults of the store.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use cactustrack_store::{
    Claim, ClaimOutcome, IdempotencyRecords, LEASE_SHARING_PERIOD, MIN_RECORD_TTL, RecordState,
    RecordsConfig, Store, StoreIdempotencyRecords, encode_value,
};
use cactustrack_test_support::store::{FakeStoreHandle, Outage};

use super::support::{Fault, Harness, LONG_TIMEOUT, SHORT_TIMEOUT, claim, etcd_store, wait_until};

fn config() -> RecordsConfig {
    RecordsConfig {
        claim_timeout: LONG_TIMEOUT,
        initial_backoff: Duration::from_millis(1),
        max_backoff: Duration::from_millis(4),
        late_write_window: Duration::from_millis(1),
        ..RecordsConfig::default()
    }
}

fn records_with(harness: &Harness, cfg: RecordsConfig) -> StoreIdempotencyRecords {
    let store: Rc<dyn Store> = harness.store.clone();
    StoreIdempotencyRecords::new(store, "team", cfg)
}

fn records(harness: &Harness) -> StoreIdempotencyRecords {
    records_with(harness, config())
}

const RUNNING: ClaimOutcome = ClaimOutcome::Held(RecordState::Running);

fn completed(status: u16) -> ClaimOutcome {
    ClaimOutcome::Held(RecordState::Completed { status })
}

fn stored(handle: &FakeStoreHandle) -> usize {
    handle.keys("team/idem/").len()
}

/// Guards against granting a key twice, through one instance or several.
#[compio::test]
async fn a_key_is_granted_once() {
    let harness = Harness::start().await;
    let (one, other) = (records(&harness), records(&harness));
    let (a, b) = (claim("k", "a"), claim("k", "b"));
    let results = futures::join!(one.claim(&a), other.claim(&b));
    let results = [results.0.unwrap(), results.1.unwrap()];
    assert!(results.contains(&ClaimOutcome::Granted) && results.contains(&RUNNING), "{results:?}");
    let owner = if results[0] == ClaimOutcome::Granted { &a } else { &b };
    let changed = Claim { fingerprint: "POST /purge".into(), ..claim("k", "c") };
    assert_eq!(other.claim(&changed).await, Ok(ClaimOutcome::Mismatch));
    one.complete(owner, 201);
    assert!(one.flush(LONG_TIMEOUT).await);
    assert_eq!(other.claim(&claim("k", "d")).await, Ok(completed(201)));
    assert_eq!(other.claim(&changed).await, Ok(ClaimOutcome::Mismatch));
    // Same characters, split differently.
    let elsewhere = Claim { account: "nightlyk".into(), key: String::new(), ..claim("", "e") };
    assert_eq!(other.claim(&elsewhere).await, Ok(ClaimOutcome::Granted));
}

/// Guards against a key that stays taken although its request was not executed.
#[compio::test]
async fn a_released_key_is_free() {
    let harness = Harness::start().await;
    let records = records(&harness);
    let first = claim("k", "a");
    assert_eq!(records.claim(&first).await, Ok(ClaimOutcome::Granted));
    records.release(&first);
    assert!(records.flush(LONG_TIMEOUT).await);
    assert_eq!(records.claim(&claim("k", "b")).await, Ok(ClaimOutcome::Granted));
}

/// Guards against a claim that, after a lost response, is treated as the claim of another request,
/// against losing a completion or release with its response, and against waiting without bound.
#[compio::test]
async fn lost_responses_are_resolved() {
    let faults = [
        Fault::LostResponses("team/idem/", 3),
        Fault::LostRequests(2),
        Fault::MalformedResponse,
        // Timed out inside the store.
        Fault::Error(14),
    ];
    for fault in faults {
        let harness = Harness::start().await;
        let (records, other) = (records(&harness), records(&harness));
        let (done, freed) = (claim("done", "a"), claim("freed", "b"));
        for claim in [&done, &freed] {
            harness.inject(fault).await;
            assert_eq!(records.claim(claim).await, Ok(ClaimOutcome::Granted), "{fault:?}");
            assert_eq!(
                other.claim(&Claim { claim_id: "x".into(), ..claim.clone() }).await,
                Ok(RUNNING),
                "{fault:?}"
            );
        }
        harness.inject(fault).await;
        records.complete(&done, 200);
        assert!(records.flush(LONG_TIMEOUT).await);
        harness.inject(fault).await;
        records.release(&freed);
        assert!(records.flush(LONG_TIMEOUT).await);
        assert_eq!(other.claim(&claim("done", "c")).await, Ok(completed(200)), "{fault:?}");
        assert_eq!(other.claim(&claim("freed", "d")).await, Ok(ClaimOutcome::Granted));
        let stats = records.stats();
        assert_eq!((stats.completed, stats.released, stats.dropped), (1, 1, 0), "{fault:?}");
    }
}

/// Guards against dispatching without a record, and against a key that stays taken after its
/// request was rejected as not executed.
#[compio::test]
async fn a_claim_of_unknown_outcome_is_released() {
    let harness = Harness::start().await;
    let records =
        records_with(&harness, RecordsConfig { claim_timeout: SHORT_TIMEOUT, ..config() });
    // Retries until a lease is granted, since a call may exceed the timeout on a slow machine.
    while records.claim(&claim("other", "a")).await.is_err() {}
    let released = records.stats().released;
    harness.handle().drop_next_responses(100_000);
    records.claim(&claim("k", "b")).await.unwrap_err();
    harness.handle().clear_call_faults();
    wait_until("the release", || records.stats().released > released).await;
    assert_eq!(stored(&harness.handle()), 1);
}

/// Guards against a record left by a claim whose delayed call is applied after its release.
#[compio::test]
async fn a_claim_written_late_is_released() {
    let harness = Harness::start().await;
    let late_write_window = Duration::from_millis(250);
    let short_claim_timeout =
        RecordsConfig { claim_timeout: SHORT_TIMEOUT, late_write_window, ..config() };
    let long_claim_timeout = RecordsConfig { late_write_window, ..config() };
    let short_timeout_store: Rc<dyn Store> = Rc::new(etcd_store(&harness.server, SHORT_TIMEOUT));
    let cases = [
        ("rejected", records_with(&harness, short_claim_timeout)),
        (
            "granted by a retry",
            StoreIdempotencyRecords::new(short_timeout_store, "team", long_claim_timeout),
        ),
    ];
    for (name, records) in cases {
        while records.claim(&claim(name, "a")).await.is_err() {}
        let keys = stored(&harness.handle());
        for attempt in 0.. {
            let late = claim(&format!("{name} {attempt}"), "b");
            let released = records.stats().released;
            harness.handle().hold_next_call();
            if records.claim(&late).await.is_ok() {
                records.release(&late);
            }
            wait_until("the release", || records.stats().released > released).await;
            let writes = harness.handle().counters().writes;
            harness.handle().release_calls();
            wait_until("the late write", || harness.handle().held_calls() == 0).await;
            // If the machine stalls, the recheck may run before the late write: then try again.
            if harness.handle().counters().writes == writes {
                break;
            }
        }
        wait_until(name, || stored(&harness.handle()) <= keys).await;
    }
}

/// Guards against a delayed call that is retried and then overwrites the result of the retry.
#[compio::test]
async fn slow_calls_are_retried() {
    let harness = Harness::start().await;
    let short_timeout_store: Rc<dyn Store> = Rc::new(etcd_store(&harness.server, SHORT_TIMEOUT));
    let records = StoreIdempotencyRecords::new(short_timeout_store, "team", config());
    records.claim(&claim("lease", "a")).await.unwrap();
    let done = claim("done", "b");
    harness.handle().hold_next_call();
    assert_eq!(records.claim(&done).await, Ok(ClaimOutcome::Granted));
    harness.handle().hold_next_call();
    records.complete(&done, 200);
    assert!(records.flush(LONG_TIMEOUT).await);
    harness.handle().release_calls();
    wait_until("the late calls", || harness.handle().held_calls() == 0).await;
    assert_eq!(records.claim(&claim("done", "c")).await, Ok(completed(200)));
}

/// Guards against a claim that is not released because its future is dropped.
#[compio::test]
async fn a_dropped_claim_is_released() {
    let harness = Harness::start().await;
    let records = records(&harness);
    records.claim(&claim("other", "a")).await.unwrap();
    harness.handle().set_delay_after_effect(LONG_TIMEOUT);
    let abandoned = claim("k", "b");
    let written = wait_until("the write", || stored(&harness.handle()) == 2);
    futures::future::select(records.claim(&abandoned), std::pin::pin!(written)).await;
    harness.handle().set_delay_after_effect(Duration::ZERO);
    wait_until("the release", || stored(&harness.handle()) == 1).await;
}

/// Guards against waiting long for an unavailable store, and against losing completions and
/// releases in an outage.
#[compio::test]
async fn an_outage_delays_completions_and_releases() {
    let harness = Harness::start().await;
    let records = records_with(&harness, RecordsConfig { queue_capacity: 2, ..config() });
    let claims = [claim("1", "a"), claim("2", "b"), claim("3", "c")];
    for claim in &claims {
        records.claim(claim).await.unwrap();
    }
    harness.handle().set_outage(Outage::Refuse).await;
    records.complete(&claims[0], 200);
    records.release(&claims[1]);
    records.complete(&claims[2], 200);
    // The third job exceeds the queue capacity. Its record stays `running`, which is safe.
    let stats = records.stats();
    assert_eq!((stats.pending, stats.dropped), (2, 1));
    wait_until("a retry", || records.stats().retries >= 4).await;
    let error = records.claim(&claim("4", "d")).await.unwrap_err();
    assert!(error.to_string().contains("cannot be"), "{error}");
    assert!(!records.flush(SHORT_TIMEOUT).await);
    harness.handle().set_outage(Outage::None).await;
    assert!(records.flush(LONG_TIMEOUT).await);
    let outcomes = [completed(200), ClaimOutcome::Granted, RUNNING];
    for (key, expected) in ["1", "2", "3"].iter().zip(outcomes) {
        assert_eq!(records.claim(&claim(key, "x")).await, Ok(expected), "{key}");
    }
}

/// Guards against an instance that is paused until its record expires and then overwrites or
/// deletes the record of another instance.
#[compio::test]
async fn a_resumed_instance_does_not_change_records_of_others() {
    let harness = Harness::start().await;
    let (paused, other) = (records(&harness), records(&harness));
    for finish in ["complete", "release"] {
        let old = claim(finish, "old");
        paused.claim(&old).await.unwrap();
        harness.handle().expire_all_leases();
        let new = claim(finish, "new");
        assert_eq!(other.claim(&new).await, Ok(ClaimOutcome::Granted));
        match finish {
            "complete" => paused.complete(&old, 500),
            _ => paused.release(&old),
        }
        assert!(paused.flush(LONG_TIMEOUT).await);
        assert_eq!(paused.claim(&claim(finish, "third")).await, Ok(RUNNING), "{finish}");
        other.complete(&new, 200);
        assert!(other.flush(LONG_TIMEOUT).await);
        assert_eq!(paused.claim(&claim(finish, "third")).await, Ok(completed(200)), "{finish}");
    }
    assert_eq!((paused.stats().conflicts, paused.stats().completed), (2, 0));
}

/// Guards against a missing record of a completed request when its lease expired early.
#[compio::test]
async fn a_completion_is_recorded_after_the_lease_expired() {
    let harness = Harness::start().await;
    let records = records(&harness);
    let first = claim("k", "a");
    records.claim(&first).await.unwrap();
    harness.handle().expire_all_leases();
    records.complete(&first, 200);
    assert!(records.flush(LONG_TIMEOUT).await);
    assert_eq!(records.claim(&claim("k", "b")).await, Ok(completed(200)));
}

/// Guards against using a grant after a pause in which the record may have expired.
#[compio::test]
async fn a_grant_received_after_the_timeout_is_rejected() {
    let harness = Harness::start().await;
    let now = Rc::new(Cell::new(SystemTime::now()));
    let clock = now.clone();
    let cfg = RecordsConfig { clock: Rc::new(move || clock.get()), ..config() };
    let records = records_with(&harness, cfg);
    records.claim(&claim("other", "a")).await.unwrap();
    harness.handle().hold_next_call();
    let pause = async {
        wait_until("the held call", || harness.handle().held_calls() == 1).await;
        now.set(now.get() + MIN_RECORD_TTL);
        harness.handle().release_calls();
    };
    let late = claim("k", "b");
    let (result, ()) = futures::join!(records.claim(&late), pause);
    result.unwrap_err();
    wait_until("the release", || stored(&harness.handle()) == 1).await;
}

/// Guards against granting a lease for each record, and against records that expire within a day.
#[compio::test]
async fn records_written_within_an_hour_share_a_lease() {
    let harness = Harness::start().await;
    let now = Rc::new(Cell::new(SystemTime::now()));
    let clock = now.clone();
    let cfg = RecordsConfig { clock: Rc::new(move || clock.get()), ..config() };
    let records = records_with(&harness, cfg);
    let (a, b) = (claim("1", "a"), claim("2", "b"));
    let (first, second) = futures::join!(records.claim(&a), records.claim(&b));
    assert_eq!((first, second), (Ok(ClaimOutcome::Granted), Ok(ClaimOutcome::Granted)));
    now.set(now.get() + LEASE_SHARING_PERIOD - Duration::from_secs(1));
    records.claim(&claim("3", "c")).await.unwrap();
    let leases = harness.handle().state().leases();
    assert_eq!(leases.len(), 1);
    now.set(now.get() + Duration::from_secs(1));
    records.claim(&claim("4", "d")).await.unwrap();
    assert_eq!(harness.handle().state().leases().len(), 2);
    let lifetime = harness.store.keep_lease_alive(leases[0]).await.unwrap();
    assert_eq!(lifetime, MIN_RECORD_TTL + LEASE_SHARING_PERIOD);
    records.complete(&a, 200);
    assert!(records.flush(LONG_TIMEOUT).await);
    harness.handle().expire_all_leases();
    assert_eq!(stored(&harness.handle()), 0, "completed records expire as well");
}

/// Guards against treating the key of an unreadable record as free.
#[compio::test]
async fn an_unreadable_record_does_not_free_its_key() {
    let harness = Harness::start().await;
    let records = records(&harness);
    records.claim(&claim("k", "a")).await.unwrap();
    let key = harness.handle().keys("team/idem/")[0].0.clone();
    for value in [b"cactustrack/2 x\n{}".to_vec(), vec![], encode_value(b"{}")] {
        harness.handle().put(&key, &value);
        records.claim(&claim("k", "b")).await.unwrap_err();
        assert_eq!(harness.handle().keys(&key)[0].1, value);
    }
}
