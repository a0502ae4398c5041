//! Caller loops behind a load balancer, and what they were told.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use cactustrack_test_support::caller::{Call, CallResponse};
use cactustrack_test_support::upstream::byte_at;
use cactustrack_types::RequestClass;
use derive_more::Display;
use futures::future::{join, join_all};

use crate::fleet::{Directory, Endpoint, ServiceCase, lock};

/// Caller loops and the pause of each between two requests, by class.
const fn load(class: RequestClass) -> (usize, Duration) {
    match class {
        RequestClass::Idempotent => (6, Duration::from_millis(10)),
        RequestClass::NonIdempotent => (4, Duration::from_millis(15)),
        RequestClass::Large => (2, Duration::from_millis(40)),
    }
}

/// Size of a large response.
const LARGE_BYTES: usize = 300_000;

/// One in this many non-idempotent requests is sent twice at the same time.
const REPEAT_EVERY: u64 = 4;

/// Time after which a caller loop gives up. Longer than the time limits of the questionnaires
/// that apply to the short requests of the example.
const CALLER_PATIENCE: Duration = Duration::from_secs(20);

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Ending {
    /// Complete response to the request.
    #[display("ok")]
    Ok,
    /// Response of an upstream that reports a failure.
    #[display("failed by the upstream")]
    UpstreamError,
    /// Rejected, stated as not executed.
    #[display("rejected as not_run")]
    NotRun,
    /// A repeat of a request that may still be running.
    #[display("in progress")]
    InProgress,
    /// Rejected, stated as possibly executed.
    #[display("unknown")]
    Unknown,
    /// A repeat of a request that was executed.
    #[display("already completed")]
    AlreadyCompleted,
    /// A body that was visibly not completed.
    #[display("cut short")]
    CutShort,
    /// The connection was refused, so nothing was sent.
    #[display("connection refused")]
    Refused,
    /// The connection broke without an answer.
    #[display("without a response")]
    Broken,
    /// A response to another request, or an incomplete one that looked complete.
    #[display("wrong")]
    Wrong,
}

/// One request and its ending.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) class: RequestClass,
    /// Names the attempt, see [`key_of`].
    pub(crate) tag: String,
    /// Instance and its life.
    pub(crate) instance: (String, u64),
    pub(crate) ended: Instant,
    pub(crate) ending: Ending,
}

/// All requests that ended.
pub(crate) type Ledger = Arc<Mutex<Vec<Entry>>>;

/// Caller loops on a thread of their own.
pub(crate) struct Traffic {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Traffic {
    /// Starts the caller loops of all services.
    pub(crate) fn start(services: &[ServiceCase], directory: &Directory, ledger: &Ledger) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let loops: Vec<CallerLoop> = services
            .iter()
            .flat_map(|case| (0..load(case.class).0).map(move |number| (case.clone(), number)))
            .map(|(case, number)| CallerLoop {
                case,
                number,
                directory: Arc::clone(directory),
                ledger: Arc::clone(ledger),
                stop: Arc::clone(&stop),
            })
            .collect();
        let thread = thread::spawn(move || {
            let runtime = compio::runtime::Runtime::new().expect("a runtime for the callers");
            runtime.block_on(join_all(loops.iter().map(CallerLoop::run)));
        });
        Self { stop, thread: Some(thread) }
    }

    /// Ends the loops after their requests in flight.
    pub(crate) fn stop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Traffic {
    fn drop(&mut self) {
        self.stop();
    }
}

struct CallerLoop {
    case: ServiceCase,
    number: usize,
    directory: Directory,
    ledger: Ledger,
    stop: Arc<AtomicBool>,
}

impl CallerLoop {
    async fn run(&self) {
        let mut sent = 0;
        while !self.stop.load(Ordering::SeqCst) {
            sent += 1;
            let tag = format!("{}-{}-{sent}", self.case.id, self.number);
            match self.case.class {
                RequestClass::NonIdempotent if sent % REPEAT_EVERY == 0 => {
                    let (first, second) = (format!("{tag}/1"), format!("{tag}/2"));
                    join(self.send(&first), self.send(&second)).await;
                }
                _ => self.send(&format!("{tag}/1")).await,
            }
            compio::time::sleep(load(self.case.class).1).await;
        }
    }

