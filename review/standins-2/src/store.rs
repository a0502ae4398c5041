//! The platform's metadata store: keys, revisions, watches and leases as on the users' page. It is
//! always sound. When a case asks for it, it cuts the watches that wait or discards its history, which
//! the page allows.

use std::collections::{BTreeMap, HashMap};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Head};

/// Interval at which expired leases are removed.
const LEASE_CHECK: Duration = Duration::from_millis(100);

#[derive(Clone)]
struct Event {
    key: String,
    /// The value as base64 text, `None` if the key was removed.
    value: Option<String>,
    revision: u64,
    lease: u64,
}

impl Event {
    fn to_json(&self) -> String {
        let Self { key, revision, lease, .. } = self;
        match &self.value {
            Some(value) => format!(
                "{{\"key\":\"{key}\",\"value\":\"{value}\",\"rev\":{revision},\
                 \"created-rev\":{revision},\"lease\":{lease}}}"
            ),
            None => format!("{{\"key\":\"{key}\",\"rev\":{revision},\"deleted\":true}}"),
        }
    }
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Event>,
    events: Vec<Event>,
    /// Time to live and end of each lease.
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
    /// Number of times that the waiting watches were cut.
    cuts: u64,
    /// Revision up to which the history is no longer available.
    discarded: u64,
    waiting: usize,
}

impl State {
    fn put(&mut self, key: &str, value: Option<String>, lease: u64) {
        self.revision += 1;
        let event = Event { key: key.to_owned(), value, revision: self.revision, lease };
        match event.value {
            Some(_) => self.items.insert(key.to_owned(), event.clone()),
            None => self.items.remove(key),
        };
        self.events.push(event);
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys = self.items.values().filter(|item| item.lease == lease && lease != 0);
        let keys: Vec<String> = keys.map(|item| item.key.clone()).collect();
        for key in keys {
            self.put(&key, None, 0);
        }
    }
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = State { revision: 1, next_lease: 100, ..State::default() };
        let store = Self { state: Arc::new((Mutex::new(state), Condvar::new())), address };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(Connection::new(stream)));
            }
        });
        let ticker = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(LEASE_CHECK);
                ticker.expire_leases();
            }
        });
        store
    }

    /// Writes a key. Returns the time of the acknowledgement.
    pub fn put(&self, key: &str, value: &str) -> Instant {
        self.lock().put(key, Some(to_base64(value.as_bytes())), 0);
        self.state.1.notify_all();
        Instant::now()
    }

    /// Removes a key. Returns the time of the acknowledgement.
    pub fn remove(&self, key: &str) -> Instant {
        self.lock().put(key, None, 0);
        self.state.1.notify_all();
        Instant::now()
    }

    /// Cuts the watches that wait. Returns their number.
    pub fn cut_watches(&self) -> usize {
        let mut state = self.lock();
        state.cuts += 1;
        self.state.1.notify_all();
        state.waiting
    }

    /// Discards the history up to now.
    pub fn discard_history(&self) {
        let mut state = self.lock();
        state.discarded = state.revision;
        state.events.clear();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn expire_leases(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let ended = state.leases.iter().filter(|(_, (_, end))| *end <= now);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            state.end_lease(lease);
        }
        self.state.1.notify_all();
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(head)) = connection.head() {
            let Ok(body) = connection.body(head.length().unwrap_or(0)) else { return };
            let body = String::from_utf8_lossy(&body).into_owned();
            let Some((status, text)) = self.answer(&head, &body) else {
                let _ = connection.stream.shutdown(Shutdown::Both);
                return;
            };
            let head = format!("HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n");
            if connection.send(&head, text.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns status and body, `None` if the connection is to be cut.
    fn answer(&self, head: &Head, body: &str) -> Option<(u16, String)> {
        let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
        let get = |name: &str| {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            fields.find(|(known, _)| *known == name).map(|(_, value)| percent_decode(value))
        };
        let call = path.strip_prefix("/cactustrack/").unwrap_or("");
        match call {
            "kv-key" => Some(self.key(&get("key")?)),
            "kv-range" => Some(self.range(&get("path-prefix")?, &get("after").unwrap_or_default())),
            "kv-watch" => {
                let after = get("after")?.parse().ok()?;
                let wait = Duration::from_millis(get("wait-ms")?.parse().ok()?);
                self.watch(&get("path-prefix")?, after, wait)
            }
            "kv-lease" => Some(self.grant(number(body, "\"ttl-s_time\":")?)),
            "kv-txn" => Some(self.transaction(body)),
            _ => {
                let (call, lease) = call.split_once('/')?;
                let lease = lease.parse().ok()?;
                Some(if call == "kv-keep" { self.keep(lease) } else { self.end(lease) })
            }
        }
    }

    fn key(&self, key: &str) -> (u16, String) {
        let state = self.lock();
        match state.items.get(key) {
            Some(item) => (200, item.to_json()),
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.lock();
        let items = state.items.values();
        let items = items.filter(|item| item.key.starts_with(prefix) && *item.key > *after);
        let items: Vec<String> = items.map(Event::to_json).collect();
        let (items, revision) = (items.join(","), state.revision);
        (200, format!("{{\"items\":[{items}],\"has-more\":false,\"as-of\":{revision}}}"))
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Option<(u16, String)> {
        let until = Instant::now() + wait;
        let mut state = self.lock();
        let cuts = state.cuts;
        loop {
            if after < state.discarded {
                return Some((410, "{}".to_owned()));
            }
            let events = state.events.iter();
            let events = events.filter(|e| e.revision > after && e.key.starts_with(prefix));
            let events: Vec<String> = events.map(Event::to_json).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return Some((200, format!("{{\"events\":[{events}],\"as-of\":{revision}}}")));
            }
            state.waiting += 1;
            let waited = self.state.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(|e| e.into_inner()).0;
            state.waiting -= 1;
            if state.cuts != cuts {
                return None;
            }
        }
    }

    fn grant(&self, ttl_s: f64) -> (u16, String) {
        let mut state = self.lock();
        state.next_lease += 1;
        let (lease, ttl) = (state.next_lease, Duration::from_secs_f64(ttl_s));
        state.leases.insert(lease, (ttl, Instant::now() + ttl));
        (200, format!("{{\"lease\":{lease},\"ttl-s_time\":{ttl_s}}}"))
    }

    fn keep(&self, lease: u64) -> (u16, String) {
        let mut state = self.lock();
        let Some((ttl, end)) = state.leases.get_mut(&lease) else {
            return (404, "{}".to_owned());
        };
        *end = Instant::now() + *ttl;
        (200, format!("{{\"ttl-s_time\":{}}}", ttl.as_secs_f64()))
    }

    fn end(&self, lease: u64) -> (u16, String) {
        self.lock().end_lease(lease);
        self.state.1.notify_all();
        (200, "{}".to_owned())
    }

    /// Executes the only transaction that instances without quotas send: one put under a lease.
    fn transaction(&self, body: &str) -> (u16, String) {
        let mut state = self.lock();
        for put in body.split("{\"key\":\"").skip(1) {
            let Some((key, rest)) = put.split_once('"') else { continue };
            let Some((_, rest)) = rest.split_once("\"value\":\"") else { continue };
            let Some((value, rest)) = rest.split_once('"') else { continue };
            let lease = number(rest, "\"lease\":").unwrap_or(0.0) as u64;
            if lease != 0 && !state.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
            state.put(key, Some(value.to_owned()), lease);
        }
        self.state.1.notify_all();
        (200, format!("{{\"rev\":{}}}", state.revision))
    }
}

/// Returns the number behind `name` in a JSON text.
fn number(text: &str, name: &str) -> Option<f64> {
    let (_, rest) = text.split_once(name)?;
    let end = rest.find(|c: char| !(c.is_ascii_digit() || c == '.')).unwrap_or(rest.len());
    rest[..end].parse().ok()
}

fn percent_decode(text: &str) -> String {
    let (bytes, mut decoded, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        let digits = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match digits.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn to_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0_u32, |group, byte| group << 8 | u32::from(*byte));
        let group = group << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            let at = (group >> (18 - 6 * digit)) & 63;
            let is_digit = digit <= chunk.len();
            text.push(if is_digit { char::from(DIGITS[at as usize]) } else { '=' });
        }
    }
    text
}

