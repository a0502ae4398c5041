//! Tests of cactustrack-store.
