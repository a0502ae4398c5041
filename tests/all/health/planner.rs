//! Tests of the ejection plan, the floor and readmission.

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

/// Returns a verdict with the given number of bad responses out of 100, or a healthy one with the
/// given number of ok responses if there are no bad ones.
fn verdict(seq: u64, id: &str, bad: u32, good: u32) -> Verdict {
    let health = match bad {
        0 => VerdictHealth::Healthy,
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

/// A planner with its inputs.
struct Harness {
    now: Instant,
    service: Service,
    planner: EjectionPlanner,
    views: Vec<UpstreamView>,
    local: Vec<Verdict>,
    seq: u64,
}

impl Harness {
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

    /// Applies verdicts of one collector.
    fn apply_verdicts(&mut self, collector: &str, verdicts: &[Verdict]) {
        let name = InstanceId::from(collector);
        self.planner.apply_verdicts(self.now, &name, Incarnation(1), verdicts);
    }

    /// Applies the same verdict of all three collectors.
    fn apply_verdict_of_all(&mut self, id: &str, bad: u32, good: u32) {
        self.seq += 1;
        for collector in ["c0", "c1", "c2"] {
            self.apply_verdicts(collector, &[verdict(self.seq, id, bad, good)]);
        }
    }

    fn plan(&mut self) -> BTreeMap<UpstreamId, Share> {
        let domain = FailureDomain::from("d0");
        self.planner.plan(self.now, &self.service, &domain, &self.views, &self.local)
    }

    /// Returns the standing and the weight of an upstream, rounded to six digits.
    fn share(&mut self, id: &str) -> (Standing, f64) {
        let share = self.plan()[id];
        (share.standing, (share.weight * 1e6).round() / 1e6)
    }

    /// Advances the time by seconds. In each, the collectors confirm their verdicts.
    fn advance(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.now += Duration::from_secs(1);
            ["c0", "c1", "c2"].iter().for_each(|collector| self.apply_verdicts(collector, &[]));
            self.plan();
        }
    }
}

/// Guards against ejections by a minority, a collector without replies that prevents a majority,
/// verdicts that do not expire, and local verdicts that override those of collectors.
#[test]
fn the_majority_of_the_collectors_with_verdicts_decides() {
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
        verdicts: &'a [&'a [Verdict]],
        seconds_ago: u64,
        local: &'a [Verdict],
        ejected: bool,
    }
    let (yes, no): (&[Verdict], &[Verdict]) = (std::slice::from_ref(&faulty), &[]);
    let own = std::slice::from_ref(&own);
    let other = std::slice::from_ref(&other);
    let old = std::slice::from_ref(&old);
    let cases = [
        Case {
            name: "1 of 3",
            verdicts: &[yes, no, no],
            seconds_ago: 0,
            local: no,
            ejected: false,
        },
        Case {
            name: "2 of 3",
            verdicts: &[yes, no, yes],
            seconds_ago: 0,
            local: no,
            ejected: true,
        },
        Case { name: "1 of 2", verdicts: &[yes, no], seconds_ago: 0, local: no, ejected: false },
        Case { name: "1 of 1", verdicts: &[yes], seconds_ago: 9, local: no, ejected: true },
        Case { name: "expired", verdicts: &[yes], seconds_ago: 10, local: no, ejected: false },
        Case { name: "local verdict", verdicts: &[], seconds_ago: 0, local: yes, ejected: true },
        Case {
            name: "local verdict overridden",
            verdicts: &[no],
            seconds_ago: 0,
            local: yes,
            ejected: false,
        },
        Case {
            name: "expired, local verdict",
            verdicts: &[no],
            seconds_ago: 10,
            local: yes,
            ejected: true,
        },
        Case { name: "own domain", verdicts: &[own], seconds_ago: 0, local: no, ejected: true },
        Case {
            name: "other domain",
            verdicts: &[other],
            seconds_ago: 0,
            local: no,
            ejected: false,
        },
        Case {
            name: "earlier incarnation",
            verdicts: &[old],
            seconds_ago: 0,
            local: no,
            ejected: false,
        },
    ];
    for case in &cases {
        let mut harness = Harness::new(8);
        for (collector, verdicts) in ["c0", "c1", "c2"].iter().zip(case.verdicts) {
            harness.apply_verdicts(collector, verdicts);
        }
        harness.local = case.local.to_vec();
        harness.now += Duration::from_secs(case.seconds_ago);
        assert_eq!(harness.share("u0").0 == Standing::Ejected, case.ejected, "{}", case.name);
    }
}

