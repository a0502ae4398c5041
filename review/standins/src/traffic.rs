//! Callers at a steady rate.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::http::{self, Ended};
use crate::record::Record;

/// What the callers send.
#[derive(Clone)]
pub struct Kind {
    pub method: &'static str,
    pub path: &'static str,
    pub host: &'static str,
    pub body_bytes: usize,
    /// True if the body is sent in chunks.
    pub is_chunked: bool,
    /// Time for which a caller waits.
    pub deadline: Duration,
}

/// A request of a caller and its end.
#[derive(Clone, Debug)]
pub struct Sent {
    pub request: String,
    pub ended: Ended,
}

/// Callers that send until they are stopped.
pub struct Traffic {
    is_stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    sent: Arc<Mutex<Vec<Sent>>>,
}

static NEXT: AtomicU64 = AtomicU64::new(1);

impl Traffic {
    /// Starts `callers` threads, each of which sends a request each `interval`, in turn to each of
    /// the instances.
    pub fn start(
        fronts: &[SocketAddr],
        kind: &Kind,
        callers: usize,
        interval: Duration,
        record: &Arc<Record>,
    ) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
        let threads = (0..callers).map(|caller| {
            let (is_stopped, sent) = (Arc::clone(&is_stopped), Arc::clone(&sent));
            let (fronts, kind, record) = (fronts.to_vec(), kind.clone(), Arc::clone(record));
            thread::spawn(move || {
                thread::sleep(interval.mul_f64(caller as f64 / callers as f64));
                let mut next = Instant::now();
                while !is_stopped.load(Ordering::Relaxed) {
                    let front = fronts[caller % fronts.len()];
                    let request = send(front, &kind, &record);
                    sent.lock().expect("a lock").push(request);
                    next += interval;
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                }
            })
        });
        let threads = threads.collect();
        Self { is_stopped, threads, sent }
    }

    /// Stops the callers, waits for their last answers and returns what was sent.
    pub fn stop(self) -> Vec<Sent> {
        self.is_stopped.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        let sent = self.sent.lock().expect("a lock");
        sent.clone()
    }
}

/// Returns a new request's id and text.
pub fn new_request(kind: &Kind) -> (String, String) {
    let request = format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed));
    let Kind { method, path, host, body_bytes, is_chunked, deadline } = kind;
    let content = "b".repeat(*body_bytes);
    let body = match (body_bytes, is_chunked) {
        (0, _) => "\r\n".to_owned(),
        (_, true) => {
            format!("Transfer-Encoding: chunked\r\n\r\n{body_bytes:x}\r\n{content}\r\n0\r\n\r\n")
        }
        (_, false) => format!("Content-Length: {body_bytes}\r\n\r\n{content}"),
    };
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nCactustrack-Request-Id: {request}\r\n\
         Cactustrack-Deadline-Ms: {}\r\n{body}",
        deadline.as_millis()
    );
    (request, text)
}

fn send(front: SocketAddr, kind: &Kind, record: &Record) -> Sent {
    let (request, text) = new_request(kind);
    let Kind { body_bytes, deadline, .. } = kind;
    record.note(&format!("{request} sent to {front} with a body of {body_bytes} bytes"));
    let ended = http::call(front, &text, *deadline);
    let end = match (&ended.response, ended.status) {
        (Some(response), _) => format!(
            "answered {} by {} with {} bytes",
            response.status(),
            response.header("cactustrack-backend-signature").unwrap_or("the instance"),
            response.body.len()
        ),
        (None, status) => format!(
            "ended without a whole answer (head: {status:?}): {}",
            ended.error.as_deref().unwrap_or_default()
        ),
    };
    record.note(&format!("{request} after {:.3} s {end}", ended.took.as_secs_f64()));
    Sent { request, ended }
}
