//! Test doubles around the forwarder: scripted upstreams, an entry, callers and a ledger.

#![allow(dead_code, unused_imports, reason = "each test file uses a part")]

mod fake_ledger;
mod fake_upstream;
mod test_entry;

pub(crate) use fake_ledger::FakeLedger;
pub(crate) use fake_upstream::{FakeUpstream, read_request};
pub(crate) use test_entry::{
    CallerAnswer, EntryBuilder, TestEntry, eventually, serve_relays, start_fleet,
};
