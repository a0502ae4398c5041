//! Integration tests, with one module for each subject.

mod config;
mod fleet;
mod health;
mod members;
mod operations;
mod peer;
mod platform;
mod proxy;
mod routing;
mod sharing;
mod soak;
mod store;
