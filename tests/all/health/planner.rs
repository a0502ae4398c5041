//! The ejection plan, the floor and readmission.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cactustrack_health::{Decision, EjectionPlanner};
use cactustrack_types::{
    Counts, FailureDomain, Incarnation, InstanceId, Millis, Scope, Service, Share, Standing,
    UpstreamId, UpstreamView, Verdict, VerdictHealth,
};
use proptest::prelude::*;

use super::service;

fn view(id: &str) -> UpstreamView {
    UpstreamView {
        id: id.into(),
        service: Arc::from("archeio"),
        address: ([127, 0, 0, 1], 1).into(),
        failure_domain: Arc::from("d0"),
        region: Arc::from("r0"),
        incarnation: Incarnation(1),
        leaving: false,
        cold_since: None,
    }
}

/// A verdict with the given number of bad answers out of 100, or of good answers if it has none.
fn verdict(seq: u64, id: &str, bad: u32, good: u32) -> Verdict {
    let health = match bad {
        0 => VerdictHealth::Good,
        _ => VerdictHealth::Faulty { scope: Scope::Everywhere },
    };
    let good = if bad > 0 { 100 - bad } else { good };
    Verdict {
        upstream: id.into(),
        incarnation: Incarnation(1),
        health,
        score: 20.0,
        threshold: 16.0,
        evidence: Counts { ok: good, failed: bad, ..Counts::default() },
        observers: 9,
        seq,
    }
}

struct Session {
    now: Instant,
    service: Service,
    planner: EjectionPlanner,
    views: Vec<UpstreamView>,
    local: Vec<Verdict>,
    seq: u64,
}

impl Session {
    fn new(floor_slots: u32) -> Self {
        let now = Instant::now();
        Self {
            now,
            service: service(floor_slots),
            planner: EjectionPlanner::new(now, Arc::from("archeio")),
            views: ["u0", "u1", "u2", "u3", "u4"].map(view).to_vec(),
            local: Vec::new(),
            seq: 0,
        }
    }

    fn hear(&mut self, collector: &str, verdicts: &[Verdict]) {
        let name = InstanceId::from(collector);
        self.planner.exchange(self.now, &name, Incarnation(1), verdicts);
    }

    /// All three collectors say the same.
    fn hear_all(&mut self, id: &str, bad: u32, good: u32) {
        self.seq += 1;
        for collector in ["c0", "c1", "c2"] {
            self.hear(collector, &[verdict(self.seq, id, bad, good)]);
        }
    }

    fn plan(&mut self) -> BTreeMap<UpstreamId, Share> {
        let domain = FailureDomain::from("d0");
        self.planner.plan(self.now, &self.service, &domain, &self.views, &self.local)
    }

    fn share(&mut self, id: &str) -> (Standing, f64) {
        let share = self.plan()[id];
        (share.standing, (share.weight * 1e6).round() / 1e6)
    }

    /// Lets time pass, during which the collectors confirm their verdicts.
    fn pass(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.now += Duration::from_secs(1);
            ["c0", "c1", "c2"].iter().for_each(|collector| self.hear(collector, &[]));
            self.plan();
        }
    }
}

