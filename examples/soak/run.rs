//! Plays a plan against a fleet and collects what was seen.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use cactustrack_test_support::link::LinkState;
use eyre::{Result, eyre};

use crate::callers::{self, Endpoint, Front};
use crate::fleet::{self, Fleet, SERVICE_TIME, usual_behaviour};
use crate::plan::{Fault, LinkFault, Plan, Size, UpstreamFault};
use crate::store::Mode;
use crate::verdict::{Broken, Disturbance, Notes, Stop, Touched};

/// Pause between looks at the processes and the plan.
const TICK: Duration = Duration::from_millis(20);

/// Interval at which readiness is asked for. Two misses take an instance out.
const READY_INTERVAL: Duration = Duration::from_millis(500);
const READY_TIMEOUT: Duration = Duration::from_millis(400);
const MAX_MISSES: u32 = 2;

/// Time between the stop signal and the end of the process at the latest.
const GRACE: Duration = Duration::from_secs(6);

/// Time after the leaving of an upstream was accepted in which requests still reach it.
const DRAIN: Duration = Duration::from_millis(2_000);

/// Time for which a leaving upstream is looked at after that.
const DRAIN_WATCHED: Duration = Duration::from_millis(1_500);

/// Time in which the fleet recovers once all faults have ended.
const RECOVERY: Duration = Duration::from_secs(15);

/// Time after the recovery in which the share of served requests is measured.
const MEASURED: Duration = Duration::from_secs(3);

/// Delay of a slow link, one way.
const LINK_DELAY: Duration = Duration::from_millis(150);

/// What a run found.
pub(crate) struct Report {
    pub(crate) summary: String,
    pub(crate) tried: Vec<String>,
    pub(crate) broken: Vec<Broken>,
}

/// What is due at a time.
#[derive(Clone, Copy)]
enum Due {
    Begin(usize),
    End(usize),
    /// Kills a process that did not stop.
    StopLimit {
        instance: usize,
        life: u32,
    },
    /// Counts the requests of a leaving upstream.
    Drained {
        upstream: usize,
    },
    /// Compares the count with the one at the end of the drain time.
    DrainChecked {
        upstream: usize,
        requests: u64,
        since: Duration,
    },
}

struct Run<'a> {
    plan: &'a Plan,
    fleet: Fleet,
    front: Arc<Front>,
    notes: Notes,
    broken: Vec<Broken>,
    due: BTreeMap<(Duration, usize), Due>,
    scheduled: usize,
    /// Instances whose process is expected to end, or is away.
    ending: BTreeSet<usize>,
    /// Faults that hold, by their number in the plan.
    active: BTreeSet<usize>,
    lives: Vec<u64>,
}

/// Plays a plan and judges what was seen.
pub(crate) fn play(plan: &Plan, size: Size) -> Result<Report> {
    let fleet = Fleet::start(size, plan.seed)?;
    let endpoint = |address: SocketAddr| Endpoint {
        address,
        is_ready: AtomicBool::new(false),
        life: AtomicU32::new(0),
    };
    let front = Arc::new(Front {
        instances: fleet.instances.iter().map(|i| endpoint(i.callers.address)).collect(),
        version: AtomicU64::new(1),
        stop: AtomicBool::new(false),
        started: Instant::now(),
    });
    let balancer = balance(&front, fleet.instances.iter().map(fleet::Instance::admin).collect());
    let callers = callers::spawn(Arc::clone(&front), plan.seed, size.callers);
    let mut run = Run::new(plan, size, fleet, Arc::clone(&front));
    run.play()?;
    front.stop.store(true, Ordering::Relaxed);
    run.notes.sent = callers.join().map_err(|_| eyre!("the callers failed"))?;
    balancer.join().map_err(|_| eyre!("the balancer failed"))?;
    run.report()
}

impl<'a> Run<'a> {
    fn new(plan: &'a Plan, size: Size, fleet: Fleet, front: Arc<Front>) -> Self {
        let mut run = Self {
            plan,
            fleet,
            front,
            notes: Notes::default(),
            broken: Vec::new(),
            due: BTreeMap::new(),
            scheduled: 0,
            ending: BTreeSet::new(),
            active: BTreeSet::new(),
            lives: vec![1; size.upstreams],
        };
        for (number, step) in plan.steps.iter().enumerate() {
            run.schedule(step.at, Due::Begin(number));
        }
        run
    }

