//! cactustrack: a proxy fleet for upstreams with gray failures.
