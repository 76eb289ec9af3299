//! The audit trail: the newest records in memory, all older ones in chunks on disk.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{AuditFilter, AuditRecord};

/// How many records stay in memory and in snapshots: a day's worth at 2,100 changes a day.
pub const AUDIT_KEPT: usize = 2_048;

/// How many records make a chunk, some 80 KB: a message between replicas holds one.
pub const AUDIT_CHUNK: usize = 256;

/// How many audit records an answer holds at most, so that it fits a message.
pub const AUDIT_ANSWER_LIMIT: usize = 2_000;

/// How far the times of neighbouring records may be out of order, in milliseconds: they come from
/// the clocks of the hosts that received the changes.
const CLOCK_SLACK_MS: u64 = 600_000;

/// Records that no longer change, numbered from 0 in the order of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditChunk {
    /// Its number.
    pub number: u64,
    /// Its records, the oldest first.
    pub records: Vec<AuditRecord>,
}

/// The audit trail as every replica's state machine has it.
///
/// Two years of 2,100 changes a day are 1.5 million records, several times the memory a host may
/// use. Which records go into which chunk follows from the log alone, so every replica writes the
/// same chunks, and one that lacks some can copy them from any other.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct AuditTrail {
    recent: VecDeque<AuditRecord>,
    sealed: u64,
    /// Chunks that are to be written; not part of the state.
    #[serde(skip)]
    unwritten: Vec<Arc<AuditChunk>>,
}

impl AuditTrail {
    /// Adds a record; the oldest ones make a chunk once too many are in memory.
    pub fn push(&mut self, record: AuditRecord) {
        self.recent.push_back(record);
        if self.recent.len() < AUDIT_KEPT + AUDIT_CHUNK {
            return;
        }
        let records = self.recent.drain(..AUDIT_CHUNK).collect();
        self.unwritten.push(Arc::new(AuditChunk { number: self.sealed, records }));
        self.sealed += 1;
    }

    /// Takes the chunks that have come about and are to be written.
    pub fn take_unwritten(&mut self) -> Vec<Arc<AuditChunk>> {
        std::mem::take(&mut self.unwritten)
    }

    /// How many chunks there are.
    #[must_use]
    pub fn sealed(&self) -> u64 {
        self.sealed
    }

    /// The records in memory that match, the newest first.
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

    /// Whether chunks may hold more of what a filter wants, when `found` records were in memory.
    #[must_use]
    pub fn needs_chunks(&self, filter: &AuditFilter, found: usize) -> bool {
        let oldest = self.recent.front().map_or(0, |record| record.unix_ms);
        self.sealed > 0 && found < filter.answer_limit() && !filter.begins_after(oldest)
    }
}

impl AuditFilter {
    /// Whether a record is wanted.
    #[must_use]
    pub fn matches(&self, record: &AuditRecord) -> bool {
        self.since_unix_ms.is_none_or(|since| record.unix_ms >= since)
            && self.until_unix_ms.is_none_or(|until| record.unix_ms <= until)
            && self.actor.as_ref().is_none_or(|actor| record.actor == *actor)
            && self.change_id.as_ref().is_none_or(|id| record.change_id == *id)
            && self.outcome.as_ref().is_none_or(|outcome| record.outcome == *outcome)
    }

    /// How many records an answer holds at most.
    #[must_use]
    pub fn answer_limit(&self) -> usize {
        match self.limit {
            0 => AUDIT_ANSWER_LIMIT,
            limit => (limit as usize).min(AUDIT_ANSWER_LIMIT),
        }
    }

    /// Whether nothing is wanted from records about as old as one of this time, or older.
    #[must_use]
    pub fn begins_after(&self, unix_ms: u64) -> bool {
        self.since_unix_ms.is_some_and(|since| since > unix_ms.saturating_add(CLOCK_SLACK_MS))
    }
}
