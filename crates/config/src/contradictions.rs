//! Consistency checks on the answers of a questionnaire.

use std::collections::BTreeMap;
use std::sync::Arc;

use cactustrack_types::ApiKeyDigest;

use crate::questionnaire::{AccountAnswers, RouteAnswers, ServiceAnswers};
use crate::reader::{Located, Reader};

/// Reports answers that contradict each other as errors, and a floor that prevents the ejection of
/// any upstream as a warning.
pub(crate) fn check(reader: &Reader, accounts: &[AccountAnswers], services: &[ServiceAnswers]) {
    report_duplicates(reader, accounts.iter().map(|account| &account.id));
    report_duplicates(reader, services.iter().map(|service| &service.id));
    report_duplicate_routes(reader, services);
    report_shared_digests(reader, accounts);
    let requires_api_key = accounts.iter().any(|account| !account.api_key_digests.is_empty());
    for account in accounts {
        check_account(reader, account, requires_api_key);
    }
    if !requires_api_key {
        check_public_routes(reader, services);
    }
    for service in services {
        check_capacity(reader, service);
        check_routes(reader, service);
    }
}

fn report_duplicates<'a>(reader: &Reader, ids: impl Iterator<Item = &'a Located<Arc<str>>>) {
    let mut seen: BTreeMap<&str, usize> = BTreeMap::new();
    for id in ids {
        if let Some(line) = seen.get(&*id.value) {
            let problem = format!("duplicate id {:?}, first used on line {line}", id.value);
            reader.error_at(id, problem, "use a unique id");
        } else {
            seen.insert(&id.value, id.line);
        }
    }
}

fn report_duplicate_routes(reader: &Reader, services: &[ServiceAnswers]) {
    let mut seen: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    let routes = services.iter().flat_map(|service| {
        service.routes.iter().map(move |route| (&*service.host.value, &route.path))
    });
    for (host, path) in routes {
        if let Some(line) = seen.get(&(host, &*path.value)) {
            let problem = format!("duplicate path for host {host:?}, first used on line {line}");
            reader.error_at(path, problem, "use another host or path, or remove one route");
        } else {
            seen.insert((host, &path.value), path.line);
        }
    }
}

/// A key that two accounts list authenticates neither of them.
fn report_shared_digests(reader: &Reader, accounts: &[AccountAnswers]) {
    let mut seen: BTreeMap<ApiKeyDigest, &AccountAnswers> = BTreeMap::new();
    for account in accounts {
        for digest in &account.api_key_digests {
            let owner = *seen.entry(digest.value).or_insert(account);
            if owner.id.value != account.id.value {
                let (id, line) = (&owner.id.value, owner.id.line);
                let problem = format!("account {id:?} (line {line}) lists the same digest");
                reader.error_at(digest, problem, "give each account keys of its own");
            }
        }
    }
}

fn check_account(reader: &Reader, account: &AccountAnswers, requires_api_key: bool) {
    if requires_api_key && account.api_key_digests.is_empty() {
        let problem = "the account has no API key, so no request is sent on its behalf";
        let remedy = "add the digest of a key, or remove the account";
        reader.warning(account.id.line, &account.id.key, problem, remedy);
    }
    if let Some(burst) = account.burst.as_ref().filter(|_| account.requests_per_second.is_none()) {
        let problem = "a burst without a rate has no effect";
        reader.error_at(burst, problem, "add `requests_per_second` or remove the answer");
    }
    if let Some(rate) = &account.requests_per_second {
        let problem = "quotas are enforced on the users' platform only";
        let remedy = "expect no limit in other fleets; use `weight` for fair shares under overload";
        reader.warning(rate.line, &rate.key, problem, remedy);
    }
    if let Some(priority) = account.priority.as_ref().filter(|priority| priority.value > 0) {
        let problem = "priorities are applied on the users' platform only";
        let remedy = "use `weight` for fair shares under overload in other fleets";
        reader.warning(priority.line, &priority.key, problem, remedy);
    }
}

/// Without digests, requests need no API key, and a public route is like all others.
fn check_public_routes(reader: &Reader, services: &[ServiceAnswers]) {
    let routes = services.iter().flat_map(|service| &service.routes);
    for public in routes.filter_map(|route| route.public.as_ref()).filter(|public| public.value) {
        let problem = "no account has an API key, so all routes are public";
        let remedy = "add `api_key_digests` to an account or remove the answer";
        reader.error_at(public, problem, remedy);
    }
}

