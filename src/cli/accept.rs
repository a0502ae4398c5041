//! `cactustrack accept`: generates a configuration from a questionnaire and puts it into force.

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
             The change is accepted only if the version given by --seen is still in force. If \
             another change was accepted first, both changes are shown and nothing is written. If \
             the store does not respond, the command reads the outcome back from the store. If \
             that fails as well, the outcome is unknown, and the command that determines it is \
             printed.",
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
                .help("Version in force on which the change is based; 0 for the first version"),
        )
        .arg(
            Arg::new("author")
                .long("author")
                .value_name("NAME")
                .required_unless_present("determine")
                .help("Name recorded as the author of the change"),
        )
        .arg(
            Arg::new("reason")
                .long("reason")
                .value_name("TEXT")
                .required_unless_present("determine")
                .help("Reason for the change"),
        )
        .arg(
            Arg::new("dry-run").long("dry-run").action(ArgAction::SetTrue).help(
                "Show how the behaviour of the fleet would change, without accepting anything",
            ),
        )
        .arg(
            Arg::new("determine")
                .long("determine")
                .value_name("CHANGE")
                .value_parser(value_parser!(UnknownPublication))
                .conflicts_with_all(["file", "dry-run"])
                .help("Determine the outcome of a change that was reported as unknown"),
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
    let seen: Version = *matches.get_one("seen").ok_or_eyre("missing option --seen")?;
    let configuration = generate(questionnaire, seen + 1).configuration;
    let current = match read_in_force(&repository).await {
        Ok(current) => current,
        Err(ReadError::Repository(error)) => return store::repository_failed(output, &error),
        Err(ReadError::Other(error)) => return Err(error),
    };
    let changes = current.as_ref().map(|current| diff(current, &configuration));
    if matches.get_flag("dry-run") {
        return write_changes(output, changes.as_ref());
    }
    if !output.json {
        writeln!(output.err, "submitting a change of version {seen} ...")?;
    }
    let publication = publication(matches, seen, &configuration)?;
    match operator::accept(&repository, &publication).await {
        Ok(report) => write_report(output, &report, changes.as_ref()),
        Err(error) => store::repository_failed(output, &error),
    }
}

/// Error that prevents the configuration in force from being read.
enum ReadError {
    Repository(cactustrack_store::RepositoryError),
    Other(eyre::Report),
}

/// Reads the configuration in force, if there is one.
async fn read_in_force(
    repository: &ConfigurationRepository,
) -> Result<Option<Configuration>, ReadError> {
    let head = repository.read_head().await.map_err(ReadError::Repository)?;
    let Some(head) = head else { return Ok(None) };
    let stored = repository.read(head.version).await.map_err(ReadError::Repository)?;
    let decoded = decode(&stored.parts).map_err(|error| {
        ReadError::Other(eyre!(
            "configuration version {} in the store cannot be decoded: {error}",
            head.version
        ))
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

fn write_changes(output: &mut Output<'_>, changes: Option<&Diff>) -> Result<Exit> {
    match changes {
        Some(changes) if output.json => output.write_json(changes)?,
        Some(changes) => writeln!(output.out, "{changes}")?,
        None if output.json => output.write_json(&json!({"first": true}))?,
        None => writeln!(output.out, "no version is in force; this would be the first one")?,
    }
    Ok(Exit::Ok)
}

fn write_report(
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
        let reported_at_ms = unix_ms();
        output.write_json(&json!({
            "outcome": outcome, "version": version, "text": text, "changes": changes,
            "reported_at_ms": reported_at_ms,
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
    let is_accepted = report.determination == Determination::Accepted;
    if output.json {
        let outcome = if is_accepted { "accepted" } else { "not_accepted" };
        output.write_json(&json!({"outcome": outcome, "text": report.to_string()}))?;
    } else {
        writeln!(output.out, "{report}")?;
    }
    Ok(if is_accepted { Exit::Ok } else { Exit::Conflict })
}
