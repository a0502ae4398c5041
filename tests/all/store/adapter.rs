//! The adapter: calls, the split of errors, and watches.

use std::time::Duration;

use cactustrack_store::{EtcdStore, Operation, OperationReply, Store, StoreError, Txn};
use cactustrack_test_support::store::{FakeStore, Outage};

use super::support::{AMPLE, BRIEF, Fault, Fixture, absent, adapter, eventually, put, put_txn};

/// Guards against a request or reply that does not follow the published mapping.
#[compio::test]
async fn calls_round_trip() {
    let fixture = Fixture::start().await;
    let store = &fixture.store;
    assert!(store.range("a", None).await.unwrap().is_empty());
    let lease = store.grant_lease(Duration::from_millis(59_001)).await.unwrap();
    let txn = Txn::new()
        .with_compare(absent("a/1"))
        .with_then(put("a/1", b"\x00\xff", lease))
        .with_then(put("a/2", b"", 0))
        .with_otherwise(Operation::Range { key: "a/1".into(), end: None });
    let first = store.txn(txn.clone()).await.unwrap();
    assert!(first.succeeded);
    assert_eq!(first.replies, [OperationReply::Put, OperationReply::Put]);
    let second = store.txn(txn).await.unwrap();
    let found = store.range("a/", Some("a0")).await.unwrap();
    assert_eq!(second.replies, [OperationReply::Range(vec![found[0].clone()])]);
    assert_eq!((found.len(), found[0].lease, &found[0].value[..]), (2, lease, &b"\x00\xff"[..]));
    assert_eq!(found[1].mod_revision, first.revision);
    assert_eq!(store.keep_lease_alive(lease).await.unwrap(), Duration::from_secs(60));
    fixture.handle().expire_lease(lease);
    assert_eq!(store.keep_lease_alive(lease).await.unwrap(), Duration::ZERO);
    assert!(store.range("a/1", None).await.unwrap().is_empty());
}

#[derive(Debug, PartialEq)]
enum Kind {
    Unreachable,
    NoAnswer,
    Refused,
}

fn kind<T: std::fmt::Debug>(result: Result<T, StoreError>) -> Kind {
    match result.expect_err("the call must fail") {
        StoreError::Unreachable { .. } => Kind::Unreachable,
        StoreError::NoAnswer { .. } => Kind::NoAnswer,
        StoreError::Refused { .. } => Kind::Refused,
    }
}

/// Guards against reporting "nothing was written" where a write may have taken effect.
#[compio::test]
async fn errors_tell_whether_a_write_is_possible() {
    struct Case {
        fault: Fault,
        expected: Kind,
        is_written: bool,
    }
    let cases = [
        Case {
            fault: Fault::Outage(Outage::Refuse),
            expected: Kind::Unreachable,
            is_written: false,
        },
        Case { fault: Fault::Outage(Outage::Close), expected: Kind::NoAnswer, is_written: false },
        Case { fault: Fault::LostAnswers("k", 1), expected: Kind::NoAnswer, is_written: true },
        Case { fault: Fault::LostCalls(1), expected: Kind::NoAnswer, is_written: false },
        Case { fault: Fault::GarbledAnswer, expected: Kind::NoAnswer, is_written: true },
        // Invalid requests are refused before any effect.
        Case { fault: Fault::Error(3), expected: Kind::Refused, is_written: false },
        // A request that timed out inside the store may still be applied.
        Case { fault: Fault::Error(14), expected: Kind::NoAnswer, is_written: false },
    ];
    for Case { fault, expected, is_written } in cases {
        let fixture = Fixture::start().await;
        fixture.inject(fault).await;
        assert_eq!(kind(fixture.store.txn(put_txn("k", b"v")).await), expected, "{fault:?}");
        assert_eq!(!fixture.handle().keys("k").is_empty(), is_written, "{fault:?}");
        fixture.handle().set_outage(Outage::None).await;
        assert!(fixture.store.txn(put_txn("k", b"v")).await.is_ok(), "{fault:?}: next call");
    }
}

/// Guards against a slow store that holds up its callers without bound.
#[compio::test]
async fn a_slow_call_ends_and_its_write_may_come_late() {
    let server = FakeStore::start().await.unwrap();
    let store = adapter(&server, BRIEF);
    server.handle().hold_calls();
    assert_eq!(kind(store.txn(put_txn("k", b"v")).await), Kind::NoAnswer);
    assert!(server.handle().keys("k").is_empty());
    server.handle().release_calls();
    eventually("the late write", || !server.handle().keys("k").is_empty()).await;
}

