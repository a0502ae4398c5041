//! `cactustrack key-digest`: prints the digest of an API key for a questionnaire.

use std::io::{self, Read};

use cactustrack_routing::authentication::is_valid_key;
use cactustrack_types::ApiKeyDigest;
use clap::{ArgMatches, Command};
use eyre::{Result, WrapErr};

use super::{Exit, Output, Subcommand};

/// Largest input in bytes. It exceeds the longest valid key with its line end, so that a longer key
/// is rejected and not cut off.
const MAX_INPUT_BYTES: u64 = 4096;

pub(super) const SUBCOMMAND: Subcommand = Subcommand { command, run };

fn command() -> Command {
    Command::new("key-digest").about(
        "Read an API key from standard input and print its digest for `api_key_digests` of a \
         questionnaire",
    )
}

/// The key is read from standard input, since arguments are visible to other processes.
fn run(_: &ArgMatches, output: &mut Output<'_>) -> Result<Exit> {
    let mut input = Vec::new();
    let mut stdin = io::stdin().lock().take(MAX_INPUT_BYTES);
    stdin.read_to_end(&mut input).wrap_err("cannot read the key from standard input")?;
    let key = input.strip_suffix(b"\n").unwrap_or(&input);
    let key = key.strip_suffix(b"\r").unwrap_or(key);
    // The error must not contain the key.
    eyre::ensure!(is_valid_key(key), "a key has 1 to 512 visible ASCII characters in one line");
    let digest = ApiKeyDigest::of(key);
    if output.json {
        output.write_json(&serde_json::json!({ "digest": digest }))?;
    } else {
        writeln!(output.out, "{digest}")?;
    }
    Ok(Exit::Ok)
}
