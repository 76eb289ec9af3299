//! Formats answers as text for people.

use std::time::{Duration, UNIX_EPOCH};

use pulley_core::version::{AuditRecord, ChangeAnswer, ChangeRefusal, ZoneAnswer, ZoneUpload};
use serde_json::Value;

/// The outcome of audit records about changes of the log's members.
const MEMBER_OUTCOME: &str = "member";

/// Formats rows as aligned columns.
pub(crate) fn table(header: &[&str], rows: &[Vec<String>]) -> String {
    let width = |column: usize| {
        let cells = rows.iter().map(|row| row[column].chars().count());
        cells.chain([header[column].len()]).max().unwrap_or_default()
    };
    let widths: Vec<usize> = (0..header.len()).map(width).collect();
    let line = |cells: Vec<&str>| {
        let padded = cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        padded.collect::<Vec<_>>().join("  ").trim_end().to_owned()
    };
    let mut lines = vec![line(header.to_vec())];
    lines.extend(rows.iter().map(|row| line(row.iter().map(String::as_str).collect())));
    lines.join("\n")
}

/// Formats a JSON value as `path=value` lines, with array indices as numbers.
pub(crate) fn pairs(value: &Value) -> String {
    let mut lines = Vec::new();
    add_pairs("", value, &mut lines);
    lines.join("\n")
}

fn add_pairs(path: &str, value: &Value, lines: &mut Vec<String>) {
    let child_path = |name: &str| {
        if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") }
    };
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                add_pairs(&child_path(name), field, lines);
            }
        }
        Value::Array(items) => {
            for (index, item) in items.iter().enumerate() {
                add_pairs(&child_path(&index.to_string()), item, lines);
            }
        }
        Value::String(text) => lines.push(format!("{path}={text}")),
        other => lines.push(format!("{path}={other}")),
    }
}

/// Formats the evacuated zones, one per line.
pub(crate) fn zones(body: &Value) -> String {
    let names = body.get("zones").and_then(Value::as_array).into_iter().flatten();
    let names: Vec<&str> = names.filter_map(Value::as_str).collect();
    if names.is_empty() { "no zone is evacuated".to_owned() } else { names.join("\n") }
}

/// Formats the contents that end upstreams as a table, one line for each end.
pub(crate) fn contents(body: &Value) -> String {
    const HEADER: [&str; 7] =
        ["digest", "pool", "retry after s", "upstream", "incarnation", "age s", "trial"];
    let field = |value: &Value, name: &str| match value.get(name) {
        Some(Value::String(text)) => text.clone(),
        Some(Value::Null) | None => "-".to_owned(),
        Some(other) => other.to_string(),
    };
    let contents = body.get("contents").and_then(Value::as_array).into_iter().flatten();
    let rows: Vec<Vec<String>> = contents
        .flat_map(|content| {
            let ends = content.get("ends").and_then(Value::as_array).into_iter().flatten();
            ends.map(move |end| {
                let of_content =
                    ["digest", "pool", "retry_after_s"].map(|name| field(content, name));
                let of_end =
                    ["upstream", "incarnation", "age_s", "trial"].map(|name| field(end, name));
                of_content.into_iter().chain(of_end).collect()
            })
        })
        .collect();
    if rows.is_empty() { "no content is suspected".to_owned() } else { table(&HEADER, &rows) }
}

/// Formats the answer to a zone order.
pub(crate) fn zone_answer(order: &ZoneUpload, answer: &ZoneAnswer) -> String {
    let ZoneUpload { zone, zone_use, .. } = order;
    match answer {
        ZoneAnswer::Accepted { revision } => {
            format!("accepted: {zone} {zone_use}, entry {revision}")
        }
        ZoneAnswer::Overtaken { current } => {
            format!("refused: another order for {zone} came before, it is {current}")
        }
        ZoneAnswer::TooMany => "refused: too many zones are evacuated".to_owned(),
        ZoneAnswer::ChangeIdReused => "refused: the change id stands for another order".to_owned(),
    }
}

/// Formats upstreams as a table.
pub(crate) fn upstreams(body: &Value) -> String {
    const FIELDS: [&str; 9] = [
        "id",
        "pool",
        "zone",
        "address",
        "slots",
        "connections",
        "incarnation",
        "sequence",
        "phase",
    ];
    let mut header = FIELDS.to_vec();
    header.push("takes_work");
    let records = body.get("upstreams").and_then(Value::as_array);
    let rows: Vec<Vec<String>> = records
        .into_iter()
        .flatten()
        .map(|record| {
            let announcement = record.get("announcement").unwrap_or(&Value::Null);
            let fields = FIELDS.iter().map(|field| cell_text(announcement.get(*field)));
            fields.chain([cell_text(record.get("takes_work"))]).collect()
        })
        .collect();
    table(&header, &rows)
}

/// Formats organisations as a table.
pub(crate) fn organisations(body: &Value) -> String {
    const FIELDS: [&str; 8] =
        ["name", "rate", "burst", "priority", "answered", "refused", "over_quota", "keys"];
    let listed = body.get("organisations").and_then(Value::as_array);
    let cell = |value: Option<&Value>| match value {
        Some(Value::Array(keys)) => {
            keys.iter().filter_map(Value::as_str).collect::<Vec<_>>().join(" ")
        }
        value => cell_text(value),
    };
    let row = |organisation: &Value| {
        FIELDS.iter().map(|field| cell(organisation.get(*field))).collect::<Vec<String>>()
    };
    let rows: Vec<Vec<String>> = listed.into_iter().flatten().map(row).collect();
    if rows.is_empty() {
        "the sheet has no organisations".to_owned()
    } else {
        table(&FIELDS, &rows)
    }
}

