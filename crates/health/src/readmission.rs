//! Length of ejections and the trial period after them.

use std::time::{Duration, Instant};

use cactustrack_types::{Incarnation, Standing};

use crate::votes::{Fault, Judgement};

/// Longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(300);
/// Time after the end of an ejection within which a further one is twice as long.
const REPEAT_WITHIN: Duration = Duration::from_secs(600);
/// Good answers across the fleet that end the first stage of a trial.
const FIRST_STAGE_GOOD_ANSWERS: u32 = 20;
/// Good answers across the fleet that end a trial: 20, and 60 more.
pub(crate) const TRIAL_GOOD_ANSWERS: u32 = 80;
/// Weights of an upstream on trial by stage, as shares of its full weight.
const TRIAL_WEIGHTS: [f64; 2] = [0.05, 0.25];
/// Time after which a stage of a trial ends if no collector knows how the upstream does. Without
/// it, a trial would never end after a replacement of all collectors.
const UNOBSERVED_STAGE: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Phase {
    Clear,
    Ejected { until: Instant },
    Trial { stage: usize, since: Instant },
}

/// Fault history of one incarnation of an upstream, as one instance knows it.
#[derive(Clone, Debug)]
pub(crate) struct History {
    pub(crate) incarnation: Incarnation,
    pub(crate) phase: Phase,
    /// Ejections, each within [`REPEAT_WITHIN`] of the one before.
    pub(crate) ejections: u32,
    /// Length of the latest ejection.
    pub(crate) length: Duration,
    /// The latest fault.
    pub(crate) fault: Fault,
    /// Standing in the latest plan.
    pub(crate) standing: Standing,
    ended: Option<Instant>,
}

impl History {
    pub(crate) fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            phase: Phase::Clear,
            ejections: 0,
            length: Duration::ZERO,
            fault: Fault::default(),
            standing: Standing::InService,
            ended: None,
        }
    }

    /// Moves the phase on. `base` is the length of a first ejection.
    pub(crate) fn advance(&mut self, now: Instant, base: Duration, judgement: &Judgement) {
        match (self.phase, judgement.fault) {
            (Phase::Clear | Phase::Trial { .. }, Some(fault)) => self.eject(now, base, fault),
            (Phase::Ejected { .. }, Some(fault)) => self.fault = fault,
            (Phase::Ejected { until }, None) if now >= until => {
                self.ended = Some(now);
                self.phase = Phase::Trial { stage: 0, since: now };
                self.pass_stages(now, judgement);
            }
            (Phase::Trial { .. }, None) => self.pass_stages(now, judgement),
            _ => {}
        }
    }

    /// Share of its full weight that the upstream gets, before the floor is considered.
    pub(crate) fn weight(&self) -> f64 {
        match self.phase {
            Phase::Clear => 1.0,
            Phase::Ejected { .. } => 0.0,
            Phase::Trial { stage, .. } => TRIAL_WEIGHTS[stage],
        }
    }

    /// Orders upstreams from the first to the last one to be readmitted for the floor.
    pub(crate) fn badness(&self) -> (f64, f64) {
        match self.phase {
            Phase::Ejected { .. } => self.fault.badness(),
            Phase::Clear | Phase::Trial { .. } => (-self.weight(), 0.0),
        }
    }

    /// True if nothing of the history matters any more.
    pub(crate) fn is_over(&self, now: Instant) -> bool {
        self.phase == Phase::Clear && !self.is_repeat(now)
    }

    fn eject(&mut self, now: Instant, base: Duration, fault: Fault) {
        self.ejections = if self.is_repeat(now) { self.ejections.saturating_add(1) } else { 1 };
        let doublings = (self.ejections - 1).min(16);
        self.length = base.saturating_mul(1 << doublings).min(MAX_EJECTION.max(base));
        self.fault = fault;
        self.phase = Phase::Ejected { until: now + self.length };
    }

    fn is_repeat(&self, now: Instant) -> bool {
        self.ended.is_some_and(|ended| now.saturating_duration_since(ended) < REPEAT_WITHIN)
    }

    fn pass_stages(&mut self, now: Instant, judgement: &Judgement) {
        while let Phase::Trial { stage, since } = self.phase {
            let needed = if stage == 0 { FIRST_STAGE_GOOD_ANSWERS } else { TRIAL_GOOD_ANSWERS };
            let unobserved = now.saturating_duration_since(since) >= UNOBSERVED_STAGE;
            if !judgement.good_answers.map_or(unobserved, |good| good >= needed) {
                return;
            }
            self.phase = if stage + 1 < TRIAL_WEIGHTS.len() {
                Phase::Trial { stage: stage + 1, since: now }
            } else {
                Phase::Clear
            };
        }
    }
}
