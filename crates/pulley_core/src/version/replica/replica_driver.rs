//! One replica as the control thread uses it: its log, its state machines and the questions that
//! wait for an answer.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use smol_str::SmolStr;

use super::AuditArchive;
use super::cluster_founding::ClusterFounding;
use super::driver_founding::RejoinAttempt;
use super::driver_question::{WaitingQuestion, WaitingRead};
use super::{
    ConfigVersion, DiskId, DriverInput, DriverOutput, LogCommand, LogEntry, LogIndex,
    MachineOutcome, NodeEffects, PeerMessage, RecoveredState, ReplicaAnswer, ReplicaEnvelope,
    ReplicaIdentity, ReplicaMachines, ReplicaNode, ReplicaQuestion, ReplicaSettings,
    ReplicaSnapshot, ReplicaStatus,
};
use crate::process::{FastMap, HostId, MemberId, Moment};

/// Maximum number of members whose hosts are remembered although the membership does not list them.
const UNLISTED_LIMIT: usize = 64;

/// Minimum number of voters. A silent voter is removed only if at least as many remain.
const MIN_VOTERS: usize = 3;

/// One replica as the control thread uses it.
///
/// Addresses hosts and exchanges encoded messages; has no sockets, no disk and no clock.
#[derive(Debug)]
pub struct ReplicaDriver {
    pub(crate) identity: ReplicaIdentity,
    pub(crate) settings: ReplicaSettings,
    pub(crate) seed: u64,
    /// Present until this replica has founded a cluster or joined one.
    pub(crate) founding: Option<ClusterFounding>,
    /// The disk that the log is on.
    pub(crate) disk: DiskId,
    /// The attempt to get a new id, once it is known that this replica is no longer a member.
    pub(crate) rejoin: Option<RejoinAttempt>,
    pub(crate) node: ReplicaNode,
    pub(crate) machines: ReplicaMachines,
    pub(crate) waiting: BTreeMap<LogIndex, WaitingQuestion>,
    pub(crate) reads: FastMap<u64, WaitingRead>,
    pub(crate) next_read: u64,
    pub(crate) archive: AuditArchive,
    /// Reads that a quorum has confirmed, with the entry that must be applied first.
    confirmed_reads: Vec<(u64, LogIndex)>,
    /// Hosts of members that this replica's membership does not list yet.
    unlisted_hosts: FastMap<MemberId, HostId>,
    applied_bytes: usize,
    snapshot_size: usize,
    unreadable_messages: u64,
    /// The last log entry held when the process started. A version from an earlier entry may be
    /// older than the one that was in force here before the restart.
    recovered_last: LogIndex,
    publish_due: bool,
    pub(crate) outputs: Vec<DriverOutput>,
}

impl ReplicaDriver {
    /// Creates a driver from the state recovered from the storage.
    #[must_use]
    pub fn new(
        mut identity: ReplicaIdentity,
        recovered: RecoveredState,
        settings: ReplicaSettings,
        now: Moment,
        seed: u64,
    ) -> Self {
        let founding = (recovered.is_empty() && recovered.member.is_none()).then(|| {
            let founders = settings.bootstrap.clone();
            ClusterFounding::new(identity.clone(), founders, &recovered, now)
        });
        identity.member = recovered.member.unwrap_or(identity.member);
        let mut node =
            ReplicaNode::new(identity.member, &recovered, node_settings(&settings), now, seed);
        let restored = recovered.snapshot.as_deref().map(ReplicaMachines::restore);
        let machines = match restored {
            None => ReplicaMachines::default(),
            Some(Ok(machines)) => machines,
            Some(Err(_)) => {
                node.fail(SmolStr::new_static("the snapshot cannot be read by this release"));
                ReplicaMachines::default()
            }
        };
        let recovered_last = node.last_index();
        let archive = AuditArchive::new(&recovered.audit_chunks);
        let snapshot_size = recovered.snapshot.map_or(0, |snapshot| snapshot.state.len());
        Self {
            identity,
            settings,
            seed,
            founding,
            disk: recovered.disk,
            rejoin: None,
            node,
            machines,
            waiting: BTreeMap::new(),
            reads: FastMap::default(),
            next_read: 0,
            archive,
            confirmed_reads: Vec::new(),
            unlisted_hosts: FastMap::default(),
            applied_bytes: 0,
            snapshot_size,
            unreadable_messages: 0,
            recovered_last,
            publish_due: snapshot_size > 0,
            outputs: Vec::new(),
        }
    }

