//! The rate of bad answers that is usual for a service.

use crate::cusum::KINDS;
use crate::latency::median;

/// Smallest baseline rate. Below it, single random failures would weigh too much.
const FLOOR: f64 = 0.002;
/// Largest baseline rate.
const CEILING: f64 = 0.9;
/// Factor by which the long window forgets per slot of 500 ms: a time constant of 120 s.
const LONG_DECAY: f64 = 0.995_842;
/// Factor by which the short window forgets per slot of 500 ms: a time constant of 5 s. It lets
/// the baseline follow a shared change before the statistics reach their thresholds.
const SHORT_DECAY: f64 = 0.904_837;
/// Weight of the prior rate, in answers.
const PRIOR_ANSWERS: f64 = 50.0;

/// Weight of the usual rate against contemporary answers, in answers. Small, because a shared change
/// must show in the few answers that the first alarm rests on.
const CONTEMPORARY_PRIOR: f64 = 5.0;

/// Decaying counts of bad and judged answers of one upstream by kind.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rates {
    long: [(f64, f64); KINDS],
    short: [(f64, f64); KINDS],
}

impl Rates {
    /// Adds bad and judged answers of one kind.
    pub(crate) fn add(&mut self, kind: usize, bad: f64, judged: f64) {
        for window in [&mut self.long[kind], &mut self.short[kind]] {
            window.0 += bad;
            window.1 += judged;
        }
    }

    /// Lets one slot of time pass.
    pub(crate) fn decay(&mut self) {
        for kind in 0..KINDS {
            self.long[kind] = (self.long[kind].0 * LONG_DECAY, self.long[kind].1 * LONG_DECAY);
            self.short[kind] = (self.short[kind].0 * SHORT_DECAY, self.short[kind].1 * SHORT_DECAY);
        }
    }
}

/// Median rate over the upstreams for one kind, as a share of answers: the larger one of a long
/// and a short window. Each rate is shrunk towards a prior by a fixed number of answers.
pub(crate) fn baseline<'a>(rates: &(impl Iterator<Item = &'a Rates> + Clone), kind: usize) -> f64 {
    let over = |pick: fn(&Rates, usize) -> (f64, f64), prior: f64| {
        let shrink = |(bad, judged)| (bad + prior * PRIOR_ANSWERS) / (judged + PRIOR_ANSWERS);
        let known = rates.clone().map(|rate| pick(rate, kind)).filter(|(_, judged)| *judged > 0.5);
        median(&mut known.map(shrink).collect::<Vec<_>>()).unwrap_or(prior)
    };
    let long = over(|rate, kind| rate.long[kind], FLOOR).max(FLOOR);
    let short = over(|rate, kind| rate.short[kind], long);
    long.max(short).min(CEILING)
}

/// Rate of bad answers of the other upstreams in the time of an alarm, from their bad and judged
/// answers. The worst ones are left out, as many as can be faulty together with the upstream of the
/// alarm without being more than half of all.
pub(crate) fn contemporary_rate(mut others: Vec<(f64, f64)>, prior: f64) -> f64 {
    let rate = |(bad, judged): &(f64, f64)| bad / judged;
    others.sort_by(|a, b| rate(a).total_cmp(&rate(b)));
    let faulty = others.len().div_ceil(2).saturating_sub(1);
    others.truncate(others.len() - faulty);
    let bad: f64 = others.iter().map(|(bad, _)| bad).sum();
    let judged: f64 = others.iter().map(|(_, judged)| judged).sum();
    ((bad + prior * CONTEMPORARY_PRIOR) / (judged + CONTEMPORARY_PRIOR)).min(CEILING)
}