/// Formats a host's status: the lists of hosts and members as tables, the rest as pairs.
pub(crate) fn status(body: &Value) -> String {
    let mut rest = body.clone();
    let mut tables = Vec::new();
    if let Some(fields) = rest.as_object_mut() {
        if let Some(hosts) = fields.remove("hosts") {
            tables.push(live_hosts(&hosts));
        }
        // The replica's own list of the members is omitted, because it repeats the one below.
        if let Some(replica) = fields.get_mut("replica").and_then(Value::as_object_mut) {
            replica.remove("members");
        }
        if let Some(members) = fields.remove("replicas").filter(Value::is_array) {
            tables.push(replicas(&members));
        }
        if let Some(accounts) = fields.remove("accounts") {
            tables.extend(quota_accounts(&accounts));
        }
    }
    tables.insert(0, pairs(&rest));
    tables.join("\n\n")
}

fn live_hosts(hosts: &Value) -> String {
    let mut rows: Vec<Vec<String>> = hosts
        .as_array()
        .into_iter()
        .flatten()
        .map(|host| {
            let roles = host.get("roles");
            let has =
                |role: &str| roles.and_then(|roles| roles.get(role)) == Some(&Value::Bool(true));
            let roles: Vec<&str> =
                ["entry", "replica"].into_iter().filter(|role| has(role)).collect();
            let roles = roles.join(",");
            vec![
                cell_text(host.get("host")),
                cell_text(host.get("zone")),
                cell_text(host.get("peer")),
                roles,
            ]
        })
        .collect();
    rows.sort();
    table(&["live host", "zone", "peer", "roles"], &rows)
}

/// Formats the accounts of organisations' quotas as a table, if there are any.
fn quota_accounts(accounts: &Value) -> Option<String> {
    let rows: Vec<Vec<String>> = accounts
        .as_array()
        .into_iter()
        .flatten()
        .map(|account| {
            let field = |name: &str| cell_text(account.get(name).filter(|value| !value.is_null()));
            vec![field("organisation"), field("keeper"), field("kept_ms")]
        })
        .collect();
    (!rows.is_empty()).then(|| table(&["organisation", "keeper", "kept ms"], &rows))
}

/// Formats the members of the log as a table.
pub(crate) fn replicas(members: &Value) -> String {
    let rows: Vec<Vec<String>> = members
        .as_array()
        .into_iter()
        .flatten()
        .map(|member| {
            let has_joined = member.get("disk").is_some_and(|disk| !disk.is_null());
            vec![
                format!("m{}", cell_text(member.get("member"))),
                cell_text(member.get("host")),
                yes_or_no(member.get("voter").and_then(Value::as_bool).unwrap_or_default()),
                yes_or_no(has_joined),
            ]
        })
        .collect();
    table(&["member", "host", "votes", "joined"], &rows)
}

fn yes_or_no(yes: bool) -> String {
    if yes { "yes" } else { "no" }.to_owned()
}

fn cell_text(value: Option<&Value>) -> String {
    match value {
        None => "-".to_owned(),
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
    }
}

/// Formats audit records as a table, each with its differences in the last column.
pub(crate) fn audit(records: &[AuditRecord]) -> String {
    let rows: Vec<Vec<String>> = records
        .iter()
        .map(|record| {
            vec![
                record.index.to_string(),
                time(record.unix_ms),
                record.actor.to_string(),
                record.change_id.to_string(),
                record.base.to_string(),
                outcome(record),
                record.diff.replace('\n', "; "),
            ]
        })
        .collect();
    table(&["index", "time", "actor", "change_id", "base", "outcome", "diff"], &rows)
}

/// Formats a record's outcome. A change of the members has no version to show.
fn outcome(record: &AuditRecord) -> String {
    if record.outcome == MEMBER_OUTCOME {
        record.outcome.to_string()
    } else {
        answer(&record.answer)
    }
}

/// Formats the outcome of a change in a few words.
pub(crate) fn answer(answer: &ChangeAnswer) -> String {
    match answer {
        ChangeAnswer::Accepted { version } => format!("accepted as version {version}"),
        ChangeAnswer::Superseded { current } => {
            format!("nothing changed: version {current} is in force and higher")
        }
        ChangeAnswer::Refused(ChangeRefusal::VersionTaken { version }) => {
            format!("refused, not done: version {version} has another content")
        }
        ChangeAnswer::Refused(ChangeRefusal::VersionMoved { current }) => {
            format!("refused, not done: version {current} is in force")
        }
        ChangeAnswer::Refused(ChangeRefusal::ChangeIdReused) => {
            "refused, not done: the change id stands for another change".to_owned()
        }
        ChangeAnswer::Refused(ChangeRefusal::SheetFaulty { faults }) => {
            format!("refused, not done: the sheet is faulty\n{faults}")
        }
        ChangeAnswer::Refused(ChangeRefusal::TooLarge { fault }) => {
            format!("refused, not done: {fault}")
        }
        ChangeAnswer::Unknown { why } => format!("unknown: {why}"),
    }
}

fn time(unix_ms: u64) -> String {
    humantime::format_rfc3339_millis(UNIX_EPOCH + Duration::from_millis(unix_ms)).to_string()
}
