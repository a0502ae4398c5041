//! Counts the bytes that are held for callers and upstreams against the memory budget.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use cactustrack_observe::{Metrics, RateLimit};
use prometheus::{IntCounter, IntGauge};
use slog::Logger;

use crate::memory_budget::{MemoryBudget, MemoryUse, PressureChange};

/// Bytes held by an instance. Clones share the budget.
#[derive(Clone)]
pub struct BodyMemory(Option<Arc<Shared>>);

struct Shared {
    budget: Mutex<MemoryBudget>,
    responses: IntGauge,
    requests: IntGauge,
    refused: IntCounter,
    pressure_log: Mutex<PressureLog>,
    log: Logger,
}

/// Limits the log lines about the budget.
struct PressureLog {
    limit: RateLimit,
    /// True if the last change to an exhausted budget was logged.
    is_logged: bool,
}

/// Minimum interval between two lines about an exhausted budget.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

impl BodyMemory {
    /// Creates an instance without a budget: nothing is counted, and no response is read ahead of
    /// its caller.
    pub fn unlimited() -> Self {
        Self(None)
    }

    /// Limits the held bytes by `budget`.
    pub fn new(budget: MemoryBudget, metrics: &Metrics, log: Logger) -> Self {
        let gauge = |usage: MemoryUse| {
            metrics.body_bytes_held.with_label_values(&[usage.to_string().as_str()])
        };
        let pressure_log = PressureLog { limit: RateLimit::new(LOG_INTERVAL), is_logged: false };
        Self(Some(Arc::new(Shared {
            budget: Mutex::new(budget),
            responses: gauge(MemoryUse::Responses),
            requests: gauge(MemoryUse::Requests),
            refused: metrics.requests_refused_for_memory.clone(),
            pressure_log: Mutex::new(pressure_log),
            log,
        })))
    }

    /// Returns true if there is a budget.
    pub(crate) fn is_limited(&self) -> bool {
        self.0.is_some()
    }

    /// Counts bytes as held until the returned guard is dropped.
    pub(crate) fn hold(&self, usage: MemoryUse, bytes: usize) -> Option<HeldBytes> {
        let shared = Arc::clone(self.0.as_ref()?);
        let bytes = bytes as u64;
        let change = shared.lock().hold(usage, bytes);
        shared.update(usage, i64::try_from(bytes).unwrap_or(i64::MAX), change);
        Some(HeldBytes { shared, usage, bytes })
    }

    /// Counts a request with a head of this size as in progress until the returned guard is dropped.
    pub(crate) fn start_request(&self, head_bytes: usize) -> Option<RequestGuard> {
        let held = self.hold(MemoryUse::Requests, head_bytes)?;
        let change = {
            let mut budget = held.shared.lock();
            budget.start_request();
            budget.take_pressure_change()
        };
        held.shared.log_change(change);
        Some(RequestGuard(held))
    }

    /// Returns the same data, which counts as held until its last clone is dropped.
    pub(crate) fn count(&self, usage: MemoryUse, data: Bytes) -> Bytes {
        if data.is_empty() {
            return data;
        }
        match self.hold(usage, data.len()) {
            Some(held) => held.attach(data),
            None => data,
        }
    }

    /// Returns true if `next` more bytes may be read of a response of which `held` bytes wait for
    /// its caller.
    pub(crate) fn allows_reading_ahead(&self, held: usize, next: usize) -> bool {
        let shared = self.0.as_ref();
        shared.is_some_and(|it| it.lock().allows_reading_ahead(held as u64, next as u64))
    }

    /// Counts a request body of unknown length, or one too large to be buffered, as an upload in
    /// progress until the guard is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the budget has no room for it.
    pub(crate) fn start_upload(&self) -> Result<UploadGuard, NoMemory> {
        let Some(shared) = &self.0 else { return Ok(UploadGuard(None)) };
        let (has_room, change) = {
            let mut budget = shared.lock();
            (budget.start_upload(), budget.take_pressure_change())
        };
        shared.log_change(change);
        if has_room {
            return Ok(UploadGuard(Some(Arc::clone(shared))));
        }
        shared.refused.inc();
        Err(NoMemory)
    }
}

/// The memory budget has no room.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NoMemory;

impl Shared {
    fn lock(&self) -> MutexGuard<'_, MemoryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn update(&self, usage: MemoryUse, bytes: i64, change: Option<PressureChange>) {
        match usage {
            MemoryUse::Responses => self.responses.add(bytes),
            MemoryUse::Requests => self.requests.add(bytes),
        }
        self.log_change(change);
    }

    /// Logs a change, unless the budget changes often.
    fn log_change(&self, change: Option<PressureChange>) {
        let Some(change) = change else { return };
        let mut pressure_log = self.pressure_log.lock().unwrap_or_else(PoisonError::into_inner);
        let (responses, requests) = (self.responses.get(), self.requests.get());
        match change {
            PressureChange::Exhausted => {
                let suppressed = pressure_log.limit.allow(Instant::now());
                pressure_log.is_logged = suppressed.is_some();
                if let Some(suppressed) = suppressed {
                    slog::warn!(self.log, "proxy: memory budget exhausted";
                        "response_bytes" => responses, "request_bytes" => requests,
                        "left_out" => suppressed);
                }
            }
            PressureChange::Relieved if pressure_log.is_logged => {
                slog::info!(self.log, "proxy: memory budget has room again";
                    "response_bytes" => responses, "request_bytes" => requests);
            }
            PressureChange::Relieved => {}
        }
    }
}

/// Bytes that count as held until this is dropped.
pub(crate) struct HeldBytes {
    shared: Arc<Shared>,
    usage: MemoryUse,
    bytes: u64,
}

impl HeldBytes {
    /// Returns the same data, with which these bytes are released.
    pub(crate) fn attach(self, data: Bytes) -> Bytes {
        Bytes::from_owner(CountedBytes { data, _held: self })
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        let change = self.shared.lock().release(self.usage, self.bytes);
        let bytes = i64::try_from(self.bytes).unwrap_or(i64::MAX);
        self.shared.update(self.usage, -bytes, change);
    }
}

/// Data with the guard that counts it.
struct CountedBytes {
    data: Bytes,
    _held: HeldBytes,
}

impl AsRef<[u8]> for CountedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

/// Counts an upload as in progress until it is dropped.
pub(crate) struct UploadGuard(Option<Arc<Shared>>);

impl Drop for UploadGuard {
    fn drop(&mut self) {
        if let Some(shared) = &self.0 {
            let change = shared.lock().end_upload();
            shared.log_change(change);
        }
    }
}

/// Counts a request as in progress until it is dropped.
pub(crate) struct RequestGuard(HeldBytes);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let shared = &self.0.shared;
        let change = {
            let mut budget = shared.lock();
            budget.end_request();
            budget.take_pressure_change()
        };
        shared.log_change(change);
    }
}
