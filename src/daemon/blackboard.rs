//! The blackboard: the state that the controllers of one instance share.
//!
//! Each field is written by one controller and may be read by all. The blackboard is held in a
//! `RefCell` that is never borrowed across an await point.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cactustrack_health::{
    Collector, EjectionPlanner, LatencyClassifier, Observer, PendingEvidence,
};
use cactustrack_members::{ConfigStatus, Membership};
use cactustrack_routing::authentication::Authenticator;
use cactustrack_routing::balancer::{Balancer, Candidate};
use cactustrack_routing::limits::LimitBounds;
use cactustrack_routing::overload::OverloadController;
use cactustrack_routing::retry::{HedgeDelay, RetryBudget};
use cactustrack_routing::route::RouteTable;
use cactustrack_routing::subset::Assignment;
use cactustrack_types::{
    Configuration, Incarnation, InstanceId, Listing, ListingState, Role, Service, ServiceId, Share,
    UpstreamId, UpstreamView, Version,
};
use futures::channel::oneshot;

use super::policy::AdmissionGuard;

/// Maximum number of queued requests for each slot of a service.
const MAX_WAITING_PER_SLOT: usize = 4;

/// Lower bound of the concurrency limit of a service. An overloaded service still gets a few
/// requests, which show when it has recovered.
const MIN_SERVICE_LIMIT: u32 = 4;

/// Number of collectors of a service, of three in total, that must exclude an instance before it
/// reports itself as not ready to the load balancer. One collector may itself be isolated.
const MIN_EXCLUDING_COLLECTORS: usize = 2;

/// Period within which one complete response shows that the instance can reach upstreams.
const RECENT_RESPONSE_WINDOW: Duration = Duration::from_secs(5);

/// The blackboard, shared by the controllers of one instance.
pub(crate) type SharedBlackboard = Rc<RefCell<Blackboard>>;

/// The configuration in force and the data derived from it.
pub(crate) struct InForce {
    pub(crate) configuration: Rc<Configuration>,
    pub(crate) routes: Rc<RouteTable>,
    /// Weights of the client accounts for fair sharing under overload.
    pub(crate) weights: BTreeMap<Arc<str>, u32>,
    /// Client accounts by API key. `None` if requests need no key.
    pub(crate) authenticator: Option<Rc<Authenticator>>,
}

/// A request that waits for a slot of its service.
pub(crate) struct Waiter {
    pub(crate) ticket: u64,
    pub(crate) tx: oneshot::Sender<AdmissionGuard>,
}

/// State of one service.
pub(crate) struct ServiceState {
    pub(crate) service: Service,
    // Written by the ejection controller.
    pub(crate) planner: EjectionPlanner,
    /// Detects faults from this instance's own evidence. Its verdicts are used while no collector
    /// of the fleet responds.
    pub(crate) local_collector: Collector,
    /// Detects faults from the evidence of the fleet. Present while this instance is a collector of
    /// the service.
    pub(crate) fleet_collector: Option<Collector>,
    /// Other collectors that exclude this instance's evidence, because most upstreams appear faulty
    /// to it alone. Written by `PeerExchange`.
    pub(crate) excluded_by: BTreeSet<InstanceId>,
    pub(crate) shares: BTreeMap<UpstreamId, Share>,
    pub(crate) candidates: Vec<Candidate>,
    /// Upstream subsets of all instances, computed for the membership generation and the upstreams
    /// in the next two fields.
    pub(crate) assignment: Assignment,
    pub(crate) assignment_generation: Option<u64>,
    pub(crate) assigned_upstreams: Vec<UpstreamId>,
    // Written by the request path.
    pub(crate) balancer: Balancer,
    pub(crate) latency_classifier: LatencyClassifier,
    pub(crate) overload: OverloadController,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) hedge_delay: HedgeDelay,
    pub(crate) waiters: VecDeque<Waiter>,
}

