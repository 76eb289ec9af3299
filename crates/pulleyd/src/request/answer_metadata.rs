//! The metadata of an upstream's response.

use std::time::Duration;

use http::header::HeaderMap;
use http::{Response, StatusCode};
use hyper::body::Incoming;
use pulley_core::RequestVerdict;
use pulley_core::request::{LimitReading, LoadReport};

use super::protocol_headers::{CAUSE_HEADER, VERDICT_HEADER};
use super::request_headers::{strip_hop_by_hop, strip_own_headers};
use super::{HeaderDialect, TrafficCounters};
use crate::connection::RestReading;

/// The `Retry-After` of a shedding upstream that sent none. Upstreams that shed give their delay in
/// whole seconds at best.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_secs(1);

/// `Retry-After` for callers that read fractions of a second, if the shedding upstream sent none.
const SHED_RETRY: Duration = Duration::from_millis(25);

/// What an upstream's response tells this entry; the headers that carry it are not forwarded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct AnswerMetadata {
    /// Whether the upstream shed the request without running it.
    pub(super) is_shed: bool,
    /// Whether the upstream only passes on a response that this system made for one of the
    /// upstream's own calls. Another layer has then already given up.
    pub(super) retried_downstream: bool,
    /// The upstream's load, if reported.
    pub(super) report: Option<LoadReport>,
    /// What the answer says of the upstream's request limit; `None` if it may not come from the
    /// upstream, or says nothing because the request did not run.
    pub(super) limit: Option<LimitReading>,
    /// How long the caller is to wait if the upstream shed the request and no other one is free, and
    /// if another one may be.
    pub(super) retry_after: Duration,
    pub(super) retry_elsewhere_after: Duration,
    /// Whether the status says that the request was not run and no header confirms it.
    pub(super) is_unconfirmed_not_run: bool,
}

impl AnswerMetadata {
    /// Reads the metadata and removes the headers that belong to the upstream's connection. `rest` is
    /// what the response asks for.
    ///
    /// If the dialect has no header of its own for this, only status 429 or 503 together with the
    /// verdict `not-run` counts as shed: a bare 503 may come from an upstream that failed half-way.
    /// A 421 response comes from an upstream that has taken over another's address.
    pub(super) fn take(
        response: &mut Response<Incoming>,
        rest: RestReading,
        dialect: &HeaderDialect,
        counters: &TrafficCounters,
    ) -> Self {
        let status = response.status();
        let headers = response.headers_mut();
        let is_misdirected =
            dialect.expected_upstream.is_some() && status == StatusCode::MISDIRECTED_REQUEST;
        let is_shed = is_misdirected || declares_not_run(status, headers, dialect);
        let mut report = take_report(headers, dialect, counters);
        if dialect.load_includes_answered && !is_shed {
            report = report.map(LoadReport::without_answered_request);
        }
        // Callers that read fractions of a second need not wait a whole second if one upstream shed
        // the request: others may be free.
        let default_retry =
            if dialect.sends_system_headers { RETRY_AFTER_DEFAULT } else { SHED_RETRY };
        let metadata = Self {
            is_shed,
            retried_downstream: dialect.sends_system_headers && headers.contains_key(CAUSE_HEADER),
            report,
            limit: Some(read_limit(headers, dialect, counters))
                .filter(|limit| !is_misdirected && is_telling(*limit, status)),
            retry_after: rest.span().unwrap_or(default_retry),
            retry_elsewhere_after: rest.span().unwrap_or(default_retry).min(default_retry),
            is_unconfirmed_not_run: !is_shed
                && !dialect.sends_system_headers
                && implies_not_run(status),
        };
        strip_hop_by_hop(headers);
        strip_own_headers(headers);
        metadata
    }
}

fn declares_not_run(status: StatusCode, headers: &HeaderMap, dialect: &HeaderDialect) -> bool {
    if let Some(name) = &dialect.not_run {
        return headers.contains_key(name);
    }
    let may_shed =
        matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS);
    let verdict = headers.get(VERDICT_HEADER);
    may_shed && verdict.is_some_and(|value| value == RequestVerdict::NotRun.as_str())
}

/// Whether callers take a status to mean that the request was not run.
fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

fn take_report(
    headers: &mut HeaderMap,
    dialect: &HeaderDialect,
    counters: &TrafficCounters,
) -> Option<LoadReport> {
    let value = headers.remove(&dialect.load)?;
    let report = (dialect.read_load)(&value);
    if report.is_none() {
        TrafficCounters::add(&counters.malformed_reports);
    }
    report
}

fn read_limit(
    headers: &HeaderMap,
    dialect: &HeaderDialect,
    counters: &TrafficCounters,
) -> LimitReading {
    let limit = dialect.limit(headers);
    match limit {
        LimitReading::Named(_) => TrafficCounters::add(&counters.limits_named),
        LimitReading::Unreadable => TrafficCounters::add(&counters.malformed_limits),
        LimitReading::Absent => {}
    }
    limit
}

/// Whether an answer shows an upstream's request limit, or that it has none. A failure without a
/// limit may be made by something else on the way, and would end a limit that is still in force.
fn is_telling(limit: LimitReading, status: StatusCode) -> bool {
    limit != LimitReading::Absent || status.is_success()
}
