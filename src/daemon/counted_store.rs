//! A wrapper that counts calls to the store.

use std::rc::Rc;
use std::time::Duration;

use cactustrack_store::{
    KeyValue, LeaseId, LocalFuture, Revision, Store, StoreError, Txn, TxnResponse, WatchEvent,
};
use futures::FutureExt;
use prometheus::IntCounterVec;

/// A store that counts its calls by operation and result.
pub(crate) struct CountedStore {
    inner: Rc<dyn Store>,
    calls: IntCounterVec,
}

impl CountedStore {
    /// Wraps `inner` and counts its calls in `calls`.
    pub(crate) fn new(inner: Rc<dyn Store>, calls: IntCounterVec) -> Self {
        Self { inner, calls }
    }

    fn count<'a, T: 'a>(
        &'a self,
        operation: &'static str,
        call: LocalFuture<'a, Result<T, StoreError>>,
    ) -> LocalFuture<'a, Result<T, StoreError>> {
        let counted = call.inspect(move |result| {
            let result = match result {
                Ok(_) => "ok",
                Err(StoreError::Unreachable { .. }) => "unreachable",
                Err(StoreError::NoResponse { .. }) => "no_answer",
                Err(StoreError::Rejected { .. }) => "refused",
            };
            self.calls.with_label_values(&[operation, result]).inc();
        });
        counted.boxed_local()
    }
}

impl Store for CountedStore {
    fn range<'a>(
        &'a self,
        key: &'a str,
        end: Option<&'a str>,
    ) -> LocalFuture<'a, Result<Vec<KeyValue>, StoreError>> {
        self.count("range", self.inner.range(key, end))
    }

    fn txn(&self, txn: Txn) -> LocalFuture<'_, Result<TxnResponse, StoreError>> {
        self.count("txn", self.inner.txn(txn))
    }

    fn grant_lease(&self, ttl: Duration) -> LocalFuture<'_, Result<LeaseId, StoreError>> {
        self.count("grant_lease", self.inner.grant_lease(ttl))
    }

    fn keep_lease_alive(&self, lease: LeaseId) -> LocalFuture<'_, Result<Duration, StoreError>> {
        self.count("keep_lease_alive", self.inner.keep_lease_alive(lease))
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        revision: Revision,
        wait: Duration,
    ) -> LocalFuture<'a, Result<Vec<WatchEvent>, StoreError>> {
        self.count("watch", self.inner.watch(key, revision, wait))
    }
}
