//! State shared by the background tasks and the request path of an instance.
//!
//! It is kept in a `RefCell` that is never borrowed across an await point.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

use cactustrack_fleet::budget::{BudgetDecision, BudgetLimits, SlackShare};
use cactustrack_fleet::catalog::Catalog;
use cactustrack_fleet::discovery::{Change, Revision, Snapshot, Topic};
use cactustrack_fleet::freshness::FreshnessTracker;
use cactustrack_fleet::message::{
    ConfigurationPart, Delta, GrantRequest, Notice, QuotaOutcome, QuotaRequest, ShortId, StoreView,
};
use cactustrack_fleet::peers::{AcceptedReport, Peers};
use cactustrack_fleet::relay::Assembly;
use cactustrack_fleet::shutdown::ShutdownPlan;
use cactustrack_fleet::suspension::SuspensionDetector;
use cactustrack_fleet::view::FleetView;
use cactustrack_proxy::Priority;
use cactustrack_routing::authentication::Authenticator;
use cactustrack_routing::route::RouteTable;
use cactustrack_types::{Configuration, InstanceId, Quota, ServiceId, Version};
use derive_more::Display;
use slog::Logger;

use super::quota::{self, QuotaIndex, Quotas};

/// The state, shared by all tasks of the instance.
pub(crate) type SharedState = Rc<RefCell<State>>;

/// Way by which a change of the configuration or of the list of upstreams arrived.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum ChangeSource {
    /// A watch of the store.
    #[display("watch")]
    Watch,
    /// A read of the whole topic.
    #[display("read")]
    Read,
    /// Another instance that watches the store.
    #[display("relay")]
    Relay,
}

/// The configuration in force, with indexes for the request path.
pub(crate) struct InForce {
    pub(crate) version: Version,
    pub(crate) routes: Rc<RouteTable>,
    /// Maximum number of connections that one upstream of a service accepts from the whole fleet.
    pub(crate) connections: HashMap<ServiceId, u32>,
    /// Client accounts by API key. `None` if requests need no key.
    pub(crate) authenticator: Option<Rc<Authenticator>>,
    /// Distinct priorities of requests to a service, sorted with the most urgent one first.
    priorities: HashMap<ServiceId, Vec<Priority>>,
    quotas: QuotaIndex,
}

impl InForce {
    fn new(configuration: &Configuration) -> Self {
        let mut accounts: Vec<u32> =
            configuration.accounts.iter().map(|account| account.priority).collect();
        // Requests without an account have the highest priority of an account.
        accounts.push(Priority::default().account);
        accounts.sort_unstable();
        accounts.dedup();
        let mut of_routes: HashMap<ServiceId, BTreeSet<u32>> = HashMap::new();
        for route in &configuration.routes {
            let parts = route.delivery.split.iter().map(|part| &part.service);
            for service in parts.chain([&route.service]) {
                of_routes.entry(service.clone()).or_default().insert(route.delivery.priority);
            }
        }
        let with_accounts = |routes: BTreeSet<u32>| -> Vec<Priority> {
            let of_account = |account: &u32| {
                let account = *account;
                routes.iter().map(move |route| Priority { account, route: *route })
            };
            accounts.iter().flat_map(of_account).collect()
        };
        let priorities =
            of_routes.into_iter().map(|(service, routes)| (service, with_accounts(routes)));
        let priorities = priorities.collect();
        let services = configuration.services.iter();
        Self {
            version: configuration.version,
            routes: Rc::new(RouteTable::new(configuration)),
            connections: services.map(|s| (s.id.clone(), s.connections)).collect(),
            authenticator: Authenticator::new(configuration).map(Rc::new),
            priorities,
            quotas: quota::index(configuration),
        }
    }

    /// Number of distinct priorities of a service that are more urgent than `priority`.
    pub(crate) fn count_more_urgent(&self, service: &str, priority: Priority) -> u32 {
        let priorities = self.priorities.get(service).map(Vec::as_slice).unwrap_or_default();
        let above = priorities.iter().filter(|other| **other < priority).count();
        u32::try_from(above).unwrap_or(u32::MAX)
    }
}

