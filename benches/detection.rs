//! Measures detection time, false ejections, the floor and the efficiency of the statistic.
//!
//! Runs the shipped decision code on simulated outcomes in virtual time, and a naive version on the
//! same requests for comparison. Prints one `name: value unit` line for each figure. Lines with a
//! target end with the target and `met` or `missed`.

#[path = "detection/false_ejections.rs"]
mod false_ejections;
#[path = "detection/faults.rs"]
mod faults;
#[path = "detection/floors.rs"]
mod floors;
#[path = "detection/naive.rs"]
mod naive;
#[path = "detection/profile.rs"]
mod profile;
#[path = "detection/shared.rs"]
mod shared;
#[path = "detection/simulation.rs"]
mod simulation;

use std::time::Instant;

fn main() {
    // `cargo test --benches` passes flags, `cargo bench -- FILTER` a filter that selects sections.
    let filter: Vec<String> = std::env::args().skip(1).filter(|a| !a.starts_with('-')).collect();
    let wanted = |section: &str| filter.is_empty() || filter.iter().any(|f| section.contains(f));
    let started = Instant::now();
    if wanted("floor") {
        floors::run();
    }
    if wanted("faults") {
        faults::run();
    }
    if wanted("false_ejections") {
        false_ejections::run();
    }
    println!("run time: {:.1} s", started.elapsed().as_secs_f64());
}
