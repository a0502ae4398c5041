//! State that the controllers of an instance read and write.
//!
//! It lives in a `RefCell` that is never borrowed across an await point.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

use cactustrack_fleet::catalog::Catalog;
use cactustrack_fleet::discovery::{Change, ListedUpstream};
use cactustrack_fleet::message::Notice;
use cactustrack_fleet::peers::Peers;
use cactustrack_fleet::view::FleetView;
use cactustrack_routing::route::RouteTable;
use cactustrack_types::{Configuration, InstanceId, ServiceId, Version};
use slog::Logger;

/// The state, shared by the controllers.
pub(crate) type SharedState = Rc<RefCell<State>>;

/// The configuration in force with its indexes.
pub(crate) struct InForce {
    pub(crate) version: Version,
    pub(crate) routes: Rc<RouteTable>,
    /// Connections that one upstream of a service accepts from all instances.
    pub(crate) connections: HashMap<ServiceId, u32>,
    /// Ranks of a service's routes in order, the most urgent one first.
    ranks: HashMap<ServiceId, Vec<u32>>,
}

impl InForce {
    fn new(configuration: &Configuration) -> Self {
        let mut ranks: HashMap<ServiceId, Vec<u32>> = HashMap::new();
        for route in &configuration.routes {
            let parts = route.delivery.split.iter().map(|part| &part.service);
            for service in parts.chain([&route.service]) {
                ranks.entry(service.clone()).or_default().push(route.delivery.priority);
            }
        }
        for ranks in ranks.values_mut() {
            ranks.sort_unstable();
            ranks.dedup();
        }
        let services = configuration.services.iter();
        Self {
            version: configuration.version,
            routes: Rc::new(RouteTable::new(configuration)),
            connections: services.map(|s| (s.id.clone(), s.connections)).collect(),
            ranks,
        }
    }

    /// Number of ranks of a service that are more urgent than `priority`.
    pub(crate) fn ranks_above(&self, service: &str, priority: u32) -> u32 {
        let ranks = self.ranks.get(service).map(Vec::as_slice).unwrap_or_default();
        let above = ranks.iter().filter(|rank| **rank < priority).count();
        u32::try_from(above).unwrap_or(u32::MAX)
    }
}

/// State of an instance.
pub(crate) struct State {
    pub(crate) in_force: Option<InForce>,
    pub(crate) catalog: Catalog,
    pub(crate) view: FleetView,
    pub(crate) peers: Peers,
    /// Notices that wait to be sent to the others.
    pub(crate) outbox: Vec<Notice>,
    /// True once the list of upstreams was read.
    pub(crate) is_listed: bool,
    /// True once the instance was asked to stop.
    pub(crate) stopping: bool,
    log: Logger,
}

impl State {
    /// Creates the state of an instance that knows nothing yet.
    pub(crate) fn new(instance: InstanceId, log: Logger) -> Self {
        Self {
            in_force: None,
            catalog: Catalog::default(),
            view: FleetView::new(instance),
            peers: Peers::default(),
            outbox: Vec::new(),
            is_listed: false,
            stopping: false,
            log,
        }
    }

    /// Applies a change that discovery reports.
    pub(crate) fn apply(&mut self, now: Instant, change: Change) {
        match change {
            Change::Configured(configuration) => self.put_in_force(&configuration),
            Change::Listed(upstream) => self.list(upstream),
            Change::Unlisted(id) => {
                slog::info!(self.log, "members: upstream is no longer listed"; "upstream" => &*id);
                self.catalog.remove(now, &id);
            }
        }
    }

    /// Applies a whole list of upstreams.
    pub(crate) fn replace_upstreams(&mut self, now: Instant, changes: Vec<Change>) {
        let listed = changes.into_iter().filter_map(|change| match change {
            Change::Listed(upstream) => Some(upstream),
            _ => None,
        });
        let list: Vec<_> = listed.collect();
        slog::info!(self.log, "members: the list of upstreams was read"; "count" => list.len());
        for upstream in &list {
            self.view.set_life(&upstream.id, upstream.incarnation);
        }
        self.catalog.replace(now, list);
        self.is_listed = true;
    }

    /// Returns the reason why the instance would refuse requests.
    pub(crate) fn readiness(&self) -> Result<(), &'static str> {
        if self.stopping {
            return Err("the instance is stopping");
        }
        if self.in_force.is_none() {
            return Err("no configuration is in force");
        }
        if !self.is_listed { Err("no list of upstreams was read") } else { Ok(()) }
    }

    /// A version never replaces a newer one, in whatever order they arrive.
    fn put_in_force(&mut self, configuration: &Configuration) {
        let version = configuration.version;
        let known = self.in_force.as_ref().map_or(0, |in_force| in_force.version);
        if self.in_force.is_some() && version <= known {
            return;
        }
        slog::info!(self.log, "config: in force"; "version" => version, "before" => known,
            "routes" => configuration.routes.len());
        self.in_force = Some(InForce::new(configuration));
    }

    fn list(&mut self, upstream: ListedUpstream) {
        self.view.set_life(&upstream.id, upstream.incarnation);
        slog::info!(self.log, "members: upstream is listed";
            "upstream" => &*upstream.id, "service" => &*upstream.service,
            "leaving" => upstream.leaving, "revision" => upstream.revision);
        self.catalog.upsert(upstream);
    }
}
