//! Stands in for idempotency records until the store crate provides them.

use std::rc::Rc;

use cactustrack_store::{Claim, ClaimOutcome, IdempotencyRecords, LocalFuture, RecordError, Store};

pub(crate) struct StoreIdempotencyRecords;

impl StoreIdempotencyRecords {
    pub(crate) fn new(_store: Rc<dyn Store>, _prefix: &str) -> Self {
        Self
    }
    pub(crate) fn pending(&self) -> usize {
        0
    }
    pub(crate) fn dropped(&self) -> u64 {
        0
    }
}

impl IdempotencyRecords for StoreIdempotencyRecords {
    fn claim<'a>(&'a self, _: &'a Claim) -> LocalFuture<'a, Result<ClaimOutcome, RecordError>> {
        Box::pin(async { Err(RecordError { reason: "not available".to_owned() }) })
    }
    fn complete(&self, _: &Claim, _: u16) {}
    fn release(&self, _: &Claim) {}
}
