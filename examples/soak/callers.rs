//! Callers that keep their connections open and record the outcome of each request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use bytes::Bytes;
use cactustrack_test_support::upstream::byte_at;
use compio::net::TcpStream;
use cyper_core::HyperStream;
use futures::channel::oneshot;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::accounts::{Credential, GREEDY, KEPT_KEYS, OPEN, OPEN_KEYS, ROTATING, STEADY};
use crate::fleet::{HOST, PUBLIC};
use crate::violations::{Class, Flaw, Outcome, RequestRecord};

/// Time after the deadline of a request at which its caller abandons it.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(1);

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Size of a large response in bytes.
const LARGE_BYTES: u64 = 150_000;

/// Range of the time to the deadline of a request, in milliseconds.
const DEADLINES_MS: (u64, u64) = (800, 3_000);
/// Range of the pause of a caller between two requests, in milliseconds.
const PAUSES_MS: (u64, u64) = (10, 120);

/// Number of callers of the account that sends several times its quota.
const GREEDY_CALLERS: usize = 8;
/// Range of the pause of these callers while they exceed the quota, in milliseconds. With the time
/// of a request they send some 120 requests a second together.
const FLOOD_PAUSES_MS: (u64, u64) = (5, 30);
/// Pause of these callers otherwise, in milliseconds, and the probability of a request after it.
/// They send some 6 requests a second together.
const IDLE_PAUSE_MS: u64 = 100;
const IDLE_PROBABILITY: f64 = 0.08;

/// Time for which a probe waits for a response. It is short so that a probe sends requests until
/// shortly before the end of a pause of its instance.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// An instance, as known to the callers.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) address: SocketAddr,
    /// True if the load balancer opens new connections to the instance.
    pub(crate) is_ready: AtomicBool,
    /// Number of the current process of the instance, from 0.
    pub(crate) incarnation: AtomicU32,
}

/// State that the callers and the run share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) instances: Vec<Endpoint>,
    /// Latest version that the store has accepted.
    pub(crate) version: AtomicU64,
    /// Number of removed keys of the account whose keys are removed.
    pub(crate) removed_keys: AtomicUsize,
    /// Number of keys that this account has at first.
    pub(crate) rotating_keys: usize,
    /// True while an account sends several times its quota.
    pub(crate) is_flooding: AtomicBool,
    pub(crate) stop: AtomicBool,
    pub(crate) started: Instant,
}

/// What a caller sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    /// Requests of the account that the number of the caller determines.
    Client,
    /// Requests of the account that exceeds its quota at times.
    Greedy,
    /// Mostly requests without a valid key, always to the same instance, ready or not.
    Probe(usize),
}

/// Starts the callers on their own thread, which returns the records of all requests.
pub(crate) fn spawn(
    shared: Arc<Shared>,
    seed: u64,
    callers: usize,
) -> JoinHandle<Vec<RequestRecord>> {
    thread::spawn(move || {
        let runtime = compio::runtime::Runtime::new().expect("a runtime for the callers");
        runtime.block_on(async {
            let probes = (0..shared.instances.len()).map(Role::Probe);
            let roles = std::iter::repeat_n(Role::Client, callers)
                .chain([Role::Greedy; GREEDY_CALLERS])
                .chain(probes);
            let callers = roles.enumerate().map(|(number, role)| {
                let rng = SmallRng::seed_from_u64(seed ^ (number as u64 + 1));
                Caller { number, role, shared: Arc::clone(&shared), rng, connection: None }.run()
            });
            futures::future::join_all(callers).await.into_iter().flatten().collect()
        })
    })
}

struct Connection {
    tx: SendRequest<Full<Bytes>>,
    instance: usize,
    incarnation: u32,
}

struct Caller {
    number: usize,
    role: Role,
    shared: Arc<Shared>,
    rng: SmallRng,
    connection: Option<Connection>,
}

impl Caller {
    async fn run(mut self) -> Vec<RequestRecord> {
        let mut records = Vec::new();
        for count in 0_u64.. {
            if self.shared.stop.load(Ordering::Relaxed) {
                break;
            }
            if !self.pause().await {
                continue;
            }
            let id = format!("c{}-{count}", self.number);
            if let Some(connection) = self.connect().await {
                records.push(self.send(connection, id).await);
            }
        }
        records
    }

