//! Checks the guarantees of section 1.2 of the design page against the records and samples of a
//! run.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use cactustrack_types::RequestClass;

use crate::fleet::lock;
use crate::scenario::Run;
use crate::traffic::{Outcome, RequestRecord, count_outcomes, key_of};

/// Time within which an accepted version must be in force on all instances of a fleet of this size.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(2);

/// Tolerance for rounding errors in sums of weights, in slots.
const ROUNDING_SLOTS: f64 = 1e-6;

/// Result of checking one guarantee.
pub(crate) struct CheckResult {
    pub(crate) name: &'static str,
    pub(crate) violated: bool,
    pub(crate) evidence: String,
}

fn check_result(name: &'static str, violated: bool, evidence: String) -> CheckResult {
    CheckResult { name, violated, evidence }
}

/// Checks all guarantees in the order of the design page.
pub(crate) fn check_all(run: &Run) -> Vec<CheckResult> {
    let records = lock(&run.request_log).clone();
    let executed = executed(run);
    vec![
        floor(run),
        correct_responses(&records),
        not_executed(&records, &executed),
        at_most_once(run, &records),
        leaving_upstream(run),
        graceful_shutdown(run),
        in_force(run),
    ]
}

/// Returns the tags of all requests that upstreams executed.
fn executed(run: &Run) -> BTreeSet<String> {
    let services = 0..run.fleet.services.len();
    services.flat_map(|service| tags(run, service)).collect()
}

/// Describes how many upstreams of each service got requests. With few instances, some upstreams
/// are in no instance's subset.
pub(crate) fn coverage(run: &Run) -> String {
    let services = run.fleet.services.iter().enumerate();
    let counts = services.map(|(service, spec)| {
        let used = run.fleet.controls(service).filter(|control| control.requests() > 0).count();
        let (id, upstreams, floor) = (&spec.id, spec.upstreams, spec.floor_slots);
        let slots = used as u32 * spec.slots;
        let relation = if slots < floor { "below the floor of" } else { "floor" };
        format!("{id} {used} of {upstreams} ({slots} slots, {relation} {floor})")
    });
    counts.collect::<Vec<_>>().join(", ")
}

fn tags(run: &Run, service: usize) -> Vec<String> {
    let executed = run.fleet.controls(service).flat_map(|control| control.executed());
    executed.filter_map(|entry| entry.rsplit(' ').next().map(str::to_owned)).collect()
}

fn floor(run: &Run) -> CheckResult {
    let samples = lock(&run.samples);
    let (mut compared, mut below) = (0, 0);
    let mut lowest: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
    for capacity in samples.taken.iter().flat_map(|sample| &sample.capacities) {
        let spec = run.fleet.services.iter().find(|spec| *spec.id == *capacity.service);
        let Some(spec) = spec else { continue };
        let slots = capacity.weight_sum * f64::from(spec.slots);
        compared += 1;
        below += u64::from(slots + ROUNDING_SLOTS < f64::from(spec.floor_slots));
        below += u64::from(capacity.floor_slots as u32 != spec.floor_slots);
        let entry = lowest.entry(&capacity.service).or_insert((f64::INFINITY, 0.0));
        *entry = (entry.0.min(slots), f64::from(spec.floor_slots));
    }
    let lowest: Vec<String> = lowest
        .iter()
        .map(|(service, (slots, floor))| format!("{service} {slots:.1} (floor {floor})"))
        .collect();
    let evidence = format!(
        "{below} of {compared} samples below the floor; lowest slots in service: {}; {} samples \
         without a response",
        lowest.join(", "),
        samples.missed
    );
    check_result("1 floor", below > 0 || compared == 0, evidence)
}

fn correct_responses(records: &[RequestRecord]) -> CheckResult {
    let counts = count_outcomes(records.iter());
    let count = |outcome| counts.get(&outcome).copied().unwrap_or_default();
    let wrong = count(Outcome::Wrong);
    let evidence = format!(
        "{wrong} of {} responses wrong or silently incomplete; {} visibly truncated; {} of {} requests \
         without a response",
        count(Outcome::Ok) + wrong,
        count(Outcome::Truncated),
        count(Outcome::NoResponse),
        records.len(),
    );
    check_result("2 own complete response", wrong > 0 || count(Outcome::Ok) == 0, evidence)
}

