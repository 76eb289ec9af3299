//! Entries of the replicated log.

use serde::{Deserialize, Serialize};

use super::{LedgerCommand, LogIndex, LogTime, ReplicaMembership, StoredChange, Term, ZoneOrder};
use crate::process::{ActorName, UpstreamStart};

/// Overhead in size estimates of log entries, in bytes: added for every entry, and again for each
/// member of a membership and for a zone order.
const ENTRY_OVERHEAD: usize = 48;

/// A command that all replicas apply in the same order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogCommand {
    /// Changes nothing; a new leader commits one to learn what is committed.
    Blank,
    /// Replaces the membership; takes effect as soon as it is appended.
    Members {
        /// The new membership.
        members: ReplicaMembership,
        /// Who asked for it.
        actor: ActorName,
        /// When, in milliseconds of Unix time; for the audit trail only.
        unix_ms: u64,
        /// What was done, for the audit trail.
        description: String,
    },
    /// An operator's change of the configuration.
    Change(Box<StoredChange>),
    /// A command to the at-most-once ledger.
    Ledger(LedgerCommand),
    /// An upstream has left; holds its id and the incarnation that left.
    Departure(UpstreamStart),
    /// An operator's order for a zone.
    Zone(Box<ZoneOrder>),
}

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Its position in the log; the first entry has 1.
    pub index: LogIndex,
    /// The term of the leader that appended it.
    pub term: Term,
    /// The leader's log time when it appended it.
    pub time: LogTime,
    /// The command to apply.
    pub command: LogCommand,
}

impl LogEntry {
    /// Estimates the entry's size in memory and in a message, in bytes.
    #[must_use]
    pub fn estimated_bytes(&self) -> usize {
        ENTRY_OVERHEAD
            + match &self.command {
                LogCommand::Blank => 0,
                LogCommand::Members { members, description, .. } => {
                    members.members.len() * ENTRY_OVERHEAD + description.len()
                }
                LogCommand::Change(change) => change.estimated_bytes(),
                LogCommand::Ledger(command) => command.estimated_bytes(),
                LogCommand::Departure(start) => start.id.as_str().len(),
                LogCommand::Zone(order) => {
                    order.change_id.as_str().len() + order.zone.as_str().len() + ENTRY_OVERHEAD
                }
            }
    }
}
