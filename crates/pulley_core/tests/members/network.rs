//! Hosts that run the real state machines on a simulated network in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use pulley_core::process::{
    Announcement, HostRoles, Incarnation, MemberIncarnation, MemberRecord, MemberSettings,
    MemberTable, SlotCount, UpstreamPhase, UpstreamRegistry, UpstreamSequence,
};
use pulley_core::version::{PlanFollower, ReplicaSet, StoredPlan};
use pulley_core::{HostId, Moment, UpstreamId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::link_model::LinkModel;
use super::route_rows::RouteRows;

/// The bytes of a datagram besides its body: UDP and IP headers, format, name of 8 bytes, tag.
pub(crate) const WIRE_OVERHEAD: usize = 28 + 3 + 8 + 16;

/// The state machine that a message belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum MessageKind {
    Member,
    Upstream,
    Plan,
}

/// One host's state machines.
pub(crate) struct Host {
    pub(crate) address: SocketAddr,
    pub(crate) members: MemberTable,
    pub(crate) registry: UpstreamRegistry,
    pub(crate) plans: PlanFollower,
    pub(crate) up: bool,
    /// A stopped process reads and sends nothing until this time. Messages wait in its socket.
    pub(crate) paused_until: Moment,
    pub(crate) sent: BTreeMap<MessageKind, (u64, u64)>,
    pub(crate) received: u64,
    /// Real time spent in each state machine, with the numbers of ticks and messages.
    pub(crate) spent: BTreeMap<MessageKind, TimeSpent>,
    scheduled: Option<Moment>,
}

/// Real time spent in a state machine.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TimeSpent {
    pub(crate) ticks: u64,
    pub(crate) tick_time: Duration,
    pub(crate) messages: u64,
    pub(crate) message_time: Duration,
}

/// Loss, duplication and delay of messages.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NetworkConditions {
    pub(crate) loss: f64,
    pub(crate) duplicates: f64,
    pub(crate) delay: (u64, u64),
}

impl Default for NetworkConditions {
    fn default() -> Self {
        Self { loss: 0.0, duplicates: 0.0, delay: (250, 1_500) }
    }
}

/// An event at a host. Where links are limited, a message first arrives at the host's link and is
/// delivered later.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Wake(usize),
    Arrive { to: usize, from: SocketAddr, kind: MessageKind, body: Bytes },
    Deliver { to: usize, from: SocketAddr, kind: MessageKind, body: Bytes },
}

pub(crate) struct Network {
    pub(crate) now: Moment,
    pub(crate) hosts: Vec<Host>,
    pub(crate) conditions: NetworkConditions,
    /// Pairs of hosts whose messages are lost, from the first to the second.
    pub(crate) cuts: BTreeSet<(usize, usize)>,
    /// The index and term of the leader that issues leases, if there is one.
    pub(crate) leader: Option<(usize, u64)>,
    pub(crate) replicas: ReplicaSet,
    /// The capacity of the hosts' links; unlimited if `None`.
    pub(crate) links: Option<LinkModel>,
    events: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    event_count: u64,
    pub(crate) rng: SmallRng,
    next_confirmation: Moment,
}

pub(crate) fn host_name(index: usize) -> HostId {
    format!("host{index:04}").parse().expect("a valid name")
}

pub(crate) fn address(index: usize) -> SocketAddr {
    let index = u16::try_from(index).expect("a small index");
    SocketAddr::from(([10, 0, (index >> 8) as u8, (index & 0xff) as u8], 7_000))
}

pub(crate) fn record(index: usize, start: u64) -> MemberRecord {
    MemberRecord {
        host: host_name(index),
        zone: format!("zone{}", index % 5).parse().expect("a valid name"),
        incarnation: MemberIncarnation(1_796_000_000_000 + start),
        peer_address: address(index),
        caller_address: address(index),
        operator_address: address(index),
        roles: HostRoles { entry: true, replica: index < 5 },
    }
}

pub(crate) fn announcement(upstream: usize, incarnation: u64, sequence: u64) -> Announcement {
    let place = u16::try_from(upstream).expect("a small index");
    Announcement {
        id: format!("upstream{upstream:04}").parse().expect("a valid name"),
        address: SocketAddr::from(([10, 1, (place >> 8) as u8, (place & 0xff) as u8], 8_000)),
        zone: format!("zone{}", upstream % 5).parse().expect("a valid name"),
        pool: format!("pool{}", upstream % 44).parse().expect("a valid name"),
        slots: SlotCount(6),
        connections: 300,
        incarnation: Incarnation(incarnation),
        sequence: UpstreamSequence(sequence),
        phase: UpstreamPhase::Ready,
    }
}

impl Network {
    pub(crate) fn new(count: usize, seed: u64) -> Self {
        let mut network = Self {
            now: Moment::ZERO,
            hosts: Vec::new(),
            conditions: NetworkConditions::default(),
            cuts: BTreeSet::new(),
            leader: None,
            replicas: ReplicaSet::default(),
            links: None,
            events: BinaryHeap::new(),
            event_count: 0,
            rng: SmallRng::seed_from_u64(seed),
            next_confirmation: Moment::ZERO,
        };
        for index in 0..count {
            let host = network.new_host(index, 0);
            network.hosts.push(host);
            // Hosts don't all start at the same instant.
            let start = Moment::from_micros(network.rng.random_range(0..500_000));
            network.wake_at(index, start);
        }
        network
    }

