//! Non-idempotent requests run at most once, whatever happens to instances and the store.

use std::thread;
use std::time::Duration;

use cactustrack_test_support::caller::{Call, CallResponse};
use cactustrack_test_support::store::Outage;

use super::harness::{Fleet, ORDERS, Process, wait_until};

const SIGSTOP: i32 = 19;
const SIGCONT: i32 = 18;

fn order(key: &str) -> Call {
    let call = Call::post("orders.test", "/swap").with_header("x-tag", key);
    call.with_header("idempotency-key", key).with_header("cactustrack-account", "agency")
}

fn run_count(fleet: &Fleet, key: &str) -> usize {
    let run = format!("POST /swap {key}");
    fleet.executed("orders").iter().filter(|executed| **executed == run).count()
}

/// Status, stated execution and problem type of an answer.
fn summary(reply: &CallResponse) -> (u16, String, String) {
    let problem: serde_json::Value = serde_json::from_slice(&reply.body).unwrap_or_default();
    let kind = problem["type"].as_str().unwrap_or_default();
    let kind = kind.rsplit(':').next().unwrap_or_default().to_owned();
    (reply.status.as_u16(), reply.execution().unwrap_or_default().to_owned(), kind)
}

fn expect(reply: &CallResponse, status: u16, execution: &str, kind: &str) {
    let expected = (status, execution.to_owned(), kind.to_owned());
    assert_eq!(summary(reply), expected, "{}", reply.text());
}

fn for_all_upstreams(
    fleet: &Fleet,
    change: impl Fn(&mut cactustrack_test_support::upstream::Behaviour),
) {
    for number in 0..fleet.upstreams("orders") {
        fleet.upstream("orders", number).set(&change);
    }
}

/// Guards against a repeat that runs again, at the same moment and afterwards, through the same
/// and through other instances.
#[test]
fn concurrent_repeats_through_several_instances_run_once() {
    let fleet = Fleet::start(&[ORDERS], 3);
    for_all_upstreams(&fleet, |behaviour| behaviour.latency = Duration::from_millis(50));
    let addresses: Vec<_> = (0..12).map(|n| fleet.callers(n % 3)).collect();
    let calls = addresses
        .into_iter()
        .map(|address| thread::spawn(move || order("repeat").send(address).expect("an answer")));
    let calls: Vec<_> = calls.collect();
    let replies: Vec<CallResponse> =
        calls.into_iter().map(|call| call.join().expect("a reply")).collect();
    assert_eq!(run_count(&fleet, "repeat"), 1);
    let served = replies.iter().filter(|reply| reply.status == 200).count();
    assert_eq!(served, 1, "{:?}", replies.iter().map(summary).collect::<Vec<_>>());
    for reply in replies.iter().filter(|reply| reply.status != 200) {
        let (status, execution, _) = summary(reply);
        assert_eq!(status, 409);
        assert!(execution == "unknown" || execution == "completed", "{execution}");
    }
    wait_until("the outcome is recorded", || {
        summary(&fleet.call(1, &order("repeat"))).2 == "already-completed"
    });
    assert_eq!(run_count(&fleet, "repeat"), 1);
}

/// Guards against a repeat that runs again after the instance with the first attempt was killed.
#[test]
fn a_repeat_after_the_instance_was_killed_is_unknown_and_does_not_run() {
    let mut fleet = Fleet::start(&[ORDERS], 2);
    for_all_upstreams(&fleet, |behaviour| behaviour.latency = Duration::from_secs(2));
    let address = fleet.callers(0);
    let first = thread::spawn(move || order("killed").send(address).is_ok());
    wait_until("the order has reached an upstream", || {
        (0..fleet.upstreams("orders")).any(|n| fleet.upstream("orders", n).requests() > 0)
    });
    fleet.instance(0).kill();
    assert!(!first.join().expect("the first caller"), "the killed instance cannot answer");
    let repeat = fleet.call(1, &order("killed"));
    expect(&repeat, 409, "unknown", "in-progress");
    assert!(run_count(&fleet, "killed") <= 1);
}

/// Guards against a frozen instance that continues a request which was repeated elsewhere.
#[test]
fn a_frozen_instance_does_not_run_an_order_twice() {
    let mut fleet = Fleet::start(&[ORDERS], 2);
    for_all_upstreams(&fleet, |behaviour| behaviour.latency = Duration::from_millis(500));
    let address = fleet.callers(0);
    let first = thread::spawn(move || order("frozen").send(address));
    wait_until("the order has reached an upstream", || {
        (0..fleet.upstreams("orders")).any(|n| fleet.upstream("orders", n).requests() > 0)
    });
    fleet.instance(0).signal(SIGSTOP);
    expect(&fleet.call(1, &order("frozen")), 409, "unknown", "in-progress");
    fleet.instance(0).signal(SIGCONT);
    let first = first.join().expect("the first caller").expect("an answer");
    assert_eq!(first.status, 200, "{}", first.text());
    assert_eq!(run_count(&fleet, "frozen"), 1);
}

