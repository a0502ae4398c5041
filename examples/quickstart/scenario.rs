//! What the scenarios have in common: the run of one team, its account and its measurements.

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

use crate::fleet::{Endpoint, Fleet, ServiceCase, ask, block_on, lock};
use crate::sampler::{Sampler, Samples, standing, statuses};
use crate::traffic::{Entry, Ledger, Traffic, classify, count_endings};

/// Width of the account.
const LINE_CHARS: usize = 118;

/// Interval at which the state of the fleet is asked for during a measurement.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time over which requests are counted to choose an upstream.
const CHOICE_TIME: Duration = Duration::from_millis(700);

/// Longest wait for a detection. A fault that is not detected by then is reported as missed.
const DETECTION_LIMIT: Duration = Duration::from_secs(10);

/// What must hold for guarantees 5 and 6, as counted by the scenarios.
#[derive(Default)]
pub(crate) struct Counted {
    /// Versions that were accepted, with the time of the answer.
    pub(crate) accepted: Vec<(Version, Instant)>,
    /// Two changes based on the same version that were both accepted.
    pub(crate) lost_changes: u32,
    /// Requests that an upstream got later than 3 s after the first sign that it leaves.
    pub(crate) late_to_leaving: u64,
    /// Instances that were told to stop, with the time of the order.
    pub(crate) stopped: Vec<((String, u64), Instant)>,
    /// Downloads that ran during a stop, and those of them that were interrupted.
    pub(crate) downloads: (u32, u32),
    /// Upstreams with an injected fault.
    pub(crate) faulty: BTreeSet<String>,
}

/// The run of one team.
pub(crate) struct Run {
    pub(crate) fleet: Fleet,
    pub(crate) ledger: Ledger,
    pub(crate) samples: Arc<Mutex<Samples>>,
    pub(crate) counted: Counted,
    /// Upstreams that an earlier scenario used, as positions of service and upstream.
    used: BTreeSet<(usize, usize)>,
    pub(crate) traffic: Traffic,
    _sampler: Sampler,
    started: Instant,
}

/// How long it took until the fleet kept requests away from a faulty upstream.
pub(crate) struct Detection {
    pub(crate) first: Option<Duration>,
    pub(crate) all: Option<Duration>,
    /// Largest number of instances that kept requests away, and the number of instances. A verdict
    /// that rests on observers of one failure domain applies to that domain only.
    pub(crate) instances: (usize, usize),
    pub(crate) requests: u64,
}

