//! The operators' command line.
//!
//! Each subcommand is a module with a `Subcommand` value, listed in `SUBCOMMANDS`.

mod accept;
mod admin;
mod check;
mod completions;
mod diff;
mod generate;
mod history;
mod input;
mod new;
mod settings;
mod store;
mod trace;

use std::ffi::OsString;
use std::io::Write;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command};
use serde::Serialize;

pub use settings::{LoadedSettings, check_settings, load_settings};

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command did what was asked.
    Ok = 0,
    /// A file has findings of severity error.
    Findings = 1,
    /// The command line is wrong, or a file cannot be read or written.
    Usage = 2,
    /// Another change was accepted in the meantime.
    Conflict = 3,
    /// The change may or may not have been accepted.
    UnknownOutcome = 4,
    /// Neither the store nor an instance can be reached.
    Unreachable = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

const EXIT_CODES: &str = "\
Exit codes:
  0  ok
  1  findings: a file has at least one error
  2  usage: the command line is wrong, or a file cannot be read or written
  3  conflict: another change was accepted in the meantime
  4  unknown outcome: the change may or may not have been accepted
  5  unreachable: neither the store nor an instance can be reached";

/// A subcommand of `cactustrack`.
struct Subcommand {
    /// Arguments and help.
    command: fn() -> Command,
    /// Runs the subcommand.
    run: fn(&ArgMatches, &mut Output<'_>) -> eyre::Result<Exit>,
}

/// All subcommands, in the order of the help text.
const SUBCOMMANDS: &[Subcommand] = &[
    new::SUBCOMMAND,
    check::SUBCOMMAND,
    generate::SUBCOMMAND,
    diff::SUBCOMMAND,
    accept::SUBCOMMAND,
    admin::STATUS,
    history::SUBCOMMAND,
    admin::EXPLAIN,
    trace::SUBCOMMAND,
    completions::SUBCOMMAND,
];

/// Where a command writes to.
struct Output<'a> {
    /// Results.
    out: &'a mut dyn Write,
    /// Findings and errors for people.
    err: &'a mut dyn Write,
    /// Whether results and findings are written as JSON.
    json: bool,
}

impl Output<'_> {
    /// Writes a value as indented JSON.
    fn write_json(&mut self, value: &impl Serialize) -> eyre::Result<()> {
        serde_json::to_writer_pretty(&mut *self.out, value)?;
        writeln!(self.out)?;
        Ok(())
    }
}

/// Returns the description of the command line.
pub fn command() -> Command {
    let json = Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .global(true)
        .help("Write results and findings to standard output as JSON");
    Command::new("cactustrack")
        .about("Questionnaires and configurations of a cactustrack fleet")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(json)
        .subcommands(
            SUBCOMMANDS.iter().map(|subcommand| (subcommand.command)().after_help(EXIT_CODES)),
        )
}

/// Runs the command line with the given arguments, of which the first is the program name.
pub fn run(
    args: impl IntoIterator<Item = OsString>,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> Exit {
    let matches = match command().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(error) => return report_usage(&error, out, err),
    };
    let Some((name, matches)) = matches.subcommand() else { return Exit::Usage };
    let named = |subcommand: &&Subcommand| (subcommand.command)().get_name() == name;
    let Some(subcommand) = SUBCOMMANDS.iter().find(named) else { return Exit::Usage };
    let mut output = Output { out, err, json: matches.get_flag("json") };
    match (subcommand.run)(matches, &mut output) {
        Ok(exit) => exit,
        Err(error) => {
            // Nothing is left to report to if standard error is closed.
            let _ = writeln!(output.err, "error: {error:#}");
            Exit::Usage
        }
    }
}

/// Help and version are written as results; they are not errors.
fn report_usage(error: &clap::Error, out: &mut dyn Write, err: &mut dyn Write) -> Exit {
    let text = error.render();
    // Nothing is left to report to if the stream is closed.
    if error.use_stderr() {
        let _ = write!(err, "{text}");
        return Exit::Usage;
    }
    let _ = write!(out, "{text}");
    Exit::Ok
}
