//! Idempotency records in the key-value store.
//!
//! A claim is one transaction that creates the record if its key is free and otherwise reads the
//! existing record. Since a claim id is unique to its attempt, the transaction can be retried after
//! a lost response: it then finds either no record, its own record or the record of another claim.

mod lease;
mod queue;

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use compio::time::timeout;
use derive_more::Debug;
use futures::channel::mpsc;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::envelope::hex;
use crate::{
    Claim, ClaimOutcome, Compare, IdempotencyRecords, KeyValue, LocalFuture, Operation,
    OperationResponse, RecordError, RecordState, Store, StoreError, Txn, TxnResponse, decode_value,
    encode_value,
};
use lease::SharedLease;
use queue::{Job, Queue};

/// Minimum lifetime of a record.
pub const MIN_RECORD_TTL: Duration = Duration::from_secs(24 * 3600);
/// Time for which an instance attaches new records to the same lease.
pub const LEASE_SHARING_PERIOD: Duration = Duration::from_secs(3600);

/// Delay before the first retry of a claim without a response. It doubles with each further retry.
const INITIAL_CLAIM_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Settings of [`StoreIdempotencyRecords`].
#[derive(Clone, Debug)]
pub struct RecordsConfig {
    /// Timeout of a claim, including retries.
    pub claim_timeout: Duration,
    /// Maximum number of pending completions and releases. Further ones are dropped.
    pub queue_capacity: usize,
    /// Backoff after the first failure of a completion or release. It doubles with each further
    /// failure.
    pub initial_backoff: Duration,
    /// Maximum backoff between two attempts of a completion or release.
    pub max_backoff: Duration,
    /// Time within which the store applies or discards a write without a response. The release of a
    /// claim that may be written late is repeated after this time.
    pub late_write_window: Duration,
    /// Wall clock. Unlike [`Instant`], it also advances while the machine is suspended.
    #[debug(skip)]
    pub clock: Rc<dyn Fn() -> SystemTime>,
}

impl Default for RecordsConfig {
    fn default() -> Self {
        Self {
            claim_timeout: Duration::from_secs(1),
            queue_capacity: 4096,
            initial_backoff: Duration::from_millis(100),
            max_backoff: Duration::from_secs(10),
            late_write_window: Duration::from_secs(15),
            clock: Rc::new(SystemTime::now),
        }
    }
}

/// Counters of the records of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecordStats {
    /// Completions and releases that are not recorded yet.
    pub pending: usize,
    /// Completions and releases that were dropped because too many were pending. Their records
    /// stay `running` until they expire.
    pub dropped: u64,
    /// Completions that were recorded.
    pub completed: u64,
    /// Claims that were released.
    pub released: u64,
    /// Completions and releases that found the record of another claim and left it unchanged.
    pub conflicts: u64,
    /// Failed attempts of completions and releases.
    pub retries: u64,
}

/// [`IdempotencyRecords`] in a [`Store`].
#[derive(Debug)]
pub struct StoreIdempotencyRecords {
    inner: Rc<Inner>,
    /// Wakes the background task. The task ends when this sender is dropped and nothing is pending.
    wake: RefCell<mpsc::Sender<()>>,
}

#[derive(Debug)]
struct Inner {
    #[debug(skip)]
    store: Rc<dyn Store>,
    prefix: String,
    cfg: RecordsConfig,
    lease: SharedLease,
    queue: Queue,
    /// Ids of granted claims that were sent more than once. An earlier transaction of such a claim
    /// may still be applied after the release.
    retried: RefCell<VecDeque<String>>,
}

/// Value of a record.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Record {
    claim_id: String,
    fingerprint: String,
    #[serde(flatten)]
    state: RecordState,
}

impl StoreIdempotencyRecords {
    /// Creates records under the key prefix and starts the background task on the current compio
    /// runtime.
    pub fn new(store: Rc<dyn Store>, prefix: &str, cfg: RecordsConfig) -> Self {
        let (tx, rx) = mpsc::channel(1);
        let inner = Rc::new(Inner {
            store,
            prefix: prefix.trim_end_matches('/').to_owned(),
            lease: SharedLease::default(),
            queue: Queue::new(cfg.queue_capacity),
            retried: RefCell::default(),
            cfg,
        });
        compio::runtime::spawn(queue::run(inner.clone(), rx)).detach();
        Self { inner, wake: RefCell::new(tx) }
    }

