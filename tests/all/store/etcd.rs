//! Calls, error classification and watches of `EtcdStore`.

use std::time::Duration;

use cactustrack_store::{EtcdStore, Operation, OperationResponse, Store, StoreError, Txn};
use cactustrack_test_support::store::{FakeStore, Outage};

use super::support::{
    Fault, Harness, LONG_TIMEOUT, SHORT_TIMEOUT, absent, etcd_store, put, put_txn, wait_until,
};

/// Guards against requests and responses that do not follow the JSON mapping of etcd.
#[compio::test]
async fn calls_round_trip() {
    let harness = Harness::start().await;
    let store = &harness.store;
    assert!(store.range("a", None).await.unwrap().is_empty());
    let lease = store.grant_lease(Duration::from_millis(59_001)).await.unwrap();
    let txn = Txn::new()
        .with_compare(absent("a/1"))
        .with_then(put("a/1", b"\x00\xff", lease))
        .with_then(put("a/2", b"", 0))
        .with_otherwise(Operation::Range { key: "a/1".into(), end: None });
    let first = store.txn(txn.clone()).await.unwrap();
    assert!(first.succeeded);
    assert_eq!(first.responses, [OperationResponse::Put, OperationResponse::Put]);
    let second = store.txn(txn).await.unwrap();
    let found = store.range("a/", Some("a0")).await.unwrap();
    assert_eq!(second.responses, [OperationResponse::Range(vec![found[0].clone()])]);
    assert_eq!((found.len(), found[0].lease, &found[0].value[..]), (2, lease, &b"\x00\xff"[..]));
    assert_eq!(found[1].mod_revision, first.revision);
    assert_eq!(store.keep_lease_alive(lease).await.unwrap(), Duration::from_secs(60));
    harness.handle().expire_lease(lease);
    assert_eq!(store.keep_lease_alive(lease).await.unwrap(), Duration::ZERO);
    assert!(store.range("a/1", None).await.unwrap().is_empty());
}

#[derive(Debug, PartialEq)]
enum ErrorKind {
    Unreachable,
    NoResponse,
    Rejected,
}

fn error_kind<T: std::fmt::Debug>(result: Result<T, StoreError>) -> ErrorKind {
    match result.expect_err("the call must fail") {
        StoreError::Unreachable { .. } => ErrorKind::Unreachable,
        StoreError::NoResponse { .. } => ErrorKind::NoResponse,
        StoreError::Rejected { .. } => ErrorKind::Rejected,
    }
}

/// Guards against errors that report "nothing was written" after a write that may have taken
/// effect.
#[compio::test]
async fn errors_state_whether_a_write_may_have_taken_effect() {
    struct Case {
        fault: Fault,
        expected: ErrorKind,
        is_written: bool,
    }
    let cases = [
        Case {
            fault: Fault::Outage(Outage::Refuse),
            expected: ErrorKind::Unreachable,
            is_written: false,
        },
        Case {
            fault: Fault::Outage(Outage::Close),
            expected: ErrorKind::NoResponse,
            is_written: false,
        },
        Case {
            fault: Fault::LostResponses("k", 1),
            expected: ErrorKind::NoResponse,
            is_written: true,
        },
        Case { fault: Fault::LostRequests(1), expected: ErrorKind::NoResponse, is_written: false },
        Case { fault: Fault::MalformedResponse, expected: ErrorKind::NoResponse, is_written: true },
        // Invalid requests are rejected before they take effect.
        Case { fault: Fault::Error(3), expected: ErrorKind::Rejected, is_written: false },
        // A request that timed out inside the store may still be applied.
        Case { fault: Fault::Error(14), expected: ErrorKind::NoResponse, is_written: false },
    ];
    for Case { fault, expected, is_written } in cases {
        let harness = Harness::start().await;
        harness.inject(fault).await;
        assert_eq!(error_kind(harness.store.txn(put_txn("k", b"v")).await), expected, "{fault:?}");
        assert_eq!(!harness.handle().keys("k").is_empty(), is_written, "{fault:?}");
        harness.handle().set_outage(Outage::None).await;
        assert!(harness.store.txn(put_txn("k", b"v")).await.is_ok(), "{fault:?}: next call");
    }
}

/// Guards against calls to a slow store that block without bound.
#[compio::test]
async fn a_slow_call_times_out_and_its_write_may_be_applied_later() {
    let server = FakeStore::start().await.unwrap();
    let store = etcd_store(&server, SHORT_TIMEOUT);
    server.handle().hold_calls();
    assert_eq!(error_kind(store.txn(put_txn("k", b"v")).await), ErrorKind::NoResponse);
    assert!(server.handle().keys("k").is_empty());
    server.handle().release_calls();
    wait_until("the late write", || !server.handle().keys("k").is_empty()).await;
}

