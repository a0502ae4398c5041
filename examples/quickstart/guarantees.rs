//! Checks the guarantees of section 1.2 of the design page against what was counted.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use cactustrack_types::RequestClass;

use crate::fleet::lock;
use crate::scenario::Run;
use crate::traffic::{Ending, Entry, count_endings, key_of};

/// Time in which an accepted version must be in force on all instances of a fleet of this size.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(2);

/// Difference of capacities that stems from the rounding of sums.
const ROUNDING_SLOTS: f64 = 1e-6;

/// Result of the check of one guarantee.
pub(crate) struct Checked {
    pub(crate) name: &'static str,
    pub(crate) broken: bool,
    pub(crate) evidence: String,
}

fn checked(name: &'static str, broken: bool, evidence: String) -> Checked {
    Checked { name, broken, evidence }
}

/// Checks all guarantees, in the order of the design page.
pub(crate) fn check_all(run: &Run) -> Vec<Checked> {
    let entries = lock(&run.ledger).clone();
    let executed = executed(run);
    vec![
        floor(run),
        right_responses(&entries),
        not_run(&entries, &executed),
        at_most_once(run, &entries),
        leaving(run),
        graceful_stop(run),
        in_force(run),
    ]
}

/// Tags of all requests that upstreams executed.
fn executed(run: &Run) -> BTreeSet<String> {
    let services = 0..run.fleet.services.len();
    services.flat_map(|service| tags(run, service)).collect()
}

/// Upstreams of each service that got requests. With few instances the subsets leave some out.
pub(crate) fn coverage(run: &Run) -> String {
    let services = run.fleet.services.iter().enumerate();
    let counts = services.map(|(service, case)| {
        let used = run.fleet.controls(service).filter(|control| control.requests() > 0).count();
        let (id, upstreams, floor) = (&case.id, case.upstreams, case.floor_slots);
        let slots = used as u32 * case.slots;
        let relation = if slots < floor { "below the floor of" } else { "floor" };
        format!("{id} {used} of {upstreams} ({slots} slots, {relation} {floor})")
    });
    counts.collect::<Vec<_>>().join(", ")
}

fn tags(run: &Run, service: usize) -> Vec<String> {
    let entries = run.fleet.controls(service).flat_map(|control| control.executed());
    entries.filter_map(|entry| entry.rsplit(' ').next().map(str::to_owned)).collect()
}

fn floor(run: &Run) -> Checked {
    let samples = lock(&run.samples);
    let (mut compared, mut below) = (0, 0);
    let mut lowest: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
    for capacity in samples.taken.iter().flat_map(|sample| &sample.capacities) {
        let case = run.fleet.services.iter().find(|case| *case.id == *capacity.service);
        let Some(case) = case else { continue };
        let slots = capacity.weights * f64::from(case.slots);
        compared += 1;
        below += u64::from(slots + ROUNDING_SLOTS < f64::from(case.floor_slots));
        below += u64::from(capacity.floor_slots as u32 != case.floor_slots);
        let entry = lowest.entry(&capacity.service).or_insert((f64::INFINITY, 0.0));
        *entry = (entry.0.min(slots), f64::from(case.floor_slots));
    }
    let lowest: Vec<String> = lowest
        .iter()
        .map(|(service, (slots, floor))| format!("{service} {slots:.1} (floor {floor})"))
        .collect();
    let evidence = format!(
        "{below} of {compared} samples below the floor; lowest slots in service: {}; {} samples \
         without an answer",
        lowest.join(", "),
        samples.missed
    );
    checked("1 floor", below > 0 || compared == 0, evidence)
}

fn right_responses(entries: &[Entry]) -> Checked {
    let counts = count_endings(entries.iter());
    let count = |ending| counts.get(&ending).copied().unwrap_or_default();
    let wrong = count(Ending::Wrong);
    let evidence = format!(
        "{wrong} of {} responses wrong or incomplete without a sign; {} visibly cut short; {} of \
         {} requests without a response",
        count(Ending::Ok) + wrong,
        count(Ending::CutShort),
        count(Ending::Broken),
        entries.len(),
    );
    checked("2 own complete response", wrong > 0 || count(Ending::Ok) == 0, evidence)
}

