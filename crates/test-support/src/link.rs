//! Stand-in: link.
