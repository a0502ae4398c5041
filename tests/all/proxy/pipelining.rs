//! Callers that send further requests before the first one on their connection was answered.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::Duration;

use cactustrack_proxy::{Pool, PoolLimits, Server, ServerLimits};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use super::echo::EchoUpstream;
use super::fakes::{EventLog, FakeRecords};
use super::harness::{Setup, connect, read_all, wait_until};

/// Time in which the proxy would have sent a request that it must not send yet.
const SETTLING_TIME: Duration = Duration::from_millis(150);

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n")
}

fn post(path: &str, body: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Returns the bodies of responses, or the status of those that are not 200.
fn bodies(response: &str) -> Vec<String> {
    let parts = response.split("HTTP/1.1 ").skip(1);
    let body = |part: &str| {
        let (status, rest) = part.split_at(3);
        let body = rest.split_once("\r\n\r\n").map_or("", |(_, body)| body);
        if status == "200" { body.to_owned() } else { status.to_owned() }
    };
    parts.map(body).collect()
}

/// Reads until the responses have these bodies, in this order.
fn expect_bodies(stream: &mut TcpStream, expected: &[&str]) {
    let (mut received, mut buf) = (String::new(), [0; 4096]);
    while bodies(&received) != expected {
        let read = stream.read(&mut buf).expect("a response");
        assert!(read > 0, "the connection ended: {received:?}, expected {expected:?}");
        received.push_str(&String::from_utf8_lossy(&buf[..read]));
        assert!(bodies(&received).len() <= expected.len(), "{received:?}");
    }
}

/// Guards against requests that wait for a slow one before them on their connection, and against
/// responses in another order than the requests.
#[test]
fn idempotent_requests_start_before_earlier_ones_are_answered() {
    for is_split in [false, true] {
        let upstream = EchoUpstream::spawn();
        let harness = upstream.start_proxy();
        let mut caller = harness.connect();
        let requests = ["/held", "/bytes/b", "/c", "/d"];
        for path in requests {
            caller.write_all(get(path).as_bytes()).expect("a request");
            if is_split {
                upstream.wait_for(path);
            }
        }
        upstream.wait_for("/d");
        upstream.release();
        expect_bodies(&mut caller, &requests);
        assert_eq!(upstream.arrived().len(), requests.len(), "each request is sent once");
    }
}

/// Guards against a caller that sends requests without end, each of which occupies an upstream and
/// memory while the first one waits.
#[test]
fn the_number_of_requests_that_start_early_is_bounded() {
    /// Eight requests that are started early, and the one that hyper has read.
    const MOST_RUNNING: usize = 9;
    let upstream = EchoUpstream::spawn();
    let harness = upstream.start_proxy();
    let mut caller = harness.connect();
    let paths: Vec<String> = (0..60).map(|number| format!("/held/{number}")).collect();
    let requests: String = paths.iter().map(|path| get(path)).collect();
    caller.write_all(requests.as_bytes()).expect("requests");
    wait_until("the limit is reached", || upstream.with(|s| s.running) == MOST_RUNNING);
    thread::sleep(SETTLING_TIME);
    assert_eq!(upstream.with(|state| state.most_running), MOST_RUNNING);
    upstream.release();
    let expected: Vec<&str> = paths.iter().map(String::as_str).collect();
    expect_bodies(&mut caller, &expected);
    assert!(upstream.with(|state| state.most_running) <= MOST_RUNNING);
    assert_eq!(upstream.arrived().len(), paths.len(), "each request is sent once");
}

/// Guards against a non-idempotent request that runs before those in front of it or twice, and
/// against a request that does not see the effect of the one in front of it.
#[test]
fn a_non_idempotent_request_keeps_its_place() {
    struct Case {
        name: &'static str,
        requests: Vec<String>,
        early: &'static [&'static str],
        all: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "non-idempotent route behind an idempotent one",
            requests: vec![get("/held"), post("/n/1", "order"), get("/b")],
            early: &["/held"],
            all: &["/held", "/n/1", "/b"],
        },
        Case {
            name: "safe method on a non-idempotent route",
            requests: vec![get("/held"), get("/n/1"), get("/b")],
            early: &["/held"],
            all: &["/held", "/n/1", "/b"],
        },
        Case {
            name: "idempotent route behind an unsafe method",
            requests: vec![post("/n/held", "order"), get("/b")],
            early: &["/n/held"],
            all: &["/n/held", "/b"],
        },
        Case {
            name: "unsafe method on an idempotent route",
            requests: vec![get("/held"), post("/b", "x"), get("/c")],
            early: &["/held"],
            all: &["/held", "/b", "/c"],
        },
    ];
    for case in cases {
        let upstream = EchoUpstream::spawn();
        let harness = upstream.start_proxy();
        let mut caller = harness.connect();
        caller.write_all(case.requests.concat().as_bytes()).expect("requests");
        upstream.wait_for(case.early[0]);
        thread::sleep(SETTLING_TIME);
        assert_eq!(upstream.arrived(), case.early, "{}", case.name);
        upstream.release();
        expect_bodies(&mut caller, case.all);
        assert_eq!(upstream.arrived(), case.all, "{}", case.name);
    }
}

