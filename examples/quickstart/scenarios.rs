//! The injected faults and planned events, in order.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use cactustrack::cli::Exit;
use cactustrack_test_support::caller::{Call, CallResponse};
use cactustrack_test_support::store::Outage;
use cactustrack_types::{Incarnation, ListingState, RequestClass, Version};
use eyre::{Result, ensure};

use crate::fleet::{Fleet, ask_metrics, block_on};
use crate::sampler::{standing, statuses};
use crate::scenario::{Run, accept, seconds, text};
use crate::traffic::{self, Ending};

/// Time before the first fault. Collectors hear of good answers up to 5 s late. Until then an
/// upstream that fails is the only one with evidence, which they take for a shared cause.
const WARM_UP: Duration = Duration::from_secs(6);

/// Factor of a straggler.
const STRAGGLER_FACTOR: u32 = 10;

/// Half periods of a flapping upstream: faulty, healthy.
const FLAPS: u32 = 4;
const FLAP_TIME: Duration = Duration::from_millis(700);

/// Time for which requests on silent connections are watched: longer than the usual time limit of
/// an idempotent request in both questionnaires, so that each of them has ended.
const SILENT_WATCH: Duration = Duration::from_millis(3500);

/// Time after the first sign that an upstream leaves in which it may get requests.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

/// Time for which the upstream is watched after that.
const LEAVING_WATCH: Duration = Duration::from_secs(2);

/// Lag of the instance list behind the upstream's own announcement.
const LIST_LAG: Duration = Duration::from_millis(1500);

/// Size of the download during a planned stop, and the pause between its 64 KiB pieces.
const DOWNLOAD_BYTES: usize = 4_000_000;
const DOWNLOAD_PAUSE: Duration = Duration::from_millis(35);

/// Runs all scenarios.
pub(crate) fn run_all(run: &mut Run) -> Result<()> {
    thread::sleep(WARM_UP);
    gray_failure(run)?;
    straggler(run)?;
    flapping(run)?;
    silent_connections(run)?;
    repeated_request(run)?;
    leaving_upstream(run)?;
    conflicting_operators(run)?;
    lost_answer(run)?;
    store_outage(run)?;
    planned_stop(run)?;
    restart(run)
}

fn gray_failure(run: &mut Run) -> Result<()> {
    let service = run.fleet.service_of(RequestClass::Idempotent)?;
    let upstream = run.choose_upstream(service);
    let since = Instant::now();
    run.heading("gray failure: half of the real requests to an upstream fail; health is not asked");
    let detection = run.detect(service, upstream, |run| {
        run.fleet.control(service, upstream).set(|behaviour| behaviour.failure_rate = 0.5);
    })?;
    run.print_detection(service, upstream, &detection)?;
    run.say_endings(RequestClass::Idempotent, since);
    run.fleet.control(service, upstream).set(|behaviour| behaviour.failure_rate = 0.0);
    Ok(())
}

fn straggler(run: &mut Run) -> Result<()> {
    let service = run.fleet.service_of(RequestClass::Idempotent)?;
    let upstream = run.choose_upstream(service);
    let usual = run.fleet.services[service].service_time;
    run.heading(&format!("straggler: an upstream takes {STRAGGLER_FACTOR} times as long"));
    let detection = run.detect(service, upstream, |run| {
        run.fleet.control(service, upstream).set(|b| b.latency = usual * STRAGGLER_FACTOR);
    })?;
    run.print_detection(service, upstream, &detection)?;
    run.fleet.control(service, upstream).set(|behaviour| behaviour.latency = usual);
    Ok(())
}

fn flapping(run: &mut Run) -> Result<()> {
    let service = run.fleet.service_of(RequestClass::NonIdempotent)?;
    let upstream = run.choose_upstream(service);
    run.heading("flapping: an upstream fails all non-idempotent requests, recovers, and so on");
    let control = Arc::clone(run.fleet.control(service, upstream));
    let since = Instant::now();
    let flaps = thread::spawn(move || {
        for _ in 0..FLAPS {
            control.set(|behaviour| behaviour.failure_rate = 1.0);
            thread::sleep(FLAP_TIME);
            control.set(|behaviour| behaviour.failure_rate = 0.0);
            thread::sleep(FLAP_TIME);
        }
    });
    let detection = run.detect(service, upstream, |_| {})?;
    run.print_detection(service, upstream, &detection)?;
    let _ = flaps.join();
    run.say_endings(RequestClass::NonIdempotent, since);
    Ok(())
}