    /// Handles one input and returns the outputs.
    pub fn handle(&mut self, now: Moment, input: DriverInput) -> Vec<DriverOutput> {
        match input {
            DriverInput::Tick if self.founding.is_some() => self.tick_founding(now),
            DriverInput::Persisted { ticket, ok } if self.founding.is_some() => {
                self.persisted_founding(now, ticket, ok);
            }
            DriverInput::Tick => {
                self.node.tick(now);
                self.request_rejoin(now);
                self.promote_learner(now);
                self.fetch_chunk(now);
            }
            DriverInput::Peer { from, body } => self.receive(now, &from, &body),
            DriverInput::Persisted { ticket, ok } => self.node.persisted(now, ticket, ok),
            DriverInput::AuditRead { read, records } => self.finish_audit_read(read, records),
            DriverInput::Ask { token, question } => self.ask(now, token, question),
            DriverInput::TransferLeadership => self.node.transfer_leadership(now),
        }
        self.process_effects();
        std::mem::take(&mut self.outputs)
    }

    // ---------------------------------------------------------------------------------------------
    // Queries

    /// Returns when [`DriverInput::Tick`] is next needed.
    #[must_use]
    pub fn next_wakeup(&self) -> Moment {
        match &self.founding {
            Some(founding) => founding.next_wakeup(),
            None => {
                let rejoin = self.rejoin.as_ref().map(|rejoin| rejoin.next_request_at);
                rejoin.map_or(self.node.next_wakeup(), |at| at.min(self.node.next_wakeup()))
            }
        }
    }

    /// Returns the host that leads, as far as this replica knows.
    #[must_use]
    pub fn leader(&self) -> Option<HostId> {
        match &self.founding {
            Some(founding) => founding.leader().cloned(),
            None => self.node.leader().and_then(|member| self.host_of(member)),
        }
    }

    /// Returns the hosts of the log's voters; none until this replica belongs to a cluster.
    #[must_use]
    pub fn voters(&self) -> Vec<HostId> {
        let members = self.node.members().members.iter();
        members.filter(|member| member.voter).map(|member| member.host.clone()).collect()
    }

    /// Returns the log engine, for tests and status pages.
    #[must_use]
    pub fn node(&self) -> &ReplicaNode {
        &self.node
    }

    /// Returns the state machines, for tests and status pages.
    #[must_use]
    pub fn machines(&self) -> &ReplicaMachines {
        &self.machines
    }

    /// Returns the status of the replica.
    #[must_use]
    pub fn status(&self) -> ReplicaStatus {
        ReplicaStatus {
            host: self.identity.host.clone(),
            member: self.identity.member,
            role: SmolStr::new_static(self.role_name()),
            leader: self.leader(),
            term: self.node.term(),
            last_index: self.node.last_index(),
            commit_index: self.node.commit_index(),
            version: self.machines.configuration.version(),
            members: self.node.members().members.clone(),
            claims: self.machines.ledger.len() as u64,
            log_bytes: self.node.log_bytes() as u64,
            unreadable_messages: self.unreadable_messages,
            failure: self.node.failure().cloned(),
        }
    }

