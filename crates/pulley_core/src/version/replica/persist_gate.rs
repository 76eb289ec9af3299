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
const FLIGHT_LIMIT: usize = 2;

/// A message that waits for a write.
pub(crate) type HeldMessage = (MemberId, ReplicaMessage);

/// A write that has not completed.
#[derive(Debug)]
struct WriteFlight {
    ticket: PersistTicket,
    last: (LogIndex, Term),
    has_vote: bool,
    begun: Moment,
    held: Vec<HeldMessage>,
}

/// Collects the next write and holds the messages that depend on it.
///
/// A replica that grants a vote or acknowledges an entry and loses power before the write restarts
/// without it. Two leaders in one term or a lost change follow. A message that depends on a write
/// is therefore sent only after that write has been synced.
#[derive(Debug, Default)]
pub(crate) struct PersistGate {
    last_ticket: PersistTicket,
    building: PersistBatch,
    building_held: Vec<HeldMessage>,
    flights: VecDeque<WriteFlight>,
}

impl PersistGate {
    pub(crate) fn note_vote(&mut self, vote: VoteRecord) {
        self.building.vote = Some(vote);
    }

    pub(crate) fn note_member(&mut self, member: MemberId) {
        self.building.member = Some(member);
    }

    pub(crate) fn note_entry(&mut self, entry: Arc<LogEntry>) {
        self.building.entries.push(entry);
    }

    pub(crate) fn note_cut(&mut self, index: LogIndex) {
        self.building.entries.retain(|entry| entry.index < index);
        let cut = self.building.cut_from.map_or(index, |earlier| earlier.min(index));
        self.building.cut_from = Some(cut);
    }

    pub(crate) fn note_chunk(&mut self, chunk: Arc<AuditChunk>) {
        self.building.audit.push(chunk);
    }

    pub(crate) fn note_snapshot(&mut self, snapshot: Arc<ReplicaSnapshot>) {
        self.building.snapshot = Some(snapshot);
    }

    /// Holds a message until everything queued so far is written. Returns it at once if nothing is
    /// pending.
    pub(crate) fn hold(&mut self, message: HeldMessage) -> Option<HeldMessage> {
        if !self.building.is_empty() {
            self.building_held.push(message);
            return None;
        }
        let Some(flight) = self.flights.back_mut() else { return Some(message) };
        flight.held.push(message);
        None
    }

    /// Whether a vote or a new term is not on disk yet.
    pub(crate) fn vote_pending(&self) -> bool {
        self.building.vote.is_some() || self.flights.iter().any(|flight| flight.has_vote)
    }

    /// Returns when the oldest incomplete write was started.
    pub(crate) fn oldest_write(&self) -> Option<Moment> {
        self.flights.front().map(|flight| flight.begun)
    }

    /// Returns the next write, if there is anything to write and fewer than the maximum are in
    /// progress.
    pub(crate) fn take_batch(
        &mut self,
        now: Moment,
        last: (LogIndex, Term),
    ) -> Option<PersistBatch> {
        if self.building.is_empty() || self.flights.len() >= FLIGHT_LIMIT {
            return None;
        }
        self.last_ticket = self.last_ticket.next();
        let mut batch = std::mem::take(&mut self.building);
        batch.ticket = self.last_ticket;
        self.flights.push_back(WriteFlight {
            ticket: batch.ticket,
            last,
            has_vote: batch.vote.is_some(),
            begun: now,
            held: std::mem::take(&mut self.building_held),
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
        let mut free = Vec::new();
        while self.flights.front().is_some_and(|flight| flight.ticket <= ticket) {
            let Some(flight) = self.flights.pop_front() else { break };
            last = Some(flight.last);
            free.extend(flight.held);
        }
        (last, free)
    }
}
