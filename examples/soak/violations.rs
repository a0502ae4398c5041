//! Checks of the guarantees against what callers and upstreams observed. They are pure functions of
//! the record of a run.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::Duration;

use derive_more::Display;
use http::StatusCode;

use super::account_checks::refuses_before_execution;
use super::accounts::{Account, Credential};

/// Time without a disturbance after which the time limits apply.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Time after its acknowledgement within which a change must be in force.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(2);

/// Time after the deadline of a request within which its final response must arrive.
const RESPONSE_SLACK: Duration = Duration::from_millis(500);

/// Time after the shutdown signal for which requests are still accepted.
const SHUTDOWN_ACCEPT_TIME: Duration = Duration::from_secs(3);

/// Minimum share of requests that must be served once all faults have ended.
const MIN_SERVED_SHARE: f64 = 0.95;

/// Maximum number of violations that are listed one by one.
const MAX_LISTED: usize = 20;

/// Class of a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Class {
    #[display("idempotent")]
    Idempotent,
    #[display("non-idempotent")]
    NonIdempotent,
    #[display("large")]
    Large,
}

/// Defect of a response with a success status.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Flaw {
    #[display("has no upstream signature")]
    NotSigned,
    #[display("belongs to another request")]
    Mismatched,
    #[display("looks complete but is not")]
    Incomplete,
}

/// Outcome of a request for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// A response arrived.
    Responded { status: StatusCode, flaw: Option<Flaw> },
    /// The connection was closed before the response was complete.
    Closed,
    /// No complete response arrived until long after the deadline.
    NoResponse,
    /// The caller gave up long before the deadline.
    Abandoned,
}

impl Outcome {
    /// Returns true for a response with a success status.
    pub(crate) fn is_served(self) -> bool {
        self.status().is_some_and(|status| status.is_success())
    }

    /// Returns the status of the response.
    pub(crate) fn status(self) -> Option<StatusCode> {
        match self {
            Self::Responded { status, .. } => Some(status),
            Self::Closed | Self::NoResponse | Self::Abandoned => None,
        }
    }
}

/// Record of a request. Times are relative to the start of the run.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecord {
    pub(crate) id: String,
    pub(crate) class: Class,
    pub(crate) credential: Credential,
    /// True if the route needs no key.
    pub(crate) is_public: bool,
    pub(crate) instance: usize,
    /// Number of the process of the instance to which the connection was opened.
    pub(crate) incarnation: u32,
    /// Version that added the requested route. `None` for routes that are in all versions.
    pub(crate) version: Option<u64>,
    pub(crate) deadline: Duration,
    pub(crate) sent_at: Duration,
    pub(crate) ended_at: Duration,
    pub(crate) outcome: Outcome,
}

/// An attempt for a request as it arrived at an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    /// Id of the request.
    pub(crate) id: String,
    pub(crate) upstream: usize,
    pub(crate) at: Duration,
    /// Values of the headers that name the account.
    pub(crate) accounts: Vec<String>,
    pub(crate) has_authorization: bool,
}

/// Time for which the link to an upstream held requests back.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldLink {
    pub(crate) upstream: usize,
    pub(crate) from: Duration,
    pub(crate) until: Duration,
}

/// Removal of a key by a new version of the configuration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeyRemoval {
    /// Time before the new version was written to the store.
    pub(crate) started_at: Duration,
    /// Time after the store had acknowledged the new version.
    pub(crate) acknowledged_at: Duration,
}

/// Part of the system that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Affected {
    /// An instance or one of its links.
    Instance(usize),
    /// The upstreams or their links.
    Upstreams,
    /// The store, as seen by all instances.
    Store,
}

/// An injected fault and the time for which it lasted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Disturbance {
    pub(crate) affected: Affected,
    pub(crate) from: Duration,
    pub(crate) until: Duration,
}

/// A graceful shutdown.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shutdown {
    pub(crate) instance: usize,
    pub(crate) incarnation: u32,
    pub(crate) at: Duration,
}

/// Start of a process after the first one of an instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProcessStart {
    pub(crate) instance: usize,
    pub(crate) incarnation: u32,
    pub(crate) at: Duration,
}

/// Time from the acknowledged entry that says that an upstream leaves to its next incarnation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Leaving {
    pub(crate) upstream: usize,
    pub(crate) at: Duration,
    pub(crate) until: Duration,
}

