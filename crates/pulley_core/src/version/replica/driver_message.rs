//! Inputs and outputs of a replica's driver.

use std::sync::Arc;

use bytes::Bytes;
use serde::Serialize;
use smol_str::SmolStr;

use super::{
    AuditRead, AuditRecord, ConfigVersion, EvacuatedZones, LogIndex, PersistBatch, PersistTicket,
    ReplicaAnswer, ReplicaMember, ReplicaQuestion, StoredPlan, Term,
};
use crate::process::{HostId, MemberId};

/// An input of a driver.
#[derive(Clone, Debug)]
pub enum DriverInput {
    /// Time has passed.
    Tick,
    /// A message from another host's replica.
    Peer {
        /// The host, authenticated by the link.
        from: HostId,
        /// The message.
        body: Bytes,
    },
    /// A write has ended.
    Persisted {
        /// The write's ticket.
        ticket: PersistTicket,
        /// Whether it is on disk. A failed write is never retried.
        ok: bool,
    },
    /// A read of old audit records has ended.
    AuditRead {
        /// The read's number.
        read: u64,
        /// The records found, newest first; `None` if a chunk could not be read.
        records: Option<Vec<AuditRecord>>,
    },
    /// A question for the leader.
    Ask {
        /// Returned with the answer.
        token: u64,
        /// The question.
        question: ReplicaQuestion,
    },
    /// The host is about to leave, so another replica should lead.
    TransferLeadership,
}

/// An output of a driver.
#[derive(Clone, Debug)]
pub enum DriverOutput {
    /// Send this message to another host's replica.
    Send {
        /// The host.
        to: HostId,
        /// The message.
        body: Bytes,
    },
    /// Write and sync this, then report it with [`DriverInput::Persisted`]; batches are written in
    /// order.
    Persist {
        /// The batch's ticket.
        ticket: PersistTicket,
        /// The batch.
        batch: PersistBatch,
    },
    /// Read old audit records from the data folder, then report them with
    /// [`DriverInput::AuditRead`].
    ReadAudit(AuditRead),
    /// The answer to a question.
    Answer {
        /// The question's token.
        token: u64,
        /// The answer.
        answer: ReplicaAnswer,
    },
    /// A configuration is accepted and in force from now on.
    InForce(Arc<StoredPlan>),
    /// These zones are evacuated from now on, and no others.
    ZonesInForce(Arc<EvacuatedZones>),
}

/// Status of a replica, for `pulleyctl status` and `pulleyctl replica list`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ReplicaStatus {
    /// Its host.
    pub host: HostId,
    /// Its member id.
    pub member: MemberId,
    /// `founding`, `leader`, `follower`, `candidate`, `learner`, `outsider` or `failed`.
    pub role: SmolStr,
    /// The host that leads, if it is known.
    pub leader: Option<HostId>,
    /// The term.
    pub term: Term,
    /// The last entry it holds.
    pub last_index: LogIndex,
    /// The last entry it knows to be committed.
    pub commit_index: LogIndex,
    /// The version in force here.
    pub version: ConfigVersion,
    /// All replicas.
    pub members: Vec<ReplicaMember>,
    /// Claims in the ledger.
    pub claims: u64,
    /// Bytes of log entries in memory.
    pub log_bytes: u64,
    /// Messages from peers that could not be read.
    pub unreadable_messages: u64,
    /// Why it no longer takes part, if it has failed.
    pub failure: Option<SmolStr>,
}
