//! Tests of cactustrack-store against the stand-in for the platform's store.

mod adapter;
mod decoding;
mod publication;
mod records;
mod stand_in;
mod support;
