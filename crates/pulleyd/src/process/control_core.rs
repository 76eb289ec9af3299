//! The control thread's state machines side by side, free of sockets and clocks.
//!
//! [`ControlCore`] takes what came in and what time it is, and returns what is to go out.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use pulley_core::process::{
    CoordinatorOutput, FastMap, MemberRecord, MemberSettings, MemberTable, UpstreamRegistry,
};
use pulley_core::version::{
    DriverInput, DriverOutput, PersistBatch, PersistTicket, PlanFollower, PlanSend, QuestionNumber,
    QuestionRouter, ReplicaDriver, ReplicaQuestion, RouterOutput,
};
use pulley_core::{HostId, Moment, PoolName, UpstreamId, ZoneName};

use super::control_answer::AnswerSlot;
use super::control_counts::CountCarrier;
use super::control_handle::ControlRequest;
use super::{RunningView, ViewCell};
use crate::connection::{DatagramCounts, FrameClass, LinkCounts};
use crate::request::SchedulerSet;

/// How often a leader confirms with a quorum that it still leads, and renews the configuration
/// lease: several times within the shortest lease, so that two lost rounds do no harm.
const LEASE_ROUND: Duration = Duration::from_millis(500);

/// What the control thread is to carry out.
#[derive(Debug)]
pub(crate) enum ControlOutput {
    /// Send over the link to a host.
    Link {
        to: HostId,
        class: FrameClass,
        body: Bytes,
    },
    /// Send as a datagram.
    Datagram {
        to: SocketAddr,
        class: FrameClass,
        body: Bytes,
    },
    /// Hand to the storage thread.
    Persist(PersistBatch),
    ReadAudit(pulley_core::version::AuditRead),
    /// Ask an upstream how loaded it is.
    Probe {
        pool: PoolName,
        zone: ZoneName,
        upstream: UpstreamId,
        address: SocketAddr,
    },
}

/// What the sockets have carried so far.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TransportCounts {
    pub(crate) datagrams: DatagramCounts,
    pub(crate) links: LinkCounts,
}

/// What the core is made from.
pub(crate) struct CoreParts {
    pub(crate) own: MemberRecord,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) replica: Option<ReplicaDriver>,
    pub(crate) founders: Vec<HostId>,
    pub(crate) view: ViewCell,
    pub(crate) schedulers: Arc<SchedulerSet>,
    pub(crate) share_counts: bool,
    pub(crate) seed: u64,
}

/// All control state of one host.
pub(crate) struct ControlCore {
    pub(super) members: MemberTable,
    pub(super) registry: UpstreamRegistry,
    pub(super) follower: PlanFollower,
    pub(super) replica: Option<ReplicaDriver>,
    pub(super) router: QuestionRouter,
    pub(super) counts: CountCarrier,
    pub(super) answers: FastMap<QuestionNumber, AnswerSlot>,
    pub(super) founders: Vec<HostId>,
    pub(super) outputs: Vec<ControlOutput>,
    pub(super) view: ViewCell,
    pub(super) schedulers: Arc<SchedulerSet>,
    pub(super) shutting_down: bool,
    pub(super) transport: TransportCounts,
    seen: Option<ViewMarks>,
    lease_round: Option<(u64, Moment)>,
    next_lease_round: Moment,
    next_lease_token: u64,
}

/// What the last view was built from; a new one is built when any of it has moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ViewMarks {
    members: u64,
    upstreams: u64,
    version: u64,
    ready: bool,
    leaving: bool,
}

