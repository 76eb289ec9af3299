//! What replicas say to each other before they hold a log.

use serde::{Deserialize, Serialize};

use super::{AuditMessage, DiskId, ReplicaEnvelope, ReplicaMembership};
use crate::process::{HostId, MemberId};

/// Any message between two replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Between replicas that hold a log.
    Replica(ReplicaEnvelope),
    /// From or to one that does not.
    Founding(FoundingMessage),
    /// About old audit records.
    Audit(AuditMessage),
}

/// What replicas say to each other before they hold a log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FoundingMessage {
    /// A replica with an empty disk is here.
    Hello {
        /// The id it has in the list of founders.
        member: MemberId,
        /// Its disk.
        disk: DiskId,
        /// The founding membership it has agreed to, on disk.
        promise: Option<ReplicaMembership>,
    },
    /// The cluster was founded before.
    Founded {
        /// Its members.
        members: ReplicaMembership,
        /// The host that leads.
        leader: Option<HostId>,
    },
    /// A replica with an empty disk asks the leader for a new member id.
    Join {
        /// Its disk.
        disk: DiskId,
    },
    /// The leader has given it one.
    Joined {
        /// The id.
        member: MemberId,
    },
}
