//! Generates a configuration from the answers of a questionnaire.

use std::collections::BTreeMap;
use std::time::Duration;

use cactustrack_types::{
    Account, CONFIGURATION_FORMAT, Configuration, Delivery, DetectionPolicy, Millis, Quota,
    RequestClass, Route, Service, Version,
};
use serde::Serialize;

use crate::questionnaire::{
    AccountAnswers, CostlierError, Floor, Questionnaire, RouteAnswers, ServiceAnswers,
};
use crate::reader::Located;

/// Retries and hedges as a fraction of requests. A service that fails completely receives at most
/// 1.1 times its usual requests (design page, section 3).
pub const RETRY_BUDGET: f64 = 0.1;

/// Explains how a generated value was derived.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Derivation {
    /// Key of the answer, or `None` if the value is the same for all teams.
    pub answer: Option<String>,
    /// Line of the answer.
    pub line: Option<usize>,
    /// Explanation of how the value is derived from the answer.
    pub reason: String,
}

/// A configuration with the derivations of its values.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Generated {
    /// The configuration.
    pub configuration: Configuration,
    /// Derivations by generated value, for example `services.listings.floor_slots`.
    pub derivations: BTreeMap<String, Derivation>,
}

/// Generates the configuration for the answers of a questionnaire. The result depends only on the
/// answers and the version.
pub fn generate(questionnaire: &Questionnaire, version: Version) -> Generated {
    let mut recorder = DerivationRecorder::default();
    recorder.copied("team", &questionnaire.team, "name of the team");
    let mut services: Vec<_> =
        questionnaire.services.iter().map(|answers| service(&mut recorder, answers)).collect();
    services.sort_by(|a, b| a.id.cmp(&b.id));
    let mut routes: Vec<_> =
        questionnaire.services.iter().flat_map(|answers| routes(&mut recorder, answers)).collect();
    routes.sort_by(|a, b| (&a.host, &a.path_prefix).cmp(&(&b.host, &b.path_prefix)));
    let configuration = Configuration {
        format: CONFIGURATION_FORMAT,
        version,
        team: questionnaire.team.value.clone(),
        services,
        routes,
        accounts: accounts(&mut recorder, questionnaire),
        requires_api_key: requires_api_key(&mut recorder, questionnaire),
    };
    Generated { configuration, derivations: recorder.derivations }
}

/// Records derivations.
#[derive(Default)]
struct DerivationRecorder {
    derivations: BTreeMap<String, Derivation>,
}