    async fn send(&self, tag: &str) {
        let Some(endpoint) = self.choose() else { return };
        let ending = send(&self.case, tag, LARGE_BYTES, endpoint.addresses.callers).await;
        let instance = (endpoint.id, endpoint.life);
        let class = self.case.class;
        let entry = Entry { class, tag: tag.to_owned(), instance, ended: Instant::now(), ending };
        lock(&self.ledger).push(entry);
    }

    fn choose(&self) -> Option<Endpoint> {
        let directory = lock(&self.directory);
        let ready: Vec<&Endpoint> = directory.iter().filter(|endpoint| endpoint.ready).collect();
        if ready.is_empty() {
            return None;
        }
        Some(ready[rand::random_range(0..ready.len())].clone())
    }
}

/// Idempotency key of an attempt, whose tag is the key, a slash and a number.
pub(crate) fn key_of(tag: &str) -> &str {
    tag.rsplit_once('/').map_or(tag, |(key, _)| key)
}

/// Builds the request of a class.
fn request(case: &ServiceCase, tag: &str, large_bytes: usize) -> Call {
    let call = match case.class {
        RequestClass::Idempotent => Call::get(&case.host, "/search"),
        RequestClass::NonIdempotent => {
            let call = Call::post(&case.host, "/apply").with_body(tag.to_owned());
            call.with_header("idempotency-key", key_of(tag))
        }
        RequestClass::Large => Call::get(&case.host, &format!("/bytes/{large_bytes}")),
    };
    call.with_header("x-tag", tag).with_header("cactustrack-account", "staff")
}

/// Sends a request and says how it ended.
pub(crate) async fn send(
    case: &ServiceCase,
    tag: &str,
    large_bytes: usize,
    address: SocketAddr,
) -> Ending {
    let call = request(case, tag, large_bytes);
    match compio::time::timeout(CALLER_PATIENCE, call.send_async(address)).await {
        Ok(Ok(reply)) => classify(case, tag, large_bytes, &reply),
        Ok(Err(error)) => match error.downcast_ref::<std::io::Error>() {
            Some(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => Ending::Refused,
            _ => Ending::Broken,
        },
        Err(_) => Ending::Broken,
    }
}

/// Compares a response with the request that it must answer.
pub(crate) fn classify(
    case: &ServiceCase,
    tag: &str,
    large_bytes: usize,
    reply: &CallResponse,
) -> Ending {
    match reply.execution() {
        Some("not_run") => return Ending::NotRun,
        Some("completed") => return Ending::AlreadyCompleted,
        Some(_) if reply.status == 409 => return Ending::InProgress,
        Some(_) => return Ending::Unknown,
        None => {}
    }
    if !reply.is_complete {
        return Ending::CutShort;
    }
    if reply.status.is_server_error() {
        return Ending::UpstreamError;
    }
    let is_right = match case.class {
        RequestClass::Large => is_generated(&reply.body, large_bytes),
        _ => reply.text().contains(&format!("\"tag\":\"{tag}\"")),
    };
    if reply.status == 200 && is_right { Ending::Ok } else { Ending::Wrong }
}

fn is_generated(body: &[u8], total: usize) -> bool {
    let is_expected = |(offset, byte): (usize, &u8)| *byte == byte_at(offset as u64);
    body.len() == total && body.iter().enumerate().all(is_expected)
}

/// Number of requests by ending.
pub(crate) fn count_endings<'a>(
    entries: impl Iterator<Item = &'a Entry>,
) -> BTreeMap<Ending, usize> {
    let mut counts = BTreeMap::new();
    for entry in entries {
        *counts.entry(entry.ending).or_default() += 1;
    }
    counts
}
