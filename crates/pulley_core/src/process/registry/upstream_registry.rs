//! The upstreams that announce themselves, as leases shared by all hosts.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use thiserror::Error;

use super::lease_bucket::BUCKETS;
use super::lease_record::{LeaseRecord, phase_rank};
use super::lease_table::LeaseTable;
use super::registry_message::{AgedRecord, PendingUpdate, UpdateReach};
use super::shared_clock::SharedClock;
use super::{
    Announcement, FastMap, Incarnation, Moment, PeerRing, PoolName, RegistrySend, UpstreamId,
    UpstreamList, UpstreamPhase, UpstreamStart, ZoneName,
};

/// The part of a lease in which news reaches all hosts on its way round the ring. With the time
/// between two announcements and an epoch it must stay under the shortest lease, or upstreams that
/// live would lose work now and then: with a lease of 3 s, 0.7 s and a second between two
/// announcements, 0.8 s are left for late messages.
const CYCLE_FRACTION: f64 = 0.7 / 3.0;
/// The shortest pause between two rounds; with 1,000 hosts there are ten in a cycle.
const MIN_ROUND_PAUSE: Duration = Duration::from_millis(70);
/// How long news waits for more, so that one message carries a burst.
pub(crate) const UPDATE_DELAY: Duration = Duration::from_millis(5);
/// The pause between two tellings of news, but for departures.
///
/// Every host hears each change from several others and passes it on to as many, so that a datagram
/// for each change costs all hosts together more than anything else they do: after a loss of power,
/// when all upstreams are news, small hosts were too busy with them to serve. News of a calm time
/// goes at once; what follows within the pause goes together, a few hops later by as much each.
const UPDATE_INTERVAL: Duration = Duration::from_millis(50);
/// The pause between bursts of waiting messages.
const RECORD_QUEUE_PAUSE: Duration = Duration::from_millis(20);
/// How many waiting messages leave at once.
const RECORD_MESSAGES_PER_TICK: usize = 8;
/// How many messages of introductions leave at once: enough that a zone's entries are told within a
/// second, few enough that they don't fill a replica's link.
const INTRODUCTIONS_PER_TICK: usize = 32;
/// How many slots one upstream may announce; more is a mistake in its settings.
const SLOT_LIMIT: u32 = 10_000;
/// How many connections one upstream may announce.
const CONNECTION_LIMIT: u32 = 1_000_000;

/// What the registry's methods return.
pub type RegistryResult<T> = Result<T, RegistryFault>;

/// Why an announcement or a drain was refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RegistryFault {
    /// The address can't be reached by others.
    #[error("{0} is no address to send requests to")]
    BadAddress(SocketAddr),
    /// The number of slots is zero or absurd.
    #[error("an upstream has 1 to {SLOT_LIMIT} slots, not {0}")]
    BadSlots(u32),
    /// The number of connections is zero or absurd.
    #[error("an upstream accepts 1 to {CONNECTION_LIMIT} connections, not {0}")]
    BadConnections(u32),
    /// Another process uses the id.
    #[error("{id} is in use by {holder}, whose lease holds")]
    IdInUse {
        /// The id in question.
        id: UpstreamId,
        /// Who holds it.
        holder: SocketAddr,
    },
    /// A later start of the upstream is known.
    #[error("{id} has since started as incarnation {}", current.0)]
    StaleIncarnation {
        /// The id in question.
        id: UpstreamId,
        /// The incarnation known.
        current: Incarnation,
    },
    /// There is no room for another upstream.
    #[error("the registry is full")]
    Full,
    /// Nobody has announced this id.
    #[error("no upstream {0} is known")]
    UnknownUpstream(UpstreamId),
}

/// What became of an accepted announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnounceOutcome {
    /// The upstream or this start of it was not known.
    Registered,
    /// It is known and lives on.
    Renewed,
    /// It announced a change.
    Changed,
    /// A later announcement was heard before; this one changes nothing.
    Stale,
    /// It drains and stays so until it starts anew, whatever this announcement says.
    Draining,
}

