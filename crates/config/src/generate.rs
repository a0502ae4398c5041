//! Generates a configuration from a questionnaire.

use std::collections::BTreeMap;
use std::time::Duration;

use cactustrack_types::{
    Account, CONFIGURATION_FORMAT, Configuration, Delivery, DetectionPolicy, Millis, RequestClass,
    Route, Service, Version,
};
use serde::Serialize;

use crate::questionnaire::{Floor, HurtsMore, Questionnaire, RouteAnswers, ServiceAnswers};
use crate::reader::Located;

/// Retries and hedges as a share of requests. A service that fails completely then gets at most
/// 1.1 times its usual requests (design page, section 3).
pub const RETRY_BUDGET: f64 = 0.1;

/// Why a generated value is what it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Derivation {
    /// Key of the answer, or `None` if the value is the same for all teams.
    pub answer: Option<String>,
    /// Line of the answer.
    pub line: Option<usize>,
    /// How the value follows from the answer.
    pub reason: String,
}

/// A configuration and why its values are what they are.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Generated {
    /// The configuration.
    pub configuration: Configuration,
    /// Derivations by generated value, for example `services.listings.floor_slots`.
    pub derivations: BTreeMap<String, Derivation>,
}

/// Generates the configuration that follows from the answers. The same answers always give the
/// same configuration.
pub fn generate(questionnaire: &Questionnaire, version: Version) -> Generated {
    let mut log = Log::default();
    log.copied("team", &questionnaire.team, "name of the team");
    let mut services: Vec<_> =
        questionnaire.services.iter().map(|answers| service(&mut log, answers)).collect();
    services.sort_by(|a, b| a.id.cmp(&b.id));
    let mut routes: Vec<_> =
        questionnaire.services.iter().flat_map(|answers| routes(&mut log, answers)).collect();
    routes.sort_by(|a, b| (&a.host, &a.path_prefix).cmp(&(&b.host, &b.path_prefix)));
    let configuration = Configuration {
        format: CONFIGURATION_FORMAT,
        version,
        team: questionnaire.team.value.clone(),
        services,
        routes,
        accounts: accounts(&mut log, questionnaire),
    };
    Generated { configuration, derivations: log.derivations }
}

/// Collects derivations.
#[derive(Default)]
struct Log {
    derivations: BTreeMap<String, Derivation>,
}

impl Log {
    fn copied<T>(&mut self, target: impl Into<String>, answer: &Located<T>, reason: &str) {
        self.derived(target, answer, reason.to_owned());
    }

    fn derived<T>(&mut self, target: impl Into<String>, answer: &Located<T>, reason: String) {
        let derivation =
            Derivation { answer: Some(answer.key.clone()), line: Some(answer.line), reason };
        self.derivations.insert(target.into(), derivation);
    }

    fn fixed(&mut self, target: impl Into<String>, reason: &str) {
        let derivation = Derivation { answer: None, line: None, reason: reason.to_owned() };
        self.derivations.insert(target.into(), derivation);
    }
}

fn service(log: &mut Log, answers: &ServiceAnswers) -> Service {
    let target = |field: &str| format!("services.{}.{field}", answers.id.value);
    log.copied(target("id"), &answers.id, "name of the service");
    log.copied(target("slots"), &answers.slots, "requests that an upstream works on at a time");
    log.copied(target("connections"), &answers.connections, "connections that an upstream accepts");
    log.derived(target("floor_slots"), &answers.healthy_capacity, floor_reason(answers));
    log.copied(target("ramp"), &answers.cold_start_ms, "time that a cold upstream needs");
    log.fixed(
        target("retry_budget"),
        "same for all services: a failing service gets 1.1 times its requests at most",
    );
    Service {
        id: answers.id.value.clone(),
        slots: answers.slots.value,
        connections: answers.connections.value,
        floor_slots: answers.floor_slots(),
        ramp: Millis::from(answers.cold_start_ms.value),
        retry_budget: RETRY_BUDGET,
        detection: detection(log, &target, &answers.hurts_more),
    }
}

fn floor_reason(answers: &ServiceAnswers) -> String {
    let (slots, upstreams) = (answers.slots.value, answers.upstreams.value);
    match answers.healthy_capacity.value {
        Floor::Upstreams(needed) => format!("{needed} upstreams with {slots} slots each"),
        Floor::Percent(percent) => {
            format!("{percent}% of {upstreams} upstreams with {slots} slots each, rounded up")
        }
    }
}

fn detection(
    log: &mut Log,
    target: &dyn Fn(&str) -> String,
    answer: &Located<HurtsMore>,
) -> DetectionPolicy {
    let (policy, cost) = match answer.value {
        HurtsMore::FalseEjection => (cautious(), "false ejections cost more"),
        HurtsMore::SlowDetection => (quick(), "slow detection costs more"),
        HurtsMore::Balanced => (balanced(), "both kinds of error cost alike"),
    };
    let reasons = [
        ("mean_samples_between_false_alarms", "samples of a healthy upstream per false alarm"),
        ("smallest_fault_rate", "weaker faults are not looked for"),
        ("base_ejection", "length of a first ejection"),
        ("slow_factor", "a response that takes this many times the usual time is slow"),
    ];
    for (field, meaning) in reasons {
        log.derived(target(&format!("detection.{field}")), answer, format!("{meaning}; {cost}"));
    }
    policy
}

