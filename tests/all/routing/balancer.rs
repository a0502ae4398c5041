//! Selection of upstreams.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use cactustrack_routing::balancer::{
    Balancer, Candidate, ConnectionCounts, LoadReport, PickError, PickRequest,
};
use cactustrack_types::{Outcome, RequestClass, Share, Standing, UpstreamId};
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::names;

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
    /// Upstreams `up-0`, `up-1`, … in service with four slots, each in a domain of its own.
    fn new(count: usize) -> Self {
        let candidate = |id: UpstreamId| Candidate {
            failure_domain: format!("domain-of-{id}").into(),
            id,
            share: Share { weight: 1.0, standing: Standing::InService },
            max_in_flight: 4,
            max_connections: 9,
        };
        Self {
            now: Instant::now(),
            rng: StdRng::seed_from_u64(1),
            balancer: Balancer::new(),
            candidates: names("up", count).into_iter().map(candidate).collect(),
            class: RequestClass::Idempotent,
            exclude: Vec::new(),
        }
    }

    fn set_share(&mut self, at: usize, weight: f64, standing: Standing) {
        self.candidates[at].share = Share { weight, standing };
    }

    fn pick(&mut self, domain: &str) -> Result<UpstreamId, PickError> {
        let (class, exclude) = (self.class, &self.exclude[..]);
        let request = PickRequest { class, exclude, failure_domain: domain };
        self.balancer.pick(self.now, &mut self.rng, &self.candidates, request)
    }

    fn answer(&mut self, at: usize, latency: Duration) {
        let id = &self.candidates[at].id;
        self.balancer.on_start(id);
        self.balancer.on_finish(self.now, id, Outcome::Ok, latency);
    }

    /// Share of 10,000 picks that each upstream gets while no request stays in flight.
    fn shares(&mut self, domain: &str) -> Vec<f64> {
        let mut picks = BTreeMap::new();
        for _ in 0..10_000 {
            *picks.entry(self.pick(domain).expect("a pick")).or_insert(0) += 1;
        }
        let share = |c: &Candidate| f64::from(*picks.get(&c.id).unwrap_or(&0)) / 10_000.0;
        self.candidates.iter().map(share).collect()
    }
}

/// Guards against an upstream on trial that gets no work, too much of it, or non-idempotent
/// requests.
#[test]
fn trial_gets_its_small_share() {
    let mut setup = Setup::new(4);
    setup.set_share(3, 0.05, Standing::Trial);
    let trial = setup.shares("")[3];
    assert!((0.012..0.021).contains(&trial), "{trial} of 0.05 / 3.05");
    setup.class = RequestClass::NonIdempotent;
    assert_eq!(setup.shares("")[3], 0.0);
    for at in 0..3 {
        let id = setup.candidates[at].id.clone();
        (0..4).for_each(|_| setup.balancer.on_start(&id));
    }
    assert_eq!(setup.pick(""), Err(PickError::Busy { shed_until: None }));
    setup.class = RequestClass::Idempotent;
    let taken = (0..1_000).filter(|_| setup.pick("").is_ok()).count();
    assert!(taken < 40, "{taken} of 1000 requests of a busy service went to the trial");
    (0..3).for_each(|at| setup.set_share(at, 0.0, Standing::Ejected));
    setup.class = RequestClass::NonIdempotent;
    assert_eq!(setup.pick("").as_deref(), Ok("up-3"), "the only one in service");
}

/// Guards against a rush to an upstream without samples or one that fails fast, and against
/// neglect of a fast one.
#[test]
fn latency_directs_work_without_a_rush() {
    let mut setup = Setup::new(4);
    for (at, ms) in [(0, 20), (1, 20), (2, 10)] {
        setup.answer(at, MS * ms);
    }
    let shares = setup.shares("");
    assert!(shares[3] < 0.35, "the new upstream gets {}", shares[3]);
    assert!(shares[2] > 0.4, "the fast upstream gets {}", shares[2]);
    let id = setup.candidates[0].id.clone();
    setup.balancer.on_start(&id);
    setup.balancer.on_finish(setup.now, &id, Outcome::Failed, MS / 10);
    assert!(setup.shares("")[0] < 0.35, "fast failures attract work");
    setup.answer(2, 1_000 * MS);
    assert_eq!(setup.shares("")[2], 0.0);
    setup.now += Duration::from_secs(60);
    (0..2).for_each(|at| setup.answer(at, MS * 20));
    assert!(setup.shares("")[2] > 0.1, "one slow answer excludes an upstream for good");
}

/// Guards against crossing failure domains for a small gain, and against staying for a large one.
#[test]
fn own_failure_domain_is_preferred_up_to_1_2() {
    for (ms, expected) in [(119, 1.0), (121, 0.0)] {
        let mut setup = Setup::new(2);
        setup.answer(0, MS * ms);
        setup.answer(1, MS * 100);
        assert_eq!(setup.shares("domain-of-up-0")[0], expected, "{ms} ms");
    }
}

/// Guards against decisions on old or misleading load reports.
#[test]
fn load_reports_count_while_recent_and_plausible() {
    let cases = [
        ([0.0, 1.0], 0, 100, 1.0),
        ([1.0, 0.0], 0, 100, 0.0),
        ([1.0, 0.0], 2_001, 100, 1.0),
        ([9.0, 0.0], 0, 100, 1.0),
        ([1.0, 0.0], 0, 410, 1.0),
    ];
    for (loads, age_ms, other_ms, expected) in cases {
        let mut setup = Setup::new(2);
        setup.answer(0, MS * 99);
        setup.answer(1, MS * other_ms);
        for (candidate, load) in setup.candidates.iter().zip(loads) {
            setup.balancer.on_load_report(setup.now, &candidate.id, LoadReport { load });
        }
        setup.now += MS * age_ms;
        assert_eq!(setup.shares("")[0], expected, "{loads:?} {age_ms} ms {other_ms} ms");
    }
    assert!(["", "x", "-1", "NaN", "inf"].iter().all(|text| LoadReport::parse(text).is_none()));
}

/// Guards against dispatch beyond slots, connections or sheds, and to upstreams out of service.
#[test]
fn limits_and_standings_are_respected() {
    let mut setup = Setup::new(2);
    let (first, second) = (setup.candidates[0].id.clone(), setup.candidates[1].id.clone());
    setup.balancer.on_connections(&first, ConnectionCounts { open: 9, idle: 0 });
    assert_eq!(setup.shares(""), [0.0, 1.0]);
    setup.exclude = vec![second.clone()];
    assert_eq!(setup.pick(""), Err(PickError::Busy { shed_until: None }));
    setup.balancer.on_connections(&first, ConnectionCounts { open: 9, idle: 1 });
    assert_eq!(setup.pick(""), Ok(first.clone()));
    setup.balancer.on_start(&first);
    setup.balancer.on_shed(setup.now, &first, None);
    setup.balancer.on_finish(setup.now, &first, Outcome::Shed, MS);
    let until = setup.now + 1_000 * MS;
    assert_eq!(setup.pick(""), Err(PickError::Busy { shed_until: Some(until) }));
    setup.now = until;
    assert_eq!(setup.pick(""), Ok(first.clone()));
    setup.exclude.push(first);
    assert_eq!(setup.pick(""), Err(PickError::AllTried));
    setup.exclude.clear();
    setup.set_share(0, 1.0, Standing::Leaving);
    assert_eq!(setup.shares(""), [0.0, 1.0]);
    setup.set_share(1, 1.0, Standing::Ejected);
    assert_eq!(setup.pick(""), Err(PickError::NoneInService));
}
