//! Short summary of the changes between two plans, for the audit trail.

use std::collections::BTreeMap;
use std::fmt::Write;

use super::{ApiKeyDigest, KindPlan, OrganisationTerms, PolicyPlan};
use crate::process::{FastMap, OrganisationName};

/// Maximum size of the diff in an audit record, in bytes. It bounds the audit trail's memory.
pub(crate) const DIFF_LIMIT: usize = 480;

/// Lists the added (`+`) and changed (`~`) rows by name, then the removed ones (`-`).
pub(crate) fn plan_diff(before: &PolicyPlan, after: &PolicyPlan) -> String {
    let old = rows_by_name(before);
    let new = rows_by_name(after);
    let mut diff = String::new();
    for (name, row) in &new {
        match old.get(name) {
            None => push_part(&mut diff, &format!("+{}/{}", name.0, name.1)),
            Some(old_row) if old_row != row => push_part(&mut diff, &row_diff(old_row, row)),
            Some(_) => {}
        }
    }
    for name in old.keys().filter(|name| !new.contains_key(*name)) {
        push_part(&mut diff, &format!("-{}/{}", name.0, name.1));
    }
    push_organisations(&mut diff, before, after);
    diff
}

fn push_organisations(diff: &mut String, before: &PolicyPlan, after: &PolicyPlan) {
    let old = organisations_by_name(before);
    let new = organisations_by_name(after);
    for terms in &after.organisations {
        match old.get(&terms.name) {
            None => push_part(diff, &format!("+organisation {}", terms.name)),
            Some(old_terms) if *old_terms != terms => {
                push_part(diff, &organisation_diff(old_terms, terms));
            }
            Some(_) => {}
        }
    }
    for terms in before.organisations.iter().filter(|terms| !new.contains_key(&terms.name)) {
        push_part(diff, &format!("-organisation {}", terms.name));
    }
}

fn organisations_by_name(plan: &PolicyPlan) -> FastMap<&OrganisationName, &OrganisationTerms> {
    plan.organisations.iter().map(|terms| (&terms.name, terms)).collect()
}

/// Describes the changes of one organisation. Keys are shown by their fingerprints.
fn organisation_diff(before: &OrganisationTerms, after: &OrganisationTerms) -> String {
    let mut text = format!("~organisation {}", after.name);
    let push_keys = |text: &mut String, sign, keys: &[ApiKeyDigest], others: &[ApiKeyDigest]| {
        for key in keys.iter().filter(|key| !others.contains(key)) {
            let _ = write!(text, " {sign}key {}", key.fingerprint());
        }
    };
    push_keys(&mut text, '+', &after.keys, &before.keys);
    push_keys(&mut text, '-', &before.keys, &after.keys);
    if before.priority != after.priority {
        text.push_str(" priority");
    }
    if before.quota != after.quota {
        let _ = write!(text, " quota {}>{}", quota_text(before), quota_text(after));
    }
    text
}

fn quota_text(terms: &OrganisationTerms) -> String {
    let Some(quota) = terms.quota else { return "none".to_owned() };
    format!("{}+{}", quota.rate, quota.burst)
}

fn rows_by_name(plan: &PolicyPlan) -> BTreeMap<(&str, &str), &KindPlan> {
    plan.kinds.iter().map(|row| ((row.service.as_str(), row.kind.as_str()), row)).collect()
}

fn row_diff(before: &KindPlan, after: &KindPlan) -> String {
    let mut text = format!("~{}/{}", after.service, after.kind);
    if before.share != after.share {
        let _ = write!(text, " share {}>{}", before.share, after.share);
    }
    if before.priority != after.priority {
        let _ = write!(text, " priority {}>{}", before.priority.0, after.priority.0);
    }
    if before.reserved_slots != after.reserved_slots {
        let _ = write!(text, " reserved {}>{}", before.reserved_slots, after.reserved_slots);
    }
    if before.deadline != after.deadline {
        let _ = write!(text, " deadline {:?}>{:?}", before.deadline, after.deadline);
    }
    text
}

fn push_part(diff: &mut String, part: &str) {
    const MORE: &str = " ...";
    if diff.ends_with(MORE) {
        return;
    }
    if diff.len() + part.len() + 2 + MORE.len() > DIFF_LIMIT {
        diff.push_str(MORE);
        return;
    }
    if !diff.is_empty() {
        diff.push_str("; ");
    }
    diff.push_str(part);
}
