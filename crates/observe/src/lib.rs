//! Metrics, logging and tracing of an instance.

mod budget;
mod export;
mod log;
mod metrics;
mod trace;

pub use budget::{LinePriority, LogBudget};
pub use export::{ExportTarget, export_spans};
pub use log::{LogTarget, RateLimit, new_logger};
pub use metrics::Metrics;
pub use trace::{Span, SpanKind, SpanQueue, SpanTimer, TraceContext};
