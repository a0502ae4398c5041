//! Token bucket that bounds the volume of the log.

use std::cell::RefCell;
use std::time::Instant;

/// Average number of bytes that may be written per second.
const BYTES_PER_SECOND: f64 = 32.0 * 1024.0;

/// Maximum number of bytes that may be written in a burst.
const BURST_BYTES: f64 = 4.0 * BYTES_PER_SECOND;

/// Share of the burst that is reserved for important lines.
const RESERVED_SHARE: f64 = 0.5;

/// Priority of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinePriority {
    /// The line is about a request that was served.
    Routine,
    /// The line is about a request that was rejected or failed.
    Important,
}

struct State {
    available_bytes: f64,
    updated_at: Option<Instant>,
    suppressed: u64,
}

/// Budget of the log lines about requests. Lines about requests that were served are suppressed
/// first, because lines about failures matter more for a diagnosis.
pub struct LogBudget(RefCell<State>);

impl LogBudget {
    /// Creates a full budget.
    pub fn new() -> Self {
        Self(RefCell::new(State { available_bytes: BURST_BYTES, updated_at: None, suppressed: 0 }))
    }

    /// Returns the number of lines suppressed since the last one if a line of this many bytes may
    /// be written now. Returns `None` and counts the line as suppressed otherwise.
    pub fn allow(&self, now: Instant, priority: LinePriority, bytes: usize) -> Option<u64> {
        let mut state = self.0.borrow_mut();
        let elapsed =
            state.updated_at.map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        state.updated_at = Some(now);
        state.available_bytes =
            (state.available_bytes + elapsed * BYTES_PER_SECOND).min(BURST_BYTES);
        let reserved = match priority {
            LinePriority::Routine => BURST_BYTES * RESERVED_SHARE,
            LinePriority::Important => 0.0,
        };
        if state.available_bytes - (bytes as f64) < reserved {
            state.suppressed += 1;
            return None;
        }
        state.available_bytes -= bytes as f64;
        Some(std::mem::take(&mut state.suppressed))
    }
}

impl Default for LogBudget {
    fn default() -> Self {
        Self::new()
    }
}