impl ServiceState {
    fn new(now: Instant, service: Service) -> Self {
        let id = service.id.clone();
        Self {
            planner: EjectionPlanner::new(now, id.clone()),
            local_collector: Collector::new(now, id, service.detection.clone()),
            fleet_collector: None,
            excluded_by: BTreeSet::new(),
            shares: BTreeMap::new(),
            candidates: Vec::new(),
            assignment: Assignment::default(),
            assignment_generation: None,
            assigned_upstreams: Vec::new(),
            balancer: Balancer::new(),
            latency_classifier: LatencyClassifier::new(service.detection.slow_factor),
            overload: OverloadController::new(now, limit_bounds(&service, 1), rand::random()),
            retry_budget: RetryBudget::new(service.retry_budget),
            hedge_delay: HedgeDelay::new(now),
            waiters: VecDeque::new(),
            service,
        }
    }

    /// Applies a changed configuration of the service and keeps evidence and statistics.
    fn update(&mut self, service: Service) {
        if self.service == service {
            return;
        }
        self.local_collector.set_policy(service.detection.clone());
        if let Some(fleet_collector) = &mut self.fleet_collector {
            fleet_collector.set_policy(service.detection.clone());
        }
        self.latency_classifier = LatencyClassifier::new(service.detection.slow_factor);
        self.assignment_generation = None;
        self.retry_budget = RetryBudget::new(service.retry_budget);
        self.service = service;
    }

    /// Sets the bounds of the concurrency limit for this number of upstreams.
    pub(crate) fn set_upstreams(&mut self, upstreams: usize) {
        self.overload.set_bounds(limit_bounds(&self.service, upstreams));
    }
}

fn limit_bounds(service: &Service, upstreams: usize) -> LimitBounds {
    let upstreams = u32::try_from(upstreams).unwrap_or(u32::MAX).max(1);
    let max = service.slots.saturating_mul(upstreams).max(MIN_SERVICE_LIMIT);
    let max_waiting =
        usize::try_from(max).unwrap_or(usize::MAX).saturating_mul(MAX_WAITING_PER_SLOT);
    LimitBounds { min: MIN_SERVICE_LIMIT, max, max_waiting }
}

/// Shared state of one instance.
pub(crate) struct Blackboard {
    /// This instance as an observer of upstreams.
    pub(crate) observer: Observer,
    // Written by the configuration controller.
    pub(crate) in_force: Option<InForce>,
    pub(crate) configuration_status: ConfigStatus,
    pub(crate) services: BTreeMap<ServiceId, ServiceState>,
    // Written by the membership controller.
    pub(crate) membership: Membership,
    pub(crate) upstreams: BTreeMap<UpstreamId, UpstreamView>,
    /// Ids of the upstreams of each service.
    by_service: BTreeMap<ServiceId, Vec<UpstreamId>>,
    /// Time of the first read of the instance list. Upstreams in that list count as warm.
    pub(crate) first_list_read: Option<Instant>,
    // Written by the request path.
    pub(crate) evidence: PendingEvidence,
    pub(crate) boot_ids: BTreeMap<UpstreamId, String>,
    pub(crate) next_ticket: u64,
    /// Time at which this instance last received a complete response from an upstream.
    pub(crate) last_response: Option<Instant>,
    // Written by the graceful shutdown.
    pub(crate) stopping: bool,
}

impl Blackboard {
    /// Creates the blackboard of an instance without a configuration or upstreams.
    pub(crate) fn new(membership: Membership) -> Self {
        let own = membership.own();
        let observer = Observer {
            instance: own.id.clone(),
            incarnation: own.incarnation,
            failure_domain: own.failure_domain.clone(),
        };
        Self {
            observer,
            in_force: None,
            configuration_status: ConfigStatus::Missing,
            services: BTreeMap::new(),
            membership,
            upstreams: BTreeMap::new(),
            by_service: BTreeMap::new(),
            first_list_read: None,
            evidence: PendingEvidence::new(),
            boot_ids: BTreeMap::new(),
            next_ticket: 0,
            last_response: None,
            stopping: false,
        }
    }

