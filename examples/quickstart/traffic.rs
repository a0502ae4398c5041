//! Callers that send requests through a load balancer, and the outcomes of their requests.

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

use crate::fleet::{Directory, Endpoint, ServiceSpec, lock};

/// Returns the number of caller loops for a service of a class, and the pause of each between two
/// requests.
const fn caller_load(class: RequestClass) -> (usize, Duration) {
    match class {
        RequestClass::Idempotent => (6, Duration::from_millis(10)),
        RequestClass::NonIdempotent | RequestClass::Upload => (4, Duration::from_millis(15)),
        RequestClass::Large => (2, Duration::from_millis(40)),
    }
}

/// Size of a large response in bytes.
const LARGE_BYTES: usize = 300_000;

/// One in this many non-idempotent requests of a loop is sent twice at the same time.
const REPEAT_EVERY: u64 = 4;

/// Time after which a caller abandons a request. It exceeds the timeouts of the questionnaires that
/// apply to the short requests of the example.
const CALLER_TIMEOUT: Duration = Duration::from_secs(20);

/// Outcome of a request for its caller.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Outcome {
    /// Complete response to this request.
    #[display("ok")]
    Ok,
    /// Response with a server error from an upstream.
    #[display("failed by the upstream")]
    UpstreamError,
    /// Rejection that states that the request was not executed.
    #[display("rejected as not_run")]
    NotExecuted,
    /// Rejection of a repeated request whose first execution may still be in progress.
    #[display("in progress")]
    InProgress,
    /// Rejection that states that the request may have been executed.
    #[display("unknown")]
    Unknown,
    /// Rejection of a repeated request that was already executed.
    #[display("already completed")]
    AlreadyCompleted,
    /// Response whose body ended visibly before it was complete.
    #[display("truncated")]
    Truncated,
    /// The connection was refused, so that nothing was sent.
    #[display("connection refused")]
    Refused,
    /// The connection broke before a response head arrived, or the caller timed out.
    #[display("without a response")]
    NoResponse,
    /// Response to another request, or an incomplete one that looks complete.
    #[display("wrong")]
    Wrong,
}

/// A request with its outcome.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecord {
    pub(crate) class: RequestClass,
    /// Identifies the request; see [`key_of`].
    pub(crate) tag: String,
    /// Id and incarnation of the instance.
    pub(crate) instance: (String, u64),
    pub(crate) ended: Instant,
    pub(crate) outcome: Outcome,
}

/// Records of all requests that have ended.
pub(crate) type RequestLog = Arc<Mutex<Vec<RequestRecord>>>;

/// Caller loops on their own thread. Dropping it stops them.
pub(crate) struct Traffic {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Traffic {
    /// Starts the caller loops of all services.
    pub(crate) fn start(
        services: &[ServiceSpec],
        directory: &Directory,
        request_log: &RequestLog,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let loops: Vec<CallerLoop> = services
            .iter()
            .flat_map(|spec| {
                (0..caller_load(spec.class).0).map(move |number| (spec.clone(), number))
            })
            .map(|(spec, number)| CallerLoop {
                spec,
                number,
                directory: Arc::clone(directory),
                request_log: Arc::clone(request_log),
                stop: Arc::clone(&stop),
            })
            .collect();
        let thread = thread::spawn(move || {
            let runtime = compio::runtime::Runtime::new().expect("a runtime for the callers");
            runtime.block_on(join_all(loops.iter().map(CallerLoop::run)));
        });
        Self { stop, thread: Some(thread) }
    }

    /// Stops the loops once their requests in flight have ended.
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
    spec: ServiceSpec,
    number: usize,
    directory: Directory,
    request_log: RequestLog,
    stop: Arc<AtomicBool>,
}

impl CallerLoop {
    async fn run(&self) {
        let mut sent = 0;
        while !self.stop.load(Ordering::SeqCst) {
            sent += 1;
            let tag = format!("{}-{}-{sent}", self.spec.id, self.number);
            match self.spec.class {
                RequestClass::NonIdempotent if sent % REPEAT_EVERY == 0 => {
                    let (first, second) = (format!("{tag}/1"), format!("{tag}/2"));
                    join(self.send(&first), self.send(&second)).await;
                }
                _ => self.send(&format!("{tag}/1")).await,
            }
            compio::time::sleep(caller_load(self.spec.class).1).await;
        }
    }

