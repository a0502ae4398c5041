//! State of the fleet as one instance knows it: requests in flight and health of upstreams.

use std::time::{Duration, Instant};

use cactustrack_types::{Incarnation, InstanceId, ServiceId, UpstreamId};
use rapidhash::RapidHashMap;

use crate::attempt_rate::AttemptRate;
use crate::attempt_totals::{AttemptTotals, OwnTotals, PeerTotals, Sender, ServiceTotals};
use crate::budget::{BudgetDecision, BudgetLimits, RetryBudget, SlackShare};
use crate::failure_share::FailureShare;
use crate::load::FleetLoad;
use crate::message::{
    Event, InFlight, Notice, Observation, ShortId, short_service_id, short_upstream_id, to_ms,
};
use crate::observers::Observers;
use crate::peers::AcceptedReport;
use crate::pending::{OverdueAttempt, PendingAttempts};
use crate::progress::{AttemptsInProgress, ResponseTimes};
use crate::records::UpstreamRecords;
use crate::rejections::Rejections;
use crate::service_times::ServiceTimes;
use crate::suspicion::Suspicion;

/// Multiple of the mean service time above which a response is slow.
const SLOW_FACTOR: f64 = 3.5;

/// Weight of failures that may be caused by the network path of the reporting instance.
const PATH_FAILURE_WEIGHT: f64 = 0.6;

/// Load, health and retry budgets derived from the attempts of this instance and of the others.
pub struct FleetView {
    own: InstanceId,
    load: FleetLoad,
    records: UpstreamRecords,
    observers: Observers,
    rejections: Rejections,
    budgets: RapidHashMap<ShortId, RetryBudget>,
    service_times: ServiceTimes,
    in_progress: AttemptsInProgress,
    attempt_rates: RapidHashMap<ShortId, AttemptRate>,
    failure_shares: RapidHashMap<ServiceId, FailureShare>,
    own_totals: OwnTotals,
    peer_totals: PeerTotals,
    pending: PendingAttempts,
}

impl FleetView {
    /// Creates a view without attempts.
    pub fn new(own: InstanceId) -> Self {
        Self {
            own,
            load: FleetLoad::default(),
            records: UpstreamRecords::default(),
            observers: Observers::default(),
            rejections: Rejections::default(),
            budgets: RapidHashMap::default(),
            service_times: ServiceTimes::default(),
            in_progress: AttemptsInProgress::default(),
            attempt_rates: RapidHashMap::default(),
            failure_shares: RapidHashMap::default(),
            own_totals: OwnTotals::default(),
            peer_totals: PeerTotals::default(),
            pending: PendingAttempts::default(),
        }
    }

    /// Returns the requests in flight.
    pub fn load(&self) -> &FleetLoad {
        &self.load
    }

    /// Records the start of an attempt of this instance and returns the notice for the others.
    pub fn start(
        &mut self,
        now: Instant,
        service: &ServiceId,
        upstream: &UpstreamId,
        extra: bool,
    ) -> Notice {
        let in_flight = self.load.start(upstream);
        self.records.get_mut(upstream).last_used = Some(now);
        let short = short_service_id(service);
        if !extra {
            self.budgets.entry(short).or_default().record_request(now);
        }
        self.attempt_rates.entry(short).or_default().on_start(now, 1);
        self.pending.on_start(now, service, upstream);
        self.in_progress.on_start(now, &self.own, upstream);
        let event = Event::Started { extra, totals: self.own_totals.add(short, extra) };
        Notice { upstream: short_upstream_id(upstream), in_flight, event }
    }

    /// Records the end of an attempt of this instance and returns the notice for the others.
    pub fn finish(
        &mut self,
        now: Instant,
        service: &ServiceId,
        upstream: &UpstreamId,
        end: AttemptEnd,
    ) -> Notice {
        let in_flight = self.load.finish(upstream);
        let was_reported = self.pending.on_end(upstream, end.has_head);
        if !end.has_head {
            self.in_progress.on_end(&self.own, upstream);
        }
        let observed = end.observed.filter(|observed| !(was_reported && observed.is_late()));
        if let Some(observed) = observed {
            self.count_failure(now, service, observed);
            self.count_for_rejections(now, service, upstream, observed, end.had_free_slot);
            let share = self.rejected_elsewhere(now, service, upstream, observed);
            let suspicion = &mut self.records.get_mut(upstream).own_suspicion;
            let suspicion = suspicion.get_or_insert_with(|| Suspicion::new(now));
            update_suspicion(suspicion, now, observed, 1.0, share);
            let own = self.own.clone();
            self.observe(now, &own, service, upstream, observed);
        }
        let event = Event::Ended {
            observed,
            latency_ms: to_ms(end.latency),
            had_free_slot: end.had_free_slot,
        };
        self.service_times.on_end(service, event);
        Notice { upstream: short_upstream_id(upstream), in_flight, event }
    }

