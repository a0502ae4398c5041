//! Settings of an instance of the fleet.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use cactustrack_types::{FailureDomain, InstanceId, Region};

use crate::reader::{Field, Reader, Section};
use crate::{Findings, HttpUrl, Located, Secret, SecretSource};

const ADDRESS: &str = "write an IP address and a port, for example \"10.0.0.7:8080\"";
const URL: &str = "write a URL with an IP address and a port, for example \"http://10.0.0.2:2379\"";
const NAME: &str = "write a name of 1 to 63 lowercase letters, digits and hyphens";

/// Settings of `cactustrackd`, read from one TOML file.
#[derive(Clone, Debug)]
pub struct Settings {
    /// `[instance]`: identity of the instance.
    pub instance: InstanceSettings,
    /// `[listen]`: listening addresses.
    pub listen: ListenSettings,
    /// `[store]`: access to the platform's key-value store.
    pub store: StoreSettings,
    /// `[instance_list] url`: the platform's instance list. Without it, the members of the fleet
    /// are discovered through other instances only.
    pub instance_list: Option<HttpUrl>,
    /// `[peers]`: access to other instances.
    pub peers: PeerSettings,
    /// `[admin] key`: key of the admin listener. Without it, the listener serves readiness and
    /// liveness only.
    pub admin_key: Option<SecretSource>,
    /// `[log]`: format and level of the log.
    pub log: LogSettings,
    /// `[trace] otlp_endpoint`: endpoint to which spans are exported. Without it, no spans are
    /// exported.
    pub otlp_endpoint: Option<HttpUrl>,
    /// `[limits]`: limits on memory and time.
    pub limits: LimitSettings,
    /// Findings of severity warning.
    pub warnings: Findings,
}

/// Identity of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceSettings {
    /// Name, unique within the fleet.
    pub id: InstanceId,
    /// Region in which the instance runs.
    pub region: Region,
    /// Failure domain in which the instance runs.
    pub failure_domain: FailureDomain,
}

/// Listening addresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListenSettings {
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for metrics, readiness, liveness and operators.
    pub admin: SocketAddr,
    /// Listener for other instances.
    pub peers: SocketAddr,
}

/// Access to the platform's key-value store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreSettings {
    /// URLs of the store, tried in order.
    pub endpoints: Vec<HttpUrl>,
    /// Prefix of all keys of this fleet, which ends with `/`.
    pub prefix: Arc<str>,
}

/// Access to other instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// Peer listeners of other instances that are contacted at startup.
    pub bootstrap: Vec<SocketAddr>,
    /// Key that authenticates instances to each other.
    pub key: SecretSource,
}

/// Format of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable lines.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Minimum severity of logged messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogLevel {
    /// Failures that need attention.
    Error,
    /// Unexpected conditions that are handled.
    Warning,
    /// Changes of state.
    #[default]
    Info,
    /// Details for developers.
    Debug,
    /// Every decision.
    Trace,
}

/// Log settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogSettings {
    /// Format of the log.
    pub format: LogFormat,
    /// Minimum severity of logged messages.
    pub level: LogLevel,
}

/// Limits on the memory and time used by connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitSettings {
    /// Largest size of a request or response head, in bytes.
    pub max_head_bytes: usize,
    /// Largest number of connections from callers.
    pub max_connections: usize,
    /// Timeout for receiving a request head from a caller.
    pub head_timeout: Duration,
    /// Time between reporting not ready and closing the listener for callers during a graceful
    /// shutdown.
    pub shutdown_grace: Duration,
    /// Size of the buffer for each direction of a connection, in bytes.
    pub buffer_bytes: usize,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            max_head_bytes: 16_384,
            max_connections: 4096,
            head_timeout: Duration::from_millis(5000),
            shutdown_grace: Duration::from_millis(2000),
            buffer_bytes: 65_536,
        }
    }
}

impl Settings {
    /// Parses settings. `file_name` is used in findings only.
    pub fn parse(file_name: &str, text: &str) -> Result<Self, Findings> {
        let (reader, table) = Reader::parse(file_name, text);
        let mut root = reader.root(&table);
        let partial = PartialSettings::read(&reader, &mut root);
        root.finish();
        let findings = reader.into_findings();
        if findings.has_errors() {
            return Err(findings);
        }
        // Each section that could not be read has an error, so all of them are present here.
        partial.into_settings().map(|settings| Self { warnings: findings, ..settings }).ok_or_else(
            || {
                debug_assert!(false, "a section that cannot be read must have an error");
                Findings::new()
            },
        )
    }
}

