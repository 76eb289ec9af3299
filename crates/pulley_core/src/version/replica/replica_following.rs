//! Follower behaviour: entries and snapshots from the leader.

use std::sync::Arc;

use bytes::Bytes;

use super::replica_node::ReplicaNode;
use super::{
    AppendOutcome, AppendReply, AppendRequest, LogEntry, LogIndex, ReplicaMessage, ReplicaSnapshot,
    SnapshotChunk, SnapshotPosition, SnapshotReply, Term,
};
use crate::process::MemberId;

/// Maximum size of a received snapshot, in bytes, so that a faulty leader cannot fill the memory.
const SNAPSHOT_LIMIT: u64 = 256 << 20;

/// A snapshot that is being received.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    position: SnapshotPosition,
    bytes: Vec<u8>,
}

impl ReplicaNode {
    pub(crate) fn on_append_request(&mut self, from: MemberId, request: AppendRequest) {
        if !self.accept_leader(from, request.term) {
            let reply = self.append_reply(request.round, AppendOutcome::StaleTerm);
            self.send(from, reply);
            return;
        }
        if !is_consecutive(&request) {
            return;
        }
        if !self.matches_at(request.prev_index, request.prev_term) {
            let hint = self.conflict_hint(request.prev_index);
            let outcome = AppendOutcome::Missing { prev: request.prev_index, hint };
            let reply = self.append_reply(request.round, outcome);
            self.send_after_vote(from, reply);
            return;
        }
        let is_heartbeat = request.entries.is_empty();
        let agreed = LogIndex(request.prev_index.0 + request.entries.len() as u64);
        for entry in request.entries {
            self.accept_entry(entry);
        }
        self.commit = self.commit.max(request.commit.min(agreed));
        // A heartbeat is answered immediately, with the index up to which entries are on disk. New
        // entries are acknowledged only after they are on disk.
        if is_heartbeat {
            let upto = agreed.min(self.durable);
            let reply = self.append_reply(request.round, AppendOutcome::Stored { upto });
            self.send_after_vote(from, reply);
        } else {
            let reply = self.append_reply(request.round, AppendOutcome::Stored { upto: agreed });
            self.send_durable(from, reply);
        }
    }

    pub(crate) fn on_snapshot_chunk(&mut self, from: MemberId, chunk: SnapshotChunk) {
        if !self.accept_leader(from, chunk.term) {
            let reply = self.append_reply(chunk.round, AppendOutcome::StaleTerm);
            self.send(from, reply);
            return;
        }
        let index = chunk.position.index;
        let round = chunk.round;
        let held = index <= self.commit || self.log.term_at(index) == Some(chunk.position.term);
        if held {
            self.incoming = None;
            self.commit = self.commit.max(index);
            let reply = self.snapshot_reply(round, index, chunk.total, true);
            self.send_durable(from, reply);
            return;
        }
        let total = chunk.total;
        let received = self.add_chunk(chunk);
        if received < total {
            let reply = self.snapshot_reply(round, index, received, false);
            self.send_after_vote(from, reply);
            return;
        }
        self.install_incoming();
        let reply = self.snapshot_reply(round, index, total, true);
        self.send_durable(from, reply);
    }

    /// Accepts the sender as leader unless its term is stale. Returns whether it is accepted.
    fn accept_leader(&mut self, from: MemberId, term: Term) -> bool {
        if term < self.vote.term || (term == self.vote.term && self.is_leader()) {
            return false;
        }
        self.become_follower(term, Some(from));
        self.leader_heard = Some(self.now);
        self.reset_election_timer();
        true
    }

    fn matches_at(&self, index: LogIndex, term: Term) -> bool {
        // Committed entries match the log of every later leader.
        index <= self.commit || self.log.term_at(index) == Some(term)
    }

    /// Returns where the leader should try next: before all entries of the conflicting term.
    fn conflict_hint(&self, prev: LogIndex) -> LogIndex {
        let last = self.log.last_index();
        if prev > last {
            return last;
        }
        let Some(term) = self.log.term_at(prev) else { return self.commit };
        let mut hint = prev.previous();
        while hint > self.commit && self.log.term_at(hint) == Some(term) {
            hint = hint.previous();
        }
        hint
    }

    fn accept_entry(&mut self, entry: Arc<LogEntry>) {
        if entry.index <= self.commit || self.log.term_at(entry.index) == Some(entry.term) {
            return;
        }
        if entry.index <= self.log.last_index() {
            self.log.truncate_from(entry.index);
            self.gate.queue_truncation(entry.index);
            self.durable = self.durable.min(entry.index.previous());
        }
        self.append_entry(entry);
    }

    /// Adds a chunk to the snapshot being received. Returns the number of bytes received.
    fn add_chunk(&mut self, chunk: SnapshotChunk) -> u64 {
        if chunk.total > SNAPSHOT_LIMIT {
            return 0;
        }
        let is_new =
            self.incoming.as_ref().is_none_or(|incoming| incoming.position != chunk.position);
        if is_new {
            self.incoming = Some(IncomingSnapshot { position: chunk.position, bytes: Vec::new() });
        }
        let Some(incoming) = &mut self.incoming else { return 0 };
        if chunk.offset == incoming.bytes.len() as u64 {
            incoming.bytes.extend_from_slice(&chunk.bytes);
        }
        incoming.bytes.len() as u64
    }

    fn install_incoming(&mut self) {
        let Some(incoming) = self.incoming.take() else { return };
        let position = incoming.position;
        let index = position.index;
        let snapshot = Arc::new(ReplicaSnapshot {
            position: position.clone(),
            state: Bytes::from(incoming.bytes),
        });
        // No entry of the old log beyond the snapshot is known to match the leader's log.
        self.gate.queue_truncation(index.next());
        self.gate.queue_snapshot(snapshot.clone());
        self.log.reset(position);
        self.durable = LogIndex::default();
        self.commit = index;
        self.applied = index;
        self.last_appended = self.now;
        self.effects.installed = Some(snapshot);
    }

    /// Sends at once, unless the vote or term that the message depends on is not on disk yet.
    fn send_after_vote(&mut self, to: MemberId, message: ReplicaMessage) {
        if self.gate.has_pending_vote() {
            self.send_durable(to, message);
        } else {
            self.send(to, message);
        }
    }

    fn append_reply(&self, round: u64, outcome: AppendOutcome) -> ReplicaMessage {
        ReplicaMessage::AppendReply(AppendReply { term: self.vote.term, round, outcome })
    }

    fn snapshot_reply(
        &self,
        round: u64,
        index: LogIndex,
        received: u64,
        installed: bool,
    ) -> ReplicaMessage {
        let term = self.vote.term;
        ReplicaMessage::SnapshotReply(SnapshotReply { term, round, index, received, installed })
    }
}

fn is_consecutive(request: &AppendRequest) -> bool {
    let first = request.prev_index.0 + 1;
    (first..).zip(&request.entries).all(|(index, entry)| entry.index.0 == index)
}
