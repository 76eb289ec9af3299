//! One replica of the log: its state, inputs and outputs.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smol_str::SmolStr;

use super::persist_gate::PersistGate;
use super::replica_following::IncomingSnapshot;
use super::replica_leading::LeaderState;
use super::replica_log::ReplicaLog;
use super::{
    AuditChunk, LogCommand, LogEntry, LogIndex, LogTime, PersistBatch, PersistTicket,
    RecoveredState, ReplicaEnvelope, ReplicaMembership, ReplicaMessage, ReplicaSettings,
    ReplicaSnapshot, SnapshotPosition, Term, VoteRecord,
};
use crate::process::{MemberId, Moment};

/// Divisor of the heartbeat interval. The result is the shortest delay before a replica that has
/// just started sends its first pre-vote requests, and before it repeats them. The delay is short
/// because the other replicas may start at the same time, and a request that reaches nobody costs
/// nothing.
const START_DELAY_DIVISOR: u32 = 8;

/// How many times in a row a replica that has just started defers its pre-vote requests to a
/// replica with a lower id. Two that ask a majority at the same moment would both become
/// candidates, and neither would win.
pub(crate) const DEFERRAL_LIMIT: u32 = 4;

/// The current role of a replica.
#[derive(Debug)]
pub(crate) enum ReplicaRole {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks for pre-votes.
    PreCandidate {
        /// The members that would vote for it.
        votes: Vec<MemberId>,
    },
    /// Asks for votes.
    Candidate {
        /// The members that voted for it.
        votes: Vec<MemberId>,
    },
    /// Leads.
    Leader(Box<LeaderState>),
}

/// Effects of a step, which the driver carries out.
#[derive(Debug, Default)]
pub struct NodeEffects {
    /// Messages to other replicas, in order.
    pub sends: Vec<ReplicaEnvelope>,
    /// What to write to disk, if anything.
    pub batch: Option<PersistBatch>,
    /// Tokens of reads that a quorum has confirmed, each with the index that must be applied first.
    pub reads: Vec<(u64, LogIndex)>,
    /// Tokens of reads that will not be confirmed.
    pub failed_reads: Vec<u64>,
    /// A snapshot from the leader that replaces the state machines' state.
    pub installed: Option<Arc<ReplicaSnapshot>>,
    /// A follower needs a snapshot, which the driver is to offer.
    pub wants_snapshot: bool,
}

/// One replica of the log, without state machines, sockets, disk or clock.
///
/// Each call passes the current time. Effects are taken with [`Self::take_effects`], and the
/// entries to apply with [`Self::take_committed`].
#[derive(Debug)]
pub struct ReplicaNode {
    pub(crate) me: MemberId,
    pub(crate) settings: ReplicaSettings,
    pub(crate) random: SmallRng,
    pub(crate) now: Moment,
    started: Moment,
    pub(crate) vote: VoteRecord,
    pub(crate) log: ReplicaLog,
    pub(crate) commit: LogIndex,
    pub(crate) applied: LogIndex,
    pub(crate) durable: LogIndex,
    pub(crate) role: ReplicaRole,
    pub(crate) leader: Option<MemberId>,
    pub(crate) leader_heard: Option<Moment>,
    pub(crate) election_at: Moment,
    /// How many times it has deferred to another replica since its own last pre-vote requests.
    pub(crate) deferrals: u32,
    pub(crate) last_appended: Moment,
    pub(crate) incoming: Option<IncomingSnapshot>,
    pub(crate) gate: PersistGate,
    pub(crate) effects: NodeEffects,
    pub(crate) failure: Option<SmolStr>,
}

impl ReplicaNode {
    /// Creates a replica from the state recovered from its storage.
    #[must_use]
    pub fn new(
        me: MemberId,
        recovered: &RecoveredState,
        settings: ReplicaSettings,
        now: Moment,
        seed: u64,
    ) -> Self {
        let founders = ReplicaMembership::of_voters(&settings.bootstrap);
        let log = ReplicaLog::recover(recovered, founders);
        let start = log.base().index;
        let durable = log.last_index();
        let mut node = Self {
            me,
            settings,
            random: SmallRng::seed_from_u64(seed),
            now,
            started: now,
            vote: recovered.vote,
            log,
            commit: start,
            applied: start,
            durable,
            role: ReplicaRole::Follower,
            leader: None,
            leader_heard: None,
            election_at: now,
            deferrals: 0,
            last_appended: now,
            incoming: None,
            gate: PersistGate::default(),
            effects: NodeEffects::default(),
            failure: None,
        };
        node.set_start_timer();
        node
    }