/// Guards against a refusal that says "not run" for an order that was run, and against an order
/// that runs although no repeat could be recognised.
#[test]
fn with_the_store_down_keyed_orders_are_refused_and_others_run() {
    let mut fleet = Fleet::start(&[ORDERS], 2);
    fleet.store.handle().set_outage_blocking(Outage::Refuse);
    let refused = fleet.call(0, &order("outage"));
    expect(&refused, 503, "not_run", "record-unavailable");
    assert_eq!(run_count(&fleet, "outage"), 0);

    let unkeyed = Call::post("orders.test", "/swap").with_header("x-tag", "unkeyed");
    assert_eq!(fleet.call(0, &unkeyed).status, 200);
    assert_eq!(run_count(&fleet, "unkeyed"), 1);

    // An instance that starts now has the configuration from its peers only.
    let late = fleet.start_instance();
    fleet.wait_ready(late);
    assert_eq!(fleet.call(late, &unkeyed).status, 200);

    fleet.store.handle().set_outage_blocking(Outage::None);
    wait_until("orders with a key run again", || fleet.call(0, &order("outage")).status == 200);
    assert_eq!(run_count(&fleet, "outage"), 1);
}

/// Guards against an order that is lost or run twice because the store's answer to its claim was
/// lost after the write took effect.
#[test]
fn a_lost_answer_to_the_claim_is_resolved() {
    let fleet = Fleet::start(&[ORDERS], 2);
    fleet.store.handle().drop_responses("cactustrack/idem/", 1);
    let reply = fleet.call(0, &order("lost-answer"));
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert_eq!(run_count(&fleet, "lost-answer"), 1);
    let repeat = fleet.call(1, &order("lost-answer"));
    assert_eq!(repeat.status, 409, "{}", repeat.text());
    assert_eq!(run_count(&fleet, "lost-answer"), 1);
}

/// Guards against a retry of an order whose connection broke after it was sent, and against a
/// claim of "not run" for it.
#[test]
fn a_broken_connection_after_the_order_was_sent_is_unknown() {
    let fleet = Fleet::start(&[ORDERS], 2);
    for_all_upstreams(&fleet, |behaviour| behaviour.abort_after_execution = true);
    expect(&fleet.call(0, &order("broken")), 502, "unknown", "upstream-failed");
    expect(&fleet.call(1, &order("broken")), 409, "unknown", "in-progress");
    assert_eq!(run_count(&fleet, "broken"), 1);
}

/// Guards against an order that stays claimed although it was certainly not run.
#[test]
fn a_shed_order_is_not_run_and_can_be_sent_again() {
    let fleet = Fleet::start(&[ORDERS], 2);
    for_all_upstreams(&fleet, |behaviour| behaviour.shed = true);
    expect(&fleet.call(0, &order("shed")), 503, "not_run", "upstream-busy");
    for_all_upstreams(&fleet, |behaviour| behaviour.shed = false);
    wait_until("the claim is released", || fleet.call(1, &order("shed")).status == 200);
    assert_eq!(run_count(&fleet, "shed"), 1);
}

/// Guards against a planned stop that cuts a request in flight or loses its outcome.
#[test]
fn a_planned_stop_finishes_orders_in_flight_and_records_them() {
    let mut fleet = Fleet::start(&[ORDERS], 2);
    for_all_upstreams(&fleet, |behaviour| behaviour.latency = Duration::from_secs(1));
    let address = fleet.callers(0);
    let first = thread::spawn(move || order("stopped").send(address));
    wait_until("the order has reached an upstream", || {
        (0..fleet.upstreams("orders")).any(|n| fleet.upstream("orders", n).requests() > 0)
    });
    for _ in 0..3 {
        // Further signals only say what is still running.
        fleet.instance(0).signal(libc::SIGTERM);
        thread::sleep(Duration::from_millis(100));
    }
    let first = first.join().expect("the first caller").expect("an answer");
    assert_eq!(first.status, 200, "{}", first.text());
    wait_until("the instance has stopped", || Process::has_stopped(fleet.instance(0)));
    expect(&fleet.call(1, &order("stopped")), 409, "completed", "already-completed");
    assert_eq!(run_count(&fleet, "stopped"), 1);
}
