//! Fleet on the loopback interface: instances as separate processes, and fakes of the services
//! around them.

use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use cactustrack_test_support::caller::Call;
use cactustrack_test_support::link::Link;
use cactustrack_test_support::upstream::{Behaviour, FakeUpstreams, ReceivedRequest};
use eyre::{Result, WrapErr, ensure, eyre};
use http::{HeaderValue, StatusCode};
use rustix::process::{Pid, Signal, kill_process};

use crate::accounts::{self, Account, REVOCATION_BOUND};
use crate::contents::{ContentsCopy, Documents};
use crate::documents::{self, InstanceSettings, RouteEntry, UpstreamEntry};
use crate::plan::Size;
use crate::store::FakeStore;
use crate::violations::Arrival;

pub(crate) use crate::documents::HOST;

/// Prefix of the route that needs no key.
pub(crate) const PUBLIC: &str = "/public/";

/// Failure domains that instances and upstreams are spread over.
const DOMAINS: [&str; 3] = ["domain-a", "domain-b", "domain-c"];

/// Id of the only service.
const SERVICE: &str = "svc-a";

/// Time that a healthy upstream takes for a request.
pub(crate) const SERVICE_TIME: Duration = Duration::from_millis(40);

/// Slots in the entry of an upstream: the number of requests that it can execute at a time.
const SLOTS: u32 = 4;

/// Maximum number of file descriptors of an instance.
const MAX_DESCRIPTORS: u64 = 4_100;

/// Ports of the instances. They are below those that the system gives to connections, one of which
/// could use the port of an instance while it is restarted.
const PORTS: Range<u16> = 20_000..32_000;

/// Window of the retry budget.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);

/// Number of previous versions whose routes stay in the configuration.
const KEPT_VERSIONS: u64 = 12;

/// An instance process with the links to its callers and to the store.
pub(crate) struct Instance {
    name: String,
    binary: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    admin: SocketAddr,
    /// Link from the callers to the instance.
    pub(crate) caller_link: Link,
    /// Link from the instance to the store.
    pub(crate) store_link: Link,
    child: Option<Child>,
}

/// Fakes and instances of a run.
pub(crate) struct Fleet {
    pub(crate) store: FakeStore,
    pub(crate) upstreams: FakeUpstreams,
    /// Links to the upstreams, in the order of the upstreams.
    pub(crate) upstream_links: Vec<Link>,
    pub(crate) instances: Vec<Instance>,
    accounts: Vec<Account>,
    documents: Documents,
    dir: PathBuf,
}

impl Fleet {
    /// Starts the fakes, registers the upstreams and starts the instances.
    pub(crate) fn start(size: Size, seed: u64, accounts: Vec<Account>) -> Result<Self> {
        let dir = format!("cactustrack-soak-{}-{seed}", std::process::id());
        let dir = std::env::temp_dir().join(dir);
        fs::create_dir_all(&dir).wrap_err("cannot create the directory of the run")?;
        let ids: Vec<String> = (0..size.upstreams).map(|number| format!("up-{number}")).collect();
        let upstreams = FakeUpstreams::spawn(&ids, &healthy_behaviour());
        let upstream_links =
            upstreams.all.iter().map(|upstream| Link::spawn(upstream.address)).collect();
        let store = FakeStore::spawn();
        let binary = binary()?;
        let (instances, documents) = (Vec::new(), Documents::default());
        let mut fleet =
            Self { store, upstreams, upstream_links, instances, accounts, documents, dir };
        fleet.accept(1, 0);
        for number in 0..size.upstreams {
            fleet.register(number, 1, "ready");
        }
        for number in 0..size.instances {
            let instance = Instance::new(number, &binary, &fleet.dir, fleet.store.address)?;
            fleet.instances.push(instance);
        }
        Ok(fleet)
    }

