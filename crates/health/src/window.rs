//! Evidence about one upstream in time slots, newest last.

use std::collections::VecDeque;

use cactustrack_types::Counts;

use crate::baseline::Answers;
use crate::cusum::{Cell, Group};

/// Slots that a report can cover: the wait of ok evidence (5 s) and one exchange interval.
pub(crate) const MAX_SPAN: u64 = 11;
/// Slots kept in the order of time. Older ones are folded into the statistics. Three more than a
/// report can cover, so that a delayed report finds its slots.
pub(crate) const SLOTS: usize = 14;

/// Counts of one report and the slots that they are spread over.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Spread {
    /// First slot that the report covers.
    pub(crate) first: u64,
    /// Slot in which the report arrived.
    pub(crate) last: u64,
    /// The reported counts.
    pub(crate) counts: Counts,
}

/// A ring of slots, each with one [`Cell`] per failure domain.
#[derive(Debug, Default)]
pub(crate) struct Window {
    first: u64,
    slots: VecDeque<Vec<Cell>>,
}

impl Window {
    /// Makes `now` the newest slot and passes slots that fall out of the window to `fold`.
    pub(crate) fn advance(&mut self, now: u64, domains: usize, mut fold: impl FnMut(u64, &[Cell])) {
        if self.slots.is_empty() {
            self.first = now;
        }
        while self.first + (self.slots.len() as u64) <= now {
            let mut slot = if self.slots.len() >= SLOTS { self.slots.pop_front() } else { None };
            if let Some(old) = &mut slot {
                old.iter_mut().for_each(|cell| cell.silent = 0.0);
                fold(self.first, old);
                self.first += 1;
            }
            let fresh = slot.get_or_insert_default();
            fresh.clear();
            fresh.resize(domains, Cell::default());
            self.slots.push_back(slot.unwrap_or_default());
        }
    }

    /// Adds counts (`sign` 1) or takes them away again (`sign` −1). Bad outcomes go to the slot in
    /// which the report arrived, because bad evidence does not wait. Ok outcomes waited and are
    /// spread evenly over the slots that the report covers.
    pub(crate) fn add(&mut self, domain: usize, spread: &Spread, sign: f64) {
        let Counts { ok, refused, failed, cut_short, slow, .. } = spread.counts;
        if let Some(cell) = self.cell(domain, spread.last) {
            for (sum, count) in cell.counts[1..].iter_mut().zip([refused, failed, cut_short, slow])
            {
                *sum += sign * f64::from(count);
            }
        }
        let span = spread.last - spread.first + 1;
        let share = f64::from(ok) / span as f64;
        for slot in spread.first..=spread.last {
            let slot = slot.max(self.first);
            if let Some(cell) = self.cell(domain, slot) {
                cell.counts[0] += sign * share;
            }
        }
    }

    /// Takes the evidence of the domains for which `drop` returns true out of the statistics.
    pub(crate) fn clear(&mut self, drop: impl Fn(usize) -> bool) {
        for slot in &mut self.slots {
            for (_, cell) in slot.iter_mut().enumerate().filter(|(domain, _)| drop(*domain)) {
                cell.drop_counts();
            }
        }
    }

    /// True if no slot has a bad answer.
    pub(crate) fn is_good(&self) -> bool {
        let mut cells = self.slots.iter().flatten();
        cells.all(|cell| cell.counts[1..].iter().all(|count| *count <= 0.0))
    }

    /// Answers of one kind in the slots from `since` on, dropped ones included.
    pub(crate) fn answers(&self, kind: usize, group: Group, since: u64) -> Answers {
        let skipped = usize::try_from(since.saturating_sub(self.first)).unwrap_or(usize::MAX);
        let cells = self.slots.iter().skip(skipped).flat_map(|slot| slot.iter().enumerate());
        let cells = cells.filter(|(domain, _)| group.contains(*domain));
        cells.fold(Answers::default(), |sum, (_, cell)| {
            let (bad, good) = cell.all_bad_and_good(kind);
            Answers { bad: sum.bad + bad, good: sum.good + good, silent: sum.silent + cell.silent }
        })
    }

    /// First slot in the window.
    pub(crate) fn first(&self) -> u64 {
        self.first
    }

    /// Slots in the order of time.
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
