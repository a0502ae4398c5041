//! Fleet of one team on the loopback interface: instances, and fakes of the services around them.

use std::ffi::OsString;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, mpsc};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use cactustrack::cli::{self, Exit};
use cactustrack::daemon::{Addresses, Instance, ShutdownHandle};
use cactustrack_config::{LogFormat, LogLevel, Questionnaire, generate};
use cactustrack_observe::{LogTarget, new_logger};
use cactustrack_test_support::caller::Call;
use cactustrack_test_support::instance_list::FakeInstanceList;
use cactustrack_test_support::store::{FakeStore, FakeStoreThread};
use cactustrack_test_support::upstream::{Behaviour, FakeUpstreams, UpstreamControl};
use cactustrack_types::{Incarnation, Listing, ListingState, RequestClass, Role};
use eyre::{Result, WrapErr, ensure, eyre};
use serde_json::Value;
use slog::{Discard, Logger, o};

/// Key of the peer and admin listeners. A fixed one is enough for a fleet that runs on the loopback
/// interface for about a minute.
const KEY: &str = "0123456789abcdef0123456789abcdef";

/// Failure domains that instances and upstreams are spread over.
const DOMAINS: [&str; 3] = ["domain-a", "domain-b", "domain-c"];

/// Divisor of the service times of the questionnaires. The result is clamped to
/// [`SERVICE_TIME_MS`].
const TIME_SCALE: u64 = 40;

/// Minimum and maximum of the scaled service times, in milliseconds.
const SERVICE_TIME_MS: (u64, u64) = (3, 8);

/// Time for which a stopping instance still accepts connections after it stops being ready.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(500);

/// Longest wait for an expected condition. The run fails when it is exceeded.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// A service of the questionnaire, with values of the generated configuration.
#[derive(Clone, Debug)]
pub(crate) struct ServiceSpec {
    pub(crate) id: Arc<str>,
    pub(crate) host: Arc<str>,
    pub(crate) class: RequestClass,
    pub(crate) upstreams: u32,
    pub(crate) slots: u32,
    pub(crate) floor_slots: u32,
    pub(crate) service_time: Duration,
}

/// A running instance, as known to callers and operators.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    /// Id, which stays the same after a restart.
    pub(crate) id: String,
    /// Number of the process, which is new after a restart.
    pub(crate) incarnation: u64,
    pub(crate) addresses: Addresses,
    /// Result of the last readiness check by the load balancer.
    pub(crate) ready: bool,
}

/// Instances that are known to the load balancer.
pub(crate) type Directory = Arc<Mutex<Vec<Endpoint>>>;

struct Running {
    id: String,
    stop: Option<ShutdownHandle>,
    thread: Option<JoinHandle<()>>,
}

/// Fakes and instances of one team.
pub(crate) struct Fleet {
    pub(crate) services: Vec<ServiceSpec>,
    pub(crate) store: FakeStoreThread,
    pub(crate) directory: Directory,
    list: FakeInstanceList,
    upstreams: Vec<FakeUpstreams>,
    running: Vec<Running>,
    listings: Vec<Listing>,
    next_incarnation: u64,
    questionnaire: String,
    dir: PathBuf,
    verbose: bool,
}

