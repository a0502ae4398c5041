//! The request path's decisions over the state of the instance.

use std::pin::Pin;
use std::time::{Duration, Instant};

use cactustrack_fleet::admission::{self, Candidate};
use cactustrack_fleet::budget::{BudgetLimits, Knowledge};
use cactustrack_fleet::discovery::ListedUpstream;
use cactustrack_fleet::message::Observation;
use cactustrack_fleet::placement::{Prospect, Request};
use cactustrack_fleet::split;
use cactustrack_fleet::trial::{self, Need};
use cactustrack_fleet::view::Ended;
use cactustrack_platform::PlatformDialect;
use cactustrack_proxy::{
    Admission, ExtraAttempt, Pool, Rejection, RoutedRequest, SelectionBasis, Target, TrafficPolicy,
};
use cactustrack_types::{FailureDomain, Outcome, RequestClass, ServiceId, UpstreamId};
use futures::FutureExt;
use http::HeaderMap;
use slog::Logger;

use super::exchange::NoticeSink;
use super::state::{SharedState, State};

/// Wait that is named to a caller while the instance knows no configuration or no upstream.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A request is sent once more beside the first attempt after this many mean service times.
const HEDGE_FACTOR: f64 = 2.5;

/// Shortest wait before a hedge.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(150);

/// Largest share of a service's slots in use at which requests are hedged. A hedge takes room that
/// other requests need when the service is busy.
const MAX_HEDGE_LOAD: f64 = 0.55;

/// Part of the connections that an upstream accepts which the fleet may open.
const CONNECTION_SHARE: f64 = 0.9;

/// Connections to one upstream that an instance may open in any case.
const MIN_CONNECTIONS: usize = 2;

/// An attempt that was given up counts as silent, and not as slow, after this many mean service
/// times.
const SILENT_FACTOR: f64 = 6.0;

/// An attempt that was given up earlier says nothing about the upstream.
const SLOW_FACTOR: f64 = 3.5;

/// Probability of a fault from which an upstream is called suspected in the log.
const SUSPECTED_PROBABILITY: f64 = 0.5;

/// Decides with the state of the instance.
pub(crate) struct NodePolicy {
    pub(crate) state: SharedState,
    pub(crate) notices: Box<dyn NoticeSink>,
    pub(crate) pool: Pool,
    pub(crate) failure_domain: FailureDomain,
    pub(crate) budget: BudgetLimits,
    pub(crate) log: Logger,
}

impl TrafficPolicy for NodePolicy {
    fn route(
        &self,
        now: Instant,
        host: &str,
        path: &str,
        headers: &HeaderMap,
    ) -> Result<RoutedRequest, Rejection> {
        let state = self.state.borrow();
        let in_force = state.in_force.as_ref();
        let in_force = in_force.ok_or_else(|| Rejection::not_configured(NOT_READY_RETRY_AFTER))?;
        let route = in_force.routes.find(host, path)?;
        let requested = PlatformDialect::requested_timeout(headers);
        let timeout = requested.unwrap_or(route.timeout).min(route.max_timeout);
        let service = split::choose(&route.delivery.split, rand::random()).cloned();
        Ok(RoutedRequest {
            service: service.unwrap_or(route.service),
            class: route.class,
            deadline: now + timeout,
            target: route.delivery.latency_target.map(|target| now + target.0),
            priority: route.delivery.priority,
            max_attempts: route.delivery.max_attempts,
        })
    }

