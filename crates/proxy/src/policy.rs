//! The decisions that the network edge asks for.

use std::any::Any;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::{Duration, Instant};

use cactustrack_types::{Incarnation, Outcome, RequestClass, ServiceId, UpstreamId};
use http::HeaderMap;

use crate::Rejection;
use crate::exchange::until;

/// A connection counts as silent after this many times the 95th percentile of the latency.
const SILENT_FACTOR: u32 = 4;

/// Shortest wait before a connection counts as silent.
const MIN_SILENT_WAIT: Duration = Duration::from_millis(250);

/// A request whose route is known.
#[derive(Clone, Debug)]
pub struct RoutedRequest {
    /// Service that answers.
    pub service: ServiceId,
    /// Class of the request.
    pub class: RequestClass,
    /// When the caller stops waiting. For large answers this is the time of the response head.
    pub deadline: Instant,
    /// When an answer is no longer worth as much to the caller, if the route says so.
    pub target: Option<Instant>,
    /// Rank among the routes of the service. Zero is the most urgent one.
    pub priority: u32,
    /// Upstreams that the request may be sent to, unlimited if there is none.
    pub max_attempts: Option<u32>,
}

/// An upstream chosen for one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Service of the upstream.
    pub service: ServiceId,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Which life of the upstream this is.
    pub incarnation: Incarnation,
    /// Where it listens.
    pub address: SocketAddr,
    /// Connections that this instance may have open to the upstream.
    pub max_connections: usize,
    /// True if the request was sent to another upstream before.
    pub is_extra_attempt: bool,
    /// What the choice was based on.
    pub basis: SelectionBasis,
}

/// What was believed of an upstream when it was chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SelectionBasis {
    /// Probability that it was faulty, in thousandths.
    pub fault_permille: u16,
    /// Requests that it had in flight.
    pub in_flight: u32,
}

/// An attempt beyond the first one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExtraAttempt {
    /// The last attempt failed.
    Retry,
    /// The attempt under way takes long.
    Hedge,
    /// The answer was cut short.
    Resume,
    /// The upstream has not run the request, which may therefore be sent once more even if it is
    /// not idempotent.
    Declined,
}

/// Held while an admitted request is in flight; dropping it frees the place.
pub type Admission = Box<dyn Any>;

/// Routing, limits, choice of upstreams and evidence.
pub trait TrafficPolicy {
    /// Finds the route and the deadline of a request.
    ///
    /// # Errors
    ///
    /// Fails if no configuration is in force, no route matches or the path is not acceptable.
    fn route(
        &self,
        now: Instant,
        host: &str,
        path: &str,
        headers: &HeaderMap,
    ) -> Result<RoutedRequest, Rejection>;

    /// Admits a request, possibly after a wait that ends before the deadline.
    fn admit<'a>(
        &'a self,
        routed: &'a RoutedRequest,
        account: &'a str,
    ) -> Pin<Box<dyn Future<Output = Result<Admission, Rejection>> + 'a>>;

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

    /// Charges an attempt beyond the first one to the budget of the service. Returns false if the
    /// budget is used up.
    fn allow_extra_attempt(
        &self,
        now: Instant,
        routed: &RoutedRequest,
        extra: ExtraAttempt,
    ) -> bool;

    /// Returns how long to wait for an answer before a second upstream is asked, if at all.
    fn hedge_delay(&self, routed: &RoutedRequest) -> Option<Duration>;

    /// Returns how long an attempt may wait for the first byte on a connection that was used
    /// before, until it is given up in favour of another one. `None` if it is not given up.
    fn silence_timeout(&self, _now: Instant, routed: &RoutedRequest) -> Option<Duration> {
        let half = until(routed.deadline) / 2;
        match self.hedge_delay(routed) {
            Some(usual) => Some((usual * SILENT_FACTOR).max(MIN_SILENT_WAIT).min(half)),
            None => Some(half),
        }
    }

    /// Notes that an attempt starts.
    fn on_start(&self, now: Instant, target: &Target);

    /// Notes the head of an answer, which may report load, a planned stop or a new life.
    fn on_response_head(&self, now: Instant, target: &Target, headers: &HeaderMap);

    /// Notes that an attempt ended. `latency` is the time to the response head, if there was one.
    fn on_finish(&self, now: Instant, target: &Target, outcome: Outcome, latency: Option<Duration>);

    /// Notes that an attempt was given up, because the caller left or another attempt was faster.
    /// `elapsed` is the time that the upstream let pass, zero if it was not to blame for any.
    fn on_cancel(&self, now: Instant, target: &Target, elapsed: Duration);

    /// Notes that an attempt on a connection that was used before was given up without an answer,
    /// because the caller left or another attempt was faster.
    fn on_cancel_reused(&self, now: Instant, target: &Target, _elapsed: Duration) {
        // The connection may have gone silent. It is closed with the attempt, and the next one on
        // a new connection decides whether the upstream is slow.
        self.on_finish(now, target, Outcome::Silent, None);
    }

    /// Notes that another process answered at the address of an upstream.
    fn on_misdirected(&self, _now: Instant, _target: &Target) {}

    /// Notes that an upstream shed a request for the indicated time. Called before
    /// [`Self::on_finish`] for that request.
    fn on_shed(&self, now: Instant, target: &Target, retry_after: Duration);
}