/// Locks a mutex, even if it is poisoned.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Fleet {
    /// Starts the fake store, instance list and upstreams for a questionnaire. No instance runs
    /// yet.
    pub(crate) fn with_fakes(team: &str, questionnaire: &str, verbose: bool) -> Result<Self> {
        let services = service_specs(team, questionnaire)?;
        let dir = std::env::temp_dir().join(format!("quickstart-{}-{team}", std::process::id()));
        fs::create_dir_all(&dir).wrap_err("cannot create a directory for settings")?;
        let upstreams: Vec<FakeUpstreams> = services.iter().map(spawn_upstreams).collect();
        let mut fleet = Self {
            store: FakeStore::spawn_thread()?,
            list: FakeInstanceList::spawn(Vec::new()),
            directory: Directory::default(),
            running: Vec::new(),
            listings: Vec::new(),
            next_incarnation: 1,
            questionnaire: questionnaire.to_owned(),
            services,
            upstreams,
            dir,
            verbose,
        };
        for (spec, upstreams) in fleet.services.iter().zip(&fleet.upstreams) {
            for (number, upstream) in upstreams.all.iter().enumerate() {
                let role = Role::Upstream { service: spec.id.clone() };
                fleet.listings.push(listing(&upstream.id, role, upstream.address, number));
            }
        }
        fleet.publish_list();
        Ok(fleet)
    }

    /// Returns the questionnaire as the service owners answered it.
    pub(crate) fn questionnaire(&self) -> &str {
        &self.questionnaire
    }

    /// Returns the index of the first service with the given class.
    pub(crate) fn service_index(&self, class: RequestClass) -> Result<usize> {
        let position = self.services.iter().position(|spec| spec.class == class);
        position.ok_or_else(|| eyre!("the questionnaire has no service of class {class}"))
    }

    /// Returns the fault controls and counters of an upstream.
    pub(crate) fn control(&self, service: usize, upstream: usize) -> &Arc<UpstreamControl> {
        &self.upstreams[service].all[upstream].control
    }

    /// Returns the id of an upstream.
    pub(crate) fn upstream_id(&self, service: usize, upstream: usize) -> &str {
        &self.upstreams[service].all[upstream].id
    }

    /// Returns the fault controls and counters of all upstreams of a service.
    pub(crate) fn controls(&self, service: usize) -> impl Iterator<Item = &Arc<UpstreamControl>> {
        self.upstreams[service].all.iter().map(|upstream| &upstream.control)
    }

    /// Changes an entry of the instance list and publishes the list.
    pub(crate) fn update_listing(&mut self, id: &str, change: impl Fn(&mut Listing)) {
        self.listings.iter_mut().filter(|listing| &*listing.id == id).for_each(change);
        self.publish_list();
    }

    fn publish_list(&self) {
        self.list.set(self.listings.clone());
    }

    /// Runs the operators' command line in this process. Returns its exit code and its output, or
    /// its errors if there is no output.
    pub(crate) fn cli(arguments: &[&str]) -> (Exit, String) {
        let mut all: Vec<OsString> = vec!["cactustrack".into()];
        all.extend(arguments.iter().map(OsString::from));
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let exit = cli::run(all, &mut out, &mut err);
        let text = if out.is_empty() { err } else { out };
        (exit, String::from_utf8_lossy(&text).trim().to_owned())
    }

    /// Writes a questionnaire to a file with the given name and returns the path.
    pub(crate) fn write_questionnaire(&self, name: &str, text: &str) -> Result<String> {
        let file = self.dir.join(format!("{name}.toml"));
        fs::write(&file, text).wrap_err("cannot write a questionnaire")?;
        Ok(file.display().to_string())
    }

    /// Starts an instance on its own thread and event loop. Does not wait until it is ready.
    pub(crate) fn start_instance(&mut self, number: usize) -> Result<()> {
        let id = format!("instance-{number}");
        let settings = self.dir.join(format!("{id}.toml"));
        fs::write(&settings, self.settings(&id, number))?;
        let (tx, rx) = mpsc::channel();
        let verbose = self.verbose;
        let thread = thread::Builder::new()
            .name(id.clone())
            .spawn(move || {
                if let Err(error) = run_instance(&settings, verbose, &tx) {
                    let _ = tx.send(Err(error));
                }
            })
            .wrap_err("cannot start a thread")?;
        let (addresses, stop) = rx.recv().wrap_err("the instance ended during its start")??;
        let role = Role::Instance;
        self.listings.retain(|listing| *listing.id != *id);
        let mut entry = listing(&id, role, addresses.peers, number);
        entry.incarnation = Incarnation(self.next_incarnation);
        self.listings.push(entry);
        self.publish_list();
        let endpoint = Endpoint {
            id: id.clone(),
            incarnation: self.next_incarnation,
            addresses,
            ready: false,
        };
        self.next_incarnation += 1;
        lock(&self.directory).push(endpoint);
        self.running.push(Running { id, stop: Some(stop), thread: Some(thread) });
        Ok(())
    }

    fn settings(&self, id: &str, number: usize) -> String {
        let bootstrap: Vec<String> = lock(&self.directory)
            .iter()
            .map(|endpoint| format!("\"{}\"", endpoint.addresses.peers))
            .collect();
        format!(
            "instance_list = {{ url = \"{}\" }}\n\
             [instance]\nid = \"{id}\"\nregion = \"region-1\"\nfailure_domain = \"{}\"\n\
             [listen]\ncallers = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n\
             [store]\nendpoints = [\"{}\"]\nprefix = \"cactustrack/\"\n\
             [peers]\nbootstrap = [{}]\nkey = \"{KEY}\"\n[admin]\nkey = \"{KEY}\"\n\
             [limits]\nshutdown_grace_ms = {}\n",
            self.list.url(),
            DOMAINS[number % DOMAINS.len()],
            self.store.url(),
            bootstrap.join(", "),
            SHUTDOWN_GRACE.as_millis(),
        )
    }

    /// Starts the graceful shutdown of an instance and lists it as leaving.
    pub(crate) fn begin_shutdown(&mut self, id: &str) {
        let running = self.running.iter_mut().find(|running| running.id == id);
        if let Some(stop) = running.and_then(|running| running.stop.take()) {
            stop.stop();
        }
        self.update_listing(id, |listing| listing.state = ListingState::Leaving);
    }

    /// Returns true if the thread of the instance has ended, or if there is no such instance.
    pub(crate) fn has_stopped(&self, id: &str) -> bool {
        let running = self.running.iter().find(|running| running.id == id);
        running.is_none_or(|r| r.thread.as_ref().is_none_or(JoinHandle::is_finished))
    }

    /// Removes a stopped instance from the directory and the instance list.
    pub(crate) fn remove(&mut self, id: &str) {
        self.running.retain(|running| running.id != id);
        self.listings.retain(|listing| &*listing.id != id);
        lock(&self.directory).retain(|endpoint| endpoint.id != id);
        self.publish_list();
    }

    /// Returns the instances in the order of their start.
    pub(crate) fn endpoints(&self) -> Vec<Endpoint> {
        lock(&self.directory).clone()
    }

    /// Waits until all instances are ready.
    pub(crate) fn wait_ready(&self) -> Result<Duration> {
        self.wait("all instances are ready", || self.endpoints().iter().all(|e| e.ready))
    }

    /// Waits until `condition` holds and returns how long it took. `what` names it in the error.
    pub(crate) fn wait(&self, what: &str, mut condition: impl FnMut() -> bool) -> Result<Duration> {
        let started = Instant::now();
        while !condition() {
            ensure!(started.elapsed() < WAIT_TIMEOUT, "timed out waiting until {what}");
            thread::sleep(Duration::from_millis(20));
        }
        Ok(started.elapsed())
    }

    /// Gracefully shuts down all running instances and waits until they have stopped.
    pub(crate) fn stop_all(&mut self) -> Result<()> {
        let ids: Vec<String> = self.running.iter().map(|running| running.id.clone()).collect();
        for id in &ids {
            self.begin_shutdown(id);
        }
        self.wait("all instances have stopped", || ids.iter().all(|id| self.has_stopped(id)))?;
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// Gets a JSON document from the admin listener of an instance.
pub(crate) async fn get_json(admin: SocketAddr, path: &str) -> Result<Value> {
    let bearer = format!("Bearer {KEY}");
    let call = Call::get("admin", path).with_header("authorization", &bearer);
    let response = call.send_async(admin).await?;
    ensure!(response.status.is_success() && response.is_complete, "{}: {path}", response.status);
    Ok(serde_json::from_slice(&response.body)?)
}

/// Gets the metrics of an instance.
pub(crate) async fn get_metrics(admin: SocketAddr) -> Result<String> {
    let bearer = format!("Bearer {KEY}");
    let call = Call::get("admin", "/metrics").with_header("authorization", &bearer);
    Ok(call.send_async(admin).await?.text())
}

/// Runs a future to completion on a new event loop.
pub(crate) fn block_on<T>(future: impl Future<Output = Result<T>>) -> Result<T> {
    compio::runtime::Runtime::new()?.block_on(future)
}

type Started = Result<(Addresses, ShutdownHandle)>;

fn run_instance(settings: &Path, verbose: bool, started: &mpsc::Sender<Started>) -> Result<()> {
    let loaded = cli::load_settings(settings)?.map_err(|findings| eyre!("{findings}"))?;
    let log = match verbose {
        true => new_logger(
            LogFormat::Text,
            LogLevel::Info,
            &loaded.settings.instance.id,
            LogTarget::Stderr,
        ),
        false => Logger::root(Discard, o!()),
    };
    block_on(async {
        let (instance, stop) = Instance::start(&loaded, log).await?;
        let _ = started.send(Ok((instance.addresses(), stop)));
        instance.run().await;
        Ok(())
    })
}

fn service_specs(team: &str, text: &str) -> Result<Vec<ServiceSpec>> {
    let questionnaire = Questionnaire::parse(team, text).map_err(|findings| eyre!("{findings}"))?;
    let configuration = generate(&questionnaire, 0).configuration;
    let spec = |answers: &cactustrack_config::ServiceAnswers| {
        let id = answers.id.value.clone();
        let route = configuration.routes.iter().find(|route| route.service == id);
        let route = route.ok_or_else(|| eyre!("service {id} has no route"))?;
        let service = configuration.service(&id).ok_or_else(|| eyre!("no service {id}"))?;
        let (min, max) = SERVICE_TIME_MS;
        let service_time = (answers.service_time_ms.value / TIME_SCALE).clamp(min, max);
        Ok(ServiceSpec {
            host: answers.host.value.clone(),
            class: route.class,
            upstreams: answers.upstreams.value,
            slots: service.slots,
            floor_slots: service.floor_slots,
            service_time: Duration::from_millis(service_time),
            id,
        })
    };
    questionnaire.services.iter().map(spec).collect()
}

fn spawn_upstreams(spec: &ServiceSpec) -> FakeUpstreams {
    let ids: Vec<String> = (1..=spec.upstreams).map(|n| format!("{}-{n}", spec.id)).collect();
    FakeUpstreams::spawn(&ids, &Behaviour { latency: spec.service_time, ..Behaviour::default() })
}

fn listing(id: &str, role: Role, address: SocketAddr, number: usize) -> Listing {
    Listing {
        id: id.into(),
        role,
        address,
        failure_domain: DOMAINS[number % DOMAINS.len()].into(),
        region: "region-1".into(),
        incarnation: Incarnation(1),
        state: ListingState::Live,
    }
}
