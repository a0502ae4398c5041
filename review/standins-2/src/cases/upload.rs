//! A backend reads an upload slowly while the instance is asked to stop.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::backend::{Backend, success};
use crate::client::Client;
use crate::record::Record;
use crate::store::{CONFIGURATION_KEY, Route, Store, configuration, entry, entry_key};

const UPLOADS: usize = 3;
const BODY_BYTES: usize = 16 * 1024 * 1024;

/// Time for which a backend reads nothing. Without the disruption it reads at once, and works for as
/// long after that.
const PAUSE: Duration = Duration::from_millis(3_700);

/// Time that the client gives. It ends before the last sixth of the grace period.
const DEADLINE: Duration = Duration::from_millis(4_000);

/// Time from the start of the uploads to SIGTERM.
const BEFORE_STOP: Duration = Duration::from_millis(500);

pub fn run(has_trouble: bool, record: &Record) -> Option<bool> {
    let store = Store::start();
    let route = Route { prefix: "/photos/", kind: "upload", service: "comprobantes", timeout_s: 4 };
    store.put(CONFIGURATION_KEY, &configuration(7, &[route]));
    let start = |number: usize| {
        let id = format!("i-{number}");
        let log = record.clone();
        let backend = Backend::start(
            &id.clone(),
            Arc::new(move |connection, head| {
                let length = head.length().unwrap_or(0);
                if has_trouble {
                    thread::sleep(PAUSE);
                }
                let read = connection.skip(length);
                if !has_trouble {
                    thread::sleep(PAUSE);
                }
                let text = match &read {
                    Ok(read) => format!("{id} has read {read} of {length} bytes"),
                    Err(error) => format!("{id} cannot read on: {error}"),
                };
                log.line(&text);
                read.is_ok_and(|read| read == length)
                    && connection.send(&success(head), b"kept").is_ok()
            }),
        );
        store.put(&entry_key(&backend.id), &entry("comprobantes", backend.address));
        backend
    };
    let backends: Vec<Backend> = (0..UPLOADS).map(start).collect();
    let nodes = super::start_nodes(1, &store, 6, record)?;
    let body = Arc::new(vec![b'p'; BODY_BYTES]);
    let front = nodes[0].front;
    let upload = |_| {
        let body = Arc::clone(&body);
        thread::spawn(move || Client::new(front).call("POST", "/photos/x", DEADLINE, &body))
    };
    let uploads: Vec<_> = (0..UPLOADS).map(upload).collect();
    record.line(&format!("{UPLOADS} uploads of {BODY_BYTES} bytes are sent"));
    thread::sleep(BEFORE_STOP);
    record.line("SIGTERM");
    nodes[0].signal("-TERM");
    let mut broken_off = 0;
    for upload in uploads {
        let outcome = upload.join().ok()?.ok()?;
        let is_run =
            backends.iter().any(|it| it.runs().iter().any(|run| run.request == outcome.id));
        record.line_at(
            outcome.ended,
            &format!("{}, reached a backend: {is_run}", outcome.describe()),
        );
        let within = outcome.ended.duration_since(outcome.sent) < DEADLINE;
        let is_served = outcome.status == 200 && outcome.is_signed && outcome.is_whole;
        if is_run && within && !is_served {
            broken_off += 1;
        }
    }
    record.line(&format!("{broken_off} uploads were broken off with their backends at work"));
    Some(broken_off > 0)
}
