//! The daemon of jacinthpulley, as a library that its binary, tests and benches share.
//!
//! Traffic threads carry requests; one control thread holds the replicated log, membership,
//! upstream leases and the links to other hosts. The two sides share immutable snapshots
//! ([`process::RunningView`]) and bounded channels ([`process::ControlHandle`]) only.

pub mod connection;
pub mod process;
pub mod request;
pub mod version;
