//! The daemon of jacinthpulley, as a library for its binary, tests and benches.
//!
//! Traffic threads serve requests. One control thread runs the replicated log, membership, upstream
//! leases and the links to other hosts. The two sides communicate only through immutable snapshots
//! ([`process::RunningView`]) and bounded channels ([`process::ControlHandle`]).

pub mod connection;
pub mod process;
pub mod request;
pub mod version;