fn silent_connections(run: &mut Run) -> Result<()> {
    let service = run.fleet.service_of(RequestClass::Idempotent)?;
    let upstream = run.choose_upstream(service);
    let id = run.fleet.upstream_id(service, upstream).to_owned();
    run.heading(&format!("silent connections: the open ones of {id} stop for good, new ones work"));
    let since = Instant::now();
    let before = silent_evidence(run, service)?;
    run.fleet.control(service, upstream).silence_open_connections();
    thread::sleep(SILENT_WATCH);
    let found = silent_evidence(run, service)? - before;
    let statuses = block_on(statuses(&run.ready()))?;
    let in_service = |status: &&_| standing(status, &id).is_some_and(|s| s.1 == "in service");
    let in_service = statuses.values().filter(in_service).count();
    run.say(&format!(
        "{found} exchanges were found silent; {id} is in service at {in_service} of {} instances",
        statuses.len()
    ));
    run.say_endings(RequestClass::Idempotent, since);
    Ok(())
}

/// Exchanges that all instances together found silent.
fn silent_evidence(run: &Run, service: usize) -> Result<u64> {
    let service = &run.fleet.services[service].id;
    let mut total = 0;
    for endpoint in run.ready() {
        let metrics = block_on(ask_metrics(endpoint.addresses.admin))?;
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
    let service = run.fleet.service_of(RequestClass::NonIdempotent)?;
    run.heading("a non-idempotent request is repeated through another instance while it runs");
    let case = run.fleet.services[service].clone();
    let set_latency = |latency| {
        run.fleet.controls(service).for_each(|control| control.set(|b| b.latency = latency));
    };
    let endpoints = run.ready();
    let address = |number: usize| endpoints[number].addresses.callers;
    let call = |tag: &str| {
        Call::post(&case.host, "/apply")
            .with_header("idempotency-key", "once")
            .with_header("x-tag", tag)
    };
    set_latency(Duration::from_millis(600));
    let (first, to) = (call("once/1"), address(0));
    let first = thread::spawn(move || first.send(to));
    thread::sleep(Duration::from_millis(200));
    set_latency(case.service_time);
    let during = call("once/2").send(address(1))?;
    let first = first.join().map_err(|_| eyre::eyre!("a caller failed"))??;
    let after = call("once/3").send(address(2))?;
    for (tag, reply) in [("once/1", &first), ("once/2", &during), ("once/3", &after)] {
        run.note(&case, tag, reply);
    }
    let executed = run.fleet.controls(service).flat_map(|control| control.executed());
    let executed = executed.filter(|entry| entry.contains(" once/")).count();
    let answer = |reply: &CallResponse| {
        format!("{} {}", reply.status.as_u16(), reply.execution().unwrap_or("without execution"))
    };
    run.say(&format!(
        "first: {}; repeat meanwhile: {}; repeat afterwards: {}; run {executed} time(s)",
        first.status.as_u16(),
        answer(&during),
        answer(&after),
    ));
    ensure!(during.status == 409 && after.status == 409, "a repeat was not recognised");
    Ok(())
}

fn leaving_upstream(run: &mut Run) -> Result<()> {
    let service = run.fleet.service_of(RequestClass::Idempotent)?;
    let upstream = run.choose_upstream(service);
    let id = run.fleet.upstream_id(service, upstream).to_owned();
    run.heading(&format!("{id} announces that it leaves; the instance list shows it 1.5 s later"));
    let control = Arc::clone(run.fleet.control(service, upstream));
    control.set(|behaviour| behaviour.draining = true);
    let (sign, before) = (Instant::now(), control.requests());
    let (mut listed, mut last, mut seen, mut at_limit) = (false, Duration::ZERO, before, None);
    while sign.elapsed() < LEAVING_LIMIT + LEAVING_WATCH {
        if !listed && sign.elapsed() >= LIST_LAG {
            run.fleet.update_listing(&id, |listing| listing.state = ListingState::Leaving);
            listed = true;
        }
        // The time is taken first, so that a request at the limit counts as late if in doubt.
        let now = sign.elapsed();
        let requests = control.requests();
        if requests > seen {
            (seen, last) = (requests, sign.elapsed());
        }
        if now >= LEAVING_LIMIT {
            at_limit.get_or_insert(requests);
        }
        thread::sleep(Duration::from_millis(10));
    }
    let late = control.requests() - at_limit.unwrap_or(before);
    run.counted.late_to_leaving += late;
    run.say(&format!(
        "{} requests after the first sign, the last one after {}; {late} after 3 s",
        seen - before,
        seconds(last)
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
        run.say(&format!("it is back as a new process: {standing} at weight {weight:.2}"));
    }
    Ok(())
}

/// A questionnaire with one more account.
fn with_account(run: &Run, account: &str) -> String {
    format!("{}\n[[accounts]]\nid = \"{account}\"\nweight = 3\n", run.fleet.questionnaire())
}

fn conflicting_operators(run: &mut Run) -> Result<()> {
    run.heading("two operators accept different changes at the same moment");
    let seen = run.version();
    let changes = [("auditors", "Eleni"), ("interns", "Wei Ling")];
    let texts: Vec<String> =
        changes.iter().map(|(account, _)| with_account(run, account)).collect();
    let fleet: &Fleet = &run.fleet;
    let results = thread::scope(|scope| {
        let submit = |((account, author), text): (&(&'static str, &'static str), &String)| {
            let (text, account, author) = (text.clone(), *account, *author);
            // The store is used from the thread of its operator only.
            let file = fleet.write_questionnaire(account, &text);
            let url = fleet.store.url();
            scope.spawn(move || {
                let seen = seen.to_string();
                let arguments = ["accept", &file?, "--store", &url, "--seen", &seen];
                let rest = ["--author", author, "--reason", account];
                Ok(Fleet::cli(&[&arguments[..], &rest].concat()))
            })
        };
        let threads: Vec<_> = changes.iter().zip(&texts).map(submit).collect();
        let joined = threads.into_iter().map(|thread| thread.join().expect("an operator"));
        joined.collect::<Result<Vec<(Exit, String)>>>()
    })?;
    let answered = Instant::now();
    let count = |wanted| results.iter().filter(|(exit, _)| *exit == wanted).count();
    let (accepted, conflicts) = (count(Exit::Ok), count(Exit::Conflict));
    if accepted > 1 {
        run.counted.lost_changes += 1;
    }
    for ((_, author), (_, text)) in changes.iter().zip(&results) {
        run.say(&format!("{author}: {}", text.lines().next().unwrap_or_default()));
    }
    ensure!(accepted >= 1, "neither change was accepted ({conflicts} conflicts)");
    run.counted.accepted.push((seen + 1, answered));
    run.say(&run.wait_in_force(seen + 1, answered)?);
    Ok(())
}

fn lost_answer(run: &mut Run) -> Result<()> {
    run.heading("a change is accepted, but the answer of the store to it is lost");
    let seen = run.version();
    run.fleet.store.handle().drop_responses("cactustrack/head", 1);
    let text = with_account(run, "partners");
    let (exit, answer) = accept(&run.fleet, seen, "partners", &text, "Eleni")?;
    let answered = Instant::now();
    run.fleet.store.handle().stop_dropping_responses();
    ensure!(exit == Exit::Ok, "the outcome was not found out: {exit:?}");
    run.counted.accepted.push((seen + 1, answered));
    let in_force = run.wait_in_force(seen + 1, answered)?;
    run.say(&format!("{answer}, as read back from the store; {in_force}"));
    Ok(())
}

fn store_outage(run: &mut Run) -> Result<()> {
    let service = run.fleet.service_of(RequestClass::NonIdempotent)?;
    let case = run.fleet.services[service].clone();
    run.heading("the store is unavailable, and a new instance joins meanwhile");
    run.fleet.store.handle().set_outage_blocking(Outage::Refuse);
    let since = Instant::now();
    let number = run.fleet.endpoints().len();
    run.fleet.start_instance(number)?;
    let joined = run.fleet.wait_ready()?;
    let version = in_force(run, &format!("instance-{number}"))?;
    run.say(&format!(
        "instance-{number} is ready after {} with version {version} from its peers",
        seconds(joined)
    ));
    let to = run.fleet.endpoints()[number].addresses.callers;
    let call = |tag: &str| Call::post(&case.host, "/apply").with_header("x-tag", tag);
    let keyed = call("keyed/1").with_header("idempotency-key", "keyed").send(to)?;
    let plain = call("plain/1").send(to)?;
    run.note(&case, "keyed/1", &keyed);
    run.note(&case, "plain/1", &plain);
    run.say(&format!(
        "non-idempotent request with a key: {}, execution {}; without a key: {}",
        keyed.status,
        keyed.execution().unwrap_or("not stated"),
        plain.status
    ));
    thread::sleep(Duration::from_secs(2).saturating_sub(since.elapsed()));
    run.say_endings(RequestClass::NonIdempotent, since);
    run.fleet.store.handle().set_outage_blocking(Outage::None);
    let call = call("later/1").with_header("idempotency-key", "later");
    let took = run.fleet.wait("requests with a key are served", || {
        call.send(to).is_ok_and(|reply| reply.status == 200)
    })?;
    run.say(&format!("requests with a key are served {} after the outage", seconds(took)));
    Ok(())
}

fn in_force(run: &Run, instance: &str) -> Result<Version> {
    let statuses = block_on(statuses(&run.ready()))?;
    let version = statuses.get(instance).and_then(|s| s["configuration"]["version"].as_u64());
    Ok(version.unwrap_or_default())
}

fn planned_stop(run: &mut Run) -> Result<()> {
    let service = run.fleet.service_of(RequestClass::Large)?;
    let case = run.fleet.services[service].clone();
    let endpoint = run.fleet.endpoints().remove(1);
    run.heading(&format!("planned stop of {} with a long download in flight", endpoint.id));
    set_pace(run, service, DOWNLOAD_PAUSE);
    let to = endpoint.addresses.callers;
    let download = thread::spawn(move || {
        let tag = "download/1";
        block_on(async { Ok(traffic::send(&case, tag, DOWNLOAD_BYTES, to).await) })
    });
    thread::sleep(Duration::from_millis(300));
    let stop = Instant::now();
    let instance = (endpoint.id.clone(), endpoint.life);
    run.counted.stopped.push((instance.clone(), stop));
    run.fleet.begin_stop(&endpoint.id);
    let in_flight = requests_in_flight(endpoint.addresses.admin)?;
    let id = &endpoint.id;
    let took = run.fleet.wait("the instance has stopped", || run.fleet.has_stopped(id))?;
    let ending = download.join().map_err(|_| eyre::eyre!("the download failed"))??;
    set_pace(run, service, Duration::ZERO);
    run.counted.downloads.0 += 1;
    run.counted.downloads.1 += u32::from(ending != Ending::Ok);
    run.fleet.remove(id);
    let entries = run.entries_of(&instance, stop);
    run.say(&format!(
        "{in_flight} in flight at the order; download of {DOWNLOAD_BYTES} bytes: {ending}; stopped \
         after {}; {} others answered meanwhile",
        seconds(took),
        entries.len()
    ));
    Ok(())
}

fn requests_in_flight(admin: SocketAddr) -> Result<u64> {
    let metrics = block_on(ask_metrics(admin))?;
    let line =
        metrics.lines().find_map(|line| line.strip_prefix("cactustrack_requests_in_flight "));
    Ok(line.and_then(|value| value.parse().ok()).unwrap_or_default())
}

fn set_pace(run: &Run, service: usize, pause: Duration) {
    run.fleet.controls(service).for_each(|control| control.set(|b| b.chunk_delay = pause));
}

fn restart(run: &mut Run) -> Result<()> {
    let endpoint = run.fleet.endpoints().remove(1);
    let id = endpoint.id.clone();
    run.heading(&format!("restart of {id}"));
    let number = id.rsplit('-').next().and_then(|n| n.parse().ok()).unwrap_or_default();
    run.counted.stopped.push(((id.clone(), endpoint.life), Instant::now()));
    run.fleet.begin_stop(&id);
    run.fleet.wait("the instance has stopped", || run.fleet.has_stopped(&id))?;
    run.fleet.remove(&id);
    run.fleet.start_instance(number)?;
    let ready = run.fleet.wait_ready()?;
    let version = in_force(run, &id)?;
    let known = run.fleet.wait("all instances know the new life", || {
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
    run.say(&format!(
        "ready {} after its start, with version {version}; all others know its new life {} later",
        seconds(ready),
        seconds(known)
    ));
    thread::sleep(Duration::from_secs(1));
    Ok(())
}

/// Ejections of upstreams without an injected fault, as the instances explain them.
pub(crate) fn false_ejections(run: &Run) -> Result<Vec<String>> {
    let mut found = Vec::new();
    for service in 0..run.fleet.services.len() {
        for (instance, decision) in run.explanations(service, None)? {
            let upstream = decision["upstream"].as_str().unwrap_or_default();
            if decision["action"] == "ejected" && !run.counted.faulty.contains(upstream) {
                found.push(format!("{instance}: {}", text(&decision)));
            }
        }
    }
    Ok(found)
}
