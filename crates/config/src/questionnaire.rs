//! Questionnaire: the answers of a team about its services and client accounts.

use std::sync::Arc;

use cactustrack_types::{AccountId, ApiKeyDigest, MAX_SLOTS, ServiceId};
use serde::Serialize;

use crate::name::{AccountName, Host, Name, PathPrefix};
use crate::reader::{Field, Reader, Section};
use crate::{Findings, Located, contradictions};

const NAME: &str = "write a name of 1 to 63 lowercase letters, digits and hyphens";
const HOST: &str = "write a lowercase host name, for example \"listings.example\", or \"*\"";
const PATH: &str = "write a path such as \"/\" or \"/listings\", without a trailing slash";
const SERVICES: &str = "describe at least one service";
const FLOOR: &str =
    "write a number of upstreams, for example 9, or a percentage, for example \"60%\"";

/// Largest duration in a questionnaire, in milliseconds: one day.
const MAX_MS: u64 = 86_400_000;
/// Largest number of upstreams of a service: 15 times the total number expected in two years.
/// Together with [`MAX_SLOTS`], it ensures that the capacity of a service fits in 32 bits.
const MAX_UPSTREAMS: u32 = 100_000;
/// Largest number of connections of an upstream, and largest weight, priority, rate and burst of an
/// account.
const MAX_COUNT: u32 = 1_000_000;

/// Answers of a team.
#[derive(Clone, Debug, Serialize)]
pub struct Questionnaire {
    /// Name of the team.
    pub team: Located<Arc<str>>,
    /// Client accounts listed by the team. All other accounts have the weight 1.
    pub accounts: Vec<AccountAnswers>,
    /// Services of the team.
    pub services: Vec<ServiceAnswers>,
    /// Findings of severity warning.
    #[serde(skip)]
    pub warnings: Findings,
}

/// Answers about a client account.
#[derive(Clone, Debug, Serialize)]
pub struct AccountAnswers {
    /// Name of the account.
    pub id: Located<AccountId>,
    /// Relative share of the capacity of an overloaded service.
    pub weight: Option<Located<u32>>,
    /// Digests of the API keys of the account. The keys are not part of the questionnaire.
    pub api_key_digests: Vec<Located<ApiKeyDigest>>,
    /// Priority of its requests. Zero is the highest and the default.
    pub priority: Option<Located<u32>>,
    /// Sustained rate of its requests at the whole fleet. There is no limit if it is missing.
    pub requests_per_second: Option<Located<u32>>,
    /// Requests beyond the sustained rate.
    pub burst: Option<Located<u32>>,
}

/// Floor of a service: capacity that must stay in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Floor {
    /// A number of upstreams.
    Upstreams(u32),
    /// A percentage of the expected upstreams.
    Percent(u32),
}

/// Kind of detection error that is more costly for the team.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CostlierError {
    /// Ejection of a healthy upstream.
    FalseEjection,
    /// Late ejection of a faulty upstream.
    SlowDetection,
    /// Both kinds are equally costly.
    Balanced,
}

/// Answers about a service.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceAnswers {
    /// Name of the service.
    pub id: Located<ServiceId>,
    /// Host name to which callers send requests.
    pub host: Located<Arc<str>>,
    /// Expected number of upstreams.
    pub upstreams: Located<u32>,
    /// Number of requests that one upstream executes concurrently.
    pub slots: Located<u32>,
    /// Number of connections that one upstream accepts.
    pub connections: Located<u32>,
    /// Capacity that must stay in service.
    pub healthy_capacity: Located<Floor>,
    /// Kind of detection error that is more costly.
    pub hurts_more: Located<CostlierError>,
    /// Time from the start of an upstream until it reaches full speed, in milliseconds.
    pub cold_start_ms: Located<u64>,
    /// Usual response time, in milliseconds.
    pub service_time_ms: Located<u64>,
    /// Routes to the service.
    pub routes: Vec<RouteAnswers>,
}

