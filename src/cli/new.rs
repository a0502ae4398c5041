//! `cactustrack new`: writes a questionnaire template.

use clap::{ArgMatches, Command};
use eyre::Result;

use super::{Exit, Output, Subcommand, input};

/// Questionnaire with example answers.
const TEMPLATE: &str = include_str!("questionnaire.toml");

pub(super) const SUBCOMMAND: Subcommand = Subcommand { command, run };

fn command() -> Command {
    Command::new("new")
        .about("Write a questionnaire template with example answers")
        .arg(input::output_arg())
}

fn run(matches: &ArgMatches, output: &mut Output<'_>) -> Result<Exit> {
    input::write(matches, output, TEMPLATE)?;
    Ok(Exit::Ok)
}
