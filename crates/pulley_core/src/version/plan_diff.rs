//! Short summary of the changes between two plans, for the audit trail.

use std::collections::BTreeMap;
use std::fmt::Write;

use super::{KindPlan, PolicyPlan};

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
    diff
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