/// Guards against reading a response of unbounded size.
#[compio::test]
async fn a_response_above_the_size_limit_is_rejected() {
    let server = FakeStore::start().await.unwrap();
    let store = etcd_store(&server, LONG_TIMEOUT).with_max_response_bytes(4096);
    server.handle().put("k", &[0; 8192]);
    assert_eq!(error_kind(store.range("k", None).await), ErrorKind::NoResponse);
}

/// Guards against calls that fail because one of several endpoints is down, and against sending a
/// write to a second endpoint after the first may have applied it.
#[compio::test]
async fn endpoints_are_tried_in_turn() {
    let (a, b) = (FakeStore::start().await.unwrap(), FakeStore::start().await.unwrap());
    let store = EtcdStore::new(&[a.url(), b.url()]).unwrap().with_call_timeout(LONG_TIMEOUT);
    a.handle().set_outage(Outage::Refuse).await;
    store.txn(put_txn("k", b"1")).await.unwrap();
    assert_eq!(b.handle().keys("k").len(), 1);
    a.handle().set_outage(Outage::None).await;
    b.handle().drop_responses("k", 1);
    assert_eq!(error_kind(store.txn(put_txn("k", b"2")).await), ErrorKind::NoResponse);
    assert_eq!(a.handle().counters().writes, 0);
    store.range("k", None).await.unwrap();
    a.handle().drop_calls(1);
    store.range("k", None).await.unwrap();
    a.handle().set_outage(Outage::Refuse).await;
    b.handle().set_outage(Outage::Refuse).await;
    assert_eq!(error_kind(store.txn(put_txn("k", b"3")).await), ErrorKind::Unreachable);
}

/// Guards against missed changes, a wait without bound, and a watch that stays open in the store
/// after its client dropped it.
#[compio::test]
async fn watches_report_changes_and_close_when_dropped() {
    let harness = Harness::start().await;
    let (store, handle) = (&harness.store, harness.handle());
    let revision = store.txn(put_txn("head", b"1")).await.unwrap().revision;
    // The store notices that a watch has ended slightly after its client.
    let until_all_watches_close =
        async || wait_until("the end of the watches", || handle.counters().open_watches == 0).await;
    let events = store.watch("head", revision, LONG_TIMEOUT).await.unwrap();
    until_all_watches_close().await;
    assert_eq!((events[0].revision, events.len()), (revision, 1));
    let quiet = store.watch("head", revision + 1, SHORT_TIMEOUT);
    assert_eq!(
        compio::time::timeout(LONG_TIMEOUT, quiet).await.expect("a bounded wait"),
        Ok(vec![])
    );
    until_all_watches_close().await;

    let change = async {
        wait_until("the watch", || handle.counters().watches == 3).await;
        handle.put("other", b"");
        handle.put("head", b"2");
    };
    let watch = store.watch("head", revision + 1, LONG_TIMEOUT);
    let (events, ()) = futures::join!(watch, change);
    assert_eq!(events.unwrap()[0].value.as_ref().unwrap().value, b"2");
    until_all_watches_close().await;

    drop(compio::time::timeout(SHORT_TIMEOUT, store.watch("none", 0, LONG_TIMEOUT)).await);
    until_all_watches_close().await;
    assert_eq!(handle.counters().max_open_watches, 1);
}

/// Guards against a watch that hangs or reports no changes when the store becomes unavailable.
#[compio::test]
async fn a_watch_ends_with_an_error_in_an_outage() {
    let harness = Harness::start().await;
    let handle = harness.handle();
    let outage = async {
        wait_until("the watch", || handle.counters().open_watches == 1).await;
        handle.set_outage(Outage::Refuse).await;
    };
    let (watch, ()) = futures::join!(harness.store.watch("head", 0, LONG_TIMEOUT), outage);
    assert_eq!(error_kind(watch), ErrorKind::NoResponse);
    assert_eq!(
        error_kind(harness.store.watch("head", 0, LONG_TIMEOUT).await),
        ErrorKind::Unreachable
    );
}

/// Guards against a fake store that serves only the runtime that started it.
#[compio::test]
async fn the_fake_store_runs_on_its_own_thread() {
    let thread = FakeStore::spawn_thread().unwrap();
    // Each call uses a new client, since one with a connection from before the outage may report
    // `NoResponse`.
    let store = || EtcdStore::new(&[thread.url()]).unwrap().with_call_timeout(LONG_TIMEOUT);
    store().txn(put_txn("k", b"v")).await.unwrap();
    thread.handle().set_outage_blocking(Outage::Refuse);
    assert_eq!(error_kind(store().range("k", None).await), ErrorKind::Unreachable);
    thread.handle().set_outage_blocking(Outage::None);
    assert_eq!(store().range("k", None).await.unwrap().len(), 1);
}
