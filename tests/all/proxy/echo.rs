//! An upstream that shows which requests arrive and at the same time.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use super::harness::{Harness, RawUpstream, Setup, read_head, wait_until};

/// An upstream that answers each request with its path, and holds the requests to `/held`.
pub(super) struct EchoUpstream {
    pub(super) raw: RawUpstream,
    state: Arc<(Mutex<EchoState>, Condvar)>,
}

#[derive(Default)]
pub(super) struct EchoState {
    /// Paths in the order in which their requests arrived.
    arrived: Vec<String>,
    /// Requests without a response, and the largest number of them at a time.
    pub(super) running: usize,
    pub(super) most_running: usize,
    is_released: bool,
    /// Connections that the proxy has closed before the response.
    pub(super) canceled: usize,
}

impl EchoUpstream {
    pub(super) fn spawn() -> Self {
        let state = Arc::<(Mutex<EchoState>, Condvar)>::default();
        let shared = Arc::clone(&state);
        let raw = RawUpstream::spawn(move |_, stream| {
            while let Some(head) = read_head(stream) {
                read_body(stream, &head);
                let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
                if !respond(stream, &path, &shared) {
                    return;
                }
            }
        });
        Self { raw, state }
    }

    pub(super) fn with<T>(&self, read: impl FnOnce(&EchoState) -> T) -> T {
        read(&self.state.0.lock().expect("the state"))
    }

    pub(super) fn arrived(&self) -> Vec<String> {
        self.with(|state| state.arrived.clone())
    }

    pub(super) fn release(&self) {
        self.state.0.lock().expect("the state").is_released = true;
        self.state.1.notify_all();
    }

    pub(super) fn wait_for(&self, path: &str) {
        wait_until(&format!("{path} arrives"), || self.arrived().iter().any(|p| p == path));
    }

    pub(super) fn start_proxy(&self) -> Harness {
        Setup { targets: vec![("up-0", self.raw.address)], ..Setup::default() }.start()
    }
}

fn read_body(stream: &mut TcpStream, head: &str) {
    let head = head.to_ascii_lowercase();
    let length = head.split("content-length: ").nth(1).and_then(|rest| rest.split('\r').next());
    if let Some(length) = length {
        let mut body = vec![0; length.parse().expect("a length")];
        stream.read_exact(&mut body).expect("the body");
    } else if head.contains("transfer-encoding: chunked") {
        let (mut body, mut byte) = (Vec::new(), [0]);
        while !body.ends_with(b"0\r\n\r\n") {
            stream.read_exact(&mut byte).expect("the body");
            body.push(byte[0]);
        }
    }
}

/// Answers a request. Returns false if the connection ends first.
fn respond(stream: &mut TcpStream, path: &str, shared: &(Mutex<EchoState>, Condvar)) -> bool {
    let (state, changed) = shared;
    let mut state = state.lock().expect("the state");
    state.arrived.push(path.to_owned());
    state.running += 1;
    state.most_running = state.most_running.max(state.running);
    while path.contains("held") && !state.is_released {
        state = changed.wait_timeout(state, Duration::from_millis(5)).expect("the state").0;
        if is_closed(stream) {
            state.running -= 1;
            state.canceled += 1;
            return false;
        }
    }
    state.running -= 1;
    drop(state);
    if path.contains("broken") {
        return false;
    }
    let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{path}", path.len());
    stream.write_all(response.as_bytes()).is_ok()
}

fn is_closed(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("a socket");
    let is_closed = matches!(stream.peek(&mut [0]), Ok(0));
    stream.set_nonblocking(false).expect("a socket");
    is_closed
}
