//! Tests of cactustrack-peer.
