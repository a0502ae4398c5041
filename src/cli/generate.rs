//! `cactustrack generate`: generates the configuration for a questionnaire.

use cactustrack_config::{Findings, Generated, generate};
use cactustrack_types::Version;
use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::Result;
use serde::Serialize;

use super::{Exit, Output, Subcommand, input};

pub(super) const SUBCOMMAND: Subcommand = Subcommand { command, run };

fn command() -> Command {
    let version = Arg::new("config-version")
        .long("config-version")
        .value_name("NUMBER")
        .value_parser(value_parser!(Version))
        .default_value("0")
        .help("Version number to write; accepting the configuration assigns the actual version");
    Command::new("generate")
        .about("Generate the configuration for a questionnaire")
        .arg(input::file_arg("file", "Questionnaire"))
        .arg(version)
        .arg(input::output_arg())
}

/// Generated configuration and findings in JSON output.
#[derive(Serialize)]
struct Report<'a> {
    findings: &'a Findings,
    #[serde(flatten)]
    generated: &'a Generated,
}

fn run(matches: &ArgMatches, output: &mut Output<'_>) -> Result<Exit> {
    let questionnaire = match input::questionnaire(input::path(matches, "file")?)? {
        Ok(questionnaire) => questionnaire,
        Err(findings) => return input::report(output, &findings),
    };
    if !output.json && !questionnaire.warnings.is_empty() {
        input::report(output, &questionnaire.warnings)?;
    }
    let version = matches.get_one("config-version").copied().unwrap_or_default();
    let generated = generate(&questionnaire, version);
    let text = if output.json {
        let report = Report { findings: &questionnaire.warnings, generated: &generated };
        serde_json::to_string_pretty(&report)? + "\n"
    } else {
        generated.to_toml()
    };
    input::write(matches, output, &text)?;
    Ok(Exit::Ok)
}
