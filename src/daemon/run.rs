//! Runs an instance as a process: loads settings, sets up log and event loop, and handles signals.

use std::path::Path;

use cactustrack_observe::{LogTarget, new_logger};
use eyre::{Result, WrapErr, eyre};
use futures::future::{Either, select};
use slog::Logger;

use super::{Instance, ShutdownHandle};
use crate::cli::{LoadedSettings, load_settings};
use crate::signals::Signals;

const SIGINT: i32 = 2;
const SIGTERM: i32 = 15;

/// Runs an instance with the settings in `file` until it has stopped.
///
/// # Errors
///
/// Fails with a list of all errors if the settings are invalid. Fails as well if the instance
/// cannot start or is stopped by force.
pub fn run(file: &Path) -> Result<()> {
    let loaded = load_settings(file)?.map_err(|findings| eyre!("{findings}"))?;
    let settings = &loaded.settings;
    let log = new_logger(
        settings.log.format,
        settings.log.level,
        &settings.instance.id,
        LogTarget::Stderr,
    );
    for warning in &settings.warnings {
        slog::warn!(log, "config: {}", warning);
    }
    let runtime = compio::runtime::Runtime::new().wrap_err("cannot create the event loop")?;
    runtime.block_on(serve(&loaded, log))
}

async fn serve(loaded: &LoadedSettings, log: Logger) -> Result<()> {
    let (instance, stop) = Instance::start(loaded, log.clone()).await?;
    let addresses = instance.addresses();
    slog::info!(log, "proxy: listening";
        "callers" => %addresses.callers,
        "admin" => %addresses.admin,
        "peers" => %addresses.peers);
    let signals = compio::runtime::spawn(handle_signals(stop, log));
    let running = std::pin::pin!(instance.run());
    match select(running, signals).await {
        Either::Left(_) => Ok(()),
        Either::Right((Ok(ended), _)) => ended,
        Either::Right((Err(_), _)) => Err(eyre!("the signal handler failed")),
    }
}

/// Starts the graceful shutdown at the first SIGTERM or SIGINT. Each further SIGTERM only logs the
/// number of requests in flight that a forced stop would interrupt; a further SIGINT forces the
/// stop.
async fn handle_signals(stop: ShutdownHandle, log: Logger) -> Result<()> {
    let mut signals = Signals::new(&[SIGTERM, SIGINT]);
    signals.next().await?;
    let in_flight = stop.stop();
    loop {
        if signals.next().await? == SIGINT {
            return Err(eyre!("forced to stop by SIGINT; requests in flight were interrupted"));
        }
        slog::warn!(log, "proxy: waiting for requests in flight; SIGINT interrupts them";
            "requests_in_flight" => in_flight.get());
    }
}
