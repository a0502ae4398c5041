//! Tests of cactustrack-store against the stand-in for the platform's store.

mod adapter;
mod publication;
mod records;
mod support;
