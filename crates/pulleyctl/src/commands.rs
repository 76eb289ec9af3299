//! Executes one command.

use std::fmt::Display;
use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

use http::{Method, StatusCode};
use pulley_core::process::{ActorName, ChangeId};
use pulley_core::version::{
    AuditFilter, AuditRecord, ChangeAnswer, ConfigVersion, SheetReader, SheetUpload, SheetView,
    ZoneAnswer, ZoneUpload, ZoneUse,
};
use serde_json::{Value, json};

use crate::command_line::{ApplyOptions, ClearedContents, Command, CommandLine};
use crate::exit_outcome::ExitOutcome;
use crate::log_summary::LogSummary;
use crate::operator_client::{ClientFault, HostAnswer, OperatorClient};
use crate::request_trace::RequestTrace;
use crate::text_format;

/// Executes a parsed command line.
pub(crate) fn execute(line: &CommandLine) -> ExitOutcome {
    if let Command::SheetCheck(file) = &line.command {
        return check_sheet(file, line.json);
    }
    if let Command::Explain { id, files } = &line.command {
        return explain(id, files);
    }
    if let Command::Summarize { late, as_csv, files } = &line.command {
        return summarize(*late, *as_csv, files);
    }
    let key = match read_key(line.secret_file.as_deref()) {
        Ok(key) => key,
        Err(fault) => {
            eprintln!("{fault}");
            return ExitOutcome::Usage;
        }
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("not done; cannot start the runtime: {error}");
            return ExitOutcome::NotDone;
        }
    };
    let client = OperatorClient::new(&line.servers, &key, line.timeout);
    runtime.block_on(execute_on_hosts(line, &client))
}

async fn execute_on_hosts(line: &CommandLine, client: &OperatorClient<'_>) -> ExitOutcome {
    let json = line.json;
    match &line.command {
        Command::SheetCheck(file) => check_sheet(file, json),
        Command::Explain { id, files } => explain(id, files),
        Command::Summarize { late, as_csv, files } => summarize(*late, *as_csv, files),
        Command::SheetApply(options) => apply_sheet(client, options, json).await,
        Command::SheetShow => {
            show(client, "/v1/sheet", json, |body| {
                let view: SheetView = serde_json::from_value(body.clone()).ok()?;
                // The version goes to standard error, so that standard output can be saved as a
                // sheet file.
                eprintln!("version {}", view.version);
                Some(view.sheet.trim_end().to_owned())
            })
            .await
        }
        Command::Status => show(client, "/v1/status", json, show_as(text_format::status)).await,
        Command::Upstreams => {
            show(client, "/v1/upstreams", json, show_as(text_format::upstreams)).await
        }
        Command::Organisations => {
            show(client, "/v1/organisations", json, show_as(text_format::organisations)).await
        }
        Command::Audit(filter) => {
            show(client, &audit_path(filter), json, |body| {
                let records: Vec<AuditRecord> = serde_json::from_value(body.clone()).ok()?;
                Some(text_format::audit(&records))
            })
            .await
        }
        Command::ReplicaList => {
            show(client, "/v1/replicas", json, |body| {
                body.get("replicas").map(text_format::replicas)
            })
            .await
        }
        Command::ZoneOrder(upload) => order_zone(client, upload, json).await,
        Command::ZoneList => show(client, "/v1/zones", json, show_as(text_format::zones)).await,
        Command::Drain(upstream) => {
            change(client, &Method::POST, "/v1/drain", json!({ "upstream": upstream }), json).await
        }
        Command::ContentList => {
            show(client, "/v1/contents", json, show_as(text_format::contents)).await
        }
        Command::ContentClear { what, actor } => {
            change(client, &Method::POST, "/v1/contents/clear", clear_order(what, actor), json)
                .await
        }
        Command::ReplicaAdd(host) => {
            change(client, &Method::POST, "/v1/replicas", json!({ "host": host }), json).await
        }
        Command::ReplicaRemove(member) => {
            let path = format!("/v1/replicas/{member}");
            change(client, &Method::DELETE, &path, Value::Null, json).await
        }
    }
}

/// Returns the body of an order to clear contents.
fn clear_order(what: &ClearedContents, actor: &ActorName) -> Value {
    match what {
        ClearedContents::One(digest) => json!({ "actor": actor, "digest": digest.to_string() }),
        ClearedContents::Pool(pool) => json!({ "actor": actor, "pool": pool }),
    }
}

fn explain(id: &str, files: &[PathBuf]) -> ExitOutcome {
    match RequestTrace::read(id, files) {
        Err((file, error)) => cannot_read(&file, &error),
        Ok(trace) if trace.is_empty() => {
            eprintln!("no line names request {id}");
            ExitOutcome::NotDone
        }
        Ok(trace) => {
            print_line(&trace.to_text());
            ExitOutcome::Done
        }
    }
}

