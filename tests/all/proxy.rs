//! Tests of cactustrack-proxy.
