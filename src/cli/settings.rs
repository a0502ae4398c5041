//! Loading and checking of the settings of `cactustrackd`.

use std::fs;
use std::io::Write;
use std::path::Path;

use cactustrack_config::{
    Finding, Findings, Secret, SecretError, SecretSource, Settings, Severity,
};
use eyre::Result;

use super::{Exit, Output, input};

/// Settings with the secrets to which they refer.
#[derive(Clone, Debug)]
pub struct LoadedSettings {
    /// The settings.
    pub settings: Settings,
    /// Key that authenticates instances to each other.
    pub peer_key: Secret,
    /// Key of the admin listener.
    pub admin_key: Option<Secret>,
}

/// Reads a settings file and the key files that it names. The outer error is an I/O error; the
/// inner error contains the findings that make the settings unusable.
pub fn load_settings(file: &Path) -> Result<Result<LoadedSettings, Findings>> {
    let settings = match Settings::parse(&file.to_string_lossy(), &input::read(file)?) {
        Ok(settings) => settings,
        Err(findings) => return Ok(Err(findings)),
    };
    let mut findings = Findings::new();
    let mut resolve = |key, source: &SecretSource| {
        let secret = source.resolve(|path| fs::read_to_string(path));
        secret.map_err(|error| findings.push(unusable_key(file, key, &error))).ok()
    };
    let peer_key = resolve("peers.key_file", &settings.peers.key);
    let admin_key =
        settings.admin_key.as_ref().and_then(|source| resolve("admin.key_file", source));
    match peer_key {
        Some(peer_key) if findings.is_empty() => {
            Ok(Ok(LoadedSettings { settings, peer_key, admin_key }))
        }
        _ => Ok(Err(findings)),
    }
}

/// Implements `cactustrackd check FILE`: checks a settings file and writes its findings as JSON to
/// `out` or as text to `err`.
pub fn check_settings(file: &Path, json: bool, out: &mut dyn Write, err: &mut dyn Write) -> Exit {
    let mut output = Output { out, err, json };
    let checked = load_settings(file).and_then(|loaded| {
        let findings = loaded.map_or_else(|findings| findings, |loaded| loaded.settings.warnings);
        input::report(&mut output, &findings)
    });
    checked.unwrap_or_else(|error| {
        // If standard error is closed, the error cannot be reported.
        let _ = writeln!(output.err, "error: {error:#}");
        Exit::Usage
    })
}

/// Returns the finding about an unusable key file. It refers to line 1, because the line of the key
/// in the settings file is not known here.
fn unusable_key(file: &Path, key: &str, error: &SecretError) -> Finding {
    Finding {
        file: file.to_string_lossy().into(),
        line: 1,
        key: key.to_owned(),
        problem: error.to_string(),
        remedy: format!("specify a readable file with at least {} characters", Secret::MIN_CHARS),
        severity: Severity::Error,
    }
}
