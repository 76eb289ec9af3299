//! The messages that spread the configuration.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::plan_delta::DeltaSpan;
use super::{ConfigVersion, EvacuatedZones, LogIndex, PLAN_BYTES_LIMIT};
use crate::process::{HostId, MEMBER_BODY_LIMIT, SharedTime};

/// How many bytes of a plan one message carries.
pub(crate) const CHUNK_BYTES: usize = 1_100;
/// The maximum size of the differences that lead to a plan, packed or not: a whole plan plus the
/// overhead of packing.
pub(crate) const PLAN_LIMIT: usize = PLAN_BYTES_LIMIT + (128 << 10);

/// A message to send as a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanSend {
    /// The receiver.
    pub to: HostId,
    /// The encoded message.
    pub body: Bytes,
}

/// Distinguishes plans of the same version, in case a replica ever holds a wrong one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanDigest([u8; 16]);

impl PlanDigest {
    /// Returns the digest of an encoded plan.
    #[must_use]
    pub fn of(encoded: &[u8]) -> Self {
        let whole: [u8; 32] = Sha256::digest(encoded).into();
        let mut half = [0; 16];
        half.copy_from_slice(&whole[..16]);
        Self(half)
    }
}

/// The replicas at one position of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaSet {
    /// The log index of the entry that created the set, committed or not.
    pub index: u64,
    /// The hosts that vote.
    pub hosts: Vec<HostId>,
}

impl ReplicaSet {
    /// Returns how many hosts make a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.hosts.len() / 2 + 1
    }
}

/// The leader's statement that a version was the latest accepted when a majority last confirmed it.
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
    /// Returns the key that orders leases. The leader's term comes first, so a later leader's lease
    /// ranks above all earlier ones. Within a term, the version is compared before the time, so
    /// that a lease never replaces one with a higher version.
    pub(crate) fn rank(&self) -> (u64, ConfigVersion, SharedTime) {
        (self.term, self.version, self.confirmed)
    }
}

/// What a replica reports about its log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LogReport {
    /// The latest replica set in its log.
    pub(crate) replicas: ReplicaSet,
    /// The latest version in its log, committed or not.
    pub(crate) last_entry: ConfigVersion,
    /// The latest zone order in its log, committed or not.
    pub(crate) last_order: LogIndex,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PlanContent {
    /// The freshest lease known, the version that the sender can pass on, and the evacuated zones
    /// known to the sender, which are at least as new as the lease.
    Lease {
        lease: PlanLease,
        held: ConfigVersion,
        digest: PlanDigest,
        evacuated: Arc<EvacuatedZones>,
    },
    /// Asks for a lease. The nonce shows that the answer is no older than the question.
    Ask { nonce: u64 },
    /// Answers with what the sender holds and, if it is a replica, a report about its log.
    Answer {
        nonce: u64,
        /// Whether the sender itself knows the shared time.
        knows_time: bool,
        lease: Option<PlanLease>,
        held: ConfigVersion,
        digest: PlanDigest,
        report: Option<LogReport>,
        evacuated: Arc<EvacuatedZones>,
    },
    /// Asks for chunks of the differences that lead from the held version to the latest, or of
    /// those already begun.
    Fetch {
        held: ConfigVersion,
        span: Option<DeltaSpan>,
        /// The first chunk wanted.
        first: u32,
        /// A bit mask of the chunks wanted; the lowest bit stands for `first`.
        wanted: u16,
    },
    /// One chunk of such differences.
    Chunk(PlanChunk),
    /// Answers a request for chunks: the sender has none, or its link has no capacity for them now.
    Busy,
    /// Reports to the leader that a version is in force at the sender.
    Held { version: ConfigVersion },
}

/// One chunk of the differences that lead from one version to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PlanChunk {
    pub(crate) span: DeltaSpan,
    /// The digest of the plan that the differences lead to.
    pub(crate) digest: PlanDigest,
    pub(crate) index: u32,
    pub(crate) total: u32,
    pub(crate) body: Bytes,
}

/// One message, with the shared time at its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PlanMessage {
    pub(crate) time: SharedTime,
    pub(crate) content: PlanContent,
}

impl PlanMessage {
    pub(crate) fn encode(time: SharedTime, content: PlanContent) -> Bytes {
        let body = postcard::to_stdvec(&Self { time, content });
        Bytes::from(body.expect("plain data types always encode"))
    }

    pub(crate) fn decode(body: &[u8]) -> Option<Self> {
        if body.len() > MEMBER_BODY_LIMIT {
            return None;
        }
        match postcard::take_from_bytes(body) {
            Ok((message, [])) => Some(message),
            _ => None,
        }
    }
}
