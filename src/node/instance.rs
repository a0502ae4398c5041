//! Assembles an instance: listeners, controllers and the order of a stop.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use cactustrack_fleet::budget::BudgetLimits;
use cactustrack_fleet::discovery::{Discovery, Topic};
use cactustrack_fleet::peers::LocalInstance;
use cactustrack_observe::{Metrics, SpanQueue};
use cactustrack_platform::{PlatformDialect, PlatformDiscovery, READINESS_PATH, Settings};
use cactustrack_proxy::{Pool, PoolLimits, Proxy, ProxyParts, Server, ServerLimits, Shutdown};
use cactustrack_store::NoRecords;
use cactustrack_types::Incarnation;
use eyre::{Result, WrapErr};
use futures::channel::oneshot;
use slog::Logger;

use super::behind::Behind;
use super::exchange::Exchange;
use super::follower::Follower;
use super::link::StoreLink;
use super::policy::NodePolicy;
use super::state::{SharedState, State};
use super::status::NodeStatus;
use crate::daemon::admin::{Access, Admin};

/// Time that an idle connection of a caller stays open. Callers state no limit of their own, and
/// a request that crosses the close is lost.
const CALLER_IDLE_TIME: Duration = Duration::from_secs(120);

/// Time for which an idle connection to an upstream is kept.
const UPSTREAM_IDLE_TIME: Duration = Duration::from_secs(9);

/// Idle time up to which a connection may carry a request that must not be sent twice.
const RECENT_IDLE_TIME: Duration = Duration::from_secs(6);

/// Time given to a new connection. Upstreams are a few milliseconds away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Descriptors that are not for connections of callers or upstreams.
const RESERVED_DESCRIPTORS: usize = 300;

/// Time between the stop signal and the close of the listener. The load balancer needs it to
/// notice that the instance is not ready.
const STOP_NOTICE_TIME: Duration = Duration::from_millis(2_800);

/// Time before the end of the grace period at which the process ends in any case.
const STOP_MARGIN: Duration = Duration::from_millis(500);

/// Interval of the checks for expired connections.
const POOL_INTERVAL: Duration = Duration::from_secs(1);

/// A running instance.
pub struct Instance {
    server: Server,
    shutdown: Shutdown,
    stop: oneshot::Receiver<()>,
    grace: Duration,
    state: SharedState,
    exchange: Rc<Exchange>,
    discovery: Rc<dyn Discovery>,
    proxy: Rc<Proxy>,
    log: Logger,
}

/// Asks an instance to stop.
pub struct StopHandle(oneshot::Sender<()>);

impl StopHandle {
    /// Starts the graceful shutdown.
    pub fn stop(self) {
        // The instance has already ended if nobody listens.
        let _ = self.0.send(());
    }
}

