//! cactustrack: a proxy fleet for upstreams with gray failures.

pub mod cli;
pub mod daemon;
pub mod node;
