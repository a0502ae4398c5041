//! Helpers for the store tests.

use std::rc::Rc;
use std::time::Duration;

use cactustrack_store::{Claim, Compare, EtcdStore, Operation, Publication, Txn};
use cactustrack_test_support::store::{FakeStore, FakeStoreHandle, Outage};

/// Timeout far longer than any call takes, so that no test depends on the speed of the machine.
pub(super) const LONG_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout for calls to which the fake store does not respond in time.
pub(super) const SHORT_TIMEOUT: Duration = Duration::from_millis(100);

/// Fault to inject into the next calls.
#[derive(Clone, Copy, Debug)]
pub(super) enum Fault {
    Outage(Outage),
    /// This many responses are lost after a write to a key with the prefix.
    LostResponses(&'static str, usize),
    /// This many requests are lost before they take effect.
    LostRequests(usize),
    MalformedResponse,
    /// An error response with this gRPC status code.
    Error(i64),
}

/// A running fake store and a client of it.
pub(super) struct Harness {
    pub(super) server: FakeStore,
    pub(super) store: Rc<EtcdStore>,
}

impl Harness {
    pub(super) async fn start() -> Self {
        let server = FakeStore::start().await.expect("the fake store starts");
        let store = Rc::new(etcd_store(&server, LONG_TIMEOUT));
        Self { server, store }
    }

    pub(super) fn handle(&self) -> FakeStoreHandle {
        self.server.handle()
    }

    pub(super) async fn inject(&self, fault: Fault) {
        match fault {
            Fault::Outage(outage) => self.handle().set_outage(outage).await,
            Fault::LostResponses(prefix, count) => self.handle().drop_responses(prefix, count),
            Fault::LostRequests(count) => self.handle().drop_calls(count),
            Fault::MalformedResponse => self.handle().override_next_response(b"{\"succeeded\": 7}"),
            Fault::Error(code) => self.handle().fail_calls(1, code, "reason"),
        }
    }
}

pub(super) fn etcd_store(server: &FakeStore, call_timeout: Duration) -> EtcdStore {
    EtcdStore::new(&[server.url()]).expect("the endpoint is valid").with_call_timeout(call_timeout)
}

pub(super) fn put(key: &str, value: &[u8], lease: i64) -> Operation {
    Operation::Put { key: key.into(), value: value.into(), lease }
}

pub(super) fn put_txn(key: &str, value: &[u8]) -> Txn {
    Txn::new().with_then(put(key, value, 0))
}

pub(super) fn delete(key: &str) -> Operation {
    Operation::Delete { key: key.into(), end: None }
}

pub(super) fn absent(key: &str) -> Compare {
    Compare::ModRevision { key: key.into(), revision: 0 }
}

/// Waits until the condition holds. Panics after `LONG_TIMEOUT`, so only a failing test takes long.
pub(super) async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = std::time::Instant::now() + LONG_TIMEOUT;
    while !condition() {
        assert!(std::time::Instant::now() < deadline, "{what} did not happen");
        compio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Returns a change by `author` that is based on the version.
pub(super) fn publication(base_version: u64, author: &str) -> Publication {
    Publication {
        parts: vec![author.as_bytes().to_vec(), vec![0, 159, 146, 150]],
        checksum: format!("sum-{author}"),
        base_version,
        author: author.into(),
        reason: "more slots\x1b[2J".into(),
    }
}

/// Returns a claim of the account `nightly`.
pub(super) fn claim(key: &str, claim_id: &str) -> Claim {
    Claim {
        service: "pulih".into(),
        account: "nightly".into(),
        key: key.into(),
        fingerprint: "POST /restore".into(),
        claim_id: claim_id.into(),
    }
}