    fn play(&mut self) -> Result<()> {
        while !self.due.is_empty() {
            self.tick()?;
        }
        self.notes.recovered_from = self.front.started.elapsed() + RECOVERY;
        let end = self.notes.recovered_from + MEASURED;
        while self.front.started.elapsed() < end {
            self.tick()?;
        }
        for (instance, endpoint) in self.front.instances.iter().enumerate() {
            if !endpoint.is_ready.load(Ordering::Relaxed) {
                self.broken.push(Broken::NotReady { instance });
            }
        }
        Ok(())
    }

    fn tick(&mut self) -> Result<()> {
        let now = self.front.started.elapsed();
        while let Some(entry) = self.due.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let due = entry.remove();
            self.act(now, due)?;
        }
        self.look_at_processes(now)?;
        thread::sleep(TICK);
        Ok(())
    }

    fn schedule(&mut self, at: Duration, due: Due) {
        self.scheduled += 1;
        self.due.insert((at, self.scheduled), due);
    }

    fn act(&mut self, now: Duration, due: Due) -> Result<()> {
        match due {
            Due::Begin(number) => self.begin(now, number),
            Due::End(number) => self.end(now, number),
            Due::StopLimit { instance, life } => self.enforce_stop(instance, life),
            Due::Drained { upstream } => {
                let requests = self.fleet.upstreams.all[upstream].control.requests();
                let checked = Due::DrainChecked { upstream, requests, since: now };
                self.schedule(now + DRAIN_WATCHED, checked);
                Ok(())
            }
            Due::DrainChecked { upstream, requests, since } => {
                self.check_drained(now, upstream, requests, since);
                Ok(())
            }
        }
    }

    /// Injects a fault. One that concerns something which is already disturbed in the same way is
    /// left out, since its end would end the other one.
    fn begin(&mut self, now: Duration, number: usize) -> Result<()> {
        let step = self.plan.steps[number];
        if self.active.iter().any(|other| conflicts(self.plan.steps[*other].fault, step.fault)) {
            return Ok(());
        }
        let until = now + step.lasts;
        if let Some(touched) = touched(step.fault) {
            self.notes.disturbances.push(Disturbance { touched, from: now, until });
        }
        match step.fault {
            Fault::Kill(instance) | Fault::Stop(instance) | Fault::Pause(instance)
                if self.ending.contains(&instance) =>
            {
                return Ok(());
            }
            Fault::Kill(instance) => {
                self.ending.insert(instance);
                self.fleet.instances[instance].kill()?;
            }
            Fault::Stop(instance) => return self.stop(now, number, instance),
            Fault::Pause(instance) => self.fleet.instances[instance].signal("-STOP")?,
            Fault::HangUp(instance) => self.fleet.instances[instance].signal("-HUP")?,
            Fault::StoreSilent => self.fleet.store.set_mode(Mode::Silent),
            Fault::StoreBusy => self.fleet.store.set_mode(Mode::Busy),
            Fault::DropHistory => self.fleet.store.drop_history(),
            Fault::EndLeases => self.fleet.store.end_all_leases(),
            Fault::Leave(upstream) => return self.leave(now, number, upstream),
            Fault::Configure => self.configure(now),
            Fault::StoreLink(..) | Fault::UpstreamLink(..) | Fault::CallerLink(..) => {
                self.set_link(step.fault, true);
            }
            Fault::Upstream(upstream, fault) => self.set_upstream(upstream, Some(fault)),
        }
        self.active.insert(number);
        self.schedule(until, Due::End(number));
        Ok(())
    }

    fn end(&mut self, now: Duration, number: usize) -> Result<()> {
        self.active.remove(&number);
        let fault = self.plan.steps[number].fault;
        match fault {
            Fault::Kill(instance) | Fault::Stop(instance) => self.restart(now, instance)?,
            Fault::Pause(instance) => self.fleet.instances[instance].signal("-CONT")?,
            Fault::StoreSilent | Fault::StoreBusy => self.fleet.store.set_mode(Mode::Serving),
            Fault::Leave(upstream) => self.come_back(upstream),
            Fault::StoreLink(..) | Fault::UpstreamLink(..) | Fault::CallerLink(..) => {
                self.set_link(fault, false);
            }
            Fault::Upstream(upstream, _) => self.set_upstream(upstream, None),
            Fault::HangUp(_) | Fault::DropHistory | Fault::EndLeases | Fault::Configure => {}
        }
        Ok(())
    }

    fn stop(&mut self, now: Duration, number: usize, instance: usize) -> Result<()> {
        self.ending.insert(instance);
        self.fleet.instances[instance].signal("-TERM")?;
        let life = self.life(instance);
        self.notes.stops.push(Stop { instance, life, at: now });
        self.schedule(now + GRACE, Due::StopLimit { instance, life });
        self.active.insert(number);
        self.schedule(now + GRACE + self.plan.steps[number].lasts, Due::End(number));
        Ok(())
    }

    fn enforce_stop(&mut self, instance: usize, life: u32) -> Result<()> {
        if self.life(instance) == life && self.fleet.instances[instance].is_running() {
            self.broken.push(Broken::StopTooLong { instance });
            self.fleet.instances[instance].kill()?;
        }
        Ok(())
    }

    fn restart(&mut self, now: Duration, instance: usize) -> Result<()> {
        self.ending.remove(&instance);
        self.front.instances[instance].life.fetch_add(1, Ordering::Relaxed);
        let touched = Touched::Instance(instance);
        self.notes.disturbances.push(Disturbance { touched, from: now, until: now });
        self.fleet.instances[instance].start()
    }

    fn leave(&mut self, now: Duration, number: usize, upstream: usize) -> Result<()> {
        self.fleet.list(upstream, self.lives[upstream], "draining");
        self.schedule(now + DRAIN, Due::Drained { upstream });
        self.active.insert(number);
        let away = DRAIN + DRAIN_WATCHED + self.plan.steps[number].lasts;
        self.schedule(now + away, Due::End(number));
        Ok(())
    }

    /// Work may reach a leaving upstream late only through instances that could not hear of it.
    fn check_drained(&mut self, now: Duration, upstream: usize, requests: u64, since: Duration) {
        let since = since.saturating_sub(DRAIN);
        let instances = (0..self.fleet.instances.len()).map(Touched::Instance);
        let is_disturbed = instances
            .chain([Touched::Store])
            .any(|touched| self.notes.is_disturbed(touched, since, now));
        let total = self.fleet.upstreams.all[upstream].control.requests();
        if total > requests && !is_disturbed {
            let requests = total - requests;
            self.broken.push(Broken::WorkAfterLeaving { upstream, requests });
        }
        self.fleet.unlist(upstream);
    }

    fn come_back(&mut self, upstream: usize) {
        self.lives[upstream] += 1;
        self.fleet.list(upstream, self.lives[upstream], "ready");
    }

    fn configure(&mut self, now: Duration) {
        let version = self.front.version.load(Ordering::Relaxed) + 1;
        self.fleet.accept(version);
        self.notes.accepted.insert(version, now);
        self.front.version.store(version, Ordering::Relaxed);
    }

    fn set_link(&self, fault: Fault, is_active: bool) {
        let (link, fault) = match fault {
            Fault::StoreLink(instance, fault) => (&self.fleet.instances[instance].store, fault),
            Fault::CallerLink(instance, fault) => (&self.fleet.instances[instance].callers, fault),
            Fault::UpstreamLink(upstream, fault) => (&self.fleet.links[upstream], fault),
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

    fn set_upstream(&self, upstream: usize, fault: Option<UpstreamFault>) {
        let mut behaviour = usual_behaviour();
        match fault {
            None => {}
            Some(UpstreamFault::Errors) => behaviour.failure_rate = 0.6,
            Some(UpstreamFault::Hang) => behaviour.hang = true,
            Some(UpstreamFault::BreakAfterRun) => behaviour.abort_after_execution = true,
            Some(UpstreamFault::Crossed) => behaviour.mismatched = true,
            Some(UpstreamFault::Cut) => behaviour.truncate_after = Some(70_000),
            Some(UpstreamFault::Slow) => behaviour.latency = SERVICE_TIME * 20,
        }
        let control = &self.fleet.upstreams.all[upstream].control;
        control.set(|current| *current = behaviour);
    }

    fn look_at_processes(&mut self, now: Duration) -> Result<()> {
        for instance in 0..self.fleet.instances.len() {
            let Some(status) = self.fleet.instances[instance].take_end()? else { continue };
            if self.ending.contains(&instance) && status.success() {
                continue;
            }
            self.broken.push(Broken::Ended { instance, status: status.to_string() });
            if !self.ending.contains(&instance) {
                self.restart(now, instance)?;
            }
        }
        Ok(())
    }

    fn life(&self, instance: usize) -> u32 {
        self.front.instances[instance].life.load(Ordering::Relaxed)
    }

    fn report(mut self) -> Result<Report> {
        for upstream in &self.fleet.upstreams.all {
            let executed = upstream.control.executed();
            let ids = executed.iter().filter_map(|line| line.split_whitespace().nth(2));
            self.notes.executed.extend(ids.map(str::to_owned));
        }
        let mut broken = std::mem::take(&mut self.broken);
        broken.extend(self.notes.judge());
        let sent = self.notes.sent.len();
        let is_ok = |s: &&crate::verdict::Sent| s.outcome.is_served();
        let served = self.notes.sent.iter().filter(is_ok).count();
        let mut summary = format!("{served} of {sent} requests served, {} broken", broken.len());
        if broken.is_empty() {
            self.fleet.remove_logs()?;
        } else {
            summary += &format!(", logs in {}", self.fleet.logs().display());
        }
        let tried = if broken.is_empty() { Vec::new() } else { tried(self.plan) };
        Ok(Report { summary, tried, broken })
    }
}

fn tried(plan: &Plan) -> Vec<String> {
    plan.steps.iter().map(ToString::to_string).collect()
}

/// Takes instances in and out by their readiness, as the load balancer of the platform does.
fn balance(front: &Arc<Front>, admins: Vec<SocketAddr>) -> JoinHandle<()> {
    let front = Arc::clone(front);
    thread::spawn(move || {
        let runtime = compio::runtime::Runtime::new().expect("a runtime for the balancer");
        let asking = admins.into_iter().enumerate().map(|(instance, admin)| {
            let front = Arc::clone(&front);
            async move {
                let mut misses = 0;
                while !front.stop.load(Ordering::Relaxed) {
                    let asked = compio::time::timeout(READY_TIMEOUT, fleet::is_ready(admin));
                    misses = if asked.await.unwrap_or(false) { 0 } else { misses + 1 };
                    let is_ready = &front.instances[instance].is_ready;
                    if misses == 0 || misses >= MAX_MISSES {
                        is_ready.store(misses == 0, Ordering::Relaxed);
                    }
                    compio::time::sleep(READY_INTERVAL).await;
                }
            }
        });
        runtime.block_on(futures::future::join_all(asking));
    })
}

fn link_state(fault: LinkFault) -> LinkState {
    let usual = LinkState::default();
    match fault {
        LinkFault::Delay => {
            LinkState { forward_delay: LINK_DELAY, backward_delay: LINK_DELAY, ..usual }
        }
        LinkFault::CutForward => LinkState { forward_blocked: true, ..usual },
        LinkFault::CutBackward => LinkState { backward_blocked: true, ..usual },
        LinkFault::Down => LinkState { is_down: true, ..usual },
        LinkFault::Silence => usual,
    }
}

/// What a fault touches. A planned stop, a version, an upstream that leaves and settings that are
/// read again are no disturbances.
fn touched(fault: Fault) -> Option<Touched> {
    match fault {
        Fault::Kill(instance) | Fault::Pause(instance) => Some(Touched::Instance(instance)),
        Fault::StoreLink(instance, _) | Fault::CallerLink(instance, _) => {
            Some(Touched::Instance(instance))
        }
        Fault::StoreSilent | Fault::StoreBusy | Fault::DropHistory | Fault::EndLeases => {
            Some(Touched::Store)
        }
        Fault::UpstreamLink(..) | Fault::Upstream(..) => Some(Touched::Upstreams),
        Fault::Stop(_) | Fault::HangUp(_) | Fault::Leave(_) | Fault::Configure => None,
    }
}

/// Returns true if two faults change the same state, so that the end of one would end the other.
fn conflicts(one: Fault, other: Fault) -> bool {
    use Fault as F;
    match (one, other) {
        (
            F::Kill(a) | F::Stop(a) | F::Pause(a) | F::HangUp(a),
            F::Kill(b) | F::Stop(b) | F::Pause(b) | F::HangUp(b),
        ) => a == b,
        (F::StoreSilent | F::StoreBusy, F::StoreSilent | F::StoreBusy) => true,
        (F::StoreLink(a, _), F::StoreLink(b, _))
        | (F::CallerLink(a, _), F::CallerLink(b, _))
        | (F::UpstreamLink(a, _), F::UpstreamLink(b, _))
        | (F::Upstream(a, _), F::Upstream(b, _))
        | (F::Leave(a), F::Leave(b)) => a == b,
        _ => false,
    }
}
