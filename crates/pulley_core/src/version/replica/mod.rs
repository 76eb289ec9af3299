//! The replicated log: elections, replication, membership, founding, and the driver of a replica.

mod cluster_founding;
mod driver_founding;
mod driver_message;
mod driver_question;
mod follower_progress;
mod founding_message;
mod log_entry;
mod persist_batch;
mod persist_gate;
mod replica_driver;
mod replica_election;
mod replica_following;
mod replica_identity;
mod replica_leading;
mod replica_log;
mod replica_machines;
mod replica_membership;
mod replica_message;
mod replica_node;
mod replica_question;
mod replica_settings;
mod snapshot_sending;

pub use driver_message::{DriverInput, DriverOutput, ReplicaStatus};
pub use founding_message::{FoundingMessage, PeerMessage};
pub use log_entry::{LogCommand, LogEntry};
pub use persist_batch::{
    PersistBatch, RecoveredState, ReplicaSnapshot, SnapshotPosition, VoteRecord,
};
pub use replica_driver::ReplicaDriver;
pub use replica_identity::{DiskId, LogIndex, LogTime, PersistTicket, ReplicaIdentity, Term};
pub use replica_machines::{MachineOutcome, ReplicaMachines};
pub use replica_membership::{ReplicaMember, ReplicaMembership};
pub use replica_message::{
    AppendOutcome, AppendReply, AppendRequest, ReplicaEnvelope, ReplicaMessage, SnapshotChunk,
    SnapshotReply, VoteReply, VoteRequest,
};
pub use replica_node::{NodeEffects, ReplicaNode};
pub use replica_question::{
    ClaimAnswer, ClaimantId, FencingToken, RecordedAnswer, ReplicaAnswer, ReplicaChange,
    ReplicaQuestion, ReplicaRefusal,
};
pub use replica_settings::ReplicaSettings;

use super::audit_archive::AuditArchive;
use super::{
    AuditChunk, AuditFilter, AuditMessage, AuditRead, AuditRecord, ChangeAnswer, ChangeRefusal,
    ChangeRequest, ConfigVersion, ConfigurationMachine, DepartureMachine, EvacuatedZones,
    EvacuationMachine, KeyDigest, LedgerCommand, LedgerLimits, LedgerMachine, LedgerOutcome,
    RequestDigest, SheetView, SizeFault, StoredChange, StoredPlan, ZoneAnswer, ZoneOrder,
};
