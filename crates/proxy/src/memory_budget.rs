//! Budget of the bytes that an instance holds for callers and upstreams.
//!
//! Responses may be read ahead within a part of the budget, each one up to a quarter of what all
//! leave of it, so that the first slow callers do not leave later ones without any. New uploads are
//! refused before the budget is used up, since requests in progress are never aborted for memory.

use derive_more::Display;

/// Most bytes of one response that are held for its caller.
const MAX_RESPONSE_BYTES: u64 = 1024 * 1024;

/// One response may hold the free bytes divided by this.
const FREE_DIVISOR: u64 = 4;

/// Responses are read ahead up to the budget divided by this. Connections of slow callers and the
/// buffers that frames lie in cost more than the bytes that are held for them.
const RESPONSE_DIVISOR: u64 = 6;

/// Bytes that are read ahead and the buffers of all requests in progress together may use the budget
/// divided by this.
const BUFFERED_DIVISOR: u64 = 2;

/// Share of the limit of responses from which it counts as reached. The rest is too little for any
/// response to be read ahead.
const FULL_SHARE: f64 = 0.875;

/// Share of a limit below which an exhausted budget has room again.
const RELIEVED_SHARE: f64 = 0.85;

/// Bytes that an upload in progress counts for at least. An upstream that stops reading makes the
/// instance hold this much of it, also if it holds less now.
const MIN_UPLOAD_BYTES: u64 = 64 * 1024;

/// Memory of the connections of a request in progress, beside bodies.
const REQUEST_BUFFER_BYTES: u64 = 80 * 1024;

/// What bytes are held for.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum MemoryUse {
    /// Bodies of responses that callers have not taken.
    #[display("responses")]
    Responses,
    /// Heads and bodies of requests that upstreams have not taken.
    #[display("requests")]
    Requests,
}

/// Change between a budget with room and an exhausted one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PressureChange {
    /// Responses are read as their callers take them, or new uploads are refused.
    Exhausted,
    /// There is room for both again.
    Relieved,
}

/// Number of bytes that are held and that may be held.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    total: u64,
    responses: u64,
    requests: u64,
    in_progress: u64,
    uploads: u64,
    is_exhausted: bool,
}

impl MemoryBudget {
    /// Creates a budget of `total` bytes, of which none are held.
    pub fn new(total: u64) -> Self {
        Self { total, responses: 0, requests: 0, in_progress: 0, uploads: 0, is_exhausted: false }
    }

    /// Returns the number of bytes that are held for a use.
    pub fn held(&self, usage: MemoryUse) -> u64 {
        match usage {
            MemoryUse::Responses => self.responses,
            MemoryUse::Requests => self.requests,
        }
    }

    /// Counts bytes as held. Bytes that have arrived count also beyond the budget.
    pub fn hold(&mut self, usage: MemoryUse, bytes: u64) -> Option<PressureChange> {
        *self.held_mut(usage) += bytes;
        self.take_pressure_change()
    }

    /// Counts bytes as no longer held.
    pub fn release(&mut self, usage: MemoryUse, bytes: u64) -> Option<PressureChange> {
        let held = self.held_mut(usage);
        *held = held.saturating_sub(bytes);
        self.take_pressure_change()
    }

    /// Counts a request as in progress.
    pub fn start_request(&mut self) {
        self.in_progress += 1;
    }

    /// Counts the end of a request.
    pub fn end_request(&mut self) {
        self.in_progress = self.in_progress.saturating_sub(1);
    }

    /// Counts an upload of unknown or large size, or returns false if it has to be refused.
    pub fn start_upload(&mut self) -> bool {
        let has_room = self.used() < self.upload_limit();
        self.uploads += u64::from(has_room);
        has_room
    }

    /// Counts the end of an upload.
    pub fn end_upload(&mut self) -> Option<PressureChange> {
        self.uploads = self.uploads.saturating_sub(1);
        self.take_pressure_change()
    }

    /// Returns true if `next` more bytes may be read of a response of which `held` bytes wait for
    /// its caller.
    pub fn allows_reading_ahead(&self, held: u64, next: u64) -> bool {
        let free = self.response_limit().saturating_sub(self.responses);
        held.saturating_add(next) <= MAX_RESPONSE_BYTES.min(free / FREE_DIVISOR)
    }

    fn held_mut(&mut self, usage: MemoryUse) -> &mut u64 {
        match usage {
            MemoryUse::Responses => &mut self.responses,
            MemoryUse::Requests => &mut self.requests,
        }
    }

    /// Returns the number of bytes up to which responses are read ahead.
    fn response_limit(&self) -> u64 {
        let buffers = self.in_progress * REQUEST_BUFFER_BYTES;
        let beside_buffers = (self.total / BUFFERED_DIVISOR).saturating_sub(buffers);
        beside_buffers.min(self.total / RESPONSE_DIVISOR)
    }

    /// Returns the number of bytes in use from which new uploads are refused: three quarters of all.
    fn upload_limit(&self) -> u64 {
        self.total / 4 * 3
    }

    fn used(&self) -> u64 {
        self.responses + self.requests.max(self.uploads * MIN_UPLOAD_BYTES)
    }

    /// Returns the change since the last call. A budget is relieved only some way below the limits,
    /// so that one near them does not change with each response.
    pub fn take_pressure_change(&mut self) -> Option<PressureChange> {
        let share = if self.is_exhausted { RELIEVED_SHARE } else { 1.0 };
        let is_reached = |used: u64, limit: u64| used as f64 >= limit as f64 * share;
        let response_limit = self.response_limit() as f64 * FULL_SHARE;
        let is_exhausted = is_reached(self.responses, response_limit as u64)
            || is_reached(self.used(), self.upload_limit());
        if is_exhausted == self.is_exhausted {
            return None;
        }
        self.is_exhausted = is_exhausted;
        Some(if is_exhausted { PressureChange::Exhausted } else { PressureChange::Relieved })
    }
}
