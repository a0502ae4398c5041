//! Questionnaire: what a team says about its services.

use std::sync::Arc;

use cactustrack_types::{AccountId, ServiceId};
use serde::Serialize;

use crate::name::{AccountName, Host, Name, PathPrefix};
use crate::reader::{Field, Reader, Section};
use crate::{Findings, Located, contradictions};

const NAME: &str = "write a name of 1 to 63 lower-case letters, digits and hyphens";
const HOST: &str = "write a host name in lower case, for example \"listings.example\", or \"*\"";
const PATH: &str = "write a path such as \"/\" or \"/listings\", without a slash at its end";
const SERVICES: &str = "describe at least one service";
const FLOOR: &str = "write a number of upstreams, for example 9, or a share, for example \"60%\"";

/// Longest time in a questionnaire: a day.
const MAX_MS: u64 = 86_400_000;
/// Largest number of upstreams of a service, 15 times the whole fleet expected in two years. With
/// [`MAX_SLOTS`] it bounds the capacity of a service to what 32 bits hold.
const MAX_UPSTREAMS: u32 = 100_000;
/// Largest number of slots of an upstream.
const MAX_SLOTS: u32 = 10_000;
/// Largest number of connections of an upstream, and largest weight of an account.
const MAX_COUNT: u32 = 1_000_000;

/// The answers of a team.
#[derive(Clone, Debug, Serialize)]
pub struct Questionnaire {
    /// Team that answered.
    pub team: Located<Arc<str>>,
    /// Client accounts that are named. Others have the weight 1.
    pub accounts: Vec<AccountAnswers>,
    /// Services of the team.
    pub services: Vec<ServiceAnswers>,
    /// Findings that leave the answers usable.
    #[serde(skip)]
    pub warnings: Findings,
}

/// Answers about a client account.
#[derive(Clone, Debug, Serialize)]
pub struct AccountAnswers {
    /// Name of the account.
    pub id: Located<AccountId>,
    /// Share relative to other accounts when a service is overloaded.
    pub weight: Option<Located<u32>>,
}

/// Capacity that must stay healthy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Floor {
    /// A number of upstreams.
    Upstreams(u32),
    /// A share of the expected upstreams, in percent.
    Percent(u32),
}

/// Which kind of error costs the team more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HurtsMore {
    /// Ejecting a healthy upstream.
    FalseEjection,
    /// Leaving a faulty upstream in service for longer.
    SlowDetection,
    /// Both alike.
    Balanced,
}

/// Answers about a service.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceAnswers {
    /// Name of the service.
    pub id: Located<ServiceId>,
    /// Host name that callers use.
    pub host: Located<Arc<str>>,
    /// Expected number of upstreams.
    pub upstreams: Located<u32>,
    /// Requests that one upstream works on at a time.
    pub slots: Located<u32>,
    /// Connections that one upstream accepts.
    pub connections: Located<u32>,
    /// Capacity that must stay healthy.
    pub healthy_capacity: Located<Floor>,
    /// Which kind of error costs more.
    pub hurts_more: Located<HurtsMore>,
    /// Time that an upstream needs after its start, in milliseconds.
    pub cold_start_ms: Located<u64>,
    /// Usual time of a response, in milliseconds.
    pub service_time_ms: Located<u64>,
    /// Routes to the service.
    pub routes: Vec<RouteAnswers>,
}

/// Answers about a route.
#[derive(Clone, Debug, Serialize)]
pub struct RouteAnswers {
    /// Path prefix.
    pub path: Located<Arc<str>>,
    /// Whether a request may run more than once.
    pub repeatable: Located<bool>,
    /// Whether responses are large.
    pub large_response: Option<Located<bool>>,
    /// Whether an interrupted large response may be resumed on another upstream.
    pub resume: Option<Located<bool>>,
    /// Whether the fleet may retry.
    pub retry: Option<Located<bool>>,
    /// How long callers usually wait, in milliseconds.
    pub timeout_ms: Located<u64>,
    /// How long callers wait at most, in milliseconds.
    pub max_timeout_ms: Option<Located<u64>>,
}

impl RouteAnswers {
    /// Returns true if the team said that responses are large.
    pub fn is_large(&self) -> bool {
        self.large_response.as_ref().is_some_and(|answer| answer.value)
    }
}

impl ServiceAnswers {
    /// Capacity when all expected upstreams are healthy, in slots.
    pub fn capacity_slots(&self) -> u32 {
        self.upstreams.value.saturating_mul(self.slots.value)
    }

    /// Capacity that must stay healthy, in slots. A share is rounded up.
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
    /// Reads and checks a questionnaire. `file_name` is used in findings only.
    pub fn parse(file_name: &str, text: &str) -> Result<Self, Findings> {
        let (reader, table) = Reader::parse(file_name, text);
        let mut root = reader.root(&table);
        let team = name(&root.field("team").required(NAME));
        let accounts: Vec<_> = read_all(&root.field("accounts"), read_account);
        let services = root.field("services").required(SERVICES).not_empty(SERVICES);
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

/// Reads the tables of an array as far as they can be read.
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
    let id = table.field("id").required(ACCOUNT).parsed::<AccountName>(ACCOUNT);
    let weight = table.field("weight").small_integer(1..=MAX_COUNT);
    Some(AccountAnswers { id: id?.map(Into::into), weight })
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
        let problem = "the service has no route, so it gets no requests";
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
    let resume = table.field("resume").boolean();
    let retry = table.field("retry").boolean();
    let timeout_ms = time(table.field("timeout_ms"), 1);
    let max_timeout_ms = table.field("max_timeout_ms").integer(1..=MAX_MS);
    Some(RouteAnswers {
        path: path?.map(Into::into),
        repeatable: repeatable?,
        large_response,
        resume,
        retry,
        timeout_ms: timeout_ms?,
        max_timeout_ms,
    })
}

fn hurts_more(table: &mut Section<'_, '_>) -> Option<Located<HurtsMore>> {
    let choices = [
        ("false_ejection", HurtsMore::FalseEjection),
        ("slow_detection", HurtsMore::SlowDetection),
        ("balanced", HurtsMore::Balanced),
    ];
    let remedy = "write \"false_ejection\", \"slow_detection\" or \"balanced\"";
    table.field("hurts_more").required(remedy).choice(&choices)
}

fn floor(reader: &Reader, field: &Field<'_, '_>) -> Option<Located<Floor>> {
    if !field.is_text() {
        return Some(field.small_integer(1..=MAX_UPSTREAMS)?.map(Floor::Upstreams));
    }
    let text = field.text()?;
    let percent = text.value.strip_suffix('%').and_then(|digits| digits.trim().parse().ok());
    match percent.filter(|percent| (1..=100).contains(percent)) {
        Some(percent) => Some(text.map(|_| Floor::Percent(percent))),
        None => {
            reader.error_at(&text, format!("{:?} is not a share in percent", text.value), FLOOR);
            None
        }
    }
}

fn name(field: &Field<'_, '_>) -> Option<Located<Arc<str>>> {
    Some(field.parsed::<Name>(NAME)?.map(Into::into))
}

fn count(table: &mut Section<'_, '_>, key: &'static str, max: u32) -> Option<Located<u32>> {
    table.field(key).required("write a number of at least 1").small_integer(1..=max)
}

fn time(field: Field<'_, '_>, minimum: u64) -> Option<Located<u64>> {
    field.required("write a time in milliseconds").integer(minimum..=MAX_MS)
}
