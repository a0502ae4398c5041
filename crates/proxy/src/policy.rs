//! Interface to the policy that makes the routing, admission and load balancing decisions.

use std::any::Any;
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cactustrack_routing::authentication::Principal;
use cactustrack_types::{Incarnation, Outcome, RequestClass, ServiceId, UpstreamId};
use derive_more::Display;
use http::HeaderMap;

use crate::Rejection;
use crate::exchange::time_until;

/// Multiple of the 95th percentile of the latency after which a reused connection counts as silent.
const SILENCE_TIMEOUT_FACTOR: u32 = 4;

/// Lower limit of the time after which a reused connection counts as silent.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(250);

/// Client account on whose behalf a request is sent.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum CallerIdentity {
    /// The configuration requires no API keys. Headers that identify a caller are forwarded as they
    /// are.
    #[default]
    Unauthenticated,
    /// The route is public, so no account is known, whatever key the request carries.
    Public,
    /// The account whose API key the request carries.
    Account(Arc<Principal>),
}

impl CallerIdentity {
    /// Returns the account, if the request is authenticated.
    pub fn principal(&self) -> Option<&Principal> {
        match self {
            Self::Account(principal) => Some(principal),
            Self::Unauthenticated | Self::Public => None,
        }
    }
}

/// Urgency of a request. A smaller value is more urgent, and the priority of the account takes
/// precedence over that of the route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Priority {
    /// Priority of the client account. Zero is the highest.
    pub account: u32,
    /// Priority among the routes of the service. Zero is the highest.
    pub route: u32,
}

/// Unused token of the quota of its client account that a request holds. The request holds none after
/// an attempt that may have run. Clones share the token.
#[derive(Clone, Debug, Default)]
pub struct QuotaToken(Rc<Cell<Option<Duration>>>);

impl QuotaToken {
    /// Records the token that was taken for the request. `expires` is the time until which it is
    /// valid, since the boot of the machine.
    pub fn set(&self, expires: Duration) {
        self.0.set(Some(expires));
    }

    /// Returns the time until which the token is valid, `None` if the request holds none.
    pub fn expires(&self) -> Option<Duration> {
        self.0.get()
    }

    /// Removes the token from the request and returns its expiry.
    pub fn take(&self) -> Option<Duration> {
        self.0.take()
    }
}

/// The result of routing a request.
#[derive(Clone, Debug)]
pub struct RoutedRequest {
    /// Service that the request goes to.
    pub service: ServiceId,
    /// Class of the request.
    pub class: RequestClass,
    /// Time at which the caller stops waiting. For large responses it applies to the response head
    /// only.
    pub deadline: Instant,
    /// Latency target: the time after which the response loses value for the caller, if the route
    /// sets one.
    pub target: Option<Instant>,
    /// Priority among the requests of the service.
    pub priority: Priority,
    /// Client account that the request belongs to.
    pub caller: CallerIdentity,
    /// Token of the quota of the account.
    pub quota_token: QuotaToken,
    /// Maximum number of upstreams that the request is sent to. `None` means no limit.
    pub max_attempts: Option<u32>,
}

/// An upstream chosen for one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Service of the upstream.
    pub service: ServiceId,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Incarnation of the upstream.
    pub incarnation: Incarnation,
    /// Address on which the upstream listens.
    pub address: SocketAddr,
    /// Maximum number of connections that this instance may have open to the upstream.
    pub max_connections: usize,
    /// True if the policy has already chosen another upstream for the request.
    pub is_extra_attempt: bool,
    /// State of the upstream on which the choice was based.
    pub basis: SelectionBasis,
    /// Time of the choice.
    pub chosen_at: Instant,
}

/// Estimated state of an upstream at the time it was chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SelectionBasis {
    /// Probability that the upstream is faulty, in thousandths.
    pub fault_permille: u16,
    /// Number of requests in flight at the upstream.
    pub in_flight: u32,
}

/// Reason for an attempt beyond the first one of a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ExtraAttempt {
    /// The previous attempt failed.
    #[display("retry")]
    Retry,
    /// The current attempt is slow; a second one is sent in parallel.
    #[display("hedge")]
    Hedge,
    /// The response was truncated; the remainder is fetched from another upstream.
    #[display("resume")]
    Resume,
    /// The upstream stated that it has not executed the request, so that even a non-idempotent
    /// request may be retried.
    #[display("declined")]
    Declined,
}

/// Decision on an attempt beyond the first one of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExtraDecision {
    /// True if the attempt may be started.
    pub is_allowed: bool,
    /// True if another instance makes an attempt less in place of this one.
    pub is_granted: bool,
    /// State of the retry budget on which the decision was based, if the budget was consulted.
    pub basis: Option<BudgetBasis>,
}

impl ExtraDecision {
    /// Creates a decision that was not based on counts of the budget.
    pub fn without_basis(is_allowed: bool) -> Self {
        Self { is_allowed, is_granted: false, basis: None }
    }
}

/// State of the retry budget of a service at the time of a decision, as this instance counts it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetBasis {
    /// Extra attempts of this instance in the window of the budget.
    pub extras: u64,
    /// Requests of this instance that the limit is based on.
    pub requests: u64,
    /// Largest number of extra attempts that the decision allowed.
    pub limit: u64,
}

/// Guard of an admitted request. Dropping it releases the request's slot.
pub type Admission = Box<dyn Any>;