/// Policy for teams to whom a false ejection costs more.
fn cautious() -> DetectionPolicy {
    DetectionPolicy {
        // At 20 requests a second an upstream has a false alarm about every 19 months.
        mean_samples_between_false_alarms: 1e9,
        // An ejection from a service of five upstreams costs 20% of its capacity, more than a
        // fault below 10% does.
        smallest_fault_rate: 0.1,
        // A short first ejection gives the capacity back early if the alarm was false.
        base_ejection: Millis(Duration::from_secs(5)),
        // Leaves room for the variation of a healthy upstream under load.
        slow_factor: 5.0,
    }
}

/// Policy for teams to whom slow detection costs more.
fn quick() -> DetectionPolicy {
    DetectionPolicy {
        // The threshold, ln 1e6, takes two thirds of the samples that ln 1e9 takes.
        mean_samples_between_false_alarms: 1e6,
        // The lowest rate that collectors test for (design page, section 4.2).
        smallest_fault_rate: 0.03,
        // A longer first ejection halves the trial requests that a faulty upstream gets.
        base_ejection: Millis(Duration::from_secs(10)),
        // Three times the median separates a straggler early; the sequential test absorbs noise.
        slow_factor: 3.0,
    }
}

/// Policy for teams to whom both kinds of error cost alike.
fn balanced() -> DetectionPolicy {
    DetectionPolicy {
        // The logarithmic middle of the other two policies, rounded.
        mean_samples_between_false_alarms: 3e7,
        // Between the other two policies.
        smallest_fault_rate: 0.05,
        // The length on the design page, section 4.4.
        base_ejection: Millis(Duration::from_secs(5)),
        // Between the other two policies.
        slow_factor: 4.0,
    }
}

fn routes(log: &mut Log, answers: &ServiceAnswers) -> Vec<Route> {
    answers.routes.iter().map(|route_answers| route(log, answers, route_answers)).collect()
}

fn route(log: &mut Log, service: &ServiceAnswers, answers: &RouteAnswers) -> Route {
    let host = &service.host;
    let target = |field: &str| format!("routes.{}{}.{field}", host.value, answers.path.value);
    let (class, reason) = class(answers);
    let class_answer = match (class, &answers.large_response) {
        (RequestClass::Large, Some(large)) => large,
        _ => &answers.repeatable,
    };
    log.copied(target("host"), host, "host of the service");
    log.copied(target("path_prefix"), &answers.path, "path of the route");
    log.copied(target("service"), &service.id, "service that the route belongs to");
    log.copied(target("class"), class_answer, reason);
    log.copied(target("timeout"), &answers.timeout_ms, "time that callers usually wait");
    let max = answers.max_timeout_ms.as_ref();
    let max_reason = match max {
        Some(_) => "longest time that callers wait",
        None => "no longest time was given, so it is the usual one",
    };
    let max = max.unwrap_or(&answers.timeout_ms);
    log.copied(target("max_timeout"), max, max_reason);
    Route {
        host: host.value.clone(),
        path_prefix: answers.path.value.clone(),
        service: service.id.value.clone(),
        class,
        timeout: Millis::from(answers.timeout_ms.value),
        max_timeout: Millis::from(max.value),
        delivery: Delivery::default(),
    }
}

fn class(answers: &RouteAnswers) -> (RequestClass, &'static str) {
    match (answers.repeatable.value, answers.is_large()) {
        (false, false) => (RequestClass::NonIdempotent, "requests run at most once"),
        (false, true) => (
            RequestClass::NonIdempotent,
            "requests run at most once, so an interrupted large response is not resumed",
        ),
        (true, false) => (RequestClass::Idempotent, "requests may be retried and hedged"),
        (true, true) => (RequestClass::Large, "large responses are resumed on another upstream"),
    }
}

fn accounts(log: &mut Log, questionnaire: &Questionnaire) -> Vec<Account> {
    let account = |answers: &crate::AccountAnswers| {
        let target = |field: &str| format!("accounts.{}.{field}", answers.id.value);
        log.copied(target("id"), &answers.id, "name of the account");
        match &answers.weight {
            Some(weight) => log.copied(target("weight"), weight, "share under overload"),
            None => log.copied(target("weight"), &answers.id, "no weight was given, so it is 1"),
        }
        let weight = answers.weight.as_ref().map_or(1, |weight| weight.value);
        Account { id: answers.id.value.clone(), weight }
    };
    let mut accounts: Vec<_> = questionnaire.accounts.iter().map(account).collect();
    accounts.sort_by(|a, b| a.id.cmp(&b.id));
    accounts
}
