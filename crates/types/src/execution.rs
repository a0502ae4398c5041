//! What a rejection states about the request.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Whether a rejected request may have been run by an upstream.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// No upstream acted on any byte of the request.
    #[display("not_run")]
    NotRun,
    /// The request may or may not have been run.
    #[display("unknown")]
    Unknown,
    /// An earlier request with the same idempotency key was run; this one was not run again.
    #[display("completed")]
    Completed,
}
