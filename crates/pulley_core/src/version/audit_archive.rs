//! The audit trail's chunks on the replicas' disks: who has which, and what is read from them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{
    AUDIT_CHUNK, AuditChunk, AuditFilter, AuditRecord, DriverOutput, PeerMessage, ReplicaAnswer,
    ReplicaDriver, ReplicaRefusal,
};
use crate::process::{HostId, Moment};

/// How often a replica asks another for a chunk that it lacks; one of 80 KB in this time stays
/// within the bytes that control may cost.
const FETCH_INTERVAL: Duration = Duration::from_secs(5);

/// How many reads may be under way; each holds a question or another replica's wish.
const READ_LIMIT: usize = 64;

/// What replicas say to each other of chunks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AuditMessage {
    /// Asks for a chunk.
    Fetch {
        /// Its number.
        number: u64,
    },
    /// Brings it.
    Chunk(AuditChunk),
}

/// A read of chunks from the own disk, off the control thread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuditRead {
    /// Numbers the read.
    pub read: u64,
    /// The chunks, in the order in which they are to be read.
    pub chunks: Vec<u64>,
    /// Which records are wanted.
    pub filter: AuditFilter,
    /// How many at most.
    pub limit: usize,
}

/// What a read is for.
#[derive(Debug)]
enum ReadPurpose {
    Question { token: u64, found: Vec<AuditRecord> },
    Fetch { to: HostId, number: u64 },
}

/// What a driver knows of the chunks.
#[derive(Debug, Default)]
pub(crate) struct AuditArchive {
    held: BTreeSet<u64>,
    reads: BTreeMap<u64, ReadPurpose>,
    next_read: u64,
    next_fetch: Moment,
    /// Which member is asked next.
    turn: usize,
}

impl AuditArchive {
    pub(crate) fn new(held: &[u64]) -> Self {
        Self { held: held.iter().copied().collect(), ..Self::default() }
    }
}

impl ReplicaDriver {
    /// Hands chunks that have come about to the storage.
    pub(crate) fn write_chunks(&mut self) {
        for chunk in self.machines.configuration.take_unwritten() {
            if self.archive.held.insert(chunk.number) {
                self.node.archive(chunk);
            }
        }
    }

    /// Answers a question about the audit trail, from memory or from disk.
    pub(crate) fn answer_audit(&mut self, token: u64, filter: &AuditFilter) {
        let trail = self.machines.configuration.audit_trail();
        let found = trail.recent(filter);
        if !trail.needs_chunks(filter, found.len()) {
            self.push_answer(token, ReplicaAnswer::Audit(found));
            return;
        }
        let chunks: Vec<u64> = (0..trail.sealed()).rev().collect();
        let whole = chunks.iter().all(|number| self.archive.held.contains(number));
        // A trail with a gap must not pass for a whole one.
        if !whole {
            self.push_answer(token, ReplicaAnswer::Refused(ReplicaRefusal::AuditIncomplete));
            return;
        }
        let limit = filter.answer_limit() - found.len();
        let purpose = ReadPurpose::Question { token, found };
        if !self.begin_audit_read(purpose, chunks, filter.clone(), limit) {
            self.push_answer(token, ReplicaAnswer::Refused(ReplicaRefusal::Busy));
        }
    }

    /// Takes what a read has found; `None` if a chunk could not be read.
    pub(crate) fn finish_audit_read(&mut self, read: u64, records: Option<Vec<AuditRecord>>) {
        let Some(purpose) = self.archive.reads.remove(&read) else { return };
        match (purpose, records) {
            (ReadPurpose::Question { token, mut found }, Some(records)) => {
                found.extend(records);
                self.push_answer(token, ReplicaAnswer::Audit(found));
            }
            (ReadPurpose::Question { token, .. }, None) => {
                let refusal = ReplicaRefusal::AuditIncomplete;
                self.push_answer(token, ReplicaAnswer::Refused(refusal));
            }
            (ReadPurpose::Fetch { to, number }, Some(mut records)) => {
                records.reverse();
                self.send_audit(to, AuditMessage::Chunk(AuditChunk { number, records }));
            }
            (ReadPurpose::Fetch { number, .. }, None) => {
                // It can be copied from another replica again.
                self.archive.held.remove(&number);
            }
        }
    }

    pub(crate) fn receive_audit(&mut self, from: &HostId, message: AuditMessage) {
        if self.node.members().find_host(from).is_none() {
            return;
        }
        match message {
            AuditMessage::Fetch { number } => {
                if self.archive.held.contains(&number) {
                    let purpose = ReadPurpose::Fetch { to: from.clone(), number };
                    let filter = AuditFilter::default();
                    self.begin_audit_read(purpose, vec![number], filter, AUDIT_CHUNK);
                }
            }
            AuditMessage::Chunk(chunk) => self.take_chunk(chunk),
        }
    }

    /// Asks the members by turns for the oldest chunk that is lacking here.
    pub(crate) fn fetch_chunk(&mut self, now: Moment) {
        if now < self.archive.next_fetch {
            return;
        }
        self.archive.next_fetch = now + FETCH_INTERVAL;
        let sealed = self.machines.configuration.audit_trail().sealed();
        let lacking = (0..sealed).find(|number| !self.archive.held.contains(number));
        let Some(number) = lacking else { return };
        let own = &self.identity.host;
        let members = &self.node.members().members;
        let others: Vec<HostId> =
            members.iter().map(|m| m.host.clone()).filter(|host| host != own).collect();
        if others.is_empty() {
            return;
        }
        self.archive.turn += 1;
        let to = others[self.archive.turn % others.len()].clone();
        self.send_audit(to, AuditMessage::Fetch { number });
    }

    fn take_chunk(&mut self, chunk: AuditChunk) {
        let sealed = self.machines.configuration.audit_trail().sealed();
        let fits = chunk.number < sealed && chunk.records.len() == AUDIT_CHUNK;
        if fits && self.archive.held.insert(chunk.number) {
            self.node.archive(chunk.into());
        }
    }

    fn begin_audit_read(
        &mut self,
        purpose: ReadPurpose,
        chunks: Vec<u64>,
        filter: AuditFilter,
        limit: usize,
    ) -> bool {
        // Load: many questions about old records at once. Each read may go through years of
        // chunks; beyond the limit they would only queue up behind the disk.
        if self.archive.reads.len() >= READ_LIMIT {
            return false;
        }
        self.archive.next_read += 1;
        let read = self.archive.next_read;
        self.archive.reads.insert(read, purpose);
        let wanted = AuditRead { read, chunks, filter, limit };
        self.outputs.push(DriverOutput::ReadAudit(wanted));
        true
    }

    fn send_audit(&mut self, to: HostId, message: AuditMessage) {
        let Ok(body) = postcard::to_allocvec(&PeerMessage::Audit(message)) else { return };
        self.outputs.push(DriverOutput::Send { to, body: Bytes::from(body) });
    }
}