    /// Returns the counters since the start.
    pub fn stats(&self) -> RecordStats {
        self.inner.queue.stats()
    }

    /// Waits up to `wait` until nothing is pending. Returns false on timeout.
    pub async fn flush(&self, wait: Duration) -> bool {
        const CHECK_INTERVAL: Duration = Duration::from_millis(5);
        let drained = async {
            while self.stats().pending > 0 {
                compio::time::sleep(CHECK_INTERVAL).await;
            }
        };
        timeout(wait, drained).await.is_ok()
    }

    fn enqueue(&self, job: Job) {
        self.inner.queue.push(job);
        // If the channel is full, a wake-up is already pending.
        let _ = self.wake.borrow_mut().try_send(());
    }

    async fn claim_with_retries(
        &self,
        claim: &Claim,
        pending: &mut PendingClaim<'_>,
    ) -> Result<ClaimOutcome, RecordError> {
        let mut delay = INITIAL_CLAIM_RETRY_DELAY;
        let mut may_replace_lease = true;
        loop {
            match self.try_claim(claim, pending).await {
                Ok(response) => return claim_outcome(claim, &response),
                Err(StoreError::NoResponse { .. }) => {
                    compio::time::sleep(delay).await;
                    delay *= 2;
                }
                // The lease may have expired early.
                Err(StoreError::Rejected { .. }) if may_replace_lease => {
                    may_replace_lease = false;
                    self.inner.lease.invalidate().await;
                }
                Err(err) => return Err(RecordError { reason: err.to_string() }),
            }
        }
    }

    /// Runs the transaction of a claim once and sets `may_be_written`.
    async fn try_claim(
        &self,
        claim: &Claim,
        pending: &mut PendingClaim<'_>,
    ) -> Result<TxnResponse, StoreError> {
        let lease = self.inner.current_lease().await?;
        let key = self.inner.key(claim);
        let txn = Txn::new()
            .with_compare(Compare::ModRevision { key: key.clone(), revision: 0 })
            .with_then(Operation::Put { key: key.clone(), value: running(claim), lease })
            .with_otherwise(Operation::Range { key, end: None });
        let may_be_written_before = pending.may_be_written;
        // Set before the call, since this future may be dropped during the call.
        pending.may_be_written = true;
        let result = self.inner.store.txn(txn).await;
        pending.may_be_written = match result {
            Ok(_) => {
                if may_be_written_before {
                    self.inner.note_retried(claim);
                }
                false
            }
            Err(StoreError::NoResponse { .. }) => true,
            Err(_) => may_be_written_before,
        };
        result
    }

    async fn claim_with_timeout(&self, claim: &Claim) -> Result<ClaimOutcome, RecordError> {
        let cfg = &self.inner.cfg;
        let (start, wall_start) = (Instant::now(), (cfg.clock)());
        let mut pending = PendingClaim { records: self, claim, may_be_written: false };
        let outcome =
            timeout(cfg.claim_timeout, self.claim_with_retries(claim, &mut pending)).await;
        // If the response was read after a long pause, the record may have expired since.
        let wall_elapsed = (cfg.clock)().duration_since(wall_start).unwrap_or_default();
        let is_late = start.elapsed().max(wall_elapsed) > cfg.claim_timeout;
        match outcome {
            Ok(Ok(ClaimOutcome::Granted)) if is_late => {
                pending.may_be_written = true;
                Err(RecordError { reason: "the claim was granted after its timeout".to_owned() })
            }
            Ok(result) => result,
            Err(_) => Err(RecordError {
                reason: "no valid response from the store before the timeout".to_owned(),
            }),
        }
    }
}

impl IdempotencyRecords for StoreIdempotencyRecords {
    fn claim<'a>(&'a self, claim: &'a Claim) -> LocalFuture<'a, Result<ClaimOutcome, RecordError>> {
        Box::pin(self.claim_with_timeout(claim))
    }

