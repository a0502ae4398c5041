//! Schedule of a run: the faults, their start times and their durations. The seed and the size of
//! the run determine it.

use std::ops::Range;
use std::time::Duration;

use derive_more::Display;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Time before the first fault, in which the fleet becomes stable.
pub(crate) const WARM_UP: Duration = Duration::from_secs(3);

/// Mean time between the starts of two faults that do not start at the same time. It is shorter
/// than most faults, so that they overlap.
const MEAN_PAUSE: Duration = Duration::from_millis(900);

/// Minimum and maximum duration of a fault, in seconds.
const FAULT_SECONDS: (f64, f64) = (0.3, 6.0);

/// Changes the seed of the generator of the faults that concern accounts. They have their own
/// generator so that the other faults of a seed do not depend on them.
const ACCOUNT_SEED: u64 = 0x0061_6363_6f75_6e74;

/// Share of the cuts, pauses and restarts during which a key is removed.
const REMOVAL_SHARE: f64 = 0.4;

/// Interval in which one long cut from the store, pause or restart is added to the schedule.
const LONG_CUT_INTERVAL: Duration = Duration::from_secs(12);

/// Minimum and maximum duration of a long cut, in seconds. It outlasts the revocation bound of 5 s,
/// so that requests are sent after the bound and before the end of the cut.
const LONG_CUT_SECONDS: (f64, f64) = (6.0, 9.0);

/// Time from the start of a long cut to the removal of a key.
const REMOVAL_DELAY: Duration = Duration::from_millis(300);

/// Time for which an instance stays cut off from the store after a long pause. Without it, a resumed
/// instance finds the new version in its socket together with the requests sent meanwhile.
const CUT_AFTER_PAUSE: Duration = Duration::from_secs(1);

/// Number of attempts to find a long cut that does not conflict with another fault.
const LONG_CUT_TRIES: usize = 20;

/// Number of attempts to find a time or an upstream for a fault of the history.
const PLACING_TRIES: usize = 50;

/// Longest time by which an action can prolong a fault, such as a graceful shutdown.
const MAX_EXTENSION: Duration = Duration::from_secs(6);

/// Interval in which an account exceeds its quota once.
const FLOOD_INTERVAL: Duration = Duration::from_secs(10);

/// Minimum and maximum time for which an account exceeds its quota, in seconds.
const FLOOD_SECONDS: (f64, f64) = (2.0, 6.0);

/// Changes the seed of the generator of the faults that concern the history of the store, which have
/// their own generator for the same reason as those of accounts.
const HISTORY_SEED: u64 = 0x6869_7374_6f72_7900;

/// Interval in which the store comes back from a copy at least once.
const RESTORE_INTERVAL: Duration = Duration::from_secs(12);

/// Minimum and maximum time for which the store is away before it comes back, in seconds.
const AWAY_SECONDS: (f64, f64) = (1.0, 3.0);

/// Minimum and maximum age that the copy from which the store comes back has when it goes away, in
/// seconds.
const COPY_AGE_SECONDS: (f64, f64) = (1.0, 10.0);

/// Time at the start of a run in which no copy is taken, as the instances are starting.
const NO_COPY: Duration = Duration::from_secs(1);

/// Minimum and maximum time from the return of the store to a second outage, in seconds.
const SECOND_OUTAGE_SECONDS: (f64, f64) = (0.2, 3.0);

/// Minimum and maximum time from the return of the store until an upstream whose leaving was lost
/// comes back, in seconds. It exceeds the 5 s after which the leaving must be in force again.
const AWAY_AFTER_RESTORE_SECONDS: (f64, f64) = (6.0, 9.0);

/// Time after the return of the store in which its revisions are those that it has given out before.
const AFTER_RESTORE: Duration = Duration::from_secs(3);

/// Probabilities of a version and of a leaving, among the writes that are lost in a restore and in
/// [`AFTER_RESTORE`].
const VERSION_SHARE: f64 = 0.7;
const LEAVING_SHARE: f64 = 0.7;

