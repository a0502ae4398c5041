//! The instance on the users' platform, as a process against stand-ins.

mod decoding;
mod dialect;
mod documents;
mod examples;
mod relaying;
mod rig;
mod stopping;
mod store;
mod store_outage;
mod story;
mod traffic;
