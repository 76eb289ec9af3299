//! Holds messages back until the writes they depend on are on disk.

use std::collections::VecDeque;
use std::sync::Arc;

use super::{
    AuditChunk, LogEntry, LogIndex, PersistBatch, PersistTicket, ReplicaMessage, ReplicaSnapshot,
    Term, VoteRecord,
};
use crate::process::{MemberId, Moment};

/// Maximum number of writes in progress. While two are in progress, further entries collect in the
/// next batch, so that under load one sync carries many entries and the storage queue stays short.
const PENDING_WRITE_LIMIT: usize = 2;

/// A message that waits for a write.
pub(crate) type HeldMessage = (MemberId, ReplicaMessage);

/// A write that has not completed.
#[derive(Debug)]
struct PendingWrite {
    ticket: PersistTicket,
    last: (LogIndex, Term),
    has_vote: bool,
    started: Moment,
    held: Vec<HeldMessage>,
}

/// Collects the next write and holds the messages that depend on it.
///
/// Otherwise a replica that loses power after it has granted a vote or acknowledged an entry, but
/// before the write, would restart without it. This could lead to two leaders in one term or a lost
/// change. A message that depends on a write is therefore sent only after that write has been
/// synced.
#[derive(Debug, Default)]
pub(crate) struct PersistGate {
    last_ticket: PersistTicket,
    next_batch: PersistBatch,
    next_held: Vec<HeldMessage>,
    pending_writes: VecDeque<PendingWrite>,
}

impl PersistGate {
    pub(crate) fn queue_vote(&mut self, vote: VoteRecord) {
        self.next_batch.vote = Some(vote);
    }

    pub(crate) fn queue_member(&mut self, member: MemberId) {
        self.next_batch.member = Some(member);
    }

    pub(crate) fn queue_entry(&mut self, entry: Arc<LogEntry>) {
        self.next_batch.entries.push(entry);
    }

    pub(crate) fn queue_truncation(&mut self, index: LogIndex) {
        self.next_batch.entries.retain(|entry| entry.index < index);
        let truncation = self.next_batch.truncate_from.map_or(index, |earlier| earlier.min(index));
        self.next_batch.truncate_from = Some(truncation);
    }

    pub(crate) fn queue_chunk(&mut self, chunk: Arc<AuditChunk>) {
        self.next_batch.audit.push(chunk);
    }

    pub(crate) fn queue_snapshot(&mut self, snapshot: Arc<ReplicaSnapshot>) {
        self.next_batch.snapshot = Some(snapshot);
    }

    /// Holds a message until everything queued so far is written. Returns the message immediately
    /// if no write is pending.
    pub(crate) fn hold(&mut self, message: HeldMessage) -> Option<HeldMessage> {
        if !self.next_batch.is_empty() {
            self.next_held.push(message);
            return None;
        }
        let Some(write) = self.pending_writes.back_mut() else { return Some(message) };
        write.held.push(message);
        None
    }

    /// Whether a vote or a new term is not on disk yet.
    pub(crate) fn has_pending_vote(&self) -> bool {
        self.next_batch.vote.is_some() || self.pending_writes.iter().any(|write| write.has_vote)
    }

    /// Returns when the oldest incomplete write was started.
    pub(crate) fn oldest_write_started(&self) -> Option<Moment> {
        self.pending_writes.front().map(|write| write.started)
    }

    /// Returns the next write, if there is anything to write and fewer than the maximum are in
    /// progress.
    pub(crate) fn take_batch(
        &mut self,
        now: Moment,
        last: (LogIndex, Term),
    ) -> Option<PersistBatch> {
        if self.next_batch.is_empty() || self.pending_writes.len() >= PENDING_WRITE_LIMIT {
            return None;
        }
        self.last_ticket = self.last_ticket.next();
        let mut batch = std::mem::take(&mut self.next_batch);
        batch.ticket = self.last_ticket;
        self.pending_writes.push_back(PendingWrite {
            ticket: batch.ticket,
            last,
            has_vote: batch.vote.is_some(),
            started: now,
            held: std::mem::take(&mut self.next_held),
        });
        Some(batch)
    }

    /// Completes all writes up to `ticket`. Returns the last entry that is then on disk and the
    /// messages released.
    pub(crate) fn persisted(
        &mut self,
        ticket: PersistTicket,
    ) -> (Option<(LogIndex, Term)>, Vec<HeldMessage>) {
        let mut last = None;
        let mut released = Vec::new();
        while self.pending_writes.front().is_some_and(|write| write.ticket <= ticket) {
            let Some(write) = self.pending_writes.pop_front() else { break };
            last = Some(write.last);
            released.extend(write.held);
        }
        (last, released)
    }
}
