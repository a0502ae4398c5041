//! Measures the processor time of a real instance with many services and upstreams but no requests.

use std::fmt::Write as _;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use cactustrack::cli::{self, Exit};
use cactustrack::daemon::Instance;
use cactustrack_test_support::instance_list::FakeInstanceList;
use cactustrack_test_support::store::FakeStore;
use cactustrack_types::{Incarnation, Listing, ListingState, Role};
use slog::{Discard, Logger, o};

use crate::process;

/// Real time before the measurement, in which the instance starts.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Real time of the measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(5);
/// Number of upstreams of each service.
pub(crate) const UPSTREAMS_PER_SERVICE: usize = 29;
const KEY: &str = "0123456789abcdef0123456789abcdef";

/// Returns the processor time that planning takes for `services` services, as a share of a core.
pub(crate) fn measure(services: usize) -> f64 {
    let dir = std::env::temp_dir().join(format!("cactustrack-plan-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("the directory is created");
    let store = FakeStore::spawn_thread().expect("the store starts");
    let list = FakeInstanceList::spawn(listings(services));
    accept(&dir, &store.url(), services);
    let settings = dir.join("instance.toml");
    fs::write(&settings, settings_text(&store.url(), &list.url()))
        .expect("the settings are written");
    let (tx, rx) = mpsc::channel();
    let thread = thread::spawn(move || {
        let loaded =
            cli::load_settings(&settings).expect("readable settings").expect("valid settings");
        let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
        runtime.block_on(async {
            let log = Logger::root(Discard, o!());
            let (instance, stop) =
                Instance::start(&loaded, log).await.expect("the instance starts");
            let running = compio::runtime::spawn(instance.run());
            compio::time::sleep(SETTLE_TIME).await;
            let before = process::cpu_seconds();
            compio::time::sleep(MEASUREMENT_TIME).await;
            let used = process::cpu_seconds() - before;
            let _ = tx.send(used / MEASUREMENT_TIME.as_secs_f64());
            stop.stop();
            let _ = running.await;
        });
    });
    let share = rx.recv().expect("the thread sends a measurement");
    let _ = thread.join();
    let _ = fs::remove_dir_all(&dir);
    share
}

fn listings(services: usize) -> Vec<Listing> {
    let all = (0..services * UPSTREAMS_PER_SERVICE).map(|number| {
        let service = number / UPSTREAMS_PER_SERVICE;
        let [_, a, b, c] = u32::try_from(number + 1).unwrap_or(1).to_be_bytes();
        Listing {
            id: format!("up-{number}").into(),
            role: Role::Upstream { service: format!("service-{service}").into() },
            // Nothing is sent to these addresses, because there are no requests.
            address: SocketAddr::from(([127, a, b, c], 9)),
            failure_domain: format!("domain-{}", number % 6).into(),
            region: "region-1".into(),
            incarnation: Incarnation(1),
            state: ListingState::Live,
        }
    });
    all.collect()
}

fn accept(dir: &Path, store: &str, services: usize) {
    let mut text = "team = \"bench\"\n".to_owned();
    for service in 0..services {
        write!(
            text,
            "\n[[services]]\nid = \"service-{service}\"\nhost = \"s{service}.test\"\nslots = 4\n\
             connections = 400\nupstreams = {UPSTREAMS_PER_SERVICE}\nhealthy_capacity = 20\n\
             hurts_more = \"balanced\"\ncold_start_ms = 1000\nservice_time_ms = 5\n\n\
             [[services.routes]]\npath = \"/\"\nrepeatable = true\ntimeout_ms = 3000\n"
        )
        .expect("writing to a string succeeds");
    }
    let file = dir.join("questionnaire.toml");
    fs::write(&file, text).expect("the questionnaire is written");
    let file = file.display().to_string();
    let arguments = ["cactustrack", "accept", &file, "--store", store, "--seen", "0"];
    let arguments = [&arguments[..], &["--author", "bench", "--reason", "bench"]].concat();
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = cli::run(arguments.into_iter().map(Into::into), &mut out, &mut err);
    assert_eq!(exit, Exit::Ok, "{}", String::from_utf8_lossy(&err));
}

fn settings_text(store: &str, list: &str) -> String {
    format!(
        "instance_list = {{ url = \"{list}\" }}\n\
         [instance]\nid = \"bench\"\nregion = \"region-1\"\nfailure_domain = \"domain-1\"\n\
         [listen]\ncallers = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n\
         [store]\nendpoints = [\"{store}\"]\nprefix = \"cactustrack/\"\n\
         [peers]\nkey = \"{KEY}\"\n[admin]\nkey = \"{KEY}\"\n[limits]\nshutdown_grace_ms = 1\n"
    )
}
