//! A leader's replication state for one follower.

use std::sync::Arc;

use super::{LogIndex, ReplicaSnapshot, SnapshotReply};
use crate::process::Moment;

/// Maximum number of unanswered messages with entries. Further entries wait and are then sent
/// together, so that a slow follower gets few large messages instead of a queue of small ones.
const IN_FLIGHT_LIMIT: usize = 4;

/// How entries are sent to a follower.
#[derive(Debug)]
pub(crate) enum ProgressState {
    /// The last matching entry is unknown; one message is sent at a time.
    Probing {
        /// Whether a message is unanswered.
        waiting: bool,
    },
    /// The logs match; messages are sent without waiting for replies.
    Replicating {
        /// Number of unanswered messages.
        in_flight: usize,
    },
    /// The entries that the follower needs are no longer held.
    Snapshot {
        /// The snapshot, once the driver has made it.
        snapshot: Option<Arc<ReplicaSnapshot>>,
        /// Number of bytes that the follower has.
        offset: usize,
    },
}

/// A leader's replication state for one follower.
#[derive(Debug)]
pub(crate) struct FollowerProgress {
    /// The next entry to send.
    pub(crate) next_index: LogIndex,
    /// The last entry known to be on the follower's disk and to match the leader's.
    pub(crate) match_index: LogIndex,
    /// How entries are sent to it.
    pub(crate) state: ProgressState,
    /// When it last replied.
    pub(crate) last_reply: Moment,
    /// The highest round among its replies. It confirms the leader's reads up to that round.
    pub(crate) round: u64,
}

impl FollowerProgress {
    pub(crate) fn new(next_index: LogIndex, now: Moment) -> Self {
        let state = ProgressState::Probing { waiting: false };
        Self { next_index, match_index: LogIndex(0), state, last_reply: now, round: 0 }
    }

    pub(crate) fn has_room(&self) -> bool {
        match &self.state {
            ProgressState::Probing { waiting } => !waiting,
            ProgressState::Replicating { in_flight } => *in_flight < IN_FLIGHT_LIMIT,
            ProgressState::Snapshot { .. } => false,
        }
    }

    pub(crate) fn record_sent(&mut self, next_index: LogIndex) {
        match &mut self.state {
            // `next_index` stays, because it is unknown whether the follower accepts the entries.
            ProgressState::Probing { waiting } => *waiting = true,
            ProgressState::Replicating { in_flight } => {
                *in_flight += 1;
                self.next_index = next_index;
            }
            ProgressState::Snapshot { .. } => {}
        }
    }

    pub(crate) fn record_reply(&mut self, now: Moment, round: u64) {
        self.last_reply = self.last_reply.max(now);
        self.round = self.round.max(round);
    }

    pub(crate) fn record_stored(&mut self, upto: LogIndex) {
        self.match_index = self.match_index.max(upto);
        match &mut self.state {
            ProgressState::Probing { .. } => {
                self.next_index = self.match_index.next();
                self.state = ProgressState::Replicating { in_flight: 0 };
            }
            ProgressState::Replicating { in_flight } => {
                *in_flight = in_flight.saturating_sub(1);
                self.next_index = self.next_index.max(self.match_index.next());
                if self.match_index.next() == self.next_index {
                    *in_flight = 0;
                }
            }
            ProgressState::Snapshot { .. } => {}
        }
    }

    pub(crate) fn record_mismatch(&mut self, prev: LogIndex, hint: LogIndex) {
        // A late reply about an index that is already known to match carries no information.
        if prev <= self.match_index || matches!(self.state, ProgressState::Snapshot { .. }) {
            return;
        }
        self.next_index = hint.min(prev.previous()).max(self.match_index).next();
        self.state = ProgressState::Probing { waiting: false };
    }

    /// Sets the snapshot to send, if the follower waits for one. Returns whether it does.
    pub(crate) fn set_snapshot(&mut self, offered: &Arc<ReplicaSnapshot>) -> bool {
        match &mut self.state {
            ProgressState::Snapshot { snapshot, offset } if snapshot.is_none() => {
                *snapshot = Some(offered.clone());
                *offset = 0;
                true
            }
            _ => false,
        }
    }

    /// Records how much of a snapshot has arrived. Returns whether more is to be sent now.
    pub(crate) fn record_snapshot_reply(&mut self, reply: &SnapshotReply) -> bool {
        if reply.installed {
            self.match_index = self.match_index.max(reply.index);
            self.next_index = self.next_index.max(self.match_index.next());
            if matches!(self.state, ProgressState::Snapshot { .. }) {
                self.next_index = self.match_index.next();
                self.state = ProgressState::Replicating { in_flight: 0 };
            }
            return false;
        }
        let ProgressState::Snapshot { snapshot: Some(snapshot), offset } = &mut self.state else {
            return false;
        };
        let Ok(received) = usize::try_from(reply.received) else { return false };
        if reply.index != snapshot.position.index || received == *offset {
            return false;
        }
        *offset = received;
        true
    }
}
