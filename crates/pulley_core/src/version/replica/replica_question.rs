//! What hosts ask of the leader, and its answers.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{
    AuditFilter, AuditRecord, ChangeAnswer, ChangeRequest, EvacuatedZones, LogIndex,
    ReplicaMembership, SheetView, ZoneAnswer, ZoneOrder,
};
use crate::process::{HostId, MemberId, UpstreamStart};

/// Orders the holders of one idempotency key: a later holder's token is higher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FencingToken(pub u64);

/// Tells who claims a key; drawn at random for each request.
///
/// A claim whose answer was lost is sent again, perhaps to another leader. Without this the second
/// one would look like a second request with the same key, and be told that the first may have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimantId(pub u64);

/// The answer recorded for a request that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// The content type, if there was one.
    pub content_type: Option<String>,
    /// The body, if it was small enough to keep.
    pub body: Option<Bytes>,
}

/// What became of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The asker may send the request, once.
    Granted(FencingToken),
    /// It ran before; this is what came of it.
    AlreadyRan(RecordedAnswer),
    /// Somebody claimed it and no outcome is known.
    MayHaveRun,
    /// The key stands for a different request.
    Conflict,
    /// No quorum, or no room: nothing was claimed.
    Unavailable,
}

/// A change of who holds the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaChange {
    /// A host joins, as a learner first.
    Add(HostId),
    /// A member leaves for good.
    Remove(MemberId),
}

/// A question that only the leader answers; other hosts forward it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaQuestion {
    /// An operator's change.
    Apply(ChangeRequest),
    /// A claim on an idempotency key.
    Claim {
        /// The key, scoped by service and kind.
        key: SmolStr,
        /// Digest of method, path and body.
        digest: [u8; 32],
        /// Who claims; the same for every resend of this question.
        claimant: ClaimantId,
    },
    /// The outcome of a claimed request; no answer means that it may have run.
    Record {
        /// The key.
        key: SmolStr,
        /// What the claim was granted with.
        token: FencingToken,
        /// The answer, if there was one.
        answer: Option<RecordedAnswer>,
    },
    /// Gives a claim back, because not a byte was sent.
    Release {
        /// The key.
        key: SmolStr,
        /// What the claim was granted with.
        token: FencingToken,
    },
    /// The configuration that a quorum confirms to be current.
    CurrentPlan,
    /// The last entry that a quorum confirms to be applied.
    Applied,
    /// The audit trail.
    Audit(AuditFilter),
    /// A change of who holds the log.
    Change(ReplicaChange),
    /// An upstream leaves; answered once that is on a quorum's disks, while the leader tells every
    /// host.
    Departure {
        /// The start that leaves.
        start: UpstreamStart,
        /// What to tell the hosts; see `UpstreamRegistry::departure`.
        record: Bytes,
    },
    /// An operator's order for a zone.
    OrderZone(ZoneOrder),
    /// The zones that a quorum confirms to be evacuated.
    EvacuatedZones,
}

/// Why the leader refused; refused always means not done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum ReplicaRefusal {
    /// Another change of membership has not been committed yet.
    #[error("another change of membership is under way")]
    ChangeUnderWay,
    /// The host already holds the log.
    #[error("host {0} already holds the log")]
    AlreadyMember(HostId),
    /// There is no such member.
    #[error("there is no member {0}")]
    NoSuchMember(MemberId),
    /// The last voter cannot leave.
    #[error("the last voter cannot be removed")]
    LastVoter,
    /// The claim is not held under this token.
    #[error("the claim is not held under this token")]
    StaleToken,
    /// Old audit records are still being copied to the replica that leads.
    #[error("old audit records are still being copied to the leader; ask for newer ones")]
    AuditIncomplete,
    /// Too much waits for a quorum already.
    #[error("too many questions wait for a quorum")]
    Busy,
}

/// The leader's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaAnswer {
    /// This replica does not lead; nothing was done.
    NotLeader {
        /// The host that leads, if it is known.
        leader: Option<HostId>,
    },
    /// Nobody can say whether it was done.
    Unknown {
        /// What is known of the cause.
        why: SmolStr,
    },
    /// What became of a change.
    Change(ChangeAnswer),
    /// What became of a claim.
    Claim(ClaimAnswer),
    /// It was done.
    Done,
    /// It was not done.
    Refused(ReplicaRefusal),
    /// The sheet in force.
    Sheet(SheetView),
    /// The last entry applied; whoever has applied it too knows all that was acknowledged before
    /// the question.
    Applied(LogIndex),
    /// The audit records asked for.
    Audit(Vec<AuditRecord>),
    /// The membership after a change of it.
    Members(ReplicaMembership),
    /// What became of an order for a zone.
    Zone(ZoneAnswer),
    /// The zones that are evacuated.
    Zones(EvacuatedZones),
}