    /// Returns the name of the replica's current role.
    #[must_use]
    pub fn role_name(&self) -> &'static str {
        if self.node.failure().is_some() {
            return "failed";
        }
        if self.founding.is_some() {
            return "founding";
        }
        match self.node.members().find(self.identity.member) {
            None => "outsider",
            Some(member) if !member.voter => "learner",
            Some(_) => self.node.role_name(),
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Messages

    fn receive(&mut self, now: Moment, from: &HostId, body: &Bytes) {
        let envelope = match postcard::from_bytes::<PeerMessage>(body) {
            Ok(PeerMessage::Replica(envelope)) => envelope,
            Ok(PeerMessage::Audit(message)) => {
                self.receive_audit(from, message);
                return;
            }
            Ok(PeerMessage::Founding(message)) => {
                self.receive_founding(now, from, message);
                return;
            }
            Err(_) => {
                self.unreadable_messages += 1;
                return;
            }
        };
        if self.founding.is_some() {
            return;
        }
        match self.node.members().find(envelope.from) {
            // A member sends messages from its own host only.
            Some(member) if member.host != *from => return,
            Some(_) => {}
            None => {
                self.record_unlisted_host(envelope.from, from);
                // A replica that was removed while it was cut off would otherwise ask for votes
                // forever.
                if envelope.message.asks_for_vote() {
                    self.send_founded(from);
                }
            }
        }
        self.node.receive(now, envelope);
    }

    fn record_unlisted_host(&mut self, member: MemberId, host: &HostId) {
        if self.unlisted_hosts.len() >= UNLISTED_LIMIT {
            self.unlisted_hosts.clear();
        }
        self.unlisted_hosts.insert(member, host.clone());
    }

    fn host_of(&self, member: MemberId) -> Option<HostId> {
        match self.node.members().find(member) {
            Some(known) => Some(known.host.clone()),
            None => self.unlisted_hosts.get(&member).cloned(),
        }
    }

    fn push_send(&mut self, envelope: ReplicaEnvelope) {
        let Some(to) = self.host_of(envelope.to) else { return };
        let Ok(body) = postcard::to_allocvec(&PeerMessage::Replica(envelope)) else { return };
        self.outputs.push(DriverOutput::Send { to, body: Bytes::from(body) });
    }

    // ---------------------------------------------------------------------------------------------
    // After each step

    /// Processes the effects of the last step until no further effects follow.
    fn process_effects(&mut self) {
        loop {
            let effects = self.node.take_effects();
            let wants_snapshot = effects.wants_snapshot;
            self.emit_effects(effects);
            let applied = self.apply_committed();
            self.finish_confirmed_reads();
            if wants_snapshot {
                self.offer_snapshot();
            }
            if !applied && !wants_snapshot {
                break;
            }
        }
        self.publish_in_force();
        if !self.node.is_leader() {
            self.abandon_waiting();
        }
    }

    /// Answers the reads that a quorum has confirmed and whose entries are applied.
    fn finish_confirmed_reads(&mut self) {
        let applied = self.node.applied_index();
        let (ready, later) =
            self.confirmed_reads.drain(..).partition(|(_, index)| *index <= applied);
        self.confirmed_reads = later;
        let ready: Vec<(u64, LogIndex)> = ready;
        for (read, _) in ready {
            self.finish_read(read);
        }
    }

    /// Publishes the version in force and the evacuated zones, but only after all entries that this
    /// replica held at its start are decided.
    ///
    /// Just after a restart the replica replays its log and passes versions older than the one it
    /// had in force before. Publishing them would let the host's version go down.
    fn publish_in_force(&mut self) {
        let decided = self.recovered_last.min(self.node.last_index());
        let applied = self.node.applied_index();
        if !self.publish_due || applied < decided || applied > self.node.durable_index() {
            return;
        }
        self.publish_due = false;
        self.recovered_last = LogIndex::default();
        let plan = self.machines.configuration.current().clone();
        self.outputs.push(DriverOutput::InForce(plan));
        let zones = self.machines.evacuations.evacuated().clone();
        self.outputs.push(DriverOutput::ZonesInForce(zones));
    }

    fn emit_effects(&mut self, effects: NodeEffects) {
        if let Some(snapshot) = &effects.installed {
            self.install_snapshot(snapshot);
        }
        if let Some(batch) = effects.batch {
            self.outputs.push(DriverOutput::Persist { ticket: batch.ticket, batch });
        }
        for envelope in effects.sends {
            self.push_send(envelope);
        }
        for read in effects.failed_reads {
            self.fail_read(read);
        }
        self.confirmed_reads.extend(effects.reads);
    }

    fn install_snapshot(&mut self, snapshot: &ReplicaSnapshot) {
        match ReplicaMachines::restore(snapshot) {
            Ok(machines) => {
                self.machines = machines;
                self.applied_bytes = 0;
                self.snapshot_size = snapshot.state.len();
                self.publish_due = true;
            }
            Err(_) => {
                let why = "the leader's snapshot cannot be read by this release";
                self.node.fail(SmolStr::new_static(why));
            }
        }
    }

    fn apply_committed(&mut self) -> bool {
        let mut applied = false;
        while let Some(entry) = self.node.take_committed() {
            self.apply(&entry);
            applied = true;
        }
        if applied {
            // Audit chunks are written before a snapshot that no longer holds them.
            self.write_chunks();
            self.compact_if_due();
        }
        applied
    }

    fn apply(&mut self, entry: &LogEntry) {
        let before = self.in_force();
        let outcome = self.machines.apply(entry);
        self.applied_bytes += entry.estimated_bytes();
        self.publish_due |= self.in_force() > before;
        self.answer_waiting(entry, outcome);
    }

    /// Returns the configuration version and the zone revision that hosts are to have in force.
    fn in_force(&self) -> (ConfigVersion, LogIndex) {
        let machines = &self.machines;
        (machines.configuration.version(), machines.evacuations.evacuated().revision)
    }

    fn answer_waiting(&mut self, entry: &LogEntry, outcome: MachineOutcome) {
        let Some(waiting) = self.waiting.remove(&entry.index) else { return };
        let answer = if waiting.term == entry.term {
            super::driver_question::answer_for(outcome)
        } else {
            ReplicaAnswer::Unknown { why: SmolStr::new_static("another leader took over") }
        };
        self.outputs.push(DriverOutput::Answer { token: waiting.token, answer });
    }

    /// Makes a snapshot if the entries applied since the last one are at least as large as that
    /// snapshot and as `snapshot_bytes`. Writing snapshots then costs no more than writing the log,
    /// however large the state is.
    fn compact_if_due(&mut self) {
        let due = self.settings.snapshot_bytes.max(self.snapshot_size);
        if self.applied_bytes < due {
            return;
        }
        let Some(snapshot) = self.make_snapshot() else { return };
        self.applied_bytes = 0;
        self.snapshot_size = snapshot.state.len();
        self.node.compact(snapshot);
    }

    fn offer_snapshot(&mut self) {
        if let Some(snapshot) = self.make_snapshot() {
            self.node.offer_snapshot(&snapshot);
        }
    }

    fn make_snapshot(&self) -> Option<Arc<ReplicaSnapshot>> {
        self.machines.snapshot(self.node.snapshot_position()).ok()
    }

    /// Promotes a learner that has every committed entry to a voter.
    fn promote_learner(&mut self, now: Moment) {
        if !self.node.may_change_members() {
            return;
        }
        // A silent voter beyond the number that the tolerated losses require only makes majorities
        // larger: of six voters with one dead, two more losses leave no majority. Three voters are
        // kept whatever `copies` is. Otherwise a set that shrank with each host that is down for a
        // while would end on a single disk.
        let enough = (2 * self.settings.copies).max(MIN_VOTERS + 1);
        let has_spare = self.node.members().voters().count() >= enough;
        if self.settings.grows && has_spare && self.remove_silent_voter(now) {
            return;
        }
        let Some(learner) = self.node.caught_up_learners().first().copied() else { return };
        let members = self.node.members().with_voter(learner);
        let host = self.host_of(learner);
        let description =
            format!("voter {learner} {}", host.map_or(String::new(), |h| h.to_string()));
        if let Some(command) = self.members_command(now, members, description) {
            let _ = self.node.propose_members(now, command);
        }
    }

    /// Removes a silent voter, but only if there is one voter more than the tolerated losses
    /// require, that is, if its successor already votes.
    ///
    /// Otherwise a host that is gone for good would stay a voter forever, and the next two losses
    /// would leave no majority. One successor replaces one voter. If several voters are silent, the
    /// successor replaces the one that has been silent for longest, because the others may return
    /// in a moment. Nobody can tell which of them is gone for good. If a host that was only down
    /// were removed before its successor voted, four voters would remain. If two of these were then
    /// lost, there would be no majority although three of five disks were intact.
    fn remove_silent_voter(&mut self, now: Moment) -> bool {
        let members = self.node.members();
        let voters = members.voters().count();
        let silent = self.node.longest_silent().filter(|_| voters > self.settings.copies.max(1));
        let silent = silent.and_then(|member| members.find(member));
        let Some(silent) = silent.cloned() else { return false };
        let next = members.without(silent.member);
        let description = format!("removed {} {}: silent, replaced", silent.member, silent.host);
        let Some(command) = self.members_command(now, next, description) else { return false };
        matches!(self.node.propose_members(now, command), Ok(Some(_)))
    }

    /// Sets which hosts are known to hold a replica. A replica without a log asks them whether a
    /// cluster exists.
    pub fn set_replicas(&mut self, replicas: &[HostId]) {
        if let Some(founding) = &mut self.founding {
            founding.set_replicas(replicas);
        }
    }

    pub(crate) fn members_command(
        &self,
        now: Moment,
        members: super::ReplicaMembership,
        description: String,
    ) -> Option<LogCommand> {
        let actor = format!("replica:{}", self.identity.host);
        let actor = actor.get(..actor.len().min(64))?.parse().ok()?;
        let unix_ms = self.settings.unix_ms(now);
        Some(LogCommand::Members { members, actor, unix_ms, description })
    }

    pub(crate) fn node_settings(&self) -> ReplicaSettings {
        node_settings(&self.settings)
    }

    fn ask(&mut self, now: Moment, token: u64, question: ReplicaQuestion) {
        if !self.node.is_leader() {
            let answer = ReplicaAnswer::NotLeader { leader: self.leader() };
            self.outputs.push(DriverOutput::Answer { token, answer });
            return;
        }
        self.ask_leader(now, token, question);
    }
}

/// Returns the settings for the log engine. It learns the founders from its snapshot or its log,
/// never from settings, which may have changed since.
fn node_settings(settings: &ReplicaSettings) -> ReplicaSettings {
    ReplicaSettings { bootstrap: Vec::new(), ..settings.clone() }
}
