//! Leader behaviour: replication, commits, read confirmation, membership changes and leadership
//! transfer.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use super::follower_progress::{FollowerProgress, ProgressState};
use super::replica_node::{ReplicaNode, ReplicaRole};
use super::{
    AppendOutcome, AppendReply, AppendRequest, LogCommand, LogEntry, LogIndex, ReplicaMembership,
    ReplicaMessage, ReplicaRefusal, Term,
};
use crate::process::{MemberId, Moment};

/// Maximum bytes of entries per message, unless a single entry is larger.
const APPEND_BYTES: usize = 128 << 10;

/// A read that waits until a quorum has confirmed that this replica still leads.
#[derive(Debug)]
struct PendingRead {
    token: u64,
    index: LogIndex,
    round: u64,
}

/// State that only a leader has.
#[derive(Debug)]
pub(crate) struct LeaderState {
    pub(crate) followers: BTreeMap<MemberId, FollowerProgress>,
    /// The first entry of this term. Until it is committed, nothing is known to be committed.
    first_index: LogIndex,
    pub(crate) round: u64,
    reads: VecDeque<PendingRead>,
    heartbeat_at: Moment,
    quorum_check_at: Moment,
    transfer: Option<LeaderTransfer>,
}

#[derive(Clone, Copy, Debug)]
struct LeaderTransfer {
    to: MemberId,
    deadline: Moment,
    is_requested: bool,
}

impl LeaderState {
    pub(crate) fn next_wakeup(&self) -> Moment {
        self.heartbeat_at.min(self.quorum_check_at)
    }
}

impl ReplicaNode {
    // ---------------------------------------------------------------------------------------------
    // For the driver

    /// Appends commands, if this replica leads and is not handing over leadership. Returns the
    /// index of the first one.
    pub fn propose(&mut self, now: Moment, commands: Vec<LogCommand>) -> Option<LogIndex> {
        self.now = self.now.max(now);
        let ReplicaRole::Leader(leader) = &self.role else { return None };
        if leader.transfer.is_some() {
            return None;
        }
        let first = self.log.last_index().next();
        for command in commands {
            self.append_command(command);
        }
        self.replicate();
        self.flush();
        Some(first)
    }

    /// Appends a changed membership.
    ///
    /// One member is added, promoted or removed at a time, and only after the previous change is
    /// committed in this term. Any two majorities of consecutive memberships then share a member,
    /// so no second phase (joint consensus) is needed.
    ///
    /// # Errors
    /// `ChangeUnderWay` while an earlier change, or the term's first entry, is not committed.
    pub fn propose_members(
        &mut self,
        now: Moment,
        command: LogCommand,
    ) -> Result<Option<LogIndex>, ReplicaRefusal> {
        if !self.may_change_members() {
            return Err(ReplicaRefusal::ChangeUnderWay);
        }
        let index = self.propose(now, vec![command]);
        self.sync_followers();
        Ok(index)
    }

    /// Asks a quorum to confirm that this replica still leads; the result is among the effects.
    pub fn read(&mut self, now: Moment, token: u64) {
        self.now = self.now.max(now);
        let commit = self.commit;
        let ReplicaRole::Leader(leader) = &mut self.role else {
            self.effects.failed_reads.push(token);
            return;
        };
        leader.round += 1;
        // Until its first entry is committed, a leader does not know what earlier terms committed.
        let index = commit.max(leader.first_index);
        leader.reads.push_back(PendingRead { token, index, round: leader.round });
        self.send_heartbeats();
        self.confirm_reads();
        self.flush();
    }

    /// Starts a leadership transfer to the most up-to-date voter.
    pub fn transfer_leadership(&mut self, now: Moment) {
        self.now = self.now.max(now);
        let deadline = self.now + self.settings.election_timeout;
        let voters = self.log.members().clone();
        let ReplicaRole::Leader(leader) = &mut self.role else { return };
        let candidate = leader
            .followers
            .iter()
            .filter(|(member, _)| voters.is_voter(**member))
            .max_by_key(|(_, progress)| progress.match_index)
            .map(|(member, _)| *member);
        leader.transfer = candidate.map(|to| LeaderTransfer { to, deadline, is_requested: false });
        self.advance_transfer();
        self.flush();
    }

    /// Provides a snapshot for followers that wait for one.
    pub fn offer_snapshot(&mut self, snapshot: &Arc<super::ReplicaSnapshot>) {
        let ReplicaRole::Leader(leader) = &mut self.role else { return };
        let mut waiting = Vec::new();
        for (member, progress) in &mut leader.followers {
            if progress.set_snapshot(snapshot) {
                waiting.push(*member);
            }
        }
        for member in waiting {
            self.send_chunk(member);
        }
    }

