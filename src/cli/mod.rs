//! Command line for operators.
//!
//! Each subcommand is implemented in a module of its own as a `Subcommand`. `SUBCOMMANDS` lists all
//! of them.

mod accept;
mod admin;
mod check;
mod completions;
mod diff;
mod generate;
mod history;
mod input;
mod key_digest;
mod new;
mod route;
mod settings;
mod store;
mod trace;

use std::ffi::OsString;
use std::io::Write;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command};
use serde::Serialize;

pub use settings::{LoadedSettings, check_settings, load_settings};

/// Exit code of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Ok = 0,
    /// A file has at least one finding of severity error.
    Findings = 1,
    /// The command line is invalid, or a file cannot be read or written.
    Usage = 2,
    /// Another change was accepted in the meantime.
    Conflict = 3,
    /// The change may or may not have been accepted.
    UnknownOutcome = 4,
    /// The store or an instance cannot be reached.
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
  2  usage: the command line is invalid, or a file cannot be read or written
  3  conflict: another change was accepted in the meantime
  4  unknown outcome: the change may or may not have been accepted
  5  unreachable: the store or an instance cannot be reached";

/// A subcommand of `cactustrack`.
struct Subcommand {
    /// Returns the arguments and the help text.
    command: fn() -> Command,
    /// Runs the subcommand.
    run: fn(&ArgMatches, &mut Output<'_>) -> eyre::Result<Exit>,
}

/// All subcommands, in the order of the help text.
const SUBCOMMANDS: &[Subcommand] = &[
    new::SUBCOMMAND,
    key_digest::SUBCOMMAND,
    check::SUBCOMMAND,
    generate::SUBCOMMAND,
    diff::SUBCOMMAND,
    accept::SUBCOMMAND,
    admin::STATUS,
    history::SUBCOMMAND,
    admin::EXPLAIN,
    route::SUBCOMMAND,
    trace::SUBCOMMAND,
    completions::SUBCOMMAND,
];

/// Output streams and output format of a command.
struct Output<'a> {
    /// Stream for results.
    out: &'a mut dyn Write,
    /// Stream for findings and errors in text format.
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

/// Returns the definition of the command line.
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

/// Runs the command line. The first argument is the program name.
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
    let has_name = |subcommand: &&Subcommand| (subcommand.command)().get_name() == name;
    let Some(subcommand) = SUBCOMMANDS.iter().find(has_name) else { return Exit::Usage };
    let mut output = Output { out, err, json: matches.get_flag("json") };
    match (subcommand.run)(matches, &mut output) {
        Ok(exit) => exit,
        Err(error) => {
            // If standard error is closed, the error cannot be reported.
            let _ = writeln!(output.err, "error: {error:#}");
            Exit::Usage
        }
    }
}

/// Writes help and version to `out`, because they are results, and usage errors to `err`.
fn report_usage(error: &clap::Error, out: &mut dyn Write, err: &mut dyn Write) -> Exit {
    let text = error.render();
    // If the stream is closed, the text cannot be written.
    if error.use_stderr() {
        let _ = write!(err, "{text}");
        return Exit::Usage;
    }
    let _ = write!(out, "{text}");
    Exit::Ok
}
