//! Decisions and state machines of jacinthpulley.
//!
//! This crate makes all decisions: which upstream gets a request, which requests wait or are
//! refused, what a quorum has accepted and which hosts are members. It opens no sockets, reads no
//! clock and has no randomness of its own. Time is passed in as a [`Moment`] and randomness as a
//! seed, so that every decision can be replayed in a test.
//!
//! Modules are grouped by the lifetime of their state: [`request`], [`connection`], [`version`]
//! (one configuration) and [`process`].

pub mod connection;
pub mod process;
pub mod request;
pub mod version;

pub use process::{FastMap, FastSet, HostId, Moment, PoolName, UpstreamId, ZoneName};
pub use request::{RefusalCause, RequestVerdict};
pub use version::{ConfigVersion, IndexedPlan, PolicyPlan};
