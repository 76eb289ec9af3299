//! The limits that one host knows, and how it passes them on.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use super::limit_message::LimitMessage;
use super::{
    FastMap, LimitRecord, Moment, ObservedLimit, PeerRing, RecordSpread, SharedTime, SyncTurn,
    UpdateReach, UpstreamId,
};

/// The interval at which a part of the table is sent to another host, for those that missed a
/// change or have just started.
const SYNC_INTERVAL: Duration = Duration::from_secs(1);

/// The minimum interval between sends of changes.
const UPDATE_INTERVAL: Duration = Duration::from_millis(50);

/// How long a limit that has ended is remembered, so that an older record does not bring it back.
const ENDED_RETENTION: Duration = Duration::from_secs(60);

/// How long a limit stays in force that no answer has confirmed.
const NAMED_RETENTION: Duration = Duration::from_secs(600);

/// Maximum number of known limits.
const TABLE_LIMIT: usize = 16_384;

#[derive(Clone, Debug)]
struct KnownLimit {
    record: LimitRecord,
    /// When this host learned of the record.
    since: Moment,
}

/// The limits that one host knows.
///
/// Every host has to know a limit, and not only those whose requests the upstream has answered: in
/// a large installation each host sends one upstream a request in a minute, and all of them
/// together send it many times its limit before each has had an answer.
#[derive(Clone, Debug)]
pub(crate) struct LimitTable {
    known: FastMap<UpstreamId, KnownLimit>,
    /// Changes to be passed on.
    spread: RecordSpread<LimitRecord>,
    next_sync: Moment,
    sync: SyncTurn,
}

impl Default for LimitTable {
    fn default() -> Self {
        Self {
            known: FastMap::default(),
            spread: RecordSpread::new(UPDATE_INTERVAL),
            next_sync: Moment::ZERO,
            sync: SyncTurn::default(),
        }
    }
}

impl LimitTable {
    /// Returns what is known of an upstream's limit.
    pub(crate) fn find(&self, upstream: &UpstreamId) -> Option<&LimitRecord> {
        self.known.get(upstream).map(|known| &known.record)
    }

    /// Returns all known limits, including those that ended recently.
    pub(crate) fn records(&self) -> impl Iterator<Item = &LimitRecord> {
        self.known.values().map(|known| &known.record)
    }

    /// Records what an answer to this host has shown, in place of all that this host knew before.
    /// Returns whether it is new.
    pub(crate) fn observe(
        &mut self,
        now: Moment,
        time: SharedTime,
        observed: ObservedLimit,
    ) -> bool {
        let ObservedLimit { upstream, incarnation, rate } = observed;
        let before = self.find(&upstream).filter(|record| record.incarnation == incarnation);
        let observed_at = before.map_or(time, |record| time.max(record.observed_at.next()));
        let record = LimitRecord { upstream, incarnation, rate, observed_at };
        self.merge(now, record, UpdateReach::ALL)
    }

    /// Takes in a record and passes it on within `reach`. Returns whether it was new.
    pub(crate) fn merge(&mut self, now: Moment, record: LimitRecord, reach: UpdateReach) -> bool {
        let is_known = self.find(&record.upstream).is_some_and(|known| !record.outranks(known));
        let is_full = self.known.len() >= TABLE_LIMIT && !self.known.contains_key(&record.upstream);
        if is_known || is_full {
            return false;
        }
        self.spread.push(reach, record.clone(), |old| old.upstream == record.upstream);
        self.known.insert(record.upstream.clone(), KnownLimit { record, since: now });
        true
    }

    /// Returns the messages that are due.
    pub(crate) fn tick(&mut self, now: Moment, ring: &PeerRing) -> Vec<(SocketAddr, Bytes)> {
        let pack = |reach, records| LimitMessage::Records { reach, records }.pack();
        let mut sends = self.spread.take_due(now, ring, pack);
        if now >= self.next_sync {
            self.next_sync = now + SYNC_INTERVAL;
            sends.extend(self.send_part(ring));
        }
        sends
    }

    /// Drops limits that ended long ago, and ends those that no answer has confirmed for long.
    /// Returns the ones that it has ended. Every host does so by itself.
    pub(crate) fn expire(&mut self, now: Moment) -> Vec<LimitRecord> {
        let is_kept = |known: &KnownLimit| {
            known.record.rate.is_some() || now.since(known.since) < ENDED_RETENTION
        };
        self.known.retain(|_, known| is_kept(known));
        let mut ended = Vec::new();
        for known in self.known.values_mut() {
            let is_old = now.since(known.since) >= NAMED_RETENTION;
            if is_old && known.record.rate.take().is_some() {
                known.record.observed_at = known.record.observed_at.next();
                known.since = now;
                ended.push(known.record.clone());
            }
        }
        ended
    }

    /// Returns when [`Self::tick`] next has something to do; `None` if no limit is known.
    pub(crate) fn next_wakeup(&self) -> Option<Moment> {
        let sync_at = (!self.known.is_empty()).then_some(self.next_sync);
        self.spread.next_wakeup().into_iter().chain(sync_at).min()
    }

    /// Sends one message of known limits, a different part each time.
    fn send_part(&mut self, ring: &PeerRing) -> Option<(SocketAddr, Bytes)> {
        let mut records: Vec<LimitRecord> = self.records().cloned().collect();
        records.sort_by(|a, b| a.upstream.cmp(&b.upstream));
        let (to, records) = self.sync.next(ring, records)?;
        Some((to, LimitMessage::Records { reach: UpdateReach::NONE, records }.pack()))
    }
}
