//! Load balancing across upstreams by power of two choices.

use std::time::{Duration, Instant};

use cactustrack_types::{FailureDomain, Outcome, RequestClass, Share, Standing, UpstreamId};
use derive_more::{Display, Error};
use rand::{Rng, RngExt};
use rapidhash::RapidHashMap;

use crate::limits::{DEFAULT_SHED_DURATION, MAX_SHED_DURATION};

/// Time constant of the exponentially weighted latency average.
const LATENCY_TIME_CONSTANT: Duration = Duration::from_secs(10);
/// Fraction of the typical latency to which the estimate of an unused upstream decays. It is below
/// 1 so that the upstream is tried again even if others are idle.
const UNUSED_LATENCY_FRACTION: f64 = 0.5;
/// Age above which a load report is ignored.
const MAX_REPORT_AGE: Duration = Duration::from_secs(2);
/// Largest ratio between the latency that a load report implies and the observed latency, in either
/// direction, at which the report is used.
const MAX_REPORT_DEVIATION: f64 = 4.0;
/// Cost ratio up to which a candidate in the instance's own failure domain is preferred to one in
/// another.
const DOMAIN_PREFERENCE: f64 = 1.2;
/// Weight below which candidates get exactly their share and are excluded from the cost comparison,
/// in which they would lose to any idle candidate with full weight.
const REDUCED_WEIGHT: f64 = 0.5;
/// Upper bound of a reported load, in multiples of the upstream's slots.
const MAX_LOAD: f64 = 16.0;

/// Upstream that may be selected, with the limits of this instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Id of the upstream.
    pub id: UpstreamId,
    /// Failure domain of the upstream.
    pub failure_domain: FailureDomain,
    /// Share of requests that the upstream receives.
    pub share: Share,
    /// Maximum number of requests that this instance may have in flight to the upstream: the lower
    /// of the service's slots and the upstream's concurrency limit.
    pub max_in_flight: u32,
    /// Maximum number of connections that this instance may open to the upstream.
    pub max_connections: u32,
}

/// Properties of a request that affect the selection of its upstream.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// Class of the request.
    pub class: RequestClass,
    /// Upstreams that were tried already for the request.
    pub exclude: &'a [UpstreamId],
    /// Failure domain of this instance.
    pub failure_domain: &'a str,
}

/// Reason why no upstream is selected. Nothing was sent.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum PickError {
    /// No upstream of the subset is in service.
    #[display("no upstream is in service")]
    NoneInService,
    /// All upstreams in service were tried already.
    #[display("all upstreams were tried")]
    AllTried,
    /// All remaining upstreams are at a limit. The request may wait until one has capacity.
    #[display("all upstreams are at their limits")]
    Busy {
        /// Earliest end of a limit set by a shed, if there is one.
        shed_until: Option<Instant>,
    },
}

/// Load that an upstream reports in its responses or on its load endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Requests in progress or queued at the upstream, divided by its slots.
    pub load: f64,
}

impl LoadReport {
    /// Parses the value of `Cactustrack-Load`. Returns `None` unless it is a finite number of at
    /// least 0.
    pub fn parse(value: &str) -> Option<Self> {
        let load: f64 = value.trim().parse().ok()?;
        (load.is_finite() && load >= 0.0).then(|| Self { load: load.min(MAX_LOAD) })
    }

    /// Returns the expected latency relative to an idle upstream.
    fn factor(self) -> f64 {
        1.0 + self.load
    }
}

/// Numbers of connections from this instance to an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Connections that are established or being established.
    pub open: u32,
    /// Established connections without a request.
    pub idle: u32,
}

/// Latency average that rises at once and decays slowly (peak EWMA).
#[derive(Clone, Copy, Debug)]
struct Latency {
    seconds: f64,
    at: Instant,
}

impl Latency {
    fn update(&mut self, now: Instant, sample: f64) {
        let decay = decay_factor(now.saturating_duration_since(self.at));
        let average = self.seconds * decay + sample * (1.0 - decay);
        *self = Self { seconds: average.max(sample), at: now };
    }

    /// Returns the latency estimate, which decays to a fraction of `typical` while there are no
    /// samples. Otherwise an upstream with a single very slow response would never be selected
    /// again.
    fn estimate(&self, now: Instant, typical: f64) -> f64 {
        let excess = (self.seconds - typical * UNUSED_LATENCY_FRACTION).max(0.0);
        self.seconds - excess * (1.0 - decay_factor(now.saturating_duration_since(self.at)))
    }
}

