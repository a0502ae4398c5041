//! Routing, admission and upstream selection of requests, based on the blackboard.

use std::cell::RefCell;
use std::future::ready;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use cactustrack_observe::Metrics;
use cactustrack_proxy::{
    Admission, CallerIdentity, ExtraAttempt, ExtraDecision, Priority, QuotaToken, Rejection,
    RejectionReason, RoutedRequest, SelectionBasis, Target, TrafficPolicy,
};
use cactustrack_routing::balancer::{LoadReport, PickError, PickRequest};
use cactustrack_routing::deadline::Deadline;
use cactustrack_routing::headers;
use cactustrack_routing::limits::{self, Completion, RejectReason};
use cactustrack_types::{Outcome, RequestClass, ServiceId, UpstreamId};
use futures::FutureExt;
use futures::channel::oneshot;
use http::{HeaderMap, StatusCode};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slog::Logger;

use super::blackboard::{Blackboard, SharedBlackboard, Waiter};
use super::health;

/// `Retry-After` of rejected requests when the instance has no better estimate.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time without a response after which a canceled attempt counts as slow while there is no hedge
/// delay for the service, because its usual latency is unknown.
const DEFAULT_SLOW_THRESHOLD: Duration = Duration::from_secs(1);

/// A [`TrafficPolicy`] that uses the state of the blackboard.
pub(crate) struct BlackboardPolicy {
    board: SharedBlackboard,
    metrics: Metrics,
    log: Logger,
    rng: RefCell<SmallRng>,
}

impl BlackboardPolicy {
    /// Creates the policy of an instance.
    pub(crate) fn new(board: SharedBlackboard, metrics: Metrics, log: Logger) -> Rc<Self> {
        let rng = RefCell::new(SmallRng::seed_from_u64(rand::random()));
        Rc::new(Self { board, metrics, log, rng })
    }

    fn record(&self, board: &mut Blackboard, now: Instant, target: &Target, outcome: Outcome) {
        board.evidence.record(now, &target.upstream, target.incarnation, outcome);
        let labels = [&*target.service, &outcome.to_string()];
        self.metrics.evidence.with_label_values(&labels).inc();
    }
}

impl TrafficPolicy for BlackboardPolicy {
    fn route(
        &self,
        now: Instant,
        host: &str,
        path: &str,
        headers: &HeaderMap,
    ) -> Result<RoutedRequest, Rejection> {
        let (routes, authenticator) = match &self.board.borrow().in_force {
            Some(in_force) => (Rc::clone(&in_force.routes), in_force.authenticator.clone()),
            None => return Err(not_configured()),
        };
        let route = routes.find(host, path)?;
        let caller = match authenticator {
            None => CallerIdentity::Unauthenticated,
            Some(_) if route.delivery.is_public => CallerIdentity::Public,
            Some(authenticator) => CallerIdentity::Account(authenticator.authenticate(headers)?),
        };
        let deadline = Deadline::from_headers(now, headers, &route).map_err(|error| {
            Rejection::not_run(
                RejectionReason::Malformed,
                StatusCode::BAD_REQUEST,
                error.to_string(),
            )
        })?;
        Ok(RoutedRequest {
            service: route.service,
            class: route.class,
            deadline: deadline.at,
            target: None,
            // Fair shares by weight order the requests of accounts here.
            priority: Priority::default(),
            caller,
            quota_token: QuotaToken::default(),
            max_attempts: None,
        })
    }

