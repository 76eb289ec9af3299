//! The upstreams that announce themselves, as leases shared by all hosts.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use thiserror::Error;

use super::lease_record::{LeaseRecord, phase_rank};
use super::lease_table::LeaseTable;
use super::registry_message::{AgedRecord, PendingUpdate, UpdateReach};
use super::shared_clock::{SharedClock, SharedTime};
use super::{
    Announcement, FastMap, Incarnation, Moment, PeerRing, PoolName, RegistrySend, UpstreamId,
    UpstreamList, UpstreamPhase, UpstreamStart, ZoneName,
};

/// The fraction of a lease within which renewals reach all hosts round the ring. This time, the
/// announcement interval and one epoch must together stay below the shortest lease. Otherwise live
/// upstreams would lose work now and then. With a lease of 3 s, renewals take 0.7 s; with one
/// second between announcements, 0.8 s remain for late messages.
const CYCLE_FRACTION: f64 = 0.7 / 3.0;
/// The shortest pause between two rounds. With 1,000 hosts a cycle has ten rounds.
const MIN_ROUND_PAUSE: Duration = Duration::from_millis(70);
/// How long an update waits for others, so that one message carries a burst.
pub(crate) const UPDATE_DELAY: Duration = Duration::from_millis(5);
/// The minimum interval between sends of updates other than departures.
///
/// Every host forwards changes to several others. A datagram for each change would cost all hosts
/// together more than anything else they do: after a power loss, when every upstream's record is an
/// update, small hosts were too busy with them to serve. In quiet times an update leaves at once.
/// Updates that follow within the interval are sent together, delayed by up to that much at each
/// hop.
const UPDATE_INTERVAL: Duration = Duration::from_millis(50);
/// The pause between bursts of waiting record messages.
const RECORD_QUEUE_PAUSE: Duration = Duration::from_millis(20);
/// How many waiting record messages are sent in one tick.
const RECORD_MESSAGES_PER_TICK: usize = 8;
/// How many state transfer messages are sent in one tick: enough to reach a zone's entries within a
/// second, few enough not to fill a replica's link.
const STATE_TRANSFERS_PER_TICK: usize = 32;
/// The least interval between two listings of upstreams, for each upstream and in all. One covers a
/// burst of changes: the loss of a zone, a release, or the return of all hosts after a loss of power.
/// A request may be placed by a list that is stale by this much.
const LISTING_INTERVAL_PER_UPSTREAM: Duration = Duration::from_micros(20);
const MIN_LISTING_INTERVAL: Duration = Duration::from_millis(20);
/// The largest number of slots that an upstream may announce. More is a mistake in its settings.
const SLOT_LIMIT: u32 = 10_000;
/// The largest number of connections that an upstream may announce.
const CONNECTION_LIMIT: u32 = 1_000_000;

/// The result of an operation that the registry may refuse.
pub type RegistryResult<T> = Result<T, RegistryFault>;

/// Why an announcement or a drain was refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RegistryFault {
    /// Other hosts can't reach the address.
    #[error("{0} is not an address that requests can be sent to")]
    BadAddress(SocketAddr),
    /// The number of slots is zero or unreasonably high.
    #[error("an upstream has 1 to {SLOT_LIMIT} slots, not {0}")]
    BadSlots(u32),
    /// The number of connections is zero or unreasonably high.
    #[error("an upstream accepts 1 to {CONNECTION_LIMIT} connections, not {0}")]
    BadConnections(u32),
    /// Another process with a valid lease uses the id.
    #[error("{id} is in use by {holder}, whose lease is still valid")]
    IdInUse {
        /// The id in question.
        id: UpstreamId,
        /// The address of the process that uses it.
        holder: SocketAddr,
    },
    /// A later incarnation of the upstream is known.
    #[error("{id} has since started as incarnation {}", current.0)]
    StaleIncarnation {
        /// The id in question.
        id: UpstreamId,
        /// The known incarnation.
        current: Incarnation,
    },
    /// The registry has no room for another upstream.
    #[error("the registry is full")]
    Full,
    /// No upstream with this id has announced itself.
    #[error("no upstream {0} is known")]
    UnknownUpstream(UpstreamId),
}

/// The effect of an accepted announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnounceOutcome {
    /// The upstream, or this incarnation of it, was not known before.
    Registered,
    /// The upstream is known, and its lease was renewed.
    Renewed,
    /// The upstream announced a change.
    Changed,
    /// A later announcement has already been received. This one changes nothing.
    Stale,
    /// The upstream drains until its next incarnation, whatever this announcement says.
    Draining,
}