/// Share of the restores after which the store is away once more.
const SECOND_RESTORE_SHARE: f64 = 0.3;

/// Share of the intervals in which all instances lose power, of these losses that coincide with a
/// restore, and of those that follow the acknowledgement of a version.
const POWER_LOSS_SHARE: f64 = 0.6;
const POWER_LOSS_AT_RESTORE_SHARE: f64 = 0.5;
const POWER_LOSS_AFTER_VERSION_SHARE: f64 = 0.6;

/// Time from the acceptance of a version to a loss of power right after it. It exceeds the tick of a
/// run, so that the version is acknowledged first.
const POWER_LOSS_DELAY: Duration = Duration::from_millis(50);

/// Longest time for which an instance stays down after a loss of power.
pub(crate) const MAX_POWER_LOSS: Duration = Duration::from_secs(2);

/// Share of the leavings during which an older write of the upstream is executed.
const LATE_WRITE_SHARE: f64 = 0.5;

/// Minimum and maximum time from a newer write to the execution of an older one, in seconds.
const LATE_WRITE_SECONDS: (f64, f64) = (1.0, 6.0);

/// Time that is kept free between two faults that conflict, as actions may be executed late.
const MARGIN: Duration = Duration::from_millis(200);

/// Size of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    pub(crate) instances: usize,
    pub(crate) upstreams: usize,
    pub(crate) callers: usize,
    /// Time over which faults start.
    pub(crate) length: Duration,
}

/// Fault of a network link.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum LinkFault {
    #[display("is slow")]
    Delay,
    #[display("holds back data in the forward direction")]
    CutForward,
    #[display("holds back data in the backward direction")]
    CutBackward,
    #[display("resets connections")]
    Down,
    #[display("silences open connections")]
    Silence,
}

/// Fault of an upstream.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum UpstreamFault {
    #[display("responds with errors")]
    Errors,
    #[display("does not respond")]
    Hang,
    #[display("closes connections after executing the request")]
    CloseAfterExecution,
    #[display("sends responses that belong to other requests")]
    Mismatch,
    #[display("truncates large responses")]
    Truncate,
    #[display("is slow")]
    Slow,
}

/// How the store fails before it comes back from an older copy.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Away {
    #[display("rejects calls")]
    Busy,
    #[display("does not respond")]
    Silent,
}

/// A fault, with the index of the affected instance or upstream.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Fault {
    #[display("instance {_0} is killed")]
    Kill(usize),
    #[display("instance {_0} is shut down gracefully")]
    Stop(usize),
    #[display("instance {_0} is paused")]
    Pause(usize),
    #[display("instance {_0} receives SIGHUP")]
    HangUp(usize),
    #[display("the store does not respond")]
    StoreSilent,
    #[display("the store rejects calls")]
    StoreBusy,
    #[display("the store drops its history")]
    DropHistory,
    #[display("the store ends all leases")]
    EndLeases,
    #[display("the link from instance {_0} to the store {_1}")]
    StoreLink(usize, LinkFault),
    #[display("the link to upstream {_0} {_1}")]
    UpstreamLink(usize, LinkFault),
    #[display("the link from callers to instance {_0} {_1}")]
    CallerLink(usize, LinkFault),
    #[display("upstream {_0} {_1}")]
    Upstream(usize, UpstreamFault),
    #[display("upstream {_0} leaves and comes back")]
    Leave(usize),
    #[display("a new version of the configuration is accepted")]
    Configure,
    #[display("a new version of the configuration removes a key")]
    RemoveKey,
    #[display("an account sends several times its quota")]
    Flood,
    #[display("the store {_0} and comes back from a copy made {_1} ms before")]
    Restore(Away, u64),
    #[display("an older write of upstream {_0} is executed")]
    LateWrite(usize),
    #[display("all instances lose power")]
    PowerLoss,
}

