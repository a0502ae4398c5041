//! Readiness, status and explanations for the admin endpoints, read from the blackboard.

use std::rc::Rc;
use std::time::Instant;

use cactustrack_members::ConfigStatus;
use cactustrack_proxy::Pool;
use serde_json::{Value, json};

use super::admin::AdminSource;
use super::blackboard::{Blackboard, ServiceState, SharedBlackboard};

/// An [`AdminSource`] that reads the blackboard of one instance.
pub(crate) struct BlackboardStatus {
    board: SharedBlackboard,
    pool: Pool,
    records: Rc<dyn Fn() -> Value>,
}

impl BlackboardStatus {
    /// Creates the source. `records` returns the state of the queue of idempotency records.
    pub(crate) fn new(board: SharedBlackboard, pool: Pool, records: Rc<dyn Fn() -> Value>) -> Self {
        Self { board, pool, records }
    }
}

impl AdminSource for BlackboardStatus {
    fn readiness(&self) -> Result<(), String> {
        let board = self.board.borrow();
        if board.stopping {
            return Err("stopping: new requests are refused".to_owned());
        }
        if board.configuration_status == ConfigStatus::Missing {
            return Err("no configuration: neither the store nor a peer has given one".to_owned());
        }
        if board.first_list_read.is_none() {
            return Err("no upstreams: the instance list could not be read yet".to_owned());
        }
        if let Some(newer) = board.membership.superseded_by() {
            return Err(format!("replaced: incarnation {newer} runs under the same name"));
        }
        if board.is_isolated(Instant::now()) {
            let reason = "isolated: upstreams that answer others do not answer this instance";
            return Err(reason.to_owned());
        }
        let has_no_candidates =
            board.services.values().all(|service| service.candidates.is_empty());
        if has_no_candidates && !board.services.is_empty() {
            return Err("no service has an upstream in service".to_owned());
        }
        Ok(())
    }

    fn status(&self) -> Value {
        let board = self.board.borrow();
        let services = board.services.values().map(service_status);
        let members = board.membership.members().map(|member| {
            json!({
                "id": &*member.identity.id,
                "incarnation": member.identity.incarnation.0,
                "address": member.identity.address.to_string(),
                "failure_domain": &*member.identity.failure_domain,
                "state": member.state.to_string(),
                "reachable": member.reachable,
                "heard_from": member.heard_from,
            })
        });
        json!({
            "instance": &*board.observer.instance,
            "incarnation": board.observer.incarnation.0,
            "failure_domain": &*board.observer.failure_domain,
            "configuration": {
                "version": board.version(),
                "status": board.configuration_status.to_string(),
            },
            "stopping": board.stopping,
            "upstream_connections": self.pool.open_connections(),
            "idempotency_records": (self.records)(),
            "services": services.collect::<Vec<_>>(),
            "members": members.collect::<Vec<_>>(),
        })
    }

    fn explain(&self, service: &str, upstream: Option<&str>) -> Option<Value> {
        let board = self.board.borrow();
        let service = board.services.get(service)?;
        if upstream.is_some_and(|upstream| !board.upstreams.contains_key(upstream)) {
            return None;
        }
        Some(explanation(&board, service, upstream))
    }
}

fn service_status(service: &ServiceState) -> Value {
    let upstreams: Vec<Value> = service
        .shares
        .iter()
        .map(|(id, share)| {
            let standing = share.standing.to_string();
            json!({"id": &**id, "weight": share.weight, "standing": standing})
        })
        .collect();
    json!({
        "id": &*service.service.id,
        "floor_slots": service.service.floor_slots,
        "in_flight": service.overload.limit().in_flight(),
        "waiting": service.overload.limit().waiting(),
        "limit": service.overload.limit().limit(),
        "is_collector": service.fleet_collector.is_some(),
        "evidence_unused_by": service.excluded_by.iter().map(|id| &**id).collect::<Vec<_>>(),
        "upstreams": upstreams,
    })
}

fn explanation(board: &Blackboard, service: &ServiceState, upstream: Option<&str>) -> Value {
    let planner = service.planner.decisions().iter();
    let collector =
        service.fleet_collector.as_ref().map(|fleet_collector| fleet_collector.decisions().iter());
    let decisions = planner
        .chain(collector.into_iter().flatten())
        .filter(|decision| upstream.is_none() || decision.upstream.as_deref() == upstream);
    let decisions: Vec<Value> = decisions
        .map(|decision| {
            let mut value = serde_json::to_value(decision).unwrap_or_default();
            value["text"] = Value::from(decision.to_string());
            value
        })
        .collect();
    json!({
        "instance": &*board.observer.instance,
        "service": service_status(service),
        "decisions": decisions,
    })
}
