//! Traffic policy of an instance without sockets and tasks, for benches.

use std::cell::{RefCell, RefMut};
use std::rc::Rc;
use std::time::Instant;

use cactustrack_fleet::budget::BudgetLimits;
use cactustrack_fleet::discovery::Snapshot;
use cactustrack_fleet::message::{Notice, Report};
use cactustrack_fleet::peers::Peers;
use cactustrack_fleet::view::FleetView;
use cactustrack_proxy::{Pool, PoolLimits, Rejection, RoutedRequest, Target, TrafficPolicy};
use cactustrack_types::{FailureDomain, InstanceId, ServiceId};
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use slog::Logger;

use super::decisions::UpstreamSelector;
use super::grants::GrantSource;
use super::messenger::NoticeSink;
use super::policy::NodePolicy;
use super::state::{SharedState, State};

/// State and traffic policy of an instance that exchanges no datagrams.
pub struct OfflineInstance {
    state: SharedState,
    policy: NodePolicy,
}

impl OfflineInstance {
    /// Creates an instance that knows no upstreams and no peers.
    pub fn new(name: InstanceId, failure_domain: FailureDomain, budget: BudgetLimits) -> Self {
        let log = Logger::root(slog::Discard, slog::o!());
        let state = Rc::new(RefCell::new(State::new(name, budget, log.clone())));
        let policy = NodePolicy {
            state: Rc::clone(&state),
            notices: Box::new(NoSink),
            selector: UpstreamSelector { pool: Pool::new(PoolLimits::default()), failure_domain },
            grants: Box::new(NoGrants),
            quota: None,
            log,
        };
        Self { state, policy }
    }

    /// Replaces the list of upstreams.
    pub fn replace_upstreams(&self, now: Instant, snapshot: Snapshot) {
        self.state.borrow_mut().replace_upstreams(now, snapshot);
    }

    /// Returns the known peers.
    pub fn peers(&self) -> RefMut<'_, Peers> {
        RefMut::map(self.state.borrow_mut(), |state| &mut state.peers)
    }

    /// Returns what is known of the attempts of the fleet.
    pub fn view(&self) -> RefMut<'_, FleetView> {
        RefMut::map(self.state.borrow_mut(), |state| &mut state.view)
    }

    /// Applies the notices of a peer that came through a hub. Returns the number of those that are
    /// ignored.
    pub fn on_report(&self, now: Instant, report: &Report) -> usize {
        let mut state = self.state.borrow_mut();
        match state.peers.accept_report(report) {
            Ok(accepted) => state.on_notices(now, &accepted, &report.notices),
            Err(_) => report.notices.len(),
        }
    }

    /// Selects an upstream.
    ///
    /// # Errors
    ///
    /// Fails if no upstream can take the request.
    pub fn pick(&self, now: Instant, routed: &RoutedRequest) -> Result<Target, Rejection> {
        self.policy.pick(now, routed, &[])
    }
}

struct NoSink;

impl NoticeSink for NoSink {
    fn push(&self, _notice: Notice) {}
}

struct NoGrants;

impl GrantSource for NoGrants {
    fn request<'a>(&'a self, _service: &'a ServiceId, _is_hedge: bool) -> LocalBoxFuture<'a, bool> {
        std::future::ready(false).boxed_local()
    }
}
