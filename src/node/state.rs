//! State that the controllers of an instance read and write.
//!
//! It lives in a `RefCell` that is never borrowed across an await point.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

use cactustrack_fleet::catalog::Catalog;
use cactustrack_fleet::discovery::{Change, ListedUpstream, Revision, Topic};
use cactustrack_fleet::message::{ConfigurationPart, Delta, Notice, PackedChanges, StoreView};
use cactustrack_fleet::peers::Peers;
use cactustrack_fleet::relay::{self, Assembly};
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
    /// What the instance knows of the keeper of the lists.
    pub(crate) store: StoreView,
    /// Parts of a configuration that is being relayed.
    pub(crate) assembly: Assembly,
    /// When the instance started.
    pub(crate) started: Instant,
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
            store: StoreView { is_up: true, ..StoreView::default() },
            assembly: Assembly::default(),
            started: Instant::now(),
            stopping: false,
            log,
        }
    }

    /// Applies a change that discovery reports.
    pub(crate) fn apply(&mut self, now: Instant, change: Change) {
        match change {
            Change::Configured(configuration) => self.put_in_force(&configuration),
            Change::Listed(upstream) => self.list(upstream),
            Change::Unlisted(id, revision) => {
                let service = self.catalog.get(&id).map(|known| known.service.clone());
                slog::info!(self.log, "members: upstream is no longer listed";
                    "upstream" => &*id, "service" => service.as_deref().unwrap_or_default(),
                    "revision" => revision);
                self.catalog.remove(now, &id, revision);
            }
        }
    }

    /// Takes notices of another instance into account. Those of upstreams that are not listed here
    /// concern none that could get a request.
    pub(crate) fn on_notices(&mut self, now: Instant, from: &InstanceId, notices: &[Notice]) {
        for notice in notices {
            if let Some(upstream) = self.catalog.get_by_short_id(notice.upstream) {
                self.view.on_notice(now, from, notice, &upstream.service, &upstream.id);
            }
        }
    }

    /// Revision up to which a topic is known, `None` if it was not read.
    pub(crate) fn revision(&self, topic: Topic) -> Option<Revision> {
        let revision = match topic {
            Topic::Configuration => self.store.configuration,
            Topic::Upstreams => self.store.upstreams,
        };
        (revision > 0).then_some(revision)
    }

    /// Notes that a topic is known up to a revision.
    pub(crate) fn advance(&mut self, topic: Topic, revision: Revision) {
        let known = match topic {
            Topic::Configuration => &mut self.store.configuration,
            Topic::Upstreams => &mut self.store.upstreams,
        };
        *known = revision.max(*known);
    }

    /// Applies changes that a relay read. They have no effect if changes before them are missing,
    /// which are then read from the keeper.
    pub(crate) fn on_upstreams(&mut self, now: Instant, delta: &Delta<PackedChanges>) {
        let known = self.store.upstreams;
        if known < delta.after || known >= delta.revision {
            return;
        }
        let changes = match delta.content.unpack() {
            Ok(changes) => changes,
            Err(error) => {
                slog::warn!(self.log, "members: relayed changes ignored"; "error" => %error);
                return;
            }
        };
        if delta.after_outage {
            self.catalog.begin_outage();
            self.catalog.end_outage(now);
        }
        for change in changes {
            if change.revision > known {
                self.apply(now, relay::from_upstream_change(now, change));
            }
        }
        self.advance(Topic::Upstreams, delta.revision);
    }

    /// Takes a part of a configuration that a relay read. A configuration is whole in itself, so it
    /// does not matter which versions before it are missing.
    pub(crate) fn on_configuration(&mut self, delta: Delta<ConfigurationPart>) {
        match self.assembly.add(delta.content) {
            Ok(Some(configuration)) => {
                self.put_in_force(&configuration);
                self.advance(Topic::Configuration, delta.revision);
            }
            Ok(None) => {}
            Err(error) => slog::warn!(self.log, "config: relayed parts ignored"; "error" => %error),
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
            self.view.set_incarnation(&upstream.id, upstream.incarnation);
        }
        self.catalog.replace(now, list);
    }

    /// Returns the reason why the instance would refuse requests.
    pub(crate) fn readiness(&self) -> Result<(), &'static str> {
        if self.stopping {
            return Err("the instance is stopping");
        }
        if self.in_force.is_none() {
            return Err("no configuration is in force");
        }
        if self.store.upstreams == 0 { Err("no list of upstreams was read") } else { Ok(()) }
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
        let (id, incarnation) = (upstream.id.clone(), upstream.incarnation);
        slog::info!(self.log, "members: upstream is listed";
            "upstream" => &*id, "service" => &*upstream.service,
            "leaving" => upstream.leaving, "revision" => upstream.revision);
        if self.catalog.upsert(upstream) {
            self.view.set_incarnation(&id, incarnation);
        }
    }
}
