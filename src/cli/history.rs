//! `cactustrack history`: lists accepted changes with their authors and reasons.

use cactustrack_store::operator;
use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::Result;

use super::{Exit, Output, Subcommand, store};

pub(super) const SUBCOMMAND: Subcommand = Subcommand { command, run };

fn command() -> Command {
    Command::new("history")
        .about("List accepted changes with their authors and reasons")
        .args(store::store_args())
        .arg(
            Arg::new("limit")
                .long("limit")
                .value_name("NUMBER")
                .value_parser(value_parser!(u64).range(1..))
                .default_value("20")
                .help("Number of changes to list, latest first"),
        )
}

fn run(matches: &ArgMatches, output: &mut Output<'_>) -> Result<Exit> {
    let limit = matches.get_one("limit").copied().unwrap_or(1);
    store::block_on(async {
        let repository = store::repository(matches)?;
        match operator::history(&repository, limit).await {
            Ok(report) if output.json => output.write_json(&report.entries)?,
            Ok(report) => writeln!(output.out, "{report}")?,
            Err(error) => return store::repository_failed(output, &error),
        }
        Ok(Exit::Ok)
    })
}
