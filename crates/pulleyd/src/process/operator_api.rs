//! The HTTP API for operators: sheets, audit trail, status, zones, drains, contents, replicas and
//! metrics.
//! Every request needs a key.

use std::fmt;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use axum::extract::rejection::QueryRejection;
use axum::extract::{Path, Query, Request, State};
use axum::http::{StatusCode, header};
use axum::middleware::{self, Next};
use axum::response::{IntoResponse, Response};
use axum::routing::{delete, get, post};
use axum::{Json, Router};
use bytes::Bytes;
use pulley_core::HostId;
use pulley_core::process::{ActorName, ChangeId, MemberId, UpstreamId, UpstreamRecord};
use pulley_core::version::{
    AuditFilter, AuditRecord, ChangeAnswer, ChangeRefusal, ChangeRequest, EvacuatedZones, LogIndex,
    SheetReader, SheetUpload, SheetView, ZoneAnswer, ZoneOrder, ZoneUpload,
};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use slog::{Logger, info, warn};
use smol_str::SmolStr;

use super::api_fault::{ApiFault, Result};
use super::api_server::{ApiLimits, with_body_limits};
use super::content_api::{clear_contents, show_contents};
use super::{ControlHandle, ControlRequest, ProcessClock, ProcessMetrics, ReplicaChange, ViewCell};
use crate::connection::KeyRing;

/// Timeout for an answer of the control thread. A quorum that takes longer counts as failed.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// The number of audit records returned if the operator gives no limit.
const DEFAULT_AUDIT_RECORDS: u32 = 100;

/// The maximum number of audit records in one answer.
const MAX_AUDIT_RECORDS: u32 = 1_000;

/// Checks in constant time whether a presented key is one of the operators' keys.
pub trait OperatorKeys: Send + Sync + 'static {
    /// Returns whether the key is accepted.
    fn accepts(&self, presented: &[u8]) -> bool;
}

impl OperatorKeys for KeyRing {
    fn accepts(&self, presented: &[u8]) -> bool {
        Self::accepts(self, presented)
    }
}

impl<F: Fn(&[u8]) -> bool + Send + Sync + 'static> OperatorKeys for F {
    fn accepts(&self, presented: &[u8]) -> bool {
        self(presented)
    }
}

/// The HTTP API for operators.
#[derive(Clone)]
pub struct OperatorApi {
    pub(super) control: ControlHandle,
    view: ViewCell,
    metrics: ProcessMetrics,
    keys: Arc<dyn OperatorKeys>,
    pub(super) logger: Logger,
}

impl OperatorApi {
    /// The limits of its listener. A sheet has at most 400 KiB, and JSON escapes may double that.
    pub const LIMITS: ApiLimits = ApiLimits { connections: 64, body_bytes: 1 << 20 };

    /// Creates the API. Each of `keys` gives access to all of it.
    #[must_use]
    pub fn new(
        control: ControlHandle,
        view: ViewCell,
        metrics: ProcessMetrics,
        keys: Arc<dyn OperatorKeys>,
        logger: Logger,
    ) -> Self {
        Self { control, view, metrics, keys, logger }
    }

    /// Returns the routes. Each checks the key before it reads a body.
    pub fn router(self) -> Router {
        let router = Router::new()
            .route("/v1/sheet", get(show_sheet).post(apply_sheet))
            .route("/v1/audit", get(show_audit))
            .route("/v1/status", get(show_status))
            .route("/v1/upstreams", get(show_upstreams))
            .route("/v1/organisations", get(show_organisations))
            .route("/v1/contents", get(show_contents))
            .route("/v1/contents/clear", post(clear_contents))
            .route("/v1/drain", post(drain_upstream))
            .route("/v1/zones", get(show_zones).post(order_zone))
            .route("/v1/replicas", get(list_replicas).post(add_replica))
            .route("/v1/replicas/{member}", delete(remove_replica))
            .route("/status", get(show_status))
            .route("/metrics", get(show_metrics))
            .with_state(self.clone());
        with_body_limits(router, Self::LIMITS.body_bytes)
            .layer(middleware::from_fn_with_state(self, check_key))
    }

    pub(super) async fn with_timeout<T>(
        &self,
        question: impl Future<Output = super::Result<T>>,
    ) -> Result<T> {
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, question).await;
        Ok(answer.map_err(|_| ApiFault::no_answer())??)
    }

    async fn status(&self) -> Result<Value> {
        Ok(self.with_timeout(self.control.ask(ControlRequest::Status)).await??)
    }
}

impl fmt::Debug for OperatorApi {
    /// Omits the keys.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OperatorApi").field("control", &self.control).finish_non_exhaustive()
    }
}

async fn check_key(State(api): State<OperatorApi>, request: Request, next: Next) -> Response {
    let presented = request.headers().get(header::AUTHORIZATION);
    let key = presented.and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    if key.is_some_and(|key| api.keys.accepts(key)) {
        return next.run(request).await;
    }
    warn!(api.logger, "operator-refused"; "path" => %request.uri().path());
    let message = "an Authorization header with Bearer and a valid key is required";
    let mut response =
        ApiFault::new(StatusCode::UNAUTHORIZED, "unauthorized", message).into_response();
    let challenge = header::HeaderValue::from_static("Bearer");
    response.headers_mut().insert(header::WWW_AUTHENTICATE, challenge);
    response
}

