//! Selects an upstream by power of two choices.

use std::time::{Duration, Instant};

use cactustrack_types::{FailureDomain, Outcome, RequestClass, Share, Standing, UpstreamId};
use derive_more::{Display, Error};
use rand::{Rng, RngExt};
use rapidhash::RapidHashMap;

use crate::limits::{DEFAULT_SHED, MAX_SHED};

/// Time constant of the latency average.
const LATENCY_MEMORY: Duration = Duration::from_secs(10);
/// Part of the typical latency that the estimate of an unused upstream falls to. It is below 1 so
/// that the upstream is tried again even if others are idle.
const UNUSED_ESTIMATE: f64 = 0.5;
/// Age from which a load report is ignored.
const MAX_REPORT_AGE: Duration = Duration::from_secs(2);
/// Factor by which a report may differ from the observed latency.
const MAX_CONTRADICTION: f64 = 4.0;
/// A candidate in the own failure domain is taken up to this many times the other's cost.
const DOMAIN_PREFERENCE: f64 = 1.2;
/// Candidates below this weight get exactly their share and are left out of the cost comparison,
/// in which they would lose to any idle candidate with full weight.
const REDUCED_WEIGHT: f64 = 0.5;
/// Largest load that a report can state, in multiples of the upstream's slots.
const MAX_LOAD: f64 = 16.0;

/// An upstream that may be selected, with the limits of this instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Name of the upstream.
    pub id: UpstreamId,
    /// Failure domain that it runs in.
    pub failure_domain: FailureDomain,
    /// Share of work that it gets.
    pub share: Share,
    /// Requests that this instance may have in flight on it: the smaller one of the service's
    /// slots and the upstream's concurrency limit.
    pub max_in_flight: u32,
    /// Connections that this instance may open to it.
    pub max_connections: u32,
}

/// What a request needs from its upstream.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// Class of the request.
    pub class: RequestClass,
    /// Upstreams that were already tried for the request.
    pub exclude: &'a [UpstreamId],
    /// Failure domain of this instance.
    pub failure_domain: &'a str,
}

/// Why no upstream is selected. Nothing was sent.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum PickError {
    /// No upstream of the subset is in service.
    #[display("no upstream is in service")]
    NoneInService,
    /// All upstreams in service were already tried.
    #[display("all upstreams were tried")]
    AllTried,
    /// All remaining upstreams are at a limit. The request may wait for one.
    #[display("all upstreams are at their limits")]
    Busy {
        /// First instant at which the effect of a shed ends, if one is in effect.
        shed_until: Option<Instant>,
    },
}

/// Load that an upstream states in its answers or on its load endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Requests that the upstream works on or holds in its queue, divided by its slots.
    pub load: f64,
}

impl LoadReport {
    /// Reads the value of `Cactustrack-Load`. Returns `None` unless it is a number from 0.
    pub fn parse(value: &str) -> Option<Self> {
        let load: f64 = value.trim().parse().ok()?;
        (load.is_finite() && load >= 0.0).then(|| Self { load: load.min(MAX_LOAD) })
    }

    /// Expected latency relative to that of an idle upstream.
    fn factor(self) -> f64 {
        1.0 + self.load
    }
}

/// Connections of this instance to one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Connections that are open or being opened.
    pub open: u32,
    /// Open connections without a request.
    pub idle: u32,
}

/// Average of latencies that follows rises at once and falls slowly (peak EWMA).
#[derive(Clone, Copy, Debug)]
struct Latency {
    seconds: f64,
    at: Instant,
}

impl Latency {
    fn update(&mut self, now: Instant, sample: f64) {
        let kept = kept_share(now.saturating_duration_since(self.at));
        let average = self.seconds * kept + sample * (1.0 - kept);
        *self = Self { seconds: average.max(sample), at: now };
    }

    /// Estimate that falls to a part of `typical` while there are no samples. Otherwise an upstream
    /// with one very slow answer would never be selected again.
    fn estimate(&self, now: Instant, typical: f64) -> f64 {
        let excess = (self.seconds - typical * UNUSED_ESTIMATE).max(0.0);
        self.seconds - excess * (1.0 - kept_share(now.saturating_duration_since(self.at)))
    }
}

