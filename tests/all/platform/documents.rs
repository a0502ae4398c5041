//! What the platform writes: the operator's configuration, entries of upstreams and settings files.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};

/// Host of all routes.
pub(super) const HOST: &str = "shop.example";

/// Key of the configuration in the store.
pub(super) const CONFIGURATION_KEY: &str = "op/config";

/// Connections that an upstream accepts from all instances.
const MAX_CONNECTIONS: u32 = 300;

/// Attempts that a request may make.
const ATTEMPTS: u32 = 2;

/// A route of the operator's configuration.
#[derive(Clone, Debug)]
pub(super) struct RouteEntry {
    pub(super) prefix: String,
    /// What may be repeated, in the platform's words.
    pub(super) kind: &'static str,
    pub(super) service: &'static str,
    pub(super) timeout_s: f64,
}

/// A configuration with one service.
pub(super) fn configuration(version: u64, service: &str, routes: &[RouteEntry]) -> Value {
    let row = |route: &RouteEntry| {
        json!([
            route.prefix,
            HOST,
            route.prefix,
            route.kind,
            route.timeout_s,
            1.0,
            1,
            null,
            ATTEMPTS,
            route.service
        ])
    };
    let rows: Vec<_> = routes.iter().map(row).collect();
    let columns = json!([
        "name",
        "host",
        "path-prefix",
        "kind",
        "timeout-s",
        "target-latency-s",
        "priority",
        "traffic-split",
        "attempts",
        "service"
    ]);
    let services =
        json!({"columns": ["name", "max-connections"], "rows": [[service, MAX_CONNECTIONS]]});
    json!({"version": version, "services": services,
        "routes": {"columns": columns, "rows": rows}})
}

/// An upstream as it lists itself.
#[derive(Clone, Copy, Debug)]
pub(super) struct UpstreamEntry<'a> {
    pub(super) service: &'a str,
    pub(super) address: SocketAddr,
    pub(super) failure_domain: &'a str,
    pub(super) slots: u32,
    pub(super) state: &'a str,
    /// Start of the process in milliseconds, which tells its lives apart.
    pub(super) incarnation: u64,
}

impl UpstreamEntry<'_> {
    pub(super) fn to_json(self) -> Value {
        json!({"service": self.service, "address": self.address.to_string(),
            "zone": self.failure_domain, "version": "v1", "capacity": self.slots,
            "state": self.state, "warmup-left-s": 0, "seq": 1, "born": self.incarnation})
    }
}

/// Key of the entry of an upstream in the store.
pub(super) fn upstream_key(id: &str) -> String {
    format!("servers/{id}")
}

/// Addresses and bounds of an instance.
#[derive(Clone, Copy, Debug)]
pub(super) struct InstanceSettings<'a> {
    pub(super) name: &'a str,
    pub(super) failure_domain: &'a str,
    pub(super) callers: SocketAddr,
    pub(super) admin: SocketAddr,
    pub(super) peers: SocketAddr,
    pub(super) store: SocketAddr,
    pub(super) budget_window: Duration,
}

impl InstanceSettings<'_> {
    /// The settings file.
    pub(super) fn to_toml(self) -> String {
        let Self { name, failure_domain, callers, admin, peers, store, budget_window } = self;
        let (port, window) = (peers.port(), budget_window.as_secs_f64());
        format!(
            "node-name = \"{name}\"\nip = \"127.0.0.1\"\nzone = \"{failure_domain}\"\n\
             internal-port-range = [{port},{port}]\nseeds = []\n\
             bounds = [\"grace-s=6\",\"retry-budget-ratio=0.2\",\"budget-window-s={window}\",\
             \"budget-slack=64\"]\n[listen]\nfront = \"{callers}\"\nreadiness = \"{admin}\"\n\
             [limits]\nmax-fds = 4100\n[provider]\naddress = \"{store}\"\n"
        )
    }
}
