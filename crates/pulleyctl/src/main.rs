//! Tool.
fn main() {}
