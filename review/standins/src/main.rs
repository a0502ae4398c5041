//! Cases of the review: each plays one disruption against instances of the project as separate
//! processes and judges what callers and backends saw.
//!
//! `review-case NAME FOLDER TEMPORARY-FOLDER` writes `record.txt` into the folder. It exits with 1 if the rule was
//! broken, with 0 if it held and with 2 if the case couldn't run. With `TROUBLE=0` in the
//! environment the disruption is left out.

mod callers;
mod cases;
mod http;
mod node;
mod record;
mod server;
mod store;
mod traffic;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use crate::cases::Setup;
use crate::record::Record;

/// Ends the process because the case can't run.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("cannot run: {reason}");
    std::process::exit(2);
}

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    let [name, folder, temporary] = &arguments[..] else {
        cannot_run("usage: review-case NAME FOLDER TEMPORARY-FOLDER");
    };
    let record = Arc::new(Record::create(&PathBuf::from(folder).join("record.txt")));
    let temporary = PathBuf::from(temporary);
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let setup = Setup { temporary, record, has_trouble };
    let is_broken = match &**name {
        "stale-pages" => cases::stale_pages(&setup),
        "late-watch" => cases::late_watch(&setup),
        "half-answer" => cases::half_answer(&setup),
        "chunked-search" => cases::chunked_search(&setup),
        "unavailable-after-run" => cases::unavailable_after_run(&setup),
        "last-instance" => cases::last_instance(&setup),
        _ => cannot_run("there is no such case"),
    };
    ExitCode::from(u8::from(is_broken))
}
