//! Test harness: fakes of the platform, and instances in separate processes.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use cactustrack::cli::{self, Exit};
use cactustrack_test_support::caller::{Call, CallResponse};
use cactustrack_test_support::instance_list::FakeInstanceList;
use cactustrack_test_support::store::{FakeStore, FakeStoreThread};
use cactustrack_test_support::upstream::{Behaviour, FakeUpstreams, UpstreamControl};
use cactustrack_types::{Incarnation, Listing, ListingState, Role};
use serde_json::Value;

/// Key of the admin listeners and of the peer protocol.
pub(super) const KEY: &str = "0123456789abcdef0123456789abcdef";

/// Timeout for a condition that must become true. It has an effect only if the test fails, so it is
/// much longer than any pause of a busy machine.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

const FAILURE_DOMAINS: [&str; 3] = ["domain-a", "domain-b", "domain-c"];

/// A service of the test fleet. All its requests have the same class.
#[derive(Clone, Copy)]
pub(super) struct ServiceCase {
    pub(super) id: &'static str,
    pub(super) upstreams: u32,
    pub(super) floor: u32,
    pub(super) repeatable: bool,
    pub(super) large: bool,
}

pub(super) const SEARCH: ServiceCase =
    ServiceCase { id: "search", upstreams: 5, floor: 3, repeatable: true, large: false };
pub(super) const ORDERS: ServiceCase =
    ServiceCase { id: "orders", upstreams: 4, floor: 2, repeatable: false, large: false };
pub(super) const FILES: ServiceCase =
    ServiceCase { id: "files", upstreams: 3, floor: 2, repeatable: true, large: true };

/// Fakes and instances of one test. They are stopped and their files removed on drop.
pub(super) struct Fleet {
    pub(super) store: FakeStoreThread,
    pub(super) list: FakeInstanceList,
    /// A fake trace collector.
    traces: FakeUpstreams,
    upstreams: BTreeMap<&'static str, FakeUpstreams>,
    instances: Vec<Process>,
    cases: Vec<ServiceCase>,
    dir: PathBuf,
}

/// One instance in a process of its own.
pub(super) struct Process {
    pub(super) id: String,
    pub(super) callers: SocketAddr,
    pub(super) admin: SocketAddr,
    pub(super) peers: SocketAddr,
    child: Child,
    log: Arc<Mutex<Vec<Value>>>,
}

impl Fleet {
    /// Starts the fakes, accepts a first configuration, starts the instances and waits until they
    /// are ready.
    pub(super) fn start(cases: &[ServiceCase], instances: usize) -> Self {
        let mut fleet = Self::without_instances(cases);
        let accepted = fleet.accept(0, "first configuration", &fleet.questionnaire());
        assert_eq!(accepted.0, Exit::Ok, "{}", accepted.1);
        for _ in 0..instances {
            fleet.start_instance();
        }
        for instance in 0..instances {
            fleet.wait_ready(instance);
        }
        fleet
    }

