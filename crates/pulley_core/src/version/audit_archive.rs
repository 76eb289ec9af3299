//! Keeps track of which chunks of the audit trail are on this disk, fetches missing ones and reads
//! stored ones.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{
    AUDIT_CHUNK, AuditChunk, AuditFilter, AuditRecord, DriverOutput, PeerMessage, ReplicaAnswer,
    ReplicaDriver, ReplicaRefusal,
};
use crate::process::{HostId, Moment};

/// The interval at which a replica requests missing chunks from others, one at a time. One 80 KB
/// chunk per interval stays within the bandwidth budget of control traffic.
const FETCH_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum number of reads in progress. Each serves a question or another replica's fetch.
const READ_LIMIT: usize = 64;

/// Messages between replicas about chunks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AuditMessage {
    /// Requests a chunk.
    Fetch {
        /// Number of the chunk.
        number: u64,
    },
    /// Delivers a chunk.
    Chunk(AuditChunk),
}

/// A request to read chunks from the local disk, outside the control thread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuditRead {
    /// Number of this read, to be returned with its result.
    pub id: u64,
    /// Chunk numbers, in the order in which to read them.
    pub chunks: Vec<u64>,
    /// Selects the records.
    pub filter: AuditFilter,
    /// Maximum number of records.
    pub limit: usize,
}

/// Who a read is for.
#[derive(Debug)]
enum ReadPurpose {
    Question { token: u64, found: Vec<AuditRecord> },
    Fetch { to: HostId, number: u64 },
}

/// The driver's record of stored chunks and of reads in progress.
#[derive(Debug, Default)]
pub(crate) struct AuditArchive {
    held: BTreeSet<u64>,
    reads: BTreeMap<u64, ReadPurpose>,
    next_read: u64,
    next_fetch: Moment,
    /// Counter that picks the next member to fetch from.
    next_member: usize,
}

impl AuditArchive {
    pub(crate) fn new(held: &[u64]) -> Self {
        Self { held: held.iter().copied().collect(), ..Self::default() }
    }
}

impl ReplicaDriver {
    /// Passes newly sealed chunks to the storage.
    pub(crate) fn write_chunks(&mut self) {
        for chunk in self.machines.configuration.take_unwritten_chunks() {
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
        let chunks: Vec<u64> = (0..trail.sealed_chunks()).rev().collect();
        let is_complete = chunks.iter().all(|number| self.archive.held.contains(number));
        // An answer with a gap must not look complete.
        if !is_complete {
            self.push_answer(token, ReplicaAnswer::Refused(ReplicaRefusal::AuditIncomplete));
            return;
        }
        let limit = filter.answer_limit() - found.len();
        let purpose = ReadPurpose::Question { token, found };
        if !self.start_audit_read(purpose, chunks, filter.clone(), limit) {
            self.push_answer(token, ReplicaAnswer::Refused(ReplicaRefusal::Busy));
        }
    }

    /// Handles the result of a read; `None` means that a chunk could not be read.
    pub(crate) fn finish_audit_read(&mut self, id: u64, records: Option<Vec<AuditRecord>>) {
        let Some(purpose) = self.archive.reads.remove(&id) else { return };
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
                // Allows the chunk to be fetched from another replica again.
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
                    self.start_audit_read(purpose, vec![number], filter, AUDIT_CHUNK);
                }
            }
            AuditMessage::Chunk(chunk) => self.store_chunk(chunk),
        }
    }

    /// Requests the oldest missing chunk, from the other members in round-robin order.
    pub(crate) fn fetch_chunk(&mut self, now: Moment) {
        if now < self.archive.next_fetch {
            return;
        }
        self.archive.next_fetch = now + FETCH_INTERVAL;
        let sealed_chunks = self.machines.configuration.audit_trail().sealed_chunks();
        let missing = (0..sealed_chunks).find(|number| !self.archive.held.contains(number));
        let Some(number) = missing else { return };
        let own = &self.identity.host;
        let members = &self.node.members().members;
        let others: Vec<HostId> =
            members.iter().map(|m| m.host.clone()).filter(|host| host != own).collect();
        if others.is_empty() {
            return;
        }
        self.archive.next_member += 1;
        let to = others[self.archive.next_member % others.len()].clone();
        self.send_audit(to, AuditMessage::Fetch { number });
    }

    fn store_chunk(&mut self, chunk: AuditChunk) {
        let sealed_chunks = self.machines.configuration.audit_trail().sealed_chunks();
        let is_valid = chunk.number < sealed_chunks && chunk.records.len() == AUDIT_CHUNK;
        if is_valid && self.archive.held.insert(chunk.number) {
            self.node.archive(chunk.into());
        }
    }

    fn start_audit_read(
        &mut self,
        purpose: ReadPurpose,
        chunks: Vec<u64>,
        filter: AuditFilter,
        limit: usize,
    ) -> bool {
        // Load: many questions about old records at once. Each question may scan years of chunks;
        // reads beyond the limit would only queue for the disk.
        if self.archive.reads.len() >= READ_LIMIT {
            return false;
        }
        self.archive.next_read += 1;
        let id = self.archive.next_read;
        self.archive.reads.insert(id, purpose);
        let audit_read = AuditRead { id, chunks, filter, limit };
        self.outputs.push(DriverOutput::ReadAudit(audit_read));
        true
    }

    fn send_audit(&mut self, to: HostId, message: AuditMessage) {
        let Ok(body) = postcard::to_allocvec(&PeerMessage::Audit(message)) else { return };
        self.outputs.push(DriverOutput::Send { to, body: Bytes::from(body) });
    }
}
