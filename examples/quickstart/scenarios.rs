//! Scenarios with injected faults and planned events, in the order in which they run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use cactustrack::cli::Exit;
use cactustrack_test_support::caller::{Call, CallResponse};
use cactustrack_test_support::store::Outage;
use cactustrack_types::{Incarnation, ListingState, RequestClass, Version};
use eyre::{Result, ensure};

use crate::fleet::{Fleet, block_on, get_metrics};
use crate::sampler::{standing, statuses};
use crate::scenario::{Run, accept, format_seconds, text_of};
use crate::traffic::{self, Outcome};

/// Time before the first fault. Collectors receive reports of successful responses up to 5 s late.
/// Until then a failing upstream is the only one with evidence, which they attribute to a shared
/// cause.
const WARM_UP: Duration = Duration::from_secs(6);

/// Factor by which the latency of the straggler is increased.
const STRAGGLER_FACTOR: u32 = 10;

/// Number of cycles of the flapping upstream. In each it is faulty for [`FLAP_TIME`], then healthy
/// for as long.
const FLAP_CYCLES: u32 = 4;

/// Half of the period of the flapping upstream.
const FLAP_TIME: Duration = Duration::from_millis(700);

/// Time for which requests on silent connections are observed. It exceeds the usual timeout of an
/// idempotent request in both questionnaires, so that each of these requests has ended.
const SILENT_WATCH: Duration = Duration::from_millis(3500);

/// Time for which an upstream may still get requests after it first announced that it leaves.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

/// Time for which requests to the upstream are counted after [`LEAVING_LIMIT`].
const LEAVING_WATCH: Duration = Duration::from_secs(2);

/// Time by which the instance list lags behind the announcement of the upstream.
const LIST_LAG: Duration = Duration::from_millis(1500);

/// Size in bytes of the download during a graceful shutdown.
const DOWNLOAD_BYTES: usize = 4_000_000;

/// Delay between the 64 KiB chunks of the download.
const DOWNLOAD_CHUNK_DELAY: Duration = Duration::from_millis(35);

/// Runs all scenarios in order.
pub(crate) fn run_all(run: &mut Run) -> Result<()> {
    thread::sleep(WARM_UP);
    gray_failure(run)?;
    straggler(run)?;
    flapping(run)?;
    silent_connections(run)?;
    repeated_request(run)?;
    leaving_upstream(run)?;
    conflicting_operators(run)?;
    lost_response(run)?;
    store_outage(run)?;
    graceful_shutdown(run)?;
    restart(run)
}

fn gray_failure(run: &mut Run) -> Result<()> {
    let service = run.fleet.service_index(RequestClass::Idempotent)?;
    let upstream = run.choose_upstream(service);
    let since = Instant::now();
    run.heading(
        "gray failure: half of the requests to an upstream fail; there are no health checks",
    );
    let detection = run.detect(service, upstream, |run| {
        run.fleet.control(service, upstream).set(|behaviour| behaviour.failure_rate = 0.5);
    })?;
    run.print_detection(service, upstream, &detection)?;
    run.print_outcomes(RequestClass::Idempotent, since);
    run.fleet.control(service, upstream).set(|behaviour| behaviour.failure_rate = 0.0);
    Ok(())
}

fn straggler(run: &mut Run) -> Result<()> {
    let service = run.fleet.service_index(RequestClass::Idempotent)?;
    let upstream = run.choose_upstream(service);
    let service_time = run.fleet.services[service].service_time;
    run.heading(&format!(
        "straggler: requests to an upstream take {STRAGGLER_FACTOR} times as long"
    ));
    let detection = run.detect(service, upstream, |run| {
        run.fleet.control(service, upstream).set(|b| b.latency = service_time * STRAGGLER_FACTOR);
    })?;
    run.print_detection(service, upstream, &detection)?;
    run.fleet.control(service, upstream).set(|behaviour| behaviour.latency = service_time);
    Ok(())
}