impl Run {
    /// Accepts the questionnaire, starts the instances and the traffic.
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
        let took = seconds(took);
        println!("  {text}; {instances} instances in 3 failure domains ready after {took}");
        let ledger = Ledger::default();
        let traffic = Traffic::start(&fleet.services, &fleet.directory, &ledger);
        let counted = Counted { accepted, ..Counted::default() };
        let used = BTreeSet::new();
        Ok(Self { fleet, ledger, samples, counted, used, traffic, _sampler: sampler, started })
    }

    /// Starts a section of the account.
    pub(crate) fn heading(&self, text: &str) {
        println!("  [{:>4.1} s] {text}", self.started.elapsed().as_secs_f64());
    }

    /// Version that was accepted last.
    pub(crate) fn version(&self) -> Version {
        self.counted.accepted.last().map_or(0, |(version, _)| *version)
    }

    /// Instances that are ready.
    pub(crate) fn ready(&self) -> Vec<Endpoint> {
        self.fleet.endpoints().into_iter().filter(|endpoint| endpoint.ready).collect()
    }

    /// Chooses the upstream of a service that gets most requests and was not chosen before. With
    /// few instances the subsets leave some upstreams without any.
    pub(crate) fn choose_upstream(&mut self, service: usize) -> usize {
        let count = |fleet: &Fleet| -> Vec<u64> {
            fleet.controls(service).map(|control| control.requests()).collect()
        };
        let before = count(&self.fleet);
        thread::sleep(CHOICE_TIME);
        let after = count(&self.fleet);
        let unused = (0..after.len()).filter(|upstream| !self.used.contains(&(service, *upstream)));
        let chosen = unused.max_by_key(|upstream| after[*upstream] - before[*upstream]);
        let chosen = chosen.unwrap_or_default();
        self.used.insert((service, chosen));
        chosen
    }

    /// Adds a request that was sent outside the caller loops to the ledger.
    pub(crate) fn note(&self, case: &ServiceCase, tag: &str, reply: &CallResponse) {
        let (class, tag, instance) = (case.class, tag.to_owned(), ("scenario".to_owned(), 0));
        let ending = classify(case, &tag, 0, reply);
        lock(&self.ledger).push(Entry { class, tag, instance, ended: Instant::now(), ending });
    }

    /// Makes an upstream faulty with `inject` and waits until all instances keep requests away.
    pub(crate) fn detect(
        &mut self,
        service: usize,
        upstream: usize,
        inject: impl FnOnce(&Self),
    ) -> Result<Detection> {
        let id = self.fleet.upstream_id(service, upstream).to_owned();
        self.counted.faulty.insert(id.clone());
        let control = Arc::clone(self.fleet.control(service, upstream));
        let (onset, before) = (Instant::now(), control.requests());
        inject(self);
        let (mut first, mut all, mut instances) = (None, None, (0, 0));
        while all.is_none() && onset.elapsed() < DETECTION_LIMIT {
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

    /// Prints a detection with the explanation of an instance.
    pub(crate) fn print_detection(
        &self,
        service: usize,
        upstream: usize,
        detection: &Detection,
    ) -> Result<()> {
        let id = self.fleet.upstream_id(service, upstream);
        let ((out, total), limit) = (detection.instances, DETECTION_LIMIT.as_secs());
        let found = match (detection.first, detection.all) {
            (Some(first), Some(all)) => {
                format!(
                    "out at the first instance after {}, at all {total} after {}",
                    seconds(first),
                    seconds(all)
                )
            }
            (Some(first), None) => {
                format!(
                    "out at the first instance after {}, at {out} of {total} within {limit} s",
                    seconds(first)
                )
            }
            _ => format!("not found faulty within {limit} s"),
        };
        self.say(&format!("{id} is {found}; {} requests reached it", detection.requests));
        let is_out = |(_, decision): &&(String, Value)| {
            decision["action"] == "ejected" || decision["action"] == "kept_for_floor"
        };
        match self.explanations(service, Some(id))?.iter().rfind(is_out) {
            Some((instance, decision)) => self.say(&format!("{instance}: {}", text(decision))),
            None => self.say("no instance has an explanation"),
        }
        Ok(())
    }

    /// Decisions of all instances about a service or one of its upstreams.
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
        let asked = endpoints.iter().map(|endpoint| ask(endpoint.addresses.admin, &path));
        let answers = block_on(async { join_all(asked).await.into_iter().collect() });
        let answers: Vec<Value> = answers?;
        let decisions = answers.iter().flat_map(|answer| {
            let instance = answer["instance"].as_str().unwrap_or("?").to_owned();
            let decisions = answer["decisions"].as_array().into_iter().flatten();
            decisions.map(move |decision| (instance.clone(), decision.clone()))
        });
        Ok(decisions.collect())
    }

    /// Prints an indented line of the account, wrapped between words.
    pub(crate) fn say(&self, text: &str) {
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

    /// Prints how the requests of a class ended since `since`.
    pub(crate) fn say_endings(&self, class: RequestClass, since: Instant) {
        let ledger = lock(&self.ledger);
        let entries = ledger.iter().filter(|entry| entry.class == class && entry.ended >= since);
        let counts = count_endings(entries);
        let counts: Vec<String> =
            counts.iter().map(|(ending, count)| format!("{count} {ending}")).collect();
        drop(ledger);
        self.say(&format!("callers meanwhile ({class}): {}", counts.join(", ")));
    }

    /// Waits until a version is in force on all instances and returns how long it took.
    pub(crate) fn wait_in_force(&self, version: Version, since: Instant) -> Result<String> {
        let mut count = 0;
        self.fleet.wait("the version is in force", || {
            let Ok(statuses) = block_on(statuses(&self.ready())) else { return false };
            count = statuses.len();
            statuses.values().all(|status| {
                status["configuration"]["version"].as_u64().is_some_and(|v| v >= version)
            })
        })?;
        let took = seconds(since.elapsed());
        Ok(format!("version {version} is in force on all {count} instances after {took}"))
    }

    /// Entries of the ledger about one life of an instance since `since`.
    pub(crate) fn entries_of(&self, instance: &(String, u64), since: Instant) -> Vec<Entry> {
        let ledger = lock(&self.ledger);
        let entries = ledger.iter().filter(|e| e.instance == *instance && e.ended >= since);
        entries.cloned().collect()
    }
}

/// Accepts a questionnaire that is based on version `seen`.
pub(crate) fn accept(
    fleet: &Fleet,
    seen: Version,
    name: &str,
    questionnaire: &str,
    author: &str,
) -> Result<(Exit, String)> {
    let file = fleet.write_questionnaire(name, questionnaire)?;
    let (url, seen) = (fleet.store.url(), seen.to_string());
    let arguments = ["accept", &file, "--store", &url, "--seen", &seen, "--author", author];
    Ok(Fleet::cli(&[&arguments[..], &["--reason", name]].concat()))
}

/// Text of a decision.
pub(crate) fn text(decision: &Value) -> &str {
    decision["text"].as_str().unwrap_or("?")
}

/// A duration for people.
pub(crate) fn seconds(duration: Duration) -> String {
    format!("{:.2} s", duration.as_secs_f64())
}
