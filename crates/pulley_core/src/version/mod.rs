//! State that lasts as long as one configuration version, and the log that orders the versions.

mod audit_archive;
mod audit_trail;
mod change;
mod configuration_machine;
mod configuration_size;
mod departure_machine;
mod evacuation_machine;
mod follower;
mod ledger_machine;
mod packed_value;
mod plan_diff;
mod question_router;
mod replica;
mod sequence_edit;
mod sheet;
mod stored_change;
mod zone_order;

pub use audit_archive::{AuditMessage, AuditRead};
pub use audit_trail::{AUDIT_ANSWER_LIMIT, AUDIT_CHUNK, AUDIT_KEPT, AuditChunk, AuditTrail};
pub use change::{
    AuditFilter, AuditRecord, ChangeAnswer, ChangeRefusal, ChangeRequest, ConfigVersion, StoredPlan,
};
pub use configuration_machine::{ConfigurationMachine, OUTCOMES_KEPT};
pub use configuration_size::{
    CHANGE_BYTES_LIMIT, PLAN_BYTES_LIMIT, PLAN_ROW_LIMIT, SHEET_LIMIT, SizeFault,
};
pub use departure_machine::{DEPARTURES_KEPT, DepartureMachine};
pub use evacuation_machine::{EVACUATED_LIMIT, EvacuationMachine};
pub use follower::{
    PlanDifference, PlanDigest, PlanFollower, PlanSend, PlanStanding, ReplicaSet, SpreadCounts,
};
pub use ledger_machine::{
    KeyDigest, LedgerCommand, LedgerLimits, LedgerMachine, LedgerOutcome, RequestDigest,
};
pub use packed_value::PackedValue;
pub use question_router::{QuestionNumber, QuestionRouter, RouterOutput};
pub use replica::{
    AppendOutcome, AppendReply, AppendRequest, ClaimAnswer, ClaimantId, DiskId, DriverInput,
    DriverOutput, FencingToken, FoundingMessage, LogCommand, LogEntry, LogIndex, LogTime,
    MachineOutcome, NodeEffects, PeerMessage, PersistBatch, PersistTicket, RecordedAnswer,
    RecoveredState, ReplicaAnswer, ReplicaChange, ReplicaDriver, ReplicaEnvelope, ReplicaIdentity,
    ReplicaMachines, ReplicaMember, ReplicaMembership, ReplicaMessage, ReplicaNode,
    ReplicaQuestion, ReplicaRefusal, ReplicaSettings, ReplicaSnapshot, ReplicaStatus,
    SnapshotChunk, SnapshotPosition, SnapshotReply, Term, VoteRecord, VoteReply, VoteRequest,
};
pub use sequence_edit::SequenceEdit;
pub use sheet::{
    AnswerSize, ApiKeyDigest, ApiKeyDigestFault, CallerLimits, HostMatch, IndexedPlan,
    KeyFingerprint, KindPlan, MethodMatch, OrganisationFault, OrganisationTerms, PolicyPlan,
    PoolTerms, RequestPriority, RequestQuota, RouteTerms, SheetColumn, SheetFault, SheetFaults,
    SheetPrinter, SheetReader, SheetUpload, SheetView, WarmUpTerms, WorkLength,
    check_organisations,
};
pub use stored_change::{ChangeContent, StoredChange};
pub use zone_order::{EvacuatedZones, ZoneAnswer, ZoneOrder, ZoneUpload, ZoneUse, ZoneUseFault};
