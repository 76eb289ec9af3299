//! The upstreams that a replica stores on its disk, and how they are restored after a restart.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::lease_record::LeaseRecord;
use super::registry_message::{RegistryContent, RegistryMessage, split_by_size};
use super::shared_clock::LEASE_EPOCHS;
use super::{Moment, RegistrySend, UpstreamRegistry, UpstreamStart};

/// The size limit of an encoded directory in bytes: room for [`super::UPSTREAM_LIMIT`] upstreams
/// with long names.
pub const DIRECTORY_LIMIT: usize = 8 << 20;

/// How many epochs of its lease a restored upstream has left if it does not announce itself. A
/// lease covers four announcements, and these epochs cover two of them: enough for one late
/// announcement. An upstream that ended meanwhile is tried no longer than any other that ends.
const RECOVERED_LEASE_EPOCHS: u32 = LEASE_EPOCHS / 2;

/// How many state transfer messages may wait: enough for all entries of a zone at the planned size.
const STATE_TRANSFER_LIMIT: usize = 4_096;

/// A replica's knowledge of upstreams and hosts at one moment, to be written to its disk.
///
/// It guards against a power loss of all hosts. Their memory is then empty, and upstreams, which do
/// not notice, keep announcing themselves at their usual interval. During that interval, entries
/// without a directory know only some of them: for over a second most requests were refused
/// although every upstream was idle.
///
/// Restored data is only a hint. It never overrides an upstream's own announcement, its lease is
/// short, and an incarnation whose departure was acknowledged is not restored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamDirectory {
    /// The index of the log entry that was applied last when this was written.
    pub applied: u64,
    /// The addresses at which other replicas were reached.
    pub peers: Vec<SocketAddr>,
    records: Vec<LeaseRecord>,
}

impl UpstreamDirectory {
    /// The number of upstreams listed.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no upstream is listed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

impl UpstreamRegistry {
    /// Returns a directory of the upstreams that take work now, except those that have left.
    #[must_use]
    pub fn directory(
        &self,
        now: Moment,
        has_left: impl Fn(&UpstreamStart) -> bool,
    ) -> UpstreamDirectory {
        let epoch = self.clock.epoch(now);
        let entries = self.table.entries();
        let usable = entries.filter(|entry| entry.takes_work(epoch));
        let kept = usable.filter(|entry| !has_left(&entry.record.start()));
        let records = kept.map(|entry| entry.record.clone()).collect();
        UpstreamDirectory { records, ..UpstreamDirectory::default() }
    }

    /// Merges the upstreams of a directory that are not known yet, except those that have left.
    /// Returns how many were merged.
    pub fn recall(
        &mut self,
        now: Moment,
        directory: UpstreamDirectory,
        has_left: impl Fn(&UpstreamStart) -> bool,
    ) -> usize {
        let renewed = self.clock.epoch(now).minus(LEASE_EPOCHS - RECOVERED_LEASE_EPOCHS);
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

    /// Sends every upstream that takes work to a host that has just started.
    ///
    /// This is for a restart of all hosts, or of one host under heavy load. If an entry only
    /// compared tables with one host a round, it would learn of its upstreams after one round or
    /// several, while its callers wait. State transfers are limited to entries of the sender's zone
    /// because each one lists every upstream, and traffic within the zone costs least.
    pub fn transfer_state(&mut self, now: Moment, to: SocketAddr) {
        let epoch = self.clock.epoch(now);
        let entries = self.table.entries();
        let usable = entries.filter(|entry| entry.takes_work(epoch));
        let records = usable.map(|entry| self.table.aged_record(entry, epoch)).collect();
        for records in split_by_size(records) {
            if self.state_transfers.len() >= STATE_TRANSFER_LIMIT {
                return;
            }
            let content = RegistryContent::Records { records, wanted: Vec::new() };
            let body = RegistryMessage::pack(self.clock.read(now), content);
            self.state_transfers.push_back(RegistrySend { to, body });
        }
    }
}
