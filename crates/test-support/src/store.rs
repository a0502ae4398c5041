//! Stand-in: store.
