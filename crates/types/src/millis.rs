//! Durations in configuration files and messages.

use std::time::Duration;

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// A duration that is serialized as a whole number of milliseconds.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    Into,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{} ms", _0.as_millis())]
#[serde(from = "u64", into = "u64")]
pub struct Millis(pub Duration);

impl From<u64> for Millis {
    fn from(ms: u64) -> Self {
        Self(Duration::from_millis(ms))
    }
}

impl From<Millis> for u64 {
    fn from(value: Millis) -> Self {
        Self::try_from(value.0.as_millis()).unwrap_or(Self::MAX)
    }
}