    /// Waits until the next request, and returns false if there is none to send yet.
    async fn pause(&mut self) -> bool {
        let is_flooding = self.shared.is_flooding.load(Ordering::Relaxed);
        let is_idle = self.role == Role::Greedy && !is_flooding;
        let (min, max) = if self.role == Role::Greedy { FLOOD_PAUSES_MS } else { PAUSES_MS };
        let ms = if is_idle { IDLE_PAUSE_MS } else { self.rng.random_range(min..max) };
        compio::time::sleep(Duration::from_millis(ms)).await;
        !is_idle || self.rng.random_bool(IDLE_PROBABILITY)
    }

    /// Returns the credential of the next request.
    fn credential(&mut self) -> Credential {
        let removed = self.shared.removed_keys.load(Ordering::Relaxed);
        let key = |account, number| Credential::Key { account, number };
        let kept = self.rng.random_range(0..KEPT_KEYS.min(self.shared.rotating_keys - removed));
        let (valid, newest_removed) = (key(ROTATING, removed + kept), removed.checked_sub(1));
        let removed = newest_removed.map_or(valid, |number| key(ROTATING, number));
        let draw = self.rng.random_range(0..10);
        match (self.role, self.number % 4) {
            (Role::Greedy, _) => key(GREEDY, 0),
            (Role::Probe(_), _) | (Role::Client, 3) if draw == 0 => Credential::Missing,
            (Role::Probe(_), _) | (Role::Client, 3) if draw == 1 => Credential::Unknown,
            (Role::Probe(_), _) => removed,
            (Role::Client, 1) => key(STEADY, 0),
            (Role::Client, 2) if draw == 0 => removed,
            (Role::Client, 2) => valid,
            (Role::Client, _) => key(OPEN, self.rng.random_range(0..OPEN_KEYS)),
        }
    }

    /// Returns the instance to which the next connection is opened.
    fn choose_instance(&mut self) -> Option<usize> {
        if let Role::Probe(instance) = self.role {
            return Some(instance);
        }
        let instances = &self.shared.instances;
        let ready: Vec<usize> = (0..instances.len())
            .filter(|number| instances[*number].is_ready.load(Ordering::Relaxed))
            .collect();
        ready.get(self.rng.random_range(0..ready.len().max(1))).copied()
    }

    /// Returns the open connection, or a new one to a randomly chosen ready instance.
    async fn connect(&mut self) -> Option<Connection> {
        if let Some(connection) = self.connection.take()
            && !connection.tx.is_closed()
        {
            return Some(connection);
        }
        let instance = self.choose_instance()?;
        let endpoint = &self.shared.instances[instance];
        let incarnation = endpoint.incarnation.load(Ordering::Relaxed);
        let opening = async {
            let stream = TcpStream::connect(endpoint.address).await.ok()?;
            let (tx, driver) = http1::handshake(HyperStream::new_plain(stream)).await.ok()?;
            compio::runtime::spawn(async move {
                // The request that uses the connection reports its errors.
                let _ = driver.await;
            })
            .detach();
            Some(Connection { tx, instance, incarnation })
        };
        compio::time::timeout(CONNECT_TIMEOUT, opening).await.ok()?
    }

    async fn send(&mut self, mut connection: Connection, id: String) -> RequestRecord {
        let (instance, incarnation) = (connection.instance, connection.incarnation);
        let version = self.shared.version.load(Ordering::Relaxed);
        let credential = self.credential();
        let draw = self.rng.random_range(0..11);
        let (class, path, version) = match draw {
            0..=3 => (Class::NonIdempotent, "/orders/x".to_owned(), None),
            4 => (Class::Large, format!("/bytes/{LARGE_BYTES}"), None),
            5 | 6 => (Class::Idempotent, format!("/v{version}/x"), Some(version)),
            10 => (Class::Idempotent, format!("{PUBLIC}x"), None),
            _ => (Class::Idempotent, "/search/x".to_owned(), None),
        };
        let is_public = path.starts_with(PUBLIC);
        let deadline = self.rng.random_range(DEADLINES_MS.0..DEADLINES_MS.1);
        let deadline = Duration::from_millis(deadline);
        let sent_at = self.shared.started.elapsed();
        let req = request(class, &path, &id, deadline, credential);
        let (outcome, connection) = match self.role {
            Role::Probe(_) => probe(connection, req, class, id.clone()).await,
            Role::Client | Role::Greedy => {
                let sending = exchange(&mut connection.tx, req, class, &id);
                let sending = compio::time::timeout(deadline + TIMEOUT_MARGIN, sending);
                (sending.await.unwrap_or(Outcome::NoResponse), Some(connection))
            }
        };
        let ended_at = self.shared.started.elapsed();
        self.connection = connection;
        RequestRecord {
            id,
            class,
            credential,
            is_public,
            instance,
            incarnation,
            version,
            deadline,
            sent_at,
            ended_at,
            outcome,
        }
    }
}

