//! Sliding window of the evidence about one upstream, in time slots.

use std::collections::VecDeque;

use cactustrack_types::Counts;

use crate::baseline::ResponseCounts;
use crate::cusum::{Cell, Group};

/// Largest number of slots that a report can cover: the delay of ok evidence (5 s) and one exchange
/// interval.
pub(crate) const MAX_REPORT_SLOTS: u64 = 11;
/// Number of slots in the window. Older ones are folded into the statistics. Three more than a
/// report can cover, so that the slots of a delayed report are still in the window.
pub(crate) const WINDOW_SLOTS: usize = 14;

/// Counts of one report and the slots that they are distributed over.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SpreadCounts {
    /// First slot that the report covers.
    pub(crate) first: u64,
    /// Slot in which the report arrived.
    pub(crate) last: u64,
    /// Counts of the report.
    pub(crate) counts: Counts,
}

/// A queue of slots, oldest first, each with one [`Cell`] per failure domain.
#[derive(Debug, Default)]
pub(crate) struct Window {
    first: u64,
    slots: VecDeque<Vec<Cell>>,
}

impl Window {
    /// Makes `now` the newest slot, and passes slots that leave the window to `fold`.
    pub(crate) fn advance(&mut self, now: u64, domains: usize, mut fold: impl FnMut(u64, &[Cell])) {
        if self.slots.is_empty() {
            self.first = now;
        }
        while self.first + (self.slots.len() as u64) <= now {
            let mut slot =
                if self.slots.len() >= WINDOW_SLOTS { self.slots.pop_front() } else { None };
            if let Some(old) = &mut slot {
                old.iter_mut().for_each(|cell| cell.unreported = 0.0);
                fold(self.first, old);
                self.first += 1;
            }
            let fresh = slot.get_or_insert_default();
            fresh.clear();
            fresh.resize(domains, Cell::default());
            self.slots.push_back(slot.unwrap_or_default());
        }
    }

    /// Adds counts (`sign` 1) or subtracts them again (`sign` −1). Bad outcomes are counted in the
    /// slot in which the report arrived, because bad evidence is reported at once. Ok outcomes are
    /// reported with a delay, and are distributed evenly over the slots that the report covers.
    pub(crate) fn add(&mut self, domain: usize, spread: &SpreadCounts, sign: f64) {
        let Counts { ok, refused, failed, cut_short, slow, .. } = spread.counts;
        if let Some(cell) = self.cell(domain, spread.last) {
            for (sum, count) in cell.counts[1..].iter_mut().zip([refused, failed, cut_short, slow])
            {
                *sum += sign * f64::from(count);
            }
        }
        let slots = spread.last - spread.first + 1;
        let share = f64::from(ok) / slots as f64;
        for slot in spread.first..=spread.last {
            let slot = slot.max(self.first);
            if let Some(cell) = self.cell(domain, slot) {
                cell.counts[0] += sign * share;
            }
        }
    }

    /// Removes the evidence of failure domains for which `discard` returns true from the
    /// statistics.
    pub(crate) fn discard(&mut self, discard: impl Fn(usize) -> bool) {
        for slot in &mut self.slots {
            for (_, cell) in slot.iter_mut().enumerate().filter(|(domain, _)| discard(*domain)) {
                cell.discard_counts();
            }
        }
    }

    /// Returns true if no slot has a bad response.
    pub(crate) fn has_no_bad(&self) -> bool {
        let mut cells = self.slots.iter().flatten();
        cells.all(|cell| cell.counts[1..].iter().all(|count| *count <= 0.0))
    }

    /// Returns the responses of one kind in the slots from `since` on, including discarded ones.
    pub(crate) fn responses(&self, kind: usize, group: Group, since: u64) -> ResponseCounts {
        let skipped = usize::try_from(since.saturating_sub(self.first)).unwrap_or(usize::MAX);
        let cells = self.slots.iter().skip(skipped).flat_map(|slot| slot.iter().enumerate());
        let cells = cells.filter(|(domain, _)| group.contains(*domain));
        cells.fold(ResponseCounts::default(), |sum, (_, cell)| {
            let (bad, good) = cell.bad_and_good_with_discarded(kind);
            ResponseCounts {
                bad: sum.bad + bad,
                good: sum.good + good,
                unreported: sum.unreported + cell.unreported,
            }
        })
    }

    /// Returns the number of the first slot in the window.
    pub(crate) fn first(&self) -> u64 {
        self.first
    }

    /// Returns the slots, oldest first.
    pub(crate) fn slots_mut(&mut self) -> &mut VecDeque<Vec<Cell>> {
        &mut self.slots
    }

    fn cell(&mut self, domain: usize, slot: u64) -> Option<&mut Cell> {
        let index = usize::try_from(slot.checked_sub(self.first)?).ok()?;
        let cells = self.slots.get_mut(index)?;
        if cells.len() <= domain {
            cells.resize(domain + 1, Cell::default());
        }
        cells.get_mut(domain)
    }
}
