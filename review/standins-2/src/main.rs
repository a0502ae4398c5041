//! Stand-ins of the platform's store, backends and clients, and the cases of the second review that
//! are run against `cactustrackd platform` as separate processes.
//!
//! Usage: `standins-2 CASE RECORD`, with the path of the record to write. Exits with 1 if the rule
//! was broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0` the disruption is left
//! out.

mod backend;
mod cases;
mod client;
mod http;
mod node;
mod record;
mod store;

use std::env;
use std::path::Path;
use std::process::exit;

use crate::record::Record;

/// Exit code if the case could not run.
const COULD_NOT_RUN: i32 = 2;

fn main() {
    let args: Vec<String> = env::args().skip(1).collect();
    let [case, record] = &args[..] else {
        eprintln!("usage: standins-2 CASE RECORD");
        exit(COULD_NOT_RUN);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(Path::new(record));
    node::end_all_after_limit();
    record.line(&format!("case {case}, disruption {}", if has_trouble { "on" } else { "off" }));
    let result = std::panic::catch_unwind(|| cases::run(case, has_trouble, &record));
    node::end_all();
    let code = match result {
        Ok(Some(true)) => 1,
        Ok(Some(false)) => 0,
        Ok(None) | Err(_) => COULD_NOT_RUN,
    };
    let text = ["the rule held", "the rule was broken", "the case could not run"];
    record.line(&format!("result: {}", text[code as usize]));
    println!("{case}: {}", text[code as usize]);
    exit(code);
}
