//! What an instance knows of the fleet's requests and of the upstreams' health.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use cactustrack_types::{Incarnation, InstanceId, ServiceId, UpstreamId};

use crate::budget::{BudgetLimits, Knowledge, RetryBudget};
use crate::load::FleetLoad;
use crate::message::{Event, InFlight, Notice, Observation, short_upstream, to_ms};
use crate::observers::Observers;
use crate::recent::Recent;
use crate::suspicion::{Suspicion, long_run_mean};
use crate::waiting::{Overdue, Waiting};

/// Service time that is assumed before the first answer.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(300);

/// Answers that take less than this, in milliseconds, do not count in the mean. They need no work,
/// and many of them would make every other answer look slow.
const MIN_SERVICE_TIME_MS: u32 = 15;

/// Weight of a new answer in the mean service time.
const SERVICE_TIME_WEIGHT: f64 = 0.03;

/// An answer is slow if it takes longer than this many times the mean.
const SLOW_FACTOR: f64 = 3.5;

/// Weight of failures that may lie on the path of the instance that reports them.
const PATH_FAILURE_WEIGHT: f64 = 0.6;

/// Part of the retry budget up to which attempts may be made that are not certain to be needed.
const HEDGE_BUDGET_SHARE: f64 = 0.5;

/// Attempts of this instance and of the others, and what follows from them.
pub struct FleetView {
    own: InstanceId,
    load: FleetLoad,
    fleet: HashMap<UpstreamId, Suspicion>,
    /// What this instance saw itself. Its path to an upstream can be bad while others reach it.
    seen: HashMap<UpstreamId, Suspicion>,
    lives: HashMap<UpstreamId, Incarnation>,
    /// When an upstream last got a request from any instance.
    last_used: HashMap<UpstreamId, Instant>,
    observers: Observers,
    budgets: HashMap<ServiceId, RetryBudget>,
    service_times: HashMap<ServiceId, Duration>,
    recent: HashMap<ServiceId, Recent>,
    waiting: Waiting,
}

impl FleetView {
    /// Creates the view of an instance that has heard nothing.
    pub fn new(own: InstanceId) -> Self {
        Self {
            own,
            load: FleetLoad::default(),
            fleet: HashMap::new(),
            seen: HashMap::new(),
            lives: HashMap::new(),
            last_used: HashMap::new(),
            observers: Observers::default(),
            budgets: HashMap::new(),
            service_times: HashMap::new(),
            recent: HashMap::new(),
            waiting: Waiting::default(),
        }
    }

    /// Requests in flight.
    pub fn load(&self) -> &FleetLoad {
        &self.load
    }

    /// Notes an attempt of this instance and returns what the others have to know.
    pub fn start(
        &mut self,
        now: Instant,
        service: &ServiceId,
        upstream: &UpstreamId,
        extra: bool,
    ) -> Notice {
        let in_flight = self.load.start(upstream);
        self.last_used.insert(upstream.clone(), now);
        self.budgets.entry(service.clone()).or_default().on_own(now, extra);
        self.recent.entry(service.clone()).or_default().on_start(now);
        self.waiting.on_start(now, service, upstream);
        let event = Event::Started { extra };
        Notice { upstream: short_upstream(upstream), in_flight, event }
    }

    /// Notes the end of an attempt of this instance and returns what the others have to know.
    pub fn finish(
        &mut self,
        now: Instant,
        service: &ServiceId,
        upstream: &UpstreamId,
        ended: Ended,
    ) -> Notice {
        let in_flight = self.load.finish(upstream);
        let was_told = self.waiting.on_end(upstream, ended.has_head);
        let observed = ended.observed.filter(|observed| !(was_told && observed.is_late()));
        if let Some(observed) = observed {
            let seen = self.seen.entry(upstream.clone()).or_insert_with(|| Suspicion::new(now));
            seen.observe(now, observed, 1.0);
            let own = self.own.clone();
            self.observe(now, &own, upstream, observed);
        }
        let event =
            Event::Ended { observed, latency_ms: to_ms(ended.latency), unqueued: ended.unqueued };
        self.learn_service_time(service, event);
        Notice { upstream: short_upstream(upstream), in_flight, event }
    }

    /// Takes a notice of another instance into account, which concerns an upstream of a service.
    pub fn on_notice(
        &mut self,
        now: Instant,
        from: &InstanceId,
        notice: &Notice,
        service: &ServiceId,
        upstream: &UpstreamId,
    ) {
        self.load.set_peer(now, from, upstream, notice.in_flight);
        match notice.event {
            Event::Started { extra } => {
                let budget = self.budgets.entry(service.clone()).or_default();
                budget.on_fleet(now, extra);
                self.recent.entry(service.clone()).or_default().on_start(now);
                self.last_used.insert(upstream.clone(), now);
            }
            Event::Ended { observed, .. } => {
                self.learn_service_time(service, notice.event);
                if let Some(observed) = observed {
                    self.observe(now, from, upstream, observed);
                }
            }
            Event::Overdue => self.observe(now, from, upstream, Observation::Overdue),
        }
    }

    /// Notes the head of an answer to an attempt of this instance.
    pub fn on_head(&mut self, upstream: &str) {
        self.waiting.on_head(upstream);
    }

    /// Finds attempts of this instance that wait for longer than usual, and returns them with what
    /// the others have to know.
    pub fn take_overdue(&mut self, now: Instant) -> Vec<(Overdue, Notice)> {
        let mut waiting = std::mem::take(&mut self.waiting);
        let limit = |service: &ServiceId| self.service_time(service).mul_f64(SLOW_FACTOR);
        let overdue = waiting.take_overdue(now, limit);
        self.waiting = waiting;
        let tell = |overdue: Overdue| {
            let notice = self.tell_overdue(now, &overdue.upstream);
            (overdue, notice)
        };
        overdue.into_iter().map(tell).collect()
    }

