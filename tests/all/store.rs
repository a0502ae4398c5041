//! Tests of cactustrack-store against a fake store.

mod adapter;
mod decoding;
mod fake_store;
mod publication;
mod records;
mod support;
