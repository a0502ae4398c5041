//! Tests with separate processes of the fleet.

mod at_most_once;
mod harness;
mod path;
