//! Assembles an instance and runs its controllers.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use cactustrack_config::Settings;
use cactustrack_health::EXCHANGE_INTERVAL;
use cactustrack_members::{Identity, Membership};
use cactustrack_observe::{ExportTarget, Metrics, SpanQueue, export_spans};
use cactustrack_peer::{
    PeerCounters, PeerHandler, PeerKey, PeerPool, PeerServer, PoolConfig, ServerConfig,
};
use cactustrack_proxy::{
    BodyMemory, ConnectionBudget, DefaultDialect, Pool, PoolLimits, Proxy, ProxyParts, Server,
    ServerLimits, ServerShutdown,
};
use cactustrack_store::{EtcdStore, RecordsConfig, Store, StoreIdempotencyRecords};
use cactustrack_types::Incarnation;
use eyre::{Result, WrapErr, eyre};
use futures::channel::oneshot;
use prometheus::IntGauge;
use serde_json::json;
use slog::Logger;

use crate::cli::LoadedSettings;

use super::admin::{Access, AdminServer, READY_PATH};
use super::blackboard::{Blackboard, SharedBlackboard};
use super::configuration::ConfigurationController;
use super::counted_store::CountedStore;
use super::exchange::PeerExchange;
use super::health::{self, DecisionLog};
use super::listing::{HttpInstanceList, InstanceList};
use super::policy::BlackboardPolicy;
use super::status::BlackboardStatus;
use super::telemetry::PeerTelemetry;
use crate::descriptors::DescriptorPlan;

/// Interval of the synchronization of membership and configuration.
const SYNC_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which the instance list is read and expired connections are closed.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum time that a graceful shutdown waits until the outcomes of non-idempotent requests are
/// recorded in the store.
const RECORD_FLUSH_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval at which a graceful shutdown checks whether the proxy's tasks have ended.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Addresses of the listeners of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for the admin endpoints.
    pub admin: SocketAddr,
    /// Listener for other instances.
    pub peers: SocketAddr,
}

/// Starts the graceful shutdown of an [`Instance`].
#[derive(Debug)]
pub struct ShutdownHandle {
    tx: oneshot::Sender<()>,
    in_flight: IntGauge,
}

impl ShutdownHandle {
    /// Starts the shutdown. Returns the gauge of requests in flight, which is updated until the
    /// instance has stopped.
    pub fn stop(self) -> IntGauge {
        let _ = self.tx.send(());
        self.in_flight
    }
}

/// One instance of the fleet, running on the current event loop.
pub struct Instance {
    addresses: Addresses,
    server: Server,
    shutdown: ServerShutdown,
    stop: oneshot::Receiver<()>,
    grace: Duration,
    controllers: Rc<Controllers>,
    _peer_server: PeerServer,
}

/// State of the periodic tasks and of the shutdown.
struct Controllers {
    board: SharedBlackboard,
    configuration: Rc<ConfigurationController>,
    exchange: Rc<PeerExchange>,
    list: Option<Box<dyn InstanceList>>,
    proxy: Rc<Proxy>,
    pool: Pool,
    records: Rc<StoreIdempotencyRecords>,
    decisions: RefCell<DecisionLog>,
    peer_telemetry: RefCell<PeerTelemetry>,
    metrics: Metrics,
    log: Logger,
}

impl Instance {
    /// Binds the listeners and starts the controllers on the current event loop.
    ///
    /// # Errors
    ///
    /// Fails if a key is too short, an endpoint is invalid or an address cannot be bound.
    pub async fn start(loaded: &LoadedSettings, log: Logger) -> Result<(Self, ShutdownHandle)> {
        let settings = &loaded.settings;
        let metrics = Metrics::new()?;
        let incarnation = new_incarnation();
        let control = ControlPlane::start(loaded, incarnation, &metrics, &log).await?;
        let descriptors = DescriptorPlan::of_process();
        let pool = Pool::new(PoolLimits {
            buffer_bytes: settings.limits.buffer_bytes,
            ..PoolLimits::default()
        });
        let pool = pool.with_budget(ConnectionBudget::new(descriptors.connections));
        let parts = ProxyParts {
            instance: settings.instance.id.clone(),
            policy: BlackboardPolicy::new(Rc::clone(&control.board), metrics.clone(), log.clone()),
            records: Rc::clone(&control.records) as Rc<_>,
            dialect: Rc::new(DefaultDialect),
            pool: pool.clone(),
            memory: BodyMemory::unlimited(),
            metrics: metrics.clone(),
            spans: start_export(settings, &metrics),
            log: log.clone(),
        };
        let proxy = Proxy::new(parts, incarnation.0);
        let (server, shutdown) = bind_callers(settings, &proxy, descriptors).await?;
        let admin = bind_admin(loaded, &control, &pool, &metrics, &log).await?;
        let addresses = Addresses {
            callers: server.local_address()?,
            admin: admin.local_address()?,
            peers: control.peer_server.local_addr(),
        };
        compio::runtime::spawn(admin.run()).detach();

        let ControlPlane { board, records, configuration, exchange, counters, peer_server } =
            control;
        let list = settings.instance_list.as_ref();
        let list = list.map(|url| Box::new(HttpInstanceList::new(url.to_string())) as Box<_>);
        let controllers = Rc::new(Controllers {
            board,
            configuration,
            exchange,
            list,
            proxy,
            pool,
            records,
            decisions: RefCell::new(DecisionLog::new()),
            peer_telemetry: RefCell::new(PeerTelemetry::new(counters)),
            metrics,
            log,
        });
        controllers.start();
        let in_flight = controllers.metrics.in_flight.clone();
        let (tx, stop) = oneshot::channel();
        let grace = settings.limits.shutdown_grace;
        let instance = Self {
            addresses,
            server,
            shutdown,
            stop,
            grace,
            controllers,
            _peer_server: peer_server,
        };
        Ok((instance, ShutdownHandle { tx, in_flight }))
    }

