//! Runs instances as separate processes, injects faults from outside in a random order, and checks
//! what the pages promise from what callers and upstreams see.
//!
//! ```text
//! cargo build --release --bins
//! cargo run --release --example soak -- --seed 7 --seconds 60
//! ```
//!
//! A seed determines the schedule of the faults. The exit status is not zero if a promise was
//! broken; the log of each instance is then kept.

mod callers;
#[path = "../../tests/all/platform/documents.rs"]
mod documents;
mod fleet;
mod plan;
mod run;
#[path = "../../tests/all/platform/store.rs"]
#[allow(dead_code)] // The soak does not use all controls of the stand-in.
mod store;
mod verdict;

use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, Command, value_parser};
use eyre::Result;

use plan::Size;

/// Seeds that once broke a promise, each with a line on the cause.
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
    let mut broken = 0;
    for seed in &seeds {
        match run_seed(*seed, size) {
            Ok(0) => {}
            Ok(_) => broken += 1,
            Err(error) => {
                println!("seed {seed}: the run failed: {error:#}");
                broken += 1;
            }
        }
    }
    println!("{} seeds held, {broken} broke a promise", seeds.len() - broken);
    ExitCode::from(u8::from(broken > 0))
}

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        let arg = Arg::new(name).long(name).default_value(default).help(help);
        arg.value_parser(value_parser!(u64))
    };
    let seed = Arg::new("seed").long("seed").value_parser(value_parser!(u64));
    let regressions = Arg::new("regressions").long("regressions");
    Command::new("soak")
        .about("Checks promises of the fleet under random faults of processes and links")
        .arg(seed.help("Seed of the first run, a random one if it is not given"))
        .arg(number("runs", "1", "Runs with consecutive seeds"))
        .arg(number("seconds", "45", "Length of the faults of a run, in seconds"))
        .arg(number("instances", "6", "Instances"))
        .arg(number("upstreams", "8", "Upstreams"))
        .arg(number("callers", "24", "Callers that send one request after the other"))
        .arg(
            regressions
                .action(clap::ArgAction::SetTrue)
                .help("Plays the seeds that once broke a promise"),
        )
}

/// Seeds of the file of regressions. Each line starts with one.
fn regressions() -> Vec<u64> {
    let lines = REGRESSIONS.lines().filter(|line| !line.starts_with('#'));
    lines.filter_map(|line| line.split_whitespace().next()?.parse().ok()).collect()
}

/// Plays one seed and returns the number of broken promises.
fn run_seed(seed: u64, size: Size) -> Result<usize> {
    let plan = plan::Plan::new(seed, size);
    println!("seed {seed}: {} faults in {} s", plan.steps.len(), size.length.as_secs());
    let report = run::play(&plan, size)?;
    println!("seed {seed}: {}", report.summary);
    for line in &report.tried {
        println!("  tried: {line}");
    }
    for broken in &report.broken {
        println!("  broken: {broken}");
    }
    Ok(report.broken.len())
}
