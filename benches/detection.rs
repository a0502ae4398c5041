//! Measures the detection path.

fn main() {}