fn check_capacity(reader: &Reader, service: &ServiceAnswers) {
    let floor = &service.healthy_capacity;
    let (capacity, floor_slots) = (service.capacity_slots(), service.floor_slots());
    if service.connections.value < service.slots.value {
        let problem = format!(
            "{} connections are too few for {} concurrent requests",
            service.connections.value, service.slots.value
        );
        reader.error_at(&service.connections, problem, "use at least the number of slots");
    }
    if floor_slots > capacity {
        let problem =
            format!("requires {floor_slots} slots, but all upstreams together have {capacity}");
        reader.error_at(floor, problem, "lower it or add upstreams");
    } else if floor_slots > capacity - service.slots.value {
        let problem = "does not allow the ejection of any upstream";
        let remedy = "faulty upstreams will stay in service with a small share of requests; \
                      lower it or add an upstream";
        reader.warning(floor.line, &floor.key, problem, remedy);
    }
}

fn check_routes(reader: &Reader, service: &ServiceAnswers) {
    for route in &service.routes {
        check_times(reader, service, route);
        check_resume(reader, route);
        check_large_request(reader, route);
        check_retry(reader, route);
    }
}

fn check_times(reader: &Reader, service: &ServiceAnswers, route: &RouteAnswers) {
    let (timeout, usual) = (&route.timeout_ms, &service.service_time_ms);
    if timeout.value < usual.value {
        let problem = format!(
            "{} ms is less than the usual response time of {} ms (line {})",
            timeout.value, usual.value, usual.line
        );
        reader.error_at(timeout, problem, "use at least the usual response time");
    }
    if let Some(max) = route.max_timeout_ms.as_ref().filter(|max| max.value < timeout.value) {
        let problem =
            format!("{} ms is less than the timeout_ms of {} ms", max.value, timeout.value);
        reader.error_at(max, problem, "use at least timeout_ms");
    }
}

/// A truncated large response can be completed only by sending the request again. If requests with
/// large responses are not repeatable, the team therefore has to state explicitly that these
/// responses are not resumed.
fn check_resume(reader: &Reader, route: &RouteAnswers) {
    let resume = route.resume.as_ref();
    match (route.is_large(), route.repeatable.value) {
        (true, false) => match resume {
            Some(resume) if !resume.value => {}
            Some(resume) => {
                let problem = "the response to a request that is not repeatable cannot be resumed";
                reader.error_at(resume, problem, "write `resume = false` or `repeatable = true`");
            }
            None => {
                let problem = "a large response to a request that is not repeatable is not resumed";
                let remedy = "write `resume = false` or `repeatable = true`";
                reader.error_at(&route.repeatable, problem, remedy);
            }
        },
        (true, true) => {
            if let Some(resume) = resume.filter(|resume| !resume.value) {
                let problem = "large responses to repeatable requests are resumed if they carry a \
                               strong ETag";
                reader.error_at(resume, problem, "remove the answer, or send no strong ETag");
            }
        }
        (false, _) => {
            if let Some(resume) = resume {
                let problem = "only large responses are resumed";
                reader.error_at(
                    resume,
                    problem,
                    "remove the answer or write `large_response = true`",
                );
            }
        }
    }
}

/// A large body is kept in memory only up to a limit, and a request whose body was streamed cannot be
/// sent to a second upstream.
fn check_large_request(reader: &Reader, route: &RouteAnswers) {
    let Some(large) = route.large_request.as_ref().filter(|large| large.value) else { return };
    if route.repeatable.value {
        let problem = "a repeatable request is not retried once its large body was streamed";
        let remedy = "remove the answer if bodies are small, or expect fewer retries";
        reader.warning(large.line, &large.key, problem, remedy);
    }
}

fn check_retry(reader: &Reader, route: &RouteAnswers) {
    let Some(retry) = &route.retry else { return };
    if !route.repeatable.value {
        let problem = "a request that is not repeatable is never retried";
        reader.error_at(retry, problem, "remove the answer or write `repeatable = true`");
    } else if !retry.value {
        let problem = "repeatable requests are retried within the retry budget of the service";
        reader.error_at(retry, problem, "remove the answer or write `repeatable = false`");
    }
}
