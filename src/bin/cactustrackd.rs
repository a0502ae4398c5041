//! The instance.

fn main() {}
