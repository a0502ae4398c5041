//! Shared parts of the scenarios: the run of one team, its printed report and its measurements.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use cactustrack::cli::Exit;
use cactustrack_test_support::caller::CallResponse;
use cactustrack_types::{RequestClass, Version};
use eyre::{Result, ensure};
use futures::future::join_all;
use serde_json::Value;

use crate::fleet::{Endpoint, Fleet, ServiceSpec, block_on, get_json, lock};
use crate::sampler::{Sampler, Samples, standing, statuses};
use crate::traffic::{RequestLog, RequestRecord, Traffic, classify, count_outcomes};

/// Maximum length of a printed line, in characters.
const LINE_CHARS: usize = 118;

/// Interval at which the state of the fleet is polled during a measurement.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time over which requests are counted to select an upstream.
const SELECTION_WINDOW: Duration = Duration::from_millis(700);

/// Longest wait for a detection. A fault that is not detected by then is reported as not found.
const DETECTION_TIMEOUT: Duration = Duration::from_secs(10);

/// Events that the scenarios count, for guarantees 5 (leaving upstream), 6 (graceful shutdown) and
/// 7 (configuration).
#[derive(Default)]
pub(crate) struct Counts {
    /// Accepted versions, each with the time at which the operator got the response.
    pub(crate) accepted: Vec<(Version, Instant)>,
    /// Number of times that two changes based on the same version were both accepted.
    pub(crate) lost_changes: u32,
    /// Number of requests that an upstream got later than 3 s after it first announced that it
    /// leaves.
    pub(crate) late_to_leaving: u64,
    /// Instances (id and incarnation) that were shut down, each with the start time of the
    /// shutdown.
    pub(crate) stopped: Vec<((String, u64), Instant)>,
    /// Number of downloads in flight during a shutdown, and how many of them were interrupted.
    pub(crate) downloads: (u32, u32),
    /// Ids of the upstreams with an injected fault, whose ejection is not a false one.
    pub(crate) faulty: BTreeSet<String>,
}

/// The run of one team.
pub(crate) struct Run {
    pub(crate) fleet: Fleet,
    pub(crate) request_log: RequestLog,
    pub(crate) samples: Arc<Mutex<Samples>>,
    pub(crate) counts: Counts,
    /// Upstreams that an earlier scenario used, as indices of service and upstream.
    used: BTreeSet<(usize, usize)>,
    pub(crate) traffic: Traffic,
    _sampler: Sampler,
    started: Instant,
}

/// Time until the fleet stopped sending regular traffic to a faulty upstream.
pub(crate) struct Detection {
    /// Time until the first instance had taken the upstream out of service.
    pub(crate) first: Option<Duration>,
    /// Time until all instances had done so.
    pub(crate) all: Option<Duration>,
    /// Largest number of instances at which the upstream was out of service at the same time, and
    /// the number of instances. A verdict that is based on observers of one failure domain applies
    /// to that domain only.
    pub(crate) instances: (usize, usize),
    /// Number of requests that reached the upstream meanwhile.
    pub(crate) requests: u64,
}

impl Run {
    /// Accepts the questionnaire, starts the instances and waits until they are ready, then starts
    /// the traffic.
    pub(crate) fn start(mut fleet: Fleet, instances: usize) -> Result<Self> {
        let started = Instant::now();
        let samples = Arc::new(Mutex::new(Samples::default()));
        let sampler = Sampler::start(&fleet.directory, &samples);
        let (exit, text) = accept(&fleet, 0, "first", fleet.questionnaire(), "owners")?;
        ensure!(exit == Exit::Ok, "the questionnaire was not accepted: {text}");
        let accepted = vec![(1, Instant::now())];
        for number in 0..instances {
            fleet.start_instance(number)?;
        }
        let took = fleet.wait_ready()?;
        let took = format_seconds(took);
        println!("  {text}; {instances} instances in 3 failure domains ready after {took}");
        let request_log = RequestLog::default();
        let traffic = Traffic::start(&fleet.services, &fleet.directory, &request_log);
        let counts = Counts { accepted, ..Counts::default() };
        let used = BTreeSet::new();
        Ok(Self { fleet, request_log, samples, counts, used, traffic, _sampler: sampler, started })
    }

