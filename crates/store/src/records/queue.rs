//! Completions and releases that are recorded in the background.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Instant;

use futures::StreamExt;
use futures::channel::mpsc;
use futures::future::join_all;

use super::{Inner, RecordStats, found_key};
use crate::{Compare, Operation, StoreError, Txn, TxnResponse};

/// Jobs that run at the same time, so that one round trip serves several.
const BATCH: usize = 16;

/// A change of a record.
#[derive(Clone, Debug)]
pub(super) struct Job {
    key: String,
    /// Value that the record has if it is still the one of the claim.
    running: Vec<u8>,
    kind: Kind,
}

#[derive(Clone, Debug)]
enum Kind {
    /// Writes this value.
    Complete(Vec<u8>),
    /// Deletes the record of a claim that was granted.
    Release,
    /// Deletes the record of a claim that may have been written or may still be.
    ReleaseIfWritten,
    /// Looks for the record again, when a late write must have arrived.
    SecondLook { due: Instant },
}

/// How a job ended.
enum Done {
    Completed,
    Released,
    NotOwn,
    LookAgain,
}

/// Jobs of an instance and their counters.
#[derive(Debug)]
pub(super) struct Queue {
    capacity: usize,
    jobs: RefCell<VecDeque<Job>>,
    second_looks: RefCell<VecDeque<Job>>,
    in_progress: Cell<usize>,
    stats: Cell<RecordStats>,
}

impl Job {
    pub(super) fn complete(key: String, running: Vec<u8>, completed: Vec<u8>) -> Self {
        Self { key, running, kind: Kind::Complete(completed) }
    }

    pub(super) fn release(key: String, running: Vec<u8>) -> Self {
        Self { key, running, kind: Kind::Release }
    }

    pub(super) fn release_if_written(key: String, running: Vec<u8>) -> Self {
        Self { key, running, kind: Kind::ReleaseIfWritten }
    }

    /// A transaction that runs the operation if the record is still the one of the claim, and
    /// reads the record otherwise.
    fn guarded(&self, operation: Operation) -> Txn {
        let (key, value) = (self.key.clone(), self.running.clone());
        Txn::new()
            .with_compare(Compare::Value { key: key.clone(), value })
            .with_then(operation)
            .with_otherwise(Operation::Range { key, end: None })
    }
}

impl Queue {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            jobs: RefCell::default(),
            second_looks: RefCell::default(),
            in_progress: Cell::new(0),
            stats: Cell::default(),
        }
    }

    pub(super) fn stats(&self) -> RecordStats {
        let pending = self.jobs.borrow().len() + self.in_progress.get();
        RecordStats { pending, ..self.stats.get() }
    }

    /// Adds a job, or drops it if too many are pending.
    pub(super) fn push(&self, job: Job) {
        if self.stats().pending >= self.capacity {
            self.count(|stats| stats.dropped += 1);
            return;
        }
        self.jobs.borrow_mut().push_back(job);
    }

    fn count(&self, update: impl FnOnce(&mut RecordStats)) {
        let mut stats = self.stats.get();
        update(&mut stats);
        self.stats.set(stats);
    }

    /// Takes the jobs to run next. Second looks run only when no other job waits.
    fn take_batch(&self, now: Instant) -> Vec<Job> {
        let mut jobs = self.jobs.borrow_mut();
        let count = jobs.len().min(BATCH);
        if count > 0 {
            self.in_progress.set(count);
            return jobs.drain(..count).collect();
        }
        let mut looks = self.second_looks.borrow_mut();
        let due = looks.iter().take_while(|job| job.due().is_some_and(|due| due <= now)).count();
        looks.drain(..due.min(BATCH)).collect()
    }

    fn next_due(&self) -> Option<Instant> {
        self.second_looks.borrow().front().and_then(Job::due)
    }

    fn is_empty(&self) -> bool {
        self.jobs.borrow().is_empty() && self.second_looks.borrow().is_empty()
    }

    /// Keeps a job for a second look. Without room it is skipped: the record of a write that
    /// arrives later stays `running`, which is safe.
    fn look_again(&self, job: Job, due: Instant) {
        let mut looks = self.second_looks.borrow_mut();
        if looks.len() < self.capacity {
            looks.push_back(Job { kind: Kind::SecondLook { due }, ..job });
        }
    }
}

impl Job {
    fn due(&self) -> Option<Instant> {
        match self.kind {
            Kind::SecondLook { due } => Some(due),
            _ => None,
        }
    }
}

