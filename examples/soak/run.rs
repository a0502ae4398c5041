//! Runs a plan against a fleet and records what callers and upstreams observe.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use cactustrack_test_support::link::LinkState;
use eyre::{Result, eyre};
use http::StatusCode;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;

use crate::accounts::{self, Credential, ROTATING};
use crate::callers::{self, Endpoint, Shared};
use crate::contents::ContentsCopy;
use crate::fleet::{self, Fleet, SERVICE_TIME, healthy_behaviour};
use crate::load_balancer;
use crate::plan::{
    Away, Fault, LinkFault, MAX_POWER_LOSS, Plan, Size, Step, UpstreamFault, conflicts,
};
use crate::store::Mode;
use crate::violations::{
    Affected, Disturbance, HeldLink, KeyRemoval, Leaving, ProcessStart, RunRecord, Shutdown,
    Violation,
};

/// Interval at which the processes and the scheduled actions are checked.
const TICK: Duration = Duration::from_millis(20);

/// Longest time from the shutdown signal to the end of the process.
const SHUTDOWN_LIMIT: Duration = Duration::from_secs(6);

/// Time from the entry that says that an upstream leaves to the removal of the entry.
const DRAIN_TIME: Duration = Duration::from_millis(3_500);

/// Range of the time from the return of the store to the write of a document that it lacks, in
/// milliseconds.
const REWRITE_MS: (u64, u64) = (300, 1_500);

/// Interval in which an upstream writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Interval in which a write is tried again while the store is away.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum time for which an instance stays down after a loss of power.
const MIN_POWER_LOSS: Duration = Duration::from_millis(300);

/// Time within which the fleet must recover once all faults have ended.
const RECOVERY: Duration = Duration::from_secs(15);

/// Time after [`RECOVERY`] over which the share of served requests is measured.
const MEASUREMENT_TIME: Duration = Duration::from_secs(3);

/// One-way delay of a slow link.
const LINK_DELAY: Duration = Duration::from_millis(150);

/// Result of a run.
pub(crate) struct Report {
    pub(crate) summary: String,
    /// Scheduled faults, if there is a violation.
    pub(crate) faults: Vec<String>,
    pub(crate) violations: Vec<Violation>,
}

/// Scheduled action. Faults are given by their index in the plan.
enum Action {
    BeginFault(usize),
    EndFault(usize),
    /// Kills a process that has not ended within the limit of a graceful shutdown.
    ShutdownLimit {
        instance: usize,
        incarnation: u32,
    },
    /// Removes the entry of a leaving upstream.
    Unregister(usize),
    /// Makes the copy from which the store comes back at the end of a fault.
    CopyStore(usize),
    /// Writes the newest state of a key again.
    Rewrite(String),
    /// Starts an instance after a loss of power.
    Start(usize),
}

struct Run<'a> {
    plan: &'a Plan,
    fleet: Fleet,
    shared: Arc<Shared>,
    record: RunRecord,
    violations: Vec<Violation>,
    /// Scheduled actions, by due time and order of scheduling.
    actions: BTreeMap<(Duration, usize), Action>,
    /// Number of actions scheduled so far.
    scheduled: usize,
    /// Instances whose process is down or is expected to end.
    expected_down: BTreeSet<usize>,
    /// Indices of the faults in effect.
    active: BTreeSet<usize>,
    /// Current incarnation of each upstream.
    upstream_incarnations: Vec<u64>,
    /// Copies of the store, by the index of the fault that restores them.
    copies: HashMap<usize, ContentsCopy>,
}

/// Runs a plan and checks the guarantees.
pub(crate) fn run_plan(plan: &Plan, size: Size) -> Result<Report> {
    let accounts = accounts::accounts(size.callers, plan.removals());
    let fleet = Fleet::start(size, plan.seed, accounts.clone())?;
    let endpoint = |address: SocketAddr| Endpoint {
        address,
        is_ready: AtomicBool::new(false),
        incarnation: AtomicU32::new(0),
    };
    let shared = Arc::new(Shared {
        instances: fleet.instances.iter().map(|i| endpoint(i.caller_link.address)).collect(),
        version: AtomicU64::new(1),
        removed_keys: AtomicUsize::new(0),
        is_flooding: AtomicBool::new(false),
        rotating_keys: plan.removals() + accounts::KEPT_KEYS,
        stop: AtomicBool::new(false),
        started: Instant::now(),
    });
    let load_balancer =
        load_balancer::spawn(&shared, fleet.instances.iter().map(fleet::Instance::admin).collect());
    let callers = callers::spawn(Arc::clone(&shared), plan.seed, size.callers);
    let mut run = Run::new(plan, size, fleet, Arc::clone(&shared));
    run.record.accounts = accounts;
    run.run()?;
    shared.stop.store(true, Ordering::Relaxed);
    run.record.requests =
        callers.join().map_err(|_| eyre!("the thread of the callers panicked"))?;
    load_balancer.join().map_err(|_| eyre!("the thread of the load balancer panicked"))?;
    run.report()
}

