//! Runs a small fleet for each questionnaire on the loopback interface, injects faults and checks
//! the guarantees of section 1.2 of the design page.
//!
//! ```text
//! cargo run --release --example quickstart [-- --verbose]
//! ```
//!
//! The exit status is not zero if a guarantee was broken or the run failed.

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

/// Questionnaires of the teams, as their owners answered them.
const QUESTIONNAIRES: [(&str, &str); 2] = [
    ("antallagi", include_str!("../questionnaires/antallagi.toml")),
    ("sinar", include_str!("../questionnaires/sinar.toml")),
];

const INSTANCES: usize = 6;

fn main() -> ExitCode {
    let verbose = Arg::new("verbose").long("verbose").action(ArgAction::SetTrue);
    let verbose = verbose.help("Writes the log lines of the instances to standard error");
    let command = Command::new("quickstart").about("Shows a small fleet under injected faults");
    let verbose = command.arg(verbose).get_matches().get_flag("verbose");
    let started = Instant::now();
    let mut broken = 0;
    for (team, questionnaire) in QUESTIONNAIRES {
        match run_team(team, questionnaire, verbose) {
            Ok(count) => broken += count,
            Err(error) => {
                println!("{team}: the run failed: {error:#}");
                broken += 1;
            }
        }
    }
    let took = started.elapsed().as_secs();
    println!("{broken} guarantees broken or runs failed, {took} s");
    ExitCode::from(u8::from(broken > 0))
}

/// Runs one team and returns the number of broken guarantees.
fn run_team(team: &str, questionnaire: &str, verbose: bool) -> Result<usize> {
    println!("{team}");
    let fleet = Fleet::stand_ins(team, questionnaire, verbose)?;
    for case in &fleet.services {
        let (id, class, time) = (&case.id, case.class, case.service_time.as_millis());
        let (upstreams, slots, floor) = (case.upstreams, case.slots, case.floor_slots);
        println!("  {id}: {class}, {upstreams} upstreams, {slots} slots, {time} ms, floor {floor}");
    }
    let mut run = Run::start(fleet, INSTANCES)?;
    scenarios::run_all(&mut run)?;
    let false_ejections = scenarios::false_ejections(&run)?;
    run.traffic.stop();
    let results = guarantees::check_all(&run);
    run.heading("guarantees");
    for result in &results {
        let verdict = if result.broken { "FAIL" } else { "pass" };
        run.say(&format!("{verdict} {}: {}", result.name, result.evidence));
    }
    let (count, coverage) = (false_ejections.len(), guarantees::coverage(&run));
    run.say(&format!("{count} ejections without an injected fault; upstreams used: {coverage}"));
    for ejection in false_ejections.iter().take(3) {
        run.say(ejection);
    }
    run.fleet.stop_all()?;
    Ok(results.iter().filter(|result| result.broken).count())
}
