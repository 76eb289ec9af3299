//! Writes that a replica hands to its storage, and the state recovered after a restart.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{
    AuditChunk, DiskId, LogEntry, LogIndex, LogTime, PersistTicket, ReplicaMembership, Term,
};
use crate::process::MemberId;

/// Election state that a replica must keep on disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRecord {
    /// The highest term it has taken part in.
    pub term: Term,
    /// The member it voted for in that term.
    pub voted_for: Option<MemberId>,
}

/// The position of a snapshot in the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPosition {
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
    /// Its position in the log.
    pub position: SnapshotPosition,
    /// The encoded state.
    pub state: Bytes,
}

/// One write. All its parts become durable together. Writes become durable in the order of their
/// tickets.
///
/// Written in this order: the snapshot, the truncation, the vote, the entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistBatch {
    /// The number of the write, which is reported when it ends.
    pub ticket: PersistTicket,
    /// The snapshot that replaces all entries it covers.
    pub snapshot: Option<Arc<ReplicaSnapshot>>,
    /// The first index that is no longer part of the log; entries from there on are dropped.
    pub truncate_from: Option<LogIndex>,
    /// The election state, if it has changed.
    pub vote: Option<VoteRecord>,
    /// The member id to record for this disk, if it is new.
    pub member: Option<MemberId>,
    /// The founding membership that this disk has agreed to; it never agrees to another.
    pub promise: Option<ReplicaMembership>,
    /// Old audit records; written before the snapshot, which no longer holds them.
    pub audit: Vec<Arc<AuditChunk>>,
    /// Entries to append to the log.
    pub entries: Vec<Arc<LogEntry>>,
}

impl PersistBatch {
    /// Whether there is nothing to write.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.snapshot.is_none()
            && self.truncate_from.is_none()
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