/// State of an instance.
pub(crate) struct State {
    pub(crate) in_force: Option<InForce>,
    pub(crate) catalog: Catalog,
    pub(crate) view: FleetView,
    pub(crate) peers: Peers,
    /// Notices queued for the other instances.
    pub(crate) outbox: Vec<Notice>,
    /// True if the store responds to this instance.
    pub(crate) is_store_up: bool,
    /// Revision up to which the configuration has been read, [`Revision::NONE`] if it has not been
    /// read.
    configuration_read: Revision,
    /// Newest revision at which the store is known to have held the configuration in force, [`Revision::NONE`] if
    /// there is none.
    newest_configuration: Revision,
    /// Received parts of a relayed configuration that is not complete yet.
    pub(crate) assembly: Assembly,
    /// Start time of the instance.
    pub(crate) started: Instant,
    suspensions: SuspensionDetector,
    /// Proofs that the configuration in force is fresh. `None` if none are needed.
    pub(crate) freshness: Option<FreshnessTracker>,
    /// The graceful shutdown, once it has started.
    pub(crate) shutdown: Option<ShutdownPlan>,
    /// Quotas of client accounts. `None` if they are not enforced.
    pub(crate) quotas: Option<Rc<Quotas>>,
    budget: BudgetLimits,
    pub(super) log: Logger,
}

impl State {
    /// Creates the state of an instance that has read nothing yet.
    pub(crate) fn new(instance: InstanceId, budget: BudgetLimits, log: Logger) -> Self {
        Self {
            in_force: None,
            catalog: Catalog::default(),
            view: FleetView::new(instance),
            peers: Peers::default(),
            outbox: Vec::new(),
            is_store_up: true,
            configuration_read: Revision::NONE,
            newest_configuration: Revision::NONE,
            assembly: Assembly::default(),
            started: Instant::now(),
            suspensions: SuspensionDetector::new(Instant::now(), time_since_boot()),
            freshness: None,
            shutdown: None,
            quotas: None,
            budget,
            log,
        }
    }

    /// Finds out whether the machine was suspended, before a decision that depends on the age of
    /// earlier requests.
    pub(crate) fn check_suspension(&mut self) {
        let since_boot = time_since_boot();
        let Some(gap) = self.suspensions.take_gap(Instant::now(), since_boot) else { return };
        slog::info!(self.log, "proxy: the machine was suspended";
            "ms" => u64::try_from(gap.as_millis()).unwrap_or(u64::MAX));
        self.view.on_suspended(gap);
    }

    /// Decides whether the retry budget allows this instance an extra attempt at a service.
    pub(crate) fn try_extra(
        &mut self,
        now: Instant,
        service: &ServiceId,
        is_hedge: bool,
    ) -> BudgetDecision {
        self.check_suspension();
        let share = self.slack_share(now);
        self.view.try_extra(now, service, self.budget, share, is_hedge)
    }

    /// Decides whether another instance may make an extra attempt in place of this one.
    pub(crate) fn try_grant(&mut self, now: Instant, request: &GrantRequest) -> bool {
        self.check_suspension();
        let share = self.slack_share(now);
        self.view.try_grant(now, request.service, self.budget, share, request.is_hedge)
    }

    fn slack_share(&self, now: Instant) -> SlackShare {
        SlackShare {
            instances: self.peers.max_instances(),
            uptime: now.saturating_duration_since(self.started),
        }
    }

    /// Applies changes of a topic after one revision, up to another one, that were read from the
    /// store. Those that newer readings have superseded have no effect.
    pub(crate) fn on_changes(
        &mut self,
        now: Instant,
        topic: Topic,
        source: ChangeSource,
        after: Revision,
        snapshot: Snapshot,
    ) {
        let Snapshot { changes, revision } = snapshot;
        match topic {
            Topic::Configuration => {
                for change in changes {
                    if let Change::Configured(configuration, revision) = change {
                        self.put_in_force(&configuration, revision, source);
                    }
                }
                self.advance_configuration(revision);
            }
            Topic::Upstreams => self.apply_upstream_changes(now, source, after, revision, changes),
        }
    }

    /// Processes notices of another instance. Notices about upstreams that are not listed here are
    /// ignored, since those upstreams get no requests from this instance. Returns the number of
    /// ignored notices.
    pub(crate) fn on_notices(
        &mut self,
        now: Instant,
        report: &AcceptedReport,
        notices: &[Notice],
    ) -> usize {
        let mut ignored = 0;
        for notice in notices {
            match self.catalog.get_by_short_id(notice.upstream) {
                Some(upstream) => {
                    self.view.on_notice(now, report, notice, &upstream.service, &upstream.id);
                }
                None => ignored += 1,
            }
        }
        ignored
    }

    /// Revision up to which a topic has been read, or `None` if it has not been read.
    pub(crate) fn revision(&self, topic: Topic) -> Option<Revision> {
        let revision = match topic {
            Topic::Configuration => self.configuration_read,
            Topic::Upstreams => self.catalog.revision(),
        };
        (!revision.is_none()).then_some(revision)
    }

