//! Ejection plan of one service: weights of its upstreams from the verdicts of collectors.

use std::collections::BTreeMap;
use std::time::Instant;

use cactustrack_types::{
    FailureDomain, Incarnation, InstanceId, Millis, Service, ServiceId, Share, Standing,
    UpstreamId, UpstreamView, Verdict,
};

use crate::explain::{Action, Decision, DecisionHistory, FloorCapacity};
use crate::floor::{FloorCandidate, allocate_weights};
use crate::readmission::{FaultHistory, Phase};
use crate::votes::{MajorityVerdict, Votes};

/// Weight of an upstream that just started, as a share of its full weight.
const COLD_WEIGHT: f64 = 0.1;
/// Number of fault histories kept. It bounds the memory used for upstreams that are no longer
/// listed.
const MAX_HISTORIES: usize = 1024;

/// Turns verdicts into shares of the requests for the upstreams of one service.
///
/// The plan depends only on the verdicts, views and times that were passed in, so instances with
/// the same inputs compute the same plan. Each plan keeps the floor whatever the inputs are: the
/// capacity in service is at least the smaller one of the floor and the capacity without ejections.
#[derive(Debug)]
pub struct EjectionPlanner {
    service: ServiceId,
    votes: Votes,
    histories: BTreeMap<UpstreamId, FaultHistory>,
    decisions: DecisionHistory,
}

impl EjectionPlanner {
    /// Creates a planner without verdicts and fault histories.
    pub fn new(now: Instant, service: ServiceId) -> Self {
        Self {
            service,
            votes: Votes::default(),
            histories: BTreeMap::new(),
            decisions: DecisionHistory::new(now),
        }
    }

    /// Applies the reply of a collector to a report: the verdicts that changed since the sequence
    /// number that [`EjectionPlanner::seq`] returned. Each reply, also one without verdicts,
    /// extends the lifetime of the collector's earlier verdicts.
    pub fn apply_verdicts(
        &mut self,
        now: Instant,
        collector: &InstanceId,
        incarnation: Incarnation,
        verdicts: &[Verdict],
    ) {
        self.votes.apply_verdicts(now, collector, incarnation, verdicts);
    }

    /// Returns the sequence number of the latest verdict known from a collector, 0 if there is
    /// none.
    pub fn seq(&self, collector: &str, incarnation: Incarnation) -> u64 {
        self.votes.seq(collector, incarnation)
    }

    /// Returns recent ejections, upstreams kept for the floor, trials and readmissions.
    pub fn decisions(&self) -> &DecisionHistory {
        &self.decisions
    }

    /// Returns the share of each upstream.
    ///
    /// `local` contains the verdicts of a collector that receives only this instance's evidence.
    /// They are used if no collector replied within [`crate::VERDICT_LIFETIME`]. Views of other
    /// services are ignored.
    pub fn plan(
        &mut self,
        now: Instant,
        service: &Service,
        own_domain: &FailureDomain,
        views: &[UpstreamView],
        local: &[Verdict],
    ) -> BTreeMap<UpstreamId, Share> {
        let views: BTreeMap<&UpstreamId, &UpstreamView> =
            views.iter().filter(|view| view.service == self.service).map(|v| (&v.id, v)).collect();
        self.votes.expire(now);
        self.update_histories(now, service, own_domain, &views, local);
        let available = views.values().filter(|view| !view.leaving);
        let candidates: Vec<FloorCandidate> =
            available.map(|view| self.candidate(now, service, view)).collect();
        let (floor, slots) = (f64::from(service.floor_slots), f64::from(service.slots));
        let weights = allocate_weights(floor, slots, &candidates);
        let capacity = FloorCapacity {
            floor_slots: service.floor_slots,
            available_slots: candidates.iter().map(|candidate| candidate.full_weight * slots).sum(),
            in_service_slots: weights.iter().map(|weight| weight * slots).sum(),
        };
        let mut plan: BTreeMap<UpstreamId, Share> = views
            .keys()
            .map(|id| (UpstreamId::clone(id), Share { weight: 0.0, standing: Standing::Leaving }))
            .collect();
        for (candidate, weight) in candidates.iter().zip(weights) {
            let standing = self.standing(candidate, weight);
            self.record_change(now, candidate, Share { weight, standing }, capacity);
            plan.insert(UpstreamId::clone(&candidate.id), Share { weight, standing });
        }
        plan
    }

