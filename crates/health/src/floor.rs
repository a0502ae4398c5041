//! The smallest changes to a plan that keep a service at its floor.

use std::cmp::Ordering;

use cactustrack_types::UpstreamId;

/// Added to the weight that exactly reaches the floor, so that rounding of sums never leaves the
/// capacity below it.
const ROUNDING: f64 = 1e-9;

/// A live upstream that is not leaving.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Name of the upstream.
    pub id: UpstreamId,
    /// Weight without any ejection or trial, from 0 to 1. Below 1 while the upstream is cold.
    pub full: f64,
    /// Weight that its health calls for, from 0 to `full`.
    pub wanted: f64,
    /// How faulty the upstream is: the larger first number is worse, then the larger second one.
    pub badness: (f64, f64),
}

impl Candidate {
    fn order(&self, other: &Self) -> Ordering {
        let first = self.badness.0.total_cmp(&other.badness.0);
        let second = self.badness.1.total_cmp(&other.badness.1);
        first.then(second).then_with(|| self.id.cmp(&other.id))
    }
}

/// Returns a weight for each candidate, in their order, so that the sum of weight × `slots` is at
/// least `floor_slots`, or what all full weights give if that is less.
///
/// Candidates keep the weight that they want where possible. Otherwise the least faulty ones are
/// raised to their full weight first, ties by id, and the last one that is raised gets the
/// smallest weight that satisfies the floor.
pub fn allocate(floor_slots: f64, slots: f64, candidates: &[Candidate]) -> Vec<f64> {
    let mut weights: Vec<f64> = candidates.iter().map(|c| c.wanted.min(c.full)).collect();
    let available: f64 = candidates.iter().map(|candidate| candidate.full * slots).sum();
    let mut missing = floor_slots.min(available) - weights.iter().sum::<f64>() * slots;
    if missing <= 0.0 || slots <= 0.0 {
        return weights;
    }
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by(|a, b| candidates[*a].order(&candidates[*b]));
    for index in order {
        if missing <= 0.0 {
            break;
        }
        let raised = (weights[index] + missing / slots + ROUNDING).min(candidates[index].full);
        missing -= (raised - weights[index]) * slots;
        weights[index] = raised;
    }
    weights
}
