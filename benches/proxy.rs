//! Measures the proxy path.

fn main() {}
