//! Request limits that upstreams name, kept by many entries together, in virtual time.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod changing_limits;
mod changing_views;
mod exchange_rules;
mod fleet_requests;
mod limit_fleet;
mod sums_over_hosts;
