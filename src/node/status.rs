//! Content of the admin endpoints.

use std::time::Instant;

use cactustrack_fleet::quota::ownership::{SHARDS, ShardId};
use cactustrack_types::InstanceId;
use serde_json::{Value, json};

use super::decisions::UpstreamSelector;
use super::route_explanation::RouteExplainer;
use super::state::{SharedState, State};
use crate::daemon::admin::AdminSource;
use crate::route_query::RouteQuery;

/// Reports the readiness, the state and the decisions of an instance.
pub(crate) struct NodeStatus {
    pub(crate) instance: InstanceId,
    pub(crate) state: SharedState,
    pub(crate) selector: UpstreamSelector,
}

impl AdminSource for NodeStatus {
    fn readiness(&self) -> Result<(), String> {
        self.state.borrow().readiness().map_err(str::to_owned)
    }

    fn status(&self) -> Value {
        let state = self.state.borrow();
        json!({
            "ready": state.readiness().is_ok(),
            "configuration_version": state.in_force.as_ref().map(|in_force| in_force.version),
            "configuration_proof_age_ms": state.proof_age().map(|age| age.as_millis() as u64),
            "upstreams": state.catalog.len(),
            "instances_heard": state.peers.instances(),
            "stopping": state.shutdown.is_some(),
            "quota_shards": owned_shards(&state),
        })
    }

    fn explain(&self, service: &str, upstream: Option<&str>) -> Option<Value> {
        let state = self.state.borrow();
        let now = Instant::now();
        let service = service.into();
        let rows = state.catalog.usable(now, &service);
        let rows = rows.filter(|row| upstream.is_none_or(|name| name == &*row.id)).map(|row| {
            let (fleet, own) = state.view.fault_probability(now, &row.id);
            json!({
                "upstream": row.id,
                "in_flight": state.view.load().in_flight(&row.id),
                "fault_probability": fleet,
                "fault_probability_seen_here": own,
            })
        });
        let rows: Vec<_> = rows.collect();
        (!rows.is_empty()).then_some(Value::Array(rows))
    }

    fn explain_route(&self, query: &RouteQuery) -> Option<Value> {
        let (instance, selector, now) = (&self.instance, &self.selector, Instant::now());
        let state = &self.state.borrow();
        Some(RouteExplainer { instance, state, selector, now }.explain(query))
    }
}

fn owned_shards(state: &State) -> Vec<ShardId> {
    let announced = state.quotas.as_ref().map_or(0, |quotas| quotas.announced_shards());
    (0..SHARDS).filter(|shard| announced & (1 << shard) != 0).collect()
}
