//! Duration of ejections, and the trial period after them.

use std::time::{Duration, Instant};

use cactustrack_types::{Incarnation, Standing};

use crate::votes::{Fault, MajorityVerdict};

/// Longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(300);
/// Time after the end of an ejection within which the next one is twice as long.
const REPEAT_WITHIN: Duration = Duration::from_secs(600);
/// Number of ok responses across the fleet that end the first stage of a trial.
const FIRST_STAGE_OK_RESPONSES: u32 = 20;
/// Number of ok responses across the fleet that end a trial: 20 in the first stage and 60 more.
pub(crate) const TRIAL_OK_RESPONSES: u32 = 80;
/// Weights of an upstream on trial by stage, as shares of its full weight.
const TRIAL_WEIGHTS: [f64; 2] = [0.05, 0.25];
/// Time after which a stage of a trial ends if no collector has a verdict on the upstream. Without
/// it, a trial would never end after a replacement of all collectors.
const UNOBSERVED_STAGE: Duration = Duration::from_secs(30);

/// Phase of an upstream between a fault and its readmission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Phase {
    /// In service without a known fault.
    InService,
    /// Ejected at least until the given time.
    Ejected { until: Instant },
    /// On trial in the given stage since the given time.
    Trial { stage: usize, since: Instant },
}

/// Fault history of one incarnation of an upstream on one instance.
#[derive(Clone, Debug)]
pub(crate) struct FaultHistory {
    pub(crate) incarnation: Incarnation,
    pub(crate) phase: Phase,
    /// Number of ejections, each within [`REPEAT_WITHIN`] after the end of the previous one.
    pub(crate) ejections: u32,
    /// Duration of the latest ejection.
    pub(crate) length: Duration,
    /// The latest fault.
    pub(crate) fault: Fault,
    /// Standing in the latest plan.
    pub(crate) standing: Standing,
    /// End of the latest ejection.
    ejection_ended: Option<Instant>,
}

impl FaultHistory {
    /// Creates an empty history.
    pub(crate) fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            phase: Phase::InService,
            ejections: 0,
            length: Duration::ZERO,
            fault: Fault::default(),
            standing: Standing::InService,
            ejection_ended: None,
        }
    }

    /// Updates the phase. `base` is the duration of a first ejection.
    pub(crate) fn advance(&mut self, now: Instant, base: Duration, majority: &MajorityVerdict) {
        match (self.phase, majority.fault) {
            (Phase::InService | Phase::Trial { .. }, Some(fault)) => self.eject(now, base, fault),
            (Phase::Ejected { .. }, Some(fault)) => self.fault = fault,
            (Phase::Ejected { until }, None) if now >= until => {
                self.ejection_ended = Some(now);
                self.phase = Phase::Trial { stage: 0, since: now };
                self.advance_trial(now, majority);
            }
            (Phase::Trial { .. }, None) => self.advance_trial(now, majority),
            _ => {}
        }
    }

    /// Returns the share of its full weight that the upstream gets, before the floor is considered.
    pub(crate) fn weight(&self) -> f64 {
        match self.phase {
            Phase::InService => 1.0,
            Phase::Ejected { .. } => 0.0,
            Phase::Trial { stage, .. } => TRIAL_WEIGHTS[stage],
        }
    }

    /// Returns the key by which upstreams are ordered for the floor: those with the smallest key
    /// are raised to their full weight first.
    pub(crate) fn severity(&self) -> (f64, f64) {
        match self.phase {
            Phase::Ejected { .. } => self.fault.severity(),
            Phase::InService | Phase::Trial { .. } => (-self.weight(), 0.0),
        }
    }

    /// Returns true if the history no longer has any effect.
    pub(crate) fn is_obsolete(&self, now: Instant) -> bool {
        self.phase == Phase::InService && !self.is_repeat(now)
    }

    fn eject(&mut self, now: Instant, base: Duration, fault: Fault) {
        self.ejections = if self.is_repeat(now) { self.ejections.saturating_add(1) } else { 1 };
        let doublings = (self.ejections - 1).min(16);
        self.length = base.saturating_mul(1 << doublings).min(MAX_EJECTION.max(base));
        self.fault = fault;
        self.phase = Phase::Ejected { until: now + self.length };
    }

    fn is_repeat(&self, now: Instant) -> bool {
        self.ejection_ended.is_some_and(|ejection_ended| {
            now.saturating_duration_since(ejection_ended) < REPEAT_WITHIN
        })
    }

    fn advance_trial(&mut self, now: Instant, majority: &MajorityVerdict) {
        while let Phase::Trial { stage, since } = self.phase {
            let needed = if stage == 0 { FIRST_STAGE_OK_RESPONSES } else { TRIAL_OK_RESPONSES };
            let unobserved = now.saturating_duration_since(since) >= UNOBSERVED_STAGE;
            if !majority.ok_responses.map_or(unobserved, |count| count >= needed) {
                return;
            }
            self.phase = if stage + 1 < TRIAL_WEIGHTS.len() {
                Phase::Trial { stage: stage + 1, since: now }
            } else {
                Phase::InService
            };
        }
    }
}