fn summarize(late: Duration, as_csv: bool, files: &[PathBuf]) -> ExitOutcome {
    let summary = match LogSummary::read(late, files) {
        Ok(summary) => summary,
        Err((file, error)) => return cannot_read(&file, &error),
    };
    if !as_csv {
        print_line(&summary.to_text());
        return ExitOutcome::Done;
    }
    match summary.csv() {
        Ok(text) => {
            eprintln!("{}", summary.totals());
            print_line(&text);
            ExitOutcome::Done
        }
        Err(error) => {
            eprintln!("not done; cannot write CSV: {error}");
            ExitOutcome::NotDone
        }
    }
}

// -----------------------------------------------------------------------------------------
// Sheets

fn check_sheet(file: &Path, json: bool) -> ExitOutcome {
    let bytes = match fs::read(file) {
        Ok(bytes) => bytes,
        Err(error) => return cannot_read(file, &error),
    };
    let checked = SheetReader::read(&bytes);
    match (&checked, json) {
        (Ok(plan), true) => print_line(&json!({ "rows": plan.kinds.len(), "faults": [] })),
        (Ok(plan), false) => print_line(&format_args!("no fault in {} rows", plan.kinds.len())),
        (Err(faults), true) => print_line(&json!(faults)),
        (Err(faults), false) => print_line(&faults),
    }
    if checked.is_ok() { ExitOutcome::Done } else { ExitOutcome::NotDone }
}

async fn apply_sheet(
    client: &OperatorClient<'_>,
    options: &ApplyOptions,
    json: bool,
) -> ExitOutcome {
    let bytes = match fs::read(&options.file) {
        Ok(bytes) => bytes,
        Err(error) => return cannot_read(&options.file, &error),
    };
    if let Err(faults) = SheetReader::read(&bytes) {
        eprintln!("not done; the sheet is faulty:");
        print_line(&if json { json!(faults).to_string() } else { faults.to_string() });
        return ExitOutcome::NotDone;
    }
    let expect = match (options.expect, options.given) {
        (Some(expect), _) => expect,
        // Of versions that operators assign, the highest one wins, whatever it is based on.
        (None, Some(_)) => ConfigVersion::default(),
        (None, None) => match version_in_force(client).await {
            Ok(version) => version,
            Err(outcome) => return outcome,
        },
    };
    let change_id = options.change_id.clone().or_else(new_change_id);
    let Some(change_id) = change_id else {
        eprintln!("not done; cannot generate a change id");
        return ExitOutcome::NotDone;
    };
    // Printed before the change is sent: if the answer is lost, the operator needs both to resend
    // it.
    eprintln!("change id {change_id}, based on version {expect}");
    let sheet = String::from_utf8_lossy(&bytes).into_owned();
    let given = options.given;
    let upload = SheetUpload { change_id, actor: options.actor.clone(), expect, given, sheet };
    let answer = client.write(&Method::POST, "/v1/sheet", &upload).await;
    let outcome = report_change(answer, json);
    if outcome == ExitOutcome::Unknown {
        let file = options.file.display();
        eprintln!(
            "send it again: pulleyctl sheet apply {file} --change-id {} --expect {expect} --actor {}",
            upload.change_id, upload.actor
        );
    }
    outcome
}

async fn version_in_force(client: &OperatorClient<'_>) -> Result<ConfigVersion, ExitOutcome> {
    let answer = client.read("/v1/sheet").await.map_err(|fault| report_fault(&fault))?;
    let view: Option<SheetView> = serde_json::from_value(answer.body.clone()).ok();
    view.map(|view| view.version).ok_or_else(|| report_refusal(&answer))
}

fn report_change(answer: Result<HostAnswer, ClientFault>, json: bool) -> ExitOutcome {
    let answer = match answer {
        Ok(answer) => answer,
        Err(fault) => return report_fault(&fault),
    };
    let Ok(change) = serde_json::from_value::<ChangeAnswer>(answer.body.clone()) else {
        return report_refusal(&answer);
    };
    if json {
        print_line(&answer.body);
    } else {
        print_line(&text_format::answer(&change));
    }
    match change {
        ChangeAnswer::Accepted { .. } | ChangeAnswer::Superseded { .. } => ExitOutcome::Done,
        ChangeAnswer::Refused(_) => ExitOutcome::NotDone,
        ChangeAnswer::Unknown { .. } => ExitOutcome::Unknown,
    }
}

fn new_change_id() -> Option<ChangeId> {
    format!("c-{:016x}", rand::random::<u64>()).parse().ok()
}

// -----------------------------------------------------------------------------------------
// Zones