/// Guards against a wrong choice or weight when the floor allows fewer ejections than there are
/// faulty upstreams.
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
            name: "the least faulty are kept when others leave",
            floor: 10,
            bad: &[("u1", 50), ("u2", 10)],
            leaving: &["u0"],
            gone: &["u3"],
            expected: [GONE, kept(0.5), kept(1.0), GONE, IN],
        },
        Case {
            name: "floor above the available capacity",
            floor: 40,
            bad: &[("u1", 50)],
            leaving: &["u0"],
            gone: &[],
            expected: [GONE, kept(1.0), IN, IN, IN],
        },
    ];
    for case in &cases {
        let mut harness = Harness::new(case.floor);
        case.bad.iter().for_each(|(id, bad)| harness.apply_verdict_of_all(id, *bad, 0));
        harness.plan();
        for view in &mut harness.views {
            view.leaving = case.leaving.contains(&&*view.id);
        }
        harness.views.retain(|view| !case.gone.contains(&&*view.id));
        for (id, expected) in ["u0", "u1", "u2", "u3", "u4"].iter().zip(case.expected) {
            if !case.gone.contains(id) {
                assert_eq!(harness.share(id), expected, "{}: {id}", case.name);
            }
        }
    }
}

/// Guards against wrong durations of ejections, stages of a trial that are skipped, and faults
/// during a trial that do not lead to an ejection at once.
#[test]
fn readmission_takes_a_trial_and_repeated_ejections_double() {
    let mut harness = Harness::new(8);
    let mut lengths = Vec::new();
    for round in 0..8 {
        harness.apply_verdict_of_all("u1", 50, 0);
        assert_eq!(harness.share("u1"), (Standing::Ejected, 0.0), "round {round}");
        harness.apply_verdict_of_all("u1", 0, 0);
        let mut seconds = 0;
        while harness.share("u1").0 == Standing::Ejected {
            harness.advance(1);
            seconds += 1;
        }
        lengths.push(seconds);
        assert_eq!(harness.share("u1"), (Standing::Trial, 0.05));
        harness.apply_verdict_of_all("u1", 0, 19);
        assert_eq!(harness.share("u1"), (Standing::Trial, 0.05));
        harness.apply_verdict_of_all("u1", 0, 20);
        assert_eq!(harness.share("u1"), (Standing::Trial, 0.25));
        harness.apply_verdict_of_all("u1", 0, 79);
        assert_eq!(harness.share("u1"), (Standing::Trial, 0.25));
        if round % 2 == 0 {
            harness.apply_verdict_of_all("u1", 0, 80);
            assert_eq!(harness.share("u1"), (Standing::InService, 1.0));
        }
    }
    assert_eq!(lengths, [5, 10, 20, 40, 80, 160, 300, 300]);
    harness.apply_verdict_of_all("u1", 0, 80);
    harness.advance(600);
    harness.apply_verdict_of_all("u1", 50, 0);
    harness.plan();
    harness.apply_verdict_of_all("u1", 0, 0);
    harness.advance(5);
    assert_eq!(
        harness.share("u1").0,
        Standing::Trial,
        "an ejection after ten minutes has the base duration again"
    );
}

/// Guards against an ejection that ends while the collectors still report the fault, and a trial
/// that never ends because new collectors have no verdict.
#[test]
fn trials_depend_on_the_verdicts_of_collectors() {
    let mut harness = Harness::new(8);
    harness.apply_verdict_of_all("u1", 50, 0);
    harness.advance(8);
    assert_eq!(harness.share("u1"), (Standing::Ejected, 0.0));
    let verdicts = [("c0", 2), ("c1", 2), ("c2", 2)];
    for (collector, incarnation) in verdicts {
        let name = InstanceId::from(collector);
        harness.planner.apply_verdicts(harness.now, &name, Incarnation(incarnation), &[]);
    }
    assert_eq!(harness.share("u1"), (Standing::Trial, 0.05));
    for _ in 0..61 {
        harness.now += Duration::from_secs(1);
        let name = InstanceId::from("c0");
        harness.planner.apply_verdicts(harness.now, &name, Incarnation(2), &[]);
        harness.plan();
    }
    assert_eq!(harness.share("u1"), (Standing::InService, 1.0));
}

/// Guards against fault history that survives a restart, and against full load on an upstream that
/// just started.
#[test]
fn a_new_incarnation_has_no_fault_history_and_is_ramped_up() {
    let mut harness = Harness::new(8);
    harness.apply_verdict_of_all("u1", 50, 0);
    harness.plan();
    harness.views[1].incarnation = Incarnation(2);
    harness.views[1].cold_since = Some(harness.now);
    for (seconds, expected) in [(0, 0.1), (5, 0.55), (5, 1.0)] {
        harness.advance(seconds);
        let standing = if expected < 1.0 { Standing::Ramping } else { Standing::InService };
        assert_eq!(harness.share("u1"), (standing, expected));
    }
}

