//! Which replica keeps an organisation's account.

use super::{HostId, OrganisationName, stable_hash};

/// Returns the replica that keeps an organisation's account: the one with the highest rendezvous
/// hash. Every host derives the same one from the same list of live replicas.
pub(super) fn account_keeper<'a>(
    replicas: &'a [HostId],
    organisation: &OrganisationName,
) -> Option<&'a HostId> {
    let rank = |host: &&HostId| stable_hash(["account", organisation.as_str(), host.as_str()]);
    replicas.iter().max_by_key(rank)
}