/// Guards against text in a body, or behind the end of a connection, that runs as a request.
#[test]
fn only_what_hyper_reads_as_a_request_is_started() {
    struct Case {
        name: &'static str,
        requests: Vec<String>,
        run: &'static [&'static str],
    }
    let hidden = get("/hidden");
    let chunked = |size: usize, data: &str| {
        format!(
            "POST /b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n\
             {size:x}\r\n{data}\r\n0\r\n\r\n"
        )
    };
    let both = format!(
        "POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n\
         0\r\n\r\n{hidden}"
    );
    let closing = "GET /b HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n".to_owned();
    let cases = [
        Case {
            name: "in a body with a length",
            requests: vec![get("/held"), post("/b", &hidden), get("/c")],
            run: &["/held", "/b", "/c"],
        },
        Case {
            name: "in a chunk",
            requests: vec![get("/held"), chunked(hidden.len(), &hidden), get("/c")],
            run: &["/held", "/b", "/c"],
        },
        Case {
            name: "in the body of a safe method",
            requests: vec![get("/held"), post("/b", &hidden).replacen("POST", "GET", 1), get("/c")],
            run: &["/held", "/b", "/c"],
        },
        Case {
            name: "behind a request that closes the connection",
            requests: vec![get("/held"), closing.clone(), hidden.clone()],
            run: &["/held", "/b"],
        },
        Case {
            name: "behind a first request that closes the connection",
            requests: vec![closing.replace("/b", "/held"), hidden.clone()],
            run: &["/held"],
        },
        Case {
            name: "behind a request of HTTP/1.0",
            requests: vec![get("/held"), "GET /b HTTP/1.0\r\nHost: a\r\n\r\n".to_owned(), hidden],
            run: &["/held"],
        },
        Case { name: "with two lengths", requests: vec![get("/held"), both], run: &["/held"] },
    ];
    for case in cases {
        let upstream = EchoUpstream::spawn();
        let harness = upstream.start_proxy();
        let mut caller = harness.connect();
        caller.write_all(case.requests.concat().as_bytes()).expect("requests");
        upstream.wait_for("/held");
        thread::sleep(SETTLING_TIME);
        assert!(!upstream.arrived().iter().any(|path| path == "/hidden"), "{}", case.name);
        upstream.release();
        let last = case.run.last().copied().unwrap_or_default();
        upstream.wait_for(last);
        thread::sleep(SETTLING_TIME);
        let mut arrived = upstream.arrived();
        arrived.sort_unstable();
        let mut expected = case.run.to_vec();
        expected.sort_unstable();
        if case.name == "with two lengths" {
            // hyper takes the chunks as the body, so the text behind them is a request of its own.
            arrived.retain(|path| path != "/hidden");
        }
        assert_eq!(arrived, expected, "{}", case.name);
    }
}

