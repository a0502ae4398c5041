//! Tests with separate processes of the fleet.

mod at_most_once;
mod configuration;
mod ejection;
mod harness;
mod path;
mod session;
