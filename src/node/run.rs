//! Runs an instance as a process: settings, logging, event loop and signals.

use std::path::Path;

use cactustrack_config::{LogFormat, LogLevel};
use cactustrack_observe::{LogTarget, new_logger};
use cactustrack_platform::Settings;
use eyre::{Result, WrapErr, eyre};
use futures::future::{Either, select};
use slog::Logger;

use super::{Instance, ShutdownHandle};
use crate::signals::Signals;

const SIGHUP: i32 = 1;
const SIGTERM: i32 = 15;

/// Reads and validates a settings file of the platform.
///
/// # Errors
///
/// Fails if the file cannot be read or has an error.
pub fn check(file: &Path) -> Result<Settings> {
    let name = file.display();
    let text = std::fs::read_to_string(file).wrap_err_with(|| format!("cannot read {name}"))?;
    Settings::parse(&text).wrap_err_with(|| format!("{name}"))
}

/// Runs an instance with the settings of a file until it has shut down.
///
/// # Errors
///
/// Fails if the settings have errors or the instance cannot start.
pub fn run(file: &Path) -> Result<()> {
    let settings = check(file)?;
    let target = LogTarget::Stdout;
    let log = new_logger(LogFormat::Json, LogLevel::Info, &settings.instance, target);
    let runtime = compio::runtime::Runtime::new().wrap_err("cannot create the event loop")?;
    runtime.block_on(serve(&settings, file, log))
}

async fn serve(settings: &Settings, file: &Path, log: Logger) -> Result<()> {
    let (instance, stop) = Instance::start(settings, log.clone()).await?;
    let listen = settings.listen;
    slog::info!(log, "proxy: listening"; "callers" => %listen.callers,
        "admin" => %listen.admin, "peers" => %listen.peers,
        "failure_domain" => &*settings.failure_domain);
    let signals = compio::runtime::spawn(handle_signals(stop, file.to_owned(), log));
    let running = std::pin::pin!(instance.run());
    match select(running, signals).await {
        Either::Left(_) => Ok(()),
        Either::Right((Ok(ended), _)) => ended,
        Either::Right((Err(_), _)) => Err(eyre!("the signal handler failed")),
    }
}

/// Starts the graceful shutdown on SIGTERM. SIGHUP only validates the settings file: addresses and
/// bounds are fixed for the lifetime of the process, and routes come from the store. Ends only if the
/// signals cannot be waited for.
async fn handle_signals(stop: ShutdownHandle, file: std::path::PathBuf, log: Logger) -> Result<()> {
    let mut signals = Signals::new(&[SIGTERM, SIGHUP]);
    let mut stop = Some(stop);
    loop {
        match (signals.next().await?, stop.take()) {
            (SIGHUP, kept) => {
                stop = kept;
                check_settings(&file, &log);
            }
            (_, Some(stop)) => stop.stop(),
            (_, None) => slog::info!(log, "proxy: already stopping"),
        }
    }
}

fn check_settings(file: &Path, log: &Logger) {
    match check(file) {
        Ok(_) => slog::info!(log, "config: settings checked"),
        Err(error) => {
            slog::warn!(log, "config: settings have errors"; "error" => format!("{error:#}"));
        }
    }
}