/// Runs jobs until the records are dropped and nothing is left to do.
pub(super) async fn run(inner: Rc<Inner>, mut wake: mpsc::Receiver<()>) {
    let mut backoff = inner.cfg.first_backoff;
    loop {
        let batch = inner.queue.take_batch(Instant::now());
        if batch.is_empty() {
            if !wait(&inner, &mut wake).await {
                return;
            }
            continue;
        }
        let results = join_all(batch.iter().map(|job| inner.run_job(job))).await;
        inner.queue.in_progress.set(0);
        let mut is_failed = false;
        for (job, result) in batch.into_iter().zip(results) {
            is_failed |= result.is_err();
            inner.settle(job, &result);
        }
        if is_failed {
            // Spread over half the time, so that instances do not retry in step.
            compio::time::sleep(backoff.mul_f64(rand::random_range(0.5..1.0))).await;
            backoff = (backoff * 2).min(inner.cfg.max_backoff);
        } else {
            backoff = inner.cfg.first_backoff;
        }
    }
}

/// Waits for a job. Returns false if none will come.
async fn wait(inner: &Inner, wake: &mut mpsc::Receiver<()>) -> bool {
    let Some(due) = inner.queue.next_due() else {
        return wake.next().await.is_some();
    };
    match compio::time::timeout_at(due, wake.next()).await {
        Ok(Some(())) => true,
        Ok(None) => {
            compio::time::sleep_until(due).await;
            !inner.queue.is_empty()
        }
        Err(_) => true,
    }
}

impl Inner {
    async fn run_job(&self, job: &Job) -> Result<Done, StoreError> {
        match &job.kind {
            Kind::Complete(completed) => self.complete(job, completed).await,
            Kind::Release | Kind::ReleaseIfWritten | Kind::SecondLook { .. } => {
                self.release(job).await
            }
        }
    }

    /// Counts a finished job, or keeps a failed one for a later try behind the others.
    fn settle(&self, job: Job, result: &Result<Done, StoreError>) {
        match result {
            Ok(Done::Completed) => self.queue.count(|stats| stats.completed += 1),
            // The release was counted before the second look.
            Ok(Done::Released) if job.due().is_some() => {}
            Ok(Done::Released) => self.queue.count(|stats| stats.released += 1),
            Ok(Done::NotOwn) => self.queue.count(|stats| stats.not_own += 1),
            Ok(Done::LookAgain) => {
                self.queue.count(|stats| stats.released += 1);
                self.queue.look_again(job, Instant::now() + self.cfg.late_write_window);
            }
            Err(_) => {
                self.queue.count(|stats| stats.retries += 1);
                match job.due() {
                    Some(_) => self.queue.second_looks.borrow_mut().push_back(job),
                    None => self.queue.jobs.borrow_mut().push_back(job),
                }
            }
        }
    }

    async fn complete(&self, job: &Job, completed: &[u8]) -> Result<Done, StoreError> {
        let lease = self.current_lease().await?;
        let put = Operation::Put { key: job.key.clone(), value: completed.to_vec(), lease };
        let reply = self.write(job.guarded(put.clone())).await?;
        if reply.succeeded {
            return Ok(Done::Completed);
        }
        match found_key(&reply) {
            // The answer to an earlier try was lost.
            Some(found) if found.value == completed => Ok(Done::Completed),
            Some(_) => Ok(Done::NotOwn),
            None => self.complete_lapsed(job, put).await,
        }
    }

    /// Writes the completed record anew if the claim lapsed before its time, so that a repeat of
    /// the request is still recognized.
    async fn complete_lapsed(&self, job: &Job, put: Operation) -> Result<Done, StoreError> {
        let absent = Compare::ModRevision { key: job.key.clone(), revision: 0 };
        let reply = self.write(Txn::new().with_compare(absent).with_then(put)).await?;
        Ok(if reply.succeeded { Done::Completed } else { Done::NotOwn })
    }

    /// Runs a transaction with a lease. If it is refused, the next try gets a new lease.
    async fn write(&self, txn: Txn) -> Result<TxnResponse, StoreError> {
        let result = self.store.txn(txn).await;
        if matches!(result, Err(StoreError::Rejected { .. })) {
            self.lease.forget().await;
        }
        result
    }

    async fn release(&self, job: &Job) -> Result<Done, StoreError> {
        let delete = Operation::Delete { key: job.key.clone(), end: None };
        let reply = self.store.txn(job.guarded(delete)).await?;
        Ok(match job.kind {
            // Also after a deletion: a claim without an answer may have been sent more than once.
            Kind::ReleaseIfWritten => Done::LookAgain,
            Kind::Release if !reply.succeeded && found_key(&reply).is_some() => Done::NotOwn,
            _ => Done::Released,
        })
    }
}
