//! The lines of a sheet that describe organisations, such as
//! `#organisation acme rate=20 burst=40 priority=1 key=s3cret`.

use super::{ApiKeyDigest, OrganisationTerms, RequestPriority, RequestQuota};
use crate::process::{FastMap, FastSet, OrganisationName, StartRate};

/// Prefix of the lines that describe organisations.
pub(super) const ORGANISATION_PREFIX: &str = "#organisation ";

/// Describes such a line, for the planner.
pub(super) const ORGANISATION_ALLOWED: &str = "#organisation, a name, and any of rate=R, burst=N, \
    priority=0 to 9, and key=TEXT or key_sha256=HEX once for each key; a burst needs a rate";

/// Reads what follows the prefix; `None` if it is malformed.
pub(super) fn read_organisation(text: &str) -> Option<OrganisationTerms> {
    let mut words = text.split_whitespace();
    let name = words.next()?.parse().ok()?;
    let mut terms = OrganisationTerms { name, keys: Vec::new(), priority: None, quota: None };
    let (mut rate, mut burst) = (None, None);
    for word in words {
        let (field, value) = word.split_once('=')?;
        match field {
            "rate" if rate.is_none() => rate = Some(value.parse::<StartRate>().ok()?),
            "burst" if burst.is_none() => burst = Some(value.parse::<u32>().ok()?),
            "priority" if terms.priority.is_none() => {
                let priority = value.parse().ok().filter(|priority| *priority <= 9)?;
                terms.priority = Some(RequestPriority(priority));
            }
            "key" if !value.is_empty() => terms.keys.push(ApiKeyDigest::of(value)),
            "key_sha256" => terms.keys.push(value.parse().ok()?),
            _ => return None,
        }
    }
    let rate = rate.filter(|rate| *rate > StartRate::default());
    if burst.is_some() && rate.is_none() {
        return None;
    }
    terms.quota = rate.map(|rate| RequestQuota { rate, burst: burst.unwrap_or(0) });
    Some(terms)
}

/// Prints an organisation so that [`read_organisation`] reads it back.
pub(super) fn organisation_line(terms: &OrganisationTerms) -> String {
    let mut line = format!("{ORGANISATION_PREFIX}{}", terms.name);
    if let Some(quota) = terms.quota {
        line.push_str(&format!(" rate={} burst={}", quota.rate, quota.burst));
    }
    if let Some(priority) = terms.priority {
        line.push_str(&format!(" priority={}", priority.0));
    }
    for key in &terms.keys {
        line.push_str(&format!(" key_sha256={key}"));
    }
    line.push('\n');
    line
}

/// A fault in a list of organisations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrganisationFault {
    /// Two organisations have one name.
    SharedName(OrganisationName),
    /// Two organisations have a key in common, so that its caller could be either.
    SharedKey(OrganisationName, OrganisationName),
}

impl std::fmt::Display for OrganisationFault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::SharedName(name) => write!(f, "organisation {name} occurs twice"),
            Self::SharedKey(one, other) => {
                write!(f, "organisations {one} and {other} have a key in common")
            }
        }
    }
}

/// Checks a list of organisations. Returns the faults, each with the index of the organisation at
/// which it was found.
#[must_use]
pub fn check_organisations(organisations: &[OrganisationTerms]) -> Vec<(usize, OrganisationFault)> {
    let mut names = FastSet::default();
    let mut owners = FastMap::default();
    let mut faults = Vec::new();
    for (index, terms) in organisations.iter().enumerate() {
        if !names.insert(&terms.name) {
            faults.push((index, OrganisationFault::SharedName(terms.name.clone())));
        }
        for key in &terms.keys {
            let owner = *owners.entry(key).or_insert(index);
            if owner != index {
                let owner = organisations[owner].name.clone();
                faults.push((index, OrganisationFault::SharedKey(owner, terms.name.clone())));
            }
        }
    }
    faults
}
