//! Measures what one instance adds to a request: latency, CPU time, memory and attempts.
//!
//! Store, instance list, upstreams, load and instance run in one process on threads of their own.
//! Requests through the instance alternate with requests to the same upstreams directly, so both
//! meet the same disturbance by other work on the machine. The output has one line for each figure:
//! `name: value unit (target)`.

#[path = "proxy/load.rs"]
mod load;
#[path = "proxy/stage.rs"]
mod stage;

use std::time::Duration;

use load::{Load, Measured, Sink, closed_loop, open_loop};
use stage::{Stage, thread_cpu};

/// Added latency at p99 that the instance may cost at 200 requests a second on loopback.
const ADDED_P99_TARGET_US: u64 = 1000;
/// Attempts for each request when all upstreams fail.
const AMPLIFICATION_TARGET: f64 = 1.1;
/// Growth of memory from a body of 64 MiB to one of 1 GiB that counts as flat.
const MEMORY_GROWTH_TARGET_KIB: u64 = 16 * 1024;

const SMALL_BODY_BYTES: u64 = 64 << 20;
const LARGE_BODY_BYTES: u64 = 1 << 30;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    // `cargo test` also starts benches, and has no use for figures of a debug build.
    if !args.iter().any(|arg| arg == "--bench") {
        return;
    }
    // A part of a name selects the parts that are run.
    let filter = args.iter().find(|arg| !arg.starts_with('-')).cloned().unwrap_or_default();
    let parts: [(&str, fn()); 6] = [
        ("latency", || latency("200 req/s", 200, 10, Duration::from_secs(10), 0)),
        ("latency-high", || latency("5000 req/s", 5000, 50, Duration::from_secs(6), 0)),
        ("latency-idle", || {
            latency("200 req/s with 1000 idle connections", 200, 10, Duration::from_secs(10), 1000);
        }),
        ("throughput", throughput),
        ("body", large_body),
        ("amplification", amplification),
    ];
    for (_, run) in parts.into_iter().filter(|(name, _)| name.contains(&filter)) {
        run();
    }
}

fn line(name: &str, value: impl std::fmt::Display, unit: &str, target: Option<(String, bool)>) {
    match target {
        Some((target, met)) => {
            let verdict = if met { "met" } else { "MISSED" };
            println!("{name}: {value} {unit} (target {target}: {verdict})");
        }
        None => println!("{name}: {value} {unit}"),
    }
}

fn latency(name: &str, rate: u32, connections: u32, time: Duration, idle: usize) {
    let stage = Stage::start();
    let _idle = stage.idle_connections(idle);
    let load = Load { rate, connections, time };
    let Measured { direct, proxied, failed } = open_loop(&stage, &load);
    for (percentile, target) in [(50.0, None), (99.0, Some(ADDED_P99_TARGET_US))] {
        let (direct, proxied) =
            (direct.value_at_percentile(percentile), proxied.value_at_percentile(percentile));
        let added = proxied.saturating_sub(direct);
        let target = target.filter(|_| rate == 200);
        let target = target.map(|target| (format!("< {target} us"), added < target));
        line(&format!("{name}, direct p{percentile}"), direct, "us", None);
        line(&format!("{name}, added p{percentile}"), added, "us", target);
    }
    line(&format!("{name}, requests"), proxied.len(), "requests", None);
    line(&format!("{name}, failed"), failed, "requests", None);
}

fn throughput() {
    const TIME: Duration = Duration::from_secs(5);
    let stage = Stage::start();
    let cpu = thread_cpu(&stage.instance_thread);
    let (done, failed) = closed_loop(stage.callers, "/", 32, TIME, u64::MAX);
    let cpu = thread_cpu(&stage.instance_thread).saturating_sub(cpu);
    let rate = done as f64 / TIME.as_secs_f64();
    line("throughput of one instance", format!("{rate:.0}"), "req/s", None);
    let per_request = cpu.as_secs_f64() * 1e6 / (done.max(1) as f64);
    line("CPU time of the instance", format!("{per_request:.1}"), "us/request", None);
    let share = cpu.as_secs_f64() / TIME.as_secs_f64();
    line("load of the instance's core", format!("{share:.2}"), "cores", None);
    line("throughput, failed", failed, "requests", None);
}

fn large_body() {
    let stage = Stage::start();
    let small = Sink::read(stage.callers, SMALL_BODY_BYTES);
    let direct = Sink::read(stage.upstreams.all[0].address, LARGE_BODY_BYTES);
    let large = Sink::read(stage.callers, LARGE_BODY_BYTES);
    line("1 GiB body, direct", direct.mib_per_second(), "MiB/s", None);
    line("1 GiB body, through the instance", large.mib_per_second(), "MiB/s", None);
    let complete = large.is_complete && small.is_complete;
    line("1 GiB body complete", complete, "", Some(("true".to_owned(), complete)));
    line("peak memory of the process, 64 MiB body", small.peak_kib, "KiB", None);
    line("peak memory of the process, 1 GiB body", large.peak_kib, "KiB", None);
    let growth = large.peak_kib.saturating_sub(small.peak_kib);
    let target = (format!("<= {MEMORY_GROWTH_TARGET_KIB} KiB"), growth <= MEMORY_GROWTH_TARGET_KIB);
    line("memory growth from 64 MiB to 1 GiB", growth, "KiB", Some(target));
}

fn amplification() {
    const REQUESTS: u64 = 5000;
    let stage = Stage::start();
    for upstream in &stage.upstreams.all {
        upstream.control.set(|behaviour| behaviour.failure_rate = 1.0);
    }
    let before = stage.upstream_requests();
    let (done, _) = closed_loop(stage.callers, "/", 8, Duration::from_secs(20), REQUESTS);
    let attempts = stage.upstream_requests() - before;
    let ratio = attempts as f64 / done.max(1) as f64;
    let target = (format!("<= {AMPLIFICATION_TARGET}"), ratio <= AMPLIFICATION_TARGET);
    line("requests with all upstreams failing", done, "requests", None);
    line("attempts for each of them", format!("{ratio:.3}"), "attempts", Some(target));
}