/// A scheduled fault.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
#[display("{:.2} s, for {:.2} s: {fault}", at.as_secs_f64(), duration.as_secs_f64())]
pub(crate) struct Step {
    /// Start time, relative to the start of the traffic.
    pub(crate) at: Duration,
    pub(crate) duration: Duration,
    pub(crate) fault: Fault,
}

impl Step {
    /// Returns the time of the copy from which the store comes back at the end of the step.
    pub(crate) fn copied_at(self) -> Option<Duration> {
        let Fault::Restore(_, age_ms) = self.fault else { return None };
        Some(self.at.saturating_sub(Duration::from_millis(age_ms)))
    }
}

/// The faults of a run in the order of their start times.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Plan {
    pub(crate) seed: u64,
    pub(crate) steps: Vec<Step>,
}

impl Plan {
    /// Creates the plan for a seed.
    pub(crate) fn new(seed: u64, size: Size) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut steps = Vec::new();
        let mut at = WARM_UP;
        while at < size.length {
            let seconds = rng.random_range(FAULT_SECONDS.0..FAULT_SECONDS.1);
            let duration = Duration::from_secs_f64(seconds);
            steps.push(Step { at, duration, fault: random_fault(&mut rng, size) });
            // Some faults start at the same moment.
            if rng.random_bool(0.85) {
                at += MEAN_PAUSE.mul_f64(-rng.random_range(0.01_f64..1.0).ln());
            }
        }
        let added = account_steps(seed, size, &steps);
        steps.extend(added);
        let added = history_steps(seed, size, &steps);
        steps.extend(added);
        steps.sort_by_key(|step| step.at);
        Self { seed, steps }
    }

    /// Returns the number of keys that the plan removes.
    pub(crate) fn removals(&self) -> usize {
        self.steps.iter().filter(|step| step.fault == Fault::RemoveKey).count()
    }
}

/// Returns the faults that concern accounts: key removals during the other faults and during long
/// cuts, and floods.
fn account_steps(seed: u64, size: Size, others: &[Step]) -> Vec<Step> {
    let mut rng = SmallRng::seed_from_u64(seed ^ ACCOUNT_SEED);
    let removal = |at| Step { at, duration: Duration::ZERO, fault: Fault::RemoveKey };
    let mut steps = Vec::new();
    for step in others.iter().filter(|step| cuts_off_an_instance(step.fault)) {
        if rng.random_bool(REMOVAL_SHARE) {
            let after = step.duration.mul_f64(rng.random_range(0.0..0.5));
            steps.push(removal(step.at + after));
        }
    }
    let mut from = WARM_UP;
    while from < size.length {
        if let Some(cut) = long_cut(&mut rng, size, from, others) {
            steps.extend([cut, removal(cut.at + REMOVAL_DELAY)]);
            steps.extend(cut_of_paused(cut).filter(|cut| is_free(*cut, others)));
        }
        from += LONG_CUT_INTERVAL;
    }
    let mut from = WARM_UP;
    while from < size.length {
        let at = from + FLOOD_INTERVAL.mul_f64(rng.random_range(0.0..0.5));
        let duration = random_duration(&mut rng, FLOOD_SECONDS);
        steps.push(Step { at, duration, fault: Fault::Flood });
        from += FLOOD_INTERVAL;
    }
    steps
}

/// Returns a long cut of one or all instances that suppresses none of the other faults. It starts in
/// the first quarter of its interval, and so has ended when the next one starts.
fn long_cut(rng: &mut SmallRng, size: Size, from: Duration, others: &[Step]) -> Option<Step> {
    let at = from + LONG_CUT_INTERVAL.mul_f64(rng.random_range(0.0..0.25));
    let duration = random_duration(rng, LONG_CUT_SECONDS);
    (0..LONG_CUT_TRIES).find_map(|_| {
        let instance = rng.random_range(0..size.instances);
        let fault = match rng.random_range(0..7) {
            0 => Fault::Kill(instance),
            1 | 2 => Fault::Pause(instance),
            3 => Fault::StoreLink(instance, LinkFault::CutBackward),
            4 => Fault::StoreLink(instance, LinkFault::Down),
            5 => Fault::StoreBusy,
            _ => Fault::StoreSilent,
        };
        let cut = Step { at, duration, fault };
        is_free(cut, others).then_some(cut)
    })
}