/// One host's registry of upstreams.
///
/// Upstreams announce themselves each second to any host. Instead of forwarding each heartbeat,
/// hosts share one table of lease ages, with three bits an upstream, and merge it by keeping the
/// latest renewal. Upstreams are numbered by their order among the known ids; a digest shows
/// whether two hosts number them in the same way. Changes are sent immediately, without waiting for
/// the next round.
#[derive(Clone, Debug)]
pub struct UpstreamRegistry {
    pub(crate) clock: SharedClock,
    pub(crate) table: LeaseTable,
    /// Records to send at the next tick.
    pub(crate) updates: Vec<PendingUpdate>,
    /// Upstreams that announced their departure to this host. Every host is informed directly.
    pub(crate) departures: Vec<AgedRecord>,
    pub(crate) update_budget: f64,
    /// How many ranges may be compared now.
    pub(crate) compare_budget: f64,
    /// The earliest time for the next send of updates.
    next_update: Moment,
    pub(crate) record_queue: VecDeque<RegistrySend>,
    /// Messages to hosts that have just started. They don't wait behind the record messages.
    pub(crate) state_transfers: VecDeque<RegistrySend>,
    /// When a differing digest was last answered.
    pub(crate) digest_answered_at: Option<Moment>,
    /// Until when messages carry each bucket's digest because a change may not have reached every
    /// host.
    pub(crate) bucket_digests_until: Moment,
    pub(crate) last_tick: Moment,
    next_epoch: Moment,
    /// The round for which the last tick sent leases, if one was due.
    sent_round: Option<u32>,
    next_round: Moment,
    pub(crate) round: u32,
}

impl Default for UpstreamRegistry {
    fn default() -> Self {
        Self::new()
    }
}

impl UpstreamRegistry {
    /// Makes an empty registry.
    #[must_use]
    pub fn new() -> Self {
        Self {
            clock: SharedClock::default(),
            table: LeaseTable::new(),
            updates: Vec::new(),
            departures: Vec::new(),
            update_budget: 0.0,
            compare_budget: 0.0,
            next_update: Moment::ZERO,
            record_queue: VecDeque::new(),
            state_transfers: VecDeque::new(),
            digest_answered_at: None,
            bucket_digests_until: Moment::ZERO,
            last_tick: Moment::ZERO,
            next_epoch: Moment::ZERO,
            sent_round: None,
            next_round: Moment::ZERO,
            round: 0,
        }
    }

    /// Makes a registry whose leases last between five sixths of `lease` and `lease`. The value
    /// must be the same on every host. Upstreams that announce themselves rarely need longer
    /// leases.
    #[must_use]
    pub fn with_lease(lease: Duration) -> Self {
        Self { clock: SharedClock::with_lease(lease), ..Self::new() }
    }

    // ---------------------------------------------------------------------------------------------
    // Queries

    /// Returns a counter that increases whenever the result of [`Self::rebuild_pools`] may have
    /// changed.
    #[must_use]
    pub fn changes(&self) -> u64 {
        self.table.changes
    }

    /// Returns the time that hosts share.
    #[must_use]
    pub fn shared_time(&self, now: Moment) -> SharedTime {
        self.clock.read(now)
    }

    /// The number of known upstreams, including expired ones.
    #[must_use]
    pub fn upstream_count(&self) -> usize {
        self.table.len()
    }

    /// Returns the upstreams of each pool, rebuilt from scratch. Those that are draining or have no
    /// valid lease take no work.
    #[must_use]
    pub fn rebuild_pools(&self, now: Moment) -> FastMap<PoolName, UpstreamList> {
        self.table.rebuild_pools(self.clock.epoch(now))
    }

    /// Returns the least interval between two calls of [`Self::pools`] that follow changes of single
    /// upstreams. Such a call copies the lists that have changed, so that without an interval that
    /// grows with them a host's processor time would grow with the square of the upstreams.
    #[must_use]
    pub fn listing_interval(&self) -> Duration {
        let upstreams = u32::try_from(self.table.len()).unwrap_or(u32::MAX);
        LISTING_INTERVAL_PER_UPSTREAM.saturating_mul(upstreams).max(MIN_LISTING_INTERVAL)
    }

