//! Callers that keep their connections open and record the outcome of each request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use bytes::Bytes;
use cactustrack_test_support::upstream::byte_at;
use compio::net::TcpStream;
use cyper_core::HyperStream;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::fleet::HOST;
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
    pub(crate) stop: AtomicBool,
    pub(crate) started: Instant,
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
            let callers = (0..callers).map(|number| {
                let rng = SmallRng::seed_from_u64(seed ^ (number as u64 + 1));
                Caller { number, shared: Arc::clone(&shared), rng, connection: None }.run()
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
            let pause = self.rng.random_range(PAUSES_MS.0..PAUSES_MS.1);
            compio::time::sleep(Duration::from_millis(pause)).await;
            let id = format!("c{}-{count}", self.number);
            if let Some(mut connection) = self.connect().await {
                records.push(self.send(&mut connection, id).await);
                if !connection.tx.is_closed() {
                    self.connection = Some(connection);
                }
            }
        }
        records
    }

    /// Returns the open connection, or a new one to a randomly chosen ready instance.
    async fn connect(&mut self) -> Option<Connection> {
        if let Some(connection) = self.connection.take()
            && !connection.tx.is_closed()
        {
            return Some(connection);
        }
        let instances = &self.shared.instances;
        let ready: Vec<usize> = (0..instances.len())
            .filter(|number| instances[*number].is_ready.load(Ordering::Relaxed))
            .collect();
        let instance = *ready.get(self.rng.random_range(0..ready.len().max(1)))?;
        let endpoint = &instances[instance];
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

    async fn send(&mut self, connection: &mut Connection, id: String) -> RequestRecord {
        let version = self.shared.version.load(Ordering::Relaxed);
        let (class, path, version) = match self.rng.random_range(0..10) {
            0..=3 => (Class::NonIdempotent, "/orders/x".to_owned(), None),
            4 => (Class::Large, format!("/bytes/{LARGE_BYTES}"), None),
            5 | 6 => (Class::Idempotent, format!("/v{version}/x"), Some(version)),
            _ => (Class::Idempotent, "/search/x".to_owned(), None),
        };
        let deadline = self.rng.random_range(DEADLINES_MS.0..DEADLINES_MS.1);
        let deadline = Duration::from_millis(deadline);
        let sent_at = self.shared.started.elapsed();
        let sending = exchange(&mut connection.tx, class, &path, &id, deadline);
        let outcome = match compio::time::timeout(deadline + TIMEOUT_MARGIN, sending).await {
            Ok(outcome) => outcome,
            Err(_) => Outcome::NoResponse,
        };
        let ended_at = self.shared.started.elapsed();
        let (instance, incarnation) = (connection.instance, connection.incarnation);
        RequestRecord {
            id,
            class,
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

async fn exchange(
    tx: &mut SendRequest<Full<Bytes>>,
    class: Class,
    path: &str,
    id: &str,
    deadline: Duration,
) -> Outcome {
    let (method, body) = match class {
        Class::NonIdempotent => ("POST", Bytes::from_static(b"an order")),
        Class::Idempotent | Class::Large => ("GET", Bytes::new()),
    };
    let req = Request::builder()
        .method(method)
        .uri(path)
        .header("host", HOST)
        .header("x-tag", id)
        .header("cactustrack-request-id", id)
        .header("cactustrack-deadline-ms", deadline.as_millis().to_string())
        .body(Full::new(body))
        .expect("a request of valid parts");
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
