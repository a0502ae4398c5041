//! Stand-ins for what surrounds the fleet: store, instance list, upstream, caller and link.

pub mod caller;
pub mod instance_list;
pub mod link;
pub mod store;
pub mod upstream;