impl<'a> Run<'a> {
    fn new(plan: &'a Plan, size: Size, fleet: Fleet, shared: Arc<Shared>) -> Self {
        let mut run = Self {
            plan,
            fleet,
            shared,
            record: RunRecord::default(),
            violations: Vec::new(),
            actions: BTreeMap::new(),
            scheduled: 0,
            expected_down: BTreeSet::new(),
            active: BTreeSet::new(),
            upstream_incarnations: vec![1; size.upstreams],
            copies: HashMap::new(),
        };
        for (index, step) in plan.steps.iter().enumerate() {
            if let Some(at) = step.copied_at() {
                run.schedule(at, Action::CopyStore(index));
            }
            run.schedule(step.at, Action::BeginFault(index));
        }
        run
    }

    fn run(&mut self) -> Result<()> {
        while !self.actions.is_empty() {
            self.tick()?;
        }
        self.record.recovered_from = self.shared.started.elapsed() + RECOVERY;
        let end = self.record.recovered_from + MEASUREMENT_TIME;
        while self.shared.started.elapsed() < end {
            self.tick()?;
        }
        for (instance, endpoint) in self.shared.instances.iter().enumerate() {
            if !endpoint.is_ready.load(Ordering::Relaxed) {
                self.violations.push(Violation::NotReady { instance });
            }
        }
        Ok(())
    }

