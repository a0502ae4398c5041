//! `cactustrack completions`: writes a completion script for a shell.

use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::Shell;
use eyre::{OptionExt, Result};

use super::{Exit, Output, Subcommand};

pub(super) const SUBCOMMAND: Subcommand = Subcommand { command, run };

fn command() -> Command {
    let shell = Arg::new("shell")
        .value_name("SHELL")
        .value_parser(value_parser!(Shell))
        .required(true)
        .help("Shell for which the script is written");
    Command::new("completions").about("Write a completion script for a shell").arg(shell)
}

fn run(matches: &ArgMatches, output: &mut Output<'_>) -> Result<Exit> {
    let shell = *matches.get_one::<Shell>("shell").ok_or_eyre("missing argument SHELL")?;
    let mut command = super::command();
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut command, "cactustrack", &mut script);
    output.out.write_all(&script)?;
    Ok(Exit::Ok)
}
