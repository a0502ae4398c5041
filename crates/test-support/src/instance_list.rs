//! Stand-in: instance_list.