    fn admit<'a>(
        &'a self,
        _routed: &'a RoutedRequest,
        _account: &'a str,
    ) -> Pin<Box<dyn Future<Output = Result<Admission, Rejection>> + 'a>> {
        // Work waits only at upstreams, so a request is taken or rejected when it is placed.
        async { Ok(Box::new(()) as Admission) }.boxed_local()
    }

    fn pick(
        &self,
        now: Instant,
        routed: &RoutedRequest,
        exclude: &[UpstreamId],
    ) -> Result<Target, Rejection> {
        let state = self.state.borrow();
        let usable = state.catalog.usable(now, &routed.service);
        let usable = usable.filter(|upstream| !exclude.contains(&upstream.id));
        let prospects: Vec<(&ListedUpstream, Prospect)> = usable
            .map(|upstream| (upstream, self.prospect(&state, now, routed, upstream)))
            .collect();
        let best = choose(&state, now, routed, is_last_attempt(routed, exclude), &prospects);
        let Some((upstream, prospect)) = best else {
            return Err(Rejection::no_upstream(NOT_READY_RETRY_AFTER));
        };
        let service_time = state.view.service_time(&routed.service);
        let waits = prospects.iter().map(|(_, prospect)| prospect.wait(service_time));
        let shortest_wait = waits.min().unwrap_or_default();
        self.check_wait(&state, now, routed, shortest_wait)?;
        Ok(Target {
            service: routed.service.clone(),
            upstream: upstream.id.clone(),
            incarnation: upstream.incarnation,
            address: upstream.address,
            max_connections: max_connections(&state, &routed.service),
            is_extra_attempt: !exclude.is_empty(),
            basis: basis_of(prospect),
        })
    }

    fn allow_extra_attempt(
        &self,
        now: Instant,
        routed: &RoutedRequest,
        extra: ExtraAttempt,
    ) -> bool {
        let mut state = self.state.borrow_mut();
        let knowledge = Knowledge {
            is_connected: state.peers.is_connected(),
            listened: now.saturating_duration_since(state.started),
        };
        let is_hedge = extra == ExtraAttempt::Hedge;
        if is_hedge && self.load_share(&state, now, &routed.service) > MAX_HEDGE_LOAD {
            return false;
        }
        state.view.allows_extra(now, &routed.service, self.budget, knowledge, is_hedge)
    }

    fn hedge_delay(&self, routed: &RoutedRequest) -> Option<Duration> {
        if !routed.class.is_repeatable() {
            return None;
        }
        let usual = self.state.borrow().view.service_time(&routed.service);
        Some(usual.mul_f64(HEDGE_FACTOR).max(MIN_HEDGE_DELAY))
    }

    /// A hedge asks another upstream meanwhile, and the keep-alive of the connection finds out
    /// whether it is silent. Giving the attempt up would break off work that an upstream does.
    fn silence_timeout(&self, _now: Instant, _routed: &RoutedRequest) -> Option<Duration> {
        None
    }

    fn on_start(&self, now: Instant, target: &Target) {
        let (service, upstream) = (&target.service, &target.upstream);
        let mut state = self.state.borrow_mut();
        let notice = state.view.start(now, service, upstream, target.is_extra_attempt);
        drop(state);
        self.notices.push(notice);
    }

    fn on_response_head(&self, _now: Instant, target: &Target, _headers: &HeaderMap) {
        self.state.borrow_mut().view.on_head(&target.upstream);
    }

    fn on_finish(
        &self,
        now: Instant,
        target: &Target,
        outcome: Outcome,
        latency: Option<Duration>,
    ) {
        let observed = self.observe(target, outcome, latency);
        self.finish(now, target, observed, latency);
    }

    fn on_cancel(&self, now: Instant, target: &Target, elapsed: Duration) {
        let usual = self.state.borrow().view.service_time(&target.service);
        let observed = if elapsed > usual.mul_f64(SILENT_FACTOR) {
            Some(Observation::NoAnswer)
        } else if elapsed > usual.mul_f64(SLOW_FACTOR) {
            Some(Observation::Slow)
        } else {
            None
        };
        self.finish(now, target, observed, None);
    }

    fn on_cancel_reused(&self, now: Instant, target: &Target, elapsed: Duration) {
        self.on_cancel(now, target, elapsed);
    }

    fn on_misdirected(&self, _now: Instant, target: &Target) {
        self.state.borrow_mut().catalog.set_misdirected(&target.upstream);
    }

    fn on_shed(&self, now: Instant, target: &Target, _retry_after: Duration) {
        if !self.has_room(target) {
            self.state.borrow_mut().view.set_full(now, &target.upstream);
        }
    }
}

