//! Which headers are forwarded, by RFC 9110 section 7.6.1, and which requests are refused for them.

use std::time::Duration;

use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue,
    PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRANSFER_ENCODING, UPGRADE,
};
use http::request::Parts;
use http::{Method, Version};

use super::protocol_headers::OWN_PREFIX;

/// Headers that belong to one connection and are never forwarded.
const HOP_BY_HOP: [HeaderName; 8] = [
    CONNECTION,
    TE,
    TRANSFER_ENCODING,
    UPGRADE,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Removes the hop-by-hop headers of a message: the standard ones and those that its `Connection`
/// header lists.
pub(super) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    if headers.contains_key(CONNECTION) {
        for name in connection_options(headers) {
            headers.remove(name);
        }
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Removes the system's own headers, so that neither side can impersonate the system to the other.
pub(super) fn strip_own_headers(headers: &mut HeaderMap) {
    let own: Vec<_> =
        headers.keys().filter(|name| name.as_str().starts_with(OWN_PREFIX)).cloned().collect();
    for name in own {
        headers.remove(name);
    }
}

/// Turns a caller's headers into those of a request of this system.
pub(super) fn prepare_headers(parts: &mut Parts) {
    let headers = &mut parts.headers;
    let trailers = accepts_trailers(headers);
    strip_hop_by_hop(headers);
    strip_own_headers(headers);
    headers.remove(EXPECT);
    if trailers {
        headers.insert(TE, HeaderValue::from_static("trailers"));
    }
    if let Some(authority) = parts.uri.authority()
        && let Ok(host) = HeaderValue::from_str(authority.as_str())
    {
        headers.insert(HOST, host);
    }
}

/// Whether the caller accepts trailers.
fn accepts_trailers(headers: &HeaderMap) -> bool {
    let values = headers.get_all(TE).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).any(|coding| coding.trim() == "trailers")
}

/// Returns the bytes of all header names and values, as HTTP/2 counts them, but without the
/// overhead that HTTP/2 adds for each header.
pub(super) fn header_bytes(headers: &HeaderMap) -> usize {
    headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum()
}

/// Returns the body length that a request's headers declare, if any.
pub(super) fn body_bytes(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.trim().parse().ok()
}

/// Whether the upstream could interpret a request differently than this process did.
///
/// Two `Host` headers, a path that an upstream may normalize to one of another kind, or a method
/// that turns the connection into a tunnel would let a caller bypass the plan: a refund mistaken
/// for an idempotent lookup would be sent twice. Such requests are refused before anything is sent.
pub(super) fn is_ambiguous(parts: &Parts) -> bool {
    let hosts = parts.headers.get_all(HOST).iter().count();
    let lacks_host = parts.version == Version::HTTP_11 && hosts != 1;
    let bad_expectation = parts
        .headers
        .get(EXPECT)
        .is_some_and(|value| !value.as_bytes().eq_ignore_ascii_case(b"100-continue"));
    parts.method == Method::CONNECT
        || hosts > 1
        || lacks_host
        || bad_expectation
        || has_dot_segment(parts.uri.path())
}

/// Parses a duration in whole milliseconds.
pub(super) fn read_millis(value: &HeaderValue) -> Option<Duration> {
    value.to_str().ok()?.trim().parse().ok().map(Duration::from_millis)
}

/// Parses a number from 0 to 255, such as a priority or a number of attempts.
pub(super) fn read_number(value: &HeaderValue) -> Option<u8> {
    value.to_str().ok()?.trim().parse().ok()
}

/// Returns the options of a message's `Connection` fields, some of which name further fields.
pub(crate) fn connection_options(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| HeaderValue::to_str(value).ok())
        .flat_map(|value| value.split(','))
        .filter_map(|option| option.trim().parse().ok())
        .collect()
}

/// Whether a path has a `.` or `..` segment, plain or percent-encoded, or does not start at the
/// root.
fn has_dot_segment(path: &str) -> bool {
    if !path.starts_with('/') {
        return true;
    }
    if !path.contains(['.', '%', '\\']) {
        return false;
    }
    let decoded = path
        .to_ascii_lowercase()
        .replace("%2e", ".")
        .replace("%2f", "/")
        .replace("%5c", "/")
        .replace('\\', "/");
    decoded.split('/').any(|segment| segment == "." || segment == "..")
}
