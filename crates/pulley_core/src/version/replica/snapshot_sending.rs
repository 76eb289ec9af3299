//! Sends a snapshot from the leader to a follower whose entries are no longer held.

use super::follower_progress::ProgressState;
use super::replica_node::{ReplicaNode, ReplicaRole};
use super::{ReplicaMessage, SnapshotChunk, SnapshotReply};
use crate::process::MemberId;

/// Bytes of a snapshot per message. Only one chunk is in flight at a time, so that a transfer
/// leaves room for heartbeats on the same link.
const CHUNK_BYTES: usize = 64 << 10;

impl ReplicaNode {
    pub(crate) fn send_chunk(&mut self, member: MemberId) {
        let term = self.vote.term;
        let ReplicaRole::Leader(leader) = &mut self.role else { return };
        let round = leader.round;
        let Some(progress) = leader.followers.get_mut(&member) else { return };
        let ProgressState::Snapshot { snapshot, offset } = &progress.state else { return };
        let Some(snapshot) = snapshot else {
            self.effects.wants_snapshot = true;
            return;
        };
        let total = snapshot.state.len();
        let begin = (*offset).min(total);
        let end = (begin + CHUNK_BYTES).min(total);
        let chunk = SnapshotChunk {
            term,
            round,
            position: snapshot.position.clone(),
            offset: begin as u64,
            total: total as u64,
            bytes: snapshot.state.slice(begin..end),
        };
        self.send(member, ReplicaMessage::SnapshotChunk(chunk));
    }

    pub(crate) fn on_snapshot_reply(&mut self, from: MemberId, reply: SnapshotReply) {
        let Some(progress) = self.accept_reply(from, reply.term, reply.round) else { return };
        let more = progress.record_snapshot_reply(&reply);
        if reply.installed {
            self.advance_commit();
            self.send_entries(from);
        } else if more {
            self.send_chunk(from);
        }
        self.confirm_reads();
    }
}