/// Returns the weight of an average of the given age.
fn decay_factor(age: Duration) -> f64 {
    (-age.as_secs_f64() / LATENCY_TIME_CONSTANT.as_secs_f64()).exp()
}

/// Limit on requests in flight that is set by a shed.
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

    /// Returns true if another request may be sent to the candidate.
    fn has_capacity(&self, now: Instant, candidate: &Candidate) -> bool {
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

/// Selects upstreams by their load as observed by this instance.
#[derive(Debug, Default)]
pub struct Balancer {
    loads: RapidHashMap<UpstreamId, UpstreamLoad>,
    /// Load of an upstream without any record in `loads`.
    unused: UpstreamLoad,
}

impl Balancer {
    /// Creates a balancer without load records.
    pub fn new() -> Self {
        Self::default()
    }

    /// Selects the upstream for a request. Call [`Self::on_start`] if the upstream is used.
    ///
    /// A weighted random draw decides whether a candidate with reduced weight is selected, so that
    /// these get their share. Otherwise two of the other candidates are drawn, and the one with the
    /// lower cost is selected: (in flight + 1) × latency estimate × load factor ÷ weight.
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
        let eligible = self.eligible(now, candidates, request)?;
        // The draw includes candidates at a limit, so that an upstream on trial does not receive
        // the excess requests of a busy service.
        let draws_reduced = draw(rng, &eligible).is_some_and(|choice| choice.is_reduced());
        let (reduced, full): (Vec<Choice<'_>>, Vec<Choice<'_>>) = eligible
            .iter()
            .filter(|choice| choice.has_capacity)
            .partition(|choice| choice.is_reduced());
        if draws_reduced && let Some(choice) = draw(rng, &reduced) {
            return Ok(choice.candidate.id.clone());
        }
        if let Some(choice) = self.compare_two(now, rng, full, candidates, request) {
            return Ok(choice.candidate.id.clone());
        }
        let is_trial = |choice: &Choice<'_>| choice.candidate.share.standing == Standing::Trial;
        let non_trial: Vec<Choice<'_>> = reduced.into_iter().filter(|c| !is_trial(c)).collect();
        match draw(rng, &non_trial) {
            Some(choice) => Ok(choice.candidate.id.clone()),
            None => Err(PickError::Busy { shed_until: shed_until(now, &eligible) }),
        }
    }

    /// Returns the candidates that are eligible for the request, including those at a limit.
    fn eligible<'a>(
        &'a self,
        now: Instant,
        candidates: &'a [Candidate],
        request: PickRequest<'_>,
    ) -> Result<Vec<Choice<'a>>, PickError> {
        let is_in_service = |c: &&Candidate| {
            !matches!(c.share.standing, Standing::Ejected | Standing::Leaving)
                && c.share.weight > 0.0
        };
        let is_trial = |c: &Candidate| c.share.standing == Standing::Trial;
        let has_non_trial = candidates.iter().filter(is_in_service).any(|c| !is_trial(c));
        let skips_trial = !request.class.is_idempotent() && has_non_trial;
        let mut any_in_service = false;
        let mut eligible = Vec::with_capacity(candidates.len());
        for candidate in candidates.iter().filter(is_in_service) {
            any_in_service = true;
            if request.exclude.contains(&candidate.id) || (skips_trial && is_trial(candidate)) {
                continue;
            }
            let load = self.loads.get(&candidate.id).unwrap_or(&self.unused);
            eligible.push(Choice {
                candidate,
                load,
                has_capacity: load.has_capacity(now, candidate),
            });
        }
        match (eligible.is_empty(), any_in_service) {
            (false, _) => Ok(eligible),
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
        // Load reports are used only if both candidates have one: a candidate without a report
        // would seem idle.
        let (first_factor, second_factor) = reports.unwrap_or((1.0, 1.0));
        let mut first_cost = first.cost(now, typical) * first_factor;
        let mut second_cost = second.cost(now, typical) * second_factor;
        let is_same_domain =
            |c: &Choice<'_>| &*c.candidate.failure_domain == request.failure_domain;
        match (is_same_domain(&first), is_same_domain(&second)) {
            (true, false) => first_cost /= DOMAIN_PREFERENCE,
            (false, true) => second_cost /= DOMAIN_PREFERENCE,
            _ => {}
        }
        Some(if first_cost <= second_cost { first } else { second })
    }

    /// Returns the median latency of the candidates with samples, in seconds.
    ///
    /// Candidates without samples are assumed to have this latency, so that they attract neither
    /// more nor fewer requests than others.
    fn typical_latency(&self, candidates: &[Candidate]) -> Option<f64> {
        let latency = |c: &Candidate| self.loads.get(&c.id)?.latency.map(|l| l.seconds);
        let mut latencies: Vec<f64> = candidates.iter().filter_map(latency).collect();
        let middle = latencies.len().checked_sub(1)? / 2;
        Some(*latencies.select_nth_unstable_by(middle, f64::total_cmp).1)
    }

    /// Returns the number of requests in flight to an upstream.
    pub fn in_flight(&self, upstream: &str) -> u32 {
        self.loads.get(upstream).map_or(0, |load| load.in_flight)
    }

    /// Records a request that is dispatched or about to be.
    pub fn on_start(&mut self, upstream: &UpstreamId) {
        self.load_mut(upstream).in_flight += 1;
    }

    /// Records the end of a request. `latency` is the time to the response head or to the failure.
    ///
    /// A slow failure raises the latency estimate, but no failure lowers it or lets it decay:
    /// failing fast must not attract requests.
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
                load.latency.map(|average| seconds.max(average.seconds))
            }
            Outcome::Silent | Outcome::Shed => None,
        };
        if let Some(seconds) = sample {
            load.latency.get_or_insert(Latency { seconds, at: now }).update(now, seconds);
        }
    }

    /// Lowers the limit on requests in flight after a shed, for `retry_after` or else for 1 s.
    ///
    /// The limit becomes half of the requests in flight. Call this before [`Self::on_finish`] of
    /// the request that was shed.
    pub fn on_shed(&mut self, now: Instant, upstream: &UpstreamId, retry_after: Option<Duration>) {
        let until = now + retry_after.unwrap_or(DEFAULT_SHED_DURATION).min(MAX_SHED_DURATION);
        let load = self.load_mut(upstream);
        let mut shed = ShedLimit { max_in_flight: load.in_flight / 2, until };
        if let Some(earlier) = load.shed_limit(now) {
            shed.max_in_flight = shed.max_in_flight.min(earlier.max_in_flight);
            shed.until = shed.until.max(earlier.until);
        }
        load.shed = Some(shed);
    }

    /// Records a load report of an upstream.
    pub fn on_load_report(&mut self, now: Instant, upstream: &UpstreamId, report: LoadReport) {
        self.load_mut(upstream).report = Some((report, now));
    }

    /// Sets the number of connections to an upstream.
    pub fn on_connections(&mut self, upstream: &UpstreamId, connections: ConnectionCounts) {
        self.load_mut(upstream).connections = connections;
    }

    /// Resets the latency, load report and shed limit of an upstream that was restarted.
    pub fn on_restart(&mut self, upstream: &UpstreamId) {
        let load = self.load_mut(upstream);
        (load.latency, load.report, load.shed) = (None, None, None);
    }

    /// Removes the load records of upstreams that are not known and have neither requests nor
    /// connections.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.loads
            .retain(|id, load| load.in_flight > 0 || load.connections.open > 0 || is_known(id));
    }

    fn load_mut(&mut self, upstream: &UpstreamId) -> &mut UpstreamLoad {
        self.loads.entry(upstream.clone()).or_default()
    }
}

