//! The rate of bad answers that is usual for a service.

use crate::cusum::KINDS;
use crate::latency::median;

/// Smallest baseline rate. Services with few requests have no better estimate for minutes, and one
/// that is too low shortens the time between false alarms by orders of magnitude.
const FLOOR: f64 = 0.004;
/// Largest baseline rate.
const CEILING: f64 = 0.9;
/// Factor by which the rates forget per slot of 500 ms: a time constant of 120 s. Shorter ones make
/// the median of a small service so noisy that a fault rate of 3% takes twice the samples. Shared
/// changes that are faster are recognized by [`contemporary_rate`].
const DECAY: f64 = 0.995_842;
/// Factor by which the recent rates forget per slot: a time constant of 30 s.
const RECENT_DECAY: f64 = 0.983_471;
/// Weight of the prior rate, in answers.
const PRIOR_ANSWERS: f64 = 50.0;

/// Weight of the usual rate against contemporary answers, in answers. Small, because a shared change
/// must show in the few answers that the first alarm rests on.
const CONTEMPORARY_PRIOR: f64 = 5.0;

/// Decaying counts of bad and judged answers of one upstream by kind.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rates {
    usual: [(f64, f64); KINDS],
    recent: [(f64, f64); KINDS],
}

impl Rates {
    /// Adds bad and judged answers of one kind.
    pub(crate) fn add(&mut self, kind: usize, bad: f64, judged: f64) {
        for window in [&mut self.usual[kind], &mut self.recent[kind]] {
            window.0 += bad;
            window.1 += judged;
        }
    }

    /// Lets one slot of time pass.
    pub(crate) fn decay(&mut self) {
        for (windows, decay) in [(&mut self.usual, DECAY), (&mut self.recent, RECENT_DECAY)] {
            for (bad, judged) in windows {
                *bad *= decay;
                *judged *= decay;
            }
        }
    }

    /// Answers of the last 30 s.
    pub(crate) fn recent(&self, kind: usize) -> Answers {
        let (bad, judged) = self.recent[kind];
        Answers { bad, good: judged - bad, silent: 0.0 }
    }

    fn shrunk(&self, kind: usize) -> f64 {
        let (bad, judged) = self.usual[kind];
        (bad + FLOOR * PRIOR_ANSWERS) / (judged + PRIOR_ANSWERS)
    }
}

/// Median rate over the upstreams for one kind, as a share of answers. Each rate is shrunk towards
/// the smallest baseline by a fixed number of answers.
pub(crate) fn baseline<'a>(rates: impl Iterator<Item = &'a Rates>, kind: usize) -> f64 {
    let mut rates: Vec<f64> = rates.map(|rates| rates.shrunk(kind)).collect();
    median(&mut rates).unwrap_or(FLOOR).clamp(FLOOR, CEILING)
}

/// Answers of an upstream in some time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Answers {
    pub(crate) bad: f64,
    pub(crate) good: f64,
    /// Expected answers of observers that sent no report.
    pub(crate) silent: f64,
}

impl Answers {
    /// Most likely rate of bad answers. Silence means that there was no bad answer among a Poisson
    /// number of requests, so the likelihood of a rate p is p^bad × (1 − p)^good × e^(−p × silent).
    fn rate(&self) -> f64 {
        let Self { bad, good, silent } = *self;
        let sum = bad + good + silent;
        if silent < 1e-6 {
            return if sum > 0.0 { bad / sum } else { 0.0 };
        }
        (sum - (sum * sum - 4.0 * silent * bad).max(0.0).sqrt()) / (2.0 * silent)
    }
}

/// Rate of bad answers of the other upstreams in the time of an alarm, from the answers of each.
pub(crate) fn contemporary_rate(others: &[Answers], prior: f64) -> f64 {
    let bad = prior * CONTEMPORARY_PRIOR;
    let start = Answers { bad, good: CONTEMPORARY_PRIOR - bad, silent: 0.0 };
    let sum = others.iter().fold(start, |sum, other| Answers {
        bad: sum.bad + other.bad,
        good: sum.good + other.good,
        silent: sum.silent + other.silent,
    });
    sum.rate().min(CEILING)
}

/// The same without the worst upstreams, as many as can be faulty together with the upstream of the
/// alarm without being more than half of all.
pub(crate) fn trimmed_rate(mut others: Vec<Answers>, prior: f64) -> f64 {
    others.sort_by(|a, b| a.rate().total_cmp(&b.rate()));
    let faulty = others.len().div_ceil(2).saturating_sub(1);
    contemporary_rate(&others[..others.len() - faulty], prior)
}
