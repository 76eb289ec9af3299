//! Membership, upstream leases and the spread of the configuration, in virtual time.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod bulk_change;
mod bulk_change_tests;
mod differences_tests;
mod evacuation_tests;
mod link_model;
mod many_changes_tests;
mod member_table_tests;
mod network;
mod plan_difference_tests;
mod plan_follower_tests;
mod plan_source_tests;
mod restart_tests;
mod route_rows;
mod schedule_tests;
mod upstream_directory_tests;
mod upstream_registry_tests;
