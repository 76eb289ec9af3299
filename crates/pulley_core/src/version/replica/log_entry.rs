//! What one place of the replicated log holds.

use serde::{Deserialize, Serialize};

use super::{LedgerCommand, LogIndex, LogTime, ReplicaMembership, StoredChange, Term, ZoneOrder};
use crate::process::{ActorName, UpstreamStart};

/// Fixed part of an entry's size estimate, in bytes.
const ENTRY_OVERHEAD: usize = 48;

/// A command that all replicas apply in the same order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogCommand {
    /// Changes nothing; a new leader commits one to learn what is committed.
    Blank,
    /// Replaces the membership; holds from when it is appended.
    Members {
        /// The membership from here on.
        members: ReplicaMembership,
        /// Who asked for it.
        actor: ActorName,
        /// When, in milliseconds of Unix time; for the audit trail only.
        unix_ms: u64,
        /// What was done, for the audit trail.
        what: String,
    },
    /// An operator's change of the configuration.
    Change(Box<StoredChange>),
    /// A command to the at-most-once ledger.
    Ledger(LedgerCommand),
    /// A start of an upstream has left.
    Departure(UpstreamStart),
    /// An operator's order for a zone.
    Zone(Box<ZoneOrder>),
}

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Its place.
    pub index: LogIndex,
    /// The term of the leader that appended it.
    pub term: Term,
    /// The leader's log time when it appended it.
    pub time: LogTime,
    /// What to apply.
    pub command: LogCommand,
}

impl LogEntry {
    /// About how many bytes the entry takes in memory and in a message.
    #[must_use]
    pub fn weight(&self) -> usize {
        ENTRY_OVERHEAD
            + match &self.command {
                LogCommand::Blank => 0,
                LogCommand::Members { members, what, .. } => {
                    members.members.len() * ENTRY_OVERHEAD + what.len()
                }
                LogCommand::Change(change) => change.weight(),
                LogCommand::Ledger(command) => command.weight(),
                LogCommand::Departure(start) => start.id.as_str().len(),
                LogCommand::Zone(order) => {
                    order.change_id.as_str().len() + order.zone.as_str().len() + ENTRY_OVERHEAD
                }
            }
    }
}