impl Instance {
    /// Binds the listeners and starts the controllers on the current event loop.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    pub async fn start(settings: &Settings, log: Logger) -> Result<(Self, StopHandle)> {
        let metrics = Metrics::new()?;
        let incarnation = new_life();
        let state = Rc::new(RefCell::new(State::new(settings.instance.clone(), log.clone())));
        let discovery: Rc<dyn Discovery> =
            Rc::new(PlatformDiscovery::new(settings.store, settings.instance.clone(), log.clone()));
        let behind = Rc::new(Behind::default());
        let exchange = start_exchange(settings, incarnation, &state, &behind, &metrics, &log)?;
        let pool = Pool::new(PoolLimits {
            max_idle_age: UPSTREAM_IDLE_TIME,
            recent_age: RECENT_IDLE_TIME,
            connect_timeout: CONNECT_TIMEOUT,
            ..PoolLimits::default()
        });
        close_expired(pool.clone());
        let policy = new_policy(settings, &state, &exchange, &pool, &log);
        let parts = ProxyParts {
            instance: settings.instance.clone(),
            policy: Rc::new(policy),
            records: Rc::new(NoRecords),
            dialect: Rc::new(PlatformDialect),
            pool,
            spans: SpanQueue::new(false, metrics.spans_dropped.clone()),
            metrics: metrics.clone(),
            log: log.clone(),
        };
        let proxy = Proxy::new(parts, incarnation.0);
        let (server, shutdown) = bind_callers(settings, &proxy).await?;
        bind_admin(settings, &state, &metrics).await?;
        let follower = Follower {
            discovery: Rc::clone(&discovery),
            state: Rc::clone(&state),
            link: StoreLink::new(),
            exchange: Rc::clone(&exchange),
            behind,
            instance: settings.instance.clone(),
            started: Instant::now(),
            metrics,
            log: log.clone(),
        };
        start_following(Rc::new(follower), settings);
        let (tx, stop) = oneshot::channel();
        let grace = settings.bounds.stop_grace;
        let instance =
            Self { server, shutdown, stop, grace, state, exchange, discovery, proxy, log };
        Ok((instance, StopHandle(tx)))
    }

    /// Serves until the stop handle is used, then finishes the requests in flight within the grace
    /// period.
    pub async fn run(self) {
        let Self { server, shutdown, stop, grace, state, exchange, discovery, proxy, log } = self;
        let serving = compio::runtime::spawn(server.run());
        if stop.await.is_err() {
            // A dropped handle can no longer stop the instance.
            futures::future::pending::<()>().await;
        }
        let began = Instant::now();
        slog::info!(log, "proxy: stopping"; "grace_ms" => grace.as_millis() as u64);
        state.borrow_mut().stopping = true;
        exchange.announce();
        let ending = async {
            if let Err(error) = discovery.unregister().await {
                slog::debug!(log, "members: still registered"; "error" => %error);
            }
        };
        let notice = futures::future::join(ending, compio::time::sleep(STOP_NOTICE_TIME));
        notice.await;
        shutdown.start();
        let left = grace.saturating_sub(STOP_MARGIN).saturating_sub(began.elapsed());
        let finishing = async {
            let _ = serving.await;
            while proxy.running_tasks() > 0 {
                compio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let is_finished = compio::time::timeout(left, finishing).await.is_ok();
        exchange.announce();
        slog::info!(log, "proxy: stopped"; "finished" => is_finished,
            "ms" => began.elapsed().as_millis() as u64);
    }
}

fn start_exchange(
    settings: &Settings,
    incarnation: Incarnation,
    state: &SharedState,
    behind: &Rc<Behind>,
    metrics: &Metrics,
    log: &Logger,
) -> Result<Rc<Exchange>> {
    let address = settings.listen.peers;
    let introductions = settings.introductions.iter().copied().filter(|peer| *peer != address);
    state.borrow_mut().peers.add_addresses(Instant::now(), introductions);
    let (name, failure_domain) = (settings.instance.clone(), settings.failure_domain.clone());
    let (own, state) = (LocalInstance { name, failure_domain }, Rc::clone(state));
    let (behind, metrics) = (Rc::clone(behind), metrics.clone());
    let exchange = Exchange::bind(address, own, incarnation, state, behind, metrics, log.clone());
    let exchange =
        exchange.wrap_err_with(|| format!("cannot listen on {address} for instances"))?;
    exchange.start().wrap_err("cannot receive datagrams")?;
    Ok(exchange)
}

fn new_policy(
    settings: &Settings,
    state: &SharedState,
    exchange: &Rc<Exchange>,
    pool: &Pool,
    log: &Logger,
) -> NodePolicy {
    let bounds = settings.bounds;
    NodePolicy {
        state: Rc::clone(state),
        notices: Box::new(Rc::clone(exchange)),
        pool: pool.clone(),
        failure_domain: settings.failure_domain.clone(),
        budget: BudgetLimits {
            ratio: bounds.retry_ratio,
            window: bounds.retry_window,
            slack: bounds.retry_slack,
        },
        log: log.clone(),
    }
}

async fn bind_callers(settings: &Settings, proxy: &Rc<Proxy>) -> Result<(Server, Shutdown)> {
    let address = settings.listen.callers;
    let limits = ServerLimits {
        head_timeout: CALLER_IDLE_TIME,
        max_connections: settings.max_descriptors.saturating_sub(RESERVED_DESCRIPTORS),
        ..ServerLimits::default()
    };
    Server::bind(address, Rc::clone(proxy), limits)
        .await
        .wrap_err_with(|| format!("cannot listen on {address} for callers"))
}

async fn bind_admin(settings: &Settings, state: &SharedState, metrics: &Metrics) -> Result<()> {
    let address = settings.listen.admin;
    let source = Rc::new(NodeStatus(Rc::clone(state)));
    let admin = Admin::bind(address, source, metrics.clone(), Access::Open, READINESS_PATH)
        .await
        .wrap_err_with(|| {
        format!("cannot listen on {address} for questions about readiness")
    })?;
    compio::runtime::spawn(admin.run()).detach();
    Ok(())
}

fn start_following(follower: Rc<Follower>, settings: &Settings) {
    for topic in [Topic::Configuration, Topic::Upstreams] {
        compio::runtime::spawn(Rc::clone(&follower).follow(topic)).detach();
    }
    let address = settings.listen.peers;
    compio::runtime::spawn(Rc::clone(&follower).keep_registered(address)).detach();
    compio::runtime::spawn(follower.follow_instances(address)).detach();
}

fn close_expired(pool: Pool) {
    let task = async move {
        loop {
            compio::time::sleep(POOL_INTERVAL).await;
            pool.close_expired();
        }
    };
    compio::runtime::spawn(task).detach();
}

fn new_life() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let start_ms = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
    Incarnation::new(start_ms, rand::random())
}
