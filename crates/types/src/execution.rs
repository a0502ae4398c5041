//! What a refusal states about the request.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Whether a refused request may have been run by an upstream.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// No upstream acted on any byte of the request.
    #[display("not_run")]
    NotRun,
    /// The request may or may not have been run.
    #[display("unknown")]
    Unknown,
}
