//! Records of decisions with the evidence for them.

use std::collections::VecDeque;
use std::fmt;
use std::time::{Duration, Instant};

use cactustrack_types::{Counts, InstanceId, Millis, ServiceId, UpstreamId};
use serde::{Deserialize, Serialize};

/// Number of decisions kept for a service.
const MAX_DECISIONS: usize = 256;
/// Time within which a repeated decision is not recorded again.
const REPEAT_INTERVAL: Duration = Duration::from_secs(10);

/// A decision about an upstream or an observer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum Action {
    /// The upstream gets no requests.
    Ejected {
        /// Duration of the ejection.
        length: Millis,
        /// Number of ejections in short succession, this one included.
        repeats: u32,
        /// True if the fault was detected during a trial.
        during_trial: bool,
    },
    /// The upstream is faulty but stays in service because of the floor of the service.
    KeptForFloor {
        /// Weight that the floor requires, from 0 to 1.
        weight: f64,
    },
    /// The upstream appears faulty for a cause that it shares with others, so it is not ejected.
    SharedCause {
        /// Number of upstreams that are affected.
        faulty: u32,
        /// Number of upstreams with evidence.
        total: u32,
    },
    /// The evidence of an observer is not used because most upstreams appear faulty to it and
    /// healthy to the others.
    ObserverExcluded {
        /// The observer.
        instance: InstanceId,
    },
    /// The upstream enters or continues a trial.
    Trial {
        /// Weight during this stage of the trial, from 0 to 1.
        weight: f64,
    },
    /// The upstream is back in full service.
    Readmitted,
}

/// Capacities that a decision about the floor is based on, in slots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct FloorCapacity {
    /// Floor of the service.
    pub floor_slots: u32,
    /// Capacity without any ejection.
    pub available_slots: f64,
    /// Capacity in service after the decision.
    pub in_service_slots: f64,
}

/// A decision and the evidence for it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// Time since the [`DecisionHistory`] was created.
    pub at: Millis,
    /// The service.
    pub service: ServiceId,
    /// The upstream, or `None` if the decision is about an observer.
    pub upstream: Option<UpstreamId>,
    /// The decision.
    #[serde(flatten)]
    pub action: Action,
    /// Evidence that the score is computed from.
    pub evidence: Counts,
    /// Number of observers whose evidence was used.
    pub observers: u32,
    /// Statistic of the sequential test, in nats.
    pub score: f64,
    /// Score at which the upstream counts as faulty, in nats.
    pub threshold: f64,
    /// Capacities against the floor, for decisions that change capacity.
    pub floor: Option<FloorCapacity>,
}

impl Decision {
    /// Creates the decision to exclude an observer.
    pub(crate) fn observer_excluded(service: &ServiceId, instance: InstanceId) -> Self {
        Self {
            at: Millis::default(),
            service: ServiceId::clone(service),
            upstream: None,
            action: Action::ObserverExcluded { instance },
            evidence: Counts::default(),
            observers: 0,
            score: 0.0,
            threshold: 0.0,
            floor: None,
        }
    }

    /// Creates the decision not to eject an upstream because of a shared cause.
    pub(crate) fn shared_cause(
        (service, upstream): (&ServiceId, &UpstreamId),
        (score, threshold): (f64, f64),
        (evidence, observers): (Counts, u32),
        (faulty, total): (usize, usize),
    ) -> Self {
        let number = |count| u32::try_from(count).unwrap_or(u32::MAX);
        Self {
            at: Millis::default(),
            service: ServiceId::clone(service),
            upstream: Some(UpstreamId::clone(upstream)),
            action: Action::SharedCause { faulty: number(faulty), total: number(total) },
            evidence,
            observers,
            score,
            threshold,
            floor: None,
        }
    }

    fn is_repeat_of(&self, earlier: &Self) -> bool {
        let is_same_action =
            std::mem::discriminant(&self.action) == std::mem::discriminant(&earlier.action);
        is_same_action && self.upstream == earlier.upstream
    }

    fn fmt_evidence(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Counts { failed, refused, cut_short, slow, .. } = self.evidence;
        write!(
            f,
            "{failed} failed, {refused} refused, {cut_short} cut short and {slow} slow of {} \
             answers seen by {} observers give a score of {:.1} nats against a threshold of {:.1}",
            self.evidence.evidence_count(),
            self.observers,
            self.score,
            self.threshold,
        )
    }
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let upstream = self.upstream.as_deref().unwrap_or("an upstream");
        let service = &self.service;
        match &self.action {
            Action::Ejected { length, repeats, during_trial } => {
                let when = if *during_trial { " during its trial" } else { "" };
                write!(f, "{service}: ejected {upstream}{when} for {length} (number {repeats}): ")?;
                self.fmt_evidence(f)?;
            }
            Action::KeptForFloor { weight } => {
                write!(
                    f,
                    "{service}: kept faulty {upstream} at weight {weight:.3} for the floor: "
                )?;
                self.fmt_evidence(f)?;
            }
            Action::SharedCause { faulty, total } => {
                write!(
                    f,
                    "{service}: did not eject {upstream} because {faulty} of {total} upstreams \
                     appear faulty: "
                )?;
                self.fmt_evidence(f)?;
            }
            Action::ObserverExcluded { instance } => {
                write!(
                    f,
                    "{service}: excluded observer {instance}, to which most upstreams appear \
                     faulty while others find them healthy"
                )?;
            }
            Action::Trial { weight } => {
                write!(f, "{service}: {upstream} is on trial at weight {weight:.3}")?;
            }
            Action::Readmitted => {
                write!(f, "{service}: readmitted {upstream} after its trial")?;
            }
        }
        if let Some(floor) = &self.floor {
            write!(
                f,
                "; {:.1} of {:.1} slots are in service against a floor of {}",
                floor.in_service_slots, floor.available_slots, floor.floor_slots
            )?;
        }
        Ok(())
    }
}

/// Latest decisions about a service, bounded in number.
#[derive(Debug)]
pub struct DecisionHistory {
    origin: Instant,
    recent: VecDeque<Decision>,
}

impl DecisionHistory {
    /// Creates an empty history that starts at the given time.
    pub fn new(now: Instant) -> Self {
        Self { origin: now, recent: VecDeque::new() }
    }

    /// Returns the recent decisions, oldest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &Decision> + '_ {
        self.recent.iter()
    }

    /// Records a decision, and sets its time.
    pub(crate) fn push(&mut self, now: Instant, mut decision: Decision) {
        decision.at = Millis(now.saturating_duration_since(self.origin));
        if self.recent.len() >= MAX_DECISIONS {
            self.recent.pop_front();
        }
        self.recent.push_back(decision);
    }

    /// Records a decision unless the same one was recorded within [`REPEAT_INTERVAL`] before.
    pub(crate) fn push_once(&mut self, now: Instant, decision: Decision) {
        let at = now.saturating_duration_since(self.origin);
        let recent =
            self.recent.iter().rev().take_while(|earlier| earlier.at.0 + REPEAT_INTERVAL > at);
        if !recent.into_iter().any(|earlier| decision.is_repeat_of(earlier)) {
            self.push(now, decision);
        }
    }
}
