//! One instance with its stand-ins.

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
const START_LIMIT: Duration = Duration::from_secs(20);

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

/// A running instance. Its thread ends with the process.
pub(crate) struct Stage {
    pub(crate) callers: SocketAddr,
    pub(crate) upstreams: FakeUpstreams,
    /// Path of the kernel's accounting of the instance's thread.
    pub(crate) instance_thread: String,
    _store: FakeStoreThread,
    _list: FakeInstanceList,
}

impl Stage {
    pub(crate) fn start() -> Self {
        let dir = std::env::temp_dir().join(format!("cactustrack-bench-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("a directory");
        let ids: Vec<String> = (0..UPSTREAMS).map(|n| format!("svc-{n}")).collect();
        let upstreams = FakeUpstreams::spawn(&ids, &Behaviour::default());
        let store = FakeStore::spawn_thread().expect("a store");
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
        fs::write(&questionnaire, QUESTIONNAIRE).expect("a file");
        accept(&questionnaire.display().to_string(), &store.url());
        let settings = dir.join("settings.toml");
        fs::write(&settings, settings_text(&list.url(), &store.url())).expect("a file");
        let (tx, rx) = mpsc::channel();
        thread::spawn(move || run_instance(&settings, &tx));
        let (addresses, instance_thread) = rx.recv().expect("an instance");
        let _ = fs::remove_dir_all(dir);
        wait_ready(addresses.admin);
        let callers = addresses.callers;
        Self { callers, upstreams, instance_thread, _store: store, _list: list }
    }

    /// Opens connections to the instance that carry no request.
    pub(crate) fn idle_connections(&self, count: usize) -> Vec<TcpStream> {
        (0..count).map(|_| TcpStream::connect(self.callers).expect("a connection")).collect()
    }

    /// Requests that the upstreams have received.
    pub(crate) fn upstream_requests(&self) -> u64 {
        self.upstreams.all.iter().map(|upstream| upstream.control.requests()).sum()
    }
}

fn accept(questionnaire: &str, store: &str) {
    let arguments = ["cactustrack", "accept", questionnaire, "--store", store, "--seen", "0"];
    let more = ["--author", "bench", "--reason", "bench"];
    let all = arguments.iter().chain(&more).map(std::ffi::OsString::from);
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
    let loaded = load_settings(settings).expect("a readable file");
    let checked = loaded.unwrap_or_else(|findings| panic!("{findings}"));
    let thread = fs::read_link("/proc/thread-self").expect("the path of this thread");
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let log = Logger::root(Discard, o!());
        let (instance, _stop) = Instance::start(&checked, log).await.expect("an instance");
        let _ = tx.send((instance.addresses(), format!("/proc/{}", thread.display())));
        instance.run().await;
    });
}

fn wait_ready(admin: SocketAddr) {
    let (started, ready) = (Instant::now(), Call::get("admin", "/ready"));
    while !ready.send(admin).is_ok_and(|reply| reply.status.is_success()) {
        assert!(started.elapsed() < START_LIMIT, "the instance is not ready");
        thread::sleep(Duration::from_millis(20));
    }
}

/// CPU time that a thread has used.
pub(crate) fn thread_cpu(thread: &str) -> Duration {
    // The first field is the time on a core in nanoseconds.
    let text = fs::read_to_string(format!("{thread}/schedstat")).expect("accounting of a thread");
    let nanos = text.split_whitespace().next().and_then(|field| field.parse().ok());
    Duration::from_nanos(nanos.expect("a number of nanoseconds"))
}
