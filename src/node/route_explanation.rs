//! Explanation of where a request would go now. Nothing is counted, reserved or sent for it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use cactustrack_fleet::discovery::ListedUpstream;
use cactustrack_fleet::message::short_account_id;
use cactustrack_fleet::placement::Candidate;
use cactustrack_fleet::quota::ownership::{ShardId, shard_of};
use cactustrack_fleet::selection::ExpectedLoss;
use cactustrack_proxy::{CallerIdentity, Rejection};
use cactustrack_routing::authentication::{AuthenticationError, Principal};
use cactustrack_routing::route::{RouteEntry, RouteMatch};
use cactustrack_types::{InstanceId, Quota, SplitPart};
use serde_json::{Value, json};

use super::decisions::{self, UpstreamSelector};
use super::quota::NO_OWNER_RETRY_AFTER;
use super::quota_preview::QuotaPreview;
use super::state::{InForce, State};
use crate::route_query::RouteQuery;

/// Explains the routes of requests at one point in time.
pub(super) struct RouteExplainer<'a> {
    pub(super) instance: &'a InstanceId,
    pub(super) state: &'a State,
    pub(super) selector: &'a UpstreamSelector,
    pub(super) now: Instant,
}

impl RouteExplainer<'_> {
    /// Returns the explanation as a JSON document. Its field `refusal` states why the instance would
    /// refuse the request before it selects an upstream. Each service has such a field too.
    pub(super) fn explain(&self, query: &RouteQuery) -> Value {
        let mut answer = json!({
            "instance": self.instance,
            "configuration_version": self.state.in_force.as_ref().map(|known| known.version),
            "request": {
                "method": query.method.as_str(),
                "host": query.host,
                "path": query.path,
                "account": query.account,
            },
            "route": null,
            "account": null,
            "refusal": null,
            "services": [],
        });
        if let Err(rejection) = self.describe(query, &mut answer) {
            answer["refusal"] = refusal(&rejection, &rejection);
        }
        answer
    }

    /// Adds the decisions on the request, in the order of the request path.
    fn describe(&self, query: &RouteQuery, answer: &mut Value) -> Result<(), Rejection> {
        let in_force = decisions::configuration(self.state)?;
        let entry = in_force.routes.find_entry(&query.host, &query.path)?;
        answer["route"] = route_value(&entry);
        let name = query.account.as_deref();
        answer["account"] = name.map_or(Value::Null, |name| self.account(in_force, &entry, name));
        let caller = decisions::identify(self.state, in_force, entry.route, |authenticator| {
            let name = name.ok_or(AuthenticationError::MissingKey)?;
            authenticator.account(name).ok_or(AuthenticationError::UnknownKey)
        })?;
        self.check_quota(caller.principal())?;
        decisions::check_shutdown(self.state, self.now)?;
        let parts = split_parts(entry.route);
        let total: f64 = parts.iter().map(|part| f64::from(part.weight)).sum();
        let service = |part: &SplitPart| {
            let share = f64::from(part.weight) / total;
            self.service(entry.route, &caller, part, share)
        };
        answer["services"] = parts.iter().map(service).collect();
        Ok(())
    }

    fn account(&self, in_force: &InForce, entry: &RouteEntry<'_>, name: &str) -> Value {
        let authenticator = in_force.authenticator.as_ref();
        let principal = authenticator.and_then(|authenticator| authenticator.account(name));
        let quota =
            principal.as_ref().and_then(|principal| Some(self.quota(principal, principal.quota?)));
        json!({
            "name": name,
            "is_known": principal.is_some(),
            "is_needed": authenticator.is_some() && !entry.route.delivery.is_public,
            "priority": principal.map(|principal| principal.priority),
            "quota": quota,
        })
    }

    fn quota(&self, principal: &Principal, quota: Quota) -> Value {
        let shard = shard_of(short_account_id(&principal.account));
        let preview = self.preview(principal, quota);
        json!({
            "rate": quota.rate,
            "burst": quota.burst,
            "is_enforced": preview.is_some(),
            "tokens_held": preview.map(|preview| preview.tokens_held),
            "bucket_level": preview.and_then(|preview| preview.bucket_level),
            "shard": shard,
            "shard_owner": self.shard_owner(shard),
            "asks_owner": preview.is_some_and(|preview| preview.answer.is_none()),
        })
    }

    fn preview(&self, principal: &Principal, quota: Quota) -> Option<QuotaPreview> {
        let quotas = self.state.quotas.as_ref()?;
        let account = short_account_id(&principal.account);
        Some(quotas.preview(account, quota.rate, self.state.quota_of(account)))
    }

    fn shard_owner(&self, shard: ShardId) -> Option<&InstanceId> {
        let announced = self.state.quotas.as_ref()?.announced_shards();
        if announced & (1 << shard) != 0 {
            return Some(self.instance);
        }
        self.state.peers.shard_owner_name(self.now, shard)
    }

    /// Checks whether the account has a token. What an owner answers that has to be asked is not
    /// known.
    fn check_quota(&self, principal: Option<&Principal>) -> Result<(), Rejection> {
        let Some((principal, quota)) = principal.and_then(|known| Some((known, known.quota?)))
        else {
            return Ok(());
        };
        let Some(preview) = self.preview(principal, quota) else { return Ok(()) };
        let shard = shard_of(short_account_id(&principal.account));
        match preview.answer {
            Some(Ok(())) => Ok(()),
            Some(Err(retry_after)) => Err(Rejection::over_quota(retry_after)),
            None if self.shard_owner(shard).is_some() => Ok(()),
            None => Err(Rejection::quota_unavailable(NO_OWNER_RETRY_AFTER)),
        }
    }

    fn service(
        &self,
        route: &RouteMatch,
        caller: &CallerIdentity,
        part: &SplitPart,
        share: f64,
    ) -> Value {
        let service = Some(&part.service);
        let (state, now) = (self.state, self.now);
        let routed = decisions::routed_request(state, now, route, caller.clone(), None, service);
        let choice = self.selector.choice(state, now, &routed, &[]);
        let overload = decisions::check_wait(state, now, &routed, choice.shortest_wait());
        let refusal = if choice.candidates.is_empty() {
            let rejection = decisions::no_upstream();
            refusal(&rejection, &rejection)
        } else if let Err(overload) = overload {
            refusal(&overload.rejection(0.0), &overload.rejection(1.0))
        } else {
            Value::Null
        };
        let ranked = choice.selection.rank(&choice.candidates);
        let service_time = choice.selection.service_time;
        let row =
            |(loss, (upstream, candidate)): &(ExpectedLoss, &(&ListedUpstream, Candidate))| {
                self.upstream(loss, upstream, candidate, service_time)
            };
        json!({
            "service": part.service,
            "share": share,
            "service_time_ms": to_ms(service_time),
            "refusal": refusal,
            "upstreams": ranked.iter().map(row).collect::<Vec<_>>(),
        })
    }

    fn upstream(
        &self,
        loss: &ExpectedLoss,
        upstream: &ListedUpstream,
        candidate: &Candidate,
        service_time: Duration,
    ) -> Value {
        let notice_age = self.state.view.notice_age(self.now, &upstream.id);
        json!({
            "upstream": upstream.id,
            "loss": loss.terms.total(),
            "loss_min": loss.min,
            "loss_max": loss.max,
            "terms": loss.terms,
            "fault_probability": candidate.fault_probability,
            "fault_probability_seen_here": candidate.own_fault_probability,
            "in_flight": candidate.in_flight,
            "slots": candidate.slots,
            "wait_ms": to_ms(candidate.wait(service_time)),
            "is_full": candidate.is_full,
            "is_cold": candidate.is_cold,
            "last_notice_ms": notice_age.map(to_ms),
        })
    }
}