/// The registry of one host.
///
/// Upstreams announce themselves each second to any host. Instead of passing on each heartbeat,
/// hosts share one table of lease ages, three bits an upstream, which each merges by taking the
/// latest renewal. Upstreams are numbered by their order among the known ids; a digest shows
/// whether two hosts number alike. Changes go out at once, ahead of that.
#[derive(Clone, Debug)]
pub struct UpstreamRegistry {
    pub(crate) clock: SharedClock,
    pub(crate) table: LeaseTable,
    /// Records to tell of at the next tick.
    pub(crate) updates: Vec<PendingUpdate>,
    /// Upstreams that said to this host that they leave; every host is told of them directly.
    pub(crate) departures: Vec<AgedRecord>,
    pub(crate) update_budget: f64,
    /// When news may next be told.
    next_update: Moment,
    pub(crate) record_queue: VecDeque<RegistrySend>,
    /// Messages to hosts that have just started; they don't wait behind others' pages.
    pub(crate) introductions: VecDeque<RegistrySend>,
    /// When news last changed each bucket.
    pub(crate) bucket_changed_at: Vec<Option<Moment>>,
    /// When each bucket was last compared record by record.
    pub(crate) bucket_compared_at: Vec<Option<Moment>>,
    /// When a digest that differs was last answered.
    pub(crate) digest_answered_at: Option<Moment>,
    /// Until when messages carry each bucket's digest, as a change may not have reached everybody.
    pub(crate) bucket_digests_until: Moment,
    pub(crate) last_tick: Moment,
    next_epoch: Moment,
    /// The round told in the last tick, if one was due.
    told_round: Option<u32>,
    next_round: Moment,
    pub(crate) round: u32,
}

impl Default for UpstreamRegistry {
    fn default() -> Self {
        Self::new()
    }
}

impl UpstreamRegistry {
    /// Makes a registry that knows nobody.
    #[must_use]
    pub fn new() -> Self {
        Self {
            clock: SharedClock::default(),
            table: LeaseTable::new(),
            updates: Vec::new(),
            departures: Vec::new(),
            update_budget: 0.0,
            next_update: Moment::ZERO,
            record_queue: VecDeque::new(),
            introductions: VecDeque::new(),
            bucket_changed_at: vec![None; BUCKETS],
            bucket_compared_at: vec![None; BUCKETS],
            digest_answered_at: None,
            bucket_digests_until: Moment::ZERO,
            last_tick: Moment::ZERO,
            next_epoch: Moment::ZERO,
            told_round: None,
            next_round: Moment::ZERO,
            round: 0,
        }
    }

    /// Makes a registry whose leases last so long at most, and a sixth less at least; the same on
    /// every host. Upstreams that announce themselves rarely need longer ones.
    #[must_use]
    pub fn with_lease(lease: Duration) -> Self {
        Self { clock: SharedClock::with_lease(lease), ..Self::new() }
    }

    // ---------------------------------------------------------------------------------------------
    // Queries

    /// Grows with every change of what [`Self::rebuild_pools`] returns.
    #[must_use]
    pub fn changes(&self) -> u64 {
        self.table.changes
    }

    /// How many upstreams are known, expired ones included.
    #[must_use]
    pub fn known(&self) -> usize {
        self.table.len()
    }

    /// The upstreams of each pool, worked out from scratch; those without a lease, or draining,
    /// take no work.
    #[must_use]
    pub fn rebuild_pools(&self, now: Moment) -> FastMap<PoolName, UpstreamList> {
        self.table.rebuild_pools(self.clock.epoch(now))
    }

    /// The same as of the last [`Self::tick`], at the cost of what has changed since the last call.
    pub fn pools(&mut self, now: Moment) -> &FastMap<PoolName, UpstreamList> {
        let epoch = self.clock.epoch(now);
        self.table.pools(epoch)
    }

    /// Whether new work may go to an upstream.
    #[must_use]
    pub fn takes_work(&self, now: Moment, id: &UpstreamId) -> bool {
        let epoch = self.clock.epoch(now);
        self.table.find(id).is_some_and(|entry| self.table.takes_work(entry, epoch))
    }

    /// When [`Self::tick`] next has something to do.
    #[must_use]
    pub fn next_wakeup(&self) -> Moment {
        let mut next = self.next_round.min(self.next_epoch);
        let has_introductions = !self.introductions.is_empty();
        if !self.departures.is_empty() || has_introductions {
            next = next.min(self.last_tick + UPDATE_DELAY);
        }
        if !self.updates.is_empty() {
            next = next.min((self.last_tick + UPDATE_DELAY).max(self.next_update));
        }
        if !self.record_queue.is_empty() {
            next = next.min(self.last_tick + RECORD_QUEUE_PAUSE);
        }
        next
    }

