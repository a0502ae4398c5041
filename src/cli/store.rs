//! Options and helper functions of the subcommands that access the store.

use std::future::Future;
use std::rc::Rc;

use cactustrack_store::{ConfigurationRepository, EtcdStore, RepositoryError, StoreError};
use clap::{Arg, ArgAction, ArgMatches};
use eyre::{Result, WrapErr};

use super::{Exit, Output};

/// Returns the options that specify the store.
pub(super) fn store_args() -> [Arg; 2] {
    [
        Arg::new("store")
            .long("store")
            .value_name("URL")
            .action(ArgAction::Append)
            .required(true)
            .help("Endpoint of the store, for example http://192.0.2.1:2379; may be repeated"),
        Arg::new("prefix")
            .long("prefix")
            .value_name("PREFIX")
            .default_value("cactustrack/")
            .help("Key prefix of the fleet, as in the settings of its instances"),
    ]
}

/// Returns the repository in the store that the options specify.
pub(super) fn repository(matches: &ArgMatches) -> Result<ConfigurationRepository> {
    let endpoints: Vec<String> =
        matches.get_many::<String>("store").into_iter().flatten().cloned().collect();
    let store = EtcdStore::new(&endpoints).wrap_err("invalid option --store")?;
    let prefix = matches.get_one::<String>("prefix").map_or("", String::as_str);
    let prefix = format!("{}/", prefix.trim_end_matches('/'));
    Ok(ConfigurationRepository::new(Rc::new(store), &prefix))
}

/// Runs a future to completion on a new event loop.
pub(super) fn block_on<T>(future: impl Future<Output = Result<T>>) -> Result<T> {
    let runtime = compio::runtime::Runtime::new().wrap_err("cannot create the event loop")?;
    runtime.block_on(future)
}

/// Writes an error of the repository to standard error and returns the matching exit code.
pub(super) fn repository_failed(output: &mut Output<'_>, error: &RepositoryError) -> Result<Exit> {
    writeln!(output.err, "error: {error}")?;
    Ok(match error {
        RepositoryError::Store(StoreError::Unreachable { .. } | StoreError::NoResponse { .. }) => {
            Exit::Unreachable
        }
        _ => Exit::Usage,
    })
}
