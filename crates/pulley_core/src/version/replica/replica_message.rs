//! Messages between replicas that hold a log.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{LogEntry, LogIndex, SnapshotPosition, Term};
use crate::process::MemberId;

/// A message with its sender and receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaEnvelope {
    /// The sender.
    pub from: MemberId,
    /// The receiver; a host whose replica has since been given another id ignores the message.
    pub to: MemberId,
    /// The message.
    pub message: ReplicaMessage,
}

/// A message from one replica to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaMessage {
    /// Asks whether a vote would be granted; changes nothing at the receiver.
    ///
    /// Without it a replica that returns from a partition would raise the term and depose a healthy
    /// leader.
    PreVoteRequest(VoteRequest),
    /// Answers a pre-vote request.
    PreVoteReply(VoteReply),
    /// Asks for a vote.
    VoteRequest(VoteRequest),
    /// Answers a vote request; a granted vote is on disk before the reply is sent.
    VoteReply(VoteReply),
    /// Carries entries; without entries it is a heartbeat.
    AppendRequest(AppendRequest),
    /// Answers an append request; what it reports as stored is on disk.
    AppendReply(AppendReply),
    /// Carries a chunk of a snapshot to a follower whose entries are no longer in the log.
    SnapshotChunk(SnapshotChunk),
    /// Answers a snapshot chunk.
    SnapshotReply(SnapshotReply),
    /// Tells an up-to-date follower to start an election at once, because the leader is leaving.
    CampaignNow {
        /// The leader's term.
        term: Term,
    },
}

impl ReplicaMessage {
    /// Whether it asks for a vote or a pre-vote.
    pub(crate) const fn asks_for_vote(&self) -> bool {
        matches!(self, Self::PreVoteRequest(_) | Self::VoteRequest(_))
    }
}

/// Asks for a vote, or whether it would be granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// The term that the candidate wants to lead.
    pub term: Term,
    /// The candidate's last entry.
    pub last_index: LogIndex,
    /// That entry's term.
    pub last_term: Term,
    /// Whether the leader itself asked for the election.
    pub transfer: bool,
}

/// Answers a vote request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteReply {
    /// The requested term if the vote is granted, otherwise the receiver's own term.
    pub term: Term,
    /// Whether the vote is granted.
    pub granted: bool,
}

/// Entries that follow an entry on which both logs must agree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendRequest {
    /// The leader's term.
    pub term: Term,
    /// The index just before the first of the entries.
    pub prev_index: LogIndex,
    /// The term at that index.
    pub prev_term: Term,
    /// The last entry that the leader knows to be committed.
    pub commit: LogIndex,
    /// The leader's round, which increases with each read that a quorum is to confirm. The reply
    /// repeats the round. This proves that the replier still followed the leader when that read
    /// began.
    pub round: u64,
    /// The entries.
    pub entries: Vec<Arc<LogEntry>>,
}

/// Answers an append request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// The receiver's term.
    pub term: Term,
    /// The round of the request that is answered.
    pub round: u64,
    /// The outcome.
    pub outcome: AppendOutcome,
}

/// Outcome of an append request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The log matches the leader's up to here, on disk.
    Stored {
        /// The last entry that matches.
        upto: LogIndex,
    },
    /// The receiver's log does not match at the index before the entries.
    Missing {
        /// The index that was checked.
        prev: LogIndex,
        /// The index that the leader is to try next.
        hint: LogIndex,
    },
    /// The sender's term is stale.
    StaleTerm,
}

/// A chunk of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The leader's term.
    pub term: Term,
    /// The leader's round, which the reply repeats; see [`AppendRequest::round`].
    pub round: u64,
    /// The snapshot's position in the log.
    pub position: SnapshotPosition,
    /// Offset of this chunk in the snapshot, in bytes.
    pub offset: u64,
    /// Size of the whole snapshot, in bytes.
    pub total: u64,
    /// The chunk's bytes.
    pub bytes: Bytes,
}

/// Answers a snapshot chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotReply {
    /// The receiver's term.
    pub term: Term,
    /// The round of the chunk that is answered.
    pub round: u64,
    /// The last entry that the snapshot covers.
    pub index: LogIndex,
    /// Number of bytes that the receiver has.
    pub received: u64,
    /// Whether the snapshot is complete and on disk.
    pub installed: bool,
}
