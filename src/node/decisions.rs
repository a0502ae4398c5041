//! Decisions on a request that the request path and the explanation of a route share. None of them
//! changes the state of the instance.

use std::sync::Arc;
use std::time::{Duration, Instant};

use cactustrack_fleet::admission::{self, AdmissionRequest};
use cactustrack_fleet::discovery::ListedUpstream;
use cactustrack_fleet::placement::Candidate;
use cactustrack_fleet::progress::ResponseTimes;
use cactustrack_fleet::selection::Selection;
use cactustrack_proxy::{CallerIdentity, Pool, Priority, QuotaToken, Rejection, RoutedRequest};
use cactustrack_routing::authentication::{AuthenticationError, Authenticator, Principal};
use cactustrack_routing::route::RouteMatch;
use cactustrack_types::{FailureDomain, RequestClass, ServiceId, UpstreamId};

use super::state::{InForce, State};

/// `Retry-After` sent to callers while the instance has no configuration or no usable upstream.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// `Retry-After` sent to callers whose request came too late in a shutdown. Another instance takes
/// it at once.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Returns the configuration in force.
pub(super) fn configuration(state: &State) -> Result<&InForce, Rejection> {
    let in_force = state.in_force.as_ref();
    in_force.ok_or_else(|| Rejection::not_configured(UNAVAILABLE_RETRY_AFTER))
}

/// Returns the caller of a request to a route. `authenticate` returns the client account of the
/// request. It is called only if the route needs one.
pub(super) fn identify(
    state: &State,
    in_force: &InForce,
    route: &RouteMatch,
    authenticate: impl FnOnce(&Authenticator) -> Result<Arc<Principal>, AuthenticationError>,
) -> Result<CallerIdentity, Rejection> {
    Ok(match &in_force.authenticator {
        None => CallerIdentity::Unauthenticated,
        Some(_) if route.delivery.is_public => CallerIdentity::Public,
        Some(authenticator) => {
            state.check_freshness()?;
            CallerIdentity::Account(authenticate(authenticator)?)
        }
    })
}

/// Returns the routed request of a caller. `requested` is the timeout that the caller requested, and
/// `service` the one of a traffic split that receives the request.
pub(super) fn routed_request(
    state: &State,
    now: Instant,
    route: &RouteMatch,
    caller: CallerIdentity,
    requested: Option<Duration>,
    service: Option<&ServiceId>,
) -> RoutedRequest {
    let timeout = requested.unwrap_or(route.timeout).min(route.max_timeout);
    let deadline = now + timeout;
    let deadline = state.shutdown.map_or(deadline, |plan| deadline.min(plan.latest_deadline));
    RoutedRequest {
        service: service.unwrap_or(&route.service).clone(),
        class: route.class,
        deadline,
        target: route.delivery.latency_target.map(|target| now + target.0),
        priority: Priority {
            account: caller.principal().map_or(0, |principal| principal.priority),
            route: route.delivery.priority,
        },
        caller,
        quota_token: QuotaToken::default(),
        max_attempts: route.delivery.max_attempts,
    }
}

/// Checks that the shutdown of the instance, if there is one, still allows a first attempt.
pub(super) fn check_shutdown(state: &State, now: Instant) -> Result<(), Rejection> {
    if state.shutdown.is_some_and(|plan| plan.rejects_new(now)) {
        return Err(Rejection::stopping(STOPPING_RETRY_AFTER));
    }
    Ok(())
}

/// Returns the rejection of a request whose service has no usable upstream.
pub(super) fn no_upstream() -> Rejection {
    Rejection::no_upstream(UNAVAILABLE_RETRY_AFTER)
}

/// A request whose wait at the upstreams of its service would be too long.
#[derive(Clone, Copy, Debug)]
pub(super) struct Overload {
    /// Wait beyond the limit.
    excess: Duration,
    /// Time until the deadline of the request.
    remaining: Duration,
}

impl Overload {
    /// Returns the rejection. `draw` is a random number, uniform from 0 to 1, that spreads the
    /// retries.
    pub(super) fn rejection(&self, draw: f64) -> Rejection {
        let retry_after = admission::retry_after(self.excess, self.remaining, draw);
        Rejection::overloaded("the upstreams of the service have no room in time", retry_after)
    }
}