/// Candidate with its load.
#[derive(Clone, Copy)]
struct Choice<'a> {
    candidate: &'a Candidate,
    load: &'a UpstreamLoad,
    has_capacity: bool,
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

    /// Returns the cost without the load factor.
    fn cost(&self, now: Instant, typical: Option<f64>) -> f64 {
        f64::from(self.load.in_flight + 1) * self.latency(now, typical) / self.weight()
    }

    /// Returns the load factor of the load report, if the report is recent and plausible.
    fn load_factor(&self, now: Instant, typical: Option<f64>) -> Option<f64> {
        let (report, at) = self.load.report?;
        if now.saturating_duration_since(at) > MAX_REPORT_AGE {
            return None;
        }
        let factor = report.factor();
        let observed = self.latency(now, typical) / typical.unwrap_or(1.0);
        let deviation = (observed / factor).max(factor / observed);
        // The ratio is NaN if the observed and the typical latency are both zero. The report is
        // then used.
        (deviation.is_nan() || deviation <= MAX_REPORT_DEVIATION).then_some(factor)
    }
}

/// Draws a choice at random with a probability proportional to its weight.
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
    // Reached only through rounding errors.
    Some(*last)
}

/// Returns the earliest end of a limit set by a shed.
fn shed_until(now: Instant, choices: &[Choice<'_>]) -> Option<Instant> {
    choices.iter().filter_map(|choice| choice.load.shed_limit(now)).map(|shed| shed.until).min()
}