    /// Prints the heading of a section with the time since the start of the run.
    pub(crate) fn heading(&self, text: &str) {
        println!("  [{:>4.1} s] {text}", self.started.elapsed().as_secs_f64());
    }

    /// Returns the version that was accepted last.
    pub(crate) fn version(&self) -> Version {
        self.counts.accepted.last().map_or(0, |(version, _)| *version)
    }

    /// Returns the instances that are ready.
    pub(crate) fn ready(&self) -> Vec<Endpoint> {
        self.fleet.endpoints().into_iter().filter(|endpoint| endpoint.ready).collect()
    }

    /// Selects the upstream of a service that gets the most requests among those not selected
    /// before. With few instances, some upstreams are in no instance's subset and get none.
    pub(crate) fn choose_upstream(&mut self, service: usize) -> usize {
        let count = |fleet: &Fleet| -> Vec<u64> {
            fleet.controls(service).map(|control| control.requests()).collect()
        };
        let before = count(&self.fleet);
        thread::sleep(SELECTION_WINDOW);
        let after = count(&self.fleet);
        let unused = (0..after.len()).filter(|upstream| !self.used.contains(&(service, *upstream)));
        let selected = unused.max_by_key(|upstream| after[*upstream] - before[*upstream]);
        let selected = selected.unwrap_or_default();
        self.used.insert((service, selected));
        selected
    }

    /// Adds a request that was sent outside the caller loops to the request log.
    pub(crate) fn add_record(&self, spec: &ServiceSpec, tag: &str, response: &CallResponse) {
        let (class, tag, instance) = (spec.class, tag.to_owned(), ("scenario".to_owned(), 0));
        let outcome = classify(spec, &tag, 0, response);
        lock(&self.request_log).push(RequestRecord {
            class,
            tag,
            instance,
            ended: Instant::now(),
            outcome,
        });
    }

    /// Makes an upstream faulty with `inject` and waits until it is out of service at all
    /// instances, or until [`DETECTION_TIMEOUT`] has passed.
    pub(crate) fn detect(
        &mut self,
        service: usize,
        upstream: usize,
        inject: impl FnOnce(&Self),
    ) -> Result<Detection> {
        let id = self.fleet.upstream_id(service, upstream).to_owned();
        self.counts.faulty.insert(id.clone());
        let control = Arc::clone(self.fleet.control(service, upstream));
        let (onset, before) = (Instant::now(), control.requests());
        inject(self);
        let (mut first, mut all, mut instances) = (None, None, (0, 0));
        while all.is_none() && onset.elapsed() < DETECTION_TIMEOUT {
            let statuses = block_on(statuses(&self.ready()))?;
            let is_out = |status: &&Value| {
                standing(status, &id).is_some_and(|(_, standing)| standing != "in service")
            };
            let out = statuses.values().filter(is_out).count();
            let now = Some(onset.elapsed());
            first = first.or(now.filter(|_| out > 0));
            all = now.filter(|_| out == statuses.len());
            instances = (out.max(instances.0), statuses.len());
            thread::sleep(POLL_INTERVAL);
        }
        Ok(Detection { first, all, instances, requests: control.requests() - before })
    }

    /// Prints a detection, with the explanation that one of the instances gives for it.
    pub(crate) fn print_detection(
        &self,
        service: usize,
        upstream: usize,
        detection: &Detection,
    ) -> Result<()> {
        let id = self.fleet.upstream_id(service, upstream);
        let ((out, total), limit) = (detection.instances, DETECTION_TIMEOUT.as_secs());
        let found = match (detection.first, detection.all) {
            (Some(first), Some(all)) => {
                format!(
                    "out at the first instance after {}, at all {total} after {}",
                    format_seconds(first),
                    format_seconds(all)
                )
            }
            (Some(first), None) => {
                format!(
                    "out at the first instance after {}, at {out} of {total} within {limit} s",
                    format_seconds(first)
                )
            }
            _ => format!("not found faulty within {limit} s"),
        };
        self.print(&format!("{id} is {found}; {} requests reached it", detection.requests));
        let is_out = |(_, decision): &&(String, Value)| {
            decision["action"] == "ejected" || decision["action"] == "kept_for_floor"
        };
        match self.explanations(service, Some(id))?.iter().rfind(is_out) {
            Some((instance, decision)) => self.print(&format!("{instance}: {}", text_of(decision))),
            None => self.print("no instance has an explanation"),
        }
        Ok(())
    }