/// Settings in which the sections that could not be read are missing.
struct PartialSettings {
    instance: Option<InstanceSettings>,
    listen: Option<ListenSettings>,
    store: Option<StoreSettings>,
    peers: Option<PeerSettings>,
    instance_list: Option<HttpUrl>,
    admin_key: Option<SecretSource>,
    log: LogSettings,
    otlp_endpoint: Option<HttpUrl>,
    limits: LimitSettings,
}

impl PartialSettings {
    fn read(reader: &Reader, root: &mut Section<'_, '_>) -> Self {
        let instance_list = root.field("instance_list");
        let has_instance_list = instance_list.is_present();
        Self {
            instance: section(&root.field("instance").required("add the section"), read_instance),
            listen: section(&root.field("listen").required("add the section"), |table| {
                read_listen(reader, table)
            }),
            store: section(&root.field("store").required("add the section"), read_store),
            peers: section(&root.field("peers").required("add the section with a key"), |table| {
                read_peers(reader, table, has_instance_list)
            }),
            instance_list: section(&instance_list, |table| url(&table.field("url").required(URL))),
            admin_key: section(&root.field("admin"), |table| read_key(reader, table)),
            log: section(&root.field("log"), read_log).unwrap_or_default(),
            otlp_endpoint: section(
                &root.field("trace"),
                |table| url(&table.field("otlp_endpoint")),
            ),
            limits: section(&root.field("limits"), read_limits).unwrap_or_default(),
        }
    }

    fn into_settings(self) -> Option<Settings> {
        Some(Settings {
            instance: self.instance?,
            listen: self.listen?,
            store: self.store?,
            peers: self.peers?,
            instance_list: self.instance_list,
            admin_key: self.admin_key,
            log: self.log,
            otlp_endpoint: self.otlp_endpoint,
            limits: self.limits,
            warnings: Findings::new(),
        })
    }
}

fn section<'r, 't, T>(
    field: &Field<'r, 't>,
    read: impl FnOnce(&mut Section<'r, 't>) -> Option<T>,
) -> Option<T> {
    let mut table = field.section()?;
    let value = read(&mut table);
    table.finish();
    value
}

fn read_instance(table: &mut Section<'_, '_>) -> Option<InstanceSettings> {
    let id = name(table, "id");
    let region = name(table, "region");
    let failure_domain = name(table, "failure_domain");
    Some(InstanceSettings { id: id?, region: region?, failure_domain: failure_domain? })
}

fn read_listen(reader: &Reader, table: &mut Section<'_, '_>) -> Option<ListenSettings> {
    let callers = address(table, "callers");
    let admin = address(table, "admin");
    let peers = address(table, "peers");
    let addresses: Vec<_> = [&callers, &admin, &peers].into_iter().flatten().collect();
    for (index, address) in addresses.iter().enumerate() {
        let other = addresses[..index]
            .iter()
            .find(|other| other.value == address.value && address.value.port() != 0);
        if let Some(other) = other {
            let problem = format!("{} is also the address of {}", address.value, other.key);
            reader.error_at(address, problem, "use another port");
        }
    }
    Some(ListenSettings { callers: callers?.value, admin: admin?.value, peers: peers?.value })
}

fn read_store(table: &mut Section<'_, '_>) -> Option<StoreSettings> {
    let field = table.field("endpoints").required("write a list of URLs").non_empty(URL);
    let endpoints: Vec<_> = field.elements().iter().map(url).collect();
    let prefix = table.field("prefix").required("write a prefix, for example \"cactustrack/\"");
    let prefix = prefix.text().map(|text| text.value.trim_end_matches('/').to_owned() + "/");
    Some(StoreSettings { endpoints: collect_all(endpoints)?, prefix: prefix?.into() })
}

