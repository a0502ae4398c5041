//! One instance: controllers around the blackboard, and the network at the edge.

pub(crate) mod admin;
mod blackboard;
mod configuration;
mod counted_store;
mod exchange;
mod health;
mod instance;
mod listing;
mod policy;
mod run;
mod status;
mod telemetry;

pub use instance::{Addresses, Instance, StopHandle};
pub use run::run;