impl ControlCore {
    pub(crate) fn new(parts: CoreParts) -> Self {
        let host = parts.own.host.clone();
        let mut members = MemberTable::new(parts.own, MemberSettings::default(), parts.seed);
        for seed in parts.seeds {
            members.seed(seed);
        }
        Self {
            members,
            registry: UpstreamRegistry::new(),
            follower: PlanFollower::new(host.clone(), parts.seed ^ 1),
            replica: parts.replica,
            router: QuestionRouter::new(host.clone(), parts.seed >> 1),
            counts: CountCarrier::new(host, parts.share_counts),
            answers: FastMap::default(),
            founders: parts.founders,
            outputs: Vec::new(),
            view: parts.view,
            schedulers: parts.schedulers,
            shutting_down: false,
            transport: TransportCounts::default(),
            seen: None,
            lease_round: None,
            next_lease_round: Moment::ZERO,
            next_lease_token: LEASE_TOKENS,
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Inputs

    /// Does what is due.
    pub(crate) fn tick(&mut self, now: Moment) -> Vec<ControlOutput> {
        let gossip = self.members.tick(now);
        self.send_membership(gossip);
        let ring = self.members.ring().clone();
        let leases = self.registry.tick(now, &ring);
        for send in leases {
            self.datagram(send.to, FrameClass::Upstreams, send.body);
        }
        let plans = self.follower.tick(now, &ring);
        self.send_plans(plans);
        self.drive(now, DriverInput::Tick);
        let routed = self.router.tick(now);
        self.route(now, routed);
        self.renew_lease(now);
        self.tick_counts(now);
        self.refresh(now);
        std::mem::take(&mut self.outputs)
    }

    /// Takes a frame that came over a link.
    pub(crate) fn frame(
        &mut self,
        now: Moment,
        from: &HostId,
        class: FrameClass,
        body: Bytes,
    ) -> Vec<ControlOutput> {
        match class {
            FrameClass::Replication => {
                self.drive(now, DriverInput::Peer { from: from.clone(), body });
            }
            FrameClass::Operator | FrameClass::Ledger => {
                let routed = self.router.receive(now, from, &body);
                self.route(now, routed);
            }
            FrameClass::Configuration => {
                let plans = self.follower.receive(now, from, &body);
                self.send_plans(plans);
            }
            // These come as datagrams only.
            FrameClass::Membership | FrameClass::Counts | FrameClass::Upstreams => {}
        }
        self.refresh(now);
        std::mem::take(&mut self.outputs)
    }

    /// Takes a datagram.
    pub(crate) fn datagram_in(
        &mut self,
        now: Moment,
        sender: &HostId,
        from: SocketAddr,
        class: FrameClass,
        body: &[u8],
    ) -> Vec<ControlOutput> {
        match class {
            FrameClass::Membership => {
                let gossip = self.members.receive(now, from, body);
                self.send_membership(gossip);
            }
            FrameClass::Upstreams => {
                let sends = self.registry.receive(now, from, body);
                for send in sends {
                    self.datagram(send.to, FrameClass::Upstreams, send.body);
                }
            }
            FrameClass::Configuration => {
                let plans = self.follower.receive(now, sender, body);
                self.send_plans(plans);
            }
            FrameClass::Counts => self.counts.receive(now, sender, body, &self.schedulers),
            FrameClass::Replication | FrameClass::Ledger | FrameClass::Operator => {}
        }
        self.refresh(now);
        std::mem::take(&mut self.outputs)
    }

    /// Takes what a storage thread has to say.
    pub(crate) fn stored(&mut self, now: Moment, input: DriverInput) -> Vec<ControlOutput> {
        self.drive(now, input);
        self.refresh(now);
        std::mem::take(&mut self.outputs)
    }

    /// Takes the storage thread's word on a write.
    pub(crate) fn persisted(
        &mut self,
        now: Moment,
        ticket: PersistTicket,
        ok: bool,
    ) -> Vec<ControlOutput> {
        self.stored(now, DriverInput::Persisted { ticket, ok })
    }

    /// Takes a request of this host's own traffic side or operators.
    pub(crate) fn request(&mut self, now: Moment, request: ControlRequest) -> Vec<ControlOutput> {
        self.answer_request(now, request);
        self.refresh(now);
        std::mem::take(&mut self.outputs)
    }

    /// Notes what the sockets have carried, for the status.
    pub(crate) fn note_transport(&mut self, counts: TransportCounts) {
        self.transport = counts;
    }

    /// Takes what became of a probe.
    pub(crate) fn probed(&mut self, now: Moment, probe: &super::control_counts::ProbeReport) {
        self.counts.probed(now, probe);
    }

    /// When [`Self::tick`] is next of use.
    pub(crate) fn next_wakeup(&self) -> Moment {
        let mut next = self
            .members
            .next_wakeup()
            .min(self.registry.next_wakeup())
            .min(self.follower.next_wakeup())
            .min(self.next_lease_round);
        let optional = [
            self.replica.as_ref().map(ReplicaDriver::next_wakeup),
            self.router.next_wakeup(),
            self.counts.next_wakeup(&self.schedulers),
        ];
        for due in optional.into_iter().flatten() {
            next = next.min(due);
        }
        next
    }

    /// Leaves the cluster's membership; called last.
    pub(crate) fn leave(&mut self, now: Moment) -> Vec<ControlOutput> {
        let farewells = self.members.leave(now);
        self.send_membership(farewells);
        std::mem::take(&mut self.outputs)
    }

    // ---------------------------------------------------------------------------------------------
    // The replica

    pub(super) fn drive(&mut self, now: Moment, input: DriverInput) {
        let Some(replica) = &mut self.replica else { return };
        let outputs = replica.handle(now, input);
        for output in outputs {
            match output {
                DriverOutput::Send { to, body } => {
                    self.outputs.push(ControlOutput::Link {
                        to,
                        class: FrameClass::Replication,
                        body,
                    });
                }
                DriverOutput::Persist { batch, .. } => {
                    self.outputs.push(ControlOutput::Persist(batch));
                }
                DriverOutput::ReadAudit(read) => self.outputs.push(ControlOutput::ReadAudit(read)),
                DriverOutput::Answer { token, answer } => self.driver_answered(now, token, answer),
                DriverOutput::InForce(plan) => self.follower.committed(plan),
            }
        }
    }

    fn driver_answered(
        &mut self,
        now: Moment,
        token: u64,
        answer: pulley_core::version::ReplicaAnswer,
    ) {
        if token >= LEASE_TOKENS {
            self.lease_confirmed(token, &answer);
            return;
        }
        let routed = self.router.local_answer(now, QuestionNumber(token), answer);
        self.route(now, routed);
    }

    pub(super) fn route(&mut self, now: Moment, routed: Vec<RouterOutput>) {
        for output in routed {
            match output {
                RouterOutput::AskLocal { number, question } => {
                    self.ask_local(now, number, question);
                }
                RouterOutput::Send { to, body } => {
                    self.outputs.push(ControlOutput::Link {
                        to,
                        class: FrameClass::Operator,
                        body,
                    });
                }
                RouterOutput::Answer { number, answer } => {
                    if let Some(slot) = self.answers.remove(&number) {
                        slot.answer(answer);
                    }
                }
            }
        }
    }

    fn ask_local(&mut self, now: Moment, number: QuestionNumber, question: ReplicaQuestion) {
        if self.replica.is_some() {
            self.drive(now, DriverInput::Ask { token: number.0, question });
            return;
        }
        let answer = pulley_core::version::ReplicaAnswer::NotLeader { leader: None };
        let routed = self.router.local_answer(now, number, answer);
        self.route(now, routed);
    }

    /// A leader proves by a quorum read that it leads, and that its version is the latest; the
    /// lease counts from when the read began, since nothing later is proved by it.
    fn renew_lease(&mut self, now: Moment) {
        if now < self.next_lease_round {
            return;
        }
        self.next_lease_round = now + LEASE_ROUND;
        self.report_log();
        let Some(replica) = &self.replica else { return };
        if !replica.node().is_leader() {
            self.lease_round = None;
            return;
        }
        self.next_lease_token += 1;
        self.lease_round = Some((self.next_lease_token, now));
        let question = ReplicaQuestion::CurrentPlan;
        self.drive(now, DriverInput::Ask { token: self.next_lease_token, question });
    }

    fn lease_confirmed(&mut self, token: u64, answer: &pulley_core::version::ReplicaAnswer) {
        let Some((expected, began)) = self.lease_round else { return };
        if token != expected || !matches!(answer, pulley_core::version::ReplicaAnswer::Plan(_)) {
            return;
        }
        self.lease_round = None;
        let Some(replica) = &self.replica else { return };
        let term = replica.node().term().0;
        self.follower.committed(Arc::clone(replica.machines().configuration.current()));
        let set = replica_set(replica);
        self.follower.lead(term, set, began);
    }

    /// Tells the follower what this host's log holds past what is committed: hosts without a
    /// lease must know of it, because it may or may not have been accepted.
    fn report_log(&mut self) {
        let Some(replica) = &self.replica else { return };
        self.follower.set_replica(replica_set(replica), last_version(replica));
    }

    // ---------------------------------------------------------------------------------------------
    // Helpers

    fn send_membership(&mut self, sends: Vec<pulley_core::process::MemberSend>) {
        for send in sends {
            self.datagram(send.to, FrameClass::Membership, send.body);
        }
    }

    fn send_plans(&mut self, sends: Vec<PlanSend>) {
        for send in sends {
            let Some(record) = self.members.find(&send.to) else { continue };
            let to = record.peer_address;
            self.datagram(to, FrameClass::Configuration, send.body);
        }
    }

    fn datagram(&mut self, to: SocketAddr, class: FrameClass, body: Bytes) {
        self.outputs.push(ControlOutput::Datagram { to, class, body });
    }

    fn tick_counts(&mut self, now: Moment) {
        let carried = self.counts.tick(now, &self.schedulers);
        for (to, body) in carried.sends {
            let Some(record) = self.members.find(&to) else { continue };
            let address = record.peer_address;
            self.datagram(address, FrameClass::Counts, body);
        }
        for (pool, zone, output) in carried.probes {
            if let CoordinatorOutput::Probe { upstream, address } = output {
                self.outputs.push(ControlOutput::Probe { pool, zone, upstream, address });
            }
        }
    }

    /// Builds a new view if anything it shows has changed.
    fn refresh(&mut self, now: Moment) {
        let standing = self.follower.standing(now);
        let marks = ViewMarks {
            members: self.members.changes(),
            upstreams: self.registry.changes(),
            version: self.follower.version().0,
            ready: standing.is_ready(),
            leaving: self.shutting_down,
        };
        self.view.confirm(now);
        if self.seen == Some(marks) {
            return;
        }
        let moved_members = self.seen.is_none_or(|seen| seen.members != marks.members);
        self.seen = Some(marks);
        if moved_members {
            self.apply_members();
        }
        let view = self.build_view(now, standing);
        self.publish(now, view);
    }

    fn apply_members(&mut self) {
        let mut replicas: Vec<HostId> = self
            .members
            .live()
            .filter(|record| record.roles.replica)
            .map(|record| record.host.clone())
            .collect();
        for founder in &self.founders {
            if !replicas.contains(founder) && self.members.find(founder).is_some() {
                replicas.push(founder.clone());
            }
        }
        replicas.sort();
        self.router.apply_replicas(replicas);
    }

    fn publish(&mut self, now: Moment, view: RunningView) {
        let live: Vec<HostId> = self
            .members
            .live()
            .filter(|record| record.roles.entry)
            .map(|record| record.host.clone())
            .collect();
        self.counts.apply_view(now, &view, &live);
        self.schedulers.apply_view(&view);
        self.view.store(view);
    }
}

/// Tokens from here on are the core's own questions; below are the router's numbers.
const LEASE_TOKENS: u64 = 1 << 63;

fn replica_set(replica: &ReplicaDriver) -> pulley_core::version::ReplicaSet {
    let members = replica.node().members();
    pulley_core::version::ReplicaSet {
        index: replica.node().members_index().0,
        hosts: members.members.iter().filter(|m| m.voter).map(|m| m.host.clone()).collect(),
    }
}

/// The latest version that any entry of this log could make, committed or not.
fn last_version(replica: &ReplicaDriver) -> pulley_core::ConfigVersion {
    let node = replica.node();
    let mut latest = replica.machines().configuration.version();
    let mut index = node.taken_index().next();
    while let Some(entry) = node.entry(index) {
        if let pulley_core::version::LogCommand::Change(change) = &entry.command {
            latest = latest.max(change.expect.next());
        }
        index = index.next();
    }
    latest
}
