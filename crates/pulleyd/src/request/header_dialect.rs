//! Which headers the system speaks with callers and upstreams.

use std::time::Duration;

use http::HeaderValue;
use http::header::{HeaderMap, HeaderName};
use pulley_core::request::LoadReport;
use smol_str::SmolStr;

use super::protocol_headers::{DEADLINE_HEADER, LOAD_HEADER, REQUEST_ID_HEADER};
use super::read_load_report;

/// Reads an upstream's load report from a header's value.
pub type LoadReader = fn(&HeaderValue) -> Option<LoadReport>;

/// Which headers the system speaks with callers and upstreams.
///
/// The default is the system's own protocol. An installation whose callers and upstreams speak
/// other names hands them in here; what is optional is not spoken where it is none.
#[derive(Clone, Debug)]
pub struct HeaderDialect {
    /// On requests, both ways: milliseconds until the answer is of no use.
    pub deadline: HeaderName,
    /// On requests, both ways: the caller's name for this request, by which logs speak of it.
    pub request_id: HeaderName,
    /// Whether upstreams repeat that name on their answers.
    pub echoes_id: bool,
    /// On requests to upstreams: the id of the one that is meant; any other answers 421.
    pub expected_upstream: Option<HeaderName>,
    /// On an upstream's answers to probes: its id.
    pub instance: Option<HeaderName>,
    /// On an upstream's answers: its presence says that the request was not run.
    pub not_run: Option<HeaderName>,
    /// On an upstream's answers: without it, a success is not the upstream's own.
    pub proof: Option<HeaderName>,
    /// On an upstream's answers to probes: milliseconds for which it is still cold. Without it the
    /// upstream has warmed up.
    pub cold_left: Option<HeaderName>,
    /// On an upstream's answers: its load.
    pub load: HeaderName,
    /// Reads the load.
    pub read_load: LoadReader,
    /// Whether the load on an answer to a request still counts that request, which is over once the
    /// answer is here. The load on a probe's answer never counts the probe.
    pub load_counts_own: bool,
    /// Whether the system's own headers (verdict, cause, attempt, priority) are spoken. Without
    /// them a status alone has to say whether a request has run.
    pub own_headers: bool,
}

impl HeaderDialect {
    /// For how long an upstream says on the answer to a probe that it is cold; none if such answers
    /// don't tell.
    pub(super) fn cold_left(&self, headers: &HeaderMap) -> Option<Duration> {
        let name = self.cold_left.as_ref()?;
        let Some(value) = headers.get(name) else { return Some(Duration::ZERO) };
        let millis: f64 = value.to_str().ok()?.trim().parse().ok()?;
        Duration::try_from_secs_f64(millis / 1_000.0).ok()
    }

    /// The caller's name for a request, if it gives one.
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
            echoes_id: false,
            expected_upstream: None,
            instance: None,
            not_run: None,
            proof: None,
            cold_left: None,
            load: LOAD_HEADER,
            read_load: read_load_report,
            load_counts_own: false,
            own_headers: true,
        }
    }
}