    /// What is known of an upstream's leaving, for [`Self::take_departure`] of another host; none
    /// while it takes work or is unknown.
    #[must_use]
    pub fn departure(&self, id: &UpstreamId) -> Option<(UpstreamStart, Bytes)> {
        let entry = self.table.find(id).filter(|entry| !entry.record.takes_work())?;
        let record = postcard::to_stdvec(&entry.record).ok()?;
        Some((entry.record.start(), Bytes::from(record)))
    }

    /// Takes over which zones are evacuated, in the order of their names: their upstreams are shown
    /// as taking no work, whatever they announce and whenever they come.
    pub fn evacuate(&mut self, zones: &[ZoneName]) {
        self.table.set_evacuated_zones(zones);
    }

    // ---------------------------------------------------------------------------------------------
    // Announcements and drains

    /// Takes in what an upstream announced to this host.
    ///
    /// # Errors
    /// [`RegistryFault`] if the announcement is impossible, the id is held by another address, a
    /// later start is known, or there is no room.
    pub fn announce(
        &mut self,
        now: Moment,
        announcement: Announcement,
    ) -> RegistryResult<AnnounceOutcome> {
        validate(&announcement)?;
        let epoch = self.clock.epoch(now);
        let id = announcement.id.clone();
        if let Some(holder) = self.table.conflicting_address(&id, announcement.address, epoch) {
            return Err(RegistryFault::IdInUse { id, holder });
        }
        let Some(entry) = self.table.find(&id) else {
            return self.register(now, announcement);
        };
        let known = &entry.record.announcement;
        if announcement.incarnation < known.incarnation {
            return Err(RegistryFault::StaleIncarnation { id, current: known.incarnation });
        }
        let same_start = entry.record.is_same_start(&LeaseRecord::new(announcement.clone()));
        if !same_start {
            return self.register(now, announcement);
        }
        if announcement.sequence <= entry.last_sequence {
            return Ok(AnnounceOutcome::Stale);
        }
        let is_draining = !entry.record.takes_work();
        let is_backward = phase_rank(announcement.phase) < phase_rank(known.phase);
        let is_renewal = entry.record.is_renewed_by(&announcement);
        self.table.renew(&id, epoch, announcement.sequence);
        if is_renewal {
            return Ok(if is_draining {
                AnnounceOutcome::Draining
            } else {
                AnnounceOutcome::Renewed
            });
        }
        if is_backward {
            return Ok(AnnounceOutcome::Draining);
        }
        let outcome = self.register(now, announcement).map(|_| AnnounceOutcome::Changed);
        self.queue_departure(now, &id);
        outcome
    }

    /// Notes that an upstream has left, on its own word; true if it was known.
    ///
    /// What says so may have been under way for long, while the upstream has started anew under its
    /// id: `incarnation`, if it is told, then is not the one known, and nothing changes.
    pub fn announce_gone(
        &mut self,
        now: Moment,
        id: &UpstreamId,
        incarnation: Option<Incarnation>,
    ) -> bool {
        let Some(entry) = self.table.find(id) else { return false };
        let known = &entry.record.announcement;
        if incarnation.is_some_and(|told| told != known.incarnation) {
            return true;
        }
        let gone = Announcement { phase: UpstreamPhase::Gone, ..known.clone() };
        let renewed = entry.renewed;
        let record = LeaseRecord { announcement: gone, drained: entry.record.drained };
        self.merge_record(now, record, renewed, Some(UpdateReach::ALL));
        self.queue_departure(now, id);
        true
    }

    /// Takes in that an upstream leaves, as another host was told by it.
    pub fn take_departure(&mut self, now: Moment, body: &[u8]) {
        let Ok(record) = postcard::from_bytes::<LeaseRecord>(body) else { return };
        let id = record.announcement.id.clone();
        let epoch = self.clock.epoch(now);
        self.merge_record(now, record, epoch, Some(UpdateReach::ALL));
        self.queue_departure(now, &id);
    }

