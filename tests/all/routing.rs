//! Tests of cactustrack-routing.