    // ---------------------------------------------------------------------------------------------
    // Input

    /// Advances the time and does what is due.
    pub fn tick(&mut self, now: Moment) {
        self.now = self.now.max(now);
        if self.failure.is_some() {
            return;
        }
        match self.role {
            ReplicaRole::Leader(_) => self.tick_leader(),
            _ => self.tick_election(),
        }
        self.flush();
    }

    /// Handles a message from another replica.
    pub fn receive(&mut self, now: Moment, envelope: ReplicaEnvelope) {
        self.now = self.now.max(now);
        if self.failure.is_some() || envelope.to != self.me || envelope.from == self.me {
            return;
        }
        self.dispatch(envelope.from, envelope.message);
        self.flush();
    }

    /// Handles the end of a write.
    ///
    /// After a failed write the replica stops taking part for good. What the disk holds is unknown,
    /// and a later successful sync says nothing about the pages lost before, because the kernel
    /// drops the error after reporting it. Only a restart, which reads the folder again, can
    /// tell.
    pub fn persisted(&mut self, now: Moment, ticket: PersistTicket, ok: bool) {
        self.now = self.now.max(now);
        if self.failure.is_some() {
            return;
        }
        if !ok {
            self.fail(SmolStr::new_static("the storage failed to write"));
            return;
        }
        let (last, released) = self.gate.persisted(ticket);
        if let Some((index, term)) = last
            && self.log.term_at(index) == Some(term)
        {
            self.durable = self.durable.max(index);
        }
        for (to, message) in released {
            if to == self.me {
                self.dispatch(to, message);
            } else {
                self.send(to, message);
            }
        }
        self.advance_commit();
        self.flush();
    }

    /// Stops taking part, because its storage or state can no longer be trusted.
    pub fn fail(&mut self, why: SmolStr) {
        self.fail_reads();
        self.role = ReplicaRole::Follower;
        self.leader = None;
        self.failure = Some(why);
    }

    /// Continues under a new id, after it was removed and has rejoined.
    ///
    /// The log stays. Its entries came from leaders, and the leader truncates what was never
    /// committed, as for any follower that returns.
    pub(crate) fn set_member_id(&mut self, member: MemberId) {
        self.fail_reads();
        self.me = member;
        self.role = ReplicaRole::Follower;
        self.leader = None;
        self.gate.queue_member(member);
        self.flush();
    }

