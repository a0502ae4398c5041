//! Non-idempotent requests are executed at most once, whatever instance, upstream or store fails.

use std::thread;
use std::time::Duration;

use cactustrack_test_support::caller::{Call, CallResponse};
use cactustrack_test_support::store::Outage;

use super::harness::{Fleet, ORDERS, Process, wait_until};

const SIGSTOP: i32 = 19;
const SIGCONT: i32 = 18;

/// Returns a non-idempotent request with an idempotency key.
fn order(key: &str) -> Call {
    let call = Call::post("orders.test", "/swap").with_header("x-tag", key);
    call.with_header("idempotency-key", key).with_header("cactustrack-account", "agency")
}

/// Returns how often the upstreams have executed the order with this key.
fn execution_count(fleet: &Fleet, key: &str) -> usize {
    let request = format!("POST /swap {key}");
    fleet.executed("orders").iter().filter(|executed| **executed == request).count()
}

/// Returns the status, execution state and problem type of a response.
fn summary(response: &CallResponse) -> (u16, String, String) {
    let problem: serde_json::Value = serde_json::from_slice(&response.body).unwrap_or_default();
    let problem_type = problem["type"].as_str().unwrap_or_default();
    let problem_type = problem_type.rsplit(':').next().unwrap_or_default().to_owned();
    (response.status.as_u16(), response.execution().unwrap_or_default().to_owned(), problem_type)
}

fn expect(response: &CallResponse, status: u16, execution: &str, problem_type: &str) {
    let expected = (status, execution.to_owned(), problem_type.to_owned());
    assert_eq!(summary(response), expected, "{}", response.text());
}

fn set_all_upstreams(
    fleet: &Fleet,
    change: impl Fn(&mut cactustrack_test_support::upstream::Behaviour),
) {
    for number in 0..fleet.upstreams("orders") {
        fleet.upstream("orders", number).set(&change);
    }
}

/// Guards against a second execution of an order whose requests with the same key arrive
/// concurrently or later, at the same or at other instances.
#[test]
fn concurrent_requests_with_the_same_key_execute_once() {
    let fleet = Fleet::start(&[ORDERS], 3);
    set_all_upstreams(&fleet, |behaviour| behaviour.latency = Duration::from_millis(50));
    let addresses: Vec<_> = (0..12).map(|n| fleet.callers(n % 3)).collect();
    let calls = addresses
        .into_iter()
        .map(|address| thread::spawn(move || order("repeat").send(address).expect("a response")));
    let calls: Vec<_> = calls.collect();
    let responses: Vec<CallResponse> =
        calls.into_iter().map(|call| call.join().expect("a call without a panic")).collect();
    assert_eq!(execution_count(&fleet, "repeat"), 1);
    let served = responses.iter().filter(|response| response.status == 200).count();
    assert_eq!(served, 1, "{:?}", responses.iter().map(summary).collect::<Vec<_>>());
    for response in responses.iter().filter(|response| response.status != 200) {
        let (status, execution, _) = summary(response);
        assert_eq!(status, 409);
        assert!(execution == "unknown" || execution == "completed", "{execution}");
    }
    wait_until("the outcome is recorded", || {
        summary(&fleet.call(1, &order("repeat"))).2 == "already-completed"
    });
    assert_eq!(execution_count(&fleet, "repeat"), 1);
}

/// Guards against a second execution by a retry after the instance that processed the first request
/// was killed.
#[test]
fn a_retry_after_the_instance_was_killed_is_unknown_and_not_executed() {
    let mut fleet = Fleet::start(&[ORDERS], 2);
    set_all_upstreams(&fleet, |behaviour| behaviour.latency = Duration::from_secs(2));
    let address = fleet.callers(0);
    let first = thread::spawn(move || order("killed").send(address).is_ok());
    wait_until("the order has reached an upstream", || {
        (0..fleet.upstreams("orders")).any(|n| fleet.upstream("orders", n).requests() > 0)
    });
    fleet.instance(0).kill();
    assert!(!first.join().expect("the first caller"), "the killed instance cannot respond");
    let retry = fleet.call(1, &order("killed"));
    expect(&retry, 409, "unknown", "in-progress");
    assert!(execution_count(&fleet, "killed") <= 1);
}

/// Guards against a second execution when an instance is suspended during a request, the request is
/// retried at another instance, and the first instance continues.
#[test]
fn a_suspended_instance_does_not_execute_an_order_twice() {
    let mut fleet = Fleet::start(&[ORDERS], 2);
    set_all_upstreams(&fleet, |behaviour| behaviour.latency = Duration::from_millis(500));
    let address = fleet.callers(0);
    let first = thread::spawn(move || order("frozen").send(address));
    wait_until("the order has reached an upstream", || {
        (0..fleet.upstreams("orders")).any(|n| fleet.upstream("orders", n).requests() > 0)
    });
    fleet.instance(0).signal(SIGSTOP);
    expect(&fleet.call(1, &order("frozen")), 409, "unknown", "in-progress");
    fleet.instance(0).signal(SIGCONT);
    let first = first.join().expect("the first caller").expect("a response");
    assert_eq!(first.status, 200, "{}", first.text());
    assert_eq!(execution_count(&fleet, "frozen"), 1);
}

