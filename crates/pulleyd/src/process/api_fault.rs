//! Error answers of the APIs for operators and upstreams.

use axum::Json;
use axum::http::{HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use serde_json::json;

use super::ControlFault;

/// Result of the listeners' handlers.
pub(super) type Result<T> = std::result::Result<T, ApiFault>;

/// Seconds until a host that is busy or without quorum may be asked again.
const RETRY_AFTER_S: &str = "1";

/// An error answer: an HTTP status, a code for programs and a message for people.
#[derive(Debug)]
pub(super) struct ApiFault {
    status: StatusCode,
    code: &'static str,
    message: String,
}

impl ApiFault {
    pub(super) fn new(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self { status, code, message: message.into() }
    }

    pub(super) fn bad_request(message: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, "bad-request", message)
    }

    /// Creates the fault for a control thread that did not answer in time. Whether the request was
    /// carried out is unknown.
    pub(super) fn no_answer() -> Self {
        Self::new(StatusCode::GATEWAY_TIMEOUT, "unknown", ControlFault::NoAnswer.to_string())
    }
}

impl From<ControlFault> for ApiFault {
    fn from(fault: ControlFault) -> Self {
        let message = fault.to_string();
        match fault {
            ControlFault::Busy => Self::new(StatusCode::SERVICE_UNAVAILABLE, "busy", message),
            ControlFault::NoAnswer => Self::no_answer(),
            ControlFault::NoQuorum(_) => {
                Self::new(StatusCode::SERVICE_UNAVAILABLE, "no-quorum", message)
            }
            ControlFault::Refused(_) => Self::new(StatusCode::CONFLICT, "refused", message),
        }
    }
}

impl IntoResponse for ApiFault {
    fn into_response(self) -> Response {
        let body = Json(json!({ "error": self.code, "message": self.message }));
        let mut response = (self.status, body).into_response();
        if self.status == StatusCode::SERVICE_UNAVAILABLE {
            let seconds = HeaderValue::from_static(RETRY_AFTER_S);
            response.headers_mut().insert(header::RETRY_AFTER, seconds);
        }
        response
    }
}
