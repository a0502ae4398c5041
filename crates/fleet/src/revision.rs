//! Positions in the history of the store.
//!
//! The store may come back from an older copy. What was written since is then lost, and revision
//! numbers are given out again, so a number alone names no state. The era tells the histories apart:
//! it rises each time the store comes back from a copy. A [`Revision`] is the pair of both, and is
//! made only where a response of the store is decoded.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Number of a history of the store, 0 if the store does not state it.
pub type Era = u64;

/// Era of a store that never came back from a copy. A process that starts in a later one does not know
/// how long ago that era began.
pub const FIRST_ERA: Era = 1;

/// Position in the history of the store. It increases with each change, and with each era.
///
/// Revisions of different eras are ordered by their eras, but the newer one does not contain the
/// changes of the older one.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{era}/{number}")]
pub struct Revision {
    era: Era,
    number: u64,
}

impl Revision {
    /// The position before any change. It stands for a topic that was not read or a key that does not
    /// exist.
    pub const NONE: Self = Self { era: 0, number: 0 };

    /// Creates the revision with a number that the store gave out in an era.
    pub const fn new(era: Era, number: u64) -> Self {
        Self { era, number }
    }

    /// Returns the era.
    pub const fn era(self) -> Era {
        self.era
    }

    /// Returns the number, which the store interprets in its current era.
    pub const fn number(self) -> u64 {
        self.number
    }

    /// Returns true if this is [`Self::NONE`].
    pub fn is_none(self) -> bool {
        self == Self::NONE
    }
}