    fn admit<'a>(
        &'a self,
        routed: &'a RoutedRequest,
        account: &'a str,
    ) -> Pin<Box<dyn Future<Output = Result<Admission, Rejection>> + 'a>> {
        self.admit_request(routed, account).boxed_local()
    }

    fn pick(
        &self,
        now: Instant,
        routed: &RoutedRequest,
        exclude: &[UpstreamId],
    ) -> Result<Target, Rejection> {
        let board = self.board.borrow();
        let service = board.services.get(&routed.service).ok_or_else(not_configured)?;
        let request = PickRequest {
            class: routed.class,
            exclude,
            failure_domain: &board.observer.failure_domain,
        };
        let mut rng = self.rng.borrow_mut();
        let picked = service.balancer.pick(now, &mut *rng, &service.candidates, request);
        let id = picked.map_err(|error| pick_rejection(now, error))?;
        let view =
            board.upstreams.get(&id).ok_or_else(|| Rejection::no_upstream(DEFAULT_RETRY_AFTER))?;
        let candidate = service.candidates.iter().find(|candidate| candidate.id == id);
        let max_connections = candidate.map_or(1, |candidate| candidate.max_connections);
        Ok(Target {
            service: routed.service.clone(),
            upstream: id,
            incarnation: view.incarnation,
            address: view.address,
            max_connections: usize::try_from(max_connections).unwrap_or(usize::MAX),
            is_extra_attempt: !exclude.is_empty(),
            basis: SelectionBasis::default(),
            chosen_at: now,
        })
    }

    fn allow_extra_attempt<'a>(
        &'a self,
        _now: Instant,
        routed: &'a RoutedRequest,
        extra: ExtraAttempt,
    ) -> Pin<Box<dyn Future<Output = ExtraDecision> + 'a>> {
        let mut board = self.board.borrow_mut();
        let service = board.services.get_mut(&routed.service);
        let is_allowed = extra != ExtraAttempt::Declined
            && service.is_some_and(|service| service.retry_budget.try_take());
        ready(ExtraDecision::without_basis(is_allowed)).boxed_local()
    }

    fn hedge_delay(&self, routed: &RoutedRequest) -> Option<Duration> {
        if routed.class != RequestClass::Idempotent {
            return None;
        }
        self.board.borrow().services.get(&routed.service)?.hedge_delay.delay()
    }

    fn on_start(&self, _now: Instant, target: &Target) {
        if let Some(service) = self.board.borrow_mut().services.get_mut(&target.service) {
            service.balancer.on_start(&target.upstream);
        }
    }

    fn on_response_head(&self, now: Instant, target: &Target, headers: &HeaderMap) {
        let mut board = self.board.borrow_mut();
        let board = &mut *board;
        let load =
            headers.get(headers::LOAD).and_then(|value| LoadReport::parse(value.to_str().ok()?));
        if let (Some(load), Some(service)) = (load, board.services.get_mut(&target.service)) {
            service.balancer.on_load_report(now, &target.upstream, load);
        }
        let boot_id = headers.get(headers::BOOT_ID).and_then(|value| value.to_str().ok());
        if let Some(boot_id) = boot_id {
            self.update_boot_id(board, now, target, boot_id);
        }
    }

    fn on_finish(
        &self,
        now: Instant,
        target: &Target,
        outcome: Outcome,
        latency: Option<Duration>,
    ) {
        let mut board = self.board.borrow_mut();
        let board = &mut *board;
        let Some(service) = board.services.get_mut(&target.service) else { return };
        let mut classified = outcome;
        if let (Outcome::Ok, Some(latency)) = (outcome, latency) {
            classified = service.latency_classifier.classify(now, &target.upstream, latency);
            service.hedge_delay.on_latency(now, latency);
        }
        if matches!(classified, Outcome::Ok | Outcome::Slow) {
            board.last_response = Some(now);
        }
        service.balancer.on_finish(now, &target.upstream, classified, latency.unwrap_or_default());
        self.record(board, now, target, classified);
    }

    fn on_leaving(&self, now: Instant, target: &Target) {
        let mut board = self.board.borrow_mut();
        if board.set_leaving(&target.upstream, target.incarnation) {
            slog::info!(self.log, "health: upstream announced its shutdown";
                "service" => &*target.service, "upstream" => &*target.upstream);
            health::replan_service(&mut board, now, &target.service);
        }
    }

    fn on_shed(&self, now: Instant, target: &Target, retry_after: Duration) {
        if let Some(service) = self.board.borrow_mut().services.get_mut(&target.service) {
            service.balancer.on_shed(now, &target.upstream, Some(retry_after));
        }
    }

    fn on_cancel(&self, now: Instant, target: &Target, elapsed: Duration) {
        let mut board = self.board.borrow_mut();
        let board = &mut *board;
        let Some(service) = board.services.get_mut(&target.service) else { return };
        // If hedges always respond before the attempts of an upstream, its attempts are all
        // canceled. The time until the cancellation is then the only evidence about it.
        let slow_threshold = service.hedge_delay.delay().unwrap_or(DEFAULT_SLOW_THRESHOLD);
        let is_slow = elapsed >= slow_threshold;
        let outcome = if is_slow { Outcome::Slow } else { Outcome::Silent };
        service.balancer.on_finish(now, &target.upstream, outcome, elapsed);
        if is_slow {
            self.record(board, now, target, Outcome::Slow);
        }
    }
}

