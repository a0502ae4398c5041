//! Command line for operators.

use std::process::ExitCode;

use cactustrack::cli;

fn main() -> ExitCode {
    cli::run(std::env::args_os(), &mut std::io::stdout(), &mut std::io::stderr()).into()
}
