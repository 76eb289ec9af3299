//! Reads from an upstream's response for how long it asks for rest.

use std::time::{Duration, SystemTime};

use http::StatusCode;
use http::header::{DATE, HeaderMap, HeaderValue, RETRY_AFTER};

/// For how long a response asks this host to send nothing to its upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RestReading {
    /// The response says nothing of it.
    #[default]
    Absent,
    /// The response has a `Retry-After` that can't be read.
    Unreadable,
    /// This long, from the arrival of the response on.
    Asked(Duration),
}

impl RestReading {
    /// Reads a response's `Retry-After`, if its status turns the request away. Of several values the
    /// longest counts. Dates are compared with the response's own `Date`, and without one with
    /// `now`.
    #[must_use]
    pub fn read(status: StatusCode, headers: &HeaderMap, now: SystemTime) -> Self {
        let turns_away =
            matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS);
        if !turns_away || !headers.contains_key(RETRY_AFTER) {
            return Self::Absent;
        }
        let now = headers.get(DATE).and_then(read_date).unwrap_or(now);
        let values = headers.get_all(RETRY_AFTER).iter();
        let spans = values.filter_map(|value| read_seconds(value).or_else(|| until(value, now)));
        spans.max().map_or(Self::Unreadable, Self::Asked)
    }

    /// Returns the time asked for, if it is longer than nothing.
    #[must_use]
    pub fn span(self) -> Option<Duration> {
        match self {
            Self::Asked(span) if !span.is_zero() => Some(span),
            _ => None,
        }
    }
}

/// Reads seconds, with fractions. Negative ones count as none, and more than a `Duration` holds as
/// the longest one.
fn read_seconds(value: &HeaderValue) -> Option<Duration> {
    let text = value.to_str().ok()?.trim();
    let digits = text.strip_prefix('-').unwrap_or(text);
    let is_number = digits.starts_with(|first: char| first.is_ascii_digit())
        && digits.chars().all(|c| c.is_ascii_digit() || c == '.');
    let seconds: f64 = digits.parse().ok().filter(|_| is_number)?;
    if digits != text {
        return Some(Duration::ZERO);
    }
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

/// Returns the time until a date; none if it has passed.
fn until(value: &HeaderValue, now: SystemTime) -> Option<Duration> {
    let date = read_date(value)?;
    Some(date.duration_since(now).unwrap_or_default())
}

fn read_date(value: &HeaderValue) -> Option<SystemTime> {
    httpdate::parse_http_date(value.to_str().ok()?.trim()).ok()
}