/// Routes and admits requests, chooses upstreams and receives the outcome of attempts.
pub trait TrafficPolicy {
    /// Finds the route, the client account and the deadline of a request.
    ///
    /// # Errors
    ///
    /// Fails if no configuration is in force, no route matches, the path is invalid or the route
    /// needs an API key that the request does not carry.
    fn route(
        &self,
        now: Instant,
        host: &str,
        path: &str,
        headers: &HeaderMap,
    ) -> Result<RoutedRequest, Rejection>;

    /// Admits a request, possibly after queueing it. The wait ends before the deadline.
    fn admit<'a>(
        &'a self,
        routed: &'a RoutedRequest,
        account: &'a str,
    ) -> Pin<Box<dyn Future<Output = Result<Admission, Rejection>> + 'a>>;

    /// Confirms the admission of a request immediately before an attempt other than a hedge. Since
    /// it was confirmed last, the body may have taken long to arrive, an earlier attempt may have
    /// failed late, or the attempt may have waited for the retry budget.
    ///
    /// # Errors
    ///
    /// Fails if the request is no longer admitted. The attempt must not start.
    fn confirm_admission<'a>(
        &'a self,
        _routed: &'a RoutedRequest,
    ) -> Pin<Box<dyn Future<Output = Result<(), Rejection>> + 'a>> {
        Box::pin(std::future::ready(Ok(())))
    }

    /// Chooses an upstream that is not in `exclude`.
    ///
    /// # Errors
    ///
    /// Fails if no upstream can take the request now.
    fn pick(
        &self,
        now: Instant,
        routed: &RoutedRequest,
        exclude: &[UpstreamId],
    ) -> Result<Target, Rejection>;

    /// Returns true if an upstream that was chosen before may still get a request. Called after a
    /// connection to it was opened, which may take some hundred milliseconds.
    fn accepts(&self, _now: Instant, _target: &Target) -> bool {
        true
    }

    /// Decides whether the retry budget of the service allows an attempt beyond the first one. An
    /// allowed attempt is charged to the budget, so it has to be started at once. The decision may
    /// take some hundred milliseconds if other instances are asked.
    fn allow_extra_attempt<'a>(
        &'a self,
        now: Instant,
        routed: &'a RoutedRequest,
        extra: ExtraAttempt,
    ) -> Pin<Box<dyn Future<Output = ExtraDecision> + 'a>>;

    /// Returns the time without a response head after which a hedged attempt is started, or `None`
    /// if the request is not hedged.
    fn hedge_delay(&self, routed: &RoutedRequest) -> Option<Duration>;

    /// Returns the time without a response head after which an attempt on a reused connection is
    /// abandoned, so that time is left for a retry. `None` if it waits until the deadline.
    fn silence_timeout(&self, _now: Instant, routed: &RoutedRequest) -> Option<Duration> {
        let half = time_until(routed.deadline) / 2;
        match self.hedge_delay(routed) {
            Some(delay) => {
                Some((delay * SILENCE_TIMEOUT_FACTOR).max(MIN_SILENCE_TIMEOUT).min(half))
            }
            None => Some(half),
        }
    }

    /// Records that an admitted request was rejected and has not been executed.
    fn on_not_run(&self, _now: Instant, _routed: &RoutedRequest) {}

    /// Records the start of an attempt.
    fn on_start(&self, now: Instant, target: &Target);

    /// Records the head of a response, which may report load or a new incarnation.
    fn on_response_head(&self, now: Instant, target: &Target, headers: &HeaderMap);

    /// Records the end of an attempt. `latency` is the time to the response head, if there was one.
    fn on_finish(&self, now: Instant, target: &Target, outcome: Outcome, latency: Option<Duration>);

    /// Records that an attempt was canceled, because its deadline passed, the caller disconnected
    /// or another attempt was faster. `elapsed` is the time spent waiting for the upstream, zero if
    /// the wait was not due to the upstream.
    fn on_cancel(&self, now: Instant, target: &Target, elapsed: Duration);

    /// Records that an attempt on a reused connection was canceled before the response head,
    /// because the caller disconnected or another attempt was faster.
    fn on_cancel_reused(&self, now: Instant, target: &Target, _elapsed: Duration) {
        // The connection may have gone silent, so this is no evidence that the upstream is slow.
        // The connection is closed with the attempt, and the next attempt uses a new one.
        self.on_finish(now, target, Outcome::Silent, None);
    }

    /// Records that an upstream has announced its shutdown. It should get no more requests.
    fn on_leaving(&self, _now: Instant, _target: &Target) {}

    /// Records that an upstream wants no requests from this instance for the time `wait`.
    fn on_back_off(&self, _now: Instant, _target: &Target, _wait: Duration) {}

    /// Returns the time after which the caller of a request that was shed may come again. `stated`
    /// is the one that the upstream stated for itself.
    fn retry_after_shed(
        &self,
        _now: Instant,
        _routed: &RoutedRequest,
        stated: Duration,
    ) -> Duration {
        stated
    }

    /// Records that another process responded at the address of an upstream.
    fn on_misdirected(&self, _now: Instant, _target: &Target) {}

    /// Records that an upstream shed a request and asked for no retry within `retry_after`. Called
    /// before [`Self::on_finish`] for that request.
    fn on_shed(&self, now: Instant, target: &Target, retry_after: Duration);
}