    /// Returns the same lists as [`Self::rebuild_pools`], except that an upstream whose lease has
    /// expired may still be listed as taking work until the next [`Self::tick`]. The cost depends
    /// only on the changes since the last call.
    pub fn pools(&mut self) -> &FastMap<PoolName, UpstreamList> {
        self.table.pools()
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
        let has_state_transfers = !self.state_transfers.is_empty();
        if !self.departures.is_empty() || has_state_transfers {
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

    /// Returns the departure of an upstream, to be passed to [`Self::take_departure`] of another
    /// host. Returns `None` while the upstream takes work or is unknown.
    #[must_use]
    pub fn departure(&self, id: &UpstreamId) -> Option<(UpstreamStart, Bytes)> {
        let entry = self.table.find(id).filter(|entry| !entry.record.takes_work())?;
        let record = postcard::to_stdvec(&entry.record).ok()?;
        Some((entry.record.start(), Bytes::from(record)))
    }

    /// Sets the evacuated zones, sorted by name. Their upstreams take no work, whatever they
    /// announce and whenever they start.
    pub fn set_evacuated_zones(&mut self, zones: &[ZoneName]) {
        self.table.set_evacuated_zones(zones);
    }

    // ---------------------------------------------------------------------------------------------
    // Answers

    /// Returns the upstreams whose leases end soon because no host has heard from them, once an
    /// epoch. Those that answer hosts' probes are to be passed to [`Self::renew_answering`].
    ///
    /// An upstream may have lost the path to all hosts that take its announcements, while entries
    /// still reach it. If its silence there counted alone, every host would drop it.
    #[must_use]
    pub fn unheard(&self, now: Moment) -> Vec<UpstreamStart> {
        if now < self.next_epoch {
            return Vec::new();
        }
        let epoch = self.clock.epoch(now);
        let entries = self.table.entries().filter(|entry| entry.ends_soon(epoch));
        entries.map(|entry| entry.record.start()).collect()
    }

    /// Renews the lease of an upstream that has proved in an answer to this host that it is the one
    /// with this id and that it works. An upstream that is known to drain or to be gone stays so.
    pub fn renew_answering(&mut self, now: Moment, upstream: &UpstreamStart) {
        let epoch = self.clock.epoch(now);
        let entry = self.table.find(&upstream.id);
        let entry = entry.filter(|entry| entry.record.start() == *upstream);
        if let Some(sequence) = entry.map(|entry| entry.last_sequence) {
            self.table.renew(&upstream.id, epoch, sequence);
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Announcements and drains

    /// Handles an announcement that an upstream sent to this host.
    ///
    /// # Errors
    /// [`RegistryFault`] if the announcement is invalid, another address uses the id, a later
    /// incarnation is known, or there is no room.
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

    /// Records a departure that the upstream itself announced. Returns whether the upstream is
    /// known.
    ///
    /// The message may have been delayed while the upstream restarted under the same id. If an
    /// `incarnation` is given that is not the known one, nothing changes.
    pub fn announce_departure(
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

    /// Merges a departure that another host received.
    pub fn take_departure(&mut self, now: Moment, body: &[u8]) {
        let Ok(record) = postcard::from_bytes::<LeaseRecord>(body) else { return };
        let id = record.announcement.id.clone();
        let epoch = self.clock.epoch(now);
        self.merge_record(now, record, epoch, Some(UpdateReach::ALL));
        self.queue_departure(now, &id);
    }

    /// Queues a departure to be sent to every host directly.
    ///
    /// An upstream whose departure is acknowledged expects to get no new work a moment later. An
    /// update that travels from host to host gets lost where hosts have just been cut off or
    /// stopped, and the next comparison may come too late.
    fn queue_departure(&mut self, now: Moment, id: &UpstreamId) {
        let epoch = self.clock.epoch(now);
        let Some(entry) = self.table.find(id).filter(|entry| !entry.record.takes_work()) else {
            return;
        };
        let aged = self.table.aged_record(entry, epoch);
        self.updates.retain(|update| update.aged.record.announcement.id != *id);
        self.departures.push(aged);
    }

    /// Records that an upstream said in an answer that it leaves. This takes effect at once, and every
    /// host is informed directly. Returns whether that is news of a known upstream: its incarnation
    /// may have ended since, or announced it too.
    pub fn observe_drain(&mut self, now: Moment, start: &UpstreamStart) -> bool {
        let entry = self.table.find(&start.id);
        let is_news =
            entry.is_some_and(|entry| entry.record.start() == *start && entry.record.takes_work());
        if is_news && self.drain(now, &start.id).is_ok() {
            self.queue_departure(now, &start.id);
        }
        is_news
    }

    /// Drains an upstream on an operator's request, until its next incarnation.
    ///
    /// # Errors
    /// [`RegistryFault::UnknownUpstream`] if no upstream has announced the id.
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

    /// Returns the round for which the last tick sent leases; `None` if no round was due. Other
    /// components may send messages to the same target along with the leases.
    #[must_use]
    pub const fn sent_round(&self) -> Option<u32> {
        self.sent_round
    }

    // ---------------------------------------------------------------------------------------------
    // Time

    /// Does the work due by now and returns the messages to send. `ring` is that of the live hosts.
    pub fn tick(&mut self, now: Moment, ring: &PeerRing) -> Vec<RegistrySend> {
        self.refill_budget(now);
        self.last_tick = now;
        if now >= self.next_epoch {
            self.table.expire(self.clock.epoch(now));
            self.next_epoch = self.clock.next_epoch(now);
        }
        let burst = self.record_queue.len().min(RECORD_MESSAGES_PER_TICK);
        let mut sends: Vec<RegistrySend> = self.record_queue.drain(..burst).collect();
        let burst = self.state_transfers.len().min(STATE_TRANSFERS_PER_TICK);
        sends.extend(self.state_transfers.drain(..burst));
        self.send_departures(now, ring, &mut sends);
        if now >= self.next_update && !self.updates.is_empty() {
            self.send_updates(now, ring, &mut sends);
            self.next_update = now + UPDATE_INTERVAL;
        }
        self.sent_round = None;
        if now >= self.next_round {
            self.send_leases(now, ring, &mut sends);
            self.sent_round = Some(self.round);
            self.round = self.round.wrapping_add(1);
            let cycle = self.clock.lease().mul_f64(CYCLE_FRACTION);
            let pause = cycle / ring.rounds().max(1);
            self.next_round = now + pause.clamp(MIN_ROUND_PAUSE, cycle / 3);
        }
        sends
    }
}

/// Checks an announcement's numbers. Names were checked when it was decoded.
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
