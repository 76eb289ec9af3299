//! All buckets of the registry, with a limit on the number of upstreams.

use std::net::SocketAddr;
use std::sync::Arc;

use super::bucket_range::{BucketRange, MAX_BITS, MIN_BITS};
use super::lease_bucket::{LeaseBucket, LeaseEntry};
use super::lease_record::{LeaseRecord, id_hash};
use super::registry_message::AgedRecord;
use super::shared_clock::LeaseEpoch;
use super::{
    FastMap, PoolName, UpstreamChange, UpstreamId, UpstreamList, UpstreamRecord, UpstreamSequence,
    ZoneName,
};

/// The largest number of known upstreams, including expired ones: about 5 MB on each host.
///
/// Beyond the limit hosts keep different upstreams and compare all of them forever without
/// converging. It therefore lies far above the planned 1,200, each of which may be replaced under a
/// new id several times within the retention.
pub const UPSTREAM_LIMIT: usize = 16_384;
/// For how many epochs an expired upstream is remembered: 10 minutes. Until then a late message
/// can't revive an upstream that has drained.
const RETENTION_EPOCHS: u32 = 1_200;

/// The mean numbers of upstreams in a bucket above which there are twice as many buckets, and below
/// which there are half as many.
///
/// A change of one upstream holds up the renewals of all in its bucket until it has reached every
/// host. With a fixed number of buckets more upstreams change at a time and each holds up more
/// others, until leases of running upstreams end.
const MAX_MEAN_LENGTH: usize = 32;
const MIN_MEAN_LENGTH: usize = 8;

/// All known upstreams.
#[derive(Clone, Debug)]
pub(crate) struct LeaseTable {
    /// One bucket for each range of `bits` bits.
    buckets: Vec<LeaseBucket>,
    bits: u8,
    count: usize,
    digest: u32,
    /// Increases whenever the result of [`Self::rebuild_pools`] may have changed.
    pub(crate) changes: u64,
    /// The upstreams of each pool as of the last call of [`Self::pools`].
    pools: FastMap<PoolName, UpstreamList>,
    /// Upstreams changed since that call, each with the pool in which it was last listed.
    dirty: FastMap<UpstreamId, PoolName>,
    /// Zones whose upstreams get no work, sorted by name.
    evacuated_zones: Vec<ZoneName>,
}