/// Returns the cut from the store that goes with a long pause.
fn cut_of_paused(pause: Step) -> Option<Step> {
    let Fault::Pause(instance) = pause.fault else { return None };
    let fault = Fault::StoreLink(instance, LinkFault::CutBackward);
    Some(Step { duration: pause.duration + CUT_AFTER_PAUSE, fault, ..pause })
}

/// Returns the faults that concern the history of the store: restores with what they lose, losses of
/// power of all instances, and writes of leaving upstreams that are executed late.
fn history_steps(seed: u64, size: Size, others: &[Step]) -> Vec<Step> {
    let mut rng = SmallRng::seed_from_u64(seed ^ HISTORY_SEED);
    let mut steps = others.to_vec();
    let mut from = WARM_UP;
    while from < size.length {
        let is_power_lost = rng.random_bool(POWER_LOSS_SHARE);
        let is_at_restore = is_power_lost && rng.random_bool(POWER_LOSS_AT_RESTORE_SHARE);
        let restore = restore(&mut rng, from, &steps, is_at_restore);
        if let Some(restore) = restore {
            steps.push(restore);
            add_around(&mut rng, size, restore, &mut steps);
        }
        let at = match restore {
            Some(restore) if is_at_restore => Some(restore.at),
            _ => random_time(&mut rng, from, 1.0, |at| is_power_lost && is_powered(at, &steps)),
        };
        steps.extend(at.into_iter().flat_map(|at| power_loss(&mut rng, at)));
        from += RESTORE_INTERVAL;
    }
    let late_writes = late_writes(&mut rng, &steps);
    steps.extend(late_writes);
    steps.split_off(others.len())
}

/// Adds the writes before and after a restore, and often a second restore.
fn add_around(rng: &mut SmallRng, size: Size, restore: Step, steps: &mut Vec<Step>) {
    let restored_at = restore.at + restore.duration;
    let lost = restore.copied_at().unwrap_or_default()..restore.at;
    for span in [lost, restored_at..restored_at + AFTER_RESTORE] {
        let writes = writes_around(rng, size, span, restored_at, steps);
        steps.extend(writes);
    }
    let after = random_duration(rng, SECOND_OUTAGE_SECONDS);
    let second = restore_at(rng, restored_at + after);
    if rng.random_bool(SECOND_RESTORE_SHARE) && is_clear(second, steps) {
        steps.push(second);
    }
}

/// Returns older writes of upstreams that are executed after they have left.
fn late_writes(rng: &mut SmallRng, steps: &[Step]) -> Vec<Step> {
    let mut late_writes = Vec::new();
    for step in steps {
        let Fault::Leave(upstream) = step.fault else { continue };
        if rng.random_bool(LATE_WRITE_SHARE) {
            let at = step.at + random_duration(rng, LATE_WRITE_SECONDS);
            let fault = Fault::LateWrite(upstream);
            late_writes.push(Step { at, duration: Duration::ZERO, fault });
        }
    }
    late_writes
}

/// Returns a restore at a time at which no other outage of the store is scheduled and, if the
/// instances are to lose power with it, no fault of a process. It is in the first part of its
/// interval if there is such a time.
fn restore(
    rng: &mut SmallRng,
    from: Duration,
    others: &[Step],
    is_power_lost: bool,
) -> Option<Step> {
    let mut step = restore_at(rng, from);
    let is_possible = |at: Duration| {
        is_clear(Step { at, ..step }, others) && (!is_power_lost || is_powered(at, others))
    };
    let at = random_time(rng, from, 0.6, is_possible);
    step.at = at.or_else(|| random_time(rng, from, 2.0, is_possible))?;
    let Fault::Restore(away, age) = step.fault else { return None };
    let oldest = step.at.saturating_sub(NO_COPY).as_millis() as u64;
    step.fault = Fault::Restore(away, age.min(oldest));
    Some(step)
}