    /// Returns the decisions of all ready instances about a service or one of its upstreams, each
    /// with the id of the instance.
    pub(crate) fn explanations(
        &self,
        service: usize,
        upstream: Option<&str>,
    ) -> Result<Vec<(String, Value)>> {
        let service = &self.fleet.services[service].id;
        let path = match upstream {
            Some(upstream) => format!("/explain/{service}/{upstream}"),
            None => format!("/explain/{service}"),
        };
        let endpoints = self.ready();
        let requests = endpoints.iter().map(|endpoint| get_json(endpoint.addresses.admin, &path));
        let documents = block_on(async { join_all(requests).await.into_iter().collect() });
        let documents: Vec<Value> = documents?;
        let decisions = documents.iter().flat_map(|document| {
            let instance = document["instance"].as_str().unwrap_or("?").to_owned();
            let decisions = document["decisions"].as_array().into_iter().flatten();
            decisions.map(move |decision| (instance.clone(), decision.clone()))
        });
        Ok(decisions.collect())
    }

    /// Prints an indented paragraph, wrapped at word boundaries.
    pub(crate) fn print(&self, text: &str) {
        let mut line = String::from("    ");
        for word in text.split_whitespace() {
            if line.len() + word.len() + 1 > LINE_CHARS {
                println!("{line}");
                line = String::from("     ");
            }
            line.push(' ');
            line.push_str(word);
        }
        println!("{line}");
    }

    /// Prints the outcomes of the requests of a class that ended since `since`.
    pub(crate) fn print_outcomes(&self, class: RequestClass, since: Instant) {
        let request_log = lock(&self.request_log);
        let records =
            request_log.iter().filter(|record| record.class == class && record.ended >= since);
        let counts = count_outcomes(records);
        let counts: Vec<String> =
            counts.iter().map(|(outcome, count)| format!("{count} {outcome}")).collect();
        drop(request_log);
        self.print(&format!("outcomes for callers meanwhile ({class}): {}", counts.join(", ")));
    }

    /// Waits until a version is in force on all instances. Returns a description with the time
    /// since `since`.
    pub(crate) fn wait_in_force(&self, version: Version, since: Instant) -> Result<String> {
        let mut count = 0;
        self.fleet.wait("the version is in force", || {
            let Ok(statuses) = block_on(statuses(&self.ready())) else { return false };
            count = statuses.len();
            statuses.values().all(|status| {
                status["configuration"]["version"].as_u64().is_some_and(|v| v >= version)
            })
        })?;
        let took = format_seconds(since.elapsed());
        Ok(format!("version {version} is in force on all {count} instances after {took}"))
    }

    /// Returns the records of requests to one incarnation of an instance that ended since `since`.
    pub(crate) fn records_of(
        &self,
        instance: &(String, u64),
        since: Instant,
    ) -> Vec<RequestRecord> {
        let request_log = lock(&self.request_log);
        let records = request_log.iter().filter(|r| r.instance == *instance && r.ended >= since);
        records.cloned().collect()
    }
}

/// Accepts a questionnaire as a change to version `base_version`, through the operators' command
/// line.
pub(crate) fn accept(
    fleet: &Fleet,
    base_version: Version,
    name: &str,
    questionnaire: &str,
    author: &str,
) -> Result<(Exit, String)> {
    let file = fleet.write_questionnaire(name, questionnaire)?;
    let (url, seen) = (fleet.store.url(), base_version.to_string());
    let arguments = ["accept", &file, "--store", &url, "--seen", &seen, "--author", author];
    Ok(Fleet::cli(&[&arguments[..], &["--reason", name]].concat()))
}

/// Returns the text of a decision.
pub(crate) fn text_of(decision: &Value) -> &str {
    decision["text"].as_str().unwrap_or("?")
}

/// Formats a duration in seconds.
pub(crate) fn format_seconds(duration: Duration) -> String {
    format!("{:.2} s", duration.as_secs_f64())
}
