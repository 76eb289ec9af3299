//! Contents that end upstreams, kept in check by many hosts together, in virtual time.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod content_fleet;
mod faults;
mod records;
mod sums_over_hosts;
mod turns;
mod ways;
