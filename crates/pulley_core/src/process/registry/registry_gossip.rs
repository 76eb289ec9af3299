//! The registry's gossip with other hosts.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use super::lease_bucket::{CODE_EXPIRED, LeaseBucket};
use super::lease_record::{LeaseRecord, id_hash};
use super::registry_message::{
    AgedRecord, BucketCodes, BucketSummary, LEASES_PER_MESSAGE, PackedCodes, PendingUpdate,
    RegistryContent, RegistryMessage, SummaryItem, UpdateReach, split_by_size,
};
use super::shared_clock::LeaseEpoch;
use super::{Moment, PeerRing, RegistrySend, UpstreamRegistry};

/// How many changes a second are sent immediately. The others reach hosts when buckets are
/// compared, so that a thousand upstreams starting together don't fill the links. Drains are never
/// delayed.
const UPDATE_RATE: f64 = 200.0;
/// How many changes may be sent in one burst.
const UPDATE_BURST: f64 = 400.0;
/// For how long after a change messages carry each bucket's digest.
const BUCKET_DIGEST_TIME: Duration = Duration::from_secs(3);
/// The minimum interval between record-by-record comparisons of one bucket.
const COMPARE_INTERVAL: Duration = Duration::from_millis(250);
/// For how long a bucket is not compared after a change: the time that an update takes to reach
/// every host.
///
/// A change reaches some hosts a few hops later than others. While upstreams come and go all the
/// time, hosts without this pause would compare whole buckets for each change. That costs many
/// times the update itself and brings no new information.
const PROPAGATION_TIME: Duration = Duration::from_millis(700);
/// The minimum interval between answers to a digest that differs.
const DIGEST_ANSWER_INTERVAL: Duration = Duration::from_millis(50);
/// How many record messages may wait. Further ones are dropped; their comparison will be repeated.
const RECORD_QUEUE_LIMIT: usize = 256;