/// Share of an old average that is kept after some time.
fn kept_share(age: Duration) -> f64 {
    (-age.as_secs_f64() / LATENCY_MEMORY.as_secs_f64()).exp()
}

/// Limit on requests in flight that a shed set.
#[derive(Clone, Copy, Debug)]
struct ShedLimit {
    max_in_flight: u32,
    until: Instant,
}

#[derive(Clone, Debug, Default)]
struct UpstreamLoad {
    in_flight: u32,
    latency: Option<Latency>,
    report: Option<(LoadReport, Instant)>,
    shed: Option<ShedLimit>,
    connections: ConnectionCounts,
}

impl UpstreamLoad {
    fn shed_limit(&self, now: Instant) -> Option<ShedLimit> {
        self.shed.filter(|shed| now < shed.until)
    }

    /// Returns true if one more request may be sent.
    fn has_room(&self, now: Instant, candidate: &Candidate) -> bool {
        let mut max_in_flight = candidate.max_in_flight;
        if candidate.share.weight < REDUCED_WEIGHT {
            let share = f64::from(max_in_flight) * candidate.share.weight;
            max_in_flight = share.ceil() as u32;
        }
        if let Some(shed) = self.shed_limit(now) {
            max_in_flight = max_in_flight.min(shed.max_in_flight);
        }
        let has_connection =
            self.connections.idle > 0 || self.connections.open < candidate.max_connections;
        self.in_flight < max_in_flight && has_connection
    }
}

/// Load of upstreams as this instance sees it, and the choice among them.
#[derive(Debug, Default)]
pub struct Balancer {
    loads: RapidHashMap<UpstreamId, UpstreamLoad>,
    /// Load of upstreams that were never used.
    unused: UpstreamLoad,
}

impl Balancer {
    /// Creates a balancer that has seen no upstream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Selects the upstream for a request. Call [`Self::on_start`] if it is used.
    ///
    /// A draw by weight decides whether one of the candidates with reduced weight is taken, so that
    /// they get their share. Otherwise two others are drawn, and the one with the lower cost is
    /// taken: (in flight + 1) × latency estimate × load factor ÷ weight.
    ///
    /// # Errors
    ///
    /// Fails if no candidate is in service, all were tried, or all are at their limits.
    pub fn pick(
        &self,
        now: Instant,
        rng: &mut dyn Rng,
        candidates: &[Candidate],
        request: PickRequest<'_>,
    ) -> Result<UpstreamId, PickError> {
        let allowed = self.allowed(now, candidates, request)?;
        // The share is taken of all candidates, also of those at a limit, so that an upstream on
        // trial does not get the excess work of a busy service.
        let draws_reduced = draw(rng, &allowed).is_some_and(|choice| choice.is_reduced());
        let (reduced, full): (Vec<Choice<'_>>, Vec<Choice<'_>>) =
            allowed.iter().filter(|choice| choice.has_room).partition(|choice| choice.is_reduced());
        if draws_reduced && let Some(choice) = draw(rng, &reduced) {
            return Ok(choice.candidate.id.clone());
        }
        if let Some(choice) = self.compare_two(now, rng, full, candidates, request) {
            return Ok(choice.candidate.id.clone());
        }
        let is_trial = |choice: &Choice<'_>| choice.candidate.share.standing == Standing::Trial;
        let rest: Vec<Choice<'_>> = reduced.into_iter().filter(|c| !is_trial(c)).collect();
        match draw(rng, &rest) {
            Some(choice) => Ok(choice.candidate.id.clone()),
            None => Err(PickError::Busy { shed_until: shed_until(now, &allowed) }),
        }
    }

