//! What an upstream's answer says besides its body.

use std::time::Duration;

use http::header::{HeaderMap, RETRY_AFTER};
use http::{Response, StatusCode};
use hyper::body::Incoming;
use pulley_core::RequestVerdict;
use pulley_core::request::LoadReport;

use super::protocol_headers::{CAUSE_HEADER, DRAINING_HEADER, VERDICT_HEADER};
use super::request_headers::{strip_hop_by_hop, strip_own};
use super::{HeaderDialect, TrafficCounters};

/// The longest `Retry-After` taken over from an upstream.
const RETRY_AFTER_LIMIT: Duration = Duration::from_secs(60);

/// The shortest; an upstream that sheds says how long it will be busy in whole seconds at best.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_secs(1);

/// How soon a caller may come back whose request was shed by an upstream that named no time.
const SHED_RETRY: Duration = Duration::from_millis(25);

/// What an upstream's answer tells this entry; the headers that say so go no further.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct AnswerSigns {
    /// It shed the request unrun.
    pub(super) has_shed: bool,
    /// It passes on an answer of this system's own: another layer has given up below.
    pub(super) retried_below: bool,
    /// It takes no new work from now on.
    pub(super) is_draining: bool,
    /// Its load, if it said so.
    pub(super) report: Option<LoadReport>,
    /// When it may be asked again, if it shed the request.
    pub(super) retry_after: Duration,
    /// Its status says that the request was not run, and nothing else does.
    pub(super) is_empty_promise: bool,
}

impl AnswerSigns {
    /// Reads the signs and removes what belongs to the upstream's connection.
    ///
    /// Only status 429 or 503 together with the verdict `not-run` counts as shed: a bare 503 may
    /// come from an upstream that failed half-way.
    /// An answer of 421 comes from an upstream that has taken over another's address.
    pub(super) fn take(
        response: &mut Response<Incoming>,
        dialect: &HeaderDialect,
        counters: &TrafficCounters,
    ) -> Self {
        let status = response.status();
        let headers = response.headers_mut();
        let is_other =
            dialect.expected_upstream.is_some() && status == StatusCode::MISDIRECTED_REQUEST;
        let has_shed = is_other || says_not_run(status, headers, dialect);
        let mut report = take_report(headers, dialect, counters);
        if dialect.load_counts_own && !has_shed {
            report = report.map(LoadReport::less_one);
        }
        let signs = Self {
            has_shed,
            retried_below: dialect.own_headers && headers.contains_key(CAUSE_HEADER),
            is_draining: headers.get(DRAINING_HEADER).is_some_and(|value| value == "true"),
            report,
            retry_after: retry_after(headers, dialect),
            is_empty_promise: !has_shed && !dialect.own_headers && is_promise(status),
        };
        strip_hop_by_hop(headers);
        strip_own(headers);
        signs
    }
}

fn says_not_run(status: StatusCode, headers: &HeaderMap, dialect: &HeaderDialect) -> bool {
    if let Some(name) = &dialect.not_run {
        return headers.contains_key(name);
    }
    let may_shed =
        matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS);
    let verdict = headers.get(VERDICT_HEADER);
    may_shed && verdict.is_some_and(|value| value == RequestVerdict::NotRun.as_str())
}

/// Whether a caller takes a status to mean that its request was not run.
fn is_promise(status: StatusCode) -> bool {
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

fn retry_after(headers: &HeaderMap, dialect: &HeaderDialect) -> Duration {
    let value = headers.get(RETRY_AFTER).and_then(|value| value.to_str().ok());
    let seconds = value.and_then(|value| value.trim().parse::<f64>().ok());
    let told = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    // Where callers read fractions, one whose request was shed by one upstream need not stay away
    // for a second: the others may be free.
    let default = if dialect.own_headers { RETRY_AFTER_DEFAULT } else { SHED_RETRY };
    told.unwrap_or(default).min(RETRY_AFTER_LIMIT)
}
