//! The audit trail: the newest records in memory, older ones in chunks on disk.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{AuditFilter, AuditRecord};

/// Number of records kept in memory and in snapshots: about one day at 2,100 changes a day.
pub const AUDIT_KEPT: usize = 2_048;

/// Number of records in a chunk. A chunk is about 80 KB and is sent in one message.
pub const AUDIT_CHUNK: usize = 256;

/// Maximum number of records in an answer, so that it fits into a message.
pub const AUDIT_ANSWER_LIMIT: usize = 2_000;

/// How far the timestamps of neighbouring records may be out of order, in milliseconds. They are
/// taken from the clocks of the hosts that received the changes.
const CLOCK_SLACK_MS: u64 = 600_000;

/// An immutable block of records. Chunks are numbered from 0 in log order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditChunk {
    /// The chunk's number.
    pub number: u64,
    /// The records, oldest first.
    pub records: Vec<AuditRecord>,
}

/// The audit trail in each replica's state machine.
///
/// Two years at 2,100 changes a day are 1.5 million records, several times the memory a host may
/// use, so old records move to disk. The log alone determines which records form a chunk. All
/// replicas therefore write the same chunks, and a missing chunk can be copied from any of them.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct AuditTrail {
    recent: VecDeque<AuditRecord>,
    sealed_chunks: u64,
    /// Chunks still to be written to disk; not part of the replicated state.
    #[serde(skip)]
    unwritten: Vec<Arc<AuditChunk>>,
}

impl AuditTrail {
    /// Adds a record. If the records in memory then exceed [`AUDIT_KEPT`] by a whole chunk, the
    /// oldest ones are sealed into a chunk.
    pub fn push(&mut self, record: AuditRecord) {
        self.recent.push_back(record);
        if self.recent.len() < AUDIT_KEPT + AUDIT_CHUNK {
            return;
        }
        let records = self.recent.drain(..AUDIT_CHUNK).collect();
        self.unwritten.push(Arc::new(AuditChunk { number: self.sealed_chunks, records }));
        self.sealed_chunks += 1;
    }

    /// Takes the sealed chunks that still have to be written.
    pub fn take_unwritten_chunks(&mut self) -> Vec<Arc<AuditChunk>> {
        std::mem::take(&mut self.unwritten)
    }

    /// Returns the number of sealed chunks.
    #[must_use]
    pub fn sealed_chunks(&self) -> u64 {
        self.sealed_chunks
    }

    /// Returns the matching records in memory, newest first.
    #[must_use]
    pub fn recent(&self, filter: &AuditFilter) -> Vec<AuditRecord> {
        self.recent
            .iter()
            .rev()
            .filter(|record| filter.matches(record))
            .take(filter.answer_limit())
            .cloned()
            .collect()
    }

    /// Whether chunks may hold further matches, given that `found` matches were in memory.
    #[must_use]
    pub fn needs_chunks(&self, filter: &AuditFilter, found: usize) -> bool {
        let oldest = self.recent.front().map_or(0, |record| record.unix_ms);
        self.sealed_chunks > 0 && found < filter.answer_limit() && !filter.excludes_up_to(oldest)
    }
}

impl AuditFilter {
    /// Whether a record matches the filter.
    #[must_use]
    pub fn matches(&self, record: &AuditRecord) -> bool {
        self.since_unix_ms.is_none_or(|since| record.unix_ms >= since)
            && self.until_unix_ms.is_none_or(|until| record.unix_ms <= until)
            && self.actor.as_ref().is_none_or(|actor| record.actor == *actor)
            && self.change_id.as_ref().is_none_or(|id| record.change_id == *id)
            && self.outcome.as_ref().is_none_or(|outcome| record.outcome == *outcome)
    }

    /// Returns the maximum number of records in an answer.
    #[must_use]
    pub fn answer_limit(&self) -> usize {
        match self.limit {
            0 => AUDIT_ANSWER_LIMIT,
            limit => (limit as usize).min(AUDIT_ANSWER_LIMIT),
        }
    }

    /// Whether the filter excludes all records up to this time, even if host clocks differ.
    #[must_use]
    pub fn excludes_up_to(&self, unix_ms: u64) -> bool {
        self.since_unix_ms.is_some_and(|since| since > unix_ms.saturating_add(CLOCK_SLACK_MS))
    }
}
