//! Runs instances as separate processes, injects random faults from outside, and checks the
//! documented guarantees against what callers and upstreams observe.
//!
//! ```text
//! cargo build --release --bins
//! cargo run --release --example soak -- --seed 7 --seconds 60
//! ```
//!
//! The seed determines the schedule of the faults. The exit status is nonzero if a guarantee was
//! violated or a run failed; the logs of the instances are then kept.

mod account_checks;
mod accounts;
mod callers;
mod contents;
#[path = "../../tests/all/platform/documents.rs"]
mod documents;
mod fleet;
mod load_balancer;
mod plan;
mod run;
#[path = "../../tests/all/platform/store.rs"]
#[allow(dead_code)] // The soak does not use all controls of the fake store.
mod store;
mod violations;

use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, Command, value_parser};
use eyre::Result;

use plan::Size;

/// Seeds of runs that have violated a guarantee, one per line with the cause.
const REGRESSIONS: &str = include_str!("regressions.txt");

fn main() -> ExitCode {
    let matches = command().get_matches();
    let number = |name: &str| *matches.get_one::<u64>(name).expect("an argument with a default");
    let size = Size {
        instances: number("instances") as usize,
        upstreams: number("upstreams") as usize,
        callers: number("callers") as usize,
        length: Duration::from_secs(number("seconds")),
    };
    let first = matches.get_one::<u64>("seed").copied().unwrap_or_else(rand::random);
    let mut seeds: Vec<u64> = (0..number("runs")).map(|run| first.wrapping_add(run)).collect();
    if matches.get_flag("regressions") {
        seeds = regressions();
    }
    let mut failed = 0;
    for seed in &seeds {
        match run_seed(*seed, size) {
            Ok(0) => {}
            Ok(_) => failed += 1,
            Err(error) => {
                println!("seed {seed}: the run failed: {error:#}");
                failed += 1;
            }
        }
    }
    println!("{} seeds passed, {failed} failed", seeds.len() - failed);
    ExitCode::from(u8::from(failed > 0))
}

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        let arg = Arg::new(name).long(name).default_value(default).help(help);
        arg.value_parser(value_parser!(u64))
    };
    let seed = Arg::new("seed").long("seed").value_parser(value_parser!(u64));
    let regressions = Arg::new("regressions").long("regressions");
    Command::new("soak")
        .about("Checks guarantees of the fleet under random faults of processes and links")
        .arg(seed.help("Seed of the first run; random by default"))
        .arg(number("runs", "1", "Number of runs, with consecutive seeds"))
        .arg(number("seconds", "45", "Time over which the faults of a run start, in seconds"))
        .arg(number("instances", "6", "Number of instances"))
        .arg(number("upstreams", "8", "Number of upstreams"))
        .arg(number(
            "callers",
            "24",
            "Number of callers, each with one request in flight at a time",
        ))
        .arg(
            regressions
                .action(clap::ArgAction::SetTrue)
                .help("Runs the seeds that have violated a guarantee before"),
        )
}

/// Returns the seeds of the regression file, which are the first words of its lines.
fn regressions() -> Vec<u64> {
    let lines = REGRESSIONS.lines().filter(|line| !line.starts_with('#'));
    lines.filter_map(|line| line.split_whitespace().next()?.parse().ok()).collect()
}

/// Runs one seed and returns the number of violations.
fn run_seed(seed: u64, size: Size) -> Result<usize> {
    let plan = plan::Plan::new(seed, size);
    println!("seed {seed}: {} faults in {} s", plan.steps.len(), size.length.as_secs());
    let report = run::run_plan(&plan, size)?;
    println!("seed {seed}: {}", report.summary);
    for line in &report.faults {
        println!("  fault: {line}");
    }
    for violation in &report.violations {
        println!("  broken: {violation}");
    }
    Ok(report.violations.len())
}
