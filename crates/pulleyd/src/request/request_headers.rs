//! Which headers pass through, by RFC 9110 section 7.6.1.

use http::header::{
    CONNECTION, HeaderMap, HeaderName, HeaderValue, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
    TRANSFER_ENCODING, UPGRADE,
};

/// Headers that belong to one connection and are never passed on.
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

/// Removes what belongs to the connection a message came over: the standard headers and those
/// that its own `Connection` header names.
pub(super) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    for name in connection_options(headers) {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

fn connection_options(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| HeaderValue::to_str(value).ok())
        .flat_map(|value| value.split(','))
        .filter_map(|option| option.trim().parse().ok())
        .collect()
}
