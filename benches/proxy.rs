//! Measures what one instance adds to a request: latency, CPU time, memory and attempts.
//!
//! Store, instance list, upstreams, load generator and instance run in one process on separate
//! threads. Requests through the instance alternate with direct requests to the same upstreams, so
//! that other work on the machine affects both equally. Prints one line for each figure:
//! `name: value unit (target)`.

#[path = "proxy/harness.rs"]
mod harness;
#[path = "proxy/load.rs"]
mod load;

use std::time::Duration;

use harness::{Harness, thread_cpu};
use load::{BodyDownload, Latencies, Load, closed_loop, open_loop};

/// Target for the latency that the instance adds at p99, at 200 requests per second on loopback.
const ADDED_P99_TARGET_US: u64 = 1000;
/// Target for the number of attempts per request while all upstreams fail.
const AMPLIFICATION_TARGET: f64 = 1.1;
/// Target for the growth of peak memory from a body of 64 MiB to one of 1 GiB. Memory use counts as
/// constant up to it.
const MEMORY_GROWTH_TARGET_KIB: u64 = 16 * 1024;

const SMALL_BODY_BYTES: u64 = 64 << 20;
const LARGE_BODY_BYTES: u64 = 1 << 30;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    // `cargo test` also runs benches, but figures of a debug build are meaningless.
    if !args.iter().any(|arg| arg == "--bench") {
        return;
    }
    // The filter selects the sections whose names contain it.
    let filter = args.iter().find(|arg| !arg.starts_with('-')).cloned().unwrap_or_default();
    let sections: [(&str, fn()); 6] = [
        ("latency", || latency("200 req/s", 200, 10, Duration::from_secs(10), 0)),
        ("latency-high", || latency("5000 req/s", 5000, 50, Duration::from_secs(6), 0)),
        ("latency-idle", || {
            latency("200 req/s with 1000 idle connections", 200, 10, Duration::from_secs(10), 1000);
        }),
        ("throughput", throughput),
        ("body", large_body),
        ("amplification", amplification),
    ];
    for (_, run) in sections.into_iter().filter(|(name, _)| name.contains(&filter)) {
        run();
    }
}

/// Prints a figure, with its target and whether it is met if there is one.
fn print_figure(
    name: &str,
    value: impl std::fmt::Display,
    unit: &str,
    target: Option<(String, bool)>,
) {
    match target {
        Some((target, met)) => {
            let result = if met { "met" } else { "MISSED" };
            println!("{name}: {value} {unit} (target {target}: {result})");
        }
        None => println!("{name}: {value} {unit}"),
    }
}

fn latency(name: &str, rate: u32, connections: u32, time: Duration, idle: usize) {
    let harness = Harness::start();
    let _idle = harness.idle_connections(idle);
    let load = Load { rate, connections, time };
    let Latencies { direct, proxied, failed } = open_loop(&harness, &load);
    for (percentile, target) in [(50.0, None), (99.0, Some(ADDED_P99_TARGET_US))] {
        let (direct, proxied) =
            (direct.value_at_percentile(percentile), proxied.value_at_percentile(percentile));
        let added = proxied.saturating_sub(direct);
        let target = target.filter(|_| rate == 200);
        let target = target.map(|target| (format!("< {target} us"), added < target));
        print_figure(&format!("{name}, direct p{percentile}"), direct, "us", None);
        print_figure(&format!("{name}, added p{percentile}"), added, "us", target);
    }
    print_figure(&format!("{name}, requests"), proxied.len(), "requests", None);
    print_figure(&format!("{name}, failed"), failed, "requests", None);
}

fn throughput() {
    const TIME: Duration = Duration::from_secs(5);
    let harness = Harness::start();
    let cpu = thread_cpu(&harness.instance_thread);
    let (done, failed) = closed_loop(harness.callers, "/", 32, TIME, u64::MAX);
    let cpu = thread_cpu(&harness.instance_thread).saturating_sub(cpu);
    let rate = done as f64 / TIME.as_secs_f64();
    print_figure("throughput of one instance", format!("{rate:.0}"), "req/s", None);
    let per_request = cpu.as_secs_f64() * 1e6 / (done.max(1) as f64);
    print_figure("CPU time of the instance", format!("{per_request:.1}"), "us/request", None);
    let share = cpu.as_secs_f64() / TIME.as_secs_f64();
    print_figure("load of the instance's core", format!("{share:.2}"), "cores", None);
    print_figure("throughput, failed", failed, "requests", None);
}

fn large_body() {
    let harness = Harness::start();
    let small = BodyDownload::read(harness.callers, SMALL_BODY_BYTES);
    let direct = BodyDownload::read(harness.upstreams.all[0].address, LARGE_BODY_BYTES);
    let large = BodyDownload::read(harness.callers, LARGE_BODY_BYTES);
    print_figure("1 GiB body, direct", direct.mib_per_second(), "MiB/s", None);
    print_figure("1 GiB body, through the instance", large.mib_per_second(), "MiB/s", None);
    let complete = large.is_complete && small.is_complete;
    print_figure("1 GiB body complete", complete, "", Some(("true".to_owned(), complete)));
    print_figure("peak memory of the process, 64 MiB body", small.peak_kib, "KiB", None);
    print_figure("peak memory of the process, 1 GiB body", large.peak_kib, "KiB", None);
    let growth = large.peak_kib.saturating_sub(small.peak_kib);
    let target = (format!("<= {MEMORY_GROWTH_TARGET_KIB} KiB"), growth <= MEMORY_GROWTH_TARGET_KIB);
    print_figure("memory growth from 64 MiB to 1 GiB", growth, "KiB", Some(target));
}

fn amplification() {
    const REQUESTS: u64 = 5000;
    let harness = Harness::start();
    for upstream in &harness.upstreams.all {
        upstream.control.set(|behaviour| behaviour.failure_rate = 1.0);
    }
    let before = harness.upstream_requests();
    let (done, _) = closed_loop(harness.callers, "/", 8, Duration::from_secs(20), REQUESTS);
    let attempts = harness.upstream_requests() - before;
    let ratio = attempts as f64 / done.max(1) as f64;
    let target = (format!("<= {AMPLIFICATION_TARGET}"), ratio <= AMPLIFICATION_TARGET);
    print_figure("requests with all upstreams failing", done, "requests", None);
    print_figure("attempts for each of them", format!("{ratio:.3}"), "attempts", Some(target));
}
