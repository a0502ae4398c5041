//! Test doubles for the systems around the fleet: fakes of the key-value store, the instance list
//! and the upstreams, an HTTP client, and a TCP relay that simulates network faults.

pub mod caller;
pub mod instance_list;
pub mod link;
pub mod store;
pub mod upstream;