    fn new_host(&mut self, index: usize, start: u64) -> Host {
        let seed = self.rng.random();
        let mut members = MemberTable::new(record(index, start), MemberSettings::default(), seed);
        for seed in 0..3 {
            members.add_seed(address(seed));
        }
        Host {
            address: address(index),
            members,
            registry: UpstreamRegistry::new(),
            plans: PlanFollower::new(host_name(index), seed ^ 1),
            up: true,
            paused_until: Moment::ZERO,
            sent: BTreeMap::new(),
            received: 0,
            spent: BTreeMap::new(),
            scheduled: None,
        }
    }

    /// Ends a host's process and starts it again with no state kept.
    pub(crate) fn restart(&mut self, index: usize) {
        let start = self.now.micros() / 1_000 + 1;
        self.hosts[index] = self.new_host(index, start);
        self.wake_at(index, self.now);
    }

    /// Cuts or restores the paths between two groups, in both directions.
    pub(crate) fn set_partition(&mut self, left: &[usize], right: &[usize], cut: bool) {
        for a in left {
            for b in right {
                for pair in [(*a, *b), (*b, *a)] {
                    if cut {
                        self.cuts.insert(pair);
                    } else {
                        self.cuts.remove(&pair);
                    }
                }
            }
        }
    }

    pub(crate) fn run_for(&mut self, time: Duration) {
        self.run_until(self.now + time);
    }

    pub(crate) fn run_until(&mut self, end: Moment) {
        loop {
            let next = self.events.peek().map_or(end, |Reverse((at, _, _))| *at);
            if self.leader.is_some() && self.next_confirmation <= next.min(end) {
                self.now = self.now.max(self.next_confirmation);
                self.next_confirmation = self.now + Duration::from_millis(200);
                self.confirm_leader();
                continue;
            }
            if next >= end {
                break;
            }
            if let Some(Reverse((at, _, event))) = self.events.pop() {
                self.now = self.now.max(at);
                self.handle(event);
            }
        }
        self.now = self.now.max(end);
    }

    pub(crate) fn announce(&mut self, host: usize, announcement: Announcement) {
        let now = self.now;
        let _ = self.hosts[host].registry.announce(now, announcement);
        self.schedule_wakeup(host);
    }

    pub(crate) fn announce_departure(&mut self, host: usize, id: &UpstreamId) {
        let now = self.now;
        assert!(self.hosts[host].registry.announce_departure(now, id, None));
        self.schedule_wakeup(host);
    }

    /// Has one host send all upstreams to another that has just started.
    pub(crate) fn transfer_state(&mut self, host: usize, to: usize) {
        let (now, to) = (self.now, self.hosts[to].address);
        self.hosts[host].registry.transfer_state(now, to);
        self.schedule_wakeup(host);
    }

    pub(crate) fn publish(&mut self, version: u64, rows: usize) {
        let Some((leader, _)) = self.leader else {
            return;
        };
        let mut plan = RouteRows::new(version);
        plan.add(rows);
        self.commit(leader, &plan.version(version));
    }

    /// Notifies a replica that a version is committed. The leader sends it at once.
    pub(crate) fn commit(&mut self, replica: usize, plan: &StoredPlan) {
        self.hosts[replica].plans.apply_committed_plan(plan);
        match self.leader {
            Some((leader, _)) if leader == replica => self.confirm_leader(),
            _ => self.schedule_wakeup(replica),
        }
    }

    /// Renews the leader's confirmation by a majority, which the simulation takes as given.
    fn confirm_leader(&mut self) {
        if let Some((leader, term)) = self.leader
            && self.hosts[leader].up
            && self.hosts[leader].paused_until <= self.now
        {
            let (now, replicas) = (self.now, self.replicas.clone());
            self.hosts[leader].plans.issue_lease(term, replicas, now);
            self.schedule_wakeup(leader);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Wake(index) => {
                let now = self.now;
                let host = &mut self.hosts[index];
                if host.scheduled != Some(now) || !host.up {
                    return;
                }
                host.scheduled = None;
                if now < host.paused_until {
                    let until = host.paused_until;
                    return self.wake_at(index, until);
                }
                self.tick(index);
            }
            Event::Arrive { to, from, kind, body } => {
                let (now, bytes) = (self.now, body.len() + WIRE_OVERHEAD);
                let through = match &mut self.links {
                    Some(links) => links.arrive(to, now, bytes),
                    None => Some(now),
                };
                if let Some(at) = through {
                    self.push(at, Event::Deliver { to, from, kind, body });
                }
            }
            Event::Deliver { to, from, kind, body } => {
                let host = &mut self.hosts[to];
                if !host.up {
                    return;
                }
                if self.now < host.paused_until {
                    let at = host.paused_until + Duration::from_micros(1);
                    return self.push(at, Event::Deliver { to, from, kind, body });
                }
                self.deliver(to, from, kind, &body);
            }
        }
    }

