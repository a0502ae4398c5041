//! Stand-ins and instances of one team on the loopback interface.

use std::ffi::OsString;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, mpsc};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use cactustrack::cli::{self, Exit};
use cactustrack::daemon::{Addresses, Instance, StopHandle};
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

/// Key of peers and admin listeners. The fleet lives on the loopback interface for a minute.
const KEY: &str = "0123456789abcdef0123456789abcdef";

const DOMAINS: [&str; 3] = ["domain-a", "domain-b", "domain-c"];

/// Real service times are divided by this and kept within [`SERVICE_TIME_MS`].
const TIME_SCALE: u64 = 40;

/// Bounds of the scaled service times in milliseconds.
const SERVICE_TIME_MS: (u64, u64) = (3, 8);

/// Time between the end of readiness and the first refused connection of a stopping instance.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(500);

/// Longest wait for something that must happen. It ends the run with an error.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// A service as its owners described it.
#[derive(Clone, Debug)]
pub(crate) struct ServiceCase {
    pub(crate) id: Arc<str>,
    pub(crate) host: Arc<str>,
    pub(crate) class: RequestClass,
    pub(crate) upstreams: u32,
    pub(crate) slots: u32,
    pub(crate) floor_slots: u32,
    pub(crate) service_time: Duration,
}

/// A running instance as callers and operators see it.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    /// Name and number of the life, which is new after a restart.
    pub(crate) id: String,
    pub(crate) life: u64,
    pub(crate) addresses: Addresses,
    /// Set by the load balancer from the readiness of the instance.
    pub(crate) ready: bool,
}

/// Instances that the load balancer knows.
pub(crate) type Directory = Arc<Mutex<Vec<Endpoint>>>;

struct Running {
    id: String,
    stop: Option<StopHandle>,
    thread: Option<JoinHandle<()>>,
}

/// Stand-ins and instances of one team.
pub(crate) struct Fleet {
    pub(crate) services: Vec<ServiceCase>,
    pub(crate) store: FakeStoreThread,
    pub(crate) directory: Directory,
    list: FakeInstanceList,
    upstreams: Vec<FakeUpstreams>,
    running: Vec<Running>,
    listings: Vec<Listing>,
    next_life: u64,
    questionnaire: String,
    dir: PathBuf,
    verbose: bool,
}

