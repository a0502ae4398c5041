//! A client that keeps its connection open.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::store::HOST;

/// Longest wait for an answer, beyond every deadline.
const ANSWER_LIMIT: Duration = Duration::from_secs(40);

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Returns an id that no other request has.
pub fn next_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

/// What became of a request.
pub struct Outcome {
    pub id: String,
    pub sent: Instant,
    pub ended: Instant,
    /// Status of the answer, 0 if the connection ended without one.
    pub status: u16,
    pub is_whole: bool,
    pub is_signed: bool,
    pub body_bytes: usize,
}

impl Outcome {
    /// Returns a line for the record.
    pub fn describe(&self) -> String {
        let after = self.ended.duration_since(self.sent).as_secs_f64();
        let whole = if self.is_whole { "whole" } else { "not whole" };
        let from = if self.is_signed { "of the backend" } else { "not of a backend" };
        let (id, status, bytes) = (&self.id, self.status, self.body_bytes);
        format!("request {id}: {status} {from} after {after:.3} s, body {whole}, {bytes} bytes")
    }
}

pub struct Client {
    address: SocketAddr,
    connection: Option<Connection>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Self { address, connection: None }
    }

    /// Sends a request and waits for the whole answer.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        deadline: Duration,
        body: &[u8],
    ) -> io::Result<Outcome> {
        let id = next_id();
        if self.connection.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1))?;
            stream.set_read_timeout(Some(ANSWER_LIMIT))?;
            self.connection = Some(Connection::new(stream));
        }
        let Some(mut connection) = self.connection.take() else { return Err(io::Error::other("")) };
        let sent = Instant::now();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nCactustrack-Request-Id: {id}\r\n\
             Cactustrack-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n",
            deadline.as_millis(),
            body.len()
        );
        connection.stream.write_all(head.as_bytes())?;
        if !body.is_empty() {
            // A long body is sent beside the wait for the answer, which may come before its end.
            let mut stream = connection.stream.try_clone()?;
            let body = body.to_vec();
            std::thread::spawn(move || stream.write_all(&body));
        }
        let mut outcome = Outcome {
            id,
            sent,
            ended: sent,
            status: 0,
            is_whole: false,
            is_signed: false,
            body_bytes: 0,
        };
        if let Ok(Some(head)) = connection.head() {
            let length = head.length().unwrap_or(0);
            outcome.status = head.status();
            outcome.is_signed = head.get("cactustrack-backend-signature").is_some();
            outcome.body_bytes = connection.body(length).map_or(0, |body| body.len());
            outcome.is_whole = outcome.body_bytes == length;
            let closes = head.get("connection").is_some_and(|value| value == "close");
            if outcome.is_whole && !closes {
                self.connection = Some(connection);
            }
        }
        outcome.ended = Instant::now();
        Ok(outcome)
    }
}
