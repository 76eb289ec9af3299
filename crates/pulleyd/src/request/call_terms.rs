//! What a caller requests in headers: deadline, priority and attempt number.

use std::net::IpAddr;
use std::time::Duration;

use http::header::{HeaderMap, HeaderValue};
use pulley_core::process::FastSet;
use pulley_core::process::RequestOutlook;
use pulley_core::version::{KindPlan, RequestPriority, WorkLength};
use pulley_core::{Moment, RefusalCause};

use super::HeaderDialect;
use super::protocol_headers::{ATTEMPT_HEADER, PRIORITY_HEADER};
use super::request_headers::{read_millis, read_number};

/// The result of reading a caller's terms.
type Result<T> = std::result::Result<T, RefusalCause>;

/// The callers whose attempt and priority headers are trusted.
///
/// Upstreams call other services through the system, up to 7 levels deep, and forward the headers
/// they received. Without this list an outside caller could raise its own priority. If a caller is
/// not on the list, these headers are dropped from its requests.
#[derive(Clone, Debug, Default)]
pub struct TrustedCallers {
    /// The addresses of trusted callers.
    pub addresses: FastSet<IpAddr>,
}

/// The terms under which a request is forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CallTerms {
    /// When the response is no longer useful to the caller.
    pub(super) deadline: Moment,
    /// The deadline that the caller sent, not bounded by the plan. A retry carries what remains of
    /// the first attempt's.
    pub(super) sent_deadline: Option<Duration>,
    /// The number of attempts that another layer has already made.
    pub(super) earlier_attempts: u8,
    /// The priority passed on to the upstream.
    pub(super) priority: RequestPriority,
}

impl CallTerms {
    /// Reads the terms and bounds them by the plan. A deadline can only become shorter and a
    /// priority only lower than the kind's own, so that no caller gets more than the plan grants.
    pub(super) fn read(
        now: Moment,
        headers: &HeaderMap,
        row: &KindPlan,
        row_priority: RequestPriority,
        (dialect, is_trusted): (&HeaderDialect, bool),
    ) -> Result<Self> {
        let sent_deadline = read_deadline(headers.get(&dialect.deadline))?;
        let left = sent_deadline.map_or(row.deadline, |sent| sent.min(row.deadline));
        let mut terms = Self {
            deadline: now + left,
            sent_deadline,
            earlier_attempts: 0,
            priority: row_priority,
        };
        if is_trusted {
            terms.earlier_attempts =
                read_optional_number(headers.get(ATTEMPT_HEADER))?.unwrap_or(0);
            let requested = read_optional_number(headers.get(PRIORITY_HEADER))?;
            terms.priority = row_priority.max(RequestPriority(requested.unwrap_or(0).min(9)));
        }
        Ok(terms)
    }

    /// Returns what is known of a request whose body has arrived or is read before it is sent.
    pub(super) fn outlook(&self, row: &KindPlan) -> RequestOutlook {
        let ends_by = (row.length == WorkLength::Short).then_some(self.deadline);
        RequestOutlook { ends_by, is_upload: false }
    }

    /// Writes the current terms into the upstream's request headers.
    pub(super) fn write(
        &self,
        now: Moment,
        attempt: u8,
        dialect: &HeaderDialect,
        headers: &mut HeaderMap,
    ) {
        let left = self.deadline.since(now).as_millis();
        let left = u64::try_from(left).unwrap_or(u64::MAX);
        headers.insert(&dialect.deadline, HeaderValue::from(left));
        if !dialect.sends_system_headers {
            return;
        }
        let attempt = self.earlier_attempts.saturating_add(attempt);
        headers.insert(ATTEMPT_HEADER, number_value(attempt));
        headers.insert(PRIORITY_HEADER, number_value(self.priority.0));
    }
}

/// Returns a number as a header value; one-digit numbers need no allocation.
fn number_value(number: u8) -> HeaderValue {
    const DIGITS: [&str; 10] = ["0", "1", "2", "3", "4", "5", "6", "7", "8", "9"];
    match DIGITS.get(usize::from(number)) {
        Some(digit) => HeaderValue::from_static(digit),
        None => HeaderValue::from(u16::from(number)),
    }
}

fn read_deadline(value: Option<&HeaderValue>) -> Result<Option<Duration>> {
    let Some(value) = value else { return Ok(None) };
    let requested = read_millis(value).ok_or(RefusalCause::BadRequest)?;
    if requested.is_zero() {
        return Err(RefusalCause::DeadlineTooClose);
    }
    Ok(Some(requested))
}

fn read_optional_number(value: Option<&HeaderValue>) -> Result<Option<u8>> {
    let Some(value) = value else { return Ok(None) };
    read_number(value).map(Some).ok_or(RefusalCause::BadRequest)
}
