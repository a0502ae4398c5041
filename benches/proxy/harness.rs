//! Starts one instance with a fake store, a fake instance list and fake upstreams.

use std::fs;
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use cactustrack::cli::{self, Exit, load_settings};
use cactustrack::daemon::{Addresses, Instance};
use cactustrack_test_support::caller::Call;
use cactustrack_test_support::instance_list::FakeInstanceList;
use cactustrack_test_support::store::{FakeStore, FakeStoreThread};
use cactustrack_test_support::upstream::{Behaviour, FakeUpstreams};
use cactustrack_types::{Incarnation, Listing, ListingState, Role};
use slog::{Discard, Logger, o};

const KEY: &str = "0123456789abcdef0123456789abcdef";
const UPSTREAMS: usize = 4;
/// Time limit until the instance is ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

const QUESTIONNAIRE: &str = r#"team = "bench"
[[services]]
id = "svc"
host = "svc.test"
slots = 200
connections = 1000
upstreams = 4
healthy_capacity = 2
hurts_more = "balanced"
cold_start_ms = 1000
service_time_ms = 5
[[services.routes]]
path = "/"
repeatable = true
large_response = false
timeout_ms = 3000
max_timeout_ms = 20000
[[services.routes]]
path = "/bytes"
repeatable = true
large_response = true
timeout_ms = 3000
max_timeout_ms = 20000
"#;

/// A running instance with its environment. The instance's thread runs until the process exits.
pub(crate) struct Harness {
    pub(crate) callers: SocketAddr,
    pub(crate) upstreams: FakeUpstreams,
    /// Path in `/proc` of the instance's thread.
    pub(crate) instance_thread: String,
    _store: FakeStoreThread,
    _list: FakeInstanceList,
}

impl Harness {
    pub(crate) fn start() -> Self {
        let dir = std::env::temp_dir().join(format!("cactustrack-bench-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("the directory is created");
        let ids: Vec<String> = (0..UPSTREAMS).map(|n| format!("svc-{n}")).collect();
        let upstreams = FakeUpstreams::spawn(&ids, &Behaviour::default());
        let store = FakeStore::spawn_thread().expect("the store starts");
        let entries = upstreams.all.iter().map(|upstream| Listing {
            id: upstream.id.as_str().into(),
            role: Role::Upstream { service: "svc".into() },
            address: upstream.address,
            failure_domain: "domain-a".into(),
            region: "region-1".into(),
            incarnation: Incarnation(1),
            state: ListingState::Live,
        });
        let list = FakeInstanceList::spawn(entries.collect());
        let questionnaire = dir.join("questionnaire.toml");
        fs::write(&questionnaire, QUESTIONNAIRE).expect("the questionnaire is written");
        accept(&questionnaire.display().to_string(), &store.url());
        let settings = dir.join("settings.toml");
        fs::write(&settings, settings_text(&list.url(), &store.url()))
            .expect("the settings are written");
        let (tx, rx) = mpsc::channel();
        thread::spawn(move || run_instance(&settings, &tx));
        let (addresses, instance_thread) = rx.recv().expect("the instance starts");
        let _ = fs::remove_dir_all(dir);
        wait_ready(addresses.admin);
        let callers = addresses.callers;
        Self { callers, upstreams, instance_thread, _store: store, _list: list }
    }

    /// Opens connections to the instance on which no request is sent.
    pub(crate) fn idle_connections(&self, count: usize) -> Vec<TcpStream> {
        (0..count)
            .map(|_| TcpStream::connect(self.callers).expect("the connection opens"))
            .collect()
    }

    /// Returns the number of requests that the upstreams have received.
    pub(crate) fn upstream_requests(&self) -> u64 {
        self.upstreams.all.iter().map(|upstream| upstream.control.requests()).sum()
    }
}

fn accept(questionnaire: &str, store: &str) {
    let arguments = ["cactustrack", "accept", questionnaire, "--store", store, "--seen", "0"];
    let metadata = ["--author", "bench", "--reason", "bench"];
    let all = arguments.iter().chain(&metadata).map(std::ffi::OsString::from);
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = cli::run(all, &mut out, &mut err);
    assert_eq!(exit, Exit::Ok, "{}", String::from_utf8_lossy(&err));
}

fn settings_text(list: &str, store: &str) -> String {
    format!(
        "instance_list = {{ url = \"{list}\" }}\n\
         [instance]\nid = \"instance-0\"\nregion = \"region-1\"\nfailure_domain = \"domain-a\"\n\
         [listen]\ncallers = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n\
         [store]\nendpoints = [\"{store}\"]\nprefix = \"cactustrack/\"\n\
         [peers]\nbootstrap = []\nkey = \"{KEY}\"\n[admin]\nkey = \"{KEY}\"\n\
         [limits]\nhead_timeout_ms = 60000\n"
    )
}

fn run_instance(settings: &std::path::Path, tx: &mpsc::Sender<(Addresses, String)>) {
    let result = load_settings(settings).expect("the settings are readable");
    let loaded = result.unwrap_or_else(|findings| panic!("{findings}"));
    let thread = fs::read_link("/proc/thread-self").expect("/proc/thread-self is readable");
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(async {
        let log = Logger::root(Discard, o!());
        let (instance, _stop) = Instance::start(&loaded, log).await.expect("the instance starts");
        let _ = tx.send((instance.addresses(), format!("/proc/{}", thread.display())));
        instance.run().await;
    });
}

fn wait_ready(admin: SocketAddr) {
    let (started, ready) = (Instant::now(), Call::get("admin", "/ready"));
    while !ready.send(admin).is_ok_and(|response| response.status.is_success()) {
        assert!(started.elapsed() < START_TIMEOUT, "the instance is not ready in time");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Returns the CPU time that a thread has used.
pub(crate) fn thread_cpu(thread: &str) -> Duration {
    // The first field is the time spent on a CPU in nanoseconds.
    let text = fs::read_to_string(format!("{thread}/schedstat"))
        .expect("schedstat of the thread is readable");
    let nanos = text.split_whitespace().next().and_then(|field| field.parse().ok());
    Duration::from_nanos(nanos.expect("schedstat starts with a number"))
}