fn route_value(entry: &RouteEntry<'_>) -> Value {
    let RouteEntry { host, path_prefix, route } = entry;
    let delivery = &route.delivery;
    let slash = if path_prefix.is_empty() || delivery.subtree_only { "/" } else { "" };
    json!({
        "host": host,
        "path_prefix": format!("{path_prefix}{slash}"),
        "service": route.service,
        "class": route.class,
        "is_public": delivery.is_public,
        "timeout_ms": to_ms(route.timeout),
        "max_timeout_ms": to_ms(route.max_timeout),
        "latency_target_ms": delivery.latency_target.map(|target| to_ms(target.0)),
        "priority": delivery.priority,
        "max_attempts": delivery.max_attempts,
    })
}

/// Returns the services among which the requests of a route are divided.
fn split_parts(route: &RouteMatch) -> Vec<SplitPart> {
    let split = &route.delivery.split;
    if split.iter().any(|part| part.weight > 0) {
        return split.clone();
    }
    vec![SplitPart { service: Arc::clone(&route.service), weight: 1 }]
}

/// Returns a refusal. The two rejections have the shortest and the longest `Retry-After` that random
/// numbers allow.
fn refusal(shortest: &Rejection, longest: &Rejection) -> Value {
    json!({
        "status": shortest.status.as_u16(),
        "reason": shortest.reason.to_string(),
        "detail": shortest.detail,
        "retry_after_min_ms": shortest.retry_after.map(to_ms),
        "retry_after_max_ms": longest.retry_after.map(to_ms),
    })
}

/// Returns a time in milliseconds with one decimal.
fn to_ms(time: Duration) -> f64 {
    (time.as_secs_f64() * 10_000.0).round() / 10.0
}