impl BlackboardPolicy {
    async fn admit_request(
        &self,
        routed: &RoutedRequest,
        account: &str,
    ) -> Result<Admission, Rejection> {
        let now = Instant::now();
        let (ticket, rx, until) = {
            let mut board = self.board.borrow_mut();
            let board = &mut *board;
            let in_force = board.in_force.as_ref().ok_or_else(not_configured)?;
            let weight = in_force.weights.get(account).copied().unwrap_or(1);
            let service = board.services.get_mut(&routed.service).ok_or_else(not_configured)?;
            service.retry_budget.on_request();
            let deadline = Deadline { at: routed.deadline };
            match service.overload.admit(now, account, weight, deadline) {
                limits::Admission::Admit => return Ok(Box::new(self.guard(routed))),
                limits::Admission::Reject { reason, retry_after } => {
                    return Err(overloaded(reason, retry_after));
                }
                limits::Admission::Wait(until) => {
                    let ticket = board.next_ticket;
                    board.next_ticket += 1;
                    let (tx, rx) = oneshot::channel();
                    service.waiters.push_back(Waiter { ticket, tx });
                    (ticket, rx, until)
                }
            }
        };
        let waiter_guard =
            WaiterGuard { board: Rc::clone(&self.board), service: routed.service.clone(), ticket };
        let wait = until.saturating_duration_since(now);
        let granted = compio::time::timeout(wait, rx).await;
        drop(waiter_guard);
        match granted {
            Ok(Ok(guard)) => Ok(Box::new(guard)),
            _ => Err(overloaded(RejectReason::DeadlineTooClose, DEFAULT_RETRY_AFTER)),
        }
    }

    fn guard(&self, routed: &RoutedRequest) -> AdmissionGuard {
        AdmissionGuard {
            board: Rc::clone(&self.board),
            service: routed.service.clone(),
            class: routed.class,
            started: Instant::now(),
        }
    }

    fn update_boot_id(&self, board: &mut Blackboard, now: Instant, target: &Target, boot_id: &str) {
        let known = board.boot_ids.get(&target.upstream);
        if known.is_some_and(|known| known == boot_id) {
            return;
        }
        let restarted = known.is_some();
        board.boot_ids.insert(target.upstream.clone(), boot_id.to_owned());
        if !restarted {
            return;
        }
        slog::info!(self.log, "health: upstream has restarted";
            "service" => &*target.service, "upstream" => &*target.upstream);
        if let Some(view) = board.upstreams.get_mut(&target.upstream) {
            view.cold_since = Some(now);
            view.leaving = false;
        }
        if let Some(service) = board.services.get_mut(&target.service) {
            service.balancer.on_restart(&target.upstream);
        }
    }
}

/// Guard of a [`Waiter`]. Dropping it removes the request from the queue of its service if it is
/// still there.
struct WaiterGuard {
    board: SharedBlackboard,
    service: ServiceId,
    ticket: u64,
}

impl Drop for WaiterGuard {
    fn drop(&mut self) {
        let mut board = self.board.borrow_mut();
        let Some(service) = board.services.get_mut(&self.service) else { return };
        let position = service.waiters.iter().position(|waiter| waiter.ticket == self.ticket);
        if let Some(position) = position {
            service.waiters.remove(position);
            service.overload.on_wait_abandoned();
        }
    }
}

/// The slot of an admitted request. Dropping it frees the slot for the next queued request.
pub(crate) struct AdmissionGuard {
    board: SharedBlackboard,
    service: ServiceId,
    class: RequestClass,
    started: Instant,
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        let now = Instant::now();
        let mut board = self.board.borrow_mut();
        let Some(service) = board.services.get_mut(&self.service) else { return };
        // The duration of a large response depends on its size and on the caller, not on load.
        let completion = match self.class {
            RequestClass::Large => Completion::Failed,
            _ => Completion::Responded(now.duration_since(self.started)),
        };
        service.overload.on_finish(now, completion);
        let mut undelivered = Vec::new();
        while service.overload.admit_waiting() {
            let Some(waiter) = service.waiters.pop_front() else { break };
            let guard = AdmissionGuard {
                board: Rc::clone(&self.board),
                service: self.service.clone(),
                class: self.class,
                started: now,
            };
            // If the request was canceled meanwhile, the guard comes back and is dropped below,
            // which frees its slot again.
            undelivered.extend(waiter.tx.send(guard).err());
        }
        drop(board);
        drop(undelivered);
    }
}

fn not_configured() -> Rejection {
    Rejection::not_configured(DEFAULT_RETRY_AFTER)
}

fn overloaded(reason: RejectReason, retry_after: Duration) -> Rejection {
    Rejection::overloaded(format!("the service is overloaded: {reason}"), retry_after)
}

fn pick_rejection(now: Instant, error: PickError) -> Rejection {
    match error {
        PickError::NoneInService | PickError::AllTried => {
            Rejection::no_upstream(DEFAULT_RETRY_AFTER)
        }
        PickError::Busy { shed_until } => {
            let wait = shed_until.map(|until| until.saturating_duration_since(now));
            let detail = "all upstreams of the service are at their limits";
            Rejection::overloaded(detail, wait.unwrap_or(DEFAULT_RETRY_AFTER))
        }
    }
}
