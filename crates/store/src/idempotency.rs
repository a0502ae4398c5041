//! Interface of idempotency records, which hold the claims of non-idempotent requests and their
//! outcomes.

use cactustrack_types::{AccountId, ServiceId};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::LocalFuture;

/// Claim of an instance to dispatch a request under an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Service that the request goes to.
    pub service: ServiceId,
    /// Client account of the caller. Keys of different accounts are independent.
    pub account: AccountId,
    /// Value of the `Idempotency-Key` header.
    pub key: String,
    /// Identifies the request by method and target, to detect reuse of a key for another request.
    pub fingerprint: String,
    /// Unique to this attempt, so that after a lost response the stored record shows whether the
    /// claim was recorded.
    pub claim_id: String,
}

/// State of a recorded request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum RecordState {
    /// Claimed and possibly dispatched; the outcome is not known.
    Running,
    /// The upstream responded.
    Completed {
        /// HTTP status of the response.
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

/// Error of a claim that was neither granted nor denied. The request must not be dispatched.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("the idempotency record cannot be written: {reason}")]
pub struct RecordError {
    /// Description of the failure.
    pub reason: String,
}

/// Storage of idempotency records.
pub trait IdempotencyRecords {
    /// Records a claim if its key is not taken.
    fn claim<'a>(&'a self, claim: &'a Claim) -> LocalFuture<'a, Result<ClaimOutcome, RecordError>>;

    /// Records the status with which a granted claim completed. Retried in the background until it
    /// is recorded.
    fn complete(&self, claim: &Claim, status: u16);

    /// Frees the key of a granted claim whose request is known not to have been executed. Retried
    /// in the background until the record is removed.
    fn release(&self, claim: &Claim);
}

/// Implementation that grants each claim and records nothing, for platforms on which each attempt
/// of a caller has its own id and no retry has to be detected.
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