fn not_executed(records: &[RequestRecord], executed: &BTreeSet<String>) -> CheckResult {
    let rejected = records.iter().filter(|record| record.outcome == Outcome::NotExecuted);
    let rejected: Vec<&RequestRecord> = rejected.collect();
    let false_statements = rejected.iter().filter(|record| executed.contains(&record.tag)).count();
    let evidence = format!(
        "{} requests rejected as not_run, of which executed: {false_statements}",
        rejected.len()
    );
    check_result("3 not_run is true", false_statements > 0, evidence)
}

fn at_most_once(run: &Run, records: &[RequestRecord]) -> CheckResult {
    let mut executions: BTreeMap<String, u32> = BTreeMap::new();
    let services = run.fleet.services.iter().enumerate();
    for (service, _) in services.filter(|(_, spec)| spec.class == RequestClass::NonIdempotent) {
        for tag in tags(run, service) {
            *executions.entry(key_of(&tag).to_owned()).or_default() += 1;
        }
    }
    let sent = records.iter().filter(|record| record.class == RequestClass::NonIdempotent);
    let sent: Vec<&RequestRecord> = sent.collect();
    let keys: BTreeSet<&str> = sent.iter().map(|record| key_of(&record.tag)).collect();
    let more = executions.values().filter(|count| **count > 1).count();
    let once = executions.values().filter(|count| **count == 1).count();
    let never = keys.iter().filter(|key| !executions.contains_key(**key)).count();
    let count = |outcome| sent.iter().filter(|record| record.outcome == outcome).count();
    let evidence = format!(
        "{} requests sent under {} keys: {once} executed once, {more} more than once, {never} never; \
         rejected: {} as completed, {} in progress, {} not_run, {} unknown; {} failed by an upstream",
        sent.len(),
        keys.len(),
        count(Outcome::AlreadyCompleted),
        count(Outcome::InProgress),
        count(Outcome::NotExecuted),
        count(Outcome::Unknown),
        count(Outcome::UpstreamError),
    );
    check_result("4 at most once", more > 0 || once == 0, evidence)
}

fn leaving_upstream(run: &Run) -> CheckResult {
    let late = run.counts.late_to_leaving;
    let evidence = format!("{late} requests later than 3 s after the first announcement");
    check_result("5 leaving upstream", late > 0, evidence)
}

fn graceful_shutdown(run: &Run) -> CheckResult {
    let (downloads, interrupted_downloads) = run.counts.downloads;
    let records = run.counts.stopped.iter().flat_map(|(id, since)| run.records_of(id, *since));
    let records: Vec<RequestRecord> = records.collect();
    let is_interrupted = |record: &&RequestRecord| {
        matches!(record.outcome, Outcome::NoResponse | Outcome::Truncated)
    };
    let interrupted = records.iter().filter(is_interrupted).count();
    let evidence = format!(
        "{} shutdowns: {interrupted} of {} requests in flight and {interrupted_downloads} of {downloads} \
         long downloads interrupted",
        run.counts.stopped.len(),
        records.len(),
    );
    let violated = interrupted > 0 || interrupted_downloads > 0 || downloads == 0;
    check_result("6 graceful shutdown", violated, evidence)
}

fn in_force(run: &Run) -> CheckResult {
    let samples = lock(&run.samples);
    let (mut late, mut reverted) = (0, 0);
    let mut latest: BTreeMap<&(String, u64), u64> = BTreeMap::new();
    for sample in &samples.taken {
        let latest = latest.entry(&sample.instance).or_default();
        reverted += u32::from(sample.version < *latest);
        *latest = sample.version.max(*latest);
        late += u32::from(sample.version < due_version(run, sample.at));
    }
    let lost = run.counts.lost_changes;
    let evidence = format!(
        "{} versions accepted; {late} of {} samples show an older one 2 s after the acceptance, \
         {reverted} a lower one than an earlier sample; {lost} accepted changes overwritten",
        run.counts.accepted.len(),
        samples.taken.len(),
    );
    check_result("7 configuration", late > 0 || reverted > 0 || lost > 0, evidence)
}

/// Returns the version that must be in force at a time.
fn due_version(run: &Run, at: Instant) -> u64 {
    let due = run.counts.accepted.iter().filter(|(_, accepted)| *accepted + IN_FORCE_LIMIT < at);
    due.map(|(version, _)| *version).max().unwrap_or_default()
}