fn request(
    class: Class,
    path: &str,
    id: &str,
    deadline: Duration,
    credential: Credential,
) -> Request<Full<Bytes>> {
    let (method, body) = match class {
        Class::NonIdempotent => ("POST", Bytes::from_static(b"an order")),
        Class::Idempotent | Class::Large => ("GET", Bytes::new()),
    };
    let mut req = Request::builder()
        .method(method)
        .uri(path)
        .header("host", HOST)
        .header("x-tag", id)
        .header("cactustrack-request-id", id)
        .header("cactustrack-deadline-ms", deadline.as_millis().to_string());
    match credential.to_header() {
        Some(value) => req = req.header("authorization", value),
        // A caller must not be able to name its account itself.
        None => req = req.header("cactustrack-tenant", OPEN),
    }
    req.body(Full::new(body)).expect("a request of valid parts")
}

/// Sends a request and waits for [`PROBE_TIMEOUT`]. A request that is given up stays on its
/// connection, so that an instance that was paused finds it there.
async fn probe(
    mut connection: Connection,
    req: Request<Full<Bytes>>,
    class: Class,
    id: String,
) -> (Outcome, Option<Connection>) {
    let (tx, rx) = oneshot::channel();
    compio::runtime::spawn(async move {
        let outcome = exchange(&mut connection.tx, req, class, &id).await;
        // Nobody receives the outcome of a request that was given up.
        let _ = tx.send((outcome, connection));
    })
    .detach();
    match compio::time::timeout(PROBE_TIMEOUT, rx).await {
        Ok(Ok((outcome, connection))) => (outcome, Some(connection)),
        Ok(Err(_)) | Err(_) => (Outcome::Abandoned, None),
    }
}

async fn exchange(
    tx: &mut SendRequest<Full<Bytes>>,
    req: Request<Full<Bytes>>,
    class: Class,
    id: &str,
) -> Outcome {
    if tx.ready().await.is_err() {
        return Outcome::Closed;
    }
    match tx.send_request(req).await {
        Ok(response) => classify(response, class, id).await,
        Err(_) => Outcome::Closed,
    }
}

/// Returns the outcome for a response, which is compared with what the upstreams send.
async fn classify(response: Response<Incoming>, class: Class, id: &str) -> Outcome {
    let (head, body) = response.into_parts();
    let status = head.status;
    let Ok(body) = body.collect().await.map(http_body_util::Collected::to_bytes) else {
        // A response that is visibly truncated makes no statement about the request.
        return Outcome::Closed;
    };
    if status != StatusCode::OK {
        return Outcome::Responded { status, flaw: None };
    }
    let is_expected = match class {
        Class::Large => matches_generated_body(&body),
        _ => String::from_utf8_lossy(&body).contains(&format!(r#""tag":"{id}""#)),
    };
    let flaw = if !head.headers.contains_key("cactustrack-backend-signature") {
        Some(Flaw::NotSigned)
    } else if head.headers.get("cactustrack-request-id").is_none_or(|value| value != id) {
        Some(Flaw::Mismatched)
    } else if !is_expected {
        Some(Flaw::Incomplete)
    } else {
        None
    };
    Outcome::Responded { status, flaw }
}

fn matches_generated_body(body: &[u8]) -> bool {
    let expected = (0..LARGE_BYTES).map(byte_at);
    body.iter().copied().eq(expected)
}