/// Answers about a route.
#[derive(Clone, Debug, Serialize)]
pub struct RouteAnswers {
    /// Path prefix.
    pub path: Located<Arc<str>>,
    /// Whether requests are idempotent, so that they may be executed more than once.
    pub repeatable: Located<bool>,
    /// Whether responses are large.
    pub large_response: Option<Located<bool>>,
    /// Whether request bodies are large.
    pub large_request: Option<Located<bool>>,
    /// Whether an interrupted large response may be resumed on another upstream.
    pub resume: Option<Located<bool>>,
    /// Whether the fleet may retry requests.
    pub retry: Option<Located<bool>>,
    /// Default timeout of requests, in milliseconds.
    pub timeout_ms: Located<u64>,
    /// Longest timeout that a caller may request, in milliseconds.
    pub max_timeout_ms: Option<Located<u64>>,
    /// Whether callers need no API key.
    pub public: Option<Located<bool>>,
}

impl RouteAnswers {
    /// Returns true if callers need no API key. They need one if the answer is missing.
    pub fn is_public(&self) -> bool {
        self.public.as_ref().is_some_and(|answer| answer.value)
    }

    /// Returns true if responses are large. They are not if the answer is missing.
    pub fn is_large(&self) -> bool {
        self.large_response.as_ref().is_some_and(|answer| answer.value)
    }

    /// Returns true if request bodies are large. They are not if the answer is missing.
    pub fn has_large_requests(&self) -> bool {
        self.large_request.as_ref().is_some_and(|answer| answer.value)
    }

    /// Returns true if requests have large bodies and must be executed at most once.
    pub fn is_upload(&self) -> bool {
        self.has_large_requests() && !self.repeatable.value
    }
}

impl ServiceAnswers {
    /// Returns the capacity of all expected upstreams, in slots.
    pub fn capacity_slots(&self) -> u32 {
        self.upstreams.value.saturating_mul(self.slots.value)
    }

    /// Returns the capacity that must stay in service, in slots. A percentage is rounded up.
    pub fn floor_slots(&self) -> u32 {
        match self.healthy_capacity.value {
            Floor::Upstreams(upstreams) => upstreams.saturating_mul(self.slots.value),
            Floor::Percent(percent) => {
                let slots = u64::from(self.capacity_slots()) * u64::from(percent);
                u32::try_from(slots.div_ceil(100)).unwrap_or(u32::MAX)
            }
        }
    }
}

impl Questionnaire {
    /// Parses and checks a questionnaire. `file_name` is used in findings only.
    pub fn parse(file_name: &str, text: &str) -> Result<Self, Findings> {
        let (reader, table) = Reader::parse(file_name, text);
        let mut root = reader.root(&table);
        let team = name(&root.field("team").required(NAME));
        let accounts: Vec<_> = read_all(&root.field("accounts"), read_account);
        let services = root.field("services").required(SERVICES).non_empty(SERVICES);
        let services: Vec<_> = read_all(&services, |table| read_service(&reader, table));
        root.finish();
        contradictions::check(&reader, &accounts, &services);
        let findings = reader.into_findings();
        match team {
            Some(team) if !findings.has_errors() => {
                Ok(Self { team, accounts, services, warnings: findings })
            }
            _ => Err(findings),
        }
    }
}

/// Reads an array of tables and skips the tables that have errors.
fn read_all<'r, 't, T>(
    field: &Field<'r, 't>,
    read: impl Fn(&mut Section<'r, 't>) -> Option<T>,
) -> Vec<T> {
    let mut values = Vec::new();
    for mut table in field.sections() {
        values.extend(read(&mut table));
        table.finish();
    }
    values
}

fn read_account(table: &mut Section<'_, '_>) -> Option<AccountAnswers> {
    const ACCOUNT: &str = "write 1 to 128 letters, digits and -_.@";
    const DIGEST: &str = "write the digest that `cactustrack key-digest` prints, not the key";
    let id = table.field("id").required(ACCOUNT).parsed::<AccountName>(ACCOUNT);
    let weight = table.field("weight").integer_u32(1..=MAX_COUNT);
    let digests = table.field("api_key_digests").elements();
    // Findings do not quote the text, which may be a key that was written in place of its digest.
    let digests = digests.iter().map(|field| field.parsed_without_quoting(DIGEST));
    let api_key_digests = digests.collect::<Vec<_>>().into_iter().flatten().collect();
    let priority = table.field("priority").integer_u32(0..=MAX_COUNT);
    let requests_per_second = table.field("requests_per_second").integer_u32(1..=MAX_COUNT);
    let burst = table.field("burst").integer_u32(0..=MAX_COUNT);
    let id = id?.map(Into::into);
    Some(AccountAnswers { id, weight, api_key_digests, priority, requests_per_second, burst })
}