fn not_run(entries: &[Entry], executed: &BTreeSet<String>) -> Checked {
    let rejected = entries.iter().filter(|entry| entry.ending == Ending::NotRun);
    let rejected: Vec<&Entry> = rejected.collect();
    let lies = rejected.iter().filter(|entry| executed.contains(&entry.tag)).count();
    let evidence = format!("{} requests rejected as not_run, of which run: {lies}", rejected.len());
    checked("3 not_run is true", lies > 0, evidence)
}

fn at_most_once(run: &Run, entries: &[Entry]) -> Checked {
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    let services = run.fleet.services.iter().enumerate();
    for (service, _) in services.filter(|(_, case)| case.class == RequestClass::NonIdempotent) {
        for tag in tags(run, service) {
            *runs.entry(key_of(&tag).to_owned()).or_default() += 1;
        }
    }
    let sent = entries.iter().filter(|entry| entry.class == RequestClass::NonIdempotent);
    let sent: Vec<&Entry> = sent.collect();
    let keys: BTreeSet<&str> = sent.iter().map(|entry| key_of(&entry.tag)).collect();
    let more = runs.values().filter(|count| **count > 1).count();
    let once = runs.values().filter(|count| **count == 1).count();
    let never = keys.iter().filter(|key| !runs.contains_key(**key)).count();
    let count = |ending| sent.iter().filter(|entry| entry.ending == ending).count();
    let evidence = format!(
        "{} requests sent under {} keys: {once} run once, {more} more than once, {never} never; \
         rejected: {} as completed, {} in progress, {} not_run, {} unknown; {} failed by an upstream",
        sent.len(),
        keys.len(),
        count(Ending::AlreadyCompleted),
        count(Ending::InProgress),
        count(Ending::NotRun),
        count(Ending::Unknown),
        count(Ending::UpstreamError),
    );
    checked("4 at most once", more > 0 || once == 0, evidence)
}

fn leaving(run: &Run) -> Checked {
    let late = run.counted.late_to_leaving;
    let evidence = format!("{late} requests later than 3 s after the first sign");
    checked("5 leaving upstream", late > 0, evidence)
}

fn graceful_stop(run: &Run) -> Checked {
    let (downloads, broken_downloads) = run.counted.downloads;
    let entries = run.counted.stopped.iter().flat_map(|(id, since)| run.entries_of(id, *since));
    let entries: Vec<Entry> = entries.collect();
    let is_interrupted = |entry: &&Entry| matches!(entry.ending, Ending::Broken | Ending::CutShort);
    let interrupted = entries.iter().filter(is_interrupted).count();
    let evidence = format!(
        "{} stops: {interrupted} of {} requests in flight and {broken_downloads} of {downloads} \
         long downloads interrupted",
        run.counted.stopped.len(),
        entries.len(),
    );
    let broken = interrupted > 0 || broken_downloads > 0 || downloads == 0;
    checked("6 graceful stop", broken, evidence)
}

fn in_force(run: &Run) -> Checked {
    let samples = lock(&run.samples);
    let (mut late, mut reverted) = (0, 0);
    let mut latest: BTreeMap<&(String, u64), u64> = BTreeMap::new();
    for sample in &samples.taken {
        let latest = latest.entry(&sample.instance).or_default();
        reverted += u32::from(sample.version < *latest);
        *latest = sample.version.max(*latest);
        late += u32::from(sample.version < due_version(run, sample.at));
    }
    let lost = run.counted.lost_changes;
    let evidence = format!(
        "{} versions accepted; {late} of {} samples show an older one 2 s after the acceptance, \
         {reverted} a lower one than before; {lost} accepted changes overwritten",
        run.counted.accepted.len(),
        samples.taken.len(),
    );
    checked("7 configuration", late > 0 || reverted > 0 || lost > 0, evidence)
}

/// Version that must be in force at a time.
fn due_version(run: &Run, at: Instant) -> u64 {
    let due = run.counted.accepted.iter().filter(|(_, accepted)| *accepted + IN_FORCE_LIMIT < at);
    due.map(|(version, _)| *version).max().unwrap_or_default()
}