    fn tell_overdue(&mut self, now: Instant, upstream: &UpstreamId) -> Notice {
        let seen = self.seen.entry(upstream.clone()).or_insert_with(|| Suspicion::new(now));
        seen.observe(now, Observation::Overdue, 1.0);
        let own = self.own.clone();
        self.observe(now, &own, upstream, Observation::Overdue);
        let in_flight = self.load.own_at(upstream);
        Notice { upstream: short_upstream(upstream), in_flight, event: Event::Overdue }
    }

    /// Takes the counts of another instance into account.
    pub fn on_heartbeat(&mut self, now: Instant, from: &InstanceId, in_flight: &[InFlight]) {
        self.load.replace_peer(now, from, in_flight);
    }

    /// Drops what an instance that left had in flight.
    pub fn forget_peer(&mut self, peer: &InstanceId) {
        self.load.forget_peer(peer);
    }

    /// Drops what is out of date.
    pub fn expire(&mut self, now: Instant) {
        self.load.expire(now);
        self.observers.expire(now);
    }

    /// Notes a life of an upstream. A new one shares nothing with the former.
    pub fn set_life(&mut self, upstream: &UpstreamId, incarnation: Incarnation) {
        if self
            .lives
            .insert(upstream.clone(), incarnation)
            .is_some_and(|known| known != incarnation)
        {
            self.fleet.remove(upstream);
            self.seen.remove(upstream);
        }
    }

    /// Drops what is known of an upstream that is gone.
    pub fn forget_upstream(&mut self, upstream: &UpstreamId) {
        self.fleet.remove(upstream);
        self.seen.remove(upstream);
        self.lives.remove(upstream);
        self.last_used.remove(upstream);
    }

    /// Probability that an upstream is faulty, as the fleet sees it and as this instance does.
    pub fn fault(&self, now: Instant, upstream: &str) -> (f64, f64) {
        let of = |known: &HashMap<UpstreamId, Suspicion>| {
            known.get(upstream).map_or_else(long_run_mean, |known| known.probability(now))
        };
        (of(&self.fleet), of(&self.seen))
    }

    /// Time for which an upstream got no request, `None` if it never got one.
    pub fn unused(&self, now: Instant, upstream: &str) -> Option<Duration> {
        self.last_used.get(upstream).map(|at| now.saturating_duration_since(*at))
    }

    /// Returns true if the failures that this instance sees are more likely its own.
    pub fn is_self_doubted(&self) -> bool {
        self.observers.is_doubted(&self.own)
    }

    /// Recent attempts of the fleet at a service.
    pub fn recent(&self, service: &str) -> Recent {
        self.recent.get(service).copied().unwrap_or_default()
    }

    /// Mean time in which upstreams of a service answer when they have a slot free.
    pub fn service_time(&self, service: &str) -> Duration {
        self.service_times.get(service).copied().unwrap_or(INITIAL_SERVICE_TIME)
    }

    /// What a complete answer says about its upstream, by the time that it took.
    pub fn judge(&self, service: &str, latency: Duration) -> Observation {
        let slow_after = self.service_time(service).mul_f64(SLOW_FACTOR);
        if latency > slow_after { Observation::Slow } else { Observation::Served }
    }

    /// Notes that an upstream refused a request as busy.
    pub fn set_full(&mut self, now: Instant, upstream: &UpstreamId) {
        self.load.set_full(now, upstream);
    }

    /// Returns true if the budget of a service has room for an attempt beyond the first one. A
    /// hedge may use only a part of it, so that failed requests find room.
    pub fn allows_extra(
        &mut self,
        now: Instant,
        service: &ServiceId,
        limits: BudgetLimits,
        knowledge: Knowledge,
        is_hedge: bool,
    ) -> bool {
        let share = if is_hedge { HEDGE_BUDGET_SHARE } else { 1.0 };
        let limits =
            BudgetLimits { ratio: limits.ratio * share, slack: limits.slack * share, ..limits };
        let budget = self.budgets.entry(service.clone()).or_default();
        budget.allows(now, limits, knowledge)
    }

    fn observe(
        &mut self,
        now: Instant,
        from: &InstanceId,
        upstream: &UpstreamId,
        observed: Observation,
    ) {
        let mut weight = self.observers.weigh(now, from, upstream, observed);
        if matches!(observed, Observation::Unreachable | Observation::NoAnswer) {
            weight *= PATH_FAILURE_WEIGHT;
        }
        let known = self.fleet.entry(upstream.clone()).or_insert_with(|| Suspicion::new(now));
        known.observe(now, observed, weight);
    }

    fn learn_service_time(&mut self, service: &ServiceId, event: Event) {
        let Event::Ended { observed: Some(Observation::Served), latency_ms, unqueued: true } =
            event
        else {
            return;
        };
        if latency_ms < MIN_SERVICE_TIME_MS {
            return;
        }
        let known = self.service_times.entry(service.clone()).or_insert(INITIAL_SERVICE_TIME);
        let sample = f64::from(latency_ms) / 1_000.0;
        let mean = known.as_secs_f64();
        *known = Duration::from_secs_f64(mean + SERVICE_TIME_WEIGHT * (sample - mean));
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    /// What it says about the upstream, if anything.
    pub observed: Option<Observation>,
    /// Time to the head of the answer.
    pub latency: Duration,
    /// True if the upstream had a slot free when the attempt started.
    pub unqueued: bool,
    /// True if the head of an answer arrived.
    pub has_head: bool,
}
