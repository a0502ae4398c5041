//! Starts the listeners and background tasks of an instance and shuts them down in order.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use cactustrack_fleet::budget::BudgetLimits;
use cactustrack_fleet::discovery::{Discovery, QuotaStore, ShardOwner, Topic};
use cactustrack_fleet::freshness::FreshnessTracker;
use cactustrack_fleet::peers::LocalInstance;
use cactustrack_fleet::shutdown::ShutdownPlan;
use cactustrack_observe::{Metrics, SpanQueue};
use cactustrack_platform::{PlatformDialect, PlatformDiscovery, READINESS_PATH, Settings};
use cactustrack_proxy::{
    ConnectionBudget, Pool, PoolLimits, Proxy, ProxyParts, Server, ServerLimits, ServerShutdown,
};
use cactustrack_store::NoRecords;
use cactustrack_types::Incarnation;
use eyre::{Result, WrapErr};
use futures::channel::oneshot;
use slog::Logger;

use super::confirmation::Confirmation;
use super::decisions::UpstreamSelector;
use super::discovery_sync::DiscoverySync;
use super::lag::LagTracker;
use super::memory;
use super::messenger::PeerMessenger;
use super::policy::NodePolicy;
use super::quota_claims::QuotaClaims;
use super::state::{SharedState, State};
use super::status::NodeStatus;
use super::store_availability::StoreAvailability;
use crate::daemon::admin::{Access, AdminServer};
use crate::descriptors::DescriptorPlan;

/// Time for which an idle connection of a caller stays open. Callers announce no idle timeout of
/// their own, and a request sent while the instance closes the connection is lost.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Time for which an idle connection to an upstream is kept open.
const UPSTREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(9);

/// Largest idle time of a connection that is reused for a non-idempotent request, which must not be
/// sent twice.
const RECENT_IDLE_TIME: Duration = Duration::from_secs(6);

/// Timeout for opening a connection to an upstream. Upstreams are a few milliseconds away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval at which expired idle connections are closed.
const POOL_CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

/// A running instance.
pub struct Instance {
    server: Server,
    shutdown: ServerShutdown,
    stop: oneshot::Receiver<()>,
    grace: Duration,
    state: SharedState,
    messenger: Rc<PeerMessenger>,
    discovery: Rc<dyn Discovery>,
    quotas: Option<Rc<QuotaClaims>>,
    proxy: Rc<Proxy>,
    log: Logger,
}

/// Starts the graceful shutdown of an instance.
pub struct ShutdownHandle(oneshot::Sender<()>);

impl ShutdownHandle {
    /// Starts the graceful shutdown.
    pub fn stop(self) {
        // Sending fails only if the instance has already ended.
        let _ = self.0.send(());
    }
}

