//! Stand-in for the platform's instance list: an HTTP server that answers a JSON array.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, mpsc};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use bytes::Bytes;
use cactustrack_types::Listing;
use compio::net::TcpListener;
use cyper_core::{CompioTimer, HyperStream};
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;

const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Debug, Default)]
struct State {
    /// Versions of the list, oldest first, with the time of the change.
    versions: VecDeque<(Instant, Arc<Vec<Listing>>)>,
    lag: Duration,
    outage: bool,
}

impl State {
    /// The list that readers see, with its number.
    fn visible(&self) -> Option<(usize, Arc<Vec<Listing>>)> {
        if self.outage {
            return None;
        }
        let number = self.versions.iter().rposition(|(at, _)| at.elapsed() >= self.lag);
        let number = number.unwrap_or_default();
        let list = self.versions.get(number).map(|(_, list)| Arc::clone(list));
        Some((number, list.unwrap_or_default()))
    }
}

/// The instance list. Dropping it stops its server.
#[derive(Debug)]
pub struct FakeInstanceList {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl FakeInstanceList {
    /// Starts the list with the given entries.
    ///
    /// # Panics
    ///
    /// Panics if the machine has no free port or thread.
    pub fn spawn(entries: Vec<Listing>) -> Self {
        let (tx, rx) = mpsc::channel();
        let state = Arc::new(Mutex::new(State::default()));
        let stop = Arc::new(AtomicBool::new(false));
        let (serving, stopping) = (Arc::clone(&state), Arc::clone(&stop));
        let thread = thread::spawn(move || {
            let runtime = compio::runtime::Runtime::new().expect("a runtime for the list");
            runtime.block_on(serve(serving, &tx, &stopping));
        });
        let address = rx.recv().expect("the address of the list");
        let list = Self { address, state, stop, thread: Some(thread) };
        list.set(entries);
        list
    }

    /// URL of the list.
    pub fn url(&self) -> String {
        format!("http://{}/instances", self.address)
    }

    /// Replaces the entries. Readers see them after the lag.
    pub fn set(&self, entries: Vec<Listing>) {
        lock(&self.state).versions.push_back((Instant::now(), Arc::new(entries)));
    }

    /// Changes the entries in place.
    pub fn update(&self, change: impl FnOnce(&mut Vec<Listing>)) {
        let latest = lock(&self.state).versions.back().map(|(_, list)| Arc::clone(list));
        let mut entries = latest.map(|list| (*list).clone()).unwrap_or_default();
        change(&mut entries);
        self.set(entries);
    }

    /// Sets the time until a change is seen.
    pub fn set_lag(&self, lag: Duration) {
        lock(&self.state).lag = lag;
    }

    /// Makes the list unavailable, or available again.
    pub fn set_outage(&self, outage: bool) {
        lock(&self.state).outage = outage;
    }
}

impl Drop for FakeInstanceList {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

async fn serve(state: Arc<Mutex<State>>, address: &mpsc::Sender<SocketAddr>, stop: &AtomicBool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let _ = address.send(listener.local_addr().expect("a bound address"));
    compio::runtime::spawn(accept(listener, state)).detach();
    while !stop.load(Ordering::SeqCst) {
        compio::time::sleep(STOP_POLL_INTERVAL).await;
    }
}

async fn accept(listener: TcpListener, state: Arc<Mutex<State>>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let state = Arc::clone(&state);
        let service = service_fn(move |req: Request<Incoming>| {
            let response = answer(&state, req.headers().get(header::IF_NONE_MATCH));
            async move { Ok::<_, Infallible>(response) }
        });
        let connection = http1::Builder::new()
            .timer(CompioTimer)
            .serve_connection(HyperStream::new_plain(stream), service);
        compio::runtime::spawn(async move {
            let _ = connection.await;
        })
        .detach();
    }
}

fn answer(state: &Mutex<State>, known: Option<&HeaderValue>) -> Response<Full<Bytes>> {
    let Some((number, list)) = lock(state).visible() else {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        return response;
    };
    let tag = HeaderValue::from_str(&format!("\"{number}\"")).expect("ASCII");
    if known == Some(&tag) {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::NOT_MODIFIED;
        return response;
    }
    let body = serde_json::to_vec(&*list).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(body)));
    response.headers_mut().insert(header::ETAG, tag);
    response
}