    fn update_histories(
        &mut self,
        now: Instant,
        service: &Service,
        own_domain: &FailureDomain,
        views: &BTreeMap<&UpstreamId, &UpstreamView>,
        local: &[Verdict],
    ) {
        for (id, view) in views {
            let majority = self.votes.majority_verdict(id, view.incarnation, own_domain, local);
            self.update_history(now, service, view, &majority);
        }
        self.histories.retain(|_, history| !history.is_obsolete(now));
        while self.histories.len() > MAX_HISTORIES {
            let absent = self.histories.keys().find(|id| !views.contains_key(id)).cloned();
            let Some(absent) = absent else { break };
            self.histories.remove(&absent);
        }
    }

    fn update_history(
        &mut self,
        now: Instant,
        service: &Service,
        view: &UpstreamView,
        majority: &MajorityVerdict,
    ) {
        if let Some(history) = self.histories.get_mut(&view.id)
            && view.incarnation > history.incarnation
        {
            *history = FaultHistory::new(view.incarnation);
        }
        if majority.fault.is_some() && !self.histories.contains_key(&view.id) {
            let history = FaultHistory::new(view.incarnation);
            self.histories.insert(UpstreamId::clone(&view.id), history);
        }
        let Some(history) = self.histories.get_mut(&view.id) else { return };
        let before = history.phase;
        history.advance(now, service.detection.base_ejection.0, majority);
        let after = history.phase;
        let action = match (before, after) {
            (Phase::Trial { stage: old, .. }, Phase::Trial { stage, .. }) if old == stage => return,
            (_, Phase::Trial { .. }) => Action::Trial { weight: history.weight() },
            (Phase::Trial { .. } | Phase::Ejected { .. }, Phase::InService) => Action::Readmitted,
            _ => return,
        };
        let decision = self.decision(&view.id, action, None);
        self.decisions.push(now, decision);
    }

    fn candidate(&self, now: Instant, service: &Service, view: &UpstreamView) -> FloorCandidate {
        let full_weight = ramp_weight(now, service.ramp, view.cold_since);
        let history = self.histories.get(&view.id);
        FloorCandidate {
            id: UpstreamId::clone(&view.id),
            full_weight,
            desired_weight: full_weight * history.map_or(1.0, FaultHistory::weight),
            severity: history.map_or((-1.0, 0.0), FaultHistory::severity),
        }
    }

    fn standing(&self, candidate: &FloorCandidate, weight: f64) -> Standing {
        match self.histories.get(&candidate.id).map(|history| history.phase) {
            Some(Phase::Ejected { .. }) if weight > 0.0 => Standing::KeptForFloor,
            Some(Phase::Ejected { .. }) => Standing::Ejected,
            Some(Phase::Trial { .. }) => Standing::Trial,
            Some(Phase::InService) | None if candidate.full_weight < 1.0 => Standing::Ramping,
            Some(Phase::InService) | None => Standing::InService,
        }
    }

    /// Records a decision if the standing changed to ejected or kept for the floor.
    fn record_change(
        &mut self,
        now: Instant,
        candidate: &FloorCandidate,
        share: Share,
        capacity: FloorCapacity,
    ) {
        let Some(history) = self.histories.get_mut(&candidate.id) else { return };
        let before = std::mem::replace(&mut history.standing, share.standing);
        if before == share.standing {
            return;
        }
        let action = match share.standing {
            Standing::Ejected => Action::Ejected {
                length: Millis(history.length),
                repeats: history.ejections,
                during_trial: before == Standing::Trial,
            },
            Standing::KeptForFloor => Action::KeptForFloor { weight: share.weight },
            _ => return,
        };
        let decision = self.decision(&candidate.id, action, Some(capacity));
        self.decisions.push(now, decision);
    }

    fn decision(
        &self,
        upstream: &UpstreamId,
        action: Action,
        floor: Option<FloorCapacity>,
    ) -> Decision {
        let fault = self.histories.get(upstream).map(|history| history.fault).unwrap_or_default();
        Decision {
            at: Millis::default(),
            service: ServiceId::clone(&self.service),
            upstream: Some(UpstreamId::clone(upstream)),
            action,
            evidence: fault.evidence,
            observers: fault.observers,
            score: fault.score,
            threshold: fault.threshold,
            floor,
        }
    }
}

/// Returns the weight of an upstream that started at the given time, from [`COLD_WEIGHT`] to 1.
fn ramp_weight(now: Instant, ramp: Millis, cold_since: Option<Instant>) -> f64 {
    let Some(since) = cold_since else { return 1.0 };
    let elapsed = now.saturating_duration_since(since);
    if elapsed >= ramp.0 {
        return 1.0;
    }
    COLD_WEIGHT + (1.0 - COLD_WEIGHT) * elapsed.as_secs_f64() / ramp.0.as_secs_f64()
}