fn read_peers(
    reader: &Reader,
    table: &mut Section<'_, '_>,
    has_instance_list: bool,
) -> Option<PeerSettings> {
    let (line, path) = (table.line(), table.path().to_owned());
    let field = table.field("bootstrap");
    let elements = field.elements();
    if elements.is_empty() && !has_instance_list {
        let problem = "neither an instance list nor a bootstrap address is configured";
        reader.warning(line, &path, problem, "add one unless the fleet has a single instance");
    }
    let bootstrap: Vec<_> = elements.iter().map(|field| field.parsed(ADDRESS)).collect();
    let key = read_key(reader, table);
    let bootstrap = collect_all(bootstrap)?.into_iter().map(|address| address.value).collect();
    Some(PeerSettings { bootstrap, key: key? })
}

/// Returns the elements if all of them could be read. The caller reads all elements first, so that
/// an invalid element does not hide the findings of the following ones.
fn collect_all<T>(elements: Vec<Option<T>>) -> Option<Vec<T>> {
    elements.into_iter().collect()
}

/// Reads `key` or `key_file`. Findings do not quote the value of `key`, because it is a secret.
fn read_key(reader: &Reader, table: &mut Section<'_, '_>) -> Option<SecretSource> {
    let (line, path) = (table.line(), table.path().to_owned());
    let remedy = format!("write a secret of at least {} characters", Secret::MIN_CHARS);
    let key = table.field("key");
    let key_file = table.field("key_file");
    if key.is_present() && key_file.is_present() {
        let problem = "`key` and `key_file` are mutually exclusive";
        reader.error(line, &format!("{path}.key"), problem, "remove one of them");
        return None;
    }
    let key = if key_file.is_present() { key } else { key.required(&remedy) };
    if let Some(file) = key_file.text() {
        return Some(SecretSource::File(PathBuf::from(file.value)));
    }
    let text = key.text()?;
    match Secret::new(&text.value) {
        Ok(secret) => Some(SecretSource::Inline(secret)),
        Err(error) => {
            reader.error_at(&text, error, remedy);
            None
        }
    }
}

fn read_log(table: &mut Section<'_, '_>) -> Option<LogSettings> {
    let formats = [("text", LogFormat::Text), ("json", LogFormat::Json)];
    let levels = [
        ("error", LogLevel::Error),
        ("warning", LogLevel::Warning),
        ("info", LogLevel::Info),
        ("debug", LogLevel::Debug),
        ("trace", LogLevel::Trace),
    ];
    let format = table.field("format").choice(&formats);
    let level = table.field("level").choice(&levels);
    Some(LogSettings {
        format: format.map(|format| format.value).unwrap_or_default(),
        level: level.map(|level| level.value).unwrap_or_default(),
    })
}

fn read_limits(table: &mut Section<'_, '_>) -> Option<LimitSettings> {
    let default = LimitSettings::default();
    Some(LimitSettings {
        // hyper does not accept a read buffer smaller than 8 KiB.
        max_head_bytes: size(&table.field("max_head_bytes"), 8192, default.max_head_bytes),
        max_connections: size(&table.field("max_connections"), 1, default.max_connections),
        head_timeout: duration(&table.field("head_timeout_ms"), default.head_timeout),
        shutdown_grace: duration(&table.field("shutdown_grace_ms"), default.shutdown_grace),
        buffer_bytes: size(&table.field("buffer_bytes"), 8192, default.buffer_bytes),
    })
}

fn size(field: &Field<'_, '_>, minimum: u64, default: usize) -> usize {
    const MAX: u64 = 16 * 1024 * 1024;
    let number = field.integer(minimum..=MAX).and_then(|number| number.value.try_into().ok());
    number.unwrap_or(default)
}

fn duration(field: &Field<'_, '_>, default: Duration) -> Duration {
    const MAX_MS: u64 = 3_600_000;
    field.integer(1..=MAX_MS).map_or(default, |number| Duration::from_millis(number.value))
}

fn name(table: &mut Section<'_, '_>, key: &'static str) -> Option<Arc<str>> {
    let name = table.field(key).required(NAME).parsed::<crate::name::Name>(NAME)?;
    Some(name.value.into())
}

fn address(table: &mut Section<'_, '_>, key: &'static str) -> Option<Located<SocketAddr>> {
    table.field(key).required(ADDRESS).parsed(ADDRESS)
}

fn url(field: &Field<'_, '_>) -> Option<HttpUrl> {
    // The URL may contain a password.
    Some(field.parsed_without_quoting(URL)?.value)
}
