//! Which hosts are alive, learnt by gossip.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use super::member_message::{MemberMessage, MemberPurpose, MemberUpdate};
use super::member_roster::{MemberRoster, PAGE_TELLINGS, UpdateOutcome};
use super::{
    FastSet, HostId, MemberRecord, MemberSend, MemberSettings, MemberState, Moment, PeerRing,
};

/// How many waiting pages leave at once, so that a full sync doesn't flood a socket's buffer.
const PAGES_PER_TICK: usize = 8;
/// The pause between two such bursts.
const PAGE_PAUSE: Duration = Duration::from_millis(20);
/// How many pages may wait; more belong to a sync that the next comparison repeats.
const PAGE_LIMIT: usize = 256;
/// How often a host compares tables when it has just found a difference.
const JOIN_INTERVAL: Duration = Duration::from_millis(500);
/// How often a host that is alone calls on all its seeds. Where all start together, each tenth of a
/// second more is one in which nobody is served; a host that stays alone sends a few bytes.
const ALONE_INTERVAL: Duration = Duration::from_millis(100);
/// How often the table is searched for suspects whose time has run out.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// How many pings on others' behalf may be open at once.
const RELAY_LIMIT: usize = 64;
/// How many seeds are kept.
const SEED_LIMIT: usize = 32;

/// The ping that is out.
#[derive(Clone, Debug)]
struct OpenProbe {
    host: HostId,
    sequence: u32,
    sent: Moment,
    relayed: bool,
}

/// A ping sent on another's behalf.
#[derive(Clone, Debug)]
struct RelayedProbe {
    sequence: u32,
    asker: SocketAddr,
    asker_sequence: u32,
    sent: Moment,
}

/// The membership of one host: gossip with suspicion and incarnations, after SWIM (Das, Gupta and
/// Motivala, 2002).
///
/// Each interval one other host is asked whether it lives; without an answer, others are asked to
/// try, so that a single silent path declares nobody dead. Who answers nobody is a suspect, is told
/// so, and is declared dead only if it doesn't refute it in time.
#[derive(Clone, Debug)]
pub struct MemberTable {
    own: MemberRecord,
    settings: MemberSettings,
    rng: SmallRng,
    roster: MemberRoster,
    seeds: Vec<SocketAddr>,
    order: Vec<HostId>,
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
    /// The hosts that have come, gone or changed their description since they were last taken.
    moved: FastSet<HostId>,
}

impl MemberTable {
    /// Makes the table of a host that knows only itself.
    #[must_use]
    pub fn new(own: MemberRecord, settings: MemberSettings, seed: u64) -> Self {
        Self {
            roster: MemberRoster::new(settings.host_limit.saturating_sub(1)),
            own,
            settings,
            rng: SmallRng::seed_from_u64(seed),
            seeds: Vec::new(),
            order: Vec::new(),
            probe: None,
            relays: VecDeque::new(),
            pages: VecDeque::new(),
            sequence: 0,
            last_tick: None,
            next_probe: Moment::ZERO,
            next_sync: Moment::ZERO,
            next_sweep: Moment::ZERO,
            left: false,
            ring: PeerRing::default(),
            moved: FastSet::default(),
        }
    }