// -----------------------------------------------------------------------------------------
// Sheets

async fn show_sheet(State(api): State<OperatorApi>) -> Result<Json<SheetView>> {
    Ok(Json(api.with_timeout(api.control.ask(ControlRequest::CurrentPlan)).await??))
}

async fn apply_sheet(State(api): State<OperatorApi>, body: Bytes) -> Result<Response> {
    let upload: SheetUpload = parse(&body)?;
    let change_id = upload.change_id.clone();
    let actor = upload.actor.clone();
    let answer = match SheetReader::read(upload.sheet.as_bytes()) {
        Ok(plan) => {
            let change = ChangeRequest {
                change_id: upload.change_id,
                actor: upload.actor,
                expect: upload.expect,
                assigned_version: upload.given,
                received_unix_ms: ProcessClock::unix_ms(),
                sheet: upload.sheet,
                plan,
            };
            submit_change(&api, change).await?
        }
        Err(faults) => {
            ChangeAnswer::Refused(ChangeRefusal::SheetFaulty { faults: faults.to_string() })
        }
    };
    let outcome = outcome_name(&answer);
    info!(api.logger, "sheet-apply"; "change_id" => %change_id, "actor" => %actor,
        "outcome" => outcome);
    Ok((status_code(&answer), Json(answer)).into_response())
}

/// Passes a change to the control thread. If no answer comes, the outcome is unknown: answering
/// "refused" could hide an accepted change from the operator.
async fn submit_change(api: &OperatorApi, change: ChangeRequest) -> Result<ChangeAnswer> {
    let question = api.control.ask(|reply| ControlRequest::Apply(Box::new(change), reply));
    match tokio::time::timeout(ANSWER_TIMEOUT, question).await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(super::ControlFault::NoAnswer)) => {
            Ok(ChangeAnswer::Unknown { why: SmolStr::new_static("the control thread ended") })
        }
        Ok(Err(fault)) => Err(fault.into()),
        Err(_) => Ok(ChangeAnswer::Unknown {
            why: SmolStr::new_static("no quorum confirmed it within 5s"),
        }),
    }
}

fn outcome_name(answer: &ChangeAnswer) -> &'static str {
    match answer {
        ChangeAnswer::Accepted { .. } => "accepted",
        ChangeAnswer::Superseded { .. } => "superseded",
        ChangeAnswer::Refused(_) => "refused",
        ChangeAnswer::Unknown { .. } => "unknown",
    }
}

fn status_code(answer: &ChangeAnswer) -> StatusCode {
    match answer {
        ChangeAnswer::Accepted { .. } | ChangeAnswer::Superseded { .. } => StatusCode::OK,
        ChangeAnswer::Refused(ChangeRefusal::SheetFaulty { .. }) => {
            StatusCode::UNPROCESSABLE_ENTITY
        }
        ChangeAnswer::Refused(ChangeRefusal::TooLarge { .. }) => StatusCode::PAYLOAD_TOO_LARGE,
        ChangeAnswer::Refused(_) => StatusCode::CONFLICT,
        ChangeAnswer::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
    }
}

// -----------------------------------------------------------------------------------------
// Audit trail, status, upstreams and metrics

/// The audit trail's filters, as the query string gives them.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct AuditQuery {
    since_unix_ms: Option<u64>,
    until_unix_ms: Option<u64>,
    actor: Option<ActorName>,
    change_id: Option<ChangeId>,
    outcome: Option<SmolStr>,
    limit: Option<u32>,
}

async fn show_audit(
    State(api): State<OperatorApi>,
    query: std::result::Result<Query<AuditQuery>, QueryRejection>,
) -> Result<Json<Vec<AuditRecord>>> {
    let Query(query) = query.map_err(|error| ApiFault::bad_request(error.body_text()))?;
    let filter = AuditFilter {
        since_unix_ms: query.since_unix_ms,
        until_unix_ms: query.until_unix_ms,
        actor: query.actor,
        change_id: query.change_id,
        outcome: query.outcome,
        limit: query.limit.unwrap_or(DEFAULT_AUDIT_RECORDS).min(MAX_AUDIT_RECORDS),
    };
    let question = api.control.ask(|reply| ControlRequest::Audit(filter, reply));
    Ok(Json(api.with_timeout(question).await??))
}

async fn show_status(State(api): State<OperatorApi>) -> Result<Json<Value>> {
    Ok(Json(api.status().await?))
}

async fn show_upstreams(State(api): State<OperatorApi>) -> Json<Value> {
    let view = api.view.load();
    let mut records: Vec<&UpstreamRecord> =
        view.upstreams.values().flat_map(|all| all.iter().map(Arc::as_ref)).collect();
    records.sort_by(|a, b| {
        let key = |record: &UpstreamRecord| {
            (record.announcement.pool.clone(), record.announcement.id.clone())
        };
        key(a).cmp(&key(b))
    });
    let upstreams: Vec<Value> = records
        .into_iter()
        .map(|record| {
            json!({ "announcement": record.announcement, "takes_work": record.takes_work })
        })
        .collect();
    Json(json!({ "upstreams": upstreams }))
}

