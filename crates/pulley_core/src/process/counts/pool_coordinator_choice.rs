//! Chooses the live host that coordinates a pool's zone.

use super::count_key::stable_hash;
use super::{HostId, PoolName, ZoneName};

/// Chooses the coordinator of a pool's zone among live hosts, by rendezvous hashing.
///
/// All hosts that see the same members choose the same coordinator without exchanging messages.
/// When a host dies, only the pools that it coordinated move. Two pools rarely share a coordinator,
/// so that no host carries the load of all of them.
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
