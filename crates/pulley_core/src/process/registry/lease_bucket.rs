//! A part of the registry in which upstreams are numbered in the order of their ids' hashes.

use super::lease_record::{LeaseRecord, id_hash};
use super::shared_clock::{LEASE_EPOCHS, LeaseEpoch};
use super::{Moment, UpstreamId, UpstreamSequence};

/// The age code of a lease that has expired or never existed.
pub(crate) const CODE_EXPIRED: u8 = 7;

/// One upstream and its lease.
#[derive(Clone, Debug)]
pub(crate) struct LeaseEntry {
    pub(crate) record: LeaseRecord,
    /// The epoch of the last known renewal.
    pub(crate) renewed: LeaseEpoch,
    /// The highest sequence number seen in an announcement, so that a late one doesn't renew the
    /// lease.
    pub(crate) last_sequence: UpstreamSequence,
    /// Whether the upstream took work when this was last checked.
    pub(crate) took_work: bool,
    id_hash: u64,
    record_hash: u32,
}

impl LeaseEntry {
    pub(crate) fn new(
        record: LeaseRecord,
        renewed: LeaseEpoch,
        last_sequence: UpstreamSequence,
        took_work: bool,
    ) -> Self {
        let (id_hash, hash) = (id_hash(&record.announcement.id), record.hash());
        #[expect(clippy::cast_possible_truncation, reason = "the upper half is folded in")]
        let record_hash = (hash ^ (hash >> 32)) as u32;
        Self { record, renewed, last_sequence, took_work, id_hash, record_hash }
    }

    /// The hash of the upstream's id, which determines its bucket.
    pub(crate) const fn id_hash(&self) -> u64 {
        self.id_hash
    }

    /// The hash of the record, without its lease.
    pub(crate) const fn record_hash(&self) -> u32 {
        self.record_hash
    }

    /// Whether new work may go to this upstream, as far as its lease and its own reports show.
    pub(crate) fn takes_work(&self, at: LeaseEpoch) -> bool {
        self.record.takes_work() && self.renewed.is_valid_at(at)
    }

    /// Whether the upstream takes work, and half of its lease or more has passed.
    pub(crate) fn ends_soon(&self, at: LeaseEpoch) -> bool {
        self.takes_work(at) && self.renewed.age(at) >= LEASE_EPOCHS / 2
    }

    /// Returns the code of the lease's age.
    pub(crate) fn code(&self, at: LeaseEpoch) -> u8 {
        let age = self.renewed.age(at).min(u32::from(CODE_EXPIRED));
        u8::try_from(age).unwrap_or(CODE_EXPIRED)
    }

    fn order(&self) -> (u64, &UpstreamId) {
        (self.id_hash, &self.record.announcement.id)
    }
}

/// The upstreams of one bucket.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaseBucket {
    /// In the order of their ids' hashes.
    entries: Vec<LeaseEntry>,
    digest: u32,
    /// When a change of one of its records last arrived as an update.
    pub(crate) changed_at: Option<Moment>,
    /// When its records were last compared with another host's.
    pub(crate) compared_at: Option<Moment>,
    /// When another host last had the same records.
    pub(crate) agreed_at: Moment,
}

impl LeaseBucket {
    /// Creates an empty bucket with the times of another.
    pub(crate) fn with_times_of(other: &Self) -> Self {
        let Self { changed_at, compared_at, agreed_at, .. } = *other;
        Self { entries: Vec::new(), digest: 0, changed_at, compared_at, agreed_at }
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// The digest of all records, without leases. Hosts with the same digest number the bucket's
    /// upstreams in the same way.
    ///
    /// It is a sum, so that the digest of several buckets is the sum of theirs.
    pub(crate) fn digest(&self) -> u32 {
        self.digest
    }

    pub(crate) fn entries(&self) -> &[LeaseEntry] {
        &self.entries
    }

    pub(crate) fn entries_mut(&mut self) -> &mut [LeaseEntry] {
        &mut self.entries
    }

    pub(crate) fn find(&self, id: &UpstreamId) -> Option<&LeaseEntry> {
        self.position((id_hash(id), id)).ok().map(|position| &self.entries[position])
    }

    pub(crate) fn find_hash(&self, hash: u64) -> Option<&LeaseEntry> {
        let position = self.entries.partition_point(|entry| entry.id_hash < hash);
        self.entries.get(position).filter(|entry| entry.id_hash == hash)
    }

    pub(crate) fn lease_mut(&mut self, id: &UpstreamId) -> Option<&mut LeaseEntry> {
        let position = self.position((id_hash(id), id)).ok()?;
        self.entries.get_mut(position)
    }

    /// Inserts an entry in place of the one with its id.
    pub(crate) fn insert(&mut self, entry: LeaseEntry) {
        self.digest = self.digest.wrapping_add(entry.record_hash);
        match self.position(entry.order()) {
            Ok(position) => {
                self.digest = self.digest.wrapping_sub(self.entries[position].record_hash);
                self.entries[position] = entry;
            }
            Err(position) => self.entries.insert(position, entry),
        }
    }

    /// Removes and returns the entries that were not renewed since `before`.
    pub(crate) fn remove_before(&mut self, before: LeaseEpoch) -> Vec<LeaseEntry> {
        let removed: Vec<LeaseEntry> =
            self.entries.extract_if(.., |entry| entry.renewed < before).collect();
        for entry in &removed {
            self.digest = self.digest.wrapping_sub(entry.record_hash);
        }
        removed
    }

    /// Removes and returns all entries.
    pub(crate) fn take_entries(&mut self) -> Vec<LeaseEntry> {
        self.digest = 0;
        std::mem::take(&mut self.entries)
    }

    fn position(&self, order: (u64, &UpstreamId)) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.order().cmp(&order))
    }
}
