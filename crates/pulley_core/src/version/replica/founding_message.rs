//! Messages between replicas before they hold a log.

use serde::{Deserialize, Serialize};

use super::{AuditMessage, DiskId, ReplicaEnvelope, ReplicaMembership};
use crate::process::{HostId, MemberId};

/// Any message between two replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A message between replicas that hold a log.
    Replica(ReplicaEnvelope),
    /// A message from or to a replica without a log.
    Founding(FoundingMessage),
    /// A message about old audit records.
    Audit(AuditMessage),
}

/// Messages between replicas before they hold a log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FoundingMessage {
    /// Announces a replica with an empty disk.
    Hello {
        /// Its id in the list of founders.
        member: MemberId,
        /// Its disk.
        disk: DiskId,
        /// The founding membership it has agreed to, on disk.
        promise: Option<ReplicaMembership>,
    },
    /// The cluster already exists.
    Founded {
        /// Its members.
        members: ReplicaMembership,
        /// The host that leads, if it is known.
        leader: Option<HostId>,
    },
    /// A replica with an empty disk asks the leader for a new member id.
    Join {
        /// Its disk.
        disk: DiskId,
    },
    /// The leader has assigned a member id.
    Joined {
        /// The id that the disk has from now on.
        member: MemberId,
    },
}
