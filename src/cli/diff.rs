//! `cactustrack diff`: shows how a change affects the behaviour of the fleet.

use std::path::Path;

use cactustrack_config::{Findings, diff, parse_configuration};
use cactustrack_types::Configuration;
use clap::{ArgMatches, Command};
use eyre::Result;

use super::{Exit, Output, Subcommand, input};

pub(super) const SUBCOMMAND: Subcommand = Subcommand { command, run };

fn command() -> Command {
    Command::new("diff")
        .about("Show how a change would affect the behaviour of the fleet")
        .arg(input::file_arg("old", "Questionnaire or generated configuration before the change"))
        .arg(input::file_arg("new", "Questionnaire or generated configuration after the change"))
}

fn run(matches: &ArgMatches, output: &mut Output<'_>) -> Result<Exit> {
    let old = read(input::path(matches, "old")?)?;
    let new = read(input::path(matches, "new")?)?;
    let (old, new) = match (old, new) {
        (Ok(old), Ok(new)) => (old, new),
        (old, new) => {
            let mut findings = old.err().unwrap_or_default();
            findings.extend(new.err().unwrap_or_default());
            return input::report(output, &findings);
        }
    };
    let diff = diff(&old, &new);
    if output.json {
        output.write_json(&diff)?;
    } else {
        writeln!(output.out, "{diff}")?;
    }
    Ok(Exit::Ok)
}

fn read(path: &Path) -> Result<Result<Configuration, Findings>> {
    Ok(parse_configuration(&path.to_string_lossy(), &input::read(path)?))
}