    /// Returns the version of the configuration in force, 0 if there is none.
    pub(crate) fn version(&self) -> Version {
        self.in_force.as_ref().map_or(0, |in_force| in_force.configuration.version)
    }

    /// Puts a configuration into force. Services that remain keep their state.
    pub(crate) fn install(&mut self, now: Instant, configuration: Configuration) {
        self.services.retain(|id, _| configuration.service(id).is_some());
        for service in &configuration.services {
            match self.services.get_mut(&service.id) {
                Some(state) => state.update(service.clone()),
                None => {
                    let state = ServiceState::new(now, service.clone());
                    self.services.insert(service.id.clone(), state);
                }
            }
        }
        let routes = Rc::new(RouteTable::new(&configuration));
        let accounts = configuration.accounts.iter();
        let weights = accounts.map(|account| (account.id.clone(), account.weight)).collect();
        let authenticator = Authenticator::new(&configuration).map(Rc::new);
        let configuration = Rc::new(configuration);
        self.in_force = Some(InForce { configuration, routes, weights, authenticator });
    }

    /// Replaces the upstreams by those of the instance list. The list lags: an upstream that it
    /// shows as live stays leaving if this incarnation has announced its shutdown, and an
    /// incarnation older than the current one is ignored.
    pub(crate) fn update_upstreams(&mut self, now: Instant, list: &[Listing]) {
        let first_list = self.first_list_read.is_none();
        self.first_list_read.get_or_insert(now);
        let mut upstreams = BTreeMap::new();
        for listing in list {
            let Role::Upstream { service } = &listing.role else { continue };
            let known = self.upstreams.get(&listing.id);
            if let Some(known) = known.filter(|known| known.incarnation > listing.incarnation) {
                upstreams.insert(known.id.clone(), known.clone());
                continue;
            }
            let same_incarnation = known.filter(|known| known.incarnation == listing.incarnation);
            let cold_since = match same_incarnation {
                Some(known) => known.cold_since,
                None => (!first_list).then_some(now),
            };
            let announced_leaving = same_incarnation.is_some_and(|known| known.leaving);
            let view = UpstreamView {
                id: listing.id.clone(),
                service: service.clone(),
                address: listing.address,
                failure_domain: listing.failure_domain.clone(),
                region: listing.region.clone(),
                incarnation: listing.incarnation,
                leaving: announced_leaving || listing.state == ListingState::Leaving,
                cold_since,
            };
            upstreams.insert(view.id.clone(), view);
        }
        self.boot_ids.retain(|id, _| upstreams.contains_key(id));
        self.by_service.clear();
        for view in upstreams.values() {
            self.by_service.entry(view.service.clone()).or_default().push(view.id.clone());
        }
        self.upstreams = upstreams;
    }

    /// Marks this incarnation of an upstream as leaving, after it announced that it is about to
    /// stop. Returns true if it was not marked before.
    pub(crate) fn set_leaving(&mut self, upstream: &str, incarnation: Incarnation) -> bool {
        let view = self.upstreams.get_mut(upstream);
        let Some(view) = view.filter(|view| view.incarnation == incarnation && !view.leaving)
        else {
            return false;
        };
        view.leaving = true;
        true
    }

    /// Returns true if this instance cannot serve while others can: two collectors of a service
    /// exclude its evidence, and it has had no recent complete response from any upstream. The
    /// fault then lies in its own network link or processor.
    pub(crate) fn is_isolated(&self, now: Instant) -> bool {
        let excluded =
            |service: &ServiceState| service.excluded_by.len() >= MIN_EXCLUDING_COLLECTORS;
        let is_recent = |at: Instant| now.saturating_duration_since(at) < RECENT_RESPONSE_WINDOW;
        self.services.values().any(excluded) && !self.last_response.is_some_and(is_recent)
    }

    /// Returns the upstreams of one service.
    pub(crate) fn upstreams_of(&self, service: &str) -> Vec<UpstreamView> {
        let ids = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        ids.iter().filter_map(|id| self.upstreams.get(id)).cloned().collect()
    }
}
