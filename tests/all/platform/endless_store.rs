//! A store whose address answers with bytes without end.

use std::fs;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

use cactustrack_test_support::caller::Call;
use http::StatusCode;

use super::harness::Process;

/// Time within which the instance answers a readiness check. It is far beyond a busy machine's
/// delay and below the time after which the platform takes an instance out of rotation for good.
const ANSWERED_WITHIN: Duration = Duration::from_secs(3);

/// Most memory that an instance without a configuration may use, in kilobytes.
const MAX_MEMORY_KB: u64 = 64 * 1024;

/// Highest memory use of a process in kilobytes.
fn peak_memory_kb(process: &Process) -> u64 {
    let path = format!("/proc/{}/status", process.child.id());
    let status = fs::read_to_string(path).expect("the state of the process");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("its memory");
    line.trim().trim_end_matches(" kB").parse().expect("a number")
}

/// Guards against an instance that serves nobody, or runs out of memory, while it reads from the
/// store what never becomes a response.
#[test]
fn an_endless_response_of_the_store_does_not_hold_up_the_instance() {
    struct Case {
        name: &'static str,
        start: &'static str,
        repeated: &'static str,
    }
    const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let cases = [
        Case { name: "no HTTP", start: "", repeated: "x" },
        Case { name: "headers", start: "HTTP/1.1 200 OK\r\n", repeated: "A: b\r\n" },
        Case { name: "informational", start: "", repeated: "HTTP/1.1 103 Early Hints\r\n\r\n" },
        Case { name: "chunk size", start: CHUNKED, repeated: "0" },
        Case { name: "chunks", start: CHUNKED, repeated: "3\r\nabc\r\n" },
        Case { name: "body", start: "HTTP/1.1 200 OK\r\n\r\n", repeated: "abcd" },
    ];
    for Case { name, start, repeated } in cases {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("its address");
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(mut stream) = stream else { continue };
                thread::spawn(move || {
                    let _ = stream.read(&mut [0; 512]);
                    let block = repeated.repeat(1_000);
                    let _ = stream.write_all(start.as_bytes());
                    while stream.write_all(block.as_bytes()).is_ok() {}
                });
            }
        });
        let instance = Process::start(0, address);
        thread::sleep(Duration::from_millis(500));
        for _ in 0..5 {
            let started = Instant::now();
            let response = Call::get("admin", "/cactustrack/ready").send(instance.admin);
            let status = response.map(|response| response.status).expect("a response");
            assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{name}");
            assert!(started.elapsed() < ANSWERED_WITHIN, "{name}: {:?}", started.elapsed());
        }
        let peak = peak_memory_kb(&instance);
        assert!(peak < MAX_MEMORY_KB, "{name}: {peak} kB");
    }
}
