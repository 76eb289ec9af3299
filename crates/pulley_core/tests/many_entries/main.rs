//! Decisions of hundreds of entries that run side by side, in virtual time.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod cold_partition;
mod cold_upstreams;
mod entry_fleet;
mod last_slots;
mod returning_callers;
mod silent_zone;