    /// Applies a notice of another instance about an upstream of a service. An overtaken notice has
    /// an outdated count of requests in flight, which is ignored.
    pub fn on_notice(
        &mut self,
        now: Instant,
        report: &AcceptedReport,
        notice: &Notice,
        service: &ServiceId,
        upstream: &UpstreamId,
    ) {
        let from = &report.sender;
        if report.is_latest {
            self.load.set_peer(now, &from.instance, upstream, notice.in_flight);
        }
        match notice.event {
            Event::Started { extra, totals } => {
                let service = short_service_id(service);
                let new = self.peer_totals.on_attempt(now, from, service, extra, totals);
                self.count_peer_attempts(now, service, new);
                self.records.get_mut(upstream).last_used = Some(now);
                self.in_progress.on_start(now, &from.instance, upstream);
            }
            Event::Ended { observed, had_free_slot, .. } => {
                self.in_progress.on_end(&from.instance, upstream);
                self.service_times.on_end(service, notice.event);
                if let Some(observed) = observed {
                    self.count_failure(now, service, observed);
                    self.count_for_rejections(now, service, upstream, observed, had_free_slot);
                    self.observe(now, &from.instance, service, upstream, observed);
                }
            }
            Event::Overdue => {
                self.in_progress.on_overdue(&from.instance, upstream);
                self.observe(now, &from.instance, service, upstream, Observation::Overdue);
            }
        }
    }

    /// Records the arrival of a response head for an attempt of this instance.
    pub fn on_head(&mut self, upstream: &str) {
        self.pending.on_head(upstream);
        self.in_progress.on_end(&self.own, upstream);
    }

    /// Returns the attempts of this instance that have become overdue, with the notices for the
    /// others. Each attempt is returned once.
    pub fn take_overdue(&mut self, now: Instant) -> Vec<(OverdueAttempt, Notice)> {
        let mut pending = std::mem::take(&mut self.pending);
        let limit = |service: &ServiceId| self.service_time(service).mul_f64(SLOW_FACTOR);
        let overdue = pending.take_overdue(now, limit);
        self.pending = pending;
        let report = |overdue: OverdueAttempt| {
            let notice = self.report_overdue(now, &overdue.service, &overdue.upstream);
            (overdue, notice)
        };
        overdue.into_iter().map(report).collect()
    }

    fn report_overdue(
        &mut self,
        now: Instant,
        service: &ServiceId,
        upstream: &UpstreamId,
    ) -> Notice {
        let suspicion = &mut self.records.get_mut(upstream).own_suspicion;
        let suspicion = suspicion.get_or_insert_with(|| Suspicion::new(now));
        suspicion.observe(now, Observation::Overdue, 1.0);
        self.in_progress.on_overdue(&self.own, upstream);
        let own = self.own.clone();
        self.observe(now, &own, service, upstream, Observation::Overdue);
        let in_flight = self.load.own_in_flight(upstream);
        Notice { upstream: short_upstream_id(upstream), in_flight, event: Event::Overdue }
    }

    /// Replaces the counts of requests that another instance has in flight, and counts the attempts
    /// whose notices have not been received.
    pub fn on_heartbeat(
        &mut self,
        now: Instant,
        from: &Sender,
        in_flight: &[InFlight],
        totals: &[ServiceTotals],
    ) {
        for upstream in self.load.upstreams_of_peer(&from.instance) {
            let stated = in_flight.iter().find(|entry| entry.upstream == upstream);
            let count = stated.map_or(0, |entry| entry.count);
            self.in_progress.limit(&from.instance, &upstream, count);
        }
        self.load.replace_peer(now, &from.instance, in_flight);
        for ServiceTotals { service, totals } in self.peer_totals.on_heartbeat(now, from, totals) {
            self.count_peer_attempts(now, service, totals);
        }
    }

    /// Returns the attempts of this instance for a heartbeat.
    pub fn next_totals(&mut self) -> Vec<ServiceTotals> {
        self.own_totals.next_statement()
    }

    fn count_peer_attempts(&mut self, now: Instant, service: ShortId, attempts: AttemptTotals) {
        let count = attempts.first.saturating_add(attempts.extra);
        self.attempt_rates.entry(service).or_default().on_start(now, count);
    }

