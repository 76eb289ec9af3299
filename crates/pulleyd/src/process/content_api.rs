//! The operators' calls about contents that end upstreams.

use axum::Json;
use axum::extract::State;
use bytes::Bytes;
use pulley_core::PoolName;
use pulley_core::process::{ActorName, ContentDigest};
use serde::Deserialize;
use serde_json::{Value, json};
use slog::info;
use smol_str::SmolStr;

use super::api_fault::{ApiFault, Result};
use super::operator_api::{OperatorApi, parse};
use super::{ContentFilter, ControlRequest};

/// The body of a request to clear contents: one, or all of a pool.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ClearOrder {
    actor: ActorName,
    digest: Option<SmolStr>,
    pool: Option<PoolName>,
}

/// Shows the contents that this host knows to be suspected or quarantined, with the evidence.
pub(super) async fn show_contents(State(api): State<OperatorApi>) -> Result<Json<Value>> {
    let contents = api.with_timeout(api.control.ask(ControlRequest::Contents)).await?;
    Ok(Json(json!({ "contents": contents })))
}

/// Ends the suspicion of contents on all hosts.
pub(super) async fn clear_contents(
    State(api): State<OperatorApi>,
    body: Bytes,
) -> Result<Json<Value>> {
    let ClearOrder { actor, digest, pool } = parse(&body)?;
    if digest.is_none() && pool.is_none() {
        return Err(ApiFault::bad_request("digest or pool is required".to_owned()));
    }
    let digest = digest.map(|digest| digest.parse::<ContentDigest>()).transpose();
    let digest = digest.map_err(|fault| ApiFault::bad_request(fault.to_string()))?;
    let filter = ContentFilter { digest, pool };
    info!(api.logger, "content-clear"; "actor" => %actor,
        "digest" => filter.digest.map(|digest| digest.to_string()),
        "pool" => filter.pool.as_ref().map(ToString::to_string));
    let question = api.control.ask(|reply| ControlRequest::ClearContents(filter, reply));
    let cleared = api.with_timeout(question).await?;
    Ok(Json(json!({ "cleared": cleared })))
}
