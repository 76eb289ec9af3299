//! What a replica asks its storage to write, and what it gets back after a restart.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{
    AuditChunk, DiskId, LogEntry, LogIndex, LogTime, PersistTicket, ReplicaMembership, Term,
};
use crate::process::MemberId;

/// What a replica must never forget about elections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRecord {
    /// The highest term it has taken part in.
    pub term: Term,
    /// Whom it voted for in that term.
    pub voted_for: Option<MemberId>,
}

/// Where a snapshot stands in the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPlace {
    /// The last entry it covers.
    pub index: LogIndex,
    /// That entry's term.
    pub term: Term,
    /// That entry's log time.
    pub time: LogTime,
    /// The membership as of that entry.
    pub members: ReplicaMembership,
}

/// The state machines' state as of one log index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaSnapshot {
    /// Where it stands.
    pub place: SnapshotPlace,
    /// The encoded state.
    pub state: Bytes,
}

/// One write; its parts are durable together and in the order of tickets.
///
/// Written in this order: the snapshot, the cut, the vote, the entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistBatch {
    /// Numbers the write.
    pub ticket: PersistTicket,
    /// Replaces all entries it covers.
    pub snapshot: Option<Arc<ReplicaSnapshot>>,
    /// Entries from here on are no longer part of the log.
    pub cut_from: Option<LogIndex>,
    /// The election state, if it has changed.
    pub vote: Option<VoteRecord>,
    /// The member id that this disk has from here on.
    pub member: Option<MemberId>,
    /// The founding membership that this disk has agreed to; it never agrees to another.
    pub promise: Option<ReplicaMembership>,
    /// Old audit records; written before the snapshot, which no longer holds them.
    pub audit: Vec<Arc<AuditChunk>>,
    /// Entries that follow what is already there.
    pub entries: Vec<Arc<LogEntry>>,
}

impl PersistBatch {
    /// Whether there is nothing to write.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.snapshot.is_none()
            && self.cut_from.is_none()
            && self.vote.is_none()
            && self.member.is_none()
            && self.promise.is_none()
            && self.audit.is_empty()
            && self.entries.is_empty()
    }
}

/// What storage found when it was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredState {
    /// The disk's own id.
    pub disk: DiskId,
    /// The member id that the disk has been given, if it is not the founding one.
    pub member: Option<MemberId>,
    /// Numbers of the chunks of old audit records it holds.
    pub audit_chunks: Vec<u64>,
    /// The founding membership that the disk has agreed to.
    pub promise: Option<ReplicaMembership>,
    /// The election state.
    pub vote: VoteRecord,
    /// The newest snapshot.
    pub snapshot: Option<Arc<ReplicaSnapshot>>,
    /// The entries after it.
    pub entries: Vec<Arc<LogEntry>>,
}

impl RecoveredState {
    /// Whether the folder held nothing of the log.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.snapshot.is_none() && self.entries.is_empty() && self.vote == VoteRecord::default()
    }
}
