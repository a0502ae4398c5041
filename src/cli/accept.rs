//! `cactustrack accept`: puts the configuration of a questionnaire into force.

use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

use cactustrack_config::{Diff, Questionnaire, decode, diff, encode, generate};
use cactustrack_store::operator::{self, AcceptReport};
use cactustrack_store::{
    ConfigurationRepository, Determination, Publication, PublishOutcome, UnknownPublication,
};
use cactustrack_types::{Configuration, Version};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::{OptionExt, Result, eyre};
use serde_json::json;

use super::{Exit, Output, Subcommand, input, store};

pub(super) const SUBCOMMAND: Subcommand = Subcommand { command, run };

fn command() -> Command {
    Command::new("accept")
        .about("Put the configuration of a questionnaire into force")
        .long_about(
            "Put the configuration of a questionnaire into force.\n\n\
             The change is accepted only if the version that you saw is still in force. If another \
             change came first, both are shown and nothing is written. If the store gives no \
             answer, the command reads back what became of the change; if that fails too, it says \
             that the outcome is unknown and prints the command that determines it.",
        )
        .args(store::store_args())
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .required_unless_present("determine")
                .help("Questionnaire"),
        )
        .arg(
            Arg::new("seen")
                .long("seen")
                .value_name("VERSION")
                .value_parser(value_parser!(Version))
                .required_unless_present("determine")
                .help("Version in force that the change is based on, 0 for the first one"),
        )
        .arg(
            Arg::new("author")
                .long("author")
                .value_name("NAME")
                .required_unless_present("determine")
                .help("Who accepts the change"),
        )
        .arg(
            Arg::new("reason")
                .long("reason")
                .value_name("TEXT")
                .required_unless_present("determine")
                .help("Why the change is made"),
        )
        .arg(
            Arg::new("dry-run")
                .long("dry-run")
                .action(ArgAction::SetTrue)
                .help("Only show what would change in the behaviour of the fleet"),
        )
        .arg(
            Arg::new("determine")
                .long("determine")
                .value_name("CHANGE")
                .value_parser(value_parser!(UnknownPublication))
                .conflicts_with_all(["file", "dry-run"])
                .help("Find out what became of a change whose outcome was unknown"),
        )
}

fn run(matches: &ArgMatches, output: &mut Output<'_>) -> Result<Exit> {
    if let Some(unknown) = matches.get_one::<UnknownPublication>("determine") {
        return store::block_on(determine(matches, output, unknown));
    }
    let questionnaire = match input::questionnaire(input::path(matches, "file")?)? {
        Ok(questionnaire) => questionnaire,
        Err(findings) => return input::report(output, &findings),
    };
    if !output.json && !questionnaire.warnings.is_empty() {
        input::report(output, &questionnaire.warnings)?;
    }
    store::block_on(submit(matches, output, &questionnaire))
}

async fn submit(
    matches: &ArgMatches,
    output: &mut Output<'_>,
    questionnaire: &Questionnaire,
) -> Result<Exit> {
    let repository = store::repository(matches)?;
    let seen: Version = *matches.get_one("seen").ok_or_eyre("--seen is missing")?;
    let configuration = generate(questionnaire, seen + 1).configuration;
    let current = match in_force(&repository).await {
        Ok(current) => current,
        Err(Failure::Repository(error)) => return store::repository_failed(output, &error),
        Err(Failure::Other(error)) => return Err(error),
    };
    let changes = current.as_ref().map(|current| diff(current, &configuration));
    if matches.get_flag("dry-run") {
        return show_changes(output, changes.as_ref());
    }
    if !output.json {
        writeln!(output.err, "submitting a change of version {seen} ...")?;
    }
    let publication = publication(matches, seen, &configuration)?;
    match operator::accept(&repository, &publication).await {
        Ok(report) => show_report(output, &report, changes.as_ref()),
        Err(error) => store::repository_failed(output, &error),
    }
}

enum Failure {
    Repository(cactustrack_store::RepositoryError),
    Other(eyre::Report),
}

/// Reads the configuration in force.
async fn in_force(repository: &ConfigurationRepository) -> Result<Option<Configuration>, Failure> {
    let head = repository.read_head().await.map_err(Failure::Repository)?;
    let Some(head) = head else { return Ok(None) };
    let stored = repository.read(head.version).await.map_err(Failure::Repository)?;
    let decoded = decode(&stored.parts).map_err(|error| {
        Failure::Other(eyre!("version {} in the store cannot be used: {error}", head.version))
    })?;
    Ok(Some(decoded.configuration))
}

fn publication(
    matches: &ArgMatches,
    base_version: Version,
    configuration: &Configuration,
) -> Result<Publication> {
    let encoded = encode(configuration)?;
    let text = |id: &str| matches.get_one::<String>(id).cloned().unwrap_or_default();
    Ok(Publication {
        parts: encoded.parts,
        checksum: encoded.checksum.to_string(),
        base_version,
        author: text("author"),
        reason: text("reason"),
    })
}

fn show_changes(output: &mut Output<'_>, changes: Option<&Diff>) -> Result<Exit> {
    match changes {
        Some(changes) if output.json => output.write_json(changes)?,
        Some(changes) => writeln!(output.out, "{changes}")?,
        None if output.json => output.write_json(&json!({"first": true}))?,
        None => writeln!(output.out, "no version is in force yet; this would be the first")?,
    }
    Ok(Exit::Ok)
}

fn show_report(
    output: &mut Output<'_>,
    report: &AcceptReport,
    changes: Option<&Diff>,
) -> Result<Exit> {
    let (exit, outcome, version) = match &report.outcome {
        PublishOutcome::Published { version } => (Exit::Ok, "accepted", Some(*version)),
        PublishOutcome::Conflict { current, .. } => {
            (Exit::Conflict, "conflict", current.as_ref().map(|head| head.version))
        }
        PublishOutcome::Unknown(unknown) => {
            (Exit::UnknownOutcome, "unknown", Some(unknown.version))
        }
    };
    if output.json {
        let text = report.to_string();
        let accepted_at_ms = unix_ms();
        output.write_json(&json!({
            "outcome": outcome, "version": version, "text": text, "changes": changes,
            "reported_at_ms": accepted_at_ms,
        }))?;
        return Ok(exit);
    }
    writeln!(output.out, "{report}")?;
    if let (Exit::Conflict, Some(changes)) = (exit, changes) {
        writeln!(output.out, "from the version in force to the submitted one:\n{changes}")?;
    }
    Ok(exit)
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

async fn determine(
    matches: &ArgMatches,
    output: &mut Output<'_>,
    unknown: &UnknownPublication,
) -> Result<Exit> {
    let repository = store::repository(matches)?;
    let report = match operator::determine(&repository, unknown).await {
        Ok(report) => report,
        Err(error) => return store::repository_failed(output, &error),
    };
    let accepted = report.determination == Determination::Accepted;
    if output.json {
        let outcome = if accepted { "accepted" } else { "not_accepted" };
        output.write_json(&json!({"outcome": outcome, "text": report.to_string()}))?;
    } else {
        writeln!(output.out, "{report}")?;
    }
    Ok(if accepted { Exit::Ok } else { Exit::Conflict })
}
