//! Request limits that upstreams name, kept by many entries together, in virtual time.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod changing_limits;
mod changing_views;
mod limit_fleet;
mod sums_over_hosts;
