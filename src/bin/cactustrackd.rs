//! Daemon that runs an instance of the proxy fleet.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

/// Exit code of a command that failed.
const EXIT_FAILED: u8 = 1;

fn main() -> ExitCode {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("check", arguments)) => check(&file(arguments), arguments.get_flag("json")),
        Some(("run", arguments)) => run(&file(arguments)),
        Some(("platform", arguments)) => {
            run_on_platform(&file(arguments), arguments.get_flag("check"))
        }
        _ => ExitCode::from(EXIT_FAILED),
    }
}

fn command() -> Command {
    let file = || {
        Arg::new("file")
            .value_name("FILE")
            .help("Settings file of the instance, in TOML")
            .required(true)
            .value_parser(value_parser!(PathBuf))
    };
    Command::new("cactustrackd")
        .about("Instance of a proxy fleet for upstreams with gray failures")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("run").about("Runs the instance").arg(file()).after_help(
            "SIGTERM starts a graceful shutdown, which waits for all requests in flight. A second \
             SIGTERM logs the number of requests in flight. A subsequent SIGINT interrupts them.",
        ))
        .subcommand(platform_command())
        .subcommand(
            Command::new("check")
                .about("Reports all findings about a settings file")
                .arg(file())
                .arg(
                    Arg::new("json")
                        .long("json")
                        .action(ArgAction::SetTrue)
                        .help("Prints the findings as JSON"),
                ),
        )
}

fn platform_command() -> Command {
    let file = Arg::new("file")
        .value_name("FILE")
        .help("Settings file written by the platform")
        .value_parser(value_parser!(PathBuf));
    let file = match cactustrack_platform::settings_path() {
        Some(path) => file.default_value(path.into_os_string()),
        None => file.required(true),
    };
    let check = Arg::new("check")
        .long("check")
        .action(ArgAction::SetTrue)
        .help("Checks the settings file without running the instance");
    Command::new("platform")
        .about("Runs the instance with the settings, the store and the lists of the platform")
        .arg(file)
        .arg(check)
}

fn file(arguments: &ArgMatches) -> PathBuf {
    arguments.get_one::<PathBuf>("file").cloned().unwrap_or_default()
}

fn check(file: &Path, json: bool) -> ExitCode {
    let (mut out, mut err) = (std::io::stdout().lock(), std::io::stderr().lock());
    cactustrack::cli::check_settings(file, json, &mut out, &mut err).into()
}

fn run_on_platform(file: &Path, only_check: bool) -> ExitCode {
    let result = if only_check {
        cactustrack::node::check(file).map(|settings| println!("{settings:#?}"))
    } else {
        cactustrack::node::run(file)
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

fn run(file: &Path) -> ExitCode {
    match cactustrack::daemon::run(file) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

fn fail(error: &eyre::Report) -> ExitCode {
    eprintln!("cactustrackd: {error:#}");
    ExitCode::from(EXIT_FAILED)
}