/// Locks a mutex, also after a panic of another thread.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Fleet {
    /// Starts store, instance list and upstreams for a questionnaire.
    pub(crate) fn stand_ins(team: &str, questionnaire: &str, verbose: bool) -> Result<Self> {
        let services = service_cases(team, questionnaire)?;
        let dir = std::env::temp_dir().join(format!("quickstart-{}-{team}", std::process::id()));
        fs::create_dir_all(&dir).wrap_err("cannot create a directory for settings")?;
        let upstreams: Vec<FakeUpstreams> = services.iter().map(spawn_upstreams).collect();
        let mut fleet = Self {
            store: FakeStore::spawn_thread()?,
            list: FakeInstanceList::spawn(Vec::new()),
            directory: Directory::default(),
            running: Vec::new(),
            listings: Vec::new(),
            next_life: 1,
            questionnaire: questionnaire.to_owned(),
            services,
            upstreams,
            dir,
            verbose,
        };
        for (case, upstreams) in fleet.services.iter().zip(&fleet.upstreams) {
            for (number, upstream) in upstreams.all.iter().enumerate() {
                let role = Role::Upstream { service: case.id.clone() };
                fleet.listings.push(listing(&upstream.id, role, upstream.address, number));
            }
        }
        fleet.publish_list();
        Ok(fleet)
    }

    /// The questionnaire as its owners answered it.
    pub(crate) fn questionnaire(&self) -> &str {
        &self.questionnaire
    }

    /// Position of the service with the given class.
    pub(crate) fn service_of(&self, class: RequestClass) -> Result<usize> {
        let position = self.services.iter().position(|case| case.class == class);
        position.ok_or_else(|| eyre!("the questionnaire has no service of class {class}"))
    }

    /// Faults and counters of one upstream.
    pub(crate) fn control(&self, service: usize, upstream: usize) -> &Arc<UpstreamControl> {
        &self.upstreams[service].all[upstream].control
    }

    /// Name of one upstream.
    pub(crate) fn upstream_id(&self, service: usize, upstream: usize) -> &str {
        &self.upstreams[service].all[upstream].id
    }

    /// Faults and counters of all upstreams of a service.
    pub(crate) fn controls(&self, service: usize) -> impl Iterator<Item = &Arc<UpstreamControl>> {
        self.upstreams[service].all.iter().map(|upstream| &upstream.control)
    }

    /// Changes an entry of the instance list.
    pub(crate) fn update_listing(&mut self, id: &str, change: impl Fn(&mut Listing)) {
        self.listings.iter_mut().filter(|listing| &*listing.id == id).for_each(change);
        self.publish_list();
    }

    fn publish_list(&self) {
        self.list.set(self.listings.clone());
    }

    /// Runs the operators' command line and returns its results, or its errors if there are none.
    pub(crate) fn cli(arguments: &[&str]) -> (Exit, String) {
        let mut all: Vec<OsString> = vec!["cactustrack".into()];
        all.extend(arguments.iter().map(OsString::from));
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let exit = cli::run(all, &mut out, &mut err);
        let text = if out.is_empty() { err } else { out };
        (exit, String::from_utf8_lossy(&text).trim().to_owned())
    }

    /// Writes a questionnaire to a file of its own.
    pub(crate) fn write_questionnaire(&self, name: &str, text: &str) -> Result<String> {
        let file = self.dir.join(format!("{name}.toml"));
        fs::write(&file, text).wrap_err("cannot write a questionnaire")?;
        Ok(file.display().to_string())
    }

    /// Starts an instance on an event loop and thread of its own, without waiting for readiness.
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
        let (addresses, stop) = rx.recv().wrap_err("the instance ended")??;
        let role = Role::Instance;
        self.listings.retain(|listing| *listing.id != *id);
        let mut entry = listing(&id, role, addresses.peers, number);
        entry.incarnation = Incarnation(self.next_life);
        self.listings.push(entry);
        self.publish_list();
        let endpoint = Endpoint { id: id.clone(), life: self.next_life, addresses, ready: false };
        self.next_life += 1;
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

    /// Starts the graceful shutdown of an instance. Its entry in the list says that it leaves.
    pub(crate) fn begin_stop(&mut self, id: &str) {
        let running = self.running.iter_mut().find(|running| running.id == id);
        if let Some(stop) = running.and_then(|running| running.stop.take()) {
            stop.stop();
        }
        self.update_listing(id, |listing| listing.state = ListingState::Leaving);
    }

    /// Returns true if the instance has stopped by itself.
    pub(crate) fn has_stopped(&self, id: &str) -> bool {
        let running = self.running.iter().find(|running| running.id == id);
        running.is_none_or(|r| r.thread.as_ref().is_none_or(JoinHandle::is_finished))
    }

    /// Removes a stopped instance from directory and list.
    pub(crate) fn remove(&mut self, id: &str) {
        self.running.retain(|running| running.id != id);
        self.listings.retain(|listing| &*listing.id != id);
        lock(&self.directory).retain(|endpoint| endpoint.id != id);
        self.publish_list();
    }

    /// Instances in the order of their start.
    pub(crate) fn endpoints(&self) -> Vec<Endpoint> {
        lock(&self.directory).clone()
    }

    /// Waits until all instances are ready.
    pub(crate) fn wait_ready(&self) -> Result<Duration> {
        self.wait("all instances are ready", || self.endpoints().iter().all(|e| e.ready))
    }

    /// Waits until `condition` holds and returns how long it took.
    pub(crate) fn wait(&self, what: &str, mut condition: impl FnMut() -> bool) -> Result<Duration> {
        let started = Instant::now();
        while !condition() {
            ensure!(started.elapsed() < WAIT_LIMIT, "timed out waiting until {what}");
            thread::sleep(Duration::from_millis(20));
        }
        Ok(started.elapsed())
    }

    /// Gracefully stops all instances that still run.
    pub(crate) fn stop_all(&mut self) -> Result<()> {
        let ids: Vec<String> = self.running.iter().map(|running| running.id.clone()).collect();
        for id in &ids {
            self.begin_stop(id);
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

/// Asks the admin listener of an instance for JSON.
pub(crate) async fn ask(admin: SocketAddr, path: &str) -> Result<Value> {
    let bearer = format!("Bearer {KEY}");
    let call = Call::get("admin", path).with_header("authorization", &bearer);
    let reply = call.send_async(admin).await?;
    ensure!(reply.status.is_success() && reply.is_complete, "{}: {path}", reply.status);
    Ok(serde_json::from_slice(&reply.body)?)
}

/// Asks for the metrics of an instance.
pub(crate) async fn ask_metrics(admin: SocketAddr) -> Result<String> {
    let bearer = format!("Bearer {KEY}");
    let call = Call::get("admin", "/metrics").with_header("authorization", &bearer);
    Ok(call.send_async(admin).await?.text())
}

/// Runs a future to its end on an event loop of its own.
pub(crate) fn block_on<T>(future: impl Future<Output = Result<T>>) -> Result<T> {
    compio::runtime::Runtime::new()?.block_on(future)
}

type Started = Result<(Addresses, StopHandle)>;

fn run_instance(settings: &Path, verbose: bool, started: &mpsc::Sender<Started>) -> Result<()> {
    let checked = cli::load_settings(settings)?.map_err(|findings| eyre!("{findings}"))?;
    let log = match verbose {
        true => new_logger(
            LogFormat::Text,
            LogLevel::Info,
            &checked.settings.instance.id,
            LogTarget::Stderr,
        ),
        false => Logger::root(Discard, o!()),
    };
    block_on(async {
        let (instance, stop) = Instance::start(&checked, log).await?;
        let _ = started.send(Ok((instance.addresses(), stop)));
        instance.run().await;
        Ok(())
    })
}

fn service_cases(team: &str, text: &str) -> Result<Vec<ServiceCase>> {
    let questionnaire = Questionnaire::parse(team, text).map_err(|findings| eyre!("{findings}"))?;
    let configuration = generate(&questionnaire, 0).configuration;
    let case = |answers: &cactustrack_config::ServiceAnswers| {
        let id = answers.id.value.clone();
        let route = configuration.routes.iter().find(|route| route.service == id);
        let route = route.ok_or_else(|| eyre!("service {id} has no route"))?;
        let service = configuration.service(&id).ok_or_else(|| eyre!("no service {id}"))?;
        let (min, max) = SERVICE_TIME_MS;
        let service_time = (answers.service_time_ms.value / TIME_SCALE).clamp(min, max);
        Ok(ServiceCase {
            host: answers.host.value.clone(),
            class: route.class,
            upstreams: answers.upstreams.value,
            slots: service.slots,
            floor_slots: service.floor_slots,
            service_time: Duration::from_millis(service_time),
            id,
        })
    };
    questionnaire.services.iter().map(case).collect()
}

fn spawn_upstreams(case: &ServiceCase) -> FakeUpstreams {
    let ids: Vec<String> = (1..=case.upstreams).map(|n| format!("{}-{n}", case.id)).collect();
    FakeUpstreams::spawn(&ids, &Behaviour { latency: case.service_time, ..Behaviour::default() })
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