impl Instance {
    /// Binds the listeners and starts the background tasks on the current event loop.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    pub async fn start(settings: &Settings, log: Logger) -> Result<(Self, ShutdownHandle)> {
        let metrics = Metrics::new()?;
        let incarnation = new_incarnation();
        let budget = BudgetLimits {
            ratio: settings.bounds.retry_ratio,
            window: settings.bounds.retry_window,
            slack: settings.bounds.retry_slack,
        };
        let mut state = State::new(settings.instance.clone(), budget, log.clone());
        let revocation = settings.bounds.revocation;
        state.freshness = revocation.map(|bound| FreshnessTracker::new(bound, incarnation));
        let state = Rc::new(RefCell::new(state));
        let discovery = PlatformDiscovery::new(
            settings.store,
            settings.instance.clone(),
            metrics.clone(),
            log.clone(),
        );
        let discovery = Rc::new(discovery);
        let quota_store: Rc<dyn QuotaStore> = Rc::clone(&discovery) as _;
        let discovery: Rc<dyn Discovery> = discovery;
        let lag = Rc::new(LagTracker::default());
        let messenger = start_messenger(settings, incarnation, &state, &lag, &metrics, &log)?;
        let descriptors = DescriptorPlan::new(settings.max_file_descriptors);
        let pool = Pool::new(PoolLimits {
            max_idle_age: UPSTREAM_IDLE_TIMEOUT,
            recent_age: RECENT_IDLE_TIME,
            connect_timeout: CONNECT_TIMEOUT,
            sockets: memory::socket_limits(settings),
            ..PoolLimits::default()
        });
        let pool = pool.with_budget(ConnectionBudget::new(descriptors.connections));
        spawn_pool_cleanup(pool.clone());
        let quotas = settings.bounds.quota.map(|limits| {
            let own = ShardOwner { name: settings.instance.clone(), incarnation, era: 0 };
            let (state, messenger) = (Rc::clone(&state), Rc::clone(&messenger));
            QuotaClaims::new(limits, own, quota_store, state, messenger, &metrics, &log)
        });
        let failure_domain = settings.failure_domain.clone();
        let selector = UpstreamSelector { pool: pool.clone(), failure_domain };
        let mut policy = new_policy(&selector, &state, &messenger, &log);
        policy.quota = quotas.as_ref().map(|quotas| quotas.gate());
        let parts = ProxyParts {
            instance: settings.instance.clone(),
            policy: Rc::new(policy),
            records: Rc::new(NoRecords),
            dialect: Rc::new(PlatformDialect),
            pool,
            memory: memory::body_memory(settings, &metrics, &log),
            spans: SpanQueue::new(false, metrics.spans_dropped.clone()),
            metrics: metrics.clone(),
            log: log.clone(),
        };
        let proxy = Proxy::new(parts, incarnation.0);
        let (server, shutdown) = bind_callers(settings, &proxy, descriptors).await?;
        let status =
            NodeStatus { instance: settings.instance.clone(), state: Rc::clone(&state), selector };
        bind_admin(settings, status, &metrics, &log).await?;
        if revocation.is_some() {
            start_confirmation(settings, &discovery, &state, &messenger, &metrics, &log);
        }
        let discovery_sync = DiscoverySync {
            discovery: Rc::clone(&discovery),
            state: Rc::clone(&state),
            store_availability: StoreAvailability::new(),
            messenger: Rc::clone(&messenger),
            lag,
            instance: settings.instance.clone(),
            started: Instant::now(),
            metrics,
            log: log.clone(),
        };
        start_discovery_sync(Rc::new(discovery_sync), settings);
        if let Some(quotas) = &quotas {
            quotas.start();
        }
        let (tx, stop) = oneshot::channel();
        let grace = settings.bounds.stop_grace;
        let instance =
            Self { server, shutdown, stop, grace, state, messenger, discovery, quotas, proxy, log };
        Ok((instance, ShutdownHandle(tx)))
    }

    /// Serves requests until the shutdown handle is used, then waits for the requests in flight for
    /// at most the grace period. Those that take longer are aborted with a response.
    pub async fn run(self) {
        let Self { server, shutdown, stop, grace, state, messenger, discovery, quotas, proxy, log } =
            self;
        let serving = compio::runtime::spawn(server.run());
        if stop.await.is_err() {
            // The shutdown handle was dropped, so nothing can stop the instance any more.
            futures::future::pending::<()>().await;
        }
        let stop_started = Instant::now();
        let plan = ShutdownPlan::new(stop_started, grace);
        slog::info!(log, "proxy: stopping"; "grace_ms" => grace.as_millis() as u64);
        state.borrow_mut().shutdown = Some(plan);
        if let Some(quotas) = &quotas {
            quotas.give_up();
        }
        messenger.announce();
        let ending_lease = async {
            if let Some(quotas) = &quotas {
                quotas.end_lease().await;
            }
        };
        let unregistering = async {
            if let Err(error) = discovery.unregister().await {
                slog::debug!(log, "members: cannot remove the registration"; "error" => %error);
            }
        };
        let accepting = sleep_until(plan.accepts_until);
        futures::join!(ending_lease, unregistering, accepting);
        shutdown.start();
        let finishing = async {
            let _ = serving.await;
            while proxy.running_tasks() > 0 {
                compio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let mut finishing = std::pin::pin!(finishing);
        let aborts_in = plan.aborts_at.saturating_duration_since(Instant::now());
        let is_finished = compio::time::timeout(aborts_in, finishing.as_mut()).await.is_ok();
        if !is_finished {
            proxy.abort_requests();
            let ends_in = plan.ends_at.saturating_duration_since(Instant::now());
            // The process ends whether or not all responses are written by then.
            let _ = compio::time::timeout(ends_in, finishing).await;
        }
        messenger.announce();
        slog::info!(log, "proxy: stopped"; "finished" => is_finished,
            "ms" => stop_started.elapsed().as_millis() as u64);
    }
}

fn start_messenger(
    settings: &Settings,
    incarnation: Incarnation,
    state: &SharedState,
    lag: &Rc<LagTracker>,
    metrics: &Metrics,
    log: &Logger,
) -> Result<Rc<PeerMessenger>> {
    let address = settings.listen.peers;
    let seed_peers = settings.seed_peers.iter().copied().filter(|peer| *peer != address);
    state.borrow_mut().peers.add_addresses(Instant::now(), seed_peers);
    let (name, failure_domain) = (settings.instance.clone(), settings.failure_domain.clone());
    let (own, state) = (LocalInstance { name, failure_domain }, Rc::clone(state));
    let (lag, metrics) = (Rc::clone(lag), metrics.clone());
    let messenger =
        PeerMessenger::bind(address, own, incarnation, state, lag, metrics, log.clone());
    let messenger =
        messenger.wrap_err_with(|| format!("cannot listen on {address} for other instances"))?;
    messenger.start().wrap_err("cannot receive datagrams")?;
    Ok(messenger)
}

fn new_policy(
    selector: &UpstreamSelector,
    state: &SharedState,
    messenger: &Rc<PeerMessenger>,
    log: &Logger,
) -> NodePolicy {
    NodePolicy {
        state: Rc::clone(state),
        notices: Box::new(Rc::clone(messenger)),
        selector: selector.clone(),
        grants: Box::new(Rc::clone(messenger)),
        quota: None,
        log: log.clone(),
    }
}

async fn bind_callers(
    settings: &Settings,
    proxy: &Rc<Proxy>,
    descriptors: DescriptorPlan,
) -> Result<(Server, ServerShutdown)> {
    let address = settings.listen.callers;
    let limits = ServerLimits {
        head_timeout: CALLER_IDLE_TIMEOUT,
        max_connections: descriptors.callers,
        sockets: memory::socket_limits(settings),
        ..ServerLimits::default()
    };
    Server::bind(address, Rc::clone(proxy), limits)
        .await
        .wrap_err_with(|| format!("cannot listen on {address} for callers"))
}

async fn bind_admin(
    settings: &Settings,
    status: NodeStatus,
    metrics: &Metrics,
    log: &Logger,
) -> Result<()> {
    let address = settings.listen.admin;
    let source = Rc::new(status);
    let (metrics, log) = (metrics.clone(), log.clone());
    let admin = AdminServer::bind(address, source, metrics, Access::Open, READINESS_PATH, log)
        .await
        .wrap_err_with(|| format!("cannot listen on {address} for the admin endpoints"))?;
    compio::runtime::spawn(admin.run()).detach();
    Ok(())
}

fn start_confirmation(
    settings: &Settings,
    discovery: &Rc<dyn Discovery>,
    state: &SharedState,
    messenger: &Rc<PeerMessenger>,
    metrics: &Metrics,
    log: &Logger,
) {
    let confirmation = Confirmation {
        discovery: Rc::clone(discovery),
        state: Rc::clone(state),
        messenger: Rc::clone(messenger),
        instance: settings.instance.clone(),
        started: Instant::now(),
        metrics: metrics.clone(),
        log: log.clone(),
    };
    confirmation.start();
}

fn start_discovery_sync(discovery_sync: Rc<DiscoverySync>, settings: &Settings) {
    for topic in [Topic::Configuration, Topic::Upstreams] {
        compio::runtime::spawn(Rc::clone(&discovery_sync).sync_topic(topic)).detach();
    }
    let address = settings.listen.peers;
    compio::runtime::spawn(Rc::clone(&discovery_sync).keep_registered(address)).detach();
    compio::runtime::spawn(discovery_sync.sync_instances(address)).detach();
}

fn spawn_pool_cleanup(pool: Pool) {
    let task = async move {
        loop {
            compio::time::sleep(POOL_CLEANUP_INTERVAL).await;
            pool.close_expired();
        }
    };
    compio::runtime::spawn(task).detach();
}

async fn sleep_until(at: Instant) {
    compio::time::sleep(at.saturating_duration_since(Instant::now())).await;
}

fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let start_ms = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
    Incarnation::new(start_ms, rand::random())
}
