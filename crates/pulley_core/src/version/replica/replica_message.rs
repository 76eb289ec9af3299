//! What replicas say to each other.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{LogEntry, LogIndex, SnapshotPlace, Term};
use crate::process::MemberId;

/// A message with who sent it and for whom it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaEnvelope {
    /// The sender.
    pub from: MemberId,
    /// The receiver; a host whose replica has another id by now ignores the message.
    pub to: MemberId,
    /// The message.
    pub message: ReplicaMessage,
}

/// What one replica says to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaMessage {
    /// Asks whether a vote would be granted; changes nothing at the receiver.
    ///
    /// Without it a replica that comes back from a partition would raise the term and depose a
    /// leader that serves well.
    PreVoteRequest(VoteRequest),
    /// Answers that.
    PreVoteReply(VoteReply),
    /// Asks for a vote.
    VoteRequest(VoteRequest),
    /// Answers that; a grant is on disk before it is sent.
    VoteReply(VoteReply),
    /// Carries entries, or none as a heartbeat.
    AppendRequest(AppendRequest),
    /// Answers that; what it calls stored is on disk.
    AppendReply(AppendReply),
    /// Carries a part of a snapshot to a follower whose entries are no longer in the log.
    SnapshotChunk(SnapshotChunk),
    /// Answers that.
    SnapshotReply(SnapshotReply),
    /// Tells a caught-up follower to stand for election at once, since the leader leaves.
    CampaignNow {
        /// The leader's term.
        term: Term,
    },
}

impl ReplicaMessage {
    /// Whether its sender stands for election.
    pub(crate) const fn asks_for_vote(&self) -> bool {
        matches!(self, Self::PreVoteRequest(_) | Self::VoteRequest(_))
    }
}

/// Asks for a vote, or whether it would be granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// The term that the candidate stands for.
    pub term: Term,
    /// Its last entry.
    pub last_index: LogIndex,
    /// That entry's term.
    pub last_term: Term,
    /// Whether the leader itself asked for the election.
    pub transfer: bool,
}

/// Answers a vote request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteReply {
    /// For a grant the term that was asked for, else the receiver's own term.
    pub term: Term,
    /// Whether the vote is granted.
    pub granted: bool,
}

/// Entries that follow a place both sides must agree on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendRequest {
    /// The leader's term.
    pub term: Term,
    /// The place before the entries.
    pub prev_index: LogIndex,
    /// The term at that place.
    pub prev_term: Term,
    /// What the leader knows to be committed.
    pub commit: LogIndex,
    /// Numbers the leader's rounds, so that a reply proves when it was still obeyed.
    pub round: u64,
    /// The entries.
    pub entries: Vec<Arc<LogEntry>>,
}

/// Answers an append request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// The receiver's term.
    pub term: Term,
    /// The round answered.
    pub round: u64,
    /// What became of it.
    pub outcome: AppendOutcome,
}

/// What became of an append request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The log agrees with the leader's up to here, on disk.
    Stored {
        /// The last entry that agrees.
        upto: LogIndex,
    },
    /// The receiver lacks the place before the entries.
    Missing {
        /// The place that was asked for.
        prev: LogIndex,
        /// Where the leader should try next.
        hint: LogIndex,
    },
    /// The sender's term is over.
    StaleTerm,
}

/// A part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The leader's term.
    pub term: Term,
    /// The leader's round.
    pub round: u64,
    /// Which snapshot.
    pub place: SnapshotPlace,
    /// Where this part begins.
    pub offset: u64,
    /// Size of the whole.
    pub total: u64,
    /// The part.
    pub bytes: Bytes,
}

/// Answers a part of a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotReply {
    /// The receiver's term.
    pub term: Term,
    /// The round answered.
    pub round: u64,
    /// Which snapshot.
    pub index: LogIndex,
    /// How much of it the receiver has.
    pub received: u64,
    /// Whether it is whole and on disk.
    pub installed: bool,
}
