//! Replicas on an in-memory network and in-memory disks, in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use pulley_core::process::{HostId, MemberId};
use pulley_core::version::{
    ChangeRequest, DriverInput, DriverOutput, PersistBatch, PolicyPlan, ReplicaAnswer,
    ReplicaDriver, ReplicaIdentity, ReplicaQuestion, ReplicaSettings, ReplicaStatus,
};
use pulley_core::{ConfigVersion, Moment};
use pulleyd::connection::FRAME_LIMIT;
use pulleyd::version::{LogStorage, read_audit};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::fake_disk::FakeDisk;
use super::invariants::Invariants;
pub(crate) use super::network_faults::NetworkFaults;

/// A scheduled event at a host.
#[derive(Debug)]
enum FakeEvent {
    Message { from: HostId, to: usize, body: Bytes },
    Write { host: usize, epoch: u64, batch: PersistBatch },
}

#[derive(Debug)]
pub(crate) struct FakeHost {
    pub(crate) identity: ReplicaIdentity,
    pub(crate) disk: FakeDisk,
    pub(crate) driver: Option<ReplicaDriver>,
    storage: Option<LogStorage<FakeDisk>>,
    epoch: u64,
    /// Whether it loses power as soon as it has sent a message.
    pub(crate) loses_power_on_send: bool,
    /// Whether its disk hangs and finishes no write.
    pub(crate) disk_hangs: bool,
    /// The process is paused until then; incoming events wait.
    pub(crate) paused_until: Moment,
}

/// Replicas on an in-memory network and in-memory disks.
#[derive(Debug)]
pub(crate) struct FakeCluster {
    pub(crate) now: Moment,
    pub(crate) hosts: Vec<FakeHost>,
    pub(crate) faults: NetworkFaults,
    pub(crate) random: StdRng,
    pub(crate) invariants: Invariants,
    pub(crate) answers: BTreeMap<u64, ReplicaAnswer>,
    settings: ReplicaSettings,
    queue: BTreeMap<(Moment, u64), FakeEvent>,
    next_event: u64,
    next_token: u64,
    /// One-way cuts, as pairs of sender and receiver.
    cuts: BTreeSet<(HostId, HostId)>,
}

pub(crate) fn host_name(number: usize) -> HostId {
    format!("host-{number}").parse().expect("a valid name")
}

impl FakeCluster {
    pub(crate) fn new(size: usize, seed: u64) -> Self {
        Self::with_settings(size, seed, ReplicaSettings::default())
    }

    pub(crate) fn with_settings(size: usize, seed: u64, mut settings: ReplicaSettings) -> Self {
        settings.bootstrap =
            (0..size).map(|number| (host_name(number), MemberId(number as u64 + 1))).collect();
        let mut cluster = Self {
            now: Moment::ZERO,
            hosts: Vec::new(),
            faults: NetworkFaults::NONE,
            random: StdRng::seed_from_u64(seed),
            invariants: Invariants::default(),
            answers: BTreeMap::new(),
            settings,
            queue: BTreeMap::new(),
            next_event: 0,
            next_token: 0,
            cuts: BTreeSet::new(),
        };
        for number in 0..size {
            cluster.add_host(host_name(number), MemberId(number as u64 + 1));
        }
        cluster
    }

    /// Creates a cluster whose hosts all vote, on a network that loses, duplicates and delays
    /// messages.
    pub(crate) fn on_unreliable_network(size: usize, seed: u64, settings: ReplicaSettings) -> Self {
        let mut cluster = Self::with_settings(size, seed, settings);
        cluster.faults = NetworkFaults {
            loss: 0.05,
            duplicated: 0.05,
            longest_delay: Duration::from_millis(40),
            longest_write: Duration::from_millis(60),
        };
        cluster.run_until(Duration::from_secs(20), Self::all_vote);
        cluster
    }

    /// Adds a host with an empty disk and starts it.
    pub(crate) fn add_host(&mut self, host: HostId, member: MemberId) -> usize {
        let cluster = "test".parse().expect("a valid name");
        let identity = ReplicaIdentity { host, member, cluster };
        let disk = FakeDisk::new(self.random.random());
        self.hosts.push(FakeHost {
            identity,
            disk,
            driver: None,
            storage: None,
            epoch: 0,
            loses_power_on_send: false,
            disk_hangs: false,
            paused_until: Moment::ZERO,
        });
        let number = self.hosts.len() - 1;
        self.start(number);
        number
    }

