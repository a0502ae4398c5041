//! Checks that the capacity in service never falls below the floor, under random schedules of
//! overlapping faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cactustrack_health::EjectionPlanner;
use cactustrack_types::{
    Counts, FailureDomain, Incarnation, InstanceId, Scope, Service, UpstreamId, UpstreamView,
    Verdict, VerdictHealth,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::profile::{PROFILES, with_target};

/// Number of schedules for all services together.
const SCHEDULES: u64 = 12_000;
/// Number of steps of a schedule.
const STEPS: usize = 60;
/// Number of instances, each with its own view of the verdicts.
const INSTANCES: usize = 3;

/// Number of threads that share the schedules.
const THREADS: u64 = 6;

/// Runs all schedules and prints the smallest capacity relative to the floor.
pub(crate) fn run() {
    let results: Vec<Summary> = std::thread::scope(|scope| {
        let part = |thread| move || run_schedules((thread..SCHEDULES).step_by(THREADS as usize));
        let threads: Vec<_> = (0..THREADS).map(|thread| scope.spawn(part(thread))).collect();
        threads.into_iter().filter_map(|thread| thread.join().ok()).collect()
    });
    let smallest = results.iter().map(|part| part.smallest).fold(f64::INFINITY, f64::min);
    let violations: u64 = results.iter().map(|part| part.violations).sum();
    let binding: u64 = results.iter().map(|part| part.binding).sum();
    let steps: u64 = results.iter().map(|part| part.steps).sum();
    assert_eq!(steps, SCHEDULES * STEPS as u64, "every schedule runs to its end");
    println!("floor, schedules: {SCHEDULES} schedules");
    println!(
        "floor, steps where it limited ejections: {:.1} %",
        100.0 * binding as f64 / steps as f64
    );
    let line = format!("floor, smallest capacity in service ÷ floor: {smallest:.6}");
    println!("{}", with_target(&line, "at least 1", smallest >= 1.0));
    let line = format!("floor, steps below: {violations} steps");
    println!("{}", with_target(&line, "0", violations == 0));
}

/// Results of a set of schedules.
struct Summary {
    /// Smallest ratio of capacity in service to the floor.
    smallest: f64,
    /// Number of steps below the floor.
    violations: u64,
    /// Number of steps where the floor limited ejections.
    binding: u64,
    steps: u64,
}

fn run_schedules(seeds: impl Iterator<Item = u64>) -> Summary {
    let mut summary = Summary { smallest: f64::INFINITY, violations: 0, binding: 0, steps: 0 };
    for seed in seeds {
        let mut schedule = Schedule::new(seed);
        for _ in 0..STEPS {
            let (ratio, is_binding) = schedule.step();
            summary.steps += 1;
            summary.smallest = summary.smallest.min(ratio);
            summary.violations += u64::from(ratio < 1.0);
            summary.binding += u64::from(is_binding);
        }
    }
    summary
}

struct Schedule {
    rng: SmallRng,
    service: Service,
    now: Instant,
    views: Vec<UpstreamView>,
    listed: Vec<bool>,
    faulty: Vec<bool>,
    planners: Vec<EjectionPlanner>,
    seq: u64,
}

impl Schedule {
    fn new(seed: u64) -> Self {
        let profile = &PROFILES[(seed % PROFILES.len() as u64) as usize];
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut service = profile.service();
        service.floor_slots = rng.random_range(0..=profile.slots * (profile.upstreams as u32 + 1));
        let now = Instant::now();
        let view = |upstream: usize| UpstreamView {
            id: UpstreamId::from(format!("u{upstream:02}")),
            service: Arc::clone(&service.id),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            failure_domain: FailureDomain::from("d0"),
            region: Arc::from("r0"),
            incarnation: Incarnation(1),
            leaving: false,
            cold_since: None,
        };
        let views: Vec<UpstreamView> = (0..profile.upstreams).map(view).collect();
        let planner = || EjectionPlanner::new(now, Arc::clone(&service.id));
        Self {
            planners: (0..INSTANCES).map(|_| planner()).collect(),
            listed: vec![true; views.len()],
            faulty: vec![false; views.len()],
            views,
            rng,
            service,
            now,
            seq: 0,
        }
    }

    /// Runs one step. Returns the smallest ratio over the instances of capacity in service to
    /// min(floor, capacity without ejections), and whether the floor limited ejections.
    fn step(&mut self) -> (f64, bool) {
        self.now += Duration::from_millis(self.rng.random_range(1..8000));
        for upstream in 0..self.views.len() {
            self.change(upstream);
        }
        let verdicts: Vec<Verdict> = (0..self.views.len()).map(|u| self.verdict(u)).collect();
        let mut smallest = f64::INFINITY;
        let mut binding = false;
        for instance in 0..INSTANCES {
            for collector in 0..3 {
                if self.rng.random::<f64>() < 0.6 {
                    let received: Vec<Verdict> = verdicts
                        .iter()
                        .filter(|_| self.rng.random::<f64>() < 0.8)
                        .cloned()
                        .collect();
                    let name = InstanceId::from(format!("c{collector}"));
                    self.planners[instance].apply_verdicts(
                        self.now,
                        &name,
                        Incarnation(1),
                        &received,
                    );
                }
            }
            let (ratio, is_binding) = self.measure(instance, &verdicts);
            smallest = smallest.min(ratio);
            binding |= is_binding;
        }
        (smallest, binding)
    }

    fn change(&mut self, upstream: usize) {
        let draw = self.rng.random::<f64>();
        if draw < 0.15 {
            self.faulty[upstream] = !self.faulty[upstream];
        } else if draw < 0.18 {
            self.views[upstream].leaving = !self.views[upstream].leaving;
        } else if draw < 0.21 {
            self.listed[upstream] = !self.listed[upstream];
        } else if draw < 0.24 {
            self.views[upstream].incarnation.0 += 1;
            self.views[upstream].cold_since = Some(self.now);
        }
    }

    fn verdict(&mut self, upstream: usize) -> Verdict {
        self.seq += 1;
        let health = match (self.faulty[upstream], self.rng.random_range(0..4)) {
            (false, _) => VerdictHealth::Healthy,
            (true, 0) => VerdictHealth::Faulty { scope: Scope::Domain(FailureDomain::from("d0")) },
            (true, _) => VerdictHealth::Faulty { scope: Scope::Everywhere },
        };
        let view = &self.views[upstream];
        Verdict {
            upstream: UpstreamId::clone(&view.id),
            incarnation: view.incarnation,
            health,
            score: self.rng.random::<f64>() * 30.0,
            threshold: 15.0,
            evidence: Counts {
                ok: self.rng.random_range(0..100),
                failed: self.rng.random_range(0..100),
                ..Counts::default()
            },
            observers: 5,
            seq: self.seq,
        }
    }

    fn measure(&mut self, instance: usize, local: &[Verdict]) -> (f64, bool) {
        let listed = self.views.iter().zip(&self.listed).filter(|(_, listed)| **listed);
        let views: Vec<UpstreamView> = listed.map(|(view, _)| view.clone()).collect();
        let domain = FailureDomain::from(format!("d{}", instance % 2));
        let plan = self.planners[instance].plan(self.now, &self.service, &domain, &views, local);
        let slots = f64::from(self.service.slots);
        let live = views.iter().filter(|view| !view.leaving);
        let full =
            live.clone().map(|view| slots * ramp(self.now, view, &self.service)).sum::<f64>();
        let in_service = live.map(|view| slots * plan[&view.id].weight).sum::<f64>();
        let needed = full.min(f64::from(self.service.floor_slots));
        let kept = plan.values().any(|s| s.standing == cactustrack_types::Standing::KeptForFloor);
        // The tolerance of a billionth of a slot allows for rounding of sums in different orders.
        let ratio = if needed > 0.0 { (in_service + 1e-9) / needed } else { f64::INFINITY };
        (ratio, kept)
    }
}

/// Returns the weight of a cold upstream by the definition: from 0.1 to 1 over the ramp time.
fn ramp(now: Instant, view: &UpstreamView, service: &Service) -> f64 {
    let Some(since) = view.cold_since else { return 1.0 };
    let share = (now - since).as_secs_f64() / service.ramp.0.as_secs_f64();
    (0.1 + 0.9 * share).min(1.0)
}
