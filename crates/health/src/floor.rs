//! Smallest changes to the weights of upstreams that keep a service at its floor.

use std::cmp::Ordering;

use cactustrack_types::UpstreamId;

/// Added to the weight that exactly reaches the floor, so that rounding errors never leave the
/// capacity below it.
const ROUNDING_MARGIN: f64 = 1e-9;

/// A listed upstream that is not leaving.
#[derive(Clone, Debug, PartialEq)]
pub struct FloorCandidate {
    /// Name of the upstream.
    pub id: UpstreamId,
    /// Weight without any ejection or trial, from 0 to 1. Below 1 while the upstream is ramped up.
    pub full_weight: f64,
    /// Weight according to the health of the upstream, from 0 to `full_weight`.
    pub desired_weight: f64,
    /// Severity of the fault: candidates are ordered by the first number, ties by the second. A
    /// larger number is worse.
    pub severity: (f64, f64),
}

impl FloorCandidate {
    fn cmp_severity(&self, other: &Self) -> Ordering {
        let first = self.severity.0.total_cmp(&other.severity.0);
        let second = self.severity.1.total_cmp(&other.severity.1);
        first.then(second).then_with(|| self.id.cmp(&other.id))
    }
}

/// Returns a weight for each candidate, in the order of the candidates, so that the sum of
/// weight × `slots` is at least `floor_slots`, or the sum with all full weights if that is less.
///
/// Candidates keep their desired weight if that satisfies the floor. Otherwise they are raised to
/// their full weight in the order of severity, the least faulty first and ties by id, and the last
/// one that is raised gets the smallest weight that satisfies the floor.
pub fn allocate_weights(floor_slots: f64, slots: f64, candidates: &[FloorCandidate]) -> Vec<f64> {
    let mut weights: Vec<f64> =
        candidates.iter().map(|c| c.desired_weight.min(c.full_weight)).collect();
    let available: f64 = candidates.iter().map(|candidate| candidate.full_weight * slots).sum();
    let mut missing = floor_slots.min(available) - weights.iter().sum::<f64>() * slots;
    if missing <= 0.0 || slots <= 0.0 {
        return weights;
    }
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by(|a, b| candidates[*a].cmp_severity(&candidates[*b]));
    for index in order {
        if missing <= 0.0 {
            break;
        }
        let raised =
            (weights[index] + missing / slots + ROUNDING_MARGIN).min(candidates[index].full_weight);
        missing -= (raised - weights[index]) * slots;
        weights[index] = raised;
    }
    weights
}
