//! The shipped version: all instances send their evidence to the collectors of the service.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cactustrack_health::{
    Collector, EjectionPlanner, LatencyClassifier, Observer, PendingEvidence, Report,
};
use cactustrack_types::{
    FailureDomain, Incarnation, InstanceId, Outcome, Service, Standing, UpstreamId, UpstreamView,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::profile::{DOMAINS, INSTANCES, ServiceProfile};
use crate::simulation::{CompletedRequest, Detector, Link, Scenario, UpstreamStatus};

struct Instance {
    observer: Observer,
    evidence: PendingEvidence,
    latency: LatencyClassifier,
    planner: EjectionPlanner,
    local: Collector,
    views: Vec<UpstreamView>,
    /// Reports in flight, with the step of their arrival.
    in_flight: VecDeque<(u64, Report)>,
}

/// The shipped version of the detector.
pub(crate) struct SharedDetector<'a> {
    start: Instant,
    service: Service,
    scenario: &'a Scenario,
    ids: Vec<UpstreamId>,
    instances: Vec<Instance>,
    collectors: Vec<(InstanceId, Collector)>,
    rng: SmallRng,
    step: u64,
}

impl<'a> SharedDetector<'a> {
    pub(crate) fn new(
        start: Instant,
        profile: &ServiceProfile,
        scenario: &'a Scenario,
        seed: u64,
    ) -> Self {
        let service = profile.service();
        let ids: Vec<UpstreamId> =
            (0..profile.upstreams).map(|u| format!("u{u:02}").into()).collect();
        let instances = (0..INSTANCES).map(|i| Instance::new(start, i, &service, &ids)).collect();
        let collectors = (0..scenario.collectors).map(|c| {
            let collector =
                Collector::new(start, Arc::clone(&service.id), service.detection.clone());
            (InstanceId::from(format!("c{c}")), collector)
        });
        let collectors = collectors.collect();
        let rng = SmallRng::seed_from_u64(seed ^ 0x5eed);
        Self { start, service, scenario, ids, instances, collectors, rng, step: 0 }
    }

    fn update_views(&mut self, now: Instant, index: usize) {
        let lag = (self.scenario.list_lag)(index);
        let known_until = now.saturating_duration_since(self.start).as_secs_f64() - lag;
        let instance = &mut self.instances[index];
        for (upstream, view) in instance.views.iter_mut().enumerate() {
            let (restarts, since) = (self.scenario.restarts)(known_until, upstream);
            view.incarnation = Incarnation(restarts + 1);
            view.cold_since = since.map(|since| self.start + Duration::from_secs_f64(since + lag));
        }
    }

    /// Returns whether a message between an instance and a collector is delivered.
    fn is_delivered(&mut self, instance: usize, collector: usize, is_response: bool) -> bool {
        let Link { loss, partitioned, .. } = self.scenario.link;
        let minute = self.step / 1200;
        let pair = (instance as u64 * 31 + collector as u64 * 17 + minute * 7) * 2;
        let direction = (pair + u64::from(is_response)).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40;
        let is_partitioned = (direction as f64) < partitioned * f64::from(1u32 << 24);
        !is_partitioned && (loss == 0.0 || self.rng.random::<f64>() >= loss)
    }

    fn send(&mut self, now: Instant, index: usize, report: &Report) {
        for collector in 0..self.collectors.len() {
            if !self.is_delivered(index, collector, false) {
                continue;
            }
            let (name, state) = &mut self.collectors[collector];
            state.add_report(now, report);
            let name = InstanceId::clone(name);
            if !self.is_delivered(index, collector, true) {
                continue;
            }
            let planner = &mut self.instances[index].planner;
            let seq = planner.seq(&name, Incarnation(1));
            let verdicts = self.collectors[collector].1.verdicts_since(seq);
            planner.apply_verdicts(now, &name, Incarnation(1), &verdicts);
        }
    }
}

impl Instance {
    fn new(start: Instant, index: usize, service: &Service, ids: &[UpstreamId]) -> Self {
        let domain = |index: usize| FailureDomain::from(format!("d{}", index % DOMAINS));
        let view = |(upstream, id): (usize, &UpstreamId)| UpstreamView {
            id: UpstreamId::clone(id),
            service: Arc::clone(&service.id),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            failure_domain: domain(upstream),
            region: Arc::from("r0"),
            incarnation: Incarnation(1),
            leaving: false,
            cold_since: None,
        };
        Self {
            observer: Observer {
                instance: format!("i{index:02}").into(),
                incarnation: Incarnation(1),
                failure_domain: domain(index),
            },
            evidence: PendingEvidence::new(),
            latency: LatencyClassifier::new(service.detection.slow_factor),
            planner: EjectionPlanner::new(start, Arc::clone(&service.id)),
            local: Collector::new(start, Arc::clone(&service.id), service.detection.clone()),
            views: ids.iter().enumerate().map(view).collect(),
            in_flight: VecDeque::new(),
        }
    }
}

impl Detector for SharedDetector<'_> {
    fn record(&mut self, now: Instant, request: CompletedRequest) {
        let instance = &mut self.instances[request.instance];
        let id = &self.ids[request.upstream];
        let outcome = if request.failed {
            Outcome::Failed
        } else {
            instance.latency.classify(now, id, request.latency)
        };
        instance.evidence.record(now, id, instance.views[request.upstream].incarnation, outcome);
    }

    fn step(&mut self, now: Instant, step: u64) {
        self.step = step;
        if step.is_multiple_of(self.scenario.steps_per_tick) {
            self.collectors.iter_mut().for_each(|(_, collector)| collector.tick(now));
        }
    }

    fn exchange(&mut self, now: Instant, index: usize, statuses: &mut Vec<UpstreamStatus>) {
        self.update_views(now, index);
        let instance = &mut self.instances[index];
        let report = Report {
            observer: instance.observer.clone(),
            service: Arc::clone(&self.service.id),
            entries: instance.evidence.take_report(now),
        };
        if self.scenario.link.partitioned > 0.0 {
            instance.local.add_report(now, &report);
            instance.local.tick(now);
        }
        let delay = if index.is_multiple_of(3) { self.scenario.link.late_steps } else { 0 };
        instance.in_flight.push_back((self.step + delay, report));
        while let Some((_, report)) =
            self.instances[index].in_flight.pop_front_if(|(arrival, _)| *arrival <= self.step)
        {
            self.send(now, index, &report);
        }
        let instance = &mut self.instances[index];
        let is_idle = self.collectors.iter().all(|(_, collector)| collector.seq() == 0);
        if is_idle
            && self.scenario.link.partitioned == 0.0
            && instance.views.iter().all(|view| view.cold_since.is_none())
        {
            return;
        }
        let local = instance.local.verdicts_since(0);
        let domain = &instance.observer.failure_domain;
        let plan = instance.planner.plan(now, &self.service, domain, &instance.views, &local);
        for (status, id) in statuses.iter_mut().zip(&self.ids) {
            let Some(share) = plan.get(id) else { continue };
            let is_faulty = matches!(share.standing, Standing::Ejected | Standing::KeptForFloor);
            *status = UpstreamStatus { weight: share.weight, is_faulty };
        }
    }
}