    /// Candidates that the request may go to, including those at a limit.
    fn allowed<'a>(
        &'a self,
        now: Instant,
        candidates: &'a [Candidate],
        request: PickRequest<'_>,
    ) -> Result<Vec<Choice<'a>>, PickError> {
        let is_used = |c: &&Candidate| {
            !matches!(c.share.standing, Standing::Ejected | Standing::Leaving)
                && c.share.weight > 0.0
        };
        let is_trial = |c: &Candidate| c.share.standing == Standing::Trial;
        let has_others = candidates.iter().filter(is_used).any(|c| !is_trial(c));
        let skips_trial = request.class == RequestClass::NonIdempotent && has_others;
        let mut any_in_service = false;
        let mut allowed = Vec::with_capacity(candidates.len());
        for candidate in candidates.iter().filter(is_used) {
            any_in_service = true;
            if request.exclude.contains(&candidate.id) || (skips_trial && is_trial(candidate)) {
                continue;
            }
            let load = self.loads.get(&candidate.id).unwrap_or(&self.unused);
            allowed.push(Choice { candidate, load, has_room: load.has_room(now, candidate) });
        }
        match (allowed.is_empty(), any_in_service) {
            (false, _) => Ok(allowed),
            (true, true) => Err(PickError::AllTried),
            (true, false) => Err(PickError::NoneInService),
        }
    }

    fn compare_two<'a>(
        &self,
        now: Instant,
        rng: &mut dyn Rng,
        mut choices: Vec<Choice<'a>>,
        candidates: &[Candidate],
        request: PickRequest<'_>,
    ) -> Option<Choice<'a>> {
        let first = draw(rng, &choices)?;
        choices.retain(|choice| choice.candidate.id != first.candidate.id);
        let Some(second) = draw(rng, &choices) else {
            return Some(first);
        };
        let typical = self.typical_latency(candidates);
        let reports = first.load_factor(now, typical).zip(second.load_factor(now, typical));
        // A report is used only against another one: without one, a candidate would look idle.
        let (first_factor, second_factor) = reports.unwrap_or((1.0, 1.0));
        let mut first_cost = first.cost(now, typical) * first_factor;
        let mut second_cost = second.cost(now, typical) * second_factor;
        let is_near = |c: &Choice<'_>| &*c.candidate.failure_domain == request.failure_domain;
        match (is_near(&first), is_near(&second)) {
            (true, false) => first_cost /= DOMAIN_PREFERENCE,
            (false, true) => second_cost /= DOMAIN_PREFERENCE,
            _ => {}
        }
        Some(if first_cost <= second_cost { first } else { second })
    }

    /// Median latency of the candidates with samples, in seconds. Candidates without samples are
    /// taken to be typical, so they attract neither more nor less work than others.
    fn typical_latency(&self, candidates: &[Candidate]) -> Option<f64> {
        let latency = |c: &Candidate| self.loads.get(&c.id)?.latency.map(|l| l.seconds);
        let mut known: Vec<f64> = candidates.iter().filter_map(latency).collect();
        let middle = known.len().checked_sub(1)? / 2;
        Some(*known.select_nth_unstable_by(middle, f64::total_cmp).1)
    }

    /// Requests in flight on an upstream.
    pub fn in_flight(&self, upstream: &str) -> u32 {
        self.loads.get(upstream).map_or(0, |load| load.in_flight)
    }

    /// Counts a request that is dispatched or about to be.
    pub fn on_start(&mut self, upstream: &UpstreamId) {
        self.load_mut(upstream).in_flight += 1;
    }

    /// Counts the end of a request. `latency` is the time to the head of the answer, or to the
    /// failure.
    ///
    /// A failure raises the estimate if it was slow but never lowers it, also not with time: failing
    /// quickly must not attract work.
    pub fn on_finish(
        &mut self,
        now: Instant,
        upstream: &UpstreamId,
        outcome: Outcome,
        latency: Duration,
    ) {
        let load = self.load_mut(upstream);
        load.in_flight = load.in_flight.saturating_sub(1);
        let seconds = latency.as_secs_f64();
        let sample = match outcome {
            Outcome::Ok | Outcome::Slow => Some(seconds),
            Outcome::Refused | Outcome::Failed | Outcome::CutShort => {
                load.latency.map(|known| seconds.max(known.seconds))
            }
            Outcome::Silent | Outcome::Shed => None,
        };
        if let Some(seconds) = sample {
            load.latency.get_or_insert(Latency { seconds, at: now }).update(now, seconds);
        }
    }

    /// Lowers the limit on requests in flight after a shed, for `retry_after` or for 1 s.
    ///
    /// Half of the requests in flight may remain. Call it before [`Self::on_finish`] of the request
    /// that was shed.
    pub fn on_shed(&mut self, now: Instant, upstream: &UpstreamId, retry_after: Option<Duration>) {
        let until = now + retry_after.unwrap_or(DEFAULT_SHED).min(MAX_SHED);
        let load = self.load_mut(upstream);
        let mut shed = ShedLimit { max_in_flight: load.in_flight / 2, until };
        if let Some(earlier) = load.shed_limit(now) {
            shed.max_in_flight = shed.max_in_flight.min(earlier.max_in_flight);
            shed.until = shed.until.max(earlier.until);
        }
        load.shed = Some(shed);
    }

    /// Keeps the load that an upstream reports.
    pub fn on_load_report(&mut self, now: Instant, upstream: &UpstreamId, report: LoadReport) {
        self.load_mut(upstream).report = Some((report, now));
    }

    /// Sets the number of connections to an upstream.
    pub fn on_connections(&mut self, upstream: &UpstreamId, connections: ConnectionCounts) {
        self.load_mut(upstream).connections = connections;
    }

    /// Forgets latency, report and shed of an upstream that was restarted.
    pub fn on_restart(&mut self, upstream: &UpstreamId) {
        let load = self.load_mut(upstream);
        (load.latency, load.report, load.shed) = (None, None, None);
    }

    /// Forgets upstreams that are gone and have neither requests nor connections.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.loads
            .retain(|id, load| load.in_flight > 0 || load.connections.open > 0 || is_known(id));
    }

    fn load_mut(&mut self, upstream: &UpstreamId) -> &mut UpstreamLoad {
        self.loads.entry(upstream.clone()).or_default()
    }
}

