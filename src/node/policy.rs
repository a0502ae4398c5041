//! Traffic policy of the request path, based on the state of the instance.

use std::future::ready;
use std::pin::Pin;
use std::time::{Duration, Instant};

use cactustrack_fleet::admission;
use cactustrack_fleet::message::Observation;
use cactustrack_fleet::placement::Candidate;
use cactustrack_fleet::split;
use cactustrack_fleet::view::AttemptEnd;
use cactustrack_platform::PlatformDialect;
use cactustrack_proxy::{
    Admission, ExtraAttempt, ExtraDecision, Rejection, RoutedRequest, SelectionBasis, Target,
    TrafficPolicy,
};
use cactustrack_routing::authentication::Authenticator;
use cactustrack_types::{Outcome, UpstreamId};
use futures::FutureExt;
use http::HeaderMap;
use rand::RngExt;
use slog::Logger;

use super::decisions::{self, UpstreamSelector};
use super::grants::GrantSource;
use super::limits::max_connections;
use super::messenger::NoticeSink;
use super::quota::{self, QuotaGate};
use super::state::SharedState;

/// Delay of a hedge, a parallel second attempt, in mean service times.
const HEDGE_DELAY_FACTOR: f64 = 2.5;

/// Shortest delay of a hedge.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(150);

/// A canceled attempt counts as silent, rather than slow, if it ran for more than this many mean
/// service times.
const SILENT_FACTOR: f64 = 6.0;

/// A canceled attempt counts as slow if it ran for more than this many mean service times. One
/// canceled earlier is no evidence about its upstream.
const SLOW_FACTOR: f64 = 3.5;

/// Fault probability from which the log reports an upstream as suspected.
const SUSPECTED_FAULT_PROBABILITY: f64 = 0.5;

