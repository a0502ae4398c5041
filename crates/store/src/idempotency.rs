//! Idempotency records: which non-idempotent requests were claimed, and how they ended.

use cactustrack_types::{AccountId, ServiceId};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::LocalFuture;

/// A request that an instance wants to dispatch under an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Service that the request goes to.
    pub service: ServiceId,
    /// Account of the caller. Keys of different accounts are unrelated.
    pub account: AccountId,
    /// Value of the `Idempotency-Key` header.
    pub key: String,
    /// Hash of method, path and body-independent parts; tells reuse of a key for another request.
    pub fingerprint: String,
    /// Unique to this attempt, so that a lost answer can be resolved by reading back.
    pub claim_id: String,
}

/// State of a recorded request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum RecordState {
    /// Claimed and possibly dispatched; the outcome is not known yet.
    Running,
    /// The upstream answered with this status.
    Completed {
        /// HTTP status of the answer.
        status: u16,
    },
}

/// Result of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The claim is recorded; the request may be dispatched once.
    Granted,
    /// An earlier request holds the key.
    Held(RecordState),
    /// An earlier request with another fingerprint holds the key.
    Mismatch,
}

/// Why a claim could not be decided. The request must not be dispatched.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("the idempotency record cannot be written: {reason}")]
pub struct RecordError {
    /// What failed.
    pub reason: String,
}

/// Idempotency records in the platform's store.
pub trait IdempotencyRecords {
    /// Records a claim if its key is free.
    fn claim<'a>(&'a self, claim: &'a Claim) -> LocalFuture<'a, Result<ClaimOutcome, RecordError>>;

    /// Records how a granted claim ended. Retried in the background until it is recorded.
    fn complete(&self, claim: &Claim, status: u16);

    /// Frees the key of a granted claim whose request was certainly not run. Retried in the
    /// background until it is recorded.
    fn release(&self, claim: &Claim);
}

/// Records nothing, for platforms on which each attempt of a caller has an id of its own and no
/// repeat has to be recognised.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoRecords;

impl IdempotencyRecords for NoRecords {
    fn claim<'a>(
        &'a self,
        _claim: &'a Claim,
    ) -> LocalFuture<'a, Result<ClaimOutcome, RecordError>> {
        Box::pin(async { Ok(ClaimOutcome::Granted) })
    }

    fn complete(&self, _claim: &Claim, _status: u16) {}

    fn release(&self, _claim: &Claim) {}
}
