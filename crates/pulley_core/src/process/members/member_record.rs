//! Descriptions and states of the member hosts.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::{HostId, QuantityFault, ZoneName};

/// Orders the updates about one host: a later start or a refutation has a higher incarnation.
///
/// The first incarnation is the host's start time in milliseconds of Unix time. If its clock was
/// set back, the host learns from others that they hold a higher incarnation and continues after
/// it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MemberIncarnation(pub u64);

impl MemberIncarnation {
    /// Returns the incarnation after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for MemberIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for MemberIncarnation {
    type Err = QuantityFault;

    fn from_str(text: &str) -> Result<Self, QuantityFault> {
        text.parse()
            .map(Self)
            .map_err(|_| QuantityFault { text: text.to_owned(), expected: "an incarnation number" })
    }
}

/// What a host does for the installation; it may have both roles.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HostRoles {
    /// Whether it serves callers.
    pub entry: bool,
    /// Whether it has a disk and holds a replica of the log.
    pub replica: bool,
}

/// A host's description of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The host's name.
    pub host: HostId,
    /// The host's availability zone.
    pub zone: ZoneName,
    /// The incarnation, which orders the host's descriptions.
    pub incarnation: MemberIncarnation,
    /// The address for other hosts, over TCP and UDP.
    pub peer_address: SocketAddr,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The address for operators.
    pub operator_address: SocketAddr,
    /// Whether the host is an entry, a replica or both.
    pub roles: HostRoles,
}

/// The assumed state of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// It answers probes.
    Alive,
    /// It left a probe unanswered and still has time to refute the suspicion.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It announced that it leaves.
    Left,
}

impl MemberState {
    /// Whether the host counts as live.
    #[must_use]
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}