    /// Writes a version of the configuration to the store. Each version adds its own route. The
    /// first `removed` keys of the account whose keys are removed are not in it.
    pub(crate) fn accept(&mut self, version: u64, removed: usize) {
        let kept = version.saturating_sub(KEPT_VERSIONS).max(1)..=version;
        let added = kept.map(|version| format!("/v{version}/"));
        let stable = [("/search/", "idempotent"), ("/orders/", "non_idempotent")];
        let stable = stable.into_iter().chain([("/bytes/", "download"), (PUBLIC, "idempotent")]);
        let stable = stable.map(|(prefix, kind)| (prefix.to_owned(), kind));
        let routes = added.map(|prefix| (prefix, "idempotent")).chain(stable);
        let entry = |(prefix, kind): (String, _)| RouteEntry {
            is_public: prefix == PUBLIC,
            prefix,
            kind,
            service: SERVICE,
            timeout_s: 4.0,
        };
        let routes: Vec<_> = routes.map(entry).collect();
        let mut configuration = documents::configuration(version, SERVICE, &routes);
        configuration["tenants"] = accounts::table(&self.accounts, removed);
        let key = documents::CONFIGURATION_KEY;
        self.documents.write(&self.store, key, Some(configuration));
    }

    /// Writes the entry of an upstream to the store.
    pub(crate) fn register(&mut self, number: usize, incarnation: u64, state: &str) {
        let key = entry_key(number);
        let entry = UpstreamEntry {
            service: SERVICE,
            address: self.upstream_links[number].address,
            failure_domain: DOMAINS[number % DOMAINS.len()],
            slots: SLOTS,
            state,
            incarnation,
            seq: self.documents.next_seq(&key, incarnation),
        };
        self.documents.write(&self.store, &key, Some(entry.to_json()));
    }

    /// Removes the entry of an upstream from the store.
    pub(crate) fn unregister(&mut self, number: usize) {
        self.documents.write(&self.store, &entry_key(number), None);
    }

    /// Executes an older write of an upstream again, and returns the key.
    pub(crate) fn write_late(&mut self, number: usize) -> String {
        let key = entry_key(number);
        self.documents.write_late(&self.store, &key);
        key
    }

    /// Copies the store.
    pub(crate) fn copy_store(&self) -> ContentsCopy {
        self.documents.copy(&self.store)
    }

    /// Brings the store back from a copy, and returns the keys whose newest state it lacks.
    pub(crate) fn restore_store(&mut self, copy: ContentsCopy) -> Vec<String> {
        self.documents.restore(&self.store, copy)
    }

    /// Writes the newest state of a key again if the store does not have it.
    pub(crate) fn rewrite(&mut self, key: &str) {
        self.documents.rewrite(&self.store, key);
    }

    /// Returns the attempts that reached the upstreams, with times since `started`.
    pub(crate) fn arrivals(&self, started: Instant) -> Vec<Arrival> {
        let upstreams = self.upstreams.all.iter().enumerate();
        let received = upstreams.flat_map(|(number, upstream)| {
            upstream.control.received().into_iter().map(move |request| (number, request))
        });
        received.map(|(number, request)| arrival(number, started, &request)).collect()
    }

    /// Returns the directory with the logs of the instances.
    pub(crate) fn log_dir(&self) -> &Path {
        &self.dir
    }

    /// Removes the directory of the run with the logs, which are needed only after a violation.
    pub(crate) fn remove_logs(&self) -> Result<()> {
        fs::remove_dir_all(&self.dir).wrap_err("cannot remove the logs of the run")
    }
}

impl Instance {
    fn new(number: usize, binary: &Path, dir: &Path, store: SocketAddr) -> Result<Self> {
        let name = format!("edge-{number}");
        let (callers, admin) = (free_port(TcpListener::bind)?, free_port(TcpListener::bind)?);
        let peers = free_port(UdpSocket::bind)?;
        let store_link = Link::spawn(store);
        let text = InstanceSettings {
            name: &name,
            failure_domain: DOMAINS[number % DOMAINS.len()],
            callers,
            admin,
            peers,
            store: store_link.address,
            budget_window: BUDGET_WINDOW,
            max_descriptors: MAX_DESCRIPTORS,
            revocation: Some(REVOCATION_BOUND),
            memory_mb: None,
        };
        let text = text.to_toml();
        let settings = dir.join(format!("{name}.toml"));
        fs::write(&settings, text).wrap_err("cannot write the settings of an instance")?;
        let log = dir.join(format!("{name}.log"));
        let caller_link = Link::spawn(callers);
        let binary = binary.to_owned();
        let mut instance =
            Self { name, binary, settings, log, admin, caller_link, store_link, child: None };
        instance.start()?;
        Ok(instance)
    }