impl DerivationRecorder {
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

fn service(recorder: &mut DerivationRecorder, answers: &ServiceAnswers) -> Service {
    let target = |field: &str| format!("services.{}.{field}", answers.id.value);
    recorder.copied(target("id"), &answers.id, "name of the service");
    recorder.copied(
        target("slots"),
        &answers.slots,
        "requests that an upstream executes concurrently",
    );
    recorder.copied(
        target("connections"),
        &answers.connections,
        "connections that an upstream accepts",
    );
    recorder.derived(target("floor_slots"), &answers.healthy_capacity, floor_reason(answers));
    recorder.copied(
        target("ramp"),
        &answers.cold_start_ms,
        "time until a cold upstream reaches full speed",
    );
    recorder.fixed(
        target("retry_budget"),
        "same for all services: a failing service receives at most 1.1 times its usual requests",
    );
    Service {
        id: answers.id.value.clone(),
        slots: answers.slots.value,
        connections: answers.connections.value,
        floor_slots: answers.floor_slots(),
        ramp: Millis::from(answers.cold_start_ms.value),
        retry_budget: RETRY_BUDGET,
        detection: detection(recorder, &target, &answers.hurts_more),
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
    recorder: &mut DerivationRecorder,
    target: &dyn Fn(&str) -> String,
    answer: &Located<CostlierError>,
) -> DetectionPolicy {
    let (policy, cost) = match answer.value {
        CostlierError::FalseEjection => {
            (few_false_ejections_policy(), "false ejections are more costly")
        }
        CostlierError::SlowDetection => (fast_detection_policy(), "slow detection is more costly"),
        CostlierError::Balanced => (balanced_policy(), "both kinds of error are equally costly"),
    };
    let reasons = [
        (
            "mean_samples_between_false_alarms",
            "mean number of samples of a healthy upstream between false alarms",
        ),
        ("smallest_fault_rate", "lowest fault rate that is tested for"),
        ("base_ejection", "duration of a first ejection"),
        ("slow_factor", "multiple of the usual response time from which a response is slow"),
    ];
    for (field, meaning) in reasons {
        recorder.derived(
            target(&format!("detection.{field}")),
            answer,
            format!("{meaning}; {cost}"),
        );
    }
    policy
}

/// Returns the policy for teams for which a false ejection is more costly.
fn few_false_ejections_policy() -> DetectionPolicy {
    DetectionPolicy {
        // At 20 requests per second, an upstream has one false alarm in about 19 months.
        mean_samples_between_false_alarms: 1e9,
        // In a service of five upstreams, an ejection costs 20% of the capacity, which is more than
        // the loss from a fault rate below 10%.
        smallest_fault_rate: 0.1,
        // A short first ejection soon restores the capacity after a false alarm.
        base_ejection: Millis(Duration::from_secs(5)),
        // Tolerates the variation of the response time of a healthy upstream under load.
        slow_factor: 5.0,
    }
}

/// Returns the policy for teams for which slow detection is more costly.
fn fast_detection_policy() -> DetectionPolicy {
    DetectionPolicy {
        // Reaching the threshold, ln 1e6, takes two thirds of the samples needed for ln 1e9.
        mean_samples_between_false_alarms: 1e6,
        // The lowest rate that collectors test for (design page, section 4.2).
        smallest_fault_rate: 0.03,
        // A longer first ejection halves the trial requests that a faulty upstream receives.
        base_ejection: Millis(Duration::from_secs(10)),
        // Three times the median identifies a slow upstream early; the sequential test tolerates
        // noise.
        slow_factor: 3.0,
    }
}

/// Returns the policy for teams for which both kinds of error are equally costly.
fn balanced_policy() -> DetectionPolicy {
    DetectionPolicy {
        // Geometric mean of the values of the other two policies, rounded.
        mean_samples_between_false_alarms: 3e7,
        // Between the values of the other two policies.
        smallest_fault_rate: 0.05,
        // Duration given on the design page, section 4.4.
        base_ejection: Millis(Duration::from_secs(5)),
        // Between the values of the other two policies.
        slow_factor: 4.0,
    }
}

fn routes(recorder: &mut DerivationRecorder, answers: &ServiceAnswers) -> Vec<Route> {
    answers.routes.iter().map(|route_answers| route(recorder, answers, route_answers)).collect()
}

fn route(
    recorder: &mut DerivationRecorder,
    service: &ServiceAnswers,
    answers: &RouteAnswers,
) -> Route {
    let host = &service.host;
    let target = |field: &str| format!("routes.{}{}.{field}", host.value, answers.path.value);
    let (class, reason) = class(answers);
    let class_answer = match (class, &answers.large_response) {
        (RequestClass::Large, Some(large)) => large,
        (RequestClass::Upload, _) => answers.large_request.as_ref().unwrap_or(&answers.repeatable),
        _ => &answers.repeatable,
    };
    recorder.copied(target("host"), host, "host of the service");
    recorder.copied(target("path_prefix"), &answers.path, "path of the route");
    recorder.copied(target("service"), &service.id, "service that the route belongs to");
    recorder.copied(target("class"), class_answer, reason);
    recorder.copied(target("timeout"), &answers.timeout_ms, "usual timeout of callers");
    let max = answers.max_timeout_ms.as_ref();
    let max_reason = match max {
        Some(_) => "longest timeout of callers",
        None => "no longest timeout was given; the usual timeout applies",
    };
    let max = max.unwrap_or(&answers.timeout_ms);
    recorder.copied(target("max_timeout"), max, max_reason);
    if let Some(public) = &answers.public {
        let reason = "whether callers need no API key";
        recorder.copied(target("delivery.is_public"), public, reason);
    }
    Route {
        host: host.value.clone(),
        path_prefix: answers.path.value.clone(),
        service: service.id.value.clone(),
        class,
        timeout: Millis::from(answers.timeout_ms.value),
        max_timeout: Millis::from(max.value),
        delivery: Delivery { is_public: answers.is_public(), ..Delivery::default() },
    }
}

fn class(answers: &RouteAnswers) -> (RequestClass, &'static str) {
    if answers.is_upload() {
        return (
            RequestClass::Upload,
            "requests are executed at most once; large bodies are streamed to the upstream",
        );
    }
    match (answers.repeatable.value, answers.is_large()) {
        (false, false) => (RequestClass::NonIdempotent, "requests are executed at most once"),
        (false, true) => (
            RequestClass::NonIdempotent,
            "requests are executed at most once; interrupted large responses are not resumed",
        ),
        (true, false) => (RequestClass::Idempotent, "requests may be retried and hedged"),
        (true, true) => {
            (RequestClass::Large, "interrupted large responses are resumed on another upstream")
        }
    }
}

fn accounts(recorder: &mut DerivationRecorder, questionnaire: &Questionnaire) -> Vec<Account> {
    let account = |answers: &AccountAnswers| {
        let target = |field: &str| format!("accounts.{}.{field}", answers.id.value);
        recorder.copied(target("id"), &answers.id, "name of the account");
        match &answers.weight {
            Some(weight) => recorder.copied(target("weight"), weight, "weight under overload"),
            None => recorder.copied(target("weight"), &answers.id, "no weight given; default is 1"),
        }
        if let Some(first) = answers.api_key_digests.first() {
            recorder.copied(target("key_digests"), first, "digests of the API keys");
        }
        if let Some(priority) = &answers.priority {
            recorder.copied(target("priority"), priority, "priority of the requests; 0 is highest");
        }
        if let Some(rate) = &answers.requests_per_second {
            recorder.copied(target("quota"), rate, "limit on requests per second, and burst");
        }
        let weight = answers.weight.as_ref().map_or(1, |weight| weight.value);
        Account {
            key_digests: answers.api_key_digests.iter().map(|digest| digest.value).collect(),
            priority: answers.priority.as_ref().map_or(0, |priority| priority.value),
            quota: quota(answers),
            ..Account::new(answers.id.value.clone(), weight)
        }
    };
    let mut accounts: Vec<_> = questionnaire.accounts.iter().map(account).collect();
    accounts.sort_by(|a, b| a.id.cmp(&b.id));
    accounts
}

fn quota(answers: &AccountAnswers) -> Option<Quota> {
    let rate = f64::from(answers.requests_per_second.as_ref()?.value);
    let burst = answers.burst.as_ref().map_or(0.0, |burst| f64::from(burst.value));
    Some(Quota { rate, burst })
}

fn requires_api_key(recorder: &mut DerivationRecorder, questionnaire: &Questionnaire) -> bool {
    let mut digests = questionnaire.accounts.iter().flat_map(|account| &account.api_key_digests);
    let Some(first) = digests.next() else { return false };
    let reason = "accounts have API keys, so requests need one, except on public routes";
    recorder.copied("requires_api_key", first, reason);
    true
}
