//! A backend. It records the requests that it runs and echoes the id of a request.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use crate::http::{Connection, Head};

/// Handles one request. Returns false to close the connection.
pub type Handler = Arc<dyn Fn(&mut Connection, &Head) -> bool + Send + Sync>;

/// A request that reached the backend.
#[derive(Clone)]
pub struct Run {
    pub at: Instant,
    pub request: String,
}

pub struct Backend {
    pub id: String,
    pub address: SocketAddr,
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Backend {
    pub fn start(id: &str, handler: Handler) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let runs = Arc::new(Mutex::new(Vec::new()));
        let backend = Self { id: id.to_owned(), address, runs: Arc::clone(&runs) };
        let id = backend.id.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (handler, runs, id) = (Arc::clone(&handler), Arc::clone(&runs), id.clone());
                thread::spawn(move || serve(Connection::new(stream), &id, &handler, &runs));
            }
        });
        backend
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap_or_else(|e| e.into_inner()).clone()
    }
}

fn serve(mut connection: Connection, id: &str, handler: &Handler, runs: &Mutex<Vec<Run>>) {
    while let Ok(Some(head)) = connection.head() {
        // A request for another instance is not run.
        if head.get("cactustrack-target-instance").is_some_and(|target| target != id) {
            let head = format!("HTTP/1.1 421 Misdirected Request\r\n{}", echo(&head));
            if connection.send(&head, b"").is_err() {
                return;
            }
            continue;
        }
        let request = request_id(&head).to_owned();
        runs.lock().unwrap_or_else(|e| e.into_inner()).push(Run { at: Instant::now(), request });
        if !handler(&mut connection, &head) {
            return;
        }
    }
}

pub fn request_id(head: &Head) -> &str {
    head.get("cactustrack-request-id").unwrap_or("")
}

fn echo(head: &Head) -> String {
    format!("Cactustrack-Request-Id: {}\r\n", request_id(head))
}

/// Returns the head of a successful response, to which the length is still to be added.
pub fn success(head: &Head) -> String {
    let id = request_id(head);
    format!(
        "HTTP/1.1 200 OK\r\nCactustrack-Request-Id: {id}\r\n\
         Cactustrack-Backend-Signature: signed.{id}\r\n"
    )
}