/// Guards against requests that keep upstreams busy after their caller has closed the connection.
#[test]
fn requests_are_canceled_when_the_caller_disconnects() {
    let upstream = EchoUpstream::spawn();
    let harness = upstream.start_proxy();
    let mut caller = harness.connect();
    let paths = ["/held/1", "/held/2", "/held/3"];
    caller.write_all(paths.map(get).concat().as_bytes()).expect("requests");
    for path in paths {
        upstream.wait_for(path);
    }
    drop(caller);
    wait_until("all requests are canceled", || upstream.with(|s| s.canceled) == paths.len());
}

/// Guards against the failure of one request that affects those behind it.
#[test]
fn a_failed_request_leaves_those_behind_it() {
    let upstream = EchoUpstream::spawn();
    let harness = upstream.start_proxy();
    let mut caller = harness.connect();
    let paths = ["/held/broken", "/b", "/held/c", "/broken", "/e"];
    caller.write_all(paths.map(get).concat().as_bytes()).expect("requests");
    upstream.wait_for("/e");
    upstream.release();
    expect_bodies(&mut caller, &["502", "/b", "/held/c", "502", "/e"]);
}

/// Guards against a planned stop that closes a connection on which later requests are in progress.
#[test]
fn a_planned_stop_answers_the_requests_that_were_started() {
    let upstream = EchoUpstream::spawn();
    let target = upstream.raw.address;
    let setup = Setup { targets: vec![("up-0", target)], ..Setup::default() };
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    let response = runtime.block_on(async {
        let proxy = setup.proxy(
            Pool::new(PoolLimits::default()),
            EventLog::default(),
            FakeRecords::default(),
        );
        let address = "127.0.0.1:0".parse().expect("an address");
        let bound = Server::bind(address, proxy, ServerLimits::default()).await;
        let (server, shutdown) = bound.expect("a free port");
        let address = server.local_address().expect("a bound address");
        let serving = compio::runtime::spawn(server.run());
        let mut caller = connect(address);
        let paths = ["/held/1", "/held/2", "/held/3"];
        caller.write_all(paths.map(get).concat().as_bytes()).expect("requests");
        while upstream.arrived().len() < paths.len() {
            compio::time::sleep(Duration::from_millis(5)).await;
        }
        shutdown.start();
        compio::time::sleep(SETTLING_TIME).await;
        // Arrives after the stop has started, so it is not sent before hyper reads it.
        caller.write_all(get("/late").as_bytes()).expect("a request");
        compio::time::sleep(SETTLING_TIME).await;
        assert_eq!(upstream.arrived().len(), paths.len(), "a late request was started");
        upstream.release();
        let reading = thread::spawn(move || read_all(&mut caller));
        let _ = serving.await;
        reading.join().expect("a response")
    });
    let answered = bodies(&response);
    assert_eq!(answered[..3], ["/held/1", "/held/2", "/held/3"], "{response:?}");
    let late = upstream.arrived().iter().filter(|path| *path == "/late").count();
    assert_eq!(answered.len() - 3, late, "a request that was sent has an answer: {response:?}");
}

/// A request of a random sequence.
#[derive(Clone, Copy, Debug)]
enum Kind {
    Get,
    GetWithBody,
    Large,
    Order,
    Chunked,
    Post,
}

