//! File arguments, input and output shared by the subcommands.

use std::fs::File;
use std::io::{Read, Write};
use std::path::{Path, PathBuf};

use cactustrack_config::{Findings, Questionnaire};
use clap::{Arg, ArgMatches, value_parser};
use eyre::{OptionExt, WrapErr};
use serde::Serialize;

use super::{Exit, Output};

/// Largest size of an input file, in bytes. A questionnaire with 230 services, 2,000 routes and
/// 29,000 accounts is smaller than 3 MB.
const MAX_FILE_BYTES: u64 = 64 * 1024 * 1024;

/// Returns a required argument that names a file.
pub(super) fn file_arg(id: &'static str, help: &'static str) -> Arg {
    Arg::new(id)
        .value_name(id.to_uppercase())
        .value_parser(value_parser!(PathBuf))
        .required(true)
        .help(help)
}

/// Returns the option that names the output file.
pub(super) fn output_arg() -> Arg {
    Arg::new("output")
        .long("output")
        .short('o')
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("Write to a new file instead of standard output; an existing file is not overwritten")
}

/// Returns the value of a file argument.
pub(super) fn path<'a>(matches: &'a ArgMatches, id: &str) -> eyre::Result<&'a Path> {
    let path = matches.get_one::<PathBuf>(id).ok_or_eyre("missing file argument")?;
    Ok(path)
}

/// Reads a text file of at most [`MAX_FILE_BYTES`].
pub(super) fn read(path: &Path) -> eyre::Result<String> {
    let context = || format!("cannot read {}", path.display());
    let file = File::open(path).wrap_err_with(context)?;
    let mut text = String::new();
    let size = file.take(MAX_FILE_BYTES + 1).read_to_string(&mut text).wrap_err_with(context)?;
    eyre::ensure!(size as u64 <= MAX_FILE_BYTES, "{} exceeds the limit of 64 MiB", path.display());
    Ok(text)
}

/// Writes text to the file given by [`output_arg`] or to standard output.
pub(super) fn write(matches: &ArgMatches, output: &mut Output<'_>, text: &str) -> eyre::Result<()> {
    let Some(path) = matches.get_one::<PathBuf>("output") else {
        return Ok(output.out.write_all(text.as_bytes())?);
    };
    let context = || format!("cannot write {}", path.display());
    let mut file = File::create_new(path).wrap_err_with(context)?;
    file.write_all(text.as_bytes()).wrap_err_with(context)
}

/// Findings in JSON output.
#[derive(Serialize)]
struct Report<'a> {
    findings: &'a Findings,
}

/// Writes findings as JSON to standard output or as text to standard error. Returns the matching
/// exit code.
pub(super) fn report(output: &mut Output<'_>, findings: &Findings) -> eyre::Result<Exit> {
    if output.json {
        output.write_json(&Report { findings })?;
    } else {
        writeln!(output.err, "{findings}")?;
    }
    Ok(if findings.has_errors() { Exit::Findings } else { Exit::Ok })
}

/// Reads a questionnaire. The outer error is an I/O error; the inner error contains the findings
/// that make the questionnaire unusable.
pub(super) fn questionnaire(path: &Path) -> eyre::Result<Result<Questionnaire, Findings>> {
    Ok(Questionnaire::parse(&path.to_string_lossy(), &read(path)?))
}
