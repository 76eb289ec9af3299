//! Decisions and state machines of jacinthpulley.
//!
//! Everything that decides lives here: which upstream gets a call, who waits, who is refused,
//! what a quorum has accepted, who is a member. Nothing here opens a socket, reads a clock or
//! draws its own randomness: time comes in as a [`Moment`] and randomness as a seed, so every
//! decision can be replayed in a test.
//!
//! Folders follow life span: [`request`], [`connection`], [`version`] (one configuration) and
//! [`process`].

pub mod connection;
pub mod process;
pub mod request;
pub mod version;

pub use process::{FastMap, FastSet, HostId, Moment, PoolName, UpstreamId, ZoneName};
pub use request::{RefusalCause, RequestVerdict};
pub use version::{ConfigVersion, IndexedPlan, PolicyPlan};
