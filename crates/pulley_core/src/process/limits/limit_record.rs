//! The request limit of one upstream, as hosts tell each other of it.

use serde::{Deserialize, Serialize};

use super::{Incarnation, SharedTime, StartRate, UpstreamId};

/// A change of an upstream's request limit that an answer to this host has shown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedLimit {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The start of the upstream that named the limit.
    pub incarnation: Incarnation,
    /// The requests a second that it takes from all hosts together; `None` if it no longer names a
    /// limit.
    pub rate: Option<StartRate>,
}

/// The request limit of one upstream, with what decides between two such records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitRecord {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The start of the upstream that named the limit.
    pub incarnation: Incarnation,
    /// The requests a second that it takes from all hosts together; `None` if it no longer names a
    /// limit.
    pub rate: Option<StartRate>,
    /// When the answer that showed it arrived.
    pub observed_at: SharedTime,
}

impl LimitRecord {
    /// Whether this record replaces `other`, on every host alike.
    pub(crate) fn outranks(&self, other: &Self) -> bool {
        let precedence = |record: &Self| (record.incarnation, record.observed_at, record.rate);
        precedence(self) > precedence(other)
    }
}
