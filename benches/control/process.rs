//! Processor time and memory of this process.

use std::fs;

/// Returns the processor time of the calling thread in seconds, or 0 if it cannot be read.
pub(crate) fn cpu_seconds() -> f64 {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let ns: f64 = text.split(' ').next().and_then(|field| field.parse().ok()).unwrap_or(0.0);
    ns / 1e9
}

/// Returns the resident memory of the process in bytes, or 0 if it cannot be read.
pub(crate) fn resident_bytes() -> f64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = text.split(' ').nth(1).and_then(|field| field.parse().ok()).unwrap_or(0.0);
    pages * 4096.0
}
