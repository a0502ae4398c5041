//! `cactustrack check`: reports the findings about a questionnaire.

use clap::{ArgMatches, Command};
use eyre::Result;

use super::{Exit, Output, Subcommand, input};

pub(super) const SUBCOMMAND: Subcommand = Subcommand { command, run };

fn command() -> Command {
    Command::new("check")
        .about("Report the errors and warnings about a questionnaire")
        .arg(input::file_arg("file", "Questionnaire to check"))
}

fn run(matches: &ArgMatches, output: &mut Output<'_>) -> Result<Exit> {
    let checked = input::questionnaire(input::path(matches, "file")?)?;
    let findings = checked.map_or_else(|findings| findings, |questionnaire| questionnaire.warnings);
    input::report(output, &findings)
}