    /// Returns the learners that have every committed entry and may become voters.
    #[must_use]
    pub fn caught_up_learners(&self) -> Vec<MemberId> {
        let ReplicaRole::Leader(leader) = &self.role else { return Vec::new() };
        let members = self.log.members();
        leader
            .followers
            .iter()
            .filter(|(member, progress)| {
                !members.is_voter(**member)
                    && progress.match_index >= self.commit
                    && progress.match_index >= leader.first_index
            })
            .map(|(member, _)| *member)
            .collect()
    }

    /// Whether a change of membership may begin.
    #[must_use]
    pub fn may_change_members(&self) -> bool {
        let ReplicaRole::Leader(leader) = &self.role else { return false };
        self.commit >= leader.first_index && self.log.members_index() <= self.commit
    }

    // ---------------------------------------------------------------------------------------------
    // Leadership

    pub(crate) fn become_leader(&mut self) {
        self.leader = Some(self.me);
        let leader = LeaderState {
            followers: BTreeMap::new(),
            first_index: self.log.last_index().next(),
            round: 0,
            reads: VecDeque::new(),
            heartbeat_at: self.now + self.settings.heartbeat,
            quorum_check_at: self.now + self.settings.election_timeout,
            transfer: None,
        };
        self.role = ReplicaRole::Leader(Box::new(leader));
        self.sync_followers();
        let command = self.first_command();
        self.append_command(command);
        self.replicate();
    }

    /// Returns the first command of a term. The first entry of the log names the founders, so that
    /// a replica that starts empty learns them from the log itself.
    fn first_command(&self) -> LogCommand {
        let Ok(actor) = "founders".parse() else { return LogCommand::Blank };
        if self.log.last_index() > LogIndex(0) {
            return LogCommand::Blank;
        }
        LogCommand::Members {
            members: self.log.members().clone(),
            actor,
            unix_ms: self.settings.unix_ms(self.now),
            description: "founded".to_owned(),
        }
    }

    /// Whether a member has not replied for two election timeouts.
    #[must_use]
    pub fn is_silent(&self, member: MemberId) -> bool {
        let ReplicaRole::Leader(leader) = &self.role else { return false };
        let limit = 2 * self.settings.election_timeout;
        let silent = |progress: &FollowerProgress| self.now.since(progress.last_reply) > limit;
        leader.followers.get(&member).is_some_and(silent)
    }

    /// Returns the voter that has been silent for longest, if any is silent.
    pub(crate) fn longest_silent(&self) -> Option<MemberId> {
        let ReplicaRole::Leader(leader) = &self.role else { return None };
        let voters = self.log.members().voters().filter(|member| self.is_silent(*member));
        voters.min_by_key(|member| leader.followers.get(member).map(|progress| progress.last_reply))
    }

    pub(crate) fn tick_leader(&mut self) {
        let now = self.now;
        let heartbeat = self.settings.heartbeat;
        let ReplicaRole::Leader(leader) = &mut self.role else { return };
        if leader.transfer.is_some_and(|transfer| transfer.deadline <= now) {
            leader.transfer = None;
        }
        if self.step_down_if_stalled() {
            return;
        }
        let ReplicaRole::Leader(leader) = &mut self.role else { return };
        let check_due = leader.quorum_check_at <= now;
        let heartbeat_due = leader.heartbeat_at <= now;
        if heartbeat_due {
            leader.heartbeat_at = now + heartbeat;
        }
        if check_due && !self.check_quorum() {
            return;
        }
        if heartbeat_due {
            self.send_heartbeats();
        }
    }

    /// Steps down when the local disk has not finished a write for an election timeout.
    ///
    /// Otherwise the heartbeats would continue while the leader's disk hangs. Nobody else would
    /// start an election, and the leader could apply and answer nothing. The age of the oldest
    /// unfinished write shows the fault. The host cannot be elected again before its disk responds,
    /// because its own vote has to be written.
    fn step_down_if_stalled(&mut self) -> bool {
        let limit = self.settings.election_timeout;
        let stalled =
            self.gate.oldest_write_started().is_some_and(|started| self.now.since(started) > limit);
        let members = self.log.members();
        let ReplicaRole::Leader(leader) = &self.role else { return false };
        if !stalled || members.voters().count() == 1 {
            return false;
        }
        let successor = leader
            .followers
            .iter()
            .filter(|(member, _)| members.is_voter(**member))
            .max_by_key(|(_, progress)| progress.match_index)
            .map(|(member, _)| *member);
        let term = self.vote.term;
        if let Some(successor) = successor {
            self.send(successor, ReplicaMessage::CampaignNow { term });
        }
        self.become_follower(term, None);
        true
    }

