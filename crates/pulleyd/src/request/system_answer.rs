//! The responses that the system makes itself, each with its verdict.

use std::time::Duration;

use http::header::{CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE};
use http::{Response, StatusCode};
use pulley_core::{RefusalCause, RequestVerdict};

use super::protocol_headers::{CAUSE_HEADER, VERDICT_HEADER};
use super::{AnswerBody, HeaderDialect};

/// A response made by the system and not by an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SystemAnswer {
    /// The HTTP status.
    pub status: StatusCode,
    /// Whether the request may have run.
    pub verdict: RequestVerdict,
    /// The cause in one word, for headers and logs.
    pub cause: &'static str,
    /// How long the caller is asked to wait before it retries; `None` if waiting does not help.
    pub retry_after: Option<Duration>,
}

impl SystemAnswer {
    /// Creates a refusal before anything was sent: the request was not run.
    #[must_use]
    pub fn refused(cause: RefusalCause, retry_after: Option<Duration>) -> Self {
        let status = match cause {
            RefusalCause::NoSuchKind => StatusCode::NOT_FOUND,
            RefusalCause::BadRequest => StatusCode::BAD_REQUEST,
            RefusalCause::KeyConflict => StatusCode::UNPROCESSABLE_ENTITY,
            RefusalCause::DeadlineTooClose => StatusCode::GATEWAY_TIMEOUT,
            RefusalCause::UnknownKey => StatusCode::UNAUTHORIZED,
            RefusalCause::QueueFull | RefusalCause::OverQuota => StatusCode::TOO_MANY_REQUESTS,
            RefusalCause::NotReady
            | RefusalCause::ConfigurationBehind
            | RefusalCause::PlanChanged
            | RefusalCause::PoolBusy
            | RefusalCause::UpstreamsLimited
            | RefusalCause::UpstreamsResting
            | RefusalCause::KeysUnconfirmed
            | RefusalCause::QuotaUnconfirmed
            | RefusalCause::ContentSuspected
            | RefusalCause::ContentQuarantined
            | RefusalCause::NoUpstream
            | RefusalCause::HostFull
            | RefusalCause::HostStopping
            | RefusalCause::LedgerUnavailable => StatusCode::SERVICE_UNAVAILABLE,
        };
        Self { status, verdict: RequestVerdict::NotRun, cause: cause.as_str(), retry_after }
    }

    /// Creates a failure with a known verdict.
    #[must_use]
    pub const fn failed(
        status: StatusCode,
        verdict: RequestVerdict,
        cause: &'static str,
        retry_after: Option<Duration>,
    ) -> Self {
        Self { status, verdict, cause, retry_after }
    }

    /// Converts the answer to an HTTP response.
    #[must_use]
    pub fn into_response(self, dialect: &HeaderDialect) -> Response<AnswerBody> {
        let text = format!("verdict={} cause={}\n", self.verdict, self.cause);
        let mut response = Response::new(AnswerBody::from_bytes(text.into()));
        *response.status_mut() =
            if dialect.sends_system_headers { self.status } else { self.status_without_verdict() };
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if self.status == StatusCode::UNAUTHORIZED {
            headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        if !dialect.sends_system_headers {
            self.insert_fractional_retry_after(headers);
            return response;
        }
        headers.insert(VERDICT_HEADER, HeaderValue::from_static(self.verdict.as_str()));
        headers.insert(CAUSE_HEADER, HeaderValue::from_static(self.cause));
        if let Some(delay) = self.retry_after {
            headers.insert(RETRY_AFTER, HeaderValue::from(whole_seconds(delay)));
        }
        response
    }

    /// Returns a status that by itself says whether the request has run.
    ///
    /// Without a verdict header, callers resend a refund after 429 or 503 and after nothing else.
    /// If one of these were returned for a refund that may have run, it would be paid twice. A
    /// request that was not run but got 502 would be lost, although resending it is safe.
    fn status_without_verdict(&self) -> StatusCode {
        let not_run_statuses = [
            StatusCode::REQUEST_TIMEOUT,
            StatusCode::MISDIRECTED_REQUEST,
            StatusCode::TOO_MANY_REQUESTS,
            StatusCode::SERVICE_UNAVAILABLE,
        ];
        let may_have_run = self.verdict != RequestVerdict::NotRun;
        if may_have_run && not_run_statuses.contains(&self.status) {
            return StatusCode::BAD_GATEWAY;
        }
        if !may_have_run && self.status.is_server_error() {
            return StatusCode::SERVICE_UNAVAILABLE;
        }
        self.status
    }

    /// Inserts `Retry-After` with a fraction of a second. Callers that read fractions need not wait
    /// a whole second for a queue that is free in 200 ms.
    fn insert_fractional_retry_after(&self, headers: &mut HeaderMap) {
        let Some(delay) = self.retry_after else { return };
        let text = format!("{:.3}", delay.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            headers.insert(RETRY_AFTER, value);
        }
    }
}

/// Rounds up to whole seconds, the unit of `Retry-After`; this keeps callers from coming back too
/// early.
fn whole_seconds(delay: Duration) -> u64 {
    delay.as_secs() + u64::from(delay.subsec_nanos() > 0)
}