async fn order_zone(client: &OperatorClient<'_>, upload: &ZoneUpload, json: bool) -> ExitOutcome {
    // Printed before the order is sent: if the answer is lost, the operator needs the id to resend
    // it.
    eprintln!("change id {}", upload.change_id);
    let outcome = match client.write(&Method::POST, "/v1/zones", upload).await {
        Err(fault) => report_fault(&fault),
        Ok(answer) => match serde_json::from_value::<ZoneAnswer>(answer.body.clone()) {
            Err(_) => report_refusal(&answer),
            Ok(decided) => {
                let formatted = text_format::zone_answer(upload, &decided);
                print_line(&if json { answer.body.to_string() } else { formatted });
                match decided {
                    ZoneAnswer::Accepted { .. } => ExitOutcome::Done,
                    _ => ExitOutcome::NotDone,
                }
            }
        },
    };
    if outcome == ExitOutcome::Unknown {
        let verb = match upload.zone_use {
            ZoneUse::Evacuated => "evacuate",
            ZoneUse::InUse => "restore",
        };
        let ZoneUpload { zone, change_id, actor, .. } = upload;
        eprintln!(
            "send it again: pulleyctl zone {verb} {zone} --change-id {change_id} --actor {actor}"
        );
    }
    outcome
}

// -----------------------------------------------------------------------------------------
// Other commands

/// Wraps a format that can interpret any answer.
fn show_as(format: impl FnOnce(&Value) -> String) -> impl FnOnce(&Value) -> Option<String> {
    move |body| Some(format(body))
}

async fn show(
    client: &OperatorClient<'_>,
    path: &str,
    json: bool,
    format: impl FnOnce(&Value) -> Option<String>,
) -> ExitOutcome {
    let answer = match client.read(path).await {
        Ok(answer) => answer,
        Err(fault) => return report_fault(&fault),
    };
    if answer.status != StatusCode::OK {
        return report_refusal(&answer);
    }
    let text = if json { Some(answer.body.to_string()) } else { format(&answer.body) };
    let Some(text) = text else {
        eprintln!("this pulleyctl cannot interpret the answer; try --json");
        return ExitOutcome::NotDone;
    };
    print_line(&text);
    ExitOutcome::Done
}

async fn change(
    client: &OperatorClient<'_>,
    method: &Method,
    path: &str,
    body: Value,
    json: bool,
) -> ExitOutcome {
    match client.write(method, path, &body).await {
        Ok(answer) if answer.status == StatusCode::OK => {
            let members = answer.body.get("members").filter(|_| !json);
            print_line(&match members {
                Some(members) => text_format::replicas(members),
                None if json => answer.body.to_string(),
                None => pairs(&answer.body),
            });
            ExitOutcome::Done
        }
        Ok(answer) => report_refusal(&answer),
        Err(fault) => report_fault(&fault),
    }
}

fn audit_path(filter: &AuditFilter) -> String {
    let mut pairs = vec![format!("limit={}", filter.limit)];
    let mut add = |name: &str, value: Option<String>| {
        pairs.extend(value.map(|value| format!("{name}={value}")));
    };
    add("since_unix_ms", filter.since_unix_ms.map(|time| time.to_string()));
    add("until_unix_ms", filter.until_unix_ms.map(|time| time.to_string()));
    add("actor", filter.actor.as_ref().map(ToString::to_string));
    add("change_id", filter.change_id.as_ref().map(ToString::to_string));
    add("outcome", filter.outcome.as_ref().map(ToString::to_string));
    format!("/v1/audit?{}", pairs.join("&"))
}

fn pairs(body: &Value) -> String {
    text_format::pairs(body)
}

// -----------------------------------------------------------------------------------------
// Reports

/// Prints a line on standard output. A closed pipe, as after `head`, is not an error; `println!`
/// would panic on it.
fn print_line(line: &dyn Display) {
    let _ = writeln!(io::stdout(), "{line}");
}

fn report_fault(fault: &ClientFault) -> ExitOutcome {
    eprintln!("{fault}");
    match fault {
        ClientFault::NotDone(_) => ExitOutcome::NotDone,
        ClientFault::Lost { .. } => ExitOutcome::Unknown,
    }
}

/// Reports an unsuccessful answer. Status 504 means that the host itself does not know the outcome.
fn report_refusal(answer: &HostAnswer) -> ExitOutcome {
    if answer.status == StatusCode::GATEWAY_TIMEOUT {
        eprintln!("unknown: {}", answer.message());
        return ExitOutcome::Unknown;
    }
    eprintln!("refused, not done: {}", answer.message());
    ExitOutcome::NotDone
}

fn cannot_read(file: &Path, error: &io::Error) -> ExitOutcome {
    eprintln!("{}: {error}", file.display());
    ExitOutcome::Usage
}

/// Reads the key to send: the first line of the secret file that is not empty.
fn read_key(file: Option<&Path>) -> Result<String, String> {
    let Some(file) = file else {
        return Err("--secret-file: missing, as is PULLEYCTL_SECRET_FILE".to_owned());
    };
    let text = fs::read_to_string(file).map_err(|error| format!("{}: {error}", file.display()))?;
    let key = text.lines().map(str::trim).find(|line| !line.is_empty());
    key.map(str::to_owned).ok_or_else(|| format!("{}: contains no key", file.display()))
}