    fn tick(&mut self) -> Result<()> {
        let now = self.shared.started.elapsed();
        while let Some(entry) = self.actions.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let action = entry.remove();
            self.execute(now, action)?;
        }
        self.check_processes(now)?;
        thread::sleep(TICK);
        Ok(())
    }

    fn schedule(&mut self, at: Duration, action: Action) {
        self.scheduled += 1;
        self.actions.insert((at, self.scheduled), action);
    }

    fn execute(&mut self, now: Duration, action: Action) -> Result<()> {
        match action {
            Action::BeginFault(index) => self.begin_fault(now, index),
            Action::EndFault(index) => self.end_fault(now, index),
            Action::ShutdownLimit { instance, incarnation } => {
                self.enforce_shutdown_limit(now, instance, incarnation)
            }
            Action::Unregister(upstream) => {
                self.fleet.unregister(upstream);
                Ok(())
            }
            Action::CopyStore(index) => {
                self.copies.insert(index, self.fleet.copy_store());
                Ok(())
            }
            Action::Rewrite(key) => {
                self.fleet.rewrite(&key);
                Ok(())
            }
            Action::Start(instance) => self.restart(now, instance),
        }
    }

    /// Injects a fault. Skips a fault that conflicts with an active one, since the end of one would
    /// also end the other.
    fn begin_fault(&mut self, now: Duration, index: usize) -> Result<()> {
        let step = self.plan.steps[index];
        if self.active.iter().any(|other| conflicts(self.plan.steps[*other].fault, step.fault)) {
            return Ok(());
        }
        if is_write(step.fault) && self.is_store_away() {
            self.schedule(now + RETRY_INTERVAL, Action::BeginFault(index));
            return Ok(());
        }
        let until = now + step.duration;
        if let Some(affected) = affected(step.fault) {
            self.record.disturbances.push(Disturbance { affected, from: now, until });
        }
        if let Fault::UpstreamLink(upstream, LinkFault::CutForward) = step.fault {
            self.record.held_links.push(HeldLink { upstream, from: now, until });
        }
        match step.fault {
            Fault::Kill(instance) | Fault::Stop(instance) | Fault::Pause(instance)
                if self.expected_down.contains(&instance) =>
            {
                return Ok(());
            }
            Fault::Kill(instance) => {
                self.expected_down.insert(instance);
                self.fleet.instances[instance].kill()?;
            }
            Fault::Stop(instance) => return self.begin_shutdown(now, index, instance),
            Fault::Pause(instance) => self.fleet.instances[instance].signal(Signal::STOP)?,
            Fault::HangUp(instance) => self.fleet.instances[instance].signal(Signal::HUP)?,
            Fault::StoreSilent => self.fleet.store.set_mode(Mode::Silent),
            Fault::StoreBusy => self.fleet.store.set_mode(Mode::Busy),
            Fault::DropHistory => self.fleet.store.compact_history(),
            Fault::EndLeases => self.fleet.store.revoke_all_leases(),
            Fault::Leave(upstream) => return self.begin_leaving(now, index, upstream),
            Fault::Configure => self.configure(now),
            Fault::RemoveKey => self.remove_key(now),
            Fault::Flood => self.shared.is_flooding.store(true, Ordering::Relaxed),
            Fault::StoreLink(..) | Fault::UpstreamLink(..) | Fault::CallerLink(..) => {
                self.set_link_fault(step.fault, true);
            }
            Fault::Upstream(upstream, fault) => self.set_upstream_fault(upstream, Some(fault)),
            Fault::Restore(Away::Busy, _) => self.fleet.store.set_mode(Mode::Busy),
            Fault::Restore(Away::Silent, _) => self.fleet.store.set_mode(Mode::Silent),
            Fault::LateWrite(upstream) => {
                let key = self.fleet.write_late(upstream);
                self.schedule(now + HEARTBEAT, Action::Rewrite(key));
            }
            Fault::PowerLoss => self.cut_power(now, index)?,
        }
        self.active.insert(index);
        self.schedule(until, Action::EndFault(index));
        Ok(())
    }

    fn end_fault(&mut self, now: Duration, index: usize) -> Result<()> {
        self.active.remove(&index);
        let Step { at, fault, .. } = self.plan.steps[index];
        match fault {
            Fault::Kill(instance) | Fault::Stop(instance) => self.restart(now, instance)?,
            Fault::Pause(instance) => self.fleet.instances[instance].signal(Signal::CONT)?,
            Fault::StoreSilent | Fault::StoreBusy => self.fleet.store.set_mode(Mode::Serving),
            Fault::Leave(upstream) => self.restart_upstream(upstream),
            Fault::Restore(..) => self.restore_store(now, index),
            Fault::StoreLink(..) | Fault::UpstreamLink(..) | Fault::CallerLink(..) => {
                self.set_link_fault(fault, false);
            }
            Fault::Upstream(upstream, _) => self.set_upstream_fault(upstream, None),
            Fault::Flood => self.shared.is_flooding.store(false, Ordering::Relaxed),
            Fault::HangUp(_) | Fault::DropHistory | Fault::EndLeases => {}
            Fault::Configure | Fault::RemoveKey | Fault::LateWrite(_) | Fault::PowerLoss => {}
        }
        // A fault may end later than planned if this thread was delayed.
        let until = self.shared.started.elapsed();
        if let Some(affected) = affected(fault) {
            self.record.disturbances.push(Disturbance { affected, from: at, until });
        }
        if let Fault::UpstreamLink(upstream, LinkFault::CutForward) = fault {
            self.record.held_links.push(HeldLink { upstream, from: at, until });
        }
        Ok(())
    }

    fn begin_shutdown(&mut self, now: Duration, index: usize, instance: usize) -> Result<()> {
        self.expected_down.insert(instance);
        self.fleet.instances[instance].signal(Signal::TERM)?;
        let incarnation = self.incarnation(instance);
        self.record.shutdowns.push(Shutdown { instance, incarnation, at: now });
        let limit = self.shared.started.elapsed() + SHUTDOWN_LIMIT;
        self.schedule(limit, Action::ShutdownLimit { instance, incarnation });
        self.active.insert(index);
        self.schedule(
            now + SHUTDOWN_LIMIT + self.plan.steps[index].duration,
            Action::EndFault(index),
        );
        Ok(())
    }

    fn enforce_shutdown_limit(
        &mut self,
        now: Duration,
        instance: usize,
        incarnation: u32,
    ) -> Result<()> {
        // If this thread was delayed, the process may have ended in time without being noticed.
        self.check_processes(now)?;
        if self.incarnation(instance) == incarnation && self.fleet.instances[instance].is_running()
        {
            self.violations.push(Violation::ShutdownTooLong { instance });
            self.fleet.instances[instance].kill()?;
        }
        Ok(())
    }

    fn restart(&mut self, now: Duration, instance: usize) -> Result<()> {
        self.expected_down.remove(&instance);
        self.shared.instances[instance].incarnation.fetch_add(1, Ordering::Relaxed);
        let affected = Affected::Instance(instance);
        self.record.disturbances.push(Disturbance { affected, from: now, until: now });
        let incarnation = self.incarnation(instance);
        self.record.starts.push(ProcessStart { instance, incarnation, at: now });
        self.fleet.instances[instance].start()
    }

    fn begin_leaving(&mut self, now: Duration, index: usize, upstream: usize) -> Result<()> {
        self.fleet.register(upstream, self.upstream_incarnations[upstream], "draining");
        let at = self.shared.started.elapsed();
        self.record.leavings.push(Leaving { upstream, at, until: Duration::MAX });
        self.schedule(now + DRAIN_TIME, Action::Unregister(upstream));
        self.active.insert(index);
        let away = DRAIN_TIME + self.plan.steps[index].duration;
        self.schedule(now + away, Action::EndFault(index));
        Ok(())
    }

    fn restart_upstream(&mut self, upstream: usize) {
        let until = self.shared.started.elapsed();
        let mut leavings = self.record.leavings.iter_mut().rev();
        if let Some(leaving) = leavings.find(|leaving| leaving.upstream == upstream) {
            leaving.until = until;
        }
        self.upstream_incarnations[upstream] += 1;
        self.fleet.register(upstream, self.upstream_incarnations[upstream], "ready");
    }

    fn is_store_away(&self) -> bool {
        let mut active = self.active.iter().map(|index| self.plan.steps[*index].fault);
        active.any(|fault| matches!(fault, Fault::Restore(..)))
    }

    /// Brings the store back from its copy. The operator and the upstreams write what it lacks.
    fn restore_store(&mut self, now: Duration, index: usize) {
        let lacking = self.copies.remove(&index).map(|copy| self.fleet.restore_store(copy));
        self.fleet.store.set_mode(Mode::Serving);
        let mut rng = self.rng(index);
        for key in lacking.unwrap_or_default() {
            let delay = Duration::from_millis(rng.random_range(REWRITE_MS.0..REWRITE_MS.1));
            self.schedule(now + delay, Action::Rewrite(key));
        }
    }

    /// Kills all instances at the same moment. Those that are not down for another reason start
    /// again one by one.
    fn cut_power(&mut self, now: Duration, index: usize) -> Result<()> {
        for instance in &self.fleet.instances {
            instance.signal(Signal::KILL)?;
        }
        let mut rng = self.rng(index);
        for instance in 0..self.fleet.instances.len() {
            self.fleet.instances[instance].kill()?;
            let affected = Affected::Instance(instance);
            let until = self.shared.started.elapsed();
            self.record.disturbances.push(Disturbance { affected, from: now, until });
            let delay = rng.random_range(MIN_POWER_LOSS..MAX_POWER_LOSS);
            if self.expected_down.insert(instance) {
                self.schedule(now + delay, Action::Start(instance));
            }
        }
        Ok(())
    }

    /// Returns the generator of the details of a fault, which do not depend on the other faults.
    fn rng(&self, index: usize) -> SmallRng {
        SmallRng::seed_from_u64(self.plan.seed ^ (index as u64 + 1))
    }

    fn configure(&mut self, now: Duration) {
        let version = self.shared.version.load(Ordering::Relaxed) + 1;
        self.fleet.accept(version, self.shared.removed_keys.load(Ordering::Relaxed));
        self.record.accepted.insert(version, now);
        self.shared.version.store(version, Ordering::Relaxed);
    }

    fn remove_key(&mut self, now: Duration) {
        // Callers use the removed key while the store acknowledges its removal.
        let number = self.shared.removed_keys.fetch_add(1, Ordering::Relaxed);
        self.configure(now);
        let key = Credential::Key { account: ROTATING, number };
        let acknowledged_at = self.shared.started.elapsed();
        self.record.removed_keys.insert(key, KeyRemoval { started_at: now, acknowledged_at });
    }

    fn set_link_fault(&self, fault: Fault, is_active: bool) {
        let (link, fault) = match fault {
            Fault::StoreLink(instance, fault) => {
                (&self.fleet.instances[instance].store_link, fault)
            }
            Fault::CallerLink(instance, fault) => {
                (&self.fleet.instances[instance].caller_link, fault)
            }
            Fault::UpstreamLink(upstream, fault) => (&self.fleet.upstream_links[upstream], fault),
            _ => return,
        };
        if fault == LinkFault::Silence {
            if is_active {
                link.control.silence_open_connections();
            }
            return;
        }
        let state = if is_active { link_state(fault) } else { LinkState::default() };
        link.control.set(|current| *current = state);
    }

    fn set_upstream_fault(&self, upstream: usize, fault: Option<UpstreamFault>) {
        let mut behaviour = healthy_behaviour();
        match fault {
            None => {}
            Some(UpstreamFault::Errors) => behaviour.failure_rate = 0.6,
            Some(UpstreamFault::Hang) => behaviour.hang = true,
            Some(UpstreamFault::CloseAfterExecution) => behaviour.abort_after_execution = true,
            Some(UpstreamFault::Mismatch) => behaviour.mismatched = true,
            Some(UpstreamFault::Truncate) => behaviour.truncate_after = Some(70_000),
            Some(UpstreamFault::Slow) => behaviour.latency = SERVICE_TIME * 20,
        }
        let control = &self.fleet.upstreams.all[upstream].control;
        control.set(|current| *current = behaviour);
    }

    fn check_processes(&mut self, now: Duration) -> Result<()> {
        for instance in 0..self.fleet.instances.len() {
            let Some(status) = self.fleet.instances[instance].take_exit_status()? else { continue };
            if self.expected_down.contains(&instance) && status.success() {
                continue;
            }
            self.violations
                .push(Violation::UnexpectedExit { instance, status: status.to_string() });
            if !self.expected_down.contains(&instance) {
                self.restart(now, instance)?;
            }
        }
        Ok(())
    }

    fn incarnation(&self, instance: usize) -> u32 {
        self.shared.instances[instance].incarnation.load(Ordering::Relaxed)
    }

    fn report(mut self) -> Result<Report> {
        for upstream in &self.fleet.upstreams.all {
            let executed = upstream.control.executed();
            let ids = executed.iter().filter_map(|line| line.split_whitespace().nth(2));
            self.record.executed.extend(ids.map(str::to_owned));
        }
        self.record.arrivals = self.fleet.arrivals(self.shared.started);
        let mut violations = std::mem::take(&mut self.violations);
        violations.extend(self.record.violations());
        let sent = self.record.requests.len();
        let is_ok = |r: &&crate::violations::RequestRecord| r.outcome.is_served();
        let served = self.record.requests.iter().filter(is_ok).count();
        let with_status = |status: StatusCode| {
            let outcomes = self.record.requests.iter().map(|request| request.outcome.status());
            outcomes.filter(|other| *other == Some(status)).count()
        };
        let mut summary = format!(
            "{served} of {sent} requests served, {} unauthorized, {} over quota, {} keys removed, \
             {} violations",
            with_status(StatusCode::UNAUTHORIZED),
            with_status(StatusCode::TOO_MANY_REQUESTS),
            self.record.removed_keys.len(),
            violations.len()
        );
        if violations.is_empty() {
            self.fleet.remove_logs()?;
        } else {
            summary += &format!(", logs in {}", self.fleet.log_dir().display());
        }
        let faults = if violations.is_empty() { Vec::new() } else { fault_list(self.plan) };
        Ok(Report { summary, faults, violations })
    }
}