    /// Has every host told directly that an upstream leaves.
    ///
    /// Whoever is told that its leaving is known counts on getting no new work a moment later. News
    /// that goes from host to host loses its way where hosts have just been cut off or stopped, and
    /// the next comparison may come too late.
    fn queue_departure(&mut self, now: Moment, id: &UpstreamId) {
        let epoch = self.clock.epoch(now);
        let Some(entry) = self.table.find(id).filter(|entry| !entry.record.takes_work()) else {
            return;
        };
        let aged = self.table.aged_record(entry, epoch);
        self.updates.retain(|update| update.aged.record.announcement.id != *id);
        self.departures.push(aged);
    }

    /// Notes that an upstream said in a reply that it drains. It counts at once, for this start.
    pub fn observe_drain(&mut self, now: Moment, id: &UpstreamId) {
        // A reply of an upstream that is not known any more needs no drain.
        let _ = self.drain(now, id);
    }

    /// Drains an upstream on an operator's word, until it starts anew.
    ///
    /// # Errors
    /// [`RegistryFault::UnknownUpstream`] if nobody announced the id.
    pub fn operator_drain(&mut self, now: Moment, id: &UpstreamId) -> RegistryResult<()> {
        self.drain(now, id)
    }

    fn drain(&mut self, now: Moment, id: &UpstreamId) -> RegistryResult<()> {
        let Some(entry) = self.table.find(id) else {
            return Err(RegistryFault::UnknownUpstream(id.clone()));
        };
        let drained = LeaseRecord { drained: true, ..entry.record.clone() };
        let renewed = entry.renewed;
        self.merge_record(now, drained, renewed, Some(UpdateReach::ALL));
        Ok(())
    }

    fn register(
        &mut self,
        now: Moment,
        announcement: Announcement,
    ) -> RegistryResult<AnnounceOutcome> {
        let epoch = self.clock.epoch(now);
        let record = LeaseRecord::new(announcement);
        let id = record.announcement.id.clone();
        if self.merge_record(now, record, epoch, Some(UpdateReach::ALL)) {
            Ok(AnnounceOutcome::Registered)
        } else if self.table.find(&id).is_none() {
            Err(RegistryFault::Full)
        } else {
            Ok(AnnounceOutcome::Stale)
        }
    }

    /// The round that the last tick told leases in, if one was due: others who tell the same host
    /// may go along.
    #[must_use]
    pub const fn told_round(&self) -> Option<u32> {
        self.told_round
    }

    // ---------------------------------------------------------------------------------------------
    // Time

    /// Does what is due by now; the ring is that of the live hosts.
    pub fn tick(&mut self, now: Moment, ring: &PeerRing) -> Vec<RegistrySend> {
        self.refill_budget(now);
        self.last_tick = now;
        if now >= self.next_epoch {
            self.table.expire(self.clock.epoch(now));
            self.next_epoch = self.clock.next_epoch(now);
        }
        let burst = self.record_queue.len().min(RECORD_MESSAGES_PER_TICK);
        let mut sends: Vec<RegistrySend> = self.record_queue.drain(..burst).collect();
        let burst = self.introductions.len().min(INTRODUCTIONS_PER_TICK);
        sends.extend(self.introductions.drain(..burst));
        self.send_departures(now, ring, &mut sends);
        if now >= self.next_update && !self.updates.is_empty() {
            self.send_updates(now, ring, &mut sends);
            self.next_update = now + UPDATE_INTERVAL;
        }
        self.told_round = None;
        if now >= self.next_round {
            self.send_leases(now, ring, &mut sends);
            self.told_round = Some(self.round);
            self.round = self.round.wrapping_add(1);
            let cycle = self.clock.lease().mul_f64(CYCLE_FRACTION);
            let pause = cycle / ring.rounds().max(1);
            self.next_round = now + pause.clamp(MIN_ROUND_PAUSE, cycle / 3);
        }
        sends
    }
}

/// Checks an announcement's numbers; names were checked when it was decoded.
fn validate(announcement: &Announcement) -> RegistryResult<()> {
    let address = announcement.address;
    if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
        return Err(RegistryFault::BadAddress(address));
    }
    let slots = announcement.slots.0;
    if !(1..=SLOT_LIMIT).contains(&slots) {
        return Err(RegistryFault::BadSlots(slots));
    }
    if !(1..=CONNECTION_LIMIT).contains(&announcement.connections) {
        return Err(RegistryFault::BadConnections(announcement.connections));
    }
    Ok(())
}
