//! The table of member hosts, kept by probes and gossip.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use super::member_message::{MemberMessage, MemberPurpose, MemberUpdate};
use super::member_roster::{MemberRoster, SYNC_TRANSMISSIONS, UpdateOutcome};
use super::{
    FastSet, HostId, MemberRecord, MemberSend, MemberSettings, MemberState, Moment, PeerRing,
};

/// The number of queued sync pages sent at once, so that a full sync doesn't overflow a socket's
/// buffer.
const PAGES_PER_TICK: usize = 8;
/// The interval between two bursts of sync pages.
const PAGE_INTERVAL: Duration = Duration::from_millis(20);
/// The largest number of queued sync pages. Dropped pages are sent again after the next comparison.
const PAGE_LIMIT: usize = 256;
/// The interval until the next table comparison after a difference was found.
const FAST_SYNC_INTERVAL: Duration = Duration::from_millis(500);
/// The interval at which a host that knows no other live host contacts all its seeds. When all
/// hosts start together, no caller is served until they find each other, so each tenth of a second
/// counts. A host that stays alone sends only a few bytes.
const ALONE_INTERVAL: Duration = Duration::from_millis(100);
/// The interval at which the table is searched for suspects whose timeout has expired.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// The largest number of outstanding pings on other hosts' behalf.
const RELAY_LIMIT: usize = 64;
/// The largest number of seeds.
const SEED_LIMIT: usize = 32;

/// This host's unanswered probe of another host.
#[derive(Clone, Debug)]
struct OpenProbe {
    host: HostId,
    sequence: u32,
    sent: Moment,
    relayed: bool,
}

/// A ping sent on another host's behalf.
#[derive(Clone, Debug)]
struct RelayedProbe {
    sequence: u32,
    requester: SocketAddr,
    requester_sequence: u32,
    sent: Moment,
}

/// One host's view of the membership: gossip with suspicion and incarnations, after SWIM (Das,
/// Gupta and Motivala, 2002).
///
/// In each interval one other host is probed. If it does not answer, other hosts are asked to probe
/// it, so that no host is declared dead because of a single broken path. A host that answers no
/// probe becomes a suspect and is notified. It is declared dead only if it doesn't refute the
/// suspicion in time.
#[derive(Clone, Debug)]
pub struct MemberTable {
    own: MemberRecord,
    settings: MemberSettings,
    rng: SmallRng,
    roster: MemberRoster,
    seeds: Vec<SocketAddr>,
    probe_order: Vec<HostId>,
    probe: Option<OpenProbe>,
    relays: VecDeque<RelayedProbe>,
    pages: VecDeque<MemberSend>,
    sequence: u32,
    last_tick: Option<Moment>,
    next_probe: Moment,
    next_sync: Moment,
    next_sweep: Moment,
    left: bool,
    ring: PeerRing,
    /// The hosts that were added or removed, or that changed their description, since the last call
    /// of [`Self::take_changed_hosts`].
    changed_hosts: FastSet<HostId>,
}

impl MemberTable {
    /// Makes a table that contains only this host (`own`).
    #[must_use]
    pub fn new(own: MemberRecord, settings: MemberSettings, seed: u64) -> Self {
        let ring = PeerRing::with_zones((Some(own.zone.clone()), &own.host), Vec::new());
        Self {
            roster: MemberRoster::new(settings.host_limit.saturating_sub(1)),
            own,
            settings,
            rng: SmallRng::seed_from_u64(seed),
            seeds: Vec::new(),
            probe_order: Vec::new(),
            probe: None,
            relays: VecDeque::new(),
            pages: VecDeque::new(),
            sequence: 0,
            last_tick: None,
            next_probe: Moment::ZERO,
            next_sync: Moment::ZERO,
            next_sweep: Moment::ZERO,
            left: false,
            ring,
            changed_hosts: FastSet::default(),
        }
    }