    fn complete(&self, claim: &Claim, status: u16) {
        let completed = encode_record(claim, RecordState::Completed { status });
        self.inner.take_retried(claim);
        self.enqueue(Job::complete(self.inner.key(claim), running(claim), completed));
    }

    fn release(&self, claim: &Claim) {
        let (key, running) = (self.inner.key(claim), running(claim));
        if self.inner.take_retried(claim) {
            self.enqueue(Job::release_if_written(key, running));
        } else {
            self.enqueue(Job::release(key, running));
        }
    }
}

/// A claim in progress. If it ends without an outcome, or its future is dropped, a record that may
/// have been written is released in the background.
struct PendingClaim<'a> {
    records: &'a StoreIdempotencyRecords,
    claim: &'a Claim,
    may_be_written: bool,
}

impl Drop for PendingClaim<'_> {
    fn drop(&mut self) {
        if self.may_be_written {
            let key = self.records.inner.key(self.claim);
            self.records.enqueue(Job::release_if_written(key, running(self.claim)));
        }
    }
}

impl Inner {
    /// Returns the key of the record of a claim.
    ///
    /// The hash includes the lengths of the texts, so that different combinations of texts never
    /// give the same input.
    fn key(&self, claim: &Claim) -> String {
        let mut hash = Sha256::new();
        for text in [&*claim.service, &*claim.account, &claim.key] {
            hash.update(text.len().to_be_bytes());
            hash.update(text);
        }
        format!("{}/idem/{}/{}", self.prefix, claim.service, hex(&hash.finalize()))
    }

    /// Remembers a claim that was sent more than once. Evicts the oldest one at the capacity.
    fn note_retried(&self, claim: &Claim) {
        let mut retried = self.retried.borrow_mut();
        if retried.len() >= self.cfg.queue_capacity {
            retried.pop_front();
        }
        retried.push_back(claim.claim_id.clone());
    }

    /// Returns whether the claim was sent more than once, and removes it from `retried`.
    fn take_retried(&self, claim: &Claim) -> bool {
        let mut retried = self.retried.borrow_mut();
        let index = retried.iter().position(|id| *id == claim.claim_id);
        index.is_some_and(|index| retried.remove(index).is_some())
    }

    async fn current_lease(&self) -> Result<crate::LeaseId, StoreError> {
        self.lease.get(&*self.store, (self.cfg.clock)()).await
    }
}

fn running(claim: &Claim) -> Vec<u8> {
    encode_record(claim, RecordState::Running)
}

/// Encodes a record. Equal records have equal bytes, so a condition can compare the whole value.
fn encode_record(claim: &Claim, state: RecordState) -> Vec<u8> {
    let record =
        Record { claim_id: claim.claim_id.clone(), fingerprint: claim.fingerprint.clone(), state };
    // The type has string keys only and always serializes.
    encode_value(&serde_json::to_vec(&record).unwrap_or_default())
}

fn claim_outcome(claim: &Claim, response: &TxnResponse) -> Result<ClaimOutcome, RecordError> {
    if response.succeeded {
        return Ok(ClaimOutcome::Granted);
    }
    let record_error = |reason: String| RecordError { reason };
    let found = first_found(response)
        .ok_or_else(|| record_error("the response has no record".to_owned()))?;
    let payload = decode_value(&found.value).map_err(|err| record_error(err.to_string()))?;
    let record: Record =
        serde_json::from_slice(payload).map_err(|err| record_error(err.to_string()))?;
    Ok(match record {
        Record { claim_id, state: RecordState::Running, .. } if claim_id == claim.claim_id => {
            ClaimOutcome::Granted
        }
        Record { fingerprint, .. } if fingerprint != claim.fingerprint => ClaimOutcome::Mismatch,
        Record { state, .. } => ClaimOutcome::Held(state),
    })
}

/// Returns the record that a transaction read, if there is one.
fn first_found(response: &TxnResponse) -> Option<&KeyValue> {
    response.responses.iter().find_map(|response| match response {
        OperationResponse::Range(found) => found.first(),
        _ => None,
    })
}