impl UpstreamRegistry {
    /// Handles a message that was authenticated as coming from this installation.
    pub fn receive(&mut self, now: Moment, from: SocketAddr, body: &[u8]) -> Vec<RegistrySend> {
        let Some(message) = RegistryMessage::unpack(body) else {
            return Vec::new();
        };
        let first = !self.clock.has_merged_reading();
        let jump = self.clock.merge_reading(now, message.time);
        if first && jump > 0 {
            // Epochs begin at other moments by the new time. The leases are shifted by one epoch
            // less than the jump, so that none is extended.
            self.table.shift(jump - 1);
        }
        if jump > 0 {
            // By the new time leases may have expired before this host's own clock reaches the end
            // of its epoch.
            self.table.expire(self.clock.epoch(now));
        }
        let sent = self.clock.epoch_of(message.time);
        match message.content {
            RegistryContent::Leases { digest, first, codes } => {
                self.merge_leases(now, from, sent, (digest, first as usize, &codes))
            }
            RegistryContent::BucketLeases { buckets } => {
                self.merge_bucket_leases(now, from, sent, &buckets)
            }
            RegistryContent::Updates { reach, records } => {
                self.merge_records(now, sent, records, Some(reach));
                Vec::new()
            }
            RegistryContent::Summaries { buckets } => {
                self.answer_summaries(now, from, &buckets);
                Vec::new()
            }
            RegistryContent::Records { records, wanted } => {
                self.merge_records(now, sent, records, None);
                self.send_requested(now, from, &wanted);
                Vec::new()
            }
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Sending

    pub(crate) fn refill_budget(&mut self, now: Moment) {
        let refill = now.since(self.last_tick).as_secs_f64() * UPDATE_RATE;
        self.update_budget = (self.update_budget + refill).min(UPDATE_BURST);
    }

    /// Sends every host the upstreams that announced their departure to this host.
    pub(crate) fn send_departures(
        &mut self,
        now: Moment,
        ring: &PeerRing,
        sends: &mut Vec<RegistrySend>,
    ) {
        for records in split_by_size(std::mem::take(&mut self.departures)) {
            let body =
                self.pack(now, RegistryContent::Updates { reach: UpdateReach::NEXT, records });
            let all = ring.peers().iter();
            sends.extend(all.map(|(_, to)| RegistrySend { to: *to, body: body.clone() }));
        }
    }

    /// Forwards the changes received since the last call, each as far as its reach allows.
    pub(crate) fn send_updates(
        &mut self,
        now: Moment,
        ring: &PeerRing,
        sends: &mut Vec<RegistrySend>,
    ) {
        let mut updates = std::mem::take(&mut self.updates);
        updates.retain(|update| {
            let is_departure = !update.aged.record.takes_work();
            let has_budget = self.update_budget >= 1.0;
            if !is_departure && has_budget {
                self.update_budget -= 1.0;
            }
            is_departure || has_budget
        });
        // The host `2^step` positions ahead gets the update with reach `step`. It forwards the
        // update to the hosts between itself and the target of the next step.
        for step in 0..ring.rounds() {
            let reach = UpdateReach(u8::try_from(step).unwrap_or(u8::MAX));
            let selected = updates.iter().filter(|update| update.reach > reach);
            let selected: Vec<AgedRecord> = selected.map(|update| update.aged.clone()).collect();
            let Some((_, to)) = ring.target(step) else { return };
            for records in split_by_size(selected) {
                let body = self.pack(now, RegistryContent::Updates { reach, records });
                sends.push(RegistrySend { to: *to, body });
            }
        }
    }

    /// Sends the ages of all leases to the target of this round.
    pub(crate) fn send_leases(
        &mut self,
        now: Moment,
        ring: &PeerRing,
        sends: &mut Vec<RegistrySend>,
    ) {
        let Some((_, to)) = ring.target(self.round) else {
            return;
        };
        if now < self.bucket_digests_until {
            sends.extend(self.bucket_leases(now, *to));
            return;
        }
        let epoch = self.clock.epoch(now);
        let codes = self.table.buckets().iter().flat_map(|bucket| bucket.codes(epoch));
        let codes: Vec<u8> = codes.collect();
        let digest = self.table.digest();
        // An empty list is sent too: it shows that this host knows no upstreams.
        let parts = codes.chunks(LEASES_PER_MESSAGE).chain(codes.is_empty().then_some(&[][..]));
        for (part, codes) in parts.enumerate() {
            let first = u32::try_from(part * LEASES_PER_MESSAGE).unwrap_or(u32::MAX);
            let codes = PackedCodes::pack(codes.iter().copied());
            let body = self.pack(now, RegistryContent::Leases { digest, first, codes });
            sends.push(RegistrySend { to: *to, body });
        }
    }

    fn bucket_leases(&self, now: Moment, to: SocketAddr) -> Vec<RegistrySend> {
        let epoch = self.clock.epoch(now);
        let non_empty = self.table.buckets().iter().enumerate().filter(|(_, b)| b.len() > 0);
        let buckets: Vec<BucketCodes> = non_empty
            .map(|(index, bucket)| BucketCodes {
                bucket: bucket_number(index),
                digest: bucket.digest(),
                codes: PackedCodes::pack(bucket.codes(epoch)),
            })
            .collect();
        // An empty list is sent too: it shows that this host knows no upstreams, and the receiver
        // answers with its records.
        let parts = if buckets.is_empty() { vec![Vec::new()] } else { split_by_size(buckets) };
        parts
            .into_iter()
            .map(|buckets| self.pack(now, RegistryContent::BucketLeases { buckets }))
            .map(|body| RegistrySend { to, body })
            .collect()
    }

    fn pack(&self, now: Moment, content: RegistryContent) -> Bytes {
        RegistryMessage::pack(self.clock.read(now), content)
    }

    // ---------------------------------------------------------------------------------------------
    // Receiving leases

    fn merge_leases(
        &mut self,
        now: Moment,
        from: SocketAddr,
        sent: LeaseEpoch,
        (digest, first, codes): (u32, usize, &PackedCodes),
    ) -> Vec<RegistrySend> {
        if digest != self.table.digest() {
            if self.digest_answered_at.is_some_and(|at| now.since(at) < DIGEST_ANSWER_INTERVAL) {
                return Vec::new();
            }
            self.digest_answered_at = Some(now);
            return self.bucket_leases(now, from);
        }
        let epoch = self.clock.epoch(now);
        let mut index = 0;
        for bucket in 0..self.table.buckets().len() {
            let count = self.table.buckets()[bucket].len();
            let codes =
                (index..index + count).map(|index| renewal(codes, index.checked_sub(first)?, sent));
            self.table.merge_ages(bucket, epoch, codes);
            index += count;
        }
        Vec::new()
    }

    fn merge_bucket_leases(
        &mut self,
        now: Moment,
        from: SocketAddr,
        sent: LeaseEpoch,
        buckets: &[BucketCodes],
    ) -> Vec<RegistrySend> {
        let epoch = self.clock.epoch(now);
        let mut differing = Vec::new();
        for theirs in buckets {
            let index = usize::from(theirs.bucket);
            let Some(ours) = self.table.bucket(index) else {
                continue;
            };
            if ours.digest() == theirs.digest {
                let codes = (0..ours.len()).map(|index| renewal(&theirs.codes, index, sent));
                self.table.merge_ages(index, epoch, codes);
            } else if self.bucket_changed_at[index]
                .is_none_or(|at| now.since(at) >= PROPAGATION_TIME)
            {
                differing.push(index);
            }
        }
        if buckets.is_empty() && self.table.len() > 0 {
            // The sender knows no upstreams. This is equivalent to a summary of empty buckets.
            let all: Vec<BucketSummary> = (0..self.table.buckets().len())
                .map(|index| BucketSummary { bucket: bucket_number(index), items: Vec::new() })
                .collect();
            self.answer_summaries(now, from, &all);
        }
        self.summarize(now, from, &differing)
    }

    /// Sends summaries of the records in some buckets, each bucket at most once per
    /// [`COMPARE_INTERVAL`].
    fn summarize(&mut self, now: Moment, to: SocketAddr, indices: &[usize]) -> Vec<RegistrySend> {
        let mut summaries = Vec::new();
        for index in indices {
            let last = self.bucket_compared_at[*index];
            if last.is_some_and(|at| now.since(at) < COMPARE_INTERVAL) {
                continue;
            }
            self.bucket_compared_at[*index] = Some(now);
            let items = self.table.buckets()[*index].entries().map(summary_item).collect();
            summaries.push(BucketSummary { bucket: bucket_number(*index), items });
        }
        split_by_size(summaries)
            .into_iter()
            .map(|buckets| self.pack(now, RegistryContent::Summaries { buckets }))
            .map(|body| RegistrySend { to, body })
            .collect()
    }

    // ---------------------------------------------------------------------------------------------
    // Exchanging records

    /// Sends records that another host lacks or has in a different version, and requests those that
    /// this host lacks.
    fn answer_summaries(&mut self, now: Moment, to: SocketAddr, summaries: &[BucketSummary]) {
        let epoch = self.clock.epoch(now);
        let mut records = Vec::new();
        let mut wanted = Vec::new();
        for summary in summaries {
            let Some(bucket) = self.table.bucket(usize::from(summary.bucket)) else {
                continue;
            };
            let ours: Vec<SummaryItem> = bucket.entries().map(summary_item).collect();
            let missing = summary.items.iter().filter(|item| !ours.contains(item));
            wanted.extend(missing.map(|item| (summary.bucket, item.id_hash)));
            let differing =
                bucket.entries().filter(|entry| !summary.items.contains(&summary_item(entry)));
            records.extend(differing.map(|entry| self.table.aged_record(entry, epoch)));
        }
        for wanted in split_by_size(wanted) {
            self.queue_records(now, to, RegistryContent::Records { records: Vec::new(), wanted });
        }
        for records in split_by_size(records) {
            self.queue_records(now, to, RegistryContent::Records { records, wanted: Vec::new() });
        }
    }

    fn send_requested(&mut self, now: Moment, to: SocketAddr, wanted: &[(u8, u64)]) {
        let epoch = self.clock.epoch(now);
        let find = |(bucket, hash): &(u8, u64)| {
            let bucket: &LeaseBucket = self.table.bucket(usize::from(*bucket))?;
            bucket.find_hash(*hash).map(|entry| self.table.aged_record(entry, epoch))
        };
        let records: Vec<AgedRecord> = wanted.iter().filter_map(find).collect();
        for records in split_by_size(records) {
            self.queue_records(now, to, RegistryContent::Records { records, wanted: Vec::new() });
        }
    }

    fn queue_records(&mut self, now: Moment, to: SocketAddr, content: RegistryContent) {
        if self.record_queue.len() < RECORD_QUEUE_LIMIT {
            let body = self.pack(now, content);
            self.record_queue.push_back(RegistrySend { to, body });
        }
    }

    fn merge_records(
        &mut self,
        now: Moment,
        sent: LeaseEpoch,
        records: Vec<AgedRecord>,
        reach: Option<UpdateReach>,
    ) {
        for aged in records {
            self.merge_record(now, aged.record, sent.minus(aged.age), reach);
        }
    }

    /// Merges one record that was last renewed in epoch `renewed`. Returns whether the known record
    /// changed. If it did and a `reach` is given, the change is forwarded that far.
    pub(crate) fn merge_record(
        &mut self,
        now: Moment,
        record: LeaseRecord,
        renewed: LeaseEpoch,
        reach: Option<UpdateReach>,
    ) -> bool {
        let epoch = self.clock.epoch(now);
        let id = record.announcement.id.clone();
        if !self.table.merge(epoch, record, renewed) {
            return false;
        }
        self.bucket_digests_until = now + BUCKET_DIGEST_TIME;
        let Some(reach) = reach else { return true };
        self.bucket_changed_at[LeaseBucket::index_of(&id)] = Some(now);
        if reach > UpdateReach::NONE
            && let Some(entry) = self.table.find(&id)
        {
            let aged = self.table.aged_record(entry, epoch);
            self.updates.push(PendingUpdate { reach, aged });
        }
        true
    }
}

/// Returns the epoch in which a lease was renewed, from its age code in a message.
fn renewal(codes: &PackedCodes, index: usize, sent: LeaseEpoch) -> Option<LeaseEpoch> {
    let code = codes.code(index)?;
    (code < CODE_EXPIRED).then(|| sent.minus(u32::from(code)))
}

fn summary_item(entry: &super::lease_bucket::LeaseEntry) -> SummaryItem {
    let hash = entry.record.hash();
    #[expect(clippy::cast_possible_truncation, reason = "the upper half is folded in")]
    let record_hash = (hash ^ (hash >> 32)) as u32;
    SummaryItem { id_hash: id_hash(&entry.record.announcement.id), record_hash }
}

fn bucket_number(index: usize) -> u8 {
    u8::try_from(index).unwrap_or(u8::MAX)
}