/// Checks that the shortest wait at the upstreams of the service is within the limit of the request.
pub(super) fn check_wait(
    state: &State,
    now: Instant,
    routed: &RoutedRequest,
    wait: Duration,
) -> Result<(), Overload> {
    let remaining = routed.deadline.saturating_duration_since(now);
    let in_force = state.in_force.as_ref();
    let more_urgent = in_force.map_or(0, |f| f.count_more_urgent(&routed.service, routed.priority));
    let limit = admission::wait_limit(&AdmissionRequest {
        remaining,
        target_left: target_left(now, routed),
        service_time: state.view.service_time(&routed.service),
        more_urgent_ranks: more_urgent,
    });
    if wait <= limit { Ok(()) } else { Err(Overload { excess: wait - limit, remaining }) }
}

/// Upstreams that a request may be sent to, and the selection among them.
pub(super) struct Choice<'a> {
    pub(super) candidates: Vec<(&'a ListedUpstream, Candidate)>,
    pub(super) selection: Selection,
}

impl Choice<'_> {
    /// Returns the wait for a slot at the upstream with the shortest one.
    pub(super) fn shortest_wait(&self) -> Duration {
        let service_time = self.selection.service_time;
        let waits = self.candidates.iter().map(|(_, candidate)| candidate.wait(service_time));
        waits.min().unwrap_or_default()
    }
}

/// What a selection depends on besides the state of the instance.
#[derive(Clone)]
pub(crate) struct UpstreamSelector {
    pub(crate) pool: Pool,
    pub(crate) failure_domain: FailureDomain,
}

impl UpstreamSelector {
    /// Returns the upstreams that a request may be sent to after those in `exclude`.
    pub(super) fn choice<'a>(
        &self,
        state: &'a State,
        now: Instant,
        routed: &'a RoutedRequest,
        exclude: &[UpstreamId],
    ) -> Choice<'a> {
        let usable = state.catalog.usable(now, &routed.service);
        let usable = usable.filter(|upstream| !exclude.contains(&upstream.id));
        let times = state.view.response_times(&routed.service);
        let candidate =
            |upstream| (upstream, self.candidate(state, now, routed.class, upstream, times));
        let candidates = usable.map(candidate).collect();
        let selection = Selection {
            class: routed.class,
            is_last_attempt: is_last_attempt(routed, exclude),
            service_time: state.view.service_time(&routed.service),
            target_left: target_left(now, routed),
            request_rate: state.view.attempt_rate(&routed.service).per_second(now),
            failure_share: state.view.failure_share(now, &routed.service),
        };
        Choice { candidates, selection }
    }

    fn candidate(
        &self,
        state: &State,
        now: Instant,
        class: RequestClass,
        upstream: &ListedUpstream,
        times: ResponseTimes,
    ) -> Candidate {
        let slots = upstream.slots;
        let assessment = state.view.assess(now, &upstream.id, slots, times);
        Candidate {
            in_flight: assessment.in_flight,
            slots,
            fault_probability: assessment.fault_probability,
            own_fault_probability: assessment.own_fault_probability,
            is_cold: upstream.cold_until.is_some_and(|until| until > now),
            has_connection: self.pool.has_idle(
                &upstream.id,
                upstream.incarnation,
                !class.is_idempotent(),
            ),
            is_same_domain: upstream.failure_domain == self.failure_domain,
            is_full: assessment.is_full,
            idle_time: assessment.idle_time,
        }
    }
}

/// Returns true if the request cannot be retried after this attempt.
fn is_last_attempt(routed: &RoutedRequest, tried: &[UpstreamId]) -> bool {
    let sent = u32::try_from(tried.len()).unwrap_or(u32::MAX).saturating_add(1);
    !routed.class.is_idempotent() || routed.max_attempts.is_some_and(|limit| sent >= limit)
}

fn target_left(now: Instant, routed: &RoutedRequest) -> Duration {
    routed.target.unwrap_or(routed.deadline).saturating_duration_since(now)
}
