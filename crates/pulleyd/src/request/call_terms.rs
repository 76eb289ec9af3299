//! What a caller asks for beyond its request: deadline, priority and attempt.

use std::net::IpAddr;
use std::time::Duration;

use http::header::{HeaderMap, HeaderValue};
use pulley_core::process::FastSet;
use pulley_core::version::{KindPlan, RequestPriority};
use pulley_core::{Moment, RefusalCause};

use super::HeaderDialect;
use super::protocol_headers::{ATTEMPT_HEADER, PRIORITY_HEADER};
use super::request_headers::{read_millis, read_number};

/// What reading a caller's terms gives.
type Result<T> = std::result::Result<T, RefusalCause>;

/// The callers whose attempt and priority headers are believed.
///
/// Upstreams call other services through the system, up to 7 deep, and pass on what they got. An
/// outside caller could otherwise put itself in front, so its own headers of this kind are dropped.
#[derive(Clone, Debug, Default)]
pub struct TrustedCallers {
    /// Their addresses.
    pub addresses: FastSet<IpAddr>,
}

/// The terms on which a request is carried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CallTerms {
    /// When its answer is no longer of use.
    pub(super) deadline: Moment,
    /// How often another layer has tried it before.
    pub(super) earlier_attempts: u8,
    /// Its priority as passed on.
    pub(super) priority: RequestPriority,
}

impl CallTerms {
    /// Reads the terms and bounds them by the plan: a deadline can only become shorter and a
    /// priority only lower than the kind's own, so that no caller helps itself to more than the
    /// plan gives it.
    pub(super) fn read(
        now: Moment,
        headers: &HeaderMap,
        row: &KindPlan,
        (dialect, is_trusted): (&HeaderDialect, bool),
    ) -> Result<Self> {
        let deadline = now + read_deadline(headers.get(&dialect.deadline), row.deadline)?;
        let mut terms = Self { deadline, earlier_attempts: 0, priority: row.priority };
        if is_trusted {
            terms.earlier_attempts = trusted_number(headers.get(ATTEMPT_HEADER))?.unwrap_or(0);
            let asked = trusted_number(headers.get(PRIORITY_HEADER))?;
            terms.priority = row.priority.max(RequestPriority(asked.unwrap_or(0).min(9)));
        }
        Ok(terms)
    }

    /// Writes the terms as they stand now for the upstream.
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
        if !dialect.own_headers {
            return;
        }
        let attempt = self.earlier_attempts.saturating_add(attempt);
        headers.insert(ATTEMPT_HEADER, small_number(attempt));
        headers.insert(PRIORITY_HEADER, small_number(self.priority.0));
    }
}

/// A number as a header's value; those of one digit take no memory.
fn small_number(number: u8) -> HeaderValue {
    const DIGITS: [&str; 10] = ["0", "1", "2", "3", "4", "5", "6", "7", "8", "9"];
    match DIGITS.get(usize::from(number)) {
        Some(digit) => HeaderValue::from_static(digit),
        None => HeaderValue::from(u16::from(number)),
    }
}

fn read_deadline(value: Option<&HeaderValue>, longest: Duration) -> Result<Duration> {
    let Some(value) = value else { return Ok(longest) };
    let asked = read_millis(value).ok_or(RefusalCause::BadRequest)?;
    if asked.is_zero() {
        return Err(RefusalCause::DeadlineTooClose);
    }
    Ok(asked.min(longest))
}

fn trusted_number(value: Option<&HeaderValue>) -> Result<Option<u8>> {
    let Some(value) = value else { return Ok(None) };
    read_number(value).map(Some).ok_or(RefusalCause::BadRequest)
}
