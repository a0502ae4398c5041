//! Tests of cactustrack-members.