/// Shows the organisations of the configuration in force and what this host has made of their
/// requests. Keys are shown by their fingerprints.
async fn show_organisations(State(api): State<OperatorApi>) -> Json<Value> {
    let view = api.view.load();
    let organisations: Vec<Value> = view
        .plan
        .organisations
        .iter()
        .map(|terms| {
            let requests = api.metrics.organisation_requests(&terms.name);
            json!({
                "name": terms.name,
                "keys": terms.keys.iter().map(|key| key.fingerprint().to_string()).collect::<Vec<_>>(),
                "priority": terms.priority,
                "rate": terms.quota.map(|quota| quota.rate.to_string()),
                "burst": terms.quota.map(|quota| quota.burst),
                "answered": requests.answered,
                "refused": requests.refused,
                "over_quota": requests.over_quota,
            })
        })
        .collect();
    let (version, keys_valid) = (view.version, api.view.keys_valid());
    Json(json!({ "version": version, "keys_valid": keys_valid, "organisations": organisations }))
}

async fn show_metrics(State(api): State<OperatorApi>) -> Response {
    let content_type = [(header::CONTENT_TYPE, ProcessMetrics::CONTENT_TYPE)];
    (content_type, api.metrics.render()).into_response()
}

// -----------------------------------------------------------------------------------------
// Zones

async fn show_zones(State(api): State<OperatorApi>) -> Result<Json<EvacuatedZones>> {
    Ok(Json(api.with_timeout(api.control.ask(ControlRequest::EvacuatedZones)).await??))
}

async fn order_zone(State(api): State<OperatorApi>, body: Bytes) -> Result<Response> {
    let ZoneUpload { change_id, actor, zone, zone_use } = parse(&body)?;
    let order = Box::new(ZoneOrder {
        change_id: change_id.clone(),
        actor: actor.clone(),
        received_unix_ms: ProcessClock::unix_ms(),
        zone: zone.clone(),
        zone_use,
        based_on: LogIndex::default(),
    });
    let question = api.control.ask(|reply| ControlRequest::OrderZone(order, reply));
    let answer = api.with_timeout(question).await?;
    info!(api.logger, "zone-order"; "change_id" => %change_id, "actor" => %actor, "zone" => %zone,
        "use" => %zone_use, "answer" => ?answer);
    let answer = answer?;
    let status = match &answer {
        ZoneAnswer::Accepted { .. } => StatusCode::OK,
        ZoneAnswer::Overtaken { .. } | ZoneAnswer::TooMany | ZoneAnswer::ChangeIdReused => {
            StatusCode::CONFLICT
        }
    };
    Ok((status, Json(answer)).into_response())
}

// -----------------------------------------------------------------------------------------
// Drains and replicas

/// The body of a request to drain an upstream.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct DrainOrder {
    upstream: UpstreamId,
}

async fn drain_upstream(State(api): State<OperatorApi>, body: Bytes) -> Result<Json<Value>> {
    let DrainOrder { upstream } = parse(&body)?;
    info!(api.logger, "upstream-drain"; "upstream" => %upstream);
    let answer = json!({ "draining": upstream });
    let question = api.control.ask(|reply| ControlRequest::Drain(upstream, reply));
    api.with_timeout(question).await??;
    Ok(Json(answer))
}

/// The body of a request to add a replica.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ReplicaOrder {
    host: HostId,
}

async fn list_replicas(State(api): State<OperatorApi>) -> Result<Json<Value>> {
    let status = api.status().await?;
    let replicas = status.get("replicas").filter(|replicas| replicas.is_array());
    // On status 503 the operators' client tries the next host.
    let replicas = replicas.ok_or_else(|| {
        let message = "this host is not a replica; ask one";
        ApiFault::new(StatusCode::SERVICE_UNAVAILABLE, "no-replica", message)
    })?;
    Ok(Json(json!({ "replicas": replicas })))
}

async fn add_replica(State(api): State<OperatorApi>, body: Bytes) -> Result<Json<Value>> {
    let ReplicaOrder { host } = parse(&body)?;
    change_replicas(&api, ReplicaChange::Add(host)).await
}

async fn remove_replica(
    State(api): State<OperatorApi>,
    Path(member): Path<String>,
) -> Result<Json<Value>> {
    let member: MemberId =
        member.parse().map_err(|error| ApiFault::bad_request(format!("{error}")))?;
    change_replicas(&api, ReplicaChange::Remove(member)).await
}

async fn change_replicas(api: &OperatorApi, change: ReplicaChange) -> Result<Json<Value>> {
    info!(api.logger, "replica-change"; "change" => ?change);
    let question = api.control.ask(|reply| ControlRequest::Replica(change, reply));
    Ok(Json(api.with_timeout(question).await??))
}

pub(super) fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| ApiFault::bad_request(error.to_string()))
}