/// Guards against a minority that ejects, a silent collector that blocks a majority, verdicts that
/// do not expire, and own evidence that overrules collectors.
#[test]
fn the_majority_of_the_collectors_heard_decides() {
    let other = Verdict {
        health: VerdictHealth::Faulty { scope: Scope::Domain(Arc::from("d1")) },
        ..verdict(1, "u0", 50, 0)
    };
    let own = Verdict {
        health: VerdictHealth::Faulty { scope: Scope::Domain(Arc::from("d0")) },
        ..verdict(1, "u0", 50, 0)
    };
    let old = Verdict { incarnation: Incarnation(0), ..verdict(1, "u0", 50, 0) };
    let faulty = verdict(1, "u0", 50, 0);
    struct Case<'a> {
        name: &'static str,
        heard: &'a [&'a [Verdict]],
        seconds_ago: u64,
        local: &'a [Verdict],
        ejected: bool,
    }
    let (yes, no): (&[Verdict], &[Verdict]) = (std::slice::from_ref(&faulty), &[]);
    let own = std::slice::from_ref(&own);
    let other = std::slice::from_ref(&other);
    let old = std::slice::from_ref(&old);
    let cases = [
        Case { name: "1 of 3", heard: &[yes, no, no], seconds_ago: 0, local: no, ejected: false },
        Case { name: "2 of 3", heard: &[yes, no, yes], seconds_ago: 0, local: no, ejected: true },
        Case { name: "1 of 2", heard: &[yes, no], seconds_ago: 0, local: no, ejected: false },
        Case { name: "1 of 1", heard: &[yes], seconds_ago: 9, local: no, ejected: true },
        Case { name: "expired", heard: &[yes], seconds_ago: 10, local: no, ejected: false },
        Case { name: "own evidence", heard: &[], seconds_ago: 0, local: yes, ejected: true },
        Case { name: "overruled", heard: &[no], seconds_ago: 0, local: yes, ejected: false },
        Case { name: "expired, own", heard: &[no], seconds_ago: 10, local: yes, ejected: true },
        Case { name: "own domain", heard: &[own], seconds_ago: 0, local: no, ejected: true },
        Case { name: "other domain", heard: &[other], seconds_ago: 0, local: no, ejected: false },
        Case { name: "earlier life", heard: &[old], seconds_ago: 0, local: no, ejected: false },
    ];
    for case in &cases {
        let mut session = Session::new(8);
        for (collector, verdicts) in ["c0", "c1", "c2"].iter().zip(case.heard) {
            session.hear(collector, verdicts);
        }
        session.local = case.local.to_vec();
        session.now += Duration::from_secs(case.seconds_ago);
        assert_eq!(session.share("u0").0 == Standing::Ejected, case.ejected, "{}", case.name);
    }
}

/// Guards against a wrong choice or weight when the floor allows fewer ejections than there are
/// faults.
#[test]
fn the_floor_limits_ejections() {
    const IN: (Standing, f64) = (Standing::InService, 1.0);
    const OUT: (Standing, f64) = (Standing::Ejected, 0.0);
    const GONE: (Standing, f64) = (Standing::Leaving, 0.0);
    let kept = |weight| (Standing::KeptForFloor, weight);
    struct Case {
        name: &'static str,
        floor: u32,
        bad: &'static [(&'static str, u32)],
        leaving: &'static [&'static str],
        gone: &'static [&'static str],
        expected: [(Standing, f64); 5],
    }
    let cases = [
        Case {
            name: "floor allows all",
            floor: 12,
            bad: &[("u1", 50), ("u2", 10)],
            leaving: &[],
            gone: &[],
            expected: [IN, OUT, OUT, IN, IN],
        },
        Case {
            name: "least faulty is kept at the smallest weight",
            floor: 13,
            bad: &[("u1", 50), ("u2", 10)],
            leaving: &[],
            gone: &[],
            expected: [IN, OUT, kept(0.25), IN, IN],
        },
        Case {
            name: "ties by id",
            floor: 16,
            bad: &[("u4", 50), ("u2", 50)],
            leaving: &[],
            gone: &[],
            expected: [IN, IN, kept(1.0), IN, OUT],
        },
        Case {
            name: "upstreams that leave bring back the least faulty at once",
            floor: 10,
            bad: &[("u1", 50), ("u2", 10)],
            leaving: &["u0"],
            gone: &["u3"],
            expected: [GONE, kept(0.5), kept(1.0), GONE, IN],
        },
        Case {
            name: "floor above what is there",
            floor: 40,
            bad: &[("u1", 50)],
            leaving: &["u0"],
            gone: &[],
            expected: [GONE, kept(1.0), IN, IN, IN],
        },
    ];
    for case in &cases {
        let mut session = Session::new(case.floor);
        case.bad.iter().for_each(|(id, bad)| session.hear_all(id, *bad, 0));
        session.plan();
        for view in &mut session.views {
            view.leaving = case.leaving.contains(&&*view.id);
        }
        session.views.retain(|view| !case.gone.contains(&&*view.id));
        for (id, expected) in ["u0", "u1", "u2", "u3", "u4"].iter().zip(case.expected) {
            if !case.gone.contains(id) {
                assert_eq!(session.share(id), expected, "{}: {id}", case.name);
            }
        }
    }
}

