//! Statement of a rejection about the execution of its request.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Whether an upstream may have executed a rejected request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// No upstream processed any byte of the request.
    #[display("not_run")]
    NotRun,
    /// An upstream may have executed the request.
    #[display("unknown")]
    Unknown,
    /// An earlier request with the same idempotency key was executed; this one was not.
    #[display("completed")]
    Completed,
}
