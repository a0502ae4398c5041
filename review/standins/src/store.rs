//! Stand-in of the platform's metadata store.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};

/// One write or removal.
#[derive(Clone)]
struct Event {
    at: Instant,
    revision: u64,
    key: String,
    /// The value as base64 text. `None` if the key was removed.
    value: Option<String>,
}

#[derive(Default)]
struct State {
    revision: u64,
    events: Vec<Event>,
    next_lease: u64,
    leases: BTreeMap<u64, Vec<String>>,
    /// Listeners on which a watch of the backends waits.
    waiting: Vec<SocketAddr>,
}

/// Age of the state that a read with `serializable` returns, by the position of its page.
type StaleAge = Box<dyn Fn(usize) -> Duration + Send + Sync>;

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// Largest number of items of a page.
    page: usize,
    stale_age: StaleAge,
}

impl Store {
    pub fn new(page: usize, stale_age: StaleAge) -> Arc<Self> {
        let state = State { revision: 100, next_lease: 7_000, ..State::default() };
        let changed = Condvar::new();
        Arc::new(Self { state: Mutex::new(state), changed, page, stale_age })
    }

    /// Opens a listener and returns its address.
    pub fn listen(self: &Arc<Self>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&store);
                thread::spawn(move || store.serve(&stream, address));
            }
        });
        address
    }

    /// Writes a key and returns the time of the acknowledgement.
    pub fn put(&self, key: &str, value: &str) -> Instant {
        self.write(key, Some(base64(value.as_bytes())))
    }

    /// Removes a key and returns the time of the acknowledgement.
    pub fn remove(&self, key: &str) -> Instant {
        self.write(key, None)
    }

    /// Returns true if a watch of the backends waits on a listener.
    pub fn is_watched_by(&self, listener: SocketAddr) -> bool {
        self.state.lock().expect("a lock").waiting.contains(&listener)
    }

    fn write(&self, key: &str, value: Option<String>) -> Instant {
        let mut state = self.state.lock().expect("a lock");
        let at = Instant::now();
        state.revision += 1;
        let (revision, key) = (state.revision, key.to_owned());
        state.events.push(Event { at, revision, key, value });
        self.changed.notify_all();
        at
    }

    fn serve(&self, stream: &TcpStream, listener: SocketAddr) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            let (status, body) = self.respond(&request, listener);
            let json = [("Content-Type", "application/json")];
            if http::write_response(stream, &status, &json, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Message, listener: SocketAddr) -> (String, String) {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        match (request.method(), path) {
            ("GET", "/cactustrack/kv-range") => self.range(query),
            ("GET", "/cactustrack/kv-watch") => self.watch(query, listener),
            ("POST", "/cactustrack/kv-lease") => self.grant(&text(request)),
            ("POST", "/cactustrack/kv-txn") => self.transact(&text(request)),
            ("POST", path) if path.starts_with("/cactustrack/kv-keep/") => self.keep(path),
            ("DELETE", path) if path.starts_with("/cactustrack/kv-lease-end/") => self.end(path),
            _ => ("404 Not Found".to_owned(), "{}".to_owned()),
        }
    }

    fn range(&self, query: &str) -> (String, String) {
        let prefix = parameter(query, "path-prefix").unwrap_or_default();
        let after = parameter(query, "after").unwrap_or_default();
        let state = self.state.lock().expect("a lock");
        let is_stale = parameter(query, "serializable").is_some();
        let current = items_at(&state, u64::MAX, &prefix);
        let page = current.keys().filter(|key| **key <= after).count() / self.page;
        let revision = if is_stale {
            let age = (self.stale_age)(page);
            let seen = state.events.iter().filter(|event| event.at.elapsed() >= age);
            seen.map(|event| event.revision).max().unwrap_or(100)
        } else {
            state.revision
        };
        let items = items_at(&state, revision, &prefix);
        let mut rest = items.into_iter().filter(|(key, _)| *key > after);
        let rows: Vec<_> = rest
            .by_ref()
            .take(self.page)
            .map(|(key, (rev, value))| {
                format!(r#"{{"key":"{key}","value":"{value}","rev":{rev},"created-rev":{rev},"lease":0}}"#)
            })
            .collect();
        let has_more = rest.next().is_some();
        let items = rows.join(",");
        ok(format!(r#"{{"items":[{items}],"has-more":{has_more},"as-of":{revision}}}"#))
    }

    fn watch(&self, query: &str, listener: SocketAddr) -> (String, String) {
        let prefix = parameter(query, "path-prefix").unwrap_or_default();
        let number = |name| parameter(query, name).and_then(|text| text.parse::<u64>().ok());
        let after = number("after").unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or_default());
        let mut state = self.state.lock().expect("a lock");
        loop {
            let is_new = |event: &&Event| event.revision > after && event.key.starts_with(&prefix);
            let rows: Vec<_> = state.events.iter().filter(is_new).map(event_row).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let as_of = state.revision;
                return ok(format!(r#"{{"events":[{}],"as-of":{as_of}}}"#, rows.join(",")));
            }
            let is_for_servers = prefix.starts_with("servers/");
            if is_for_servers {
                state.waiting.push(listener);
            }
            state = self.changed.wait_timeout(state, left).expect("a lock").0;
            if is_for_servers && let Some(at) = state.waiting.iter().position(|at| *at == listener)
            {
                state.waiting.remove(at);
            }
        }
    }

    fn grant(&self, body: &str) -> (String, String) {
        let ttl = number_field(body, "ttl-s_time").unwrap_or(10.0);
        let mut state = self.state.lock().expect("a lock");
        state.next_lease += 1;
        let lease = state.next_lease;
        state.leases.insert(lease, Vec::new());
        ok(format!(r#"{{"lease":{lease},"ttl-s_time":{ttl}}}"#))
    }

    /// Writes the key of a registration. The instances send no other change.
    fn transact(&self, body: &str) -> (String, String) {
        let (Some(key), Some(value)) = (string_field(body, "key"), string_field(body, "value"))
        else {
            return ("400 Bad Request".to_owned(), "{}".to_owned());
        };
        let lease = number_field(body, "lease").unwrap_or_default() as u64;
        if let Some(keys) = self.state.lock().expect("a lock").leases.get_mut(&lease) {
            keys.push(key.clone());
        } else {
            return ("404 Not Found".to_owned(), "{}".to_owned());
        }
        self.write(&key, Some(value));
        ok(format!(r#"{{"rev":{}}}"#, self.state.lock().expect("a lock").revision))
    }

    /// Leases don't run out here: no case is longer than they are.
    fn keep(&self, path: &str) -> (String, String) {
        let lease = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        if self.state.lock().expect("a lock").leases.contains_key(&lease) {
            return ok(r#"{"ttl-s_time":15}"#.to_owned());
        }
        ("404 Not Found".to_owned(), "{}".to_owned())
    }

    fn end(&self, path: &str) -> (String, String) {
        let lease = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        let keys = self.state.lock().expect("a lock").leases.remove(&lease).unwrap_or_default();
        for key in keys {
            self.remove(&key);
        }
        ok("{}".to_owned())
    }
}

fn items_at(state: &State, revision: u64, prefix: &str) -> BTreeMap<String, (u64, String)> {
    let mut items = BTreeMap::new();
    for event in state.events.iter().filter(|event| event.revision <= revision) {
        if !event.key.starts_with(prefix) {
            continue;
        }
        match &event.value {
            Some(value) => items.insert(event.key.clone(), (event.revision, value.clone())),
            None => items.remove(&event.key),
        };
    }
    items
}

fn event_row(event: &Event) -> String {
    let Event { key, revision: rev, .. } = event;
    match &event.value {
        Some(value) => {
            format!(
                r#"{{"key":"{key}","value":"{value}","rev":{rev},"created-rev":{rev},"lease":0}}"#
            )
        }
        None => format!(r#"{{"key":"{key}","rev":{rev},"deleted":true}}"#),
    }
}

fn ok(body: String) -> (String, String) {
    ("200 OK".to_owned(), body)
}

fn text(message: &Message) -> String {
    String::from_utf8_lossy(&message.body).into_owned()
}

fn parameter(query: &str, name: &str) -> Option<String> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(known, _)| *known == name).map(|(_, value)| decode_percent(value))
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn field<'a>(body: &'a str, name: &str) -> Option<&'a str> {
    let start = body.find(&format!("\"{name}\":"))? + name.len() + 3;
    Some(body[start..].trim_start())
}

fn string_field(body: &str, name: &str) -> Option<String> {
    let text = field(body, name)?.strip_prefix('"')?;
    text.split('"').next().map(str::to_owned)
}

fn number_field(body: &str, name: &str) -> Option<f64> {
    let text = field(body, name)?;
    text.split([',', '}', ']']).next()?.trim().parse().ok()
}

/// Encodes standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0_u32, |group, byte| group << 8 | u32::from(*byte));
        let group = group << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let digit = DIGITS[(group >> (18 - 6 * index)) as usize & 63];
            text.push(if index <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
