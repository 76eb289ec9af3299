//! Questions from hosts to the leader, and its answers.

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

/// Identifies who claims a key; drawn at random for each request.
///
/// A claim whose answer was lost is sent again, perhaps to another leader. Without this id the
/// resend would look like a second request with the same key, and its answer would be that the
/// first may have run.
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

/// Outcome of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The claimant may send the request, but only one time.
    Granted(FencingToken),
    /// The request already ran, with this answer.
    AlreadyRan(RecordedAnswer),
    /// The key was claimed before and no outcome is known.
    MayHaveRun,
    /// The key belongs to a different request.
    Conflict,
    /// There is no quorum or no room; nothing was claimed.
    Unavailable,
}

/// A change of the membership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaChange {
    /// A host joins, as a learner first.
    Add(HostId),
    /// A member is removed permanently.
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
        /// The claimant; the same for every resend of this question.
        claimant: ClaimantId,
    },
    /// The outcome of a claimed request; no answer means that it may have run.
    Record {
        /// The key.
        key: SmolStr,
        /// The token that the claim was granted with.
        token: FencingToken,
        /// The answer, if there was one.
        answer: Option<RecordedAnswer>,
    },
    /// Releases a claim, because no byte of the request was sent.
    Release {
        /// The key.
        key: SmolStr,
        /// The token that the claim was granted with.
        token: FencingToken,
    },
    /// The configuration that a quorum confirms to be current.
    CurrentPlan,
    /// The last entry that a quorum confirms to be applied.
    Applied,
    /// The audit trail.
    Audit(AuditFilter),
    /// A change of the membership.
    Change(ReplicaChange),
    /// An upstream leaves. The answer comes as soon as the departure is on a quorum's disks;
    /// meanwhile the leader informs every host.
    Departure {
        /// The upstream's id and the incarnation that leaves.
        start: UpstreamStart,
        /// The record to send to the hosts; see `UpstreamRegistry::departure`.
        record: Bytes,
    },
    /// An operator's order for a zone.
    OrderZone(ZoneOrder),
    /// The zones that a quorum confirms to be evacuated.
    EvacuatedZones,
}

/// Why the leader refused; a refusal always means that nothing was done.
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
    /// Too many questions already wait for a quorum.
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
    /// It is unknown whether the request was carried out.
    Unknown {
        /// What is known about the cause.
        why: SmolStr,
    },
    /// Outcome of a change.
    Change(ChangeAnswer),
    /// Outcome of a claim.
    Claim(ClaimAnswer),
    /// The request was carried out.
    Done,
    /// The request was refused; nothing was done.
    Refused(ReplicaRefusal),
    /// The sheet in force.
    Sheet(SheetView),
    /// The last entry applied. A replica that has applied it too knows everything that was
    /// acknowledged before the question was asked.
    Applied(LogIndex),
    /// The audit records asked for.
    Audit(Vec<AuditRecord>),
    /// The membership after a change of it.
    Members(ReplicaMembership),
    /// Outcome of an order for a zone.
    Zone(ZoneAnswer),
    /// The zones that are evacuated.
    Zones(EvacuatedZones),
}
