//! The ejection controller: turns evidence into verdicts and plans the shares of upstreams.

use std::collections::BTreeMap;
use std::time::Instant;

use cactustrack_health::{Observer, Report, ReportEntry};
use cactustrack_members::Membership;
use cactustrack_observe::Metrics;
use cactustrack_routing::balancer::Candidate;
use cactustrack_routing::subset::Assignment;
use cactustrack_types::{InstanceId, ServiceId, Share, Standing, UpstreamId, UpstreamView};
use slog::Logger;

use super::blackboard::{Blackboard, ServiceState};

/// Takes the evidence that is due from the blackboard, as one report for each service.
pub(crate) fn take_reports(board: &mut Blackboard, now: Instant) -> Vec<Report> {
    let mut by_service: BTreeMap<ServiceId, Vec<ReportEntry>> = BTreeMap::new();
    for entry in board.evidence.take_report(now) {
        if let Some(view) = board.upstreams.get(&entry.0) {
            by_service.entry(view.service.clone()).or_default().push(entry);
        }
    }
    let observer = &board.observer;
    let report = |(service, entries)| Report { observer: observer.clone(), service, entries };
    by_service.into_iter().map(report).collect()
}

/// Adds this instance's evidence to its own collectors.
pub(crate) fn add_own_reports(board: &mut Blackboard, now: Instant, reports: &[Report]) {
    for report in reports {
        let Some(service) = board.services.get_mut(&report.service) else { continue };
        service.local_collector.add_report(now, report);
        if let Some(fleet_collector) = &mut service.fleet_collector {
            fleet_collector.add_report(now, report);
        }
    }
}

/// Maximum number of subset assignments that one round recomputes after a change of membership.
/// With 800 instances and 29 upstreams each takes about a millisecond, during which no request is
/// served. Other services keep their subsets until a later round.
const MAX_ASSIGNMENTS_PER_ROUND: usize = 8;

/// Updates the verdicts and plans of all services.
pub(crate) fn replan(board: &mut Blackboard, now: Instant) {
    let services: Vec<ServiceId> = board.services.keys().cloned().collect();
    let mut remaining_assignments = MAX_ASSIGNMENTS_PER_ROUND;
    for service in services {
        replan_limited(board, now, &service, &mut remaining_assignments);
    }
}

/// Updates the verdicts and the plan of one service.
pub(crate) fn replan_service(board: &mut Blackboard, now: Instant, id: &ServiceId) {
    replan_limited(board, now, id, &mut 1);
}

/// Updates the verdicts and the plan of one service. After a change of membership, its subsets are
/// recomputed only if `remaining_assignments` is not 0, which is then decremented.
fn replan_limited(
    board: &mut Blackboard,
    now: Instant,
    id: &ServiceId,
    remaining_assignments: &mut usize,
) {
    let views = board.upstreams_of(id);
    let observer = board.observer.clone();
    let Some(service) = board.services.get_mut(id) else { return };
    let known = |id: &UpstreamId| views.iter().any(|view| view.id == *id);
    update_verdicts(service, now, &observer, known);
    let local_verdicts = service.local_collector.verdicts_since(0);
    let domain = &observer.failure_domain;
    service.shares = service.planner.plan(now, &service.service, domain, &views, &local_verdicts);
    service.set_upstreams(views.len());
    service.balancer.retain(known);
    service.latency_classifier.retain(known);
    update_assignment(service, &board.membership, remaining_assignments);
    set_candidates(service, &observer.instance, &views);
}

/// Updates the collectors on this instance and applies the fleet verdicts to the planner.
fn update_verdicts(
    service: &mut ServiceState,
    now: Instant,
    observer: &Observer,
    known: impl Fn(&UpstreamId) -> bool,
) {
    service.local_collector.retain(&known);
    service.local_collector.tick(now);
    let Some(fleet_collector) = &mut service.fleet_collector else { return };
    fleet_collector.retain(&known);
    fleet_collector.tick(now);
    let seq = service.planner.seq(&observer.instance, observer.incarnation);
    let verdicts = fleet_collector.verdicts_since(seq);
    service.planner.apply_verdicts(now, &observer.instance, observer.incarnation, &verdicts);
}

