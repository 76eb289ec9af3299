//! The entries a replica holds in memory: those after its newest snapshot.

use std::collections::VecDeque;
use std::sync::Arc;

use super::{
    LogCommand, LogEntry, LogIndex, LogTime, RecoveredState, ReplicaMembership, SnapshotPosition,
    Term,
};

/// The entries after the newest snapshot, and the memberships among them.
#[derive(Clone, Debug)]
pub(crate) struct ReplicaLog {
    base: SnapshotPosition,
    entries: VecDeque<Arc<LogEntry>>,
    memberships: Vec<(LogIndex, ReplicaMembership)>,
    estimated_bytes: usize,
}

impl ReplicaLog {
    pub(crate) fn recover(recovered: &RecoveredState, founders: ReplicaMembership) -> Self {
        let base = recovered.snapshot.as_ref().map_or_else(
            || SnapshotPosition { members: founders, ..SnapshotPosition::default() },
            |snapshot| snapshot.position.clone(),
        );
        let mut log =
            Self { base, entries: VecDeque::new(), memberships: Vec::new(), estimated_bytes: 0 };
        for entry in &recovered.entries {
            if entry.index > log.base.index {
                log.append(entry.clone());
            }
        }
        log
    }

    pub(crate) fn append(&mut self, entry: Arc<LogEntry>) {
        debug_assert_eq!(entry.index, self.last_index().next(), "entries are consecutive");
        self.estimated_bytes += entry.estimated_bytes();
        if let LogCommand::Members { members, .. } = &entry.command {
            self.memberships.push((entry.index, members.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Drops the entries from `index` on.
    pub(crate) fn truncate_from(&mut self, index: LogIndex) {
        while self.last_index() >= index {
            let Some(entry) = self.entries.pop_back() else { break };
            self.estimated_bytes -= entry.estimated_bytes();
        }
        self.memberships.retain(|(at, _)| *at < index);
    }

    /// Drops the oldest entries up to `upto`, but keeps about `keep` bytes of the newest, so that a
    /// follower that is only slightly behind needs no snapshot.
    pub(crate) fn compact(&mut self, upto: LogIndex, keep: usize) {
        let mut new_base = None;
        while let Some(entry) = self.entries.front() {
            if entry.index > upto || self.estimated_bytes <= keep {
                break;
            }
            let (index, term, time) = (entry.index, entry.term, entry.time);
            self.estimated_bytes -= entry.estimated_bytes();
            self.entries.pop_front();
            new_base = Some((index, term, time));
        }
        let Some((index, term, time)) = new_base else { return };
        let members = self.members_at(index).clone();
        self.memberships.retain(|(at, _)| *at > index);
        self.base = SnapshotPosition { index, term, time, members };
    }

    /// Replaces the whole log by a snapshot from the leader.
    pub(crate) fn reset(&mut self, position: SnapshotPosition) {
        self.entries.clear();
        self.memberships.clear();
        self.estimated_bytes = 0;
        self.base = position;
    }

    pub(crate) fn base(&self) -> &SnapshotPosition {
        &self.base
    }

    pub(crate) fn last_index(&self) -> LogIndex {
        self.entries.back().map_or(self.base.index, |entry| entry.index)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base.term, |entry| entry.term)
    }

    pub(crate) fn last_time(&self) -> LogTime {
        self.entries.back().map_or(self.base.time, |entry| entry.time)
    }

    /// Returns the estimated size of the held entries, in bytes.
    pub(crate) fn estimated_bytes(&self) -> usize {
        self.estimated_bytes
    }

    /// Returns the entry at an index, if it is held.
    pub(crate) fn entry(&self, index: LogIndex) -> Option<&Arc<LogEntry>> {
        let offset = index.0.checked_sub(self.base.index.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the term at an index, if it is known.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// Returns the entries from an index on, up to about `bytes` bytes, but at least one if there
    /// is one.
    pub(crate) fn slice(&self, from: LogIndex, bytes: usize) -> Vec<Arc<LogEntry>> {
        let mut taken = Vec::new();
        let mut estimated_bytes = 0;
        let mut index = from;
        while let Some(entry) = self.entry(index) {
            estimated_bytes += entry.estimated_bytes();
            if estimated_bytes > bytes && !taken.is_empty() {
                break;
            }
            taken.push(entry.clone());
            index = index.next();
        }
        taken
    }

    /// Returns the membership in effect: the last one appended, committed or not.
    pub(crate) fn members(&self) -> &ReplicaMembership {
        self.memberships.last().map_or(&self.base.members, |(_, members)| members)
    }

    /// Returns the index at which that membership was appended.
    pub(crate) fn members_index(&self) -> LogIndex {
        self.memberships.last().map_or(self.base.index, |(index, _)| *index)
    }

    /// Returns the membership as of an index.
    pub(crate) fn members_at(&self, index: LogIndex) -> &ReplicaMembership {
        self.memberships
            .iter()
            .rev()
            .find(|(at, _)| *at <= index)
            .map_or(&self.base.members, |(_, members)| members)
    }
}
