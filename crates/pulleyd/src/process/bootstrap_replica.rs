//! The founding members of the replicated log, as the settings name them.

use std::fmt;
use std::str::FromStr;

use pulley_core::HostId;
use pulley_core::process::MemberId;

/// A founding member of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BootstrapReplica {
    /// The host of the replica.
    pub host: HostId,
    /// The member id of the replica.
    pub member: MemberId,
}

impl fmt::Display for BootstrapReplica {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}={}", self.host, self.member)
    }
}

impl FromStr for BootstrapReplica {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        const EXPECTED: &str = "a list such as host-a=m1,host-b=m2";
        let (host, member) = text.split_once('=').ok_or(EXPECTED)?;
        let host = host.trim().parse().map_err(|_| EXPECTED)?;
        let member = member.trim().parse().map_err(|_| EXPECTED)?;
        Ok(Self { host, member })
    }
}