/// Guards against decisions that are not recorded or recorded with each plan, and against records
/// that are not restored from their serialized form.
#[test]
fn decisions_are_recorded_with_their_evidence() {
    let mut harness = Harness::new(16);
    harness.apply_verdict_of_all("u1", 50, 0);
    harness.apply_verdict_of_all("u2", 10, 0);
    harness.plan();
    harness.advance(3);
    harness.apply_verdict_of_all("u1", 0, 0);
    harness.advance(2);
    harness.apply_verdict_of_all("u1", 0, 80);
    harness.advance(1);
    let evidence = |failed| {
        format!(
            "{failed} failed, 0 refused, 0 cut short and 0 slow of 100 answers seen by 9 observers \
             give a score of 20.0 nats against a threshold of 16.0; \
             16.0 of 20.0 slots are in service against a floor of 16"
        )
    };
    let text: Vec<String> = harness.planner.decisions().iter().map(Decision::to_string).collect();
    let expected = [
        format!("archeio: ejected u1 for 5000 ms (number 1): {}", evidence(50)),
        format!("archeio: kept faulty u2 at weight 1.000 for the floor: {}", evidence(10)),
        "archeio: u1 is on trial at weight 0.050".to_owned(),
        "archeio: readmitted u1 after its trial".to_owned(),
        format!("archeio: ejected u2 for 5000 ms (number 1): {}", evidence(10)),
    ];
    assert_eq!(text, expected);
    for decision in harness.planner.decisions().iter() {
        let json = serde_json::to_string(decision).expect("a decision serializes");
        let back: Decision = serde_json::from_str(&json).expect("a decision deserializes");
        assert_eq!(back, *decision);
    }
}

/// One change between two plans.
#[derive(Clone, Debug)]
enum Change {
    Advance(u64),
    Verdict { collector: usize, upstream: usize, bad: u32, good: u32 },
    ToggleLeaving(usize),
    ToggleListed(usize),
    Restart(usize),
    SetFloor(u32),
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        3 => (0u64..20_000).prop_map(Change::Advance),
        8 => (0usize..3, 0usize..5, prop_oneof![Just(0u32), 1u32..=100], 0u32..100).prop_map(
            |(collector, upstream, bad, good)| Change::Verdict { collector, upstream, bad, good }
        ),
        1 => (0usize..5).prop_map(Change::ToggleLeaving),
        1 => (0usize..5).prop_map(Change::ToggleListed),
        1 => (0usize..5).prop_map(Change::Restart),
        1 => (0u32..24).prop_map(Change::SetFloor),
    ]
}

fn apply(harness: &mut Harness, listed: &mut [bool], all: &mut [UpstreamView], change: &Change) {
    match *change {
        Change::Advance(ms) => harness.now += Duration::from_millis(ms),
        Change::Verdict { collector, upstream, bad, good } => {
            harness.seq += 1;
            let mut verdict = verdict(harness.seq, &all[upstream].id, bad, good);
            verdict.incarnation = all[upstream].incarnation;
            harness.apply_verdicts(&format!("c{collector}"), std::slice::from_ref(&verdict));
            harness.local = vec![verdict];
        }
        Change::ToggleLeaving(upstream) => all[upstream].leaving = !all[upstream].leaving,
        Change::ToggleListed(upstream) => listed[upstream] = !listed[upstream],
        Change::Restart(upstream) => {
            all[upstream].incarnation.0 += 1;
            all[upstream].cold_since = Some(harness.now);
        }
        Change::SetFloor(floor) => harness.service.floor_slots = floor,
    }
    let listed = all.iter().zip(listed).filter(|(_, listed)| **listed);
    harness.views = listed.map(|(view, _)| view.clone()).collect();
}

/// Returns the capacity without ejections, computed from the definition of the ramp.
fn available(harness: &Harness) -> f64 {
    let Millis(ramp) = harness.service.ramp;
    let live = harness.views.iter().filter(|view| !view.leaving);
    let weights = live.map(|view| {
        let cold = view.cold_since.map(|since| (harness.now - since).as_secs_f64());
        cold.map_or(1.0, |cold| (0.1 + 0.9 * cold / ramp.as_secs_f64()).min(1.0))
    });
    4.0 * weights.sum::<f64>()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]

    /// Guards against ejections that take a service below its floor, requests to upstreams that
    /// are leaving, and faulty upstreams that are kept with more weight than the floor requires.
    #[test]
    fn the_floor_holds_in_each_plan(
        floor in 0u32..24,
        changes in prop::collection::vec(change(), 1..80),
    ) {
        let mut harness = Harness::new(floor);
        let mut all = harness.views.clone();
        let mut listed = [true; 5];
        for change in &changes {
            apply(&mut harness, &mut listed, &mut all, change);
            let plan = harness.plan();
            let in_service: f64 = plan.values().map(|share| share.weight * 4.0).sum();
            let needed = available(&harness).min(f64::from(harness.service.floor_slots));
            prop_assert!(in_service >= needed - 1e-9, "{in_service} < {needed} after {change:?}");
            if plan.values().any(|share| share.standing == Standing::KeptForFloor) {
                prop_assert!(in_service <= needed + 1e-6, "{in_service} > {needed}");
            }
            for view in &harness.views {
                let share = plan[&view.id];
                prop_assert!((0.0..=1.0).contains(&share.weight));
                prop_assert_eq!(view.leaving, share.standing == Standing::Leaving);
                prop_assert!(!view.leaving || share.weight == 0.0);
            }
        }
    }
}
