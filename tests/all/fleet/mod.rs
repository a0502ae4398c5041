//! Tests with separate processes of the fleet.

mod harness;
mod path;
