//! Bench.
fn main() {}