/// Recomputes the subsets of all instances if the upstreams in service changed, or if membership
/// changed and `remaining_assignments` is not 0.
fn update_assignment(
    service: &mut ServiceState,
    membership: &Membership,
    remaining_assignments: &mut usize,
) {
    let in_service = service.shares.iter().filter(|(_, share)| share.weight > 0.0);
    let upstreams: Vec<UpstreamId> = in_service.map(|(id, _)| id.clone()).collect();
    let generation = Some(membership.generation());
    if service.assigned_upstreams == upstreams {
        if service.assignment_generation == generation || *remaining_assignments == 0 {
            return;
        }
        *remaining_assignments -= 1;
    }
    let members = membership.members().filter(|view| view.state.may_respond());
    let instances: Vec<InstanceId> = members.map(|view| view.identity.id.clone()).collect();
    let connections = service.service.connections;
    service.assignment = Assignment::new(&instances, &upstreams, connections);
    service.assignment_generation = generation;
    service.assigned_upstreams = upstreams;
}

/// Sets the upstreams that this instance may send requests to.
fn set_candidates(service: &mut ServiceState, instance: &InstanceId, views: &[UpstreamView]) {
    let assignment = &service.assignment;
    let candidates = assignment.subset(instance).filter_map(|id| {
        let view = views.iter().find(|view| view.id == *id)?;
        Some(Candidate {
            id: id.clone(),
            failure_domain: view.failure_domain.clone(),
            share: *service.shares.get(id)?,
            max_in_flight: service.service.slots,
            max_connections: assignment.connection_limit(id),
        })
    });
    service.candidates = candidates.collect();
}

/// Writes new decisions to the log and updates the metrics of ejection and capacity.
pub(crate) struct DecisionLog {
    /// Time of the latest decision that was written, by service.
    last_written: BTreeMap<ServiceId, cactustrack_types::Millis>,
    /// Shares that were last exported to the metrics, by service.
    exported: BTreeMap<ServiceId, BTreeMap<UpstreamId, Share>>,
}

impl DecisionLog {
    /// Creates a log without written decisions.
    pub(crate) fn new() -> Self {
        Self { last_written: BTreeMap::new(), exported: BTreeMap::new() }
    }

    /// Writes decisions made since the last call and exports changed shares.
    pub(crate) fn update(&mut self, board: &Blackboard, metrics: &Metrics, log: &Logger) {
        for (id, service) in &board.services {
            let last_written = self.last_written.get(id).copied();
            let new = service.planner.decisions().iter().filter(|d| Some(d.at) > last_written);
            for decision in new {
                slog::info!(log, "health: {}", decision; "service" => &**id);
                count_decision(metrics, id, &decision.action);
                self.last_written.insert(id.clone(), decision.at);
            }
            if self.exported.get(id) != Some(&service.shares) {
                export_shares(metrics, id, service);
                let previous = self.exported.insert(id.clone(), service.shares.clone());
                remove_stale_weights(metrics, id, &previous.unwrap_or_default(), service);
            }
        }
    }
}

/// Removes the weight metrics of upstreams that no longer exist.
fn remove_stale_weights(
    metrics: &Metrics,
    id: &ServiceId,
    previous: &BTreeMap<UpstreamId, Share>,
    service: &ServiceState,
) {
    for upstream in previous.keys().filter(|upstream| !service.shares.contains_key(*upstream)) {
        // Fails only if the label does not exist.
        let _ = metrics.upstream_weight.remove_label_values(&[&**id, &**upstream]);
    }
}

fn count_decision(metrics: &Metrics, service: &ServiceId, action: &cactustrack_health::Action) {
    use cactustrack_health::Action;
    let counter = match action {
        Action::Ejected { .. } => &metrics.ejections,
        Action::Readmitted => &metrics.readmissions,
        Action::KeptForFloor { .. } => &metrics.floor_refusals,
        _ => return,
    };
    counter.with_label_values(&[&**service]).inc();
}

fn export_shares(metrics: &Metrics, id: &ServiceId, service: &ServiceState) {
    let mut capacity = 0.0;
    for (upstream, share) in &service.shares {
        if share.standing != Standing::Leaving {
            capacity += share.weight * f64::from(service.service.slots);
        }
        metrics.upstream_weight.with_label_values(&[&**id, &**upstream]).set(share.weight);
    }
    metrics.capacity_slots.with_label_values(&[&**id]).set(capacity);
    metrics.floor_slots.with_label_values(&[&**id]).set(i64::from(service.service.floor_slots));
}
