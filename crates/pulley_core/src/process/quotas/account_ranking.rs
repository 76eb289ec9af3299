//! Which replica keeps an organisation's account.

use super::{HostId, OrganisationName, stable_hash};

/// Returns the rank of a replica for an organisation's account; the highest goes first. Every host
/// derives the same one.
pub(super) fn account_rank(organisation: &OrganisationName, host: &HostId) -> u64 {
    stable_hash(["account", organisation.as_str(), host.as_str()])
}
