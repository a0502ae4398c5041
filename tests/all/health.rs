//! Tests of cactustrack-health.
