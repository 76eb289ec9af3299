//! The upstreams that a replica writes down, and what becomes of them after a restart.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::lease_bucket::LeaseBucket;
use super::lease_record::LeaseRecord;
use super::registry_message::{RegistryContent, RegistryMessage, split_by_size};
use super::shared_clock::LEASE_EPOCHS;
use super::{Moment, RegistrySend, UpstreamRegistry, UpstreamStart};

/// How large an encoded directory may be, in bytes: room for [`super::UPSTREAM_LIMIT`] upstreams with
/// long names.
pub const DIRECTORY_LIMIT: usize = 8 << 20;

/// How many epochs of its lease a recalled upstream has left, if it does not announce itself. Of
/// a lease of four announcements these are two: enough for one that is late, and an upstream that
/// died meanwhile is asked in vain for no longer than any other that dies.
const RECALLED_EPOCHS: u32 = LEASE_EPOCHS / 2;

/// How many messages of introductions may wait: those to all entries of a zone at the planned size.
const INTRODUCTION_LIMIT: usize = 4_096;

/// What a replica knows at a moment of upstreams and hosts, to be written to its disk.
///
/// What goes wrong without it: all hosts lose power, their memory is empty, and upstreams, which
/// know nothing of it, go on announcing themselves once a pace. For that long entries know only
/// some of them: over a second in which most requests were refused though every upstream was idle.
/// What is read back is a hint. It never outranks what an upstream says of itself, its lease is
/// short, and no start comes back whose leaving was acknowledged.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamDirectory {
    /// The entry of the log that was applied last when this was written.
    pub applied: u64,
    /// Where other replicas were reached.
    pub peers: Vec<SocketAddr>,
    records: Vec<LeaseRecord>,
}

impl UpstreamDirectory {
    /// How many upstreams it names.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether it names no upstream.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

impl UpstreamRegistry {
    /// The upstreams that take work now, but for those that have left.
    #[must_use]
    pub fn directory(
        &self,
        now: Moment,
        has_left: impl Fn(&UpstreamStart) -> bool,
    ) -> UpstreamDirectory {
        let epoch = self.clock.epoch(now);
        let entries = self.table.buckets().iter().flat_map(LeaseBucket::entries);
        let usable = entries.filter(|entry| entry.takes_work(epoch));
        let kept = usable.filter(|entry| !has_left(&entry.record.start()));
        let records = kept.map(|entry| entry.record.clone()).collect();
        UpstreamDirectory { records, ..UpstreamDirectory::default() }
    }

    /// Takes in the upstreams of a directory that nothing is known of, but for those that have
    /// left; returns how many.
    pub fn recall(
        &mut self,
        now: Moment,
        directory: UpstreamDirectory,
        has_left: impl Fn(&UpstreamStart) -> bool,
    ) -> usize {
        let renewed = self.clock.epoch(now).minus(LEASE_EPOCHS - RECALLED_EPOCHS);
        let mut recalled = 0;
        for record in directory.records {
            let is_known = self.table.find(&record.announcement.id).is_some();
            if is_known || has_left(&record.start()) {
                continue;
            }
            recalled += usize::from(self.merge_record(now, record, renewed, None));
        }
        recalled
    }

    /// Tells a host that has just started of every upstream that takes work.
    ///
    /// Load it is for: all hosts restart together, or one comes back in a rush. Harm: by comparing
    /// tables with one host a round, an entry learns of its upstreams within a round or a few,
    /// while its callers wait. Reason for the limit: an introduction names every upstream, and goes to
    /// entries of the own zone only, where bytes cost least.
    pub fn introduce(&mut self, now: Moment, to: SocketAddr) {
        let epoch = self.clock.epoch(now);
        let entries = self.table.buckets().iter().flat_map(LeaseBucket::entries);
        let usable = entries.filter(|entry| entry.takes_work(epoch));
        let records = usable.map(|entry| self.table.aged_record(entry, epoch)).collect();
        for records in split_by_size(records) {
            if self.introductions.len() >= INTRODUCTION_LIMIT {
                return;
            }
            let content = RegistryContent::Records { records, wanted: Vec::new() };
            let body = RegistryMessage::pack(self.clock.read(now), content);
            self.introductions.push_back(RegistrySend { to, body });
        }
    }
}