fn restore_at(rng: &mut SmallRng, at: Duration) -> Step {
    let duration = random_duration(rng, AWAY_SECONDS);
    let age = random_duration(rng, COPY_AGE_SECONDS);
    let away = if rng.random_bool(0.5) { Away::Busy } else { Away::Silent };
    Step { at, duration, fault: Fault::Restore(away, age.as_millis() as u64) }
}

/// Returns a version and a leaving in a time span before or after the outage of a restore. The
/// leaving lasts until it must be in force again.
fn writes_around(
    rng: &mut SmallRng,
    size: Size,
    span: Range<Duration>,
    restored_at: Duration,
    others: &[Step],
) -> Vec<Step> {
    let mut steps = Vec::new();
    let random_at = |rng: &mut SmallRng| rng.random_range(span.clone());
    if rng.random_bool(VERSION_SHARE) {
        let at = random_at(rng);
        steps.push(version_at(rng, at));
    }
    if rng.random_bool(LEAVING_SHARE) {
        let at = random_at(rng);
        let away = random_duration(rng, AWAY_AFTER_RESTORE_SECONDS);
        let duration = restored_at.max(at) - at + away;
        let leaving = |rng: &mut SmallRng| {
            let fault = Fault::Leave(rng.random_range(0..size.upstreams));
            Step { at, duration, fault }
        };
        let mut leavings = (0..PLACING_TRIES).map(|_| leaving(rng));
        steps.extend(leavings.find(|step| is_clear(*step, others)));
    }
    steps
}

/// Returns a loss of power, often right after a version was acknowledged.
fn power_loss(rng: &mut SmallRng, at: Duration) -> Vec<Step> {
    let mut steps = vec![Step { at, duration: MAX_POWER_LOSS, fault: Fault::PowerLoss }];
    if rng.random_bool(POWER_LOSS_AFTER_VERSION_SHARE) {
        steps.push(version_at(rng, at - POWER_LOSS_DELAY));
    }
    steps
}

fn version_at(rng: &mut SmallRng, at: Duration) -> Step {
    let fault = if rng.random_bool(0.5) { Fault::Configure } else { Fault::RemoveKey };
    Step { at, duration: Duration::ZERO, fault }
}

/// Returns a time in the first part of an interval for which the condition holds.
fn random_time(
    rng: &mut SmallRng,
    from: Duration,
    part: f64,
    is_possible: impl Fn(Duration) -> bool,
) -> Option<Duration> {
    let mut times =
        (0..PLACING_TRIES).map(|_| from + RESTORE_INTERVAL.mul_f64(rng.random_range(0.0..part)));
    times.find(|at| is_possible(*at))
}

/// Returns true if no fault of a process starts while all instances are without power. It would be
/// skipped.
fn is_powered(at: Duration, others: &[Step]) -> bool {
    use Fault as F;
    let lost = at.saturating_sub(MARGIN)..=at + MAX_POWER_LOSS + MARGIN;
    let is_of_process =
        |fault| matches!(fault, F::Kill(_) | F::Stop(_) | F::Pause(_) | F::PowerLoss);
    !others.iter().any(|other| is_of_process(other.fault) && lost.contains(&other.at))
}

/// Returns true if a step overlaps with no step that it conflicts with.
fn is_clear(step: Step, others: &[Step]) -> bool {
    let end = |step: &Step| {
        let is_prolonged = matches!(step.fault, Fault::Leave(_));
        step.at + step.duration + if is_prolonged { MAX_EXTENSION } else { MARGIN }
    };
    let is_apart = |other: &Step| other.at > end(&step) || end(other) < step.at;
    others.iter().all(|other| !conflicts(step.fault, other.fault) || is_apart(other))
}

