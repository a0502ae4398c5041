//! One instance of the fleet: the controllers, the blackboard they share, and the listeners.
//!
//! Each controller reads the blackboard and writes its own part of it. The request path selects
//! upstreams from it and records evidence in it.

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

pub use instance::{Addresses, Instance, ShutdownHandle};
pub use run::run;