    /// Returns the addresses of the listeners.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Serves until the shutdown handle is used, then waits for all requests in flight without a
    /// time limit, and records the outcomes of non-idempotent requests.
    pub async fn run(self) {
        let Self { server, shutdown, stop, grace, controllers, .. } = self;
        let stopping_controllers = Rc::clone(&controllers);
        let stop_task = async move {
            // If the handle was dropped, the instance runs until the process ends.
            if stop.await.is_err() {
                futures::future::pending::<()>().await;
            }
            stopping_controllers.begin_shutdown();
            // The load balancer needs this time to detect that the instance is not ready.
            compio::time::sleep(grace).await;
            shutdown.start();
        };
        let stop_task = compio::runtime::spawn(stop_task);
        server.run().await;
        drop(stop_task);
        controllers.finish_shutdown().await;
    }
}

/// The parts of an instance for configuration, membership and idempotency records, with the
/// listener for other instances.
struct ControlPlane {
    board: SharedBlackboard,
    records: Rc<StoreIdempotencyRecords>,
    configuration: Rc<ConfigurationController>,
    exchange: Rc<PeerExchange>,
    counters: Rc<PeerCounters>,
    peer_server: PeerServer,
}

impl ControlPlane {
    async fn start(
        loaded: &LoadedSettings,
        incarnation: Incarnation,
        metrics: &Metrics,
        log: &Logger,
    ) -> Result<Self> {
        let settings = &loaded.settings;
        let membership = Membership::new(own_identity(settings, incarnation));
        let board = Rc::new(RefCell::new(Blackboard::new(membership)));
        let store = open_store(settings, metrics)?;
        let prefix = &settings.store.prefix;
        let config = RecordsConfig::default();
        let records = Rc::new(StoreIdempotencyRecords::new(Rc::clone(&store), prefix, config));
        let configuration = ConfigurationController::new(
            Rc::clone(&board),
            store,
            prefix,
            metrics.clone(),
            log.clone(),
        );
        let key = PeerKey::new(loaded.peer_key.expose().as_bytes())
            .ok_or_else(|| eyre!("peers.key is too short"))?;
        let counters = Rc::new(PeerCounters::default());
        let peers = PeerPool::new(key.clone(), Rc::clone(&counters), PoolConfig::default());
        let bootstrap = settings.peers.bootstrap.clone();
        let exchange = PeerExchange::new(
            Rc::clone(&board),
            peers,
            Rc::clone(&configuration),
            bootstrap,
            log.clone(),
        );
        configuration.set_peers(Rc::new(Rc::clone(&exchange)));
        let handler = Rc::clone(&exchange) as Rc<dyn PeerHandler>;
        let address = settings.listen.peers;
        let config = ServerConfig::default();
        let peer_server = PeerServer::bind(address, key, handler, Rc::clone(&counters), config)
            .await
            .wrap_err_with(|| format!("cannot listen on {address} for other instances"))?;
        board.borrow_mut().membership.set_address(peer_server.local_addr());
        Ok(Self { board, records, configuration, exchange, counters, peer_server })
    }
}

impl Controllers {
    fn start(self: &Rc<Self>) {
        self.configuration.start();
        compio::runtime::spawn(Rc::clone(&self.exchange).bootstrap()).detach();
        let controllers = Rc::clone(self);
        spawn_periodic(EXCHANGE_INTERVAL, move || controllers.run_detection());
        let controllers = Rc::clone(self);
        spawn_periodic(SYNC_INTERVAL, move || controllers.exchange.sync_round());
        let controllers = Rc::clone(self);
        compio::runtime::spawn(async move { controllers.poll_instance_list().await }).detach();
    }

    fn run_detection(&self) {
        let now = Instant::now();
        self.configuration.tick();
        let reports = {
            let mut board = self.board.borrow_mut();
            let reports = health::take_reports(&mut board, now);
            health::add_own_reports(&mut board, now, &reports);
            reports
        };
        self.exchange.report_round(now, &reports);
        let mut board = self.board.borrow_mut();
        health::replan(&mut board, now);
        self.decisions.borrow_mut().update(&board, &self.metrics, &self.log);
        self.peer_telemetry.borrow_mut().update(&board, &self.metrics);
    }