    /// Steps down when a majority has not replied for an election timeout.
    ///
    /// Otherwise a leader that is cut off by a partition would hold on to questions it can never
    /// answer, and callers would wait for it instead of asking the new leader.
    fn check_quorum(&mut self) -> bool {
        let now = self.now;
        let timeout = self.settings.election_timeout;
        let me = self.me;
        let ReplicaRole::Leader(leader) = &mut self.role else { return false };
        leader.quorum_check_at = now + timeout;
        let followers = &leader.followers;
        let has_replied = |member| {
            member == me
                || followers
                    .get(&member)
                    .is_some_and(|progress| now.since(progress.last_reply) <= timeout)
        };
        if self.log.members().is_majority(has_replied) {
            return true;
        }
        self.become_follower(self.vote.term, None);
        false
    }

    pub(crate) fn fail_reads(&mut self) {
        let ReplicaRole::Leader(leader) = &mut self.role else { return };
        let tokens = leader.reads.drain(..).map(|read| read.token);
        self.effects.failed_reads.extend(tokens);
    }

    /// Updates the followers to match the membership.
    fn sync_followers(&mut self) {
        let members: ReplicaMembership = self.log.members().clone();
        let next = self.log.last_index().next();
        let (me, now) = (self.me, self.now);
        let ReplicaRole::Leader(leader) = &mut self.role else { return };
        leader.followers.retain(|member, _| members.find(*member).is_some());
        for member in &members.members {
            if member.member != me {
                leader
                    .followers
                    .entry(member.member)
                    .or_insert_with(|| FollowerProgress::new(next, now));
            }
        }
    }

    fn append_command(&mut self, command: LogCommand) {
        let entry = LogEntry {
            index: self.log.last_index().next(),
            term: self.vote.term,
            time: self.log_time(),
            command,
        };
        self.append_entry(Arc::new(entry));
    }

    // ---------------------------------------------------------------------------------------------
    // Replication

    /// Sends new entries to every follower whose window has room.
    pub(crate) fn replicate(&mut self) {
        let ReplicaRole::Leader(leader) = &self.role else { return };
        let members: Vec<MemberId> = leader.followers.keys().copied().collect();
        for member in members {
            self.send_entries(member);
        }
    }

    pub(crate) fn send_entries(&mut self, member: MemberId) {
        let last = self.log.last_index();
        loop {
            let ReplicaRole::Leader(leader) = &mut self.role else { return };
            let Some(progress) = leader.followers.get_mut(&member) else { return };
            if progress.next_index > last || !progress.has_room() {
                return;
            }
            if progress.next_index <= self.log.base().index {
                self.begin_snapshot(member);
                return;
            }
            let entries = self.log.slice(progress.next_index, APPEND_BYTES);
            let next = LogIndex(progress.next_index.0 + entries.len() as u64);
            let prev = progress.next_index.previous();
            progress.record_sent(next);
            self.send_append(member, prev, entries);
        }
    }

    fn send_append(&mut self, member: MemberId, prev: LogIndex, entries: Vec<Arc<LogEntry>>) {
        let Some(prev_term) = self.log.term_at(prev) else { return };
        let ReplicaRole::Leader(leader) = &self.role else { return };
        let request = AppendRequest {
            term: self.vote.term,
            prev_index: prev,
            prev_term,
            commit: self.commit,
            round: leader.round,
            entries,
        };
        self.send(member, ReplicaMessage::AppendRequest(request));
    }

    /// Sends a heartbeat to every follower. It also carries the commit index, and the reply reveals
    /// entries that were lost in transit.
    pub(crate) fn send_heartbeats(&mut self) {
        let ReplicaRole::Leader(leader) = &self.role else { return };
        let members: Vec<MemberId> = leader.followers.keys().copied().collect();
        for member in members {
            self.send_heartbeat(member);
        }
    }

    fn send_heartbeat(&mut self, member: MemberId) {
        let ReplicaRole::Leader(leader) = &mut self.role else { return };
        let Some(progress) = leader.followers.get_mut(&member) else { return };
        if matches!(progress.state, ProgressState::Snapshot { .. }) {
            self.send_chunk(member);
            return;
        }
        let prev = progress.next_index.previous();
        if self.log.term_at(prev).is_none() {
            self.begin_snapshot(member);
            return;
        }
        self.send_append(member, prev, Vec::new());
    }

    fn begin_snapshot(&mut self, member: MemberId) {
        let ReplicaRole::Leader(leader) = &mut self.role else { return };
        let Some(progress) = leader.followers.get_mut(&member) else { return };
        progress.state = ProgressState::Snapshot { snapshot: None, offset: 0 };
        self.effects.wants_snapshot = true;
    }