    /// Adds the address of a seed host. Seeds are contacted for as long as the process runs.
    pub fn add_seed(&mut self, address: SocketAddr) {
        let known = address == self.own.peer_address || self.seeds.contains(&address);
        if !known && self.seeds.len() < SEED_LIMIT {
            self.seeds.push(address);
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Queries

    /// Returns this host's description of itself.
    #[must_use]
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Returns the live hosts, including this one unless it has left.
    pub fn live(&self) -> impl Iterator<Item = &MemberRecord> {
        let own = (!self.left).then_some(&self.own);
        own.into_iter().chain(self.roster.live().map(|entry| &entry.update.record))
    }

    /// Returns the number of live entries, including this host if it is one and has not left.
    #[must_use]
    pub fn live_entries(&self) -> usize {
        self.roster.live_entries() + usize::from(self.own.roles.entry && !self.left)
    }

    /// Returns the number of entries that are remembered as dead. They did not leave, and may be at
    /// work beyond a partition.
    #[must_use]
    pub fn lost_entries(&self) -> usize {
        let entries = self.roster.entries().map(|entry| &entry.update);
        let is_lost =
            |update: &&MemberUpdate| update.state == MemberState::Dead && update.record.roles.entry;
        entries.filter(is_lost).count()
    }

    /// Returns the number of entries that share what holds for all hosts together: those that are
    /// live, and those that may be at work beyond a partition.
    #[must_use]
    pub fn sharing_entries(&self) -> usize {
        self.live_entries() + self.lost_entries()
    }

    /// Returns these entries by name, in order.
    #[must_use]
    pub fn sharing_hosts(&self) -> Vec<HostId> {
        let lost = self.roster.entries().map(|entry| &entry.update);
        let lost = lost.filter(|update| update.state == MemberState::Dead);
        let records = self.live().chain(lost.map(|update| &update.record));
        let entries = records.filter(|record| record.roles.entry);
        let mut hosts: Vec<HostId> = entries.map(|record| record.host.clone()).collect();
        hosts.sort_unstable();
        hosts
    }

    /// Returns a host's description, if the host is live.
    #[must_use]
    pub fn find(&self, host: &HostId) -> Option<&MemberRecord> {
        if *host == self.own.host {
            return Some(&self.own);
        }
        let entry = self.roster.find(host)?;
        entry.update.state.is_live().then_some(&entry.update.record)
    }

    /// Returns the assumed state of a host, if the host is known.
    #[must_use]
    pub fn state(&self, host: &HostId) -> Option<MemberState> {
        if *host == self.own.host {
            return Some(if self.left { MemberState::Left } else { MemberState::Alive });
        }
        self.roster.find(host).map(|entry| entry.update.state)
    }

    /// Returns the number of remembered hosts, including dead ones and this one.
    #[must_use]
    pub fn remembered(&self) -> usize {
        self.roster.len() + 1
    }

    /// Returns a counter that grows with every change of the live hosts or their descriptions.
    #[must_use]
    pub fn changes(&self) -> u64 {
        self.roster.changes()
    }

    /// Returns the ring of live hosts.
    pub fn ring(&mut self) -> &PeerRing {
        let changed = self.roster.take_changed_hosts();
        if !changed.is_empty() {
            let place = |host: &HostId| {
                let entry = self.roster.find(host).filter(|entry| entry.update.state.is_live());
                let record = entry.map(|entry| &entry.update.record);
                (host.clone(), record.map(|record| (record.zone.clone(), record.peer_address)))
            };
            self.ring.apply(&self.own.host, changed.iter().map(place));
            self.changed_hosts.extend(changed);
        }
        &self.ring
    }

    /// Takes the hosts that were added or removed, or that changed their description, since the
    /// last call.
    pub fn take_changed_hosts(&mut self) -> FastSet<HostId> {
        self.ring();
        std::mem::take(&mut self.changed_hosts)
    }

    /// Returns when [`Self::tick`] next has something to do.
    #[must_use]
    pub fn next_wakeup(&self) -> Moment {
        let mut next = self.next_probe.min(self.next_sync);
        if let Some(probe) = self.probe.as_ref().filter(|probe| !probe.relayed) {
            next = next.min(probe.sent + self.settings.ack_timeout);
        }
        if !self.pages.is_empty() {
            next = next.min(self.last_tick.unwrap_or_default() + PAGE_INTERVAL);
        }
        next
    }

    // ---------------------------------------------------------------------------------------------
    // Time

    /// Performs all actions due by `now` and returns the messages to send.
    pub fn tick(&mut self, now: Moment) -> Vec<MemberSend> {
        if self.left {
            return Vec::new();
        }
        self.reset_after_pause(now);
        self.last_tick = Some(now);
        let mut sends: Vec<MemberSend> = Vec::new();
        let burst = self.pages.len().min(PAGES_PER_TICK);
        sends.extend(self.pages.drain(..burst));
        if now >= self.next_sweep {
            self.declare_dead(now);
            self.next_sweep = now + SWEEP_INTERVAL;
        }
        self.relay_probe(now, &mut sends);
        if now >= self.next_probe {
            self.end_probe(now);
            self.begin_probe(now, &mut sends);
            self.next_probe = now + self.settings.probe_interval;
        }
        if now >= self.next_sync {
            self.begin_sync(&mut sends);
            let alone = self.roster.live().next().is_none();
            let pause = if alone { ALONE_INTERVAL } else { self.settings.sync_interval };
            // The jitter keeps hosts that start together from comparing in lockstep.
            self.next_sync = now + pause.mul_f64(self.rng.random_range(0.75..1.25));
        }
        sends
    }

    /// Announces this host's departure to some hosts, which gossip it to the others. Afterwards the
    /// table sends nothing.
    pub fn leave(&mut self, _now: Moment) -> Vec<MemberSend> {
        const LEAVE_MESSAGES: usize = 8;
        self.left = true;
        let leave_update = MemberUpdate { record: self.own.clone(), state: MemberState::Left };
        let mut live: Vec<SocketAddr> =
            self.roster.live().map(|entry| entry.update.record.peer_address).collect();
        live.sort();
        live.shuffle(&mut self.rng);
        let (body, _) =
            MemberMessage::pack(&MemberPurpose::Updates, std::iter::once(&leave_update));
        live.into_iter()
            .take(LEAVE_MESSAGES)
            .map(|to| MemberSend { to, body: body.clone() })
            .collect()
    }

    /// Drops the outstanding probe and restarts suspicion timeouts after a pause of the process.
    ///
    /// After such a pause answers may still be unread in the socket. Without this, a host that was
    /// stopped for seconds would suspect the host it had just probed, and would declare suspects
    /// dead before reading their refutations.
    fn reset_after_pause(&mut self, now: Moment) {
        let Some(last) = self.last_tick else {
            return;
        };
        if now.since(last) > self.settings.probe_interval * 2 {
            self.probe = None;
            self.roster.restart_suspicions(now);
        }
    }

    fn declare_dead(&mut self, now: Moment) {
        let timeout = self.settings.suspect_timeout(self.roster.len() + 1);
        if now.since(Moment::ZERO) >= timeout {
            for mut update in self.roster.overdue_suspects(now - timeout) {
                update.state = MemberState::Dead;
                self.roster.merge(now, update, self.roster.default_transmissions());
            }
        }
        if now.since(Moment::ZERO) >= self.settings.dead_retention {
            self.roster.forget_dead(now - self.settings.dead_retention);
        }
        let relay_timeout = self.settings.probe_interval;
        self.relays.retain(|relay| now.since(relay.sent) < relay_timeout);
    }

    // ---------------------------------------------------------------------------------------------
    // Probing

    fn begin_probe(&mut self, now: Moment, sends: &mut Vec<MemberSend>) {
        let Some(record) = self.next_target() else {
            return;
        };
        self.sequence = self.sequence.wrapping_add(1);
        let sequence = self.sequence;
        self.probe =
            Some(OpenProbe { host: record.host.clone(), sequence, sent: now, relayed: false });
        let purpose = MemberPurpose::Ping { sequence, target: Some(record.host.clone()) };
        sends.push(self.message(record.peer_address, &purpose, Some(&record.host)));
    }

    /// Returns the next live host of a shuffled round, so that each is probed once a round.
    fn next_target(&mut self) -> Option<MemberRecord> {
        for _ in 0..2 {
            while let Some(host) = self.probe_order.pop() {
                let Some(entry) = self.roster.find(&host) else {
                    continue;
                };
                if entry.update.state.is_live() {
                    return Some(entry.update.record.clone());
                }
            }
            self.probe_order = self.roster.live().map(|e| e.update.record.host.clone()).collect();
            self.probe_order.sort();
            self.probe_order.shuffle(&mut self.rng);
        }
        None
    }

    /// Asks other hosts to probe the target if the target's answer to this host is overdue. Does so
    /// a single time for each probe.
    fn relay_probe(&mut self, now: Moment, sends: &mut Vec<MemberSend>) {
        let Some(probe) = self.probe.as_mut() else {
            return;
        };
        if probe.relayed || now.since(probe.sent) < self.settings.ack_timeout {
            return;
        }
        probe.relayed = true;
        let (host, sequence) = (probe.host.clone(), probe.sequence);
        let Some(entry) = self.roster.find(&host) else {
            return;
        };
        let address = entry.update.record.peer_address;
        let mut helpers: Vec<SocketAddr> = self
            .roster
            .live()
            .filter(|entry| entry.update.record.host != host)
            .map(|entry| entry.update.record.peer_address)
            .collect();
        helpers.sort();
        helpers.shuffle(&mut self.rng);
        let purpose = MemberPurpose::PingRequest { sequence, target: host, address };
        for helper in helpers.into_iter().take(self.settings.relays) {
            sends.push(self.message(helper, &purpose, None));
        }
    }

    /// Marks the probed host as suspect if it answered neither directly nor through other hosts.
    fn end_probe(&mut self, now: Moment) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        if let Some(entry) = self.roster.find(&probe.host) {
            let mut update = entry.update.clone();
            update.state = MemberState::Suspect;
            self.roster.merge(now, update, self.roster.default_transmissions());
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Comparing tables

    /// Starts a table comparison with a live host and with a dead host or a seed, so that parts of
    /// a cluster that were separated for minutes find each other again.
    fn begin_sync(&mut self, sends: &mut Vec<MemberSend>) {
        let mut live = Vec::new();
        let mut absent = self.seeds.clone();
        for entry in self.roster.entries() {
            let address = entry.update.record.peer_address;
            match entry.update.state {
                MemberState::Alive | MemberState::Suspect => live.push(address),
                MemberState::Dead => absent.push(address),
                MemberState::Left => {}
            }
        }
        absent.retain(|address| !live.contains(address));
        // Without a live host, all seeds are contacted at once. Otherwise a seed that starts later
        // than this host might be found only after as many attempts as there are seeds, and
        // replicas need each other to elect a leader.
        let asked = if live.is_empty() { absent } else { self.choose_one_each([live, absent]) };
        for to in asked {
            let digests = self.roster.digests(&self.own);
            let purpose = MemberPurpose::SyncRequest { digests, reply: false };
            sends.push(self.message(to, &purpose, None));
        }
    }

    /// Chooses one random address from each list that is not empty.
    fn choose_one_each(&mut self, lists: [Vec<SocketAddr>; 2]) -> Vec<SocketAddr> {
        let mut chosen = Vec::new();
        for mut list in lists {
            list.sort();
            if !list.is_empty() {
                chosen.push(list[self.rng.random_range(0..list.len())]);
            }
        }
        chosen
    }

    fn answer_sync(
        &mut self,
        now: Moment,
        to: SocketAddr,
        theirs: &[u32],
        reply: bool,
    ) -> Vec<MemberSend> {
        let ours = self.roster.digests(&self.own);
        let mut differing = self.roster.differing(&ours, theirs);
        if ours == theirs {
            return Vec::new();
        }
        // Other hosts may differ too, so the next comparison follows soon.
        self.next_sync = self.next_sync.min(now + FAST_SYNC_INTERVAL);
        // This host's description is included, because it may belong to a part that differs.
        differing.insert(0, self.own_update());
        let mut rest = differing.as_slice();
        while !rest.is_empty() && self.pages.len() < PAGE_LIMIT {
            let (body, count) = MemberMessage::pack(&MemberPurpose::SyncPage, rest.iter());
            self.pages.push_back(MemberSend { to, body });
            rest = &rest[count.max(1)..];
        }
        if reply {
            return Vec::new();
        }
        let purpose = MemberPurpose::SyncRequest { digests: ours, reply: true };
        vec![self.message(to, &purpose, None)]
    }

    fn own_update(&self) -> MemberUpdate {
        MemberUpdate { record: self.own.clone(), state: MemberState::Alive }
    }

    // ---------------------------------------------------------------------------------------------
    // Messages

    /// Handles a message that was authenticated as coming from this installation.
    pub fn receive(&mut self, now: Moment, from: SocketAddr, body: &[u8]) -> Vec<MemberSend> {
        let Some(message) = MemberMessage::unpack(body) else {
            return Vec::new();
        };
        if self.left {
            return Vec::new();
        }
        let transmissions = match message.purpose {
            MemberPurpose::SyncPage => SYNC_TRANSMISSIONS,
            _ => self.roster.default_transmissions(),
        };
        for update in message.updates {
            self.merge(now, update, transmissions);
        }
        match message.purpose {
            MemberPurpose::Ping { sequence, target } => {
                if target.is_some_and(|target| target != self.own.host) {
                    return Vec::new();
                }
                vec![self.message(from, &MemberPurpose::Ack { sequence }, None)]
            }
            MemberPurpose::Ack { sequence } => self.handle_ack(sequence),
            MemberPurpose::PingRequest { sequence, target, address } => {
                self.ping_on_behalf(now, (from, sequence), target, address)
            }
            MemberPurpose::SyncRequest { digests, reply } => {
                self.answer_sync(now, from, &digests, reply)
            }
            MemberPurpose::SyncPage | MemberPurpose::Updates => Vec::new(),
        }
    }

    fn handle_ack(&mut self, sequence: u32) -> Vec<MemberSend> {
        if self.probe.as_ref().is_some_and(|probe| probe.sequence == sequence) {
            self.probe = None;
            return Vec::new();
        }
        let Some(place) = self.relays.iter().position(|relay| relay.sequence == sequence) else {
            return Vec::new();
        };
        let Some(relay) = self.relays.remove(place) else {
            return Vec::new();
        };
        let purpose = MemberPurpose::Ack { sequence: relay.requester_sequence };
        vec![self.message(relay.requester, &purpose, None)]
    }

    fn ping_on_behalf(
        &mut self,
        now: Moment,
        (requester, requester_sequence): (SocketAddr, u32),
        target: HostId,
        address: SocketAddr,
    ) -> Vec<MemberSend> {
        if self.relays.len() >= RELAY_LIMIT {
            return Vec::new();
        }
        self.sequence = self.sequence.wrapping_add(1);
        let sequence = self.sequence;
        self.relays.push_back(RelayedProbe { sequence, requester, requester_sequence, sent: now });
        let about = target.clone();
        let purpose = MemberPurpose::Ping { sequence, target: Some(target) };
        vec![self.message(address, &purpose, Some(&about))]
    }

    fn merge(&mut self, now: Moment, update: MemberUpdate, transmissions: u32) {
        if update.record.host == self.own.host {
            self.refute(&update);
        } else {
            let _: UpdateOutcome = self.roster.merge(now, update, transmissions);
        }
    }

    /// Raises this host's incarnation so that it outranks a wrong update about the host. Such an
    /// update reports a suspicion or death, or describes an earlier start. An earlier start can
    /// have a higher incarnation if the clock was set back since.
    fn refute(&mut self, update: &MemberUpdate) {
        let same = update.state == MemberState::Alive && update.record == self.own;
        if !same && update.record.incarnation >= self.own.incarnation {
            self.own.incarnation = update.record.incarnation.next();
        }
    }

    /// Packs a message: this host's description first, then the target's update, then queued
    /// updates.
    fn message(
        &mut self,
        to: SocketAddr,
        purpose: &MemberPurpose,
        about: Option<&HostId>,
    ) -> MemberSend {
        let mut updates = vec![self.own_update()];
        // A suspect must learn of the suspicion to refute it, and a message to the suspect itself
        // is the surest way.
        let suspect = about.and_then(|host| self.roster.find(host)).map(|e| e.update.clone());
        updates.extend(suspect.filter(|update| update.state != MemberState::Alive));
        let fixed = updates.len();
        updates.extend(self.roster.next_updates());
        let (body, count) = MemberMessage::pack(purpose, updates.iter());
        self.roster.count_transmissions(count.saturating_sub(fixed));
        MemberSend { to, body }
    }
}