    fn tick(&mut self, index: usize) {
        let now = self.now;
        let host = &mut self.hosts[index];
        let begun = Instant::now();
        let member = host.members.tick(now);
        let ring = host.members.ring().clone();
        let member_time = begun.elapsed();
        let upstream = host.registry.tick(now, &ring);
        let upstream_time = begun.elapsed() - member_time;
        let plans = host.plans.tick(now, &ring);
        let plan_time = begun.elapsed() - member_time - upstream_time;
        for (kind, time) in [
            (MessageKind::Member, member_time),
            (MessageKind::Upstream, upstream_time),
            (MessageKind::Plan, plan_time),
        ] {
            let spent = host.spent.entry(kind).or_default();
            spent.ticks += 1;
            spent.tick_time += time;
        }
        let member = member.into_iter().map(|send| (send.to, send.body)).collect();
        let upstream = upstream.into_iter().map(|send| (send.to, send.body)).collect();
        self.send_all(index, MessageKind::Member, member);
        self.send_all(index, MessageKind::Upstream, upstream);
        self.send_plans(index, plans);
        self.schedule_wakeup(index);
    }

    fn deliver(&mut self, to: usize, from: SocketAddr, kind: MessageKind, body: &[u8]) {
        let now = self.now;
        let sender = index_of(from);
        let host = &mut self.hosts[to];
        host.received += (body.len() + WIRE_OVERHEAD) as u64;
        let begun = Instant::now();
        let (sends, plans) = match kind {
            MessageKind::Member => {
                let sends = host.members.receive(now, from, body);
                (sends.into_iter().map(|send| (send.to, send.body)).collect(), Vec::new())
            }
            MessageKind::Upstream => {
                let sends = host.registry.receive(now, from, body);
                (sends.into_iter().map(|send| (send.to, send.body)).collect(), Vec::new())
            }
            MessageKind::Plan => (Vec::new(), host.plans.receive(now, &host_name(sender), body)),
        };
        let spent = host.spent.entry(kind).or_default();
        spent.messages += 1;
        spent.message_time += begun.elapsed();
        self.send_all(to, kind, sends);
        self.send_plans(to, plans);
        self.schedule_wakeup(to);
    }

    fn send_plans(&mut self, from: usize, sends: Vec<pulley_core::version::PlanSend>) {
        let of = |host: &HostId| address(host.as_str()[4..].parse().expect("a host of this test"));
        let sends = sends.into_iter().map(|send| (of(&send.to), send.body)).collect();
        self.send_all(from, MessageKind::Plan, sends);
    }

    fn send_all(&mut self, from: usize, kind: MessageKind, sends: Vec<(SocketAddr, Bytes)>) {
        for (to, body) in sends {
            assert!(body.len() <= 1_200, "{kind:?} message of {} bytes", body.len());
            let sent = self.hosts[from].sent.entry(kind).or_default();
            sent.0 += 1;
            sent.1 += (body.len() + WIRE_OVERHEAD) as u64;
            let (now, bytes) = (self.now, body.len() + WIRE_OVERHEAD);
            let left = match &mut self.links {
                Some(links) => links.leave(from, now, bytes),
                None => Some(now),
            };
            let to = index_of(to);
            let copies = 1 + usize::from(self.rng.random_bool(self.conditions.duplicates));
            for _ in 0..copies {
                let lost = self.rng.random_bool(self.conditions.loss);
                let delay =
                    self.rng.random_range(self.conditions.delay.0..=self.conditions.delay.1);
                let Some(left) = left.filter(|_| !lost) else { continue };
                if to >= self.hosts.len() || self.cuts.contains(&(from, to)) {
                    continue;
                }
                let at = left + Duration::from_micros(delay);
                let (from, body) = (self.hosts[from].address, body.clone());
                let event = match self.links {
                    Some(_) => Event::Arrive { to, from, kind, body },
                    None => Event::Deliver { to, from, kind, body },
                };
                self.push(at, event);
            }
        }
    }

    fn schedule_wakeup(&mut self, index: usize) {
        let host = &self.hosts[index];
        let next = host
            .members
            .next_wakeup()
            .min(host.registry.next_wakeup())
            .min(host.plans.next_wakeup())
            .max(self.now + Duration::from_micros(100));
        self.wake_at(index, next);
    }

    fn wake_at(&mut self, index: usize, at: Moment) {
        let host = &mut self.hosts[index];
        if host.scheduled.is_none_or(|scheduled| at < scheduled || scheduled < self.now) {
            host.scheduled = Some(at);
            self.push(at, Event::Wake(index));
        }
    }

    fn push(&mut self, at: Moment, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }
}

fn index_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => {
            let octets = v4.ip().octets();
            usize::from(octets[2]) << 8 | usize::from(octets[3])
        }
        SocketAddr::V6(_) => usize::MAX,
    }
}
