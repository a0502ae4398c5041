//! Load generators: open loop at a fixed rate, closed loop, and the download of one large body.

use std::cell::{Cell, RefCell};
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream as StdStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::net::TcpStream;
use compio::runtime::Runtime;
use cyper_core::HyperStream;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::{self, SendRequest};

use crate::harness::Harness;

const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// A load at a fixed rate, which is applied both directly and through the instance.
pub(crate) struct Load {
    /// Requests per second.
    pub(crate) rate: u32,
    pub(crate) connections: u32,
    pub(crate) time: Duration,
}

/// Latencies in microseconds of direct requests and of requests through the instance.
pub(crate) struct Latencies {
    pub(crate) direct: Histogram<u64>,
    pub(crate) proxied: Histogram<u64>,
    pub(crate) failed: u64,
}

type Sender = SendRequest<Empty<Bytes>>;

async fn connect(address: SocketAddr) -> Sender {
    let stream = TcpStream::connect(address).await.expect("the connection opens");
    let _ = stream.set_nodelay(true);
    let handshake = http1::handshake(HyperStream::new_plain(stream)).await;
    let (tx, connection) = handshake.expect("the connection opens");
    compio::runtime::spawn(async move {
        let _ = connection.await;
    })
    .detach();
    tx
}

/// Sends a request and returns whether the response was complete and had status 200.
async fn request(tx: &mut Sender, path: &str) -> bool {
    if tx.ready().await.is_err() {
        return false;
    }
    let req = Request::get(path).header("host", "svc.test").body(Empty::new());
    let Ok(res) = tx.send_request(req.expect("the request is valid")).await else { return false };
    let is_ok = res.status() == 200;
    res.into_body().collect().await.is_ok() && is_ok
}

/// Sends requests at a fixed rate, both directly and through the instance, and records the time
/// from sending a request to the end of its response.
pub(crate) fn open_loop(harness: &Harness, load: &Load) -> Latencies {
    let new = || Rc::new(RefCell::new(Histogram::new(3).expect("the precision is valid")));
    let (direct, proxied): (Rc<RefCell<Histogram<u64>>>, _) = (new(), new());
    let failed = Rc::new(Cell::new(0));
    let runtime = Runtime::new().expect("the runtime starts");
    runtime.block_on(async {
        let started = Instant::now() + Duration::from_millis(200);
        let mut tasks = Vec::new();
        for number in 0..load.connections {
            let upstreams = &harness.upstreams.all;
            let upstream = upstreams[number as usize % upstreams.len()].address;
            for (address, histogram) in [(upstream, &direct), (harness.callers, &proxied)] {
                let mut tx = connect(address).await;
                let (histogram, failed) = (Rc::clone(histogram), Rc::clone(&failed));
                // The connections start at staggered times, so that requests are evenly spaced.
                let interval = Duration::from_secs(1) * load.connections / load.rate;
                let mut due = started + interval * number / load.connections;
                let end = started + load.time;
                tasks.push(compio::runtime::spawn(async move {
                    while due < end {
                        compio::time::sleep(due.saturating_duration_since(Instant::now())).await;
                        let sent = Instant::now();
                        if request(&mut tx, "/").await {
                            histogram
                                .borrow_mut()
                                .saturating_record(sent.elapsed().as_micros() as u64);
                        } else {
                            failed.set(failed.get() + 1);
                            tx = connect(address).await;
                        }
                        due += interval;
                    }
                }));
            }
        }
        for task in tasks {
            let _ = task.await;
        }
    });
    let (direct, proxied) = (direct.borrow().clone(), proxied.borrow().clone());
    Latencies { direct, proxied, failed: failed.get() }
}

/// Sends requests one after the other on each connection. Returns the number of requests, and how
/// many of them did not get a complete response with status 200.
pub(crate) fn closed_loop(
    address: SocketAddr,
    path: &'static str,
    connections: u32,
    time: Duration,
    max_requests: u64,
) -> (u64, u64) {
    let (done, failed) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
    let runtime = Runtime::new().expect("the runtime starts");
    runtime.block_on(async {
        let end = Instant::now() + time;
        let mut tasks = Vec::new();
        for _ in 0..connections {
            let (done, failed) = (Rc::clone(&done), Rc::clone(&failed));
            let mut tx = connect(address).await;
            tasks.push(compio::runtime::spawn(async move {
                while Instant::now() < end && done.get() < max_requests {
                    done.set(done.get() + 1);
                    if !request(&mut tx, path).await {
                        failed.set(failed.get() + 1);
                        if tx.is_closed() {
                            tx = connect(address).await;
                        }
                    }
                }
            }));
        }
        for task in tasks {
            let _ = task.await;
        }
    });
    (done.get(), failed.get())
}

/// The download of a large body, which is discarded.
pub(crate) struct BodyDownload {
    bytes: u64,
    time: Duration,
    pub(crate) is_complete: bool,
    /// Peak of the resident memory of the process during the download.
    pub(crate) peak_kib: u64,
}

impl BodyDownload {
    /// Downloads a body of this many bytes.
    pub(crate) fn read(address: SocketAddr, bytes: u64) -> Self {
        // Writing 5 resets the peak of the resident memory.
        let _ = fs::write("/proc/self/clear_refs", "5");
        let started = Instant::now();
        let mut stream = StdStream::connect(address).expect("the connection opens");
        stream.set_read_timeout(Some(READ_TIMEOUT)).expect("the timeout is valid");
        let head =
            format!("GET /bytes/{bytes} HTTP/1.1\r\nHost: svc.test\r\nConnection: close\r\n\r\n");
        stream.write_all(head.as_bytes()).expect("the request is sent");
        let (mut buf, mut read) = (vec![0; 256 * 1024], 0u64);
        let mut head_bytes = None;
        while let Ok(chunk @ 1..) = stream.read(&mut buf) {
            if head_bytes.is_none() {
                let end = buf[..chunk].windows(4).position(|window| window == b"\r\n\r\n");
                head_bytes = end.map(|end| end as u64 + 4);
            }
            read += chunk as u64;
        }
        let is_complete = head_bytes.is_some_and(|head| read == head + bytes);
        Self { bytes: read, time: started.elapsed(), is_complete, peak_kib: peak_kib() }
    }

    pub(crate) fn mib_per_second(&self) -> String {
        format!("{:.0}", self.bytes as f64 / (1 << 20) as f64 / self.time.as_secs_f64())
    }
}

/// Returns the peak of the resident memory of the process.
fn peak_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("/proc/self/status is readable");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    number.expect("VmHWM is in /proc/self/status")
}