    /// Starts the fakes only.
    pub(super) fn without_instances(cases: &[ServiceCase]) -> Self {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!("cactustrack-{}-{number}", std::process::id()));
        fs::create_dir_all(&dir).expect("a directory for the test");
        fs::write(dir.join("admin.key"), KEY).expect("a key file");
        let mut upstreams = BTreeMap::new();
        for case in cases {
            let ids: Vec<String> =
                (0..case.upstreams).map(|n| format!("{}-{n}", case.id)).collect();
            upstreams.insert(case.id, FakeUpstreams::spawn(&ids, &Behaviour::default()));
        }
        let store = FakeStore::spawn_thread().expect("a store");
        let list = FakeInstanceList::spawn(Vec::new());
        let traces = FakeUpstreams::spawn(&["traces".to_owned()], &Behaviour::default());
        let cases = cases.to_vec();
        let fleet = Self { store, list, traces, upstreams, instances: Vec::new(), cases, dir };
        fleet.publish_list();
        fleet
    }

    /// Returns a questionnaire for the services of this fleet.
    pub(super) fn questionnaire(&self) -> String {
        let mut text = "team = \"test\"\n".to_owned();
        for case in &self.cases {
            let ServiceCase { id, upstreams, floor, repeatable, large } = case;
            text += &format!(
                "\n[[services]]\nid = \"{id}\"\nhost = \"{id}.test\"\nslots = 4\n\
                 connections = 400\nupstreams = {upstreams}\nhealthy_capacity = {floor}\n\
                 hurts_more = \"balanced\"\ncold_start_ms = 1000\nservice_time_ms = 5\n\n\
                 [[services.routes]]\npath = \"/\"\nrepeatable = {repeatable}\nlarge_response = {large}\n\
                 timeout_ms = 3000\nmax_timeout_ms = 20000\n"
            );
        }
        text
    }

    /// Runs the command line tool and returns its exit code and output.
    pub(super) fn cli(&self, arguments: &[&str]) -> (Exit, String) {
        let mut all: Vec<OsString> = vec!["cactustrack".into()];
        all.extend(arguments.iter().map(OsString::from));
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let exit = cli::run(all, &mut out, &mut err);
        out.extend(err);
        (exit, String::from_utf8_lossy(&out).into_owned())
    }

    /// Accepts a questionnaire that is based on version `seen`.
    pub(super) fn accept(&self, seen: u64, reason: &str, questionnaire: &str) -> (Exit, String) {
        self.accept_as("test", seen, reason, questionnaire)
    }

    /// Accepts a questionnaire as `author`.
    pub(super) fn accept_as(
        &self,
        author: &str,
        seen: u64,
        reason: &str,
        questionnaire: &str,
    ) -> (Exit, String) {
        let file = self.write(&format!("{author}-{seen}.toml"), questionnaire);
        let (file, seen) = (file.display().to_string(), seen.to_string());
        let url = self.store.url();
        let arguments = ["accept", &file, "--store", &url, "--seen", &seen, "--author", author];
        self.cli(&[&arguments[..], &["--reason", reason]].concat())
    }

    /// Replaces addresses, paths and times of this run by placeholders.
    pub(super) fn normalize(&self, text: &str) -> String {
        let text = text.replace(&self.store.url(), "URL");
        let text = text.replace(&self.store.address().to_string(), "ADDRESS");
        let text = text.replace(&format!("{}/", self.dir.display()), "");
        let lines = text.lines().map(|line| match line.split_once("Z version ") {
            Some((time, rest)) if time.len() >= 19 => format!("TIME version {rest}\n"),
            _ => format!("{line}\n"),
        });
        lines.collect()
    }

    /// Writes a file into the directory of the test.
    pub(super) fn write(&self, name: &str, text: &str) -> PathBuf {
        let file = self.dir.join(name);
        fs::write(&file, text).expect("a file of the test");
        file
    }

    /// Starts one more instance and returns its number.
    pub(super) fn start_instance(&mut self) -> usize {
        self.start_instance_with_list(&self.list.url())
    }

    /// Starts one more instance, which reads the instance list at the URL `list`.
    pub(super) fn start_instance_with_list(&mut self, list: &str) -> usize {
        let number = self.instances.len();
        let bootstrap: Vec<String> =
            self.instances.iter().map(|instance| format!("\"{}\"", instance.peers)).collect();
        let settings = format!(
            "instance_list = {{ url = \"{list}\" }}\n\
             [instance]\nid = \"instance-{number}\"\nregion = \"region-1\"\n\
             failure_domain = \"{}\"\n\
             [listen]\ncallers = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n\
             [store]\nendpoints = [\"{}\"]\nprefix = \"cactustrack/\"\n\
             [peers]\nbootstrap = [{}]\nkey = \"{KEY}\"\n[admin]\nkey = \"{KEY}\"\n\
             [log]\nformat = \"json\"\nlevel = \"info\"\n[limits]\nshutdown_grace_ms = 200\n\
             [trace]\notlp_endpoint = \"http://{}/v1/traces\"\n",
            FAILURE_DOMAINS[number % FAILURE_DOMAINS.len()],
            self.store.url(),
            bootstrap.join(", "),
            self.traces.all[0].address,
        );
        let file = self.write(&format!("instance-{number}.toml"), &settings);
        self.instances.push(Process::start(&format!("instance-{number}"), &file));
        self.publish_list();
        number
    }

    /// Publishes upstreams and running instances in the instance list.
    pub(super) fn publish_list(&self) {
        self.list.set(self.entries());
    }

    /// Returns the instance list entries of upstreams and running instances.
    pub(super) fn entries(&self) -> Vec<Listing> {
        let mut entries = Vec::new();
        for (service, upstreams) in &self.upstreams {
            for (number, upstream) in upstreams.all.iter().enumerate() {
                let role = Role::Upstream { service: (*service).into() };
                entries.push(listing(&upstream.id, role, upstream.address, number));
            }
        }
        for (number, instance) in self.instances.iter().enumerate() {
            entries.push(listing(&instance.id, Role::Instance, instance.peers, number));
        }
        entries
    }

    pub(super) fn instance(&mut self, number: usize) -> &mut Process {
        &mut self.instances[number]
    }

    /// Returns the address of an instance for callers.
    pub(super) fn callers(&self, number: usize) -> SocketAddr {
        self.instances[number].callers
    }

    /// Returns the faults and counters of one upstream.
    pub(super) fn upstream(&self, service: &str, number: usize) -> &Arc<UpstreamControl> {
        &self.upstreams[service].all[number].control
    }

    /// Returns the number of upstreams of a service.
    pub(super) fn upstreams(&self, service: &str) -> usize {
        self.upstreams[service].all.len()
    }

    /// Sends a request through an instance.
    pub(super) fn call(&self, instance: usize, call: &Call) -> CallResponse {
        call.send(self.instances[instance].callers).expect("a response")
    }

    /// Returns the requests that the trace collector has received.
    pub(super) fn exports(&self) -> Vec<String> {
        self.traces.all[0].control.executed()
    }

    /// Returns the requests that the upstreams of a service have executed.
    pub(super) fn executed(&self, service: &str) -> Vec<String> {
        self.upstreams[service]
            .all
            .iter()
            .flat_map(|upstream| upstream.control.executed())
            .collect()
    }

    pub(super) fn wait_ready(&self, instance: usize) {
        let admin = self.instances[instance].admin;
        let ready = Call::get("admin", "/ready");
        wait_until("the instance is ready", || {
            ready.send(admin).is_ok_and(|response| response.status.is_success())
        });
    }

    /// Returns the status document of an instance.
    pub(super) fn status(&self, instance: usize) -> Value {
        serde_json::from_slice(&self.admin(instance, "/status").body).expect("a JSON status")
    }

    /// Sends a request to the admin listener of an instance.
    pub(super) fn admin(&self, instance: usize, path: &str) -> CallResponse {
        let call = Call::get("admin", path).with_header("authorization", &format!("Bearer {KEY}"));
        call.send(self.instances[instance].admin).expect("a response")
    }

    /// Returns the URL of the admin listener of an instance.
    pub(super) fn admin_url(&self, instance: usize) -> String {
        format!("http://{}", self.instances[instance].admin)
    }

    /// Returns the path of a file with the admin key.
    pub(super) fn key_file(&self) -> String {
        self.dir.join("admin.key").display().to_string()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.instances.clear();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

fn listing(id: &str, role: Role, address: SocketAddr, number: usize) -> Listing {
    Listing {
        id: id.into(),
        role,
        address,
        failure_domain: FAILURE_DOMAINS[number % FAILURE_DOMAINS.len()].into(),
        region: "region-1".into(),
        incarnation: Incarnation(1),
        state: ListingState::Live,
    }
}

impl Process {
    fn start(id: &str, settings: &Path) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_cactustrackd"))
            .arg("run")
            .arg(settings)
            .stderr(Stdio::piped())
            .spawn()
            .expect("an instance process");
        let log = Arc::new(Mutex::new(Vec::new()));
        let lines = BufReader::new(child.stderr.take().expect("a pipe")).lines();
        let written = Arc::clone(&log);
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                let value = serde_json::from_str(&line).unwrap_or(Value::String(line));
                written.lock().expect("the log").push(value);
            }
        });
        let mut listening = Value::Null;
        wait_until("the instance listens", || {
            let log = log.lock().expect("the log");
            let line = log.iter().find(|line| line["msg"] == "proxy: listening");
            listening = line.cloned().unwrap_or_default();
            !listening.is_null()
        });
        let address = |name: &str| {
            let text = listening[name].as_str().expect("an address in the log");
            text.parse().expect("a socket address")
        };
        let (callers, admin, peers) = (address("callers"), address("admin"), address("peers"));
        Self { id: id.to_owned(), callers, admin, peers, child, log }
    }

    /// Returns the log lines written so far.
    pub(super) fn log(&self) -> Vec<Value> {
        self.log.lock().expect("the log").clone()
    }

    /// Sends a signal.
    pub(super) fn signal(&self, signal: i32) {
        let pid = i32::try_from(self.child.id()).expect("a process id");
        // SAFETY: kill has no memory effects; the process was started and not yet waited for.
        #[allow(unsafe_code)]
        let result = unsafe { libc::kill(pid, signal) };
        assert_eq!(result, 0, "the process runs");
    }

    /// Kills the process and waits for its end.
    pub(super) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Writes the log to a file that remains after a failed test, for diagnosis.
    fn save_log(&self) {
        let name = format!("cactustrack-failed-{}-{}.log", std::process::id(), self.id);
        let path = std::env::temp_dir().join(name);
        let lines: Vec<String> = self.log().iter().map(Value::to_string).collect();
        match fs::write(&path, lines.join("\n")) {
            Ok(()) => eprintln!("log of {}: {}", self.id, path.display()),
            Err(error) => eprintln!("cannot write the log of {}: {error}", self.id),
        }
    }

    /// Returns true if the process has exited with success.
    pub(super) fn has_stopped(&mut self) -> bool {
        self.child.try_wait().expect("a process").is_some_and(|status| status.success())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        if thread::panicking() {
            self.save_log();
        }
    }
}

/// Waits until `condition` returns true.
///
/// # Panics
///
/// Panics with `what` after [`WAIT_LIMIT`].
pub(super) fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < WAIT_LIMIT, "timed out waiting until {what}");
        thread::sleep(Duration::from_millis(20));
    }
}