/// Guards against a rejection with "not run" for an order that was executed, and against an order
/// with a key that is executed while retries cannot be detected.
#[test]
fn with_the_store_down_keyed_orders_are_rejected_and_others_are_executed() {
    let mut fleet = Fleet::start(&[ORDERS], 2);
    fleet.store.handle().set_outage_blocking(Outage::Refuse);
    let rejected = fleet.call(0, &order("outage"));
    expect(&rejected, 503, "not_run", "record-unavailable");
    assert_eq!(execution_count(&fleet, "outage"), 0);

    let unkeyed = Call::post("orders.test", "/swap").with_header("x-tag", "unkeyed");
    assert_eq!(fleet.call(0, &unkeyed).status, 200);
    assert_eq!(execution_count(&fleet, "unkeyed"), 1);

    // An instance that starts now gets its configuration from its peers.
    let new_instance = fleet.start_instance();
    fleet.wait_ready(new_instance);
    assert_eq!(fleet.call(new_instance, &unkeyed).status, 200);

    fleet.store.handle().set_outage_blocking(Outage::None);
    wait_until("orders with a key are executed again", || {
        fleet.call(0, &order("outage")).status == 200
    });
    assert_eq!(execution_count(&fleet, "outage"), 1);
}

/// Guards against an order that is lost or executed twice because the store wrote its claim and the
/// response to this write was lost.
#[test]
fn a_lost_response_to_the_claim_is_resolved() {
    let fleet = Fleet::start(&[ORDERS], 2);
    fleet.store.handle().drop_responses("cactustrack/idem/", 1);
    let response = fleet.call(0, &order("lost-answer"));
    assert_eq!(response.status, 200, "{}", response.text());
    assert_eq!(execution_count(&fleet, "lost-answer"), 1);
    let retry = fleet.call(1, &order("lost-answer"));
    assert_eq!(retry.status, 409, "{}", retry.text());
    assert_eq!(execution_count(&fleet, "lost-answer"), 1);
}

/// Guards against a retry of an order whose connection was lost after the order was sent, and
/// against a response with "not run" for it.
#[test]
fn a_broken_connection_after_the_order_was_sent_is_unknown() {
    let fleet = Fleet::start(&[ORDERS], 2);
    set_all_upstreams(&fleet, |behaviour| behaviour.abort_after_execution = true);
    expect(&fleet.call(0, &order("broken")), 502, "unknown", "upstream-failed");
    expect(&fleet.call(1, &order("broken")), 409, "unknown", "in-progress");
    assert_eq!(execution_count(&fleet, "broken"), 1);
}

/// Guards against a claim that is kept although its order was certainly not executed.
#[test]
fn a_shed_order_is_not_executed_and_can_be_retried() {
    let fleet = Fleet::start(&[ORDERS], 2);
    set_all_upstreams(&fleet, |behaviour| behaviour.shed = true);
    expect(&fleet.call(0, &order("shed")), 503, "not_run", "upstream-busy");
    set_all_upstreams(&fleet, |behaviour| behaviour.shed = false);
    wait_until("the claim is released", || fleet.call(1, &order("shed")).status == 200);
    assert_eq!(execution_count(&fleet, "shed"), 1);
}

/// Guards against a graceful shutdown that interrupts a request in flight or loses its outcome.
#[test]
fn a_graceful_shutdown_finishes_orders_in_flight_and_records_them() {
    let mut fleet = Fleet::start(&[ORDERS], 2);
    set_all_upstreams(&fleet, |behaviour| behaviour.latency = Duration::from_secs(1));
    let address = fleet.callers(0);
    let first = thread::spawn(move || order("stopped").send(address));
    wait_until("the order has reached an upstream", || {
        (0..fleet.upstreams("orders")).any(|n| fleet.upstream("orders", n).requests() > 0)
    });
    for _ in 0..3 {
        // Further SIGTERMs only log the number of requests in flight.
        fleet.instance(0).signal(libc::SIGTERM);
        thread::sleep(Duration::from_millis(100));
    }
    let first = first.join().expect("the first caller").expect("a response");
    assert_eq!(first.status, 200, "{}", first.text());
    wait_until("the instance has stopped", || Process::has_stopped(fleet.instance(0)));
    expect(&fleet.call(1, &order("stopped")), 409, "completed", "already-completed");
    assert_eq!(execution_count(&fleet, "stopped"), 1);
}
