//! Stand-in of a backend.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::http::{self, Message};
use crate::record::Record;

/// What a backend does with a request that it has accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Conduct {
    /// Runs it and answers.
    Sound,
    /// Runs it and sends a half of the answer, and nothing more.
    HalfAnswer,
    /// Runs it and answers 503, without a statement that it was not run.
    UnavailableAfterRun,
}

/// Chooses the conduct for the next request.
pub type Choose = Arc<dyn Fn() -> Conduct + Send + Sync>;

pub struct Server {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    work: Duration,
    body: Vec<u8>,
    choose: Choose,
    is_gone: AtomicBool,
    record: Arc<Record>,
}

impl Server {
    pub fn start(
        id: &str,
        service: &str,
        work: Duration,
        body_bytes: usize,
        choose: Choose,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().expect("an address"),
            work,
            body: vec![b'x'; body_bytes],
            choose,
            is_gone: AtomicBool::new(false),
            record: Arc::clone(record),
        });
        let accepting = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.is_gone.load(Ordering::Relaxed) {
                    return;
                }
                let server = Arc::clone(&accepting);
                thread::spawn(move || server.serve(&stream));
            }
        });
        server
    }

    /// The key of its entry in the store.
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Its entry in the store.
    pub fn entry(&self, state: &str, warmup_left_s: f64) -> String {
        let Self { service, address, .. } = self;
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"kl-a","version":"v1","capacity":3,"state":"{state}","warmup-left-s":{warmup_left_s},"seq":4,"born":1780000000000}}"#
        )
    }

    /// Ends the backend: it accepts and serves nothing further.
    pub fn leave(&self) {
        self.is_gone.store(true, Ordering::Relaxed);
        // Wakes the thread that accepts, which then closes the listener.
        let _ = TcpStream::connect(self.address);
    }

    fn serve(&self, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            if self.is_gone.load(Ordering::Relaxed) {
                return;
            }
            if self.answer(stream, &request).is_err() {
                return;
            }
        }
    }

    fn answer(&self, stream: &TcpStream, request: &Message) -> std::io::Result<()> {
        let id = request.header("cactustrack-request-id").unwrap_or_default();
        let target = request.header("cactustrack-target-instance");
        if target.is_some_and(|target| target != self.id) {
            let headers = [("Cactustrack-Instance-Id", &*self.id)];
            return http::write_response(stream, "421 Misdirected Request", &headers, b"");
        }
        if id.is_empty() {
            let headers = [("Cactustrack-Not-Executed", "1")];
            return http::write_response(stream, "400 Bad Request", &headers, b"");
        }
        self.record.on_run(&self.id, id, request.body.len());
        let conduct = (self.choose)();
        thread::sleep(self.work);
        if self.is_gone.load(Ordering::Relaxed) {
            return Err(http::invalid("the backend has ended"));
        }
        let signature = format!("{}.{id}", self.id);
        let headers =
            [("Cactustrack-Request-Id", id), ("Cactustrack-Backend-Signature", &*signature)];
        match conduct {
            Conduct::Sound => http::write_response(stream, "200 OK", &headers, &self.body),
            Conduct::UnavailableAfterRun => {
                let headers = [("Cactustrack-Request-Id", id)];
                http::write_response(stream, "503 Service Unavailable", &headers, b"failed")
            }
            Conduct::HalfAnswer => {
                let mut head =
                    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n", self.body.len());
                for (name, value) in headers {
                    head += &format!("{name}: {value}\r\n");
                }
                let mut stream = stream;
                stream.write_all((head + "\r\n").as_bytes())?;
                stream.write_all(&self.body[..self.body.len() / 2])?;
                self.record.note(&format!("server {} sent half of the answer to {id}", self.id));
                // The connection stays open until the other side closes it.
                let _ = std::io::copy(&mut stream, &mut std::io::sink());
                Err(http::invalid("ended"))
            }
        }
    }
}