fn read_service(reader: &Reader, table: &mut Section<'_, '_>) -> Option<ServiceAnswers> {
    let id = name(&table.field("id").required(NAME));
    let host = table.field("host").required(HOST).parsed::<Host>(HOST);
    let upstreams = count(table, "upstreams", MAX_UPSTREAMS);
    let slots = count(table, "slots", MAX_SLOTS);
    let connections = count(table, "connections", MAX_COUNT);
    let healthy_capacity = floor(reader, &table.field("healthy_capacity").required(FLOOR));
    let hurts_more = hurts_more(table);
    let cold_start_ms = time(table.field("cold_start_ms"), 0);
    let service_time_ms = time(table.field("service_time_ms"), 1);
    let routes = table.field("routes");
    if !routes.is_present() {
        let problem = "the service has no route and will receive no requests";
        reader.warning(table.line(), table.path(), problem, "add a route");
    }
    let routes = read_all(&routes, read_route);
    Some(ServiceAnswers {
        id: id?,
        host: host?.map(Into::into),
        upstreams: upstreams?,
        slots: slots?,
        connections: connections?,
        healthy_capacity: healthy_capacity?,
        hurts_more: hurts_more?,
        cold_start_ms: cold_start_ms?,
        service_time_ms: service_time_ms?,
        routes,
    })
}

fn read_route(table: &mut Section<'_, '_>) -> Option<RouteAnswers> {
    let path = table.field("path").required(PATH).parsed::<PathPrefix>(PATH);
    let repeatable = table.field("repeatable").required("write true or false").boolean();
    let large_response = table.field("large_response").boolean();
    let large_request = table.field("large_request").boolean();
    let resume = table.field("resume").boolean();
    let retry = table.field("retry").boolean();
    let timeout_ms = time(table.field("timeout_ms"), 1);
    let max_timeout_ms = table.field("max_timeout_ms").integer(1..=MAX_MS);
    let public = table.field("public").boolean();
    Some(RouteAnswers {
        path: path?.map(Into::into),
        repeatable: repeatable?,
        large_response,
        large_request,
        resume,
        retry,
        timeout_ms: timeout_ms?,
        max_timeout_ms,
        public,
    })
}

fn hurts_more(table: &mut Section<'_, '_>) -> Option<Located<CostlierError>> {
    let choices = [
        ("false_ejection", CostlierError::FalseEjection),
        ("slow_detection", CostlierError::SlowDetection),
        ("balanced", CostlierError::Balanced),
    ];
    let remedy = "write \"false_ejection\", \"slow_detection\" or \"balanced\"";
    table.field("hurts_more").required(remedy).choice(&choices)
}

fn floor(reader: &Reader, field: &Field<'_, '_>) -> Option<Located<Floor>> {
    if !field.is_text() {
        return Some(field.integer_u32(1..=MAX_UPSTREAMS)?.map(Floor::Upstreams));
    }
    let text = field.text()?;
    let percent = text.value.strip_suffix('%').and_then(|digits| digits.trim().parse().ok());
    match percent.filter(|percent| (1..=100).contains(percent)) {
        Some(percent) => Some(text.map(|_| Floor::Percent(percent))),
        None => {
            reader.error_at(&text, format!("{:?} is not a percentage", text.value), FLOOR);
            None
        }
    }
}

fn name(field: &Field<'_, '_>) -> Option<Located<Arc<str>>> {
    Some(field.parsed::<Name>(NAME)?.map(Into::into))
}

fn count(table: &mut Section<'_, '_>, key: &'static str, max: u32) -> Option<Located<u32>> {
    table.field(key).required("write an integer of at least 1").integer_u32(1..=max)
}

fn time(field: Field<'_, '_>, minimum: u64) -> Option<Located<u64>> {
    field.required("write a time in milliseconds").integer(minimum..=MAX_MS)
}
