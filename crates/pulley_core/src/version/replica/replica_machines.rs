//! The state machines that every replica runs on the shared log.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{
    ChangeAnswer, ConfigurationMachine, DepartureMachine, EvacuationMachine, LedgerMachine,
    LedgerOutcome, LogCommand, LogEntry, ReplicaMembership, ReplicaSnapshot, SnapshotPosition,
    ZoneAnswer,
};

/// The outcome of an applied entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MachineOutcome {
    /// No outcome to report.
    Nothing,
    /// A change of the configuration was decided.
    Change(ChangeAnswer),
    /// The ledger applied a command.
    Ledger(LedgerOutcome),
    /// The membership was replaced by this one.
    Members(ReplicaMembership),
    /// An order for a zone was decided.
    Zone(ZoneAnswer),
}

/// The state machines that every replica runs on the shared log.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ReplicaMachines {
    /// The configuration and its audit trail.
    pub configuration: ConfigurationMachine,
    /// The at-most-once ledger.
    pub ledger: LedgerMachine,
    /// The upstreams that have left.
    pub departures: DepartureMachine,
    /// The zones that operators have evacuated.
    pub evacuations: EvacuationMachine,
}

impl ReplicaMachines {
    /// Restores the machines from a snapshot, which may predate departures and evacuations.
    ///
    /// # Errors
    /// If the state was written neither by this release nor by the previous one.
    pub fn restore(snapshot: &ReplicaSnapshot) -> postcard::Result<Self> {
        let (configuration, rest) = postcard::take_from_bytes(&snapshot.state)?;
        let (ledger, rest) = postcard::take_from_bytes(rest)?;
        let (departures, rest) = match rest {
            [] => (DepartureMachine::default(), rest),
            rest => postcard::take_from_bytes(rest)?,
        };
        let evacuations = match rest {
            [] => EvacuationMachine::default(),
            rest => postcard::from_bytes(rest)?,
        };
        Ok(Self { configuration, ledger, departures, evacuations })
    }

    /// Makes a snapshot of the machines.
    ///
    /// # Errors
    /// If the state cannot be encoded.
    pub fn snapshot(&self, position: SnapshotPosition) -> postcard::Result<Arc<ReplicaSnapshot>> {
        let state = Bytes::from(postcard::to_allocvec(self)?);
        Ok(Arc::new(ReplicaSnapshot { position, state }))
    }

    /// Applies a committed entry.
    pub fn apply(&mut self, entry: &LogEntry) -> MachineOutcome {
        match &entry.command {
            LogCommand::Blank => MachineOutcome::Nothing,
            LogCommand::Members { members, actor, unix_ms, description } => {
                self.configuration.record_member_change(entry.index, *unix_ms, actor, description);
                MachineOutcome::Members(members.clone())
            }
            LogCommand::Change(change) => {
                MachineOutcome::Change(self.configuration.apply(entry.index, change))
            }
            LogCommand::Ledger(command) => {
                MachineOutcome::Ledger(self.ledger.apply(entry.index, entry.time, command))
            }
            LogCommand::Departure(start) => {
                self.departures.apply(entry.index, start);
                MachineOutcome::Nothing
            }
            LogCommand::Zone(order) => {
                let answer = self.evacuations.apply(entry.index, order);
                self.configuration.record_zone_order(entry.index, order, &answer);
                MachineOutcome::Zone(answer)
            }
        }
    }
}