    async fn poll_instance_list(&self) {
        loop {
            if let Some(list) = &self.list {
                match list.read().await {
                    Ok(None) => {}
                    Ok(Some(entries)) => {
                        let now = Instant::now();
                        let mut board = self.board.borrow_mut();
                        board.membership.update_list(&entries, now);
                        board.update_upstreams(now, &entries);
                        health::replan(&mut board, now);
                    }
                    Err(error) => slog::debug!(
                        self.log,
                        "members: cannot read the instance list: {:#}",
                        error
                    ),
                }
            }
            self.pool.close_expired();
            compio::time::sleep(LIST_INTERVAL).await;
        }
    }

    fn begin_shutdown(&self) {
        let in_flight = self.metrics.in_flight.get();
        slog::info!(self.log, "proxy: stopping"; "requests_in_flight" => in_flight);
        let mut board = self.board.borrow_mut();
        board.stopping = true;
        board.membership.set_leaving();
        drop(board);
        // Announces the shutdown to other members now, not with the next periodic synchronization.
        self.exchange.sync_round();
    }

    async fn finish_shutdown(&self) {
        while self.proxy.running_tasks() > 0 {
            compio::time::sleep(FLUSH_POLL_INTERVAL).await;
        }
        if !self.records.flush(RECORD_FLUSH_TIMEOUT).await {
            slog::error!(self.log, "store: outcomes of non-idempotent requests were not recorded";
                "count" => self.records.stats().pending);
        }
        slog::info!(self.log, "proxy: stopped");
    }
}

/// Spawns a task that calls `work` at this interval.
fn spawn_periodic(interval: Duration, mut work: impl FnMut() + 'static) {
    let task = async move {
        loop {
            work();
            compio::time::sleep(interval).await;
        }
    };
    compio::runtime::spawn(task).detach();
}

fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let start_ms = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
    Incarnation::new(start_ms, rand::random())
}

fn own_identity(settings: &Settings, incarnation: Incarnation) -> Identity {
    Identity {
        id: settings.instance.id.clone(),
        incarnation,
        seq: 0,
        leaving: false,
        address: settings.listen.peers,
        failure_domain: settings.instance.failure_domain.clone(),
        region: settings.instance.region.clone(),
    }
}

fn open_store(settings: &Settings, metrics: &Metrics) -> Result<Rc<dyn Store>> {
    let endpoints: Vec<String> = settings.store.endpoints.iter().map(ToString::to_string).collect();
    let store = EtcdStore::new(&endpoints).wrap_err("store.endpoints")?;
    Ok(Rc::new(CountedStore::new(Rc::new(store), metrics.store_calls.clone())))
}

async fn bind_callers(
    settings: &Settings,
    proxy: &Rc<Proxy>,
    descriptors: DescriptorPlan,
) -> Result<(Server, ServerShutdown)> {
    let limits = ServerLimits {
        max_head_bytes: settings.limits.max_head_bytes,
        head_timeout: settings.limits.head_timeout,
        max_connections: settings.limits.max_connections.min(descriptors.callers),
        ..ServerLimits::default()
    };
    let address = settings.listen.callers;
    Server::bind(address, Rc::clone(proxy), limits)
        .await
        .wrap_err_with(|| format!("cannot listen on {address} for callers"))
}

async fn bind_admin(
    loaded: &LoadedSettings,
    control: &ControlPlane,
    pool: &Pool,
    metrics: &Metrics,
    log: &Logger,
) -> Result<AdminServer> {
    let records = records_status(Rc::clone(&control.records));
    let source = BlackboardStatus::new(Rc::clone(&control.board), pool.clone(), records);
    let address = loaded.settings.listen.admin;
    let access = match &loaded.admin_key {
        Some(key) => Access::Authorized(format!("Bearer {}", key.expose())),
        None => Access::Closed,
    };
    let (source, metrics, log) = (Rc::new(source), metrics.clone(), log.clone());
    AdminServer::bind(address, source, metrics, access, READY_PATH, log)
        .await
        .wrap_err_with(|| format!("cannot listen on {address} for the admin endpoints"))
}

/// Returns the span queue and starts its export if the settings contain an endpoint.
fn start_export(settings: &Settings, metrics: &Metrics) -> SpanQueue {
    let spans = SpanQueue::new(settings.otlp_endpoint.is_some(), metrics.spans_dropped.clone());
    if let Some(endpoint) = &settings.otlp_endpoint {
        let instance = settings.instance.id.to_string();
        let target = ExportTarget { endpoint: endpoint.to_string(), instance };
        compio::runtime::spawn(export_spans(target, spans.clone())).detach();
    }
    spans
}

/// Returns a function that reports the state of the queue of idempotency records.
fn records_status(records: Rc<StoreIdempotencyRecords>) -> Rc<dyn Fn() -> serde_json::Value> {
    Rc::new(move || {
        let stats = records.stats();
        json!({
            "pending_writes": stats.pending,
            "dropped_writes": stats.dropped,
            "completed": stats.completed,
            "released": stats.released,
        })
    })
}
