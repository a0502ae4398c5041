//! Stand-in: upstream.
