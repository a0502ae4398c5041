//! Selection of upstreams by the balancer.

use std::time::{Duration, Instant};

use cactustrack_routing::balancer::{
    Balancer, Candidate, ConnectionCounts, LoadReport, PickError, PickRequest,
};
use cactustrack_types::{Outcome, RequestClass, Share, Standing, UpstreamId};
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::ids;

const MS: Duration = Duration::from_millis(1);

struct Setup {
    now: Instant,
    rng: StdRng,
    balancer: Balancer,
    candidates: Vec<Candidate>,
    class: RequestClass,
    exclude: Vec<UpstreamId>,
}

impl Setup {
    /// Creates upstreams `up-0`, `up-1`, … in service with four slots, of which only `up-0` is in
    /// the instance's failure domain. Each has one latency sample, or none if the given latency is
    /// 0.
    fn new(latencies_ms: &[u32]) -> Self {
        let candidate = |id: UpstreamId| Candidate {
            failure_domain: if &*id == "up-0" { "own" } else { "other" }.into(),
            id,
            share: Share { weight: 1.0, standing: Standing::InService },
            max_in_flight: 4,
            max_connections: 9,
        };
        let mut setup = Self {
            now: Instant::now(),
            rng: StdRng::seed_from_u64(1),
            balancer: Balancer::new(),
            candidates: ids("up", latencies_ms.len()).into_iter().map(candidate).collect(),
            class: RequestClass::Idempotent,
            exclude: Vec::new(),
        };
        for (at, &ms) in latencies_ms.iter().enumerate().filter(|(_, ms)| **ms > 0) {
            setup.finish(at, Outcome::Ok, MS * ms);
        }
        setup
    }

    fn set_share(&mut self, at: usize, weight: f64, standing: Standing) {
        self.candidates[at].share = Share { weight, standing };
    }

    fn pick(&mut self) -> Result<UpstreamId, PickError> {
        let (class, exclude) = (self.class, &self.exclude[..]);
        let request = PickRequest { class, exclude, failure_domain: "own" };
        self.balancer.pick(self.now, &mut self.rng, &self.candidates, request)
    }

    fn finish(&mut self, at: usize, outcome: Outcome, latency: Duration) {
        let id = &self.candidates[at].id;
        self.balancer.on_start(id);
        self.balancer.on_finish(self.now, id, outcome, latency);
    }

    /// Returns the share of 10,000 picks that an upstream gets without requests in flight.
    fn share(&mut self, at: usize) -> f64 {
        let id = self.candidates[at].id.clone();
        let picks = (0..10_000).filter(|_| self.pick().expect("a pick") == id).count();
        picks as f64 / 10_000.0
    }
}

/// Guards against an upstream on trial that gets no requests, too many, or non-idempotent ones
/// while others are in service.
#[test]
fn trial_gets_its_small_share() {
    let mut setup = Setup::new(&[0; 4]);
    setup.set_share(3, 0.05, Standing::Trial);
    let trial = setup.share(3);
    assert!((0.012..0.021).contains(&trial), "{trial} of 0.05 / 3.05");
    for at in 0..3 {
        (0..4).for_each(|_| setup.balancer.on_start(&setup.candidates[at].id));
    }
    let taken = (0..1_000).filter(|_| setup.pick().is_ok()).count();
    assert!(taken < 40, "{taken} of 1000 requests of a busy service went to the upstream on trial");
    setup.class = RequestClass::NonIdempotent;
    assert!((0..1_000).all(|_| setup.pick() == Err(PickError::Busy { shed_until: None })));
    (0..3).for_each(|at| setup.set_share(at, 0.0, Standing::Ejected));
    assert_eq!(setup.pick().as_deref(), Ok("up-3"), "the only upstream in service");
}

