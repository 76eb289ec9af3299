//! The headers of the system's own protocol with callers and upstreams.

use http::header::HeaderName;

/// On responses: whether the request may have run. An upstream that sheds a request sets it to
/// `not-run`, with status 429 or 503.
pub const VERDICT_HEADER: HeaderName = HeaderName::from_static("jacinthpulley-verdict");

/// On responses made by the system itself: the cause in one word.
pub const CAUSE_HEADER: HeaderName = HeaderName::from_static("jacinthpulley-cause");

/// On requests, in both directions: milliseconds until the response is no longer useful.
pub const DEADLINE_HEADER: HeaderName = HeaderName::from_static("jacinthpulley-deadline-ms");

/// On requests: the number of earlier attempts, 0 for the first one. Trusted from configured
/// callers only.
pub const ATTEMPT_HEADER: HeaderName = HeaderName::from_static("jacinthpulley-attempt");

/// On requests: the priority, 0 to 9. Trusted from configured callers only, and only to lower it.
pub const PRIORITY_HEADER: HeaderName = HeaderName::from_static("jacinthpulley-priority");

/// On an upstream's responses: `true` if it takes no new work from now on.
pub const DRAINING_HEADER: HeaderName = HeaderName::from_static("jacinthpulley-draining");

/// On an upstream's responses: the requests a second that it takes from all hosts together, as a
/// decimal number, for as long as its responses name it.
pub const LIMIT_HEADER: HeaderName = HeaderName::from_static("jacinthpulley-request-limit");

/// On an upstream's responses: its load, in the text format of Open Request Cost Aggregation.
pub const LOAD_HEADER: HeaderName = HeaderName::from_static("endpoint-load-metrics");

/// On requests: the caller's key for work that must run at most once.
pub const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

/// On requests, in both directions: the caller's request id, used in logs.
pub const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");

/// On requests to upstreams: the organisation on whose behalf the caller sends.
pub const ORGANISATION_HEADER: HeaderName = HeaderName::from_static("jacinthpulley-organisation");

/// The prefix of the system's own headers. Headers with this prefix from callers and upstreams are
/// not forwarded.
pub(super) const OWN_PREFIX: &str = "jacinthpulley-";
