//! Tests of cactustrack-store against a fake store.

mod decoding;
mod etcd;
mod fake_store;
mod publication;
mod records;
mod support;
