//! Fake of the platform's instance list: an HTTP server that returns a JSON array.

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

/// Interval at which the server checks for a stop request.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Debug, Default)]
struct State {
    /// Versions of the list, oldest first, with the time of each change.
    versions: VecDeque<(Instant, Arc<Vec<Listing>>)>,
    /// Time until a change becomes visible to readers.
    lag: Duration,
    outage: bool,
}

impl State {
    /// Returns the version that is visible to readers, with its index, or `None` in an outage.
    fn visible(&self) -> Option<(usize, Arc<Vec<Listing>>)> {
        if self.outage {
            return None;
        }
        let index = self.versions.iter().rposition(|(at, _)| at.elapsed() >= self.lag);
        let index = index.unwrap_or_default();
        let list = self.versions.get(index).map(|(_, list)| Arc::clone(list));
        Some((index, list.unwrap_or_default()))
    }
}

/// A fake instance list. Dropping it stops its server.
#[derive(Debug)]
pub struct FakeInstanceList {
    /// Address that the server listens on.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl FakeInstanceList {
    /// Starts the server with the given entries.
    ///
    /// # Panics
    ///
    /// Panics if no port or thread is available.
    pub fn spawn(entries: Vec<Listing>) -> Self {
        let (tx, rx) = mpsc::channel();
        let state = Arc::new(Mutex::new(State::default()));
        let stop = Arc::new(AtomicBool::new(false));
        let (serving, stopping) = (Arc::clone(&state), Arc::clone(&stop));
        let thread = thread::spawn(move || {
            let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
            runtime.block_on(serve(serving, &tx, &stopping));
        });
        let address = rx.recv().expect("the server sends its address");
        let list = Self { address, state, stop, thread: Some(thread) };
        list.set(entries);
        list
    }

    /// Returns the URL of the list.
    pub fn url(&self) -> String {
        format!("http://{}/instances", self.address)
    }

    /// Replaces the entries. The change becomes visible to readers after the lag.
    pub fn set(&self, entries: Vec<Listing>) {
        lock(&self.state).versions.push_back((Instant::now(), Arc::new(entries)));
    }

    /// Applies a change to the latest entries.
    pub fn update(&self, change: impl FnOnce(&mut Vec<Listing>)) {
        let latest = lock(&self.state).versions.back().map(|(_, list)| Arc::clone(list));
        let mut entries = latest.map(|list| (*list).clone()).unwrap_or_default();
        change(&mut entries);
        self.set(entries);
    }

    /// Sets the time until a change becomes visible to readers.
    pub fn set_lag(&self, lag: Duration) {
        lock(&self.state).lag = lag;
    }

    /// Starts or ends an outage, during which requests get status 503.
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
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let _ = address.send(listener.local_addr().expect("the listener is bound"));
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
            let response = respond(&state, req.headers().get(header::IF_NONE_MATCH));
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

fn respond(state: &Mutex<State>, if_none_match: Option<&HeaderValue>) -> Response<Full<Bytes>> {
    let Some((index, list)) = lock(state).visible() else {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        return response;
    };
    let tag = HeaderValue::from_str(&format!("\"{index}\"")).expect("the tag is ASCII");
    if if_none_match == Some(&tag) {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::NOT_MODIFIED;
        return response;
    }
    let body = serde_json::to_vec(&*list).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(body)));
    response.headers_mut().insert(header::ETAG, tag);
    response
}