    async fn send(&self, tag: &str) {
        let Some(endpoint) = self.choose_instance() else { return };
        let outcome = send(&self.spec, tag, LARGE_BYTES, endpoint.addresses.callers).await;
        let instance = (endpoint.id, endpoint.incarnation);
        let class = self.spec.class;
        let record =
            RequestRecord { class, tag: tag.to_owned(), instance, ended: Instant::now(), outcome };
        lock(&self.request_log).push(record);
    }

    fn choose_instance(&self) -> Option<Endpoint> {
        let directory = lock(&self.directory);
        let ready: Vec<&Endpoint> = directory.iter().filter(|endpoint| endpoint.ready).collect();
        if ready.is_empty() {
            return None;
        }
        Some(ready[rand::random_range(0..ready.len())].clone())
    }
}

/// Returns the idempotency key of a request, whose tag is the key, a slash and a number.
pub(crate) fn key_of(tag: &str) -> &str {
    tag.rsplit_once('/').map_or(tag, |(key, _)| key)
}

/// Builds the request of a class.
fn request(spec: &ServiceSpec, tag: &str, large_bytes: usize) -> Call {
    let call = match spec.class {
        RequestClass::Idempotent => Call::get(&spec.host, "/search"),
        RequestClass::NonIdempotent | RequestClass::Upload => {
            let call = Call::post(&spec.host, "/apply").with_body(tag.to_owned());
            call.with_header("idempotency-key", key_of(tag))
        }
        RequestClass::Large => Call::get(&spec.host, &format!("/bytes/{large_bytes}")),
    };
    call.with_header("x-tag", tag).with_header("cactustrack-account", "staff")
}

/// Sends a request and returns its outcome.
pub(crate) async fn send(
    spec: &ServiceSpec,
    tag: &str,
    large_bytes: usize,
    address: SocketAddr,
) -> Outcome {
    let call = request(spec, tag, large_bytes);
    match compio::time::timeout(CALLER_TIMEOUT, call.send_async(address)).await {
        Ok(Ok(response)) => classify(spec, tag, large_bytes, &response),
        Ok(Err(error)) => match error.downcast_ref::<std::io::Error>() {
            Some(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
                Outcome::Refused
            }
            _ => Outcome::NoResponse,
        },
        Err(_) => Outcome::NoResponse,
    }
}

/// Returns the outcome for a response to the given request.
pub(crate) fn classify(
    spec: &ServiceSpec,
    tag: &str,
    large_bytes: usize,
    response: &CallResponse,
) -> Outcome {
    match response.execution() {
        Some("not_run") => return Outcome::NotExecuted,
        Some("completed") => return Outcome::AlreadyCompleted,
        Some(_) if response.status == 409 => return Outcome::InProgress,
        Some(_) => return Outcome::Unknown,
        None => {}
    }
    if !response.is_complete {
        return Outcome::Truncated;
    }
    if response.status.is_server_error() {
        return Outcome::UpstreamError;
    }
    let is_expected = match spec.class {
        RequestClass::Large => matches_generated_body(&response.body, large_bytes),
        _ => response.text().contains(&format!("\"tag\":\"{tag}\"")),
    };
    if response.status == 200 && is_expected { Outcome::Ok } else { Outcome::Wrong }
}

fn matches_generated_body(body: &[u8], total: usize) -> bool {
    let is_correct = |(offset, byte): (usize, &u8)| *byte == byte_at(offset as u64);
    body.len() == total && body.iter().enumerate().all(is_correct)
}

/// Counts requests by outcome.
pub(crate) fn count_outcomes<'a>(
    records: impl Iterator<Item = &'a RequestRecord>,
) -> BTreeMap<Outcome, usize> {
    let mut counts = BTreeMap::new();
    for record in records {
        *counts.entry(record.outcome).or_default() += 1;
    }
    counts
}