/// Record of a run.
#[derive(Debug, Default)]
pub(crate) struct RunRecord {
    pub(crate) requests: Vec<RequestRecord>,
    /// Ids of the requests that upstreams executed, once for each execution.
    pub(crate) executed: Vec<String>,
    /// Attempts that reached upstreams, executed or not.
    pub(crate) arrivals: Vec<Arrival>,
    pub(crate) held_links: Vec<HeldLink>,
    pub(crate) accounts: Vec<Account>,
    pub(crate) removed_keys: HashMap<Credential, KeyRemoval>,
    /// Disturbances. Graceful shutdowns are not among them.
    pub(crate) disturbances: Vec<Disturbance>,
    pub(crate) shutdowns: Vec<Shutdown>,
    pub(crate) starts: Vec<ProcessStart>,
    pub(crate) leavings: Vec<Leaving>,
    /// Time at which each version was accepted.
    pub(crate) accepted: HashMap<u64, Duration>,
    /// Time from which the fleet must have recovered.
    pub(crate) recovered_from: Duration,
}

/// Violation of a guarantee.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub(crate) enum Violation {
    #[display("at most once: {id} was executed {times} times")]
    RepeatedExecution { id: String, times: usize },
    #[display("rejected means not executed: {id} was rejected with {status} and executed")]
    RejectedAndExecuted { id: String, status: StatusCode },
    #[display("own complete response: the response to {id} {flaw}")]
    WrongResponse { id: String, flaw: Flaw },
    #[display("success means executed: {id} got a success status and was not executed")]
    SuccessWithoutExecution { id: String },
    #[display("only requests of callers: upstreams got {id:?}, which no caller sent")]
    UnknownRequest { id: String },
    #[display("valid requests are not denied: {id} got {status}")]
    Denied { id: String, status: StatusCode },
    #[display("response in time: {id} had none {ms} ms after it was sent, instance {instance}")]
    ResponseOverdue { id: String, instance: usize, ms: u128 },
    #[display(
        "graceful shutdown interrupts nothing: {id} was executed, instance {instance} closed"
    )]
    InterruptedByShutdown { id: String, instance: usize },
    #[display("a version is in force in time: {id}, version {version}, instance {instance}")]
    VersionLate { id: String, version: u64, instance: usize },
    #[display("a version never reverts: {id}, version {version}, instance {instance}")]
    VersionReverted { id: String, version: u64, instance: usize },
    #[display("recovery: {served} of {sent} requests served after all faults had ended")]
    NotRecovered { served: usize, sent: usize },
    #[display("a leaving upstream gets no new requests: upstream {upstream} got {requests}")]
    RequestsAfterLeaving { upstream: usize, requests: u64 },
    #[display("instances exit only on request: instance {instance} exited, {status}")]
    UnexpectedExit { instance: usize, status: String },
    #[display("recovery: instance {instance} is not ready after all faults had ended")]
    NotReady { instance: usize },
    #[display("a planned stop ends in time: instance {instance} had to be killed")]
    ShutdownTooLong { instance: usize },
    #[display("no request runs without a valid key: {id} reached an upstream with {credential}")]
    Unauthorized { id: String, credential: Credential },
    #[display(
        "a removed key ends in time: {id} ran, sent {ms} ms after the removal to instance {instance}"
    )]
    RemovedKeyAccepted { id: String, instance: usize, ms: u128 },
    #[display("upstreams see the account of the key: {id} arrived with {accounts:?}")]
    WrongAccount { id: String, accounts: Vec<String> },
    #[display("upstreams never see keys: {id} arrived with Authorization")]
    KeyForwarded { id: String },
    #[display("quotas hold for all instances together: {requests} of {account} ran in a window")]
    QuotaExceeded { account: &'static str, requests: usize },
    #[display("accounts within their quotas are served: {served} of {sent} of {account} were")]
    RefusedWithinQuota { account: &'static str, served: usize, sent: usize },
    #[display("{count} more")]
    More { count: usize },
}

impl RunRecord {
    /// Returns the violations, at most [`MAX_LISTED`] of them and the number of the others.
    pub(crate) fn violations(&self) -> Vec<Violation> {
        let mut executions: HashMap<&str, usize> = HashMap::new();
        for id in &self.executed {
            *executions.entry(id).or_default() += 1;
        }
        let mut violations = self.check_unknown_requests(&executions);
        for request in &self.requests {
            violations.extend(
                self.check_request(request, executions.get(&*request.id).copied().unwrap_or(0)),
            );
        }
        violations.extend(self.check_leavings());
        violations.extend(self.check_accounts());
        violations.extend(self.check_versions());
        violations.extend(self.check_recovery());
        if violations.len() > MAX_LISTED {
            let count = violations.len() - MAX_LISTED;
            violations.truncate(MAX_LISTED);
            violations.push(Violation::More { count });
        }
        violations
    }

    fn check_unknown_requests(&self, executions: &HashMap<&str, usize>) -> Vec<Violation> {
        let sent: HashSet<&str> = self.requests.iter().map(|request| &*request.id).collect();
        let arrived = self.arrivals.iter().map(|arrival| &*arrival.id);
        let seen: BTreeSet<&str> = executions.keys().copied().chain(arrived).collect();
        let unknown = seen.into_iter().filter(|id| !sent.contains(id));
        unknown.map(|id| Violation::UnknownRequest { id: id.to_owned() }).collect()
    }

    fn check_request(&self, request: &RequestRecord, executions: usize) -> Option<Violation> {
        let id = request.id.clone();
        let is_non_idempotent = request.class == Class::NonIdempotent;
        if is_non_idempotent && executions > 1 {
            return Some(Violation::RepeatedExecution { id, times: executions });
        }
        match request.outcome {
            Outcome::Responded { flaw: Some(flaw), .. } => {
                Some(Violation::WrongResponse { id, flaw })
            }
            Outcome::Responded { status, .. } if status.is_success() && executions == 0 => {
                Some(Violation::SuccessWithoutExecution { id })
            }
            Outcome::Responded { status, .. }
                if (is_non_idempotent && states_no_execution(status))
                    || refuses_before_execution(status) && executions > 0 =>
            {
                (executions > 0).then_some(Violation::RejectedAndExecuted { id, status })
            }
            Outcome::Responded { status: StatusCode::UNAUTHORIZED, .. }
                if !self.is_authorized(request) =>
            {
                None
            }
            Outcome::Responded { status, .. } if is_denied(status) && request.version.is_none() => {
                Some(Violation::Denied { id, status })
            }
            // A response that is ready is delivered even after the deadline: on a busy machine, the
            // body of a large one took 750 ms and ended past the deadline.
            Outcome::Responded { status, .. } if status.is_success() => None,
            Outcome::Responded { .. } => self.check_response_time(request),
            Outcome::NoResponse => self.check_response_time(request),
            Outcome::Closed => self.check_closed(request, executions),
            Outcome::Abandoned => None,
        }
    }

    /// Requires a final response within [`RESPONSE_SLACK`] after the deadline if the instance is
    /// neither disturbed nor shutting down.
    fn check_response_time(&self, request: &RequestRecord) -> Option<Violation> {
        let took = request.ended_at.saturating_sub(request.sent_at);
        let is_late = took > request.deadline + RESPONSE_SLACK;
        let is_undisturbed = !self.is_disturbed(
            Affected::Instance(request.instance),
            request.sent_at,
            request.ended_at,
        ) && !self.is_shutting_down(request);
        let id = request.id.clone();
        let (instance, ms) = (request.instance, took.as_millis());
        (is_late && is_undisturbed).then_some(Violation::ResponseOverdue { id, instance, ms })
    }

    /// Requires a response to a request that was executed, if the instance was shut down gracefully
    /// and neither it nor the upstreams were disturbed.
    fn check_closed(&self, request: &RequestRecord, executions: usize) -> Option<Violation> {
        let shutdown = self.shutdowns.iter().find(|shutdown| {
            shutdown.instance == request.instance
                && shutdown.incarnation == request.incarnation
                && request.sent_at < shutdown.at + SHUTDOWN_ACCEPT_TIME
                && request.ended_at > shutdown.at
        })?;
        let is_disturbed = [Affected::Instance(shutdown.instance), Affected::Upstreams]
            .into_iter()
            .any(|affected| self.is_disturbed(affected, request.sent_at, request.ended_at));
        let (id, instance) = (request.id.clone(), shutdown.instance);
        (executions > 0 && !is_disturbed)
            .then_some(Violation::InterruptedByShutdown { id, instance })
    }

    fn check_versions(&self) -> Vec<Violation> {
        let mut requests: Vec<_> = self
            .requests
            .iter()
            .filter_map(|request| Some((request, request.version?, request.outcome.status()?)))
            .collect();
        requests.sort_by_key(|(request, ..)| request.sent_at);
        // Time at which a process first served a request that needs the version.
        let mut first_seen: HashMap<(usize, u32, u64), Duration> = HashMap::new();
        let mut violations = Vec::new();
        for (request, version, status) in requests {
            let key = (request.instance, request.incarnation, version);
            let (id, instance) = (request.id.clone(), request.instance);
            if status.is_success() {
                let at = first_seen.entry(key).or_insert(request.ended_at);
                *at = (*at).min(request.ended_at);
            } else if status == StatusCode::NOT_FOUND {
                if first_seen.get(&key).is_some_and(|at| *at < request.sent_at) {
                    violations.push(Violation::VersionReverted { id, version, instance });
                } else if self.is_version_due(request, version) {
                    violations.push(Violation::VersionLate { id, version, instance });
                }
            }
        }
        violations
    }

    fn is_version_due(&self, request: &RequestRecord, version: u64) -> bool {
        let Some(accepted) = self.accepted.get(&version) else { return false };
        request.sent_at > self.due_at(*accepted, request) && !self.is_shutting_down(request)
    }

    /// Requires that a process sends no request to a leaving upstream after the time at which the
    /// leaving was due. This holds in later disturbances too.
    fn check_leavings(&self) -> Vec<Violation> {
        let requests: HashMap<&str, &RequestRecord> =
            self.requests.iter().map(|request| (&*request.id, request)).collect();
        let late_for = |leaving: &Leaving| {
            let is_late = |arrival: &&Arrival| {
                let Some(request) = requests.get(&*arrival.id) else { return false };
                arrival.upstream == leaving.upstream
                    && (leaving.at..leaving.until).contains(&arrival.at)
                    && self.earliest(arrival, request) > self.due_at(leaving.at, request)
            };
            self.arrivals.iter().filter(is_late).count() as u64
        };
        let found = |leaving: &Leaving| {
            let (upstream, requests) = (leaving.upstream, late_for(leaving));
            (requests > 0).then_some(Violation::RequestsAfterLeaving { upstream, requests })
        };
        self.leavings.iter().filter_map(found).collect()
    }

    /// Returns the time at which a change must be in force in the process that got a request:
    /// [`IN_FORCE_LIMIT`] after its acknowledgement and after the [`STABLE_WINDOW`] that follows the
    /// start of the process and each disturbance of the instance or the store up to then.
    fn due_at(&self, acknowledged_at: Duration, request: &RequestRecord) -> Duration {
        let is_of_process = |start: &&ProcessStart| {
            start.instance == request.instance && start.incarnation == request.incarnation
        };
        let start = self.starts.iter().find(is_of_process).map(|start| start.at + STABLE_WINDOW);
        let mut due_at = acknowledged_at.max(start.unwrap_or_default()) + IN_FORCE_LIMIT;
        let affected = [Affected::Instance(request.instance), Affected::Store];
        let mut disturbances: Vec<_> =
            self.disturbances.iter().filter(|d| affected.contains(&d.affected)).collect();
        disturbances.sort_unstable_by_key(|d| d.from);
        for disturbance in disturbances {
            if disturbance.from <= due_at {
                due_at = due_at.max(disturbance.until + STABLE_WINDOW + IN_FORCE_LIMIT);
            }
        }
        due_at
    }

    fn check_recovery(&self) -> Option<Violation> {
        let is_counted = |request: &&RequestRecord| {
            request.sent_at >= self.recovered_from
                && self.is_authorized(request)
                && request.outcome != Outcome::Abandoned
        };
        let after = self.requests.iter().filter(is_counted);
        let is_served = |request: &&RequestRecord| request.outcome.status() == Some(StatusCode::OK);
        let (sent, served) = (after.clone().count(), after.filter(is_served).count());
        let is_recovered = sent > 0 && served as f64 >= MIN_SERVED_SHARE * sent as f64;
        (!is_recovered).then_some(Violation::NotRecovered { served, sent })
    }

    /// Returns true if a disturbance of the given part overlaps with a time span or with
    /// [`STABLE_WINDOW`] before it.
    pub(crate) fn is_disturbed(&self, affected: Affected, from: Duration, until: Duration) -> bool {
        let from = from.saturating_sub(STABLE_WINDOW);
        let is_within = |d: &&Disturbance| d.from <= until && d.until >= from;
        self.disturbances.iter().filter(is_within).any(|d| d.affected == affected)
    }

    /// Returns true if the shutdown of the process began before the end of a request.
    fn is_shutting_down(&self, request: &RequestRecord) -> bool {
        let is_same_process = |shutdown: &&Shutdown| {
            shutdown.instance == request.instance && shutdown.incarnation == request.incarnation
        };
        self.shutdowns
            .iter()
            .filter(is_same_process)
            .any(|shutdown| shutdown.at <= request.ended_at)
    }
}

/// Returns true for a status that states that the request was not executed and never will be.
fn states_no_execution(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

fn is_denied(status: StatusCode) -> bool {
    (300..500).contains(&status.as_u16()) && !states_no_execution(status)
}
