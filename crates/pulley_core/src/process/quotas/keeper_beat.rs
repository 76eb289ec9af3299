//! The heartbeats by which replicas find out which of them serves an account.

use serde::{Deserialize, Serialize};

use super::{HostId, stable_hash};

/// The heartbeat of a replica. With nine voters it takes at most 135 bytes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeeperBeat {
    /// The sender's incarnation, unique for each start of its process.
    pub incarnation: u64,
    /// The number of the heartbeat. The numbers of an incarnation increase from a start that is
    /// derived from it, so that they differ from those of other incarnations.
    pub number: u32,
    /// A digest of the voters that the sender knows.
    pub voters: u32,
    /// Milliseconds for which the sender has been confirmed; 0 if it isn't.
    pub confirmed_ms: u16,
    /// What the sender has received from each other voter.
    pub heard: Vec<HeardBeat>,
}

/// What a replica has received from another voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeardBeat {
    /// The key of the other voter.
    pub voter: u32,
    /// The number of its newest heartbeat; none if none was received.
    pub number: Option<u32>,
    /// Milliseconds since then, or since the sender began or resumed listening if that is later.
    pub age_ms: u16,
}

/// Returns the number that stands for a voter in heartbeats.
pub(super) fn voter_key(host: &HostId) -> u32 {
    low_half(stable_hash(["voter", host.as_str()]))
}

/// Returns the digest of a set of voters, whatever their order.
pub(super) fn voters_digest(voters: &[HostId]) -> u32 {
    let mut names: Vec<&str> = voters.iter().map(HostId::as_str).collect();
    names.sort_unstable();
    low_half(stable_hash(names))
}

/// Returns the number before the first heartbeat of an incarnation. It lies in the lower half, so
/// that numbers don't overflow in 6 years.
pub(super) fn first_number(incarnation: u64) -> u32 {
    low_half(stable_hash([incarnation.to_le_bytes()])) >> 1
}

#[expect(clippy::cast_possible_truncation, reason = "the lower half is what is wanted")]
const fn low_half(hash: u64) -> u32 {
    hash as u32
}
