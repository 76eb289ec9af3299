//! Contents that end upstreams, as operators see them.

use std::time::Duration;

use pulley_core::PoolName;
use pulley_core::process::{
    ContentDigest, ContentKey, ContentStanding, PoolRecord, RunFinding, SharedTime, SuspectRecord,
    SuspectRun,
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
    /// Returns the pools of a content's record that the order is about.
    pub fn select(&self, record: &SuspectRecord) -> impl Iterator<Item = ContentKey> {
        let digest = record.digest;
        let is_selected = self.digest.is_none_or(|wanted| wanted == digest);
        let pools = record.pools().iter().filter(move |_| is_selected);
        let pools = pools.filter(|known| !known.runs().is_empty());
        let pools = pools.filter(|known| self.pool.as_ref().is_none_or(|pool| *pool == known.pool));
        pools.map(move |known| ContentKey { pool: known.pool.clone(), digest })
    }
}

/// One content that is suspected, held or quarantined in a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ContentStatus {
    digest: String,
    pool: PoolName,
    /// Seconds until it may be tried; `None` if it may be now.
    retry_after_s: Option<u64>,
    /// The ends of upstreams in the pool.
    ends: Vec<EndStatus>,
    /// The runs in the pool of which it is not known whether their upstreams ended.
    pending: Vec<EndStatus>,
}

/// The end of an upstream under a content, or a run that may have been one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
struct EndStatus {
    upstream: String,
    incarnation: u64,
    age_s: u64,
    /// Whether the request was the only one with its content at that time.
    trial: bool,
}

impl ContentStatus {
    /// Describes a record at the shared time `time`, in each pool where upstreams have ended or may
    /// have.
    pub fn describe(time: SharedTime, record: &SuspectRecord) -> impl Iterator<Item = Self> {
        let suspected = record.pools().iter().filter_map(|known| {
            let standing = record.standing(&known.pool)?;
            (!known.runs().is_empty()).then_some((known, standing))
        });
        suspected.map(move |(known, standing)| Self {
            digest: record.digest.to_string(),
            pool: known.pool.clone(),
            retry_after_s: match standing {
                ContentStanding::Suspect => None,
                ContentStanding::Held { until } | ContentStanding::Quarantined { until } => {
                    Some(whole_seconds(until.since(time)))
                }
            },
            ends: EndStatus::list(time, known, |finding| finding == RunFinding::Ended),
            pending: EndStatus::list(time, known, |finding| {
                matches!(finding, RunFinding::Pending { .. })
            }),
        })
    }
}

impl EndStatus {
    /// Lists the runs in a pool whose finding matches.
    fn list(
        time: SharedTime,
        known: &PoolRecord,
        is_listed: impl Fn(RunFinding) -> bool,
    ) -> Vec<Self> {
        let listed = known.runs().iter().filter(|run| is_listed(run.finding));
        let status = |run: &SuspectRun| Self {
            upstream: run.upstream.to_string(),
            incarnation: run.incarnation.0,
            age_s: time.since(run.at).as_secs(),
            trial: run.was_trial,
        };
        listed.map(status).collect()
    }
}

/// Rounds up, so that nobody returns too early.
fn whole_seconds(span: Duration) -> u64 {
    span.as_secs() + u64::from(span.subsec_nanos() > 0)
}
