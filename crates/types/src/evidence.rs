//! Outcomes of requests to an upstream, from which its health is inferred.

use derive_more::{Add, AddAssign, Display};
use serde::{Deserialize, Serialize};

/// Outcome of one exchange with an upstream, as observed by the instance that sent the request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// A complete response that was not slow.
    #[display("ok")]
    Ok,
    /// The connection could not be opened.
    #[display("refused")]
    Refused,
    /// A 5xx response other than one that sheds load, a broken connection, or a timeout.
    #[display("failed")]
    Failed,
    /// The response body ended before its declared length.
    #[display("cut_short")]
    CutShort,
    /// A complete response that was slow compared with the other upstreams of the service.
    #[display("slow")]
    Slow,
    /// No response on a reused connection while a new connection to the upstream works.
    /// Not evidence of a fault.
    #[display("silent")]
    Silent,
    /// The upstream shed the request because of its load. Not evidence of a fault.
    #[display("shed")]
    Shed,
}

/// Number of exchanges with an upstream by outcome.
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
        let count = match outcome {
            Outcome::Ok => &mut self.ok,
            Outcome::Refused => &mut self.refused,
            Outcome::Failed => &mut self.failed,
            Outcome::CutShort => &mut self.cut_short,
            Outcome::Slow => &mut self.slow,
            Outcome::Silent => &mut self.silent,
            Outcome::Shed => &mut self.shed,
        };
        *count = count.saturating_add(1);
    }

    /// Returns the number of failed exchanges: refused, failed and cut short.
    pub fn failures(&self) -> u32 {
        self.refused.saturating_add(self.failed).saturating_add(self.cut_short)
    }

    /// Returns the number of exchanges that are evidence of the upstream's health: all but silent
    /// and shed ones.
    pub fn evidence_count(&self) -> u32 {
        self.ok.saturating_add(self.slow).saturating_add(self.failures())
    }

    /// Returns true if all counts are zero.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