    fn dispatch(&mut self, from: MemberId, message: ReplicaMessage) {
        match message {
            ReplicaMessage::PreVoteRequest(request) => self.on_pre_vote_request(from, request),
            ReplicaMessage::PreVoteReply(reply) => self.on_pre_vote_reply(from, reply),
            ReplicaMessage::VoteRequest(request) => self.on_vote_request(from, request),
            ReplicaMessage::VoteReply(reply) => self.on_vote_reply(from, reply),
            ReplicaMessage::AppendRequest(request) => self.on_append_request(from, request),
            ReplicaMessage::AppendReply(reply) => self.on_append_reply(from, reply),
            ReplicaMessage::SnapshotChunk(chunk) => self.on_snapshot_chunk(from, chunk),
            ReplicaMessage::SnapshotReply(reply) => self.on_snapshot_reply(from, reply),
            ReplicaMessage::CampaignNow { term } => self.on_campaign_now(from, term),
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Output

    /// Takes the effects of the last step.
    pub fn take_effects(&mut self) -> NodeEffects {
        std::mem::take(&mut self.effects)
    }

    /// Returns the next committed entry that has not been handed out.
    ///
    /// Only entries on this replica's own disk are handed out. What a host has put in force is then
    /// still there after its restart, so its version never goes down.
    pub fn take_committed(&mut self) -> Option<Arc<LogEntry>> {
        if self.applied >= self.commit.min(self.durable) {
            return None;
        }
        let entry = self.log.entry(self.applied.next())?.clone();
        self.applied = entry.index;
        Some(entry)
    }

    /// Returns when [`Self::tick`] is next needed.
    #[must_use]
    pub fn next_wakeup(&self) -> Moment {
        if self.failure.is_some() {
            return self.now + Duration::from_secs(3_600);
        }
        match &self.role {
            ReplicaRole::Leader(leader) => leader.next_wakeup(),
            _ => self.election_at,
        }
    }

    /// Writes a snapshot that the driver made of the applied state, and drops old entries.
    pub fn compact(&mut self, snapshot: Arc<ReplicaSnapshot>) {
        if self.failure.is_some() {
            return;
        }
        self.log.compact(snapshot.position.index, self.settings.snapshot_bytes / 2);
        self.gate.queue_snapshot(snapshot);
        self.flush();
    }

    /// Writes a chunk of old audit records.
    pub fn archive(&mut self, chunk: Arc<AuditChunk>) {
        self.gate.queue_chunk(chunk);
        self.flush();
    }

    /// Returns the position of a snapshot taken now, which covers everything handed out by
    /// [`Self::take_committed`].
    #[must_use]
    pub fn snapshot_position(&self) -> SnapshotPosition {
        let index = self.applied;
        let entry = self.log.entry(index);
        SnapshotPosition {
            index,
            term: entry.map_or(self.log.base().term, |entry| entry.term),
            time: entry.map_or(self.log.base().time, |entry| entry.time),
            members: self.log.members_at(index).clone(),
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Queries

    /// Returns this replica's id.
    #[must_use]
    pub fn member(&self) -> MemberId {
        self.me
    }

    /// Returns the current term.
    #[must_use]
    pub fn term(&self) -> Term {
        self.vote.term
    }

    /// Whether it leads.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        matches!(self.role, ReplicaRole::Leader(_))
    }

    /// Returns the name of its current role.
    #[must_use]
    pub fn role_name(&self) -> &'static str {
        match self.role {
            ReplicaRole::Follower => "follower",
            ReplicaRole::PreCandidate { .. } | ReplicaRole::Candidate { .. } => "candidate",
            ReplicaRole::Leader(_) => "leader",
        }
    }

    /// Returns the leader, if it is known.
    #[must_use]
    pub fn leader(&self) -> Option<MemberId> {
        self.leader
    }

    /// Returns the last entry known to be committed.
    #[must_use]
    pub fn commit_index(&self) -> LogIndex {
        self.commit
    }

    /// Returns its last entry.
    #[must_use]
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Returns the entry at an index, if it is still held.
    #[must_use]
    pub fn entry(&self, index: LogIndex) -> Option<&Arc<LogEntry>> {
        self.log.entry(index)
    }

    /// Returns the last entry handed out by [`Self::take_committed`].
    #[must_use]
    pub fn applied_index(&self) -> LogIndex {
        self.applied
    }

    /// Whether the log holds a configuration change that has not been handed out yet.
    #[must_use]
    pub fn holds_unapplied_change(&self) -> bool {
        let mut index = self.applied.next();
        while let Some(entry) = self.log.entry(index) {
            if matches!(entry.command, LogCommand::Change(_)) {
                return true;
            }
            index = index.next();
        }
        false
    }

    /// Returns the last entry on this replica's disk.
    #[must_use]
    pub fn durable_index(&self) -> LogIndex {
        self.durable
    }

    /// Returns the estimated size of the held entries, in bytes.
    #[must_use]
    pub fn log_bytes(&self) -> usize {
        self.log.estimated_bytes()
    }

    /// Returns the membership in effect.
    #[must_use]
    pub fn members(&self) -> &ReplicaMembership {
        self.log.members()
    }

    /// Returns the entry that set the membership, or a later one that a snapshot covers.
    #[must_use]
    pub fn members_index(&self) -> LogIndex {
        self.log.members_index()
    }

    /// Returns the last membership known to be committed.
    #[must_use]
    pub fn committed_members(&self) -> &ReplicaMembership {
        self.log.members_at(self.commit)
    }

    /// Returns why it no longer takes part, if it has failed.
    #[must_use]
    pub fn failure(&self) -> Option<&SmolStr> {
        self.failure.as_ref()
    }

    // ---------------------------------------------------------------------------------------------
    // Helpers

    /// Returns the log time that an entry appended now would get.
    pub(crate) fn log_time(&self) -> LogTime {
        let passed = self.now.since(self.last_appended).as_millis();
        let passed = u64::try_from(passed).unwrap_or(u64::MAX);
        LogTime(self.log.last_time().0.saturating_add(passed))
    }

    pub(crate) fn append_entry(&mut self, entry: Arc<LogEntry>) {
        self.log.append(entry.clone());
        self.last_appended = self.now;
        self.gate.queue_entry(entry);
    }

    pub(crate) fn send(&mut self, to: MemberId, message: ReplicaMessage) {
        self.effects.sends.push(ReplicaEnvelope { from: self.me, to, message });
    }

    /// Sends a message as soon as everything queued so far is on disk.
    pub(crate) fn send_durable(&mut self, to: MemberId, message: ReplicaMessage) {
        let Some((to, message)) = self.gate.hold((to, message)) else { return };
        if to == self.me {
            self.dispatch(to, message);
        } else {
            self.send(to, message);
        }
    }

    /// Becomes a follower in `term`, which may be a new one.
    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<MemberId>) {
        if term > self.vote.term {
            self.vote = VoteRecord { term, voted_for: None };
            self.gate.queue_vote(self.vote);
        }
        if !matches!(self.role, ReplicaRole::Follower) {
            self.fail_reads();
            self.role = ReplicaRole::Follower;
            self.reset_election_timer();
        }
        self.leader = leader;
    }

    /// Sets the short election timer that is used after a start while nobody leads.
    ///
    /// When all replicas restart at once nobody leads, and every host waits for a first leader. A
    /// wait of several heartbeats would make up most of the time without service. If there is a
    /// leader, pre-vote keeps a replica that asks too early from disturbing it.
    fn set_start_timer(&mut self) {
        let pause = self.settings.heartbeat / START_DELAY_DIVISOR;
        self.election_at = self.now + pause + self.random_below(pause);
    }

    /// Whether the process has just started. The others may have started with it and may not be
    /// reachable at the first attempt yet.
    fn has_just_started(&self) -> bool {
        self.now.since(self.started) < self.settings.election_timeout * 3
    }

    /// Sets when to repeat the pre-vote requests.
    pub(crate) fn renew_election_timer(&mut self) {
        if self.has_just_started() {
            self.set_start_timer();
        } else {
            self.reset_election_timer();
        }
    }

    /// Sets when to give up its candidacy. The delay leaves time to sync the votes.
    pub(crate) fn set_vote_timer(&mut self) {
        if self.has_just_started() {
            let heartbeat = self.settings.heartbeat;
            self.election_at = self.now + heartbeat + self.random_below(heartbeat);
        } else {
            self.reset_election_timer();
        }
    }

    /// Defers to another replica that has just started too.
    ///
    /// Its own pre-vote requests become void. Otherwise it would become a candidate on their
    /// replies, both replicas would vote for themselves, and nobody would be elected until both
    /// give up.
    pub(crate) fn defer_election(&mut self, to: MemberId) {
        let is_asking =
            matches!(self.role, ReplicaRole::Follower | ReplicaRole::PreCandidate { .. });
        if to < self.me && is_asking && self.has_just_started() && self.deferrals < DEFERRAL_LIMIT {
            self.deferrals += 1;
            self.role = ReplicaRole::Follower;
            self.election_at = self.election_at.max(self.now + self.settings.heartbeat / 2);
        }
    }

    /// Returns a random duration below a limit.
    fn random_below(&mut self, limit: Duration) -> Duration {
        let micros = u64::try_from(limit.as_micros()).unwrap_or(u64::MAX / 4).max(1);
        Duration::from_micros(self.random.random_range(0..micros))
    }

    pub(crate) fn reset_election_timer(&mut self) {
        let shortest = self.settings.election_timeout;
        self.election_at = self.now + shortest + self.random_below(shortest);
    }

    pub(crate) fn flush(&mut self) {
        if self.failure.is_some() || self.effects.batch.is_some() {
            return;
        }
        let last = (self.log.last_index(), self.log.last_term());
        self.effects.batch = self.gate.take_batch(self.now, last);
    }
}