/// Guards against wrong lengths of ejections, stages of a trial that are skipped, and faults during
/// a trial that wait.
#[test]
fn readmission_is_a_trial_and_repeats_double() {
    let mut session = Session::new(8);
    let mut lengths = Vec::new();
    for round in 0..8 {
        session.hear_all("u1", 50, 0);
        assert_eq!(session.share("u1"), (Standing::Ejected, 0.0), "round {round}");
        session.hear_all("u1", 0, 0);
        let mut seconds = 0;
        while session.share("u1").0 == Standing::Ejected {
            session.pass(1);
            seconds += 1;
        }
        lengths.push(seconds);
        assert_eq!(session.share("u1"), (Standing::Trial, 0.05));
        session.hear_all("u1", 0, 19);
        assert_eq!(session.share("u1"), (Standing::Trial, 0.05));
        session.hear_all("u1", 0, 20);
        assert_eq!(session.share("u1"), (Standing::Trial, 0.25));
        session.hear_all("u1", 0, 79);
        assert_eq!(session.share("u1"), (Standing::Trial, 0.25));
        if round % 2 == 0 {
            session.hear_all("u1", 0, 80);
            assert_eq!(session.share("u1"), (Standing::InService, 1.0));
        }
    }
    assert_eq!(lengths, [5, 10, 20, 40, 80, 160, 300, 300]);
    session.hear_all("u1", 0, 80);
    session.pass(600);
    session.hear_all("u1", 50, 0);
    session.plan();
    session.hear_all("u1", 0, 0);
    session.pass(5);
    assert_eq!(session.share("u1").0, Standing::Trial, "short again after ten minutes");
}

/// Guards against an ejection that ends while the collectors still see the fault, and against a
/// trial that never ends because new collectors know nothing.
#[test]
fn trials_follow_what_collectors_know() {
    let mut session = Session::new(8);
    session.hear_all("u1", 50, 0);
    session.pass(8);
    assert_eq!(session.share("u1"), (Standing::Ejected, 0.0));
    let verdicts = [("c0", 2), ("c1", 2), ("c2", 2)];
    for (collector, incarnation) in verdicts {
        let name = InstanceId::from(collector);
        session.planner.exchange(session.now, &name, Incarnation(incarnation), &[]);
    }
    assert_eq!(session.share("u1"), (Standing::Trial, 0.05));
    for _ in 0..61 {
        session.now += Duration::from_secs(1);
        let name = InstanceId::from("c0");
        session.planner.exchange(session.now, &name, Incarnation(2), &[]);
        session.plan();
    }
    assert_eq!(session.share("u1"), (Standing::InService, 1.0));
}

/// Guards against fault history that survives a restart, and against full load on a cold upstream.
#[test]
fn a_new_incarnation_is_clean_and_cold() {
    let mut session = Session::new(8);
    session.hear_all("u1", 50, 0);
    session.plan();
    session.views[1].incarnation = Incarnation(2);
    session.views[1].cold_since = Some(session.now);
    for (seconds, expected) in [(0, 0.1), (5, 0.55), (5, 1.0)] {
        session.pass(seconds);
        let standing = if expected < 1.0 { Standing::Ramping } else { Standing::InService };
        assert_eq!(session.share("u1"), (standing, expected));
    }
}

/// Guards against decisions that are not recorded or recorded at each step, and against records
/// that do not survive serialization.
#[test]
fn decisions_are_explained() {
    let mut session = Session::new(16);
    session.hear_all("u1", 50, 0);
    session.hear_all("u2", 10, 0);
    session.plan();
    session.pass(3);
    session.hear_all("u1", 0, 0);
    session.pass(2);
    session.hear_all("u1", 0, 80);
    session.pass(1);
    let evidence = |failed| {
        format!(
            "{failed} failed, 0 refused, 0 cut short and 0 slow of 100 answers seen by 9 observers \
             give a score of 20.0 nats against a threshold of 16.0; \
             16.0 of 20.0 slots are in service against a floor of 16"
        )
    };
    let text: Vec<String> = session.planner.decisions().iter().map(Decision::to_string).collect();
    let expected = [
        format!("archeio: ejected u1 for 5000 ms (number 1): {}", evidence(50)),
        format!("archeio: kept faulty u2 at weight 1.000 for the floor: {}", evidence(10)),
        "archeio: u1 is on trial at weight 0.050".to_owned(),
        "archeio: readmitted u1 after its trial".to_owned(),
        format!("archeio: ejected u2 for 5000 ms (number 1): {}", evidence(10)),
    ];
    assert_eq!(text, expected);
    for decision in session.planner.decisions().iter() {
        let json = serde_json::to_string(decision).expect("a decision serializes");
        let back: Decision = serde_json::from_str(&json).expect("a decision deserializes");
        assert_eq!(back, *decision);
    }
}