/// A route of the operator's configuration.
pub struct Route {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_s: u32,
}

/// Host of all routes.
pub const HOST: &str = "jepu9.example";

/// Returns a configuration as the operator writes it.
pub fn configuration(version: u64, routes: &[Route]) -> String {
    let row = |route: &Route| {
        let Route { prefix, kind, service, timeout_s } = route;
        format!("[\"{prefix}\",\"{HOST}\",\"{prefix}\",\"{kind}\",{timeout_s},1,1,2,\"{service}\"]")
    };
    let rows: Vec<String> = routes.iter().map(row).collect();
    let service = |route: &Route| format!("[\"{}\",\"/healthz\",330,\"h1\",false]", route.service);
    let mut services: Vec<String> = routes.iter().map(service).collect();
    services.dedup();
    format!(
        "{{\"version\":{version},\"routes\":{{\"columns\":[\"name\",\"host\",\"path-prefix\",\
         \"kind\",\"timeout-s\",\"target-latency-s\",\"priority\",\"attempts\",\"service\"],\
         \"rows\":[{}]}},\"services\":{{\"columns\":[\"name\",\"health-check\",\
         \"max-connections\",\"protocol\",\"tls\"],\"rows\":[{}]}},\"limits\":{{\
         \"max-header-bytes\":16384,\"max-body-bytes\":67108864,\"header-timeout-s\":3,\
         \"idle-timeout-s\":15}}}}",
        rows.join(","),
        services.join(",")
    )
}

/// Key of the configuration.
pub const CONFIGURATION_KEY: &str = "op/config";

/// Returns the key of the entry of a backend.
pub fn entry_key(id: &str) -> String {
    format!("servers/{id}")
}

/// Returns the entry of a ready backend.
pub fn entry(service: &str, address: SocketAddr) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"zone-a\",\
         \"version\":\"v1\",\"capacity\":8,\"state\":\"ready\",\"warmup-left-s\":0,\"seq\":1,\
         \"born\":1796000000000}}"
    )
}