/// Decides on routing, upstream selection, retries and hedges from the state of the instance.
pub(crate) struct NodePolicy {
    pub(crate) state: SharedState,
    pub(crate) notices: Box<dyn NoticeSink>,
    pub(crate) selector: UpstreamSelector,
    pub(crate) grants: Box<dyn GrantSource>,
    /// Quotas of client accounts. `None` if they are not enforced.
    pub(crate) quota: Option<QuotaGate>,
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
        let in_force = decisions::configuration(&state)?;
        let route = in_force.routes.find(host, path)?;
        let authenticate = |authenticator: &Authenticator| authenticator.authenticate(headers);
        let caller = decisions::identify(&state, in_force, &route, authenticate)?;
        let requested = PlatformDialect::requested_timeout(headers);
        let service = split::choose(&route.delivery.split, rand::random());
        Ok(decisions::routed_request(&state, now, &route, caller, requested, service))
    }

    fn admit<'a>(
        &'a self,
        routed: &'a RoutedRequest,
        _account: &'a str,
    ) -> Pin<Box<dyn Future<Output = Result<Admission, Rejection>> + 'a>> {
        // There is no queue in the instance: `pick` accepts or rejects the request when it selects
        // an upstream.
        let admitting = async move {
            if let Some(gate) = &self.quota {
                quota::admit(gate, routed).await?;
            }
            Ok(Box::new(()) as Admission)
        };
        admitting.boxed_local()
    }

    fn confirm_admission<'a>(
        &'a self,
        routed: &'a RoutedRequest,
    ) -> Pin<Box<dyn Future<Output = Result<(), Rejection>> + 'a>> {
        match &self.quota {
            Some(gate) => quota::ensure_valid_token(gate, routed).boxed_local(),
            None => ready(Ok(())).boxed_local(),
        }
    }

    fn on_not_run(&self, _now: Instant, routed: &RoutedRequest) {
        if let (Some(gate), Some(expires)) = (&self.quota, routed.quota_token.take()) {
            gate.restore(routed.caller.principal(), expires);
        }
    }

    fn pick(
        &self,
        now: Instant,
        routed: &RoutedRequest,
        exclude: &[UpstreamId],
    ) -> Result<Target, Rejection> {
        let state = self.state.borrow();
        let is_first = exclude.is_empty();
        if is_first {
            decisions::check_shutdown(&state, now)?;
        }
        state.recheck_freshness(&routed.caller)?;
        let choice = self.selector.choice(&state, now, routed, exclude);
        let mut rng = rand::rng();
        let best = choice.selection.choose(&choice.candidates, || rng.random());
        let (upstream, candidate) = best.ok_or_else(decisions::no_upstream)?;
        decisions::check_wait(&state, now, routed, choice.shortest_wait())
            .map_err(|overload| overload.rejection(rand::random()))?;
        Ok(Target {
            service: routed.service.clone(),
            upstream: upstream.id.clone(),
            incarnation: upstream.incarnation,
            address: upstream.address,
            max_connections: max_connections(&state, &routed.service),
            is_extra_attempt: !is_first,
            basis: basis_of(candidate),
            chosen_at: now,
        })
    }

    fn accepts(&self, now: Instant, target: &Target) -> bool {
        self.state.borrow().catalog.accepts(now, &target.upstream, target.incarnation)
    }

    fn allow_extra_attempt<'a>(
        &'a self,
        now: Instant,
        routed: &'a RoutedRequest,
        extra: ExtraAttempt,
    ) -> Pin<Box<dyn Future<Output = ExtraDecision> + 'a>> {
        self.decide_extra_attempt(now, routed, extra)
    }

    fn hedge_delay(&self, routed: &RoutedRequest) -> Option<Duration> {
        if !routed.class.is_idempotent() {
            return None;
        }
        let service_time = self.state.borrow().view.service_time(&routed.service);
        Some(service_time.mul_f64(HEDGE_DELAY_FACTOR).max(MIN_HEDGE_DELAY))
    }

    /// Attempts have no silence timeout: a hedge goes to another upstream meanwhile, and TCP
    /// keepalive detects a dead connection. A timeout would abort work in progress at an upstream.
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
        let observed = self.to_observation(target, outcome, latency);
        self.finish(now, target, observed, latency);
    }

    fn on_cancel(&self, now: Instant, target: &Target, elapsed: Duration) {
        let service_time = self.state.borrow().view.service_time(&target.service);
        let observed = if elapsed > service_time.mul_f64(SILENT_FACTOR) {
            Some(Observation::NoResponse)
        } else if elapsed > service_time.mul_f64(SLOW_FACTOR) {
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
        let catalog = &mut self.state.borrow_mut().catalog;
        catalog.set_misdirected(&target.upstream, target.incarnation, target.address);
    }

    fn on_leaving(&self, now: Instant, target: &Target) {
        let mut state = self.state.borrow_mut();
        let withdrawals = state.catalog.withdrawals_mut();
        if withdrawals.set_leaving(now, &target.upstream, target.incarnation) {
            slog::info!(self.log, "members: upstream announced its shutdown";
                "upstream" => &*target.upstream, "service" => &*target.service);
        }
    }

    fn on_back_off(&self, now: Instant, target: &Target, wait: Duration) {
        let mut state = self.state.borrow_mut();
        let withdrawals = state.catalog.withdrawals_mut();
        if withdrawals.set_back_off(now, &target.upstream, target.incarnation, wait) {
            slog::info!(self.log, "members: upstream wants no requests for some time";
                "upstream" => &*target.upstream, "service" => &*target.service,
                "wait_ms" => u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
        }
    }

    /// What an upstream states concerns itself and this instance only. The caller may reach another
    /// one, so it is asked to come again while it still waits.
    fn retry_after_shed(
        &self,
        now: Instant,
        routed: &RoutedRequest,
        _stated: Duration,
    ) -> Duration {
        let remaining = routed.deadline.saturating_duration_since(now);
        admission::retry_after(Duration::ZERO, remaining, rand::random())
    }

    fn on_shed(&self, now: Instant, target: &Target, _retry_after: Duration) {
        if !self.has_free_slot(target) {
            self.state.borrow_mut().view.set_full(now, &target.upstream);
        }
    }
}

impl NodePolicy {
    /// Logs when an observation of this instance makes an upstream suspected or clears the
    /// suspicion.
    fn log_suspicion_change(
        &self,
        target: &Target,
        observed: Option<Observation>,
        before: f64,
        after: f64,
    ) {
        let was_suspected = before >= SUSPECTED_FAULT_PROBABILITY;
        let is_suspected = after >= SUSPECTED_FAULT_PROBABILITY;
        if was_suspected == is_suspected {
            return;
        }
        let observed = observed.map(|observed| observed.to_string()).unwrap_or_default();
        let message = if is_suspected { "is suspected" } else { "is no longer suspected" };
        slog::info!(self.log, "health: upstream {}", message;
            "upstream" => &*target.upstream, "service" => &*target.service,
            "observed" => observed, "before" => before, "after" => after);
    }

    /// Returns true if an upstream has enough slots for the fleet's known requests in flight, which
    /// include the current request.
    fn has_free_slot(&self, target: &Target) -> bool {
        let state = self.state.borrow();
        let slots = state.catalog.get(&target.upstream).map_or(0, |upstream| upstream.slots);
        state.view.load().in_flight(&target.upstream) <= slots
    }

    /// Returns what the outcome of an attempt indicates about its upstream. A connection that broke
    /// before the response counts as broken even if it was reused: idle connections are kept for
    /// seconds only, so a fault of the upstream is the likelier cause.
    fn to_observation(
        &self,
        target: &Target,
        outcome: Outcome,
        latency: Option<Duration>,
    ) -> Option<Observation> {
        Some(match (outcome, latency) {
            (Outcome::Ok | Outcome::Slow, latency) => {
                let latency = latency.unwrap_or_default();
                self.state.borrow().view.classify(&target.service, latency)
            }
            (Outcome::Failed, Some(_)) => Observation::ErrorResponse,
            (Outcome::Failed | Outcome::Silent, _) => Observation::Broken,
            (Outcome::Refused, _) => Observation::Unreachable,
            (Outcome::CutShort, _) => Observation::CutShort,
            (Outcome::Shed, _) if self.has_free_slot(target) => Observation::RejectedWithFreeSlot,
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
        let had_free_slot = self.has_free_slot(target);
        let notice = {
            let mut state = self.state.borrow_mut();
            let (before, _) = state.view.fault_probability(now, &target.upstream);
            let has_head = latency.is_some();
            let latency = latency.unwrap_or_default();
            let attempt_end = AttemptEnd { observed, latency, had_free_slot, has_head };
            let notice = state.view.finish(now, &target.service, &target.upstream, attempt_end);
            let (after, _) = state.view.fault_probability(now, &target.upstream);
            self.log_suspicion_change(target, observed, before, after);
            notice
        };
        self.notices.push(notice);
    }
}

fn basis_of(candidate: &Candidate) -> SelectionBasis {
    let fault_probability = candidate.fault_probability.max(candidate.own_fault_probability);
    SelectionBasis {
        fault_permille: (fault_probability * 1_000.0) as u16,
        in_flight: candidate.in_flight,
    }
}
