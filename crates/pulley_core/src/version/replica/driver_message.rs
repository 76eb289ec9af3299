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
        /// The sender's host, authenticated by the link.
        from: HostId,
        /// The encoded message.
        body: Bytes,
    },
    /// A write has ended.
    Persisted {
        /// The ticket of the batch that was written.
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
        /// The receiver's host.
        to: HostId,
        /// The encoded message.
        body: Bytes,
    },
    /// Write and sync this, then report it with [`DriverInput::Persisted`]; batches are written in
    /// order.
    Persist {
        /// The batch's ticket, which is reported when the write ends.
        ticket: PersistTicket,
        /// The batch.
        batch: PersistBatch,
    },
    /// Read old audit records from the data folder, then report them with
    /// [`DriverInput::AuditRead`].
    ReadAudit(AuditRead),
    /// The answer to a question.
    Answer {
        /// The token that came with the question.
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
    /// The host that the replica runs on.
    pub host: HostId,
    /// The replica's member id in the log.
    pub member: MemberId,
    /// `founding`, `leader`, `follower`, `candidate`, `learner`, `outsider` or `failed`.
    pub role: SmolStr,
    /// The host that leads, if it is known.
    pub leader: Option<HostId>,
    /// The latest term that the replica knows.
    pub term: Term,
    /// The index of the last entry it holds.
    pub last_index: LogIndex,
    /// The index of the last entry it knows to be committed.
    pub commit_index: LogIndex,
    /// The configuration version in force at this replica.
    pub version: ConfigVersion,
    /// All members of the log, as this replica knows them.
    pub members: Vec<ReplicaMember>,
    /// Number of claims in the ledger.
    pub claims: u64,
    /// Estimated size of the log entries in memory, in bytes.
    pub log_bytes: u64,
    /// Number of messages from peers that could not be read.
    pub unreadable_messages: u64,
    /// Why this replica no longer takes part, if it has failed.
    pub failure: Option<SmolStr>,
}