impl NodePolicy {
    fn prospect(
        &self,
        state: &State,
        now: Instant,
        routed: &RoutedRequest,
        upstream: &ListedUpstream,
    ) -> Prospect {
        let (fault, own_fault) = state.view.fault(now, &upstream.id);
        let needs_recent = routed.class == RequestClass::NonIdempotent;
        Prospect {
            in_flight: state.view.load().in_flight(&upstream.id),
            slots: upstream.slots,
            fault,
            own_fault,
            is_cold: upstream.cold_until.is_some_and(|until| until > now),
            has_connection: self.pool.has_idle(&upstream.id, upstream.incarnation, needs_recent),
            is_near: upstream.failure_domain == self.failure_domain,
            is_full: state.view.load().is_full(now, &upstream.id),
            unused: state.view.unused(now, &upstream.id),
        }
    }

    fn check_wait(
        &self,
        state: &State,
        now: Instant,
        routed: &RoutedRequest,
        wait: Duration,
    ) -> Result<(), Rejection> {
        let remaining = routed.deadline.saturating_duration_since(now);
        let in_force = state.in_force.as_ref();
        let ranks = in_force.map_or(0, |f| f.ranks_above(&routed.service, routed.priority));
        let limit = admission::wait_limit(&Candidate {
            remaining,
            target_left: target_left(now, routed),
            service_time: state.view.service_time(&routed.service),
            ranks_below_first: ranks,
        });
        if wait <= limit {
            return Ok(());
        }
        let retry_after = admission::retry_after(wait - limit, remaining, rand::random());
        Err(Rejection::overloaded("the upstreams of the service have no room in time", retry_after))
    }

    /// Writes a line when an observation of this instance changes what it believes of an upstream.
    fn tell_belief(&self, target: &Target, observed: Option<Observation>, before: f64, after: f64) {
        let was_suspected = before >= SUSPECTED_PROBABILITY;
        let is_suspected = after >= SUSPECTED_PROBABILITY;
        if was_suspected == is_suspected {
            return;
        }
        let observed = observed.map(|observed| observed.to_string()).unwrap_or_default();
        let message = if is_suspected { "is suspected" } else { "is trusted again" };
        slog::info!(self.log, "health: upstream {}", message;
            "upstream" => &*target.upstream, "service" => &*target.service,
            "observed" => observed, "before" => before, "after" => after);
    }

    /// Returns true if an upstream has a slot free as far as the fleet knows. The count holds the
    /// request in question.
    fn has_room(&self, target: &Target) -> bool {
        let state = self.state.borrow();
        let slots = state.catalog.get(&target.upstream).map_or(0, |upstream| upstream.slots);
        state.view.load().in_flight(&target.upstream) <= slots
    }

    /// Share of the slots of a service that are in use by the whole fleet.
    fn load_share(&self, state: &State, now: Instant, service: &ServiceId) -> f64 {
        let (mut in_flight, mut slots) = (0, 0);
        for upstream in state.catalog.usable(now, service) {
            in_flight += state.view.load().in_flight(&upstream.id);
            slots += upstream.slots;
        }
        f64::from(in_flight) / f64::from(slots.max(1))
    }

    /// What the end of an attempt says about its upstream. A connection that broke while it waited
    /// for an answer counts as broken also if it was used before: idle ones are kept for seconds
    /// only, so the upstream is the likelier cause.
    fn observe(
        &self,
        target: &Target,
        outcome: Outcome,
        latency: Option<Duration>,
    ) -> Option<Observation> {
        Some(match (outcome, latency) {
            (Outcome::Ok | Outcome::Slow, latency) => {
                let latency = latency.unwrap_or_default();
                self.state.borrow().view.judge(&target.service, latency)
            }
            (Outcome::Failed, Some(_)) => Observation::ErrorAnswer,
            (Outcome::Failed | Outcome::Silent, _) => Observation::Broken,
            (Outcome::Refused, _) => Observation::Unreachable,
            (Outcome::CutShort, _) => Observation::CutShort,
            (Outcome::Shed, _) if self.has_room(target) => Observation::RefusedWithRoom,
            (Outcome::Shed, _) => return None,
        })
    }