/// One change between two plans.
#[derive(Clone, Debug)]
enum Change {
    Pass(u64),
    Verdict { collector: usize, upstream: usize, bad: u32, good: u32 },
    Leave(usize),
    Vanish(usize),
    Restart(usize),
    Floor(u32),
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        3 => (0u64..20_000).prop_map(Change::Pass),
        8 => (0usize..3, 0usize..5, prop_oneof![Just(0u32), 1u32..=100], 0u32..100).prop_map(
            |(collector, upstream, bad, good)| Change::Verdict { collector, upstream, bad, good }
        ),
        1 => (0usize..5).prop_map(Change::Leave),
        1 => (0usize..5).prop_map(Change::Vanish),
        1 => (0usize..5).prop_map(Change::Restart),
        1 => (0u32..24).prop_map(Change::Floor),
    ]
}

fn apply(session: &mut Session, listed: &mut [bool], all: &mut [UpstreamView], change: &Change) {
    match *change {
        Change::Pass(ms) => session.now += Duration::from_millis(ms),
        Change::Verdict { collector, upstream, bad, good } => {
            session.seq += 1;
            let mut verdict = verdict(session.seq, &all[upstream].id, bad, good);
            verdict.incarnation = all[upstream].incarnation;
            session.hear(&format!("c{collector}"), std::slice::from_ref(&verdict));
            session.local = vec![verdict];
        }
        Change::Leave(upstream) => all[upstream].leaving = !all[upstream].leaving,
        Change::Vanish(upstream) => listed[upstream] = !listed[upstream],
        Change::Restart(upstream) => {
            all[upstream].incarnation.0 += 1;
            all[upstream].cold_since = Some(session.now);
        }
        Change::Floor(floor) => session.service.floor_slots = floor,
    }
    let listed = all.iter().zip(listed).filter(|(_, listed)| **listed);
    session.views = listed.map(|(view, _)| view.clone()).collect();
}

/// Capacity without ejections, from the definition of the ramp.
fn available(session: &Session) -> f64 {
    let Millis(ramp) = session.service.ramp;
    let live = session.views.iter().filter(|view| !view.leaving);
    let weights = live.map(|view| {
        let cold = view.cold_since.map(|since| (session.now - since).as_secs_f64());
        cold.map_or(1.0, |cold| (0.1 + 0.9 * cold / ramp.as_secs_f64()).min(1.0))
    });
    4.0 * weights.sum::<f64>()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]

    /// Guards against any step in which ejections take a service below its floor, work for
    /// upstreams that leave, and faulty upstreams that are kept with more than the floor needs.
    #[test]
    fn the_floor_holds_in_every_step(
        floor in 0u32..24,
        changes in prop::collection::vec(change(), 1..80),
    ) {
        let mut session = Session::new(floor);
        let mut all = session.views.clone();
        let mut listed = [true; 5];
        for change in &changes {
            apply(&mut session, &mut listed, &mut all, change);
            let plan = session.plan();
            let in_service: f64 = plan.values().map(|share| share.weight * 4.0).sum();
            let needed = available(&session).min(f64::from(session.service.floor_slots));
            prop_assert!(in_service >= needed - 1e-9, "{in_service} < {needed} after {change:?}");
            if plan.values().any(|share| share.standing == Standing::KeptForFloor) {
                prop_assert!(in_service <= needed + 1e-6, "{in_service} > {needed}");
            }
            for view in &session.views {
                let share = plan[&view.id];
                prop_assert!((0.0..=1.0).contains(&share.weight));
                prop_assert_eq!(view.leaving, share.standing == Standing::Leaving);
                prop_assert!(!view.leaving || share.weight == 0.0);
            }
        }
    }
}