    /// Starts a process. Its log is appended to the log of the previous process.
    pub(crate) fn start(&mut self) -> Result<()> {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.wrap_err("cannot open the log of an instance")?;
        let child = Command::new(&self.binary)
            .arg("platform")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .wrap_err_with(|| format!("cannot start {}", self.name))?;
        self.child = Some(child);
        Ok(())
    }

    /// Returns true if a process was started and its exit has not been noticed.
    pub(crate) fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Sends a signal to the process, if there is one.
    pub(crate) fn signal(&self, signal: Signal) -> Result<()> {
        let Some(child) = &self.child else { return Ok(()) };
        // The program `kill` once sent a signal 6 s late, while the machine was busy.
        kill_process(Pid::from_child(child), signal)
            .wrap_err_with(|| format!("cannot send {signal:?} to {}", self.name))
    }

    /// Kills the process, if there is one, and waits for its end.
    pub(crate) fn kill(&mut self) -> Result<()> {
        let Some(mut child) = self.child.take() else { return Ok(()) };
        child.kill()?;
        child.wait()?;
        Ok(())
    }

    /// Returns the exit status of the process once, after it has exited.
    pub(crate) fn take_exit_status(&mut self) -> Result<Option<ExitStatus>> {
        let Some(child) = &mut self.child else { return Ok(None) };
        let status = child.try_wait()?;
        if status.is_some() {
            self.child = None;
        }
        Ok(status)
    }

    /// Returns the address of the readiness listener.
    pub(crate) fn admin(&self) -> SocketAddr {
        self.admin
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        if let Err(error) = self.kill() {
            eprintln!("{} may still be running: {error:#}", self.name);
        }
    }
}

/// Returns true if an instance reports that it is ready.
pub(crate) async fn is_ready(admin: SocketAddr) -> bool {
    let response = Call::get("admin", "/cactustrack/ready").send_async(admin).await;
    response.is_ok_and(|response| response.status == StatusCode::OK)
}

fn arrival(upstream: usize, started: Instant, request: &ReceivedRequest) -> Arrival {
    let text = |value: &HeaderValue| String::from_utf8_lossy(value.as_bytes()).into_owned();
    let accounts = request.headers.get_all("cactustrack-tenant").iter().map(text).collect();
    Arrival {
        id: request.headers.get("x-tag").map(text).unwrap_or_default(),
        upstream,
        at: request.at.saturating_duration_since(started),
        accounts,
        has_authorization: request.headers.contains_key("authorization"),
    }
}

/// Returns the behaviour of an upstream without a fault.
pub(crate) fn healthy_behaviour() -> Behaviour {
    Behaviour { latency: SERVICE_TIME, records_headers: true, ..Behaviour::default() }
}

fn entry_key(number: usize) -> String {
    documents::upstream_key(&format!("up-{number}"))
}

/// Returns the path of the program under test, which cargo puts in the parent of the directory of
/// the examples.
fn binary() -> Result<PathBuf> {
    let path = std::env::current_exe().wrap_err("cannot find the path of this program")?;
    let dir = path.parent().and_then(Path::parent);
    let binary = dir
        .ok_or_else(|| eyre!("the path of this program has no parent directory"))?
        .join("cactustrackd");
    ensure!(binary.is_file(), "{} is missing, build it first", binary.display());
    Ok(binary)
}

/// Returns a free port of [`PORTS`], and another one in each call.
fn free_port<T>(bind: impl Fn(SocketAddr) -> io::Result<T>) -> Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let count = u32::from(PORTS.end - PORTS.start);
    // Runs at the same time start at different ports.
    let first = std::process::id().wrapping_mul(64);
    let ports = (0..count).map(|_| first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)));
    let mut addresses = ports.map(|number| {
        let port = PORTS.start + u16::try_from(number % count).expect("a port of the range");
        SocketAddr::from((Ipv4Addr::LOCALHOST, port))
    });
    let free = addresses.find(|address| bind(*address).is_ok());
    free.ok_or_else(|| eyre!("no port is free"))
}