    fn finish(
        &self,
        now: Instant,
        target: &Target,
        observed: Option<Observation>,
        latency: Option<Duration>,
    ) {
        let unqueued = self.has_room(target);
        let notice = {
            let mut state = self.state.borrow_mut();
            let (before, _) = state.view.fault(now, &target.upstream);
            let has_head = latency.is_some();
            let latency = latency.unwrap_or_default();
            let ended = Ended { observed, latency, unqueued, has_head };
            let notice = state.view.finish(now, &target.service, &target.upstream, ended);
            let (after, _) = state.view.fault(now, &target.upstream);
            self.tell_belief(target, observed, before, after);
            notice
        };
        self.notices.push(notice);
    }
}

/// Connections that this instance may have open to one upstream of a service.
fn max_connections(state: &State, service: &ServiceId) -> usize {
    let in_force = state.in_force.as_ref();
    let accepted = in_force.and_then(|in_force| in_force.connections.get(service));
    let Some(accepted) = accepted else { return MIN_CONNECTIONS };
    let share = f64::from(*accepted) * CONNECTION_SHARE / state.peers.instances() as f64;
    (share as usize).max(MIN_CONNECTIONS)
}

/// Returns true if the request cannot be sent once more if this attempt fails.
fn is_last_attempt(routed: &RoutedRequest, tried: &[UpstreamId]) -> bool {
    let sent = u32::try_from(tried.len()).unwrap_or(u32::MAX).saturating_add(1);
    !routed.class.is_repeatable() || routed.max_attempts.is_some_and(|most| sent >= most)
}

/// The upstream with the smallest expected loss.
fn choose<'a>(
    state: &State,
    now: Instant,
    routed: &RoutedRequest,
    is_last_attempt: bool,
    prospects: &'a [(&'a ListedUpstream, Prospect)],
) -> Option<(&'a ListedUpstream, &'a Prospect)> {
    let need = need(state, now, &routed.service, prospects);
    let floor_trial = need.floor_trial(is_last_attempt, rand::random());
    let loss = |prospect: &Prospect| {
        prospect.loss(&Request {
            class: routed.class,
            is_last_attempt,
            service_time: state.view.service_time(&routed.service),
            target_left: target_left(now, routed),
            draw: rand::random(),
            trial: floor_trial.or_else(|| need.trial(is_last_attempt, rand::random())),
        })
    };
    let losses = prospects.iter().map(|(upstream, prospect)| (loss(prospect), *upstream, prospect));
    let best = losses.min_by(|(one, ..), (other, ..)| one.total_cmp(other));
    best.map(|(_, upstream, prospect)| (upstream, prospect))
}

/// How much a service needs the upstreams that it leaves alone.
fn need(
    state: &State,
    now: Instant,
    service: &ServiceId,
    prospects: &[(&ListedUpstream, Prospect)],
) -> Need {
    let trusted = prospects.iter().filter(|(_, prospect)| prospect.is_trusted());
    let (in_flight, slots) = trusted.fold((0, 0), |(in_flight, slots), (_, prospect)| {
        (in_flight + prospect.in_flight, slots + prospect.slots)
    });
    let is_used = |unused: Option<Duration>| unused.is_some_and(|unused| unused < trial::IN_USE);
    let used = prospects.iter().filter(|(_, prospect)| is_used(prospect.unused)).count();
    Need {
        upstreams: prospects.len(),
        used,
        trusted_load: f64::from(in_flight) / f64::from(slots.max(1)),
        request_rate: state.view.recent(service).rate(now),
    }
}

fn basis_of(prospect: &Prospect) -> SelectionBasis {
    let fault = prospect.fault.max(prospect.own_fault);
    SelectionBasis { fault_permille: (fault * 1_000.0) as u16, in_flight: prospect.in_flight }
}

fn target_left(now: Instant, routed: &RoutedRequest) -> Duration {
    routed.target.unwrap_or(routed.deadline).saturating_duration_since(now)
}