    /// Records a revision at which the store has held the configuration in force.
    fn set_newest_configuration(&mut self, revision: Revision) {
        self.newest_configuration = self.newest_configuration.max(revision);
    }

    /// Returns what the heartbeat states about the store.
    pub(crate) fn store_view(&self) -> StoreView {
        StoreView {
            is_up: self.is_store_up,
            // The revision up to which this instance has read increases with each write to the
            // store, and other instances would read again because of it.
            configuration: self.newest_configuration,
            upstreams: self.catalog.state(),
        }
    }

    /// Returns the revision of the newest change of a topic that other instances know and this one
    /// does not, [`Revision::NONE`] if there is none.
    pub(crate) fn newest_change_elsewhere(&self, topic: Topic) -> Revision {
        match topic {
            Topic::Configuration => {
                let own = self.in_force.as_ref().map_or(0, |in_force| in_force.version);
                self.peers.newest_configuration(own)
            }
            Topic::Upstreams => self.peers.newest_other_list(self.catalog.state()),
        }
    }

    fn advance_configuration(&mut self, revision: Revision) {
        self.configuration_read = revision.max(self.configuration_read);
    }

    /// Adds a part of a configuration sent by a relay. Each configuration is complete in itself, so
    /// earlier versions may be missing.
    pub(crate) fn on_configuration(&mut self, delta: Delta<ConfigurationPart>) {
        match self.assembly.add(delta.content) {
            Ok(Some(configuration)) => {
                self.put_in_force(&configuration, delta.revision, ChangeSource::Relay);
                self.advance_configuration(delta.revision);
            }
            Ok(None) => {}
            Err(error) => slog::warn!(self.log, "config: relayed parts ignored"; "error" => %error),
        }
    }

    /// Returns the quota of a client account.
    pub(crate) fn quota_of(&self, account: ShortId) -> Option<Quota> {
        self.in_force.as_ref()?.quotas.get(&account).copied()
    }

    /// Returns true if an account of the configuration has a quota.
    pub(crate) fn has_quotas(&self) -> bool {
        self.in_force.as_ref().is_some_and(|in_force| !in_force.quotas.is_empty())
    }

    /// Decides on the request of another instance for tokens. `None` if quotas are not enforced.
    pub(crate) fn on_quota_request(&self, request: &QuotaRequest) -> Option<QuotaOutcome> {
        let quota = self.quota_of(request.account);
        Some(self.quotas.as_ref()?.decide(request.account, quota, request.tokens))
    }

    /// Returns an error with the reason if the instance is not ready to take requests.
    pub(crate) fn readiness(&self) -> Result<(), &'static str> {
        if self.shutdown.is_some() {
            return Err("the instance is stopping");
        }
        if self.in_force.is_none() {
            return Err("no configuration is in force");
        }
        if self.is_configuration_stale() {
            return Err("the configuration in force is not confirmed");
        }
        if self.catalog.revision().is_none() {
            Err("no list of upstreams was read")
        } else {
            Ok(())
        }
    }

    /// Puts a configuration in force unless the same or a newer version already is. Versions may
    /// arrive in any order.
    pub(super) fn put_in_force(
        &mut self,
        configuration: &Configuration,
        revision: Revision,
        source: ChangeSource,
    ) {
        let version = configuration.version;
        let known = self.in_force.as_ref().map_or(0, |in_force| in_force.version);
        if self.in_force.is_some() && version <= known {
            if version < known {
                slog::info!(self.log, "config: version ignored, a newer one is in force";
                    "version" => version, "known" => known, "revision" => %revision,
                    "source" => %source);
            } else {
                self.set_newest_configuration(revision);
            }
            return;
        }
        slog::info!(self.log, "config: version in force"; "version" => version, "before" => known,
            "routes" => configuration.routes.len(), "revision" => %revision, "source" => %source);
        let in_force = InForce::new(configuration);
        let shared_keys = in_force.authenticator.as_ref().map_or(0, |known| known.shared_keys());
        if shared_keys > 0 {
            slog::warn!(self.log, "config: API keys that several accounts list are refused";
                "keys" => shared_keys, "version" => version);
        }
        self.in_force = Some(in_force);
        self.set_newest_configuration(revision);
    }
}

/// Returns the time since the boot of the machine, with the time for which it was suspended.
pub(crate) fn time_since_boot() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or_default())
}
