//! The limits that one host knows, and how it passes them on.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use super::limit_message::LimitMessage;
use super::{
    FastMap, LimitRecord, Moment, ObservedLimit, PeerRing, SharedTime, UpdateReach, UpstreamId,
    split_by_size,
};

/// The interval at which a part of the table is sent to another host, for those that missed a
/// change or have just started.
const SYNC_INTERVAL: Duration = Duration::from_secs(1);

/// The minimum interval between sends of changes. Answers that name another limit each time would
/// otherwise cost every host a message each.
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
#[derive(Clone, Debug, Default)]
pub(crate) struct LimitTable {
    known: FastMap<UpstreamId, KnownLimit>,
    /// Changes to be passed on at the next tick.
    updates: Vec<(UpdateReach, LimitRecord)>,
    next_update: Moment,
    next_sync: Moment,
    round: u32,
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
        let replaced = self.updates.extract_if(.., |(_, old)| old.upstream == record.upstream);
        let reach = replaced.map(|(reach, _)| reach).fold(reach, UpdateReach::max);
        if reach > UpdateReach::NONE {
            self.updates.push((reach, record.clone()));
        }
        self.known.insert(record.upstream.clone(), KnownLimit { record, since: now });
        true
    }

    /// Returns the messages that are due.
    pub(crate) fn tick(&mut self, now: Moment, ring: &PeerRing) -> Vec<(SocketAddr, Bytes)> {
        let mut sends = Vec::new();
        if !self.updates.is_empty() && now >= self.next_update {
            self.next_update = now + UPDATE_INTERVAL;
            sends = self.send_updates(ring);
        }
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
        let update_at = (!self.updates.is_empty()).then_some(self.next_update);
        let sync_at = (!self.known.is_empty()).then_some(self.next_sync);
        update_at.into_iter().chain(sync_at).min()
    }

    /// Passes changes on along the ring, each as far as its reach allows.
    fn send_updates(&mut self, ring: &PeerRing) -> Vec<(SocketAddr, Bytes)> {
        let updates = std::mem::take(&mut self.updates);
        let mut sends = Vec::new();
        for step in 0..ring.rounds() {
            let reach = UpdateReach(u8::try_from(step).unwrap_or(u8::MAX));
            let selected = updates.iter().filter(|(to, _)| *to > reach);
            let selected: Vec<LimitRecord> = selected.map(|(_, record)| record.clone()).collect();
            let Some(to) = ring.target(step) else { break };
            for records in split_by_size(selected) {
                sends.push((to.address, LimitMessage::Records { reach, records }.pack()));
            }
        }
        sends
    }

    /// Sends one message of known limits, a different part each time.
    fn send_part(&mut self, ring: &PeerRing) -> Option<(SocketAddr, Bytes)> {
        let mut records: Vec<LimitRecord> = self.records().cloned().collect();
        records.sort_by(|a, b| a.upstream.cmp(&b.upstream));
        let mut parts = split_by_size(records);
        let to = ring.target(self.round)?;
        // The targets repeat after a cycle, so that each target gets the next part in its turn.
        let part = (self.round / ring.rounds().max(1)) as usize % parts.len().max(1);
        self.round = self.round.wrapping_add(1);
        let records = (part < parts.len()).then(|| parts.swap_remove(part))?;
        Some((to.address, LimitMessage::Records { reach: UpdateReach::NONE, records }.pack()))
    }
}
