//! Decisions that instances take with a shared view of the fleet.

mod admission;
mod budget;
mod catalog;
mod hubs;
mod load;
mod pending;
mod placement;
mod relay;
mod suspicion;