/// Describes the faults of a plan.
fn fault_list(plan: &Plan) -> Vec<String> {
    plan.steps.iter().map(ToString::to_string).collect()
}

fn link_state(fault: LinkFault) -> LinkState {
    let normal = LinkState::default();
    match fault {
        LinkFault::Delay => {
            LinkState { forward_delay: LINK_DELAY, backward_delay: LINK_DELAY, ..normal }
        }
        LinkFault::CutForward => LinkState { forward_blocked: true, ..normal },
        LinkFault::CutBackward => LinkState { backward_blocked: true, ..normal },
        LinkFault::Down => LinkState { is_down: true, ..normal },
        LinkFault::Silence => normal,
    }
}

/// Returns the part of the system that a fault disturbs. A graceful shutdown, a new version, a
/// leaving upstream, a late write, an account beyond its quota and SIGHUP, which only validates the
/// settings, are not disturbances.
fn affected(fault: Fault) -> Option<Affected> {
    match fault {
        Fault::Kill(instance) | Fault::Pause(instance) => Some(Affected::Instance(instance)),
        Fault::StoreLink(instance, _) | Fault::CallerLink(instance, _) => {
            Some(Affected::Instance(instance))
        }
        Fault::Restore(..) => Some(Affected::Store),
        Fault::StoreSilent | Fault::StoreBusy | Fault::DropHistory | Fault::EndLeases => {
            Some(Affected::Store)
        }
        Fault::UpstreamLink(..) | Fault::Upstream(..) => Some(Affected::Upstreams),
        Fault::Stop(_) | Fault::HangUp(_) | Fault::Leave(_) | Fault::Configure => None,
        // A loss of power disturbs each instance, for a time of its own.
        Fault::RemoveKey | Fault::Flood | Fault::LateWrite(_) | Fault::PowerLoss => None,
    }
}

/// Returns true for a write to the store, which is not acknowledged while the store is away.
fn is_write(fault: Fault) -> bool {
    matches!(fault, Fault::Configure | Fault::RemoveKey | Fault::Leave(_) | Fault::LateWrite(_))
}
