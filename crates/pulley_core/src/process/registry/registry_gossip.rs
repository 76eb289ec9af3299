//! The registry's gossip with other hosts.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use super::bucket_range::{BucketRange, MIN_BITS};
use super::lease_bucket::{CODE_EXPIRED, LeaseBucket, LeaseEntry};
use super::lease_record::LeaseRecord;
use super::registry_message::{
    AgedRecord, BucketCodes, LEASES_PER_MESSAGE, PackedCodes, PendingUpdate, RangeSummary,
    RegistryContent, RegistryMessage, SUMMARY_LIMIT, SummaryItem, UpdateReach, split_by_size,
};
use super::shared_clock::LeaseEpoch;
use super::{FastSet, Moment, PeerRing, RegistrySend, RingPeer, UpstreamRegistry};

/// How many changes a second are sent immediately, at least, and in how many seconds as many may be
/// sent as there are upstreams. The other changes reach hosts when buckets are compared, so that a
/// thousand upstreams starting together don't fill the links. Drains are never delayed.
const UPDATE_RATE: f64 = 200.0;
const UPDATE_ALL_SECONDS: f64 = 8.0;
/// How many seconds' worth of changes may be sent in one burst.
const UPDATE_BURST_SECONDS: f64 = 2.0;
/// How many ranges a host compares in a second. With thousands of upstreams it could otherwise
/// compare so many after a start of all that nothing else passed its link.
const COMPARE_RATE: f64 = 256.0;
/// How many ranges may be compared in one burst.
const COMPARE_BURST: f64 = 64.0;
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
/// For how long a bucket may differ from all others' before it is compared although it changes.
/// While it differs, its leases are not renewed.
const DISAGREEMENT_LIMIT: Duration = Duration::from_millis(1_200);
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
            RegistryContent::BucketLeases { bits, buckets } => {
                self.merge_bucket_leases(now, from, sent, (bits, &buckets))
            }
            RegistryContent::Updates { reach, records } => {
                self.merge_records(now, sent, records, Some(reach));
                Vec::new()
            }
            RegistryContent::Summaries { summaries } => {
                self.answer_summaries(now, from, &summaries);
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
        #[expect(clippy::cast_precision_loss, reason = "upstreams are few")]
        let update_rate = UPDATE_RATE.max(self.table.len() as f64 / UPDATE_ALL_SECONDS);
        let passed = now.since(self.last_tick).as_secs_f64();
        let refilled = self.update_budget + passed * update_rate;
        self.update_budget = refilled.min(update_rate * UPDATE_BURST_SECONDS);
        self.compare_budget = (self.compare_budget + passed * COMPARE_RATE).min(COMPARE_BURST);
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
            sends.extend(all.map(|peer| RegistrySend { to: peer.address, body: body.clone() }));
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
            let Some(to) = ring.target(step) else { return };
            for records in split_by_size(selected) {
                let body = self.pack(now, RegistryContent::Updates { reach, records });
                sends.push(RegistrySend { to: to.address, body });
            }
        }
    }

    /// Sends the ages of all leases to the target of this round.
    ///
    /// They are by far the most that hosts say to each other, and grow with the upstreams. Each zone
    /// gets them from a few hosts of the others, and its own hosts tell each other.
    pub(crate) fn send_leases(
        &mut self,
        now: Moment,
        ring: &PeerRing,
        sends: &mut Vec<RegistrySend>,
    ) {
        let Some(RingPeer { address: to, .. }) = ring.shared_target(self.round) else {
            return;
        };
        if now < self.bucket_digests_until {
            sends.extend(self.bucket_leases(now, *to));
            return;
        }
        let epoch = self.clock.epoch(now);
        let codes: Vec<u8> = self.table.entries().map(|entry| entry.code(epoch)).collect();
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
        let bits = self.table.bits();
        let buckets = BucketRange::all(bits).zip(self.table.buckets());
        let buckets: Vec<BucketCodes> = buckets
            .filter(|(_, bucket)| bucket.len() > 0)
            .map(|(range, bucket)| BucketCodes {
                prefix: range.prefix,
                digest: bucket.digest(),
                codes: PackedCodes::pack(bucket.entries().iter().map(|entry| entry.code(epoch))),
            })
            .collect();
        // An empty list is sent too: it shows that this host knows no upstreams, and the receiver
        // answers with its records.
        let parts = if buckets.is_empty() { vec![Vec::new()] } else { split_by_size(buckets) };
        parts
            .into_iter()
            .map(|buckets| self.pack(now, RegistryContent::BucketLeases { bits, buckets }))
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
        for range in BucketRange::all(MIN_BITS) {
            let buckets = self.table.buckets_in(range);
            buckets.iter_mut().for_each(|bucket| bucket.agreed_at = now);
            let count = buckets.iter().map(LeaseBucket::len).sum::<usize>();
            let codes =
                (index..index + count).map(|index| renewal(codes, index.checked_sub(first)?, sent));
            self.table.merge_ages(range, epoch, codes);
            index += count;
        }
        Vec::new()
    }

    fn merge_bucket_leases(
        &mut self,
        now: Moment,
        from: SocketAddr,
        sent: LeaseEpoch,
        (bits, buckets): (u8, &[BucketCodes]),
    ) -> Vec<RegistrySend> {
        let epoch = self.clock.epoch(now);
        let mut summaries = Vec::new();
        for theirs in buckets {
            let range = BucketRange { bits, prefix: theirs.prefix };
            if !range.is_valid() {
                continue;
            }
            if self.table.digest_of(range) == theirs.digest {
                self.table.buckets_in(range).iter_mut().for_each(|bucket| bucket.agreed_at = now);
                let codes = (0..).map(|index| renewal(&theirs.codes, index, sent));
                self.table.merge_ages(range, epoch, codes);
            } else if self.begin_comparison(now, range) {
                self.summarize(range, &mut summaries);
            }
        }
        if buckets.is_empty() && self.table.len() > 0 {
            // The sender knows no upstreams. This is equivalent to empty summaries of all ranges.
            let all = BucketRange::all(self.table.bits());
            let empty = all.map(|range| RangeSummary { range, items: Vec::new() });
            self.answer_summaries(now, from, &empty.collect::<Vec<_>>());
        }
        split_by_size(summaries)
            .into_iter()
            .map(|summaries| self.pack(now, RegistryContent::Summaries { summaries }))
            .map(|body| RegistrySend { to: from, body })
            .collect()
    }

    /// Whether the records of a range may be compared now. Each bucket is compared at most once per
    /// [`COMPARE_INTERVAL`], and not while changes of it spread, unless that has lasted too long.
    fn begin_comparison(&mut self, now: Moment, range: BucketRange) -> bool {
        let is_within = |at: Option<Moment>, span| at.is_some_and(|at| now.since(at) < span);
        let buckets = self.table.buckets_in(range);
        let is_due = buckets.iter().all(|bucket| {
            let is_spreading = is_within(bucket.changed_at, PROPAGATION_TIME)
                && now.since(bucket.agreed_at) < DISAGREEMENT_LIMIT;
            !is_spreading && !is_within(bucket.compared_at, COMPARE_INTERVAL)
        });
        let is_due = is_due && self.compare_budget >= 1.0;
        if is_due {
            buckets.iter_mut().for_each(|bucket| bucket.compared_at = Some(now));
            self.compare_budget -= 1.0;
        }
        is_due
    }

    /// Appends summaries of a range's records, in parts that fit into a message.
    fn summarize(&self, range: BucketRange, summaries: &mut Vec<RangeSummary>) {
        let items: Vec<SummaryItem> = self.table.entries_in(range).map(summary_item).collect();
        match range.halves().filter(|_| items.len() > SUMMARY_LIMIT) {
            Some(halves) => halves.into_iter().for_each(|half| self.summarize(half, summaries)),
            None => summaries.push(RangeSummary { range, items }),
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Exchanging records

    /// Sends records that another host lacks or has in a different version, and requests those that
    /// this host lacks.
    fn answer_summaries(&mut self, now: Moment, to: SocketAddr, summaries: &[RangeSummary]) {
        let epoch = self.clock.epoch(now);
        let mut records = Vec::new();
        let mut wanted = Vec::new();
        for summary in summaries.iter().filter(|summary| summary.range.is_valid()) {
            let entries: Vec<&LeaseEntry> = self.table.entries_in(summary.range).collect();
            let ours: FastSet<SummaryItem> =
                entries.iter().map(|entry| summary_item(entry)).collect();
            let theirs: FastSet<SummaryItem> = summary.items.iter().copied().collect();
            let missing = summary.items.iter().filter(|item| !ours.contains(item));
            wanted.extend(missing.map(|item| item.id_hash));
            let differing =
                entries.into_iter().filter(|entry| !theirs.contains(&summary_item(entry)));
            records.extend(differing.map(|entry| self.table.aged_record(entry, epoch)));
        }
        for wanted in split_by_size(wanted) {
            self.queue_records(now, to, RegistryContent::Records { records: Vec::new(), wanted });
        }
        for records in split_by_size(records) {
            self.queue_records(now, to, RegistryContent::Records { records, wanted: Vec::new() });
        }
    }

    fn send_requested(&mut self, now: Moment, to: SocketAddr, wanted: &[u64]) {
        let epoch = self.clock.epoch(now);
        let known = wanted.iter().filter_map(|hash| self.table.find_hash(*hash));
        let records: Vec<AgedRecord> =
            known.map(|entry| self.table.aged_record(entry, epoch)).collect();
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
        self.table.bucket_of_mut(&id).changed_at = Some(now);
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

fn summary_item(entry: &LeaseEntry) -> SummaryItem {
    SummaryItem { id_hash: entry.id_hash(), record_hash: entry.record_hash() }
}
