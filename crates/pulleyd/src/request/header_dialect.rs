//! The header names used with callers and upstreams.

use std::time::Duration;

use http::HeaderValue;
use http::header::{HeaderMap, HeaderName};
use pulley_core::request::{LimitReading, LoadReport};
use smol_str::SmolStr;

use super::protocol_headers::{
    DEADLINE_HEADER, DRAINING_HEADER, KEY_HEADER, LIMIT_HEADER, LOAD_HEADER, ORGANISATION_HEADER,
    REQUEST_ID_HEADER,
};
use super::read_load_report;

/// Reads an upstream's load report from a header's value.
pub type LoadReader = fn(&HeaderValue) -> Option<LoadReport>;

/// The header names used with callers and upstreams.
///
/// The default is the system's own protocol. An installation whose callers and upstreams use other
/// names sets them here. An optional header that is `None` is not used.
#[derive(Clone, Debug)]
pub struct HeaderDialect {
    /// On requests, in both directions: milliseconds until the response is no longer useful.
    pub deadline: HeaderName,
    /// On requests, in both directions: the caller's request id, used in logs.
    pub request_id: HeaderName,
    /// On requests: the caller's key for work that must run at most once; its outcome is recorded and
    /// given to a request that is sent again with it. `None` if such a header is a matter between
    /// callers and upstreams.
    pub idempotency_key: Option<HeaderName>,
    /// Whether upstreams repeat the request id in their responses.
    pub echoes_request_id: bool,
    /// On requests to upstreams: the id of the intended upstream; any other upstream answers 421.
    pub expected_upstream: Option<HeaderName>,
    /// On an upstream's probe answers: its id.
    pub upstream_id: Option<HeaderName>,
    /// On an upstream's responses: its presence means that the request was not run.
    pub not_run: Option<HeaderName>,
    /// On an upstream's responses: proof that the upstream itself produced them. A success without
    /// it is not passed on.
    pub answer_signature: Option<HeaderName>,
    /// On an upstream's probe answers: milliseconds for which it is still cold. If the header is
    /// missing, the upstream has warmed up.
    pub cold_left: Option<HeaderName>,
    /// On requests to upstreams: the organisation on whose behalf the caller sends.
    pub organisation: HeaderName,
    /// On an upstream's responses: the requests a second that it takes from all hosts together.
    pub limit: HeaderName,
    /// On an upstream's responses: that it leaves.
    pub departure: HeaderName,
    /// On an upstream's responses: its load.
    pub load: HeaderName,
    /// Parses the load header.
    pub read_load: LoadReader,
    /// Whether the load on a response still includes the request that it answers, although that
    /// request has ended when the response arrives. The load on a probe answer never includes the
    /// probe.
    pub load_includes_answered: bool,
    /// Whether the system's own headers (verdict, cause, attempt, priority) are used. Without them
    /// the status alone has to say whether a request has run.
    pub sends_system_headers: bool,
}

impl HeaderDialect {
    /// Reads from a probe answer how long the upstream will still be cold; `None` if the dialect
    /// has no such header or its value is malformed.
    pub(super) fn cold_left(&self, headers: &HeaderMap) -> Option<Duration> {
        let name = self.cold_left.as_ref()?;
        let Some(value) = headers.get(name) else { return Some(Duration::ZERO) };
        let millis: f64 = value.to_str().ok()?.trim().parse().ok()?;
        Duration::try_from_secs_f64(millis / 1_000.0).ok()
    }

    /// Reads from an upstream's response which request limit it names. Of several values the lowest
    /// counts.
    pub(super) fn limit(&self, headers: &HeaderMap) -> LimitReading {
        let values = headers.get_all(&self.limit);
        let rates = values.iter().filter_map(|value| value.to_str().ok()?.parse().ok());
        match rates.min() {
            Some(rate) => LimitReading::Named(rate),
            None if headers.contains_key(&self.limit) => LimitReading::Unreadable,
            None => LimitReading::Absent,
        }
    }

    /// Returns the caller's request id, if it sent one.
    pub(super) fn id_of(&self, headers: &HeaderMap) -> Option<SmolStr> {
        let value = headers.get(&self.request_id)?;
        value.to_str().ok().map(SmolStr::new)
    }
}

impl Default for HeaderDialect {
    fn default() -> Self {
        Self {
            deadline: DEADLINE_HEADER,
            request_id: REQUEST_ID_HEADER,
            idempotency_key: Some(KEY_HEADER),
            echoes_request_id: false,
            expected_upstream: None,
            upstream_id: None,
            not_run: None,
            answer_signature: None,
            cold_left: None,
            organisation: ORGANISATION_HEADER,
            limit: LIMIT_HEADER,
            departure: DRAINING_HEADER,
            load: LOAD_HEADER,
            read_load: read_load_report,
            load_includes_answered: false,
            sends_system_headers: true,
        }
    }
}