impl Kind {
    fn to_bytes(self, number: usize) -> (String, String) {
        let nested = get("/nested");
        let (path, request) = match self {
            Self::Get => (format!("/g/{number}"), get(&format!("/g/{number}"))),
            Self::GetWithBody => {
                let path = format!("/b/{number}");
                let request = post(&path, &nested).replacen("POST", "GET", 1);
                (path, request)
            }
            Self::Large => (format!("/bytes/{number}"), get(&format!("/bytes/{number}"))),
            Self::Order => (format!("/n/{number}"), post(&format!("/n/{number}"), "order")),
            Self::Chunked => {
                let path = format!("/c/{number}");
                let mut request = format!(
                    "POST {path} HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                );
                write!(request, "{:x}\r\n{nested}\r\n0\r\n\r\n", nested.len()).expect("text");
                (path, request)
            }
            Self::Post => (format!("/p/{number}"), post(&format!("/p/{number}"), &nested)),
        };
        (path, request)
    }
}

/// Guards against requests that are lost, run twice, answered in another order or taken from a body,
/// whatever their kinds and wherever the packets end. The responses are those that the requests get
/// one at a time.
#[test]
fn random_sequences_are_answered_as_if_sent_one_at_a_time() {
    const SEQUENCES: u32 = 150;
    let upstream = EchoUpstream::spawn();
    let harness = upstream.start_proxy();
    let kind = prop_oneof![
        4 => Just(Kind::Get),
        1 => Just(Kind::GetWithBody),
        1 => Just(Kind::Large),
        1 => Just(Kind::Order),
        1 => Just(Kind::Chunked),
        1 => Just(Kind::Post),
    ];
    let sequence = (proptest::collection::vec(kind, 1..14), 1_usize..400, any::<bool>());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let config = Config { cases: SEQUENCES, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let run = runner.run(&sequence, |(kinds, piece_bytes, pauses)| {
        let before = upstream.arrived().len();
        let requests: Vec<_> = kinds.iter().enumerate().map(|(n, kind)| kind.to_bytes(n)).collect();
        let bytes: String = requests.iter().map(|(_, request)| request.as_str()).collect();
        let mut caller = harness.connect();
        caller.set_nodelay(true).expect("a socket");
        for piece in bytes.as_bytes().chunks(piece_bytes) {
            caller.write_all(piece).expect("a piece");
            if pauses {
                thread::sleep(Duration::from_micros(200));
            }
        }
        let expected: Vec<&str> = requests.iter().map(|(path, _)| path.as_str()).collect();
        expect_bodies(&mut caller, &expected);
        caller.shutdown(Shutdown::Both).expect("a socket");
        let mut counts = HashMap::new();
        for path in &upstream.arrived()[before..] {
            *counts.entry(path.clone()).or_insert(0) += 1;
        }
        prop_assert_eq!(counts.len(), expected.len(), "{:?}", counts);
        prop_assert!(counts.values().all(|count| *count == 1), "{:?}", counts);
        Ok(())
    });
    run.expect("each sequence is answered");
}

/// Guards against a planned stop that waits for a caller which never stops sending.
#[test]
fn a_planned_stop_does_not_wait_for_a_caller_that_keeps_sending() {
    /// Far above the time for which a stop waits until bytes were read, and below the deadlines of
    /// the requests.
    const STOP_LIMIT: Duration = Duration::from_secs(10);
    let upstream = EchoUpstream::spawn();
    let target = upstream.raw.address;
    let setup = Setup { targets: vec![("up-0", target)], ..Setup::default() };
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    let is_stopped = runtime.block_on(async {
        let pool = Pool::new(PoolLimits::default());
        let proxy = setup.proxy(pool, EventLog::default(), FakeRecords::default());
        let address = "127.0.0.1:0".parse().expect("an address");
        let bound = Server::bind(address, proxy, ServerLimits::default()).await;
        let (server, shutdown) = bound.expect("a free port");
        let mut caller = connect(server.local_address().expect("a bound address"));
        let mut receiving = caller.try_clone().expect("a socket");
        let serving = compio::runtime::spawn(server.run());
        // Both end once the proxy has closed the connection.
        thread::spawn(move || while caller.write_all(get("/x").as_bytes()).is_ok() {});
        thread::spawn(move || read_all(&mut receiving));
        while upstream.arrived().len() < 100 {
            compio::time::sleep(Duration::from_millis(5)).await;
        }
        shutdown.start();
        compio::time::timeout(STOP_LIMIT, serving).await.is_ok()
    });
    assert!(is_stopped, "the stop waits for the caller");
}
