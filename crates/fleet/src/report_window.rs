//! Sequence numbers of the reports that were accepted from one sender.
//!
//! Reports take different hubs, so a later one may arrive first.

use crate::peers::NoticeError;

/// Accepted sequence numbers, up to 127 before the latest one. An instance that is a hub uses a few
/// hundred sequence numbers a second, and a hub holds a report for some tens of milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReportWindow {
    latest: u64,
    /// Bit `n` is set if the report `latest - n` was accepted.
    accepted: u128,
}

impl ReportWindow {
    /// Accepts a report. Returns true if it is the latest one so far.
    ///
    /// # Errors
    ///
    /// Fails if the report was accepted before, or is too old to know.
    pub(crate) fn accept(&mut self, sequence: u64) -> Result<bool, NoticeError> {
        if sequence > self.latest {
            let shift = u32::try_from(sequence - self.latest).unwrap_or(u32::MAX);
            self.accepted = self.accepted.checked_shl(shift).unwrap_or(0) | 1;
            self.latest = sequence;
            return Ok(true);
        }
        let age = u32::try_from(self.latest - sequence).unwrap_or(u32::MAX);
        let bit = 1_u128.checked_shl(age).ok_or(NoticeError::OutOfOrder)?;
        if self.accepted & bit != 0 {
            return Err(NoticeError::Duplicate);
        }
        self.accepted |= bit;
        Ok(false)
    }
}
