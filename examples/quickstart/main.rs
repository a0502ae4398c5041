//! Runs a small fleet for each questionnaire on the loopback interface, injects faults and checks
//! the guarantees of section 1.2 of the design page.
//!
//! ```text
//! cargo run --release --example quickstart [-- --verbose]
//! ```
//!
//! The exit status is nonzero if a guarantee was violated or a run failed.

mod fleet;
mod guarantees;
mod sampler;
mod scenario;
mod scenarios;
mod traffic;

use std::process::ExitCode;
use std::time::Instant;

use clap::{Arg, ArgAction, Command};
use eyre::Result;

use fleet::Fleet;
use scenario::Run;

/// Questionnaires as the service owners of each team answered them.
const QUESTIONNAIRES: [(&str, &str); 2] = [
    ("antallagi", include_str!("../questionnaires/antallagi.toml")),
    ("sinar", include_str!("../questionnaires/sinar.toml")),
];

/// Number of instances in the fleet of a team.
const INSTANCES: usize = 6;

fn main() -> ExitCode {
    let verbose = Arg::new("verbose").long("verbose").action(ArgAction::SetTrue);
    let verbose = verbose.help("Writes the log lines of the instances to standard error");
    let command = Command::new("quickstart").about("Runs a small fleet under injected faults");
    let verbose = command.arg(verbose).get_matches().get_flag("verbose");
    let started = Instant::now();
    let mut failures = 0;
    for (team, questionnaire) in QUESTIONNAIRES {
        match run_team(team, questionnaire, verbose) {
            Ok(count) => failures += count,
            Err(error) => {
                println!("{team}: the run failed: {error:#}");
                failures += 1;
            }
        }
    }
    let elapsed_s = started.elapsed().as_secs();
    println!("{failures} guarantees violated or runs failed, {elapsed_s} s");
    ExitCode::from(u8::from(failures > 0))
}

/// Runs the fleet of one team and returns the number of violated guarantees.
fn run_team(team: &str, questionnaire: &str, verbose: bool) -> Result<usize> {
    println!("{team}");
    let fleet = Fleet::with_fakes(team, questionnaire, verbose)?;
    for spec in &fleet.services {
        let (id, class, time) = (&spec.id, spec.class, spec.service_time.as_millis());
        let (upstreams, slots, floor) = (spec.upstreams, spec.slots, spec.floor_slots);
        println!("  {id}: {class}, {upstreams} upstreams, {slots} slots, {time} ms, floor {floor}");
    }
    let mut run = Run::start(fleet, INSTANCES)?;
    scenarios::run_all(&mut run)?;
    let false_ejections = scenarios::false_ejections(&run)?;
    run.traffic.stop();
    let results = guarantees::check_all(&run);
    run.heading("guarantees");
    for result in &results {
        let status = if result.violated { "FAIL" } else { "pass" };
        run.print(&format!("{status} {}: {}", result.name, result.evidence));
    }
    let (count, coverage) = (false_ejections.len(), guarantees::coverage(&run));
    run.print(&format!("{count} ejections without an injected fault; upstreams used: {coverage}"));
    for ejection in false_ejections.iter().take(3) {
        run.print(ejection);
    }
    run.fleet.stop_all()?;
    Ok(results.iter().filter(|result| result.violated).count())
}
