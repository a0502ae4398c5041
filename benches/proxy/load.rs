//! Bounded loads: open loop at a rate, closed loop, and one large body.

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

use crate::stage::Stage;

const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// A load at a fixed rate, for each of the two ways.
pub(crate) struct Load {
    pub(crate) rate: u32,
    pub(crate) connections: u32,
    pub(crate) time: Duration,
}

/// Latencies in microseconds.
pub(crate) struct Measured {
    pub(crate) direct: Histogram<u64>,
    pub(crate) proxied: Histogram<u64>,
    pub(crate) failed: u64,
}

type Sender = SendRequest<Empty<Bytes>>;

async fn connect(address: SocketAddr) -> Sender {
    let stream = TcpStream::connect(address).await.expect("a connection");
    let _ = stream.set_nodelay(true);
    let handshake = http1::handshake(HyperStream::new_plain(stream)).await;
    let (tx, connection) = handshake.expect("a connection");
    compio::runtime::spawn(async move {
        let _ = connection.await;
    })
    .detach();
    tx
}

/// Returns true if the answer was a complete 200.
async fn request(tx: &mut Sender, path: &str) -> bool {
    if tx.ready().await.is_err() {
        return false;
    }
    let req = Request::get(path).header("host", "svc.test").body(Empty::new());
    let Ok(res) = tx.send_request(req.expect("a request")).await else { return false };
    let is_ok = res.status() == 200;
    res.into_body().collect().await.is_ok() && is_ok
}

/// Sends requests at a rate on each way, and notes the time from the sending to the end of the
/// answer.
pub(crate) fn open_loop(stage: &Stage, load: &Load) -> Measured {
    let new = || Rc::new(RefCell::new(Histogram::new(3).expect("a histogram")));
    let (direct, proxied): (Rc<RefCell<Histogram<u64>>>, _) = (new(), new());
    let failed = Rc::new(Cell::new(0));
    let runtime = Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let started = Instant::now() + Duration::from_millis(200);
        let mut tasks = Vec::new();
        for number in 0..load.connections {
            let upstreams = &stage.upstreams.all;
            let upstream = upstreams[number as usize % upstreams.len()].address;
            for (address, way) in [(upstream, &direct), (stage.callers, &proxied)] {
                let mut tx = connect(address).await;
                let (way, failed) = (Rc::clone(way), Rc::clone(&failed));
                // The connections take turns, so that requests are spread evenly.
                let interval = Duration::from_secs(1) * load.connections / load.rate;
                let mut due = started + interval * number / load.connections;
                let end = started + load.time;
                tasks.push(compio::runtime::spawn(async move {
                    while due < end {
                        compio::time::sleep(due.saturating_duration_since(Instant::now())).await;
                        let sent = Instant::now();
                        if request(&mut tx, "/").await {
                            way.borrow_mut().saturating_record(sent.elapsed().as_micros() as u64);
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
    Measured { direct, proxied, failed: failed.get() }
}

/// Sends requests one after the other on each connection. Returns how many were answered, and how
/// many of those not by a complete 200.
pub(crate) fn closed_loop(
    address: SocketAddr,
    path: &'static str,
    connections: u32,
    time: Duration,
    max_requests: u64,
) -> (u64, u64) {
    let (done, failed) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
    let runtime = Runtime::new().expect("a runtime");
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

/// A large body that was read and discarded.
pub(crate) struct Sink {
    bytes: u64,
    time: Duration,
    pub(crate) is_complete: bool,
    /// Peak of the resident memory of the process meanwhile.
    pub(crate) peak_kib: u64,
}

impl Sink {
    pub(crate) fn read(address: SocketAddr, bytes: u64) -> Self {
        // Writing 5 resets the peak.
        let _ = fs::write("/proc/self/clear_refs", "5");
        let started = Instant::now();
        let mut stream = StdStream::connect(address).expect("a connection");
        stream.set_read_timeout(Some(READ_TIMEOUT)).expect("a timeout");
        let head =
            format!("GET /bytes/{bytes} HTTP/1.1\r\nHost: svc.test\r\nConnection: close\r\n\r\n");
        stream.write_all(head.as_bytes()).expect("a request");
        let (mut buf, mut read) = (vec![0; 256 * 1024], 0u64);
        let mut head_bytes = None;
        while let Ok(part @ 1..) = stream.read(&mut buf) {
            if head_bytes.is_none() {
                let end = buf[..part].windows(4).position(|four| four == b"\r\n\r\n");
                head_bytes = end.map(|end| end as u64 + 4);
            }
            read += part as u64;
        }
        let is_complete = head_bytes.is_some_and(|head| read == head + bytes);
        Self { bytes: read, time: started.elapsed(), is_complete, peak_kib: peak_kib() }
    }

    pub(crate) fn mib_per_second(&self) -> String {
        format!("{:.0}", self.bytes as f64 / (1 << 20) as f64 / self.time.as_secs_f64())
    }
}

fn peak_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("the status of the process");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    number.expect("the peak of resident memory")
}
