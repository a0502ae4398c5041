//! The instance: controllers around the blackboard, and the network at the edge.
