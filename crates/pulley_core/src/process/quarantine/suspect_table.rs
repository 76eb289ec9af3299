//! The contents under which upstreams have ended, as one host knows them.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use super::quarantine_message::QuarantineMessage;
use super::{
    ContentDigest, ContentStanding, FastMap, Moment, PeerRing, RecordSpread, SharedTime,
    SuspectRecord, SyncTurn, UpdateReach,
};

/// The minimum interval between sends of changes. A caller repeats its request at another host some
/// 30 ms after the first has failed, and a change takes as many sends as the logarithm of the number
/// of hosts to reach all of them.
const UPDATE_INTERVAL: Duration = Duration::from_millis(2);

/// The interval at which a part of the table is sent to another host, for those that missed a
/// change or have just started.
const SYNC_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of known records. Each takes some 150 bytes.
const TABLE_LIMIT: usize = 4_096;

/// Maximum number of changes that wait to be sent. Those beyond it reach other hosts with the parts
/// of the table.
const UPDATE_LIMIT: usize = 512;

/// Maximum rate at which one host sends changes, in bytes a second, and the time whose bytes it may
/// send at once.
const SPREAD_RATE: u32 = 6_000;
const SPREAD_BURST: Duration = Duration::from_secs(2);

/// The sends of changes, paced to the maximum rate. Without that, requests that each end an upstream
/// under another content would take the links' capacity from all requests.
#[derive(Clone, Copy, Debug, Default)]
struct SpreadPacer {
    /// When the bytes sent so far are paid for.
    paid_at: Moment,
}

impl SpreadPacer {
    /// Returns when the next send is allowed.
    fn next_send(self) -> Moment {
        Moment::ZERO + self.paid_at.since(Moment::ZERO + SPREAD_BURST)
    }

    fn record_sent(&mut self, now: Moment, bytes: usize) {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        self.paid_at = self.paid_at.max(now) + Duration::from_secs(1) * bytes / SPREAD_RATE;
    }
}

#[derive(Clone, Debug)]
struct KnownRecord {
    record: SuspectRecord,
    /// How far the record has been passed on since it changed.
    passed_on: UpdateReach,
}

/// The contents that one host knows to be suspected, quarantined or cleared a while ago.
#[derive(Clone, Debug)]
pub(crate) struct SuspectTable {
    known: FastMap<ContentDigest, KnownRecord>,
    spread: RecordSpread<SuspectRecord>,
    pacer: SpreadPacer,
    next_sync: Moment,
    sync: SyncTurn,
}

impl Default for SuspectTable {
    fn default() -> Self {
        Self {
            known: FastMap::default(),
            spread: RecordSpread::new(UPDATE_INTERVAL),
            pacer: SpreadPacer::default(),
            next_sync: Moment::ZERO,
            sync: SyncTurn::default(),
        }
    }
}

impl SuspectTable {
    /// Returns what is known of a content.
    pub(crate) fn find(&self, digest: ContentDigest) -> Option<&SuspectRecord> {
        self.known.get(&digest).map(|known| &known.record)
    }

    /// Returns all records, including those of contents that were cleared a while ago.
    pub(crate) fn records(&self) -> impl Iterator<Item = &SuspectRecord> {
        self.known.values().map(|known| &known.record)
    }

    /// Takes in a record and passes it on within `reach`. Returns whether anything of it is new.
    ///
    /// A record that is not new is passed on too, as far as it has not been: the host may have it from
    /// the one that permits trials, and others have it only through this host.
    pub(crate) fn merge(
        &mut self,
        time: SharedTime,
        record: &SuspectRecord,
        reach: UpdateReach,
    ) -> bool {
        if record.is_expired(time) {
            return false;
        }
        if !self.known.contains_key(&record.digest) {
            self.insert(SuspectRecord::empty(record.digest));
        }
        let Some(known) = self.known.get_mut(&record.digest) else { return false };
        let is_new = known.record.merge(record);
        if is_new {
            known.passed_on = UpdateReach::NONE;
        }
        // The next host gets a copy in any case, as a second way for it to learn of the record.
        let reach = if is_new { reach.max(UpdateReach::NEXT) } else { reach };
        if reach > known.passed_on && self.spread.len() < UPDATE_LIMIT {
            known.passed_on = reach;
            let changed = known.record.clone();
            self.spread.push(reach, changed, |old| old.digest == record.digest);
        }
        is_new
    }

    /// Removes the records that have been kept for long enough, and makes runs count no more that
    /// nobody has decided in time. Returns the contents of the records that have changed.
    pub(crate) fn expire(&mut self, time: SharedTime) -> Vec<ContentDigest> {
        let expired = self.known.extract_if(|_, known| known.record.is_expired(time));
        let mut changed: Vec<ContentDigest> = expired.map(|(digest, _)| digest).collect();
        let lapsed = self
            .known
            .iter_mut()
            .filter_map(|(digest, known)| known.record.lapse(time).then_some(*digest));
        changed.extend(lapsed);
        changed
    }

    /// Returns the messages that are due.
    pub(crate) fn tick(&mut self, now: Moment, ring: &PeerRing) -> Vec<(SocketAddr, Bytes)> {
        let pack = |reach, records| QuarantineMessage::Records { reach, records }.pack();
        let mut sends = Vec::new();
        if now >= self.pacer.next_send() {
            sends = self.spread.take_due(now, ring, pack);
            let bytes = sends.iter().map(|(_, body)| body.len()).sum();
            self.pacer.record_sent(now, bytes);
        }
        if !self.known.is_empty() && now >= self.next_sync {
            self.next_sync = now + SYNC_INTERVAL;
            sends.extend(self.send_part(ring));
        }
        sends
    }

    /// Returns when [`Self::tick`] next has something to do; `None` if no record is known.
    pub(crate) fn next_wakeup(&self) -> Option<Moment> {
        let sync_at = (!self.known.is_empty()).then_some(self.next_sync);
        let spread_at = self.spread.next_wakeup().map(|due| due.max(self.pacer.next_send()));
        spread_at.into_iter().chain(sync_at).min()
    }

    fn insert(&mut self, record: SuspectRecord) {
        if self.known.len() >= TABLE_LIMIT {
            self.evict();
        }
        self.known.insert(record.digest, KnownRecord { record, passed_on: UpdateReach::NONE });
    }

    /// Makes room for a record: a cleared one goes first, a quarantined one last, and among equals the
    /// one that changed first.
    fn evict(&mut self) {
        let rank = |record: &SuspectRecord| match record.standing_elsewhere() {
            None => 0,
            Some(ContentStanding::Suspect) => 1,
            Some(ContentStanding::Held { .. }) => 2,
            Some(ContentStanding::Quarantined { .. }) => 3,
        };
        let order = |record: &&SuspectRecord| (rank(record), record.changed_at());
        let evicted = self.records().min_by_key(order).map(|record| record.digest);
        if let Some(digest) = evicted {
            self.known.remove(&digest);
        }
    }

    fn send_part(&mut self, ring: &PeerRing) -> Option<(SocketAddr, Bytes)> {
        let mut records: Vec<SuspectRecord> = self.records().cloned().collect();
        records.sort_by_key(|record| record.digest);
        let (to, records) = self.sync.next(ring, records)?;
        let message = QuarantineMessage::Records { reach: UpdateReach::NONE, records };
        Some((to, message.pack()))
    }
}