fn flapping(run: &mut Run) -> Result<()> {
    let service = run.fleet.service_index(RequestClass::NonIdempotent)?;
    let upstream = run.choose_upstream(service);
    run.heading(
        "flapping: an upstream alternates between failing all non-idempotent requests and recovery",
    );
    let control = Arc::clone(run.fleet.control(service, upstream));
    let since = Instant::now();
    let flapping = thread::spawn(move || {
        for _ in 0..FLAP_CYCLES {
            control.set(|behaviour| behaviour.failure_rate = 1.0);
            thread::sleep(FLAP_TIME);
            control.set(|behaviour| behaviour.failure_rate = 0.0);
            thread::sleep(FLAP_TIME);
        }
    });
    let detection = run.detect(service, upstream, |_| {})?;
    run.print_detection(service, upstream, &detection)?;
    let _ = flapping.join();
    run.print_outcomes(RequestClass::NonIdempotent, since);
    Ok(())
}

fn silent_connections(run: &mut Run) -> Result<()> {
    let service = run.fleet.service_index(RequestClass::Idempotent)?;
    let upstream = run.choose_upstream(service);
    let id = run.fleet.upstream_id(service, upstream).to_owned();
    run.heading(&format!(
        "silent connections: open connections to {id} stop carrying data, new ones work"
    ));
    let since = Instant::now();
    let before = silent_evidence(run, service)?;
    run.fleet.control(service, upstream).silence_open_connections();
    thread::sleep(SILENT_WATCH);
    let found = silent_evidence(run, service)? - before;
    let statuses = block_on(statuses(&run.ready()))?;
    let in_service = |status: &&_| standing(status, &id).is_some_and(|s| s.1 == "in service");
    let in_service = statuses.values().filter(in_service).count();
    run.print(&format!(
        "{found} requests were classified as silent; {id} is in service at {in_service} of {} instances",
        statuses.len()
    ));
    run.print_outcomes(RequestClass::Idempotent, since);
    Ok(())
}