    /// Adds the address of a host to begin with; seeds are called on for ever.
    pub fn seed(&mut self, address: SocketAddr) {
        let known = address == self.own.peer_address || self.seeds.contains(&address);
        if !known && self.seeds.len() < SEED_LIMIT {
            self.seeds.push(address);
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Queries

    /// The own description.
    #[must_use]
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// The live hosts, the own one included unless it has left.
    pub fn live(&self) -> impl Iterator<Item = &MemberRecord> {
        let own = (!self.left).then_some(&self.own);
        own.into_iter().chain(self.roster.live().map(|entry| &entry.update.record))
    }

    /// How many entries are alive, the own host included if it is one and has not left.
    #[must_use]
    pub fn live_entries(&self) -> usize {
        self.roster.live_entries() + usize::from(self.own.roles.entry && !self.left)
    }

    /// What is known of a host, if it is alive.
    #[must_use]
    pub fn find(&self, host: &HostId) -> Option<&MemberRecord> {
        if *host == self.own.host {
            return Some(&self.own);
        }
        let entry = self.roster.find(host)?;
        entry.update.state.is_live().then_some(&entry.update.record)
    }

    /// The state a host is thought to be in, if it is known at all.
    #[must_use]
    pub fn state(&self, host: &HostId) -> Option<MemberState> {
        if *host == self.own.host {
            return Some(if self.left { MemberState::Left } else { MemberState::Alive });
        }
        self.roster.find(host).map(|entry| entry.update.state)
    }

    /// How many hosts are remembered, dead ones and the own one included.
    #[must_use]
    pub fn remembered(&self) -> usize {
        self.roster.len() + 1
    }

    /// Grows with every change of the live hosts or their descriptions.
    #[must_use]
    pub fn changes(&self) -> u64 {
        self.roster.changes()
    }

    /// The ring of the live hosts.
    pub fn ring(&mut self) -> &PeerRing {
        let touched = self.roster.take_touched();
        if !touched.is_empty() {
            let place = |host: &HostId| {
                let entry = self.roster.find(host).filter(|entry| entry.update.state.is_live());
                (host.clone(), entry.map(|entry| entry.update.record.peer_address))
            };
            self.ring.apply(&self.own.host, touched.iter().map(place));
            self.moved.extend(touched);
        }
        &self.ring
    }

    /// The hosts that have come, gone or changed their description since the last call.
    pub fn take_moved(&mut self) -> FastSet<HostId> {
        self.ring();
        std::mem::take(&mut self.moved)
    }

    /// When [`Self::tick`] next has something to do.
    #[must_use]
    pub fn next_wakeup(&self) -> Moment {
        let mut next = self.next_probe.min(self.next_sync);
        if let Some(probe) = self.probe.as_ref().filter(|probe| !probe.relayed) {
            next = next.min(probe.sent + self.settings.ack_timeout);
        }
        if !self.pages.is_empty() {
            next = next.min(self.last_tick.unwrap_or_default() + PAGE_PAUSE);
        }
        next
    }

    // ---------------------------------------------------------------------------------------------
    // Time

    /// Does what is due by now.
    pub fn tick(&mut self, now: Moment) -> Vec<MemberSend> {
        if self.left {
            return Vec::new();
        }
        self.forgive_pause(now);
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
            // Hosts that start together must not compare in step for ever.
            self.next_sync = now + pause.mul_f64(self.rng.random_range(0.75..1.25));
        }
        sends
    }

    /// Says goodbye to some hosts, who tell the others; afterwards the table is silent.
    pub fn leave(&mut self, _now: Moment) -> Vec<MemberSend> {
        const FAREWELLS: usize = 8;
        self.left = true;
        let farewell = MemberUpdate { record: self.own.clone(), state: MemberState::Left };
        let mut live: Vec<SocketAddr> =
            self.roster.live().map(|entry| entry.update.record.peer_address).collect();
        live.sort();
        live.shuffle(&mut self.rng);
        let (body, _) = MemberMessage::pack(&MemberPurpose::News, std::iter::once(&farewell));
        live.into_iter().take(FAREWELLS).map(|to| MemberSend { to, body: body.clone() }).collect()
    }

    /// After a pause of the whole process, answers may lie unread in the socket: nobody is blamed.
    ///
    /// Without this, a host that was stopped for seconds would suspect whom it had just asked, and
    /// declare its suspects dead before reading that they had refuted it.
    fn forgive_pause(&mut self, now: Moment) {
        let Some(last) = self.last_tick else {
            return;
        };
        if now.since(last) > self.settings.probe_interval * 2 {
            self.probe = None;
            self.roster.postpone_suspicions(now);
        }
    }

    fn declare_dead(&mut self, now: Moment) {
        let timeout = self.settings.suspect_timeout(self.roster.len() + 1);
        if now.since(Moment::ZERO) >= timeout {
            for mut update in self.roster.overdue_suspects(now - timeout) {
                update.state = MemberState::Dead;
                self.roster.merge(now, update, self.roster.usual_tellings());
            }
        }
        if now.since(Moment::ZERO) >= self.settings.dead_retention {
            self.roster.forget_dead(now - self.settings.dead_retention);
        }
        let relay_end = self.settings.probe_interval;
        self.relays.retain(|relay| now.since(relay.sent) < relay_end);
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

    /// The next live host of a shuffled round, so that each is asked once a round.
    fn next_target(&mut self) -> Option<MemberRecord> {
        for _ in 0..2 {
            while let Some(host) = self.order.pop() {
                let Some(entry) = self.roster.find(&host) else {
                    continue;
                };
                if entry.update.state.is_live() {
                    return Some(entry.update.record.clone());
                }
            }
            self.order = self.roster.live().map(|e| e.update.record.host.clone()).collect();
            self.order.sort();
            self.order.shuffle(&mut self.rng);
        }
        None
    }

    /// Asks others to try, once the target's own answer is overdue.
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

    /// Suspects a host that answered neither directly nor through others.
    fn end_probe(&mut self, now: Moment) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        if let Some(entry) = self.roster.find(&probe.host) {
            let mut update = entry.update.clone();
            update.state = MemberState::Suspect;
            self.roster.merge(now, update, self.roster.usual_tellings());
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Comparing tables

    /// Compares with a live host and calls on a dead one or a seed, so that parts of a cluster that
    /// lost each other for minutes find each other again.
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
        // Alone, it calls on all seeds at once: one that starts later than this host would else be
        // found after as many calls as there are seeds, and replicas need each other to elect.
        let asked = if live.is_empty() { absent } else { self.choose_each([live, absent]) };
        for to in asked {
            let digests = self.roster.digests(&self.own);
            let purpose = MemberPurpose::SyncAsk { digests, reply: false };
            sends.push(self.message(to, &purpose, None));
        }
    }

    /// One address of each list that is not empty.
    fn choose_each(&mut self, lists: [Vec<SocketAddr>; 2]) -> Vec<SocketAddr> {
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
        // Where one host differs others may: the next comparison follows soon.
        self.next_sync = self.next_sync.min(now + JOIN_INTERVAL);
        // The own description goes along: the part it belongs to may be the one that differs.
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
        let purpose = MemberPurpose::SyncAsk { digests: ours, reply: true };
        vec![self.message(to, &purpose, None)]
    }

    fn own_update(&self) -> MemberUpdate {
        MemberUpdate { record: self.own.clone(), state: MemberState::Alive }
    }

    // ---------------------------------------------------------------------------------------------
    // Messages

    /// Takes in a message that was authenticated as one of this installation.
    pub fn receive(&mut self, now: Moment, from: SocketAddr, body: &[u8]) -> Vec<MemberSend> {
        let Some(message) = MemberMessage::unpack(body) else {
            return Vec::new();
        };
        if self.left {
            return Vec::new();
        }
        let tellings = match message.purpose {
            MemberPurpose::SyncPage => PAGE_TELLINGS,
            _ => self.roster.usual_tellings(),
        };
        for update in message.updates {
            self.merge(now, update, tellings);
        }
        match message.purpose {
            MemberPurpose::Ping { sequence, target } => {
                if target.is_some_and(|target| target != self.own.host) {
                    return Vec::new();
                }
                vec![self.message(from, &MemberPurpose::Ack { sequence }, None)]
            }
            MemberPurpose::Ack { sequence } => self.take_ack(sequence),
            MemberPurpose::PingRequest { sequence, target, address } => {
                self.ping_for(now, (from, sequence), target, address)
            }
            MemberPurpose::SyncAsk { digests, reply } => {
                self.answer_sync(now, from, &digests, reply)
            }
            MemberPurpose::SyncPage | MemberPurpose::News => Vec::new(),
        }
    }

    fn take_ack(&mut self, sequence: u32) -> Vec<MemberSend> {
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
        let purpose = MemberPurpose::Ack { sequence: relay.asker_sequence };
        vec![self.message(relay.asker, &purpose, None)]
    }

    fn ping_for(
        &mut self,
        now: Moment,
        (asker, asker_sequence): (SocketAddr, u32),
        target: HostId,
        address: SocketAddr,
    ) -> Vec<MemberSend> {
        if self.relays.len() >= RELAY_LIMIT {
            return Vec::new();
        }
        self.sequence = self.sequence.wrapping_add(1);
        let sequence = self.sequence;
        self.relays.push_back(RelayedProbe { sequence, asker, asker_sequence, sent: now });
        let about = target.clone();
        let purpose = MemberPurpose::Ping { sequence, target: Some(target) };
        vec![self.message(address, &purpose, Some(&about))]
    }

    fn merge(&mut self, now: Moment, update: MemberUpdate, tellings: u32) {
        if update.record.host == self.own.host {
            self.refute(&update);
        } else {
            let _: UpdateOutcome = self.roster.merge(now, update, tellings);
        }
    }

    /// Outranks whatever is wrong about the own host: a suspicion, a death, or an earlier start's
    /// description with a higher number because a clock has gone back since.
    fn refute(&mut self, update: &MemberUpdate) {
        let same = update.state == MemberState::Alive && update.record == self.own;
        if !same && update.record.incarnation >= self.own.incarnation {
            self.own.incarnation = update.record.incarnation.next();
        }
    }

    /// Packs a message: the own description first, then what is said of the target, then news.
    fn message(
        &mut self,
        to: SocketAddr,
        purpose: &MemberPurpose,
        about: Option<&HostId>,
    ) -> MemberSend {
        let mut updates = vec![self.own_update()];
        // A suspect must hear of it to refute it; nobody is better placed to say so.
        let suspect = about.and_then(|host| self.roster.find(host)).map(|e| e.update.clone());
        updates.extend(suspect.filter(|update| update.state != MemberState::Alive));
        let fixed = updates.len();
        updates.extend(self.roster.news());
        let (body, count) = MemberMessage::pack(purpose, updates.iter());
        self.roster.count_tellings(count.saturating_sub(fixed));
        MemberSend { to, body }
    }
}
