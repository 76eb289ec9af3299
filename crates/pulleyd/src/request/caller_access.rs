//! Whether a request may use a row, and on behalf of which organisation.

use std::time::Duration;

use http::header::{AUTHORIZATION, HeaderMap};
use pulley_core::process::OrganisationName;
use pulley_core::version::{ApiKeyDigest, KeyFingerprint, KindPlan, RequestPriority, RequestQuota};
use pulley_core::{IndexedPlan, RefusalCause};

use super::SystemAnswer;

/// The result of checking a request's key.
type Result<T> = std::result::Result<T, SystemAnswer>;

/// The scheme of the credentials that carry a key.
const KEY_SCHEME: &str = "bearer";

/// `Retry-After` of a host that cannot tell whether a key still works. Other hosts can.
const UNCONFIRMED_RETRY: Duration = Duration::from_millis(200);

/// The organisation on whose behalf a request is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct CallerOrganisation {
    pub(super) name: OrganisationName,
    /// The key that the request carried.
    pub(super) key: KeyFingerprint,
    digest: ApiKeyDigest,
    pub(super) priority: Option<RequestPriority>,
    pub(super) quota: Option<RequestQuota>,
}

impl CallerOrganisation {
    /// Finds the organisation whose key a request carries. Returns `None` if the row needs no key.
    ///
    /// `keys_valid` tells whether this host may go by the keys of the plan.
    pub(super) fn find(
        plan: &IndexedPlan,
        row: &KindPlan,
        headers: &HeaderMap,
        keys_valid: bool,
    ) -> Result<Option<Self>> {
        if !plan.needs_key(row) {
            return Ok(None);
        }
        if !keys_valid {
            let cause = RefusalCause::KeysUnconfirmed;
            return Err(SystemAnswer::refused(cause, Some(UNCONFIRMED_RETRY)));
        }
        let digest = read_key(headers).map(ApiKeyDigest::of);
        let owner = digest.and_then(|digest| Some((digest, plan.find_key_owner(&digest)?)));
        let Some((digest, owner)) = owner else {
            return Err(SystemAnswer::refused(RefusalCause::UnknownKey, None));
        };
        Ok(Some(Self {
            name: owner.name.clone(),
            key: digest.fingerprint(),
            digest,
            priority: owner.priority,
            quota: owner.quota,
        }))
    }

    /// Whether the request's key still is one of this organisation.
    pub(super) fn holds_key(&self, plan: &IndexedPlan) -> bool {
        plan.find_key_owner(&self.digest).is_some_and(|owner| owner.name == self.name)
    }
}

/// Returns the key of a request; `None` if its credentials are missing, doubled or malformed.
fn read_key(headers: &HeaderMap) -> Option<&str> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let credentials = values.next()?.to_str().ok()?;
    if values.next().is_some() {
        return None;
    }
    let (scheme, key) = credentials.trim().split_once(' ')?;
    let key = key.trim();
    let is_key = !key.is_empty() && key.bytes().all(|byte| byte.is_ascii_graphic());
    (scheme.eq_ignore_ascii_case(KEY_SCHEME) && is_key).then_some(key)
}
