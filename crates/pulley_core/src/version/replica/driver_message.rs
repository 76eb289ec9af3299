//! What goes into a replica's driver and what comes out.

use std::sync::Arc;

use bytes::Bytes;
use serde::Serialize;
use smol_str::SmolStr;

use super::{
    AuditRead, AuditRecord, ConfigVersion, EvacuatedZones, LogIndex, PersistBatch, PersistTicket,
    ReplicaAnswer, ReplicaMember, ReplicaQuestion, StoredPlan, Term,
};
use crate::process::{HostId, MemberId};

/// What a driver is told.
#[derive(Clone, Debug)]
pub enum DriverInput {
    /// Time has passed.
    Tick,
    /// Another host's replica sent this.
    Peer {
        /// The host, as the link has authenticated it.
        from: HostId,
        /// The message.
        body: Bytes,
    },
    /// A write has ended.
    Persisted {
        /// Which.
        ticket: PersistTicket,
        /// Whether it is on disk. A failed one is never retried.
        ok: bool,
    },
    /// A read of old audit records has ended.
    AuditRead {
        /// Which.
        read: u64,
        /// What was found, the newest first; `None` if a chunk could not be read.
        records: Option<Vec<AuditRecord>>,
    },
    /// A question for the leader.
    Ask {
        /// Comes back with the answer.
        token: u64,
        /// The question.
        question: ReplicaQuestion,
    },
    /// The host is to leave: another replica should lead.
    TransferLeadership,
}

/// What a driver wants done.
#[derive(Clone, Debug)]
pub enum DriverOutput {
    /// Send this to another host's replica.
    Send {
        /// The host.
        to: HostId,
        /// The message.
        body: Bytes,
    },
    /// Write this, sync it, then say so with [`DriverInput::Persisted`]; batches in order.
    Persist {
        /// The batch's ticket.
        ticket: PersistTicket,
        /// The batch.
        batch: PersistBatch,
    },
    /// Read old audit records from the data folder, then say so with [`DriverInput::AuditRead`].
    ReadAudit(AuditRead),
    /// The answer to a question.
    Answer {
        /// The question's token.
        token: u64,
        /// The answer.
        answer: ReplicaAnswer,
    },
    /// A configuration is accepted and applies from now on.
    InForce(Arc<StoredPlan>),
    /// These zones are evacuated from now on, and no others.
    ZonesInForce(Arc<EvacuatedZones>),
}

/// How a replica is doing, for `pulleyctl status` and `pulleyctl replica list`.
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
    /// Why it no longer takes part, if so.
    pub failure: Option<SmolStr>,
}
