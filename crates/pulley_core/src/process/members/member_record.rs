//! What hosts know of one another.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::{HostId, QuantityFault, ZoneName};

/// Orders what is said of one host: a later start or a refutation has a higher one.
///
/// A host begins with its start time in milliseconds of Unix time. Should its clock have gone back,
/// it hears of the higher number that others still hold and goes past it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MemberIncarnation(pub u64);

impl MemberIncarnation {
    /// The incarnation after this one.
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
            .map_err(|_| QuantityFault { text: text.to_owned(), wanted: "an incarnation number" })
    }
}

/// What a host does for the system.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HostRoles {
    /// It serves callers.
    pub entry: bool,
    /// It has a disk and holds a replica of the log.
    pub replica: bool,
}

/// One host as it describes itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Its name.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Orders its descriptions.
    pub incarnation: MemberIncarnation,
    /// Where other hosts reach it, by TCP and UDP.
    pub peer_address: SocketAddr,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Where operators reach it.
    pub operator_address: SocketAddr,
    /// What it does.
    pub roles: HostRoles,
}

/// How a host is thought to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It did not answer somebody; it has time to say otherwise.
    Suspect,
    /// It did not say otherwise in time.
    Dead,
    /// It said that it leaves.
    Left,
}

impl MemberState {
    /// Whether the host counts as a live one.
    #[must_use]
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}