    /// Removes the counts of requests that an instance had in flight.
    pub fn remove_peer(&mut self, peer: &InstanceId) {
        self.load.remove_peer(peer);
        self.in_progress.remove_instance(peer);
    }

    /// Removes expired counts and reports.
    pub fn expire(&mut self, now: Instant) {
        self.load.expire(now);
        self.in_progress.expire(now);
        self.observers.expire(now);
        self.rejections.expire(now);
        self.peer_totals.expire(now);
    }

    /// Sets the incarnation of an upstream. Suspicion of an earlier incarnation is removed.
    pub fn set_incarnation(&mut self, upstream: &UpstreamId, incarnation: Incarnation) {
        if self.records.set_incarnation(upstream, incarnation) {
            self.in_progress.remove_upstream(upstream);
        }
    }

    /// Removes the state of an upstream that is no longer listed.
    pub fn remove_upstream(&mut self, upstream: &UpstreamId) {
        self.records.remove(upstream);
        self.in_progress.remove_upstream(upstream);
    }

    /// Returns the probability that an upstream is faulty, according to the observations of the
    /// whole fleet and according to those of this instance.
    pub fn fault_probability(&self, now: Instant, upstream: &str) -> (f64, f64) {
        self.records.get(upstream).fault_probability(now)
    }

    /// Returns the probability that an upstream with this number of slots is faulty, according to
    /// the observations of the whole fleet and the age of its attempts in progress.
    pub fn current_fault_probability(
        &self,
        now: Instant,
        service: &str,
        upstream: &str,
        slots: u32,
    ) -> f64 {
        self.assess(now, upstream, slots, self.response_times(service)).fault_probability
    }

    /// Returns the response times of a service, to assess its upstreams.
    pub fn response_times(&self, service: &str) -> ResponseTimes {
        self.service_times.distribution(service)
    }

    /// Assesses an upstream with this number of slots, of a service with these response times.
    pub fn assess(
        &self,
        now: Instant,
        upstream: &str,
        slots: u32,
        times: ResponseTimes,
    ) -> Assessment {
        let record = self.records.get(upstream);
        let (prior, own_fault_probability) = record.fault_probability(now);
        Assessment {
            fault_probability: self.in_progress.weigh_age(now, upstream, slots, times, prior),
            own_fault_probability,
            in_flight: self.load.in_flight(upstream),
            is_full: self.load.is_full(now, upstream),
            idle_time: record.last_used.map(|at| now.saturating_duration_since(at)),
        }
    }

    /// Returns the time since the last attempt of any instance at an upstream, `None` if there was
    /// none.
    pub fn idle_time(&self, now: Instant, upstream: &str) -> Option<Duration> {
        let last_used = self.records.get(upstream).last_used;
        last_used.map(|at| now.saturating_duration_since(at))
    }

    /// Returns the time since the last notice about an upstream, of this instance or another one.
    pub fn notice_age(&self, now: Instant, upstream: &str) -> Option<Duration> {
        let last_notice = self.records.get(upstream).last_notice();
        last_notice.map(|at| now.saturating_duration_since(at))
    }

    /// Returns true if the failures that this instance observes are probably caused by its own
    /// link.
    pub fn is_own_link_suspected(&self) -> bool {
        self.observers.is_link_suspected(&self.own)
    }

    /// Returns the rate of attempts of the fleet at a service.
    pub fn attempt_rate(&self, service: &str) -> AttemptRate {
        self.attempt_rates.get(&short_service_id(service)).copied().unwrap_or_default()
    }

    /// Returns the share of the recent attempts of the fleet at a service that have failed.
    pub fn failure_share(&self, now: Instant, service: &str) -> f64 {
        self.failure_shares.get(service).map_or(0.0, |known| known.get(now))
    }

    /// Returns the mean response time of upstreams of a service that have a free slot.
    pub fn service_time(&self, service: &str) -> Duration {
        self.service_times.mean(service)
    }

    /// Classifies a complete response as usual or slow by its latency.
    pub fn classify(&self, service: &str, latency: Duration) -> Observation {
        let slow_after = self.service_time(service).mul_f64(SLOW_FACTOR);
        if latency > slow_after { Observation::Slow } else { Observation::Served }
    }

    /// Records that an upstream rejected a request as busy.
    pub fn set_full(&mut self, now: Instant, upstream: &UpstreamId) {
        self.load.set_full(now, upstream);
    }

    /// Records that the machine was suspended for a time that the clock of the process does not
    /// show.
    pub fn on_suspended(&mut self, gap: Duration) {
        for budget in self.budgets.values_mut() {
            budget.on_suspended(gap);
        }
    }

