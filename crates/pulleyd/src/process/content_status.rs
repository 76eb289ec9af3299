//! Contents that end upstreams, as operators see them.

use std::time::Duration;

use pulley_core::PoolName;
use pulley_core::process::{
    ContentDigest, ContentKey, ContentStanding, SharedTime, SuspectRecord, UpstreamEnd,
};
use serde::Serialize;

/// Which contents an operator's order is about.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ContentFilter {
    /// One content; `None` for all.
    pub digest: Option<ContentDigest>,
    /// The contents of one pool; `None` for all.
    pub pool: Option<PoolName>,
}

impl ContentFilter {
    /// Whether the order is about a content.
    #[must_use]
    pub fn matches(&self, key: &ContentKey) -> bool {
        self.digest.is_none_or(|digest| digest == key.digest)
            && self.pool.as_ref().is_none_or(|pool| *pool == key.pool)
    }
}

/// One content that is suspected or quarantined.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ContentStatus {
    digest: String,
    pool: PoolName,
    /// Seconds until it may be tried; `None` if it is not quarantined.
    retry_after_s: Option<u64>,
    ends: Vec<EndStatus>,
}

/// The end of an upstream under a content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
struct EndStatus {
    upstream: String,
    incarnation: u64,
    age_s: u64,
    /// Whether the request was the only one with its content at that time.
    trial: bool,
}

impl ContentStatus {
    /// Describes a record at the shared time `time`; `None` if its content is not suspected.
    #[must_use]
    pub fn describe(time: SharedTime, record: &SuspectRecord) -> Option<Self> {
        let retry_after_s = match record.standing()? {
            ContentStanding::Suspect => None,
            ContentStanding::Quarantined { until } => Some(whole_seconds(until.since(time))),
        };
        let end = |end: &UpstreamEnd| EndStatus {
            upstream: end.upstream.to_string(),
            incarnation: end.incarnation.0,
            age_s: time.since(end.at).as_secs(),
            trial: end.was_trial,
        };
        Some(Self {
            digest: record.key.digest.to_string(),
            pool: record.key.pool.clone(),
            retry_after_s,
            ends: record.ends().iter().map(end).collect(),
        })
    }
}

/// Rounds up, so that nobody returns too early.
fn whole_seconds(span: Duration) -> u64 {
    span.as_secs() + u64::from(span.subsec_nanos() > 0)
}
