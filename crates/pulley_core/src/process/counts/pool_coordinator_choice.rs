//! Which live host coordinates a pool's zone.

use super::count_key::stable_hash;
use super::{HostId, PoolName, ZoneName};

/// Chooses the coordinator of a pool's zone among live hosts, by rendezvous hashing.
///
/// All hosts that see the same members choose the same one without a message. When a host dies
/// only what it coordinated moves, and two pools seldom share a coordinator, so that none is
/// loaded with all of them.
#[must_use]
pub fn coordinator_for<'a>(
    pool: &PoolName,
    zone: &ZoneName,
    hosts: impl IntoIterator<Item = &'a HostId>,
) -> Option<&'a HostId> {
    hosts.into_iter().max_by_key(|host| {
        (stable_hash([pool.as_str(), zone.as_str(), host.as_str()]), host.as_str())
    })
}
