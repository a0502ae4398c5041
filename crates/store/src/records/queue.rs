//! Queue of completions and releases, which a background task records.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Instant;

use futures::StreamExt;
use futures::channel::mpsc;
use futures::future::join_all;

use super::{Inner, RecordStats, first_found};
use crate::{Compare, Operation, StoreError, Txn, TxnResponse};

/// Maximum number of jobs that run concurrently, so that they share the latency of a round trip.
const MAX_BATCH_SIZE: usize = 16;

/// A pending change of a record.
#[derive(Clone, Debug)]
pub(super) struct Job {
    key: String,
    /// Value of the record as long as it belongs to the claim and is not completed.
    running: Vec<u8>,
    kind: JobKind,
}

#[derive(Clone, Debug)]
enum JobKind {
    /// Replaces the record of a granted claim by this value.
    Complete(Vec<u8>),
    /// Deletes the record of a claim that was granted.
    Release,
    /// Deletes the record of a claim that may have been written or may still be written.
    ReleaseIfWritten,
    /// Repeats the deletion at `due`, when a late write has been applied or discarded.
    Recheck { due: Instant },
}

/// Outcome of a job.
enum JobOutcome {
    Completed,
    Released,
    Conflict,
    NeedsRecheck,
}

/// Pending jobs of an instance and their counters.
#[derive(Debug)]
pub(super) struct Queue {
    capacity: usize,
    jobs: RefCell<VecDeque<Job>>,
    rechecks: RefCell<VecDeque<Job>>,
    in_progress: Cell<usize>,
    stats: Cell<RecordStats>,
}

impl Job {
    pub(super) fn complete(key: String, running: Vec<u8>, completed: Vec<u8>) -> Self {
        Self { key, running, kind: JobKind::Complete(completed) }
    }

    pub(super) fn release(key: String, running: Vec<u8>) -> Self {
        Self { key, running, kind: JobKind::Release }
    }

    pub(super) fn release_if_written(key: String, running: Vec<u8>) -> Self {
        Self { key, running, kind: JobKind::ReleaseIfWritten }
    }

    /// Returns a transaction that runs the operation if the record still belongs to the claim, and
    /// otherwise reads the record.
    fn if_unchanged(&self, operation: Operation) -> Txn {
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
            rechecks: RefCell::default(),
            in_progress: Cell::new(0),
            stats: Cell::default(),
        }
    }

    pub(super) fn stats(&self) -> RecordStats {
        let pending = self.jobs.borrow().len() + self.in_progress.get();
        RecordStats { pending, ..self.stats.get() }
    }

    /// Adds a job, or drops it if the queue is full.
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

    /// Takes the jobs to run next. Rechecks run only when no other job is queued.
    fn take_batch(&self, now: Instant) -> Vec<Job> {
        let mut jobs = self.jobs.borrow_mut();
        let count = jobs.len().min(MAX_BATCH_SIZE);
        if count > 0 {
            self.in_progress.set(count);
            return jobs.drain(..count).collect();
        }
        let mut rechecks = self.rechecks.borrow_mut();
        let due = rechecks.iter().take_while(|job| job.due().is_some_and(|due| due <= now)).count();
        rechecks.drain(..due.min(MAX_BATCH_SIZE)).collect()
    }

    fn next_due(&self) -> Option<Instant> {
        self.rechecks.borrow().front().and_then(Job::due)
    }

    fn is_empty(&self) -> bool {
        self.jobs.borrow().is_empty() && self.rechecks.borrow().is_empty()
    }

    /// Schedules a recheck, or skips it if the queue is full. If the claim is then written late,
    /// its record stays `running`, which is safe.
    fn schedule_recheck(&self, job: Job, due: Instant) {
        let mut rechecks = self.rechecks.borrow_mut();
        if rechecks.len() < self.capacity {
            rechecks.push_back(Job { kind: JobKind::Recheck { due }, ..job });
        }
    }
}

impl Job {
    fn due(&self) -> Option<Instant> {
        match self.kind {
            JobKind::Recheck { due } => Some(due),
            _ => None,
        }
    }
}

