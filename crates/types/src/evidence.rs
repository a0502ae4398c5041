//! Evidence that real requests give about an upstream.

use derive_more::{Add, AddAssign, Display};
use serde::{Deserialize, Serialize};

/// How one exchange with an upstream ended, as seen by the instance that made it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// A complete answer in a usual time.
    #[display("ok")]
    Ok,
    /// The connection could not be opened.
    #[display("refused")]
    Refused,
    /// A 5xx answer that is not a shed, a broken connection, or no answer in time.
    #[display("failed")]
    Failed,
    /// The answer ended before its announced length.
    #[display("cut_short")]
    CutShort,
    /// A complete answer that was slow against the other upstreams of the service.
    #[display("slow")]
    Slow,
    /// A reused connection gave no answer while a new connection to the upstream works.
    /// It carries no blame.
    #[display("silent")]
    Silent,
    /// The upstream refused the request because it is busy. It carries no blame.
    #[display("shed")]
    Shed,
}

/// Number of exchanges by outcome.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Add, AddAssign, Serialize, Deserialize,
)]
#[serde(default)]
pub struct Counts {
    /// Exchanges that ended with [`Outcome::Ok`].
    pub ok: u32,
    /// Exchanges that ended with [`Outcome::Refused`].
    pub refused: u32,
    /// Exchanges that ended with [`Outcome::Failed`].
    pub failed: u32,
    /// Exchanges that ended with [`Outcome::CutShort`].
    pub cut_short: u32,
    /// Exchanges that ended with [`Outcome::Slow`].
    pub slow: u32,
    /// Exchanges that ended with [`Outcome::Silent`].
    pub silent: u32,
    /// Exchanges that ended with [`Outcome::Shed`].
    pub shed: u32,
}

impl Counts {
    /// Counts one exchange.
    pub fn record(&mut self, outcome: Outcome) {
        let slot = match outcome {
            Outcome::Ok => &mut self.ok,
            Outcome::Refused => &mut self.refused,
            Outcome::Failed => &mut self.failed,
            Outcome::CutShort => &mut self.cut_short,
            Outcome::Slow => &mut self.slow,
            Outcome::Silent => &mut self.silent,
            Outcome::Shed => &mut self.shed,
        };
        *slot = slot.saturating_add(1);
    }

    /// Exchanges that count against the upstream because they failed.
    pub fn failures(&self) -> u32 {
        self.refused.saturating_add(self.failed).saturating_add(self.cut_short)
    }

    /// Exchanges that say something about the upstream's health: all but silent and shed ones.
    pub fn judged(&self) -> u32 {
        self.ok.saturating_add(self.slow).saturating_add(self.failures())
    }

    /// Returns true if nothing was counted.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