    pub(crate) fn start(&mut self, number: usize) {
        let seed = self.random.random();
        let settings = self.settings.clone();
        let now = self.now;
        let host = &mut self.hosts[number];
        let (storage, recovered) =
            LogStorage::open_folder(host.disk.clone(), &host.identity, None).expect("opens");
        host.epoch += 1;
        host.storage = Some(storage.with_segment_limit(4_096));
        let driver = ReplicaDriver::new(host.identity.clone(), recovered, settings, now, seed);
        host.driver = Some(driver);
        self.invariants.forget_host(number);
    }

    /// Kills a host's process; its disk loses unsynced data.
    pub(crate) fn kill(&mut self, number: usize) {
        let torn = self.random.random_bool(0.5);
        let epoch = self.hosts[number].epoch;
        // A disk writes in order, so the earliest batch is the one that may be half written.
        let waiting = self
            .queue
            .iter()
            .filter_map(|(at, event)| match event {
                FakeEvent::Write { host, epoch: of, batch } if *host == number && *of == epoch => {
                    Some((batch.ticket, *at))
                }
                _ => None,
            })
            .min()
            .map(|(_, at)| at);
        let host = &mut self.hosts[number];
        if let (true, Some(at), Some(storage)) = (torn, waiting, &mut host.storage)
            && let Some(FakeEvent::Write { batch, .. }) = self.queue.remove(&at)
        {
            // Power is lost while a batch is being written.
            host.disk.fail_syncs(true);
            let _ = storage.write(&[batch]);
        }
        host.driver = None;
        host.loses_power_on_send = false;
        host.paused_until = Moment::ZERO;
        host.storage = None;
        host.epoch += 1;
        host.disk.crash(&mut self.random);
    }

    /// Reopens a host's data folder in the same process, as after a full disk.
    pub(crate) fn reopen(&mut self, number: usize) {
        self.hosts[number].driver = None;
        self.hosts[number].storage = None;
        self.start(number);
    }

    /// Starts hosts from now on without naming the founders in their settings.
    pub(crate) fn forget_founders(&mut self) {
        self.settings.bootstrap.clear();
        for host in &mut self.hosts {
            host.identity.member = MemberId::default();
        }
    }

    /// Tells each replica which hosts hold one, as host membership does.
    pub(crate) fn update_replica_lists(&mut self) {
        let all: Vec<HostId> = self.hosts.iter().map(|host| host.identity.host.clone()).collect();
        for host in &mut self.hosts {
            if let Some(driver) = &mut host.driver {
                driver.set_replicas(&all);
            }
        }
    }

    /// Adds a host that no settings name and updates the replica lists.
    pub(crate) fn add_new_host(&mut self) -> usize {
        let name = host_name(self.hosts.len());
        let number = self.add_host(name, MemberId::default());
        self.update_replica_lists();
        number
    }

    /// Returns the hosts that vote, according to the leader's membership.
    pub(crate) fn voters(&self) -> Vec<HostId> {
        let Some(leader) = self.leader() else { return Vec::new() };
        let members = &self.driver(leader).node().members().members;
        members.iter().filter(|member| member.voter).map(|member| member.host.clone()).collect()
    }

    /// Kills a host's process and replaces its disk by an empty one.
    pub(crate) fn wipe(&mut self, number: usize) {
        self.kill(number);
        self.hosts[number].disk = FakeDisk::new(self.random.random());
    }

    /// Whether a host is up and its current disk votes, according to the leader.
    pub(crate) fn has_vote(&self, number: usize) -> bool {
        let Some(leader) = self.leader() else { return false };
        let member = self.driver(number).node().member();
        self.is_up(number)
            && self.driver(number).status().role != "founding"
            && self.driver(leader).node().members().is_voter(member)
    }

    /// Whether a host is up and its current disk votes.
    pub(crate) fn is_up_with_vote(&self, number: usize) -> bool {
        self.is_up(number) && self.has_vote(number)
    }

