//! Tests of cactustrack-config.