/// Runs jobs until the records are dropped and no job is left.
pub(super) async fn run(inner: Rc<Inner>, mut wake: mpsc::Receiver<()>) {
    let mut backoff = inner.cfg.initial_backoff;
    loop {
        let batch = inner.queue.take_batch(Instant::now());
        if batch.is_empty() {
            if !wait_for_job(&inner, &mut wake).await {
                return;
            }
            continue;
        }
        let results = join_all(batch.iter().map(|job| inner.run_job(job))).await;
        inner.queue.in_progress.set(0);
        let mut any_failed = false;
        for (job, result) in batch.into_iter().zip(results) {
            any_failed |= result.is_err();
            inner.record_result(job, &result);
        }
        if any_failed {
            // Jitter over half the backoff, so that instances do not retry in lockstep.
            compio::time::sleep(backoff.mul_f64(rand::random_range(0.5..1.0))).await;
            backoff = (backoff * 2).min(inner.cfg.max_backoff);
        } else {
            backoff = inner.cfg.initial_backoff;
        }
    }
}

/// Waits for a job. Returns false if there will be none.
async fn wait_for_job(inner: &Inner, wake: &mut mpsc::Receiver<()>) -> bool {
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
    async fn run_job(&self, job: &Job) -> Result<JobOutcome, StoreError> {
        match &job.kind {
            JobKind::Complete(completed) => self.complete(job, completed).await,
            JobKind::Release | JobKind::ReleaseIfWritten | JobKind::Recheck { .. } => {
                self.release(job).await
            }
        }
    }

    /// Counts a finished job, or requeues a failed one behind the others.
    fn record_result(&self, job: Job, result: &Result<JobOutcome, StoreError>) {
        match result {
            Ok(JobOutcome::Completed) => self.queue.count(|stats| stats.completed += 1),
            // The release was counted before the recheck.
            Ok(JobOutcome::Released) if job.due().is_some() => {}
            Ok(JobOutcome::Released) => self.queue.count(|stats| stats.released += 1),
            Ok(JobOutcome::Conflict) => self.queue.count(|stats| stats.conflicts += 1),
            Ok(JobOutcome::NeedsRecheck) => {
                self.queue.count(|stats| stats.released += 1);
                self.queue.schedule_recheck(job, Instant::now() + self.cfg.late_write_window);
            }
            Err(_) => {
                self.queue.count(|stats| stats.retries += 1);
                match job.due() {
                    Some(_) => self.queue.rechecks.borrow_mut().push_back(job),
                    None => self.queue.jobs.borrow_mut().push_back(job),
                }
            }
        }
    }

    async fn complete(&self, job: &Job, completed: &[u8]) -> Result<JobOutcome, StoreError> {
        let lease = self.current_lease().await?;
        let put = Operation::Put { key: job.key.clone(), value: completed.to_vec(), lease };
        let response = self.write(job.if_unchanged(put.clone())).await?;
        if response.succeeded {
            return Ok(JobOutcome::Completed);
        }
        match first_found(&response) {
            // The response to an earlier attempt was lost.
            Some(found) if found.value == completed => Ok(JobOutcome::Completed),
            Some(_) => Ok(JobOutcome::Conflict),
            None => self.recreate_completed(job, put).await,
        }
    }

    /// Writes the completed record again if its claim expired early, so that a retry of the request
    /// is still detected.
    async fn recreate_completed(
        &self,
        job: &Job,
        put: Operation,
    ) -> Result<JobOutcome, StoreError> {
        let absent = Compare::ModRevision { key: job.key.clone(), revision: 0 };
        let response = self.write(Txn::new().with_compare(absent).with_then(put)).await?;
        Ok(if response.succeeded { JobOutcome::Completed } else { JobOutcome::Conflict })
    }

    /// Runs a transaction with a lease. If it is rejected, the next attempt gets a new lease.
    async fn write(&self, txn: Txn) -> Result<TxnResponse, StoreError> {
        let result = self.store.txn(txn).await;
        if matches!(result, Err(StoreError::Rejected { .. })) {
            self.lease.invalidate().await;
        }
        result
    }

    async fn release(&self, job: &Job) -> Result<JobOutcome, StoreError> {
        let delete = Operation::Delete { key: job.key.clone(), end: None };
        let response = self.store.txn(job.if_unchanged(delete)).await?;
        Ok(match job.kind {
            // Also after a deletion, since a claim without a response may have been sent more than
            // once.
            JobKind::ReleaseIfWritten => JobOutcome::NeedsRecheck,
            JobKind::Release if !response.succeeded && first_found(&response).is_some() => {
                JobOutcome::Conflict
            }
            _ => JobOutcome::Released,
        })
    }
}