    /// Whether a host has replaced a lost disk by a committed membership change.
    pub(crate) fn has_replaced(&self, lost: MemberId, successor: usize) -> bool {
        let Some(leader) = self.leader() else { return false };
        let members = self.driver(leader).node().committed_members();
        let is_in = self.is_up(successor)
            && members.is_voter(self.driver(successor).node().member())
            && self.driver(successor).status().role != "founding";
        is_in && !members.is_voter(lost)
    }

    /// Returns the member id of a host's disk according to the host with the longest log, or the
    /// default if it has none.
    pub(crate) fn member(&self, number: usize) -> MemberId {
        let host = &self.hosts[number].identity.host;
        let statuses = self.statuses();
        let newest = statuses.iter().max_by_key(|status| status.last_index);
        let known = newest.and_then(|status| status.members.iter().find(|m| m.host == *host));
        known.map_or_else(MemberId::default, |member| member.member)
    }

    pub(crate) fn all_vote(&self) -> bool {
        (0..self.hosts.len()).all(|number| self.is_up_with_vote(number))
    }

    /// Pauses a host's process, as a busy machine or a signal does.
    pub(crate) fn pause(&mut self, number: usize, time: Duration) {
        self.hosts[number].paused_until = self.now + time;
    }

    /// Makes a host lose power right after the next message it sends.
    pub(crate) fn kill_on_send(&mut self, number: usize) {
        self.hosts[number].loses_power_on_send = true;
    }

    pub(crate) fn is_up(&self, number: usize) -> bool {
        self.hosts[number].driver.is_some()
    }

    pub(crate) fn driver(&self, number: usize) -> &ReplicaDriver {
        self.hosts[number].driver.as_ref().expect("the host is up")
    }

    /// Returns a number that changes with each start and end of a host's process.
    pub(crate) fn epoch(&self, number: usize) -> u64 {
        self.hosts[number].epoch
    }

    pub(crate) fn cut(&mut self, from: usize, to: usize) {
        let pair = (self.hosts[from].identity.host.clone(), self.hosts[to].identity.host.clone());
        self.cuts.insert(pair);
    }

    /// Cuts off a host in both directions.
    pub(crate) fn isolate(&mut self, number: usize) {
        for other in (0..self.hosts.len()).filter(|other| *other != number) {
            self.cut(number, other);
            self.cut(other, number);
        }
    }

    pub(crate) fn heal(&mut self) {
        self.cuts.clear();
    }

    // ---------------------------------------------------------------------------------------------
    // Time

