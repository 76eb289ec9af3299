//! Daemon.
fn main() {}
