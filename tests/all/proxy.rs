//! Tests of cactustrack-proxy: the network edge with a small policy and raw connections.

mod at_most_once;
mod bad_input;
mod bodies;
mod fakes;
mod forwarding;
mod framing;
mod link;
mod matching;
mod repeatable;
mod rig;