    /// Advances virtual time.
    pub(crate) fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.step(until) {}
        self.now = until;
    }

    /// Runs until the condition holds; panics if it does not within the limit.
    pub(crate) fn run_until(&mut self, limit: Duration, holds: impl Fn(&Self) -> bool) {
        let has_held = self.holds_within(limit, holds);
        assert!(
            has_held,
            "the condition did not hold within {limit:?} of virtual time: {:#?}",
            self.statuses()
        );
    }

    /// Runs until the condition holds. Returns false if it does not within the limit.
    pub(crate) fn holds_within(&mut self, limit: Duration, holds: impl Fn(&Self) -> bool) -> bool {
        let until = self.now + limit;
        while !holds(self) {
            if !self.step(until) {
                return false;
            }
        }
        true
    }

    /// Returns the status of each host that is up.
    fn statuses(&self) -> Vec<ReplicaStatus> {
        self.hosts.iter().filter_map(|host| Some(host.driver.as_ref()?.status())).collect()
    }

    /// Returns one line per host with its status and the members it knows.
    pub(crate) fn summary(&self) -> String {
        let lines = self.statuses().into_iter().map(|status| {
            let members = status.members.iter().map(|known| {
                let kind = if known.voter { "" } else { "(learner)" };
                format!("{}={}{kind}", known.host, known.member)
            });
            format!(
                "{} {} {} term {} leader {:?} commit {} last {}: {}\n",
                status.host,
                status.member,
                status.role,
                status.term,
                status.leader,
                status.commit_index,
                status.last_index,
                members.collect::<Vec<_>>().join(" ")
            )
        });
        lines.collect()
    }

    fn step(&mut self, until: Moment) -> bool {
        let tick = self
            .hosts
            .iter()
            .enumerate()
            .filter_map(|(number, host)| {
                let wakeup = host.driver.as_ref()?.next_wakeup();
                Some((wakeup.max(host.paused_until), number))
            })
            .min();
        let event = self.queue.first_key_value().map(|(key, _)| key.0);
        let tick_first = tick.is_some_and(|(at, _)| event.is_none_or(|event| at < event));
        if tick_first && let Some((at, number)) = tick {
            if at > until {
                return false;
            }
            self.now = self.now.max(at);
            self.handle_input(number, DriverInput::Tick);
            return true;
        }
        if event.is_none_or(|at| at > until) {
            return false;
        }
        let Some(((at, _), event)) = self.queue.pop_first() else { return false };
        self.now = self.now.max(at);
        self.handle_event(event);
        true
    }

    fn handle_event(&mut self, event: FakeEvent) {
        let number = match &event {
            FakeEvent::Message { to, .. } => *to,
            FakeEvent::Write { host, .. } => *host,
        };
        let resumed = self.hosts[number].paused_until;
        if self.now < resumed {
            self.push(resumed, event);
            return;
        }
        match event {
            FakeEvent::Message { from, to, body } => {
                let receiver = &self.hosts[to].identity.host;
                if !self.cuts.contains(&(from.clone(), receiver.clone())) {
                    self.handle_input(to, DriverInput::Peer { from, body });
                }
            }
            FakeEvent::Write { host, epoch, batch } => {
                if self.hosts[host].epoch != epoch {
                    return;
                }
                // A disk writes in order, also after it has recovered.
                let behind = self.queue.values().any(|queued| {
                    matches!(queued, FakeEvent::Write { host: other, epoch: of, batch: earlier }
                        if *other == host && *of == epoch && earlier.ticket < batch.ticket)
                });
                if self.hosts[host].disk_hangs || behind {
                    let later = self.now + Duration::from_millis(100);
                    self.push(later, FakeEvent::Write { host, epoch, batch });
                    return;
                }
                let Some(storage) = &mut self.hosts[host].storage else { return };
                let ticket = batch.ticket;
                let ok = storage.write(&[batch]).is_ok();
                self.handle_input(host, DriverInput::Persisted { ticket, ok });
            }
        }
    }

    fn handle_input(&mut self, number: usize, input: DriverInput) {
        let now = self.now;
        let Some(driver) = &mut self.hosts[number].driver else { return };
        let outputs = driver.handle(now, input);
        let mut sent = false;
        for output in outputs {
            sent |= matches!(output, DriverOutput::Send { .. });
            self.carry_out(number, output);
        }
        if sent && self.hosts[number].loses_power_on_send {
            self.kill(number);
        }
        if let Some(driver) = &self.hosts[number].driver {
            self.invariants.check_host(number, driver);
        }
    }

    fn carry_out(&mut self, number: usize, output: DriverOutput) {
        match output {
            DriverOutput::Send { to, body } => self.send(number, &to, &body),
            DriverOutput::Persist { batch, .. } => {
                let at = self.now + self.delay(self.faults.longest_write);
                // A disk writes in order.
                let last = self.queue.iter().rev().find_map(|(key, event)| match event {
                    FakeEvent::Write { host, .. } if *host == number => Some(key.0),
                    _ => None,
                });
                let at = last.map_or(at, |last| last.max(at));
                let epoch = self.hosts[number].epoch;
                self.push(at, FakeEvent::Write { host: number, epoch, batch });
            }
            DriverOutput::ReadAudit(read) => {
                let records = read_audit(&self.hosts[number].disk, &read);
                self.handle_input(number, DriverInput::AuditRead { read: read.id, records });
            }
            DriverOutput::Answer { token, answer } => {
                self.invariants.record_answer(token, &answer);
                self.answers.insert(token, answer);
            }
            DriverOutput::InForce(plan) => self.invariants.record_in_force(number, plan.version),
            DriverOutput::ZonesInForce(zones) => self.invariants.record_zones(number, &zones),
        }
    }

    fn send(&mut self, number: usize, to: &HostId, body: &Bytes) {
        let Some(to) = self.hosts.iter().position(|host| host.identity.host == *to) else { return };
        // Links carry no larger frame.
        if body.len() > FRAME_LIMIT {
            return;
        }
        let from = self.hosts[number].identity.host.clone();
        let copies = if self.random.random_bool(self.faults.duplicated) { 2 } else { 1 };
        for _ in 0..copies {
            if !self.random.random_bool(self.faults.loss) {
                let at = self.now + self.delay(self.faults.longest_delay);
                let (from, body) = (from.clone(), body.clone());
                self.push(at, FakeEvent::Message { from, to, body });
            }
        }
    }

    fn delay(&mut self, longest: Duration) -> Duration {
        let micros = u64::try_from(longest.as_micros()).expect("short delays");
        Duration::from_micros(self.random.random_range(100..=micros.max(101)))
    }

    fn push(&mut self, at: Moment, event: FakeEvent) {
        self.next_event += 1;
        self.queue.insert((at, self.next_event), event);
    }

    // ---------------------------------------------------------------------------------------------
    // Questions

    /// Asks a host. The answer is stored under the returned token.
    pub(crate) fn ask(&mut self, number: usize, question: ReplicaQuestion) -> u64 {
        self.next_token += 1;
        let token = self.next_token;
        self.invariants.record_question(token, &question);
        self.handle_input(number, DriverInput::Ask { token, question });
        token
    }

    /// Tells a host to transfer leadership.
    pub(crate) fn transfer(&mut self, number: usize) {
        self.handle_input(number, DriverInput::TransferLeadership);
    }

    /// Transfers leadership until the given host leads.
    pub(crate) fn transfer_to(&mut self, number: usize) {
        for _ in 0..50 {
            let leader = self.wait_for_leader();
            if leader == number {
                return;
            }
            self.transfer(leader);
            self.run(Duration::from_millis(300));
        }
        panic!("host {number} never leads");
    }

    /// Asks the current leader until there is a definite answer.
    pub(crate) fn ask_leader(&mut self, question: &ReplicaQuestion) -> ReplicaAnswer {
        for _ in 0..200 {
            let Some(leader) = self.leader() else {
                self.run(Duration::from_millis(50));
                continue;
            };
            let token = self.ask(leader, question.clone());
            self.run(Duration::from_millis(200));
            match self.answers.get(&token) {
                None | Some(ReplicaAnswer::NotLeader { .. } | ReplicaAnswer::Unknown { .. }) => {}
                Some(answer) => return answer.clone(),
            }
        }
        panic!("no answer to {question:?}");
    }

    /// Asks the current leader until there is a definite answer, and runs only until each answer
    /// arrives.
    pub(crate) fn ask_leader_quickly(&mut self, question: &ReplicaQuestion) -> ReplicaAnswer {
        loop {
            let leader = self.wait_for_leader();
            let token = self.ask(leader, question.clone());
            self.run_until(Duration::from_secs(10), |cluster| cluster.answers.contains_key(&token));
            match &self.answers[&token] {
                ReplicaAnswer::NotLeader { .. } | ReplicaAnswer::Unknown { .. } => {}
                answer => return answer.clone(),
            }
        }
    }

    /// Returns the host that leads in the highest term, if any.
    pub(crate) fn leader(&self) -> Option<usize> {
        let leads = |number: &usize| self.is_up(*number) && self.driver(*number).node().is_leader();
        (0..self.hosts.len()).filter(leads).max_by_key(|number| self.driver(*number).node().term())
    }

    pub(crate) fn wait_for_leader(&mut self) -> usize {
        self.run_until(Duration::from_secs(30), |cluster| cluster.leader().is_some());
        self.leader().expect("just found")
    }

    pub(crate) fn version(&self, number: usize) -> ConfigVersion {
        self.driver(number).machines().configuration.version()
    }
}

/// A sheet that shares most of its lines with all others.
pub(crate) fn sheet_of(id: &str) -> String {
    format!("the first line of every sheet\r\nonly in {id}\r\nthe last line of every sheet\r\n")
}

/// A change with a small sheet and no rows.
pub(crate) fn change(id: &str, expect: u64) -> ReplicaQuestion {
    ReplicaQuestion::Apply(ChangeRequest {
        change_id: id.parse().expect("a valid name"),
        actor: "planner".parse().expect("a valid name"),
        expect: ConfigVersion(expect),
        assigned_version: None,
        received_unix_ms: 1_700_000_000_000,
        sheet: sheet_of(id),
        plan: PolicyPlan::default(),
    })
}
