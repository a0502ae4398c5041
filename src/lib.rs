//! Proxy fleet that detects gray failures of upstreams and routes requests around them.

pub mod cli;
pub mod daemon;
pub mod node;
mod signals;