/// A candidate with its load.
#[derive(Clone, Copy)]
struct Choice<'a> {
    candidate: &'a Candidate,
    load: &'a UpstreamLoad,
    has_room: bool,
}

impl Choice<'_> {
    fn weight(&self) -> f64 {
        self.candidate.share.weight.min(1.0)
    }

    fn is_reduced(&self) -> bool {
        self.weight() < REDUCED_WEIGHT
    }

    fn latency(&self, now: Instant, typical: Option<f64>) -> f64 {
        let typical = typical.unwrap_or(1.0);
        self.load.latency.map_or(typical, |latency| latency.estimate(now, typical))
    }

    /// Cost without the load factor.
    fn cost(&self, now: Instant, typical: Option<f64>) -> f64 {
        f64::from(self.load.in_flight + 1) * self.latency(now, typical) / self.weight()
    }

    /// Load factor of a report that is recent and plausible.
    fn load_factor(&self, now: Instant, typical: Option<f64>) -> Option<f64> {
        let (report, at) = self.load.report?;
        if now.saturating_duration_since(at) > MAX_REPORT_AGE {
            return None;
        }
        let factor = report.factor();
        let observed = self.latency(now, typical) / typical.unwrap_or(1.0);
        let contradiction = (observed / factor).max(factor / observed);
        // Two upstreams with no measurable latency give no number, and no contradiction.
        (contradiction.is_nan() || contradiction <= MAX_CONTRADICTION).then_some(factor)
    }
}

/// Draws one choice with a probability in proportion to its weight.
fn draw<'a>(rng: &mut dyn Rng, choices: &[Choice<'a>]) -> Option<Choice<'a>> {
    let total: f64 = choices.iter().map(Choice::weight).sum();
    let last = choices.last()?;
    let mut at = rng.random_range(0.0..total);
    for choice in choices {
        at -= choice.weight();
        if at < 0.0 {
            return Some(*choice);
        }
    }
    // Only rounding errors lead here.
    Some(*last)
}

/// First instant at which the effect of a shed ends.
fn shed_until(now: Instant, choices: &[Choice<'_>]) -> Option<Instant> {
    choices.iter().filter_map(|choice| choice.load.shed_limit(now)).map(|shed| shed.until).min()
}