impl LeaseTable {
    pub(crate) fn new() -> Self {
        Self {
            buckets: vec![LeaseBucket::default(); 1 << MIN_BITS],
            bits: MIN_BITS,
            count: 0,
            digest: 0,
            changes: 0,
            pools: FastMap::default(),
            dirty: FastMap::default(),
            evacuated_zones: Vec::new(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.count
    }

    pub(crate) fn buckets(&self) -> &[LeaseBucket] {
        &self.buckets
    }

    /// Returns the number of leading bits of an id's hash that determine its bucket.
    pub(crate) const fn bits(&self) -> u8 {
        self.bits
    }

    pub(crate) fn bucket_of_mut(&mut self, id: &UpstreamId) -> &mut LeaseBucket {
        let index = self.index_of(id_hash(id));
        &mut self.buckets[index]
    }

    pub(crate) fn find(&self, id: &UpstreamId) -> Option<&LeaseEntry> {
        self.buckets[self.index_of(id_hash(id))].find(id)
    }

    pub(crate) fn find_hash(&self, hash: u64) -> Option<&LeaseEntry> {
        self.buckets[self.index_of(hash)].find_hash(hash)
    }

    /// Returns all entries, in the order of their ids' hashes.
    pub(crate) fn entries(&self) -> impl Iterator<Item = &LeaseEntry> {
        self.buckets.iter().flat_map(LeaseBucket::entries)
    }

    /// Returns the entries of a range, in the order of their ids' hashes.
    pub(crate) fn entries_in(&self, range: BucketRange) -> impl Iterator<Item = &LeaseEntry> {
        let hashes = range.hashes();
        let buckets = self.buckets[self.indices_in(range)].iter();
        let entries = buckets.flat_map(LeaseBucket::entries);
        entries.filter(move |entry| hashes.contains(&entry.id_hash()))
    }

    /// Returns the buckets that a range shares upstreams with.
    pub(crate) fn buckets_in(&mut self, range: BucketRange) -> &mut [LeaseBucket] {
        let indices = self.indices_in(range);
        &mut self.buckets[indices]
    }

    /// Returns the digest of all records in a range.
    pub(crate) fn digest_of(&self, range: BucketRange) -> u32 {
        if range.bits > self.bits {
            let hashes = self.entries_in(range).map(LeaseEntry::record_hash);
            return hashes.fold(0, u32::wrapping_add);
        }
        let digests = self.buckets[self.indices_in(range)].iter().map(LeaseBucket::digest);
        digests.fold(0, u32::wrapping_add)
    }

    /// Returns the digest of all records.
    pub(crate) const fn digest(&self) -> u32 {
        self.digest
    }

    fn index_of(&self, hash: u64) -> usize {
        usize::try_from(hash >> (64 - u32::from(self.bits))).unwrap_or(0)
    }

    fn indices_in(&self, range: BucketRange) -> std::ops::RangeInclusive<usize> {
        let hashes = range.hashes();
        self.index_of(*hashes.start())..=self.index_of(*hashes.end())
    }

    /// Whether new work may go to an upstream.
    pub(crate) fn takes_work(&self, entry: &LeaseEntry, at: LeaseEpoch) -> bool {
        entry.takes_work(at) && !self.is_evacuated(&entry.record.announcement.zone)
    }

    fn is_evacuated(&self, zone: &ZoneName) -> bool {
        self.evacuated_zones.binary_search(zone).is_ok()
    }

    /// Sets the zones whose upstreams get no work. `zones` must be sorted.
    pub(crate) fn set_evacuated_zones(&mut self, zones: &[ZoneName]) {
        let before = std::mem::replace(&mut self.evacuated_zones, zones.to_vec());
        let is_in = |zones: &[ZoneName], zone| zones.binary_search(zone).is_ok();
        for entry in self.buckets.iter().flat_map(LeaseBucket::entries) {
            let zone = &entry.record.announcement.zone;
            if is_in(&before, zone) != is_in(zones, zone) {
                self.changes += 1;
                mark_dirty(&mut self.dirty, entry);
            }
        }
    }

    /// Renews the lease of an upstream that this host heard from directly.
    pub(crate) fn renew(
        &mut self,
        id: &UpstreamId,
        at: LeaseEpoch,
        last_sequence: UpstreamSequence,
    ) {
        let index = self.index_of(id_hash(id));
        let Some(entry) = self.buckets[index].lease_mut(id) else {
            return;
        };
        entry.renewed = entry.renewed.max(at);
        entry.last_sequence = entry.last_sequence.max(last_sequence);
        if update_took_work(entry, at) {
            self.changes += 1;
            mark_dirty(&mut self.dirty, entry);
        }
    }

    /// Merges a record that was last renewed in epoch `renewed`. Returns whether the record
    /// changed.
    pub(crate) fn merge(
        &mut self,
        now: LeaseEpoch,
        theirs: LeaseRecord,
        renewed: LeaseEpoch,
    ) -> bool {
        let id = theirs.announcement.id.clone();
        let index = self.index_of(id_hash(&id));
        let Some(entry) = self.buckets[index].find(&id) else {
            return self.insert_new(now, theirs, renewed);
        };
        let merged = entry.record.merged(&theirs);
        let changed = merged != entry.record;
        let last_sequence = entry.last_sequence;
        // A lease belongs to one incarnation of one process: renewals of another don't count here.
        let renewed = match (merged.is_same_start(&entry.record), merged.is_same_start(&theirs)) {
            (true, true) => entry.renewed.max(renewed),
            (true, false) => entry.renewed,
            _ => renewed,
        };
        let last_sequence =
            if merged.is_same_start(&entry.record) { last_sequence } else { UpstreamSequence(0) };
        let last_sequence = last_sequence.max(merged.announcement.sequence);
        let took_work = entry.took_work;
        if changed {
            mark_dirty(&mut self.dirty, entry);
        }
        let mut entry = LeaseEntry::new(merged, renewed, last_sequence, took_work);
        let took_work_changed = update_took_work(&mut entry, now);
        if took_work_changed {
            mark_dirty(&mut self.dirty, &entry);
        }
        self.changes += u64::from(changed || took_work_changed);
        if changed {
            self.insert_at(index, entry);
        } else if let Some(lease) = self.buckets[index].lease_mut(&id) {
            *lease = entry;
        }
        changed
    }

    /// Merges the lease renewals of one range, in the order of this table's entries.
    pub(crate) fn merge_ages(
        &mut self,
        range: BucketRange,
        now: LeaseEpoch,
        renewed: impl Iterator<Item = Option<LeaseEpoch>>,
    ) {
        let (indices, hashes) = (self.indices_in(range), range.hashes());
        let entries = self.buckets[indices].iter_mut().flat_map(LeaseBucket::entries_mut);
        let entries = entries.filter(|entry| hashes.contains(&entry.id_hash()));
        for (entry, renewed) in entries.zip(renewed) {
            let Some(renewed) = renewed else {
                continue;
            };
            if renewed > entry.renewed {
                entry.renewed = renewed;
                if update_took_work(entry, now) {
                    self.changes += 1;
                    mark_dirty(&mut self.dirty, entry);
                }
            }
        }
    }

    /// Updates which leases have expired, and removes entries that expired long ago.
    pub(crate) fn expire(&mut self, now: LeaseEpoch) {
        for bucket in &mut self.buckets {
            for entry in bucket.entries_mut() {
                if update_took_work(entry, now) {
                    self.changes += 1;
                    mark_dirty(&mut self.dirty, entry);
                }
            }
        }
        self.remove_before(now.minus(RETENTION_EPOCHS));
    }

    /// Removes the entries that were not renewed since `before`.
    fn remove_before(&mut self, before: LeaseEpoch) {
        for bucket in &mut self.buckets {
            for entry in bucket.remove_before(before) {
                self.digest = self.digest.wrapping_sub(entry.record_hash());
                self.count -= 1;
                self.changes += 1;
                mark_dirty(&mut self.dirty, &entry);
            }
        }
        if self.bits > MIN_BITS && self.count < MIN_MEAN_LENGTH << self.bits {
            self.set_bits(self.bits - 1);
        }
    }

    /// Shifts every lease when another host's shared time is first received. Until then all leases
    /// were renewed by this host's own clock.
    pub(crate) fn shift(&mut self, epochs: u32) {
        for entry in self.buckets.iter_mut().flat_map(LeaseBucket::entries_mut) {
            entry.renewed = LeaseEpoch(entry.renewed.0.saturating_add(epochs));
        }
    }

    pub(crate) fn aged_record(&self, entry: &LeaseEntry, now: LeaseEpoch) -> AgedRecord {
        AgedRecord { record: entry.record.clone(), age: entry.renewed.age(now) }
    }

    /// The upstreams of each pool, rebuilt from scratch.
    pub(crate) fn rebuild_pools(&self, now: LeaseEpoch) -> FastMap<PoolName, UpstreamList> {
        let mut pools: FastMap<PoolName, Vec<UpstreamRecord>> = FastMap::default();
        for entry in self.entries() {
            let record = self.upstream_record(entry, now);
            pools.entry(record.announcement.pool.clone()).or_default().push(record);
        }
        pools.into_iter().map(|(pool, records)| (pool, UpstreamList::from(records))).collect()
    }

    /// The upstreams of each pool. Only changes since the last call are processed.
    pub(crate) fn pools(&mut self) -> &FastMap<PoolName, UpstreamList> {
        let mut changes: FastMap<PoolName, Vec<UpstreamChange>> = FastMap::default();
        for (id, pool) in std::mem::take(&mut self.dirty) {
            // As last checked, and not as of now: a lease that has ended since and is renewed
            // before the next check would not be marked as changed.
            let record = self.find(&id).map(|entry| {
                let takes_work =
                    entry.took_work && !self.is_evacuated(&entry.record.announcement.zone);
                UpstreamRecord { announcement: entry.record.announcement.clone(), takes_work }
            });
            // The same id may now belong to an upstream of another pool.
            if record.as_ref().is_none_or(|record| record.announcement.pool != pool) {
                let removed = UpstreamChange::Removed(id);
                changes.entry(pool).or_default().push(removed);
            }
            if let Some(record) = record {
                let pool = record.announcement.pool.clone();
                let put = UpstreamChange::Put(Arc::new(record));
                changes.entry(pool).or_default().push(put);
            }
        }
        for (pool, changes) in changes {
            let list = self.pools.get(&pool).cloned().unwrap_or_default().with_changes(changes);
            if list.is_empty() {
                self.pools.remove(&pool);
            } else {
                self.pools.insert(pool, list);
            }
        }
        &self.pools
    }

    /// The address of another process whose valid lease on `id` rules out an announcement from
    /// `from`.
    pub(crate) fn conflicting_address(
        &self,
        id: &UpstreamId,
        from: SocketAddr,
        now: LeaseEpoch,
    ) -> Option<SocketAddr> {
        let entry = self.find(id)?;
        let held = entry.renewed.is_valid_at(now)
            && entry.record.announcement.phase != super::UpstreamPhase::Gone;
        (held && entry.record.announcement.address != from)
            .then_some(entry.record.announcement.address)
    }

    /// The record of an upstream as the traffic side sees it.
    fn upstream_record(&self, entry: &LeaseEntry, now: LeaseEpoch) -> UpstreamRecord {
        let announcement = entry.record.announcement.clone();
        UpstreamRecord { announcement, takes_work: self.takes_work(entry, now) }
    }

    fn insert_new(&mut self, now: LeaseEpoch, record: LeaseRecord, renewed: LeaseEpoch) -> bool {
        if renewed.age(now) >= RETENTION_EPOCHS || !self.make_room(renewed) {
            return false;
        }
        let last_sequence = record.announcement.sequence;
        let mut entry = LeaseEntry::new(record, renewed, last_sequence, false);
        update_took_work(&mut entry, now);
        mark_dirty(&mut self.dirty, &entry);
        self.insert_at(self.index_of(entry.id_hash()), entry);
        self.count += 1;
        self.changes += 1;
        if self.bits < MAX_BITS && self.count > MAX_MEAN_LENGTH << self.bits {
            self.set_bits(self.bits + 1);
        }
        true
    }

    fn insert_at(&mut self, index: usize, entry: LeaseEntry) {
        let bucket = &mut self.buckets[index];
        let before = bucket.digest();
        bucket.insert(entry);
        let added = bucket.digest().wrapping_sub(before);
        self.digest = self.digest.wrapping_add(added);
    }

    /// Divides the upstreams into another number of buckets. Each new bucket takes over the times of
    /// an old one that it overlaps.
    fn set_bits(&mut self, bits: u8) {
        let mut before = std::mem::take(&mut self.buckets);
        let (shrinks, grows) = (self.bits.saturating_sub(bits), bits.saturating_sub(self.bits));
        self.buckets = (0..1_usize << bits)
            .map(|index| {
                let old = &before[index << shrinks >> grows];
                LeaseBucket::with_times_of(old)
            })
            .collect();
        self.bits = bits;
        for entry in before.iter_mut().flat_map(LeaseBucket::take_entries) {
            let index = self.index_of(entry.id_hash());
            self.buckets[index].insert(entry);
        }
    }

    /// Whether there is room for another upstream. If the table is full, it first removes the
    /// upstreams whose leases expired earliest, if any has expired.
    fn make_room(&mut self, renewed: LeaseEpoch) -> bool {
        if self.count < UPSTREAM_LIMIT {
            return true;
        }
        let Some(oldest) = self.entries().map(|entry| entry.renewed).min() else {
            return false;
        };
        if oldest.is_valid_at(renewed) {
            return false;
        }
        self.remove_before(LeaseEpoch(oldest.0 + 1));
        self.count < UPSTREAM_LIMIT
    }
}

/// Marks an upstream to be listed again. The pool in which it was last listed is kept, so that it
/// is removed there if it has moved.
fn mark_dirty(dirty: &mut FastMap<UpstreamId, PoolName>, entry: &LeaseEntry) {
    let announcement = &entry.record.announcement;
    dirty.entry(announcement.id.clone()).or_insert_with(|| announcement.pool.clone());
}

/// Updates whether an upstream takes work. Returns whether that has changed.
fn update_took_work(entry: &mut LeaseEntry, now: LeaseEpoch) -> bool {
    let takes_work = entry.takes_work(now);
    std::mem::replace(&mut entry.took_work, takes_work) != takes_work
}