/// Guards against a concentration of requests on an upstream without samples or one that fails
/// fast, and against too few requests for a fast upstream or one that was slow once.
#[test]
fn latency_directs_requests_without_overloading_an_upstream() {
    let mut setup = Setup::new(&[20, 20, 10, 0]);
    assert!(setup.share(3) < 0.35, "the new upstream attracts requests");
    assert!(setup.share(2) > 0.4, "the fast upstream does not attract requests");
    for _ in 0..10 {
        setup.now += Duration::from_secs(1);
        setup.finish(0, Outcome::Ok, MS * 20);
        setup.finish(1, Outcome::Failed, MS / 10);
        setup.finish(2, Outcome::Ok, MS * 10);
    }
    assert!(setup.share(1) < 0.3, "fast failures attract requests");
    setup.finish(2, Outcome::Ok, 1_000 * MS);
    assert_eq!(setup.share(2), 0.0);
    setup.now += Duration::from_secs(60);
    (0..2).for_each(|at| setup.finish(at, Outcome::Ok, MS * 20));
    assert!(setup.share(2) > 0.1, "one slow response excludes an upstream permanently");
}

/// Guards against leaving the failure domain for a small gain or staying in it despite a large one,
/// and against the use of outdated or implausible load reports.
#[test]
fn failure_domain_and_load_reports_have_bounded_effect() {
    struct Case(&'static [u32], Option<[f64; 2]>, u32, f64);
    let cases = [
        Case(&[119, 100], None, 0, 1.0),
        Case(&[121, 100], None, 0, 0.0),
        Case(&[100, 100], Some([0.0, 1.0]), 0, 1.0),
        Case(&[100, 100], Some([1.0, 0.0]), 0, 0.0),
        Case(&[100, 100], Some([1.0, 0.0]), 2_001, 1.0),
        Case(&[100, 100], Some([9.0, 0.0]), 0, 1.0),
        Case(&[100, 410], Some([8.0, 0.0]), 0, 1.0),
    ];
    for Case(latencies_ms, loads, age_ms, expected) in cases {
        let mut setup = Setup::new(latencies_ms);
        for (candidate, load) in setup.candidates.iter().zip(loads.into_iter().flatten()) {
            setup.balancer.on_load_report(setup.now, &candidate.id, LoadReport { load });
        }
        setup.now += MS * age_ms;
        assert_eq!(setup.share(0), expected, "{latencies_ms:?} {loads:?} {age_ms} ms");
    }
    assert!(["", "x", "-1", "NaN", "inf"].iter().all(|text| LoadReport::parse(text).is_none()));
}

/// Guards against requests beyond the limits of slots, connections or sheds, or to upstreams out of
/// service.
#[test]
fn limits_and_standings_are_respected() {
    let mut setup = Setup::new(&[0, 0]);
    let (first, second) = (setup.candidates[0].id.clone(), setup.candidates[1].id.clone());
    setup.balancer.on_connections(&first, ConnectionCounts { open: 9, idle: 0 });
    assert_eq!(setup.share(0), 0.0);
    setup.exclude = vec![second];
    assert_eq!(setup.pick(), Err(PickError::Busy { shed_until: None }));
    setup.balancer.on_connections(&first, ConnectionCounts { open: 9, idle: 1 });
    assert_eq!(setup.pick(), Ok(first.clone()));
    setup.balancer.on_start(&first);
    setup.balancer.on_shed(setup.now, &first, None);
    setup.balancer.on_finish(setup.now, &first, Outcome::Shed, MS);
    let until = setup.now + 1_000 * MS;
    assert_eq!(setup.pick(), Err(PickError::Busy { shed_until: Some(until) }));
    setup.now = until;
    assert_eq!(setup.pick(), Ok(first.clone()));
    setup.exclude.push(first);
    assert_eq!(setup.pick(), Err(PickError::AllTried));
    setup.exclude.clear();
    setup.set_share(0, 1.0, Standing::Leaving);
    assert_eq!(setup.share(0), 0.0);
    setup.set_share(1, 1.0, Standing::Ejected);
    assert_eq!(setup.pick(), Err(PickError::NoneInService));
}
