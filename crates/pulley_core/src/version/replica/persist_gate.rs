//! Keeps back what must not be said before it is on disk.

use std::collections::VecDeque;
use std::sync::Arc;

use super::{
    AuditChunk, LogEntry, LogIndex, PersistBatch, PersistTicket, ReplicaMessage, ReplicaSnapshot,
    Term, VoteRecord,
};
use crate::process::{MemberId, Moment};

/// How many writes may be under way. While two are, further entries gather into the next one, so
/// that under load one sync carries many entries and the queue to the storage stays short.
const FLIGHT_LIMIT: usize = 2;

/// A message that waits for a write.
pub(crate) type HeldMessage = (MemberId, ReplicaMessage);

/// A write that has not come back.
#[derive(Debug)]
struct WriteFlight {
    ticket: PersistTicket,
    last: (LogIndex, Term),
    has_vote: bool,
    begun: Moment,
    held: Vec<HeldMessage>,
}

/// Collects what is to be written, and holds the messages that promise it.
///
/// What goes wrong without it: a replica grants a vote or acknowledges an entry, loses power before
/// the write, and comes back without it; two leaders of one term or a lost change follow. So a
/// promise leaves only when the write behind it has been synced.
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

    /// Holds a message until all that was noted so far is written; gives it back if all is.
    pub(crate) fn hold(&mut self, message: HeldMessage) -> Option<HeldMessage> {
        if !self.building.is_empty() {
            self.building_held.push(message);
            return None;
        }
        let Some(flight) = self.flights.back_mut() else { return Some(message) };
        flight.held.push(message);
        None
    }

    /// Whether a vote or a term is not on disk yet.
    pub(crate) fn vote_pending(&self) -> bool {
        self.building.vote.is_some() || self.flights.iter().any(|flight| flight.has_vote)
    }

    /// When the oldest write that has not come back was begun.
    pub(crate) fn oldest_write(&self) -> Option<Moment> {
        self.flights.front().map(|flight| flight.begun)
    }

    /// The next write, if there is something to write and few enough are under way.
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

    /// Takes note of finished writes: the last entry then on disk, and the messages set free.
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