    /// Records that a follower has replied in this leader's term; steps down if the reply has a
    /// later term. Returns `None` for a reply that does not concern this leader.
    pub(crate) fn accept_reply(
        &mut self,
        from: MemberId,
        term: Term,
        round: u64,
    ) -> Option<&mut FollowerProgress> {
        if term > self.vote.term {
            self.become_follower(term, None);
            return None;
        }
        let now = self.now;
        let ReplicaRole::Leader(leader) = &mut self.role else { return None };
        let progress = leader.followers.get_mut(&from)?;
        if term < self.vote.term {
            return None;
        }
        progress.record_reply(now, round);
        Some(progress)
    }

    pub(crate) fn on_append_reply(&mut self, from: MemberId, reply: AppendReply) {
        let Some(progress) = self.accept_reply(from, reply.term, reply.round) else { return };
        match reply.outcome {
            AppendOutcome::Stored { upto } => progress.record_stored(upto),
            AppendOutcome::Missing { prev, hint } => progress.record_mismatch(prev, hint),
            AppendOutcome::StaleTerm => return,
        }
        self.advance_commit();
        self.send_entries(from);
        self.confirm_reads();
        self.advance_transfer();
    }

    /// Commits what a majority has on disk, if it is of this term.
    ///
    /// A log entry of an earlier term could still be replaced although a majority holds it. Such an
    /// entry counts as committed only together with a log entry of the leader's own term.
    pub(crate) fn advance_commit(&mut self) {
        let ReplicaRole::Leader(leader) = &self.role else { return };
        let members = self.log.members();
        let mut stored: Vec<LogIndex> = members
            .voters()
            .map(|member| {
                if member == self.me {
                    return self.durable;
                }
                leader.followers.get(&member).map_or(LogIndex(0), |progress| progress.match_index)
            })
            .collect();
        stored.sort_unstable_by(|a, b| b.cmp(a));
        let Some(index) = stored.get(members.quorum() - 1).copied() else { return };
        let index = index.min(self.copied_index(leader));
        if index <= self.commit || self.log.term_at(index) != Some(self.vote.term) {
            return;
        }
        let urgent = self.has_urgent_entry(index);
        self.commit = index;
        if urgent {
            self.send_heartbeats();
        }
        self.confirm_reads();
        self.step_down_if_removed();
    }

    /// Returns the last entry that is on as many disks as the settings require, learners' disks
    /// included.
    ///
    /// A cluster of three that must survive the loss of two disks has a majority of two. A change
    /// that only those two hosts hold would be lost with them, although it was acknowledged.
    fn copied_index(&self, leader: &LeaderState) -> LogIndex {
        let mut stored: Vec<LogIndex> =
            leader.followers.values().map(|progress| progress.match_index).collect();
        stored.push(self.durable);
        stored.sort_unstable_by(|a, b| b.cmp(a));
        let place = self.settings.copies.saturating_sub(1);
        stored.get(place).copied().unwrap_or(LogIndex(0))
    }

    /// Whether followers should learn of the commit at once. A configuration has to be in force
    /// everywhere soon, whereas a claim matters only to the host that asked.
    fn has_urgent_entry(&self, upto: LogIndex) -> bool {
        let mut index = self.commit.next();
        while index <= upto {
            let urgent = self.log.entry(index).is_some_and(|entry| {
                matches!(entry.command, LogCommand::Change(_) | LogCommand::Members { .. })
            });
            if urgent {
                return true;
            }
            index = index.next();
        }
        false
    }

    fn step_down_if_removed(&mut self) {
        let settled = self.log.members_index() <= self.commit;
        if settled && !self.log.members().is_voter(self.me) {
            self.become_follower(self.vote.term, None);
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Reads and leadership transfer

    pub(crate) fn confirm_reads(&mut self) {
        let me = self.me;
        let commit = self.commit;
        let ReplicaRole::Leader(leader) = &mut self.role else { return };
        while let Some(read) = leader.reads.front() {
            let followers = &leader.followers;
            let round = read.round;
            let confirmed = self.log.members().is_majority(|member| {
                member == me
                    || followers.get(&member).is_some_and(|progress| progress.round >= round)
            });
            if !confirmed || read.index > commit {
                return;
            }
            self.effects.reads.push((read.token, read.index));
            leader.reads.pop_front();
        }
    }

    fn advance_transfer(&mut self) {
        let last = self.log.last_index();
        let term = self.vote.term;
        let ReplicaRole::Leader(leader) = &mut self.role else { return };
        let Some(transfer) = &mut leader.transfer else { return };
        let ready =
            leader.followers.get(&transfer.to).is_some_and(|progress| progress.match_index >= last);
        if transfer.is_requested || !ready {
            return;
        }
        transfer.is_requested = true;
        let to = transfer.to;
        self.send(to, ReplicaMessage::CampaignNow { term });
    }
}
