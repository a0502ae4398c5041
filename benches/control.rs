//! Measures the control path.

fn main() {}
