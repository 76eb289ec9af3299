//! A part of the registry in which upstreams are numbered in the order of their ids.

use std::collections::BTreeMap;

use super::lease_record::{LeaseRecord, id_hash};
use super::shared_clock::LeaseEpoch;
use super::{UpstreamId, UpstreamSequence};

/// The number of buckets in the registry.
pub(crate) const BUCKETS: usize = 64;
/// The age code of a lease that has expired or never existed.
pub(crate) const CODE_EXPIRED: u8 = 7;

/// One upstream and its lease.
#[derive(Clone, Debug)]
pub(crate) struct LeaseEntry {
    pub(crate) record: LeaseRecord,
    /// The epoch in which any host last heard from it.
    pub(crate) renewed: LeaseEpoch,
    /// The latest sequence number that this host received directly from the upstream.
    pub(crate) last_sequence: UpstreamSequence,
    /// Whether it took work at the last check. When this changes, the pool's list is updated.
    pub(crate) took_work: bool,
}

impl LeaseEntry {
    pub(crate) fn takes_work(&self, at: LeaseEpoch) -> bool {
        self.record.takes_work() && self.renewed.is_valid_at(at)
    }
}

/// The upstreams of one bucket.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaseBucket {
    entries: BTreeMap<UpstreamId, LeaseEntry>,
    digest: u32,
}

impl LeaseBucket {
    /// Returns the index of the bucket that an upstream belongs to.
    pub(crate) fn index_of(id: &UpstreamId) -> usize {
        (id_hash(id) >> 32) as usize % BUCKETS
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// A digest of the records. Hosts with equal digests number the upstreams in the same way.
    pub(crate) fn digest(&self) -> u32 {
        self.digest
    }

    pub(crate) fn find(&self, id: &UpstreamId) -> Option<&LeaseEntry> {
        self.entries.get(id)
    }

    pub(crate) fn find_hash(&self, hash: u64) -> Option<&LeaseEntry> {
        self.entries().find(|entry| id_hash(&entry.record.announcement.id) == hash)
    }

    pub(crate) fn entries(&self) -> impl Iterator<Item = &LeaseEntry> {
        self.entries.values()
    }

    /// The entries, for changes to leases only. Changes to records must go through `insert`, which
    /// updates the digest.
    pub(crate) fn leases_mut(&mut self) -> impl Iterator<Item = &mut LeaseEntry> {
        self.entries.values_mut()
    }

    pub(crate) fn lease_mut(&mut self, id: &UpstreamId) -> Option<&mut LeaseEntry> {
        self.entries.get_mut(id)
    }

    pub(crate) fn insert(&mut self, entry: LeaseEntry) {
        self.entries.insert(entry.record.announcement.id.clone(), entry);
        self.update_digest();
    }

    /// Removes and returns the entries that were not renewed since `before`.
    pub(crate) fn remove_before(&mut self, before: LeaseEpoch) -> Vec<LeaseEntry> {
        if self.entries.values().all(|entry| entry.renewed >= before) {
            return Vec::new();
        }
        let entries = std::mem::take(&mut self.entries);
        let (kept, removed): (BTreeMap<_, _>, BTreeMap<_, _>) =
            entries.into_iter().partition(|(_, entry)| entry.renewed >= before);
        self.entries = kept;
        self.update_digest();
        removed.into_values().collect()
    }

    /// The age of each lease in epochs, at most [`CODE_EXPIRED`], in the order of the ids.
    pub(crate) fn codes(&self, at: LeaseEpoch) -> impl Iterator<Item = u8> {
        self.entries.values().map(move |entry| {
            let age = entry.renewed.age(at).min(u32::from(CODE_EXPIRED));
            u8::try_from(age).unwrap_or(CODE_EXPIRED)
        })
    }

    fn update_digest(&mut self) {
        let hash = |entry: &LeaseEntry| entry.record.hash();
        let combined =
            self.entries.values().fold(0_u64, |all, entry| all.rotate_left(5) ^ hash(entry));
        #[expect(clippy::cast_possible_truncation, reason = "the upper half is folded in")]
        let folded = (combined ^ (combined >> 32)) as u32;
        self.digest = folded;
    }
}
