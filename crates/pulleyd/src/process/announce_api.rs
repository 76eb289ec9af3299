//! The HTTP API for the announcements of upstreams and the platform's health checks.

use std::time::Duration;

use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use bytes::Bytes;
use pulley_core::process::Announcement;
use serde_json::json;

use super::api_fault::{ApiFault, Result};
use super::api_server::{ApiLimits, with_body_limits};
use super::{ControlHandle, ControlRequest, HostReadiness, ViewCell};

/// Timeout for the control thread to handle an announcement. The sender tries again within the
/// lease, through another host.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);

/// The maximum number of slots that an upstream may announce. An absurd number would attract all
/// of its pool's requests.
const SLOTS_LIMIT: u32 = 4_096;

/// The maximum number of connections that an upstream may announce.
const CONNECTIONS_LIMIT: u32 = 100_000;

/// The HTTP API for announcements and health checks.
#[derive(Clone, Debug)]
pub struct AnnounceApi {
    control: ControlHandle,
    view: ViewCell,
}

impl AnnounceApi {
    /// The limits of its listener. Every upstream may announce itself to each entry, in a few bytes
    /// at a time.
    pub const LIMITS: ApiLimits = ApiLimits { connections: 2_048, body_bytes: 4 << 10 };

    /// Creates the API from the control thread's handle and the current view.
    #[must_use]
    pub fn new(control: ControlHandle, view: ViewCell) -> Self {
        Self { control, view }
    }

    /// Returns the routes.
    pub fn router(self) -> Router {
        let router = Router::new()
            .route("/v1/announce", post(announce))
            .route("/healthz", get(health))
            .with_state(self);
        with_body_limits(router, Self::LIMITS.body_bytes)
    }
}

async fn announce(State(api): State<AnnounceApi>, body: Bytes) -> Result<Response> {
    let announcement: Announcement = serde_json::from_slice(&body)
        .map_err(|error| ApiFault::bad_request(format!("not a valid announcement: {error}")))?;
    check(&announcement)?;
    let question = api.control.ask(|reply| ControlRequest::Announce(announcement, reply));
    let answer = tokio::time::timeout(ANNOUNCE_TIMEOUT, question).await;
    answer.map_err(|_| ApiFault::no_answer())???;
    Ok(Json(json!({ "known": true })).into_response())
}

/// Refuses implausible announcements, so that one broken upstream cannot attract a pool's requests
/// to an address that does not answer.
fn check(announcement: &Announcement) -> Result<()> {
    let address = announcement.address;
    if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
        return Err(ApiFault::bad_request(format!(
            "no connection to address {address} is possible"
        )));
    }
    let slots = announcement.slots.0;
    if !(1..=SLOTS_LIMIT).contains(&slots) {
        return Err(ApiFault::bad_request(format!(
            "slots {slots} must be from 1 to {SLOTS_LIMIT}"
        )));
    }
    let connections = announcement.connections;
    if !(1..=CONNECTIONS_LIMIT).contains(&connections) {
        let message = format!("connections {connections} must be from 1 to {CONNECTIONS_LIMIT}");
        return Err(ApiFault::bad_request(message));
    }
    Ok(())
}

async fn health(State(api): State<AnnounceApi>) -> Response {
    let version = api.view.load().version.0;
    let readiness = api.view.readiness();
    let why = match &readiness {
        HostReadiness::Ready => {
            return Json(json!({ "ready": true, "version": version })).into_response();
        }
        HostReadiness::NotReady { why } => why.as_str(),
        HostReadiness::ShuttingDown => "shutting down",
    };
    let body = Json(json!({ "ready": false, "version": version, "why": why }));
    (StatusCode::SERVICE_UNAVAILABLE, body).into_response()
}
