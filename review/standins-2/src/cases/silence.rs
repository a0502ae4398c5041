//! A backend is silent in the middle of an answer, around a SIGHUP.

use std::io::Write;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::backend::{Backend, success};
use crate::client::Client;
use crate::record::Record;
use crate::store::{CONFIGURATION_KEY, Route, Store, configuration, entry, entry_key};

const ANSWER_BYTES: usize = 90_000;

/// Time for which a backend is silent in the middle of its answer.
const SILENCE: Duration = Duration::from_millis(11_000);
const DEADLINE: Duration = Duration::from_secs(20);
const REQUESTS: usize = 3;

pub fn run(has_trouble: bool, record: &Record) -> Option<bool> {
    let store = Store::start();
    let route = Route { prefix: "/dumps/", kind: "download", service: "muat", timeout_s: 20 };
    store.put(CONFIGURATION_KEY, &configuration(7, &[route]));
    let start = |number: usize| {
        let id = format!("i-{number}");
        let log = record.clone();
        let backend = Backend::start(
            &id.clone(),
            Arc::new(move |connection, head| {
                let response = format!("{}Content-Length: {ANSWER_BYTES}\r\n\r\n", success(head));
                let body = vec![b'd'; ANSWER_BYTES];
                let (first, rest) = body.split_at(ANSWER_BYTES / 2);
                let stream = &mut connection.stream;
                let mut send = |bytes: &[u8]| stream.write_all(bytes);
                if send(response.as_bytes()).and_then(|()| send(first)).is_err() {
                    return false;
                }
                if has_trouble {
                    thread::sleep(SILENCE);
                }
                let sent = send(rest);
                log.line(&format!("{id} has sent the rest of its answer: {}", sent.is_ok()));
                sent.is_ok()
            }),
        );
        store.put(&entry_key(&backend.id), &entry("muat", backend.address));
        backend
    };
    let _backends: Vec<Backend> = (0..REQUESTS).map(start).collect();
    let nodes = super::start_nodes(1, &store, 6, record)?;
    record.line("SIGHUP");
    nodes[0].signal("-HUP");
    thread::sleep(Duration::from_secs(1));
    let front = nodes[0].front;
    let call = |_| thread::spawn(move || Client::new(front).call("GET", "/dumps/x", DEADLINE, b""));
    let calls: Vec<_> = (0..REQUESTS).map(call).collect();
    let mut cut = 0;
    for call in calls {
        let outcome = call.join().ok()?.ok()?;
        record.line_at(outcome.ended, &outcome.describe());
        if outcome.ended.duration_since(outcome.sent) < DEADLINE && !outcome.is_whole {
            cut += 1;
        }
    }
    record.line(&format!("{cut} answers were cut"));
    Some(cut > 0)
}
