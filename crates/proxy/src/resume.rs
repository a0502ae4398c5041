//! Completes a large answer from another upstream.

use crate::exchange::Answer;
use crate::relay::Resume;
use crate::repeatable::Repeatable;

/// A large answer that another upstream can complete.
pub(crate) struct LargeResume {
    _request: Repeatable,
}

impl LargeResume {
    pub(crate) fn new(_request: Repeatable, _answer: &Answer) -> Option<Box<dyn Resume>> {
        None
    }
}