/// Returns the number of requests that all instances together classified as silent.
fn silent_evidence(run: &Run, service: usize) -> Result<u64> {
    let service = &run.fleet.services[service].id;
    let mut total = 0;
    for endpoint in run.ready() {
        let metrics = block_on(get_metrics(endpoint.addresses.admin))?;
        let mut lines = metrics.lines().filter(|line| {
            line.starts_with("cactustrack_evidence_total{")
                && line.contains(r#"outcome="silent""#)
                && line.contains(&format!(r#"service="{service}""#))
        });
        let value = lines.next().and_then(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
        total += value.unwrap_or_default();
    }
    Ok(total)
}

fn repeated_request(run: &mut Run) -> Result<()> {
    let service = run.fleet.service_index(RequestClass::NonIdempotent)?;
    run.heading(
        "a non-idempotent request is repeated through another instance while it is executed",
    );
    let spec = run.fleet.services[service].clone();
    let set_latency = |latency| {
        run.fleet.controls(service).for_each(|control| control.set(|b| b.latency = latency));
    };
    let endpoints = run.ready();
    let address = |number: usize| endpoints[number].addresses.callers;
    let call = |tag: &str| {
        Call::post(&spec.host, "/apply")
            .with_header("idempotency-key", "once")
            .with_header("x-tag", tag)
    };
    set_latency(Duration::from_millis(600));
    let (first, to) = (call("once/1"), address(0));
    let first = thread::spawn(move || first.send(to));
    thread::sleep(Duration::from_millis(200));
    set_latency(spec.service_time);
    let during = call("once/2").send(address(1))?;
    let first = first.join().map_err(|_| eyre::eyre!("the thread of a caller panicked"))??;
    let after = call("once/3").send(address(2))?;
    for (tag, response) in [("once/1", &first), ("once/2", &during), ("once/3", &after)] {
        run.add_record(&spec, tag, response);
    }
    let executed = run.fleet.controls(service).flat_map(|control| control.executed());
    let executed = executed.filter(|entry| entry.contains(" once/")).count();
    let describe = |response: &CallResponse| {
        format!(
            "{} {}",
            response.status.as_u16(),
            response.execution().unwrap_or("without execution")
        )
    };
    run.print(&format!(
        "first: {}; repeat meanwhile: {}; repeat afterwards: {}; executed {executed} time(s)",
        first.status.as_u16(),
        describe(&during),
        describe(&after),
    ));
    ensure!(
        during.status == 409 && after.status == 409,
        "a repeated request was not rejected with status 409"
    );
    Ok(())
}

fn leaving_upstream(run: &mut Run) -> Result<()> {
    let service = run.fleet.service_index(RequestClass::Idempotent)?;
    let upstream = run.choose_upstream(service);
    let id = run.fleet.upstream_id(service, upstream).to_owned();
    run.heading(&format!("{id} announces that it leaves; the instance list shows it 1.5 s later"));
    let control = Arc::clone(run.fleet.control(service, upstream));
    control.set(|behaviour| behaviour.draining = true);
    let (announced, before) = (Instant::now(), control.requests());
    let (mut listed, mut last, mut counted, mut at_limit) = (false, Duration::ZERO, before, None);
    while announced.elapsed() < LEAVING_LIMIT + LEAVING_WATCH {
        if !listed && announced.elapsed() >= LIST_LAG {
            run.fleet.update_listing(&id, |listing| listing.state = ListingState::Leaving);
            listed = true;
        }
        // The time is read before the counter, so that no request within the limit counts as late.
        // A request that arrives just after the limit may therefore not be counted as late.
        let now = announced.elapsed();
        let requests = control.requests();
        if requests > counted {
            (counted, last) = (requests, announced.elapsed());
        }
        if now >= LEAVING_LIMIT {
            at_limit.get_or_insert(requests);
        }
        thread::sleep(Duration::from_millis(10));
    }
    let late = control.requests() - at_limit.unwrap_or(before);
    run.counts.late_to_leaving += late;
    run.print(&format!(
        "{} requests after the first announcement, the last one after {}; {late} after 3 s",
        counted - before,
        format_seconds(last)
    ));
    control.set(|behaviour| behaviour.draining = false);
    run.fleet.update_listing(&id, |listing| {
        listing.state = ListingState::Live;
        listing.incarnation = Incarnation(2);
    });
    thread::sleep(Duration::from_millis(1500));
    let statuses = block_on(statuses(&run.ready()))?;
    let restarted = statuses.values().find_map(|status| standing(status, &id));
    if let Some((weight, standing)) = restarted {
        run.print(&format!("restarted as a new process: {standing} at weight {weight:.2}"));
    }
    Ok(())
}

/// Returns the questionnaire with one more account.
fn with_account(run: &Run, account: &str) -> String {
    format!("{}\n[[accounts]]\nid = \"{account}\"\nweight = 3\n", run.fleet.questionnaire())
}

fn conflicting_operators(run: &mut Run) -> Result<()> {
    run.heading("two operators accept different changes at the same moment");
    let base_version = run.version();
    let changes = [("auditors", "Eleni"), ("interns", "Wei Ling")];
    let texts: Vec<String> =
        changes.iter().map(|(account, _)| with_account(run, account)).collect();
    let fleet: &Fleet = &run.fleet;
    let results = thread::scope(|scope| {
        let submit = |((account, author), text): (&(&'static str, &'static str), &String)| {
            let (text, account, author) = (text.clone(), *account, *author);
            // Only the command line, on the thread of the operator, accesses the store.
            let file = fleet.write_questionnaire(account, &text);
            let url = fleet.store.url();
            scope.spawn(move || {
                let seen = base_version.to_string();
                let arguments = ["accept", &file?, "--store", &url, "--seen", &seen];
                let rest = ["--author", author, "--reason", account];
                Ok(Fleet::cli(&[&arguments[..], &rest].concat()))
            })
        };
        let threads: Vec<_> = changes.iter().zip(&texts).map(submit).collect();
        let joined =
            threads.into_iter().map(|thread| thread.join().expect("the thread of an operator"));
        joined.collect::<Result<Vec<(Exit, String)>>>()
    })?;
    let accepted_at = Instant::now();
    let count = |wanted| results.iter().filter(|(exit, _)| *exit == wanted).count();
    let (accepted, conflicts) = (count(Exit::Ok), count(Exit::Conflict));
    if accepted > 1 {
        run.counts.lost_changes += 1;
    }
    for ((_, author), (_, text)) in changes.iter().zip(&results) {
        run.print(&format!("{author}: {}", text.lines().next().unwrap_or_default()));
    }
    ensure!(accepted >= 1, "neither change was accepted ({conflicts} conflicts)");
    run.counts.accepted.push((base_version + 1, accepted_at));
    run.print(&run.wait_in_force(base_version + 1, accepted_at)?);
    Ok(())
}

fn lost_response(run: &mut Run) -> Result<()> {
    run.heading("a change is accepted, but the response of the store is lost");
    let base_version = run.version();
    run.fleet.store.handle().drop_responses("cactustrack/head", 1);
    let text = with_account(run, "partners");
    let (exit, output) = accept(&run.fleet, base_version, "partners", &text, "Eleni")?;
    let accepted_at = Instant::now();
    run.fleet.store.handle().stop_dropping_responses();
    ensure!(exit == Exit::Ok, "the change was not confirmed by reading it back: {exit:?}");
    run.counts.accepted.push((base_version + 1, accepted_at));
    let in_force = run.wait_in_force(base_version + 1, accepted_at)?;
    run.print(&format!("{output}, as read back from the store; {in_force}"));
    Ok(())
}

fn store_outage(run: &mut Run) -> Result<()> {
    let service = run.fleet.service_index(RequestClass::NonIdempotent)?;
    let spec = run.fleet.services[service].clone();
    run.heading("the store is unavailable, and a new instance joins during the outage");
    run.fleet.store.handle().set_outage_blocking(Outage::Refuse);
    let since = Instant::now();
    let number = run.fleet.endpoints().len();
    run.fleet.start_instance(number)?;
    let joined = run.fleet.wait_ready()?;
    let version = in_force(run, &format!("instance-{number}"))?;
    run.print(&format!(
        "instance-{number} is ready after {} with version {version} from its peers",
        format_seconds(joined)
    ));
    let to = run.fleet.endpoints()[number].addresses.callers;
    let call = |tag: &str| Call::post(&spec.host, "/apply").with_header("x-tag", tag);
    let keyed = call("keyed/1").with_header("idempotency-key", "keyed").send(to)?;
    let plain = call("plain/1").send(to)?;
    run.add_record(&spec, "keyed/1", &keyed);
    run.add_record(&spec, "plain/1", &plain);
    run.print(&format!(
        "non-idempotent request with a key: {}, execution {}; without a key: {}",
        keyed.status,
        keyed.execution().unwrap_or("not stated"),
        plain.status
    ));
    thread::sleep(Duration::from_secs(2).saturating_sub(since.elapsed()));
    run.print_outcomes(RequestClass::NonIdempotent, since);
    run.fleet.store.handle().set_outage_blocking(Outage::None);
    let call = call("later/1").with_header("idempotency-key", "later");
    let took = run.fleet.wait("requests with a key are served", || {
        call.send(to).is_ok_and(|response| response.status == 200)
    })?;
    run.print(&format!("requests with a key are served {} after the outage", format_seconds(took)));
    Ok(())
}

fn in_force(run: &Run, instance: &str) -> Result<Version> {
    let statuses = block_on(statuses(&run.ready()))?;
    let version = statuses.get(instance).and_then(|s| s["configuration"]["version"].as_u64());
    Ok(version.unwrap_or_default())
}

fn graceful_shutdown(run: &mut Run) -> Result<()> {
    let service = run.fleet.service_index(RequestClass::Large)?;
    let spec = run.fleet.services[service].clone();
    let endpoint = run.fleet.endpoints().remove(1);
    run.heading(&format!("graceful shutdown of {} with a long download in flight", endpoint.id));
    set_chunk_delay(run, service, DOWNLOAD_CHUNK_DELAY);
    let to = endpoint.addresses.callers;
    let download = thread::spawn(move || {
        let tag = "download/1";
        block_on(async { Ok(traffic::send(&spec, tag, DOWNLOAD_BYTES, to).await) })
    });
    thread::sleep(Duration::from_millis(300));
    let stop = Instant::now();
    let instance = (endpoint.id.clone(), endpoint.incarnation);
    run.counts.stopped.push((instance.clone(), stop));
    run.fleet.begin_shutdown(&endpoint.id);
    let in_flight = requests_in_flight(endpoint.addresses.admin)?;
    let id = &endpoint.id;
    let took = run.fleet.wait("the instance has stopped", || run.fleet.has_stopped(id))?;
    let outcome =
        download.join().map_err(|_| eyre::eyre!("the thread of the download panicked"))??;
    set_chunk_delay(run, service, Duration::ZERO);
    run.counts.downloads.0 += 1;
    run.counts.downloads.1 += u32::from(outcome != Outcome::Ok);
    run.fleet.remove(id);
    let records = run.records_of(&instance, stop);
    run.print(&format!(
        "{in_flight} requests were in flight; download of {DOWNLOAD_BYTES} bytes: {outcome}; \
         stopped after {}; {} other requests ended meanwhile",
        format_seconds(took),
        records.len()
    ));
    Ok(())
}

fn requests_in_flight(admin: SocketAddr) -> Result<u64> {
    let metrics = block_on(get_metrics(admin))?;
    let line =
        metrics.lines().find_map(|line| line.strip_prefix("cactustrack_requests_in_flight "));
    Ok(line.and_then(|value| value.parse().ok()).unwrap_or_default())
}

fn set_chunk_delay(run: &Run, service: usize, pause: Duration) {
    run.fleet.controls(service).for_each(|control| control.set(|b| b.chunk_delay = pause));
}

fn restart(run: &mut Run) -> Result<()> {
    let endpoint = run.fleet.endpoints().remove(1);
    let id = endpoint.id.clone();
    run.heading(&format!("restart of {id}"));
    let number = id.rsplit('-').next().and_then(|n| n.parse().ok()).unwrap_or_default();
    run.counts.stopped.push(((id.clone(), endpoint.incarnation), Instant::now()));
    run.fleet.begin_shutdown(&id);
    run.fleet.wait("the instance has stopped", || run.fleet.has_stopped(&id))?;
    run.fleet.remove(&id);
    run.fleet.start_instance(number)?;
    let ready = run.fleet.wait_ready()?;
    let version = in_force(run, &id)?;
    let spread = run.fleet.wait("all instances know the new incarnation", || {
        let Ok(statuses) = block_on(statuses(&run.ready())) else { return false };
        let address = run.fleet.endpoints().last().map(|e| e.addresses.peers.to_string());
        statuses.values().all(|status| {
            let members = status["members"].as_array();
            members.into_iter().flatten().any(|member| {
                member["id"] == *id
                    && member["address"].as_str() == address.as_deref()
                    && member["state"] == "live"
            }) || status["instance"] == *id
        })
    })?;
    run.print(&format!(
        "ready {} after its start, with version {version}; all others know its new incarnation {} later",
        format_seconds(ready),
        format_seconds(spread)
    ));
    thread::sleep(Duration::from_secs(1));
    Ok(())
}

/// Returns the ejections of upstreams without an injected fault, as explained by the instances.
pub(crate) fn false_ejections(run: &Run) -> Result<Vec<String>> {
    let mut found = Vec::new();
    for service in 0..run.fleet.services.len() {
        for (instance, decision) in run.explanations(service, None)? {
            let upstream = decision["upstream"].as_str().unwrap_or_default();
            if decision["action"] == "ejected" && !run.counts.faulty.contains(upstream) {
                found.push(format!("{instance}: {}", text_of(&decision)));
            }
        }
    }
    Ok(found)
}