    /// Decides whether the retry budget of a service allows a retry or a hedge, and counts it if it
    /// does.
    pub fn try_extra(
        &mut self,
        now: Instant,
        service: &str,
        limits: BudgetLimits,
        share: SlackShare,
        is_hedge: bool,
    ) -> BudgetDecision {
        let budget = self.budgets.entry(short_service_id(service)).or_default();
        budget.try_extra(now, limits, share, is_hedge)
    }

    /// Decides whether another instance may make an extra attempt at a service in place of this
    /// one. An instance without requests to the service has nothing to give.
    pub fn try_grant(
        &mut self,
        now: Instant,
        service: ShortId,
        limits: BudgetLimits,
        share: SlackShare,
        is_hedge: bool,
    ) -> bool {
        let Some(budget) = self.budgets.get_mut(&service) else { return false };
        budget.try_grant(now, limits, share, is_hedge).is_allowed
    }

    fn observe(
        &mut self,
        now: Instant,
        from: &InstanceId,
        service: &ServiceId,
        upstream: &UpstreamId,
        observed: Observation,
    ) {
        let mut weight = self.observers.weigh(now, from, upstream, observed);
        if matches!(observed, Observation::Unreachable | Observation::NoResponse) {
            weight *= PATH_FAILURE_WEIGHT;
        }
        let share = self.rejected_elsewhere(now, service, upstream, observed);
        let suspicion = &mut self.records.get_mut(upstream).fleet_suspicion;
        let suspicion = suspicion.get_or_insert_with(|| Suspicion::new(now));
        update_suspicion(suspicion, now, observed, weight, share);
    }

    /// Returns the share of rejections at the other upstreams of the service. It is needed only if
    /// the observation is a rejection, and zero otherwise.
    fn rejected_elsewhere(
        &self,
        now: Instant,
        service: &ServiceId,
        upstream: &UpstreamId,
        observed: Observation,
    ) -> f64 {
        if observed != Observation::RejectedWithFreeSlot {
            return 0.0;
        }
        self.rejections.share_elsewhere(now, service, upstream)
    }

    /// Counts the end of an attempt for the share of failures at the service. A rejection shows a lack
    /// of capacity, which trials of suspected upstreams would only reduce.
    fn count_failure(&mut self, now: Instant, service: &ServiceId, observed: Observation) {
        if observed == Observation::RejectedWithFreeSlot {
            return;
        }
        let known = self.failure_shares.entry(service.clone()).or_default();
        known.on_end(now, observed.is_failure());
    }

    /// Counts the end of an attempt for the share of rejections at the service. Attempts at
    /// upstreams without a free slot are not counted, since a rejection by these is usual.
    fn count_for_rejections(
        &mut self,
        now: Instant,
        service: &ServiceId,
        upstream: &UpstreamId,
        observed: Observation,
        had_free_slot: bool,
    ) {
        let is_rejection = observed == Observation::RejectedWithFreeSlot;
        if had_free_slot || is_rejection {
            let (fault_probability, _) = self.fault_probability(now, upstream);
            self.rejections.record(now, service, upstream, is_rejection, fault_probability);
        }
    }
}

/// Updates an estimate with an observation. `rejected_elsewhere` is the share of the attempts at the
/// other upstreams of the service that were rejected although there seemed to be a free slot.
fn update_suspicion(
    suspicion: &mut Suspicion,
    now: Instant,
    observed: Observation,
    weight: f64,
    rejected_elsewhere: f64,
) {
    match observed {
        Observation::RejectedWithFreeSlot => {
            suspicion.observe_rejection(now, rejected_elsewhere, weight);
        }
        _ => suspicion.observe(now, observed, weight),
    }
}

/// End of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// Observation about the upstream, if the attempt allows one.
    pub observed: Option<Observation>,
    /// Time to the response head.
    pub latency: Duration,
    /// True if the upstream had a slot for each request in flight, so that the attempt probably did
    /// not queue.
    pub had_free_slot: bool,
    /// True if a response head arrived.
    pub has_head: bool,
}

/// State of an upstream on which its selection depends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Assessment {
    /// Probability that it is faulty, according to the observations of the whole fleet and the age
    /// of its attempts in progress.
    pub fault_probability: f64,
    /// Probability that it is faulty, according to the observations of this instance.
    pub own_fault_probability: f64,
    /// Number of requests in flight from the whole fleet.
    pub in_flight: u32,
    /// True if it has recently rejected a request as busy.
    pub is_full: bool,
    /// Time since the last attempt of any instance, `None` if there was none.
    pub idle_time: Option<Duration>,
}