/// Guards against an unbounded reply.
#[compio::test]
async fn a_large_reply_is_refused() {
    let server = FakeStore::start().await.unwrap();
    let store = adapter(&server, AMPLE).with_max_reply_bytes(4096);
    server.handle().put("k", &[0; 8192]);
    assert_eq!(kind(store.range("k", None).await), Kind::NoAnswer);
}

/// Guards against a single endpoint that takes the adapter down with it, and against a second
/// endpoint that gets a write which the first may have applied.
#[compio::test]
async fn endpoints_are_tried_in_turn() {
    let (a, b) = (FakeStore::start().await.unwrap(), FakeStore::start().await.unwrap());
    let store = EtcdStore::new(&[a.url(), b.url()]).unwrap().with_call_timeout(AMPLE);
    a.handle().set_outage(Outage::Refuse).await;
    store.txn(put_txn("k", b"1")).await.unwrap();
    assert_eq!(b.handle().keys("k").len(), 1);
    a.handle().set_outage(Outage::None).await;
    b.handle().drop_responses("k", 1);
    assert_eq!(kind(store.txn(put_txn("k", b"2")).await), Kind::NoAnswer);
    assert_eq!(a.handle().counters().writes, 0);
    store.range("k", None).await.unwrap();
    a.handle().drop_calls(1);
    store.range("k", None).await.unwrap();
    a.handle().set_outage(Outage::Refuse).await;
    b.handle().set_outage(Outage::Refuse).await;
    assert_eq!(kind(store.txn(put_txn("k", b"3")).await), Kind::Unreachable);
}

/// Guards against missed changes, an endless wait, and a watch that stays open in the store
/// after the instance abandoned it.
#[compio::test]
async fn watches_report_changes_and_can_be_abandoned() {
    let fixture = Fixture::start().await;
    let (store, handle) = (&fixture.store, fixture.handle());
    let revision = store.txn(put_txn("head", b"1")).await.unwrap().revision;
    // The store notices the end of a watch a moment after its client.
    let none_open = async || eventually("the end", || handle.counters().open_watches == 0).await;
    let events = store.watch("head", revision, AMPLE).await.unwrap();
    none_open().await;
    assert_eq!((events[0].revision, events.len()), (revision, 1));
    let quiet = store.watch("head", revision + 1, BRIEF);
    assert_eq!(compio::time::timeout(AMPLE, quiet).await.expect("a bounded wait"), Ok(vec![]));
    none_open().await;

    let change = async {
        eventually("the watch", || handle.counters().watches == 3).await;
        handle.put("other", b"");
        handle.put("head", b"2");
    };
    let watch = store.watch("head", revision + 1, AMPLE);
    let (events, ()) = futures::join!(watch, change);
    assert_eq!(events.unwrap()[0].value.as_ref().unwrap().value, b"2");
    none_open().await;

    drop(compio::time::timeout(BRIEF, store.watch("none", 0, AMPLE)).await);
    none_open().await;
    assert_eq!(handle.counters().max_open_watches, 1);
}

/// Guards against a watch that hangs or reports "no change" when the store goes away.
#[compio::test]
async fn a_watch_ends_with_an_error_in_an_outage() {
    let fixture = Fixture::start().await;
    let handle = fixture.handle();
    let outage = async {
        eventually("the watch", || handle.counters().open_watches == 1).await;
        handle.set_outage(Outage::Refuse).await;
    };
    let (watch, ()) = futures::join!(fixture.store.watch("head", 0, AMPLE), outage);
    assert_eq!(kind(watch), Kind::NoAnswer);
    assert_eq!(kind(fixture.store.watch("head", 0, AMPLE).await), Kind::Unreachable);
}

/// Guards against a stand-in that serves only the runtime that started it.
#[compio::test]
async fn the_stand_in_runs_on_its_own_thread() {
    let thread = FakeStore::spawn_thread().unwrap();
    // A new adapter each time: one that holds a connection from before the outage may have to
    // report `NoAnswer`.
    let store = || EtcdStore::new(&[thread.url()]).unwrap().with_call_timeout(AMPLE);
    store().txn(put_txn("k", b"v")).await.unwrap();
    thread.handle().set_outage_blocking(Outage::Refuse);
    assert_eq!(kind(store().range("k", None).await), Kind::Unreachable);
    thread.handle().set_outage_blocking(Outage::None);
    assert_eq!(store().range("k", None).await.unwrap().len(), 1);
}
