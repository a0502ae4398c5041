//! Proxy fleet that detects gray failures of upstreams and routes requests around them.

pub mod cli;
pub mod daemon;
mod descriptors;
pub mod node;
mod route_query;
mod signals;
