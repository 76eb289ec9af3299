//! Tests replicas with their real state machines and storage, on an in-memory network and in-memory
//! disks, in virtual time.

mod audit_tests;
mod departure_tests;
mod evacuation_tests;
mod failure_tests;
mod fake_cluster;
mod fake_disk;
mod given_version_tests;
mod growth_schedule_tests;
mod growth_tests;
mod invariants;
mod large_configuration_tests;
mod network_faults;
mod schedule_tests;
mod storage_tests;
