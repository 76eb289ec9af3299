//! The messages that spread the configuration.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::plan_delta::DeltaSpan;
use super::{ConfigVersion, EvacuatedZones, LogIndex, PLAN_BYTES_LIMIT};
use crate::process::{HostId, MEMBER_BODY_LIMIT, SharedTime};

/// How many bytes of a plan go into one message.
pub(crate) const CHUNK_BYTES: usize = 1_100;
/// The most bytes of a way to a plan, packed or not: a whole plan, with room for what packing adds.
pub(crate) const PLAN_LIMIT: usize = PLAN_BYTES_LIMIT + (128 << 10);

/// A message to send, by datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanSend {
    /// To whom.
    pub to: HostId,
    /// The encoded message.
    pub body: Bytes,
}

/// Tells plans of one version apart, should a replica ever hold a wrong one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanDigest([u8; 16]);

impl PlanDigest {
    /// The digest of an encoded plan.
    #[must_use]
    pub fn of(encoded: &[u8]) -> Self {
        let whole: [u8; 32] = Sha256::digest(encoded).into();
        let mut half = [0; 16];
        half.copy_from_slice(&whole[..16]);
        Self(half)
    }
}

/// The replicas at one place of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaSet {
    /// The log index of the entry that made it, committed or not.
    pub index: u64,
    /// The hosts that vote.
    pub hosts: Vec<HostId>,
}

impl ReplicaSet {
    /// How many hosts make a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.hosts.len() / 2 + 1
    }
}

/// The leader's word that a version was the latest accepted when a majority last confirmed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PlanLease {
    pub(crate) term: u64,
    pub(crate) confirmed: SharedTime,
    pub(crate) version: ConfigVersion,
    pub(crate) digest: PlanDigest,
    pub(crate) leader: HostId,
    pub(crate) replicas: ReplicaSet,
}

impl PlanLease {
    /// Orders leases; the version counts before the time, so that none is ever taken back.
    pub(crate) fn rank(&self) -> (u64, ConfigVersion, SharedTime) {
        (self.term, self.version, self.confirmed)
    }
}

/// What a replica says of its log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LogReport {
    /// The latest replica set in its log.
    pub(crate) replicas: ReplicaSet,
    /// The latest version in its log, committed or not.
    pub(crate) last_entry: ConfigVersion,
    /// The latest order for a zone in its log, committed or not.
    pub(crate) last_order: LogIndex,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PlanContent {
    /// The freshest lease known, the version that the sender can pass on, and the zones that are
    /// evacuated as far as the sender knows: at least as new as the lease.
    Lease {
        lease: PlanLease,
        held: ConfigVersion,
        digest: PlanDigest,
        evacuated: Arc<EvacuatedZones>,
    },
    /// Asks for a lease; the nonce shows that the answer is no older than the question.
    Ask { nonce: u64 },
    /// Answers, with what the sender holds and, if it is a replica, what its log says.
    Answer {
        nonce: u64,
        /// Whether the sender knows the shared time itself.
        welcomed: bool,
        lease: Option<PlanLease>,
        held: ConfigVersion,
        digest: PlanDigest,
        replica: Option<LogReport>,
        evacuated: Arc<EvacuatedZones>,
    },
    /// Asks for chunks of the way from the version held to the latest, or of the way already begun.
    Fetch {
        held: ConfigVersion,
        span: Option<DeltaSpan>,
        /// The first chunk wanted.
        first: u32,
        /// A bit for each chunk wanted, from the first on.
        wanted: u16,
    },
    /// One chunk of such a way.
    Chunk(PlanChunk),
    /// Answers a question for chunks: the sender's link bears no more of them now.
    Busy,
    /// Tells the leader that a version is in force at the sender.
    Held { version: ConfigVersion },
}

/// One chunk of the way from one version to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PlanChunk {
    pub(crate) span: DeltaSpan,
    /// Of the plan that the way leads to.
    pub(crate) digest: PlanDigest,
    pub(crate) index: u32,
    pub(crate) total: u32,
    pub(crate) body: Bytes,
}

/// One message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PlanMessage {
    pub(crate) time: SharedTime,
    pub(crate) content: PlanContent,
}

impl PlanMessage {
    pub(crate) fn pack(time: SharedTime, content: PlanContent) -> Bytes {
        let body = postcard::to_stdvec(&Self { time, content });
        Bytes::from(body.expect("plain data types always encode"))
    }

    pub(crate) fn unpack(body: &[u8]) -> Option<Self> {
        if body.len() > MEMBER_BODY_LIMIT {
            return None;
        }
        match postcard::take_from_bytes(body) {
            Ok((message, [])) => Some(message),
            _ => None,
        }
    }
}
