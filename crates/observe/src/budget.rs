//! A bound on the volume of the log.

use std::cell::RefCell;
use std::time::Instant;

/// Bytes that may be written in a second on average.
const BYTES_PER_SECOND: f64 = 32.0 * 1024.0;

/// Bytes that may be written at once after a quiet time.
const BURST_BYTES: f64 = 4.0 * BYTES_PER_SECOND;

/// Part of the burst that is kept for important lines.
const RESERVED_SHARE: f64 = 0.5;

/// How much a line is worth to whoever looks for a cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinePriority {
    /// Concerns a request that was served.
    Routine,
    /// Concerns a request that was refused or failed.
    Important,
}

struct State {
    bytes: f64,
    at: Option<Instant>,
    left_out: u64,
}

/// Budget of the lines that requests cause. Lines of requests that were served are left out first.
pub struct LogBudget(RefCell<State>);

impl LogBudget {
    /// Starts with a full budget.
    pub fn new() -> Self {
        Self(RefCell::new(State { bytes: BURST_BYTES, at: None, left_out: 0 }))
    }

    /// Returns the number of lines left out since the last one if a line may be written now.
    pub fn allow(&self, now: Instant, kind: LinePriority, bytes: usize) -> Option<u64> {
        let mut state = self.0.borrow_mut();
        let elapsed = state.at.map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        state.at = Some(now);
        state.bytes = (state.bytes + elapsed * BYTES_PER_SECOND).min(BURST_BYTES);
        let reserved = match kind {
            LinePriority::Routine => BURST_BYTES * RESERVED_SHARE,
            LinePriority::Important => 0.0,
        };
        if state.bytes - (bytes as f64) < reserved {
            state.left_out += 1;
            return None;
        }
        state.bytes -= bytes as f64;
        Some(std::mem::take(&mut state.left_out))
    }
}

impl Default for LogBudget {
    fn default() -> Self {
        Self::new()
    }
}
