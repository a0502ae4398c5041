//! Checks the example commands in `docs/OPERATIONS.md`.

use std::ffi::OsString;
use std::fs;
use std::path::Path;

use cactustrack::cli::{self, Exit};

/// Guards against documented output that differs from the output of the program.
#[test]
fn documented_output_matches_the_program() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = fs::read_to_string(root.join("docs/OPERATIONS.md")).expect("the page");
    let mut shown = 0;
    for block in page.split("```").skip(1).step_by(2) {
        let Some((command, output)) = block.trim_start().split_once('\n') else { continue };
        let Some(command) = command.strip_prefix("$ ") else { continue };
        let resolve = |word: &str| {
            let is_file = word.starts_with("docs/");
            if is_file { root.join(word).into_os_string() } else { OsString::from(word) }
        };
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let exit = cli::run(command.split(' ').map(resolve), &mut out, &mut err);
        assert_eq!(exit, Exit::Ok, "{command}: {}", String::from_utf8_lossy(&err));
        assert_eq!(String::from_utf8_lossy(&out).trim_end(), output.trim_end(), "{command}");
        shown += 1;
    }
    assert_eq!(shown, 4, "four kinds of failed request");
}