/// Returns true if a step neither suppresses one of the others nor is suppressed by it.
fn is_free(step: Step, others: &[Step]) -> bool {
    others.iter().all(|other| {
        !conflicts(step.fault, other.fault)
            || other.at > step.at + step.duration
            || other.at + other.duration + MAX_EXTENSION < step.at
    })
}

fn random_duration(rng: &mut SmallRng, (min, max): (f64, f64)) -> Duration {
    Duration::from_secs_f64(rng.random_range(min..max))
}

/// Returns true for a fault that keeps an instance from reading the store.
fn cuts_off_an_instance(fault: Fault) -> bool {
    use Fault as F;
    matches!(
        fault,
        F::Kill(_) | F::Stop(_) | F::Pause(_) | F::StoreSilent | F::StoreBusy | F::StoreLink(..)
    ) && !matches!(fault, F::StoreLink(_, LinkFault::Delay))
}

/// Returns true if two faults change the same state, so that the end of one would also end the
/// other.
pub(crate) fn conflicts(one: Fault, other: Fault) -> bool {
    use Fault as F;
    match (one, other) {
        (
            F::Kill(a) | F::Stop(a) | F::Pause(a) | F::HangUp(a),
            F::Kill(b) | F::Stop(b) | F::Pause(b) | F::HangUp(b),
        ) => a == b,
        (
            F::StoreSilent | F::StoreBusy | F::Restore(..),
            F::StoreSilent | F::StoreBusy | F::Restore(..),
        ) => true,
        (F::Flood, F::Flood) | (F::PowerLoss, F::PowerLoss) => true,
        (F::StoreLink(a, _), F::StoreLink(b, _))
        | (F::CallerLink(a, _), F::CallerLink(b, _))
        | (F::UpstreamLink(a, _), F::UpstreamLink(b, _))
        | (F::Upstream(a, _), F::Upstream(b, _))
        | (F::Leave(a), F::Leave(b)) => a == b,
        _ => false,
    }
}

fn random_fault(rng: &mut SmallRng, size: Size) -> Fault {
    let instance = rng.random_range(0..size.instances);
    let upstream = rng.random_range(0..size.upstreams);
    match rng.random_range(0..22) {
        0 | 1 => Fault::Kill(instance),
        2 | 3 => Fault::Stop(instance),
        4 => Fault::Pause(instance),
        5 => Fault::HangUp(instance),
        6 => Fault::StoreSilent,
        7 => Fault::StoreBusy,
        8 => Fault::DropHistory,
        9 => Fault::EndLeases,
        10 | 11 => Fault::StoreLink(instance, random_link_fault(rng)),
        12 | 13 => Fault::UpstreamLink(upstream, random_link_fault(rng)),
        14 => Fault::CallerLink(instance, random_link_fault(rng)),
        15..=17 => Fault::Upstream(upstream, random_upstream_fault(rng)),
        18 | 19 => Fault::Leave(upstream),
        _ => Fault::Configure,
    }
}

fn random_link_fault(rng: &mut SmallRng) -> LinkFault {
    match rng.random_range(0..5) {
        0 => LinkFault::Delay,
        1 => LinkFault::CutForward,
        2 => LinkFault::CutBackward,
        3 => LinkFault::Down,
        _ => LinkFault::Silence,
    }
}

fn random_upstream_fault(rng: &mut SmallRng) -> UpstreamFault {
    match rng.random_range(0..6) {
        0 => UpstreamFault::Errors,
        1 => UpstreamFault::Hang,
        2 => UpstreamFault::CloseAfterExecution,
        3 => UpstreamFault::Mismatch,
        4 => UpstreamFault::Truncate,
        _ => UpstreamFault::Slow,
    }
}
